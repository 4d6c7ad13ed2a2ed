"""The time of the batch that is worked on, and what is due later."""

import heapq
from collections.abc import Iterator

from gorsethread.scheduling.actions import SchedulerActions
from gorsethread.scheduling.model import Request

NEVER = float("inf")
CLOCK_ROUNDING = 0.001  # seconds by which a clock may round a delay down
TIMER_NAME = "look"
REEVALUATION_DELAY = 0.02  # seconds until what held something back is evaluated again


class Timers:
    """The scheduler's time, its due entries and the one timer that it has asked for.

    An entry is a request to review or a key whose cool-down ends; each leaves as its time passes.
    """

    def __init__(self, actions: SchedulerActions) -> None:
        self._actions = actions
        self.started_at = self.now = actions.clock()  # seconds
        self.last_number = 0
        self._entries: list[tuple[float, int, Request | str]] = []
        self._reevaluate_at = NEVER
        self._set_for = NEVER

    def advance(self) -> float:
        """Takes over the clock's time, at the begin of each event."""
        self.now = self._actions.clock()
        return self.now

    def next_number(self) -> int:
        """Returns a number above all before, for ties and for what must never repeat."""
        self.last_number += 1
        return self.last_number

    def schedule(self, at: float, item: Request | str) -> None:
        """Makes an item due at a time."""
        heapq.heappush(self._entries, (at, self.next_number(), item))

    def due_items(self) -> Iterator[Request | str]:
        """Yields what is due by now, the earliest first, also what becomes due meanwhile."""
        while self._entries and self._entries[0][0] <= self.now:
            yield heapq.heappop(self._entries)[2]

    def reevaluate_by(self, at: float) -> None:
        """All that waits is to be searched again at that time, if nothing causes it earlier."""
        self._reevaluate_at = min(self._reevaluate_at, at)

    def reevaluation_time(self) -> float:
        """Returns the time after REEVALUATION_DELAY, in seconds."""
        return self.now + REEVALUATION_DELAY

    def reevaluate_soon(self) -> None:
        """All that waits is to be searched again after REEVALUATION_DELAY."""
        self.reevaluate_by(self.now + REEVALUATION_DELAY)

    def reevaluation_due(self) -> bool:
        """Whether a search of all that waits is due; asking clears it."""
        if self.now < self._reevaluate_at:
            return False
        self._reevaluate_at = NEVER
        return True

    def fired(self, name: str) -> None:
        """A timer has fired, perhaps an earlier one than the last that was set."""
        if name == TIMER_NAME and self._actions.clock() >= self._set_for - CLOCK_ROUNDING:
            self._set_for = NEVER

    def set_for(self, *others: float) -> None:
        """Sets a timer for the earliest of what is due and of the other times, if none fires before."""
        first_entry = self._entries[0][0] if self._entries else NEVER
        needed = min(first_entry, self._reevaluate_at, *others)
        if needed < self._set_for:
            self._set_for = needed
            self._actions.set_timer(max(0.0, needed - self.now), TIMER_NAME)
