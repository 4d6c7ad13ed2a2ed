"""Fair queueing of volumes by virtual time, after LexAS in its DUaL variant.

See Gulati and Varman, "Lexicographic QoS Scheduling for Parallel I/O", sections 3.1 and 4.3.2. The paper's
flows are volumes here and its disks are backends.
"""

from bisect import insort
from collections.abc import Callable, Iterable
from itertools import islice

from gorsethread.scheduling.model import Request, RequestReceived, ServiceTier, TokenBucket, Volume
from gorsethread.scheduling.timers import Timers

VOLUMES_MAX = 16_384  # volumes of their own; the requests of further ones share a volume for each tier
SHARED_VOLUME = "*"
ROOM_SEARCH_MAX = 8  # volumes looked at, to make room for a new one
FORGETTABLE_LEAD = 0.01  # units per unit of weight
FADE_INTERVAL = 0.5  # seconds
FADE_HALF_LIFE = 1.0  # seconds in which a lead or lag halves, since value is counted per second


def dispatch_order(request: Request) -> tuple[bool, float, float, int]:
    """Returns the sort key of a volume's requests.

    Requests that can meet their objective come first, then the highest priority per unit, then the earliest
    objective.
    """
    priority = -request.request_class.priority_weight / max(request.units, 1.0)
    return (request.late, priority, request.objective_ends, request.order)


