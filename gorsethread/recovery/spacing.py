"""When a gateway may do what all gateways do at once after a mass restart.

That is: open connections to backends, poll others for records. Pure: no clock, no chance, no I/O. Spaced by
the number of gateways and by what is seen to answer, not by each gateway's own luck.
"""

from collections import deque
from collections.abc import Iterable

MAX_SLOTS_AHEAD = 64  # slots that may be given away ahead; beyond that the wall clock was set
INITIAL_POLLS_PER_SECOND = 400.0  # of all gateways together
MAX_POLLS_PER_SECOND = 2000.0  # of all gateways together, while answers come at once
QUICK_ANSWER = 0.1  # seconds within which an answer shows that who answers is not under pressure


class ConnectionSlots:
    """New connections to backends: all gateways together open a limited number of them a second.

    Time is cut into slots, which the gateways own by turns, so where wall clocks agree one connection is
    opened in each. Where they do not, a gateway still opens one in each round of the fleet.

    Attributes:
        round_seconds: From one slot of this gateway to the next; 0.0 where there is no limit.
    """

    def __init__(self, per_second: float, rank: int, gateways: int) -> None:
        """Set up the slots of one gateway.

        Args:
            per_second: Connections that all together may open; 0: any number.
            rank: The gateway's place among all.
            gateways: Their number.
        """
        self.round_seconds = gateways / per_second if per_second else 0.0
        self._phase = rank / per_second if per_second else 0.0
        self._last_slot = -1

    def reserve(self, wall: float) -> float:
        """Reserve the next free slot and return the seconds until it; wall: the wall clock's seconds."""
        if not self.round_seconds:
            return 0.0
        slot = int(-(-(wall - self._phase) // self.round_seconds))
        if slot <= self._last_slot <= slot + MAX_SLOTS_AHEAD:
            slot = self._last_slot + 1
        self._last_slot = slot
        return max(0.0, slot * self.round_seconds + self._phase - wall)


class PollOrder:
    """Whom to poll for records next, and how long after the last poll.

    Attributes:
        waiting: Those to be polled, in order; who did not answer comes again behind the others. Emptied as
            they are polled.
        interval: Seconds from one poll to the next.
    """

    def __init__(self, order: Iterable[int], gateways: int) -> None:
        """Set up the order, who most likely holds the records first; gateways: the number of all."""
        self.waiting = deque(order)
        self.interval = gateways / INITIAL_POLLS_PER_SECOND
        self._min_interval = gateways / MAX_POLLS_PER_SECOND
        self._max_interval = gateways / INITIAL_POLLS_PER_SECOND

    def take_next(self) -> int | None:
        """Take out whom to poll next; None: nobody now."""
        return self.waiting.popleft() if self.waiting else None

    def on_ended(self, other: int, answered: bool, seconds: float) -> None:
        """Note how a poll ended, and how long it took."""
        if not answered:
            self.waiting.append(other)
        if answered and seconds <= QUICK_ANSWER:
            self.interval = max(self._min_interval, 0.5 * self.interval)
        else:
            self.interval = min(self._max_interval, 2.0 * self.interval)


def spread_retry_after(least: float, draw: float) -> float:
    """Return after how many seconds a rejected client may retry.

    Spread, as all gateways reject at once; draw: from 0 to 1.
    """
    return least * (1.0 + 2.0 * draw)
