"""gorsethread lab: experiments."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import SitePath, site_at
from gorsethread.lab.accounts import experiment
from gorsethread.lab.sockets import compare

app = typer.Typer(name="lab", no_args_is_help=True, help="Experiments on loopback, with figures.")


@app.callback()
def lab() -> None:
    """Experiments on loopback, with figures."""


@app.command()
def accounts(site: SitePath = Path("deploy/site.txtpb"),
             seeds: Annotated[str, typer.Option(help="First and last, as 1..20.")] = "1..20",
             seconds: float = 8.0, heads: int = 2, shelves: int = 4,
             at_once: Annotated[int, typer.Option(help="Days played side by side.")] = 3,
             folder: Annotated[str, typer.Option(help="Keep every day's records and snapshots here.")] = "",
             as_json: Annotated[bool, typer.Option(
                 "--json", help="Print every run and the figures.")] = False) -> None:
    """Do the accounts name the right cause? A slow shelf, a flooding volume, both, neither, for each seed.

    Exit status 0: at least 95% right, under 2% accused on quiet days, nothing left over, every rule held.
    """
    known = site_at(site)
    first, _, last = seeds.partition("..")
    try:
        wanted = list(range(int(first), int(last or first) + 1))
    except ValueError:
        wanted = []
    if not wanted or seconds < 2 or min(heads, shelves, at_once) < 1:
        typer.echo("--seeds is like 1..20, --seconds 2 or more, the others 1 or more", err=True)
        raise typer.Exit(2)
    console = Console(stderr=True)

    async def whole() -> dict[str, Any]:
        return await experiment(known, wanted, seconds, heads, shelves, at_once,
                                lambda line: console.print(line, markup=False, highlight=False),
                                Path(folder) if folder else None)

    result = asyncio.run(whole())
    shown = result if as_json else result["figures"]
    sys.stdout.write(json.dumps(shown, indent=1) + "\n")
    f = result["figures"]
    good = (f["right_of_all"] >= 0.95 and f["accused_on_quiet_days"] < 0.02 and not f["remainders"]
            and not f["days_not_good"])
    raise typer.Exit(0 if good else 1)


@app.command()
def sockets(logs: Annotated[Path, typer.Argument(help="Folder with a log of each head.")],
            report: Annotated[Path, typer.Argument(help="The bench's report of that day, as JSON.")]) -> None:
    """What heads in service believe beside what the bench saw on the sockets, figure by figure."""
    try:
        heads = [path.read_text().splitlines() for path in sorted(logs.glob("*.log"))]
        rows = compare(heads, json.loads(report.read_text()))
    except (OSError, ValueError, KeyError, TypeError) as error:
        typer.echo(f"lab sockets: can't be compared: {error!r}", err=True)
        raise typer.Exit(2) from None
    table = Table("figure", "heads", "sockets", "heads less sockets")
    for name, told, seen in rows:
        table.add_row(name, str(told), str(seen), f"{told - seen:+d}")
    Console().print(table)
