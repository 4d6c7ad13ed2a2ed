"""One connection to a backend: writes a request and reads its answer."""

from typing import NamedTuple, Protocol

from gorsethread.gateway.attempts import Attempt
from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import Headers
from gorsethread.http_gateway.memory_budget import CONNECTION_BYTES, BudgetShare, MemoryBudget
from gorsethread.transport.base import Stream, StreamEnded, Timer

DEADLINE_HEADER = b"req-deadline-ms"  # the operators' header: milliseconds that the client still waits
MILLISECOND = 0.001  # seconds
PACKET_BYTES = 1_200  # a shorter read that ends with an answer has all that its sender wrote at once


class OutgoingRequest(NamedTuple):
    """An attempt's payload: the client's request, passed on unchanged.

    deadline is in seconds of the transport's clock.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    deadline: float


class ConnectionOwner(Protocol):
    """What the pool uses of the link that a connection belongs to."""

    position: int

    def close_connection(self, connection: "BackendConnection") -> Attempt | None:
        """Closes the connection and returns the attempt that was in flight on it."""
        ...

    def answer_invalid(self, connection: "BackendConnection", reason: str) -> None:
        """Closes a connection after an invalid answer and ends its attempt."""
        ...


class BackendConnection:
    """One connection and the attempt in flight on it.

    share is what its incomplete answer holds of the budget. end_timer bounds the wait for the end of an
    answer without a length. closed says that the connection was closed here. idle_since is in seconds of the
    transport's clock.
    """

    __slots__ = (
        "attempt",
        "codec",
        "end_timer",
        "idle_since",
        "link",
        "closed",
        "share",
        "stream",
        "use_count",
    )

    def __init__(self, link: ConnectionOwner, stream: Stream, budget: MemoryBudget) -> None:
        self.share = BudgetShare(budget)
        self.share.update(CONNECTION_BYTES)
        self.link = link
        self.stream = stream
        self.closed = False
        self.codec = ClientCodec()
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.use_count = 0
        self.end_timer: Timer | None = None

    def write(self, host: bytes, outgoing: OutgoingRequest, now: float) -> None:
        """Writes a request, with a header for the time that its client still waits: at least 1 ms."""
        remaining_ms = max(1, round((outgoing.deadline - now) / MILLISECOND))
        headers = [(b"host", host), *outgoing.headers, (DEADLINE_HEADER, b"%d" % remaining_ms)]
        self.stream.write(self.codec.request(outgoing.method, outgoing.target, headers, outgoing.body))

    async def read(self) -> Response | None:
        """Reads once; returns the answer if that completed it, else None.

        Raises StreamClosed if the connection ended without completing an answer, InvalidResponseError if the
        bytes are not a valid answer, or bytes that have arrived behind it may be the rest of its body.
        """
        try:
            data = await self.stream.read()
        except StreamEnded:
            answer = None if self.closed else self.codec.connection_ended()
            if answer is None:
                raise
            return answer
        if self.closed:
            return None
        answer = self.codec.feed(data)
        self.share.update(CONNECTION_BYTES + self.codec.held_bytes)
        if answer is not None and len(data) > PACKET_BYTES and self.stream.has_unread_bytes():
            answer = await self._with_surplus_read(answer)
        return answer

    async def _with_surplus_read(self, answer: Response) -> Response | None:
        """Reads the bytes behind an answer that a read ended with; returns the answer if they repeat it."""
        surplus = await self.stream.read()
        if self.closed:
            return None
        answer.check_surplus(surplus)
        return answer._replace(closes_connection=True)

    def close(self) -> bool:
        """Closes the connection; returns whether it was still open."""
        if self.end_timer is not None:
            self.end_timer.cancel()
        if self.closed:
            return False
        self.closed = True
        self.share.update(0)
        self.stream.close()
        return True
