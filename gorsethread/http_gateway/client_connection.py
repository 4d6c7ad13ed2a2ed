"""One client's connection: reads its requests in order and answers each once, one open request at a time.

The gateway ends a connection by a half-close: it sends what was written, then the end of its side, and reads
and drops what the client still sends until the client ends its side too. If it closed the connection over
unread bytes, the system would send a reset, and the client would lose what it has not read yet, including the
last answer.
"""

from typing import Protocol

from gorsethread.gateway.open_requests import OpenRequest
from gorsethread.http1.framing import READ_AHEAD_BYTES_MAX, Headers, InvalidRequestError
from gorsethread.http1.server_codec import Request, ServerCodec, closing_response
from gorsethread.http_gateway.memory_budget import CONNECTION_BYTES, BudgetShare, MemoryBudget
from gorsethread.http_gateway.reason_counts import ReasonCounts
from gorsethread.http_gateway.request_parsing import KEPT_HEADERS
from gorsethread.transport.base import MAX_READ_BYTES, Stream, StreamClosed, StreamEnded, Transport

PAUSE_SECONDS = 0.25  # after an invalid request, until the connection's next request is read
RECHECK_SECONDS = 0.02  # between checks of a client that is too far ahead or does not read its answers
# Bytes received and not handled yet. A client's end stands behind all that it sent, so that much is read to
# see the end; above this, the connection is ended.
MAX_AHEAD_BYTES = READ_AHEAD_BYTES_MAX - MAX_READ_BYTES
MAX_UNSENT_BYTES = 262_144  # bytes of unread answers; above this, no further request is handled
MAX_DROPPED_BYTES = 262_144  # bytes dropped after this side has ended; above this, the connection is closed
TOO_FAR_AHEAD = "too much sent ahead"


class ConnectionOwner(Protocol):
    """What a connection uses of the client side."""

    transport: Transport
    ending: bool
    budget: MemoryBudget
    open_requests: "dict[int, ClientConnection]"
    invalid_requests: ReasonCounts

    def is_past_end(self) -> bool:
        """Returns whether the time by which the program ends has passed."""
        ...

    def handle_request(self, connection: "ClientConnection", request: Request) -> None:
        """Handles a complete request."""
        ...

    def request_answered(self, connection: "ClientConnection") -> None:
        """Records that the connection's open request is answered."""
        ...

    def give_up_request(self, connection: "ClientConnection") -> None:
        """Cancels the connection's open request and answers it with an error."""
        ...

    def connection_failed(self, connection: "ClientConnection", error: Exception) -> None:
        """Ends a connection whose bytes raised an unexpected error."""
        ...

    def relieve_memory(self) -> None:
        """Makes connections give up what they hold while the budget is exceeded."""
        ...


