"""Which other heads hold copies of a head's records. Pure: all heads that see the same choose the same.

By rendezvous (highest random weight, Thaler and Ravishankar): each candidate has a weight drawn from both
names, so a head that goes or comes moves only what it held. Other machines than the own go first, then rooms
that are not in yet: what is lost together is not held together, as far as there is a choice.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash


class Place(NamedTuple):
    """zone: a room; machine: heads on one are lost together."""

    zone: int
    machine: str


def weight(origin: int, holder: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{origin}/{holder}".encode())


def holders(origin: int, places: dict[int, Place], living: Iterable[int], copies: int) -> list[int]:
    """places: of all heads, the origin among them. Fewer than copies where too few others live."""
    mine = places[origin]
    left = {n for n in living if n != origin and n in places}
    chosen: list[int] = []
    while left and len(chosen) < copies:
        machines = {mine.machine} | {places[n].machine for n in chosen}
        zones = {mine.zone} | {places[n].zone for n in chosen}
        best = max(
            left,
            key=lambda n: (places[n].machine not in machines, places[n].zone not in zones, weight(origin, n)),
        )
        left.discard(best)
        chosen.append(best)
    return chosen
