"""The stored format of records.

A segment has a header, a snapshot of the records that were current when it was started, and later records.
A frame has a mark, a length, a checksum and a payload. The checksum also covers which fleet, gateway,
incarnation and segment the frame belongs to, so a frame of another gateway or segment that a disk wrote to
the wrong place is not accepted. Frames after corrupt bytes are found by their mark. A segment of another
format version is refused as a whole.
"""

import struct
from dataclasses import dataclass, field

import google_crc32c
import msgspec

from gorsethread.durable_log.records import Fact, Record, SequenceNumber
from gorsethread.errors import GorsethreadError

VERSION = 1
MARK = b"\xa7\x5e"
FRAME_HEADER = struct.Struct("<2sII")  # mark, bytes of payload, checksum
MAX_PAYLOAD = 2 << 20  # bytes; most records have a few tens of bytes, a branch's write up to 1 MiB of data


class UnusableSegmentError(GorsethreadError):
    """A segment that this program must not read or change; the text gives the reason."""

    action = "Give the gateway its own folder, or run the version of the program that wrote this one."


class SegmentHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a segment; the order of its fields is part of the stored format.

    Attributes:
        version: Format version; stays the first field in all versions.
        fleet: Number of the fleet (site).
        gateway: Number of the gateway that the records belong to.
        incarnation: The gateway's incarnation when the segment was started.
        segment: Number of the segment in this incarnation.
        position: The last position used in this incarnation when the segment was started.
        snapshot_records: Number of frames of the snapshot, which follow the header.
        is_replica: The segment is kept for another gateway, which sends only current records, so the
            numbers of its records are not contiguous.
        incomplete: The snapshot is known to lack records that the gateway once had.
    """

    version: int
    fleet: int
    gateway: int
    incarnation: int
    segment: int
    position: int
    snapshot_records: int
    is_replica: bool = False
    incomplete: bool = False

    @property
    def last(self) -> SequenceNumber:
        """The highest number that a record of the snapshot can have."""
        return self.incarnation, self.position


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """The payload of a frame: a record's number and fact."""

    incarnation: int
    position: int
    fact: Fact


_ENTRY_DECODER: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(LogEntry)
_ENCODER = msgspec.msgpack.Encoder()


def checksum_seed(fleet: int, gateway: int, incarnation: int, segment: int) -> int:
    """Return the initial checksum of frames, which binds them to their segment."""
    return int(google_crc32c.value(struct.pack("<QQQQ", fleet, gateway, incarnation, segment)))


def _header_seed(header: SegmentHeader) -> int:
    return checksum_seed(header.fleet, header.gateway, header.incarnation, header.segment)


def _frame(payload: bytes, seed: int) -> bytes:
    return FRAME_HEADER.pack(MARK, len(payload), google_crc32c.extend(seed, payload)) + payload


def encode_segment(header: SegmentHeader, records: list[Record]) -> bytes:
    """Return the bytes of a new segment with these records."""
    seed = _header_seed(header)
    return _frame(_ENCODER.encode(header), 0) + b"".join(encode_record(record, seed) for record in records)


def encode_record(record: Record, seed: int) -> bytes:
    """Return the frame of a record; checksum_seed() returns the seed."""
    return _frame(_ENCODER.encode(LogEntry(*record.number, record.fact)), seed)


@dataclass
class Segment:
    """What could be read of a segment.

    Attributes:
        header: The first frame.
        records: The records that could be read, in the order of the file.
        torn_bytes: Bytes after the last valid frame, such as the partial frame of a killed process.
        corrupt_ranges: Offsets (from, to) of unreadable bytes that are followed by valid frames.
        missing_records: Number of records that are missing from the snapshot.
        sequence_gaps: The first and last number of each gap in the numbers after the snapshot.
    """

    header: SegmentHeader
    records: list[Record] = field(default_factory=list)
    torn_bytes: int = 0
    corrupt_ranges: list[tuple[int, int]] = field(default_factory=list)
    missing_records: int = 0
    sequence_gaps: list[tuple[SequenceNumber, SequenceNumber]] = field(default_factory=list)

    @property
    def complete(self) -> bool:
        """No record is known to be lost; a torn end is not a loss."""
        return not (self.corrupt_ranges or self.missing_records or self.sequence_gaps)


def read_segment(data: bytes) -> Segment | None:
    """Read the bytes of a segment.

    Returns:
        The segment; None where its header can't be read, so that none of its bytes can be trusted.

    Raises:
        UnusableSegmentError: The segment has another format version.
    """
    first = _payload_at(data, 0, 0)
    header = _decode_header(first) if first is not None else None
    if first is None or header is None:
        return None
    segment = Segment(header)
    _read_frames(segment, data, FRAME_HEADER.size + len(first))
    _find_losses(segment)
    return segment


def _payload_at(data: bytes, offset: int, seed: int) -> bytes | None:
    """Return the payload of the frame at this offset; None where there is no valid frame."""
    if len(data) - offset < FRAME_HEADER.size:
        return None
    mark, length, checksum = FRAME_HEADER.unpack_from(data, offset)
    start = offset + FRAME_HEADER.size
    if mark != MARK or length > MAX_PAYLOAD or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if google_crc32c.extend(seed, payload) == checksum else None


def _decode_header(payload: bytes) -> SegmentHeader | None:
    try:
        version = msgspec.msgpack.decode(payload)[0]
        if version != VERSION:
            raise UnusableSegmentError(f"format version {version}; this program knows {VERSION}")
        return msgspec.msgpack.decode(payload, type=SegmentHeader)
    except (msgspec.DecodeError, IndexError, KeyError, TypeError):
        return None


def _decode_record(payload: bytes) -> Record | None:
    try:
        entry = _ENTRY_DECODER.decode(payload)
    except (msgspec.DecodeError, ValueError):
        return None
    return Record((entry.incarnation, entry.position), entry.fact)


def _read_frames(segment: Segment, data: bytes, offset: int) -> None:
    """Add the records of the valid frames from the offset on, and the unreadable ranges between them."""
    seed = _header_seed(segment.header)
    unreadable_from: int | None = None
    while 0 <= offset < len(data):
        payload = _payload_at(data, offset, seed)
        record = _decode_record(payload) if payload is not None else None
        if payload is None or record is None:
            if unreadable_from is None:
                unreadable_from = offset
            offset = data.find(MARK, offset + 1)
            continue
        if unreadable_from is not None:
            segment.corrupt_ranges.append((unreadable_from, offset))
            unreadable_from = None
        segment.records.append(record)
        offset += FRAME_HEADER.size + len(payload)
    if unreadable_from is not None:
        segment.torn_bytes = len(data) - unreadable_from


def _find_losses(segment: Segment) -> None:
    """Find missing records: numbers after the snapshot are contiguous, except in a replica."""
    header = segment.header
    snapshot_found = 0
    expected = header.position + 1
    for (incarnation, position), _ in segment.records:
        if (incarnation, position) <= header.last:
            snapshot_found += 1
            continue
        if position > expected and not header.is_replica:
            segment.sequence_gaps.append(((incarnation, expected), (incarnation, position - 1)))
        expected = max(expected, position + 1)
    segment.missing_records = max(0, header.snapshot_records - snapshot_found)