class ClientConnection:
    """One client's connection, which acts as the driver's Client for the request open on it.

    open_request is None again after the answer or once the client has left. state_since is when the
    connection was opened, last became idle, began to receive the current request, or was ended by this side;
    received_at is when bytes were last received; unread_since is when the client last read of its answers, or
    had nothing to read. All are in seconds of the transport's clock. share is what it holds of the budget.
    close_reason is the first reason for which either side ended the connection, "" until then.
    """

    __slots__ = (
        "_dropped",
        "_proceed_due",
        "_recheck_due",
        "received_at",
        "close_reason",
        "codec",
        "open_request",
        "ended",
        "floods",
        "last_unsent",
        "paused",
        "request_id",
        "served",
        "share",
        "side",
        "state_since",
        "stream",
        "unread_since",
    )

    def __init__(self, side: ConnectionOwner, stream: Stream, now: float) -> None:
        self.side = side
        self.stream = stream
        self.codec = ServerCodec(KEPT_HEADERS)
        self.share = BudgetShare(side.budget)
        self.share.update(CONNECTION_BYTES)
        self.unread_since = now
        self.last_unsent = 0  # bytes of answers, as of the last check_unread()
        self.open_request: OpenRequest | None = None
        self.request_id: int | None = None
        self.state_since: float = now
        self.received_at: float = now
        self.served = False
        self.ended = False  # this side has ended: nothing more is answered or handled
        self.floods = False  # too much was received behind the open request, so its answer is the last
        self.paused = False  # the bytes received are not parsed further for PAUSE_SECONDS
        self.close_reason = ""
        self._dropped = 0
        self._proceed_due = False  # requests received already wait for the next iteration of the event loop
        self._recheck_due = False

    # ---- the driver's Client interface

    def succeeded(self, _shard: int, data: bytes) -> None:
        """Answers with the body of the backend's answer."""
        self.side.request_answered(self)
        self.answer(200, [], data)

    def rejected(self, retry_after: float) -> None:
        """Answers that the request did not run and may be retried after so many seconds."""
        self.side.request_answered(self)
        headers = [(b"retry-after", b"%.3f" % retry_after)] if retry_after > 0 else []
        self.answer(503, headers, b"")

    def failed(self) -> None:
        """Answers that the request failed and may have run."""
        self.side.request_answered(self)
        self.answer(504, [], b"")

    # ---- answers and ends

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Answers the open request; during shutdown, marks the last answer as closing the connection."""
        if self.ended:
            return
        data, keeps_alive = self.codec.respond(status, headers, body, last=self._is_last())
        self.stream.write(data)
        self.state_since = self.side.transport.now()
        self.served = True
        self.update_share()
        if not keeps_alive:
            self.end("last answer")
        elif self.codec.partial:
            self._proceed_soon()

    def _is_last(self) -> bool:
        """Returns whether the answer being sent is the connection's last one.

        Requests already received behind the open one get answers of their own while there is time.
        """
        if not self.side.ending:
            return self.floods
        return self.side.is_past_end() or (not self.codec.bytes_ahead and self.stream.is_idle())

    def refuse(self, error: InvalidRequestError) -> None:
        """Answers an invalid request, or one that is too late, with an error and ends the connection."""
        self.side.invalid_requests.add(str(error))
        self.stream.write(closing_response(error.status))
        self.end("invalid request")

    def end(self, reason: str) -> None:
        """Ends this side; the connection is closed when the client ends it too, or by the sweep."""
        if not self.ended:
            self.ended = True
            self._set_close_reason(reason)
            self.state_since = self.side.transport.now()
            self.codec = ServerCodec(KEPT_HEADERS)  # drops the bytes received
            self.update_share()
            self.stream.end_sending()

    def abort(self, reason: str) -> None:
        """Closes both directions at once."""
        self.ended = True
        self._set_close_reason(reason)
        self.share.update(0)
        self.stream.close()

    def _set_close_reason(self, reason: str) -> None:
        self.close_reason = self.close_reason or reason

    def update_share(self) -> None:
        """Updates what this connection holds of the budget."""
        self.share.update(CONNECTION_BYTES + self.codec.held_bytes + self.stream.unsent)

    def check_unread(self, now: float) -> None:
        """Updates the share, and since when the client has not read of its answers; call it periodically."""
        unsent = self.stream.unsent
        if not unsent or unsent < self.last_unsent:
            self.unread_since = now
        self.last_unsent = unsent
        self.update_share()

    # ---- received bytes

    async def serve(self) -> None:
        """Reads until either side closes the connection."""
        try:
            while True:
                # Not kept in a variable here, which would hold the bytes until the next ones arrive.
                self._handle(await self.stream.read())
                await self._catch_up()
        except StreamEnded:
            self._set_close_reason("ended by the client")
        except StreamClosed as error:
            self._set_close_reason(f"broken: {error}")

    def _handle(self, data: bytes) -> None:
        if self.ended:
            self._drop(data)
            return
        self._received(data)
        self.proceed()

    def _received(self, data: bytes) -> None:
        if not self.codec.bytes_ahead:  # otherwise a request received earlier would get a later deadline
            self.received_at = self.side.transport.now()
        if not self.codec.partial and not self.codec.open and self.served:
            self.state_since = self.received_at
        self.codec.feed(data)
        self.update_share()
        if self.side.budget.exceeded:
            self.side.relieve_memory()
        if self.codec.held_bytes > MAX_AHEAD_BYTES:
            self.refuse_flood()

    def refuse_flood(self) -> None:
        """Answers the open request with an error and ends the connection with those behind it.

        It can't be seen whether a client that sent so much ahead still waits.
        """
        if self.open_request is None:
            self.refuse(InvalidRequestError(503, TOO_FAR_AHEAD))
            return
        self.floods = True
        self.side.give_up_request(self)

    def proceed(self) -> None:
        """Handles the next request received; those behind it follow in later iterations of the event loop."""
        if self._answers_unread():
            return
        try:
            self._handle_next_request()
        except InvalidRequestError as error:
            self.refuse(error)
        except Exception as error:
            # The event loop also calls this method; an exception there would end the program and all
            # of its requests.
            self.side.connection_failed(self, error)

    def _handle_next_request(self) -> None:
        if self.ended or self.paused:
            return
        request = self.codec.next_request()
        if request is not None:
            self.side.handle_request(self, request)
        elif self.codec.awaits_continue:
            self.stream.write(self.codec.continue_response())

    def _proceed_soon(self) -> None:
        if not self._proceed_due:
            self._proceed_due = True
            self.side.transport.call_soon(self._proceed_now)

    def _proceed_now(self) -> None:
        self._proceed_due = False
        self.proceed()

    def _answers_unread(self) -> bool:
        """Returns whether too much of the answers is unread; then schedules a check to proceed later.

        Further answers would accumulate in memory.
        """
        if self.ended or self.stream.unsent <= MAX_UNSENT_BYTES:
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
        """Drops bytes received after this side has ended; the client sends such a request elsewhere."""
        self._dropped += len(data)
        if self._dropped > MAX_DROPPED_BYTES:
            self.abort("sends on after its end")

    async def _catch_up(self) -> None:
        """Waits while the client is too far ahead of its answers.

        Raises StreamClosed if the client leaves meanwhile, which a read would not show behind unread bytes.
        """
        transport = self.side.transport
        while not self.ended and self._is_ahead():
            await transport.sleep(PAUSE_SECONDS if self.paused else RECHECK_SECONDS)
            await self._read_available()
            if self.stream.peer_ended():
                raise StreamClosed("closed by peer")
            self.paused = False
            self.proceed()

    async def _read_available(self) -> None:
        """Reads what has arrived, as the client's end may stand behind it.

        Raises StreamClosed if the client has left.
        """
        while not self.ended and self.stream.has_unread_bytes():
            self._received(await self.stream.read())

    def _is_ahead(self) -> bool:
        return self.paused or self._proceed_due or self.stream.unsent > MAX_UNSENT_BYTES
