"""The virtual side: many processes in one, on a clock that jumps to what is due next and a network whose
every delay, split and loss comes from a seed. Nothing here reads a real clock, opens a socket or draws
chance of its own.

Each process has a transport of its own. What reaches it from outside (timers, bytes, new connections) passes
its gate: a paused process finds all of it due at once when it goes on, a killed one nothing any more.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import xxhash

from gorsethread.errors import Trouble
from gorsethread.transport.base import MOST_DATAGRAM, Stream, StreamClosed, Unreachable
from gorsethread.transport.program import Draws, Program

BEGINS = 1000.0  # seconds on every machine's clock when a world begins
EPOCH = 1.8e9  # and since the epoch
FIRST_PORT = 50_000
SYN_AGAIN = 0.5  # seconds until a lost connection request is sent again, doubling
NEVER_EARLY = 2e-9  # seconds; more than the loop's resolution and the rounding of clocks
HELD_MOST = 256  # datagrams and other things due that wait for a paused process
FLUSH = (0.0005, 0.003)  # seconds that a flush to disk takes
RESEND = 0.2  # seconds until data lost in a cut is sent again after it has healed, at most


class Stuck(Trouble):
    """Nothing is due and nothing can become due: the world waits for ever."""

    action = "Report the seed: a part of the program waits for what nobody will do."


class VirtualLoop(asyncio.BaseEventLoop):
    """A loop without a selector: when nothing is ready its time jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual = BEGINS
        self._clock_resolution = 1e-9
        self._selector = self
        self.set_debug(False)

    def time(self) -> float:
        return self._virtual

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise Stuck("nothing is due any more")
        if timeout > 0:
            self._virtual = max(self._virtual, self._scheduled[0]._when)  # type: ignore[attr-defined]
        return []

    def _process_events(self, events: list[Any]) -> None: ...

    def _write_to_self(self) -> None: ...


class VirtualTimer:
    def __init__(self) -> None:
        self.cancelled = False
        self.handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()


@dataclass(frozen=True)
class Weather:
    """How the network is where nothing is wrong. Seconds, bytes, parts of one."""

    least_delay: float = 0.0002
    most_delay: float = 0.002
    bandwidth: float = 50e6  # bytes a second, each way of each connection
    window: int = 262_144  # bytes on the way and unread before the sender has to keep them
    segment: int = 16_384  # the most that arrives at once
    split: float = 0.1  # part of the reads that bring only a piece of what is there
    lost: float = 0.0  # parts of the datagrams that are lost, doubled, late
    doubled: float = 0.0
    late: float = 0.0
    late_most: float = 0.5  # seconds


