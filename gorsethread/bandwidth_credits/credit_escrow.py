"""How far a partner may go into debt, held in parts by the gateways that fetch for it. Pure.

Escrow, as in the bounded counters of Balegas and others: no partition lets all gateways together pass the
line. A right to owe one unit is at one gateway at a time. A gateway transfers its rights to another, spends
them, and gets them back as the partner's debt is paid. What each did is counters that only grow and that only
it writes: merged by the higher, known late or twice without harm. A gateway that is not heard of keeps its
rights: they are out of use until it is back, or until its incarnation is over by the fleet's rule (one that
ended spends no more).
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

Key = TypeVar("Key")


@dataclass
class CreditLine:
    """Owns what one gateway knows of one partner's line; entries are by gateway and only grow.

    Attributes:
        initial_rights: The rights that each gateway has from the start; their sum is the line.
        transferred: Units by giver and taker, in all.
        spent: Units by gateway, in all.
        restored: Units by gateway, in all.
    """

    initial_rights: dict[int, int]
    transferred: dict[tuple[int, int], int] = field(default_factory=dict)
    spent: dict[int, int] = field(default_factory=dict)
    restored: dict[int, int] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """Units that the partner may owe."""
        return sum(self.initial_rights.values())

    def rights(self, gateway: int) -> int:
        """As far as is known here: of this gateway exactly, of others perhaps an earlier figure."""
        given = sum(units for (giver, _), units in self.transferred.items() if giver == gateway)
        received = sum(units for (_, taker), units in self.transferred.items() if taker == gateway)
        outstanding = self.spent.get(gateway, 0) - self.restored.get(gateway, 0)
        return self.initial_rights.get(gateway, 0) + received - given - outstanding

    def spend(self, gateway: int, units: int) -> bool:
        """By that gateway itself; False where its rights are not enough.

        Then another holder is asked, or a gateway that has rights to spare.
        """
        if not 0 < units <= self.rights(gateway):
            return False
        self.spent[gateway] = self.spent.get(gateway, 0) + units
        return True

    def restore(self, gateway: int, units: int) -> None:
        """By that gateway itself: debt that it spent rights for is paid."""
        units = min(units, self.spent.get(gateway, 0) - self.restored.get(gateway, 0))
        self.restored[gateway] = self.restored.get(gateway, 0) + max(0, units)

    def transfer(self, giver: int, taker: int, units: int) -> bool:
        """By the giver itself; False where its rights are not enough."""
        if giver == taker or not 0 < units <= self.rights(giver):
            return False
        self.transferred[giver, taker] = self.transferred.get((giver, taker), 0) + units
        return True

    def transferable(self, gateway: int, wanted: int) -> int:
        """How many rights it transfers to a gateway that wants so many: half of its own at most."""
        return min(wanted, self.rights(gateway) // 2)

    def merge(self, other: "CreditLine") -> None:
        """Takes what another gateway knows."""
        _merge_higher(self.transferred, other.transferred)
        _merge_higher(self.spent, other.spent)
        _merge_higher(self.restored, other.restored)


def even_split(units: int, gateways: Iterable[int]) -> dict[int, int]:
    """Initial rights, as even as integers go; the first gateways get the remainder."""
    names = sorted(gateways)
    share, remainder = divmod(units, len(names))
    return {name: share + (index < remainder) for index, name in enumerate(names)}


def _merge_higher(known: dict[Key, int], other: Mapping[Key, int]) -> None:
    for key, units in other.items():
        known[key] = max(units, known.get(key, 0))
