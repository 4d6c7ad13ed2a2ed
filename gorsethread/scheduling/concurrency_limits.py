"""What a backend may have in flight from this gateway, and the rate below one slot a gateway.

Both are cut by answers that waited in the backend's queue and grow with answers that did not.
"""

from gorsethread.scheduling.model import (
    AttemptOutcome,
    Backend,
    ConcurrencyState,
    Request,
    RequestClass,
    SchedulerSettings,
)
from gorsethread.scheduling.timers import Timers

INITIAL_SLOTS = 4.0
MAX_SLOTS = 32.0
# Rates are in expected rates of a unit of weight.
UNLIMITED_RATE = 8.0  # from here on a backend's rate holds nothing back
MIN_RATE = 0.1  # from lower, an overloaded backend would get too few attempts to show that it recovered
# Parts of the shortest latency objective:
MAX_WAIT_PART = 0.3  # the longest wait at a backend that is not overloaded
QUEUED_WAIT_PART = 0.1  # a wait that shows a queue at the backend
SMOOTHING = 0.3  # weight of the newest service time
MIN_WAIT = 0.001  # seconds
UNIT_TIME_DRIFT = 1.02  # by which the shortest time a unit grows with each answer
UNKNOWN = float("inf")


class ConcurrencyLimits:
    """Moves each backend's ConcurrencyState, which ends with the backend; nothing else changes that."""

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._warming_up_rate = max(1.0, UNLIMITED_RATE * settings.slow_start.initial_part)
        self.shortest_objective = min(one.latency_objective for one in settings.request_classes)
        # Holding back units beyond the reservation costs less the less they earn.
        self.default_rate = max(1.0, UNLIMITED_RATE * settings.excess_value**2)
        self._slots_when_queued = max(1.0, INITIAL_SLOTS / settings.gateways)

    def initial_state(self) -> ConcurrencyState:
        """Returns the state of a backend of which nothing is known."""
        return ConcurrencyState(INITIAL_SLOTS, self.default_rate)

    def backend_started(self, backend: Backend) -> None:
        """The backend has started anew and is warming up."""
        backend.limits.rate = self._warming_up_rate
        backend.limits.slots = INITIAL_SLOTS

    def slots(self, backend: Backend) -> int:
        """Returns how many attempts the backend may have in flight."""
        return max(1, int(backend.limits.slots))

    def slots_when_queued(self) -> int:
        """Returns the same for a backend in whose queue the first attempt in flight already waits."""
        return int(self._slots_when_queued)

    def queue_detected_at(self, backend: Backend, sent_at: float) -> float:
        """Returns when an attempt sent then, still without an answer, shows a queue at the backend."""
        unit_time = backend.limits.unit_time
        service_allowance = 2.0 * unit_time if unit_time < UNKNOWN else 0.0
        return sent_at + MAX_WAIT_PART * self.shortest_objective + service_allowance

    def rate(self, backend: Backend) -> float:
        """Returns the backend's rate, in expected rates of a unit of weight."""
        return backend.limits.rate

    def mean_service_time(self, backend: Backend) -> float:
        """Returns the smoothed seconds that the backend takes, 0 while it has not answered."""
        return backend.limits.service_time

    def service_time(self, backend: Backend, request_class: RequestClass) -> float:
        """Returns the smoothed seconds that the backend takes for a class, 0 while it has not answered."""
        return backend.limits.service_times.get(request_class, backend.limits.service_time)

    def attempt_ended(
        self, backend: Backend, outcome: AttemptOutcome, elapsed: float, request: Request
    ) -> None:
        """Takes in how an attempt ended that tells of the backend's capacity, after elapsed seconds."""
        limits = backend.limits
        succeeded = outcome is AttemptOutcome.SUCCEEDED
        if succeeded:
            self._record_service_time(limits, request, elapsed)
        wait = 0.0
        fit_part = 1.0  # of what was sent, how much the backend could take in good time
        if outcome is AttemptOutcome.REJECTED:
            fit_part = 0.5
        elif succeeded or outcome is AttemptOutcome.TIMED_OUT:
            wait = self._wait(limits, request, elapsed)
            fit_part = MAX_WAIT_PART * self.shortest_objective / max(wait, MIN_WAIT)
        found_queue = succeeded and wait > QUEUED_WAIT_PART * self.shortest_objective
        if found_queue:
            # Slots of many gateways add up: more of this one's would only wait in the backend's queue.
            limits.slots = min(limits.slots, self._slots_when_queued)
        if fit_part < 1.0:
            # Answers to what was sent before the last cut say nothing of the cut.
            if self._timers.now - elapsed >= limits.cut_at:
                self._cut_for_wait(backend, request, elapsed, fit_part)
        elif succeeded:
            self._grow(backend, found_queue)
        limits.rate_updated_at = self._timers.now

    def _record_service_time(self, limits: ConcurrencyState, request: Request, elapsed: float) -> None:
        limits.service_time += (SMOOTHING if limits.service_time else 1.0) * (elapsed - limits.service_time)
        before = limits.service_times.get(request.request_class, elapsed)
        limits.service_times[request.request_class] = before + SMOOTHING * (elapsed - before)
        limits.unit_time = min(UNIT_TIME_DRIFT * limits.unit_time, elapsed / max(request.units, 1.0))

    def _wait(self, limits: ConcurrencyState, request: Request, elapsed: float) -> float:
        if limits.unit_time == UNKNOWN:
            return elapsed
        return elapsed - 2.0 * limits.unit_time * request.units

    def _cut_for_wait(self, backend: Backend, request: Request, elapsed: float, fit_part: float) -> None:
        if elapsed > request.request_class.latency_objective:
            self.cut(backend, self.default_rate, max(0.2, fit_part))
        else:  # it may have met a short pause only
            self.cut(backend, self.default_rate * 2.0, max(0.5, fit_part))

    def _grow(self, backend: Backend, found_queue: bool) -> None:
        limits = backend.limits
        limits.rate = min(
            UNLIMITED_RATE, limits.rate * 2.0 ** min(1.0, self._timers.now - limits.rate_updated_at)
        )
        if not found_queue and len(backend.in_flight) + 1 >= int(limits.slots):
            limits.slots = min(MAX_SLOTS, limits.slots + 0.5 / limits.slots)

    def backend_silent(self, backend: Backend, waiting_since: float) -> None:
        """The backend owes an answer since that time; cuts once for each silence."""
        if waiting_since >= backend.limits.cut_at:
            self.cut(backend, self.default_rate, 0.5)

    def cut(self, backend: Backend, most_rate: float, part: float) -> None:
        """Cuts slots and rate to a part, the rate from most_rate at most."""
        limits = backend.limits
        limits.cut_at = self._timers.now
        limits.rate_updated_at = self._timers.now
        limits.rate = max(MIN_RATE, min(limits.rate, most_rate) * part)
        limits.slots = max(1.0, limits.slots * part)

    def has_limited_rate(self, backend: Backend) -> bool:
        """Whether the backend's rate may hold requests back."""
        return backend.limits.rate < UNLIMITED_RATE

    def is_full(self, backend: Backend) -> bool:
        """Whether the backend has as many attempts in flight as it may have."""
        return len(backend.in_flight) >= self.slots(backend)

    def is_overloaded(self, backend: Backend) -> bool:
        """Whether the backend's rate is under twice the expected one."""
        return backend.limits.rate < 2.0

    def rate_last_updated_at(self, backend: Backend) -> float:
        """Returns when answers last moved the backend's rate, in seconds."""
        return backend.limits.rate_updated_at
