"""When a head may do what every head does at once after a mass restart: open connections to shelves, ask
others for records. Pure: no clock, no chance, no I/O. Spaced by the fleet's number and by what is seen to
answer, not by each head's own luck.
"""

from collections import deque
from collections.abc import Iterable

BEHIND_MOST = 64  # slots ahead that may be given away; beyond that the wall clock was set
CALLS = 400.0  # a second, that all heads together begin with as they ask for records
CALLS_MOST = 2000.0  # and that they come to at most while answers come at once
QUICK = 0.1  # seconds in which an answer shows that who answers is not pressed


class Opens:
    """New connections to shelves: all heads together open `a_second` of them (0: as many as they like).

    Time is cut into slots of 1 / a_second, and the heads own them in turn, so where wall clocks agree there
    is one in each. Where they do not, a head still opens one in each round of the fleet. rank: its place
    among the heads."""

    def __init__(self, a_second: float, rank: int, heads: int) -> None:
        self.round = heads / a_second if a_second else 0.0  # seconds from one slot of this head's to the next
        self._phase = rank / a_second if a_second else 0.0
        self._given = -1

    def wait(self, wall: float) -> float:
        """Seconds until its next slot that is not given away, and gives it away. wall: seconds."""
        if not self.round:
            return 0.0
        slot = int(-(-(wall - self._phase) // self.round))
        if slot <= self._given <= slot + BEHIND_MOST:
            slot = self._given + 1
        self._given = slot
        return max(0.0, slot * self.round + self._phase - wall)


class Asks:
    """Whom to ask for records next, and how long after the last one. order: who most likely holds them
    first; who did not answer comes again behind the others."""

    def __init__(self, order: Iterable[int], heads: int) -> None:
        self.waiting = deque(order)
        self.gap = heads / CALLS
        self._least, self._most = heads / CALLS_MOST, heads / CALLS

    def next(self) -> int | None:
        return self.waiting.popleft() if self.waiting else None

    def ended(self, other: int, answered: bool, took: float) -> None:
        if not answered:
            self.waiting.append(other)
        quick = answered and took <= QUICK
        self.gap = max(self._least, 0.5 * self.gap) if quick else min(self._most, 2.0 * self.gap)


def spread_retry_after(least: float, draw: float) -> float:
    """When a client that was pushed back meanwhile may come again: spread, as all heads push back at once.
    draw: from 0 to 1."""
    return least * (1.0 + 2.0 * draw)
