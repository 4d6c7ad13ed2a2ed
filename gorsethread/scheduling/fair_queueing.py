"""Fair queueing of volumes by virtual time, after LexAS in its DUaL variant.

Gulati and Varman, "Lexicographic QoS Scheduling for Parallel I/O", sections 3.1 and 4.3.2. A flow there is a
volume here, a disk a backend.
"""

from bisect import insort
from collections.abc import Callable, Iterable

from gorsethread.scheduling.model import Request, RequestReceived, ServiceTier, TokenBucket, Volume
from gorsethread.scheduling.timers import Timers

FADE_INTERVAL = 0.5  # seconds
FADE_HALF_LIFE = 1.0  # seconds in which a lead or lag halves: value is counted by the second


def dispatch_order(request: Request) -> tuple[bool, float, float, int]:
    """Sorts a volume's requests: in time first, then by priority a unit, then by the nearest objective."""
    priority = -request.request_class.priority_weight / max(request.units, 1.0)
    return (request.late, priority, request.objective_ends, request.order)


class FairQueueing:
    """The volumes, their queues by shard, and the minimum virtual time of the busy ones.

    A volume is busy while it has requests waiting or in flight. An idle one stays until forget(). The newly
    runnable volumes are those that got a request since the last search, which search_done() empties.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self.volumes: dict[str, Volume] = {}
        self.busy: dict[str, Volume] = {}
        self.minimum_virtual_time = 0.0  # units a unit of weight
        self._newly_runnable: dict[str, Volume] = {}
        self._capacity_changed = True
        self._waiting: dict[int, int] = {}  # requests by shard; no more entries than shards
        self._faded_at = timers.started_at

    def volume_of(
        self, taken: RequestReceived, tier: ServiceTier, first_bucket: Callable[[], TokenBucket]
    ) -> Volume:
        """Returns the volume of a request, new with such a bucket if it is not known.

        Volumes of the same name in different tiers are different tenants'.
        """
        id = f"{taken.service_tier}/{taken.volume}"
        volume = self.volumes.get(id)
        if volume is None:
            received = self.minimum_virtual_time * tier.weight
            volume = Volume(id, taken.volume, tier, received, taken.gateways, first_bucket())
            self.volumes[id] = volume
        volume.gateways = taken.gateways
        return volume

    def enqueue(self, request: Request) -> None:
        """A request waits for an attempt; wakes its volume at the minimum virtual time (DUaL, 4.3.2)."""
        volume = request.volume
        if volume.id not in self.busy:
            self._update_minimum()
            weight = volume.tier.weight
            volume.service_received = max(volume.service_received, self.minimum_virtual_time * weight)
            self.busy[volume.id] = volume
        request.waiting = True
        self._newly_runnable[volume.id] = volume
        insort(volume.queues.setdefault(request.shard, []), request, key=dispatch_order)
        self._waiting[request.shard] = self._waiting.get(request.shard, 0) + 1

    def _update_minimum(self) -> None:
        """Without a busy volume, the last minimum stands."""
        if self.busy:
            self.minimum_virtual_time = min(
                volume.service_received / volume.tier.weight for volume in self.busy.values()
            )

    def dequeue(self, request: Request) -> None:
        """A request does not wait any more, if it did."""
        if not request.waiting:
            return
        request.waiting = False
        volume = request.volume
        queue = volume.queues[request.shard]
        queue.remove(request)
        self._waiting[request.shard] -= 1
        if not queue:
            del volume.queues[request.shard]
        self._leave_if_idle(volume)

    def _leave_if_idle(self, volume: Volume) -> None:
        if not volume.queues and not volume.in_flight:
            self.busy.pop(volume.id, None)

    def demote(self, request: Request) -> None:
        """A waiting request can no longer meet its objective: it goes after those that can."""
        self.dequeue(request)
        request.late = True
        self.enqueue(request)

    def attempt_sent(self, request: Request) -> None:
        """A waiting request has an attempt in flight; the first one counts as service received."""
        if request.attempts == 0:
            request.volume.service_received += request.units
        request.in_flight += 1
        request.volume.in_flight += 1
        self.dequeue(request)

    def attempt_ended(self, request: Request, units_elsewhere: float) -> None:
        """An attempt is over; units that other gateways sent for the volume count as if sent here."""
        volume = request.volume
        request.in_flight -= 1
        volume.in_flight -= 1
        volume.service_received += units_elsewhere
        self._leave_if_idle(volume)

    def waiting_for(self, shard: int) -> int:
        """Returns how many requests wait for a shard."""
        return self._waiting.get(shard, 0)

    def capacity_changed(self) -> None:
        """Every busy volume may find a backend now, which none of them did before."""
        self._capacity_changed = True

    def volumes_to_search(self) -> list[Volume]:
        """Returns the volumes that may find a backend now.

        A new request changes nothing for other volumes, which found none just before.
        """
        found = self.busy if self._capacity_changed else self._newly_runnable
        return list(found.values())

    def search_needed(self) -> bool:
        """Whether anything has changed since the last search."""
        return self._capacity_changed or bool(self._newly_runnable)

    def search_done(self) -> None:
        """What could be sent has been sent."""
        self._capacity_changed = False
        self._newly_runnable.clear()

    def fade_due(self) -> bool:
        """Whether fade() is due."""
        return self._timers.now - self._faded_at >= FADE_INTERVAL

    def fade(self) -> None:
        """Lets volumes' leads and lags over the minimum virtual time fade."""
        self._update_minimum()
        minimum = self.minimum_virtual_time
        elapsed = self._timers.now - self._faded_at
        for volume in self.volumes.values():
            weight = volume.tier.weight
            lead = volume.service_received / weight - minimum
            volume.service_received = (minimum + lead * 0.5 ** (elapsed / FADE_HALF_LIFE)) * weight
        self._faded_at = self._timers.now

    def idle_volumes(self) -> Iterable[Volume]:
        """Returns the volumes with nothing waiting or in flight."""
        return [volume for id, volume in self.volumes.items() if id not in self.busy]

    def forget(self, volume: Volume) -> None:
        """Forgets an idle volume."""
        del self.volumes[volume.id]
