"""gorsethread accounts: finds what made requests wait, from the gateways' latency snapshots."""

import datetime
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table as RichTable

from gorsethread.cli.options import SitePath, read_site_or_exit
from gorsethread.latency_attribution import causes, report
from gorsethread.latency_attribution.causes import Findings
from gorsethread.latency_attribution.site_baseline import baseline_of
from gorsethread.latency_attribution.snapshots import SUFFIX, BadSnapshot, decode
from gorsethread.latency_attribution.window import Span, Window

app = typer.Typer(
    name="accounts",
    no_args_is_help=True,
    help="Show which volumes waited behind which, on which backend, for how long, and why. Exit status: 0: "
    "answered (files that can't be used are listed), 1: the figures do not add up, 2: invalid input or no "
    "snapshots for that time.",
)

Folders = Annotated[
    list[Path],
    typer.Option("--snapshots", help="Folder of gateways' snapshots, or one file; may be repeated."),
]
From = Annotated[
    str,
    typer.Option(
        "--from", help="Only windows that end after this time: 2026-12-01T02:00, 02:00 (today) or -90m (ago)."
    ),
]
To = Annotated[str, typer.Option("--to", help="Only windows that begin before this time; format as --from.")]
HtmlOption = Annotated[
    str, typer.Option("--html", help="Also write one self-contained HTML page to this file.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON instead of text.")]

SECONDS_BY_SUFFIX = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def parse_time(text: str, option: str, default: float) -> float:
    """Parses a time to seconds since the epoch; exits with status 2 if it is invalid."""
    if not text:
        return default
    now = datetime.datetime.now().astimezone()
    try:
        if text[0] == "-" and text[-1] in SECONDS_BY_SUFFIX:
            return now.timestamp() - float(text[1:-1]) * SECONDS_BY_SUFFIX[text[-1]]
        if len(text) <= 8 and ":" in text:
            return datetime.datetime.combine(now.date(), datetime.time.fromisoformat(text)).timestamp()
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        typer.echo(f"{option}: {text!r} is not a time; write 2026-12-01T02:00, 02:00 or -90m", err=True)
        raise typer.Exit(2) from None


def load(site: str, paths: list[Path], start: float, end: float) -> tuple[list[Window], list[str]]:
    """Returns the windows in that time, and a line with file and reason for each file that was refused."""
    windows: list[Window] = []
    refused: list[str] = []
    seen: dict[Span, Path] = {}
    for path_or_folder in paths:
        if not path_or_folder.exists():
            refused.append(f"{path_or_folder}: does not exist")
        for path in (
            sorted(path_or_folder.glob(f"*{SUFFIX}"))
            if path_or_folder.is_dir()
            else [path_or_folder] * path_or_folder.exists()
        ):
            try:
                window = decode(path.read_bytes(), site)
            except (BadSnapshot, OSError) as error:
                refused.append(f"{path}: {error}")
                continue
            if duplicate := next((seen[span] for span in window.spans if span in seen), None):
                refused.append(f"{path}: {duplicate} already covers its period")
                continue
            if not window.spans:
                refused.append(f"{path}: names no gateway and no period")
                continue
            seen.update(dict.fromkeys(window.spans, path))
            if any(span.end > start and span.start < end for span in window.spans):
                windows.append(window)
    return windows, refused


def _findings(site: Path, paths: list[Path], start: float, end: float) -> Findings:
    baseline = baseline_of(read_site_or_exit(site))
    windows, refused = load(baseline.site, paths, start, end)
    for line in refused:
        typer.echo(f"refused: {line}", err=True)
    try:
        return causes.find(baseline, windows)
    except ValueError as error:
        typer.echo(f"{', '.join(map(str, paths))}: {error}", err=True)
        raise typer.Exit(2) from None


