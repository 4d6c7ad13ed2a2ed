"""The gorsethread command. Exit status 0: done, 1: a rule was broken or a defect found, 2: invalid input."""

import asyncio
import json
import tempfile
from collections.abc import Callable, Coroutine
from enum import Enum
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from gorsethread.cli import accounts, branch, faults, fleet, lab, records
from gorsethread.cli.options import SitePath, read_site_or_exit, write_json
from gorsethread.cli.shutdowns import shutdowns
from gorsethread.errors import GorsethreadError
from gorsethread.experiments import bench as benches
from gorsethread.experiments.alternate import Alternating
from gorsethread.experiments.alternating_load import TurnLoad
from gorsethread.experiments.bench_peers import Load, Relay, Sink
from gorsethread.experiments.day import TROUBLES, Day, DayPlan, DayResult
from gorsethread.fakes.backend import FakeBackend
from gorsethread.fakes.client import LoadClient, Surge
from gorsethread.fakes.discovery import FakeDiscovery
from gorsethread.fakes.record import Recorder, read_script
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.simulation.rule_mutants import break_rule
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport, run
from gorsethread.transport.sampling import Sampler

RULES = ("one answer", "no effect twice", "drain", "slow start", "key order", "retry budget", "rate limits")
BACKEND_OVERLOADED = 3  # exit status of a fake backend that was overloaded while cold

app = typer.Typer(
    name="gorsethread",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A storage gateway, which schedules the reads and writes of hosts over backends. "
    "Exit status: 0: done, 1: a rule was broken or a defect found, 2: invalid input.",
)


app.add_typer(accounts.app)
app.add_typer(lab.app)
lab.app.command()(shutdowns)
app.add_typer(faults.app)
app.add_typer(fleet.app)
app.add_typer(records.app)
app.add_typer(branch.app)


class LogFormat(str, Enum):
    console = "console"
    json = "json"


Seed = Annotated[int, typer.Option(help="Seed of all random numbers in this process.")]
LogOption = Annotated[LogFormat, typer.Option("--log", help="Format of the log on standard error.")]
RecordPath = Annotated[str, typer.Option("--record", help="Write what the sockets carried to this file.")]
JsonPath = Annotated[
    str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")
]
Factor = Annotated[float, typer.Option(help="Traffic, as a multiple of the plans' usual rates.")]
ScriptPath = Annotated[str, typer.Option("--script", help="JSON file of faults to inject.")]


def _serve(make: Callable[[RealTransport], Any], seed: int, log: Any, end: Any = None) -> None:
    """Runs a service until SIGTERM or SIGINT.

    make: creates the service; end: awaited with it at the end, instead of a call of its stop(). Exits with
    status 2 if the service can't start.
    """

    async def main(transport: RealTransport) -> None:
        service = make(transport)
        transport.on_terminate(transport.finish)
        service.start()
        await transport.until_finished()
        if end:
            await end(service)
        else:
            service.stop()

    try:
        run(main, seed)
    except OSError as error:
        log.error("can't serve", reason=str(error))
        raise typer.Exit(2) from None
    except GorsethreadError as error:
        log.error("can't serve", reason=str(error), to_do=error.action)
        raise typer.Exit(2) from None


