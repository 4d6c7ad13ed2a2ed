"""Ranks the backends that serve shards for each volume by rendezvous hashing.

The hash is taken over the ids that all gateways share, so every gateway ranks alike. In large fleets a
change of one backend must not rank all others again: a ranking is brought up to date by the changes since it
was made.
"""

from array import array
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from gorsethread.scheduling.model import Backend

CHANGES_KEPT = 1024
CHANGES_APPLIED_PART = 0.25  # of the backends: after more changes ranking anew costs less
POSITION_BYTES = 8


class Change(NamedTuple):
    """One step of the set of ranked backends."""

    backend: Backend
    joined: bool


@dataclass(slots=True)
class _Ranking:
    """One volume's ranking. positions: the hash of each backend, in the same ascending order."""

    volume_name: str
    backends: list[Backend] = field(default_factory=list)
    positions: "array[int]" = field(default_factory=lambda: array("Q"))
    changes_seen: int = -1  # of all changes ever; -1: not ranked yet

    def rank_all(self, backends: Mapping[int, Backend]) -> None:
        """Ranks the given backends (by shard) from nothing."""
        unordered = list(backends.values())
        found = positions(self.volume_name, unordered)
        order = sorted(range(len(found)), key=found.__getitem__)
        self.positions = array("Q", [found[index] for index in order])
        self.backends = [unordered[index] for index in order]

    def apply(self, change: Change) -> None:
        """Puts one backend in its place, or takes it out."""
        [position] = positions(self.volume_name, [change.backend])
        index = bisect_left(self.positions, position)
        if change.joined:
            self.positions.insert(index, position)
            self.backends.insert(index, change.backend)
            return
        while self.backends[index] is not change.backend:  # another of the same hash
            index += 1
        del self.positions[index]
        del self.backends[index]


def positions(volume_name: str, backends: Iterable[Backend]) -> list[int]:
    """The place of each backend in a volume's ranking: the lowest is first."""
    prefix = blake2b(f"{volume_name}/".encode(), digest_size=POSITION_BYTES)
    found = []
    for backend in backends:
        digest = prefix.copy()
        digest.update(b"%d" % backend.id)
        found.append(int.from_bytes(digest.digest()))
    return found


class RendezvousRanking:
    """Ranks the backends of a table by shard, which its owner changes and reports here.

    Holds the latest changes, CHANGES_KEPT at most, and a ranking of each volume asked about until forget().
    """

    def __init__(self, ranked: Mapping[int, Backend]) -> None:
        self._ranked = ranked
        self._changes: deque[Change] = deque(maxlen=CHANGES_KEPT)
        self._changes_ever = 0
        self._rankings: dict[str, _Ranking] = {}  # by the volume's name

    def left(self, backend: Backend) -> None:
        """The backend serves no shard any more."""
        self._record(Change(backend, joined=False))

    def joined(self, backend: Backend) -> None:
        """The backend serves a shard now."""
        self._record(Change(backend, joined=True))

    def _record(self, change: Change) -> None:
        self._changes.append(change)
        self._changes_ever += 1

    def of(self, volume_name: str) -> list[Backend]:
        """The volume's ranking, the preferred backend first; not to be changed."""
        ranking = self._rankings.get(volume_name)
        if ranking is None:
            ranking = self._rankings[volume_name] = _Ranking(volume_name)
        if ranking.changes_seen != self._changes_ever:
            self._bring_up_to_date(ranking)
        return ranking.backends

    def forget(self, volume_name: str) -> None:
        """Nobody asks about that volume for now."""
        self._rankings.pop(volume_name, None)

    def _bring_up_to_date(self, ranking: _Ranking) -> None:
        behind = self._changes_ever - ranking.changes_seen
        too_many = behind > min(len(self._changes), CHANGES_APPLIED_PART * len(self._ranked))
        if ranking.changes_seen < 0 or too_many:
            ranking.rank_all(self._ranked)
        else:
            for index in range(len(self._changes) - behind, len(self._changes)):
                ranking.apply(self._changes[index])
        ranking.changes_seen = self._changes_ever
