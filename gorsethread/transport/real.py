"""The transport of a real process: Tornado streams on the asyncio event loop, and the machine's clocks."""

import asyncio
import contextlib
import errno
import fcntl
import gc
import itertools
import os
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Executor
from pathlib import Path
from typing import Any, NoReturn

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from gorsethread.transport.base import (
    MAX_DATAGRAM_BYTES,
    RandomStream,
    Stream,
    Timer,
    Unreachable,
)
from gorsethread.transport.large_reads import LargeReads
from gorsethread.transport.loop_iterations import Iteration, LoopIterations, MeasuringSelector
from gorsethread.transport.process_memory import MemoryUse, memory_use
from gorsethread.transport.program import Program, SeededRandom
from gorsethread.transport.real_streams import (
    LISTEN_BACKLOG,
    RealListener,
    RealStream,
    SocketStream,
    release_error,
)

DATAGRAMS_PER_EVENT = 32  # read per loop iteration, so that a flood does not starve other work


class RealDatagrams:
    """A UDP port."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bound: socket.socket,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
        iterations: LoopIterations,
    ) -> None:
        self._loop, self._socket, self._on_datagram = loop, bound, on_datagram
        self._iterations = iterations
        self.port: int = bound.getsockname()[1]
        loop.add_reader(bound.fileno(), self._read)

    def _read(self) -> None:
        for _ in range(DATAGRAMS_PER_EVENT):
            try:
                # One byte over the limit, so that the callback can tell a datagram that is too long.
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # reports that an earlier datagram was refused by its destination, not a fault here
            self._iterations.work_began(source[0], len(data))
            self._on_datagram(data, source)
            self._iterations.work_ended(source[0])
            if self._socket.fileno() < 0:
                return

    def send(self, to: tuple[str, int], data: bytes) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(data)} bytes is over the limit of {MAX_DATAGRAM_BYTES}")
        with contextlib.suppress(OSError):  # no buffer or no route: the datagram is lost
            self._socket.sendto(data, to)

    def close(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()


class RealRandomAccessFile:
    """A file for random access."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)

    def read(self, offset: int, length: int) -> bytes:
        return os.pread(self._file, length, offset).ljust(length, b"\0")

    def write(self, offset: int, data: bytes) -> None:
        os.pwrite(self._file, data, offset)


FIRST_PORT, PORTS = 10_000, 20_000  # below the range that the system uses for outgoing connections
_next_port = itertools.count(os.getpid() * 97)  # differs by process, so that searches start far apart


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


class RealAppendOnlyFile:
    """An append-only file, written and flushed on a thread so that a slow disk does not block the loop."""

    def __init__(self, disk: Executor, path: str) -> None:
        self._disk = disk
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._broken = False

    async def append(self, data: bytes) -> None:
        if self._broken:
            raise OSError(errno.EIO, "an earlier write failed")
        try:
            await asyncio.get_running_loop().run_in_executor(self._disk, self._append, data)
        except OSError:
            # After a failed flush the system may drop the dirty pages, and the next flush would then succeed.
            self._broken = True
            raise

    def _append(self, data: bytes) -> None:
        _write_all(self._file, data)
        os.fdatasync(self._file)

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _save_durably(path: str, data: bytes) -> None:
    folder = Path(path).parent
    folder.mkdir(parents=True, exist_ok=True)
    temporary = f"{path}.new"
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        _write_all(file, data)
        os.fsync(file)
    finally:
        os.close(file)
    os.replace(temporary, path)
    folder_file = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_file)  # otherwise a loss of power may undo the rename
    finally:
        os.close(folder_file)


def free_ports(number: int) -> list[int]:
    """Returns that many different loopback ports on which nothing listens now."""
    found: list[int] = []
    for candidate in _next_port:
        if len(found) == number:
            break
        port = FIRST_PORT + candidate % PORTS
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            found.append(port)
    return found


