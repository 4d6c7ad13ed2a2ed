"""Simulated connections, with half-closes and resets, and listeners."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import xxhash

from gorsethread.transport.base import Stream, StreamClosed, StreamEnded
from gorsethread.transport.virtual.loop import wake
from gorsethread.transport.virtual.network import Network

if TYPE_CHECKING:
    from gorsethread.transport.virtual.process import VirtualTransport

MAX_RESEND_DELAY = 0.2  # seconds from the end of a cut until data lost in it is sent again


class Pipe:
    """One direction of a connection; segments arrive in order, each after its delay.

    Attributes:
        number: Identifies the pipe in its network.
        in_flight: Segments as (time of arrival, time of sending, bytes); no bytes stand for the half-close.
        size: Bytes in flight.
    """

    def __init__(self, network: Network, sender: "VirtualStream", receiver: "VirtualStream") -> None:
        self.network, self.sender, self.receiver = network, sender, receiver
        self.number = network.next_number()
        network.pipes[self.number] = self
        self.in_flight: deque[tuple[float, float, bytes]] = deque()
        self.size = 0
        self._last_arrival = 0.0
        self._timer_set = False

    def send(self, data: bytes) -> None:
        conditions, now = self.network.conditions, self.network.loop.time()
        random = self.network.random_stream(f"way {self.sender.owner.name} {self.receiver.owner.name}")
        delay = random.uniform(conditions.min_delay, conditions.max_delay) + len(data) / conditions.bandwidth
        self._last_arrival = max(self._last_arrival, now + delay)
        self.in_flight.append((self._last_arrival, now, data))
        self.size += len(data)
        self._set_timer()

    def _set_timer(self) -> None:
        if self.in_flight and not self._timer_set:
            self._timer_set = True
            self.network.loop.call_at(self.in_flight[0][0], self._arrive)

    def _arrive(self) -> None:
        self._timer_set = False
        if not self.in_flight:
            return
        source, destination = self.sender.owner.name, self.receiver.owner.name
        if not self.network.reaches(source, destination):
            if destination in self.network.vanished or source in self.network.vanished:
                self.discard()
            else:
                self.network.stall(self)
            return
        _, sent_at, data = self.in_flight.popleft()
        self.size -= len(data)
        self.network.delivered += 1
        self.network.add_to_digest(source, destination, len(data), xxhash.xxh3_64_intdigest(data))
        pair = (source, destination)
        self.network.arrivals[pair] = self.network.arrivals.get(pair, 0) + 1
        accepted = not self.receiver.closed
        self.receiver.segment_arrived(data, sent_at)
        if not data:
            self.network.pipes.pop(self.number, None)
        if accepted and self.network.on_arrival:
            self.network.on_arrival(source, destination, self.network.arrivals[pair], sent_at, self.number)
        self._set_timer()

    def resume(self) -> None:
        """Sends lost segments again after a cut has healed, with the delay of TCP's retransmission."""
        if self._timer_set or not self.in_flight:
            return
        random = self.network.random_stream(f"way {self.sender.owner.name} {self.receiver.owner.name}")
        resent_at = self.network.loop.time() + random.uniform(0.01, MAX_RESEND_DELAY)
        self.in_flight = deque((max(resent_at, at), sent_at, data) for at, sent_at, data in self.in_flight)
        self._last_arrival = max(self._last_arrival, resent_at)
        self._set_timer()

    def discard(self) -> None:
        """Drops the bytes in flight and ends the pipe."""
        self.in_flight.clear()
        self.size = 0
        self.network.pipes.pop(self.number, None)


