"""Many heads of thin, uneven traffic on few shelves: what the decisions alone make of it, on a virtual clock.

Real policies, one a head, meet model shelves; there are no sockets, so that a change of the module is judged
in seconds. Volumes come through one to three heads, lean on one of them, surge, and share shelves; a burst
lifts all of them for a while. Worth is counted as the operators do: by volume and second, units inside the
volume's share by weight of what its shelves can do count in full, others little, late ones a part.

Part of the shelves may be replaced, each by a cold one that is told of late and falls over when all heads
push it; heads may be restarted meanwhile, and their messages are late, lost or doubled.

Left out: sockets and their costs, handshakes, put-off writes, re-reads, thrash, zones, clients that come
again. Times are in the measure of a fleet slowed down, as on the operators' days at size.
"""

import heapq
from bisect import bisect_right
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import accumulate
from typing import Any, NamedTuple

from gorsethread.faults.coldpart import borne
from gorsethread.model import (
    AttemptEnded,
    ColdRule,
    Effect,
    Ending,
    Group,
    Plan,
    Profile,
    RequestTaken,
    StartFacts,
)
from gorsethread.policy import Policy
from gorsethread.transport.base import Chance
from gorsethread.transport.program import Draws

UNIT_WORK = 0.14  # seconds of one core for a unit, at a shelf of speed 1
WAY = 0.001  # seconds from a head to a shelf or back
USABLE = 0.9  # of what a shelf can do, the part that is dealt out as due
BEYOND = 0.08  # what units beyond their volume's share earn
PRICES = (0.96, 1.0, 1.5)
LATE_WORTH = (0.15, 0.2, 0.25)
MIX = (0.55, 0.3, 0.15)
PROFILES = (
    Profile(2.2, Effect.REDOABLE, Group.ALL, 36.0, False, 2.0),
    Profile(2.9, Effect.IRREVERSIBLE, Group.ALL, 36.0, True, 3.0),
    Profile(10.9, Effect.REDOABLE, Group.ALL, 36.0, False, 1.0),
)
CUT_OFFS = (14.6, 18.0, 36.5)
COLD = ColdRule(6.0, 3.0, 13.0, 0.19)
FALLS = 4.0  # times what a cold shelf can do in the span: so much sent in it pushes it over
RENEWED_WITHIN = 7.0  # seconds, from the first third of the day on
TOLD_AFTER = (0.4, 2.1)  # seconds until a head's list tells of a change
MESSAGE = (0.025, 0.18)  # seconds between heads
RESTART = 0.5  # seconds that a head is away
PLAN_PARTS = (0.6, 0.27, 0.13)  # of the volumes
SIZES = ((1, 0.53), (2, 0.25), (3, 0.1), (4, 0.045), (5, 0.03), (6, 0.015), (7, 0.01), (8, 0.02))


@dataclass(frozen=True)
class Scene:
    """load: usual demand over what all shelves can do; surges and the burst come on top."""

    heads: int = 60
    shelves: int = 60
    seconds: float = 24.0
    load: float = 0.45
    surges: float = 0.45  # in the mean of the day, of what the shelves can do
    burst: float = 1.5
    seed: int = 1
    renewed: float = 0.0  # part of the shelves that are replaced by cold ones
    restarted: float = 0.0  # part of the heads, in the ten seconds after the first shelf's end
    lost: float = 0.0  # part of the messages; as many come twice


class Ask(NamedTuple):
    at: float
    head: int
    volume: int
    profile: int
    units: int
    shard: int
    work: float


@dataclass
class Store:
    """A volume as the day has it."""

    plan: int
    usual: float  # units a second
    shards: tuple[int, ...]
    heads: tuple[int, ...]
    leads: list[tuple[float, int]]  # from when on which of its heads leads
    surge: tuple[float, float, float]  # from, until, times the usual


@dataclass
class Day:
    scene: Scene
    facts: StartFacts
    speeds: list[float]
    stores: list[Store]
    asks: list[Ask]


