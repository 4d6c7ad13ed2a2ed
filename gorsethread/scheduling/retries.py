"""Decides whether a request may be retried: by its effect, the retry budget, and recent rejections."""

from collections import deque

from gorsethread.scheduling.model import Backend, Request, SchedulerSettings
from gorsethread.scheduling.timers import Timers

MAX_ATTEMPTS = 3  # of a request, even if the settings allow more
OVERLOAD_PAUSE = 1.0  # seconds without retries after a backend has rejected an attempt


class Retries:
    """Holds the requests and retries counted against the retry budget, and the pause after a rejection.

    Counts older than the budget's window are dropped.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self.budget = settings.retry_budget
        self.max_attempts = min(settings.max_attempts, MAX_ATTEMPTS)
        self._paused_until = 0.0
        self._received_at: deque[float] = deque()
        self._retried_at: deque[float] = deque()

    def request_received(self) -> None:
        """Counts a client's request."""
        if self.budget:
            self._received_at.append(self._timers.now)
            self._drop_old(self._received_at, self.budget.window)

    def retry_sent(self) -> None:
        """Counts an attempt that is not the first of its request."""
        if self.budget:
            self._retried_at.append(self._timers.now)

    def backend_rejected(self) -> None:
        """Pauses all retries, which would add to the load of the overloaded backend."""
        self._paused_until = self._timers.now + OVERLOAD_PAUSE

    def may_retry(self, request: Request) -> bool:
        """Returns whether a request may be queued again after an attempt that did not finish it."""
        now = self._timers.now
        if request.in_flight or request.attempts >= self.max_attempts or now >= request.deadline:
            return False
        if now < self._paused_until or not self.within_budget():
            return False
        return request.ran_at is None or self.is_repeatable(request, now)

    def is_repeatable(self, request: Request, now: float) -> bool:
        """Returns whether running the request again is safe on a backend of its idempotency scope."""
        request_class = request.request_class
        if request.ran_at is None or request_class.idempotent:
            return True
        return request_class.keyed and now < request.ran_at + request_class.idempotency_window

    def is_repeatable_everywhere(self, request: Request) -> bool:
        """Returns whether running the request again now is safe on any backend."""
        if request.ran_at is None:
            return True
        everywhere = request.request_class.repeats_dropped_everywhere
        return everywhere and self.is_repeatable(request, self._timers.now)

    def may_run_on(self, request: Request, backend: Backend) -> bool:
        """Returns whether a request may go to the backend: a keyed one that may have run stays in scope."""
        if request.ran_on is None or request.request_class.idempotent:
            return True
        if not self.is_repeatable(request, self._timers.now):
            return False
        return request.request_class.idempotency_scope.spans(backend, request.ran_on)

    def within_budget(self) -> bool:
        """Returns whether the budget allows one more retry now."""
        budget = self.budget
        if not budget:
            return True
        for counted_at in (self._received_at, self._retried_at):
            self._drop_old(counted_at, budget.window)
        return len(self._retried_at) + 1 <= budget.free + budget.ratio * len(self._received_at)

    def _drop_old(self, counted_at: deque[float], window: float) -> None:
        while counted_at and counted_at[0] <= self._timers.now - window:
            counted_at.popleft()
