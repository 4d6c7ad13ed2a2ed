"""TCP connections and listening ports of a real process, on Tornado streams."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, cast

from tornado.iostream import IOStream, StreamClosedError

from gorsethread.transport.base import MAX_READ_BYTES, Stream, StreamClosed, StreamEnded
from gorsethread.transport.large_reads import READ_BYTES, SMALL_READ_BYTES, LargeReads
from gorsethread.transport.loop_iterations import LoopIterations

TCP_STATES_PEER_ENDED = (7, 8, 9, 11)  # Linux numbers of CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
LISTEN_BACKLOG = 512  # connections that the system completes before the program accepts them
ACCEPTS_PER_EVENT = 32  # per loop iteration, so that a flood of connections does not starve open ones
ACCEPT_RETRY_DELAY = 0.05  # seconds, after accept() failed


class Tasks(Protocol):
    """What a listener uses of the transport."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task."""
        ...


class SocketStream(IOStream):
    """Tornado's stream on a TCP socket, on which every error of the system is the end of the connection.

    Tornado closes the stream at any error, but raises those that it does not take for the end. Reads are of a
    small piece at once, so that reads which have to wait hold little.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection, read_chunk_size=SMALL_READ_BYTES, max_buffer_size=4 * MAX_READ_BYTES)

    def _is_connreset(self, exc: BaseException) -> bool:
        """Returns whether the connection has ended; Tornado documents that a subclass may override this."""
        return isinstance(exc, OSError)


def release_error(stream: IOStream) -> None:
    """Drops the error of an ended stream.

    The frames of its traceback refer to the stream and to the error, so that the stream and its buffers would
    stay in memory until the collector of reference cycles runs.
    """
    if stream.error is not None:
        stream.error.__traceback__ = None
        stream.error = None


class RealStream:
    """A TCP connection, on a Tornado stream."""

    def __init__(
        self, stream: IOStream, peer: str, iterations: LoopIterations, large_reads: LargeReads
    ) -> None:
        self._stream = stream
        self.peer = peer
        self._iterations = iterations
        self._large_reads = large_reads
        self._reading: asyncio.Future[bytes] | None = None  # until read() has returned its bytes
        self._next_reading: asyncio.Future[bytes] | None = None  # begun by the last large read
        self._admission: asyncio.Future[None] | None = None  # of the last large read
        self._flushed: asyncio.Future[None] | None = None
        self._corked: list[bytes] = []  # written in this iteration of the loop; emptied at its end
        self._corked_size = 0
        self._sending_ended = False
        self._closed_here = False
        self._error_text = ""  # of the error that ended the stream
        stream.set_nodelay(True)

    @property
    def unsent(self) -> int:
        buffered = self._stream._total_write_index - self._stream._total_write_done_index
        return self._corked_size + buffered

    async def read(self) -> bytes:
        self._iterations.work_ended(self.peer)
        try:
            self._reading = self._next_reading or self._start_reading()
            self._next_reading = None
            # Awaiting a complete read does not suspend: its task would go on for as long as there are bytes.
            is_complete = self._reading.done()
            data = await self._reading
        except OSError as error:  # StreamClosedError is one
            raise self._ended_by(error) from None
        if len(data) >= SMALL_READ_BYTES:
            self._admission = self._large_reads.request()
            if self._admission is not None:
                await self._admission
            data += self._read_available(READ_BYTES - len(data))
        elif is_complete:
            await asyncio.sleep(0.0)
        self._reading = None
        self._iterations.work_began(self.peer, len(data))
        return data

    def _ended_by(self, error: OSError) -> StreamClosed:
        """Closes the stream after an error, and returns what to raise for it."""
        reason = error.real_error if isinstance(error, StreamClosedError) else error
        self._stream.close()
        self._forget_errors()
        if reason is not None:
            self._error_text = str(reason)
        if not self._error_text and not self._closed_here:
            return StreamEnded("closed by peer")
        return StreamClosed(self._error_text or "closed")

    def _forget_errors(self) -> None:
        """Drops the futures of an ended stream, whose errors refer to frames that refer to the stream."""
        self._reading = None
        self._next_reading = None
        self._flushed = None
        release_error(self._stream)

    def _start_reading(self, limit: int = SMALL_READ_BYTES) -> "asyncio.Future[bytes]":
        return cast("asyncio.Future[bytes]", self._stream.read_bytes(limit, partial=True))

    def _read_available(self, limit: int) -> bytes:
        """Returns bytes that have arrived, without a wait; if there are none, the next read awaits them."""
        if self._stream.closed():
            return b""
        self._stream.read_chunk_size = limit
        try:
            reading = self._start_reading(limit)
        except OSError as error:
            self._stream.close(exc_info=error)
            return b""
        finally:
            self._stream.read_chunk_size = SMALL_READ_BYTES
        if reading.done() and reading.exception() is None:
            return reading.result()
        self._next_reading = reading
        return b""

    def is_idle(self) -> bool:
        if self._stream.closed() or self._has_buffered_bytes():
            return False
        try:
            # Looks for bytes or an end that the system has received and the loop has not read yet.
            self._stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def has_unread_bytes(self) -> bool:
        if self._has_buffered_bytes():
            return True
        if self._stream.closed():
            return False
        try:
            return bool(self._stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def _has_buffered_bytes(self) -> bool:
        return (
            self._stream._read_buffer_size > 0
            or _has_result(self._reading)
            or _has_result(self._next_reading)
        )

    def peer_ended(self) -> bool:
        if self._stream.closed():
            return True
        try:
            state = self._stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return False  # TCP_INFO is not supported: the end is noticed when the stream is read
        return state in TCP_STATES_PEER_ENDED

    def write(self, data: bytes) -> None:
        if self._stream.closed() or self._sending_ended:
            return
        # All writes of one iteration of the loop are sent with a single system call.
        if not self._corked:
            asyncio.get_running_loop().call_soon(self._flush)
        self._corked.append(data)
        self._corked_size += len(data)

    def _flush(self) -> None:
        if self._stream.closed():
            return  # the corked bytes stay counted as unsent
        corked, self._corked, self._corked_size = self._corked, [], 0
        if corked:
            try:
                self._flushed = self._stream.write(b"".join(corked))
            except OSError as error:  # the system could not watch the socket
                self._stream.close(exc_info=error)
                return
            self._flushed.add_done_callback(_retrieve_exception)

    def end_sending(self) -> None:
        if self._sending_ended or self._stream.closed():
            return
        self._sending_ended = True
        self._flush()
        if self._flushed is None or self._flushed.done():
            self._shut_down()
        else:
            self._flushed.add_done_callback(lambda flushed: self._shut_down())

    def _shut_down(self) -> None:
        if not self._stream.closed():
            with contextlib.suppress(OSError):  # reset by the peer: the next read raises
                self._stream.socket.shutdown(socket.SHUT_WR)

    async def drained(self) -> None:
        if self._stream.closed():
            raise StreamClosed("closed")
        self._flush()
        if self._flushed is not None:
            try:
                await asyncio.shield(self._flushed)
            except OSError as error:  # StreamClosedError is one
                raise StreamClosed(str(self._ended_by(error))) from None

    def close(self) -> None:
        self._flush()
        if not self._stream.closed():
            self._closed_here = True
        self._stream.close()
        if self._admission is not None and not self._admission.done():
            self._admission.set_result(None)  # ends the wait, so that the stream is freed


def _has_result(reading: "asyncio.Future[bytes] | None") -> bool:
    """Returns whether a read has bytes that the stream's read() has not returned yet."""
    return reading is not None and reading.done() and reading.exception() is None


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    """Keeps asyncio from logging the exception of a failed write, which the next read raises."""
    if not future.cancelled():
        future.exception()


