"""How fast a volume may send: the token bucket of its rate limit, and pacing towards limited backends."""

from gorsethread.scheduling.model import Request, SchedulerSettings, TokenBucket, Volume
from gorsethread.scheduling.timers import REEVALUATION_DELAY, Timers

UNLIMITED = float("inf")
PACING_REQUESTS = 1.5  # largest requests that a pacing bucket holds, beyond the units of one second


class RateLimits:
    """Fills and empties each volume's token bucket, which ends with the volume; it is empty at a start."""

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._largest_request_units = settings.largest_request_units

    def first_bucket(self) -> TokenBucket:
        """Returns the bucket of a volume that this gateway has not seen lately."""
        return TokenBucket(0.0, self._timers.started_at)

    def units_left(self, volume: Volume) -> float:
        """Returns the units that the volume may send now."""
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
        """A request's first attempt is sent."""
        if request.volume.tier.rate_limit:
            request.volume.bucket.level -= request.units

    def is_idle(self, volume: Volume, idle_after: float) -> bool:
        """Whether the bucket was not asked for so many seconds and is full."""
        if self._timers.now - volume.bucket.filled_at <= idle_after:
            return False
        self._refill(volume)
        return volume.bucket.level >= volume.tier.burst / volume.gateways

    def is_short_of_units(self, request: Request) -> bool:
        """Whether the rate limit allows less than the request's units, as last filled."""
        volume = request.volume
        return bool(volume.tier.rate_limit) and not request.attempts and volume.bucket.level < request.units


class Pacing:
    """Spreads volumes' requests to a backend whose concurrency limit is below one slot a gateway.

    Fills and empties each volume's pacing buckets by shard, which end with the volume. The rate is the same
    for a unit of weight at every gateway, so volumes are held back alike, however many gateways they use.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self._most_held = PACING_REQUESTS * settings.largest_request_units
        self._highest_weight = max(one.priority_weight for one in settings.request_classes) or 1.0
        tiers = settings.service_tiers
        # Units a second that a unit of weight is expected to ask for.
        self.expected_rate = sum(tier.expected_rate / tier.weight for tier in tiers) / len(tiers)

    def admits(self, request: Request, rate: float, units_chosen: float) -> bool:
        """Whether a request may go to a backend of that rate, after so many units of its volume."""
        volume = request.volume
        tier = volume.tier
        reserved = tier.reservation * min(1.0, rate)
        fill_rate = (reserved + tier.weight * self.expected_rate * rate) / volume.gateways
        if fill_rate <= 0.0:
            return True
        most = self._most_held + fill_rate
        level = self._level(volume, request.shard, most, fill_rate)
        # Requests of low priority leave a part of the bucket to those of high priority.
        kept_back = (most - fill_rate) * (1.0 - request.request_class.priority_weight / self._highest_weight)
        short = min(most, request.units + kept_back) + units_chosen - level
        if short > 0.0 and self._timers.now + short / fill_rate < request.objective_ends:
            self._timers.reevaluate_by(self._timers.now + max(REEVALUATION_DELAY, short / fill_rate))
        return short <= 0.0

    def _level(self, volume: Volume, shard: int, most: float, fill_rate: float) -> float:
        now = self._timers.now
        bucket = volume.pacing.get(shard)
        if bucket is None:
            volume.pacing[shard] = TokenBucket(most, now)
            return most
        bucket.level = min(most, bucket.level + fill_rate * (now - bucket.filled_at))
        bucket.filled_at = now
        return bucket.level

    def spend(self, request: Request) -> None:
        """A request's first attempt is sent."""
        bucket = request.volume.pacing.get(request.shard)
        if bucket is not None:
            bucket.level -= request.units
