"""Limits how fast a volume may send: by a rate limit, and by pacing towards backends with limited rates."""

from gorsethread.scheduling.model import Request, SchedulerSettings, TokenBucket, Volume
from gorsethread.scheduling.timers import REEVALUATION_DELAY, Timers

UNLIMITED = float("inf")
PACING_REQUESTS = 1.5  # size of a pacing bucket in largest requests, plus the units of one second


class RateLimits:
    """Applies the rate limit of each volume's service tier by a token bucket.

    The bucket is stored in the volume and is empty when the gateway starts.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._largest_request_units = settings.largest_request_units

    def initial_bucket(self) -> TokenBucket:
        """Returns the bucket of a new volume; it has been filling since the gateway's start."""
        return TokenBucket(0.0, self._timers.started_at)

    def units_left(self, volume: Volume) -> float:
        """Returns the units that the volume may send now, infinity without a rate limit."""
        bucket = volume.bucket
        if not volume.tier.rate_limit:
            bucket.filled_at = self._timers.now
            return UNLIMITED
        self._refill(volume)
        if bucket.level < self._largest_request_units:
            self._timers.reevaluate_soon()
        return bucket.level

    def _refill(self, volume: Volume) -> None:
        bucket = volume.bucket
        elapsed = self._timers.now - bucket.filled_at
        filled = bucket.level + elapsed * volume.tier.rate_limit / volume.gateways
        bucket.level = min(volume.tier.burst / volume.gateways, filled)
        bucket.filled_at = self._timers.now

    def spend(self, request: Request) -> None:
        """Subtracts the units of a request whose first attempt is sent."""
        if request.volume.tier.rate_limit:
            request.volume.bucket.level -= request.units

    def is_idle(self, volume: Volume, idle_after: float) -> bool:
        """Returns whether the bucket is full and has not been used for idle_after seconds."""
        return self._timers.now - volume.bucket.filled_at > idle_after and self.is_full(volume)

    def is_full(self, volume: Volume) -> bool:
        """Returns whether the bucket is full, as that of a new volume is after a while."""
        if not volume.tier.rate_limit:
            return True
        self._refill(volume)
        return volume.bucket.level >= volume.tier.burst / volume.gateways

    def is_short_of_units(self, request: Request) -> bool:
        """Returns whether the bucket, as last refilled, has too few units for the request's first attempt."""
        volume = request.volume
        return bool(volume.tier.rate_limit) and not request.attempts and volume.bucket.level < request.units


class Pacing:
    """Paces requests to a backend whose concurrency limit is below one slot per gateway.

    The pacing buckets, by shard, are stored in the volume. The rate per unit of weight is the same at every
    gateway, so volumes are limited equally, however many gateways they use.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._burst = PACING_REQUESTS * settings.largest_request_units
        self._highest_weight = max(rc.priority_weight for rc in settings.request_classes) or 1.0
        tiers = settings.service_tiers
        # Units per second that a unit of weight is expected to request.
        self.expected_rate = sum(tier.expected_rate / tier.weight for tier in tiers) / len(tiers)

    def admits(self, request: Request, rate: float, units_chosen: float) -> bool:
        """Returns whether pacing allows a request to go to its backend now.

        rate: the backend's, see ConcurrencyLimits; units_chosen: units of the volume already chosen.
        """
        volume = request.volume
        tier = volume.tier
        reserved = tier.reservation * min(1.0, rate)
        fill_rate = (reserved + tier.weight * self.expected_rate * rate) / volume.gateways
        if fill_rate <= 0.0:
            return True
        capacity = self._burst + fill_rate
        level = self._level(volume, request.shard, capacity, fill_rate)
        # Requests of low priority leave a part of the bucket to those of high priority.
        reserved_for_others = (capacity - fill_rate) * (
            1.0 - request.request_class.priority_weight / self._highest_weight
        )
        shortage = min(capacity, request.units + reserved_for_others) + units_chosen - level
        if shortage > 0.0 and self._timers.now + shortage / fill_rate < request.objective_ends:
            self._timers.reevaluate_by(self._timers.now + max(REEVALUATION_DELAY, shortage / fill_rate))
        return shortage <= 0.0

    def _level(self, volume: Volume, shard: int, capacity: float, fill_rate: float) -> float:
        """Refills the volume's bucket for a shard, creating it full; returns its level."""
        now = self._timers.now
        bucket = volume.pacing.get(shard)
        if bucket is None:
            volume.pacing[shard] = TokenBucket(capacity, now)
            return capacity
        bucket.level = min(capacity, bucket.level + fill_rate * (now - bucket.filled_at))
        bucket.filled_at = now
        return bucket.level

    def spend(self, request: Request) -> None:
        """Subtracts the units of a request whose first attempt is sent."""
        bucket = request.volume.pacing.get(request.shard)
        if bucket is not None:
            bucket.level -= request.units
