"""Follows the replicated records of the branch's other gateway, and replays its queue while it is dead."""

from collections.abc import Callable

from gorsethread.durable_log.records import QUEUED_WRITE, Record, Tombstone, WriteProgress, WriteQueued
from gorsethread.nvme_gateway.offline.block_view import BlockView
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.change_history import ChangeHistory
from gorsethread.nvme_gateway.offline.dead_letters import DeadLetters
from gorsethread.nvme_gateway.offline.replay_sources import ReplaySource, ReplaySources
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.nvme_gateway.offline.write_records import position_of, write_of
from gorsethread.offline_writes.primaries import StandbyTakeover
from gorsethread.offline_writes.queued_write import WriteStage
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import Position, WriteNumber

UNCONFIRMED = "its head's disk was lost before it was known whether its client was told that it is accepted"


class StandbyReplication:
    """Follows the other gateway's records, and takes over its queue while it is dead.

    `StandbyWrites` owns the writes, `ReplaySources` the queue that was taken over.

    Args:
        settings: Settings of this gateway.
        queue: This gateway's own queue.
        writes: Writes of the other gateway.
        sources: The queues that this gateway replays.
        block_view: Shows the other gateway's writes to reads too.
        dead_letters: Notified of own writes that are dead-lettered or released with the other gateway's.
        history: Records changes for operators.
        write_finished: Called when a write of the other gateway is finished.
        announce_progress: Sends the replay progress to the main site.
    """

    def __init__(
        self,
        settings: BranchSettings,
        queue: WriteQueue,
        writes: StandbyWrites,
        sources: ReplaySources,
        block_view: BlockView,
        dead_letters: DeadLetters,
        history: ChangeHistory,
        write_finished: Callable[[], None],
        announce_progress: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._queue = queue
        self._writes = writes
        self._sources = sources
        self._block_view = block_view
        self._dead_letters = dead_letters
        self._history = history
        self._write_finished = write_finished
        self._announce_progress = announce_progress
        self._takeover = StandbyTakeover()

    # ---- The other gateway's records

    def records_stored(self, records: list[Record], replaces_all: bool, last: Position) -> None:
        """Handles records of the other gateway that are now on this one's disk.

        Args:
            records: The records.
            replaces_all: Whether the other gateway starts to send all of its records again.
            last: The position up to which this gateway now has all of its records.
        """
        if replaces_all:
            self._writes.begin_resync()
        for record in records:
            if isinstance(record.fact, WriteQueued):
                self._add(record.fact)
        # Tombstones expire, so a gateway that sends all its records again omits finished writes.
        for number in self._writes.pop_not_resent(last):
            self._finish(number)
        for record in records:
            if isinstance(record.fact, Tombstone) and record.fact.subject[0] == QUEUED_WRITE:
                _, incarnation, sequence = record.fact.subject
                self._finish(self._number((incarnation, sequence)))
            elif isinstance(record.fact, WriteProgress):
                self._apply_progress(
                    self._number((record.fact.incarnation, record.fact.position)), record.fact.stage
                )

    def _number(self, position: Position) -> WriteNumber:
        assert self._settings.standby is not None
        return WriteNumber(self._settings.standby, *position)

    def _add(self, record: WriteQueued) -> None:
        number = self._number(position_of(record))
        if self._writes.add(number, record):
            self._block_view.show(number, record)

    def _apply_progress(self, number: WriteNumber, stage: str) -> None:
        record = self._writes.get(number)
        if record is None:
            return
        self._writes.confirm(number)
        if stage == WriteStage.DEAD_LETTERED.value:
            self._writes.dead_letter(number)
            self._block_view.hide(number, record)
            self._queue.dead_letter_dependents_of(number)
            self._dead_letters.publish(self._queue)
        elif self._writes.is_dead_lettered(number):
            self._writes.release(number)
            self._block_view.show(number, record)
            self._release_dependents_of(number)

    def _finish(self, number: WriteNumber) -> None:
        self._writes.remove(number)
        self._block_view.remove(number)
        taken_over = self._sources.taken_over
        if taken_over is not None:
            taken_over.mark_applied(number)
        self._release_dependents_of(number)
        self._write_finished()

    def _release_dependents_of(self, number: WriteNumber) -> None:
        released = self._queue.release_dependents_of(number, self._writes.is_dead_lettered)
        self._dead_letters.record_dependency_releases(released)

    # ---- Replay for the other gateway

    def check_takeover(self, is_alive: bool, now: float) -> None:
        """Takes over the other gateway's queue, or gives it back; call it several times a second.

        Args:
            is_alive: Whether membership considers the other gateway not dead.
            now: Seconds of the transport's clock.
        """
        if not self._takeover.should_replay(is_alive, now):
            if is_alive and self._sources.taken_over is not None:
                self._sources.give_back()
                self._history.note("gives back", None, f"head {self._settings.standby} lives")
        elif self._sources.taken_over is None and len(self._writes) > 0:
            self._take_over()

    def _take_over(self) -> None:
        queue = WriteQueue(self._settings.queue_limits, (), self._is_finished_here)
        numbers = self._writes.numbers()
        for number in numbers:
            self._restore(queue, number)
        epoch = max(number.incarnation for number in numbers) + 1
        self._sources.take_over(ReplaySource(queue, numbers[0].gateway, epoch))
        self._history.note("stands in", None, f"for head {self._settings.standby}: {len(queue)} writes")
        self._announce_progress()

    def _restore(self, queue: WriteQueue, number: WriteNumber) -> None:
        record = self._writes.record_of(number)
        write = write_of(number, record, self._settings)
        if self._writes.is_confirmed(number):
            primaries = self._settings.volumes[record.volume].primaries
            queue.restore(write, WriteStage.UNKNOWN, "", primaries)
        else:
            queue.restore(write, WriteStage.DEAD_LETTERED, UNCONFIRMED)

    def _is_finished_here(self, number: WriteNumber) -> bool:
        return number not in self._queue
