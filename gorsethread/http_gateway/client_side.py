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
from gorsethread.http_gateway.client_connection import MAX_REASON_LENGTH, ClientConnection
from gorsethread.http_gateway.configuration import RequestNames
from gorsethread.http_gateway.request_parsing import FORWARDED_HEADERS, RequestFields, parse_request
from gorsethread.transport.base import Stream, Transport

HEALTH_PATH = b"/healthz"
COMPLETE_WITHIN_SECONDS = 2.0  # from connecting, or from its first byte, until a request must be here
MAY_CLOSE_SECONDS = 2.0  # without an open request, after which the platform lets a gateway close a connection
MAX_IDLE_SECONDS = 6.0  # until it is closed anyway
CROWDED_FRACTION = (
    0.25  # of the connections a gateway may hold: from here on idle ones end as early as they may
)
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
        max_connections: connections at once.
        log: for structured events.
    """

    def __init__(
        self, transport: Transport, driver: Driver, names: RequestNames, max_connections: int, log: Any
    ) -> None:
        self.transport = transport
        self.driver = driver
        self.names = names
        self.max_connections = max_connections
        self.log = log
        self.connections: dict[ClientConnection, None] = {}
        self.open_requests: dict[bytes, ClientConnection] = {}
        self.invalid_requests: Counter[str] = Counter()
        self.ending = False
        self.end_by = float("inf")
        self._accepted_count = 0  # and not yet among the connections

    # ---- a connection admitted and served

    def admit_connection(self) -> bool:
        """Whether one more connection can be held; makes room for it by the one that is of least use."""
        if len(self.connections) + self._accepted_count >= self.max_connections:
            spare = self._least_used()
            if spare is None:
                self.invalid_requests["no room for a connection"] += 1
                return False
            spare.abort()
            del self.connections[spare]
        self._accepted_count += 1
        return True

    def _least_used(self) -> ClientConnection | None:
        """The connection to close for a new one; never one with bytes that nobody has answered.

        One that has ended on this side and whose client read its last answer; else the oldest that has sent
        nothing; else the longest idle that may be closed.
        """
        ended = next((one for one in self.connections if one.ended and not one.stream.unsent), None)
        if ended is not None:
            return ended
        free = [one for one in self.connections if not one.codec.open and not one.codec.partial]
        silent = next((one for one in free if not one.served and one.stream.quiet()), None)
        if silent is not None:
            return silent
        before = self.transport.now() - MAY_CLOSE_SECONDS
        idle = sorted(
            (one for one in free if one.served and one.state_since <= before), key=lambda one: one.state_since
        )
        return next((one for one in idle if one.stream.quiet()), None)

    async def on_stream(self, stream: Stream) -> None:
        """Serves an admitted connection to its end."""
        self._accepted_count -= 1
        connection = ClientConnection(self, stream, self.transport.now())
        self.connections[connection] = None
        try:
            await connection.serve()
        except Exception as error:
            self.connection_failed(connection, error)
        finally:
            connection.abort()
            self.connections.pop(connection, None)
            self._client_left(connection)

    def _client_left(self, connection: ClientConnection) -> None:
        """Nobody awaits the answer to the connection's open request any more."""
        self.open_requests.pop(connection.request_id, None)
        open_request = connection.open_request
        if open_request is not None:
            connection.open_request = None
            self.driver.client_left(open_request)

    def connection_failed(self, connection: ClientConnection, error: Exception) -> None:
        """An unexpected error met by one connection's bytes ends that connection alone."""
        self.log.exception("a connection failed", reason=repr(error))
        if not connection.ended:
            connection.stream.write(closing_response(500))
        connection.end()
        self._client_left(connection)

    # ---- a request parsed and handed on

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Hands a valid request to the driver and answers any other."""
        if request.target == HEALTH_PATH and request.method in (b"GET", b"HEAD"):
            connection.answer(200, [], b"")
            return
        try:
            fields = parse_request(request, self.names)
            if fields.id in self.open_requests:
                raise InvalidRequestError(409, "the id of an open request")
        except InvalidRequestError as error:
            # The framing is intact, so the connection goes on, but its next request is read late.
            self.invalid_requests[str(error)[:MAX_REASON_LENGTH]] += 1
            connection.paused = True
            connection.answer(error.status, [], b"")
            return
        self._admit_request(connection, request, fields)

    def _admit_request(self, connection: ClientConnection, request: Request, fields: RequestFields) -> None:
        deadline = min(connection.received_at + fields.timeout, self.end_by)
        headers = [(name, value) for name, value in request.headers if name in FORWARDED_HEADERS]
        connection.request_id = fields.id
        self.open_requests[fields.id] = connection
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
            is_retry=fields.is_retry,
            arrived=connection.received_at,
        )

    # ---- connections ended

    def sweep(self) -> None:
        """Ends connections whose request does not become complete, and those idle for long."""
        now = self.transport.now()
        # Clients that keep a connection after a single request could leave none for others.
        crowded = len(self.connections) >= CROWDED_FRACTION * self.max_connections
        max_idle = MAY_CLOSE_SECONDS if crowded else MAX_IDLE_SECONDS
        for one in list(self.connections):
            if one.ended:
                self._close_ended(one, now)
            elif one.codec.open:
                continue
            elif one.codec.partial:
                if one.state_since <= now - COMPLETE_WITHIN_SECONDS:
                    one.refuse(InvalidRequestError(408, "a request that does not become complete"))
            elif (
                one.state_since <= now - (max_idle if one.served else COMPLETE_WITHIN_SECONDS)
                and one.stream.quiet()
            ):
                one.end()

    def _close_ended(self, connection: ClientConnection, now: float) -> None:
        """Closes a connection whose client has had its time to end it after this side did."""
        linger = UNREAD_LINGER_SECONDS if connection.stream.unsent else LINGER_SECONDS
        if connection.state_since <= now - linger or now >= self.end_by + LAST_LINGER_SECONDS:
            connection.abort()

    def is_past_end(self) -> bool:
        """Whether the program's own end has come, which waits for nothing more."""
        return self.transport.now() >= self.end_by

    def close_idle(self) -> None:
        """While the program ends: ends idle connections, and answers what can't be served in time."""
        now = self.transport.now()
        past_end = self.is_past_end()
        for one in list(self.connections):
            if one.ended:
                self._close_ended(one, now)
            elif one.codec.open:
                continue
            elif one.codec.partial:
                if past_end:
                    one.refuse(InvalidRequestError(503, "a request not complete before the end"))
            elif past_end or (
                one.stream.quiet() and (one.served or one.state_since <= now - NEW_WITHIN_SECONDS)
            ):
                one.end()

    def holds_any(self) -> bool:
        """Whether any connection is left, also one that was accepted but is not served yet."""
        return bool(self.connections or self._accepted_count)

    def report(self) -> dict[str, int]:
        """The commonest reasons why requests were invalid since the last report."""
        reasons = self.invalid_requests
        self.invalid_requests = Counter()
        return dict(reasons.most_common(REPORTED_REASONS))
