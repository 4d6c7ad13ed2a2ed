"""gorsethread branch: what a branch's head holds for the main site, and what waits for a person."""

from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import SitePath, site_at, tell, write_json
from gorsethread.errors import GorsethreadError
from gorsethread.experiments.operator_queries import NoAnswer, ask_branch
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.site_config.reading import split_address
from gorsethread.transport.real import RealTransport, run

app = typer.Typer(name="branch", no_args_is_help=True, help="What a branch holds for the main site.")
Head = Annotated[int, typer.Option(help="The branch's head, by its number; it runs on this machine.")]
Number = Annotated[str, typer.Option(help="Of the write, as 'parked' shows it: head/life/place.")]
Json = Annotated[str, typer.Option("--json", help="Write it here; - for standard output.")]


class NotDone(GorsethreadError):
    """The head did not do what it was asked; the text says why."""

    action = "Look at 'gorsethread branch parked' for what waits now, and name one of these numbers."


class NoBranch(GorsethreadError):
    """The site file has no such head, or it is in no branch."""

    action = "Name a head that stands in a branch of this site file."


@app.callback()
def branch() -> None:
    """What a branch holds for the main site."""


def _asked(site: Any, head: int, what: str, number: tuple[int, int, int] | None = None) -> dict[str, Any]:
    """What the head says; status 2 where it can't be asked, 1 where it refused."""
    known = site_at(site)
    address = next((h.peers for h in known.head if h.number == head), "")
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        try:
            if not any(head in b.head for b in known.branch):
                raise NoBranch(f"head {head} is in no branch of {known.name}")
            found["answer"] = await ask_branch(
                transport, split_address(address), fleet_id(known), what, number
            )
        except (NoBranch, NoAnswer) as trouble:
            found["trouble"] = trouble

    run(work)
    if "trouble" in found:
        tell(found["trouble"])
        raise typer.Exit(2)
    answer: dict[str, Any] = found["answer"]
    if "error" in answer:
        tell(NotDone(answer["error"]))
        raise typer.Exit(1)
    return answer


def _number(text: str) -> tuple[int, int, int]:
    try:
        head, life, place = (int(part) for part in text.split("/"))
    except ValueError:
        typer.echo(f"--number: {text!r} is not like 3/1800000000550/12", err=True)
        raise typer.Exit(2) from None
    return head, life, place


def _named(number: list[int]) -> str:
    return "/".join(map(str, number))


@app.command()
def show(site: SitePath, head: Head, json_path: Json = "") -> None:
    """The link, the queue, how far its replay is. Status 2: no answer."""
    answer = _asked(site, head, "show")
    console = Console(stderr=json_path == "-")
    for name, value in answer.items():
        if isinstance(value, dict):
            value = ", ".join(f"{k} {v}" for k, v in sorted(value.items())) or "none"
        console.print(f"{name.replace('_', ' ')}: {value}", highlight=False)
    write_json(answer, json_path)


@app.command()
def history(site: SitePath, head: Head, json_path: Json = "") -> None:
    """What this head's queue went through since its start, as far as it keeps it, oldest first."""
    answer = _asked(site, head, "history")
    table = Table("at (seconds since the epoch)", "what", "write", "")
    for c in answer["changes"]:
        table.add_row(str(c["at"]), c["what"], _named(c["number"]) if c["number"] else "", c["text"])
    Console(stderr=json_path == "-").print(table)
    write_json(answer, json_path)


@app.command()
def parked(site: SitePath, head: Head, json_path: Json = "") -> None:
    """Writes that wait for a person, each with its reason. Status 0: none; 1: some."""
    answer = _asked(site, head, "parked")
    table = Table("write", "volume", "block", "bytes", "age, s", "reason")
    for p in answer["parked"]:
        table.add_row(
            _named(p["number"]),
            str(p["volume"]),
            str(p["block"]),
            str(p["bytes"]),
            str(p["age"]),
            p["reason"],
        )
    Console(stderr=json_path == "-").print(table)
    write_json(answer, json_path)
    raise typer.Exit(1 if answer["parked"] else 0)


@app.command()
def release(site: SitePath, head: Head, number: Number, json_path: Json = "") -> None:
    """A parked write is to be put into effect after all, whatever its blocks hold now, and though it may have
    run; with it go those that were parked for its sake alone."""
    answer = _asked(site, head, "release", _number(number))
    typer.echo("released: " + ", ".join(_named(n) for n in answer["released"]))
    write_json(answer, json_path)


@app.command()
def discard(
    site: SitePath,
    head: Head,
    number: Number,
    again: Annotated[
        str, typer.Option("--yes", help="The same number once more: what is discarded is gone for good.")
    ] = "",
    json_path: Json = "",
) -> None:
    """A parked write is given up for good; a record of that stays on the disk."""
    if again != number:
        typer.echo(f"what is discarded is gone for good: say --yes {number}", err=True)
        raise typer.Exit(2)
    answer = _asked(site, head, "discard", _number(number))
    typer.echo(f"discarded: {_named(answer['discarded'])}")
    write_json(answer, json_path)
