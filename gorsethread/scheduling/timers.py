"""The scheduler's clock, its scheduled entries and its timer."""

import heapq
from collections.abc import Iterator

from gorsethread.scheduling.actions import SchedulerActions
from gorsethread.scheduling.model import Request

NEVER = float("inf")
CLOCK_ROUNDING = 0.001  # seconds by which the timer may fire early because its delay was rounded down
TIMER_NAME = "look"
REEVALUATION_DELAY = 0.02  # seconds until waiting requests are searched again


class Timers:
    """Holds the time of the current batch, the scheduled entries and the one timer that is set.

    An entry is a request to review or a key whose cool-down ends; it is removed when it becomes due.
    """

    def __init__(self, actions: SchedulerActions) -> None:
        self._actions = actions
        self.started_at = self.now = actions.clock()  # seconds
        self.last_number = 0
        self._entries: list[tuple[float, int, Request | str]] = []
        self._reevaluate_at = NEVER
        self._set_for = NEVER

    def advance(self) -> float:
        """Updates the time from the clock, at the start of each event; returns it."""
        self.now = self._actions.clock()
        return self.now

    def next_number(self) -> int:
        """Returns the next of a series of increasing numbers, for breaking ties and for unique numbers."""
        self.last_number += 1
        return self.last_number

    def schedule(self, at: float, item: Request | str) -> None:
        """Schedules an item for a time."""
        heapq.heappush(self._entries, (at, self.next_number(), item))

    def due_items(self) -> Iterator[Request | str]:
        """Removes and yields the due items, the earliest first, including those scheduled meanwhile."""
        while self._entries and self._entries[0][0] <= self.now:
            yield heapq.heappop(self._entries)[2]

    def reevaluate_by(self, at: float) -> None:
        """Schedules a search of all waiting requests for a time, unless one is scheduled earlier."""
        self._reevaluate_at = min(self._reevaluate_at, at)

    def reevaluation_time(self) -> float:
        """Returns the time REEVALUATION_DELAY from now, in seconds."""
        return self.now + REEVALUATION_DELAY

    def reevaluate_soon(self) -> None:
        """Schedules a search of all waiting requests after REEVALUATION_DELAY."""
        self.reevaluate_by(self.now + REEVALUATION_DELAY)

    def reevaluation_due(self) -> bool:
        """Returns whether a search of all waiting requests is due, and if so clears it."""
        if self.now < self._reevaluate_at:
            return False
        self._reevaluate_at = NEVER
        return True

    def fired(self, name: str) -> None:
        """Records that a timer has fired, which may be an earlier one than the last that was set."""
        if name == TIMER_NAME and self._actions.clock() >= self._set_for - CLOCK_ROUNDING:
            self._set_for = NEVER

    def set_for(self, *other_times: float) -> None:
        """Sets a timer for the earliest entry, reevaluation or given time, unless an earlier one is set."""
        first_entry = self._entries[0][0] if self._entries else NEVER
        earliest = min(first_entry, self._reevaluate_at, *other_times)
        if earliest < self._set_for:
            self._set_for = earliest
            self._actions.set_timer(max(0.0, earliest - self.now), TIMER_NAME)
