"""What a script does to real processes: started, killed, told to end, stopped, cut off, made lossy or slow.

A party is named as in scripts; whoever puts a scene together says how it is started and who is in a room.
Scripts are those of the virtual worlds (gorsethread/simulation/script.py), so one may be played both ways.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from gorsethread.harness.processes import Processes
from gorsethread.harness.relay import Faults, StreamRelay, Way
from gorsethread.simulation.script import Act, Script
from gorsethread.transport.base import Transport

ROOMS = 2
FOLDERS = ("wipe", "older", "rot", "swap")  # acts on a head's folder, beside its end
REACHED_WITHIN = 15.0  # seconds from a stab until the point must have been come to


def unplayable(script: Script, kinds: tuple[str, ...], parties: tuple[str, ...]) -> list[str]:
    """Acts that a scene with these kinds and parties is not put through."""
    return [
        f"{act}: not for real processes"
        for act in script.acts
        if act.kind not in kinds
        or not act.target.startswith(parties)
        or act.to
        and not act.to.startswith(parties)
    ]


class Cast:
    """starts: how each party's process comes up. own: acts of a scene on what runs in this very process, by
    the party's kind; they return when it is over. saw: what judges are told of."""

    def __init__(
        self,
        transport: Transport,
        processes: Processes,
        heads: int,
        starts: Callable[[str], Awaitable[None]],
        say: Callable[[str], None],
    ) -> None:
        self.transport, self.processes, self.heads, self.say = transport, processes, heads, say
        self.starts = starts
        self.faults = Faults()
        self.streams: StreamRelay | None = None
        self.own: dict[str, Callable[[Act], Coroutine[Any, Any, None]]] = {}
        # What befalls a head's folder while it is down (wipe, older, rot, swap), where a scene has folders.
        self.folders: Callable[[Act], None] = lambda act: None
        self.saw: Callable[[str, Act], None] = lambda event, act: None
        self.beyond: list[str] = []  # who is reached over a branch's link, where a scene has one
        self.stopped: set[str] = set()  # by SIGSTOP; emptied as they go on
        self.unreached: list[str] = []  # stabs at points that nobody came to
        self._later: list[asyncio.Task[None]] = []

    def members(self, name: str) -> list[str]:
        kind, _, which = name.partition(" ")
        if kind == "room":
            return [f"head {n}" for n in range(self.heads) if n % ROOMS == int(which)]
        return [name]

    def signal(self, name: str, which: signal.Signals) -> None:
        process = self.processes.running.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(which)

    def ways(self, act: Act) -> list[Way]:
        if act.kind == "link":
            return [
                way
                for other in self.beyond
                for n, way in enumerate(((act.target, other), (other, act.target)), 1)
                if act.amount in (0, n)
            ]
        pairs = [(a, b) for a in self.members(act.target) for b in self.members(act.to) if a != b]
        return pairs + [(b, a) for a, b in pairs] if act.both_ways else pairs

    async def do(self, act: Act) -> float:
        """Begins it; when it is over, by this machine's clock."""
        now, kind = self.transport.now(), act.target.split(" ")[0]
        if act.kind in ("cut", "link"):
            ways = self.ways(act)
            self.faults.cut(ways, now)
            self.saw("cut", act)
            self._after(act.seconds, lambda: self.faults.heal(ways, self.transport.now()))
        elif act.kind in ("reset", "mute"):
            assert self.streams is not None, "a scene without streams plays neither"
            self.saw(act.kind, act)
            for one, other in self.ways(act):
                (self.streams.reset if act.kind == "reset" else self.streams.mute)(one, other)
        elif act.kind == "lose":
            self.faults.lossy[act.target] = act.amount
            self._after(act.seconds, lambda: self.faults.lossy.pop(act.target, None))
        elif act.kind == "stab":
            self.flag(act).write_text(str(int(act.amount)))
            self._later.append(asyncio.ensure_future(self._stabbed(act)))
        elif kind in self.own:
            self._later.append(asyncio.ensure_future(self.own[kind](act)))
        elif act.kind == "pause":
            self.signal(act.target, signal.SIGSTOP)
            self.stopped.add(act.target)
            self.saw("stopped", act)
            self._after(act.seconds, lambda: self.goes_on(act.target))
        else:
            for name in (act.target, act.to) if act.kind == "swap" else (act.target,):
                self.stopped.discard(name)
                if act.kind == "term":
                    self.saw("told to end", act)
                    await self.processes.end(name)
                else:
                    await self.processes.end(name, signal.SIGKILL)
                    self.saw("killed", replace(act, target=name))
            if act.kind in FOLDERS:
                self.folders(act)
            for name in (act.target, act.to) if act.kind == "swap" else (act.target,):
                self._later.append(asyncio.ensure_future(self._again(name, act.seconds)))
        return now + act.seconds

    def _after(self, seconds: float, act: Callable[[], Any]) -> None:
        self.transport.call_at(self.transport.now() + seconds, act)

    def goes_on(self, name: str) -> None:
        self.stopped.discard(name)
        self.signal(name, signal.SIGCONT)

    def flag(self, act: Act) -> Path:
        """The file by which that head's process is told to end at the act's point."""
        return self.processes.folder / f"{act.target} {act.to}".replace(" ", "-")

    async def _stabbed(self, act: Act) -> None:
        process = self.processes.running[act.target]
        try:
            await asyncio.wait_for(process.wait(), REACHED_WITHIN)
        except TimeoutError:
            self.unreached.append(str(act))
            return
        self.processes.running.pop(act.target)
        self.flag(act).unlink()
        self.saw("killed", act)
        await self._again(act.target, act.seconds)

    async def _again(self, name: str, after: float) -> None:
        await self.transport.sleep(after)
        await self.starts(name)

    async def play(self, script: Script, zero: float) -> None:
        """All acts at their times, several at once where they overlap; returns when the last is over."""
        doing = []
        ends = zero
        for act in sorted(script.acts):
            await self.transport.sleep(max(0.0, zero + act.at - self.transport.now()))
            self.say(f"{act}")
            doing.append(asyncio.ensure_future(self.do(act)))
        for task in doing:
            ends = max(ends, await task)
        await asyncio.gather(*self._later)
        await self.transport.sleep(max(0.0, ends - self.transport.now()))

    async def end(self) -> dict[str, int | None]:
        """Every process, with its exit status; what was stopped goes on first."""
        for task in self._later:
            task.cancel()
        for name in list(self.stopped):
            self.goes_on(name)
        return await self.processes.end_all()
