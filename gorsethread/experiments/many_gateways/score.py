"""What a play was worth: due by volume and second, earned within the latency targets."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gorsethread.experiments.many_gateways.workload import PROFILES, UNIT_WORK, Ask, Day

if TYPE_CHECKING:
    from gorsethread.experiments.many_gateways.simulation import World

USABLE = 0.9  # of what a shelf can do, the part that is dealt out as due
BEYOND = 0.08  # what units beyond their volume's share earn
PRICES = (0.96, 1.0, 1.5)
LATE_WORTH = (0.15, 0.2, 0.25)


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
            weights = {v: day.facts.service_tiers[day.stores[v].plan].weight for v in open_}
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


def score(world: "World") -> Score:
    day, due = world.day, due_units(world.day)

    def value(ask: Ask) -> float:
        return PROFILES[ask.profile].priority_weight * PRICES[day.stores[ask.volume].plan]

    offered: dict[tuple[int, int], list[tuple[float, float, int]]] = defaultdict(list)
    got: dict[tuple[int, int], list[tuple[float, float, int]]] = defaultdict(list)
    for ask in day.asks:
        offered[(ask.volume, int(ask.at))].append((value(ask), 1.0, ask.units))
    late = 0
    for ask, elapsed in world.served:
        in_time = elapsed <= PROFILES[ask.profile].latency_objective
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