@app.command()
def head(
    site: SitePath,
    head: Annotated[int, typer.Option(help="The gateway's number in the site file.")],
    seed: Seed = 0,
    remember: Annotated[
        str, typer.Option(help="File that keeps the last list of backends across restarts.")
    ] = "",
    accounts: Annotated[
        str,
        typer.Option(help="Folder for a snapshot of latency accounts per window; by default none are kept."),
    ] = "",
    window: Annotated[float, typer.Option(help="Length of a window of the accounts, in seconds.")] = 10.0,
    records: Annotated[
        str,
        typer.Option(
            help="Folder for this gateway's durable records and for copies of other gateways' records; "
            "created if it does not exist. By default no record outlives the process."
        ),
    ] = "",
    peers_listen: Annotated[
        str,
        typer.Option(
            help="host:port to receive other gateways' messages on, if it differs from `peers` in the site "
            "file (behind a forwarder)."
        ),
    ] = "",
    log: LogOption = LogFormat.console,
    log_level: str = "info",
    sample: Annotated[
        str, typer.Option(help="Sample CPU time by package, and write the shares to this file at the end.")
    ] = "",
    plant: Annotated[int, typer.Option(hidden=True)] = 0,
    alternate: Annotated[str, typer.Option(hidden=True)] = "",
) -> None:
    """Run a gateway between its clients and the backends. SIGTERM shuts it down gracefully."""
    start_logs(log is LogFormat.json, log_level)
    settings = read_site_or_exit(site)
    if head not in {h.number for h in settings.head}:
        typer.echo(f"{site}: head: there is no gateway {head}", err=True)
        raise typer.Exit(2)
    if window < 0.1 or accounts and not Path(accounts).is_dir():
        typer.echo(
            "--window must be 0.1 or more" if window < 0.1 else f"--accounts: {accounts} is not a folder",
            err=True,
        )
        raise typer.Exit(2)
    if peers_listen:
        fleet.address_of(peers_listen, "peers-listen")
    logger = log_for(head=head)

    alternating: list[Alternating] = []

    def make(transport: RealTransport) -> NvmeGateway:
        made = NvmeGateway(
            transport,
            settings,
            head,
            seed,
            remember,
            logger,
            accounts=accounts,
            window=window,
            records=records,
            peers_listen=peers_listen,
        )
        if plant:
            break_rule(made, plant)
        if alternate:
            alternating.append(Alternating(made))
        return made

    sampler = Sampler()
    if sample:
        sampler.start()
    _serve(make, seed, logger, lambda made: made.end())
    if sample:
        Path(sample).write_text(json.dumps(sampler.shares()))
    if alternate:
        Path(alternate).write_text(json.dumps(alternating[0].figures()))


@app.command()
def shelf(
    site: SitePath,
    shelf: Annotated[int, typer.Option(help="The backend's number in the site file.")],
    folder: Annotated[str, typer.Option(help="Folder for the backend's data.")],
    seed: Seed = 0,
    warm: Annotated[bool, typer.Option("--warm", help="Start as if it had been running for long.")] = False,
    record: RecordPath = "",
    script: ScriptPath = "",
    log: LogOption = LogFormat.console,
) -> None:
    """Run a fake backend. Exit status 3: it was overloaded while cold."""
    start_logs(log is LogFormat.json)
    settings = read_site_or_exit(site)
    if shelf not in {s.number for s in settings.shelf}:
        typer.echo(f"{site}: shelf: there is no backend {shelf}", err=True)
        raise typer.Exit(2)
    logger = log_for(shelf=shelf)
    made: list[FakeBackend] = []

    def make(transport: RealTransport) -> FakeBackend:
        recorder = Recorder(transport, f"shelf {shelf}", record)
        faults = read_script(transport.load(script) if script else None)
        made.append(
            FakeBackend(transport, settings, shelf, recorder, folder, faults, warm, logger, transport.finish)
        )
        return made[0]

    _serve(make, seed, logger)
    if made[0].machine.overloaded:
        raise typer.Exit(BACKEND_OVERLOADED)


@app.command("list")
def node_list(
    site: SitePath,
    seed: Seed = 0,
    record: RecordPath = "",
    script: ScriptPath = "",
    log: LogOption = LogFormat.console,
) -> None:
    """Run the fake discovery service, which serves the list of backends."""
    start_logs(log is LogFormat.json)
    settings = read_site_or_exit(site)
    logger = log_for(list=settings.name)

    def make(transport: RealTransport) -> FakeDiscovery:
        faults = read_script(transport.load(script) if script else None)
        return FakeDiscovery(transport, settings, Recorder(transport, "list", record), faults, logger)

    _serve(make, seed, logger)


