"""The transport of one simulated process, and its kills, pauses and signals."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from gorsethread.transport.base import Stream, Unreachable
from gorsethread.transport.loop_iterations import NO_ITERATION, Iteration
from gorsethread.transport.process_memory import UNKNOWN_MEMORY, MemoryUse
from gorsethread.transport.program import Program, SeededRandom
from gorsethread.transport.virtual.datagrams import VirtualDatagrams
from gorsethread.transport.virtual.disk import Disk, VirtualAppendOnlyFile, VirtualRandomAccessFile
from gorsethread.transport.virtual.loop import START_TIME, VirtualTimer, wake
from gorsethread.transport.virtual.network import Network
from gorsethread.transport.virtual.streams import Pipe, VirtualListener, VirtualStream

START_WALL_TIME = 1.8e9  # seconds since the epoch when a simulation starts
SYN_RETRY_DELAY = 0.5  # seconds until a lost connection request is sent again; doubles with each retry
TIMER_MARGIN = 2e-9  # seconds; more than the loop's resolution and the rounding of clocks
FLUSH_SECONDS = (0.0005, 0.003)  # the range of the time that a flush to disk takes


class VirtualTransport(Program):
    """The transport of one simulated process.

    Attributes:
        network: The network of the simulation.
        disk: The files of all processes.
        name: The name of the process; it is part of the names of its random streams.
        offset: Seconds by which its monotonic clock is ahead of the simulation's clock.
        drift: Seconds per second by which its monotonic clock runs fast.
        wall_offset: Seconds by which its wall clock is ahead; a fault may change it.
        alive: Whether the process runs.
        paused: Whether events from outside are held until resume().
        streams: The open ends of connections of this process.
        append_only_files: Append-only files by path; removed when they are closed.
        memory: What memory_use() returns; a test may set it.
    """

    def __init__(
        self, network: Network, disk: Disk, name: str, offset: float = 0.0, drift: float = 0.0
    ) -> None:
        super().__init__(network.loop)
        self.network, self.disk, self.name = network, disk, name
        self.offset, self.drift, self.wall_offset = offset, drift, 0.0
        self.alive = True
        self.paused = False
        self.memory = UNKNOWN_MEMORY
        self.streams: dict[int, VirtualStream] = {}
        self._held_events: list[Callable[[], None]] = []  # while paused; emptied by resume()
        self._tasks: dict[int, asyncio.Task[None]] = {}  # a task that ends is removed
        self._listeners: list[VirtualListener] = []
        self._ports: list[VirtualDatagrams] = []
        self.append_only_files: dict[str, VirtualAppendOnlyFile] = {}
        self._spawned = 0
        self._on_terminate: Callable[[], None] = self.finish
        self._on_reload: Callable[[], None] = self.kill  # the default action of SIGHUP

    # Events from outside, and faults

    def deliver(self, act: Callable[[], None]) -> None:
        """Handles an event from outside: at once, after resume() while paused, or never once killed."""
        if not self.alive:
            return
        if self.paused:
            self._held_events.append(act)
        else:
            act()

    def pause(self) -> None:
        """Stops the process, as SIGSTOP does."""
        self.paused = True

    def resume(self) -> None:
        """Continues the process, as SIGCONT does."""
        self.paused = False
        held, self._held_events = self._held_events, []
        for act in held:
            self.network.loop.call_soon(self.deliver, act)

    def kill(self) -> None:
        """Kills the process, as SIGKILL does: its connections end and its files remain."""
        self._die()
        for stream in list(self.streams.values()):
            stream._close(stream.unread > 0)

    def vanish(self) -> None:
        """Ends the process together with its machine, so that peers are not notified."""
        self._die()
        self.network.vanished.add(self.name)
        for stream in list(self.streams.values()):
            stream.vanish()

    def _die(self) -> None:
        if self.alive:
            for file in self.append_only_files.values():
                file.tear_write()
        self.alive = False
        self._held_events.clear()
        for listener in self._listeners:
            listener.close()
        for port in self._ports:
            port.close()
        for task in list(self._tasks.values()):
            task.cancel()

    # The Transport interface

    def now(self) -> float:
        return self.network.loop.time() * (1.0 + self.drift) + self.offset

    def wall_time(self) -> float:
        return START_WALL_TIME + self.network.loop.time() - START_TIME + self.wall_offset

    def call_at(self, when: float, act: Callable[[], None]) -> VirtualTimer:
        timer = VirtualTimer()

        def due() -> None:
            if not timer.cancelled:
                act()

        # A timer must not fire early: code that checks the clock would set it again while no time passes.
        loop_time = (when - self.offset) / (1.0 + self.drift) + TIMER_MARGIN
        timer.handle = self.network.loop.call_at(loop_time, self.deliver, due)
        return timer

    def call_soon(self, act: Callable[[], None]) -> None:
        self.network.loop.call_soon(self.deliver, act)

    def watch_iterations(self, limit: float, act: Callable[[Iteration], None]) -> None:
        """Never calls act: work takes no time on the simulated clock."""

    def take_longest_iteration(self) -> Iteration:
        return NO_ITERATION

    def memory_use(self) -> MemoryUse:
        return self.memory

    async def sleep(self, seconds: float) -> None:
        waiting = self.network.loop.create_future()
        self.call_at(self.now() + seconds, lambda: wake(waiting))
        await waiting

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if not self.alive:
            work.close()
            return
        self._spawned += 1
        number = self._spawned
        task = self.network.loop.create_task(work)
        self._tasks[number] = task
        task.add_done_callback(lambda task: self._task_ended(number, task))

    def _task_ended(self, number: int, task: "asyncio.Task[None]") -> None:
        self._tasks.pop(number, None)
        if self.alive:
            self.task_ended(task)

    async def connect(self, host: str, port: int, within: float) -> Stream:
        network, address = self.network, (host, port)
        deadline, retry_delay = network.loop.time() + within, SYN_RETRY_DELAY
        random = network.random_stream(f"connects {self.name}")
        while True:
            owner = network.machines.get(address, "")
            delay = random.uniform(network.conditions.min_delay, network.conditions.max_delay)
            delay += network.extra_connect_delay.get(owner, 0.0)
            reached = network.reaches(self.name, owner) and network.reaches(owner, self.name)
            wait = 2 * delay if reached else retry_delay
            if network.loop.time() + wait > deadline:
                await self.sleep(max(0.0, deadline - network.loop.time()))
                raise Unreachable(f"{host}:{port}: no answer in time")
            await self.sleep(wait)
            if not reached:
                retry_delay *= 2
                continue
            listener = network.listeners.get(address)
            if listener is None:
                raise Unreachable(f"{host}:{port}: connection refused")
            return self._establish(listener, host, port)

    def _establish(self, listener: VirtualListener, host: str, port: int) -> VirtualStream:
        network, server = self.network, listener.transport
        mine = VirtualStream(network, self, f"{host}:{port}")
        theirs = VirtualStream(network, server, f"127.0.0.1:{network.next_port()}")
        mine.other_end, theirs.other_end = theirs, mine
        mine.out, theirs.out = Pipe(network, mine, theirs), Pipe(network, theirs, mine)
        server.deliver(lambda: _accept(listener, theirs))
        return mine

    def listen(
        self,
        host: str,
        port: int,
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None = None,
    ) -> VirtualListener:
        if (host, port) in self.network.listeners:
            raise OSError(f"{host}:{port} is in use")
        self.network.vanished.discard(self.name)
        listener = VirtualListener(self, host, port or self.network.next_port(), on_stream, admits)
        self._listeners.append(listener)
        return listener

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> VirtualDatagrams:
        port = port or self.network.next_port()
        if (host, port) in self.network.ports:
            raise OSError(f"{host}:{port} is in use")
        self.network.vanished.discard(self.name)
        datagrams = VirtualDatagrams(self, host, port, on_datagram)
        self._ports.append(datagrams)
        return datagrams

    def on_terminate(self, act: Callable[[], None]) -> None:
        self._on_terminate = act

    def on_reload(self, act: Callable[[], None]) -> None:
        self._on_reload = act

    def terminate(self) -> None:
        """Sends SIGTERM to the process."""
        self.deliver(self._on_terminate)

    def reload(self) -> None:
        """Sends SIGHUP to the process."""
        self.deliver(self._on_reload)

    def random_stream(self, name: str) -> SeededRandom:
        return self.network.random_stream(f"{self.name}: {name}")

    def load(self, path: str) -> bytes | None:
        file = self.disk.files.get(path)
        return bytes(file) if file is not None else None

    def save(self, path: str, data: bytes) -> None:
        if self.name in self.disk.broken:
            raise OSError(28, "No space left on device", path)
        if self.alive:
            self.disk.files[path] = bytearray(data)

    async def flush(self, random: SeededRandom) -> None:
        """Waits for as long as a flush to the disk of this process takes."""
        await self.sleep(random.uniform(*FLUSH_SECONDS) + self.disk.slow.get(self.name, 0.0))

    async def save_durably(self, path: str, data: bytes) -> None:
        await self.flush(self.random_stream(f"keep {path}"))
        self.save(path, data)

    def open_append_only(self, path: str) -> VirtualAppendOnlyFile:
        if path not in self.disk.files:
            raise OSError(2, "No such file or directory", path)
        file = self.append_only_files[path] = VirtualAppendOnlyFile(self, path, self.disk.files[path])
        return file

    def lock(self, path: str) -> Callable[[], None] | None:
        holder = self.disk.locks.get(path)
        if holder is not None and holder.alive:
            return None
        self.disk.locks[path] = self

        def release() -> None:
            if self.disk.locks.get(path) is self:
                del self.disk.locks[path]

        return release

    def list_files(self, folder: str) -> list[str]:
        prefix = folder.rstrip("/") + "/"
        return sorted(path[len(prefix) :] for path in self.disk.files if path.startswith(prefix))

    def remove(self, path: str) -> None:
        self.disk.files.pop(path, None)

    def open_random_access(self, path: str) -> VirtualRandomAccessFile:
        return VirtualRandomAccessFile(self.disk.files.setdefault(path, bytearray()))

    def open_appender(self, path: str) -> Callable[[bytes], None]:
        file = self.disk.files.setdefault(path, bytearray())

        def add(data: bytes) -> None:
            if self.alive:
                file.extend(data)

        return add


def _accept(listener: VirtualListener, stream: VirtualStream) -> None:
    if listener.admits is not None and not listener.admits():
        stream.close()
        return
    listener.transport.spawn(_serve(listener, stream))


async def _serve(listener: VirtualListener, stream: Stream) -> None:
    await listener.on_stream(stream)
