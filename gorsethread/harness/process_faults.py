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
from gorsethread.harness.relay import Direction, LinkFaults, StreamRelay
from gorsethread.simulation.script import Act, Script
from gorsethread.transport.base import Transport

ROOMS = 2
FOLDER_ACTS = ("wipe", "older", "rot", "swap")  # acts on a head's folder, beside its end
KILL_POINT_TIMEOUT_SECONDS = 15.0  # seconds from a stab until the point must have been come to


def unsupported_acts(script: Script, kinds: tuple[str, ...], parties: tuple[str, ...]) -> list[str]:
    """Acts that a scene with these kinds and parties is not put through."""
    return [
        f"{act}: not for real processes"
        for act in script.acts
        if act.kind not in kinds
        or not act.whom.startswith(parties)
        or act.to
        and not act.to.startswith(parties)
    ]


class FaultPlayer:
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
        self.start_process = starts
        self.faults = LinkFaults()
        self.streams: StreamRelay | None = None
        self.in_process_acts: dict[str, Callable[[Act], Coroutine[Any, Any, None]]] = {}
        # What befalls a head's folder while it is down (wipe, older, rot, swap), where a scene has folders.
        self.on_folder_act: Callable[[Act], None] = lambda act: None
        self.on_act: Callable[[str, Act], None] = lambda event, act: None
        self.link_far_side: list[str] = []  # who is reached over a branch's link, where a scene has one
        self.stopped: set[str] = set()  # by SIGSTOP; emptied as they go on
        self.unreached_points: list[str] = []  # stabs at points that nobody came to
        self._tasks: list[asyncio.Task[None]] = []

    def members(self, name: str) -> list[str]:
        kind, _, which = name.partition(" ")
        if kind == "room":
            return [f"head {n}" for n in range(self.heads) if n % ROOMS == int(which)]
        return [name]

    def signal(self, name: str, which: signal.Signals) -> None:
        process = self.processes.running.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(which)

    def directions(self, act: Act) -> list[Direction]:
        if act.kind == "link":
            return [
                way
                for other in self.link_far_side
                for n, way in enumerate(((act.whom, other), (other, act.whom)), 1)
                if act.by in (0, n)
            ]
        pairs = [(a, b) for a in self.members(act.whom) for b in self.members(act.to) if a != b]
        return pairs + [(b, a) for a, b in pairs] if act.both else pairs

    async def apply(self, act: Act) -> float:
        """Begins it; when it is over, by this machine's clock."""
        now, kind = self.transport.now(), act.whom.split(" ")[0]
        if act.kind in ("cut", "link"):
            ways = self.directions(act)
            self.faults.cut(ways, now)
            self.on_act("cut", act)
            self._after(act.seconds, lambda: self.faults.heal(ways, self.transport.now()))
        elif act.kind in ("reset", "mute"):
            assert self.streams is not None, "a scene without streams plays neither"
            self.on_act(act.kind, act)
            for one, other in self.directions(act):
                (self.streams.reset if act.kind == "reset" else self.streams.mute)(one, other)
        elif act.kind == "lose":
            self.faults.lossy[act.whom] = act.by
            self._after(act.seconds, lambda: self.faults.lossy.pop(act.whom, None))
        elif act.kind == "stab":
            self.flag(act).write_text(str(int(act.by)))
            self._tasks.append(asyncio.ensure_future(self._await_kill_point(act)))
        elif kind in self.in_process_acts:
            self._tasks.append(asyncio.ensure_future(self.in_process_acts[kind](act)))
        elif act.kind == "pause":
            self.signal(act.whom, signal.SIGSTOP)
            self.stopped.add(act.whom)
            self.on_act("stopped", act)
            self._after(act.seconds, lambda: self.resume(act.whom))
        else:
            for name in (act.whom, act.to) if act.kind == "swap" else (act.whom,):
                self.stopped.discard(name)
                if act.kind == "term":
                    self.on_act("told to end", act)
                    await self.processes.end(name)
                else:
                    await self.processes.end(name, signal.SIGKILL)
                    self.on_act("killed", replace(act, whom=name))
            if act.kind in FOLDER_ACTS:
                self.on_folder_act(act)
            for name in (act.whom, act.to) if act.kind == "swap" else (act.whom,):
                self._tasks.append(asyncio.ensure_future(self._restart(name, act.seconds)))
        return now + act.seconds

    def _after(self, seconds: float, act: Callable[[], Any]) -> None:
        self.transport.call_at(self.transport.now() + seconds, act)

    def resume(self, name: str) -> None:
        self.stopped.discard(name)
        self.signal(name, signal.SIGCONT)

    def flag(self, act: Act) -> Path:
        """The file by which that head's process is told to end at the act's point."""
        return self.processes.folder / f"{act.whom} {act.to}".replace(" ", "-")

    async def _await_kill_point(self, act: Act) -> None:
        process = self.processes.running[act.whom]
        try:
            await asyncio.wait_for(process.wait(), KILL_POINT_TIMEOUT_SECONDS)
        except TimeoutError:
            self.unreached_points.append(str(act))
            return
        self.processes.running.pop(act.whom)
        self.flag(act).unlink()
        self.on_act("killed", act)
        await self._restart(act.whom, act.seconds)

    async def _restart(self, name: str, after: float) -> None:
        await self.transport.sleep(after)
        await self.start_process(name)

    async def play(self, script: Script, zero: float) -> None:
        """All acts at their times, several at once where they overlap; returns when the last is over."""
        doing = []
        ends = zero
        for act in sorted(script.acts):
            await self.transport.sleep(max(0.0, zero + act.at - self.transport.now()))
            self.say(f"{act}")
            doing.append(asyncio.ensure_future(self.apply(act)))
        for task in doing:
            ends = max(ends, await task)
        await asyncio.gather(*self._tasks)
        await self.transport.sleep(max(0.0, ends - self.transport.now()))

    async def end(self) -> dict[str, int | None]:
        """Every process, with its exit status; what was stopped goes on first."""
        for task in self._tasks:
            task.cancel()
        for name in list(self.stopped):
            self.resume(name)
        return await self.processes.end_all()