def draw(scene: Scene) -> Day:
    c = Draws(f"{scene.seed}/crowd")
    speeds = [c.uniform(0.7, 1.2) for _ in range(scene.shelves)]
    power = sum(speeds) * 2 / UNIT_WORK  # units a second
    number = max(1, round(scene.shelves * c.uniform(4.7, 8.7)))
    stores = [_store(scene, c) for _ in range(number)]
    scale = scene.load * power / sum(s.usual for s in stores)
    for s in stores:
        s.usual *= scale
    excess = scene.surges * power * scene.seconds
    for s in sorted(stores, key=lambda s: c.random()):
        if excess <= 0:
            break
        lasts, times = c.uniform(7.8, 16.0), c.uniform(8.0, 16.0) if c.random() < 0.5 else c.uniform(2.0, 3.0)
        begins = c.uniform(-4.0, scene.seconds - 4.0)
        s.surge = (begins, begins + lasts, times)
        excess -= (times - 1.0) * s.usual * max(0.0, min(scene.seconds, begins + lasts) - max(0.0, begins))
    sizes = (1.0, 1.5, 3.0)
    least = sum(s.usual / sizes[s.plan] for s in stores) / number
    plans = tuple(
        Plan(0.0, float(n + 1), 10.0 * least * size if n < 2 else 0.0, 48.0 if n < 2 else 0.0, least * size)
        for n, size in enumerate(sizes)
    )
    facts = StartFacts(
        PROFILES, plans, scene.heads, False, 0.0, 1.0, COLD, None, 0.0, 4, 1.0, 8, 1.0, True, may_tell=True
    )
    asks = sorted(ask for n, s in enumerate(stores) for ask in _asks(scene, n, s, c))
    return Day(scene, facts, speeds, stores, asks)


def _pick(c: Chance, parts: list[float]) -> int:
    return min(len(parts) - 1, bisect_right(list(accumulate(parts)), c.random() * sum(parts)))


def _some(c: Chance, most: int, of: int) -> tuple[int, ...]:
    chosen: list[int] = []
    for _ in range(min(of, 1 + c.randrange(most))):
        n = c.randrange(of)
        if n not in chosen:
            chosen.append(n)
    return tuple(chosen)


def _store(scene: Scene, c: Chance) -> Store:
    plan = _pick(c, list(PLAN_PARTS))
    heads = _some(c, 3, scene.heads)
    leads, at = [(0.0, c.randrange(len(heads)))], 0.0
    while (at := at + c.uniform(6.8, 25.0)) < scene.seconds:
        leads.append((at, c.randrange(len(heads))))
    usual = (1.0, 1.5, 3.0)[plan] * c.uniform(0.85, 1.15)
    return Store(plan, usual, _some(c, 3, scene.shelves), heads, leads, (0.0, 0.0, 1.0))


def _asks(scene: Scene, number: int, s: Store, c: Chance) -> list[Ask]:
    most = s.usual * max(1.0, s.surge[2]) * scene.burst / 2.0  # asks a second; two units are the mean
    found, at = [], 0.0
    sizes, chances = [size for size, _ in SIZES], [part for _, part in SIZES]
    while (at := at + c.expovariate(most)) < scene.seconds:
        times = s.surge[2] if s.surge[0] <= at < s.surge[1] else 1.0
        times *= scene.burst if 0.35 * scene.seconds <= at < 0.6 * scene.seconds else 1.0
        if c.random() * max(1.0, s.surge[2]) * scene.burst > times:
            continue
        lead = next(head for begins, head in reversed(s.leads) if begins <= at)
        head = s.heads[lead if c.random() < 0.7 else c.randrange(len(s.heads))]
        units = sizes[_pick(c, chances)]
        # Two draws: a spread of 0.7 of the mean, as works of one size have.
        work = 0.5 * units * UNIT_WORK * (c.expovariate(1.0) + c.expovariate(1.0))
        found.append(
            Ask(at, head, number, _pick(c, list(MIX)), units, s.shards[c.randrange(len(s.shards))], work)
        )
    return found


class _Machine:
    """A shelf: two cores, one line in turn of arrival; what is called off stops. since: its start; it warms
    evenly from there. Sent too much while cold, it falls over and answers nothing more."""

    def __init__(self, world: "World", number: int, speed: float, since: float = -1000.0) -> None:
        self.world, self.number, self.full, self.since = world, number, speed, since
        self.line: list[_Sent] = []
        self.running = 0
        self.fallen = False
        self.pushed: deque[tuple[float, float]] = deque()  # when, seconds of work; of the last span

    @property
    def speed(self) -> float:
        warmth = min(1.0, (self.world.now - self.since) / COLD.warm_after)
        return self.full * (COLD.first_part + (1.0 - COLD.first_part) * warmth)

    def _push(self, work: float) -> None:
        now = self.world.now
        if now - self.since < COLD.warm_after:
            self.pushed.append((now, work))
            while self.pushed[0][0] <= now - COLD.span:
                self.pushed.popleft()
            if sum(w for _, w in self.pushed) > FALLS * 2.0 * self.speed * COLD.span:
                self.fallen = True

    @property
    def behind(self) -> float:
        """Seconds until what comes now would begin, about."""
        return sum(f.ask.work for f in self.line if not f.over) / (2.0 * self.speed)

    def take(self, f: "_Sent") -> None:
        self._push(f.ask.work)
        self.line.append(f)
        self._begin()

    def _begin(self) -> None:
        while self.running < 2 and self.line and not self.fallen:
            f = self.line.pop(0)
            if f.over:
                continue
            self.running += 1
            f.begun = True
            self.world.at(self.world.now + f.ask.work / self.speed, partial(self._done, f))

    def _done(self, f: "_Sent") -> None:
        if not f.freed:
            f.freed = True
            self.running -= 1
        self._begin()
        if not f.over:
            self.world.at(self.world.now + WAY, lambda: f.head.ended(f, Ending.SUCCEEDED))

    def drop(self, f: "_Sent") -> None:
        if f.begun and not f.freed:
            f.freed = True
            self.running -= 1
        self._begin()


