"""The memory of a real gateway stays under its limit, whatever its clients do, at both ends of the limits."""

import contextlib
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from gorsethread.http_gateway.memory_budget import MEGABYTE
from tests.crossing.rig import Peer, PeerEnded, ProcessTest, Server
from tests.http_gateway import crowds
from tests.live import response_bytes

LEAST_MEMORY = 32  # megabytes: the least that the platform's pages name
MOST_MEMORY = 192  # megabytes: the most on the days that count
MOST_SOCKETS = 1_024
CROWD = 600  # connections, more than the gateway accepts
SECONDS = 4.0
# The platform's build has no rich, which structlog would import.
AS_THE_PLATFORM_BUILDS = "import sys; sys.modules['rich'] = None"


@dataclass(frozen=True)
class Crowd:
    """A crowd of clients that each send these bytes."""

    first_bytes: crowds.FirstBytes

    def __call__(self, port: int) -> int:
        return crowds.play_crowd(port, CROWD, SECONDS, self.first_bytes)

    def __str__(self) -> str:
        return self.first_bytes.__name__


@dataclass(frozen=True)
class Flood:
    """One client that sends such requests at full speed."""

    request: crowds.FirstBytes

    def __call__(self, port: int) -> int:
        return crowds.play_flood(port, SECONDS, self.request)

    def __str__(self) -> str:
        return self.request.__name__


@dataclass(frozen=True)
class CrowdAndFlood:
    """Both at once."""

    first_bytes: crowds.FirstBytes
    request: crowds.FirstBytes

    def __call__(self, port: int) -> int:
        flood = threading.Thread(target=Flood(self.request), args=(port,))
        flood.start()
        made = Crowd(self.first_bytes)(port)
        flood.join()
        return made

    def __str__(self) -> str:
        return f"{self.first_bytes.__name__} and {self.request.__name__}"


CROWDS = tuple(
    map(
        Crowd,
        (
            crowds.nothing,
            crowds.unfinished_write,
            crowds.waiting_write,
            crowds.long_header_lines,
            crowds.unreadable_header_lines,
            crowds.writes_sent_ahead,
            crowds.all_kinds,
        ),
    )
)
FLOODS = tuple(map(Flood, (crowds.new_volume, crowds.new_served_volume, crowds.unknown_class)))


@pytest.mark.processes
class MemoryLimits(ProcessTest):
    limits: dict[str, Any]

    def config(self, *arguments: Any, **settings: Any) -> dict[str, Any]:
        """Returns a configuration with the limits of the test."""
        return {**super().config(*arguments, **settings), "limits": self.limits}

    def start_backend(self, body: bytes = b"ok") -> Server:
        """Returns a backend that serves each connection in a thread."""
        backend = Server(self)
        backend.socket.settimeout(None)

        def accept() -> None:
            with contextlib.suppress(OSError):
                while True:
                    connection, _ = backend.socket.accept()
                    threading.Thread(target=serve, args=(Peer(connection),), daemon=True).start()

        def serve(peer: Peer) -> None:
            peer.socket.settimeout(None)
            with contextlib.suppress(OSError, PeerEnded):
                while True:
                    peer.message()
                    peer.send(response_bytes(200, body))
            peer.close()

        threading.Thread(target=accept, daemon=True).start()
        return backend

    def faults(self, play: Callable[[int], int]) -> list[str]:
        """Plays clients; returns what is wrong: too much memory, or usual clients that are not served."""
        gateway = self.start(self.start_backend(), prelude=AS_THE_PLATFORM_BUILDS)
        with crowds.MemorySampler(gateway.process.pid) as memory, crowds.UsualClient(gateway.port) as usual:
            made = play(gateway.port)
        found = []
        if gateway.process.poll() is not None or not made:
            found.append("the gateway has ended")
        if memory.peak >= self.limits["memory_mb"] * MEGABYTE:
            found.append(f"{memory.peak / MEGABYTE:.1f} MB")
        if set(usual.statuses) != {200}:
            found.append(f"statuses of the usual client: {usual.statuses}")
        gateway.process.kill()
        return found

    def check_all(self, *plays: Callable[[int], int]) -> None:
        """Fails with the faults of each play."""
        faults = {str(play): self.faults(play) for play in plays}
        self.assertEqual({}, {play: found for play, found in faults.items() if found})

    def test_a_gateway_of_the_least_memory_and_many_descriptors_stays_within_it(self) -> None:
        # Guards against memory by connections, ended ones included, by bodies, heads and names.
        self.limits = {"cores": 1.0, "memory_mb": LEAST_MEMORY, "sockets": MOST_SOCKETS}
        self.check_all(*CROWDS, *FLOODS, CrowdAndFlood(crowds.all_kinds, crowds.new_served_volume))

    def test_a_gateway_of_the_most_memory_and_descriptors_stays_within_it(self) -> None:
        self.limits = {"cores": 1.0, "memory_mb": MOST_MEMORY, "sockets": MOST_SOCKETS}
        self.check_all(Crowd(crowds.writes_sent_ahead), Crowd(crowds.reads_sent_ahead))
