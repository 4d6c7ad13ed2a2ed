"""When a log is compacted, and what comes meanwhile: a new segment is written beside the one in use."""

from gorsethread.durable_log.records import Record
from gorsethread.durable_log.segment_files import ActiveSegment, WrittenSegment

COMPACT_AFTER_BYTES = 1 << 20  # a segment grows by this, or to twice its initial size


def is_due(segment: ActiveSegment) -> bool:
    """Return whether the segment in use has grown enough."""
    return segment.size > segment.initial_size + max(COMPACT_AFTER_BYTES, segment.initial_size)


class Compaction:
    """The state of one compaction at a time.

    Attributes:
        running: A new segment is being written, or is written and not in use yet.
        ready: The new segment, on disk and not in use yet.
    """

    def __init__(self) -> None:
        self.running = False
        self.ready: WrittenSegment | None = None
        # Flushed to the segment in use since the snapshot was taken; emptied as the new one is used.
        self._flushed_since: list[Record] = []

    def snapshot_taken(self) -> None:
        """From now on what is flushed is missing in the new segment."""
        self._flushed_since = []

    def flushed(self, records: list[Record]) -> None:
        """Note what was flushed to the segment in use."""
        if self.running:
            self._flushed_since += records

    def take_flushed_since(self) -> list[Record]:
        """Take out what the new segment lacks."""
        records = self._flushed_since
        self._flushed_since = []
        return records

    def take_ready(self) -> WrittenSegment | None:
        """Take out the new segment."""
        segment = self.ready
        self.ready = None
        return segment

    def finished(self) -> None:
        """The new segment is in use."""
        self.running = False

    def failed(self) -> None:
        """The new segment could not be written; the one in use goes on."""
        self.running = False
        self._flushed_since = []
