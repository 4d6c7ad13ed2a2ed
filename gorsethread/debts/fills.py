"""Which holder a cache fill is asked of, and which of the waiting fills goes next where partners have room
for fewer. As the paper does for volumes (docs/design.md): whoever has got least for its weight goes first,
by an augmenting path over holders, so that one that can go elsewhere makes way for one that can't. Debts
steer fills alone: a live read that misses is never refused for one.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class Fill:
    """An object that a taker wants. holders: who has it; tried: those at which it failed already."""

    object: str
    taker: int
    units: int
    holders: tuple[int, ...]
    tried: tuple[int, ...] = ()


class Balance(Protocol):
    def net(self, giver: int, taker: int) -> int:
        """What the taker owes the giver, less what the giver owes it."""
        ...


def order_of(
    fill: Fill, balance: Balance, weights: Mapping[int, float], near: Mapping[tuple[int, int], float]
) -> list[int]:
    """Holders, whom to ask first: the one that owes the taker most for its weight, as a fill from it pays
    that off; then the nearest; then by number."""
    left = [h for h in fill.holders if h not in fill.tried and h != fill.taker]
    return sorted(
        left,
        key=lambda h: (balance.net(h, fill.taker) / weights.get(h, 1.0), near.get((fill.taker, h), 0.0), h),
    )


def chosen(
    waiting: Sequence[Fill],
    room: Mapping[int, int],
    balance: Balance,
    got: Mapping[int, int],
    weights: Mapping[int, float],
    near: Mapping[tuple[int, int], float],
) -> list[tuple[Fill, int]]:
    """Fills that go now, each with its holder. room: fills that each partner gives at once. got: by taker,
    net units so far."""
    at: dict[int, list[int]] = {h: [] for h in room}  # by holder, places in waiting
    orders = [[h for h in order_of(f, balance, weights, near) if room.get(h, 0)] for f in waiting]
    spent: dict[int, int] = {}
    went: set[int] = set()

    def path(n: int, seen: set[int]) -> bool:
        for holder in orders[n]:
            if holder in seen:
                continue
            seen.add(holder)
            if len(at[holder]) < room[holder]:
                at[holder].append(n)
                return True
            for k, other in enumerate(at[holder]):
                if path(other, seen):
                    at[holder][k] = n
                    return True
        return False

    left = {f.taker: [n for n, g in enumerate(waiting) if g.taker == f.taker] for f in waiting}
    while left:
        taker = min(
            left,
            key=lambda t: (
                (got.get(t, 0) + spent.get(t, 0) + waiting[left[t][0]].units) / weights.get(t, 1.0),
                t,
            ),
        )
        n = left[taker].pop(0)
        if path(n, set()):
            went.add(n)
            spent[taker] = spent.get(taker, 0) + waiting[n].units
        if not left[taker]:
            del left[taker]
    where = {n: holder for holder, places in at.items() for n in places}
    return [(waiting[n], where[n]) for n in sorted(went)]
