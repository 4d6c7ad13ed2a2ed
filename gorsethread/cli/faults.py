"""gorsethread faults: worlds on the virtual clock, drawn from seeds or written by hand."""

import sys
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import SitePath, site_at, tell, write_json
from gorsethread.experiments.script_comparison import beside
from gorsethread.harness.process_faults import unplayable
from gorsethread.harness.site import PARTIES, PLAYED
from gorsethread.simulation.durable_log_mutants import KEPT_MUTANTS
from gorsethread.simulation.http_mutants import WEB_MUTANTS
from gorsethread.simulation.mutants import MUTANTS
from gorsethread.simulation.runs import (
    Summary,
    drawn,
    play,
    play_many,
    shrink,
    timeline,
    until_caught,
    zero_of,
)
from gorsethread.simulation.script import ACT_KINDS, InvalidScriptError, Script, read_script
from gorsethread.simulation.site_simulation import unsupported_acts
from gorsethread.simulation.states import STATES, WEB_STATES
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.sampling import wall_seconds

DEFAULT_SITE = Path("deploy/site.txtpb")
SHOWN_MOST = 10

app = typer.Typer(
    name="faults",
    no_args_is_help=True,
    help="The whole program under one seed, on a virtual clock, with every rule judged.",
)

What = Annotated[str, typer.Argument(help="A seed, or the path of a script.")]
Planted = Annotated[str, typer.Option(help="Plant this defect in every head (see 'faults mutants').")]
AtOnce = Annotated[int, typer.Option(help="Worlds side by side; 0: as many as there are cores.")]
Web = Annotated[bool, typer.Option("--web", help="Heads on the operators' platform, not the NVMe front.")]
Kept = Annotated[
    bool, typer.Option("--records", help="Heads that keep records and copies, on disks that fail.")
]
JsonPath = Annotated[str, typer.Option("--json", help="Write the result here; - for standard output.")]


def _seeds(text: str) -> range:
    first, dots, last = text.partition("..")
    if not first.isdigit() or dots and not last.isdigit() or dots and int(last) < int(first):
        typer.echo(f"--seeds: {text!r} is not like 0..999", err=True)
        raise typer.Exit(2)
    return range(int(first), int(last or first) + 1)


def _script(site: pb.Site, what: str, web: bool = False, kept: bool = False) -> Script:
    if what.isdigit():
        return drawn(site, int(what), web, kept)
    try:
        script = read_script(Path(what).read_text())
        if no := unsupported_acts(site, script, web, kept):
            raise InvalidScriptError(no)
        return script
    except OSError as error:
        typer.echo(f"{what}: {error.strerror}", err=True)
    except InvalidScriptError as bad:
        tell(bad, what)
    raise typer.Exit(2)


def _mutants_of(web: bool, kept: bool) -> list[str]:
    return [*KEPT_MUTANTS] if kept else [*WEB_MUTANTS] if web else [*MUTANTS]


def _mutant(name: str, web: bool = False, kept: bool = False) -> str:
    """The one defect whose name has this in it."""
    found = [m for m in _mutants_of(web, kept) if name in m] if name else [""]
    if len(found) != 1:
        typer.echo(
            f"--mutant: {name!r} is in the names of {len(found)} defects; see 'faults mutants'", err=True
        )
        raise typer.Exit(2)
    return found[0]


@app.command()
def run(
    site: SitePath = DEFAULT_SITE,
    seeds: Annotated[str, typer.Option(help="First and last.")] = "0..199",
    at_once: AtOnce = 0,
    mutant: Planted = "",
    web: Web = False,
    kept: Kept = False,
    json_path: JsonPath = "",
) -> None:
    """Plays the worlds of many seeds. Status 0: every rule held in each, and nothing was left behind."""
    known, wanted, planted = site_at(site), _seeds(seeds), _mutant(mutant, web, kept)
    console = Console(stderr=json_path == "-")
    summary, began = Summary(), wall_seconds()
    for played in play_many(known, wanted, at_once, planted, web, kept):
        summary.add(played)
        if played.reasons and len(summary.failed) <= SHOWN_MOST:
            console.print(f"seed {played.seed}: {', '.join(played.reasons)}", markup=False)
            console.print(played.first, markup=False, highlight=False)
    wall = wall_seconds() - began
    pairs = len(ACT_KINDS) * len(WEB_STATES if web else STATES)
    unreached = summary.unreached(web)
    console.print(
        f"{summary.worlds} worlds, {summary.taken} transactions: {len(summary.failed)} failed. "
        f"{summary.virtual / wall:.0f} virtual seconds a real one, "
        f"{summary.virtual / summary.cost:.0f} a second of one core; {len(unreached)} of at most "
        f"{pairs} pairs of fault and state not met"
    )
    write_json(
        {
            "worlds": summary.worlds,
            "taken": summary.taken,
            "failed": [vars(p) for p in summary.failed],
            "virtual_seconds": summary.virtual,
            "wall_seconds": wall,
            "cpu_seconds": summary.cost,
            "pairs": dict(sorted(summary.states.items())),
            "unreached": unreached,
        },
        json_path,
    )
    raise typer.Exit(1 if summary.failed else 0)


@app.command()
def kinds() -> None:
    """Lists the acts that a script may have: whom each strikes and what else it takes."""
    table = Table("act", "strikes", "takes", "what it does")
    for name, kind in ACT_KINDS.items():
        takes = [
            word
            for word, needed in (
                ("-> or <-> whom", kind.has_peer),
                ("by AMOUNT", kind.has_amount),
                ("for SECONDS", kind.lasts),
            )
            if needed
        ]
        table.add_row(name, ", ".join(kind.targets), " ".join(takes), kind.effect)
    Console().print(table)


