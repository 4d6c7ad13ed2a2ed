"""Names under their former module, until every importer has moved."""

from gorsethread.gateway.attempts import NOTHING, Attempt, Told
from gorsethread.gateway.interfaces import UNPLACED, Extent, Placement
from gorsethread.gateway.interfaces import PlacementLog as Keeper

Place = tuple[int, int]
__all__ = ["NOTHING", "UNPLACED", "Attempt", "Extent", "Keeper", "Place", "Placement", "Told"]