class VirtualStream:
    """One end of a connection.

    Attributes:
        owner: The process of this end.
        peer: The peer's address, as host:port.
        out: The pipe to the other end.
        other_end: The other end of the connection.
        unread: Bytes that have arrived and were not read; bounded by the window.
        unsent: Bytes written that wait for space in the window.
        closed: Whether this end is closed.
    """

    def __init__(self, network: Network, owner: "VirtualTransport", peer: str) -> None:
        self.network, self.owner, self.peer = network, owner, peer
        self.out: Pipe
        self.other_end: VirtualStream
        self._unsent = bytearray()
        self._corked = False
        self._received: deque[tuple[float, bytes]] = deque()  # unread bytes, each with its time of sending
        self.unread = 0
        self._end_reason = ""  # why no more bytes arrive; empty while they may
        self._was_reset = False
        self._sending_ended = False
        self._end_sent = False  # the half-close is on its way
        self.closed = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._drain_waiters: list[asyncio.Future[None]] = []
        owner.streams[id(self)] = self

    @property
    def unsent(self) -> int:
        return len(self._unsent)

    async def read(self) -> bytes:
        while True:
            if self.closed:
                raise StreamClosed("closed")
            if self._received:
                break
            if self._end_reason:
                raise (StreamClosed if self._was_reset else StreamEnded)(self._end_reason)
            self._read_waiter = self.network.loop.create_future()
            await self._read_waiter
        sent_at, data = self._received.popleft()
        size = len(data)
        random = self.network.random_stream(f"reads {self.owner.name}")
        if size > 1 and random.random() < self.network.conditions.split:
            size = 1 + random.randrange(size - 1)
            self._received.appendleft((sent_at, data[size:]))
        self.unread -= size
        self.network.last_read_sent_at = sent_at
        self.other_end._push()
        return data[:size]

    def is_idle(self) -> bool:
        return not (self.closed or self._received or self._end_reason)

    def has_unread_bytes(self) -> bool:
        return bool(self._received)

    def peer_ended(self) -> bool:
        return self.closed or bool(self._end_reason)

    def write(self, data: bytes) -> None:
        self.network.last_written_pipe = 0
        if self.closed or self._end_reason or self._sending_ended or not self.owner.alive:
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
        while self._unsent and not self.closed and not self._was_reset:
            room = conditions.window - self.out.size - self.other_end.unread
            if room <= 0:
                break
            size = min(len(self._unsent), conditions.segment, room)
            self.out.send(bytes(self._unsent[:size]))
            del self._unsent[:size]
        if not self._unsent:
            if self._sending_ended and not self._end_sent and not self.closed and not self._was_reset:
                self._end_sent = True
                self.out.send(b"")
            waiters, self._drain_waiters = self._drain_waiters, []
            for waiting in waiters:
                self.owner.deliver(lambda waiting=waiting: wake(waiting))  # type: ignore[misc]

    async def drained(self) -> None:
        if self.closed or self._end_reason:
            raise StreamClosed(self._end_reason or "closed")
        self._push()
        if self._unsent:
            waiting = self.network.loop.create_future()
            self._drain_waiters.append(waiting)
            await waiting
            if self._unsent:
                raise StreamClosed(self._end_reason or "closed")

    def end_sending(self) -> None:
        if not self._sending_ended and not self.closed and self.owner.alive:
            self._sending_ended = True
            self._push()

    def close(self) -> None:
        """Closes this end; bytes that fit into the window are still sent, and then the half-close."""
        if self.closed or not self.owner.alive:
            return
        self._push()
        self._close(self.unread > 0)

    def _close(self, unread: bool) -> None:
        self.closed = True
        self.owner.streams.pop(id(self), None)
        self._unsent.clear()
        if unread:
            # As in TCP, closing with unread bytes resets the connection, and the peer loses its unread bytes.
            self.out.discard()
            self.network.loop.call_later(
                self.network.conditions.min_delay, self.other_end.reset, "connection reset"
            )
        elif not self._end_sent:
            self.out.send(b"")
        self._wake()

    def vanish(self) -> None:
        """Closes this end without notifying the peer, because its machine disappears."""
        self.closed = True
        self.owner.streams.pop(id(self), None)
        self._unsent.clear()
        self.out.discard()

    def segment_arrived(self, data: bytes, sent_at: float) -> None:
        """Receives a segment; no bytes are the half-close of the peer."""
        if self.closed:
            # This end is closed, so the sender gets a reset.
            if data and self.network.on_lost:
                self.network.on_lost(self.other_end.owner.name, self.owner.name)
            if data and not self.other_end.closed:
                self.network.loop.call_later(
                    self.network.conditions.min_delay, self.other_end.reset, "connection reset"
                )
            return
        if data:
            self._received.append((sent_at, data))
            self.unread += len(data)
        else:
            self._end_reason = self._end_reason or "closed by peer"
        self._wake()

    def reset(self, reason: str, ignore_cuts: bool = False) -> None:
        """Ends the connection by a reset.

        Args:
            reason: The text of the error that read() raises.
            ignore_cuts: Whether the reset comes from the network itself, so that a cut does not stop it.
        """
        if self.closed or self._end_reason:
            return
        if not ignore_cuts and not self.network.reaches(self.other_end.owner.name, self.owner.name):
            return  # the cut also stops the packet with the reset
        self._received.clear()
        self.unread = 0
        self._end_reason, self._was_reset = reason, True  # unsent bytes stay counted, as in a real stream
        self._wake()

    def _wake(self) -> None:
        reader, self._read_waiter = self._read_waiter, None
        over = bool(self._end_reason or self.closed)
        drain, self._drain_waiters = (self._drain_waiters, []) if over else ([], self._drain_waiters)
        for waiting in ([reader] if reader else []) + drain:
            self.owner.deliver(lambda waiting=waiting: wake(waiting))  # type: ignore[misc]


class VirtualListener:
    """A simulated port on which connections are accepted."""

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
