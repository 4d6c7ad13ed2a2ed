"""gorsethread faults: simulations on a virtual clock, with faults drawn from a seed or read from a script."""

import sys
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import (
    SitePath,
    print_error,
    read_seeds_or_exit,
    read_site_or_exit,
    write_json,
)
from gorsethread.experiments.script_comparison import beside
from gorsethread.harness.process_faults import unsupported_acts
from gorsethread.harness.site import SUPPORTED_ACTS, SUPPORTED_PARTIES
from gorsethread.simulation.durable_log_mutants import DURABLE_LOG_MUTANTS
from gorsethread.simulation.http_mutants import HTTP_MUTANTS
from gorsethread.simulation.mutants import MUTANTS
from gorsethread.simulation.runs import (
    Summary,
    client_start_time,
    find_first_failing_seed,
    generate_script,
    play,
    play_many,
    shrink,
    timeline,
)
from gorsethread.simulation.script import ACT_KINDS, InvalidScriptError, Script, read_script
from gorsethread.simulation.site_simulation import mismatched_acts
from gorsethread.simulation.states import STATES, WEB_STATES
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.sampling import wall_seconds

DEFAULT_SITE = Path("deploy/site.txtpb")
MAX_SHOWN_FAILURES = 10

app = typer.Typer(
    name="faults",
    no_args_is_help=True,
    help="Simulate the whole program under one seed on a virtual clock, and check every rule.",
)

SeedOrScript = Annotated[str, typer.Argument(help="A seed, or the path of a script.")]
MutantOption = Annotated[str, typer.Option(help="Run every gateway with this mutant (see 'faults mutants').")]
AtOnce = Annotated[int, typer.Option(help="Simulations to run in parallel; 0: as many as there are cores.")]
Web = Annotated[bool, typer.Option("--web", help="Simulate the HTTP gateway instead of the NVMe gateway.")]
WithRecords = Annotated[
    bool, typer.Option("--records", help="Simulate gateways with durable records, on disks that fail.")
]
JsonPath = Annotated[
    str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")
]

AllEvents = Annotated[
    bool,
    typer.Option("--all", help="Print every event that backends and clients saw, not only of broken rules."),
]


def _script(site: pb.Site, what: str, web: bool = False, with_records: bool = False) -> Script:
    if what.isdigit():
        return generate_script(site, int(what), web, with_records)
    try:
        script = read_script(Path(what).read_text())
        if mismatches := mismatched_acts(site, script, web, with_records):
            raise InvalidScriptError(mismatches)
        return script
    except OSError as error:
        typer.echo(f"{what}: {error.strerror}", err=True)
    except InvalidScriptError as error:
        print_error(error, what)
    raise typer.Exit(2)


def _mutants_of(web: bool, with_records: bool) -> list[str]:
    return [*DURABLE_LOG_MUTANTS] if with_records else [*HTTP_MUTANTS] if web else [*MUTANTS]


def _mutant(name: str, web: bool = False, with_records: bool = False) -> str:
    """Returns the only mutant whose name contains this text; exits with status 2 if there is not just one."""
    found = [m for m in _mutants_of(web, with_records) if name in m] if name else [""]
    if len(found) != 1:
        typer.echo(
            f"--mutant: {name!r} is in the names of {len(found)} mutants; see 'faults mutants'", err=True
        )
        raise typer.Exit(2)
    return found[0]


