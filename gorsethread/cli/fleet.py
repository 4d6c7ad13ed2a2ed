"""gorsethread fleet: what heads know of each other."""

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

app = typer.Typer(name="fleet", no_args_is_help=True, help="What heads know of each other.")
Fleet = Annotated[
    int,
    typer.Option(
        help="Which fleet, as its heads' logs name it; messages of another are "
        "not listened to. Not needed with --site."
    ),
]
Head = Annotated[
    str, typer.Option(help="Where the head's datagrams come in, on this machine; with --site " "its number.")
]
Site = Annotated[str, typer.Option(help="The site file (protobuf text format) that the head runs by.")]
Json = Annotated[str, typer.Option("--json", help="Write it here; - for standard output.")]

JSON_NAMES = {"member": "name", "incarnation": "life", "refutation": "incarnation", "reported_by": "by"}


def _end(text: str) -> typer.Exit:
    typer.echo(text, err=True)
    return typer.Exit(2)


def address_of(text: str, name: str) -> Address:
    try:
        host, port = split_address(text)
    except ValueError:
        host, port = "", 0
    if not host or not 0 < port < 65536:
        raise _end(f"--{name}: {text!r} is no host:port")
    return host, port


def _whom(head: str, fleet: int, site: str) -> tuple[Address, int]:
    if not site:
        return address_of(head, "head"), fleet
    try:
        known = read_site(Path(site))
    except SiteFileError as bad:
        raise _end("\n".join(bad.lines)) from None
    except OSError as error:
        raise _end(f"{site}: {error.strerror}") from None
    at = next((h.peers for h in known.head if str(h.number) == head), None)
    if not at:
        raise _end(
            f"--head: {site} has no head {head!r}"
            if at is None
            else f"--head: head {head} of {site} has no address for peers"
        )
    return address_of(at, "head"), fleet_id(known)


def _asked(question: Callable[[RealTransport], Awaitable[Any]], command: str) -> Any:
    """What came of it; status 2 where no answer did."""
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        try:
            found["answer"] = await question(transport)
        except NoAnswer as error:
            found["error"] = error

    run(work)
    if "error" in found:
        raise _end(f"fleet {command}: {found['error']}")
    return found["answer"]


def _state(w: MemberRecord) -> str:
    return MemberState(w.state).name.lower()


def record_as_json(w: MemberRecord) -> dict[str, Any]:
    """A record under the names of its fields in this command's JSON."""
    fields = w._asdict()
    return {JSON_NAMES.get(name, name): value for name, value in fields.items()}


@app.callback()
def fleet() -> None:
    """What heads know of each other."""


@app.command()
def show(head: Head, fleet: Fleet = 0, site: Site = "", json_path: Json = "") -> None:
    """One head's view: each head's state and life, its place, who said so. Status 2: no answer."""
    address, which = _whom(head, fleet, site)
    shown: Any = _asked(lambda transport: ask(transport, address, which), "show")
    table = Table("head", "state", "life", "incarnation", "zone", "address", "said by")
    for _, w in sorted(shown.words.items()):
        table.add_row(
            str(w.member),
            _state(w),
            str(w.incarnation),
            str(w.refutation),
            str(w.zone),
            f"{w.host}:{w.port}",
            str(w.reported_by),
        )
    console = Console(stderr=json_path == "-")
    console.print(table)
    console.print(f"head {shown.me.member}: {', '.join(shown.own) or 'not settled'}; view {shown.digest:08x}")
    write_json(
        {
            "head": shown.me.member,
            "own": shown.own,
            "digest": shown.digest,
            "words": [record_as_json(w) for _, w in sorted(shown.words.items())],
        },
        json_path,
    )


@app.command()
def history(head: Head, fleet: Fleet = 0, site: Site = "", json_path: Json = "") -> None:
    """The changes of one head's view that it keeps, oldest first. Status 2: no answer."""
    address, which = _whom(head, fleet, site)
    found: list[tuple[float, MemberRecord]] = _asked(
        lambda transport: ask_past(transport, address, which), "history"
    )
    table = Table("seconds ago", "head", "state", "life", "incarnation", "said by")
    for age, w in found:
        table.add_row(
            f"{age:.1f}", str(w.member), _state(w), str(w.incarnation), str(w.refutation), str(w.reported_by)
        )
    Console(stderr=json_path == "-").print(table)
    write_json({"changes": [{"seconds_ago": age, **record_as_json(w)} for age, w in found]}, json_path)


@app.command()
def watch(
    head: Head,
    fleet: Fleet = 0,
    site: Site = "",
    every: Annotated[float, typer.Option(help="Seconds between two looks.")] = 1.0,
    seconds: Annotated[float, typer.Option("--for", help="Seconds to watch; 0: until ended.")] = 0.0,
) -> None:
    """Tells each change of one head's view as it comes, a line each, and when the head does not answer."""
    if every < 0.1 or seconds < 0:
        raise _end("--every is 0.1 or more, --for 0 or more")
    address, which = _whom(head, fleet, site)

    async def look(transport: RealTransport) -> None:
        before: Shown | None = None
        answered, begun = True, transport.now()
        while not seconds or transport.now() < begun + seconds:
            try:
                shown = await ask(transport, address, which, max(every, 1.0))
            except NoAnswer as error:
                if answered:
                    typer.echo(f"{transport.now() - begun:8.1f}  {error}")
                answered = False
            else:
                for line in _differences(before, shown, not answered):
                    typer.echo(f"{transport.now() - begun:8.1f}  {line}")
                before, answered = shown, True
            await transport.sleep(every)

    _asked(look, "watch")


def _differences(before: Shown | None, now: Shown, back: bool) -> list[str]:
    """Lines for what one look found that the one before had not."""
    lines = ["it answers again"] if back else []
    if before is None or before.own != now.own:
        lines.append(f"head {now.me.member if now.me else '?'}: {', '.join(now.own) or 'not settled'}")
    for name, w in sorted(now.words.items()):
        old = before.words.get(name) if before else None
        if old is None or (old.incarnation, old.state) != (w.incarnation, w.state):
            was = f", was {_state(old)}" if old is not None and old.incarnation == w.incarnation else ""
            lines.append(f"head {name} is {_state(w)}{was}, life {w.incarnation}, says head {w.reported_by}")
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
    """A process that keeps a view of the fleet and nothing else, until SIGTERM."""
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
