"""gorsethread accounts: what made transactions wait, from the snapshots that heads keep."""

import datetime
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table as RichTable

from gorsethread.cli.options import SitePath, site_at
from gorsethread.latency_attribution import causes, report
from gorsethread.latency_attribution.causes import Findings
from gorsethread.latency_attribution.site_baseline import known_of
from gorsethread.latency_attribution.snapshots import SUFFIX, BadSnapshot, decode
from gorsethread.latency_attribution.window import Span, Window

app = typer.Typer(
    name="accounts",
    no_args_is_help=True,
    help="Who waited behind whom, on which shelf, for how long, and why. Exit status: 0 answered (files that "
    "can't be used are named), 1 the figures don't add up, 2 bad input or nothing to answer from.",
)

Folders = Annotated[
    list[Path],
    typer.Option("--snapshots", help="Folder of heads' snapshots, or one file; may stand several times."),
]
From = Annotated[
    str,
    typer.Option(
        "--from", help="Only windows that end after this: 2026-12-01T02:00, 02:00 (today), -90m (before now)."
    ),
]
To = Annotated[str, typer.Option("--to", help="Only windows that begin before this; as --from.")]
Html = Annotated[str, typer.Option("--html", help="Write one self-contained page here as well.")]
Json = Annotated[bool, typer.Option("--json", help="Print JSON instead.")]

SCALES = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def moment(text: str, option: str, otherwise: float) -> float:
    """Seconds since the epoch; exits with 2 where it can't be read."""
    if not text:
        return otherwise
    now = datetime.datetime.now().astimezone()
    try:
        if text[0] == "-" and text[-1] in SCALES:
            return now.timestamp() - float(text[1:-1]) * SCALES[text[-1]]
        if len(text) <= 8 and ":" in text:
            return datetime.datetime.combine(now.date(), datetime.time.fromisoformat(text)).timestamp()
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        typer.echo(f"{option}: {text!r} is no time; write 2026-12-01T02:00, 02:00 or -90m", err=True)
        raise typer.Exit(2) from None


def load(site: str, places: list[Path], start: float, end: float) -> tuple[list[Window], list[str]]:
    """The windows in that time, and what was refused, each with its file and reason."""
    windows: list[Window] = []
    refused: list[str] = []
    seen: dict[Span, Path] = {}
    for place in places:
        if not place.exists():
            refused.append(f"{place}: is not there")
        for path in sorted(place.glob(f"*{SUFFIX}")) if place.is_dir() else [place] * place.exists():
            try:
                window = decode(path.read_bytes(), site)
            except (BadSnapshot, OSError) as bad:
                refused.append(f"{path}: {bad}")
                continue
            if twice := next((seen[span] for span in window.spans if span in seen), None):
                refused.append(f"{path}: holds what {twice} holds already")
                continue
            if not window.spans:
                refused.append(f"{path}: says of no head and no time")
                continue
            seen.update(dict.fromkeys(window.spans, path))
            if any(span.end > start and span.start < end for span in window.spans):
                windows.append(window)
    return windows, refused


def _found(site: Path, places: list[Path], start: float, end: float) -> Findings:
    known = known_of(site_at(site))
    windows, refused = load(known.site, places, start, end)
    for line in refused:
        typer.echo(f"refused: {line}", err=True)
    try:
        return causes.find(known, windows)
    except ValueError as error:
        typer.echo(f"{', '.join(map(str, places))}: {error}", err=True)
        raise typer.Exit(2) from None


def _say(
    answer: report.Answer, found: Findings, title: str, html: str, as_json: bool, volume: int | None = None
) -> None:
    if html:
        # Plots take a second to load, and most calls draw none.
        from gorsethread.latency_attribution.page import page

        Path(html).write_text(page(title, answer, found, volume))
    if as_json:
        sys.stdout.write(
            json.dumps(
                {
                    "sentence": answer.sentence,
                    "sure": answer.sure,
                    "notes": answer.notes,
                    "tables": [
                        {"title": t.title, "columns": t.columns, "rows": list(t.rows)} for t in answer.tables
                    ],
                    "floods": {found.known.volume(v): round(t, 2) for v, t in found.floods.items()},
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
        console.print(f"How sure: {answer.sure}.", markup=False, highlight=False)
        for note in answer.notes:
            console.print(f"note: {note}", markup=False, highlight=False)
        for table in answer.tables:
            drawn = RichTable(title=table.title, title_justify="left")
            for n, column in enumerate(table.columns):
                drawn.add_column(column, justify="left" if n == 0 else "right")
            for row in table.rows:
                drawn.add_row(*row)
            console.print(drawn, markup=False)
    if found.whole.remainders:
        raise typer.Exit(1)


def _answer(
    make: Callable[[Findings], report.Answer],
    title: str,
    site: Path,
    snapshots: list[Path],
    start: str,
    end: str,
    html: str,
    as_json: bool,
    volume: int | None = None,
) -> None:
    found = _found(site, snapshots, moment(start, "--from", 0.0), moment(end, "--to", float("inf")))
    _say(make(found), found, title, html, as_json, volume)


@app.command()
def top(
    site: SitePath, snapshots: Folders, start: From = "", end: To = "", html: Html = "", as_json: Json = False
) -> None:
    """What made transactions wait in all: which volume, which shelf, or that none did."""
    _answer(report.top, "What made transactions wait", site, snapshots, start, end, html, as_json)


@app.command()
def why(
    volume: Annotated[str, typer.Argument(help="Name or number of a volume.")],
    site: SitePath,
    snapshots: Folders,
    start: From = "",
    end: To = "",
    html: Html = "",
    as_json: Json = False,
) -> None:
    """Why a volume's transactions took as long as they did, and behind whom they waited."""
    volumes = {v.name: v.number for v in site_at(site).volume}
    number = volumes.get(volume, int(volume) if volume.isdigit() else -1)
    if number not in volumes.values():
        typer.echo(f"{site}: volume: there is no volume {volume!r}", err=True)
        raise typer.Exit(2)
    _answer(
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
    shelf: Annotated[int, typer.Argument(help="Number of a shelf.")],
    site: SitePath,
    snapshots: Folders,
    start: From = "",
    end: To = "",
    html: Html = "",
    as_json: Json = False,
) -> None:
    """How a shelf stands beside its past and its peers, and who waited there for whom."""
    _answer(
        lambda found: report.shelf(found, shelf), f"Shelf {shelf}", site, snapshots, start, end, html, as_json
    )


@app.command()
def diff(
    before: Annotated[Path, typer.Argument(help="Folder of snapshots.")],
    after: Annotated[Path, typer.Argument(help="Folder of later snapshots; may be the same one.")],
    site: SitePath,
    before_from: Annotated[str, typer.Option(help="As --from, for the first.")] = "",
    before_to: Annotated[str, typer.Option(help="As --to, for the first.")] = "",
    after_from: Annotated[str, typer.Option(help="As --from, for the second.")] = "",
    after_to: Annotated[str, typer.Option(help="As --to, for the second.")] = "",
    html: Html = "",
    as_json: Json = False,
) -> None:
    """What changed from one time to another."""
    first = _found(
        site,
        [before],
        moment(before_from, "--before-from", 0.0),
        moment(before_to, "--before-to", float("inf")),
    )
    second = _found(
        site, [after], moment(after_from, "--after-from", 0.0), moment(after_to, "--after-to", float("inf"))
    )
    _say(report.diff(first, second), second, "What changed", html, as_json)
