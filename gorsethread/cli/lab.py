"""gorsethread lab: experiments."""

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli.options import SitePath, site_at, tell, write_json
from gorsethread.experiments.branch import script_of as branch_script
from gorsethread.experiments.durable_log import NotThere
from gorsethread.experiments.durable_log import compared as compared_records
from gorsethread.experiments.durable_log import cost as cost_of_records
from gorsethread.experiments.latency_attribution import experiment
from gorsethread.experiments.membership import jobs_for, page, pooled
from gorsethread.experiments.membership_processes import PARTIES, PLAYED, RealFleet
from gorsethread.experiments.perfect_information import VARIANTS, compared
from gorsethread.experiments.recovery import KINDS, in_world, on_processes, shown
from gorsethread.experiments.slow_start_leases import Trial, script_of
from gorsethread.experiments.sockets import compare
from gorsethread.harness.branches import BranchTrial
from gorsethread.harness.process_faults import unplayable
from gorsethread.harness.processes import Processes
from gorsethread.logs import log_for, start_logs
from gorsethread.simulation.script import InvalidScriptError, Script, read_script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport, run

app = typer.Typer(name="lab", no_args_is_help=True, help="Experiments on loopback, with figures.")


@app.callback()
def lab() -> None:
    """Experiments on loopback, with figures."""


@app.command()
def accounts(
    site: SitePath = Path("deploy/site.txtpb"),
    seeds: Annotated[str, typer.Option(help="First and last, as 1..20.")] = "1..20",
    seconds: float = 8.0,
    heads: int = 2,
    shelves: int = 4,
    at_once: Annotated[int, typer.Option(help="Days played side by side.")] = 3,
    folder: Annotated[str, typer.Option(help="Keep every day's records and snapshots here.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print every run and the figures.")] = False,
) -> None:
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
        return await experiment(
            known,
            wanted,
            seconds,
            heads,
            shelves,
            at_once,
            lambda line: console.print(line, markup=False, highlight=False),
            Path(folder) if folder else None,
        )

    result = asyncio.run(whole())
    shown = result if as_json else result["figures"]
    sys.stdout.write(json.dumps(shown, indent=1) + "\n")
    f = result["figures"]
    good = (
        f["right_of_all"] >= 0.95
        and f["accused_on_quiet_days"] < 0.02
        and not f["remainders"]
        and not f["days_not_good"]
    )
    raise typer.Exit(0 if good else 1)


@app.command()
def sockets(
    logs: Annotated[Path, typer.Argument(help="Folder with a log of each head.")],
    report: Annotated[Path, typer.Argument(help="The bench's report of that day, as JSON.")],
) -> None:
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


def _numbers(text: str, name: str) -> list[int]:
    try:
        first, dots, last = text.partition("..")
        found = list(range(int(first), int(last) + 1)) if dots else [int(part) for part in text.split(",")]
    except ValueError:
        found = []
    if not found or min(found) < 1:
        typer.echo(f"--{name}: {text!r} is not like 1..4 or 4,60,130", err=True)
        raise typer.Exit(2)
    return found


