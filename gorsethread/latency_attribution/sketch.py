"""Sums by volume where there are too many volumes to keep each: a count-min sketch, merged by adding.

Cormode and Muthukrishnan 2005: an estimate is never too low, and too high by at most e / WIDTH of all that
was added, with probability 1 - e**-DEPTH (here 0.07% and 98%).
"""

import math
from array import array

import xxhash

WIDTH = 4096
DEPTH = 4
ERROR = math.e / WIDTH
SURE = 1.0 - math.exp(-DEPTH)


class Sketch:
    """Whole numbers only, so that adding in any order gives the same."""

    __slots__ = ("cells", "total")

    def __init__(self) -> None:
        self.cells = array("q", bytes(8 * WIDTH * DEPTH))
        self.total = 0

    @staticmethod
    def places(volume: int) -> tuple[int, int, int, int]:
        """The volume's cell in each row."""
        h = xxhash.xxh3_64_intdigest(volume.to_bytes(8, "little"))
        mask = WIDTH - 1
        return (
            h & mask,
            WIDTH + (h >> 16 & mask),
            2 * WIDTH + (h >> 32 & mask),
            3 * WIDTH + (h >> 48 & mask),
        )

    def add(self, places: tuple[int, int, int, int], amount: int) -> None:
        cells = self.cells
        for n in places:
            cells[n] += amount
        self.total += amount

    def estimate(self, places: tuple[int, int, int, int]) -> int:
        """At least what was added for the volume."""
        return min(self.cells[n] for n in places)

    def merge(self, other: "Sketch") -> None:
        if not other.total:
            return
        self.total += other.total
        for n, amount in enumerate(other.cells):
            if amount:
                self.cells[n] += amount