@app.command()
def run(
    site: SitePath = DEFAULT_SITE,
    seeds: Annotated[str, typer.Option(help="First and last seed.")] = "0..199",
    at_once: AtOnce = 0,
    mutant: MutantOption = "",
    web: Web = False,
    with_records: WithRecords = False,
    json_path: JsonPath = "",
) -> None:
    """Run the simulations of many seeds.

    Exit status 0: in each, every rule held and nothing was left over.
    """
    settings, wanted, mutant_name = (
        read_site_or_exit(site),
        read_seeds_or_exit(seeds),
        _mutant(mutant, web, with_records),
    )
    console = Console(stderr=json_path == "-")
    summary, began = Summary(), wall_seconds()
    for played in play_many(settings, wanted, at_once, mutant_name, web, with_records):
        summary.add(played)
        if played.reasons and len(summary.failed) <= MAX_SHOWN_FAILURES:
            console.print(f"seed {played.seed}: {', '.join(played.reasons)}", markup=False)
            console.print(played.first, markup=False, highlight=False)
    wall = wall_seconds() - began
    pairs = len(ACT_KINDS) * len(WEB_STATES if web else STATES)
    unreached = summary.unreached(web)
    console.print(
        f"{summary.worlds} simulations, {summary.taken} requests: {len(summary.failed)} failed. "
        f"{summary.virtual / wall:.0f} virtual seconds per real second, "
        f"{summary.virtual / summary.cost:.0f} per CPU second; {len(unreached)} of at most "
        f"{pairs} pairs of fault and state not reached"
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
    """List the faults that a script may contain: their targets, arguments and effects."""
    table = Table("fault", "targets", "arguments", "effect")
    for name, kind in ACT_KINDS.items():
        arguments = [
            word
            for word, needed in (
                ("-> or <-> whom", kind.has_peer),
                ("by AMOUNT", kind.has_amount),
                ("for SECONDS", kind.lasts),
            )
            if needed
        ]
        table.add_row(name, ", ".join(kind.targets), " ".join(arguments), kind.effect)
    Console().print(table)


@app.command()
def replay(
    what: SeedOrScript,
    site: SitePath = DEFAULT_SITE,
    mutant: MutantOption = "",
    web: Web = False,
    with_records: WithRecords = False,
    json_path: JsonPath = "",
    every: AllEvents = False,
) -> None:
    """Run one simulation twice, compare the histories, and print it.

    Exit status 0: every rule held, and the histories are the same.
    """
    settings = read_site_or_exit(site)
    script, mutant_name = _script(settings, what, web, with_records), _mutant(mutant, web, with_records)
    console = Console(stderr=json_path == "-")
    console.print(str(script), markup=False, highlight=False)
    outcome, again = (play(settings, script, mutant_name, web, with_records) for _ in range(2))
    start = client_start_time(outcome)
    if every:
        hidden = ("t", "who", "e", "start")
        for r in outcome.records:
            facts = " ".join(f"{k}={v}" for k, v in r.items() if k not in hidden)
            console.print(
                f"{r['t'] - start:9.3f}  {r['who']:<18} {r['e']:<14} {facts}",
                markup=False,
                highlight=False,
                soft_wrap=True,
            )
    for line in timeline(outcome, start):
        console.print(line, markup=False, highlight=False, soft_wrap=True)
    counts = ", ".join(f"{n} {w}" for w, n in outcome.verdict.counts.items() if n)
    console.print(f"{counts}; digest {outcome.digest}")
    same = outcome.digest == again.digest
    if not same:
        console.print("THE TWO HISTORIES DIFFER: something depends on more than the seed")
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
    what: SeedOrScript,
    site: SitePath = DEFAULT_SITE,
    mutant: MutantOption = "",
    web: Web = False,
    with_records: WithRecords = False,
    out: Annotated[str, typer.Option(help="Also write the script to this file.")] = "",
) -> None:
    """Reduce a failing simulation to the few faults and volumes that make it fail.

    Prints the script on standard output. Exit status 2: the simulation does not fail.
    """
    settings, mutant_name = read_site_or_exit(site), _mutant(mutant, web, with_records)
    console = Console(stderr=True)
    try:
        small = shrink(
            settings,
            _script(settings, what, web, with_records),
            mutant_name,
            lambda line: console.print(line, markup=False, highlight=False),
            web,
            with_records,
        )
    except ValueError as error:
        typer.echo(f"{what}: {error}", err=True)
        raise typer.Exit(2) from None
    sys.stdout.write(str(small))
    if out:
        Path(out).write_text(str(small))
    outcome = play(settings, small, mutant_name, web, with_records)
    for line in timeline(outcome, client_start_time(outcome), 1):
        console.print(line, markup=False, highlight=False, soft_wrap=True)


@app.command()
def compare(what: SeedOrScript, site: SitePath = DEFAULT_SITE, json_path: JsonPath = "") -> None:
    """Run one script with real processes and sockets and on the virtual clock, and compare the results."""
    settings = read_site_or_exit(site)
    script = _script(settings, what)
    if unsupported := unsupported_acts(script, SUPPORTED_ACTS, SUPPORTED_PARTIES):
        typer.echo(f"{what}: not supported with real processes: {'; '.join(unsupported)}", err=True)
        raise typer.Exit(2)
    found = beside(settings, script)
    console = Console(stderr=json_path == "-")
    table = Table("figure", "real sockets", "virtual clock")
    for figure in ("taken", "rules"):
        table.add_row(figure, str(found["real"][figure]), str(found["virtual"][figure]))
    for group in ("parts", "volumes"):
        for name, value in found["real"][group].items():
            label = f"volume {name} in time" if group == "volumes" else name
            table.add_row(label, str(value), str(found["virtual"][group].get(name)))
    console.print(table)
    write_json(found, json_path)


@app.command()
def mutants(
    site: SitePath = DEFAULT_SITE,
    most: Annotated[int, typer.Option(help="Seeds to try for each mutant; 0: only list them.")] = 0,
    at_once: AtOnce = 0,
    only: Annotated[str, typer.Option(help="Only mutants whose name contains this.")] = "",
    web: Web = False,
    with_records: WithRecords = False,
    json_path: JsonPath = "",
) -> None:
    """List the mutants; with --most, show the first seed that detects each.

    Exit status 1: a mutant was not detected.
    """
    chosen = [name for name in _mutants_of(web, with_records) if only in name]
    if not most:
        for name in chosen:
            typer.echo(name)
        return
    settings, console = read_site_or_exit(site), Console(stderr=json_path == "-")
    table = Table("mutant", "first seed that detects it", "by")
    caught: dict[str, Any] = {}
    for name in chosen:
        played = find_first_failing_seed(settings, name, most, at_once, web, with_records)
        caught[name] = None if played is None else {"seed": played.seed, "reasons": played.reasons}
        cells = ("NONE", "") if played is None else (str(played.seed), ", ".join(played.reasons))
        console.print(f"{name}: {cells[0]} {cells[1]}", markup=False, highlight=False)
        table.add_row(name, *cells)
    console.print(table)
    write_json(caught, json_path)
    raise typer.Exit(1 if None in caught.values() else 0)
