"""The client side: admits and sweeps connections, parses requests and passes them to the driver.

An invalid request is answered with an error and goes no further. Bounds protect the other clients from those
that send nothing, part of a request, or invalid requests without end.
"""

from collections.abc import Callable
from typing import Any

from gorsethread.gateway.driver import Driver
from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import Request, closing_response
from gorsethread.http_gateway.backend_connection import OutgoingRequest
from gorsethread.http_gateway.client_connection import TOO_FAR_AHEAD, ClientConnection
from gorsethread.http_gateway.configuration import RequestNames
from gorsethread.http_gateway.memory_budget import MemoryBudget
from gorsethread.http_gateway.reason_counts import ReasonCounts
from gorsethread.http_gateway.recent_ids import RecentIds
from gorsethread.http_gateway.request_parsing import FORWARDED_HEADERS, RequestFields, parse_request
from gorsethread.transport.base import Stream, Transport

HEALTH_PATH = b"/healthz"
REQUEST_TIMEOUT_SECONDS = 2.0  # from connecting, or a request's first byte, until the request is complete
MIN_IDLE_SECONDS = 2.0  # without an open request, after which the platform lets a gateway close a connection
MAX_IDLE_SECONDS = 6.0  # without an open request, until the gateway closes a connection
CROWDED_FRACTION = 0.25  # of max_connections; from here on, idle ones are closed after MIN_IDLE_SECONDS
# After this side has ended a connection, until it is closed if the client does not end it.
LINGER_SECONDS = 0.25
UNREAD_LINGER_SECONDS = 2.0  # the same while the client has not read all of its answer
SHUTDOWN_LINGER_SECONDS = 0.05  # the same after the time by which the program has to end
FIRST_REQUEST_SECONDS = 0.15  # after connecting, the first request may still be in transit
UNREAD_SECONDS = 1.0  # without reading of its answers, after which a client may lose them for lack of memory


