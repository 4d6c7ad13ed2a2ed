"""How far a partner may go into debt, held in parts by the heads that fetch for it, so that no partition
lets all of them together pass the line (escrow; bounded counters of Balegas and others).

A right to owe one unit is at one head at a time. A head moves rights that are its own to another, spends
them, and gets them back as the partner's debt is paid down. What each did is counters that only grow and
that only it writes: merged by the higher, known late or twice without harm. A head that is not heard of
keeps its rights: they are dead until it is back, or until its life is over by the fleet's rule (a life
that ended spends no more)."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

Key = TypeVar("Key")


@dataclass
class Line:
    """One partner's. parts: the rights that each head has from the start; their sum is the line. moved: by
    from and to, in all; spent, regained: by head, in all."""

    parts: dict[int, int]
    moved: dict[tuple[int, int], int] = field(default_factory=dict)
    spent: dict[int, int] = field(default_factory=dict)
    regained: dict[int, int] = field(default_factory=dict)

    @property
    def whole(self) -> int:
        return sum(self.parts.values())

    def rights(self, head: int) -> int:
        """As far as is known here: of the head's own, exactly; of others', perhaps of before."""
        given = sum(n for (giver, _), n in self.moved.items() if giver == head)
        got = sum(n for (_, taker), n in self.moved.items() if taker == head)
        return self.parts.get(head, 0) + got - given - self.spent.get(head, 0) + self.regained.get(head, 0)

    def spends(self, head: int, units: int) -> bool:
        """By that head itself. False: its rights are not enough; another holder is asked, or one that has
        rights to spare."""
        if not 0 < units <= self.rights(head):
            return False
        self.spent[head] = self.spent.get(head, 0) + units
        return True

    def regains(self, head: int, units: int) -> None:
        """By that head itself: debt that it spent rights for is paid."""
        units = min(units, self.spent.get(head, 0) - self.regained.get(head, 0))
        self.regained[head] = self.regained.get(head, 0) + max(0, units)

    def moves(self, giver: int, taker: int, units: int) -> bool:
        """By the giver itself."""
        if giver == taker or not 0 < units <= self.rights(giver):
            return False
        self.moved[giver, taker] = self.moved.get((giver, taker), 0) + units
        return True

    def spare(self, head: int, wanted: int) -> int:
        """Of its rights, how many it moves to one that wants so many: half at most."""
        return min(wanted, self.rights(head) // 2)

    def merge(self, other: "Line") -> None:
        _higher(self.moved, other.moved)
        _higher(self.spent, other.spent)
        _higher(self.regained, other.regained)


def even(line: int, heads: Iterable[int]) -> dict[int, int]:
    """The parts at a start: as even as whole units go, more for the first."""
    names = sorted(heads)
    part, over = divmod(line, len(names))
    return {name: part + (n < over) for n, name in enumerate(names)}


def _higher(mine: dict[Key, int], theirs: Mapping[Key, int]) -> None:
    for key, n in theirs.items():
        mine[key] = max(n, mine.get(key, 0))
