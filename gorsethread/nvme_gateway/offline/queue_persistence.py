"""The write queue in this gateway's durable log."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from gorsethread.durable_log.records import (
    QUEUED,
    STEP,
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

RETRY_DELAY = 0.5  # seconds until what the disk did not take is written again

Stored = Callable[[bool], None]  # told whether it is on the disk
RecordSource = Callable[[], Fact | None]


class StoredWrite(NamedTuple):
    """A queued write in the log, and its progress where that was recorded."""

    number: WriteNumber
    record: WriteQueued
    progress: WriteProgress | None


class QueuePersistence:
    """Writes the queue's records and finds them again; the durable log owns them.

    Args:
        transport: For the delay of a retry.
        log: The gateway's durable log.
        gateway: This one's number.
        queue: Its writes.
        standby_writes: Those of the branch's other gateway.
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
    def log_has_begun(self) -> bool:
        """The log takes records of this incarnation."""
        return self._log.store.started

    @property
    def incarnation(self) -> int:
        """Of the log."""
        return self._log.incarnation

    @property
    def is_sound(self) -> bool:
        """The own records are complete, as far as reading them showed."""
        return self._log.recovery.trusts_own_records

    @property
    def is_recovered(self) -> bool:
        """Nothing that this gateway had persisted is missing."""
        return self._log.recovery.stage is RecoveryStage.COMPLETE

    @property
    def is_ready(self) -> bool:
        """The queue's records are written now."""
        return self._ready

    def begin(self) -> None:
        """The log has begun: from now on progress is recorded."""
        self._ready = True

    def stop(self) -> None:
        """Writes no more of its own accord."""
        self._stopped = True

    def retry_after(self) -> float:
        """Seconds after which a client may retry as nothing can be persisted now; 0 where it can."""
        return self._log.retry_after() if self._ready else RETRY_AFTER_RECOVERY

    # ---- Reading

    def next_number(self) -> WriteNumber:
        """The number of the write whose record is persisted next."""
        return WriteNumber(self._gateway, *self._log.next_sequence)

    def record_of(self, number: WriteNumber) -> WriteQueued:
        """The record of a write that is queued, at either gateway of the branch."""
        if number.gateway != self._gateway:
            return self._standby_writes.record_of(number)
        record = self._log.store.table.records[QUEUED, number.incarnation, number.sequence].fact
        assert isinstance(record, WriteQueued)
        return record

    def stored_writes(self) -> list[StoredWrite]:
        """What the log holds, in the order of acceptance."""
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
        """Stores a new write here and at the branch's other gateway."""
        self._log.append(record, stored)

    def withdraw(self, record: WriteQueued, done: Callable[[], None]) -> None:
        """Takes back a write that could not be stored in time.

        It may be on a disk all the same: it must not come back with the next start.
        """

        def tombstone() -> Tombstone:
            return Tombstone([*record.subject])

        def withdrawn(stored: bool) -> None:
            done()
            if not stored:
                self._retry(tombstone)

        self._log.append(tombstone(), withdrawn, True)

    def persist_progress(self, number: WriteNumber) -> None:
        """Records how far an own write has come; before the log begins nothing is recorded."""
        if self._ready:
            self._persist_until_stored(lambda: self._progress_of(number))

    def persist_progress_then(self, number: WriteNumber, stored: Stored) -> None:
        """Records how far an own queued write has come, and tells whether that is on the disk."""
        progress = self._progress_of(number)
        assert progress is not None
        self._log.append(progress, stored, True)

    def persist_dead_letters(self) -> None:
        """Records the own writes that are dead-lettered."""
        for queued in self._queue.dead_letters:
            self.persist_progress(queued.write.number)

    def persist_discarded(self, number: WriteNumber, record: WriteQueued, reason: str) -> None:
        """Records that a person gave a write up."""
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
        """Removes the records of an own write that is finished, here and wherever copies are."""
        for kind in (QUEUED, STEP):
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
        """Asks for the record anew at each try; None: it need not be written any more."""
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
