"""Publishes dead-lettered writes, and releases or discards them as an operator decides."""

from collections.abc import Callable
from typing import Any

from gorsethread.nvme_gateway.offline.block_view import BlockView
from gorsethread.nvme_gateway.offline.change_history import ChangeHistory
from gorsethread.nvme_gateway.offline.queue_persistence import QueuePersistence
from gorsethread.nvme_gateway.offline.replay_sources import ReplaySources
from gorsethread.offline_writes.primaries import DEAD_LETTER_AFTER
from gorsethread.offline_writes.queued_write import QueuedWrite, WriteStage
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import WriteNumber


class DeadLetters:
    """Publishes dead letters and carries out operators' decisions; the queues own the writes.

    Args:
        gateway: Number of this gateway.
        sources: The queues that this gateway replays.
        persistence: Records the progress of this gateway's own writes.
        block_view: Hides dead letters from reads.
        history: Records each decision for operators.
        announce_progress: Sends the replay progress to the main site.
        logger: Logs a warning for each dead letter.
    """

    def __init__(
        self,
        gateway: int,
        sources: ReplaySources,
        persistence: QueuePersistence,
        block_view: BlockView,
        history: ChangeHistory,
        announce_progress: Callable[[], None],
        logger: Any,
    ) -> None:
        self._gateway = gateway
        self._sources = sources
        self._persistence = persistence
        self._block_view = block_view
        self._history = history
        self._announce_progress = announce_progress
        self._logger = logger

    def add(self, queue: WriteQueue, number: WriteNumber, reason: str) -> None:
        """Dead-letters a write and the writes that depend on it."""
        queue.dead_letter(number, reason)
        self.publish(queue)

    def publish(self, queue: WriteQueue) -> None:
        """Publishes the new dead letters of a queue to clients, operators, the disk, and the main site."""
        for queued in queue.dead_letters:
            if queued.write.number in self._block_view:
                self._publish_one(queued)
        self._announce_progress()

    def _publish_one(self, queued: QueuedWrite) -> None:
        number = queued.write.number
        self._block_view.hide(number, self._persistence.record_of(number))
        self._history.count("parked")
        self._history.note("parked", number, queued.reason)
        self._logger.warning(
            "a queued write is dead-lettered",
            number=list(number),
            reason=queued.reason,
            to_do="gorsethread branch parked, then release or discard",
        )
        if number.gateway == self._gateway:
            self._persistence.persist_progress(number)

    def add_overdue(self, now: float) -> None:
        """Dead-letters writes that may have run and got no answer for DEAD_LETTER_AFTER.

        They would wait forever for a gateway of the main site that never comes back.
        """
        for source in self._sources.all():
            for queued in list(source.queue):
                unknown = queued.stage in (WriteStage.UNKNOWN, WriteStage.QUERIED)
                if unknown and queued.pending_since and now - queued.pending_since > DEAD_LETTER_AFTER:
                    reason = (
                        f"it may have run: heads {queued.suspects} of the main site, which "
                        "would know, do not answer"
                    )
                    self.add(source.queue, queued.write.number, reason)

    def record_dependency_releases(self, numbers: list[WriteNumber]) -> None:
        """Records that own writes were released, as the writes they depend on were released or finished."""
        for number in numbers:
            self._history.note("released", number, "what it depends on is")
            self._show_again(number)

    def release(self, queue: WriteQueue, number: WriteNumber) -> list[WriteNumber]:
        """Releases a dead letter to be applied, as an operator decided.

        Returns:
            The released writes: this one, then its dependents.
        """
        released = queue.release(number)
        for each in released:
            self._history.note("released", each, "by a person")
            self._show_again(each)
        self._announce_progress()
        return released

    def _show_again(self, number: WriteNumber) -> None:
        self._block_view.show(number, self._persistence.record_of(number))
        if number.gateway == self._gateway:
            self._persistence.persist_progress(number)

    def discard(self, queue: WriteQueue, queued: QueuedWrite) -> bool:
        """Discards a dead letter of this gateway, as an operator decided.

        Returns:
            False if another write depends on it.
        """
        number = queued.write.number
        record = self._persistence.record_of(number)
        if not queue.discard(number):
            return False
        self._persistence.persist_discarded(number, record, queued.reason)
        self._block_view.remove(number)
        self._persistence.remove(number)
        self._history.note("discarded", number, queued.reason)
        self._announce_progress()
        return True
