"""Bounds the connections to all backends together and queues the attempts that wait for one."""

from collections import deque
from collections.abc import Callable
from itertools import takewhile
from typing import Any, Protocol

from gorsethread.gateway.attempts import Attempt
from gorsethread.http_gateway.backend_connection import BackendConnection
from gorsethread.http_gateway.connection_reuse import ReuseTrust
from gorsethread.http_gateway.memory_budget import MemoryBudget
from gorsethread.http_gateway.reason_counts import ReasonCounts
from gorsethread.transport.base import Transport

# Of the backends' idle timeout, so that the gateway closes an idle connection before the backend does.
IDLE_TIMEOUT_FRACTION = 0.8


class PooledLink(Protocol):
    """What the pool uses of the link to one backend."""

    idle_connections: deque[BackendConnection]
    position: int
    unready: bool
    closed: bool

    def resume(self, attempt: Attempt) -> None:
        """Sends an attempt that waited for a connection, or ends it if it may no longer begin."""
        ...

    def drop_waiting(self, attempt: Attempt) -> None:
        """Ends an attempt that waited for a connection as not sent."""
        ...


class ConnectionPool:
    """The connections of all backends.

    Owns three tables: the idle connections, emptied by use, by sweep() and as connections end; the busy ones
    by request, emptied as attempts end; and the waiting attempts, emptied as connections come free.
    max_connections bounds the first two, the number of requests in flight bounds the third.

    Args:
        transport: the clock and the connections.
        links: the driver's table of links, by backend.
        max_connections: bound on the connections that are open or being opened.
        connect_timeout: seconds.
        idle_timeout: seconds after which a backend closes an idle connection.
        budget: the bytes held for connections.
        log: for structured events.
    """

    def __init__(
        self,
        transport: Transport,
        links: dict[int, Any],
        max_connections: int,
        connect_timeout: float,
        idle_timeout: float,
        budget: MemoryBudget,
        log: Any,
    ) -> None:
        self.transport = transport
        self.links = links
        self.max_connections = max_connections
        self.budget = budget
        self.log = log
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout * IDLE_TIMEOUT_FRACTION
        self.open_connections = 0
        self.opened_total = 0
        self.reuse_trust = ReuseTrust()
        self.invalid_answers = ReasonCounts()
        self.idle: dict[BackendConnection, None] = {}  # longest idle first
        self.busy: dict[int, BackendConnection] = {}
        self.waiting: deque[tuple[PooledLink, Attempt]] = deque()
        # The scheduler's may_begin_attempt(request, backend, decided_at, now), set after construction: says
        # whether an attempt that was decided earlier may still begin.
        self.may_begin: Callable[[int, int, float, float], bool]
        self._last_position = 0

    def position_of(self, backend: int) -> int:
        """Returns a new link's place in the order of links: that of the link it replaces, else the last."""
        replaced = self.links.get(backend)
        if replaced is not None:
            position: int = replaced.position
            return position
        self._last_position += 1
        return self._last_position

    def make_room(self) -> bool:
        """Returns whether a connection may be opened; at the bound, closes the longest idle one for it."""
        if self.open_connections >= self.max_connections:
            oldest = self._longest_idle()
            if oldest is None:
                return False
            oldest.link.close_connection(oldest)
        return True

    def _longest_idle(self) -> BackendConnection | None:
        """Returns the longest idle connection; if several became idle at the same time, the first link's."""
        first = next(iter(self.idle), None)
        if first is None:
            return None
        equals = takewhile(lambda connection: connection.idle_since == first.idle_since, self.idle)
        return min(equals, key=lambda connection: connection.link.position)

    def connection_freed(self) -> None:
        """Resumes waiting attempts after a connection became idle or ended."""
        while self.waiting:
            link, attempt = self.waiting[0]
            if not (attempt.ended or link.idle_connections or self.make_room()):
                return
            self.waiting.popleft()
            link.resume(attempt)

    def update_unready(self, unready: dict[int, bool]) -> None:
        """Marks links as unready and ends the attempts that wait for a connection to an unready backend.

        Such a connection could be established only after the time by which sending to the backend must stop.

        Args:
            unready: by backend of the endpoint list, whether it is draining or gone.
        """
        for backend in unready.keys() & self.links.keys():
            self.links[backend].unready = unready[backend]
        waiting = self.waiting
        self.waiting = deque()
        for link, attempt in waiting:
            if link.unready or link.closed:
                link.drop_waiting(attempt)
            else:
                self.waiting.append((link, attempt))

    def largest_incomplete_answer(self) -> BackendConnection | None:
        """Returns the connection with the most bytes of an answer that is not complete."""
        incomplete = [connection for connection in self.busy.values() if connection.codec.held_bytes]
        if not incomplete:
            return None
        return max(incomplete, key=lambda connection: connection.codec.held_bytes)

    def report(self) -> dict[str, int]:
        """Returns, and resets, the most frequent reasons why answers were invalid since the last report."""
        return self.invalid_answers.take_report()

    def sweep(self) -> None:
        """Closes connections that were idle for so long that the backend may be about to close them."""
        idle_before = self.transport.now() - self.idle_timeout
        expired = list(takewhile(lambda connection: connection.idle_since <= idle_before, self.idle))
        for connection in sorted(expired, key=lambda connection: connection.link.position):
            connection.link.close_connection(connection)
