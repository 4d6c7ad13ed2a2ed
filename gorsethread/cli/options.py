"""Options and helpers that several commands share."""

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from gorsethread.errors import GorsethreadError
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import SiteFileError, read_site

SitePath = Annotated[Path, typer.Option("--site", help="The site file (protobuf text format).")]


def print_error(error: GorsethreadError, source: str = "") -> None:
    """Prints an error and what can be done about it on standard error. source: a prefix for each line."""
    for line in error.lines:
        typer.echo(f"{source}: {line}" if source else line, err=True)


def read_site_or_exit(path: Path) -> pb.Site:
    """Returns the site file's contents; if it is invalid, prints its faults and exits with status 2."""
    try:
        return read_site(path)
    except SiteFileError as error:
        print_error(error)
        raise typer.Exit(2) from None


def write_json(result: dict[str, Any], path: str) -> None:
    """Writes the result as JSON to path: a file, "-" for standard output, or "" for nowhere."""
    text = json.dumps(result, indent=1) + "\n"
    if path == "-":
        sys.stdout.write(text)
    elif path:
        Path(path).write_text(text)


def read_seeds_or_exit(text: str) -> range:
    """Returns the seeds of an option like 0..999 or 7; exits with status 2 if it is not like that."""
    first, dots, last = text.partition("..")
    if not first.isdigit() or dots and not last.isdigit() or dots and int(last) < int(first):
        typer.echo(f"--seeds: {text!r} is not like 0..999", err=True)
        raise typer.Exit(2)
    return range(int(first), int(last or first) + 1)
