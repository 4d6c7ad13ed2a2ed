"""Recovers a gateway's log from the segments in a folder. No I/O.

The newest segment starts with a snapshot of the records that were current when its writing began. Where it is
complete, only those records of the segment before it are used that were flushed since that snapshot, as a
killed process may not have copied them. Where it is not complete, the records of the other segments are used
too; the loss is reported nevertheless, as only replicas can restore what is missing.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from gorsethread.durable_log.records import Record, RecordTable
from gorsethread.durable_log.segments import Segment, UnusableSegmentError, read_segment

SEGMENT_SUFFIX = ".seg"
LOCK_FILE = "lock"
LOSS_ACCEPTED_FILE = "accepted"  # written by `gorsethread records accept`: an operator accepted the loss
INCARNATION_DIGITS = 16  # hexadecimal, in a segment's file name
SEGMENT_DIGITS = 8


class ForeignSegmentError(UnusableSegmentError):
    """The folder belongs to another gateway or another fleet."""

    action = "Give each gateway the folder that it had before; two may have been exchanged."


class SegmentId(NamedTuple):
    """The position of a segment in the order of a gateway's segments."""

    incarnation: int
    segment: int


def segment_file_name(incarnation: int, segment: int) -> str:
    """Return the name of a segment's file."""
    return f"{incarnation:0{INCARNATION_DIGITS}x}-{segment:0{SEGMENT_DIGITS}x}{SEGMENT_SUFFIX}"


def parse_segment_file_name(name: str) -> SegmentId | None:
    """Return the segment that a file name stands for; None where the file is not a segment."""
    incarnation, _, segment = name.removesuffix(SEGMENT_SUFFIX).partition("-")
    if not name.endswith(SEGMENT_SUFFIX):
        return None
    if len(incarnation) != INCARNATION_DIGITS or len(segment) != SEGMENT_DIGITS:
        return None
    try:
        return SegmentId(int(incarnation, 16), int(segment, 16))
    except ValueError:
        return None


NO_SEGMENT = SegmentId(0, 0)


class SegmentFile(NamedTuple):
    """A segment file; segment is None where its header can't be read."""

    name: str
    segment: Segment | None


@dataclass
class RecoveredLog:
    """The log that was recovered from a folder.

    Attributes:
        table: The current records.
        complete: No record that this folder had is known to be lost.
        empty: The folder has no segments.
        newest: The newest segment, even if its header can't be read.
        faults: One line for each fault, for an operator to read.
        torn_bytes: Bytes at the ends of segments, as a killed process leaves them; not a fault.
        files: The segment files, newest first.
    """

    table: RecordTable = field(default_factory=RecordTable)
    complete: bool = True
    empty: bool = True
    newest: SegmentId = NO_SEGMENT
    faults: list[str] = field(default_factory=list)
    torn_bytes: int = 0
    files: list[SegmentFile] = field(default_factory=list)


def recover(files: dict[str, bytes], fleet: int | None, gateway: int | None) -> RecoveredLog:
    """Read and merge the segments of a folder.

    Args:
        files: The bytes of the folder's files by their names.
        fleet: The fleet that the segments must belong to; None: any.
        gateway: The gateway that the segments must belong to; None: any.

    Raises:
        ForeignSegmentError: A segment belongs to another fleet or gateway, or has another's file name.
        UnusableSegmentError: A segment has another format version.
    """
    recovered = RecoveredLog()
    _read_files(recovered, files, fleet, gateway)
    _merge_segments(recovered)
    recovered.complete = _is_complete(recovered)
    newest = recovered.files[0] if recovered.files else None
    if newest is not None and newest.segment is not None and newest.segment.header.incomplete:
        recovered.faults.append(f"{newest.name}: its snapshot was known to lack records")
    return recovered


def _read_files(
    recovered: RecoveredLog, files: dict[str, bytes], fleet: int | None, gateway: int | None
) -> None:
    identified = [(parse_segment_file_name(name), name) for name in files]
    ordered = sorted((segment_id, name) for segment_id, name in identified if segment_id is not None)
    for segment_id, name in reversed(ordered):
        recovered.newest = max(recovered.newest, segment_id)
        recovered.empty = False
        segment = read_segment(files[name])
        recovered.files.append(SegmentFile(name, segment))
        if segment is None:
            recovered.faults.append(f"{name}: its header can't be read")
            continue
        _check_owner(segment, name, segment_id, fleet, gateway)
        recovered.torn_bytes += segment.torn_bytes
        recovered.faults += _faults_of(segment, name)


def _check_owner(
    segment: Segment, name: str, segment_id: SegmentId, fleet: int | None, gateway: int | None
) -> None:
    header = segment.header
    if fleet is not None and header.fleet != fleet:
        raise ForeignSegmentError(f"{name}: written for another site ({header.fleet}, not {fleet})")
    if gateway is not None and header.gateway != gateway:
        raise ForeignSegmentError(f"{name}: written by gateway {header.gateway}, not {gateway}")
    if (header.incarnation, header.segment) != segment_id:
        raise ForeignSegmentError(
            f"{name}: holds segment {header.segment} of incarnation {header.incarnation}"
        )


def _faults_of(segment: Segment, name: str) -> list[str]:
    faults = [f"{name}: bytes {start} to {end} can't be read" for start, end in segment.corrupt_ranges]
    if segment.missing_records:
        expected = segment.header.snapshot_records
        faults.append(
            f"{name}: {segment.missing_records} of the {expected} records of its snapshot are missing"
        )
    faults += [
        f"{name}: records {first[1]} to {last[1]} of incarnation {first[0]} are missing"
        for first, last in segment.sequence_gaps
    ]
    return faults


def _merge_segments(recovered: RecoveredLog) -> None:
    newest = recovered.files[0].segment if recovered.files else None
    for index, (_, segment) in enumerate(recovered.files):
        if segment is None:
            continue
        use_all = index == 0 or newest is None or not newest.complete
        records = segment.records if use_all or newest is None else _later_records(segment, newest)
        recovered.table.merge(RecordTable(records))
        if (
            not segment.header.is_replica
        ):  # a replica may not have received all records up to its header's number
            recovered.table.last = max(recovered.table.last, segment.header.last)


def _later_records(segment: Segment, newest: Segment) -> list[Record]:
    """Return the records flushed to an older segment after the newest segment's snapshot was taken."""
    return [record for record in segment.records if record.number > newest.header.last]


def _is_complete(recovered: RecoveredLog) -> bool:
    """Return whether no record is known to be lost.

    Older segments can't make up for a loss in the newest one: the lost records may have removed or replaced
    theirs.
    """
    if recovered.empty:
        return True
    newest = recovered.files[0].segment
    if newest is None or not newest.complete or newest.header.incomplete:
        return False
    if len(recovered.files) == 1:
        return True
    if _later_records(newest, newest):
        return True  # it was in use, so the records flushed to the previous one meanwhile were copied to it
    previous = recovered.files[1]
    header = newest.header
    if parse_segment_file_name(previous.name) != (header.incarnation, header.segment - 1):
        return True
    # The corrupt bytes may be records that were flushed to the previous segment meanwhile.
    return previous.segment is not None and previous.segment.complete
