"""gorsethread fleet: what heads know of each other."""

import asyncio
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import write_json
from gorsethread.head.fleet import FleetSide
from gorsethread.lab.asking import NoAnswer, ask
from gorsethread.logs import log_for, start_logs
from gorsethread.membership.words import Address, State, Word
from gorsethread.sitefile.reading import split_address
from gorsethread.transport.real import RealTransport, run

app = typer.Typer(name="fleet", no_args_is_help=True, help="What heads know of each other.")
Fleet = Annotated[int, typer.Option(help="Which fleet: messages of another are not listened to.")]


def address_of(text: str, name: str) -> Address:
    try:
        host, port = split_address(text)
    except ValueError:
        host, port = "", 0
    if not host or not 0 < port < 65536:
        typer.echo(f"--{name}: {text!r} is no host:port", err=True)
        raise typer.Exit(2)
    return host, port


@app.callback()
def fleet() -> None:
    """What heads know of each other."""


@app.command()
def show(head: Annotated[str, typer.Option(help="Where the head's datagrams come in, on this machine.")],
         fleet: Fleet = 0,
         json_path: Annotated[str, typer.Option("--json", help="Write it here; - for standard output.")] = "",
         ) -> None:
    """One head's view: each head's state and life, its place, who said so. Status 2: no answer."""
    address = address_of(head, "head")
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        try:
            found["view"] = await ask(transport, address, fleet)
        except NoAnswer as error:
            found["error"] = error

    run(work)
    if "error" in found:
        typer.echo(f"fleet show: {found['error']}", err=True)
        raise typer.Exit(2)
    shown: Any = found["view"]
    table = Table("head", "state", "life", "incarnation", "zone", "address", "said by")
    for _, w in sorted(shown.words.items()):
        table.add_row(str(w.name), State(w.state).name.lower(), str(w.life), str(w.incarnation), str(w.zone),
                      f"{w.host}:{w.port}", str(w.by))
    console = Console(stderr=json_path == "-")
    console.print(table)
    console.print(f"head {shown.me.name}: {', '.join(shown.own) or 'not settled'}; view {shown.digest:08x}")
    write_json({"head": shown.me.name, "own": shown.own, "digest": shown.digest,
                "words": [w._asdict() for _, w in sorted(shown.words.items())]}, json_path)


@app.command(hidden=True)
def agent(number: Annotated[int, typer.Option()], listen: Annotated[str, typer.Option()],
          address: Annotated[str, typer.Option()], fleet: Fleet, zone: int = 0,
          contact: Annotated[list[str], typer.Option()] = []) -> None:  # noqa: B006
    """A process that keeps a view of the fleet and nothing else, until SIGTERM."""
    start_logs(True)
    here, known = address_of(address, "address"), tuple(address_of(c, "contact") for c in contact)

    async def work(transport: RealTransport) -> None:
        me = Word(number, 0, 0, State.ALIVE, zone, 0, *here, number)
        side = FleetSide(transport, me, address_of(listen, "listen"), known, frozenset(known), fleet,
                         log_for(head=number))
        transport.on_terminate(transport.finish)
        side.start()
        await transport.until_finished()
        side.stop()
        await asyncio.sleep(0.05)

    run(work, number)
