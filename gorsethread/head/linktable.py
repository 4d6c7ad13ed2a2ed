"""A link for each shelf in the list, in the driver's tables; the same for both fronts."""

from collections.abc import Callable
from typing import Any

from gorsethread.head.driver import Driver


class LinkTable:
    """make: a link of the front's own kind for a shelf at an address. driver is set before the first list."""

    def __init__(self, make: Callable[[int, tuple[str, int]], Any]) -> None:
        self._make = make
        self.driver: Driver

    def listed(self, shelf: int, shard: int, address: tuple[str, int], state: str) -> None:
        links = self.driver.links
        link = links.get(shelf)
        if state == "gone":
            self._forget(shelf)
            return
        if link is not None and link.address != address:
            # What is out at the old address ends there; nothing new goes to it.
            link.close()
            link = None
        if link is None:
            links[shelf] = self._make(shelf, address)
        self.driver.shards[shelf] = shard

    def only(self, shelves: set[int]) -> None:
        for shelf in [s for s in self.driver.links if s not in shelves]:
            self._forget(shelf)

    def _forget(self, shelf: int) -> None:
        """A link with forwards out stays until they are in; the list may name the shelf again by then."""
        link = self.driver.links.get(shelf)
        if link is not None and link.idle:
            link.close()
            del self.driver.links[shelf]
            self.driver.shards.pop(shelf, None)
