"""Ranks the backends that serve shards for each volume by rendezvous hashing.

The hash is computed from ids that all gateways share, so every gateway gets the same ranking. In large fleets
a change of one backend must not cause a new ranking of all others. A ranking is therefore updated with the
changes since its last update.
"""

from array import array
from bisect import bisect_left
from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from gorsethread.scheduling.model import Backend

CHANGES_KEPT = 1024
MAX_CHANGES_APPLIED_PART = 0.25  # of the backends; after more changes, ranking all of them costs less
POSITION_BYTES = 8
POSITIONS_MAX = 1 << 18  # in all rankings together; the least recently used rankings are dropped


class Change(NamedTuple):
    """A backend that was added to the ranked backends or removed from them."""

    backend: Backend
    added: bool


@dataclass(slots=True)
class _Ranking:
    """The ranking of one volume.

    backends: in ascending order of their positions; positions: the hashes of the backends, in the same order;
    changes_seen: the number of changes applied, counted since the start; -1 before the first ranking.
    """

    volume_name: str
    backends: list[Backend] = field(default_factory=list)
    positions: "array[int]" = field(default_factory=lambda: array("Q"))
    changes_seen: int = -1

    def rank_all(self, backends: Mapping[int, Backend]) -> None:
        """Computes the ranking of the given backends (by shard) from scratch."""
        unordered = list(backends.values())
        hashes = positions(self.volume_name, unordered)
        order = sorted(range(len(hashes)), key=hashes.__getitem__)
        self.positions = array("Q", [hashes[index] for index in order])
        self.backends = [unordered[index] for index in order]

    def apply(self, change: Change) -> None:
        """Inserts or removes one backend."""
        [position] = positions(self.volume_name, [change.backend])
        index = bisect_left(self.positions, position)
        if change.added:
            self.positions.insert(index, position)
            self.backends.insert(index, change.backend)
            return
        while self.backends[index] is not change.backend:  # skips other backends with the same hash
            index += 1
        del self.positions[index]
        del self.backends[index]


def positions(volume_name: str, backends: Iterable[Backend]) -> list[int]:
    """Returns the hash of each backend for a volume; the backend with the lowest hash ranks first."""
    prefix = blake2b(f"{volume_name}/".encode(), digest_size=POSITION_BYTES)
    hashes = []
    for backend in backends:
        digest = prefix.copy()
        digest.update(b"%d" % backend.id)
        hashes.append(int.from_bytes(digest.digest()))
    return hashes


class RendezvousRanking:
    """Ranks the backends in a table by shard, whose owner reports each change with added() or removed().

    Holds the latest CHANGES_KEPT changes, and the ranking of each requested volume until forget(), or until
    it is dropped because too many are held. A dropped ranking is computed again, with the same result.
    """

    def __init__(self, ranked: Mapping[int, Backend]) -> None:
        self._ranked = ranked
        self._changes: deque[Change] = deque(maxlen=CHANGES_KEPT)
        self._change_count = 0
        self._rankings: OrderedDict[str, _Ranking] = OrderedDict()  # by the volume's name

    def removed(self, backend: Backend) -> None:
        """Records that a backend no longer serves a shard."""
        self._record(Change(backend, added=False))

    def added(self, backend: Backend) -> None:
        """Records that a backend now serves a shard."""
        self._record(Change(backend, added=True))

    def _record(self, change: Change) -> None:
        self._changes.append(change)
        self._change_count += 1

    def backends_for(self, volume_name: str) -> list[Backend]:
        """Returns a volume's backends, the preferred one first; the caller must not change the list."""
        ranking = self._rankings.get(volume_name)
        if ranking is None:
            ranking = self._rankings[volume_name] = _Ranking(volume_name)
            self._drop_unused()
        else:
            self._rankings.move_to_end(volume_name)
        if ranking.changes_seen != self._change_count:
            self._update(ranking)
        return ranking.backends

    def _drop_unused(self) -> None:
        while len(self._rankings) > 1 and len(self._rankings) * len(self._ranked) > POSITIONS_MAX:
            self._rankings.popitem(last=False)

    def forget(self, volume_name: str) -> None:
        """Drops the ranking of a volume."""
        self._rankings.pop(volume_name, None)

    def _update(self, ranking: _Ranking) -> None:
        behind = self._change_count - ranking.changes_seen
        too_many = behind > min(len(self._changes), MAX_CHANGES_APPLIED_PART * len(self._ranked))
        if ranking.changes_seen < 0 or too_many:
            ranking.rank_all(self._ranked)
        else:
            for index in range(len(self._changes) - behind, len(self._changes)):
                ranking.apply(self._changes[index])
        ranking.changes_seen = self._change_count
