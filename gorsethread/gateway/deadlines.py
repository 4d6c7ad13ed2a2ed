"""One timer for the soonest deadline of all open requests, as one each would cost several times as much."""

import heapq
from collections.abc import Callable

from gorsethread.transport.base import Timer, Transport

NEVER = float("inf")
SWEEP_AHEAD = 0.1  # seconds: entries of answered requests are dropped together, at most this late


class Deadlines:
    """Calls expire(request) at each request's deadline, once, if it still has that deadline then.

    deadline_of tells a request's present deadline, None for one that is not open any more: numbers are given
    again. An entry leaves as its time passes, so there are no more than were added within the longest
    deadline.
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
        self._entries: list[tuple[float, int]] = []  # a heap of deadlines and requests
        self._timer: Timer | None = None
        self._timer_at = NEVER

    def add(self, deadline: float, request: int) -> None:
        """The request has this deadline from now on, in seconds on the transport's clock."""
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