@app.command()
def crowd(
    heads: Annotated[str, typer.Option(help="Sizes of the fleet, as 4,60,130.")] = "4,60,130",
    shelves: int = 40,
    seconds: float = 24.0,
    load: float = 0.45,
    surges: float = 0.45,
    seeds: Annotated[str, typer.Option(help="First and last, as 1..4.")] = "1..4",
    variants: Annotated[str, typer.Option(help="Some of: " + ", ".join(VARIANTS))] = ",".join(VARIANTS),
    renewed: Annotated[float, typer.Option(help="Part of the shelves replaced by cold ones.")] = 0.0,
    restarted: Annotated[float, typer.Option(help="Part of the heads restarted meanwhile.")] = 0.0,
    lost: Annotated[float, typer.Option(help="Part of the messages; as many come twice.")] = 0.0,
    at_once: Annotated[int, typer.Option(help="Plays side by side; 0: as many as cores.")] = 0,
    json_path: Annotated[str, typer.Option("--json", help="Write each play here; - for output.")] = "",
) -> None:
    """Many heads of thin, uneven traffic on few shelves: what the decisions alone make of it, and what of the
    loss would go if heads knew more. Simulated; the same days for each variant, like ones for each size."""
    names = variants.split(",")
    if shelves < 1 or seconds < 2 or load <= 0 or surges < 0 or [n for n in names if n not in VARIANTS]:
        typer.echo(
            "--shelves is 1 or more, --seconds 2 or more, --load over 0, --surges 0 or more, "
            f"--variants some of {', '.join(VARIANTS)}",
            err=True,
        )
        raise typer.Exit(2)
    if not all(0.0 <= part <= 1.0 for part in (renewed, restarted, lost)) or (
        renewed and set(names) & {"lines", "demand"}
    ):
        typer.echo(
            "--renewed, --restarted and --lost are parts from 0 to 1; 'lines' and 'demand' tell of "
            "shelves that stay",
            err=True,
        )
        raise typer.Exit(2)
    day = {
        "shelves": shelves,
        "seconds": seconds,
        "load": load,
        "surges": surges,
        "renewed": renewed,
        "restarted": restarted,
        "lost": lost,
    }
    scenes: list[dict[str, Any]] = [
        {"heads": h, **day, "seed": seed}
        for h in _numbers(heads, "heads")
        for seed in _numbers(seeds, "seeds")
    ]
    found = list(compared(scenes, names, at_once))
    table = Table(
        "variant",
        "heads",
        "worth served",
        "least, most",
        "worst plan",
        "pushed back",
        "late",
        "forwards",
        "demand",
        "messages",
        "beyond part",
        "fallen",
    )
    for name in names:
        for h in _numbers(heads, "heads"):
            got = [s for n, scene, s in found if n == name and scene["heads"] == h]
            mean = {
                f: sum(getattr(s, f) for s in got) / len(got)
                for f in ("served", "worst_plan", "rejected", "late", "forwards", "demand", "messages")
            }
            table.add_row(
                name,
                str(h),
                f"{mean['served']:.3f}",
                f"{min(s.served for s in got):.3f}, {max(s.served for s in got):.3f}",
                *(f"{mean[f]:.3f}" for f in ("worst_plan", "rejected", "late")),
                f"{mean['forwards']:.0f}",
                f"{mean['demand']:.2f}",
                f"{mean['messages']:.2f}",
                str(sum(s.over_part for s in got)),
                str(sum(s.fallen for s in got)),
            )
    Console(stderr=json_path == "-").print(table)
    write_json({"plays": [{"variant": n, **scene, **vars(s)} for n, scene, s in found]}, json_path)


@app.command()
def views(
    heads: Annotated[str, typer.Option(help="Sizes of the fleet.")] = "4,12,50,200",
    seeds: Annotated[str, typer.Option(help="Drawn worlds to play, as 1..1000; none: 0.")] = "0",
    at_once: Annotated[int, typer.Option(help="Worlds side by side; 0: as many as cores.")] = 0,
    page_path: Annotated[str, typer.Option("--page", help="Write plots here, one HTML page.")] = "",
    json_path: Annotated[str, typer.Option("--json", help="Write each world here; - for output.")] = "",
) -> None:
    """The fleet's view by size, beside heartbeats from all to all, and in drawn worlds. Simulated. Status 0:
    in every drawn world all views were the truth in time, and nobody was held dead in error."""
    sizes = _numbers(heads, "heads")
    jobs = jobs_for(sizes, [] if seeds == "0" else _numbers(seeds, "seeds"))
    if min(sizes) < 2:
        typer.echo("--heads are 2 or more", err=True)
        raise typer.Exit(2)
    console = Console(stderr=True)
    rows: list[dict[str, Any]] = []
    worlds: list[dict[str, Any]] = []
    for n, one in enumerate(pooled(jobs, at_once), 1):
        (worlds if "seed" in one else rows).append(one)
        if one.get("reasons"):
            console.print(f"seed {one['seed']}: {', '.join(one['reasons'])}", highlight=False)
        elif n % 100 == 0:
            console.print(f"{n} of {len(jobs)}", highlight=False)
    table = Table("kind", "heads", "lost", "noticed, s", "known to all, s", "bytes at rest", "in error")
    for r in sorted(rows, key=lambda r: (r["kind"], r["lossy"], r["heads"])):
        table.add_row(
            r["kind"],
            str(r["heads"]),
            str(r["lossy"]),
            f"{r['noticed']:.1f}",
            f"{r['spread']:.1f}",
            f"{r['rest_bytes']:.0f}",
            str(r["false_deaths"]),
        )
    console.print(table)
    failed = [w for w in worlds if w["reasons"]]
    if worlds:
        console.print(
            f"{len(worlds)} worlds: {len(failed)} failed; the longest settled "
            f"{max(w['settled'] for w in worlds):.1f} s after its last fault",
            highlight=False,
        )
    if page_path:
        Path(page_path).write_text(page(rows, worlds))
    write_json({"sizes": rows, "worlds": sorted(worlds, key=lambda w: w["seed"])}, json_path)
    raise typer.Exit(1 if failed else 0)


