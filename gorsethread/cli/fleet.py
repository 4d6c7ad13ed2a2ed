"""gorsethread fleet: shows which gateways one gateway of a fleet believes to be running."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import write_json
from gorsethread.experiments.operator_queries import NoAnswer, Shown, ask, ask_past
from gorsethread.logs import log_for, start_logs
from gorsethread.membership.gossip_messages import Address, MemberRecord, MemberState
from gorsethread.nvme_gateway.membership_service import MembershipService
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.site_config.reading import SiteFileError, read_site, split_address
from gorsethread.transport.real import RealTransport, run

app = typer.Typer(
    name="fleet", no_args_is_help=True, help="Show the fleet's members, as one of its gateways sees them."
)
Fleet = Annotated[
    int,
    typer.Option(
        help="The fleet's number, as its gateways' logs give it; messages of other fleets are ignored. "
        "Not needed with --site."
    ),
]
Head = Annotated[
    str,
    typer.Option(
        help="host:port where the gateway receives datagrams, on this machine; with --site, its number."
    ),
]
Site = Annotated[str, typer.Option(help="The site file (protobuf text format) that the gateway runs with.")]
Json = Annotated[str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")]

# Names of a record's fields in the JSON output, where they differ from those in MemberRecord.
JSON_NAMES = {"member": "name", "incarnation": "life", "refutation": "incarnation", "reported_by": "by"}


def _exit_with(text: str) -> typer.Exit:
    """Prints an error and returns the exit with status 2, to be raised."""
    typer.echo(text, err=True)
    return typer.Exit(2)


def address_of(text: str, name: str) -> Address:
    """Parses the host:port of the option called name; exits with status 2 if it is invalid."""
    try:
        host, port = split_address(text)
    except ValueError:
        host, port = "", 0
    if not host or not 0 < port < 65536:
        raise _exit_with(f"--{name}: {text!r} is not host:port")
    return host, port


def _target(head: str, fleet: int, site: str) -> tuple[Address, int]:
    """Returns the address of the gateway to ask and its fleet's number; exits with status 2 if not found."""
    if not site:
        return address_of(head, "head"), fleet
    try:
        known = read_site(Path(site))
    except SiteFileError as error:
        raise _exit_with("\n".join(error.lines)) from None
    except OSError as error:
        raise _exit_with(f"{site}: {error.strerror}") from None
    at = next((h.peers for h in known.head if str(h.number) == head), None)
    if not at:
        raise _exit_with(
            f"--head: {site} has no gateway {head!r}"
            if at is None
            else f"--head: gateway {head} of {site} has no address for its peers"
        )
    return address_of(at, "head"), fleet_id(known)


def _ask_or_exit(question: Callable[[RealTransport], Awaitable[Any]], command: str) -> Any:
    """Returns the answer to a question; exits with status 2 if there is none."""
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        try:
            found["answer"] = await question(transport)
        except NoAnswer as error:
            found["error"] = error

    run(work)
    if "error" in found:
        raise _exit_with(f"fleet {command}: {found['error']}")
    return found["answer"]


def _state(record: MemberRecord) -> str:
    return MemberState(record.state).name.lower()


def record_as_json(record: MemberRecord) -> dict[str, Any]:
    """Returns a record's fields under their names in the JSON output."""
    fields = record._asdict()
    return {JSON_NAMES.get(name, name): value for name, value in fields.items()}


@app.callback()
def fleet() -> None:
    """Show the fleet's members, as one of its gateways sees them."""


@app.command()
def show(head: Head, fleet: Fleet = 0, site: Site = "", json_path: Json = "") -> None:
    """Show one gateway's membership view: state, incarnation and address of each member, and who reported it.

    Exit status 2: no answer.
    """
    address, which = _target(head, fleet, site)
    shown: Any = _ask_or_exit(lambda transport: ask(transport, address, which), "show")
    table = Table("head", "state", "life", "incarnation", "zone", "address", "reported by")
    for _, record in sorted(shown.words.items()):
        table.add_row(
            str(record.member),
            _state(record),
            str(record.incarnation),
            str(record.refutation),
            str(record.zone),
            f"{record.host}:{record.port}",
            str(record.reported_by),
        )
    console = Console(stderr=json_path == "-")
    console.print(table)
    console.print(
        f"gateway {shown.me.member}: {', '.join(shown.own) or 'not settled'}; view {shown.digest:08x}"
    )
    write_json(
        {
            "head": shown.me.member,
            "own": shown.own,
            "digest": shown.digest,
            "words": [record_as_json(record) for _, record in sorted(shown.words.items())],
        },
        json_path,
    )


