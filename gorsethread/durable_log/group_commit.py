"""Group commit: while one flush is in progress, records that come are gathered and go with the next."""

from collections.abc import Callable
from typing import NamedTuple

from gorsethread.durable_log.records import Record, record_bytes

MAX_BATCH = 1024  # records of one flush
MAX_BATCH_BYTES = 1 << 21  # and about as many bytes
OnCommitted = Callable[[bool], None]


class PendingRecord(NamedTuple):
    """A record that waits for a flush; on_committed hears once whether it is durable."""

    record: Record
    on_committed: OnCommitted | None


def notify(batch: list[PendingRecord], durable: bool) -> None:
    """Tell all who wait for these records whether they are durable."""
    for pending in batch:
        if pending.on_committed is not None:
            pending.on_committed(durable)


class CommitQueue:
    """Records that wait for a flush; each flush empties it by a batch, a failure of the disk altogether."""

    def __init__(self) -> None:
        self._pending: list[PendingRecord] = []

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, record: Record, on_committed: OnCommitted | None) -> None:
        """Add a record; numbers must grow."""
        self._pending.append(PendingRecord(record, on_committed))

    def take_batch(self) -> list[PendingRecord]:
        """Take out what goes with the next flush, one record at least if there is one."""
        size = 0
        count = 0
        while count < min(MAX_BATCH, len(self._pending)) and (not count or size < MAX_BATCH_BYTES):
            size += record_bytes(self._pending[count].record.fact)
            count += 1
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        return batch

    def take_all(self) -> list[PendingRecord]:
        """Take out everything."""
        batch = self._pending
        self._pending = []
        return batch
