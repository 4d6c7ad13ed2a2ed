"""Variants of the crowd experiment in which heads know what none of them can: how much of a loss would go."""

import multiprocessing
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Any

from gorsethread.experiments.many_gateways.score import USABLE, Score
from gorsethread.experiments.many_gateways.simulation import World
from gorsethread.experiments.many_gateways.workload import UNIT_WORK, Scene, draw
from gorsethread.scheduling.concurrency_limits import MAX_WAIT_PART, MIN_RATE, UNLIMITED_RATE
from gorsethread.scheduling.model import AttemptOutcome, Backend, Request
from gorsethread.scheduling.scheduler import Scheduler

ASKED_OF_LATE = 1.5  # seconds of demand that is told
SPARE = 0.6  # of what a shelf can do, while its line is long
LONG_LINE = 0.6  # seconds
HOLD = 0.3  # of the shortest promise: the line from which on nothing more is sent
STEP = 0.1  # seconds between two tellings


class ByTold(Scheduler):
    """Rates come from what is told; answers move the rest of a shelf's health as ever."""

    def _record_outcome(
        self, backend: Backend, outcome: AttemptOutcome, elapsed: float, request: Request, sent_at: float
    ) -> None:
        limits = backend.limits
        rate, rate_updated_at, cut_at = limits.rate, limits.rate_updated_at, limits.cut_at
        super()._record_outcome(backend, outcome, elapsed, request, sent_at)
        limits.rate, limits.rate_updated_at, limits.cut_at = rate, rate_updated_at, cut_at


class EvenParts(Scheduler):
    """What a cold shelf bears is parted evenly, as where heads may send no messages."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.leases.enabled = False


def lines_told(world: World) -> None:
    """Each head knows each shelf's line, as if an answer had just told it, and sends none into a long one."""
    for head in world.heads:
        p = head.scheduler
        p.timers.now = world.now
        limits = p.limits
        for s in p.shards.backends.values():
            wait = world.machines[s.id].behind
            part = MAX_WAIT_PART * limits.shortest_objective / max(wait, 0.001)
            if part >= 1.0:
                grown = s.limits.rate * 2.0 ** min(1.0, world.now - s.limits.rate_updated_at)
                s.limits.rate = min(UNLIMITED_RATE, grown)
            elif world.now - MAX_WAIT_PART >= s.limits.cut_at:
                limits.cut(s, limits.default_rate, max(0.5, part))
            s.limits.rate_updated_at = world.now
            s.first_attempt_at = world.now + STEP if wait > HOLD * limits.shortest_objective else 0.0
        p.queueing.capacity_changed()
        p.batch_ended()


def demand_told(world: World) -> None:
    """Each head knows what all asked of each shelf of late, and the rate at which it would just bear that."""
    day, now = world.day, world.now
    asked: dict[int, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for ask in day.asks:
        if now - ASKED_OF_LATE <= ask.at <= now:
            asked[ask.shard][ask.volume] += ask.units / ASKED_OF_LATE
    weights = [day.facts.service_tiers[s.plan].weight for s in day.stores]
    usual = world.heads[0].scheduler.pacing.expected_rate
    rates = {}
    for n, machine in enumerate(world.machines):
        bears = USABLE * 2.0 * machine.speed / UNIT_WORK * (SPARE if machine.behind > LONG_LINE else 1.0)
        rates[n] = _rate(asked[n], bears, [w * usual for w in weights])
    for head in world.heads:
        p = head.scheduler
        p.timers.now = now
        for s in p.shards.backends.values():
            s.limits.rate = rates[s.id]
        p.queueing.capacity_changed()
        p.batch_ended()


def _rate(asked: dict[int, float], bears: float, weights: list[float]) -> float:
    """The rate for a unit of weight at which all that is let through is what the shelf bears."""
    if sum(asked.values()) <= bears:
        return UNLIMITED_RATE
    low, high = MIN_RATE, UNLIMITED_RATE
    for _ in range(20):
        middle = 0.5 * (low + high)
        if sum(min(units, weights[v] * middle) for v, units in asked.items()) > bears:
            high = middle
        else:
            low = middle
    return low


@dataclass(frozen=True)
class Variant:
    says: str
    scheduler: type[Scheduler] = Scheduler
    told: Callable[[World], None] | None = None
    heads: int = 0  # in place of the scene's; 0: as it says


VARIANTS = {
    "alone": Variant("each head by what it saw itself"),
    "even": Variant("a cold shelf's part not lent but even", EvenParts),
    "lines": Variant("told each shelf's line ten times a second", ByTold, lines_told),
    "demand": Variant("told what all ask of each shelf, of the last seconds", ByTold, demand_told),
    "one": Variant("one head in place of all", heads=1),
}


def _play(variant: str, scene: dict[str, Any]) -> Score:
    v = VARIANTS[variant]
    made = Scene(**{**scene, **({"heads": v.heads} if v.heads else {})})
    return World(draw(made), v.scheduler, v.told, STEP).play()


def compared(
    scenes: Sequence[dict[str, Any]], variants: Sequence[str], at_once: int
) -> Iterator[tuple[str, dict[str, Any], Score]]:
    """Each variant on each scene, the same seeds for all, in a fixed order."""
    jobs = [(name, scene) for name in variants for scene in scenes]
    fresh = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once or None, mp_context=fresh) as pool:
        found = [pool.submit(partial(_play, name, scene)) for name, scene in jobs]
        for (name, scene), one in zip(jobs, found, strict=True):
            yield name, scene, one.result()
