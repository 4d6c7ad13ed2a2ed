"""Options that several commands share."""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from gorsethread.errors import GorsethreadError
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import SiteFileError, read_site

SitePath = Annotated[Path, typer.Option("--site", help="The site file (protobuf text format).")]


def tell(trouble: GorsethreadError, place: str = "") -> None:
    """On standard error: each fault, and what can be done."""
    for line in trouble.lines:
        typer.echo(f"{place}: {line}" if place else line, err=True)


def site_at(path: Path) -> pb.Site:
    """Exits with 2, its faults told, where it is no good."""
    try:
        return read_site(path)
    except SiteFileError as bad:
        tell(bad)
        raise typer.Exit(2) from None


def write_json(result: dict[str, Any], path: str) -> None:
    """Where --json says: a file, - for standard output, "" for nowhere."""
    text = json.dumps(result, indent=1) + "\n"
    if path == "-":
        sys.stdout.write(text)
    elif path:
        Path(path).write_text(text)
