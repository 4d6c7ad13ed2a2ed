"""Which attempts the mechanisms together let go: the edges of the scheduler's search."""

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
    """Asks each mechanism in turn; has no state of its own."""

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
        """Returns how many more attempts may be in flight to the backend."""
        held_until = max(self.slow_start.held_until(backend), self.outliers.cool_down_until(backend))
        if self.timers.now < held_until:
            self.timers.reevaluate_by(held_until)
            return 0
        if self._is_silent(backend) or self.outliers.has_failed(backend):
            service_time = self.limits.mean_service_time(backend)
            return 1 if self.outliers.health_check_due(backend, service_time) else 0
        if backend.in_flight and self._shows_queue(backend):
            return self.limits.slots_when_queued() - len(backend.in_flight)
        return self.limits.slots(backend) - len(backend.in_flight)

    def _is_silent(self, backend: Backend) -> bool:
        """A silent backend's limits are cut, and it gets one attempt at a time until it answers."""
        if not self.outliers.is_silent(backend):
            return False
        self.limits.backend_silent(backend, self.outliers.waiting_since(backend))
        return True

    def _shows_queue(self, backend: Backend) -> bool:
        """Whether the first attempt in flight waits in the backend's queue; a further one would behind it."""
        shown_at = self.limits.queue_detected_at(backend, self.outliers.waiting_since(backend))
        if self.timers.now <= shown_at:
            return False
        # No event may cause a search before the backend counts as silent.
        self.timers.reevaluate_by(self.outliers.silent_from(backend))
        return True

    def units_left(self, volume: Volume) -> float:
        """Returns the units that the volume's rate limit allows now."""
        return self.rate_limits.units_left(volume)

    def ranking(self, volume: Volume) -> list[Backend]:
        """Returns the backends for a volume's new objects, the preferred one first."""
        return self.shards.ranking.of(volume.name)

    def candidates(self, volume: Volume, shard: int) -> Sequence[Backend]:
        """Returns the backends that serve the shard, any for a new object, the preferred one first."""
        if shard == NEW_OBJECT:
            return self.ranking(volume)
        backend = self.shards.serving.get(shard)
        return () if backend is None else (backend,)

    def preferred_backend(self, request: Request) -> Backend | None:
        """Returns the first of the request's candidates."""
        return next(iter(self.candidates(request.volume, request.shard)), None)

    def is_suitable(self, request: Request, backend: Backend, chosen_there: int) -> bool:
        """Whether the request may go to the backend at all, beside so many chosen for it already."""
        if not self.retries.may_run_on(request, backend):
            return False
        if request.shard != NEW_OBJECT or request.attempts:
            return True
        return not self._has_enough(backend, chosen_there)

    def _has_enough(self, backend: Backend, chosen_there: int) -> bool:
        """A new object passes over a backend that fails, or whose slots requests for its shard will take."""
        wanted = max(self.queueing.waiting_for(backend.shard), chosen_there)
        if len(backend.in_flight) + wanted >= self.limits.slots(backend):
            return True
        return self.outliers.fails_often(backend)

    def admits(self, request: Request, backend: Backend, units_chosen: float) -> bool:
        """Whether the request may go to the backend now, after so many units chosen of its volume."""
        if not request.attempts:
            rate = self.limits.rate(backend)
            if rate < UNLIMITED_RATE and not self.pacing.admits(request, rate, units_chosen):
                return False
        return self.slow_start.admits(request, backend)

    def expected_time(self, request: Request) -> float:
        """Returns the seconds in which a backend may answer the request at best, as seen of late."""
        backend = self.preferred_backend(request)
        if backend is None:
            return 0.0
        return 0.5 * self.limits.service_time(backend, request.request_class)
