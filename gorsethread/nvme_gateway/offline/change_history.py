"""The recent changes at a branch gateway, and event counters, for operators."""

from collections import Counter, deque
from typing import Any

from gorsethread.offline_writes.writes import WriteNumber
from gorsethread.transport.base import Transport

MAX_CHANGES = 1000  # remembered; the oldest are dropped first
WALL_CLOCK_DIGITS = 3


class ChangeHistory:
    """Owns the last MAX_CHANGES changes, and one counter per kind of event."""

    def __init__(self, transport: Transport, logger: Any) -> None:
        self._transport = transport
        self._logger = logger
        self._changes: deque[dict[str, Any]] = deque(maxlen=MAX_CHANGES)
        self._counts: Counter[str] = Counter()

    def note(self, what: str, number: WriteNumber | None, text: str = "") -> None:
        """Adds a change; a change that concerns no particular write is also logged."""
        if number is None:
            self._logger.info("branch", what=what, text=text)
        self._changes.append(
            {
                "at": round(self._transport.wall_time(), WALL_CLOCK_DIGITS),
                "what": what,
                "number": list(number) if number is not None else None,
                "text": text,
            }
        )

    def count(self, event: str) -> None:
        """Counts an event."""
        self._counts[event] += 1

    @property
    def changes(self) -> list[dict[str, Any]]:
        """The changes, oldest first, as `gorsethread branch history` prints them."""
        return list(self._changes)

    @property
    def counts(self) -> Counter[str]:
        """The number of times each event was counted."""
        return Counter(self._counts)
