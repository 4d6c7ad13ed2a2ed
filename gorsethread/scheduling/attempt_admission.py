"""Decides which requests may be sent to which backends: the edges of the augmenting-path search."""

from collections.abc import Sequence
from dataclasses import dataclass

from gorsethread.scheduling.concurrency_limits import UNLIMITED_RATE, ConcurrencyLimits
from gorsethread.scheduling.fair_queueing import FairQueueing
from gorsethread.scheduling.model import NEW_OBJECT, Backend, Request, Volume
from gorsethread.scheduling.outlier_detection import OutlierDetection
from gorsethread.scheduling.rate_limits import Pacing, RateLimits
from gorsethread.scheduling.retries import Retries
from gorsethread.scheduling.shard_assignment import ShardAssignment
from gorsethread.scheduling.slow_start import SlowStart
from gorsethread.scheduling.timers import Timers


@dataclass(eq=False)
class AttemptAdmission:
    """Combines the decisions of all mechanisms; has no state of its own."""

    timers: Timers
    shards: ShardAssignment
    queueing: FairQueueing
    limits: ConcurrencyLimits
    outliers: OutlierDetection
    slow_start: SlowStart
    rate_limits: RateLimits
    pacing: Pacing
    retries: Retries

    def free_slots(self, backend: Backend) -> int:
        """Returns how many more attempts may be sent to the backend now."""
        blocked_until = max(self.slow_start.blocked_until(backend), self.outliers.cool_down_until(backend))
        if self.timers.now < blocked_until:
            self.timers.reevaluate_by(blocked_until)
            return 0
        if self._is_silent(backend) or self.outliers.has_failed(backend):
            service_time = self.limits.mean_service_time(backend)
            return 1 if self.outliers.health_check_due(backend, service_time) else 0
        if backend.in_flight and self._has_queue(backend):
            return self.limits.slots_when_queued() - len(backend.in_flight)
        return self.limits.slots(backend) - len(backend.in_flight)

    def _is_silent(self, backend: Backend) -> bool:
        """Returns whether the backend is silent, and cuts the limits of a silent backend.

        A silent backend gets only health checks, one attempt at a time, until it answers.
        """
        if not self.outliers.is_silent(backend):
            return False
        self.limits.backend_silent(backend, self.outliers.waiting_since(backend))
        return True

    def _has_queue(self, backend: Backend) -> bool:
        """Returns whether the oldest attempt in flight waits in the backend's queue.

        A further attempt would wait behind it.
        """
        detected_at = self.limits.queue_detected_at(backend, self.outliers.waiting_since(backend))
        if self.timers.now <= detected_at:
            return False
        # There may be no event that causes a search when the backend becomes silent.
        self.timers.reevaluate_by(self.outliers.silent_from(backend))
        return True

    def units_left(self, volume: Volume) -> float:
        """Returns the units that the volume's rate limit allows to send now."""
        return self.rate_limits.units_left(volume)

    def ranking(self, volume: Volume) -> list[Backend]:
        """Returns the backends for a volume's new objects in order of preference."""
        return self.shards.ranking.backends_for(volume.name)

    def candidates(self, volume: Volume, shard: int) -> Sequence[Backend]:
        """Returns the backends that may serve the shard in order of preference; for a new object, all."""
        if shard == NEW_OBJECT:
            return self.ranking(volume)
        backend = self.shards.serving.get(shard)
        return () if backend is None else (backend,)

    def preferred_backend(self, request: Request) -> Backend | None:
        """Returns the first of the request's candidates, or None if there is none."""
        return next(iter(self.candidates(request.volume, request.shard)), None)

    def is_suitable(self, request: Request, backend: Backend, chosen_count: int) -> bool:
        """Returns whether the request may go to the backend, apart from rates and slow-start units.

        chosen_count: requests that the search has chosen for the backend so far.
        """
        if not self.retries.may_run_on(request, backend):
            return False
        if request.shard != NEW_OBJECT or request.attempts:
            return True
        return not self._refuses_new_objects(backend, chosen_count)

    def _refuses_new_objects(self, backend: Backend, chosen_count: int) -> bool:
        """Returns whether the backend fails often, or requests for its shard will use all its slots."""
        slots_needed = max(self.queueing.waiting_for(backend.shard), chosen_count)
        if len(backend.in_flight) + slots_needed >= self.limits.slots(backend):
            return True
        return self.outliers.fails_often(backend)

    def admits(self, request: Request, backend: Backend, units_chosen: float) -> bool:
        """Returns whether pacing and slow start allow the request to go to the backend now.

        units_chosen: units of the request's volume that the search has chosen so far.
        """
        if not request.attempts:
            rate = self.limits.rate(backend)
            if rate < UNLIMITED_RATE and not self.pacing.admits(request, rate, units_chosen):
                return False
        return self.slow_start.admits(request, backend)

    def expected_time(self, request: Request) -> float:
        """Returns the shortest time in seconds in which the request is expected to be answered, 0 if unknown.

        This is half the recent service time of its preferred backend.
        """
        backend = self.preferred_backend(request)
        if backend is None:
            return 0.0
        return 0.5 * self.limits.service_time(backend, request.request_class)
