"""The connections to all backends together: their bound, and the attempts that wait for one."""

from collections import Counter, deque
from collections.abc import Callable
from itertools import takewhile
from typing import Any, Protocol

from gorsethread.gateway.attempts import Attempt
from gorsethread.http_gateway.backend_connection import BackendConnection
from gorsethread.http_gateway.connection_reuse import ReuseTrust
from gorsethread.transport.base import Transport

IDLE_TIMEOUT_FRACTION = (
    0.8  # of the time after which a backend closes an idle connection: the gateway closes first
)
REPORTED_REASONS = 8  # the commonest reasons in one report


class PooledLink(Protocol):
    """What the pool needs of the link to one backend."""

    idle_connections: deque[BackendConnection]
    position: int
    unready: bool
    closed: bool

    def resume(self, attempt: Attempt) -> None:
        """Sends an attempt that waited for a connection, if it may still begin."""
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
        max_connections: how many connections may be open or being opened at once.
        connect_timeout: seconds.
        idle_timeout: seconds after which a backend closes an idle connection.
        log: for structured events.
    """

    def __init__(
        self,
        transport: Transport,
        links: dict[int, Any],
        max_connections: int,
        connect_timeout: float,
        idle_timeout: float,
        log: Any,
    ) -> None:
        self.transport = transport
        self.links = links
        self.max_connections = max_connections
        self.log = log
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout * IDLE_TIMEOUT_FRACTION
        self.open_connections = 0
        self.opened_total = 0
        self.reuse_trust = ReuseTrust()
        self.invalid_answers: Counter[str] = Counter()
        self.idle: dict[BackendConnection, None] = {}  # longest idle first
        self.busy: dict[int, BackendConnection] = {}
        self.waiting: deque[tuple[PooledLink, Attempt]] = deque()
        # The scheduler's: whether a request's attempt at a backend, decided at a time, may still begin now.
        self.may_begin: Callable[[int, int, float, float], bool]
        self._last_position = 0

    def position_of(self, backend: int) -> int:
        """The place of a new link in the order of links: that of the link it replaces, else the last."""
        replaced = self.links.get(backend)
        if replaced is not None:
            position: int = replaced.position
            return position
        self._last_position += 1
        return self._last_position

    def make_room(self) -> bool:
        """Whether one more may be opened; closes the connection that is idle for longest where it must."""
        if self.open_connections >= self.max_connections:
            oldest = self._longest_idle()
            if oldest is None:
                return False
            oldest.link.close_connection(oldest)
        return True

    def _longest_idle(self) -> BackendConnection | None:
        """Of connections that became idle in one moment, the first link's."""
        first = next(iter(self.idle), None)
        if first is None:
            return None
        equals = takewhile(lambda connection: connection.idle_since == first.idle_since, self.idle)
        return min(equals, key=lambda connection: connection.link.position)

    def connection_freed(self) -> None:
        """A connection has come free or ended: attempts that wait for one go on."""
        while self.waiting:
            link, attempt = self.waiting[0]
            if not (attempt.ended or link.idle_connections or self.make_room()):
                return
            self.waiting.popleft()
            link.resume(attempt)

    def update_unready(self, unready: dict[int, bool]) -> None:
        """Ends the waiting attempts at backends that drain or are gone.

        Their connection could come after the time within which sending has to stop.

        Args:
            unready: by backend of the endpoint list, whether it drains or is gone.
        """
        for number in unready.keys() & self.links.keys():
            self.links[number].unready = unready[number]
        waiting = self.waiting
        self.waiting = deque()
        for link, attempt in waiting:
            if link.unready or link.closed:
                link.drop_waiting(attempt)
            else:
                self.waiting.append((link, attempt))

    def report(self) -> dict[str, int]:
        """The commonest reasons why answers were invalid since the last report."""
        reasons = self.invalid_answers
        self.invalid_answers = Counter()
        return dict(reasons.most_common(REPORTED_REASONS))

    def sweep(self) -> None:
        """Closes what was idle for so long that its backend may be about to close it."""
        before = self.transport.now() - self.idle_timeout
        expired = list(takewhile(lambda connection: connection.idle_since <= before, self.idle))
        for connection in sorted(expired, key=lambda connection: connection.link.position):
            connection.link.close_connection(connection)
