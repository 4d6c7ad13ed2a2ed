"""Real processes of the program on loopback that keep a view of the fleet, every datagram between them led
through a relay of ours that loses, delays, doubles, reorders and cuts, killed, stopped and restarted by a
script; a judge outside asks all of them for their view and compares with what it knows to run.

The relay has a port for each head, which is the address that the others know it by.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from gorsethread.experiments.operator_queries import NoAnswer, Shown, ask
from gorsethread.harness.process_faults import FaultPlayer
from gorsethread.harness.processes import Processes
from gorsethread.harness.relay import DatagramRelay
from gorsethread.membership.gossip_messages import MemberState
from gorsethread.simulation.membership_simulation import settling_bound
from gorsethread.simulation.script import Script
from gorsethread.transport.base import Transport
from gorsethread.transport.real import free_ports

FLEET = 77
PLAYED = ("kill", "vanish", "pause", "term", "cut", "lose")
PARTIES = ("head", "room")
LOOK_EVERY = 0.5  # seconds
START_UP = 60.0  # seconds that the first start may take until all views are the truth


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

    def __init__(
        self, transport: Transport, processes: Processes, script: Script, say: Callable[[str], None]
    ) -> None:
        self.transport, self.processes, self.script, self.say = transport, processes, script, say
        ports = free_ports(2 * script.heads)
        self.public, self.private = ports[: script.heads], ports[script.heads :]
        self.fault_player = FaultPlayer(transport, processes, script.heads, self._start, say)
        names = [f"head {n}" for n in range(script.heads)]
        self.relay = DatagramRelay(
            transport,
            self.fault_player.faults,
            dict(zip(names, self.public, strict=True)),
            dict(zip(names, self.private, strict=True)),
        )
        self.result = Result(script.heads)

    async def _start(self, name: str) -> None:
        number = int(name.split(" ")[1])
        contacts = [f"127.0.0.1:{port}" for n, port in enumerate(self.public) if n != number]
        await self.processes.start(
            name,
            "fleet",
            "agent",
            "--number",
            str(number),
            "--zone",
            str(number % 2),
            "--listen",
            f"127.0.0.1:{self.private[number]}",
            "--address",
            f"127.0.0.1:{self.public[number]}",
            "--fleet",
            str(FLEET),
            *(part for c in contacts for part in ("--contact", c)),
        )

    async def play(self) -> Result:
        began = self.transport.now()
        try:
            await asyncio.gather(*(self._start(f"head {n}") for n in range(self.script.heads)))
            await self._settle(START_UP + settling_bound(self.script.heads), "the start")
            counted, at = self.relay.bytes, self.transport.now()
            zero = self.transport.now()
            for number, act in enumerate(sorted(self.script.acts)):
                await self.transport.sleep(max(0.0, zero + act.at - self.transport.now()))
                self.say(f"{self.transport.now() - began:7.1f} s  {act}")
                ends = await self.fault_player.apply(act)
                following = sorted(self.script.acts)[number + 1 :]
                if not following or following[0].at - act.at > act.seconds + 1.0:
                    await self.transport.sleep(max(0.0, ends - self.transport.now()))
                    await self._settle(settling_bound(self.script.heads), str(act))
            spent = (self.relay.bytes - counted) / max(0.001, self.transport.now() - at)
            self.result.bytes_a_head_a_second = round(spent / self.script.heads, 1)
            self.result.settled = not self.result.views_differ and not self.result.reasons
        finally:
            await self.fault_player.end()
            self.relay.close()
        return self.result

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
        lives = {n: s.me.incarnation for n, s in shown.items() if s is not None and s.me is not None}
        for s in shown.values():
            if s is None:
                found["says nothing"] += 1
                continue
            alive = {w.member: w.incarnation for w in s.words.values() if w.state < MemberState.LEFT}
            found["held dead though it runs"] += sum(alive.get(n) != life for n, life in lives.items())
            found["held alive though it is gone"] += sum(n not in shown for n in alive)
            found["not settled"] += "settled" not in s.own
        return {what: n for what, n in found.items() if n}
