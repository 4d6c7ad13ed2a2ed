"""Applies the acts of a script to real processes: kills, stops, restarts, cuts and lossy or slow links.

Parties are named as in scripts; the caller says how a party's process is started. Scripts have the format of
the simulations (gorsethread/simulation/script.py), so the same one can be played in both.
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

ROOM_COUNT = 2
FOLDER_ACTS = ("wipe", "older", "rot", "swap")  # acts that change a gateway's folder while it is down
HEAL_CHECK_SECONDS = 0.05  # between two questions whether a cut may be healed
KILL_POINT_TIMEOUT_SECONDS = 15.0  # from a stab until the process must have reached its kill point


def unsupported_acts(script: Script, kinds: tuple[str, ...], parties: tuple[str, ...]) -> list[str]:
    """Returns a line for each act whose kind or party is not among the supported ones."""
    return [
        f"{act}: not for real processes"
        for act in script.acts
        if act.kind not in kinds
        or not act.target.startswith(parties)
        or act.to
        and not act.to.startswith(parties)
    ]


class FaultPlayer:
    """Plays a script against the processes.

    gateways: their number. start_process: starts the process of a named party. say: receives progress lines.
    in_process_acts: handlers of acts on parties that run in this process, by the party's kind; they return
    when the act is over. on_act: called with an event and its act, for the checkers' records.
    """

    def __init__(
        self,
        transport: Transport,
        processes: Processes,
        gateways: int,
        start_process: Callable[[str], Awaitable[None]],
        say: Callable[[str], None],
    ) -> None:
        self.transport, self.processes, self.gateways, self.say = transport, processes, gateways, say
        self.start_process = start_process
        self.faults = LinkFaults()
        self.streams: StreamRelay | None = None
        self.in_process_acts: dict[str, Callable[[Act], Coroutine[Any, Any, None]]] = {}
        # Applies one of FOLDER_ACTS while the gateway is down, if gateways have folders.
        self.on_folder_act: Callable[[Act], None] = lambda act: None
        self.on_act: Callable[[str, Act], None] = lambda event, act: None
        # Returns whether a cut whose time is over may be healed; asked again until it is.
        self.may_heal: Callable[[Act], bool] = lambda act: True
        self.link_far_side: list[str] = []  # parties that a branch reaches over its link, if there is one
        self.stopped: set[str] = set()  # by SIGSTOP; emptied as they resume
        self.unreached_points: list[str] = []  # stabs whose kill point was not reached
        self._tasks: list[asyncio.Task[None]] = []

    def members(self, name: str) -> list[str]:
        """Returns the parties of a room, or the named party itself."""
        kind, _, room = name.partition(" ")
        if kind == "room":
            return [f"head {n}" for n in range(self.gateways) if n % ROOM_COUNT == int(room)]
        return [name]

    def signal(self, name: str, number: signal.Signals) -> None:
        process = self.processes.running.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def directions(self, act: Act) -> list[Direction]:
        """Returns the directions between parties that an act affects."""
        if act.kind == "link":
            return [
                direction
                for far_party in self.link_far_side
                for n, direction in enumerate(((act.target, far_party), (far_party, act.target)), 1)
                if act.amount in (0, n)
            ]
        pairs = [(a, b) for a in self.members(act.target) for b in self.members(act.to) if a != b]
        return pairs + [(b, a) for a, b in pairs] if act.both_ways else pairs

    async def apply(self, act: Act) -> float:
        """Starts an act; returns the time at which it will be over, on this machine's clock."""
        now, kind = self.transport.now(), act.target.split(" ")[0]
        if act.kind in ("cut", "link"):
            directions = self.directions(act)
            self.faults.cut(directions, now)
            self.on_act("cut", act)
            self._after(act.seconds, lambda: self._heal(act, directions))
        elif act.kind in ("reset", "mute"):
            assert self.streams is not None, "reset and mute need a stream relay"
            self.on_act(act.kind, act)
            for sender, receiver in self.directions(act):
                (self.streams.reset if act.kind == "reset" else self.streams.mute)(sender, receiver)
        elif act.kind == "lose":
            self.faults.lossy[act.target] = act.amount
            self._after(act.seconds, lambda: self.faults.lossy.pop(act.target, None))
        elif act.kind == "stab":
            self.flag(act).write_text(str(int(act.amount)))
            self._tasks.append(asyncio.ensure_future(self._await_kill_point(act)))
        elif kind in self.in_process_acts:
            self._tasks.append(asyncio.ensure_future(self.in_process_acts[kind](act)))
        elif act.kind == "pause":
            self.signal(act.target, signal.SIGSTOP)
            self.stopped.add(act.target)
            self.on_act("stopped", act)
            self._after(act.seconds, lambda: self.resume(act.target))
        else:
            for name in (act.target, act.to) if act.kind == "swap" else (act.target,):
                self.stopped.discard(name)
                if act.kind == "term":
                    self.on_act("told to end", act)
                    await self.processes.end(name)
                else:
                    await self.processes.end(name, signal.SIGKILL)
                    self.on_act("killed", replace(act, target=name))
            if act.kind in FOLDER_ACTS:
                self.on_folder_act(act)
            for name in (act.target, act.to) if act.kind == "swap" else (act.target,):
                self._tasks.append(asyncio.ensure_future(self._restart(name, act.seconds)))
        return now + act.seconds

    def _heal(self, act: Act, directions: list[Direction]) -> None:
        if self.may_heal(act):
            self.faults.heal(directions, self.transport.now())
        else:
            self._after(HEAL_CHECK_SECONDS, lambda: self._heal(act, directions))

    def _after(self, seconds: float, action: Callable[[], Any]) -> None:
        self.transport.call_at(self.transport.now() + seconds, action)

    def resume(self, name: str) -> None:
        self.stopped.discard(name)
        self.signal(name, signal.SIGCONT)

    def flag(self, act: Act) -> Path:
        """Returns the file that arms the act's kill point in the gateway's process."""
        return self.processes.folder / f"{act.target} {act.to}".replace(" ", "-")

    async def _await_kill_point(self, act: Act) -> None:
        process = self.processes.running[act.target]
        try:
            await asyncio.wait_for(process.wait(), KILL_POINT_TIMEOUT_SECONDS)
        except TimeoutError:
            self.unreached_points.append(str(act))
            return
        self.processes.running.pop(act.target)
        self.flag(act).unlink()
        self.on_act("killed", act)
        await self._restart(act.target, act.seconds)

    async def _restart(self, name: str, after: float) -> None:
        await self.transport.sleep(after)
        await self.start_process(name)

    async def play(self, script: Script, zero: float) -> None:
        """Starts each act at its time, counted from zero; returns when the last is over."""
        started = []
        ends_at = zero
        for act in sorted(script.acts):
            await self.transport.sleep(max(0.0, zero + act.at - self.transport.now()))
            self.say(f"{act}")
            started.append(asyncio.ensure_future(self.apply(act)))
        for task in started:
            ends_at = max(ends_at, await task)
        await asyncio.gather(*self._tasks)
        await self.transport.sleep(max(0.0, ends_at - self.transport.now()))

    async def end(self) -> dict[str, int | None]:
        """Resumes stopped processes, ends all processes and returns the exit status of each."""
        for task in self._tasks:
            task.cancel()
        for name in list(self.stopped):
            self.resume(name)
        return await self.processes.end_all()
