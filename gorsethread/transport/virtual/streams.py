"""Connections: bytes in order each way, half-closes, resets, and who listens."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import xxhash

from gorsethread.transport.base import Stream, StreamClosed, StreamEnded
from gorsethread.transport.virtual.loop import settle
from gorsethread.transport.virtual.network import Network

if TYPE_CHECKING:
    from gorsethread.transport.virtual.process import VirtualTransport

MAX_RESEND_DELAY = 0.2  # seconds until data lost in a cut is sent again after it has healed, at most


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
        conditions, now = self.network.conditions, self.network.loop.time()
        chance = self.network.chance(f"way {self.sender.owner.name} {self.taker.owner.name}")
        delay = chance.uniform(conditions.min_delay, conditions.max_delay) + len(data) / conditions.bandwidth
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
        self.network.add_to_digest(one, other, len(data), xxhash.xxh3_64_intdigest(data))
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
        again = self.network.loop.time() + chance.uniform(0.01, MAX_RESEND_DELAY)
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
                raise (StreamClosed if self._broken else StreamEnded)(self._ended)
            self._reader = self.network.loop.create_future()
            await self._reader
        left, data = self._got.popleft()
        size = len(data)
        chance = self.network.chance(f"reads {self.owner.name}")
        if size > 1 and chance.random() < self.network.conditions.split:
            size = 1 + chance.randrange(size - 1)
            self._got.appendleft((left, data[size:]))
        self.unread -= size
        self.network.last_read_sent_at = left
        self.other._push()
        return data[:size]

    def is_idle(self) -> bool:
        return not (self.closed or self._got or self._ended)

    def peer_ended(self) -> bool:
        return self.closed or bool(self._ended)

    def write(self, data: bytes) -> None:
        self.network.last_written_pipe = 0
        if self.closed or self._ended or self._sending_ended or not self.owner.alive:
            return
        self.network.last_written_pipe = self.out.number
        self._unsent += data
        if not self._corked:
            self._corked = True
            self.network.loop.call_soon(self._uncork)

    def _uncork(self) -> None:
        self._corked = False
        self._push()

    def _push(self) -> None:
        conditions = self.network.conditions
        while self._unsent and not self.closed and not self._broken:
            room = conditions.window - self.out.size - self.other.unread
            if room <= 0:
                break
            size = min(len(self._unsent), conditions.segment, room)
            self.out.send(bytes(self._unsent[:size]))
            del self._unsent[:size]
        if not self._unsent:
            if self._sending_ended and not self._end_sent and not self.closed and not self._broken:
                self._end_sent = True
                self.out.send(b"")
            drain, self._drain = self._drain, []
            for waiting in drain:
                self.owner.deliver(lambda waiting=waiting: settle(waiting))  # type: ignore[misc]

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
                self.network.conditions.min_delay, self.other.broke, "connection reset"
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
                    self.network.conditions.min_delay, self.other.broke, "connection reset"
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
            self.owner.deliver(lambda waiting=waiting: settle(waiting))  # type: ignore[misc]


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
