"""Simulated datagrams, each of which may be lost, duplicated or delayed."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import xxhash

from gorsethread.transport.base import MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from gorsethread.transport.virtual.process import VirtualTransport

MAX_HELD_EVENTS = 256  # events held for a paused process above which datagrams to it are dropped


class VirtualDatagrams:
    """A port for datagrams; each has a delay of its own, so they may overtake each other."""

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
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(data)} bytes is over the limit of {MAX_DATAGRAM_BYTES}")
        network, own_name = self.transport.network, self.transport.name
        conditions = network.conditions
        destination = network.ports.get(to)
        if destination is None or not self.transport.alive:
            return
        random = network.random_stream(f"datagrams {own_name} {destination.transport.name}")
        for _ in range(2 if random.random() < conditions.doubled else 1):
            if random.random() < conditions.lost or not network.reaches(own_name, destination.transport.name):
                continue
            delay = random.uniform(conditions.min_delay, conditions.max_delay)
            late = random.random() < conditions.late
            delay += random.uniform(0.0, conditions.max_late_delay) if late else 0.0
            network.loop.call_later(delay, self._arrive, to, data)

    def _arrive(self, to: tuple[str, int], data: bytes) -> None:
        network, own_name = self.transport.network, self.transport.name
        destination = network.ports.get(to)
        if destination is None or not network.reaches(own_name, destination.transport.name):
            return
        network.add_to_digest(
            own_name, destination.transport.name, "datagram", len(data), xxhash.xxh3_64_intdigest(data)
        )
        receiver = destination.transport
        if not receiver.paused or len(receiver._held_events) < MAX_HELD_EVENTS:  # else the system drops it
            receiver.deliver(lambda: destination.on_datagram(data, self._address))

    def close(self) -> None:
        if self.transport.network.ports.get(self._address) is self:
            del self.transport.network.ports[self._address]
