"""Places an extent at a shard by its first write and keeps concurrent first writes on the same shard."""

from enum import Enum

from gorsethread.gateway.interfaces import UNPLACED, Extent, Placement
from gorsethread.scheduling.model import AttemptOutcome


class PlacementCheck(Enum):
    """How an attempt of a write at a shard relates to where its extent is placed."""

    BELONGS = "belongs"  # the extent is at this shard
    FIRST_WRITE = "first write"  # it will be at this shard if this first write, or another in flight, runs
    ELSEWHERE = "elsewhere"  # it is at another shard


class _PendingWrites:
    """The first writes of one extent that are in flight, and whether any of them may have run."""

    __slots__ = ("in_flight", "may_have_run")

    def __init__(self) -> None:
        self.in_flight = 0
        self.may_have_run = False


class FirstWrites:
    """Places an extent when its first write is sent, and releases it if no first write has run.

    pending holds an entry for each extent with a first write in flight, until the last of these has ended.
    """

    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self.pending: dict[Extent, _PendingWrites] = {}

    def begin(self, extent: Extent, shard: int) -> PlacementCheck:
        """Checks a write that is about to be sent to the shard, and places its extent if it has no place.

        A call that returns FIRST_WRITE has to be followed by one of ended().
        """
        owner = self.placement.shard_of(*extent)
        if owner == UNPLACED:
            self.placement.placed(*extent, shard)
            self.pending[extent] = _PendingWrites()
        elif owner != shard:
            return PlacementCheck.ELSEWHERE
        pending = self.pending.get(extent)
        if pending is None:
            return PlacementCheck.BELONGS
        pending.in_flight += 1
        return PlacementCheck.FIRST_WRITE

    def ended(self, extent: Extent, outcome: AttemptOutcome) -> bool:
        """Records the end of a first write; returns whether the extent was released, as none has run."""
        pending = self.pending[extent]
        pending.in_flight -= 1
        pending.may_have_run = pending.may_have_run or not outcome.never_ran
        if pending.in_flight:
            return False
        del self.pending[extent]
        if pending.may_have_run:
            return False
        self.placement.released(*extent)
        return True