@dataclass(eq=False)
class _Sent:
    head: "_Head"
    id: int
    number: int
    ask: Ask
    shelf: int
    at: float
    over: bool = False
    begun: bool = False
    freed: bool = False


@dataclass(eq=False)
class _Held:
    ask: Ask
    deadline: float
    forwards: int = 0
    out: "_Sent | None" = None
    answered: bool = False


class _Head:
    """The host of one policy."""

    def __init__(self, world: "World", number: int, policy: Callable[..., Policy]) -> None:
        self.world, self.number, self.kind = world, number, policy
        self.life = 0
        self.told: dict[int, tuple[int, int, int, bool, float]] = {
            n: (n, 0, n, True, 0.0) for n in range(world.day.scene.shelves)
        }  # entries as its list has them
        self._begin()

    def _begin(self) -> None:
        scene = self.world.day.scene
        self.open: dict[int, _Held] = {}
        self.life += 1
        self.away = False
        self.policy = self.kind(
            self,
            replace(self.world.day.facts, index=self.number),
            (scene.seed * 1000 + self.number) * 8 + self.life,
        )
        self._listed(list(self.told.values()), True)

    def _listed(self, entries: list[tuple[int, int, int, bool, float]], whole: bool) -> None:
        self.policy.list_begins(whole, whole)
        for entry in entries:
            self.policy.backend_listed(*entry)
        self.policy.list_ended()
        self.policy.batch_ended()

    def renewed(self, old: int, new: int, shard: int, since: float) -> None:
        """Its list tells of a shelf's end and of the cold one in its place."""
        self.told.pop(old)
        self.told[new] = (new, 0, shard, True, since)
        if not self.away:
            self._listed([(old, 0, shard, False, 0.0), self.told[new]], False)

    def killed(self) -> None:
        for t in self.open.values():
            if t.out is not None:
                t.out.over = True
                self.world.machines[t.out.shelf].drop(t.out)
            self.world.ends["lost with a head"] += not t.answered
        self.open, self.away = {}, True
        self.world.at(self.world.now + RESTART, self._begin)

    def take(self, id: int, ask: Ask) -> None:
        if self.away:
            self.world.ends["found no head"] += 1
            return
        store = self.world.day.stores[ask.volume]
        t = self.open[id] = _Held(ask, self.world.now + CUT_OFFS[ask.profile])
        self.policy.request_taken(
            RequestTaken(
                id,
                ask.profile,
                store.plan,
                None,
                t.deadline,
                f"v{ask.volume}",
                float(ask.units),
                ask.shard,
                len(store.heads),
                False,
            )
        )
        self.policy.batch_ended()
        self.world.at(t.deadline, lambda: self._time_is_up(id))

    def _time_is_up(self, id: int) -> None:
        t = self.open.get(id)
        if t is not None and t.out is not None:
            self.ended(t.out, Ending.TIMED_OUT)

    def ended(self, f: _Sent, how: Ending) -> None:
        if f.over:
            return
        f.over = True
        t = self.open[f.id]
        t.out = None
        if how is Ending.SUCCEEDED:
            t.answered = True
            self.world.honoured(t.ask)
        else:
            self.world.machines[f.shelf].drop(f)
        elapsed = self.world.now - f.at
        self.policy.attempt_ended(AttemptEnded(f.id, f.number, how, f.shelf, elapsed, t.answered, 0.0, 0.0))
        self.policy.batch_ended()
        if t.answered and t.out is None:
            self.open.pop(f.id, None)

    # ---- the policy's acts

    def clock(self) -> float:
        return self.world.now

    def send_attempt(self, transaction: int, shelf: int, wait: float) -> None:
        t = self.open[transaction]
        f = t.out = _Sent(self, transaction, t.forwards, t.ask, shelf, self.world.now)
        t.forwards += 1
        self.world.forwards += 1
        self.world.forwarded(shelf, t.ask.units)
        self.world.at(self.world.now + WAY, lambda: self.world.machines[shelf].take(f))

    def cancel_attempt(self, transaction: int, number: int) -> None:
        t = self.open[transaction]
        if t.out is not None and t.out.number == number:
            self.ended(t.out, Ending.CANCELLED)

    def reject(self, transaction: int, return_after: float) -> None:
        self._answer(transaction, "pushed back")

    def fail(self, transaction: int) -> None:
        self._answer(transaction, "given up")

    def _answer(self, id: int, how: str) -> None:
        t = self.open[id]
        t.answered = True
        self.world.ends[how] += 1
        if t.out is None:
            del self.open[id]

    def wake(self, delay: float, name: str) -> None:
        self.world.at(self.world.now + delay, partial(self._woken, name, self.life))

    def _woken(self, name: str, life: int) -> None:
        if not self.away and life == self.life:
            self.policy.woken(name)
            self.policy.batch_ended()

    def tell(self, head: int, words: str) -> None:
        self.world.tell(self.number, head, words)

    def hear(self, origin: int, words: str) -> None:
        if not self.away:
            self.policy.peer_told(origin, words)
            self.policy.batch_ended()

    def follow_list(self) -> None:
        pass


