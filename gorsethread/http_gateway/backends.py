"""Connections to backends: one request at a time on each, each attempt's one ending told as it was.

Nothing is sent again here. A attempt for which no connection comes up, or whose connection ends before its
last byte is written, ends as UNREACHED; after that as BROKEN, or as ERROR where what came can't be read.
"""

from collections import deque
from typing import NamedTuple

from gorsethread.gateway.carrying import NOTHING, Attempt, Told
from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import Headers, InvalidResponseError
from gorsethread.http_gateway.pool import ConnectionPool
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import Stream, StreamClosed, StreamEnded, Timer, Unreachable

DECLINED = b"srv-declined"
ELSEWHERE, USAGE = b"other-hosts", b"volume-load"
REST = 0.005  # seconds after an answer within which an end of the connection may still be on its way
# Seconds without a byte, after which an answer that has no length and whose connection stays open has no end.
END_WITHIN = 0.25
MILLISECOND = 0.001


class OutgoingRequest(NamedTuple):
    """A attempt's payload here: what the client sent, passed on unchanged, and until when it waits."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    deadline: float


def figure(value: bytes | None) -> float:
    """A figure told beside an answer; 0 where it can't be read, as the answer stands without it."""
    try:
        read = float(value) if value else 0.0
    except ValueError:
        return 0.0
    return read if 0.0 <= read < 1e12 else 0.0


class BackendConnection:
    """One connection and what is out on it. over: it has ended, or is not used any more."""

    __slots__ = ("link", "stream", "asking", "out", "idle_since", "uses", "over", "end_timer")

    def __init__(self, link: "BackendLink", stream: Stream) -> None:
        self.link, self.stream = link, stream
        self.over = False
        self.asking = ClientCodec()
        self.out: Attempt | None = None
        self.idle_since = 0.0
        self.uses = 0
        self.end_timer: Timer | None = None  # while the end of an answer without a length is waited for


