"""Bounds the bytes that the gateway holds for its connections, all of them together."""

MEGABYTE = 1_000_000  # bytes
PROGRAM_BYTES = 48 * MEGABYTE  # of the permitted memory, for the program and its tables
# Of the rest; the objects around the bytes held, and copies of them, take about as much again.
BUFFERS_FRACTION = 0.5
LEAST_FRACTION = 0.125  # of the permitted memory, where that is hardly more than the program needs


def budget_bytes(permitted_megabytes: float) -> int:
    """Returns the bytes that connections may hold in a process with that much permitted memory."""
    permitted = permitted_megabytes * MEGABYTE
    return int(max(LEAST_FRACTION * permitted, BUFFERS_FRACTION * (permitted - PROGRAM_BYTES)))


class MemoryBudget:
    """Counts the bytes held for connections: what was received and not passed on, and what was not sent yet.

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
