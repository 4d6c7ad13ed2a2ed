"""The links between all processes: delays, cuts, resets, and the digest of the whole history."""

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
    """How the network is where nothing is wrong. Seconds, bytes, parts of one."""

    min_delay: float = 0.0002
    max_delay: float = 0.002
    bandwidth: float = 50e6  # bytes a second, each way of each connection
    window: int = 262_144  # bytes on the way and unread before the sender has to keep them
    segment: int = 16_384  # the most that arrives at once
    split: float = 0.1  # part of the reads that bring only a piece of what is there
    lost: float = 0.0  # parts of the datagrams that are lost, doubled, late
    doubled: float = 0.0
    late: float = 0.0
    max_late_delay: float = 0.5  # seconds


class Network:
    """All links between the processes of a world. cuts: who does not reach whom, one way each."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        conditions: NetworkConditions = NetworkConditions(),  # noqa: B008
    ) -> None:
        self.loop, self.seed, self.conditions = loop, seed, conditions
        self.listeners: dict[tuple[str, int], VirtualListener] = {}  # emptied as they close
        self.machines: dict[tuple[str, int], str] = {}  # who last listened there
        self.vanished: set[str] = set()  # whose machine is gone without a word
        self.cuts: dict[tuple[str, str], int] = {}  # how many cuts lie on that way; emptied as they heal
        self.ports: dict[tuple[str, int], VirtualDatagrams] = {}  # emptied as they close
        self.extra_connect_delay: dict[
            str, float
        ] = {}  # seconds more to connect to it; emptied with the fault
        self.pipes: dict[int, Pipe] = {}  # every way of every connection, by number; emptied as they end
        self._stalled: dict[tuple[str, str], dict[int, Pipe]] = {}
        self._draws: dict[str, SeededRandom] = {}
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
        self.last_read_sent_at = 0.0  # when what was read last left its sender
        self.last_written_pipe = 0  # the way that what was written last will go; 0: nowhere

    def chance(self, name: str) -> SeededRandom:
        if name not in self._draws:
            self._draws[name] = SeededRandom(f"{self.seed}/{name}")
        return self._draws[name]

    def number(self) -> int:
        self._made += 1
        return self._made

    def port(self) -> int:
        self._ports += 1
        return self._ports

    def add_to_digest(self, *what: Any) -> None:
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
