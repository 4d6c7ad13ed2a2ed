"""gorsethread lab: experiments, in simulation or with real processes on the loopback interface."""

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

from gorsethread.cli.options import SitePath, print_error, read_site_or_exit, write_json
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
from gorsethread.harness.process_faults import unsupported_acts
from gorsethread.harness.processes import Processes
from gorsethread.logs import log_for, start_logs
from gorsethread.simulation.script import InvalidScriptError, Script, read_script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport, run

app = typer.Typer(name="lab", no_args_is_help=True, help="Run experiments that measure the gateway.")

JsonPath = Annotated[
    str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")
]
AtOnce = Annotated[int, typer.Option(help="Simulations to run in parallel; 0: as many as there are cores.")]
CostSeconds = Annotated[
    float,
    typer.Option(
        "--cost",
        help="Instead, compare a gateway with records and copies with one without, in normal operation, for "
        "this many seconds.",
    ),
]
Factor = Annotated[float, typer.Option(help="Traffic, as a multiple of the usual rates.")]


@app.callback()
def lab() -> None:
    """Run experiments that measure the gateway."""


@app.command()
def accounts(
    site: SitePath = Path("deploy/site.txtpb"),
    seeds: Annotated[str, typer.Option(help="First and last seed, as 1..20.")] = "1..20",
    seconds: float = 8.0,
    heads: int = 2,
    shelves: int = 4,
    at_once: Annotated[int, typer.Option(help="Runs in parallel.")] = 3,
    folder: Annotated[str, typer.Option(help="Keep every run's records and snapshots in this folder.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print every run and the figures.")] = False,
) -> None:
    """Measure how often latency attribution names the right cause.

    Runs each seed with a slow backend, a volume that floods, both, and neither. Exit status 0: at least 95%
    of the answers are right, under 2% of the quiet runs name a cause, the figures add up, every rule held.
    """
    settings = read_site_or_exit(site)
    first, _, last = seeds.partition("..")
    try:
        wanted = list(range(int(first), int(last or first) + 1))
    except ValueError:
        wanted = []
    if not wanted or seconds < 2 or min(heads, shelves, at_once) < 1:
        typer.echo("--seeds must be like 1..20, --seconds 2 or more, the others 1 or more", err=True)
        raise typer.Exit(2)
    console = Console(stderr=True)

    async def run_experiment() -> dict[str, Any]:
        return await experiment(
            settings,
            wanted,
            seconds,
            heads,
            shelves,
            at_once,
            lambda line: console.print(line, markup=False, highlight=False),
            Path(folder) if folder else None,
        )

    result = asyncio.run(run_experiment())
    shown = result if as_json else result["figures"]
    sys.stdout.write(json.dumps(shown, indent=1) + "\n")
    figures = result["figures"]
    good = (
        figures["right_of_all"] >= 0.95
        and figures["accused_on_quiet_days"] < 0.02
        and not figures["remainders"]
        and not figures["days_not_good"]
    )
    raise typer.Exit(0 if good else 1)


