"""Single messages, each of which may be lost, doubled or late."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import xxhash

from gorsethread.transport.base import MAX_DATAGRAM_BYTES

if TYPE_CHECKING:
    from gorsethread.transport.virtual.process import VirtualTransport

HELD_MOST = 256  # datagrams and other things due that wait for a paused process


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
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram of {len(data)} bytes is over the limit of {MAX_DATAGRAM_BYTES}")
        network, mine = self.transport.network, self.transport.name
        conditions = network.conditions
        other = network.ports.get(to)
        if other is None or not self.transport.alive:
            return
        chance = network.chance(f"datagrams {mine} {other.transport.name}")
        for _ in range(2 if chance.random() < conditions.doubled else 1):
            if chance.random() < conditions.lost or not network.reaches(mine, other.transport.name):
                continue
            delay = chance.uniform(conditions.min_delay, conditions.max_delay)
            late = chance.random() < conditions.late
            delay += chance.uniform(0.0, conditions.max_late_delay) if late else 0.0
            network.loop.call_later(delay, self._arrive, to, data)

    def _arrive(self, to: tuple[str, int], data: bytes) -> None:
        network, mine = self.transport.network, self.transport.name
        other = network.ports.get(to)
        if other is None or not network.reaches(mine, other.transport.name):
            return
        network.add_to_digest(
            mine, other.transport.name, "datagram", len(data), xxhash.xxh3_64_intdigest(data)
        )
        held = other.transport
        if not held.paused or len(held._held) < HELD_MOST:  # else the system drops it
            held.deliver(lambda: other.on_datagram(data, self._address))

    def close(self) -> None:
        if self.transport.network.ports.get(self._address) is self:
            del self.transport.network.ports[self._address]
