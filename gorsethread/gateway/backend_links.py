"""A link for each backend of the list, in the driver's tables; the same for all fronts."""

from collections.abc import Callable
from typing import Any

from gorsethread.gateway.driver import Driver


class BackendLinks:
    """Makes links as backends join the list and lets go of them as they leave.

    make returns a link of the front's own kind for a backend at an address; driver is set before the first
    list. A link whose backend has left stays while it has attempts in flight.
    """

    def __init__(self, make: Callable[[int, tuple[str, int]], Any]) -> None:
        self._make_link = make
        self.driver: Driver
        self._leaving: set[int] = set()  # gone, with attempts in flight; emptied as these end, or it is back

    def update(self, backend: int, shard: int, address: tuple[str, int], state: str) -> None:
        """The list names the backend, in the state "ready", "draining" or "gone"."""
        if state == "gone":
            self._remove(backend)
            return
        links = self.driver.links
        link = links.get(backend)
        if link is not None and link.address != address:
            # Attempts in flight at the old address end there; nothing new goes to it.
            link.close()
            link = None
        if link is None:
            links[backend] = self._make_link(backend, address)
        self._leaving.discard(backend)
        self.driver.shards[backend] = shard

    def keep_only(self, backends: set[int]) -> None:
        """The list was complete: every other backend is gone."""
        for backend in [known for known in self.driver.links if known not in backends]:
            self._remove(backend)

    def remove_idle(self) -> None:
        """Removes links that had attempts in flight when their backend left, once these have ended."""
        for backend in list(self._leaving):
            self._remove(backend)

    def _remove(self, backend: int) -> None:
        link = self.driver.links.get(backend)
        if link is not None and not link.idle:
            self._leaving.add(backend)  # the list may name the backend again by the time its attempts end
            return
        self._leaving.discard(backend)
        if link is not None:
            link.close()
            del self.driver.links[backend]
            self.driver.shards.pop(backend, None)
