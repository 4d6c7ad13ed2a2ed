"""The scheduler's own chance: a linear congruential generator, the same on every machine for one seed."""

MASK = 2**64 - 1
MULTIPLIER = 6364136223846793005  # Knuth's, of MMIX
INCREMENT = 1442695040888963407


class RandomDraws:
    """A stream of pseudo-random numbers from a seed; its only state is the generator's."""

    def __init__(self, seed: int) -> None:
        self._state = seed & MASK

    def next(self) -> float:
        """Draws a number of at least 0 and under 1."""
        self._state = (self._state * MULTIPLIER + INCREMENT) & MASK
        return (self._state >> 32) / 2**32
