"""Simulates the membership views of a fleet on one virtual clock and compares them with the actual members.

Datagrams are lost, delayed, duplicated and reordered; a script kills, pauses, slows down, cuts off and
terminates gateways. The views do no I/O and get the same input as in a process: ticks, datagrams as bytes,
and a clock of their own.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gorsethread.membership.failure_detector import ProbeTiming
from gorsethread.membership.gossip_messages import Address, MemberRecord, MemberState, decode, encode
from gorsethread.membership.membership_view import MembershipView
from gorsethread.simulation.script import Act, Script
from gorsethread.transport.program import SeededRandom

FLEET_ID = 4711
TICK_INTERVAL = 0.1  # seconds
TRANSIT_TIME = (0.0005, 0.004)  # seconds that a datagram takes
DELAYED_PORTION, MAX_EXTRA_DELAY = 0.05, 0.2  # portion of the datagrams; seconds
DUPLICATED_PORTION, LOST_PORTION = 0.02, 0.01  # portions of the datagrams without any fault
MAX_HELD_CALLS = 64  # chiefly datagrams for a paused process; the operating system would drop further ones
MAX_GATEWAYS = 512  # in one fleet
FAULT_KINDS = ("killed", "restarted", "cut off", "one way", "islands", "paused", "starved", "lossy", "quick")
IDLE_PERIOD = 20.0  # seconds at the end of the simulation
PERMANENT_FAULT = 600.0  # seconds; a simulation does not wait for the end of a fault as long as this
# Seconds without a fault at either gateway; if one then declares the other dead though it runs, that is a
# false death.
FALSE_DEATH_GRACE = 15.0


def settling_bound(gateways: int) -> float:
    """Returns the seconds after the last fault within which all views must equal the actual members.

    They cover the longest suspicion, which a gateway in poor health itself has, its dissemination, and the
    infrequent pings to members held dead.
    """
    return 30.0 + 12.0 * math.log2(1 + gateways)


@dataclass
class SimulatedGateway:
    """One gateway's process and its view.

    offset: of its clock, in seconds. extra_delay: seconds by which it does everything late. last_fault: when
    a fault last struck it or ended. held_calls: what waits while it is paused; at most MAX_HELD_CALLS.
    """

    number: int
    view: MembershipView
    offset: float
    running: bool = True
    paused: bool = False
    extra_delay: float = 0.0
    loss_probability: float = 0.0
    last_fault: float = -1e9
    held_calls: list[Callable[[], None]] = field(default_factory=list)
    sent_bytes: int = 0
    sent: int = 0


@dataclass
class MembershipResult:
    """The result of one simulation.

    settled: seconds from the end of the last fault until all views equalled the actual members; inf where
    they never did.
    """

    heads: int
    settled: float
    false_deaths: int
    missed: int  # differences at the end: gateways alive in a view that are down, or the reverse
    revived: int  # ended incarnations that a view held alive again
    bytes_a_head_a_second: float
    messages_a_head_a_second: float
    reasons: list[str]
    rest_bytes: float = 0.0  # per gateway and second, in the IDLE_PERIOD at the end


class MembershipSimulation:
    """Simulates the membership views of a fleet. Each instance is played once.

    script: the faults that strike gateways, and the network cuts between them. mutate: changes each view
    right after it is created. settle_time: seconds that the simulation goes on after the last fault; None:
    settling_bound(). view_factory: creates the views; MembershipView, or a baseline with the same interface.
    """

    def __init__(
        self,
        script: Script,
        mutate: Callable[[MembershipView], None] | None = None,
        settle_time: float | None = None,
        view_factory: Callable[..., Any] = MembershipView,
    ) -> None:
        self.script, self.mutate, self.view_factory = script, mutate, view_factory
        # By member and incarnation: when each gateway came to hold that incarnation ended.
        self.death_times: dict[tuple[int, int], list[float]] = {}
        self._bytes_before_idle = 0
        self.rng = SeededRandom(f"fleet {script.seed}")
        self.now, self._event_number = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.gateways: dict[int, SimulatedGateway] = {}
        self.by_address: dict[Address, int] = {}
        self.cuts: Counter[tuple[int, int]] = Counter()
        self.ended_seen: set[tuple[int, int, int]] = set()  # observer, member, incarnation
        self.false_deaths = self.revived = 0
        self.reasons: list[str] = []
        self.last_fault_end = max(
            (a.end if a.seconds < PERMANENT_FAULT else a.at for a in script.acts), default=0.0
        )
        self.until = self.last_fault_end + (
            settling_bound(script.heads) if settle_time is None else settle_time
        )
        self._settled_at = math.inf

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedules a call on the virtual clock; calls at the same time run in the order of scheduling."""
        self._event_number += 1
        heapq.heappush(self._events, (time, self._event_number, call))

    # ---- processes

    def _start(self, number: int, incarnation: int) -> None:
        rng = self.rng
        address = ("10.0.0.1", 1000 + number)
        me = MemberRecord(number, incarnation, 0, MemberState.ALIVE, number % 2, number, *address, number)
        known = [("10.0.0.1", 1000 + n) for n in range(self.script.heads)]
        offset = rng.uniform(-900.0, 900.0)
        view = self.view_factory(me, tuple(known), self.now + offset, rng.random, ProbeTiming(), MAX_GATEWAYS)
        if self.mutate is not None:
            self.mutate(view)
        gateway = self.gateways[number] = SimulatedGateway(number, view, offset, last_fault=self.now)
        self.by_address[address] = number
        self.ended_seen = {
            seen for seen in self.ended_seen if seen[0] != number
        }  # a new process has no memory
        self.at(self.now + rng.uniform(0, TICK_INTERVAL), lambda: self._tick(gateway))

    def _tick(self, gateway: SimulatedGateway) -> None:
        if not gateway.running:
            return
        self.at(self.now + TICK_INTERVAL, lambda: self._tick(gateway))
        if not gateway.paused:
            self._run_after_delay(gateway, lambda: gateway.view.tick(self.now + gateway.offset))

    def _run_after_delay(self, gateway: SimulatedGateway, call: Callable[[], None]) -> None:
        if gateway.extra_delay:
            self.at(self.now + gateway.extra_delay, lambda: self._run(gateway, call))
        else:
            self._run(gateway, call)

    def _run(self, gateway: SimulatedGateway, call: Callable[[], None]) -> None:
        if not gateway.running:
            return
        if gateway.paused:
            if len(gateway.held_calls) < MAX_HELD_CALLS:
                gateway.held_calls.append(call)
            return
        last_change = gateway.view.history[-1] if gateway.view.history else None
        call()
        self._check_changes(gateway, last_change)
        outbox, gateway.view.outbox = gateway.view.outbox, []
        for to, message in outbox:
            self._send(gateway, to, encode(message, FLEET_ID))

    def _check_changes(self, gateway: SimulatedGateway, last_change: Any) -> None:
        """Checks the changes after last_change for ended members, false deaths and revived incarnations."""
        for change in reversed(gateway.view.history):
            if change is last_change:
                break
            record = change.record
            if record.ended:
                if (gateway.number, record.member, record.incarnation) not in self.ended_seen:
                    self.death_times.setdefault((record.member, record.incarnation), []).append(self.now)
                self.ended_seen.add((gateway.number, record.member, record.incarnation))
                self._count_false_death(gateway, record)
            elif (gateway.number, record.member, record.incarnation) in self.ended_seen:
                self.revived += 1

    def _count_false_death(self, gateway: SimulatedGateway, record: MemberRecord) -> None:
        peer = self.gateways.get(record.member)
        if (
            record.state != MemberState.DEAD
            or record.reported_by != gateway.number
            or peer is None
            or not peer.running
        ):
            return
        quiet_for = min(self.now - gateway.last_fault, self.now - peer.last_fault)
        if (
            self.cuts[gateway.number, record.member]
            or self.cuts[record.member, gateway.number]
            or peer.paused
            or peer.extra_delay
        ):
            quiet_for = 0.0  # these look the same as a death
        if quiet_for > FALSE_DEATH_GRACE and peer.view.own.incarnation == record.incarnation:
            self.false_deaths += 1

    # ---- the network

    def _send(self, gateway: SimulatedGateway, to: Address, data: bytes) -> None:
        gateway.sent += 1
        gateway.sent_bytes += len(data)
        peer = self.by_address.get(to)
        if peer is None:
            return
        rng = self.rng
        for _ in range(2 if rng.random() < DUPLICATED_PORTION else 1):
            loss = max(LOST_PORTION, gateway.loss_probability, self.gateways[peer].loss_probability)
            if rng.random() < loss or self.cuts[gateway.number, peer]:
                continue
            delay = rng.uniform(*TRANSIT_TIME) + (
                rng.uniform(0, MAX_EXTRA_DELAY) if rng.random() < DELAYED_PORTION else 0.0
            )
            self.at(self.now + delay, lambda: self._deliver(gateway.number, peer, data))

    def _deliver(self, source: int, peer: int, data: bytes) -> None:
        gateway = self.gateways[peer]
        if gateway.running and not self.cuts[source, peer]:
            self._run_after_delay(
                gateway, lambda: gateway.view.received(("10.0.0.1", 1000 + source), decode(data, FLEET_ID))
            )

    # ---- faults

    def _gateways_of(self, name: str) -> list[int]:
        kind, _, number = name.partition(" ")
        if kind == "room":
            return [n for n in self.gateways if n % 2 == int(number)]
        return [int(number)]

    def _apply(self, act: Act) -> None:
        if act.kind == "cut":
            pairs = [
                (a, b) for a in self._gateways_of(act.target) for b in self._gateways_of(act.to) if a != b
            ]
            pairs += [(b, a) for a, b in pairs] if act.both_ways else []
            for pair in pairs:
                self.cuts[pair] += 1
                self._note_fault(pair)
            self.at(self.now + act.seconds, lambda: self._heal_cuts(pairs))
            return
        gateway = self.gateways[int(act.target.split(" ")[1])]
        if not gateway.running:
            return
        self._note_fault((gateway.number,))
        if act.kind == "term":
            self._run(gateway, gateway.view.leave)
        if act.kind in ("kill", "vanish", "term"):
            gateway.running = False
            incarnation = gateway.view.own.incarnation + 1 + int(self.rng.random() * 1000)
            self.at(self.now + act.seconds, lambda: self._start(gateway.number, incarnation))
        elif act.kind == "pause":
            gateway.paused = True
            self.at(self.now + act.seconds, lambda: self._resume(gateway))
        elif act.kind == "lose":
            gateway.loss_probability = act.amount
            self.at(self.now + act.seconds, lambda: self._end_degradation(gateway))
        elif act.kind == "starve":
            gateway.extra_delay = act.amount
            self.at(self.now + act.seconds, lambda: self._end_degradation(gateway))
        else:
            raise ValueError(f"{act}: the membership simulation does not support this act")

    def _note_fault(self, numbers: tuple[int, ...]) -> None:
        for n in numbers:
            self.gateways[n].last_fault = self.now

    def _heal_cuts(self, pairs: list[tuple[int, int]]) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1
            self._note_fault(pair)

    def _resume(self, gateway: SimulatedGateway) -> None:
        gateway.paused = False
        gateway.last_fault = self.now
        held_calls, gateway.held_calls = gateway.held_calls, []
        for call in held_calls:
            self._run(gateway, call)

    def _end_degradation(self, gateway: SimulatedGateway) -> None:
        gateway.extra_delay = gateway.loss_probability = 0.0
        gateway.last_fault = self.now

    # ---- run and result

    def play(self) -> MembershipResult:
        """Runs the simulation to its end."""
        for n in range(self.script.heads):
            self._start(n, 1 + n)
        for act in sorted(self.script.acts):
            self.at(act.at, lambda act=act: self._apply(act))  # type: ignore[misc]
        self.at(self.last_fault_end + 0.5, self._check_settled)
        self.at(max(0.0, self.until - IDLE_PERIOD), self._begin_idle_period)
        while self._events and self._events[0][0] <= self.until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        missed = sum(
            len(self._actual_members() ^ self._members_seen_by(g))
            for g in self.gateways.values()
            if g.running
        )
        if self._settled_at == math.inf:
            self.reasons.append("views differ from the truth")
        if self.false_deaths:
            self.reasons.append("a false death")
        if self.revived:
            self.reasons.append("a dead life was alive again")
        gateway_seconds = self.script.heads * self.until
        settling_time = self._settled_at - self.last_fault_end
        idle_bytes = sum(g.sent_bytes for g in self.gateways.values()) - self._bytes_before_idle
        running = sum(g.running for g in self.gateways.values())
        return MembershipResult(
            self.script.heads,
            settling_time,
            self.false_deaths,
            missed,
            self.revived,
            sum(g.sent_bytes for g in self.gateways.values()) / gateway_seconds,
            sum(g.sent for g in self.gateways.values()) / gateway_seconds,
            self.reasons,
            idle_bytes / max(1, running) / min(IDLE_PERIOD, self.until),
        )

    def _begin_idle_period(self) -> None:
        self._bytes_before_idle = sum(g.sent_bytes for g in self.gateways.values())

    def _actual_members(self) -> set[tuple[int, int]]:
        return {(g.number, g.view.own.incarnation) for g in self.gateways.values() if g.running}

    def _members_seen_by(self, gateway: SimulatedGateway) -> set[tuple[int, int]]:
        return {(record.member, record.incarnation) for record in gateway.view.alive}

    def _check_settled(self) -> None:
        actual = self._actual_members()
        if all(self._members_seen_by(g) == actual for g in self.gateways.values() if g.running):
            self._settled_at = min(self._settled_at, self.now)
        else:
            self._settled_at = math.inf
        if self.now + 0.5 < self.until:
            self.at(self.now + 0.5, self._check_settled)


