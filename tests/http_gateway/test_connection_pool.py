"""The pool's choice of the connection to close: the longest idle, among equals that of the first link."""

from typing import Any

import pytest

from gorsethread.http_gateway.backend_connection import BackendConnection
from gorsethread.http_gateway.backend_link import BackendLink
from gorsethread.http_gateway.connection_pool import IDLE_TIMEOUT_FRACTION, ConnectionPool
from gorsethread.logs import log_for

IDLE_TIMEOUT = 10.0  # seconds


class Clock:
    """The pool's and links' transport, of which they ask only the time here."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class OpenStream:
    """A connection's stream that notes in what order it is closed among others."""

    def __init__(self, name: str, closed: list[str]) -> None:
        self.name, self.closed = name, closed

    def close(self) -> None:
        self.closed.append(self.name)


class Pool:
    """Three links, made in the order 3, 1, 2, and the names of closed connections."""

    def __init__(self) -> None:
        self.clock: Any = Clock()
        self.links: dict[int, Any] = {}
        self.pool = ConnectionPool(self.clock, self.links, 1, 1.0, IDLE_TIMEOUT, log_for())
        self.closed: list[str] = []
        for backend in (3, 1, 2):
            self.link(backend, "old")

    def link(self, backend: int, host: str) -> None:
        self.links[backend] = BackendLink(self.pool, backend, (host, 1))

    def becomes_idle(self, backend: int, name: str, at: float) -> None:
        self.clock.time = at
        stream: Any = OpenStream(name, self.closed)
        self.pool.open_connections += 1
        self.links[backend]._keep_idle(BackendConnection(self.links[backend], stream))


@pytest.fixture
def rig() -> Pool:
    return Pool()


def test_the_longest_idle_connection_makes_room(rig: Pool) -> None:
    rig.becomes_idle(2, "first", 1.0)
    rig.becomes_idle(3, "second", 2.0)
    assert rig.pool.make_room()
    assert rig.pool.make_room()
    assert rig.closed == ["first", "second"]
    assert (rig.pool.open_connections, dict(rig.pool.idle)) == (0, {})


def test_among_equals_the_first_links_makes_room_also_where_that_link_was_replaced(rig: Pool) -> None:
    rig.links[3].close()
    rig.link(3, "new")
    for backend in (2, 1, 3):
        rig.becomes_idle(backend, f"of {backend}", 1.0)
    for _ in range(3):
        assert rig.pool.make_room()
    assert rig.closed == ["of 3", "of 1", "of 2"]


def test_a_link_that_left_and_came_back_is_the_last(rig: Pool) -> None:
    del rig.links[3]
    rig.link(3, "back")
    for backend in (3, 2, 1):
        rig.becomes_idle(backend, f"of {backend}", 1.0)
    for _ in range(3):
        assert rig.pool.make_room()
    assert rig.closed == ["of 1", "of 2", "of 3"]


def test_a_full_pool_with_nothing_idle_has_no_room(rig: Pool) -> None:
    rig.pool.open_connections = 1
    assert not rig.pool.make_room()


def test_a_sweep_closes_what_was_idle_for_its_time_link_by_link(rig: Pool) -> None:
    for name, backend, at in (("a", 2, 1.0), ("b", 3, 1.5), ("c", 2, 1.5), ("d", 1, 3.0)):
        rig.becomes_idle(backend, name, at)
    rig.clock.time = 1.5 + IDLE_TIMEOUT * IDLE_TIMEOUT_FRACTION
    rig.pool.sweep()
    assert rig.closed == ["b", "a", "c"]
    assert [len(link.idle_connections) for link in rig.links.values()] == [0, 1, 0]
    assert len(rig.pool.idle) == 1