@app.command()
def sockets(
    logs: Annotated[Path, typer.Argument(help="Folder with a log file of each gateway.")],
    report: Annotated[Path, typer.Argument(help="The benchmark's report of the same run, as JSON.")],
) -> None:
    """Compare the counts in the gateways' logs with what the benchmark saw on the sockets."""
    try:
        heads = [path.read_text().splitlines() for path in sorted(logs.glob("*.log"))]
        rows = compare(heads, json.loads(report.read_text()))
    except (OSError, ValueError, KeyError, TypeError) as error:
        typer.echo(f"lab sockets: can't compare: {error!r}", err=True)
        raise typer.Exit(2) from None
    table = Table("figure", "gateways", "sockets", "difference")
    for name, counted, seen in rows:
        table.add_row(name, str(counted), str(seen), f"{counted - seen:+d}")
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
    heads: Annotated[str, typer.Option(help="Numbers of gateways, as 4,60,130.")] = "4,60,130",
    shelves: int = 40,
    seconds: float = 24.0,
    load: float = 0.45,
    surges: float = 0.45,
    seeds: Annotated[str, typer.Option(help="First and last seed, as 1..4.")] = "1..4",
    variants: Annotated[str, typer.Option(help="Comma-separated, of: " + ", ".join(VARIANTS))] = ",".join(
        VARIANTS
    ),
    renewed: Annotated[
        float, typer.Option(help="Share of the backends that is replaced by cold ones.")
    ] = 0.0,
    restarted: Annotated[
        float, typer.Option(help="Share of the gateways that is restarted meanwhile.")
    ] = 0.0,
    lost: Annotated[
        float, typer.Option(help="Share of the messages that is lost; as many are duplicated.")
    ] = 0.0,
    at_once: AtOnce = 0,
    json_path: JsonPath = "",
) -> None:
    """Simulate many gateways with thin, uneven traffic on few backends.

    Shows what their decisions alone lose, and how much of that would be avoided if gateways knew more. Each
    variant gets the same traffic, and each fleet size similar traffic.
    """
    names = variants.split(",")
    if shelves < 1 or seconds < 2 or load <= 0 or surges < 0 or [n for n in names if n not in VARIANTS]:
        typer.echo(
            "--shelves must be 1 or more, --seconds 2 or more, --load above 0, --surges 0 or more, "
            f"--variants of: {', '.join(VARIANTS)}",
            err=True,
        )
        raise typer.Exit(2)
    if not all(0.0 <= part <= 1.0 for part in (renewed, restarted, lost)) or (
        renewed and set(names) & {"lines", "demand"}
    ):
        typer.echo(
            "--renewed, --restarted and --lost must be 0 to 1; the variants 'lines' and 'demand' assume that "
            "no backend is replaced",
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
        "gateways",
        "weight served",
        "least, most",
        "worst plan",
        "rejected",
        "late",
        "attempts",
        "demand",
        "messages",
        "over cold limit",
        "failed",
    )
    for name in names:
        for h in _numbers(heads, "heads"):
            summaries = [s for n, scene, s in found if n == name and scene["heads"] == h]
            mean = {
                f: sum(getattr(s, f) for s in summaries) / len(summaries)
                for f in ("served", "worst_plan", "rejected", "late", "forwards", "demand", "messages")
            }
            table.add_row(
                name,
                str(h),
                f"{mean['served']:.3f}",
                f"{min(s.served for s in summaries):.3f}, {max(s.served for s in summaries):.3f}",
                *(f"{mean[f]:.3f}" for f in ("worst_plan", "rejected", "late")),
                f"{mean['forwards']:.0f}",
                f"{mean['demand']:.2f}",
                f"{mean['messages']:.2f}",
                str(sum(s.over_part for s in summaries)),
                str(sum(s.fallen for s in summaries)),
            )
    Console(stderr=json_path == "-").print(table)
    write_json({"plays": [{"variant": n, **scene, **vars(s)} for n, scene, s in found]}, json_path)


@app.command()
def views(
    heads: Annotated[str, typer.Option(help="Numbers of gateways.")] = "4,12,50,200",
    seeds: Annotated[
        str, typer.Option(help="Seeds of simulations with random faults, as 1..1000; 0: none.")
    ] = "0",
    at_once: AtOnce = 0,
    page_path: Annotated[
        str, typer.Option("--page", help="Write plots to this file, as one HTML page.")
    ] = "",
    json_path: JsonPath = "",
) -> None:
    """Simulate the membership protocol by fleet size, beside all-to-all heartbeats, and with random faults.

    Exit status 0: in every simulation with random faults all views became correct in time, and no member was
    declared dead in error.
    """
    sizes = _numbers(heads, "heads")
    jobs = jobs_for(sizes, [] if seeds == "0" else _numbers(seeds, "seeds"))
    if min(sizes) < 2:
        typer.echo("--heads must be 2 or more", err=True)
        raise typer.Exit(2)
    console = Console(stderr=True)
    rows: list[dict[str, Any]] = []
    worlds: list[dict[str, Any]] = []
    for n, row in enumerate(pooled(jobs, at_once), 1):
        (worlds if "seed" in row else rows).append(row)
        if row.get("reasons"):
            console.print(f"seed {row['seed']}: {', '.join(row['reasons'])}", highlight=False)
        elif n % 100 == 0:
            console.print(f"{n} of {len(jobs)}", highlight=False)
    table = Table("kind", "gateways", "lost", "noticed, s", "known to all, s", "idle bytes", "in error")
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
            f"{len(worlds)} simulations: {len(failed)} failed; the slowest settled "
            f"{max(w['settled'] for w in worlds):.1f} s after its last fault",
            highlight=False,
        )
    if page_path:
        Path(page_path).write_text(page(rows, worlds))
    write_json({"sizes": rows, "worlds": sorted(worlds, key=lambda w: w["seed"])}, json_path)
    raise typer.Exit(1 if failed else 0)