class BackendLink:
    """All connections to one backend at one address; the most recently used goes first."""

    def __init__(self, pool: ConnectionPool, backend: int, address: tuple[str, int]) -> None:
        self.pool, self.backend, self.address = pool, backend, address
        self.transport = pool.transport
        self.host = f"{address[0]}:{address[1]}".encode()
        self.kept: deque[BackendConnection] = deque()  # emptied by use, by sweep() and as connections end
        self.out = 0  # attempts that are out, wait for a connection to come up or for room for one
        self.closed = False
        self.unready = False  # the backend drains or has left the list

    @property
    def idle(self) -> bool:
        return not self.out

    def close(self) -> None:
        """No more is sent here; what is out goes on to its end."""
        self.closed = True
        while self.kept:
            self.lose(self.kept[-1])

    # ---- from the driver

    def send(self, f: Attempt) -> None:
        connection = self._rested()
        if connection is not None:
            self._submit(connection, f)
        elif self.pool.room():
            self.pool.held += 1
            self.out += 1
            self.transport.spawn(self._dial(f))
        elif self.unready:
            self.end(f, AttemptOutcome.NOT_SENT)
        else:
            self.out += 1
            self.pool.waiting.append((self, f))

    def cancel(self, f: Attempt) -> None:
        """Closes its connection, by which the backend learns that nobody waits, before more is sent."""
        connection = self.pool.busy.get(f.request)
        if connection is not None and connection.out is f:
            connection.link.lose(connection)
        self.end(
            f, AttemptOutcome.CANCELLED
        )  # also where it only waited: not the backend, the client ended it

    # ---- connections

    def _rested(self) -> BackendConnection | None:
        """The connection to use next. Guards against backends that end a connection right behind an answer,
        or say more on it: one that answered just now is used only where no other may be opened."""
        now = self.transport.now()
        before = now - REST if self.pool.trust.holds(now) else -1.0
        for connection in reversed(list(self.kept)):
            if not connection.stream.quiet():
                self.lose(connection)
            elif connection.idle_since <= before or self.pool.held >= self.pool.most:
                self.kept.remove(connection)
                return connection
        return None

    async def _dial(self, f: Attempt) -> None:
        try:
            stream = await self.transport.connect(*self.address, self.pool.dial_within)
        except Unreachable as error:
            self.out -= 1
            self.pool.held -= 1
            self.pool.log.debug("shelf not reached", backend=self.host.decode(), reason=str(error))
            self.end(f, AttemptOutcome.UNREACHABLE)
            self.pool.freed()
            return
        self.out -= 1
        self.pool.opened += 1
        connection = BackendConnection(self, stream)
        if f.over:
            self._rest(connection)
        elif self.may_begin(f):
            self._submit(connection, f)
        else:
            self._rest(connection)
            self.end(f, AttemptOutcome.NOT_SENT)
        await self._listen(connection)

    def may_begin(self, f: Attempt) -> bool:
        """Whether an attempt that waited for its connection may still begin. Meanwhile its time may have
        passed, the backend may have moved or been told to drain, or have forgotten the request's key."""
        now = self.transport.now()
        if self.closed or now >= f.payload.deadline:
            return False
        return self.pool.may_begin(f.request, self.backend, f.sent_at, now)

    def _submit(self, connection: BackendConnection, f: Attempt) -> None:
        outgoing: OutgoingRequest = f.payload
        left = max(1, round((outgoing.deadline - self.transport.now()) / MILLISECOND))
        headers = [(b"host", self.host), *outgoing.headers, (b"req-deadline-ms", b"%d" % left)]
        connection.out = f
        connection.uses += 1
        self.out += 1
        self.pool.busy[f.request] = connection
        connection.stream.write(
            connection.asking.request(outgoing.method, outgoing.target, headers, outgoing.body)
        )

    async def _listen(self, connection: BackendConnection) -> None:
        try:
            while True:
                answer = await self._read(connection)
                if connection.over:
                    return  # ended in this very turn: what was out on it has its ending
                if answer is not None:
                    self._answered(connection, answer)
        except StreamClosed:
            unsent = connection.stream.unsent
            f = self.lose(connection)
            if f is not None:
                if connection.uses > 1:
                    self.pool.trust.seen(True, self.transport.now())
                self.end(f, AttemptOutcome.UNREACHABLE if unsent else AttemptOutcome.CONNECTION_LOST)
        except InvalidResponseError as error:
            self._spoilt(connection, str(error))
        self.pool.freed()

    async def _read(self, connection: BackendConnection) -> Response | None:
        """Reads once; the answer where that made it whole."""
        try:
            data = await connection.stream.read()
        except StreamEnded:
            answer = None if connection.over else connection.asking.ended()
            if answer is None:
                raise
            return answer
        if connection.over:
            return None
        answer = connection.asking.feed(data)
        if connection.asking.ends_with_connection:
            self._await_end(connection)
        return answer

    def _await_end(self, connection: BackendConnection) -> None:
        """An answer without a length ends right behind its last byte, by the end of its connection. Guards
        against a backend that leaves it open: the request would wait for its whole time."""
        if connection.end_timer is not None:
            connection.end_timer.cancel()
        by = self.transport.now() + END_WITHIN
        connection.end_timer = self.transport.at(by, lambda: self._never_ended(connection))

    def _never_ended(self, connection: BackendConnection) -> None:
        if not connection.over and connection.asking.ends_with_connection:
            self._spoilt(connection, "an answer with neither a length nor an end")
            self.pool.freed()

    def _spoilt(self, connection: BackendConnection, reason: str) -> None:
        """What came is no answer, and the connection is of no more use; its request may have run."""
        f = self.lose(connection)
        if f is not None:
            self.pool.spoilt[reason[:40]] += 1
            self.end(f, AttemptOutcome.ERROR)

    def _answered(self, connection: BackendConnection, answer: Response) -> None:
        f, connection.out = connection.out, None
        assert f is not None
        self.out -= 1
        self.pool.busy.pop(f.request, None)
        now = self.transport.now()
        if connection.uses > 1:
            self.pool.trust.seen(False, now)
        if answer.closes_connection or not self.pool.trust.holds(now):
            self.lose(connection)
        else:
            self._rest(connection)
        if answer.status == 200:
            self.end(
                f,
                AttemptOutcome.SUCCEEDED,
                Told(answer.body, figure(answer.header(ELSEWHERE)), figure(answer.header(USAGE))),
            )
        elif answer.status in (503, 504) and answer.header(DECLINED) == b"1":
            self.end(f, AttemptOutcome.REJECTED)
        else:
            self.end(f, AttemptOutcome.ERROR)
        self.pool.freed()

    def _rest(self, connection: BackendConnection) -> None:
        connection.idle_since = self.transport.now()
        self.kept.append(connection)
        if self.closed:
            self.lose(connection)

    def lose(self, connection: BackendConnection) -> Attempt | None:
        """The connection is used no more; returns what was out on it."""
        f, connection.out = connection.out, None
        if f is not None:
            self.out -= 1
            self.pool.busy.pop(f.request, None)
        elif connection in self.kept:
            self.kept.remove(connection)
        if connection.end_timer is not None:
            connection.end_timer.cancel()
        if not connection.over:
            connection.over = True
            self.pool.held -= 1
            connection.stream.close()
        return f

    def end(self, f: Attempt, how: AttemptOutcome, told: Told = NOTHING) -> None:
        if not f.over:
            f.over = True
            f.ended(f, how, told)
