"""Restores the write queue from stored records, after a start or after replicas returned lost records."""

from collections.abc import Callable
from typing import Any, NamedTuple

from gorsethread.durable_log.records import WriteProgress
from gorsethread.nvme_gateway.offline.block_view import BlockView
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.client_contexts import ClientContexts
from gorsethread.nvme_gateway.offline.queue_persistence import QueuePersistence, StoredWrite
from gorsethread.nvme_gateway.offline.standby_replication import UNCONFIRMED
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.nvme_gateway.offline.write_records import write_of
from gorsethread.offline_writes.queued_write import WriteStage
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import WriteNumber


class RecoveredProgress(NamedTuple):
    """The state in which a write is restored to the queue."""

    stage: WriteStage
    reason: str = ""
    suspects: tuple[int, ...] = ()


def recovered_progress(
    progress: WriteProgress | None, in_doubt: bool, primaries: tuple[int, ...]
) -> RecoveredProgress:
    """Returns the state in which a stored write is restored.

    Args:
        progress: Its last recorded progress; None if there is none.
        in_doubt: Whether records of later progress may be lost.
        primaries: Gateways of the main site that may have run it.
    """
    if progress is None:
        # Its client may have received a failure, so it is neither applied automatically nor dropped.
        return RecoveredProgress(WriteStage.DEAD_LETTERED, UNCONFIRMED) if in_doubt else _waiting()
    stage = WriteStage(progress.stage)
    suspects = tuple(progress.suspects)
    if stage is not WriteStage.DEAD_LETTERED:
        was_under_way = stage in (WriteStage.SENT, WriteStage.QUERIED, WriteStage.UNKNOWN)
        stage = WriteStage.UNKNOWN if in_doubt or was_under_way else WriteStage.WAITING
    if in_doubt or (stage is WriteStage.UNKNOWN and not suspects):
        suspects = primaries
    return RecoveredProgress(stage, progress.reason, suspects)


def _waiting() -> RecoveredProgress:
    return RecoveredProgress(WriteStage.WAITING)


class QueueRecovery:
    """Restores the queue from the durable log; owns no state.

    Args:
        settings: Settings of this gateway.
        persistence: Reads the stored writes.
        queue: This gateway's own queue, which is restored.
        standby_writes: Writes of the branch's other gateway.
        block_view: Shows the restored writes to reads.
        contexts: Restored too: the writes that each client has seen.
        is_being_admitted: Returns whether a write is being persisted or withdrawn.
        logger: Logs the number of restored writes.
    """

    def __init__(
        self,
        settings: BranchSettings,
        persistence: QueuePersistence,
        queue: WriteQueue,
        standby_writes: StandbyWrites,
        block_view: BlockView,
        contexts: ClientContexts,
        is_being_admitted: Callable[[WriteNumber], bool],
        logger: Any,
    ) -> None:
        self._settings = settings
        self._persistence = persistence
        self._queue = queue
        self._standby_writes = standby_writes
        self._block_view = block_view
        self._contexts = contexts
        self._is_being_admitted = is_being_admitted
        self._logger = logger

    def recover(self, in_doubt: bool) -> None:
        """Restores the stored writes that are not in the queue.

        Args:
            in_doubt: Whether records of their progress may be lost.
        """
        stored_writes = self._persistence.stored_writes()
        for stored in stored_writes:
            if stored.number not in self._queue and not self._is_being_admitted(stored.number):
                self._restore(stored, in_doubt)
        for number in self._standby_writes.dead_letters:
            self._queue.dead_letter_dependents_of(number)
        self._persistence.persist_dead_letters()
        if stored_writes:
            self._logger.info(
                "queued writes are recovered",
                writes=len(self._queue),
                dead_letters=len(self._queue.dead_letters),
                in_doubt=in_doubt,
            )

    def _restore(self, stored: StoredWrite, in_doubt: bool) -> None:
        number, record, progress = stored
        primaries = self._settings.volumes[record.volume].primaries
        recovered = recovered_progress(progress, in_doubt, primaries)
        forced = progress is not None and progress.forced
        write = write_of(number, record, self._settings, forced)
        self._queue.restore(write, recovered.stage, recovered.reason, recovered.suspects, forced)
        context = self._contexts.of(record.host)
        if progress is not None:
            context.acknowledge(write)
        else:
            context.observe(number)
        if recovered.stage is not WriteStage.DEAD_LETTERED:
            self._block_view.show(number, record)
