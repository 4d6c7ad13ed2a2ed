"""The simulated network between all processes: delays, cuts, resets, and a digest of all its events."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import xxhash

from gorsethread.transport.program import SeededRandom
from gorsethread.transport.virtual.loop import VirtualLoop

if TYPE_CHECKING:
    from gorsethread.transport.virtual.datagrams import VirtualDatagrams
    from gorsethread.transport.virtual.streams import Pipe, VirtualListener

FIRST_PORT = 50_000


@dataclass(frozen=True)
class NetworkConditions:
    """The network's behaviour apart from faults of a script: in seconds, bytes and fractions."""

    min_delay: float = 0.0002
    max_delay: float = 0.002
    bandwidth: float = 50e6  # bytes per second, in each direction of each connection
    window: int = 262_144  # bytes in flight and unread above which the sender has to buffer
    segment: int = 16_384  # bytes that arrive at once, at most
    split: float = 0.1  # fraction of the reads that return only a part of the available bytes
    lost: float = 0.0  # fractions of the datagrams that are lost, duplicated or late
    doubled: float = 0.0
    late: float = 0.0
    max_late_delay: float = 0.5  # seconds added to a late datagram, at most


class Network:
    """All connections between the processes of a simulation, and its faults.

    Attributes:
        listeners: Open listeners by address; a listener that closes is removed.
        machines: The name of the process that last listened at an address.
        vanished: Names of the processes whose machine has disappeared without closing its connections.
        cuts: The number of cuts by source and destination process; a pair is removed as its last cut heals.
        ports: Open datagram ports by address; a port that closes is removed.
        extra_connect_delay: Seconds added to connecting to a process; an entry goes with its fault.
        pipes: Each direction of each connection by its number; removed when that direction ends.
        digest: A digest of all events.
        delivered: The number of segments that have arrived.
        on_arrival: Called after each arrival, before its reader runs, with source, destination, number of
            arrivals between them so far, time of sending and number of the pipe. It serves faults that happen
            between two messages.
        on_lost: Called with source and destination when data arrives at a connection that the receiver or an
            earlier process of its name has closed.
        arrivals: The number of arrivals by source and destination process.
        last_read_sent_at: When the bytes that were read last were sent.
        last_written_pipe: The number of the pipe that the last write goes through, or 0 if it was dropped.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        conditions: NetworkConditions = NetworkConditions(),  # noqa: B008
    ) -> None:
        self.loop, self.seed, self.conditions = loop, seed, conditions
        self.listeners: dict[tuple[str, int], VirtualListener] = {}
        self.machines: dict[tuple[str, int], str] = {}
        self.vanished: set[str] = set()
        self.cuts: dict[tuple[str, str], int] = {}
        self.ports: dict[tuple[str, int], VirtualDatagrams] = {}
        self.extra_connect_delay: dict[str, float] = {}
        self.pipes: dict[int, Pipe] = {}
        self._stalled: dict[tuple[str, str], dict[int, Pipe]] = {}
        self._random_streams: dict[str, SeededRandom] = {}
        self._last_port = FIRST_PORT
        self._last_number = 0
        self.digest = xxhash.xxh3_64(seed=0)
        self.delivered = 0
        self.on_arrival: Callable[[str, str, int, float, int], None] | None = None
        self.on_lost: Callable[[str, str], None] | None = None
        self.arrivals: dict[tuple[str, str], int] = {}
        self.last_read_sent_at = 0.0
        self.last_written_pipe = 0

    def random_stream(self, name: str) -> SeededRandom:
        """Returns the stream of random numbers of that name, which is made at its first use."""
        if name not in self._random_streams:
            self._random_streams[name] = SeededRandom(f"{self.seed}/{name}")
        return self._random_streams[name]

    def next_number(self) -> int:
        """Returns a number that no pipe has had yet."""
        self._last_number += 1
        return self._last_number

    def next_port(self) -> int:
        """Returns a port that has not been used yet."""
        self._last_port += 1
        return self._last_port

    def add_to_digest(self, *event: Any) -> None:
        """Adds an event and the present time to the digest."""
        self.digest.update(repr((round(self.loop.time(), 9), *event)).encode())

    def reaches(self, source: str, destination: str) -> bool:
        """Returns whether packets of one process reach another."""
        vanished = source in self.vanished or destination in self.vanished
        return (source, destination) not in self.cuts and not vanished

    def cut(self, source: str, destination: str) -> None:
        """Stops packets in one direction; the bytes of connections wait, because TCP sends them again."""
        self.cuts[source, destination] = self.cuts.get((source, destination), 0) + 1

    def heal(self, source: str, destination: str) -> None:
        """Ends one cut; when it was the last in that direction, stalled connections resume."""
        remaining = self.cuts.get((source, destination), 0) - 1
        if remaining > 0:
            self.cuts[source, destination] = remaining
            return
        self.cuts.pop((source, destination), None)
        for pipe in self._stalled.pop((source, destination), {}).values():
            pipe.resume()

    def stall(self, pipe: "Pipe") -> None:
        """Notes a pipe that has to wait until a cut heals."""
        names = (pipe.sender.owner.name, pipe.receiver.owner.name)
        self._stalled.setdefault(names, {})[pipe.number] = pipe

    def reset(self, source: str, destination: str) -> int:
        """Resets every connection between two processes; the bytes in flight are lost.

        Returns:
            The number of connections.
        """
        pairs = {(source, destination), (destination, source)}
        found = [p for p in self.pipes.values() if (p.sender.owner.name, p.receiver.owner.name) in pairs]
        for pipe in found:
            pipe.discard()
            pipe.receiver.reset("connection reset", ignore_cuts=True)
        return len(found) // 2
