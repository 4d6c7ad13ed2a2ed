"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

import typer

from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import BadSite, read_site

SitePath = Annotated[Path, typer.Option("--site", help="The site file (protobuf text format).")]


def site_at(path: Path) -> pb.Site:
    """Exits with 2, its faults told, where it is no good."""
    try:
        return read_site(path)
    except BadSite as bad:
        for fault in bad.faults:
            typer.echo(fault, err=True)
        raise typer.Exit(2) from None
