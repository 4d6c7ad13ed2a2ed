"""Worlds of the fleet's view: many pure cores on one virtual clock, datagrams that are lost, late, doubled
and out of order, heads killed, paused, starved, cut off and told to end by a script, and a judge that knows.

The cores meet just what they meet in a process: ticks, datagrams as bytes, and their own clocks.
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

FLEET = 4711
TICK = 0.1  # seconds
WAY = (0.0005, 0.004)  # seconds that a datagram takes
LATE_PART, LATE_MOST = 0.05, 0.2  # of the datagrams, and by how many seconds
DOUBLED, LOST = 0.02, 0.01  # parts of the datagrams where nothing is wrong
HELD_MOST = 64  # datagrams that wait for a paused process; the system drops what is over
ALL_HEADS = 512  # names of a fleet
HARD = ("killed", "restarted", "cut off", "one way", "islands", "paused", "starved", "lossy", "quick")
REST = 20.0  # seconds at the end of a world
FOR_GOOD = 600.0  # seconds from which on what is gone does not come back in a world
CALM = 15.0  # seconds without a fault at either, after which a death told of a head that lives is a false one


def bound(heads: int) -> float:
    """Seconds after the last fault within which all views are the truth: a suspicion at its longest, by a
    head whose own health is bad, what spreads it, and the slow question to those held dead."""
    return 30.0 + 12.0 * math.log2(1 + heads)


@dataclass
class Node:
    number: int
    view: MembershipView
    offset: float
    up: bool = True
    paused: bool = False
    late: float = 0.0
    lossy: float = 0.0
    troubled: float = -1e9  # when a fault last struck it, or ended
    held: list[Callable[[], None]] = field(default_factory=list)
    sent_bytes: int = 0
    sent: int = 0


@dataclass
class Judged:
    """settled: seconds from the last fault until all views were the truth; inf where they never were."""

    heads: int
    settled: float
    false_deaths: int
    missed: int  # heads that are down and alive in a view at the end, and the other way round
    revived: int  # dead lives that a view held alive again
    bytes_a_head_a_second: float
    messages_a_head_a_second: float
    reasons: list[str]
    rest_bytes: float = 0.0  # a head a second, of the last seconds, in which nothing happens


class FleetWorld:
    """script: acts on heads, and cuts between them. plant: changes each view as it is made. make: what views
    are, a MembershipView or a baseline of its shape. Play it once."""

    def __init__(
        self,
        script: Script,
        plant: Callable[[MembershipView], None] | None = None,
        calm: float | None = None,
        make: Callable[..., Any] = MembershipView,
    ) -> None:
        self.script, self.plant, self.make = script, plant, make
        self.over_at: dict[tuple[int, int], list[float]] = {}  # by name and life: when each head held it over
        self._sent_before = 0
        self.chance = SeededRandom(f"fleet {script.seed}")
        self.now, self._order = 0.0, 0
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[int, Node] = {}
        self.by_address: dict[Address, int] = {}
        self.cuts: Counter[tuple[int, int]] = Counter()
        self.dead: set[tuple[int, int, int]] = set()  # who saw which life of whom end
        self.false_deaths = self.revived = 0
        self.reasons: list[str] = []
        self.last = max((a.end if a.seconds < FOR_GOOD else a.at for a in script.acts), default=0.0)
        self.until = self.last + (bound(script.heads) if calm is None else calm)
        self._settled_at = math.inf

    def at(self, when: float, act: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._agenda, (when, self._order, act))

    # ---- processes

    def _start(self, number: int, life: int) -> None:
        c = self.chance
        address = ("10.0.0.1", 1000 + number)
        me = MemberRecord(number, life, 0, MemberState.ALIVE, number % 2, number, *address, number)
        known = [("10.0.0.1", 1000 + n) for n in range(self.script.heads)]
        offset = c.uniform(-900.0, 900.0)
        view = self.make(me, tuple(known), self.now + offset, c.random, ProbeTiming(), ALL_HEADS)
        if self.plant is not None:
            self.plant(view)
        node = self.nodes[number] = Node(number, view, offset, troubled=self.now)
        self.by_address[address] = number
        self.dead = {seen for seen in self.dead if seen[0] != number}  # a new process knows nothing
        self.at(self.now + c.uniform(0, TICK), lambda: self._tick(node))

    def _tick(self, node: Node) -> None:
        if not node.up:
            return
        self.at(self.now + TICK, lambda: self._tick(node))
        if not node.paused:
            self._later(node, lambda: node.view.tick(self.now + node.offset))

    def _later(self, node: Node, act: Callable[[], None]) -> None:
        if node.late:
            self.at(self.now + node.late, lambda: self._do(node, act))
        else:
            self._do(node, act)

    def _do(self, node: Node, act: Callable[[], None]) -> None:
        if not node.up:
            return
        if node.paused:
            if len(node.held) < HELD_MOST:
                node.held.append(act)
            return
        before = node.view.history[-1] if node.view.history else None
        act()
        self._watch(node, before)
        out, node.view.outbox = node.view.outbox, []
        for to, message in out:
            self._send(node, to, encode(message, FLEET))

    def _watch(self, node: Node, before: Any) -> None:
        """What its view has come to: a death told in error, a dead life alive again."""
        for change in reversed(node.view.history):
            if change is before:
                break
            w = change.record
            if w.ended:
                if (node.number, w.member, w.incarnation) not in self.dead:
                    self.over_at.setdefault((w.member, w.incarnation), []).append(self.now)
                self.dead.add((node.number, w.member, w.incarnation))
                self._judge_death(node, w)
            elif (node.number, w.member, w.incarnation) in self.dead:
                self.revived += 1

    def _judge_death(self, node: Node, w: MemberRecord) -> None:
        other = self.nodes.get(w.member)
        if w.state != MemberState.DEAD or w.reported_by != node.number or other is None or not other.up:
            return
        calm = min(self.now - node.troubled, self.now - other.troubled)
        if self.cuts[node.number, w.member] or self.cuts[w.member, node.number] or other.paused or other.late:
            calm = 0.0  # held dead for what it can't be told from
        if calm > CALM and other.view.own.incarnation == w.incarnation:
            self.false_deaths += 1

    # ---- the network

    def _send(self, node: Node, to: Address, raw: bytes) -> None:
        node.sent += 1
        node.sent_bytes += len(raw)
        other = self.by_address.get(to)
        if other is None:
            return
        c = self.chance
        for _ in range(2 if c.random() < DOUBLED else 1):
            lossy = max(LOST, node.lossy, self.nodes[other].lossy)
            if c.random() < lossy or self.cuts[node.number, other]:
                continue
            delay = c.uniform(*WAY) + (c.uniform(0, LATE_MOST) if c.random() < LATE_PART else 0.0)
            self.at(self.now + delay, lambda: self._arrives(node.number, other, raw))

    def _arrives(self, one: int, other: int, raw: bytes) -> None:
        node = self.nodes[other]
        if node.up and not self.cuts[one, other]:
            self._later(node, lambda: node.view.received(("10.0.0.1", 1000 + one), decode(raw, FLEET)))

    # ---- acts

    def _members(self, name: str) -> list[int]:
        kind, _, which = name.partition(" ")
        if kind == "room":
            return [n for n in self.nodes if n % 2 == int(which)]
        return [int(which)]

    def _do_act(self, act: Act) -> None:
        if act.kind == "cut":
            pairs = [(a, b) for a in self._members(act.target) for b in self._members(act.to) if a != b]
            pairs += [(b, a) for a, b in pairs] if act.both_ways else []
            for pair in pairs:
                self.cuts[pair] += 1
                self._trouble(pair)
            self.at(self.now + act.seconds, lambda: self._heal(pairs))
            return
        node = self.nodes[int(act.target.split(" ")[1])]
        if not node.up:
            return
        self._trouble((node.number,))
        if act.kind == "term":
            self._do(node, node.view.leave)
        if act.kind in ("kill", "vanish", "term"):
            node.up = False
            life = node.view.own.incarnation + 1 + int(self.chance.random() * 1000)
            self.at(self.now + act.seconds, lambda: self._start(node.number, life))
        elif act.kind == "pause":
            node.paused = True
            self.at(self.now + act.seconds, lambda: self._wakes(node))
        elif act.kind == "lose":
            node.lossy = act.amount
            self.at(self.now + act.seconds, lambda: self._eased(node))
        elif act.kind == "starve":
            node.late = act.amount
            self.at(self.now + act.seconds, lambda: self._eased(node))
        else:
            raise ValueError(f"{act}: worlds of the view don't play it")

    def _trouble(self, numbers: tuple[int, ...]) -> None:
        for n in numbers:
            self.nodes[n].troubled = self.now

    def _heal(self, pairs: list[tuple[int, int]]) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1
            self._trouble(pair)

    def _wakes(self, node: Node) -> None:
        node.paused = False
        node.troubled = self.now
        held, node.held = node.held, []
        for act in held:
            self._do(node, act)

    def _eased(self, node: Node) -> None:
        node.late = node.lossy = 0.0
        node.troubled = self.now

    # ---- the whole

    def play(self) -> Judged:
        for n in range(self.script.heads):
            self._start(n, 1 + n)
        for act in sorted(self.script.acts):
            self.at(act.at, lambda act=act: self._do_act(act))  # type: ignore[misc]
        self.at(self.last + 0.5, self._look)
        self.at(max(0.0, self.until - REST), self._rests)
        while self._agenda and self._agenda[0][0] <= self.until:
            self.now, _, act_ = heapq.heappop(self._agenda)
            act_()
        missed = sum(len(self._truth() ^ self._seen(n)) for n in self.nodes.values() if n.up)
        if self._settled_at == math.inf:
            self.reasons.append("views differ from the truth")
        if self.false_deaths:
            self.reasons.append("a false death")
        if self.revived:
            self.reasons.append("a dead life was alive again")
        total = self.script.heads * self.until
        after = self._settled_at - self.last
        at_rest = sum(n.sent_bytes for n in self.nodes.values()) - self._sent_before
        up = sum(n.up for n in self.nodes.values())
        return Judged(
            self.script.heads,
            after,
            self.false_deaths,
            missed,
            self.revived,
            sum(n.sent_bytes for n in self.nodes.values()) / total,
            sum(n.sent for n in self.nodes.values()) / total,
            self.reasons,
            at_rest / max(1, up) / min(REST, self.until),
        )

    def _rests(self) -> None:
        self._sent_before = sum(n.sent_bytes for n in self.nodes.values())

    def _truth(self) -> set[tuple[int, int]]:
        return {(n.number, n.view.own.incarnation) for n in self.nodes.values() if n.up}

    def _seen(self, node: Node) -> set[tuple[int, int]]:
        return {(w.member, w.incarnation) for w in node.view.alive}

    def _look(self) -> None:
        truth = self._truth()
        if all(self._seen(n) == truth for n in self.nodes.values() if n.up):
            self._settled_at = min(self._settled_at, self.now)
        else:
            self._settled_at = math.inf
        if self.now + 0.5 < self.until:
            self.at(self.now + 0.5, self._look)


def drawn(seed: int, heads: int = 0) -> Script:
    """A script from a seed: the hard cases of a fleet, some of them at once."""
    c = SeededRandom(f"fleet script {seed}")
    size = heads or c.choice((4, 5, 8, 12, 20, 33, 60))
    acts: list[Act] = []
    away: set[int] = set()

    def some(part: float) -> list[int]:
        chosen = [n for n in range(size) if c.random() < part and n not in away]
        away.update(chosen)
        return chosen

    def act(
        at: float, kind: str, whom: str, seconds: float, to: str = "", both: bool = False, by: float = 0.0
    ) -> None:
        acts.append(Act(round(at, 3), kind, whom, to, both, round(by, 3), round(seconds, 3)))

    kinds = [k for k in HARD if c.random() < 0.35] or ["killed"]
    for kind in kinds:
        at = c.uniform(8.0, 25.0)
        if kind == "killed":
            for n in some(0.7):
                act(at, c.choice(("kill", "vanish")), f"head {n}", c.uniform(1.0, 15.0))
        elif kind == "restarted":
            for k, n in enumerate(some(0.5)):
                act(at + 1.5 * k, "term", f"head {n}", c.uniform(0.5, 2.0))
        elif kind == "quick":
            for n in some(0.2):
                act(at, "kill", f"head {n}", 0.2)
        elif kind == "cut off":
            act(at, "cut", "room 0", c.uniform(3.0, 25.0), "room 1", True)
        elif kind == "one way":
            one, other = c.randrange(size), c.randrange(size)
            act(at, "cut", f"head {one}", c.uniform(3.0, 20.0), f"head {other}")
        elif kind == "islands":
            lasts = c.uniform(5.0, 25.0)
            for a in range(size):
                for b in range(a + 1, size):
                    if a % 3 != b % 3 and a:  # head 0 sees all of them
                        act(at, "cut", f"head {a}", lasts, f"head {b}", True)
        elif kind == "paused":
            for n in some(0.2):
                act(at, "pause", f"head {n}", c.choice((3.0, 30.0)))
        elif kind == "starved":
            for n in some(0.1):
                act(at, "starve", f"head {n}", c.uniform(5.0, 20.0), by=c.uniform(0.2, 1.5))
        else:
            for n in some(0.5):
                act(at, "lose", f"head {n}", c.uniform(5.0, 20.0), by=0.3)
    return Script(seed, size, 1, 60.0, acts=tuple(sorted(acts)))
