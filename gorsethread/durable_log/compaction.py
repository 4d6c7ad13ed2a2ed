"""The state of a log's compaction, which writes a new segment while the current one remains in use."""

from gorsethread.durable_log.records import Record
from gorsethread.durable_log.segment_files import ActiveSegment, WrittenSegment

# A segment is due once it has grown by this, or by its initial size if that is more.
COMPACT_AFTER_BYTES = 1 << 20


def is_due(segment: ActiveSegment) -> bool:
    """Return whether the segment in use has grown enough to be compacted."""
    return segment.size > segment.initial_size + max(COMPACT_AFTER_BYTES, segment.initial_size)


class Compaction:
    """The state of the compaction; one runs at a time.

    Attributes:
        running: A new segment is being written, or is on disk and not in use yet.
        ready: The new segment once it is on disk, until it is used.
    """

    def __init__(self) -> None:
        self.running = False
        self.ready: WrittenSegment | None = None
        # Flushed to the segment in use since the snapshot was taken; emptied when the new one is used.
        self._flushed_since: list[Record] = []

    def snapshot_taken(self) -> None:
        """Note that records flushed from now on are missing from the new segment."""
        self._flushed_since = []

    def flushed(self, records: list[Record]) -> None:
        """Note that these records were flushed to the segment in use."""
        if self.running:
            self._flushed_since += records

    def take_flushed_since(self) -> list[Record]:
        """Remove and return the records that the new segment lacks."""
        records = self._flushed_since
        self._flushed_since = []
        return records

    def take_ready(self) -> WrittenSegment | None:
        """Remove and return the new segment, if it is on disk."""
        segment = self.ready
        self.ready = None
        return segment

    def finished(self) -> None:
        """Note that the new segment is in use."""
        self.running = False

    def failed(self) -> None:
        """Note that the new segment could not be written; the one in use remains in use."""
        self.running = False
        self._flushed_since = []
