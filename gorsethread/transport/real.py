"""The real side: Tornado's streams on the loop of asyncio, the machine's monotonic clock."""

import asyncio
import contextlib
import errno
import fcntl
import gc
import itertools
import os
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Executor
from pathlib import Path
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from gorsethread.transport.base import (
    MAX_DATAGRAM_BYTES,
    MAX_READ_BYTES,
    RandomStream,
    Stream,
    StreamClosed,
    StreamEnded,
    Timer,
    Unreachable,
)
from gorsethread.transport.program import Program, SeededRandom

TCP_STATE_PEER_ENDED = (7, 8, 9, 11)  # CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING in the system's own numbers
BACKLOG = 512  # connections the system accepts ahead of us
ACCEPTS = 32  # a turn of the loop, so that a flood of connections leaves room for those that are open
ACCEPT_AGAIN = 0.05  # seconds
DATAGRAMS = 32  # read a turn of the loop


class RealStream:
    def __init__(self, stream: IOStream, peer: str) -> None:
        self._stream = stream
        self.peer = peer
        self._flushed: asyncio.Future[None] | None = None
        self._corked: list[bytes] = []  # what was written in this turn of the loop; emptied at its end
        self._corked_size = 0
        self._sending_ended = False
        self._closed_here = False
        stream.set_nodelay(True)

    @property
    def unsent(self) -> int:
        sent = self._stream._total_write_index - self._stream._total_write_done_index
        return self._corked_size + sent

    async def read(self) -> bytes:
        try:
            return await self._stream.read_bytes(MAX_READ_BYTES, partial=True)
        except StreamClosedError as error:
            if error.real_error is None and not self._closed_here:
                raise StreamEnded("closed by peer") from None
            raise StreamClosed(str(error.real_error or "closed")) from None

    def is_idle(self) -> bool:
        if self._stream.closed() or self._stream._read_buffer_size:
            return False
        try:
            # What the system has, and the loop has not come to yet; an end is there as no bytes.
            self._stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def peer_ended(self) -> bool:
        if self._stream.closed():
            return True
        try:
            state = self._stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            return False  # a system that does not tell: the end shows when it is read
        return state in TCP_STATE_PEER_ENDED

    def write(self, data: bytes) -> None:
        if self._stream.closed() or self._sending_ended:
            return
        # One call of the system for all that a turn of the loop has to say to this peer.
        if not self._corked:
            asyncio.get_running_loop().call_soon(self._flush)
        self._corked.append(data)
        self._corked_size += len(data)

    def _flush(self) -> None:
        if self._stream.closed():
            return  # what was never handed on stays unsent
        corked, self._corked, self._corked_size = self._corked, [], 0
        if corked:
            self._flushed = self._stream.write(b"".join(corked))
            self._flushed.add_done_callback(_seen)

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
            with contextlib.suppress(OSError):  # the peer has reset it: the next read says so
                self._stream.socket.shutdown(socket.SHUT_WR)

    async def drained(self) -> None:
        if self._stream.closed():
            raise StreamClosed("closed")
        self._flush()
        if self._flushed is not None:
            try:
                await asyncio.shield(self._flushed)
            except StreamClosedError as error:
                raise StreamClosed(str(error.real_error or "closed")) from None

    def close(self) -> None:
        self._flush()
        if not self._stream.closed():
            self._closed_here = True
        self._stream.close()


def _seen(future: "asyncio.Future[None]") -> None:
    if not future.cancelled():
        future.exception()  # a write's failure shows at the next read


