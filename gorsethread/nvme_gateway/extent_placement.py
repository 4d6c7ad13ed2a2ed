"""Maps extents to shards, as far as this gateway knows them.

A versioned extent map is to replace this module.
"""

import sys
from collections import OrderedDict

from gorsethread.gateway.interfaces import UNPLACED
from gorsethread.site_config import site_pb2 as pb

MAX_EXTENTS = 1 << 20  # extents remembered; the least recently used are forgotten first


class SitePlacement:
    """The shard of each extent: by the site file for fixed volumes, by the first write for others.

    Placements by first write are kept in memory, at most max_extents of them.
    """

    def __init__(self, site: pb.Site, max_extents: int = MAX_EXTENTS) -> None:
        self._fixed = {v.number: tuple(v.shard) for v in site.volume if v.placement == pb.FIXED}
        self._written: OrderedDict[tuple[int, int], int] = OrderedDict()
        self._max_extents = max_extents

    def shard_of(self, volume: int, extent: int) -> int:
        """Returns the shard of an extent, or UNPLACED."""
        if shards := self._fixed.get(volume):
            return shards[extent % len(shards)]
        shard = self._written.get((volume, extent), UNPLACED)
        if shard != UNPLACED:
            self._written.move_to_end((volume, extent))
        return shard

    def placed(self, volume: int, extent: int, shard: int) -> None:
        """Records the shard of an extent that its first write has chosen."""
        if volume not in self._fixed:
            self._written[(volume, extent)] = shard
            if len(self._written) > self._max_extents:
                self._written.popitem(last=False)

    def known(self, placed: dict[tuple[int, int], int]) -> None:
        """Adds the placements that a recovered log holds; those made since the start take precedence.

        From now on no placement is forgotten: the log bounds them by the number of the volumes' extents.
        """
        self._max_extents = sys.maxsize
        for extent, shard in placed.items():
            if extent[0] not in self._fixed:
                self._written.setdefault(extent, shard)

    def released(self, volume: int, extent: int) -> None:
        """Forgets an extent's placement; its first write did not run."""
        self._written.pop((volume, extent), None)
