"""Stores one gateway's records in a folder.

A failed flush is never repeated on the same file, since the operating system may have dropped the data that
was not written: a new segment with all current records is started instead. At most two segments are kept on
disk, the newest and the one before it.
"""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.compaction import Compaction, is_due
from gorsethread.durable_log.disk_health import DiskHealth
from gorsethread.durable_log.group_commit import CommitQueue, OnCommitted, notify
from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber
from gorsethread.durable_log.recovery import LOCK_FILE, LOSS_ACCEPTED_FILE, RecoveredLog, recover
from gorsethread.durable_log.segment_files import (
    ActiveSegment,
    WrittenSegment,
    load_segments,
    remove_old_segments,
    write_segment,
)
from gorsethread.durable_log.segments import VERSION, SegmentHeader
from gorsethread.errors import GorsethreadError
from gorsethread.transport.base import Transport

NO_SPACE = (28, 122)  # ENOSPC, EDQUOT


class FolderInUseError(GorsethreadError):
    """Another process uses this folder."""

    action = "End the other process first, or give this gateway its own folder."


class LogStore:
    """The log of one gateway in one folder; is_replica: the log is kept for another gateway.

    It owns the table of current records (bounded as described in RecordTable), the queue of records that wait
    for a flush (emptied by flushes, failures and close()) and the segment in use. Nothing is written until
    start_incarnation().

    Attributes:
        last: The highest number accepted so far.
        incomplete: The records are known to lack some that the gateway once had.
        removals_dropped: Removals up to this number are no longer in the table.
        started: start_incarnation() has completed at least once.
    """

    def __init__(
        self,
        transport: Transport,
        folder: str,
        fleet: int,
        gateway: int,
        log: Any,
        is_replica: bool = False,
    ) -> None:
        self.transport = transport
        self.folder = folder.rstrip("/")
        self.log = log
        self.fleet = fleet
        self.gateway = gateway
        self.is_replica = is_replica
        self.table = RecordTable()
        self.disk = DiskHealth()
        self.incarnation = 0
        self.last: SequenceNumber = NO_SEQUENCE
        self.incomplete = False
        self.removals_dropped: SequenceNumber = NO_SEQUENCE
        self.started = False
        self.closed = False
        self._segment_number = 0  # number of the last segment of this incarnation
        self._active: ActiveSegment | None = None
        self._queue = CommitQueue()
        self._flushed: SequenceNumber = NO_SEQUENCE
        self._compaction = Compaction()
        self._writing = False
        self._unlock: Callable[[], None] | None = None

    # ---- reading

    def open(self) -> RecoveredLog:
        """Lock the folder until close(), and read its records.

        Raises:
            FolderInUseError: Another process has locked the folder.
            UnusableSegmentError: The folder is another gateway's, or has another format version.
            OSError: The folder can't be read.
        """
        self._unlock = self.transport.lock(f"{self.folder}/{LOCK_FILE}")
        if self._unlock is None:
            raise FolderInUseError(f"{self.folder} is in use by another process")
        found = recover(load_segments(self.transport, self.folder), self.fleet, self.gateway)
        for line in found.faults:
            self.log.error("records in the folder are lost or damaged", folder=self.folder, fault=line)
        self.table = found.table
        self.last = found.table.last
        self.incarnation = found.newest.incarnation
        self._segment_number = found.newest.segment
        return found

    def loss_accepted(self) -> bool:
        """Return whether an operator accepted the loss of the records that this folder lacks."""
        return self.transport.load(f"{self.folder}/{LOSS_ACCEPTED_FILE}") is not None

    # ---- writing

    async def start_incarnation(self, incarnation: int) -> None:
        """Start a segment of this incarnation with the current records; retried until the disk writes it."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self._segment_number = 0
        self.last = max(self.last, (incarnation, 0))
        self._flushed = self.last
        await self._start_segment()
        self.transport.remove(f"{self.folder}/{LOSS_ACCEPTED_FILE}")
        self.started = True
        self._wake_writer()

    def add(self, record: Record, on_committed: OnCommitted | None = None) -> None:
        """Queue a record, whose number must be higher than those before.

        on_committed is called once with whether the record is durable.
        """
        self.last = max(self.last, record.number)
        self._queue.add(record, on_committed)
        self._wake_writer()

    def replace_contents(self, table: RecordTable) -> None:
        """Replace all records by these; the next segment starts with them."""
        self.table = table
        self.last = max(self.last, table.last)

    def merge_recovered(self, table: RecordTable) -> None:
        """Add the records fetched from other gateways, and start a new segment to write them to disk."""
        self.table.merge(table)
        if self.started:
            self._start_compaction()

    @property
    def flushed(self) -> SequenceNumber:
        """The number up to which the table has all records."""
        return self._flushed

    @property
    def pending(self) -> int:
        """How many records wait for a flush."""
        return len(self._queue)

    def close(self) -> None:
        """Stop; records that are not flushed by now are reported as not durable."""
        self.closed = True
        self._fail_pending()
        self._close_segment()
        if self._unlock is not None:
            self._unlock()
            self._unlock = None

    # ---- the writer: only this task appends to the segment in use and switches to another

    def _wake_writer(self) -> None:
        if not self._writing and self.started and not self.closed:
            self._writing = True
            self.transport.spawn(self._write())

    async def _write(self) -> None:
        try:
            while self._has_work() and not self.closed:
                if self._active is None:
                    if not await self._restart_after_failure():
                        break
                elif (ready := self._compaction.take_ready()) is not None:
                    await self._switch_to(ready)
                else:
                    await self._flush(self._active)
        finally:
            self._writing = False

    def _has_work(self) -> bool:
        return len(self._queue) > 0 or self._compaction.ready is not None or self._active is None

    async def _flush(self, active: ActiveSegment) -> None:
        batch = self._queue.take_batch()
        records = [pending.record for pending in batch]
        data = active.encode(records)
        self.disk.commit_started(self.transport.now())
        try:
            await active.append(data)
        except OSError as error:
            self._disk_failed(error)
            notify(batch, False)
            self._fail_pending()
        else:
            self.disk.commit_ended(self.transport.now())
            for record in records:
                self.table.apply(record)
            self._flushed = records[-1].number
            self._compaction.flushed(records)
            notify(batch, True)
        if is_due(active):
            self._start_compaction()

    async def _restart_after_failure(self) -> bool:
        """Start a new segment if it is time to retry; without one, fail the records that are queued."""
        if not self.disk.should_retry(self.transport.now()):
            self._fail_pending()
            return False
        self._compaction.take_ready()
        try:
            self.disk.commit_started(self.transport.now())
            await self._use(await self._write_segment())
        except OSError as error:
            self._disk_failed(error)
            self._fail_pending()
            return False
        self.disk.commit_ended(self.transport.now())
        return True

    async def _switch_to(self, segment: WrittenSegment) -> None:
        try:
            await self._use(segment)
        except OSError as error:
            self._disk_failed(error)
            self._fail_pending()

    # ---- segments

    async def _start_segment(self) -> None:
        """Start a segment as soon as the disk writes one; nothing else writes meanwhile."""
        while not self.closed:
            try:
                await self._use(await self._write_segment())
            except OSError as error:
                self._disk_failed(error)
                await self.transport.sleep(self.disk.retry_after(self.transport.now(), 0))
            else:
                self.disk.commit_ended(self.transport.now())
                return

    def _start_compaction(self) -> None:
        if not self._compaction.running:
            self._compaction.running = True
            self.transport.spawn(self._compact())

    async def _compact(self) -> None:
        """Write a new segment; until it is on disk, records are appended to the one in use."""
        try:
            written = await self._write_segment()
            if written.number == self._segment_number:  # else another was started since, after a failure
                self._compaction.ready = written
        except OSError as error:
            # The segment in use remains in use, and grows until a new one is due again.
            self.log.error("a new segment could not be written", folder=self.folder, reason=str(error))
            if self._active is not None:
                self._active.initial_size = self._active.size
            self._compaction.failed()
        self._wake_writer()

    async def _write_segment(self) -> WrittenSegment:
        """Write a new segment with the current records; raises OSError where the disk fails."""
        self._compaction.snapshot_taken()
        self.removals_dropped = max(self.removals_dropped, self.table.drop_removals())
        snapshot = self.table.in_order()
        self._segment_number += 1
        header = SegmentHeader(
            VERSION,
            self.fleet,
            self.gateway,
            self.incarnation,
            self._segment_number,
            self._flushed[1] if self._flushed[0] == self.incarnation else 0,
            len(snapshot),
            self.is_replica,
            self.incomplete,
        )
        return await write_segment(self.transport, self.folder, header, snapshot)

    async def _use(self, segment: WrittenSegment) -> None:
        """Append to this segment from now on, first the records flushed while it was written."""
        active = ActiveSegment(self.transport, segment)
        missing = self._compaction.take_flushed_since()
        if missing:
            await active.append(active.encode(missing))
            active.initial_size = active.size
        self._compaction.finished()
        self._close_segment()
        self._active = active
        self._remove_old_segments()

    def _remove_old_segments(self) -> None:
        remove_old_segments(self.transport, self.folder)

    # ---- failures

    def _disk_failed(self, error: OSError) -> None:
        now = self.transport.now()
        self.disk.commit_ended(now, True, error.errno in NO_SPACE)
        retry_after = self.disk.retry_after(now, 0)
        self.log.error(
            "the disk failed to write records",
            folder=self.folder,
            reason=str(error),
            retry_after=round(retry_after, 2),
        )
        self._close_segment()
        self.transport.call_at(now + retry_after, self._wake_writer)

    def _close_segment(self) -> None:
        if self._active is not None:
            self._active.close()
            self._active = None

    def _fail_pending(self) -> None:
        batch = self._queue.take_all()
        self._flushed = self.last
        notify(batch, False)
