"""A bounded cache of objects that are written once, and one fill at a time for each, however many wait. Pure:
whoever carries it fetches what it says. Only objects of volumes that are written once may be put in, so that
nothing in it is ever old."""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from cachetools import LRUCache

from gorsethread.debts.fills import Fill

Waiter = TypeVar("Waiter")
FILLS_MOST = 256  # under way and waiting; what is over is read at its own shard, and not kept
TRIES_MOST = 3  # holders that one fill is asked of


@dataclass
class Filling(Generic[Waiter]):
    fill: Fill
    waiters: list[Waiter] = field(default_factory=list)


class Cache(Generic[Waiter]):
    """size: bytes in all. An object larger than a tenth of it is not kept."""

    def __init__(self, size: int) -> None:
        self.size = size
        self._held: LRUCache[Hashable, bytes] = LRUCache(size, getsizeof=len)
        self.filling: dict[str, Filling[Waiter]] = {}  # emptied as each ends
        self.hits = self.misses = 0

    def get(self, name: str) -> bytes | None:
        found = self._held.get(name)
        self.hits += found is not None
        self.misses += found is None
        return found

    def wants(self, fill: Fill, waiter: Waiter) -> bool | None:
        """True: this is the fill to fetch. False: one is on its way, and the waiter is told with it. None:
        neither, the waiter reads by itself."""
        known = self.filling.get(fill.object)
        if known is not None:
            known.waiters.append(waiter)
            return False
        if len(self.filling) >= FILLS_MOST or not fill.holders:
            return None
        self.filling[fill.object] = Filling(fill, [waiter])
        return True

    def filled(self, name: str, data: bytes) -> Sequence[Waiter]:
        """Who waited for it."""
        known = self.filling.pop(name, None)
        if len(data) <= self.size // 10:
            self._held[name] = data
        return known.waiters if known is not None else []

    def failed(self, name: str, holder: int) -> Fill | Sequence[Waiter]:
        """The fill to go on with, at another holder; or who waited, where there is none left."""
        known = self.filling.get(name)
        if known is None:
            return []
        fill = known.fill
        tried = (*fill.tried, holder)
        if len(tried) >= TRIES_MOST or set(fill.holders) <= {*tried, fill.taker}:
            del self.filling[name]
            return known.waiters
        known.fill = Fill(fill.object, fill.taker, fill.units, fill.holders, tried)
        return known.fill

    def stats(self) -> dict[str, Any]:
        return {
            "objects": len(self._held),
            "bytes": int(self._held.currsize),
            "hits": self.hits,
            "misses": self.misses,
            "filling": len(self.filling),
        }
