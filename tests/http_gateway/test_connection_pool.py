"""The pool closes the longest idle connection; of several idle for equally long, the first link's."""

from typing import Any

import pytest

from gorsethread.http_gateway.backend_connection import BackendConnection
from gorsethread.http_gateway.backend_link import BackendLink
from gorsethread.http_gateway.connection_pool import IDLE_TIMEOUT_FRACTION, ConnectionPool
from gorsethread.http_gateway.memory_budget import MemoryBudget
from gorsethread.logs import log_for

IDLE_TIMEOUT = 10.0  # seconds


class Clock:
    """Stands in for the pool's and links' transport, of which these tests use only the clock."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


class OpenStream:
    """Stands in for a connection's stream; appends its name to a list when it is closed."""

    def __init__(self, name: str, closed: list[str]) -> None:
        self.name, self.closed = name, closed

    def close(self) -> None:
        self.closed.append(self.name)


class PoolRig:
    """A pool with three links, created in the order 3, 1, 2, and the names of closed connections."""

    def __init__(self) -> None:
        self.clock: Any = Clock()
        self.links: dict[int, Any] = {}
        self.pool = ConnectionPool(
            self.clock, self.links, 1, 1.0, IDLE_TIMEOUT, MemoryBudget(1 << 20), log_for()
        )
        self.closed: list[str] = []
        for backend in (3, 1, 2):
            self.add_link(backend, "old")

    def add_link(self, backend: int, host: str) -> None:
        self.links[backend] = BackendLink(self.pool, backend, (host, 1))

    def add_idle(self, backend: int, name: str, at: float) -> None:
        self.clock.time = at
        stream: Any = OpenStream(name, self.closed)
        self.pool.open_connections += 1
        self.links[backend]._keep_idle(BackendConnection(self.links[backend], stream, self.pool.budget))


@pytest.fixture
def rig() -> PoolRig:
    return PoolRig()


def test_the_longest_idle_connection_is_closed_first(rig: PoolRig) -> None:
    rig.add_idle(2, "first", 1.0)
    rig.add_idle(3, "second", 2.0)
    assert rig.pool.make_room()
    assert rig.pool.make_room()
    assert rig.closed == ["first", "second"]
    assert (rig.pool.open_connections, dict(rig.pool.idle)) == (0, {})


def test_of_equally_idle_connections_the_first_links_is_closed_even_if_the_link_was_replaced(
    rig: PoolRig,
) -> None:
    rig.links[3].close()
    rig.add_link(3, "new")
    for backend in (2, 1, 3):
        rig.add_idle(backend, f"of {backend}", 1.0)
    for _ in range(3):
        assert rig.pool.make_room()
    assert rig.closed == ["of 3", "of 1", "of 2"]


def test_a_link_that_was_removed_and_added_again_is_the_last(rig: PoolRig) -> None:
    del rig.links[3]
    rig.add_link(3, "back")
    for backend in (3, 2, 1):
        rig.add_idle(backend, f"of {backend}", 1.0)
    for _ in range(3):
        assert rig.pool.make_room()
    assert rig.closed == ["of 1", "of 2", "of 3"]


def test_a_full_pool_without_idle_connections_has_no_room(rig: PoolRig) -> None:
    rig.pool.open_connections = 1
    assert not rig.pool.make_room()


def test_a_sweep_closes_the_connections_past_the_idle_timeout_in_the_order_of_links(rig: PoolRig) -> None:
    for name, backend, at in (("a", 2, 1.0), ("b", 3, 1.5), ("c", 2, 1.5), ("d", 1, 3.0)):
        rig.add_idle(backend, name, at)
    rig.clock.time = 1.5 + IDLE_TIMEOUT * IDLE_TIMEOUT_FRACTION
    rig.pool.sweep()
    assert rig.closed == ["b", "a", "c"]
    assert [len(link.idle_connections) for link in rig.links.values()] == [0, 1, 0]
    assert len(rig.pool.idle) == 1
