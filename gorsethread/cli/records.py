"""gorsethread records: reads a folder of durable records without its gateway."""

from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import print_error, write_json
from gorsethread.durable_log.recovery import (
    LOSS_ACCEPTED_FILE,
    RecoveredLog,
    parse_segment_file_name,
    recover,
)
from gorsethread.errors import GorsethreadError

app = typer.Typer(
    name="records", no_args_is_help=True, help="Read a folder of durable records without its gateway."
)
Folder = Annotated[Path, typer.Argument(help="The folder given to a gateway by --records.")]
Json = Annotated[str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")]


class NoRecordsError(GorsethreadError):
    """The folder does not exist, or has no records of a gateway."""

    action = "Name the folder that was given to the gateway by --records."


@app.callback()
def records() -> None:
    """Read a folder of durable records without its gateway."""


def _log_folders(folder: Path) -> list[Path]:
    """Returns the folders of the gateway's own records and of each copy kept for another gateway."""
    found = [p for p in (*folder.glob("own-*"), *folder.glob("copies/head-*")) if p.is_dir()]
    if not found:
        raise NoRecordsError(f"{folder}: there are no records")
    return sorted(found)


def _read(store: Path) -> RecoveredLog:
    """Recovers a log as a gateway would, except that the fleet's number is not checked.

    A running gateway may remove a segment meanwhile.
    """
    files: dict[str, bytes] = {}
    for path in sorted(store.iterdir()):
        if parse_segment_file_name(path.name) is not None:
            try:
                files[path.name] = path.read_bytes()
            except FileNotFoundError:
                continue
    number = store.name.rpartition("-")[2]
    return recover(files, None, int(number) if number.isdigit() else None)


def _summary(folder: Path, store: Path) -> dict[str, Any]:
    recovered = _read(store)
    headers = [segment.header for _, segment in recovered.files if segment is not None]
    return {
        "what": str(store.relative_to(folder)),
        "fleet": headers[0].fleet if headers else None,
        "life": recovered.newest[0],
        "last": list(recovered.table.last),
        "extents": len(recovered.table.placements()),
        "segments": len(recovered.files),
        "bytes": sum(p.stat().st_size for p in store.iterdir()),
        "torn_bytes": recovered.torn_bytes,
        "whole": recovered.complete,
        "empty": recovered.empty,
        "faults": recovered.faults,
    }


def _summaries(folder: Path) -> list[dict[str, Any]]:
    try:
        return [_summary(folder, store) for store in _log_folders(folder)]
    except GorsethreadError as error:
        print_error(error)
        raise typer.Exit(2) from None
    except OSError as error:
        typer.echo(f"{folder}: {error.strerror}", err=True)
        raise typer.Exit(2) from None


@app.command()
def show(folder: Folder, json_path: Json = "") -> None:
    """Show what is stored: the gateway's own records, and copies of other gateways' records."""
    found = _summaries(folder)
    table = Table("records", "life", "last", "extents", "segments", "bytes", "whole")
    for log in found:
        table.add_row(
            log["what"],
            str(log["life"]),
            str(log["last"][1]),
            str(log["extents"]),
            str(log["segments"]),
            str(log["bytes"]),
            "yes" if log["whole"] else "NO",
        )
    Console(stderr=json_path == "-").print(table)
    write_json({"records": found}, json_path)


@app.command()
def verify(folder: Folder, json_path: Json = "") -> None:
    """Read every frame. Exit status 0: nothing is lost; 1: something is, listed by file and bytes."""
    found = _summaries(folder)
    for log in found:
        for fault in log["faults"]:
            typer.echo(f"{log['what']}/{fault}")
        if log["torn_bytes"]:
            typer.echo(
                f"{log['what']}: {log['torn_bytes']} bytes at the end of a file are an incomplete record, as "
                "a kill leaves it; no record that was acknowledged is lost by that"
            )
    bad = [log["what"] for log in found if not log["whole"]]
    typer.echo(f"{len(found)} logs read; with lost records: {', '.join(bad) or 'none'}")
    if bad:
        typer.echo(
            "to do: start the gateway while the others serve: it fetches the records that they hold copies "
            "of. If these are lost for good, run 'gorsethread records accept'",
            err=True,
        )
    write_json({"records": found}, json_path)
    raise typer.Exit(1 if bad else 0)


@app.command()
def export(
    folder: Folder,
    to: Annotated[str, typer.Option(help="File to write to; by default standard output.")] = "",
) -> None:
    """Print every record in effect, one JSON object per line: its log, its number and its contents."""
    lines: list[bytes] = []
    counts: Counter[str] = Counter()
    try:
        for store in _log_folders(folder):
            for record in sorted(_read(store).table.records.values()):
                fact = record.fact
                kind = str(fact.__struct_config__.tag)
                counts[kind] += 1
                fields = dict(zip(fact.__struct_encode_fields__, msgspec.structs.astuple(fact), strict=True))
                lines.append(
                    msgspec.json.encode(
                        {
                            "of": str(store.relative_to(folder)),
                            "life": record.number[0],
                            "place": record.number[1],
                            "says": kind,
                            **fields,
                        }
                    )
                )
    except GorsethreadError as error:
        print_error(error)
        raise typer.Exit(2) from None
    text = b"".join(line + b"\n" for line in lines).decode()
    if to:
        Path(to).write_text(text)
    else:
        typer.echo(text, nl=False)
    typer.echo(", ".join(f"{n} {kind}" for kind, n in counts.items()) or "no records", err=True)


@app.command()
def accept(
    folder: Folder, head: Annotated[int, typer.Option(help="Number of the gateway whose records they are.")]
) -> None:
    """Accept the loss of a gateway's own records: it will place extents anew that it has no record of.

    Also ends the wait of a gateway with complete records for others that never return. This gateway can no
    longer find the data of extents whose place only the lost records named.
    """
    own = folder / f"own-{head}"
    try:
        own.mkdir(parents=True, exist_ok=True)
        (own / LOSS_ACCEPTED_FILE).touch()
    except OSError as error:
        typer.echo(f"{own}: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    typer.echo(f"{own}: accepted; a running gateway notices it within a second")