class Network:
    """All links between the processes of a world. cuts: who does not reach whom, one way each."""

    def __init__(self, loop: VirtualLoop, seed: int, weather: Weather = Weather()) -> None:  # noqa: B008
        self.loop, self.seed, self.weather = loop, seed, weather
        self.listeners: dict[tuple[str, int], VirtualListener] = {}  # emptied as they close
        self.machines: dict[tuple[str, int], str] = {}  # who last listened there
        self.vanished: set[str] = set()  # whose machine is gone without a word
        self.cuts: dict[tuple[str, str], int] = {}  # how many cuts lie on that way; emptied as they heal
        self.ports: dict[tuple[str, int], VirtualDatagrams] = {}  # emptied as they close
        self.slow_connects: dict[str, float] = {}  # seconds more to connect to it; emptied with the fault
        self.pipes: dict[int, Pipe] = {}  # every way of every connection, by number; emptied as they end
        self._stalled: dict[tuple[str, str], dict[int, Pipe]] = {}
        self._draws: dict[str, Draws] = {}
        self._ports = FIRST_PORT
        self._made = 0
        self.digest = xxhash.xxh3_64(seed=0)
        self.delivered = 0
        # Told of each arrival before its reader is: from, to, how many of that way so far, when it
        # left, which way it went. For faults that strike between two messages.
        self.on_arrival: Callable[[str, str, int, float, int], None] | None = None
        # Told of data that came for a connection whose taker had ended it, or an earlier life of it had.
        self.on_lost: Callable[[str, str], None] | None = None
        self.arrivals: dict[tuple[str, str], int] = {}  # by pair of processes
        self.left_at = 0.0  # when what was read last left its sender
        self.wrote = 0  # the way that what was written last will go; 0: nowhere

    def chance(self, name: str) -> Draws:
        if name not in self._draws:
            self._draws[name] = Draws(f"{self.seed}/{name}")
        return self._draws[name]

    def number(self) -> int:
        self._made += 1
        return self._made

    def port(self) -> int:
        self._ports += 1
        return self._ports

    def saw(self, *what: Any) -> None:
        """Adds to the digest of the whole history."""
        self.digest.update(repr((round(self.loop.time(), 9), *what)).encode())

    def reaches(self, one: str, other: str) -> bool:
        return (one, other) not in self.cuts and one not in self.vanished and other not in self.vanished

    def cut(self, one: str, other: str) -> None:
        """From now on nothing of one reaches other; what was sent waits, as TCP sends it again."""
        self.cuts[one, other] = self.cuts.get((one, other), 0) + 1

    def heal(self, one: str, other: str) -> None:
        left = self.cuts.get((one, other), 0) - 1
        if left > 0:
            self.cuts[one, other] = left
            return
        self.cuts.pop((one, other), None)
        for pipe in self._stalled.pop((one, other), {}).values():
            pipe.resume()

    def stalled(self, pipe: "Pipe") -> None:
        self._stalled.setdefault((pipe.sender.owner.name, pipe.taker.owner.name), {})[pipe.number] = pipe

    def reset(self, one: str, other: str) -> int:
        """Breaks every connection between two processes; what was on the way is lost. How many broke."""
        pairs = {(one, other), (other, one)}
        found = [p for p in self.pipes.values() if (p.sender.owner.name, p.taker.owner.name) in pairs]
        for pipe in found:
            pipe.lose()
            pipe.taker.broke("connection reset", sure=True)
        return len(found) // 2


class Pipe:
    """One way of one connection: bytes in order, each arriving after its delay."""

    def __init__(self, network: Network, sender: "VirtualStream", taker: "VirtualStream") -> None:
        self.network, self.sender, self.taker = network, sender, taker
        self.number = network.number()
        network.pipes[self.number] = self
        self.on_the_way: deque[tuple[float, float, bytes]] = deque()  # due, left; b"": the end
        self.size = 0  # bytes on the way
        self._last = 0.0
        self._waiting = False

    def send(self, data: bytes) -> None:
        w, now = self.network.weather, self.network.loop.time()
        chance = self.network.chance(f"way {self.sender.owner.name} {self.taker.owner.name}")
        delay = chance.uniform(w.least_delay, w.most_delay) + len(data) / w.bandwidth
        self._last = max(self._last, now + delay)
        self.on_the_way.append((self._last, now, data))
        self.size += len(data)
        self._await()

    def _await(self) -> None:
        if self.on_the_way and not self._waiting:
            self._waiting = True
            self.network.loop.call_at(self.on_the_way[0][0], self._arrive)

    def _arrive(self) -> None:
        self._waiting = False
        if not self.on_the_way:
            return
        one, other = self.sender.owner.name, self.taker.owner.name
        if not self.network.reaches(one, other):
            if other in self.network.vanished or one in self.network.vanished:
                self.lose()
            else:
                self.network.stalled(self)
            return
        _, left, data = self.on_the_way.popleft()
        self.size -= len(data)
        self.network.delivered += 1
        self.network.saw(one, other, len(data), xxhash.xxh3_64_intdigest(data))
        pair = (one, other)
        self.network.arrivals[pair] = self.network.arrivals.get(pair, 0) + 1
        taken = not self.taker.closed
        self.taker.arrived(data, left)
        if not data:
            self.network.pipes.pop(self.number, None)
        if taken and self.network.on_arrival:
            self.network.on_arrival(one, other, self.network.arrivals[pair], left, self.number)
        self._await()

    def resume(self) -> None:
        """After a cut has healed: lost packets come again after TCP's own time."""
        if self._waiting or not self.on_the_way:
            return
        chance = self.network.chance(f"way {self.sender.owner.name} {self.taker.owner.name}")
        again = self.network.loop.time() + chance.uniform(0.01, RESEND)
        self.on_the_way = deque((max(again, at), left, data) for at, left, data in self.on_the_way)
        self._last = max(self._last, again)
        self._await()

    def lose(self) -> None:
        self.on_the_way.clear()
        self.size = 0
        self.network.pipes.pop(self.number, None)


