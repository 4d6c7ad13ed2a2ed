"""Stores the write queue in this gateway's durable log."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from gorsethread.durable_log.records import (
    QUEUED_WRITE,
    WRITE_PROGRESS,
    Fact,
    Tombstone,
    WriteDiscarded,
    WriteProgress,
    WriteQueued,
)
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.nvme_gateway.offline.write_records import position_of
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import WriteNumber
from gorsethread.recovery.stages import RETRY_AFTER as RETRY_AFTER_RECOVERY
from gorsethread.recovery.stages import Stage as RecoveryStage
from gorsethread.transport.base import Transport

RETRY_DELAY = 0.5  # seconds until a record that the disk failed to store is written again

Stored = Callable[[bool], None]  # called with whether the record is on the disk
RecordSource = Callable[[], Fact | None]


class StoredWrite(NamedTuple):
    """A queued write in the log, with its progress if any was recorded."""

    number: WriteNumber
    record: WriteQueued
    progress: WriteProgress | None


class QueuePersistence:
    """Writes and reads the records of queued writes; the durable log owns them.

    Args:
        transport: Provides the time and timers.
        log: This gateway's durable log.
        gateway: Number of this gateway.
        queue: This gateway's own queue.
        standby_writes: Writes of the branch's other gateway.
    """

    def __init__(
        self,
        transport: Transport,
        log: ReplicatedLog,
        gateway: int,
        queue: WriteQueue,
        standby_writes: StandbyWrites,
    ) -> None:
        self._transport = transport
        self._log = log
        self._gateway = gateway
        self._queue = queue
        self._standby_writes = standby_writes
        self._ready = False
        self._stopped = False

    # ---- The log's state

    @property
    def log_is_started(self) -> bool:
        """Whether the log accepts records of this incarnation."""
        return self._log.store.started

    @property
    def incarnation(self) -> int:
        """The incarnation of the log."""
        return self._log.incarnation

    @property
    def trusts_own_records(self) -> bool:
        """Whether reading this gateway's own records found them complete."""
        return self._log.recovery.trusts_own_records

    @property
    def is_recovered(self) -> bool:
        """Whether recovery is complete, so that nothing this gateway persisted is missing."""
        return self._log.recovery.stage is RecoveryStage.COMPLETE

    @property
    def is_ready(self) -> bool:
        """Whether records of the queue are being written."""
        return self._ready

    def start_recording(self) -> None:
        """Starts to record progress; call it once the log is started."""
        self._ready = True

    def stop(self) -> None:
        """Stops writing progress and retrying."""
        self._stopped = True

    def retry_after(self) -> float:
        """Returns the seconds after which a client may retry if nothing can be persisted now, otherwise 0."""
        return self._log.retry_after() if self._ready else RETRY_AFTER_RECOVERY

    # ---- Reading

    def next_number(self) -> WriteNumber:
        """Returns the number that the next persisted write gets."""
        return WriteNumber(self._gateway, *self._log.next_sequence)

    def record_of(self, number: WriteNumber) -> WriteQueued:
        """Returns the record of a queued write of either gateway of the branch."""
        if number.gateway != self._gateway:
            return self._standby_writes.record_of(number)
        record = self._log.store.table.records[QUEUED_WRITE, number.incarnation, number.sequence].fact
        assert isinstance(record, WriteQueued)
        return record

    def stored_writes(self) -> list[StoredWrite]:
        """Returns the queued writes in the log, in order of acceptance."""
        facts = [record.fact for record in self._log.store.table.records.values()]
        progress = {
            (fact.incarnation, fact.position): fact for fact in facts if isinstance(fact, WriteProgress)
        }
        queued = [fact for fact in facts if isinstance(fact, WriteQueued)]
        return [
            StoredWrite(
                WriteNumber(self._gateway, *position_of(record)), record, progress.get(position_of(record))
            )
            for record in sorted(queued, key=position_of)
        ]

    # ---- Writing

    def persist(self, record: WriteQueued, stored: Stored) -> None:
        """Stores a new write on this gateway's disk and at the branch's other gateway."""
        self._log.append(record, stored)

    def withdraw(self, record: WriteQueued, done: Callable[[], None]) -> None:
        """Deletes the record of a write that could not be stored in time.

        The record may be on a disk nevertheless, and must not be restored at the next start.
        """

        def tombstone() -> Tombstone:
            return Tombstone([*record.subject])

        def withdrawn(stored: bool) -> None:
            done()
            if not stored:
                self._retry(tombstone)

        self._log.append(tombstone(), withdrawn, True)

    def persist_progress(self, number: WriteNumber) -> None:
        """Records the progress of an own write, unless the log is not started yet."""
        if self._ready:
            self._persist_until_stored(lambda: self._progress_of(number))

    def persist_progress_then(self, number: WriteNumber, stored: Stored) -> None:
        """Records the progress of an own queued write; `stored` is called with whether it is on the disk."""
        progress = self._progress_of(number)
        assert progress is not None
        self._log.append(progress, stored, True)

    def persist_dead_letters(self) -> None:
        """Records the progress of all own dead letters."""
        for queued in self._queue.dead_letters:
            self.persist_progress(queued.write.number)

    def persist_discarded(self, number: WriteNumber, record: WriteQueued, reason: str) -> None:
        """Records that an operator discarded a write."""
        self._persist_until_stored(
            lambda: WriteDiscarded(
                number.incarnation,
                number.sequence,
                record.volume,
                record.block,
                self._transport.wall_time(),
                reason,
            )
        )

    def remove(self, number: WriteNumber) -> None:
        """Deletes the records of a finished own write from the log and from its replicas."""
        for kind in (QUEUED_WRITE, WRITE_PROGRESS):
            self._persist_until_stored(partial(Tombstone, [kind, number.incarnation, number.sequence]))

    def _progress_of(self, number: WriteNumber) -> WriteProgress | None:
        queued = self._queue.get(number)
        if queued is None:
            return None
        return WriteProgress(
            number.incarnation,
            number.sequence,
            queued.stage.value,
            queued.suspects,
            queued.reason,
            queued.forced,
        )

    def _persist_until_stored(self, record_source: RecordSource) -> None:
        """Writes a record until it is stored.

        Each attempt calls `record_source` for the current record; None ends the attempts.
        """
        record = record_source()
        if record is None or self._stopped:
            return

        def stored_or_retry(stored: bool) -> None:
            if not stored:
                self._retry(record_source)

        self._log.append(record, stored_or_retry, True)

    def _retry(self, record_source: RecordSource) -> None:
        self._transport.call_at(
            self._transport.now() + RETRY_DELAY, lambda: self._persist_until_stored(record_source)
        )
