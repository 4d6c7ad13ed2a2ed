"""The link to one backend: attempts sent over its connections, each ended once with its outcome.

Nothing is sent again here. An attempt for which no connection comes up, or whose connection ends before its
last byte is written, ends as UNREACHABLE; after that as CONNECTION_LOST, or as ERROR where the answer is
invalid.
"""

from collections import deque

from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.http1.client_codec import Response
from gorsethread.http1.framing import InvalidResponseError
from gorsethread.http_gateway.backend_connection import BackendConnection, OutgoingRequest
from gorsethread.http_gateway.connection_pool import ConnectionPool
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import StreamClosed, Unreachable

# Headers of a backend's answer, by the operators' names.
DECLINED_HEADER = b"srv-declined"
SERVED_ELSEWHERE_HEADER = b"other-hosts"
USAGE_HEADER = b"volume-load"
LARGEST_FIGURE = 1e12
REST_SECONDS = 0.005  # after an answer, within which the connection's end may still be on its way
# Without a byte, after which an answer that has no length and whose connection stays open has no end.
END_TIMEOUT_SECONDS = 0.25
REASON_LENGTH_MOST = 40  # characters of a reason that is counted


def parse_figure(value: bytes | None) -> float:
    """A header's number; 0 where it can't be read, as the answer stands without it."""
    try:
        number = float(value) if value else 0.0
    except ValueError:
        return 0.0
    return number if 0.0 <= number < LARGEST_FIGURE else 0.0


