"""Watches how much memory the process uses, for the log."""

from typing import Any

from gorsethread.http_gateway.memory_budget import MEGABYTE
from gorsethread.transport.base import Transport

SHORT_FRACTION = 0.9  # of the permitted memory, from which memory counts as short
ENOUGH_FRACTION = 0.8  # of the permitted memory, below which it no longer does


class MemoryMonitor:
    """The memory that the process uses, sampled periodically.

    Private memory is compared with the limit: the pages of files, such as the interpreter, are shared with
    other processes of the machine.

    Args:
        transport: tells the memory in use.
        permitted: megabytes that the process may use.
        log: for the moments at which memory becomes short, and no longer is.
    """

    def __init__(self, transport: Transport, permitted: float, log: Any) -> None:
        self._transport = transport
        self._permitted = permitted
        self._log = log
        self._most_private = 0  # bytes, since the last report
        self._is_short = False

    def sample(self) -> None:
        """Samples the memory in use; logs a change between short and enough."""
        private = self._transport.memory_use().private
        self._most_private = max(self._most_private, private)
        used_fraction = private / MEGABYTE / self._permitted
        if not self._is_short and used_fraction >= SHORT_FRACTION:
            self._is_short = True
            self._log.warning("memory is short", **self._figures())
        elif self._is_short and used_fraction < ENOUGH_FRACTION:
            self._is_short = False
            self._log.info("memory is no longer short", **self._figures())

    def report(self) -> dict[str, float]:
        """Returns the figures for the log; starts a new period for the most private memory."""
        figures = self._figures()
        self._most_private = 0
        return figures

    def _figures(self) -> dict[str, float]:
        use = self._transport.memory_use()
        return {
            "memory_limit_mb": self._permitted,
            "resident_mb": round(use.resident / MEGABYTE, 1),
            "private_mb": round(use.private / MEGABYTE, 1),
            "most_private_mb": round(max(self._most_private, use.private) / MEGABYTE, 1),
            "garbage_collected": use.collected,
        }