class RealListener:
    """Accepts by itself and not by Tornado's server, which takes 128 connections a turn before anyone can say
    no to one, and whose loop raises, ending the program, where no descriptor is left."""

    def __init__(
        self,
        transport: "RealTransport",
        sockets: list[socket.socket],
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None,
    ) -> None:
        self._transport, self._sockets = transport, sockets
        self._on_stream, self._admits = on_stream, admits
        self.port: int = sockets[0].getsockname()[1]
        for listening in sockets:
            self._read(listening)

    def _read(self, listening: socket.socket) -> None:
        if self._sockets:
            self._transport._loop.add_reader(listening.fileno(), self._accept, listening, ACCEPTS)

    def _accept(self, listening: socket.socket, most: int) -> None:
        for _ in range(most):
            try:
                accepted, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                # Out of descriptors: the loop would come back at once, again and again.
                self._transport._loop.remove_reader(listening.fileno())
                self._transport._loop.call_later(ACCEPT_AGAIN, self._read, listening)
                return
            if self._admits is not None and not self._admits():
                accepted.close()
                continue
            stream = IOStream(accepted, read_chunk_size=MAX_READ_BYTES, max_buffer_size=4 * MAX_READ_BYTES)
            self._transport.spawn(self._serve(RealStream(stream, f"{address[0]}:{address[1]}")))

    async def _serve(self, stream: Stream) -> None:
        await self._on_stream(stream)

    def close(self) -> None:
        sockets, self._sockets = self._sockets, []
        for listening in sockets:
            # What the system has accepted already is served.
            self._accept(listening, BACKLOG)
            self._transport._loop.remove_reader(listening.fileno())
            listening.close()


class RealDatagrams:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bound: socket.socket,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self._loop, self._socket, self._on_datagram = loop, bound, on_datagram
        self.port: int = bound.getsockname()[1]
        loop.add_reader(bound.fileno(), self._read)

    def _read(self) -> None:
        # So many a turn of the loop, that a flood leaves room for all else.
        for _ in range(DATAGRAMS):
            try:
                # One byte more than any may have: what is longer is seen as such.
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier one found nobody there; that is no news of this port
            self._on_datagram(data, source)
            if self._socket.fileno() < 0:
                return

    def send(self, to: tuple[str, int], data: bytes) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a datagram of {len(data)} bytes")
        with contextlib.suppress(OSError):  # the system is full, or knows no way there: it is lost
            self._socket.sendto(data, to)

    def close(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()


class FileBlocks:
    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)

    def read(self, offset: int, length: int) -> bytes:
        return os.pread(self._file, length, offset).ljust(length, b"\0")

    def write(self, offset: int, data: bytes) -> None:
        os.pwrite(self._file, data, offset)


FIRST_PORT, PORTS = 10_000, 20_000  # under those that the system hands to outgoing connections
_next_port = itertools.count(os.getpid() * 97)


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


class RealJournal:
    """Written and flushed on a thread, so that a slow disk holds up nothing but who waits for it."""

    def __init__(self, disk: Executor, path: str) -> None:
        self._disk = disk
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._broken = False

    async def add(self, data: bytes) -> None:
        if self._broken:
            raise OSError(errno.EIO, "an earlier write failed")
        try:
            await asyncio.get_running_loop().run_in_executor(self._disk, self._add, data)
        except OSError:
            # Guards against a second flush that says all is well of pages the system dropped at the first.
            self._broken = True
            raise

    def _add(self, data: bytes) -> None:
        _write_all(self._file, data)
        os.fdatasync(self._file)

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _keep(path: str, data: bytes) -> None:
    folder = Path(path).parent
    folder.mkdir(parents=True, exist_ok=True)
    fresh = f"{path}.new"
    file = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        _write_all(file, data)
        os.fsync(file)
    finally:
        os.close(file)
    os.replace(fresh, path)
    inside = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(inside)  # else the name may be gone after a loss of power
    finally:
        os.close(inside)


def free_ports(number: int) -> list[int]:
    """Different loopback ports that nothing listens on now; processes begin their search far apart."""
    found: list[int] = []
    for tried in _next_port:
        if len(found) == number:
            break
        port = FIRST_PORT + tried % PORTS
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            found.append(port)
    return found


