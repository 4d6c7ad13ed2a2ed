"""The credit line of a partner, divided among the gateways that fetch for it. No I/O.

This is escrow as in the bounded counters of Balegas et al.: even during a partition all gateways together
can't exceed the line. A right to owe one unit belongs to one gateway at a time. A gateway transfers rights to
another, spends them, and gets them back when debt of the partner is paid. Each gateway records this in
grow-only counters that only it writes; merging takes the higher value, so late and repeated messages do no
harm. A gateway that can't be reached keeps its rights. They stay unused until it is back, or until its
incarnation has ended by the rule of the fleet, because an incarnation that ended spends no more.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

Key = TypeVar("Key")


@dataclass
class CreditLine:
    """Owns what one gateway knows about one partner's credit line; all values only grow.

    Attributes:
        initial_rights: The rights of each gateway at the start; their sum is the line.
        transferred: Total units by giving and receiving gateway.
        spent: Total units by gateway.
        restored: Total units by gateway.
    """

    initial_rights: dict[int, int]
    transferred: dict[tuple[int, int], int] = field(default_factory=dict)
    spent: dict[int, int] = field(default_factory=dict)
    restored: dict[int, int] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """The units that the partner may owe."""
        return sum(self.initial_rights.values())

    def rights(self, gateway: int) -> int:
        """Returns the unspent rights of a gateway: exact for this gateway, possibly outdated for others."""
        given = sum(units for (giver, _), units in self.transferred.items() if giver == gateway)
        received = sum(units for (_, taker), units in self.transferred.items() if taker == gateway)
        outstanding = self.spent.get(gateway, 0) - self.restored.get(gateway, 0)
        return self.initial_rights.get(gateway, 0) + received - given - outstanding

    def spend(self, gateway: int, units: int) -> bool:
        """Spends rights; only the gateway itself may call this.

        Returns:
            False if its rights do not suffice. The caller then asks another holder of the object, or a
            gateway that has rights to spare.
        """
        if not 0 < units <= self.rights(gateway):
            return False
        self.spent[gateway] = self.spent.get(gateway, 0) + units
        return True

    def restore(self, gateway: int, units: int) -> None:
        """Restores rights whose debt was paid; only the gateway itself may call this."""
        units = min(units, self.spent.get(gateway, 0) - self.restored.get(gateway, 0))
        self.restored[gateway] = self.restored.get(gateway, 0) + max(0, units)

    def transfer(self, giver: int, taker: int, units: int) -> bool:
        """Transfers rights; only the giver may call this. Returns False if its rights do not suffice."""
        if giver == taker or not 0 < units <= self.rights(giver):
            return False
        self.transferred[giver, taker] = self.transferred.get((giver, taker), 0) + units
        return True

    def transferable(self, gateway: int, wanted: int) -> int:
        """Returns how many of the wanted rights a gateway transfers: at most half of its own."""
        return min(wanted, self.rights(gateway) // 2)

    def merge(self, other: "CreditLine") -> None:
        """Merges what another gateway knows."""
        _merge_higher(self.transferred, other.transferred)
        _merge_higher(self.spent, other.spent)
        _merge_higher(self.restored, other.restored)


def even_split(units: int, gateways: Iterable[int]) -> dict[int, int]:
    """Divides units evenly among gateways; the first ones get one more each for the remainder."""
    names = sorted(gateways)
    share, remainder = divmod(units, len(names))
    return {name: share + (index < remainder) for index, name in enumerate(names)}


def _merge_higher(known: dict[Key, int], other: Mapping[Key, int]) -> None:
    for key, units in other.items():
        known[key] = max(units, known.get(key, 0))