class VirtualStream:
    """One end of a connection. unsent: written, and not yet taken by the network for want of window."""

    def __init__(self, network: Network, owner: "VirtualTransport", peer: str) -> None:
        self.network, self.owner, self.peer = network, owner, peer
        self.out: Pipe
        self.other: VirtualStream
        self._unsent = bytearray()
        self._corked = False
        self._got: deque[tuple[float, bytes]] = deque()  # arrived and unread: when it left, what
        self.unread = 0  # bytes of it; bounded by the window
        self._ended = ""  # why nothing more comes
        self._broken = False
        self._sending_ended = False
        self._end_sent = False  # the half-close is on its way
        self.closed = False
        self._reader: asyncio.Future[None] | None = None
        self._drain: list[asyncio.Future[None]] = []
        owner.streams[id(self)] = self

    @property
    def unsent(self) -> int:
        return len(self._unsent)

    async def read(self) -> bytes:
        while True:
            if self.closed:
                raise StreamClosed("closed")
            if self._got:
                break
            if self._ended:
                raise StreamClosed(self._ended)
            self._reader = self.network.loop.create_future()
            await self._reader
        left, data = self._got.popleft()
        size = len(data)
        chance = self.network.chance(f"reads {self.owner.name}")
        if size > 1 and chance.random() < self.network.weather.split:
            size = 1 + chance.randrange(size - 1)
            self._got.appendleft((left, data[size:]))
        self.unread -= size
        self.network.left_at = left
        self.other._push()
        return data[:size]

    def quiet(self) -> bool:
        return not (self.closed or self._got or self._ended)

    def peer_ended(self) -> bool:
        return self.closed or bool(self._ended)

    def write(self, data: bytes) -> None:
        self.network.wrote = 0
        if self.closed or self._ended or self._sending_ended or not self.owner.alive:
            return
        self.network.wrote = self.out.number
        self._unsent += data
        if not self._corked:
            self._corked = True
            self.network.loop.call_soon(self._uncork)

    def _uncork(self) -> None:
        self._corked = False
        self._push()

    def _push(self) -> None:
        w = self.network.weather
        while self._unsent and not self.closed and not self._broken:
            room = w.window - self.out.size - self.other.unread
            if room <= 0:
                break
            size = min(len(self._unsent), w.segment, room)
            self.out.send(bytes(self._unsent[:size]))
            del self._unsent[:size]
        if not self._unsent:
            if self._sending_ended and not self._end_sent and not self.closed and not self._broken:
                self._end_sent = True
                self.out.send(b"")
            drain, self._drain = self._drain, []
            for waiting in drain:
                self.owner.gate(lambda waiting=waiting: _settle(waiting))  # type: ignore[misc]

    async def drained(self) -> None:
        if self.closed or self._ended:
            raise StreamClosed(self._ended or "closed")
        self._push()
        if self._unsent:
            waiting = self.network.loop.create_future()
            self._drain.append(waiting)
            await waiting
            if self._unsent:
                raise StreamClosed(self._ended or "closed")

    def end_sending(self) -> None:
        if not self._sending_ended and not self.closed and self.owner.alive:
            self._sending_ended = True
            self._push()

    def close(self) -> None:
        """What the network has taken still goes out, then the end."""
        if self.closed or not self.owner.alive:
            return
        self._push()
        self._shut(self.unread > 0)

    def _shut(self, unread: bool) -> None:
        self.closed = True
        self.owner.streams.pop(id(self), None)
        self._unsent.clear()
        if unread:
            # As TCP does it: the peer learns at once that not all was read, and what it has not read is lost.
            self.out.lose()
            self.network.loop.call_later(
                self.network.weather.least_delay, self.other.broke, "connection reset"
            )
        elif not self._end_sent:
            self.out.send(b"")
        self._wake()

    def vanish(self) -> None:
        """Its machine is gone without a word."""
        self.closed = True
        self.owner.streams.pop(id(self), None)
        self._unsent.clear()
        self.out.lose()

    def arrived(self, data: bytes, left: float) -> None:
        if self.closed:
            # Nobody reads there any more: the sender is told, by a reset.
            if data and self.network.on_lost:
                self.network.on_lost(self.other.owner.name, self.owner.name)
            if data and not self.other.closed:
                self.network.loop.call_later(
                    self.network.weather.least_delay, self.other.broke, "connection reset"
                )
            return
        if data:
            self._got.append((left, data))
            self.unread += len(data)
        else:
            self._ended = self._ended or "closed by peer"
        self._wake()

    def broke(self, reason: str, sure: bool = False) -> None:
        """sure: by something on the way that reaches this end whatever is cut."""
        if self.closed or self._ended:
            return
        if not sure and not self.network.reaches(self.other.owner.name, self.owner.name):
            return  # a reset is a packet too
        self._got.clear()
        self.unread = 0
        self._ended, self._broken = reason, True  # what was unsent stays so, as a real stream tells it
        self._wake()

    def _wake(self) -> None:
        reader, self._reader = self._reader, None
        drain, self._drain = (self._drain, []) if self._ended or self.closed else ([], self._drain)
        for waiting in ([reader] if reader else []) + drain:
            self.owner.gate(lambda waiting=waiting: _settle(waiting))  # type: ignore[misc]


