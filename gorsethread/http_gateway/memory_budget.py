"""Divides the permitted memory, and bounds the bytes that the gateway holds for all of its connections."""

from dataclasses import dataclass

from gorsethread.http_gateway.recent_ids import REMEMBERED_MAX
from gorsethread.scheduling.fair_queueing import VOLUMES_MAX

MEGABYTE = 1_000_000  # bytes
PROGRAM_BYTES = 20 * MEGABYTE  # of the permitted memory, for the program itself
LEAST_FRACTION = 0.35  # of the permitted memory, for all else where the program leaves hardly any
# Of what the program leaves. What is held for a connection takes two to three times its bytes, with the
# objects around them and copies in work.
CONNECTIONS_FRACTION = 0.3
VOLUMES_FRACTION = 0.12
IDS_FRACTION = 0.08
CLIENTS_FRACTION = 0.7  # of the bytes for connections, which clients that send nothing may take
CONNECTION_BYTES = 4_096  # counted for an open connection that holds nothing
VOLUME_BYTES = 900  # of a volume's state, its place in the tables included
ID_BYTES = 200  # of a remembered id


@dataclass(frozen=True)
class MemoryLimits:
    """What each part of a process may hold.

    Attributes:
        connection_bytes: Bytes counted for all connections together.
        clients: Connections of clients.
        volumes: Volumes with state of their own.
        ids: Ids that are remembered in each table.
    """

    connection_bytes: int
    clients: int
    volumes: int
    ids: int


def divide_memory(permitted_megabytes: float) -> MemoryLimits:
    """Returns what a process with that much permitted memory may hold."""
    permitted = permitted_megabytes * MEGABYTE
    rest = max(LEAST_FRACTION * permitted, permitted - PROGRAM_BYTES)
    connection_bytes = int(CONNECTIONS_FRACTION * rest)
    return MemoryLimits(
        connection_bytes=connection_bytes,
        clients=int(CLIENTS_FRACTION * connection_bytes / CONNECTION_BYTES),
        volumes=min(VOLUMES_MAX, int(VOLUMES_FRACTION * rest / VOLUME_BYTES)),
        ids=min(REMEMBERED_MAX, int(IDS_FRACTION * rest / ID_BYTES / 2)),
    )


class MemoryBudget:
    """Counts the bytes held for connections: what was received and not passed on, and what was not sent yet.

    Each open connection counts CONNECTION_BYTES beside.

    Attributes:
        limit: Bytes above which connections have to give some up.
        held: Bytes held now.
        peak: The most bytes held since take_peak() was last called.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.peak = 0

    @property
    def exceeded(self) -> bool:
        """Whether more is held than the limit."""
        return self.held > self.limit

    def take_peak(self) -> int:
        """Returns the most bytes held since the last call."""
        peak, self.peak = self.peak, self.held
        return peak


class BudgetShare:
    """What one connection holds of a budget."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held = 0

    def update(self, held: int) -> None:
        """Records how many bytes the connection holds now; none once it has ended."""
        if held == self.held:
            return
        budget = self._budget
        budget.held += held - self.held
        if budget.held > budget.peak:
            budget.peak = budget.held
        self.held = held