def _played(kind: Callable[..., Any], known: pb.Site, script: Script, json_path: str) -> None:
    """Plays a script on real processes and tells what came of it; status 0: it was good."""
    console = Console(stderr=True)
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory(prefix="gorsethread-lab-") as folder:
            trial = kind(transport, Processes(Path(folder), known), known, log_for(), script)
            trial.say = lambda line: console.print(line, markup=False, highlight=False)
            found["result"] = await trial.play()

    start_logs(True, "critical")
    run(work, script.seed)
    result = found["result"]
    for reason in result.reasons:
        console.print(reason, markup=False, highlight=False)
    shown = {**asdict(result), "good": result.good}
    console.print(", ".join(f"{k} {v}" for k, v in shown.items() if k != "reasons"), highlight=False)
    write_json(shown, json_path)
    raise typer.Exit(0 if result.good else 1)


@app.command()
def lending(
    site: SitePath = Path("deploy/site.txtpb"),
    processes: Annotated[int, typer.Option(help="Heads, 6 or more.")] = 6,
    seed: int = 1,
    seconds: Annotated[float, typer.Option(help="That clients send for, 10 or more.")] = 10.0,
    factor: Annotated[float, typer.Option(help="Times the usual traffic.")] = 3.0,
    json_path: Annotated[str, typer.Option("--json", help="Write it here; - for output.")] = "",
) -> None:
    """Real heads in service that lend cold shelves' parts, killed, stopped and cut off with parts in hand,
    and a fifth of their messages lost. Status 0: every rule held, no cold shelf got more than it bears."""
    if processes < 6 or seconds < 10 or factor <= 0:
        typer.echo("--processes is 6 or more, --seconds 10 or more, --factor over 0", err=True)
        raise typer.Exit(2)
    known = site_at(site)
    _played(Trial, known, script_of(seed, processes, seconds, factor), json_path)


@app.command("return")
def returns(
    site: SitePath = Path("deploy/site.txtpb"),
    processes: Annotated[int, typer.Option(help="Heads, 2 or more.")] = 6,
    seed: int = 1,
    shelves: int = 6,
    factor: Annotated[float, typer.Option(help="Times the usual traffic.")] = 2.0,
    acts: Annotated[str, typer.Option(help=f"Of: {'; '.join(KINDS)}. Separated by ';'.")] = "all",
    virtual: Annotated[bool, typer.Option("--virtual", help="On the virtual clock.")] = False,
    json_path: Annotated[str, typer.Option("--json", help="Write it here; - for output.")] = "",
) -> None:
    """How long until full service after many heads go at once, beside heads that each come back alone. Status
    0: never slower, new connections within their bound, nothing stale, lost, twice, every rule held."""
    kinds = tuple(kind.strip() for kind in acts.split(";"))
    if processes < 2 or shelves < 2 or factor <= 0 or not set(kinds) <= set(KINDS):
        typer.echo(
            f"--processes and --shelves are 2 or more, --factor over 0, --acts of: {'; '.join(KINDS)}",
            err=True,
        )
        raise typer.Exit(2)
    known, console = site_at(site), Console(stderr=True)
    start_logs(True, "critical")
    if virtual:
        both = [in_world(known, processes, shelves, seed, factor, kinds, alone) for alone in (False, True)]
    else:
        both = []

        async def work(transport: RealTransport) -> None:
            for alone in (False, True):
                both.append(
                    await on_processes(
                        transport,
                        known,
                        processes,
                        shelves,
                        seed,
                        factor,
                        kinds,
                        alone,
                        log_for(),
                        lambda line: console.print(line, markup=False, highlight=False),
                    )
                )

        run(work, seed)
    result = shown(*both)
    for reason in result["reasons"]:
        console.print(reason, markup=False, highlight=False)
    table = Table("act", "full service after, s", "each alone")
    for n, kind in enumerate(kinds):
        table.add_row(
            kind, str(result["full_service_seconds"][n]), str(result["full_service_seconds_alone"][n])
        )
    console.print(table)
    console.print(
        ", ".join(
            f"{k} {v}"
            for k, v in result.items()
            if k not in ("acts", "reasons", "full_service_seconds", "full_service_seconds_alone")
        ),
        highlight=False,
    )
    write_json(result, json_path)
    raise typer.Exit(0 if result["good"] else 1)


