"""Detects backends that fail or do not answer; limits them by cool-downs and single health checks."""

from gorsethread.scheduling.model import AttemptOutcome, Backend, SchedulerSettings
from gorsethread.scheduling.timers import REEVALUATION_DELAY, Timers

ERROR_SMOOTHING = 0.1  # weight of the newest attempt in the error rate
HIGH_ERROR_RATE = 0.2  # fraction of attempts; above it, new objects go to other backends
CONNECTION_FAILURES_ALLOWED = 1  # consecutive, before a cool-down: a dead backend accepts no connection
CONNECTION_LOSSES_ALLOWED = 3  # consecutive: a connection may also break by itself
FIRST_COOL_DOWN = 0.1  # seconds; doubled for each consecutive failure
MAX_COOL_DOWN = 2.0  # seconds
MAX_COOL_DOWN_DOUBLINGS = 9
HEALTH_CHECK_PAUSE = 12.0  # in service times of the backend, between health checks
MAX_HEALTH_CHECK_DOUBLINGS = 6
ANSWERED = (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
UNINFORMATIVE = (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)
LOST = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST)
UNCONNECTED = (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST)


class OutlierDetection:
    """Updates each backend's HealthState, which no other class changes.

    The state is dropped with the backend.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._shortest_objective = min(rc.latency_objective for rc in settings.request_classes)

    def backend_started(self, backend: Backend) -> None:
        """Resets the state of a backend that has just started: its earlier failures no longer count."""
        health = backend.health
        health.cool_down_until = 0.0
        health.failures = 0
        health.error_rate = 0.0

    def attempt_ended(self, backend: Backend, outcome: AttemptOutcome, sent_at: float) -> bool:
        """Records the outcome of an attempt; returns whether the outcome shows the backend's capacity."""
        if outcome in UNINFORMATIVE:
            return False
        health = backend.health
        if outcome in ANSWERED:
            health.answered_at = self._timers.now
            health.answered_sent_at = max(health.answered_sent_at, sent_at)
        elif outcome in LOST and health.answered_sent_at > sent_at:
            # The backend has answered a later attempt, so one lost answer does not mean that it is unhealthy.
            return False
        health.error_rate += ERROR_SMOOTHING * ((outcome is AttemptOutcome.ERROR) - health.error_rate)
        if outcome in UNCONNECTED:
            self._connection_failed(backend, outcome)
            return False
        health.failures = health.failures + 1 if outcome is AttemptOutcome.TIMED_OUT else 0
        return True

    def _connection_failed(self, backend: Backend, outcome: AttemptOutcome) -> None:
        """Counts a connection failure; starts a cool-down after more of them than are allowed."""
        health = backend.health
        health.failures += 1
        unreachable = outcome is AttemptOutcome.UNREACHABLE
        allowed = CONNECTION_FAILURES_ALLOWED if unreachable else CONNECTION_LOSSES_ALLOWED
        if health.failures > allowed:
            cool_down = FIRST_COOL_DOWN * 2.0 ** min(health.failures, MAX_COOL_DOWN_DOUBLINGS)
            health.cool_down_until = self._timers.now + min(MAX_COOL_DOWN, cool_down)

    def cool_down_until(self, backend: Backend) -> float:
        """Returns the end of the backend's cool-down, in seconds; 0 or a past time if it has none."""
        return backend.health.cool_down_until

    def is_cooling_down(self, backend: Backend) -> bool:
        """Returns whether the backend is in a cool-down and gets no attempts."""
        return self._timers.now < backend.health.cool_down_until

    def fails_often(self, backend: Backend) -> bool:
        """Returns whether many of the backend's recent attempts ended with an error."""
        return backend.health.error_rate > HIGH_ERROR_RATE

    def has_failed(self, backend: Backend) -> bool:
        """Returns whether the last attempt that shows the backend's health has failed."""
        return backend.health.failures > 0

    def waiting_since(self, backend: Backend) -> float:
        """Returns when the oldest attempt in flight was sent, or the current time if there is none.

        Attempts sent before one that has been answered do not count.
        """
        answered_sent_at = backend.health.answered_sent_at
        for sent_at in backend.in_flight.values():
            if sent_at >= answered_sent_at:
                return sent_at
        return self._timers.now

    def is_silent(self, backend: Backend) -> bool:
        """Returns whether an answer has been outstanding for longer than the shortest latency objective."""
        since = max(self.waiting_since(backend), backend.health.answered_at)
        return self._timers.now - since > self._shortest_objective

    def silent_from(self, backend: Backend) -> float:
        """Returns the time at which the backend counts as silent unless it answers before."""
        since = max(self.waiting_since(backend), backend.health.answered_at)
        return since + self._shortest_objective + REEVALUATION_DELAY

    def health_check_due(self, backend: Backend, service_time: float) -> bool:
        """Returns whether a failing or silent backend may get one more attempt as a health check.

        If not, schedules a reevaluation for the time when it may. Without health checks, a backend with
        little traffic would stay unused after one lost answer. The pause between them doubles with each
        unanswered attempt or failure, MAX_HEALTH_CHECK_DOUBLINGS times at most.

        service_time: the backend's mean service time, in seconds.
        """
        last_sent_at = next(reversed(backend.in_flight.values()), -float("inf"))
        pause = max(self._shortest_objective, HEALTH_CHECK_PAUSE * service_time)
        doublings = min(len(backend.in_flight) + backend.health.failures - 1, MAX_HEALTH_CHECK_DOUBLINGS)
        due_at = last_sent_at + pause * 2.0**doublings
        if self._timers.now < due_at:
            self._timers.reevaluate_by(due_at)
            return False
        return True
