"""What each client of this gateway knows of queued writes."""

from collections.abc import Callable

from gorsethread.offline_writes.writes import ClientContext, WriteNumber


class ClientContexts:
    """Owns a context for each client's host name, as many as the site file names."""

    def __init__(self, is_finished: Callable[[WriteNumber], bool]) -> None:
        self._is_finished = is_finished
        self._contexts: dict[str, ClientContext] = {}

    def of(self, host: str) -> ClientContext:
        """The context of a client, as it is."""
        context = self._contexts.get(host)
        if context is None:
            context = self._contexts[host] = ClientContext()
        return context

    def current(self, host: str) -> ClientContext:
        """The context of a client without the writes that are finished."""
        context = self.of(host)
        context.forget(self._is_finished)
        return context