def _print_answer(
    answer: report.Answer, found: Findings, title: str, html: str, as_json: bool, volume: int | None = None
) -> None:
    if html:
        # Importing the plot library takes a second, and most calls draw no page.
        from gorsethread.latency_attribution.page import page

        Path(html).write_text(page(title, answer, found, volume))
    if as_json:
        sys.stdout.write(
            json.dumps(
                {
                    "sentence": answer.sentence,
                    "sure": answer.confidence,
                    "notes": answer.notes,
                    "tables": [
                        {"title": t.title, "columns": t.columns, "rows": list(t.rows)} for t in answer.tables
                    ],
                    "floods": {found.baseline.volume(v): round(t, 2) for v, t in found.floods.items()},
                    "slow": {str(s): round(t, 2) for s, t in found.slow.items()},
                    "stopped": {str(s): round(t, 3) for s, t in found.stopped.items()},
                },
                indent=1,
            )
            + "\n"
        )
    else:
        console = Console()
        console.print(answer.sentence, markup=False, highlight=False, style="bold")
        console.print(f"Confidence: {answer.confidence}.", markup=False, highlight=False)
        for note in answer.notes:
            console.print(f"note: {note}", markup=False, highlight=False)
        for table in answer.tables:
            printed = RichTable(title=table.title, title_justify="left")
            for n, column in enumerate(table.columns):
                printed.add_column(column, justify="left" if n == 0 else "right")
            for row in table.rows:
                printed.add_row(*row)
            console.print(printed, markup=False)
    if found.merged.remainders:
        raise typer.Exit(1)


def _print_findings(
    answer_question: Callable[[Findings], report.Answer],
    title: str,
    site: Path,
    snapshots: list[Path],
    start: str,
    end: str,
    html: str,
    as_json: bool,
    volume: int | None = None,
) -> None:
    found = _findings(
        site, snapshots, parse_time(start, "--from", 0.0), parse_time(end, "--to", float("inf"))
    )
    _print_answer(answer_question(found), found, title, html, as_json, volume)


@app.command()
def top(
    site: SitePath,
    snapshots: Folders,
    start: From = "",
    end: To = "",
    html: HtmlOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show what made requests wait: which volumes and backends, or that none did."""
    _print_findings(report.top, "What made requests wait", site, snapshots, start, end, html, as_json)


@app.command()
def why(
    volume: Annotated[str, typer.Argument(help="Name or number of the volume.")],
    site: SitePath,
    snapshots: Folders,
    start: From = "",
    end: To = "",
    html: HtmlOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show why a volume's requests took as long as they did, and behind which volumes they waited."""
    volumes = {v.name: v.number for v in read_site_or_exit(site).volume}
    number = volumes.get(volume, int(volume) if volume.isdigit() else -1)
    if number not in volumes.values():
        typer.echo(f"{site}: volume: there is no volume {volume!r}", err=True)
        raise typer.Exit(2)
    _print_findings(
        lambda found: report.why(found, number),
        f"Why volume {volume} waited",
        site,
        snapshots,
        start,
        end,
        html,
        as_json,
        number,
    )


@app.command()
def shelf(
    shelf: Annotated[int, typer.Argument(help="Number of the backend.")],
    site: SitePath,
    snapshots: Folders,
    start: From = "",
    end: To = "",
    html: HtmlOption = "",
    as_json: JsonOption = False,
) -> None:
    """Compare a backend with its past and with the other backends, and show who waited there for whom."""
    _print_findings(
        lambda found: report.backend(found, shelf),
        f"Backend {shelf}",
        site,
        snapshots,
        start,
        end,
        html,
        as_json,
    )


@app.command()
def diff(
    before: Annotated[Path, typer.Argument(help="Folder of snapshots.")],
    after: Annotated[Path, typer.Argument(help="Folder of later snapshots; may be the same folder.")],
    site: SitePath,
    before_from: Annotated[str, typer.Option(help="As --from, for the first folder.")] = "",
    before_to: Annotated[str, typer.Option(help="As --to, for the first folder.")] = "",
    after_from: Annotated[str, typer.Option(help="As --from, for the second folder.")] = "",
    after_to: Annotated[str, typer.Option(help="As --to, for the second folder.")] = "",
    html: HtmlOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show what changed from one period to another."""
    first = _findings(
        site,
        [before],
        parse_time(before_from, "--before-from", 0.0),
        parse_time(before_to, "--before-to", float("inf")),
    )
    second = _findings(
        site,
        [after],
        parse_time(after_from, "--after-from", 0.0),
        parse_time(after_to, "--after-to", float("inf")),
    )
    _print_answer(report.diff(first, second), second, "What changed", html, as_json)
