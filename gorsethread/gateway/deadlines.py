"""Request deadlines on a single timer, as a timer for each request would cost several times as much."""

import heapq
from collections.abc import Callable

from gorsethread.transport.base import Timer, Transport

NEVER = float("inf")
SWEEP_AHEAD = 0.1  # seconds that the entries of answered requests may wait, to be dropped together


class Deadlines:
    """Calls expire(request) once at each request's deadline, if the request still has that deadline then.

    deadline_of(request) returns the request's current deadline, or None if it is no longer open; it is asked
    again because request ids are reused. Entries are dropped as their deadline passes, so there are at most
    as many as were added within the longest deadline.
    """

    def __init__(
        self,
        transport: Transport,
        deadline_of: Callable[[int], float | None],
        expire: Callable[[int], None],
    ) -> None:
        self._transport = transport
        self._deadline_of = deadline_of
        self._expire = expire
        self._entries: list[tuple[float, int]] = []  # a heap of (deadline, request)
        self._timer: Timer | None = None
        self._timer_at = NEVER

    def add(self, deadline: float, request: int) -> None:
        """Sets a request's deadline, in seconds of the transport's clock."""
        heapq.heappush(self._entries, (deadline, request))
        if deadline < self._timer_at:
            self._set_timer(deadline)

    def _set_timer(self, when: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._transport.call_at(when, self._fired)

    def _fired(self) -> None:
        now = self._transport.now()
        self._timer, self._timer_at = None, NEVER
        while self._entries:
            deadline, request = self._entries[0]
            if self._deadline_of(request) == deadline:
                if deadline > now:
                    self._set_timer(deadline)
                    return
                self._expire(request)
            elif deadline > now + SWEEP_AHEAD:
                self._set_timer(now + SWEEP_AHEAD)
                return
            heapq.heappop(self._entries)
