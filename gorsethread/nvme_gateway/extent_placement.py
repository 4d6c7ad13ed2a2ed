"""Where an extent lives, as one head knows it. A versioned extent map will take this place."""

import sys
from collections import OrderedDict

from gorsethread.gateway.interfaces import UNPLACED
from gorsethread.site_config import site_pb2 as pb

REMEMBERED_MOST = 1 << 20  # extents; the least used are forgotten first


class SitePlacement:
    """Fixed volumes by the site file; others by first write, remembered for this life of the head."""

    def __init__(self, site: pb.Site, most: int = REMEMBERED_MOST) -> None:
        self._fixed = {v.number: tuple(v.shard) for v in site.volume if v.placement == pb.FIXED}
        self._written: OrderedDict[tuple[int, int], int] = OrderedDict()
        self._most = most

    def shard_of(self, volume: int, extent: int) -> int:
        if shards := self._fixed.get(volume):
            return shards[extent % len(shards)]
        shard = self._written.get((volume, extent), UNPLACED)
        if shard != UNPLACED:
            self._written.move_to_end((volume, extent))
        return shard

    def placed(self, volume: int, extent: int, shard: int) -> None:
        if volume not in self._fixed:
            self._written[(volume, extent)] = shard
            if len(self._written) > self._most:
                self._written.popitem(last=False)

    def known(self, placed: dict[tuple[int, int], int]) -> None:
        """Of an earlier life, by its records; what this life placed stays. From now on nothing is forgotten,
        as records are bounded by the volumes' extents."""
        self._most = sys.maxsize
        for place, shard in placed.items():
            if place[0] not in self._fixed:
                self._written.setdefault(place, shard)

    def released(self, volume: int, extent: int) -> None:
        self._written.pop((volume, extent), None)
