"""A bounded cache of objects that are written once, and one fill at a time for each. Pure.

Who carries it fetches what it decides. Only objects of volumes that are written once may be put in, so
nothing in it is ever stale.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Generic, NamedTuple, TypeVar

from cachetools import LRUCache

from gorsethread.bandwidth_credits.fill_scheduling import CacheFill

Waiter = TypeVar("Waiter")
PENDING_FILLS_MAX = 256  # what is over is read at its own shard, and not kept
HOLDERS_TRIED_MAX = 3  # of one fill
LARGEST_OBJECT_PART = 10  # an object of more than the cache's size divided by this is not kept


class FillDecision(Enum):
    """What becomes of a wish for an object that is not cached."""

    FETCH = auto()  # the fill is to be fetched
    WAIT = auto()  # one is pending; the waiter comes back with it
    READ_DIRECTLY = auto()  # no holder or no capacity; the waiter reads by itself


@dataclass
class PendingFill(Generic[Waiter]):
    """A fill that is fetched, and who waits for it."""

    fill: CacheFill
    waiters: list[Waiter] = field(default_factory=list)


class CacheStatistics(NamedTuple):
    """Counts of a cache; hits and misses since its begin."""

    objects: int
    bytes: int
    hits: int
    misses: int
    pending: int


class ObjectCache(Generic[Waiter]):
    """Owns cached objects, the least recently used dropped first, and pending fills until each ends.

    Attributes:
        capacity: Bytes of all objects.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.pending: dict[str, PendingFill[Waiter]] = {}
        self._objects: LRUCache[Hashable, bytes] = LRUCache(capacity, getsizeof=len)
        self._hits = 0
        self._misses = 0

    def get(self, name: str) -> bytes | None:
        """An object, where it is cached."""
        found = self._objects.get(name)
        if found is None:
            self._misses += 1
        else:
            self._hits += 1
        return found

    def request_fill(self, fill: CacheFill, waiter: Waiter) -> FillDecision:
        """A waiter wants an object that is not cached."""
        known = self.pending.get(fill.object_name)
        if known is not None:
            known.waiters.append(waiter)
            return FillDecision.WAIT
        if len(self.pending) >= PENDING_FILLS_MAX or not fill.holders:
            return FillDecision.READ_DIRECTLY
        self.pending[fill.object_name] = PendingFill(fill, [waiter])
        return FillDecision.FETCH

    def fill_succeeded(self, name: str, data: bytes) -> Sequence[Waiter]:
        """An object came; who waited for it."""
        known = self.pending.pop(name, None)
        if len(data) <= self.capacity // LARGEST_OBJECT_PART:
            self._objects[name] = data
        return known.waiters if known is not None else []

    def fill_failed(self, name: str, holder: int) -> CacheFill | Sequence[Waiter]:
        """A holder did not give an object.

        Returns:
            The fill to go on with, at another holder; or who waited, where there is none left.
        """
        known = self.pending.get(name)
        if known is None:
            return []
        fill = known.fill
        tried = (*fill.tried, holder)
        if len(tried) >= HOLDERS_TRIED_MAX or set(fill.holders) <= {*tried, fill.taker}:
            del self.pending[name]
            return known.waiters
        known.fill = CacheFill(fill.object_name, fill.taker, fill.units, fill.holders, tried)
        return known.fill

    def statistics(self) -> CacheStatistics:
        """Its counts now."""
        return CacheStatistics(
            len(self._objects), int(self._objects.currsize), self._hits, self._misses, len(self.pending)
        )
