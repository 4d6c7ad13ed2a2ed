"""Places an extent at a shard by its first write and keeps concurrent first writes on the same shard.

The place is pending until a write that may have run makes it final. If every attempt of the extent's writes
has ended without having run, the place is released: the writes still open may go to any shard again.
"""

from collections.abc import Callable
from enum import Enum

from gorsethread.gateway.attempts import Attempt
from gorsethread.gateway.interfaces import UNPLACED, Extent, Placement


class PlacementCheck(Enum):
    """How an attempt of a write at a shard relates to where its extent is placed."""

    BELONGS = "belongs"  # the extent is at this shard
    FIRST_WRITE = "first write"  # it will be at this shard if this first write, or another in flight, runs
    ELSEWHERE = "elsewhere"  # it is at another shard


class PendingPlace:
    """An extent that no write may have reached yet, and the open writes to it.

    Attributes:
        shard: Where the attempts in flight are sent; UNPLACED without any.
        durable: Whether the place has been made durable.
        in_flight: The attempts of its writes, from the decision to send them until their end.
        requests: The ids of its open writes, in the order of their admission.
    """

    __slots__ = ("shard", "durable", "in_flight", "requests")

    def __init__(self) -> None:
        self.shard = UNPLACED
        self.durable = False
        self.in_flight: set[Attempt] = set()
        self.requests: dict[int, None] = {}


class FirstWrites:
    """The extents that are being placed.

    pending holds an entry for each extent with open writes of which none may have run, until one may have run
    or the last of them has been closed. It is bounded by the open requests.

    Args:
        placement: The table of places.
        on_shard_changed: Called with an open write's id and the shard that it has to go to from now on, or
            UNPLACED if it may go to any.
    """

    def __init__(self, placement: Placement, on_shard_changed: Callable[[int, int], None]) -> None:
        self.placement = placement
        self.pending: dict[Extent, PendingPlace] = {}
        self._on_shard_changed = on_shard_changed

    def admitted(self, extent: Extent, request: int, shard: int) -> None:
        """Records a write that was admitted for a shard, or UNPLACED: it joins those that keep the place."""
        pending = self.pending.get(extent)
        if pending is None:
            if shard != UNPLACED:
                return
            pending = self.pending[extent] = PendingPlace()
        pending.requests[request] = None

    def begin(self, extent: Extent, shard: int, attempt: Attempt) -> PlacementCheck:
        """Checks a write that is about to be sent to the shard, and places its extent if it has no place.

        A call that returns FIRST_WRITE has to be followed by one of ended().
        """
        owner = self.placement.shard_of(*extent)
        if owner == UNPLACED:
            self._place(extent, shard)
        elif owner != shard:
            return PlacementCheck.ELSEWHERE
        pending = self.pending.get(extent)
        if pending is None or pending.shard != shard:
            return PlacementCheck.BELONGS
        pending.in_flight.add(attempt)
        return PlacementCheck.FIRST_WRITE

    def _place(self, extent: Extent, shard: int) -> None:
        self.placement.placed(*extent, shard)
        pending = self.pending.setdefault(extent, PendingPlace())
        pending.shard = shard
        self._notify(pending, shard)

    def ended(self, extent: Extent, attempt: Attempt, may_have_run: bool) -> bool:
        """Records the end of a first write; returns whether the extent was released, as none has run."""
        pending = self.pending.get(extent)
        if pending is None:
            return False
        pending.in_flight.discard(attempt)
        if may_have_run:
            del self.pending[extent]
            return False
        if pending.in_flight or pending.shard == UNPLACED:
            return False
        self.placement.released(*extent)
        pending.shard = UNPLACED
        pending.durable = False
        self._notify(pending, UNPLACED)
        return True

    def located(self, extent: Extent, shard: int) -> None:
        """Records the shard of an extent that was written through another gateway: its place is final."""
        self.placement.placed(*extent, shard)
        pending = self.pending.pop(extent, None)
        if pending is not None:
            self._notify(pending, shard)

    def closed(self, extent: Extent, request: int) -> None:
        """Records that a write is answered and none of its attempts is in flight any more."""
        pending = self.pending.get(extent)
        if pending is None:
            return
        pending.requests.pop(request, None)
        if not pending.requests and not pending.in_flight:
            del self.pending[extent]

    def is_written(self, extent: Extent) -> bool:
        """Returns whether a write of the extent may have run."""
        return extent not in self.pending and self.placement.shard_of(*extent) != UNPLACED

    def is_durable(self, extent: Extent) -> bool:
        """Returns whether a write of the extent need not wait until its place is durable."""
        pending = self.pending.get(extent)
        return pending is None or pending.durable

    def made_durable(self, extent: Extent) -> None:
        """Records that the extent's place is durable."""
        pending = self.pending.get(extent)
        if pending is not None:
            pending.durable = True

    def _notify(self, pending: PendingPlace, shard: int) -> None:
        for request in pending.requests:
            self._on_shard_changed(request, shard)
