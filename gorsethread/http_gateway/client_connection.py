"""One client's connection: its bytes in order, one open request at a time, each answered once.

A connection ends by a half-close: what was written goes out, then this side's end, and what the client still
sends is read and dropped until it ends too. A plain close over unread bytes would be answered by the system
with a reset, which takes from the client what it has not read yet, the last answer among it.
"""

from collections import Counter
from typing import Protocol

from gorsethread.gateway.open_requests import OpenRequest
from gorsethread.http1.framing import READ_AHEAD_BYTES_MAX, Headers, InvalidRequestError
from gorsethread.http1.server_codec import Request, ServerCodec, closing_response
from gorsethread.transport.base import MAX_READ_BYTES, Stream, StreamClosed, Transport

PAUSE_SECONDS = 0.25  # until a client whose request was invalid has its next one read
RECHECK_SECONDS = 0.02  # until a client that was too far ahead, or reads no answers, is looked at again
# Bytes behind an open request, beyond which no more is read for now.
AHEAD_MOST = READ_AHEAD_BYTES_MAX - MAX_READ_BYTES
UNSENT_MOST = 262_144  # bytes of answers that a client has not read, beyond which it gets no further one
DROPPED_MOST = 262_144  # bytes that are read and dropped behind the end of this side
REASON_LENGTH_MOST = 40  # characters of a reason that is counted


class ConnectionOwner(Protocol):
    """What a connection needs of the client side."""

    transport: Transport
    ending: bool
    open: "dict[bytes, ClientConnection]"
    invalid_requests: Counter[str]

    def late(self) -> bool:
        """Whether the program's own end has come."""
        ...

    def requested(self, connection: "ClientConnection", request: Request) -> None:
        """A complete request has come."""
        ...

    def failed(self, connection: "ClientConnection", error: Exception) -> None:
        """An unexpected error was met by the connection's bytes."""
        ...


class ClientConnection:
    """One client's connection; it is the driver's client for the request that is open on it.

    Owns the codec and the open request, which its answer or the client's leaving empties. since: when it
    connected, last became idle, its present request began to come, or this side ended, in seconds of the
    transport's clock; arrived: when bytes last came.
    """

    __slots__ = (
        "_dropped",
        "_recheck_due",
        "arrived",
        "codec",
        "open_request",
        "over",
        "paused",
        "request_id",
        "served",
        "side",
        "since",
        "stream",
    )

    def __init__(self, side: ConnectionOwner, stream: Stream, now: float) -> None:
        self.side = side
        self.stream = stream
        self.codec = ServerCodec()
        self.open_request: OpenRequest | None = None
        self.request_id = b""
        self.since: float = now
        self.arrived: float = now
        self.served = False
        self.over = False  # this side has ended: nothing more is answered or taken
        self.paused = False  # what has come is read on only after a while
        self._dropped = 0
        self._recheck_due = False

    # ---- the driver's answers

    def succeeded(self, _shard: int, data: bytes) -> None:
        """Answers with what the backend answered."""
        self.open_request = None
        self.answer(200, [], data)

    def rejected(self, return_after: float) -> None:
        """Answers that the request did not run and may be retried after so many seconds."""
        self.open_request = None
        headers = [(b"retry-after", b"%.3f" % return_after)] if return_after > 0 else []
        self.answer(503, headers, b"")

    def failed(self) -> None:
        """Answers that it is unknown whether the request ran."""
        self.open_request = None
        self.answer(504, [], b"")

    # ---- answers and ends

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Answers the open request; while the program ends, marks the connection's last answer."""
        self.side.open.pop(self.request_id, None)
        self.request_id = b""
        if self.over:
            return
        data, goes_on = self.codec.respond(status, headers, body, last=self._is_last())
        self.stream.write(data)
        self.since = self.side.transport.now()
        self.served = True
        if not goes_on:
            self.end()
        elif self.codec.partial:
            self.side.transport.call_soon(self.proceed)

    def _is_last(self) -> bool:
        """What has been read behind the request is owed an answer of its own, while there is time for it."""
        if not self.side.ending:
            return False
        return self.side.late() or (not self.codec.bytes_ahead and self.stream.is_idle())

    def refuse(self, error: InvalidRequestError) -> None:
        """Answers what can't be read as a request, or not any more, and ends the connection."""
        self.side.invalid_requests[str(error)[:REASON_LENGTH_MOST]] += 1
        self.stream.write(closing_response(error.status))
        self.end()

    def end(self) -> None:
        """Ends this side; the connection stays until its client ends it too, or until the sweep."""
        if not self.over:
            self.over = True
            self.since = self.side.transport.now()
            self.stream.end_sending()

    def abort(self) -> None:
        """Closes both ways at once."""
        self.over = True
        self.stream.close()

    # ---- its bytes

    async def serve(self) -> None:
        """Reads until the connection is closed by either side."""
        try:
            while True:
                data = await self.stream.read()
                if self.over:
                    self._drop(data)
                    continue
                self._received(data)
                self.proceed()
                await self._catch_up()
        except StreamClosed:
            pass

    def _received(self, data: bytes) -> None:
        if not self.codec.bytes_ahead:  # else a request held since earlier would get a later deadline
            self.arrived = self.side.transport.now()
        if not self.codec.partial and not self.codec.open and self.served:
            self.since = self.arrived
        self.codec.feed(data)

    def proceed(self) -> None:
        """Takes the requests that have come."""
        if self._answers_unread():
            return
        try:
            self._take_requests()
        except InvalidRequestError as error:
            self.refuse(error)
        except Exception as error:
            # Also called by the loop, where an exception would end the program and all its requests.
            self.side.failed(self, error)

    def _take_requests(self) -> None:
        while not self.over and not self.paused:
            request = self.codec.next_request()
            if request is None:
                break
            self.side.requested(self, request)
            if self._answers_unread():
                return
        if not self.over and self.codec.awaits_continue:
            self.stream.write(self.codec.continue_response())

    def _answers_unread(self) -> bool:
        """Whether the client reads no answers: they would add up in memory, so nothing more is taken."""
        if self.over or self.stream.unsent <= UNSENT_MOST:
            return False
        if not self._recheck_due:
            self._recheck_due = True
            transport = self.side.transport
            transport.call_at(transport.now() + RECHECK_SECONDS, self._recheck)
        return True

    def _recheck(self) -> None:
        self._recheck_due = False
        self.proceed()

    def _drop(self, data: bytes) -> None:
        """Bytes that crossed the end of this side: their client sends such a request elsewhere."""
        self._dropped += len(data)
        if self._dropped > DROPPED_MOST:
            self.abort()

    async def _catch_up(self) -> None:
        """Waits while the client is too far ahead of its answers.

        Raises StreamClosed where it has left meanwhile, which no read would show behind unread bytes.
        """
        transport = self.side.transport
        while not self.over and self._is_ahead():
            await transport.sleep(PAUSE_SECONDS if self.paused else RECHECK_SECONDS)
            if self.stream.peer_ended():
                raise StreamClosed("closed by peer")
            self.paused = False
            self.proceed()

    def _is_ahead(self) -> bool:
        far_ahead = self.codec.open and self.codec.bytes_ahead > AHEAD_MOST
        return self.paused or far_ahead or self.stream.unsent > UNSENT_MOST