def _played(kind: Callable[..., Any], settings: pb.Site, script: Script, json_path: str) -> None:
    """Runs a script with real processes and prints the result; exits with status 0 if it is good."""
    console = Console(stderr=True)
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory(prefix="gorsethread-lab-") as folder:
            trial = kind(transport, Processes(Path(folder), settings), settings, log_for(), script)
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
    processes: Annotated[int, typer.Option(help="Number of gateways, 6 or more.")] = 6,
    seed: int = 1,
    seconds: Annotated[float, typer.Option(help="Seconds for which clients send, 10 or more.")] = 10.0,
    factor: Factor = 3.0,
    json_path: JsonPath = "",
) -> None:
    """Run real gateways that hold slow-start leases of cold backends, under faults.

    Gateways that hold leases are killed, stopped and cut off, and a fifth of their messages is lost. Exit
    status 0: every rule held, and no cold backend got more load than it can serve.
    """
    if processes < 6 or seconds < 10 or factor <= 0:
        typer.echo("--processes must be 6 or more, --seconds 10 or more, --factor above 0", err=True)
        raise typer.Exit(2)
    settings = read_site_or_exit(site)
    _played(Trial, settings, script_of(seed, processes, seconds, factor), json_path)


@app.command("return")
def returns(
    site: SitePath = Path("deploy/site.txtpb"),
    processes: Annotated[int, typer.Option(help="Number of gateways, 2 or more.")] = 6,
    seed: int = 1,
    shelves: int = 6,
    factor: Factor = 2.0,
    acts: Annotated[str, typer.Option(help=f"Faults, separated by ';', of: {'; '.join(KINDS)}.")] = "all",
    virtual: Annotated[bool, typer.Option("--virtual", help="On the virtual clock.")] = False,
    json_path: JsonPath = "",
) -> None:
    """Measure the time to full service after many gateways fail at once, beside gateways that return alone.

    Exit status 0: it is never slower, new connections stay within their bound, there are no stale decisions,
    no request is lost or run twice, and every rule held.
    """
    kinds = tuple(kind.strip() for kind in acts.split(";"))
    if processes < 2 or shelves < 2 or factor <= 0 or not set(kinds) <= set(KINDS):
        typer.echo(
            f"--processes and --shelves must be 2 or more, --factor above 0, --acts of: {'; '.join(KINDS)}",
            err=True,
        )
        raise typer.Exit(2)
    settings, console = read_site_or_exit(site), Console(stderr=True)
    start_logs(True, "critical")
    if virtual:
        results = [
            in_world(settings, processes, shelves, seed, factor, kinds, alone) for alone in (False, True)
        ]
    else:
        results = []

        async def work(transport: RealTransport) -> None:
            for alone in (False, True):
                results.append(
                    await on_processes(
                        transport,
                        settings,
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
    result = shown(*results)
    for reason in result["reasons"]:
        console.print(reason, markup=False, highlight=False)
    table = Table("fault", "full service after, s", "each alone")
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
    processes: Annotated[int, typer.Option(help="Number of gateways: as many as the site file has.")] = 5,
    seed: int = 1,
    cycles: Annotated[int, typer.Option(help="Number of link failures, 20 s apart.")] = 3,
    factor: Factor = 1.0,
    json_path: JsonPath = "",
) -> None:
    """Run real gateways of a branch that loses its link, with crashes and disk losses then and in replay.

    Exit status 0: every accepted write took effect, once and in causal order, or is dead-lettered;
    and every rule held.
    """
    settings = read_site_or_exit(site)
    if not settings.branch or processes != len(settings.head) or cycles < 1 or factor <= 0:
        typer.echo(
            f"--site must have a branch, --processes must be its number of gateways ({len(settings.head)}), "
            "--cycles 1 or more, --factor above 0",
            err=True,
        )
        raise typer.Exit(2)
    script = branch_script(
        seed, cycles, processes, list(settings.branch[0].head), len(settings.shelf), factor
    )
    _played(BranchTrial, settings, script, json_path)


@app.command()
def records(
    depths: Annotated[
        str, typer.Option(help="Numbers of records that wait for the disk at once.")
    ] = "1,16,128",
    pairs: Annotated[int, typer.Option(help="Measurements of each, alternating, 4 or more.")] = 8,
    folder: Annotated[str, typer.Option(help="A folder on the disk to measure.")] = "",
    cost_seconds: CostSeconds = 0.0,
    json_path: JsonPath = "",
) -> None:
    """Compare the record log with an embedded store on this disk, alternating under the same load."""
    wanted = _numbers(depths, "depths")
    if pairs < 4 or min(wanted) < 1 or max(wanted) > 4096:
        typer.echo("--pairs must be 4 or more, --depths 1 to 4096", err=True)
        raise typer.Exit(2)
    found: list[dict[str, Any]] = []
    if cost_seconds > 0.0:
        costs: dict[str, Any] = {}

        async def pair(transport: RealTransport) -> None:
            with tempfile.TemporaryDirectory(dir=folder or None) as inside:
                costs.update(await cost_of_records(transport, Path(inside), cost_seconds))

        run(pair, 1)
        sys.stdout.write(json.dumps(costs, indent=1) + "\n")
        write_json(costs, json_path)
        return

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory(dir=folder or None) as inside:
            found.extend(await compared_records(transport, Path(inside) / "r", wanted, pairs, log_for()))

    try:
        run(work, 1)
    except NotThere as error:
        print_error(error)
        raise typer.Exit(2) from None
    table = Table(
        "waiting at once",
        "records per second, log to store (quartiles)",
        "99th percentile, log to store",
        "flushes per record",
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
    processes: Annotated[
        int, typer.Option(help="Number of processes; overrides the number in a script.")
    ] = 12,
    seed: int = 1,
    script: Annotated[str, typer.Option(help="Path of a script; by default a short built-in one.")] = "",
    json_path: JsonPath = "",
) -> None:
    """Run real processes of the membership protocol under faults, and check their views from outside.

    A relay loses, delays, duplicates and cuts off their messages, and a script kills and stops them. Exit
    status 0: all views became correct in time.
    """
    if processes < 2:
        typer.echo("--processes must be 2 or more", err=True)
        raise typer.Exit(2)
    try:
        text = Path(script).read_text() if script else BUILT_IN_SCRIPT
        played_script = replace(read_script(f"heads {processes}\n{text}"), heads=processes, seed=seed)
        if unsupported := unsupported_acts(played_script, PLAYED, PARTIES):
            raise InvalidScriptError(unsupported)
    except OSError as error:
        typer.echo(f"{script}: {error.strerror}", err=True)
        raise typer.Exit(2) from None
    except InvalidScriptError as error:
        print_error(error, script or "the built-in script")
        raise typer.Exit(2) from None
    console = Console(stderr=True)
    found: dict[str, Any] = {}

    async def work(transport: RealTransport) -> None:
        with tempfile.TemporaryDirectory() as folder:
            children = Processes(Path(folder), pb.Site())
            say = lambda line: console.print(line, markup=False, highlight=False)  # noqa: E731
            found.update(vars(await RealFleet(transport, children, played_script, say).play()))

    run(work, seed)
    sys.stdout.write("" if json_path == "-" else json.dumps(found, indent=1) + "\n")
    write_json(found, json_path)
    raise typer.Exit(0 if found["settled"] else 1)


BUILT_IN_SCRIPT = """
1 kill head-0 for 1
1.1 kill head-1 for 1
20 cut room-0 <-> room-1 for 6
"""
