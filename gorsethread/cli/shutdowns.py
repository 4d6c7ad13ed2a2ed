"""gorsethread lab shutdowns: a soak of shutdowns of HTTP gateways, a seed a trial."""

from pathlib import Path
from typing import Annotated, Any

import typer

from gorsethread.cli.options import SitePath, read_seeds_or_exit, read_site_or_exit, write_json
from gorsethread.harness.processes import Processes
from gorsethread.harness.shutdown_trial import ShutdownTrial, script_of
from gorsethread.harness.trial_folder import TrialFolder
from gorsethread.logs import log_for, start_logs
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport, run


def play_shutdowns(site: pb.Site, seed: int, defect_code: str = "") -> ShutdownTrial:
    """Plays one trial with real processes and returns it with its result."""
    trials: list[ShutdownTrial] = []

    async def work(transport: RealTransport) -> None:
        with TrialFolder("gorsethread-shutdowns-") as folder:
            processes = Processes(folder.path, site)
            trial = ShutdownTrial(transport, processes, site, log_for(), script_of(seed), defect_code)
            trials.append(trial)
            result = await trial.play()
            if not result.good and not defect_code:
                folder.keep()

    run(work, seed)
    return trials[0]


def command_of(seed: int) -> str:
    """Returns the command that plays a seed again."""
    return f"./run gorsethread lab shutdowns --seeds {seed}..{seed}"


def shutdowns(
    site: SitePath = Path("deploy/site.txtpb"),
    seeds: Annotated[str, typer.Option(help="First and last seed, as 1..50.")] = "1..50",
    json_path: Annotated[
        str, typer.Option("--json", help="Write the result as JSON here; - for standard output.")
    ] = "",
) -> None:
    """Shut down and restart real gateways under load, a seed a trial.

    Exit status 0: in every trial every request had its final answer, none ran twice, each process ended by
    itself before the kill with status 0, and restarted ones were ready in time.
    """
    chosen = read_seeds_or_exit(seeds)
    settings = read_site_or_exit(site)
    start_logs(True, "critical")
    rows: list[dict[str, Any]] = []
    for seed in chosen:
        trial = play_shutdowns(settings, seed)
        result = trial.result
        crossed = sum(r["e"] == "crossed" for r in trial.records)
        rows.append(
            {
                "seed": seed,
                "crowd": trial.crowd.value,
                "good": result.good,
                "taken": result.taken,
                "succeeded": result.honoured,
                "lost": result.lost,
                "crossed": crossed,
                "rules": result.rules,
                "reasons": result.reasons,
            }
        )
        typer.echo(
            f"seed {seed}, {trial.crowd.value}: {'good' if result.good else 'FAILED'}, "
            f"{result.honoured} of {result.taken} succeeded, {result.lost} lost, {crossed} crossed",
            err=True,
        )
        if not result.good:
            typer.echo("\n".join([*result.reasons, f"rules: {result.rules}"]), err=True)
            typer.echo(f"again: {command_of(seed)}", err=True)
    failed = [row["seed"] for row in rows if not row["good"]]
    typer.echo(f"{len(rows)} played, {len(failed)} failed: {failed}", err=True)
    write_json({"trials": rows}, json_path)
    raise typer.Exit(1 if failed else 0)
