"""Group commit: records that are added while a flush is in progress are written with the next flush."""

from collections.abc import Callable
from typing import NamedTuple

from gorsethread.durable_log.records import Record, record_bytes

MAX_BATCH = 1024  # records of one flush
MAX_BATCH_BYTES = 1 << 21  # of one flush, exceeded by at most one record
OnCommitted = Callable[[bool], None]


class PendingRecord(NamedTuple):
    """A record that waits for a flush; on_committed is called once with whether it is durable."""

    record: Record
    on_committed: OnCommitted | None


def notify(batch: list[PendingRecord], durable: bool) -> None:
    """Call the callbacks of these records with whether they are durable."""
    for pending in batch:
        if pending.on_committed is not None:
            pending.on_committed(durable)


class CommitQueue:
    """Records that wait for a flush; a flush takes a batch of them, a failure of the disk takes them all."""

    def __init__(self) -> None:
        self._pending: list[PendingRecord] = []

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, record: Record, on_committed: OnCommitted | None) -> None:
        """Add a record; its number must be higher than those before."""
        self._pending.append(PendingRecord(record, on_committed))

    def take_batch(self) -> list[PendingRecord]:
        """Remove and return the records of the next flush: at least one, if any is waiting."""
        size = 0
        count = 0
        while count < min(MAX_BATCH, len(self._pending)) and (not count or size < MAX_BATCH_BYTES):
            size += record_bytes(self._pending[count].record.fact)
            count += 1
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        return batch

    def take_all(self) -> list[PendingRecord]:
        """Remove and return all records."""
        batch = self._pending
        self._pending = []
        return batch
