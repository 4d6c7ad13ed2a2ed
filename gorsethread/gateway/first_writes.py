"""First writes of extents: which shard an extent gets, and that two first writes do not part it."""

from enum import Enum

from gorsethread.gateway.interfaces import UNPLACED, Extent, Placement
from gorsethread.scheduling.model import AttemptOutcome


class PlacementCheck(Enum):
    """What placement says of an attempt of a write at a shard."""

    BELONGS = "belongs"  # the extent is there already
    FIRST_WRITE = "first write"  # the extent is there only if this write, or another one under way, runs
    ELSEWHERE = "elsewhere"


class _Pending:
    """First writes of one extent that are under way, and whether one may have run."""

    __slots__ = ("in_flight", "may_have_run")

    def __init__(self) -> None:
        self.in_flight = 0
        self.may_have_run = False


class FirstWrites:
    """Places extents as first writes go, and takes that back where none has run.

    pending holds an entry for each extent with a first write in flight, until the last of these has ended.
    """

    def __init__(self, placement: Placement) -> None:
        self.placement = placement
        self.pending: dict[Extent, _Pending] = {}

    def begin(self, extent: Extent, shard: int) -> PlacementCheck:
        """An attempt of a write is about to go to the shard; FIRST_WRITE has to be followed by ended()."""
        owner = self.placement.shard_of(*extent)
        if owner == UNPLACED:
            self.placement.placed(*extent, shard)
            self.pending[extent] = _Pending()
        elif owner != shard:
            return PlacementCheck.ELSEWHERE
        pending = self.pending.get(extent)
        if pending is None:
            return PlacementCheck.BELONGS
        pending.in_flight += 1
        return PlacementCheck.FIRST_WRITE

    def ended(self, extent: Extent, outcome: AttemptOutcome) -> bool:
        """A first write has ended. Returns whether the extent was released: none of its writes has run."""
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
