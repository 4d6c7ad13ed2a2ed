"""Backends that fail, fall silent or cannot be reached: cool-downs and single health checks."""

from gorsethread.scheduling.model import AttemptOutcome, Backend, SchedulerSettings
from gorsethread.scheduling.timers import REEVALUATION_DELAY, Timers

ERROR_SMOOTHING = 0.1
HIGH_ERROR_RATE = 0.2  # part of attempts, from which new objects go elsewhere
CONNECTION_FAILURES_ALLOWED = 1  # in turn, until a backend cools down: a dead one takes no new connection
CONNECTION_LOSSES_ALLOWED = 3  # in turn: connections may break alone
FIRST_COOL_DOWN = 0.1  # seconds; doubles with each failure in turn
LONGEST_COOL_DOWN = 2.0  # seconds
COOL_DOWN_DOUBLINGS_MOST = 9
HEALTH_CHECK_PAUSE = 12.0  # service times of a silent backend until its next health check
HEALTH_CHECK_DOUBLINGS_MOST = 6
ANSWERED = (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
TELLS_NOTHING = (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT)
LOST = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST)
UNCONNECTED = (AttemptOutcome.UNREACHABLE, AttemptOutcome.CONNECTION_LOST)


class OutlierDetection:
    """Moves each backend's HealthState, which ends with the backend; nothing else changes that."""

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._shortest_objective = min(one.latency_objective for one in settings.request_classes)

    def backend_started(self, backend: Backend) -> None:
        """The backend has started anew: its failures before say nothing of it."""
        health = backend.health
        health.cool_down_until = 0.0
        health.failures = 0
        health.error_rate = 0.0

    def attempt_ended(self, backend: Backend, outcome: AttemptOutcome, sent_at: float) -> bool:
        """Takes in how an attempt sent at that time ended; whether that tells of the backend's capacity."""
        if outcome in TELLS_NOTHING:
            return False
        health = backend.health
        if outcome in ANSWERED:
            health.answered_at = self._timers.now
            health.answered_sent_at = max(health.answered_sent_at, sent_at)
        elif outcome in LOST and health.answered_sent_at > sent_at:
            # The backend has answered what was sent later: one lost answer is not its own state.
            return False
        health.error_rate += ERROR_SMOOTHING * ((outcome is AttemptOutcome.ERROR) - health.error_rate)
        if outcome in UNCONNECTED:
            self._connection_failed(backend, outcome)
            return False
        health.failures = health.failures + 1 if outcome is AttemptOutcome.TIMED_OUT else 0
        return True

    def _connection_failed(self, backend: Backend, outcome: AttemptOutcome) -> None:
        health = backend.health
        health.failures += 1
        unreachable = outcome is AttemptOutcome.UNREACHABLE
        allowed = CONNECTION_FAILURES_ALLOWED if unreachable else CONNECTION_LOSSES_ALLOWED
        if health.failures > allowed:
            doubled = FIRST_COOL_DOWN * 2.0 ** min(health.failures, COOL_DOWN_DOUBLINGS_MOST)
            health.cool_down_until = self._timers.now + min(LONGEST_COOL_DOWN, doubled)

    def cool_down_until(self, backend: Backend) -> float:
        """Returns when the backend's cool-down ends, in seconds; past or 0: it has none."""
        return backend.health.cool_down_until

    def is_cooling_down(self, backend: Backend) -> bool:
        """Whether the backend gets nothing for now."""
        return self._timers.now < backend.health.cool_down_until

    def fails_often(self, backend: Backend) -> bool:
        """Whether many of the backend's last attempts ended in errors."""
        return backend.health.error_rate > HIGH_ERROR_RATE

    def has_failed(self, backend: Backend) -> bool:
        """Whether the last attempt that tells of the backend's health failed."""
        return backend.health.failures > 0

    def waiting_since(self, backend: Backend) -> float:
        """Returns when the first attempt in flight was sent that no answer to a later one has passed by."""
        answered_sent_at = backend.health.answered_sent_at
        for sent_at in backend.in_flight.values():
            if sent_at >= answered_sent_at:
                return sent_at
        return self._timers.now

    def is_silent(self, backend: Backend) -> bool:
        """Whether the backend owes an answer for longer than the shortest latency objective."""
        since = max(self.waiting_since(backend), backend.health.answered_at)
        return self._timers.now - since > self._shortest_objective

    def silent_from(self, backend: Backend) -> float:
        """Returns when the backend counts as silent unless it answers until then."""
        since = max(self.waiting_since(backend), backend.health.answered_at)
        return since + self._shortest_objective + REEVALUATION_DELAY

    def health_check_due(self, backend: Backend, service_time: float) -> bool:
        """Whether a failing or silent backend may get one more attempt; if not, has it evaluated then.

        service_time: the backend's, in seconds.

        A backend of little traffic would stay idle after one lost answer; each further pause is longer.
        """
        last_sent_at = next(reversed(backend.in_flight.values()), -float("inf"))
        pause = max(self._shortest_objective, HEALTH_CHECK_PAUSE * service_time)
        doublings = min(len(backend.in_flight) + backend.health.failures - 1, HEALTH_CHECK_DOUBLINGS_MOST)
        due_at = last_sent_at + pause * 2.0**doublings
        if self._timers.now < due_at:
            self._timers.reevaluate_by(due_at)
            return False
        return True