class FairQueueing:
    """Holds the volumes, their queues by shard, and the minimum virtual time of the busy volumes.

    A volume is busy while it has requests waiting or attempts in flight. An idle volume is kept until
    forget(). Beyond VOLUMES_MAX, or max_volumes if that is lower, unknown volumes of a tier share one, and
    its part and rate limit. The newly runnable volumes are those with a new request since the last search;
    search_done() clears them.
    """

    def __init__(self, timers: Timers, max_volumes: int | None = None) -> None:
        self._timers = timers
        self._max_volumes = max_volumes
        self.volumes: dict[str, Volume] = {}
        self.busy: dict[str, Volume] = {}
        self.minimum_virtual_time = 0.0  # units per unit of weight
        self._newly_runnable: dict[str, Volume] = {}
        self._capacity_changed = True
        self._waiting: dict[int, int] = {}  # number of waiting requests by shard, one entry per shard at most
        self._faded_at = timers.started_at

    def volume_of(
        self, received: RequestReceived, tier: ServiceTier, initial_bucket: Callable[[], TokenBucket]
    ) -> Volume:
        """Returns the volume of a request; creates it with initial_bucket() if it is unknown.

        Volumes with the same name in different tiers belong to different tenants.
        """
        name = received.volume
        volume = self.volumes.get(f"{received.service_tier}/{name}")
        if volume is None and self.is_full():
            name = SHARED_VOLUME
            volume = self.volumes.get(f"{received.service_tier}/{name}")
        if volume is None:
            id = f"{received.service_tier}/{name}"
            service_received = self.minimum_virtual_time * tier.weight
            volume = Volume(id, name, tier, service_received, received.gateways, initial_bucket())
            self.volumes[id] = volume
        volume.gateways = received.gateways
        return volume

    def is_known(self, received: RequestReceived) -> bool:
        """Returns whether a request's volume has state of its own."""
        return f"{received.service_tier}/{received.volume}" in self.volumes

    def is_full(self) -> bool:
        """Returns whether an unknown volume gets no state of its own."""
        bound = VOLUMES_MAX if self._max_volumes is None else min(VOLUMES_MAX, self._max_volumes)
        return len(self.volumes) >= bound

    def room_candidates(self) -> list[Volume]:
        """Returns idle volumes that lose and gain nothing in their order by being forgotten.

        Each call looks at the next ROOM_SEARCH_MAX volumes, in turn.
        """
        looked_at = list(islice(self.volumes.values(), ROOM_SEARCH_MAX))
        for volume in looked_at:
            self.volumes[volume.id] = self.volumes.pop(volume.id)
        return [volume for volume in looked_at if self._is_forgettable(volume)]

    def _is_forgettable(self, volume: Volume) -> bool:
        if volume.open_requests:
            return False
        lead = volume.service_received / volume.tier.weight - self.minimum_virtual_time
        return lead <= FORGETTABLE_LEAD and not volume.pacing

    def enqueue(self, request: Request) -> None:
        """Queues a request; raises an idle volume to the minimum virtual time (DUaL, section 4.3.2)."""
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
        """Recomputes the minimum virtual time; it is kept while no volume is busy."""
        if self.busy:
            self.minimum_virtual_time = min(
                volume.service_received / volume.tier.weight for volume in self.busy.values()
            )

    def dequeue(self, request: Request) -> None:
        """Removes a request from its queue, if it is waiting."""
        if not request.waiting:
            return
        request.waiting = False
        volume = request.volume
        queue = volume.queues[request.shard]
        queue.remove(request)
        self._waiting[request.shard] -= 1
        if not queue:
            del volume.queues[request.shard]
        self._mark_idle_if_done(volume)

    def _mark_idle_if_done(self, volume: Volume) -> None:
        if not volume.queues and not volume.in_flight:
            self.busy.pop(volume.id, None)

    def demote(self, request: Request) -> None:
        """Moves a waiting request that can no longer meet its objective behind those that can."""
        self.dequeue(request)
        request.late = True
        self.enqueue(request)

    def move(self, request: Request, shard: int) -> None:
        """Changes a request's shard, and its queue if it is waiting."""
        was_waiting = request.waiting
        self.dequeue(request)
        request.shard = shard
        if was_waiting:
            self.enqueue(request)

    def attempt_sent(self, request: Request) -> None:
        """Dequeues a request and counts its attempt; a first attempt counts as service received."""
        if request.attempts == 0:
            request.volume.service_received += request.units
        request.in_flight += 1
        request.volume.in_flight += 1
        self.dequeue(request)

    def attempt_ended(self, request: Request, units_elsewhere: float) -> None:
        """Counts the end of an attempt.

        units_elsewhere: units that other gateways sent for the volume; they count as service received here.
        """
        volume = request.volume
        request.in_flight -= 1
        volume.in_flight -= 1
        volume.service_received += units_elsewhere
        self._mark_idle_if_done(volume)

    def waiting_for(self, shard: int) -> int:
        """Returns how many requests are waiting for a shard."""
        return self._waiting.get(shard, 0)

    def capacity_changed(self) -> None:
        """Makes the next search cover every busy volume, since backends may have free slots now."""
        self._capacity_changed = True

    def volumes_to_search(self) -> list[Volume]:
        """Returns the volumes for which the next search may find a backend.

        A new request does not help other volumes: the last search found no backend for them.
        """
        volumes = self.busy if self._capacity_changed else self._newly_runnable
        return list(volumes.values())

    def search_needed(self) -> bool:
        """Returns whether a request was queued or the capacity changed since the last search."""
        return self._capacity_changed or bool(self._newly_runnable)

    def search_done(self) -> None:
        """Records that a search has been done: none is needed until the next change."""
        self._capacity_changed = False
        self._newly_runnable.clear()

    def fade_due(self) -> bool:
        """Returns whether fade() is due."""
        return self._timers.now - self._faded_at >= FADE_INTERVAL

    def fade(self) -> None:
        """Decays how far each volume's virtual time is ahead of or behind the minimum."""
        self._update_minimum()
        minimum = self.minimum_virtual_time
        elapsed = self._timers.now - self._faded_at
        for volume in self.volumes.values():
            weight = volume.tier.weight
            lead = volume.service_received / weight - minimum
            volume.service_received = (minimum + lead * 0.5 ** (elapsed / FADE_HALF_LIFE)) * weight
        self._faded_at = self._timers.now

    def idle_volumes(self) -> Iterable[Volume]:
        """Returns the volumes without open requests."""
        return [volume for volume in self.volumes.values() if not volume.open_requests]

    def forget(self, volume: Volume) -> None:
        """Removes an idle volume."""
        del self.volumes[volume.id]