class ClientSide:
    """All client connections.

    connections holds them in the order of accepting, until they end. open_requests holds those with an open
    request by the request's id, until it is answered or the client leaves; recent_ids holds the ids of those
    that may have run, for a while after that. invalid_requests and closed_connections count why requests
    were refused without being admitted, and why connections were closed. ending says that the program is
    shutting down, end_by is the time by which it ends, in seconds of the transport's clock.

    Args:
        transport: the clock.
        driver: admits the requests.
        names: the names that requests use for their class, tier and zone.
        max_connections: bound on the connections open at once.
        budget: the bytes held for connections.
        recent_ids: the table of ids that may have run.
        log: for structured events.
    """

    def __init__(
        self,
        transport: Transport,
        driver: Driver,
        names: RequestNames,
        max_connections: int,
        budget: MemoryBudget,
        recent_ids: RecentIds,
        log: Any,
    ) -> None:
        self.transport = transport
        self.driver = driver
        self.names = names
        self.max_connections = max_connections
        self.budget = budget
        self.log = log
        self.connections: dict[ClientConnection, None] = {}
        self.open_requests: dict[int, ClientConnection] = {}
        self.recent_ids = recent_ids
        self.invalid_requests = ReasonCounts()
        self.closed_connections = ReasonCounts()
        self.ending = False
        self.end_by = float("inf")
        self._accepted_count = 0  # accepted connections that on_stream() does not serve yet

    # ---- connections admitted and served

    def admit_connection(self) -> bool:
        """Returns whether one more connection may be accepted; at the bound, closes the least used for it."""
        if len(self.connections) + self._accepted_count >= self.max_connections:
            spare = self._least_used()
            if spare is None:
                self.invalid_requests.add("no room for a connection")
                return False
            spare.abort("closed for a new connection")
            del self.connections[spare]
        self._accepted_count += 1
        return True

    def _least_used(self) -> ClientConnection | None:
        """Returns the connection to close for a new one, or None; never one with unanswered bytes.

        Prefers one that has ended on this side and whose client has read its last answer; then the oldest
        that has sent nothing; then the longest idle one that may be closed.
        """
        ended = next((c for c in self.connections if c.ended and not c.stream.unsent), None)
        if ended is not None:
            return ended
        free = [c for c in self.connections if not c.codec.open and not c.codec.partial]
        silent = next((c for c in free if not c.served and c.stream.is_idle()), None)
        if silent is not None:
            return silent
        idle_before = self.transport.now() - MIN_IDLE_SECONDS
        idle = sorted(
            (c for c in free if c.served and c.state_since <= idle_before), key=lambda c: c.state_since
        )
        return next((c for c in idle if c.stream.is_idle()), None)

    async def on_stream(self, stream: Stream) -> None:
        """Serves an admitted connection until it ends."""
        self._accepted_count -= 1
        connection = ClientConnection(self, stream, self.transport.now())
        self.connections[connection] = None
        try:
            await connection.serve()
        except Exception as error:
            self.connection_failed(connection, error)
        finally:
            connection.abort("unexpected error")
            self.closed_connections.add(connection.close_reason)
            self.connections.pop(connection, None)
            self._client_left(connection)

    def _client_left(self, connection: ClientConnection) -> None:
        """Drops the connection's open request, whose answer nobody waits for any more."""
        open_request = connection.open_request
        if open_request is not None:
            if connection.request_id is not None and open_request.attempts:
                self.recent_ids.add_abandoned(connection.request_id, self.transport.now())
            self._close_request(connection)
            self.driver.client_left(open_request)

    def request_answered(self, connection: ClientConnection) -> None:
        """Records that the connection's open request is answered; remembers its id if it may have run."""
        open_request = connection.open_request
        if connection.request_id is not None and open_request is not None and open_request.attempts:
            self.recent_ids.add_answered(connection.request_id, self.transport.now())
        self._close_request(connection)

    def _close_request(self, connection: ClientConnection) -> None:
        if connection.request_id is not None:
            self.open_requests.pop(connection.request_id, None)
        connection.request_id = None
        connection.open_request = None

    def give_up_request(self, connection: ClientConnection) -> None:
        """Cancels the open request of a client that sent too much behind it, and answers it with an error."""
        open_request = connection.open_request
        assert open_request is not None
        self.invalid_requests.add(TOO_FAR_AHEAD)
        status = 504 if open_request.attempts else 503
        self._client_left(connection)
        connection.answer(status, [], b"")

    def connection_failed(self, connection: ClientConnection, error: Exception) -> None:
        """Ends a connection whose bytes raised an unexpected error, and no other connection."""
        self.log.exception("unexpected error; closing the client connection", reason=repr(error))
        if not connection.ended:
            connection.stream.write(closing_response(500))
        connection.end("unexpected error")
        self._client_left(connection)

    # ---- requests parsed and passed on

    def handle_request(self, connection: ClientConnection, request: Request) -> None:
        """Passes a valid request to the driver and answers any other, and health checks, itself."""
        if request.target == HEALTH_PATH and request.method in (b"GET", b"HEAD"):
            connection.answer(200, [], b"")
            return
        try:
            fields = parse_request(request, self.names)
            self.relieve_memory()
            if self.budget.exceeded:
                raise InvalidRequestError(503, "no memory for a request")
            if fields.id in self.open_requests:
                raise InvalidRequestError(409, "the id of an open request")
            if self.recent_ids.contains(fields.id, self.transport.now()):
                raise InvalidRequestError(409, "the id of an earlier request")
        except InvalidRequestError as error:
            # The framing is intact, so the connection stays open, but its next request is read after a pause.
            self.invalid_requests.add(str(error))
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

    # ---- memory

    def relieve_memory(self) -> None:
        """Makes connections give up what they hold while the budget is exceeded.

        First the incomplete request of the most bytes is refused, then those behind open requests, then the
        answers are dropped that a client does not read. Complete requests keep what they hold; further ones
        are refused meanwhile.
        """
        if not self.budget.exceeded:
            return
        self._relieve(
            lambda c: c.codec.partial,
            lambda c: c.refuse(InvalidRequestError(503, "no memory for an incomplete request")),
        )
        self._relieve(
            lambda c: c.codec.bytes_ahead > 0 and c.open_request is not None, lambda c: c.refuse_flood()
        )
        unread_before = self.transport.now() - UNREAD_SECONDS
        self._relieve(
            lambda c: c.stream.unsent > 0 and c.unread_since <= unread_before, self._drop_unread_answers
        )

    def _relieve(
        self, is_eligible: Callable[[ClientConnection], bool], give_up: Callable[[ClientConnection], None]
    ) -> None:
        """Lets eligible connections give up what they hold, the largest first, until the budget is kept."""
        if not self.budget.exceeded:
            return
        eligible = [c for c in self.connections if not c.ended and is_eligible(c)]
        for connection in sorted(eligible, key=lambda c: (-c.share.held, c.state_since)):
            if not self.budget.exceeded:
                return
            give_up(connection)

    def _drop_unread_answers(self, connection: ClientConnection) -> None:
        self.invalid_requests.add("no memory for unread answers")
        connection.abort("answers not read")
        del self.connections[connection]

    # ---- connections ended

    def sweep(self) -> None:
        """Ends connections whose request was not completed in time, and those that were idle for too long."""
        now = self.transport.now()
        # Clients that keep a connection after a single request could leave no connections for others.
        crowded = len(self.connections) >= CROWDED_FRACTION * self.max_connections
        max_idle = MIN_IDLE_SECONDS if crowded else MAX_IDLE_SECONDS
        for connection in list(self.connections):
            connection.check_unread(now)
            if connection.ended:
                self._close_ended(connection, now)
            elif connection.codec.open:
                continue
            elif connection.codec.partial:
                if connection.state_since <= now - REQUEST_TIMEOUT_SECONDS:
                    connection.refuse(InvalidRequestError(408, "a request that does not become complete"))
            elif (
                connection.state_since <= now - (max_idle if connection.served else REQUEST_TIMEOUT_SECONDS)
                and connection.stream.is_idle()
            ):
                connection.end("idle" if connection.served else "nothing sent")
        self.recent_ids.forget_old(now)
        self.relieve_memory()

    def _close_ended(self, connection: ClientConnection, now: float) -> None:
        """Closes a connection that this side has ended, once its client had time to end it too."""
        linger = UNREAD_LINGER_SECONDS if connection.stream.unsent else LINGER_SECONDS
        if connection.state_since <= now - linger or now >= self.end_by + SHUTDOWN_LINGER_SECONDS:
            connection.abort("not ended by the client")

    def is_past_end(self) -> bool:
        """Returns whether the time by which the program ends has passed."""
        return self.transport.now() >= self.end_by

    def close_idle(self) -> None:
        """During shutdown, ends idle connections and refuses partial requests that are too late."""
        now = self.transport.now()
        past_end = self.is_past_end()
        for connection in list(self.connections):
            if connection.ended:
                self._close_ended(connection, now)
            elif connection.codec.open:
                continue
            elif connection.codec.partial:
                if past_end:
                    connection.refuse(InvalidRequestError(503, "a request not complete before the end"))
            elif past_end or (
                connection.stream.is_idle()
                and (connection.served or connection.state_since <= now - FIRST_REQUEST_SECONDS)
            ):
                connection.end("shutdown")

    def has_connections(self) -> bool:
        """Returns whether any connection is left, including accepted ones that are not served yet."""
        return bool(self.connections or self._accepted_count)

    def report(self) -> dict[str, int]:
        """Returns, and resets, the most frequent reasons why requests were invalid since the last report."""
        return self.invalid_requests.take_report()
