"""A pseudo-random number generator (linear congruential) that is reproducible on every machine."""

MASK = 2**64 - 1
MULTIPLIER = 6364136223846793005  # from Knuth's MMIX
INCREMENT = 1442695040888963407


class RandomDraws:
    """A stream of pseudo-random numbers that depends only on the seed."""

    def __init__(self, seed: int) -> None:
        self._state = seed & MASK

    def next(self) -> float:
        """Returns the next number, at least 0 and less than 1."""
        self._state = (self._state * MULTIPLIER + INCREMENT) & MASK
        return (self._state >> 32) / 2**32