@app.command()
def replay(
    what: What,
    site: SitePath = DEFAULT_SITE,
    mutant: Planted = "",
    web: Web = False,
    kept: Kept = False,
    json_path: JsonPath = "",
    every: Annotated[
        bool, typer.Option("--all", help="Every step that shelves and clients saw, not just of what broke.")
    ] = False,
) -> None:
    """Plays one world twice, checks that it was the same history, and tells it. Status 0: every rule held."""
    known = site_at(site)
    script, planted = _script(known, what, web, kept), _mutant(mutant, web, kept)
    console = Console(stderr=json_path == "-")
    console.print(str(script), markup=False, highlight=False)
    outcome, again = (play(known, script, planted, web, kept) for _ in range(2))
    zero = zero_of(outcome)
    if every:
        hidden = ("t", "who", "e", "start")
        for r in outcome.records:
            facts = " ".join(f"{k}={v}" for k, v in r.items() if k not in hidden)
            console.print(
                f"{r['t'] - zero:9.3f}  {r['who']:<18} {r['e']:<14} {facts}",
                markup=False,
                highlight=False,
                soft_wrap=True,
            )
    for line in timeline(outcome, zero):
        console.print(line, markup=False, highlight=False, soft_wrap=True)
    counts = ", ".join(f"{n} {w}" for w, n in outcome.verdict.counts.items() if n)
    console.print(f"{counts}; digest {outcome.digest}")
    same = outcome.digest == again.digest
    if not same:
        console.print("NOT THE SAME HISTORY TWICE: something rests on more than the seed")
    console.print("every rule held" if outcome.good else f"NOT GOOD: {', '.join(outcome.reasons)}")
    write_json(
        {
            "script": str(script),
            "reasons": outcome.reasons,
            "digest": outcome.digest,
            "same": same,
            "counts": outcome.verdict.counts,
            "rules": outcome.verdict.rules,
        },
        json_path,
    )
    raise typer.Exit(0 if outcome.good and same else 1)


@app.command("shrink")
def shrink_one(
    what: What,
    site: SitePath = DEFAULT_SITE,
    mutant: Planted = "",
    web: Web = False,
    kept: Kept = False,
    out: Annotated[str, typer.Option(help="Write the script here too.")] = "",
) -> None:
    """Cuts a failing world down to the few faults and volumes that matter; the script comes on standard
    output. Status 2: it does not fail."""
    known, planted = site_at(site), _mutant(mutant, web, kept)
    console = Console(stderr=True)
    try:
        small = shrink(
            known,
            _script(known, what, web, kept),
            planted,
            lambda line: console.print(line, markup=False, highlight=False),
            web,
            kept,
        )
    except ValueError as error:
        typer.echo(f"{what}: {error}", err=True)
        raise typer.Exit(2) from None
    sys.stdout.write(str(small))
    if out:
        Path(out).write_text(str(small))
    outcome = play(known, small, planted, web, kept)
    for line in timeline(outcome, zero_of(outcome), 1):
        console.print(line, markup=False, highlight=False, soft_wrap=True)


@app.command()
def compare(what: What, site: SitePath = DEFAULT_SITE, json_path: JsonPath = "") -> None:
    """Plays one script on real sockets, every process on its own, and on the virtual clock, side by side."""
    known = site_at(site)
    script = _script(known, what)
    if no := unplayable(script, PLAYED, PARTIES):
        typer.echo(f"{what}: real processes are not put through: {'; '.join(no)}", err=True)
        raise typer.Exit(2)
    found = beside(known, script)
    console = Console(stderr=json_path == "-")
    table = Table("figure", "real sockets", "virtual clock")
    for figure in ("taken", "rules"):
        table.add_row(figure, str(found["real"][figure]), str(found["virtual"][figure]))
    for group in ("parts", "volumes"):
        for name, value in found["real"][group].items():
            told = f"volume {name} in time" if group == "volumes" else name
            table.add_row(told, str(value), str(found["virtual"][group].get(name)))
    console.print(table)
    write_json(found, json_path)


@app.command()
def mutants(
    site: SitePath = DEFAULT_SITE,
    most: Annotated[int, typer.Option(help="Seeds to try for each.")] = 0,
    at_once: AtOnce = 0,
    only: Annotated[str, typer.Option(help="Those with this in their name.")] = "",
    web: Web = False,
    kept: Kept = False,
    json_path: JsonPath = "",
) -> None:
    """Lists the defects that can be planted; with --most, says how many seeds each takes to be caught.
    Status 1: one was not."""
    chosen = [name for name in _mutants_of(web, kept) if only in name]
    if not most:
        for name in chosen:
            typer.echo(name)
        return
    known, console = site_at(site), Console(stderr=json_path == "-")
    table = Table("planted defect", "first seed that shows it", "as")
    caught: dict[str, Any] = {}
    for name in chosen:
        played = until_caught(known, name, most, at_once, web, kept)
        caught[name] = None if played is None else {"seed": played.seed, "reasons": played.reasons}
        told = ("NONE", "") if played is None else (str(played.seed), ", ".join(played.reasons))
        console.print(f"{name}: {told[0]} {told[1]}", markup=False, highlight=False)
        table.add_row(name, *told)
    console.print(table)
    write_json(caught, json_path)
    raise typer.Exit(1 if None in caught.values() else 0)