class RealTransport(Program):
    """The transport of a real process; each of its random streams depends on the seed and its own name."""

    def __init__(self, seed: int = 0, iterations: LoopIterations | None = None) -> None:
        self._seed = seed
        self._iterations = iterations or LoopIterations()
        self._large_reads = LargeReads()
        self._loop = asyncio.get_event_loop()
        super().__init__(self._loop)
        self._loop.set_exception_handler(self._callback_raised)
        self._tasks: set[asyncio.Task[None]] = set()
        self._disk: Executor | None = None  # one thread, started by the first durable write

    now = staticmethod(time.monotonic)  # called several times per request, so without a wrapper

    def wall_time(self) -> float:
        return time.time()

    def call_at(self, when: float, act: Callable[[], None]) -> Timer:
        return self._loop.call_at(when, act)

    def call_soon(self, act: Callable[[], None]) -> None:
        self._loop.call_soon(act)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    def watch_iterations(self, limit: float, act: Callable[[Iteration], None]) -> None:
        self._iterations.watch(limit, act)

    def take_longest_iteration(self) -> Iteration:
        return self._iterations.take_longest()

    def memory_use(self) -> MemoryUse:
        return memory_use()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    async def end(self) -> None:
        """Cancels all spawned tasks, with the streams that they hold, as if the process had ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _callback_raised(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Ends the program when a timer or another callback raises, which asyncio would only log."""
        loop.default_exception_handler(context)
        if "handle" in context and isinstance(error := context.get("exception"), Exception):
            self.fail(error)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        self.task_ended(task)

    async def connect(self, host: str, port: int, within: float) -> Stream:
        try:
            stream = SocketStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        except OSError as error:
            raise Unreachable(f"{host}:{port}: {error}") from None
        try:
            # Not wait_for(): on Python 3.11 it loses a cancellation that arrives with the refusal.
            async with asyncio.timeout(within):
                await stream.connect((host, port))
        except (StreamClosedError, TimeoutError, OSError) as error:
            stream.close()
            reason = str(getattr(error, "real_error", None) or error) or "no answer in time"
            release_error(stream)
            raise Unreachable(f"{host}:{port}: {reason}") from None
        except asyncio.CancelledError:
            stream.close()
            raise
        return RealStream(stream, f"{host}:{port}", self._iterations, self._large_reads)

    def listen(
        self,
        host: str,
        port: int,
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None = None,
    ) -> RealListener:
        return RealListener(
            self,
            self._iterations,
            self._large_reads,
            bind_sockets(port, host, family=socket.AF_INET, backlog=LISTEN_BACKLOG),
            on_stream,
            admits,
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
        return RealDatagrams(self._loop, bound, on_datagram, self._iterations)

    def random_stream(self, name: str) -> RandomStream:
        return SeededRandom(f"{self._seed}/{name}")

    def load(self, path: str) -> bytes | None:
        try:
            return Path(path).read_bytes()
        except OSError:
            return None

    def save(self, path: str, data: bytes) -> None:
        temporary = Path(f"{path}.new")
        temporary.write_bytes(data)
        temporary.replace(path)

    def _disk_executor(self) -> Executor:
        if self._disk is None:
            # Imported here, because a process that writes nothing durable starts faster without it.
            from concurrent.futures import ThreadPoolExecutor

            self._disk = ThreadPoolExecutor(1, "disk")
        return self._disk

    async def save_durably(self, path: str, data: bytes) -> None:
        await self._loop.run_in_executor(self._disk_executor(), _save_durably, path, data)

    def open_append_only(self, path: str) -> RealAppendOnlyFile:
        return RealAppendOnlyFile(self._disk_executor(), path)

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

    def open_random_access(self, path: str) -> RealRandomAccessFile:
        return RealRandomAccessFile(path)

    def open_appender(self, path: str) -> Callable[[bytes], None]:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

        def add(data: bytes) -> None:
            os.write(file, data)

        return add

    def on_terminate(self, act: Callable[[], None]) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, act)

    def on_reload(self, act: Callable[[], None]) -> None:
        self._loop.add_signal_handler(signal.SIGHUP, act)


def exit_process(status: int) -> NoReturn:
    """Ends the process with an exit status once its output is flushed, without the interpreter's teardown.

    The teardown frees every module and object. On a busy machine that takes so long that a process which must
    have ended by some time is killed in it. Call this only when nothing is left to run or to save.
    """
    for output in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):  # its reader may be gone
            output.flush()
    os._exit(status)


def run(main: Callable[[RealTransport], Coroutine[Any, Any, None]], seed: int = 0) -> None:
    """Runs a program on a new transport until it ends."""

    iterations = LoopIterations()

    async def run_main() -> None:
        transport = RealTransport(seed, iterations)
        # Objects that exist at the start are never freed, and a request leaves few reference cycles behind.
        # Collecting at the default rate would cost a good part of the time of each request. The price is some
        # MiB of garbage that is held a little longer.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)
        await main(transport)

    def new_loop() -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(MeasuringSelector(iterations))

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(run_main())