@app.command()
def client(
    site: SitePath,
    tenant: Annotated[str, typer.Option(help="The tenant whose applications to play.")],
    seed: Seed = 0,
    seconds: float = 10.0,
    factor: Factor = 1.0,
    start_at: Annotated[float, typer.Option(help="Start time on the monotonic clock; 0: now.")] = 0.0,
    surges: Annotated[str, typer.Option(help="JSON file of surges to play.")] = "",
    record: RecordPath = "",
    log: LogOption = LogFormat.console,
) -> None:
    """Play one tenant's applications as an open-loop load for a limited time."""
    start_logs(log is LogFormat.json)
    settings = read_site_or_exit(site)
    if tenant not in {t.name for t in settings.tenant}:
        typer.echo(f"{site}: tenant: there is no tenant {tenant!r}", err=True)
        raise typer.Exit(2)
    logger = log_for(tenant=tenant)

    async def main(transport: RealTransport) -> None:
        raw = transport.load(surges) if surges else None
        planned_surges: list[Surge] = msgspec.json.decode(raw, type=list[Surge]) if raw else []
        started = start_at or transport.now()
        recorder = Recorder(transport, f"client {tenant}", record)
        load = LoadClient(
            transport, settings, tenant, recorder, factor, started, started + seconds, planned_surges, logger
        )
        transport.on_terminate(transport.finish)

        async def play_and_finish() -> None:
            await load.run()
            transport.finish()

        transport.spawn(play_and_finish())
        await transport.until_finished()

    run(main, seed)


@app.command("check-site")
def check_site(site: Annotated[Path, typer.Argument(help="The site file.")]) -> None:
    """Check a site file: print its faults line by line, or a summary of what it contains."""
    settings = read_site_or_exit(site)
    typer.echo(
        f"{site}: valid: {len(settings.head)} gateways, {len(settings.shelf)} backends, "
        f"{len(settings.profile)} request classes, {len(settings.plan)} service tiers, "
        f"{len(settings.tenant)} tenants, {len(settings.volume)} volumes"
    )


@app.command("version")
def show_version() -> None:
    """Print the version."""
    try:
        typer.echo(version("gorsethread"))
    except PackageNotFoundError:
        typer.echo("0.2.0")


def _print_day(console: Console, result: DayResult, site: pb.Site) -> None:
    verdict = result.verdict
    volumes = {volume.number: volume for volume in site.volume}
    table = Table(
        "volume", "plan", "weight due", "served in time", "share", title="Priority weight served, by volume"
    )
    for number, (served, due) in verdict.volumes.items():
        share = f"{served / due:.2f}" if due else "-"
        table.add_row(volumes[number].name, volumes[number].plan, f"{due:.0f}", f"{served:.0f}", share)
    console.print(table)
    table = Table("rule", "name", "violations", title="The seven rules, as backends and clients saw them")
    for number, (name, breaks) in enumerate(zip(RULES, verdict.rules, strict=True), 1):
        table.add_row(str(number), name, str(breaks))
    console.print(table)
    console.print(", ".join(f"{count} {event}" for event, count in verdict.counts.items()))
    console.print(
        f"lost {verdict.lost}, duplicated {verdict.duplicated}, blocks read wrong {verdict.wrong_reads}"
    )
    if result.accounts:
        console.print(f"latency: {result.accounts}", markup=False, highlight=False)
    for violation in verdict.violations[:10]:
        console.print(str(violation), markup=False, highlight=False)
    for defect in result.defects:
        console.print(f"defect: {defect}", markup=False)
    console.print("every rule held" if result.good else "NOT GOOD: see above")


def _run_async(main: Callable[[RealTransport], Coroutine[Any, Any, Any]], seed: int) -> Any:
    async def run_main() -> Any:
        return await main(RealTransport(seed))

    return asyncio.run(run_main())


@app.command()
def day(
    site: SitePath = Path("deploy/site.txtpb"),
    seed: Seed = 1,
    heads: int = 3,
    shelves: int = 6,
    seconds: float = 40.0,
    factor: Factor = 1.0,
    troubles: Annotated[
        str, typer.Option(help="Faults to inject, comma-separated; 'none' for no faults.")
    ] = ",".join(TROUBLES),
    json_path: JsonPath = "",
    folder: Annotated[str, typer.Option(help="Keep logs and records in this folder.")] = "",
    plant: Annotated[
        int, typer.Option(help="Make every gateway break this rule, to test the invariant checker.")
    ] = 0,
    window: Annotated[
        float, typer.Option(help="Seconds per window of latency accounts, kept under --folder; 0: none.")
    ] = 1.0,
) -> None:
    """Run real processes under faults, and check the seven rules. Exit status 0: every rule held."""
    settings = read_site_or_exit(site)
    fault_kinds = () if troubles == "none" else tuple(t.strip() for t in troubles.split(","))
    if unknown := [t for t in fault_kinds if t not in TROUBLES]:
        typer.echo(f"--troubles: unknown {', '.join(unknown)}; there are {', '.join(TROUBLES)}", err=True)
        raise typer.Exit(2)
    if heads < 1 or shelves < 1 or seconds < 1 or window < 0 or not 0 <= plant <= 7:
        typer.echo(
            "--heads, --shelves and --seconds must be 1 or more, --plant 0 to 7, --window 0 or more", err=True
        )
        raise typer.Exit(2)
    console = Console(stderr=json_path == "-")
    plan = DayPlan(seed, heads, shelves, seconds, factor, fault_kinds, plant, window)
    with tempfile.TemporaryDirectory(prefix="gorsethread-day-") as scratch:
        kept_folder = Path(folder or scratch)
        kept_folder.mkdir(parents=True, exist_ok=True)

        async def main(transport: RealTransport) -> DayResult:
            played = Day(
                transport, settings, plan, kept_folder, lambda line: console.print(line, markup=False)
            )
            return await played.play()

        try:
            result: DayResult = _run_async(main, seed)
        except OSError as error:
            typer.echo(f"--folder: {error}", err=True)
            raise typer.Exit(2) from None
    _print_day(console, result, settings)
    write_json(result.as_json(), json_path)
    raise typer.Exit(0 if result.good else 1)


