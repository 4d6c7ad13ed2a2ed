"""A bounded cache of write-once objects, with one fill at a time for each object. No I/O.

The caller fetches what the cache decides. Only objects of write-once volumes may be stored, so no cached
object is ever stale.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Generic, NamedTuple, TypeVar

from cachetools import LRUCache

from gorsethread.bandwidth_credits.fill_scheduling import CacheFill

Waiter = TypeVar("Waiter")
PENDING_FILLS_MAX = 256  # beyond it, objects are read from their own shard and not cached
HOLDERS_TRIED_MAX = 3  # per fill
OBJECT_SIZE_DIVISOR = 10  # an object larger than the capacity divided by this is not cached


class FillDecision(Enum):
    """What happens to a request for an object that is not cached."""

    FETCH = auto()  # the caller fetches the object
    WAIT = auto()  # a fill is pending; the waiter is returned when it ends
    READ_DIRECTLY = auto()  # no holder or too many fills; the caller reads the object itself


@dataclass
class PendingFill(Generic[Waiter]):
    """A fill in progress and its waiters."""

    fill: CacheFill
    waiters: list[Waiter] = field(default_factory=list)


class CacheStatistics(NamedTuple):
    """The sizes and counts of a cache; hits and misses are counted from its start."""

    objects: int
    bytes: int
    hits: int
    misses: int
    pending: int


class ObjectCache(Generic[Waiter]):
    """Owns the cached objects, of which the least recently used is evicted first, and the pending fills.

    Attributes:
        capacity: The maximum total size of the objects in bytes.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.pending: dict[str, PendingFill[Waiter]] = {}
        self._objects: LRUCache[Hashable, bytes] = LRUCache(capacity, getsizeof=len)
        self._hits = 0
        self._misses = 0

    def get(self, name: str) -> bytes | None:
        """Returns an object, or None if it is not cached."""
        found = self._objects.get(name)
        if found is None:
            self._misses += 1
        else:
            self._hits += 1
        return found

    def request_fill(self, fill: CacheFill, waiter: Waiter) -> FillDecision:
        """Decides about a request for an object that is not cached."""
        known = self.pending.get(fill.object_name)
        if known is not None:
            known.waiters.append(waiter)
            return FillDecision.WAIT
        if len(self.pending) >= PENDING_FILLS_MAX or not fill.holders:
            return FillDecision.READ_DIRECTLY
        self.pending[fill.object_name] = PendingFill(fill, [waiter])
        return FillDecision.FETCH

    def fill_succeeded(self, name: str, data: bytes) -> Sequence[Waiter]:
        """Caches a fetched object and returns its waiters."""
        known = self.pending.pop(name, None)
        if len(data) <= self.capacity // OBJECT_SIZE_DIVISOR:
            self._objects[name] = data
        return known.waiters if known is not None else []

    def fill_failed(self, name: str, holder: int) -> CacheFill | Sequence[Waiter]:
        """Handles the failure to fetch an object from a holder.

        Returns:
            The fill to try at another holder, or the waiters if no holder is left.
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
        """Returns the current counts."""
        return CacheStatistics(
            len(self._objects), int(self._objects.currsize), self._hits, self._misses, len(self.pending)
        )
