"""Spaces what all gateways would do at the same time after a mass restart.

That is opening connections to backends and polling other gateways for records. Pure: no clock, no randomness,
no I/O. The spacing depends on the number of gateways and on how fast polls are answered, rather than on
random delays that each gateway draws for itself.
"""

from collections import deque
from collections.abc import Iterable

MAX_SLOTS_AHEAD = 64  # slots that may be reserved ahead; if more are, the wall clock was set back
INITIAL_POLLS_PER_SECOND = 400.0  # of all gateways together
MAX_POLLS_PER_SECOND = 2000.0  # of all gateways together, while polls are answered quickly
QUICK_ANSWER = 0.1  # seconds; a gateway that answers within this time is not overloaded


class ConnectionSlots:
    """Limits the connections to backends that all gateways together open per second.

    Time is divided into slots, which the gateways own in rotation, so one connection is opened in each slot
    where wall clocks agree. Where they do not, a gateway still opens one connection per rotation.

    Attributes:
        rotation_seconds: Time from one slot of this gateway to its next; 0.0 where there is no limit.
    """

    def __init__(self, per_second: float, rank: int, gateways: int) -> None:
        """Set up the slots of one gateway.

        Args:
            per_second: How many connections all gateways together may open per second; 0: no limit.
            rank: The gateway's index among all gateways.
            gateways: The number of all gateways.
        """
        self.rotation_seconds = gateways / per_second if per_second else 0.0
        self._phase = rank / per_second if per_second else 0.0
        self._last_slot = -1

    def reserve(self, wall: float) -> float:
        """Reserve the next free slot and return the seconds until it; wall: wall-clock time in seconds."""
        if not self.rotation_seconds:
            return 0.0
        slot = int(-(-(wall - self._phase) // self.rotation_seconds))
        if slot <= self._last_slot <= slot + MAX_SLOTS_AHEAD:
            slot = self._last_slot + 1
        self._last_slot = slot
        return max(0.0, slot * self.rotation_seconds + self._phase - wall)


class PollOrder:
    """The order in which other gateways are polled for records, and the time between polls.

    Attributes:
        waiting: Gateways to be polled, in order; emptied as they are polled. A gateway that did not answer is
            added again at the end.
        interval: Seconds from one poll to the next.
    """

    def __init__(self, order: Iterable[int], gateways: int) -> None:
        """Set up the order, the most likely holders of the records first; gateways: the number of all."""
        self.waiting = deque(order)
        self.interval = gateways / INITIAL_POLLS_PER_SECOND
        self._min_interval = gateways / MAX_POLLS_PER_SECOND
        self._max_interval = gateways / INITIAL_POLLS_PER_SECOND

    def take_next(self) -> int | None:
        """Remove and return the gateway to poll next; None where none is waiting."""
        return self.waiting.popleft() if self.waiting else None

    def on_poll_ended(self, gateway: int, answered: bool, seconds: float) -> None:
        """Note whether a poll was answered, and how many seconds it took."""
        if not answered:
            self.waiting.append(gateway)
        if answered and seconds <= QUICK_ANSWER:
            self.interval = max(self._min_interval, 0.5 * self.interval)
        else:
            self.interval = min(self._max_interval, 2.0 * self.interval)


def spread_retry_after(minimum: float, draw: float) -> float:
    """Return the Retry-After of a rejected request in seconds, between one and three times the minimum.

    It is spread, as all gateways reject requests at the same time; draw: a random number from 0 to 1.
    """
    return minimum * (1.0 + 2.0 * draw)