class RealListener:
    """A listening port that accepts connections itself instead of through Tornado's server.

    Tornado's server accepts up to 128 connections per loop iteration before any can be refused, and its
    accept loop raises, which ends the program, when the process is out of file descriptors.
    """

    def __init__(
        self,
        transport: Tasks,
        iterations: LoopIterations,
        large_reads: LargeReads,
        sockets: list[socket.socket],
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None,
    ) -> None:
        self._transport, self._sockets = transport, sockets
        self._iterations, self._large_reads = iterations, large_reads
        self._loop = asyncio.get_event_loop()
        self._on_stream, self._admits = on_stream, admits
        self.port: int = sockets[0].getsockname()[1]
        for listening in sockets:
            self._start_accepting(listening)

    def _start_accepting(self, listening: socket.socket) -> None:
        if self._sockets:
            self._loop.add_reader(listening.fileno(), self._accept, listening, ACCEPTS_PER_EVENT)

    def _accept(self, listening: socket.socket, limit: int) -> None:
        for _ in range(limit):
            try:
                accepted, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # Out of file descriptors: the loop would call this again at once, without end.
                self._loop.remove_reader(listening.fileno())
                self._loop.call_later(ACCEPT_RETRY_DELAY, self._start_accepting, listening)
                return
            if self._admits is not None and not self._admits():
                accepted.close()
                continue
            stream = SocketStream(accepted)
            peer = f"{address[0]}:{address[1]}"
            served = RealStream(stream, peer, self._iterations, self._large_reads)
            self._transport.spawn(self._serve(served))

    async def _serve(self, stream: Stream) -> None:
        await self._on_stream(stream)

    def close(self) -> None:
        sockets, self._sockets = self._sockets, []
        for listening in sockets:
            # Connections that the system has completed already are still served.
            self._accept(listening, LISTEN_BACKLOG)
            self._loop.remove_reader(listening.fileno())
            listening.close()
