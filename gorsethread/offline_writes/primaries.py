"""Which head of the main site takes a branch's writes, and when one head of a branch replays for the other.
Pure."""

from collections.abc import Iterable

from gorsethread.durable_log.replica_placement import weight

TAKES_OVER = 10.0  # seconds that the other head of the branch has been held dead
PARKS_AFTER = 60.0  # seconds that a head which may have run a write gives no answer
FENCED = 5.0  # seconds from being shut out to the next look at whether the other still replays
PROBED = 2  # heads of the main site that are asked for signs


def homes(volume: int, heads: Iterable[int]) -> list[int]:
    """All heads order them alike, so that one write has one home as long as it lives."""
    return sorted(heads, key=lambda head: weight(volume, head), reverse=True)


class StandIn:
    """For the other head of a branch. Safe where it is wrong: each write is in effect once, whoever sends."""

    def __init__(self) -> None:
        self._dead_since = -1.0

    def stands_in(self, mate_lives: bool, now: float) -> bool:
        if mate_lives:
            self._dead_since = -1.0
        elif self._dead_since < 0.0:
            self._dead_since = now
        return self._dead_since >= 0.0 and now - self._dead_since >= TAKES_OVER
