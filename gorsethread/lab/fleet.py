"""Real processes of the program on loopback that keep a view of the fleet, every datagram between them led
through a relay of ours that loses, delays, doubles, reorders and cuts, killed, stopped and restarted by a
script; a judge outside asks all of them for their view and compares with what it knows to run.

The relay has a port for each head, which is the address that the others know it by.
"""

import asyncio
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.faults.fleet import DOUBLED, LATE_MOST, LATE_PART, LOST, bound
from gorsethread.faults.script import Act, Script
from gorsethread.lab.asking import NoAnswer, Shown, ask
from gorsethread.lab.processes import Processes
from gorsethread.membership.words import Address, State
from gorsethread.transport.base import Datagrams, Transport
from gorsethread.transport.real import free_ports

FLEET = 77
PLAYED = ("kill", "vanish", "pause", "term", "cut", "lose")
LOOK_EVERY = 0.5  # seconds
START_UP = 60.0  # seconds that the first start may take until all views are the truth


def unplayable(script: Script) -> list[str]:
    """Acts that real processes are not put through."""
    return [f"{act}: not for real processes" for act in script.acts if act.kind not in PLAYED
            or not act.whom.startswith(("head", "room")) or act.kind == "cut" and not act.to.startswith(
                ("head", "room"))]


class Relay:
    """ways: the real port of each head by number. What it does to a datagram is drawn from its own chance."""

    def __init__(self, transport: Transport, public: list[int], private: list[int]) -> None:
        self.transport, self.chance = transport, transport.chance("relay")
        self.public, self.private = public, private
        self.cuts: Counter[tuple[int, int]] = Counter()
        self.lossy: dict[int, float] = {}
        self.bytes = self.datagrams = 0
        self._heads = {port: n for n, port in enumerate(private)}
        self._ports: list[Datagrams] = [
            transport.datagrams("127.0.0.1", port, self._taker(n)) for n, port in enumerate(public)]

    def _taker(self, other: int) -> Callable[[bytes, Address], None]:
        return lambda data, source: self._pass(data, self._heads.get(source[1], -1), other)

    def _pass(self, data: bytes, one: int, other: int) -> None:
        if one < 0:
            return
        self.bytes += len(data)
        self.datagrams += 1
        c = self.chance
        for _ in range(2 if c.random() < DOUBLED else 1):
            lost = max(LOST, self.lossy.get(one, 0.0), self.lossy.get(other, 0.0))
            if c.random() < lost or self.cuts[one, other]:
                continue
            wait = c.uniform(0.0, LATE_MOST) if c.random() < LATE_PART else 0.0
            # It seems to come from the sender's own port here, as its peers know it.
            self.transport.at(self.transport.now() + wait, lambda: self._ports[one].send(
                ("127.0.0.1", self.private[other]), data))

    def close(self) -> None:
        for port in self._ports:
            port.close()


@dataclass
class Result:
    processes: int
    settled: bool = False
    settle_seconds: list[float] = field(default_factory=list)  # one for each act, and first for the start
    false_deaths: int = 0
    missed_deaths: int = 0
    views_differ: int = 0
    bytes_a_head_a_second: float = 0.0
    reasons: list[str] = field(default_factory=list)


