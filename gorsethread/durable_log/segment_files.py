"""The segments of one folder as files: written, appended to, removed, read."""

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

ENCODED_AT_ONCE = 2000  # records encoded in one go, so that a large table holds up no gateway
ENCODED_AT_ONCE_BYTES = 1 << 21
SEGMENTS_KEPT = 2  # the newest, and the one before in case the newest is damaged


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
    """Write a new segment and flush it; other work runs while it is encoded.

    Raises:
        OSError: The disk did not take it.
    """
    seed = checksum_seed(header.fleet, header.gateway, header.incarnation, header.segment)
    parts = [encode_segment(header, [])]
    for batch in batches(snapshot, ENCODED_AT_ONCE, ENCODED_AT_ONCE_BYTES):
        parts.append(encode_records(batch, seed))
        await transport.sleep(0.0)
    data = b"".join(parts)
    path = f"{folder}/{segment_file_name(header.incarnation, header.segment)}"
    await transport.save_durably(path, data)
    return WrittenSegment(path, header.segment, seed, len(data))


class ActiveSegment:
    """The segment that later records go to: its open file, checksum seed and size."""

    def __init__(self, transport: Transport, segment: WrittenSegment) -> None:
        """Open the file of a written segment; OSError where that fails."""
        self._journal = transport.journal(segment.path)
        self._seed = segment.seed
        self.size = segment.size  # bytes
        self.initial_size = segment.size  # bytes; compaction is due by how much it has grown since

    def encode(self, records: list[Record]) -> bytes:
        """Return the bytes of records as they are in this segment."""
        return encode_records(records, self._seed)

    async def append(self, data: bytes) -> None:
        """Write and flush what encode() returned; OSError where the disk does not take it."""
        await self._journal.add(data)
        self.size += len(data)

    def close(self) -> None:
        """Close the file."""
        self._journal.close()


def remove_old_segments(transport: Transport, folder: str) -> None:
    """Remove all but the newest segments."""
    identified = [(parse_segment_file_name(name), name) for name in transport.list_files(folder)]
    ordered = sorted((segment_id, name) for segment_id, name in identified if segment_id is not None)
    for _, name in ordered[:-SEGMENTS_KEPT]:
        transport.remove(f"{folder}/{name}")


def load_segments(transport: Transport, folder: str) -> dict[str, bytes]:
    """Return the segments of a folder by their file names."""
    found: dict[str, bytes] = {}
    for name in transport.list_files(folder):
        if parse_segment_file_name(name) is None:
            continue
        data = transport.load(f"{folder}/{name}")
        if data is not None:
            found[name] = data
    return found


def load_misplaced_records(transport: Transport, folder: str, fleet: int, gateway: int) -> RecordTable:
    """Read a gateway's records from a folder that is not where they are kept.

    After an exchange of disks a gateway's own records, or replicas of them, are in another's folder.

    Returns:
        An empty table where they can't be read.
    """
    try:
        return recover(load_segments(transport, folder), fleet, gateway).table
    except UnusableSegmentError:
        return RecordTable()
