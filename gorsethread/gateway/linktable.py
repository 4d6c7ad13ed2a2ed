"""A link for each backend in the list, in the driver's tables; the same for both fronts."""

from collections.abc import Callable
from typing import Any

from gorsethread.gateway.driver import Driver


class LinkTable:
    """make: a link of the front's own kind for a backend at an address. driver is set before the first
    list."""

    def __init__(self, make: Callable[[int, tuple[str, int]], Any]) -> None:
        self._make = make
        self.driver: Driver
        self._leaving: set[int] = set()  # gone, with attempts out; emptied as these are in, or it is back

    def listed(self, backend: int, shard: int, address: tuple[str, int], state: str) -> None:
        links = self.driver.links
        link = links.get(backend)
        if state == "gone":
            self._forget(backend)
            return
        if link is not None and link.address != address:
            # What is out at the old address ends there; nothing new goes to it.
            link.close()
            link = None
        if link is None:
            links[backend] = self._make(backend, address)
        self._leaving.discard(backend)
        self.driver.shards[backend] = shard

    def only(self, backends: set[int]) -> None:
        """The whole list: every other one is gone."""
        for backend in [known for known in self.driver.links if known not in backends]:
            self._forget(backend)

    def forget_idle(self) -> None:
        """Lets go of links that had attempts out when their backend left the list, once these are in."""
        for backend in list(self._leaving):
            self._forget(backend)

    def _forget(self, backend: int) -> None:
        """A link with attempts out stays until they are in; the list may name the backend again by then."""
        link = self.driver.links.get(backend)
        if link is not None and not link.idle:
            self._leaving.add(backend)
            return
        self._leaving.discard(backend)
        if link is not None:
            link.close()
            del self.driver.links[backend]
            self.driver.shards.pop(backend, None)
