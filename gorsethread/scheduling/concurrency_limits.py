"""Adaptive concurrency limits of backends, and a rate limit for backends that allow less than one slot.

The limit is the number of attempts that a backend may have in flight from this gateway. Limit and rate are
cut when responses have waited in the backend's queue, and grow when they have not.
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
# Rates are multiples of the expected rate of one unit of weight.
UNLIMITED_RATE = 8.0  # from here on, requests to the backend are not paced
MIN_RATE = 0.1  # at a lower rate an overloaded backend would get too few attempts to detect its recovery
# Fractions of the shortest latency objective:
MAX_WAIT_PART = 0.3  # the longest wait at a backend that is not overloaded
QUEUED_WAIT_PART = 0.1  # a longer wait means that the backend has a queue
SMOOTHING = 0.3  # weight of the newest service time
MIN_WAIT = 0.001  # seconds
UNIT_TIME_DRIFT = 1.02  # factor by which the shortest time per unit grows with each response
UNKNOWN = float("inf")


class ConcurrencyLimits:
    """Updates each backend's ConcurrencyState, which no other class changes.

    The state is dropped with the backend.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._warming_up_rate = max(1.0, UNLIMITED_RATE * settings.slow_start.initial_part)
        self.shortest_objective = min(rc.latency_objective for rc in settings.request_classes)
        # Delaying units beyond the reservation costs less if such units have a lower value.
        self.default_rate = max(1.0, UNLIMITED_RATE * settings.excess_value**2)
        self._slots_when_queued = max(1.0, INITIAL_SLOTS / settings.gateways)

    def initial_state(self) -> ConcurrencyState:
        """Returns the state of a backend that has not been used yet."""
        return ConcurrencyState(INITIAL_SLOTS, self.default_rate)

    def backend_started(self, backend: Backend) -> None:
        """Resets slots and rate of a backend that has just started and is warming up."""
        backend.limits.rate = self._warming_up_rate
        backend.limits.slots = INITIAL_SLOTS

    def slots(self, backend: Backend) -> int:
        """Returns how many attempts the backend may have in flight, at least 1."""
        return max(1, int(backend.limits.slots))

    def slots_when_queued(self) -> int:
        """Returns how many attempts may be in flight if the oldest of them waits in the backend's queue."""
        return int(self._slots_when_queued)

    def queue_detected_at(self, backend: Backend, sent_at: float) -> float:
        """Returns when an attempt sent at sent_at and not yet answered means that the backend has a queue."""
        unit_time = backend.limits.unit_time
        service_allowance = 2.0 * unit_time if unit_time < UNKNOWN else 0.0
        return sent_at + MAX_WAIT_PART * self.shortest_objective + service_allowance

    def rate(self, backend: Backend) -> float:
        """Returns the backend's rate, as a multiple of the expected rate of one unit of weight."""
        return backend.limits.rate

    def mean_service_time(self, backend: Backend) -> float:
        """Returns the backend's smoothed service time in seconds, 0 before its first response."""
        return backend.limits.service_time

    def service_time(self, backend: Backend, request_class: RequestClass) -> float:
        """Returns the backend's smoothed service time for a request class in seconds, 0 if unknown."""
        return backend.limits.service_times.get(request_class, backend.limits.service_time)

    def attempt_ended(
        self, backend: Backend, outcome: AttemptOutcome, elapsed: float, request: Request
    ) -> None:
        """Updates slots, rate and service times after an attempt that shows the backend's capacity.

        elapsed: seconds from sending the attempt to its end.
        """
        limits = backend.limits
        succeeded = outcome is AttemptOutcome.SUCCEEDED
        if succeeded:
            self._record_service_time(limits, request, elapsed)
        wait = 0.0
        fraction = 1.0  # of the load sent, what the backend could serve without a long wait
        if outcome is AttemptOutcome.REJECTED:
            fraction = 0.5
        elif succeeded or outcome is AttemptOutcome.TIMED_OUT:
            wait = self._wait(limits, request, elapsed)
            fraction = MAX_WAIT_PART * self.shortest_objective / max(wait, MIN_WAIT)
        found_queue = succeeded and wait > QUEUED_WAIT_PART * self.shortest_objective
        if found_queue:
            # Slots of many gateways add up: more of them here would only lengthen the backend's queue.
            limits.slots = min(limits.slots, self._slots_when_queued)
        if fraction < 1.0:
            # An attempt sent before the last cut does not show whether that cut was enough.
            if self._timers.now - elapsed >= limits.cut_at:
                self._cut_for_wait(backend, request, elapsed, fraction)
        elif succeeded:
            self._grow(backend, found_queue)
        limits.rate_updated_at = self._timers.now

    def _record_service_time(self, limits: ConcurrencyState, request: Request, elapsed: float) -> None:
        limits.service_time += (SMOOTHING if limits.service_time else 1.0) * (elapsed - limits.service_time)
        previous = limits.service_times.get(request.request_class, elapsed)
        limits.service_times[request.request_class] = previous + SMOOTHING * (elapsed - previous)
        limits.unit_time = min(UNIT_TIME_DRIFT * limits.unit_time, elapsed / max(request.units, 1.0))

    def _wait(self, limits: ConcurrencyState, request: Request, elapsed: float) -> float:
        """Returns the estimated seconds that an attempt waited in the backend's queue."""
        if limits.unit_time == UNKNOWN:
            return elapsed
        return elapsed - 2.0 * limits.unit_time * request.units

    def _cut_for_wait(self, backend: Backend, request: Request, elapsed: float, fraction: float) -> None:
        if elapsed > request.request_class.latency_objective:
            self.cut(backend, self.default_rate, max(0.2, fraction))
        else:  # possibly only a short pause of the backend
            self.cut(backend, self.default_rate * 2.0, max(0.5, fraction))

    def _grow(self, backend: Backend, found_queue: bool) -> None:
        limits = backend.limits
        limits.rate = min(
            UNLIMITED_RATE, limits.rate * 2.0 ** min(1.0, self._timers.now - limits.rate_updated_at)
        )
        if not found_queue and len(backend.in_flight) + 1 >= int(limits.slots):
            limits.slots = min(MAX_SLOTS, limits.slots + 0.5 / limits.slots)

    def backend_silent(self, backend: Backend, waiting_since: float) -> None:
        """Cuts slots and rate of a backend that is silent since waiting_since, once for each silence."""
        if waiting_since >= backend.limits.cut_at:
            self.cut(backend, self.default_rate, 0.5)

    def cut(self, backend: Backend, max_rate: float, fraction: float) -> None:
        """Multiplies slots and rate by a fraction; the rate is first limited to max_rate."""
        limits = backend.limits
        limits.cut_at = self._timers.now
        limits.rate_updated_at = self._timers.now
        limits.rate = max(MIN_RATE, min(limits.rate, max_rate) * fraction)
        limits.slots = max(1.0, limits.slots * fraction)

    def has_limited_rate(self, backend: Backend) -> bool:
        """Returns whether requests to the backend are paced by its rate."""
        return backend.limits.rate < UNLIMITED_RATE

    def is_full(self, backend: Backend) -> bool:
        """Returns whether the backend has no free slot."""
        return len(backend.in_flight) >= self.slots(backend)

    def is_overloaded(self, backend: Backend) -> bool:
        """Returns whether the backend's rate is below twice the expected rate."""
        return backend.limits.rate < 2.0

    def rate_last_updated_at(self, backend: Backend) -> float:
        """Returns when the backend's rate was last updated, in seconds."""
        return backend.limits.rate_updated_at