def generate_script(seed: int, gateway_count: int = 0) -> Script:
    """Returns the script of a seed, with one or more kinds of fault; gateway_count 0: drawn from the seed."""
    rng = SeededRandom(f"fleet script {seed}")
    gateways = gateway_count or rng.choice((4, 5, 8, 12, 20, 33, 60))
    acts: list[Act] = []
    struck: set[int] = set()

    def pick(probability: float) -> list[int]:
        chosen = [n for n in range(gateways) if rng.random() < probability and n not in struck]
        struck.update(chosen)
        return chosen

    def act(
        at: float, kind: str, target: str, seconds: float, to: str = "", both: bool = False, by: float = 0.0
    ) -> None:
        acts.append(Act(round(at, 3), kind, target, to, both, round(by, 3), round(seconds, 3)))

    kinds = [kind for kind in FAULT_KINDS if rng.random() < 0.35] or ["killed"]
    for kind in kinds:
        at = rng.uniform(8.0, 25.0)
        if kind == "killed":
            for n in pick(0.7):
                act(at, rng.choice(("kill", "vanish")), f"head {n}", rng.uniform(1.0, 15.0))
        elif kind == "restarted":
            for index, n in enumerate(pick(0.5)):
                act(at + 1.5 * index, "term", f"head {n}", rng.uniform(0.5, 2.0))
        elif kind == "quick":
            for n in pick(0.2):
                act(at, "kill", f"head {n}", 0.2)
        elif kind == "cut off":
            act(at, "cut", "room 0", rng.uniform(3.0, 25.0), "room 1", True)
        elif kind == "one way":
            source, peer = rng.randrange(gateways), rng.randrange(gateways)
            act(at, "cut", f"head {source}", rng.uniform(3.0, 20.0), f"head {peer}")
        elif kind == "islands":
            seconds = rng.uniform(5.0, 25.0)
            for a in range(gateways):
                for b in range(a + 1, gateways):
                    if a % 3 != b % 3 and a:  # gateway 0 reaches all islands
                        act(at, "cut", f"head {a}", seconds, f"head {b}", True)
        elif kind == "paused":
            for n in pick(0.2):
                act(at, "pause", f"head {n}", rng.choice((3.0, 30.0)))
        elif kind == "starved":
            for n in pick(0.1):
                act(at, "starve", f"head {n}", rng.uniform(5.0, 20.0), by=rng.uniform(0.2, 1.5))
        else:
            for n in pick(0.5):
                act(at, "lose", f"head {n}", rng.uniform(5.0, 20.0), by=0.3)
    return Script(seed, gateways, 1, 60.0, acts=tuple(sorted(acts)))
