"""Waiting requests that can no longer meet their latency objective give way to those that can."""

from enum import Enum
from typing import NamedTuple

from gorsethread.scheduling.concurrency_limits import ConcurrencyLimits
from gorsethread.scheduling.model import Backend, Request, RequestReceived, SchedulerSettings
from gorsethread.scheduling.timers import Timers

RATE_KNOWN_FOR = 5.0  # seconds after which a backend's rate tells nothing of its load now
REVIEW_PART = 0.5  # of the shortest latency objective, between reviews of a late request


class Verdict(Enum):
    """What becomes of a request that waits."""

    KEEP = "keep"
    DEMOTE = "after those that can meet their objective"
    SHED = "shed"


class Review(NamedTuple):
    """A verdict, and when the request is to be reviewed again (seconds)."""

    verdict: Verdict
    next_at: float


class LoadShedding:
    """Reviews requests that wait, and keeps of each request class the longest time a client allowed.

    That is one figure a class, kept for good.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers, limits: ConcurrencyLimits) -> None:
        self._timers = timers
        self._limits = limits
        self._settings = settings
        self._review_interval = REVIEW_PART * limits.shortest_objective
        self._longest_allowed = [0.0] * len(settings.request_classes)  # seconds

    def objective_ends(self, taken: RequestReceived) -> float:
        """Returns when the latency objective of a request ends, which for a client's retry began earlier.

        How long ago shows in how little time the retry has left. It ends no later than the deadline.
        """
        now = self._timers.now
        left = taken.deadline - now
        longest = max(self._longest_allowed[taken.request_class], left)
        self._longest_allowed[taken.request_class] = longest
        may_be_retry = taken.is_retry or not self._settings.retries_marked
        age = longest - left if may_be_retry else 0.0
        objective = self._settings.request_classes[taken.request_class].latency_objective
        return min(taken.deadline, now - age + objective)

    def review(
        self, request: Request, expected_time: float, backend: Backend | None, others_wait: bool
    ) -> Review:
        """Decides about a request that has nothing in flight.

        Args:
            request: The request.
            expected_time: Seconds that its backend is expected to take.
            backend: The backend that serves its shard.
            others_wait: Whether others wait for that shard.
        """
        now = self._timers.now
        last_start = request.deadline - expected_time
        last_start_in_time = min(last_start, request.objective_ends - expected_time)
        if now < last_start_in_time:
            return Review(Verdict.KEEP, last_start_in_time)
        overloaded = others_wait or self._is_overloaded(request, backend)
        if now >= last_start or (request.waiting and overloaded):
            return Review(Verdict.SHED, now)
        verdict = Verdict.DEMOTE if request.waiting and not request.late else Verdict.KEEP
        return Review(verdict, min(last_start, now + self._review_interval))

    def _is_overloaded(self, request: Request, backend: Backend | None) -> bool:
        if backend is None or not self._limits.is_overloaded(backend):
            return False
        # A cut of long ago may be over; what comes alone would show that the backend is well again.
        now = self._timers.now
        cut_is_old = (
            now < request.objective_ends and now > self._limits.rate_last_updated_at(backend) + RATE_KNOWN_FOR
        )
        return not cut_is_old
