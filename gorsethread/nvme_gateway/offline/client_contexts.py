"""The queued writes whose effects each client of this gateway has seen."""

from collections.abc import Callable

from gorsethread.offline_writes.writes import ClientContext, WriteNumber


class ClientContexts:
    """Owns one context per client host name; bounded by the hosts in the site file."""

    def __init__(self, is_finished: Callable[[WriteNumber], bool]) -> None:
        self._is_finished = is_finished
        self._contexts: dict[str, ClientContext] = {}

    def of(self, host: str) -> ClientContext:
        """Returns the context of a client, which may still contain finished writes."""
        context = self._contexts.get(host)
        if context is None:
            context = self._contexts[host] = ClientContext()
        return context

    def current(self, host: str) -> ClientContext:
        """Returns the context of a client, after removing finished writes from it."""
        context = self.of(host)
        context.forget(self._is_finished)
        return context
