"""What a folder still holds of a gateway's log: its segments read and combined. No I/O.

The newest segment starts with all that held as its making began. Where it is complete, no more of the one
before is used than what was flushed to it since, which a killed process may not have moved. Where it is not
complete, the others fill in what they can; the loss is reported all the same, as only replicas can mend it.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from gorsethread.durable_log.records import Record, RecordTable
from gorsethread.durable_log.segments import Segment, UnusableSegmentError, read_segment

SEGMENT_SUFFIX = ".seg"
LOCK_FILE = "lock"
LOSS_ACCEPTED_FILE = "accepted"  # a person accepted the loss: gorsethread records accept
INCARNATION_DIGITS = 16  # hexadecimal, in a segment's file name
SEGMENT_DIGITS = 8


class ForeignSegmentError(UnusableSegmentError):
    """The folder is another gateway's, or another fleet's."""

    action = "Give each gateway the folder that it had before; two may have been exchanged."


class SegmentId(NamedTuple):
    """Where a segment stands in the order of a gateway's segments."""

    incarnation: int
    segment: int


def segment_file_name(incarnation: int, segment: int) -> str:
    """Return the name of a segment's file."""
    return f"{incarnation:0{INCARNATION_DIGITS}x}-{segment:0{SEGMENT_DIGITS}x}{SEGMENT_SUFFIX}"


def parse_segment_file_name(name: str) -> SegmentId | None:
    """Return which segment a file is by its name; None for a file that is no segment."""
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
    """A file of a log; segment is None where its header can't be read."""

    name: str
    segment: Segment | None


@dataclass
class RecoveredLog:
    """What was read of a folder.

    Attributes:
        table: All records that hold.
        complete: Nothing that this folder held is known to be lost.
        empty: There was nothing in it.
        newest: Of the newest file, also of one that can't be read.
        faults: A line each, for people.
        torn_bytes: Bytes at segments' ends, as a killed process leaves them; no fault.
        files: Newest first.
    """

    table: RecordTable = field(default_factory=RecordTable)
    complete: bool = True
    empty: bool = True
    newest: SegmentId = NO_SEGMENT
    faults: list[str] = field(default_factory=list)
    torn_bytes: int = 0
    files: list[SegmentFile] = field(default_factory=list)


def recover(files: dict[str, bytes], fleet: int | None, gateway: int | None) -> RecoveredLog:
    """Read and combine the segments of a folder.

    Args:
        files: All of the folder, by their names.
        fleet: To whom it must belong; None: to anyone.
        gateway: The same for the gateway.

    Raises:
        ForeignSegmentError: A segment is another's.
        UnusableSegmentError: A later version wrote a segment.
    """
    recovered = RecoveredLog()
    _read_files(recovered, files, fleet, gateway)
    _merge_segments(recovered)
    recovered.complete = _is_complete(recovered)
    newest = recovered.files[0] if recovered.files else None
    if newest is not None and newest.segment is not None and newest.segment.header.incomplete:
        recovered.faults.append(f"{newest.name}: what it began with was known to lack something")
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
            recovered.faults.append(f"{name}: its begin can't be read")
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
            f"{name}: {segment.missing_records} of the {expected} records it began with are not there"
        )
    faults += [
        f"{name}: records {first[1]} to {last[1]} of life {first[0]} are not there"
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
        if not segment.header.is_replica:  # a replica may not have got all from before its header yet
            recovered.table.last = max(recovered.table.last, segment.header.last)


def _later_records(segment: Segment, newest: Segment) -> list[Record]:
    """What was flushed to an older segment after the newest one's snapshot was taken."""
    return [record for record in segment.records if record.number > newest.header.last]


def _is_complete(recovered: RecoveredLog) -> bool:
    """Older segments can't replace the newest: what it lost may have removed or replaced their records."""
    if recovered.empty:
        return True
    newest = recovered.files[0].segment
    if newest is None or not newest.complete or newest.header.incomplete:
        return False
    if len(recovered.files) == 1:
        return True
    if _later_records(newest, newest):
        return True  # it was in use, so what the one before had got meanwhile was moved to it
    before = recovered.files[1]
    header = newest.header
    if parse_segment_file_name(before.name) != (header.incarnation, header.segment - 1):
        return True
    # What was flushed to the one before meanwhile may be what is corrupt.
    return before.segment is not None and before.segment.complete
