"""Chance of the decisions' own: a linear congruential generator, the same on every machine for one seed."""

MASK = 2**64 - 1
MULTIPLIER, INCREMENT = 6364136223846793005, 1442695040888963407  # Knuth's, of MMIX


class Draws:
    """A stream of draws from a seed."""

    def __init__(self, seed: int) -> None:
        self._state = seed & MASK

    def next(self) -> float:
        """A number of at least 0 and under 1."""
        self._state = (self._state * MULTIPLIER + INCREMENT) & MASK
        return (self._state >> 32) / 2**32