@app.command()
def bench(
    seconds: Annotated[float, typer.Option(help="Seconds of each measurement.")] = 5.0,
    rounds: Annotated[int, typer.Option(help="Pairs of measurements of the relay and the gateway.")] = 3,
    json_path: JsonPath = "",
    seed: Seed = 1,
) -> None:
    """Compare the gateway with a plain relay, in pairs: requests per second, latency and CPU time."""
    console = Console(stderr=json_path == "-")

    async def main(transport: RealTransport) -> dict[str, Any]:
        return await benches.run_bench(
            transport, seconds, rounds, lambda line: console.print(line, markup=False)
        )

    result = _run_async(main, seed)
    table = Table("ratio of gateway to relay, in pairs", "least", "median", "most")
    for name in (
        "head_to_relay",
        "cpu_ratio",
        "held_head_to_relay",
        "held_cpu_ratio",
        "calm_median_ratio",
        "calm_p99_ratio",
        "idle_shelves_cpu_ratio",
        "accounts_to_head",
    ):
        table.add_row(name, *(f"{result[name][k]:.2f}" for k in ("least", "median", "most")))
    console.print(table)
    console.print(
        "memory of the latency accounts: "
        + ", ".join(
            f"{name.replace('_', ' ')} {amount:.1f}" for name, amount in result["accounts_footprint"].items()
        )
    )
    console.print(
        "the gateway's CPU time by package: "
        + ", ".join(f"{package} {share:.0%}" for package, share in result["head_cpu_shares"].items())
    )
    write_json(result, json_path)


class BenchPeer(str, Enum):
    sink = "sink"
    relay = "relay"
    load = "load"
    turns = "turns"


@app.command("bench-peer", hidden=True)
def bench_peer(
    kind: BenchPeer,
    site: SitePath,
    number: Annotated[int, typer.Option()] = 0,
    seconds: float = 1.0,
    rate: float = 0.0,
    start_at: float = 0.0,
    depth: int = benches.DEPTH,
    out: str = "",
    other: Annotated[Path, typer.Option()] = Path(),
    stretches: int = 0,
) -> None:
    """Run one of the processes around the gateway in a benchmark."""
    start_logs(False, "warning")
    settings = read_site_or_exit(site)
    logger = log_for(peer=kind.value)
    if kind is BenchPeer.relay:
        _serve(lambda transport: Relay(transport, settings, number, logger), 0, logger)
    elif kind is BenchPeer.sink:
        _serve(
            lambda transport: Sink(
                transport,
                settings,
                number,
                Recorder(transport, "sink", ""),
                "",
                [],
                True,
                logger,
                transport.finish,
            ),
            0,
            logger,
        )
    elif kind is BenchPeer.turns:
        sites = [settings, read_site_or_exit(other)]
        result = _run_async(
            lambda transport: TurnLoad(transport, sites, depth, start_at, stretches).run(), number
        )
        Path(out).write_text(json.dumps(result))
    else:
        result = _run_async(
            lambda transport: Load(transport, settings, depth, rate, start_at, seconds).run(), number
        )
        Path(out).write_text(json.dumps(result))