class RealTransport(Program):
    """seed: every stream of chance comes from it and from the stream's own name."""

    def __init__(self, seed: int = 0) -> None:
        self._seed = seed
        self._loop = asyncio.get_event_loop()
        super().__init__(self._loop)
        self._loop.set_exception_handler(self._raised)
        self._tasks: set[asyncio.Task[None]] = set()
        self._disk: Executor | None = None  # one thread; made where something is to last

    now = staticmethod(time.monotonic)  # asked several times a transaction: no call of ours in between

    def wall_time(self) -> float:
        return time.time()

    def call_at(self, when: float, act: Callable[[], None]) -> Timer:
        return self._loop.call_at(when, act)

    def call_soon(self, act: Callable[[], None]) -> None:
        self._loop.call_soon(act)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    async def end(self) -> None:
        """Ends all that was spawned, with the streams it holds, as if its process were gone."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _raised(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What a timer or another callback raised, which a loop would only log."""
        loop.default_exception_handler(context)
        if "handle" in context and isinstance(error := context.get("exception"), Exception):
            self.fail(error)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        self.task_ended(task)

    async def connect(self, host: str, port: int, within: float) -> Stream:
        try:
            stream = IOStream(
                socket.socket(socket.AF_INET, socket.SOCK_STREAM),
                read_chunk_size=MAX_READ_BYTES,
                max_buffer_size=4 * MAX_READ_BYTES,
            )
        except OSError as error:
            raise Unreachable(f"{host}:{port}: {error}") from None
        try:
            # Not wait_for(): on Python 3.11 it drops a cancellation that comes as the connection is refused.
            async with asyncio.timeout(within):
                await stream.connect((host, port))
        except (StreamClosedError, TimeoutError, OSError) as error:
            stream.close()
            reason = str(getattr(error, "real_error", None) or error) or "no answer in time"
            raise Unreachable(f"{host}:{port}: {reason}") from None
        except asyncio.CancelledError:
            stream.close()
            raise
        return RealStream(stream, f"{host}:{port}")

    def listen(
        self,
        host: str,
        port: int,
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None = None,
    ) -> RealListener:
        return RealListener(
            self, bind_sockets(port, host, family=socket.AF_INET, backlog=BACKLOG), on_stream, admits
        )

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> RealDatagrams:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        return RealDatagrams(self._loop, bound, on_datagram)

    def chance(self, name: str) -> RandomStream:
        return SeededRandom(f"{self._seed}/{name}")

    def load(self, path: str) -> bytes | None:
        try:
            return Path(path).read_bytes()
        except OSError:
            return None

    def save(self, path: str, data: bytes) -> None:
        fresh = Path(f"{path}.new")
        fresh.write_bytes(data)
        fresh.replace(path)

    def _writer(self) -> Executor:
        if self._disk is None:
            # Imported here: a lean start has nothing that is to last.
            from concurrent.futures import ThreadPoolExecutor

            self._disk = ThreadPoolExecutor(1, "disk")
        return self._disk

    async def save_durably(self, path: str, data: bytes) -> None:
        await self._loop.run_in_executor(self._writer(), _keep, path, data)

    def journal(self, path: str) -> RealJournal:
        return RealJournal(self._writer(), path)

    def lock(self, path: str) -> Callable[[], None] | None:
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(file)
            return None
        return lambda: os.close(file)

    def list_files(self, folder: str) -> list[str]:
        try:
            return sorted(entry.name for entry in Path(folder).iterdir())
        except OSError:
            return []

    def remove(self, path: str) -> None:
        with contextlib.suppress(OSError):
            Path(path).unlink()

    def blocks(self, path: str) -> FileBlocks:
        return FileBlocks(path)

    def append(self, path: str) -> Callable[[bytes], None]:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

        def add(data: bytes) -> None:
            os.write(file, data)

        return add

    def on_terminate(self, act: Callable[[], None]) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, act)

    def on_reload(self, act: Callable[[], None]) -> None:
        self._loop.add_signal_handler(signal.SIGHUP, act)


def run(main: Callable[[RealTransport], Coroutine[Any, Any, None]], seed: int = 0) -> None:
    """Runs a program to its end on a transport of its own."""

    async def whole() -> None:
        transport = RealTransport(seed)
        # What stands at the start never dies, and a transaction leaves few cycles behind: looking for them at
        # the usual pace costs a good part of each transaction. Hurts by some MiB held a little longer.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)
        await main(transport)

    asyncio.run(whole())
