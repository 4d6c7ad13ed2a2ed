"""gorsethread branch: shows and handles the writes that a branch's gateway queues while offline."""

from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import SitePath, print_error, read_site_or_exit, write_json
from gorsethread.errors import GorsethreadError
from gorsethread.experiments.operator_queries import NoAnswer, ask_branch
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.site_config.reading import split_address
from gorsethread.transport.real import RealTransport, run

app = typer.Typer(
    name="branch", no_args_is_help=True, help="Show and handle the writes that a branch queues while offline."
)
Head = Annotated[int, typer.Option(help="Number of the branch's gateway; it runs on this machine.")]
Number = Annotated[
    str, typer.Option(help="Number of the write, as 'parked' shows it: gateway/incarnation/position.")
]
Json = Annotated[str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")]


class CommandRefusedError(GorsethreadError):
    """The gateway refused the command; the text says why."""

    action = (
        "Run 'gorsethread branch parked' to list the writes that wait now, and give one of their numbers."
    )


class NotInBranchError(GorsethreadError):
    """The site file has no such gateway, or the gateway is in no branch."""

    action = "Name a gateway that is in a branch of this site file."


@app.callback()
def branch() -> None:
    """Show and handle the writes that a branch queues while offline."""


def _ask_gateway(
    site: Any, head: int, what: str, number: tuple[int, int, int] | None = None
) -> dict[str, Any]:
    """Returns the gateway's answer; exits with status 2 if it can't be asked, 1 if it refuses."""
    site_settings = read_site_or_exit(site)
    address = next((h.peers for h in site_settings.head if h.number == head), "")
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        try:
            if not any(head in b.head for b in site_settings.branch):
                raise NotInBranchError(f"gateway {head} is in no branch of {site_settings.name}")
            found["answer"] = await ask_branch(
                transport, split_address(address), fleet_id(site_settings), what, number
            )
        except (NotInBranchError, NoAnswer) as error:
            found["error"] = error

    run(work)
    if "error" in found:
        print_error(found["error"])
        raise typer.Exit(2)
    answer: dict[str, Any] = found["answer"]
    if "error" in answer:
        print_error(CommandRefusedError(answer["error"]))
        raise typer.Exit(1)
    return answer


def _parse_number(text: str) -> tuple[int, int, int]:
    try:
        gateway, incarnation, position = (int(part) for part in text.split("/"))
    except ValueError:
        typer.echo(f"--number: {text!r} is not like 3/1800000000550/12", err=True)
        raise typer.Exit(2) from None
    return gateway, incarnation, position


def _number_text(number: list[int]) -> str:
    return "/".join(map(str, number))


@app.command()
def show(site: SitePath, head: Head, json_path: Json = "") -> None:
    """Show the state of the link, the write queue and its replay. Exit status 2: no answer."""
    answer = _ask_gateway(site, head, "show")
    console = Console(stderr=json_path == "-")
    for name, value in answer.items():
        if isinstance(value, dict):
            value = ", ".join(f"{k} {v}" for k, v in sorted(value.items())) or "none"
        console.print(f"{name.replace('_', ' ')}: {value}", highlight=False)
    write_json(answer, json_path)


@app.command()
def history(site: SitePath, head: Head, json_path: Json = "") -> None:
    """Show the changes of the gateway's write queue since its start that it keeps, oldest first."""
    answer = _ask_gateway(site, head, "history")
    table = Table("at (seconds since the epoch)", "what", "write", "")
    for change in answer["changes"]:
        number = _number_text(change["number"]) if change["number"] else ""
        table.add_row(str(change["at"]), change["what"], number, change["text"])
    Console(stderr=json_path == "-").print(table)
    write_json(answer, json_path)


@app.command()
def parked(site: SitePath, head: Head, json_path: Json = "") -> None:
    """Show the dead-lettered writes, which wait for a decision, and why. Exit status 0: none, 1: some."""
    answer = _ask_gateway(site, head, "parked")
    table = Table("write", "volume", "block", "bytes", "age, s", "reason")
    for write in answer["parked"]:
        table.add_row(
            _number_text(write["number"]),
            str(write["volume"]),
            str(write["block"]),
            str(write["bytes"]),
            str(write["age"]),
            write["reason"],
        )
    Console(stderr=json_path == "-").print(table)
    write_json(answer, json_path)
    raise typer.Exit(1 if answer["parked"] else 0)


@app.command()
def release(site: SitePath, head: Head, number: Number, json_path: Json = "") -> None:
    """Replay a dead-lettered write after all, whatever its blocks hold now and though it may have run.

    The writes that were dead-lettered only because of it are released with it.
    """
    answer = _ask_gateway(site, head, "release", _parse_number(number))
    typer.echo("released: " + ", ".join(_number_text(n) for n in answer["released"]))
    write_json(answer, json_path)


@app.command()
def discard(
    site: SitePath,
    head: Head,
    number: Number,
    again: Annotated[
        str,
        typer.Option("--yes", help="The same number again, to confirm: a discarded write is lost for good."),
    ] = "",
    json_path: Json = "",
) -> None:
    """Discard a dead-lettered write for good; a record of that stays on the disk."""
    if again != number:
        typer.echo(f"a discarded write is lost for good; to confirm, add --yes {number}", err=True)
        raise typer.Exit(2)
    answer = _ask_gateway(site, head, "discard", _parse_number(number))
    typer.echo(f"discarded: {_number_text(answer['discarded'])}")
    write_json(answer, json_path)
