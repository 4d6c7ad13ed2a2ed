"""The client side: connections admitted and swept, each request checked and handed on.

What can't be a request is answered with an error and goes no further. Bounds guard the usual clients
against those that say nothing, half a request, or the same again without end.
"""

from collections import Counter
from typing import Any

from gorsethread.gateway.driver import Driver
from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import Request, closing_response
from gorsethread.http_gateway.backends import OutgoingRequest
from gorsethread.http_gateway.config import Naming
from gorsethread.http_gateway.connection import Connection
from gorsethread.http_gateway.requests import ONWARD, RequestFields, read_request
from gorsethread.transport.base import Stream, Transport

READY = b"/healthz"
WHOLE_WITHIN = 2.0  # seconds from connecting, or from its first byte, until a request must be here
MAY_CLOSE = 2.0  # seconds without an open request after which the platform lets a gateway close a connection
IDLE_MOST = 6.0  # seconds until it is closed anyway
CROWDED = 0.25  # of the connections a gateway may hold: from here on idle ones end as early as they may
LINGER = 0.25  # seconds that a connection whose sending has ended here is read on for its client's end
UNREAD_LINGER = 2.0  # seconds of it while the client has not read all of its answer
LAST_LINGER = 0.05  # seconds of it after the time by which the program has ended
NEW_WITHIN = 0.15  # seconds in which the first request of a new connection may be on its way


class ClientSide:
    """most: connections at once."""

    def __init__(self, transport: Transport, driver: Driver, naming: Naming, most: int, log: Any) -> None:
        self.transport, self.driver, self.naming, self.most, self.log = transport, driver, naming, most, log
        self.connections: dict[Connection, None] = {}  # in order of accepting; emptied as they end
        self.open: dict[bytes, Connection] = {}  # by id; emptied by answers and as clients leave
        self.wrong: Counter[str] = Counter()  # emptied by each report
        self._accepted = 0  # and not yet among the connections
        self.ending = False
        self.end_by = float("inf")  # when the gateway itself ends: it waits for nothing longer

    def admits(self) -> bool:
        """Whether one more connection can be held; makes room for it by the one that is of least use."""
        if len(self.connections) + self._accepted >= self.most:
            spare = self._least_used()
            if spare is None:
                self.wrong["no room for a connection"] += 1
                return False
            spare.abort()
            del self.connections[spare]
        self._accepted += 1
        return True

    def _least_used(self) -> Connection | None:
        """One that has ended on this side and read its last answer; else the oldest that has said nothing;
        else the longest idle that may be closed. Never one with bytes that nobody has answered."""
        ended = next((c for c in self.connections if c.over and not c.stream.unsent), None)
        if ended is not None:
            return ended
        free = [c for c in self.connections if not c.codec.open and not c.codec.partial]
        silent = next((c for c in free if not c.served and c.stream.quiet()), None)
        if silent is not None:
            return silent
        before = self.transport.now() - MAY_CLOSE
        idle = sorted((c for c in free if c.served and c.began <= before), key=lambda c: c.began)
        return next((c for c in idle if c.stream.quiet()), None)

    def late(self) -> bool:
        """Whether the program's own end has come, which waits for nothing more."""
        return self.transport.now() >= self.end_by

    async def on_stream(self, stream: Stream) -> None:
        self._accepted -= 1
        connection = Connection(self, stream, self.transport.now())
        self.connections[connection] = None
        try:
            await connection.serve()
        except Exception as error:
            self.failed(connection, error)
        finally:
            connection.abort()
            self.connections.pop(connection, None)
            self._left(connection)

    def _left(self, connection: Connection) -> None:
        """Nobody awaits the answer to what is open on a connection any more."""
        self.open.pop(connection.id, None)
        if connection.taken is not None:
            taken, connection.taken = connection.taken, None
            self.driver.client_left(taken)

    def failed(self, connection: Connection, error: Exception) -> None:
        """A defect met by one connection's bytes costs that connection alone."""
        self.log.exception("a connection failed", reason=repr(error))
        if not connection.over:
            connection.stream.write(closing_response(500))
        connection.end()
        self._left(connection)

    def requested(self, connection: Connection, request: Request) -> None:
        if request.target == READY and request.method in (b"GET", b"HEAD"):
            connection.answer(200, [], b"")
            return
        try:
            fields = read_request(request, self.naming)
            if fields.id in self.open:
                raise InvalidRequestError(409, "the id of an open request")
        except InvalidRequestError as error:
            # Its bounds were kept, so the connection goes on; but what asks for nothing right asks slowly.
            self.wrong[str(error)[:40]] += 1
            connection.paused = True
            connection.answer(error.status, [], b"")
            return
        self._take(connection, request, fields)

    def _take(self, connection: Connection, request: Request, w: RequestFields) -> None:
        deadline = min(connection.arrived + w.patience, self.end_by)
        headers = [(name, value) for name, value in request.headers if name in ONWARD]
        connection.id = w.id
        self.open[w.id] = connection
        connection.taken = self.driver.take(
            connection,
            OutgoingRequest(request.method, request.target, headers, request.body, deadline),
            profile=w.profile,
            plan=w.plan,
            key=w.key,
            deadline=deadline,
            volume=w.volume,
            units=w.units,
            shard=w.shard,
            heads=w.heads,
            repeat=w.repeat,
            arrived=connection.arrived,
        )

    def sweep(self) -> None:
        """Ends connections whose request does not come whole, and those idle for long."""
        now = self.transport.now()
        # Guards against clients that ask once and keep their connection: others may have none left.
        idle_most = IDLE_MOST if len(self.connections) < CROWDED * self.most else MAY_CLOSE
        for c in list(self.connections):
            if c.over:
                self._close_ended(c, now)
            elif c.codec.open:
                continue
            elif c.codec.partial:
                if c.began <= now - WHOLE_WITHIN:
                    c.refuse(InvalidRequestError(408, "a request that does not come whole"))
            elif c.began <= now - (idle_most if c.served else WHOLE_WITHIN) and c.stream.quiet():
                c.end()

    def _close_ended(self, connection: Connection, now: float) -> None:
        """Closes a connection whose client has had its time to end it after this side did."""
        linger = UNREAD_LINGER if connection.stream.unsent else LINGER
        if connection.began <= now - linger or now >= self.end_by + LAST_LINGER:
            connection.abort()

    def close_idle(self) -> None:
        """While the program ends: ends what nothing is open on, and answers what can't be served in time."""
        now, late = self.transport.now(), self.late()
        for c in list(self.connections):
            if c.over:
                self._close_ended(c, now)
            elif c.codec.open:
                continue
            elif c.codec.partial:
                if late:
                    c.refuse(InvalidRequestError(503, "a request that did not come whole before the end"))
            elif late or c.stream.quiet() and (c.served or c.began <= now - NEW_WITHIN):
                c.end()

    def holds_any(self) -> bool:
        """Whether any connection is left, also one that was accepted in this very turn."""
        return bool(self.connections or self._accepted)

    def report(self) -> dict[str, int]:
        """What was wrong since the last report, at most the commonest few."""
        wrong, self.wrong = self.wrong, Counter()
        return dict(wrong.most_common(8))