@app.command("branch")
def branches(
    site: SitePath = Path("deploy/branch.txtpb"),
    processes: Annotated[int, typer.Option(help="Heads: as many as the site file has.")] = 5,
    seed: int = 1,
    cycles: Annotated[int, typer.Option(help="Cuts of the link, 20 s apart.")] = 3,
    factor: Annotated[float, typer.Option(help="Times the usual traffic.")] = 1.0,
    json_path: Annotated[str, typer.Option("--json", help="Write it here; - for output.")] = "",
) -> None:
    """Real heads of a branch whose link goes, that die and lose disks meanwhile and in replay. Status 0:
    all that was accepted is in effect, once and in causal order, or waits for a person; every rule held."""
    known = site_at(site)
    if not known.branch or processes != len(known.head) or cycles < 1 or factor <= 0:
        typer.echo(
            f"--site needs a branch, --processes is its heads' number ({len(known.head)}), --cycles "
            "is 1 or more, --factor over 0",
            err=True,
        )
        raise typer.Exit(2)
    script = branch_script(seed, cycles, processes, list(known.branch[0].head), len(known.shelf), factor)
    _played(BranchTrial, known, script, json_path)


@app.command()
def records(
    depths: Annotated[str, typer.Option(help="Promises that wait at once.")] = "1,16,128",
    pairs: Annotated[int, typer.Option(help="Stretches of each, in turn, 4 or more.")] = 8,
    folder: Annotated[str, typer.Option(help="On the disk to measure.")] = "",
    beside: Annotated[
        float,
        typer.Option(
            "--cost",
            help="Instead, for so many seconds: a head with records and copies over one "
            "without, on the ordinary path.",
        ),
    ] = 0.0,
    json_path: Annotated[str, typer.Option("--json", help="Write it here; - for output.")] = "",
) -> None:
    """The log of records beside an embedded store on this disk, in turn under one load; ratios."""
    wanted = _numbers(depths, "depths")
    if pairs < 4 or min(wanted) < 1 or max(wanted) > 4096:
        typer.echo("--pairs is 4 or more, --depths are 1 to 4096", err=True)
        raise typer.Exit(2)
    found: list[dict[str, Any]] = []
    if beside > 0.0:
        costs: dict[str, Any] = {}

        async def pair(transport: RealTransport) -> None:
            with tempfile.TemporaryDirectory(dir=folder or None) as inside:
                costs.update(await cost_of_records(transport, Path(inside), beside))

        run(pair, 1)
        sys.stdout.write(json.dumps(costs, indent=1) + "\n")
        write_json(costs, json_path)
        return

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory(dir=folder or None) as inside:
            found.extend(await compared_records(transport, Path(inside) / "r", wanted, pairs, log_for()))

    try:
        run(work, 1)
    except NotThere as trouble:
        tell(trouble)
        raise typer.Exit(2) from None
    table = Table(
        "waiting at once", "kept a second, log over store (quartiles)", "1 in 100 takes", "flushes a record"
    )
    for row in found:
        table.add_row(
            str(row["depth"]),
            *(" ".join(map(str, row[k])) for k in ("rate", "late")),
            str(row["commits_a_record"]),
        )
    Console(stderr=json_path == "-").print(table)
    write_json({"depths": found}, json_path)


@app.command()
def fleet(
    processes: Annotated[int, typer.Option(help="How many; a script's own number is not taken.")] = 12,
    seed: int = 1,
    script: Annotated[str, typer.Option(help="Its path; else one that fits the short form.")] = "",
    json_path: Annotated[str, typer.Option("--json", help="Write the result here; - for output.")] = "",
) -> None:
    """Real processes that keep a view of the fleet, through a relay that loses, delays, doubles and cuts,
    killed and stopped by a script, and judged from outside. Status 0: all views were the truth in time."""
    if processes < 2:
        typer.echo("--processes is 2 or more", err=True)
        raise typer.Exit(2)
    try:
        text = Path(script).read_text() if script else SHORT
        known = replace(read_script(f"heads {processes}\n{text}"), heads=processes, seed=seed)
        if no := unplayable(known, PLAYED, PARTIES):
            raise InvalidScriptError(no)
    except OSError as error:
        typer.echo(f"{script}: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    except InvalidScriptError as bad:
        tell(bad, script or "the short form")
        raise typer.Exit(2) from None
    console = Console(stderr=True)
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory() as folder:
            children = Processes(Path(folder), pb.Site())
            say = lambda line: console.print(line, markup=False, highlight=False)  # noqa: E731
            found.update(vars(await RealFleet(transport, children, known, say).play()))

    run(work, seed)
    sys.stdout.write("" if json_path == "-" else json.dumps(found, indent=1) + "\n")
    write_json(found, json_path)
    raise typer.Exit(0 if found["settled"] else 1)


SHORT = """
1 kill head-0 for 1
1.1 kill head-1 for 1
20 cut room-0 <-> room-1 for 6
"""
