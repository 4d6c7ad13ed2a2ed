"""A fault script on real sockets, every head a process, beside the same script on the virtual clock."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from gorsethread.harness.processes import Processes
from gorsethread.harness.site import SiteTrial
from gorsethread.invariants.history_checker import Verdict
from gorsethread.logs import log_for, start_logs
from gorsethread.simulation.script import Script
from gorsethread.simulation.site_simulation import play
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport


def beside(site: pb.Site, script: Script) -> dict[str, Any]:
    """Figures of the script on real sockets and on the virtual clock: parts of the value due that was
    honoured in time, by volume, and parts of the transactions by outcome."""
    real = asyncio.run(_on_sockets(site, script))
    return {"real": _figures(real), "virtual": _figures(play(site, script).verdict)}


async def _on_sockets(site: pb.Site, script: Script) -> Verdict:
    start_logs(True, "critical")  # of the stand-ins in this process
    with tempfile.TemporaryDirectory(prefix="gorsethread-beside-") as folder:
        trial = SiteTrial(RealTransport(script.seed), Processes(Path(folder), site), site, log_for(), script)
        await trial.play()
        return trial.verdict


def _figures(verdict: Verdict) -> dict[str, Any]:
    counts = verdict.counts
    whole = max(1, counts["taken"])
    return {
        "rules": verdict.rules,
        "taken": counts["taken"],
        "parts": {k: round(counts[k] / whole, 3) for k in ("honoured", "pushed back", "given up", "left")},
        "volumes": {
            str(n): round(won / due, 3) if due else None for n, (won, due) in verdict.volumes.items()
        },
    }
