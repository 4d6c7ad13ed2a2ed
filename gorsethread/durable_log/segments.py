"""Records as bytes: a segment has a header, a snapshot of all that held as it was started, and later records.

A frame is mark, length, checksum, payload. The checksum also covers to whom the segment belongs, so a frame
of another gateway's or another segment's, left where a disk put it, is not accepted. Frames behind corrupt
bytes are found again by their mark. A later format version is refused as a whole.
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
MAX_PAYLOAD = 2 << 20  # bytes; most records have some tens, a branch's write has 1 MiB of data at most


class UnusableSegmentError(GorsethreadError):
    """A segment that this program must not touch; the text gives the reason."""

    action = "Give the gateway its own folder, or run the version of the program that wrote this one."


class SegmentHeader(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a segment; the order of the fields is the stored format.

    Attributes:
        version: Format version; stays the first field in all versions.
        fleet: Number of the fleet (site).
        gateway: Whose records these are.
        incarnation: Of the gateway, when the segment was started.
        segment: Number of the segment in this incarnation.
        position: The last that the incarnation had given when the segment was started.
        snapshot_records: Number of frames that follow with what held then.
        is_replica: Kept for another gateway, which sends only what still holds, so numbers are not
            contiguous.
        incomplete: The snapshot is known to lack something that the gateway once had.
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
        """The highest number that the snapshot may have."""
        return self.incarnation, self.position


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """The payload of a frame: a record's number and fact."""

    incarnation: int
    position: int
    fact: Fact


_ENTRY_DECODER: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(LogEntry)
_ENCODER = msgspec.msgpack.Encoder()


def checksum_seed(fleet: int, gateway: int, incarnation: int, segment: int) -> int:
    """Return the seed that binds frames to their segment."""
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
    """Return the frame of a record; seed: see checksum_seed()."""
    return _frame(_ENCODER.encode(LogEntry(*record.number, record.fact)), seed)


@dataclass
class Segment:
    """What can be read of a segment.

    Attributes:
        header: The first frame.
        records: All that could be read, in the order of the file.
        torn_bytes: Bytes at the end that are no complete frame, as a killed process leaves them.
        corrupt_ranges: Offsets (from, to) of unreadable bytes with good frames behind them.
        missing_records: How many records of the snapshot are not there.
        sequence_gaps: Later numbers that are not there, first and last of each gap.
    """

    header: SegmentHeader
    records: list[Record] = field(default_factory=list)
    torn_bytes: int = 0
    corrupt_ranges: list[tuple[int, int]] = field(default_factory=list)
    missing_records: int = 0
    sequence_gaps: list[tuple[SequenceNumber, SequenceNumber]] = field(default_factory=list)

    @property
    def complete(self) -> bool:
        """Nothing is known to be lost; a torn end is no loss."""
        return not (self.corrupt_ranges or self.missing_records or self.sequence_gaps)


def read_segment(data: bytes) -> Segment | None:
    """Read the bytes of a segment.

    Returns:
        None where the header can't be read, so that nothing of it can be trusted.

    Raises:
        UnusableSegmentError: A later version wrote it.
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
    """Return the payload of the frame at this offset; None where there is no good one."""
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
    """Collect all good frames from the offset on, and what lies between them."""
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
    """Count what is missing: records later than the snapshot have contiguous numbers, except in a replica."""
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
