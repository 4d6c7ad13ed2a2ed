"""The client side: connections admitted and swept, each request parsed and handed to the driver.

What is no valid request is answered with an error and goes no further. Bounds protect the other clients
from those that send nothing, half a request, or invalid requests without end.
"""

from collections import Counter
from typing import Any

from gorsethread.gateway.driver import Driver
from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import Request, closing_response
from gorsethread.http_gateway.backend_connection import OutgoingRequest
from gorsethread.http_gateway.client_connection import REASON_LENGTH_MOST, ClientConnection
from gorsethread.http_gateway.configuration import RequestNames
from gorsethread.http_gateway.request_parsing import FORWARDED_HEADERS, RequestFields, parse_request
from gorsethread.transport.base import Stream, Transport

HEALTH_PATH = b"/healthz"
COMPLETE_WITHIN_SECONDS = 2.0  # from connecting, or from its first byte, until a request must be here
MAY_CLOSE_SECONDS = 2.0  # without an open request, after which the platform lets a gateway close a connection
IDLE_MOST_SECONDS = 6.0  # until it is closed anyway
CROWDED_PART = 0.25  # of the connections a gateway may hold: from here on idle ones end as early as they may
LINGER_SECONDS = 0.25  # that a connection whose sending has ended here is read on for its client's end
UNREAD_LINGER_SECONDS = 2.0  # of it while the client has not read all of its answer
LAST_LINGER_SECONDS = 0.05  # of it after the time by which the program has ended
NEW_WITHIN_SECONDS = 0.15  # in which the first request of a new connection may be on its way
REPORTED_REASONS = 8  # the commonest reasons in one report