class BackendLink:
    """All connections to one backend at one address; the most recently used one is used first.

    Owns idle_connections (the pool's idle ones that are its own; emptied with them) and the count
    attempts_out of attempts in flight, waiting for a connection to come up or for room for one.
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
        self.unready = False  # the backend drains or has left the list

    @property
    def idle(self) -> bool:
        """Whether no attempt is out."""
        return not self.attempts_out

    def close(self) -> None:
        """Nothing more is sent here; what is in flight goes on to its end."""
        self.closed = True
        while self.idle_connections:
            self.lose(self.idle_connections[-1])

    # ---- an attempt's life: sent, perhaps after a wait for a connection, and ended

    def send(self, attempt: Attempt) -> None:
        """Sends over an idle connection or a new one; waits where no more may be opened."""
        connection = self._reusable_connection()
        if connection is not None:
            self._submit(connection, attempt)
        elif self.pool.make_room():
            self.pool.held += 1
            self.attempts_out += 1
            self.transport.spawn(self._connect_and_send(attempt))
        elif self.unready:
            self.end(attempt, AttemptOutcome.NOT_SENT)
        else:
            self.attempts_out += 1
            self.pool.waiting.append((self, attempt))

    def resume(self, attempt: Attempt) -> None:
        """Sends an attempt that waited for a connection, if it may still begin."""
        self.attempts_out -= 1
        if attempt.over:
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
        """Whether an attempt that waited for its connection may still begin.

        Meanwhile its deadline may have passed, the backend may have moved, begun to drain or forgotten the
        request's key.
        """
        now = self.transport.now()
        if self.closed or now >= attempt.payload.deadline:
            return False
        return self.pool.may_begin(attempt.request, self.backend, attempt.sent_at, now)

    def cancel(self, attempt: Attempt) -> None:
        """Closes the attempt's connection, by which the backend learns that nobody waits any more."""
        connection = self.pool.busy.get(attempt.request)
        if connection is not None and connection.attempt is attempt:
            connection.link.lose(connection)
        # Also where it only waited: the client ended it, not the backend.
        self.end(attempt, AttemptOutcome.CANCELLED)

    def end(self, attempt: Attempt, outcome: AttemptOutcome, answered: AttemptResult = EMPTY_RESULT) -> None:
        """Ends the attempt with its outcome, unless it has ended already."""
        if not attempt.over:
            attempt.over = True
            attempt.on_end(attempt, outcome, answered)

    def _submit(self, connection: BackendConnection, attempt: Attempt) -> None:
        outgoing: OutgoingRequest = attempt.payload
        connection.attempt = attempt
        connection.uses += 1
        self.attempts_out += 1
        self.pool.busy[attempt.request] = connection
        connection.write(self.host, outgoing, self.transport.now())

    async def _connect_and_send(self, attempt: Attempt) -> None:
        try:
            stream = await self.transport.connect(*self.address, self.pool.connect_timeout)
        except Unreachable as error:
            self.attempts_out -= 1
            self.pool.held -= 1
            self.pool.log.debug("backend not reached", backend=self.host.decode(), reason=str(error))
            self.end(attempt, AttemptOutcome.UNREACHABLE)
            self.pool.connection_freed()
            return
        self.attempts_out -= 1
        self.pool.opened += 1
        connection = BackendConnection(self, stream)
        if attempt.over:
            self._keep_idle(connection)
        elif self.may_begin(attempt):
            self._submit(connection, attempt)
        else:
            self._keep_idle(connection)
            self.end(attempt, AttemptOutcome.NOT_SENT)
        await self._read_answers(connection)

    # ---- what comes back

    async def _read_answers(self, connection: BackendConnection) -> None:
        """Reads until the connection ends."""
        try:
            while True:
                answer = await connection.read()
                if connection.over:
                    return  # closed since the bytes came: its attempt has ended
                if connection.codec.ends_with_connection:
                    self._await_end(connection)
                if answer is not None:
                    self._answered(connection, answer)
        except StreamClosed:
            self._connection_ended(connection)
        except InvalidResponseError as error:
            self._answer_invalid(connection, str(error))
        self.pool.connection_freed()

    def _connection_ended(self, connection: BackendConnection) -> None:
        unsent = connection.stream.unsent
        attempt = self.lose(connection)
        if attempt is None:
            return
        if connection.uses > 1:
            self.pool.trust.seen(True, self.transport.now())
        self.end(attempt, AttemptOutcome.UNREACHABLE if unsent else AttemptOutcome.CONNECTION_LOST)

    def _await_end(self, connection: BackendConnection) -> None:
        """Bounds the wait for the connection's end, which ends an answer without a length.

        A backend that leaves the connection open would hold the request until its deadline.
        """
        if connection.end_timer is not None:
            connection.end_timer.cancel()
        when = self.transport.now() + END_TIMEOUT_SECONDS
        connection.end_timer = self.transport.call_at(when, lambda: self._end_overdue(connection))

    def _end_overdue(self, connection: BackendConnection) -> None:
        if not connection.over and connection.codec.ends_with_connection:
            self._answer_invalid(connection, "an answer with neither a length nor an end")
            self.pool.connection_freed()

    def _answer_invalid(self, connection: BackendConnection, reason: str) -> None:
        """Closes the connection; the request on it may have run."""
        attempt = self.lose(connection)
        if attempt is not None:
            self.pool.invalid_answers[reason[:REASON_LENGTH_MOST]] += 1
            self.end(attempt, AttemptOutcome.ERROR)

    def _answered(self, connection: BackendConnection, answer: Response) -> None:
        attempt = connection.attempt
        connection.attempt = None
        assert attempt is not None
        self.attempts_out -= 1
        self.pool.busy.pop(attempt.request, None)
        now = self.transport.now()
        if connection.uses > 1:
            self.pool.trust.seen(False, now)
        if answer.closes_connection or not self.pool.trust.holds(now):
            self.lose(connection)
        else:
            self._keep_idle(connection)
        self._end_answered(attempt, answer)
        self.pool.connection_freed()

    def _end_answered(self, attempt: Attempt, answer: Response) -> None:
        """Ends the attempt by what the backend answered."""
        if answer.status == 200:
            elsewhere = parse_figure(answer.header(SERVED_ELSEWHERE_HEADER))
            usage = parse_figure(answer.header(USAGE_HEADER))
            self.end(attempt, AttemptOutcome.SUCCEEDED, AttemptResult(answer.body, elsewhere, usage))
        elif answer.status in (503, 504) and answer.header(DECLINED_HEADER) == b"1":
            self.end(attempt, AttemptOutcome.REJECTED)
        else:
            self.end(attempt, AttemptOutcome.ERROR)

    # ---- connections kept, reused and closed

    def _reusable_connection(self) -> BackendConnection | None:
        """The idle connection to use next.

        Backends may close a connection right behind an answer or send more on it: one that answered just
        now is used only where no other may be opened.
        """
        now = self.transport.now()
        before = now - REST_SECONDS if self.pool.trust.holds(now) else -1.0
        for connection in reversed(list(self.idle_connections)):
            if not connection.stream.is_idle():
                self.lose(connection)
            elif connection.idle_since <= before or self.pool.held >= self.pool.most:
                self._forget_idle(connection)
                return connection
        return None

    def _keep_idle(self, connection: BackendConnection) -> None:
        connection.idle_since = self.transport.now()
        self.idle_connections.append(connection)
        self.pool.idle[connection] = None
        if self.closed:
            self.lose(connection)

    def _forget_idle(self, connection: BackendConnection) -> None:
        self.idle_connections.remove(connection)
        del self.pool.idle[connection]

    def lose(self, connection: BackendConnection) -> Attempt | None:
        """Closes the connection and returns the attempt that was in flight on it."""
        attempt = connection.attempt
        connection.attempt = None
        if attempt is not None:
            self.attempts_out -= 1
            self.pool.busy.pop(attempt.request, None)
        elif connection in self.pool.idle:
            self._forget_idle(connection)
        if connection.close():
            self.pool.held -= 1
        return attempt
