"""gorsethread records: what a folder of records holds, read without the head."""

from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import tell, write_json
from gorsethread.durable_log.recovery import (
    LOSS_ACCEPTED_FILE,
    RecoveredLog,
    parse_segment_file_name,
    recover,
)
from gorsethread.errors import GorsethreadError

app = typer.Typer(name="records", no_args_is_help=True, help="What a folder of records holds.")
Folder = Annotated[Path, typer.Argument(help="The folder given to a head by --records.")]
Json = Annotated[str, typer.Option("--json", help="Write it here; - for standard output.")]


class NoRecords(GorsethreadError):
    """There is no folder, or nothing of a head's records in it."""

    action = "Name the folder that the head was given by --records."


@app.callback()
def records() -> None:
    """What a folder of records holds, read without the head."""


def _stores(folder: Path) -> list[Path]:
    """The own records in it, and each copy held for another head."""
    found = [p for p in (*folder.glob("own-*"), *folder.glob("copies/head-*")) if p.is_dir()]
    if not found:
        raise NoRecords(f"{folder}: there are no records")
    return sorted(found)


def _read(store: Path) -> RecoveredLog:
    """As a head would; whose they are is read from them. A head at work may remove a segment meanwhile."""
    files: dict[str, bytes] = {}
    for path in sorted(store.iterdir()):
        if parse_segment_file_name(path.name) is not None:
            try:
                files[path.name] = path.read_bytes()
            except FileNotFoundError:
                continue
    number = store.name.rpartition("-")[2]
    return recover(files, None, int(number) if number.isdigit() else None)


def _shown(folder: Path, store: Path) -> dict[str, Any]:
    r = _read(store)
    begins = [s.header for _, s in r.files if s is not None]
    return {
        "what": str(store.relative_to(folder)),
        "fleet": begins[0].fleet if begins else None,
        "life": r.newest[0],
        "last": list(r.table.last),
        "extents": len(r.table.placements()),
        "segments": len(r.files),
        "bytes": sum(p.stat().st_size for p in store.iterdir()),
        "torn_bytes": r.torn_bytes,
        "whole": r.complete,
        "empty": r.empty,
        "faults": r.faults,
    }


def _each(folder: Path) -> list[dict[str, Any]]:
    try:
        return [_shown(folder, store) for store in _stores(folder)]
    except GorsethreadError as trouble:
        tell(trouble)
        raise typer.Exit(2) from None
    except OSError as error:
        typer.echo(f"{folder}: {error.strerror}", err=True)
        raise typer.Exit(2) from None


@app.command()
def show(folder: Folder, json_path: Json = "") -> None:
    """What is kept: the head's own records, and copies of other heads'."""
    found = _each(folder)
    table = Table("records", "life", "last", "extents", "segments", "bytes", "whole")
    for one in found:
        table.add_row(
            one["what"],
            str(one["life"]),
            str(one["last"][1]),
            str(one["extents"]),
            str(one["segments"]),
            str(one["bytes"]),
            "yes" if one["whole"] else "NO",
        )
    Console(stderr=json_path == "-").print(table)
    write_json({"records": found}, json_path)


@app.command()
def verify(folder: Folder, json_path: Json = "") -> None:
    """Reads every frame. Status 0: nothing is lost; 1: something is, said by file and bytes."""
    found = _each(folder)
    for one in found:
        for fault in one["faults"]:
            typer.echo(f"{one['what']}/{fault}")
        if one["torn_bytes"]:
            typer.echo(
                f"{one['what']}: {one['torn_bytes']} bytes at an end are no whole record, as a kill "
                "leaves them; nothing that was promised is lost by that"
            )
    bad = [one["what"] for one in found if not one["whole"]]
    typer.echo(f"{len(found)} read; lost something: {', '.join(bad) or 'none'}")
    if bad:
        typer.echo(
            "to do: start the head while the others serve, it fetches what they hold; if these are "
            "gone for good: gorsethread records accept",
            err=True,
        )
    write_json({"records": found}, json_path)
    raise typer.Exit(1 if bad else 0)


@app.command()
def export(
    folder: Folder,
    to: Annotated[str, typer.Option(help="Write here; none: standard output.")] = "",
) -> None:
    """Every record that holds, one JSON object a line: whose, its number, what it says."""
    lines: list[bytes] = []
    counts: Counter[str] = Counter()
    try:
        for store in _stores(folder):
            for r in sorted(_read(store).table.records.values()):
                kind = str(r.fact.__struct_config__.tag)
                counts[kind] += 1
                said = dict(
                    zip(r.fact.__struct_encode_fields__, msgspec.structs.astuple(r.fact), strict=True)
                )
                lines.append(
                    msgspec.json.encode(
                        {
                            "of": str(store.relative_to(folder)),
                            "life": r.number[0],
                            "place": r.number[1],
                            "says": kind,
                            **said,
                        }
                    )
                )
    except GorsethreadError as trouble:
        tell(trouble)
        raise typer.Exit(2) from None
    text = b"".join(line + b"\n" for line in lines).decode()
    if to:
        Path(to).write_text(text)
    else:
        typer.echo(text, nl=False)
    typer.echo(", ".join(f"{n} {kind}" for kind, n in counts.items()) or "no records", err=True)


@app.command()
def accept(folder: Folder, head: Annotated[int, typer.Option(help="Whose own records.")]) -> None:
    """Says that what is lost of a head's own records is lost: it places anew what it does not know. Data of
    extents that only the lost records told of can't be found by this head any more."""
    own = folder / f"own-{head}"
    try:
        own.mkdir(parents=True, exist_ok=True)
        (own / LOSS_ACCEPTED_FILE).touch()
    except OSError as error:
        typer.echo(f"{own}: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    typer.echo(f"{own}: accepted; a head that is at work takes it within a second")
