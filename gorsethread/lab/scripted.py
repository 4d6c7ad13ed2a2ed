"""A fault script on real sockets, every process on its own, beside the same script on the virtual clock."""

import asyncio
import tempfile
from functools import partial
from pathlib import Path
from typing import Any

from gorsethread.faults.script import Act, Script
from gorsethread.faults.world import play
from gorsethread.lab.day import Day, DayPlan
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.standins.client import Surge
from gorsethread.transport.real import RealTransport
from gorsethread.witness.judge import Verdict

# What a day can do to processes.
CAN = ("kill", "still", "slow", "errors", "late", "refuse", "surge", "drain")


class ScriptedDay(Day):
    """Plays a script's acts in place of drawn troubles."""

    script = Script()

    def _write_script(self) -> None:
        for act in sorted(self.script.acts):
            self._write(act)

    def _write(self, act: Act) -> None:
        at, back = self.zero + act.at, self.zero + act.end
        kind, _, number = act.whom.partition(" ")
        if act.kind == "surge":
            volume = next(v for v in self.site.volume if v.number == int(number))
            self.surges.append(Surge(volume.number, at, act.seconds, act.by))
            self.acts.append((at, partial(self.say, f"volume {volume.name} surges")))
        elif act.kind == "kill" and kind == "head":
            self.acts.append((at, partial(self._kill_head, int(number))))
            self.acts.append((back, partial(self._start_head, int(number), "started again")))
        elif act.kind == "kill":
            self.acts.append((at, partial(self._kill_shelf, int(number))))
            self.acts.append((back, partial(self._start_shelf, int(number), False)))
        elif act.kind == "drain":
            self.acts.append((at, partial(self._order, int(number), "draining")))
            self.acts.append((back, partial(self._order, int(number), "ready")))
        else:
            self._fault(act.whom, at, act.kind, act.seconds, act.by)


def unplayable(script: Script) -> list[str]:
    """Acts that real processes are not put through."""
    return [str(act) for act in script.acts if act.kind not in CAN]


def beside(site: pb.Site, script: Script) -> dict[str, Any]:
    """Figures of the script on real sockets and on the virtual clock: parts of the value due that was
    honoured in time, by volume, and parts of the transactions by outcome."""
    real = asyncio.run(_on_sockets(site, script))
    return {"real": _figures(real), "virtual": _figures(play(site, script).verdict)}


async def _on_sockets(site: pb.Site, script: Script) -> Verdict:
    with tempfile.TemporaryDirectory(prefix="gorsethread-beside-") as folder:
        transport = RealTransport(script.seed)
        plan = DayPlan(script.seed, script.heads, script.shelves, script.seconds, script.factor, (),
                       window=0.0)
        day = ScriptedDay(transport, site, plan, Path(folder), lambda line: None)
        day.script = script
        return (await day.play()).verdict


def _figures(verdict: Verdict) -> dict[str, Any]:
    counts = verdict.counts
    whole = max(1, counts["taken"])
    return {
        "rules": verdict.rules, "taken": counts["taken"],
        "parts": {k: round(counts[k] / whole, 3) for k in ("honoured", "pushed back", "given up", "left")},
        "volumes": {str(n): round(won / due, 3) if due else None
                    for n, (won, due) in verdict.volumes.items()},
    }