@app.command()
def history(head: Head, fleet: Fleet = 0, site: Site = "", json_path: Json = "") -> None:
    """Show the changes that one gateway keeps of its view, oldest first. Exit status 2: no answer."""
    address, which = _target(head, fleet, site)
    found: list[tuple[float, MemberRecord]] = _ask_or_exit(
        lambda transport: ask_past(transport, address, which), "history"
    )
    table = Table("seconds ago", "head", "state", "life", "incarnation", "reported by")
    for age, record in found:
        table.add_row(
            f"{age:.1f}",
            str(record.member),
            _state(record),
            str(record.incarnation),
            str(record.refutation),
            str(record.reported_by),
        )
    Console(stderr=json_path == "-").print(table)
    write_json(
        {"changes": [{"seconds_ago": age, **record_as_json(record)} for age, record in found]}, json_path
    )


@app.command()
def watch(
    head: Head,
    fleet: Fleet = 0,
    site: Site = "",
    every: Annotated[float, typer.Option(help="Seconds between two requests for the view.")] = 1.0,
    seconds: Annotated[float, typer.Option("--for", help="Seconds to watch; 0: until interrupted.")] = 0.0,
) -> None:
    """Print each change of one gateway's view as it happens, and when the gateway does not answer."""
    if every < 0.1 or seconds < 0:
        raise _exit_with("--every must be 0.1 or more, --for 0 or more")
    address, which = _target(head, fleet, site)

    async def poll(transport: RealTransport) -> None:
        previous: Shown | None = None
        answered, started = True, transport.now()
        while not seconds or transport.now() < started + seconds:
            try:
                shown = await ask(transport, address, which, max(every, 1.0))
            except NoAnswer as error:
                if answered:
                    typer.echo(f"{transport.now() - started:8.1f}  {error}")
                answered = False
            else:
                for line in _differences(previous, shown, not answered):
                    typer.echo(f"{transport.now() - started:8.1f}  {line}")
                previous, answered = shown, True
            await transport.sleep(every)

    _ask_or_exit(poll, "watch")


def _differences(previous: Shown | None, now: Shown, back: bool) -> list[str]:
    """Returns a line for each difference from the view before. back: the gateway had not answered before."""
    lines = ["the gateway answers again"] if back else []
    if previous is None or previous.own != now.own:
        lines.append(f"gateway {now.me.member if now.me else '?'}: {', '.join(now.own) or 'not settled'}")
    for name, record in sorted(now.words.items()):
        old = previous.words.get(name) if previous else None
        if old is None or (old.incarnation, old.state) != (record.incarnation, record.state):
            was = f", was {_state(old)}" if old is not None and old.incarnation == record.incarnation else ""
            lines.append(
                f"gateway {name} is {_state(record)}{was}, incarnation {record.incarnation}, "
                f"reported by gateway {record.reported_by}"
            )
    return lines


@app.command(hidden=True)
def agent(
    number: Annotated[int, typer.Option()],
    listen: Annotated[str, typer.Option()],
    address: Annotated[str, typer.Option()],
    fleet: Fleet,
    zone: int = 0,
    contact: Annotated[list[str] | None, typer.Option()] = None,
) -> None:
    """Run a process that only keeps a membership view of the fleet, until SIGTERM."""
    start_logs(True)
    here = address_of(address, "address")
    known = tuple(address_of(c, "contact") for c in contact or [])

    async def work(transport: RealTransport) -> None:
        me = MemberRecord(number, 0, 0, MemberState.ALIVE, zone, 0, *here, number)
        side = MembershipService(
            transport, me, address_of(listen, "listen"), known, frozenset(known), fleet, log_for(head=number)
        )
        transport.on_terminate(transport.finish)
        side.start()
        await transport.until_finished()
        side.stop()
        await asyncio.sleep(0.05)

    run(work, number)
