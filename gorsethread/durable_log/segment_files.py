"""Reads, writes, appends to and removes the segment files of one folder."""

from typing import NamedTuple

from gorsethread.durable_log.records import Record, RecordTable, batches
from gorsethread.durable_log.recovery import parse_segment_file_name, recover, segment_file_name
from gorsethread.durable_log.segments import (
    SegmentHeader,
    UnusableSegmentError,
    checksum_seed,
    encode_record,
    encode_segment,
)
from gorsethread.transport.base import Transport

# Limits of the records encoded without a pause, so that a large table does not block the gateway.
MAX_ENCODED_AT_ONCE = 2000
MAX_ENCODED_AT_ONCE_BYTES = 1 << 21
SEGMENTS_KEPT = 2  # the newest, and the one before it in case the newest is damaged


class WrittenSegment(NamedTuple):
    """A segment that is on disk and not in use yet; size in bytes."""

    path: str
    number: int
    seed: int
    size: int


def encode_records(records: list[Record], seed: int) -> bytes:
    """Return the frames of these records."""
    return b"".join(encode_record(record, seed) for record in records)


async def write_segment(
    transport: Transport, folder: str, header: SegmentHeader, snapshot: list[Record]
) -> WrittenSegment:
    """Write a new segment and flush it; other tasks run between the batches that are encoded.

    Raises:
        OSError: The disk failed to write it.
    """
    seed = checksum_seed(header.fleet, header.gateway, header.incarnation, header.segment)
    parts = [encode_segment(header, [])]
    for batch in batches(snapshot, MAX_ENCODED_AT_ONCE, MAX_ENCODED_AT_ONCE_BYTES):
        parts.append(encode_records(batch, seed))
        await transport.sleep(0.0)
    data = b"".join(parts)
    path = f"{folder}/{segment_file_name(header.incarnation, header.segment)}"
    await transport.save_durably(path, data)
    return WrittenSegment(path, header.segment, seed, len(data))


class ActiveSegment:
    """The segment that records are appended to: its open file, checksum seed and size."""

    def __init__(self, transport: Transport, segment: WrittenSegment) -> None:
        """Open the file of a written segment; raises OSError where that fails."""
        self._file = transport.open_append_only(segment.path)
        self._seed = segment.seed
        self.size = segment.size  # bytes
        self.initial_size = segment.size  # bytes; the growth since then decides when compaction is due

    def encode(self, records: list[Record]) -> bytes:
        """Return the frames of records for this segment."""
        return encode_records(records, self._seed)

    async def append(self, data: bytes) -> None:
        """Write and flush what encode() returned; raises OSError where that fails."""
        await self._file.append(data)
        self.size += len(data)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def remove_old_segments(transport: Transport, folder: str) -> None:
    """Remove all but the SEGMENTS_KEPT newest segments."""
    identified = [(parse_segment_file_name(name), name) for name in transport.list_files(folder)]
    ordered = sorted((segment_id, name) for segment_id, name in identified if segment_id is not None)
    for _, name in ordered[:-SEGMENTS_KEPT]:
        transport.remove(f"{folder}/{name}")


def load_segments(transport: Transport, folder: str) -> dict[str, bytes]:
    """Return the bytes of the segments of a folder by their file names."""
    segments: dict[str, bytes] = {}
    for name in transport.list_files(folder):
        if parse_segment_file_name(name) is None:
            continue
        data = transport.load(f"{folder}/{name}")
        if data is not None:
            segments[name] = data
    return segments


def load_misplaced_records(transport: Transport, folder: str, fleet: int, gateway: int) -> RecordTable:
    """Read a gateway's records from a folder where they are not normally kept.

    After disks were exchanged, a gateway's own records, or replicas of them, are in another gateway's folder.

    Returns:
        The records; an empty table where they can't be read.
    """
    try:
        return recover(load_segments(transport, folder), fleet, gateway).table
    except UnusableSegmentError:
        return RecordTable()