class World:
    """One play of a day. told: what an all-seeing variant tells each head every so often, if anything."""

    def __init__(
        self,
        day: Day,
        policy: Callable[..., Policy] = Policy,
        told: "Callable[[World], None] | None" = None,
        every: float = 0.1,
    ) -> None:
        self.day, self.now = day, 0.0
        self._agenda: list[tuple[float, int, Callable[[], Any]]] = []
        self._order = 0
        self.forwards = 0
        self.ends: dict[str, int] = defaultdict(int)
        self.served: list[tuple[Ask, float]] = []
        self.messages = 0
        self.over_part = 0  # sends to a cold shelf beyond what all heads may together
        self._cold: dict[int, deque[tuple[float, int]]] = defaultdict(deque)  # units of the span, by shelf
        self._chance = Draws(f"{day.scene.seed}/messages")
        self.machines = [_Machine(self, n, speed) for n, speed in enumerate(day.speeds)]
        self.heads = [_Head(self, n, policy) for n in range(day.scene.heads)]
        for id, ask in enumerate(day.asks):
            self.at(ask.at, partial(self.heads[ask.head].take, id, ask))
        self._draw_troubles()
        if told is not None:
            self._tell(told, every)

    def _draw_troubles(self) -> None:
        scene, c = self.day.scene, Draws(f"{self.day.scene.seed}/troubles")
        begins = scene.seconds / 3.0
        shards = sorted(range(scene.shelves), key=lambda n: c.random())[
            : round(scene.renewed * scene.shelves)
        ]
        for shard in shards:
            self.at(begins + c.uniform(0.0, RENEWED_WITHIN), partial(self._renew, shard, c))
        heads = sorted(range(scene.heads), key=lambda n: c.random())[: round(scene.restarted * scene.heads)]
        for n in heads:
            self.at(begins + c.uniform(0.0, 10.0), self.heads[n].killed)

    def _renew(self, shard: int, c: Chance) -> None:
        """The old one ends once no head sends there any more."""
        new = len(self.machines)
        self.machines.append(_Machine(self, new, self.day.speeds[shard], self.now))
        for head in self.heads:
            self.at(self.now + c.uniform(*TOLD_AFTER), partial(head.renewed, shard, new, shard, self.now))

    def tell(self, origin: int, head: int, words: str) -> None:
        self.messages += 1
        c, lost = self._chance, self.day.scene.lost
        for _ in range(2 if c.random() < lost else 1):
            if c.random() >= lost:
                self.at(self.now + c.uniform(*MESSAGE), partial(self.heads[head].hear, origin, words))

    def forwarded(self, shelf: int, units: int) -> None:
        age, sent = self.now - self.machines[shelf].since, self._cold[shelf]
        if age < COLD.warm_after:
            sent.append((self.now, units))
            while sent[0][0] <= self.now - COLD.span:
                sent.popleft()
            self.over_part += sum(u for _, u in sent) > borne(COLD, age) + 1e-9

    def _tell(self, told: "Callable[[World], None]", every: float) -> None:
        told(self)
        if self.now < self.day.scene.seconds:
            self.at(self.now + every, lambda: self._tell(told, every))

    def at(self, when: float, act: Callable[[], Any]) -> None:
        self._order += 1
        heapq.heappush(self._agenda, (when, self._order, act))

    def honoured(self, ask: Ask) -> None:
        self.served.append((ask, self.now - ask.at))

    def play(self) -> "Score":
        while self._agenda:
            self.now, _, act = heapq.heappop(self._agenda)
            act()
        return _score(self)


