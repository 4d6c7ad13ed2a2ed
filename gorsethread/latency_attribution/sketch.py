"""Sums by volume, where there are too many volumes to keep one each: a count-min sketch.

Cormode and Muthukrishnan 2005: an estimate is never too low, and with probability 1 - e**-DEPTH (here 98%) it
is too high by at most e / WIDTH (here 0.07%) of all that was added.
"""

import math
from array import array

import xxhash

WIDTH = 4096
DEPTH = 4
ERROR = math.e / WIDTH
CONFIDENCE = 1.0 - math.exp(-DEPTH)


class Sketch:
    """A count-min sketch of integers, so that sketches add up to the same in any order."""

    __slots__ = ("cells", "total")

    def __init__(self) -> None:
        self.cells = array("q", bytes(8 * WIDTH * DEPTH))
        self.total = 0

    @staticmethod
    def cells_of(volume: int) -> tuple[int, int, int, int]:
        """Returns the index of the volume's cell in each row."""
        h = xxhash.xxh3_64_intdigest(volume.to_bytes(8, "little"))
        mask = WIDTH - 1
        return (
            h & mask,
            WIDTH + (h >> 16 & mask),
            2 * WIDTH + (h >> 32 & mask),
            3 * WIDTH + (h >> 48 & mask),
        )

    def add(self, indexes: tuple[int, int, int, int], amount: int) -> None:
        cells = self.cells
        for n in indexes:
            cells[n] += amount
        self.total += amount

    def estimate(self, indexes: tuple[int, int, int, int]) -> int:
        """Returns an upper estimate of what was added for the volume."""
        return min(self.cells[n] for n in indexes)

    def merge(self, other: "Sketch") -> None:
        if not other.total:
            return
        self.total += other.total
        for n, amount in enumerate(other.cells):
            if amount:
                self.cells[n] += amount