class RealFleet:
    """Play it once. say: where progress goes."""

    def __init__(self, transport: Transport, processes: Processes, script: Script,
                 say: Callable[[str], None]) -> None:
        self.transport, self.processes, self.script, self.say = transport, processes, script, say
        ports = free_ports(2 * script.heads)
        self.public, self.private = ports[:script.heads], ports[script.heads:]
        self.relay = Relay(transport, self.public, self.private)
        self.stopped: set[int] = set()  # by SIGSTOP; emptied as they go on
        self.result = Result(script.heads)
        self._later: list[asyncio.Task[None]] = []

    async def _start(self, number: int) -> None:
        contacts = [f"127.0.0.1:{port}" for n, port in enumerate(self.public) if n != number]
        await self.processes.start(f"head {number}", "fleet", "agent", "--number", str(number), "--zone",
                                   str(number % 2), "--listen", f"127.0.0.1:{self.private[number]}",
                                   "--address", f"127.0.0.1:{self.public[number]}", "--fleet", str(FLEET),
                                   *(part for c in contacts for part in ("--contact", c)))

    async def play(self) -> Result:
        began = self.transport.now()
        try:
            await asyncio.gather(*(self._start(n) for n in range(self.script.heads)))
            await self._settle(START_UP + bound(self.script.heads), "the start")
            counted, at = self.relay.bytes, self.transport.now()
            zero = self.transport.now()
            for number, act in enumerate(sorted(self.script.acts)):
                await self.transport.sleep(max(0.0, zero + act.at - self.transport.now()))
                self.say(f"{self.transport.now() - began:7.1f} s  {act}")
                ends = await self._do(act)
                following = sorted(self.script.acts)[number + 1:]
                if not following or following[0].at - act.at > act.seconds + 1.0:
                    await self.transport.sleep(max(0.0, ends - self.transport.now()))
                    await self._settle(bound(self.script.heads), str(act))
            spent = (self.relay.bytes - counted) / max(0.001, self.transport.now() - at)
            self.result.bytes_a_head_a_second = round(spent / self.script.heads, 1)
            self.result.settled = not self.result.views_differ and not self.result.reasons
        finally:
            for task in self._later:
                task.cancel()
            for n in list(self.stopped):
                self._signal(n, signal.SIGCONT)
            await self.processes.end_all()
            self.relay.close()
        return self.result

    # ---- acts

    def _members(self, name: str) -> list[int]:
        kind, _, which = name.partition(" ")
        if kind == "room":
            return [n for n in range(self.script.heads) if n % 2 == int(which)]
        return [int(which)]

    def _signal(self, number: int, which: signal.Signals) -> None:
        process = self.processes.running.get(f"head {number}")
        if process is not None and process.returncode is None:
            process.send_signal(which)

    async def _do(self, act: Act) -> float:
        """When it is over, by this machine's clock."""
        now = self.transport.now()
        if act.kind == "cut":
            pairs = [(a, b) for a in self._members(act.whom) for b in self._members(act.to) if a != b]
            pairs += [(b, a) for a, b in pairs] if act.both else []
            for pair in pairs:
                self.relay.cuts[pair] += 1
            self._after(act.seconds, lambda: self.relay.cuts.subtract(pairs))
            return now + act.seconds
        number = int(act.whom.split(" ")[1])
        if act.kind == "lose":
            self.relay.lossy[number] = act.by
            self._after(act.seconds, lambda: self.relay.lossy.pop(number, None))
        elif act.kind == "pause":
            self._signal(number, signal.SIGSTOP)
            self.stopped.add(number)
            self._after(act.seconds, lambda: self._goes_on(number))
        else:
            how = signal.SIGTERM if act.kind == "term" else signal.SIGKILL
            await self.processes.end(f"head {number}", how)
            self._later.append(asyncio.ensure_future(self._again(number, act.seconds)))
        return now + act.seconds

    def _after(self, seconds: float, act: Callable[[], Any]) -> None:
        self.transport.at(self.transport.now() + seconds, act)

    def _goes_on(self, number: int) -> None:
        self.stopped.discard(number)
        self._signal(number, signal.SIGCONT)

    async def _again(self, number: int, after: float) -> None:
        await self.transport.sleep(after)
        await self._start(number)

    # ---- the judge

    async def _settle(self, within: float, what: str) -> None:
        """Until all that run tell the truth, and that they are settled."""
        began = self.transport.now()
        wrong = {"all": 1}
        while self.transport.now() < began + within:
            shown = await self._ask_all()
            wrong = self._differences(shown)
            if not wrong:
                took = round(self.transport.now() - began, 1)
                self.result.settle_seconds.append(took)
                self.say(f"settled in {took} s after {what}")
                return
            await self.transport.sleep(LOOK_EVERY)
        self.result.views_differ += 1
        self.result.false_deaths += wrong.get("held dead though it runs", 0)
        self.result.missed_deaths += wrong.get("held alive though it is gone", 0)
        self.result.reasons.append(f"not settled {within:.0f} s after {what}: {wrong}")
        self.say(self.result.reasons[-1])

    def _running(self) -> list[int]:
        return [n for n in range(self.script.heads) if self.processes.pid(f"head {n}") is not None]

    async def _ask_all(self) -> dict[int, Shown | None]:
        async def one(number: int) -> Shown | None:
            try:
                return await ask(self.transport, ("127.0.0.1", self.private[number]), FLEET, 1.5)
            except NoAnswer:
                return None

        running = self._running()
        return dict(zip(running, await asyncio.gather(*(one(n) for n in running)), strict=True))

    def _differences(self, shown: dict[int, Shown | None]) -> dict[str, int]:
        found: Counter[str] = Counter()
        lives = {n: s.me.life for n, s in shown.items() if s is not None and s.me is not None}
        for s in shown.values():
            if s is None:
                found["says nothing"] += 1
                continue
            alive = {w.name: w.life for w in s.words.values() if w.state < State.LEFT}
            found["held dead though it runs"] += sum(alive.get(n) != life for n, life in lives.items())
            found["held alive though it is gone"] += sum(n not in shown for n in alive)
            found["not settled"] += "settled" not in s.own
        return {what: n for what, n in found.items() if n}
