"""The link to one backend: sends attempts over its connections and ends each attempt once, with its outcome.

The link never retries. An attempt ends as UNREACHABLE if no connection is established or the connection ends
before the attempt's last byte is written; as CONNECTION_LOST if the connection ends after that; as ERROR if
the answer is invalid.
"""

from collections import deque

from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.http1.client_codec import Response
from gorsethread.http1.framing import InvalidResponseError
from gorsethread.http_gateway.backend_connection import BackendConnection, OutgoingRequest
from gorsethread.http_gateway.connection_pool import ConnectionPool
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import StreamClosed, Unreachable

# The operators' names of headers in a backend's answer.
DECLINED_HEADER = b"srv-declined"
SERVED_ELSEWHERE_HEADER = b"other-hosts"
USAGE_HEADER = b"volume-load"
MAX_FIGURE = 1e12
REUSE_DELAY_SECONDS = 0.005  # after an answer, the backend's close of the connection may still be in transit
# An answer without a length is given up after this long without a byte while its connection stays open.
END_TIMEOUT_SECONDS = 0.25


def parse_figure(value: bytes | None) -> float:
    """Returns a header's number, or 0 if it can't be parsed: the answer is valid without it."""
    try:
        number = float(value) if value else 0.0
    except ValueError:
        return 0.0
    return number if 0.0 <= number < MAX_FIGURE else 0.0


