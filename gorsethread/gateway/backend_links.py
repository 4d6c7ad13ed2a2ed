"""Keeps the driver's table of links in step with the endpoint list; the same for every wire protocol."""

from collections.abc import Callable
from typing import Any

from gorsethread.gateway.driver import Driver


class BackendLinks:
    """Creates a link when a backend joins the endpoint list and removes it when the backend leaves.

    A link whose backend has left stays until its attempts in flight have ended. driver has to be set before
    the first list.

    Args:
        make_link: returns a link, for the gateway's wire protocol, to a backend at an address.
    """

    def __init__(self, make_link: Callable[[int, tuple[str, int]], Any]) -> None:
        self._make_link = make_link
        self.driver: Driver
        # Backends that left while they had attempts in flight; emptied as these end or the backend returns.
        self._leaving: set[int] = set()

    def update(self, backend: int, shard: int, address: tuple[str, int], state: str) -> None:
        """Applies one entry of the endpoint list; state is "ready", "draining" or "gone"."""
        if state == "gone":
            self._remove(backend)
            return
        links = self.driver.links
        link = links.get(backend)
        if link is not None and link.address != address:
            # Attempts in flight end at the old address; nothing new is sent there.
            link.close()
            link = None
        if link is None:
            links[backend] = self._make_link(backend, address)
        self._leaving.discard(backend)
        self.driver.shards[backend] = shard

    def keep_only(self, backends: set[int]) -> None:
        """Removes every other backend: the endpoint list was complete."""
        for backend in [known for known in self.driver.links if known not in backends]:
            self._remove(backend)

    def remove_idle(self) -> None:
        """Removes links whose backend left while they had attempts in flight, once these have ended."""
        for backend in list(self._leaving):
            self._remove(backend)

    def _remove(self, backend: int) -> None:
        link = self.driver.links.get(backend)
        if link is not None and not link.idle:
            self._leaving.add(backend)  # by the time its attempts end the list may name the backend again
            return
        self._leaving.discard(backend)
        if link is not None:
            link.close()
            del self.driver.links[backend]
            self.driver.shards.pop(backend, None)
