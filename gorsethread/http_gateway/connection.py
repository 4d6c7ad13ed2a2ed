"""One client's connection: its bytes in order, one open request at a time, each answered once.

A connection ends by a half-close: what was written goes out, then this side's end, and what the client still
sends is read and dropped until it ends too. A plain close over unread bytes would be answered by the system
with a reset, which takes from the client what it has not read yet, the last answer among it.
"""

from typing import TYPE_CHECKING

from gorsethread.gateway.driver import Open
from gorsethread.http1.framing import READ_AHEAD_BYTES_MAX, Headers, InvalidRequestError
from gorsethread.http1.server_codec import ServerCodec, closing_response
from gorsethread.transport.base import READ_MOST, Stream, StreamClosed

if TYPE_CHECKING:
    from gorsethread.http_gateway.clients import ClientSide

PAUSE = 0.25  # seconds that a client whose request was invalid waits for its next to be read
LOOK_AGAIN = 0.02  # seconds until a client that was too far ahead, or reads no answers, is looked at again
# Bytes behind an open request, beyond which no more is read for now.
MOST_AHEAD = READ_AHEAD_BYTES_MAX - READ_MOST
MOST_UNSENT = 262_144  # bytes of answers that a client has not read, beyond which it gets no further one
MOST_DROPPED = 262_144  # bytes that are read and dropped behind the end of this side


class Connection:
    """One client's connection; it is the driver's client for the request that is open on it."""

    __slots__ = (
        "side",
        "stream",
        "codec",
        "taken",
        "id",
        "began",
        "served",
        "arrived",
        "over",
        "paused",
        "_dropped",
        "_looks_again",
    )

    def __init__(self, side: "ClientSide", stream: Stream, now: float) -> None:
        self.side, self.stream = side, stream
        self.codec = ServerCodec()
        self.taken: Open | None = None
        self.id = b""
        # When it connected, last went idle, the request now coming began, or this side ended.
        self.began: float = now
        self.arrived: float = now  # when bytes last came
        self.served = False
        self.over = False  # this side has ended: nothing more is answered or taken
        self.paused = False  # what has come is read on only after a while
        self._dropped = 0
        self._looks_again = False

    # ---- the driver's answers

    def succeeded(self, shard: int, data: bytes) -> None:
        self.taken = None
        self.answer(200, [], data)

    def rejected(self, return_after: float) -> None:
        self.taken = None
        headers = [(b"retry-after", b"%.3f" % return_after)] if return_after > 0 else []
        self.answer(503, headers, b"")

    def failed(self) -> None:
        self.taken = None
        self.answer(504, [], b"")

    # ---- answers and ends

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Answers the open request; while the program ends, says so on the last answer of the connection."""
        self.side.open.pop(self.id, None)
        self.id = b""
        if self.over:
            return
        said, goes_on = self.codec.respond(status, headers, body, last=self._is_last())
        self.stream.write(said)
        self.began, self.served = self.side.transport.now(), True
        if not goes_on:
            self.end()
        elif self.codec.partial:
            self.side.transport.soon(self.proceed)

    def _is_last(self) -> bool:
        """What has been read behind the request is owed an answer of its own, while there is time for it."""
        if not self.side.ending:
            return False
        return self.side.late() or not self.codec.bytes_ahead and self.stream.quiet()

    def refuse(self, error: InvalidRequestError) -> None:
        """Answers what can't be read as a request, or not any more, and ends the connection."""
        self.side.wrong[str(error)[:40]] += 1
        self.stream.write(closing_response(error.status))
        self.end()

    def end(self) -> None:
        """Ends this side; the connection stays until its client ends it too, or until the sweep."""
        if not self.over:
            self.over = True
            self.began = self.side.transport.now()
            self.stream.end_sending()

    def abort(self) -> None:
        """Closes both ways at once."""
        self.over = True
        self.stream.close()

    # ---- its bytes

    def proceed(self) -> None:
        """Goes on with what has come."""
        if self._answers_unread():
            return
        try:
            while not self.over and not self.paused and (request := self.codec.next_request()) is not None:
                self.side.requested(self, request)
                if self._answers_unread():
                    return
            if not self.over and self.codec.awaits_continue:
                self.stream.write(self.codec.continue_response())
        except InvalidRequestError as error:
            self.refuse(error)
        except Exception as error:
            # Also called by the loop, where an exception would end the program and all it holds.
            self.side.failed(self, error)

    def _answers_unread(self) -> bool:
        """Guards against a client that sends requests and reads no answer: these would add up in memory."""
        if self.over or self.stream.unsent <= MOST_UNSENT:
            return False
        if not self._looks_again:
            self._looks_again = True
            transport = self.side.transport
            transport.at(transport.now() + LOOK_AGAIN, self._look_again)
        return True

    def _look_again(self) -> None:
        self._looks_again = False
        self.proceed()

    async def serve(self) -> None:
        """Reads until the connection is closed by either side."""
        try:
            while True:
                data = await self.stream.read()
                if self.over:
                    self._drop(data)
                    continue
                self._came(data)
                self.proceed()
                await self._catch_up()
        except StreamClosed:
            pass

    def _came(self, data: bytes) -> None:
        if not self.codec.bytes_ahead:  # else a request held since earlier would get a later deadline
            self.arrived = self.side.transport.now()
        if not self.codec.partial and not self.codec.open:
            self.began = self.arrived if self.served else self.began
        self.codec.feed(data)

    def _drop(self, data: bytes) -> None:
        """Bytes that crossed the end of this side: their client sends such a request once more elsewhere."""
        self._dropped += len(data)
        if self._dropped > MOST_DROPPED:
            self.abort()

    async def _catch_up(self) -> None:
        """Reads on only when the client is not too far ahead of its answers. StreamClosed where it has left
        meanwhile, which no read would show behind bytes that are still unread."""
        transport = self.side.transport
        while not self.over and self._is_ahead():
            await transport.sleep(PAUSE if self.paused else LOOK_AGAIN)
            if self.stream.peer_ended():
                raise StreamClosed("closed by peer")
            self.paused = False
            self.proceed()

    def _is_ahead(self) -> bool:
        far_ahead = self.codec.open and self.codec.bytes_ahead > MOST_AHEAD
        return self.paused or far_ahead or self.stream.unsent > MOST_UNSENT