class ClientSide:
    """All connections of clients.

    Owns the connections, in order of accepting (emptied as they end), and those with an open request by its
    id (emptied by answers and as clients leave). ending: the program ends; end_by: when it does, in seconds
    of the transport's clock.

    Args:
        transport: the clock.
        driver: takes the requests.
        names: what requests call their class, tier and zone.
        most: connections at once.
        log: for structured events.
    """

    def __init__(
        self, transport: Transport, driver: Driver, names: RequestNames, most: int, log: Any
    ) -> None:
        self.transport = transport
        self.driver = driver
        self.names = names
        self.most = most
        self.log = log
        self.connections: dict[ClientConnection, None] = {}
        self.open: dict[bytes, ClientConnection] = {}
        self.invalid_requests: Counter[str] = Counter()
        self.ending = False
        self.end_by = float("inf")
        self._accepted = 0  # and not yet among the connections

    # ---- a connection admitted and served

    def admits(self) -> bool:
        """Whether one more connection can be held; makes room for it by the one that is of least use."""
        if len(self.connections) + self._accepted >= self.most:
            spare = self._least_used()
            if spare is None:
                self.invalid_requests["no room for a connection"] += 1
                return False
            spare.abort()
            del self.connections[spare]
        self._accepted += 1
        return True

    def _least_used(self) -> ClientConnection | None:
        """The connection to close for a new one; never one with bytes that nobody has answered.

        One that has ended on this side and whose client read its last answer; else the oldest that has sent
        nothing; else the longest idle that may be closed.
        """
        ended = next((one for one in self.connections if one.over and not one.stream.unsent), None)
        if ended is not None:
            return ended
        free = [one for one in self.connections if not one.codec.open and not one.codec.partial]
        silent = next((one for one in free if not one.served and one.stream.is_idle()), None)
        if silent is not None:
            return silent
        before = self.transport.now() - MAY_CLOSE_SECONDS
        idle = sorted((one for one in free if one.served and one.since <= before), key=lambda one: one.since)
        return next((one for one in idle if one.stream.is_idle()), None)

    async def on_stream(self, stream: Stream) -> None:
        """Serves an admitted connection to its end."""
        self._accepted -= 1
        connection = ClientConnection(self, stream, self.transport.now())
        self.connections[connection] = None
        try:
            await connection.serve()
        except Exception as error:
            self.failed(connection, error)
        finally:
            connection.abort()
            self.connections.pop(connection, None)
            self._left(connection)

    def _left(self, connection: ClientConnection) -> None:
        """Nobody awaits the answer to the connection's open request any more."""
        self.open.pop(connection.request_id, None)
        open_request = connection.open_request
        if open_request is not None:
            connection.open_request = None
            self.driver.client_left(open_request)

    def failed(self, connection: ClientConnection, error: Exception) -> None:
        """An unexpected error met by one connection's bytes ends that connection alone."""
        self.log.exception("a connection failed", reason=repr(error))
        if not connection.over:
            connection.stream.write(closing_response(500))
        connection.end()
        self._left(connection)

    # ---- a request parsed and handed on

    def requested(self, connection: ClientConnection, request: Request) -> None:
        """Hands a valid request to the driver and answers any other."""
        if request.target == HEALTH_PATH and request.method in (b"GET", b"HEAD"):
            connection.answer(200, [], b"")
            return
        try:
            fields = parse_request(request, self.names)
            if fields.id in self.open:
                raise InvalidRequestError(409, "the id of an open request")
        except InvalidRequestError as error:
            # The framing is intact, so the connection goes on, but its next request is read late.
            self.invalid_requests[str(error)[:REASON_LENGTH_MOST]] += 1
            connection.paused = True
            connection.answer(error.status, [], b"")
            return
        self._take(connection, request, fields)

    def _take(self, connection: ClientConnection, request: Request, fields: RequestFields) -> None:
        deadline = min(connection.arrived + fields.timeout, self.end_by)
        headers = [(name, value) for name, value in request.headers if name in FORWARDED_HEADERS]
        connection.request_id = fields.id
        self.open[fields.id] = connection
        connection.open_request = self.driver.admit(
            connection,
            OutgoingRequest(request.method, request.target, headers, request.body, deadline),
            request_class=fields.request_class,
            service_tier=fields.service_tier,
            key=fields.key,
            deadline=deadline,
            volume=fields.volume,
            units=fields.units,
            shard=fields.shard,
            gateways=fields.gateways,
            is_retry=fields.repeat,
            arrived=connection.arrived,
        )

    # ---- connections ended

    def sweep(self) -> None:
        """Ends connections whose request does not become complete, and those idle for long."""
        now = self.transport.now()
        # Clients that keep a connection after a single request could leave none for others.
        crowded = len(self.connections) >= CROWDED_PART * self.most
        idle_most = MAY_CLOSE_SECONDS if crowded else IDLE_MOST_SECONDS
        for one in list(self.connections):
            if one.over:
                self._close_ended(one, now)
            elif one.codec.open:
                continue
            elif one.codec.partial:
                if one.since <= now - COMPLETE_WITHIN_SECONDS:
                    one.refuse(InvalidRequestError(408, "a request that does not become complete"))
            elif (
                one.since <= now - (idle_most if one.served else COMPLETE_WITHIN_SECONDS)
                and one.stream.is_idle()
            ):
                one.end()

    def _close_ended(self, connection: ClientConnection, now: float) -> None:
        """Closes a connection whose client has had its time to end it after this side did."""
        linger = UNREAD_LINGER_SECONDS if connection.stream.unsent else LINGER_SECONDS
        if connection.since <= now - linger or now >= self.end_by + LAST_LINGER_SECONDS:
            connection.abort()

    def late(self) -> bool:
        """Whether the program's own end has come, which waits for nothing more."""
        return self.transport.now() >= self.end_by

    def close_idle(self) -> None:
        """While the program ends: ends idle connections, and answers what can't be served in time."""
        now = self.transport.now()
        late = self.late()
        for one in list(self.connections):
            if one.over:
                self._close_ended(one, now)
            elif one.codec.open:
                continue
            elif one.codec.partial:
                if late:
                    one.refuse(InvalidRequestError(503, "a request not complete before the end"))
            elif late or (one.stream.is_idle() and (one.served or one.since <= now - NEW_WITHIN_SECONDS)):
                one.end()

    def holds_any(self) -> bool:
        """Whether any connection is left, also one that was accepted but is not served yet."""
        return bool(self.connections or self._accepted)

    def report(self) -> dict[str, int]:
        """The commonest reasons why requests were invalid since the last report."""
        reasons = self.invalid_requests
        self.invalid_requests = Counter()
        return dict(reasons.most_common(REPORTED_REASONS))
