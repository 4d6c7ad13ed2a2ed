"""Sheds or demotes waiting requests that can no longer meet their latency objective."""

from enum import Enum
from typing import NamedTuple

from gorsethread.scheduling.concurrency_limits import ConcurrencyLimits
from gorsethread.scheduling.model import Backend, Request, RequestReceived, SchedulerSettings
from gorsethread.scheduling.timers import Timers

RATE_VALID_FOR = 5.0  # seconds after an update for which a backend's rate shows its current load
REVIEW_PART = 0.5  # fraction of the shortest latency objective between reviews of a late request


class Verdict(Enum):
    """What to do with a waiting request."""

    KEEP = "keep"
    DEMOTE = "after those that can meet their objective"
    SHED = "shed"


class Review(NamedTuple):
    """A verdict and the time of the next review, in seconds."""

    verdict: Verdict
    next_at: float


class LoadShedding:
    """Reviews waiting requests.

    Holds, for each request class, the longest time that a client has allowed; this is never cleared.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers, limits: ConcurrencyLimits) -> None:
        self._timers = timers
        self._limits = limits
        self._settings = settings
        self._review_interval = REVIEW_PART * limits.shortest_objective
        self._longest_allowed = [0.0] * len(settings.request_classes)  # seconds

    def objective_ends(self, received: RequestReceived) -> float:
        """Returns when the latency objective of a request ends, at the latest at its deadline.

        For a client's retry the objective began earlier. How long ago is estimated as the longest time that a
        client has allowed for the class, less the time that the retry has left.
        """
        now = self._timers.now
        left = received.deadline - now
        longest = max(self._longest_allowed[received.request_class], left)
        self._longest_allowed[received.request_class] = longest
        may_be_retry = received.is_retry or not self._settings.retries_marked
        age = longest - left if may_be_retry else 0.0
        objective = self._settings.request_classes[received.request_class].latency_objective
        return min(received.deadline, now - age + objective)

    def review(
        self, request: Request, expected_time: float, backend: Backend | None, others_wait: bool
    ) -> Review:
        """Decides whether to keep, demote or shed a request that has no attempt in flight.

        Args:
            request: The request.
            expected_time: Seconds in which its backend is expected to answer.
            backend: The backend that serves its shard.
            others_wait: Whether other requests wait for that shard.
        """
        now = self._timers.now
        last_start = request.deadline - expected_time
        last_start_for_objective = min(last_start, request.objective_ends - expected_time)
        if now < last_start_for_objective:
            return Review(Verdict.KEEP, last_start_for_objective)
        overloaded = others_wait or self._is_overloaded(request, backend)
        if now >= last_start or (request.waiting and overloaded):
            return Review(Verdict.SHED, now)
        verdict = Verdict.DEMOTE if request.waiting and not request.late else Verdict.KEEP
        return Review(verdict, min(last_start, now + self._review_interval))

    def _is_overloaded(self, request: Request, backend: Backend | None) -> bool:
        if backend is None or not self._limits.is_overloaded(backend):
            return False
        # The backend may have recovered since an old cut; a single request sent to it shows whether it has.
        now = self._timers.now
        cut_is_old = (
            now < request.objective_ends and now > self._limits.rate_last_updated_at(backend) + RATE_VALID_FOR
        )
        return not cut_is_old
