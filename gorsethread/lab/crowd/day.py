"""A day drawn from its seed: volumes, their surges and leads, and everything that is asked."""

from bisect import bisect_right
from dataclasses import dataclass
from itertools import accumulate
from typing import NamedTuple

from gorsethread.scheduling.model import (
    Effect,
    IdempotencyScope,
    RequestClass,
    SchedulerSettings,
    ServiceTier,
    SlowStartRule,
)
from gorsethread.transport.base import RandomStream
from gorsethread.transport.program import SeededRandom

UNIT_WORK = 0.14  # seconds of one core for a unit, at a shelf of speed 1
MIX = (0.55, 0.3, 0.15)
PROFILES = (
    RequestClass(2.2, Effect.IDEMPOTENT, IdempotencyScope.ALL, 36.0, False, 2.0),
    RequestClass(2.9, Effect.NON_IDEMPOTENT, IdempotencyScope.ALL, 36.0, True, 3.0),
    RequestClass(10.9, Effect.IDEMPOTENT, IdempotencyScope.ALL, 36.0, False, 1.0),
)
COLD = SlowStartRule(6.0, 3.0, 13.0, 0.19)
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
    facts: SchedulerSettings
    speeds: list[float]
    stores: list[Store]
    asks: list[Ask]


def draw(scene: Scene) -> Day:
    c = SeededRandom(f"{scene.seed}/crowd")
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
        ServiceTier(
            0.0, float(n + 1), 10.0 * least * size if n < 2 else 0.0, 48.0 if n < 2 else 0.0, least * size
        )
        for n, size in enumerate(sizes)
    )
    facts = SchedulerSettings(
        PROFILES,
        plans,
        scene.heads,
        False,
        0.0,
        1.0,
        COLD,
        None,
        0.0,
        4,
        1.0,
        8,
        1.0,
        True,
        may_send_messages=True,
    )
    asks = sorted(ask for n, s in enumerate(stores) for ask in _asks(scene, n, s, c))
    return Day(scene, facts, speeds, stores, asks)


def _pick(c: RandomStream, parts: list[float]) -> int:
    return min(len(parts) - 1, bisect_right(list(accumulate(parts)), c.random() * sum(parts)))


def _some(c: RandomStream, most: int, of: int) -> tuple[int, ...]:
    chosen: list[int] = []
    for _ in range(min(of, 1 + c.randrange(most))):
        n = c.randrange(of)
        if n not in chosen:
            chosen.append(n)
    return tuple(chosen)


def _store(scene: Scene, c: RandomStream) -> Store:
    plan = _pick(c, list(PLAN_PARTS))
    heads = _some(c, 3, scene.heads)
    leads, at = [(0.0, c.randrange(len(heads)))], 0.0
    while (at := at + c.uniform(6.8, 25.0)) < scene.seconds:
        leads.append((at, c.randrange(len(heads))))
    usual = (1.0, 1.5, 3.0)[plan] * c.uniform(0.85, 1.15)
    return Store(plan, usual, _some(c, 3, scene.shelves), heads, leads, (0.0, 0.0, 1.0))


def _asks(scene: Scene, number: int, s: Store, c: RandomStream) -> list[Ask]:
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