class BackendLink:
    """All connections to one backend at one address; the most recently used one is reused first.

    idle_connections holds this link's part of the pool's idle connections and is emptied with it.
    attempts_out counts the attempts that are in flight, wait for a connection to be established, or wait
    until one may be opened.
    """

    def __init__(self, pool: ConnectionPool, backend: int, address: tuple[str, int]) -> None:
        self.pool = pool
        self.backend = backend
        self.address = address
        self.transport = pool.transport
        self.host = f"{address[0]}:{address[1]}".encode()
        self.position = pool.position_of(backend)
        self.idle_connections: deque[BackendConnection] = deque()
        self.attempts_out = 0
        self.closed = False
        self.unready = False  # the backend is draining or has left the endpoint list

    @property
    def idle(self) -> bool:
        """Returns whether no attempt is in flight or waiting."""
        return not self.attempts_out

    def close(self) -> None:
        """Closes the idle connections and sends nothing more; attempts in flight go on to their end."""
        self.closed = True
        while self.idle_connections:
            self.close_connection(self.idle_connections[-1])

    # ---- attempts: sent, perhaps after a wait for a connection, and ended

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt over an idle connection or a new one, or queues it if no more may be opened."""
        connection = self._reusable_connection()
        if connection is not None:
            self._submit(connection, attempt)
        elif self.pool.make_room():
            self.pool.open_connections += 1
            self.attempts_out += 1
            self.transport.spawn(self._connect_and_send(attempt))
        elif self.unready:
            self.end(attempt, AttemptOutcome.NOT_SENT)
        else:
            self.attempts_out += 1
            self.pool.waiting.append((self, attempt))

    def resume(self, attempt: Attempt) -> None:
        """Sends an attempt that waited for a connection, or ends it if it may no longer begin."""
        self.attempts_out -= 1
        if attempt.ended:
            return
        if self.may_begin(attempt):
            self.send(attempt)
        else:
            self.end(attempt, AttemptOutcome.NOT_SENT)

    def drop_waiting(self, attempt: Attempt) -> None:
        """Ends an attempt that waited for a connection as not sent."""
        self.attempts_out -= 1
        self.end(attempt, AttemptOutcome.NOT_SENT)

    def may_begin(self, attempt: Attempt) -> bool:
        """Returns whether an attempt that waited for a connection may still begin.

        Meanwhile its deadline may have passed, or the backend may have moved to another address, begun to
        drain, or forgotten the request's key.
        """
        now = self.transport.now()
        if self.closed or now >= attempt.payload.deadline:
            return False
        return self.pool.may_begin(attempt.request, self.backend, attempt.sent_at, now)

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt and closes its connection, by which the backend sees that nobody waits."""
        connection = self.pool.busy.get(attempt.request)
        if connection is not None and connection.attempt is attempt:
            connection.link.close_connection(connection)
        # CANCELLED also if the attempt only waited for a connection: the client ended it, not the backend.
        self.end(attempt, AttemptOutcome.CANCELLED)

    def end(self, attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult = EMPTY_RESULT) -> None:
        """Ends an attempt with its outcome, unless it has ended already."""
        if not attempt.ended:
            attempt.ended = True
            attempt.on_end(attempt, outcome, result)

    def _submit(self, connection: BackendConnection, attempt: Attempt) -> None:
        outgoing: OutgoingRequest = attempt.payload
        connection.attempt = attempt
        connection.use_count += 1
        self.attempts_out += 1
        self.pool.busy[attempt.request] = connection
        connection.write(self.host, outgoing, self.transport.now())

    async def _connect_and_send(self, attempt: Attempt) -> None:
        try:
            stream = await self.transport.connect(*self.address, self.pool.connect_timeout)
        except Unreachable as error:
            self.attempts_out -= 1
            self.pool.open_connections -= 1
            self.pool.log.debug("connection to backend failed", backend=self.host.decode(), reason=str(error))
            self.end(attempt, AttemptOutcome.UNREACHABLE)
            self.pool.connection_freed()
            return
        self.attempts_out -= 1
        self.pool.opened_total += 1
        connection = BackendConnection(self, stream, self.pool.budget)
        if attempt.ended:
            self._keep_idle(connection)
        elif self.may_begin(attempt):
            self._submit(connection, attempt)
        else:
            self._keep_idle(connection)
            self.end(attempt, AttemptOutcome.NOT_SENT)
        await self._read_answers(connection)

    # ---- answers

    async def _read_answers(self, connection: BackendConnection) -> None:
        """Reads answers until the connection ends."""
        try:
            while True:
                # Not kept in a variable here, which would hold the answer until the next one arrives.
                self._read(connection, await connection.read())
                if connection.closed:
                    return
        except StreamClosed:
            self._connection_ended(connection)
        except InvalidResponseError as error:
            self.answer_invalid(connection, str(error))
        self.pool.connection_freed()

    def _read(self, connection: BackendConnection, answer: Response | None) -> None:
        """Handles the result of one read: an answer, or None if it is not complete."""
        if connection.closed:
            return  # closed after the bytes arrived: its attempt has ended
        if connection.codec.ends_with_connection:
            self._await_end(connection)
        if answer is not None:
            self._answered(connection, answer)
        elif self.pool.budget.exceeded:
            self._drop_largest_answer()

    def _connection_ended(self, connection: BackendConnection) -> None:
        unsent = connection.stream.unsent
        attempt = self.close_connection(connection)
        if attempt is None:
            return
        if connection.use_count > 1:
            self.pool.reuse_trust.record_use(True, self.transport.now())
        self.end(attempt, AttemptOutcome.UNREACHABLE if unsent else AttemptOutcome.CONNECTION_LOST)

    def _await_end(self, connection: BackendConnection) -> None:
        """Starts or restarts the timer that bounds the wait for the end of an answer without a length.

        Only the connection's end completes such an answer, so a backend that leaves the connection open would
        hold the request until its deadline.
        """
        if connection.end_timer is not None:
            connection.end_timer.cancel()
        when = self.transport.now() + END_TIMEOUT_SECONDS
        connection.end_timer = self.transport.call_at(when, lambda: self._end_overdue(connection))

    def _end_overdue(self, connection: BackendConnection) -> None:
        if not connection.closed and connection.codec.ends_with_connection:
            self.answer_invalid(connection, "an answer with neither a length nor an end")
            self.pool.connection_freed()

    def answer_invalid(self, connection: BackendConnection, reason: str) -> None:
        """Closes a connection after an invalid answer and ends its attempt, which may have run, as ERROR."""
        attempt = self.close_connection(connection)
        if attempt is not None:
            self.pool.invalid_answers.add(reason)
            self.end(attempt, AttemptOutcome.ERROR)

    def _drop_largest_answer(self) -> None:
        """Gives up the incomplete answer that holds the most memory, whichever backend sends it."""
        connection = self.pool.largest_incomplete_answer()
        if connection is not None:
            connection.link.answer_invalid(connection, "no memory for an incomplete answer")
            self.pool.connection_freed()

    def _answered(self, connection: BackendConnection, answer: Response) -> None:
        attempt = connection.attempt
        connection.attempt = None
        assert attempt is not None
        self.attempts_out -= 1
        self.pool.busy.pop(attempt.request, None)
        now = self.transport.now()
        if connection.use_count > 1:
            self.pool.reuse_trust.record_use(False, now)
        if answer.closes_connection or not self.pool.reuse_trust.allows_reuse(now):
            self.close_connection(connection)
        else:
            self._keep_idle(connection)
        self._end_answered(attempt, answer)
        self.pool.connection_freed()

    def _end_answered(self, attempt: Attempt, answer: Response) -> None:
        """Ends an attempt with the outcome that the backend's answer stands for."""
        if answer.status == 200:
            elsewhere = parse_figure(answer.header(SERVED_ELSEWHERE_HEADER))
            usage = parse_figure(answer.header(USAGE_HEADER))
            self.end(attempt, AttemptOutcome.SUCCEEDED, AttemptResult(answer.body, elsewhere, usage))
        elif answer.status in (503, 504) and answer.header(DECLINED_HEADER) == b"1":
            self.end(attempt, AttemptOutcome.REJECTED)
        else:
            self.end(attempt, AttemptOutcome.ERROR)

    # ---- connections: kept idle, reused and closed

    def _reusable_connection(self) -> BackendConnection | None:
        """Removes and returns the idle connection to reuse, or returns None.

        A backend may close a connection right after an answer, or send more bytes on it. So a connection that
        was used less than REUSE_DELAY_SECONDS ago is reused only if no other may be opened.
        """
        now = self.transport.now()
        idle_before = now - REUSE_DELAY_SECONDS if self.pool.reuse_trust.allows_reuse(now) else -1.0
        for connection in reversed(list(self.idle_connections)):
            if not connection.stream.is_idle():
                self.close_connection(connection)
            elif (
                connection.idle_since <= idle_before
                or self.pool.open_connections >= self.pool.max_connections
            ):
                self._forget_idle(connection)
                return connection
        return None

    def _keep_idle(self, connection: BackendConnection) -> None:
        connection.idle_since = self.transport.now()
        self.idle_connections.append(connection)
        self.pool.idle[connection] = None
        if self.closed:
            self.close_connection(connection)

    def _forget_idle(self, connection: BackendConnection) -> None:
        self.idle_connections.remove(connection)
        del self.pool.idle[connection]

    def close_connection(self, connection: BackendConnection) -> Attempt | None:
        """Closes the connection and returns the attempt that was in flight on it."""
        attempt = connection.attempt
        connection.attempt = None
        if attempt is not None:
            self.attempts_out -= 1
            self.pool.busy.pop(attempt.request, None)
        elif connection in self.pool.idle:
            self._forget_idle(connection)
        if connection.close():
            self.pool.open_connections -= 1
        return attempt
