"""Chooses the holder that each cache fill is requested from, and which waiting fills go next. No I/O.

The rule is that of the paper for volumes (docs/design.md): the taker that has received least for its weight
goes first. Fills are assigned by augmenting paths over holders, so a fill that can use another holder makes
way for one that can't. Debts affect only fills: a client's read that misses the cache is never rejected
because of one.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True)
class CacheFill:
    """A request for an object.

    Attributes:
        object_name: The object.
        taker: The partner that wants it.
        units: Its size in units.
        holders: The partners that hold it.
        tried: The holders from which fetching it has failed.
    """

    object_name: str
    taker: int
    units: int
    holders: tuple[int, ...]
    tried: tuple[int, ...] = ()


class DebtLedger(Protocol):
    """A source of debts between partners."""

    def net_debt(self, giver: int, taker: int) -> int:
        """Returns the units that the taker owes the giver, minus those that the giver owes the taker."""
        ...


class AssignedFill(NamedTuple):
    """A fill to request now, and the holder to request it from."""

    fill: CacheFill
    holder: int


def holders_by_preference(
    fill: CacheFill,
    ledger: DebtLedger,
    weights: Mapping[int, float],
    distances: Mapping[tuple[int, int], float],
) -> list[int]:
    """Returns the holders that were not tried, the preferred one first.

    The holder that owes the taker most for its weight is preferred, because a fill from it reduces that debt;
    then the nearest; then the one with the lowest number.
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
    """Owns the assignment of fills to holders during one call; fills are named by their indexes."""

    def __init__(self, preferences: Sequence[Sequence[int]], capacity: Mapping[int, int]) -> None:
        self.preferences, self.capacity = preferences, capacity
        self.by_holder: dict[int, list[int]] = {holder: [] for holder in capacity}

    def augment(self, index: int, visited: set[int]) -> bool:
        """Assigns a fill to a holder, moving assigned fills to other holders if needed.

        Returns whether that succeeded.
        """
        for holder in self.preferences[index]:
            if holder in visited:
                continue
            visited.add(holder)
            assigned = self.by_holder[holder]
            if len(assigned) < self.capacity[holder]:
                assigned.append(index)
                return True
            for position, assigned_index in enumerate(assigned):
                if self.augment(assigned_index, visited):
                    assigned[position] = index
                    return True
        return False

    def holder_of(self) -> dict[int, int]:
        """Returns the holder of each assigned fill."""
        return {index: holder for holder, indexes in self.by_holder.items() for index in indexes}


def select_fills(
    waiting: Sequence[CacheFill],
    capacity: Mapping[int, int],
    ledger: DebtLedger,
    received: Mapping[int, int],
    weights: Mapping[int, float],
    distances: Mapping[tuple[int, int], float],
) -> list[AssignedFill]:
    """Selects the fills to request now, each with its holder.

    Args:
        waiting: All waiting fills; those of a taker in the order in which it wants them.
        capacity: How many fills each partner serves now.
        ledger: The debts between partners.
        received: Net units received so far, by taker.
        weights: The weights of partners; DEFAULT_WEIGHT if missing.
        distances: Distances by taker and holder; 0 if missing.
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
