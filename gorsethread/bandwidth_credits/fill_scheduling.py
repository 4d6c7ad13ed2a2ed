"""Which holder a cache fill is requested from, and which waiting fills go next. Pure.

As the paper does for volumes (docs/design.md): the taker that received least for its weight goes first, by an
augmenting path over holders, so that a fill that can go elsewhere makes way for one that can't. Debts steer
fills alone: a live read that misses is never rejected for one.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True)
class CacheFill:
    """An object that a taker wants; the partners that hold it, and those at which it failed already."""

    object_name: str
    taker: int
    units: int
    holders: tuple[int, ...]
    tried: tuple[int, ...] = ()


class DebtLedger(Protocol):
    """Who owes whom."""

    def net_debt(self, giver: int, taker: int) -> int:
        """What the taker owes the giver, less what the giver owes it."""
        ...


class AssignedFill(NamedTuple):
    """A fill that goes now, and the holder that it is requested from."""

    fill: CacheFill
    holder: int


def holders_by_preference(
    fill: CacheFill,
    ledger: DebtLedger,
    weights: Mapping[int, float],
    distances: Mapping[tuple[int, int], float],
) -> list[int]:
    """Holders that were not tried, the first to ask first.

    The one that owes the taker most for its weight, as a fill from it pays that off; then the nearest; then
    by number.
    """
    remaining = [holder for holder in fill.holders if holder not in fill.tried and holder != fill.taker]
    return sorted(
        remaining,
        key=lambda holder: (
            ledger.net_debt(holder, fill.taker) / weights.get(holder, DEFAULT_WEIGHT),
            distances.get((fill.taker, holder), 0.0),
            holder,
        ),
    )


class _Assignment:
    """Owns which fills each holder gives in one call; fills are their indexes."""

    def __init__(self, preferences: Sequence[Sequence[int]], capacity: Mapping[int, int]) -> None:
        self.preferences, self.capacity = preferences, capacity
        self.by_holder: dict[int, list[int]] = {holder: [] for holder in capacity}

    def augment(self, index: int, visited: set[int]) -> bool:
        """Finds a place for a fill, moving others to their further holders where need be."""
        for holder in self.preferences[index]:
            if holder in visited:
                continue
            visited.add(holder)
            assigned = self.by_holder[holder]
            if len(assigned) < self.capacity[holder]:
                assigned.append(index)
                return True
            for position, other in enumerate(assigned):
                if self.augment(other, visited):
                    assigned[position] = index
                    return True
        return False

    def holder_of(self) -> dict[int, int]:
        """The holder of each fill that has one."""
        return {index: holder for holder, indexes in self.by_holder.items() for index in indexes}


def select_fills(
    waiting: Sequence[CacheFill],
    capacity: Mapping[int, int],
    ledger: DebtLedger,
    received: Mapping[int, int],
    weights: Mapping[int, float],
    distances: Mapping[tuple[int, int], float],
) -> list[AssignedFill]:
    """Fills that go now, each with its holder.

    Args:
        waiting: All that wait; a taker's in the order in which it wants them.
        capacity: Fills that each partner gives at once.
        ledger: Who owes whom.
        received: Net units by taker, so far.
        weights: Of partners; 1 where none is given.
        distances: By taker and holder; 0 where none is given.
    """
    preferences = [
        [
            holder
            for holder in holders_by_preference(fill, ledger, weights, distances)
            if capacity.get(holder, 0)
        ]
        for fill in waiting
    ]
    assignment = _Assignment(preferences, capacity)
    service = {fill.taker: received.get(fill.taker, 0) for fill in waiting}
    queues: dict[int, list[int]] = {fill.taker: [] for fill in waiting}
    for index, fill in enumerate(waiting):
        queues[fill.taker].append(index)

    def service_after_next(taker: int) -> tuple[float, int]:
        units = service[taker] + waiting[queues[taker][0]].units
        return units / weights.get(taker, DEFAULT_WEIGHT), taker

    while queues:
        taker = min(queues, key=service_after_next)
        index = queues[taker].pop(0)
        if assignment.augment(index, set()):
            service[taker] += waiting[index].units
        if not queues[taker]:
            del queues[taker]
    return [AssignedFill(waiting[index], holder) for index, holder in sorted(assignment.holder_of().items())]
