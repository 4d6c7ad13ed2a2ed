"""Queued writes that wait for a person: from the moment they are dead-lettered to release or discard."""

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
    """Makes dead letters known and carries out a person's decision; the queues own the writes.

    Args:
        gateway: This one's number.
        sources: The queues that this gateway replays.
        persistence: Records the progress of own writes.
        block_view: Shows no dead letter.
        history: For people.
        announce_progress: Tells the main site how far the replay has come.
        logger: Warned of each dead letter.
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
        """Dead-letters a write, with what depends on it."""
        queue.dead_letter(number, reason)
        self.publish(queue)

    def publish(self, queue: WriteQueue) -> None:
        """Makes new dead letters of a queue known: here to clients and people, on disk, at the main site."""
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
        """Dead-letters what would wait for good for a gateway of the main site that does not come back."""
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
        """Own writes were released since what they depend on was released or finished."""
        for number in numbers:
            self._history.note("released", number, "what it depends on is")
            self._show_again(number)

    def release(self, queue: WriteQueue, number: WriteNumber) -> list[WriteNumber]:
        """A person wants a write applied after all.

        Returns:
            What is released.
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
        """A person gives an own write up.

        Returns:
            False where another write depends on it.
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