@dataclass
class Score:
    """Shares of the worth that is due; waits in seconds."""

    served: float = 0.0
    worst_plan: float = 0.0
    taken: int = 0
    rejected: float = 0.0
    late: float = 0.0
    forwards: int = 0
    demand: float = 0.0  # units asked over what the shelves can do
    half_waits: float = 0.0  # median time of what was honoured
    fallen: int = 0  # cold shelves pushed over
    over_part: int = 0  # sends to cold shelves beyond what all heads together may
    messages: float = 0.0  # between heads, a transaction
    ends: dict[str, int] = field(default_factory=dict)
    by_second: list[float] = field(default_factory=list)


def due_units(day: Day) -> dict[tuple[int, int], float]:
    """By volume and second: the units inside its shares, shelf by shelf, dealt out by weight."""
    asked: dict[tuple[int, int], dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for ask in day.asks:
        asked[(ask.shard, int(ask.at))][ask.volume] += ask.units
    due: dict[tuple[int, int], float] = defaultdict(float)
    for (shard, second), wants in asked.items():
        left, open_ = USABLE * 2.0 * day.speeds[shard] / UNIT_WORK, dict(wants)
        while open_:
            weights = {v: day.facts.plans[day.stores[v].plan].weight for v in open_}
            level = left / sum(weights.values())
            full = [v for v, units in open_.items() if units <= level * weights[v]]
            if not full:
                for v in open_:
                    due[(v, second)] += level * weights[v]
                break
            for v in full:
                due[(v, second)] += open_[v]
                left -= open_.pop(v)
    return due


def _earned(taken: list[tuple[float, float, int]], due: float) -> float:
    """taken: value of a unit, what counts of it, units; the best first, the late ones last."""
    sum_ = 0.0
    for value, part, units in sorted(taken, key=lambda t: (-t[1], -t[0])):
        inside = min(due, float(units))
        due -= inside
        sum_ += value * part * (inside + BEYOND * (units - inside))
    return sum_


def _score(world: World) -> Score:
    day, due = world.day, due_units(world.day)

    def value(ask: Ask) -> float:
        return PROFILES[ask.profile].value * PRICES[day.stores[ask.volume].plan]

    offered: dict[tuple[int, int], list[tuple[float, float, int]]] = defaultdict(list)
    got: dict[tuple[int, int], list[tuple[float, float, int]]] = defaultdict(list)
    for ask in day.asks:
        offered[(ask.volume, int(ask.at))].append((value(ask), 1.0, ask.units))
    late = 0
    for ask, elapsed in world.served:
        in_time = elapsed <= PROFILES[ask.profile].promised
        late += not in_time
        part = 1.0 if in_time else LATE_WORTH[ask.profile]
        got[(ask.volume, int(ask.at))].append((value(ask), part, ask.units))
    wanted: dict[int, float] = defaultdict(float)
    earned: dict[int, float] = defaultdict(float)
    by_second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for key, asks in offered.items():
        plan, most, have = day.stores[key[0]].plan, _earned(asks, due[key]), _earned(got[key], due[key])
        wanted[plan] += most
        earned[plan] += have
        by_second[key[1]][0] += have
        by_second[key[1]][1] += most
    times = sorted(elapsed for _, elapsed in world.served)
    power = sum(day.speeds) * 2 / UNIT_WORK * day.scene.seconds
    return Score(
        sum(earned.values()) / sum(wanted.values()),
        min(earned[p] / wanted[p] for p in wanted if wanted[p]),
        len(day.asks),
        world.ends["pushed back"] / len(day.asks),
        late / len(day.asks),
        world.forwards,
        sum(ask.units for ask in day.asks) / power,
        times[len(times) // 2] if times else 0.0,
        sum(m.fallen for m in world.machines),
        world.over_part,
        world.messages / len(day.asks),
        dict(world.ends),
        [round(a / b, 2) for _, (a, b) in sorted(by_second.items())],
    )