def _settle(waiting: "asyncio.Future[None]") -> None:
    if not waiting.done():
        waiting.set_result(None)


class VirtualListener:
    def __init__(
        self,
        transport: "VirtualTransport",
        host: str,
        port: int,
        on_stream: Callable[[Stream], Awaitable[None]],
        admits: Callable[[], bool] | None,
    ) -> None:
        self.transport, self.port, self.on_stream, self.admits = transport, port, on_stream, admits
        self._address = (host, port)
        transport.network.listeners[self._address] = self
        transport.network.machines[self._address] = transport.name

    def close(self) -> None:
        if self.transport.network.listeners.get(self._address) is self:
            del self.transport.network.listeners[self._address]


class VirtualDatagrams:
    """A port for datagrams; each finds its own way, so they overtake each other."""

    def __init__(
        self,
        transport: "VirtualTransport",
        host: str,
        port: int,
        on_datagram: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        self.transport, self.port, self.on_datagram = transport, port, on_datagram
        self._address = (host, port)
        transport.network.ports[self._address] = self

    def send(self, to: tuple[str, int], data: bytes) -> None:
        if len(data) > MOST_DATAGRAM:
            raise ValueError(f"a datagram of {len(data)} bytes")
        network, w, mine = self.transport.network, self.transport.network.weather, self.transport.name
        other = network.ports.get(to)
        if other is None or not self.transport.alive:
            return
        chance = network.chance(f"datagrams {mine} {other.transport.name}")
        for _ in range(2 if chance.random() < w.doubled else 1):
            if chance.random() < w.lost or not network.reaches(mine, other.transport.name):
                continue
            delay = chance.uniform(w.least_delay, w.most_delay)
            delay += chance.uniform(0.0, w.late_most) if chance.random() < w.late else 0.0
            network.loop.call_later(delay, self._arrive, to, data)

    def _arrive(self, to: tuple[str, int], data: bytes) -> None:
        network, mine = self.transport.network, self.transport.name
        other = network.ports.get(to)
        if other is None or not network.reaches(mine, other.transport.name):
            return
        network.saw(mine, other.transport.name, "datagram", len(data), xxhash.xxh3_64_intdigest(data))
        held = other.transport
        if not held.paused or len(held._held) < HELD_MOST:  # else the system drops it
            held.gate(lambda: other.on_datagram(data, self._address))

    def close(self) -> None:
        if self.transport.network.ports.get(self._address) is self:
            del self.transport.network.ports[self._address]


class Disk:
    """The files of all processes, by path; they outlive kills. broken: processes that can't write now; slow:
    by process, seconds that each flush takes more; locks: who holds each, as long as it lives."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.broken: set[str] = set()
        self.slow: dict[str, float] = {}
        self.locks: dict[str, VirtualTransport] = {}


class VirtualBlocks:
    def __init__(self, file: bytearray) -> None:
        self._file = file

    def read(self, offset: int, length: int) -> bytes:
        return bytes(self._file[offset : offset + length]).ljust(length, b"\0")

    def write(self, offset: int, data: bytes) -> None:
        if len(self._file) < offset + len(data):
            self._file.extend(bytes(offset + len(data) - len(self._file)))
        self._file[offset : offset + len(data)] = data


class VirtualJournal:
    """What is being added as its process ends is there up to some byte."""

    def __init__(self, transport: "VirtualTransport", path: str, file: bytearray) -> None:
        self.transport, self.path, self._file = transport, path, file
        self.adding = b""  # on its way to the disk
        self._chance = transport.chance(f"journal {path}")
        self._broken = False

    async def add(self, data: bytes) -> None:
        self.adding = data
        await self.transport.flush(self._chance)
        self.adding = b""
        if self._broken or self.transport.name in self.transport.disk.broken:
            if not self._broken:
                self._file.extend(data[: self._chance.randrange(len(data) + 1)])
            self._broken = True
            raise OSError(28, "No space left on device", self.path)
        self._file.extend(data)

    def torn(self) -> None:
        self._file.extend(self.adding[: self._chance.randrange(len(self.adding) + 1)])
        self.adding = b""

    def close(self) -> None:
        self.transport.journals.pop(self.path, None)


class VirtualTransport(Program):
    """One process of a world. offset, drift: of its monotonic clock against the world's time (seconds, and
    seconds a second); wall_offset of its wall clock, which may jump."""

    def __init__(
        self, network: Network, disk: Disk, name: str, offset: float = 0.0, drift: float = 0.0
    ) -> None:
        super().__init__(network.loop)
        self.network, self.disk, self.name = network, disk, name
        self.offset, self.drift, self.wall_offset = offset, drift, 0.0
        self.alive = True
        self.paused = False
        self.streams: dict[int, VirtualStream] = {}  # open ends of its own
        self._held: list[Callable[[], None]] = []  # due while it is paused; emptied as it goes on
        self._tasks: dict[int, asyncio.Task[None]] = {}  # emptied as they end
        self._listeners: list[VirtualListener] = []
        self._ports: list[VirtualDatagrams] = []
        self.journals: dict[str, VirtualJournal] = {}  # emptied as they are closed
        self._spawned = 0
        self._on_terminate: Callable[[], None] = self.finish
        self._on_reload: Callable[[], None] = self.kill  # what a program that names nothing gets

    # ---- the gate

    def gate(self, act: Callable[[], None]) -> None:
        """Does now what comes from outside, or later, or never."""
        if not self.alive:
            return
        if self.paused:
            self._held.append(act)
        else:
            act()

    def pause(self) -> None:
        self.paused = True

    def go_on(self) -> None:
        self.paused = False
        held, self._held = self._held, []
        for act in held:
            self.network.loop.call_soon(self.gate, act)

    def kill(self) -> None:
        """As SIGKILL: nothing of it runs any more, its connections end, its files stay."""
        self._die()
        for stream in list(self.streams.values()):
            stream._shut(stream.unread > 0)

    def vanish(self) -> None:
        """Its machine is gone: peers are told nothing."""
        self._die()
        self.network.vanished.add(self.name)
        for stream in list(self.streams.values()):
            stream.vanish()

    def _die(self) -> None:
        if self.alive:
            for journal in self.journals.values():
                journal.torn()
        self.alive = False
        self._held.clear()
        for listener in self._listeners:
            listener.close()
        for port in self._ports:
            port.close()
        for task in list(self._tasks.values()):
            task.cancel()

    # ---- what the program asks for

    def now(self) -> float:
        return self.network.loop.time() * (1.0 + self.drift) + self.offset

    def wall(self) -> float:
        return EPOCH + self.network.loop.time() - BEGINS + self.wall_offset

    def at(self, when: float, act: Callable[[], None]) -> VirtualTimer:
        timer = VirtualTimer()

        def due() -> None:
            if not timer.cancelled:
                act()

        # Never early, else whoever waits for that moment looks again and again while no time passes.
        true = (when - self.offset) / (1.0 + self.drift) + NEVER_EARLY
        timer.handle = self.network.loop.call_at(true, self.gate, due)
        return timer

    def soon(self, act: Callable[[], None]) -> None:
        self.network.loop.call_soon(self.gate, act)

    async def sleep(self, seconds: float) -> None:
        waiting = self.network.loop.create_future()
        self.at(self.now() + seconds, lambda: _settle(waiting))
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
            self.ended(task)

    async def connect(self, host: str, port: int, within: float) -> Stream:
        network, address = self.network, (host, port)
        by, again = network.loop.time() + within, SYN_AGAIN
        chance = network.chance(f"connects {self.name}")
        while True:
            owner = network.machines.get(address, "")
            delay = chance.uniform(network.weather.least_delay, network.weather.most_delay)
            delay += network.slow_connects.get(owner, 0.0)
            reached = network.reaches(self.name, owner) and network.reaches(owner, self.name)
            wait = 2 * delay if reached else again
            if network.loop.time() + wait > by:
                await self.sleep(max(0.0, by - network.loop.time()))
                raise Unreachable(f"{host}:{port}: no answer in time")
            await self.sleep(wait)
            if not reached:
                again *= 2
                continue
            listener = network.listeners.get(address)
            if listener is None:
                raise Unreachable(f"{host}:{port}: connection refused")
            return self._join(listener, host, port)

    def _join(self, listener: VirtualListener, host: str, port: int) -> VirtualStream:
        network, server = self.network, listener.transport
        mine = VirtualStream(network, self, f"{host}:{port}")
        theirs = VirtualStream(network, server, f"127.0.0.1:{network.port()}")
        mine.other, theirs.other = theirs, mine
        mine.out, theirs.out = Pipe(network, mine, theirs), Pipe(network, theirs, mine)
        server.gate(lambda: _accept(listener, theirs))
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
        listener = VirtualListener(self, host, port or self.network.port(), on_stream, admits)
        self._listeners.append(listener)
        return listener

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[bytes, tuple[str, int]], None]
    ) -> VirtualDatagrams:
        port = port or self.network.port()
        if (host, port) in self.network.ports:
            raise OSError(f"{host}:{port} is in use")
        self.network.vanished.discard(self.name)
        made = VirtualDatagrams(self, host, port, on_datagram)
        self._ports.append(made)
        return made

    def on_terminate(self, act: Callable[[], None]) -> None:
        self._on_terminate = act

    def on_reload(self, act: Callable[[], None]) -> None:
        self._on_reload = act

    def terminate(self) -> None:
        """As SIGTERM."""
        self.gate(self._on_terminate)

    def reload(self) -> None:
        """As SIGHUP."""
        self.gate(self._on_reload)

    def chance(self, name: str) -> Draws:
        return self.network.chance(f"{self.name}: {name}")

    def load(self, path: str) -> bytes | None:
        file = self.disk.files.get(path)
        return bytes(file) if file is not None else None

    def save(self, path: str, data: bytes) -> None:
        if self.name in self.disk.broken:
            raise OSError(28, "No space left on device", path)
        if self.alive:
            self.disk.files[path] = bytearray(data)

    async def flush(self, chance: Draws) -> None:
        """As long as a flush to this process's disk takes."""
        await self.sleep(chance.uniform(*FLUSH) + self.disk.slow.get(self.name, 0.0))

    async def keep(self, path: str, data: bytes) -> None:
        await self.flush(self.chance(f"keep {path}"))
        self.save(path, data)

    def journal(self, path: str) -> VirtualJournal:
        if path not in self.disk.files:
            raise OSError(2, "No such file or directory", path)
        made = self.journals[path] = VirtualJournal(self, path, self.disk.files[path])
        return made

    def lock(self, path: str) -> Callable[[], None] | None:
        holder = self.disk.locks.get(path)
        if holder is not None and holder.alive:
            return None
        self.disk.locks[path] = self

        def give_up() -> None:
            if self.disk.locks.get(path) is self:
                del self.disk.locks[path]

        return give_up

    def names(self, folder: str) -> list[str]:
        inside = folder.rstrip("/") + "/"
        return sorted(path[len(inside) :] for path in self.disk.files if path.startswith(inside))

    def remove(self, path: str) -> None:
        self.disk.files.pop(path, None)

    def blocks(self, path: str) -> VirtualBlocks:
        return VirtualBlocks(self.disk.files.setdefault(path, bytearray()))

    def append(self, path: str) -> Callable[[bytes], None]:
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
