"""The facts that a gateway's log keeps, and how tables of them are merged.

Every record has a sequence number, (incarnation, position in that incarnation), that is never used again.
Its fact is about one *subject* (an extent, a queued write, ...). Of two records of one subject the one with
the higher number is the current one, so records may be read in any order, repeatedly, from several segments
or replicas, with the same result.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec
from msgspec import field

SequenceNumber = tuple[int, int]  # incarnation and position
Subject = tuple[int, ...]
NO_SEQUENCE: SequenceNumber = (0, 0)
RECENT_RECORDS = 4096  # latest records, which later_than() finds without sorting the table
RECENT_BYTES = 1 << 21  # bytes of these records; the table holds up to twice either figure
RECORD_OVERHEAD = 64  # upper bound of the bytes of a record without the data of its write
# The first part of a subject that is not an extent; stored in tombstones.
QUEUED_WRITE, WRITE_PROGRESS, DISCARDED_WRITE, APPLIED_WRITE = -1, -2, -3, -4


class ExtentPlaced(msgspec.Struct, frozen=True, tag="placed", array_like=True):
    """The extent belongs to this shard from now on: its first write may have been sent there."""

    volume: int
    extent: int
    shard: int

    @property
    def subject(self) -> tuple[int, int]:
        """The extent."""
        return self.volume, self.extent


class ExtentReleased(msgspec.Struct, frozen=True, tag="freed", array_like=True):
    """The extent belongs to no shard again: its first write is known not to have run."""

    volume: int
    extent: int

    @property
    def subject(self) -> tuple[int, int]:
        """The extent."""
        return self.volume, self.extent


class WriteQueued(msgspec.Struct, frozen=True, tag="queued", array_like=True):
    """A write that a branch accepted while it was disconnected from the main site.

    Attributes:
        incarnation: First part of the write's number in the branch's queue.
        position: Second part of that number.
        request_class: Index of the request class in the site file.
        host: NQN of the host that sent the write.
        accepted_at: Wall-clock time in seconds.
        own_dependencies: Numbers (branch, incarnation, position) of this branch's writes that it depends on.
        other_dependencies: Numbers of other gateways' writes that it depends on.
        base_digest: Digest of what the branch last saw in its blocks; 0 where it has not seen them.
    """

    incarnation: int = field(name="life")
    position: int = field(name="place")
    volume: int
    block: int
    blocks: int
    request_class: int = field(name="profile")
    key: str
    host: str
    label: int
    attempt: int
    hints: int
    accepted_at: float = field(name="at")
    own_dependencies: list[tuple[int, int, int]] = field(name="own")
    other_dependencies: list[tuple[int, int, int]] = field(name="others")
    base_digest: int = field(name="base")
    data: bytes

    @property
    def subject(self) -> Subject:
        """The queued write."""
        return QUEUED_WRITE, self.incarnation, self.position


class WriteProgress(msgspec.Struct, frozen=True, tag="step", array_like=True):
    """The stage that a queued write has reached.

    Attributes:
        incarnation: First part of the write's number.
        position: Second part of the write's number.
        stage: Value of the stage in the branch's queue.
        suspects: Gateways of the main site that may have applied the write.
        reason: Why the write is in this stage, for an operator to read.
        forced: An operator decided that the write is applied regardless of what is known about it.
    """

    incarnation: int = field(name="life")
    position: int = field(name="place")
    stage: str
    suspects: list[int]
    reason: str = ""
    forced: bool = field(default=False, name="anyway")

    @property
    def subject(self) -> Subject:
        """The queued write's progress."""
        return WRITE_PROGRESS, self.incarnation, self.position


class WriteDiscarded(msgspec.Struct, frozen=True, tag="discarded", array_like=True):
    """An operator discarded a dead-lettered write; discarded_at is the wall-clock time in seconds."""

    incarnation: int = field(name="life")
    position: int = field(name="place")
    volume: int
    block: int
    discarded_at: float = field(name="at")
    reason: str

    @property
    def subject(self) -> Subject:
        """The discarded write."""
        return DISCARDED_WRITE, self.incarnation, self.position


class WriteApplied(msgspec.Struct, frozen=True, tag="effect", array_like=True):
    """Recorded at the main site: a branch's write has run (ran is true), or may have run."""

    branch: int
    incarnation: int = field(name="life")
    position: int = field(name="place")
    ran: bool

    @property
    def subject(self) -> Subject:
        """The branch's write."""
        return APPLIED_WRITE, self.branch, self.incarnation, self.position


class Tombstone(msgspec.Struct, frozen=True, tag="gone", array_like=True):
    """The records of this subject are removed."""

    removed: list[int] = field(name="what")

    @property
    def subject(self) -> Subject:
        """The subject that was removed."""
        return tuple(self.removed)


Fact = ExtentPlaced | ExtentReleased | WriteQueued | WriteProgress | WriteDiscarded | WriteApplied | Tombstone
REMOVALS: tuple[type, ...] = (ExtentReleased, Tombstone)  # kept until no earlier record can arrive


def record_bytes(fact: Fact) -> int:
    """Return an estimate of the bytes of a record of this fact."""
    return RECORD_OVERHEAD + (len(fact.data) if isinstance(fact, WriteQueued) else 0)


class Record(NamedTuple):
    """A fact and its sequence number."""

    number: SequenceNumber
    fact: Fact


def batches(records: Iterable[Record], max_records: int, max_bytes: int) -> Iterator[list[Record]]:
    """Split records, keeping their order, into batches of limited size; each has at least one record."""
    batch: list[Record] = []
    size = 0
    for record in records:
        record_size = record_bytes(record.fact)
        if batch and (len(batch) >= max_records or size + record_size > max_bytes):
            yield batch
            batch = []
            size = 0
        batch.append(record)
        size += record_size
    if batch:
        yield batch


class RecordTable:
    """The current record of each subject.

    The table is bounded by the number of extents of the site's volumes and by the limits of the branches'
    queues. It keeps removals, since an earlier record that arrives late must not undo them, until
    `drop_removals()` is called once no earlier record can arrive. The list of recent records is halved when
    it exceeds twice RECENT_RECORDS or RECENT_BYTES.
    """

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records: dict[Subject, Record] = {}
        self.last: SequenceNumber = NO_SEQUENCE  # the highest number applied, of any subject
        self._recent: list[Record] = []  # in order: all records later than _recent_from
        self._recent_bytes = 0
        self._recent_from: SequenceNumber = NO_SEQUENCE
        for record in records:
            self.apply(record)

    def apply(self, record: Record) -> bool:
        """Add a record; return whether it is now the current one of its subject."""
        if record.number > self.last:
            self._add_recent(record)
        else:
            self._clear_recent()  # out of order: the list would be incomplete
        subject = record.fact.subject
        current = self.records.get(subject)
        if current is not None and current.number >= record.number:
            return False
        self.records[subject] = record
        return True

    def _add_recent(self, record: Record) -> None:
        self.last = record.number
        self._recent.append(record)
        self._recent_bytes += record_bytes(record.fact)
        if len(self._recent) > 2 * RECENT_RECORDS or self._recent_bytes > 2 * RECENT_BYTES:
            half = max(1, len(self._recent) // 2)
            self._recent_from = self._recent[half - 1].number
            del self._recent[:half]
            self._recent_bytes = sum(record_bytes(recent.fact) for recent in self._recent)

    def _clear_recent(self) -> None:
        self._recent = []
        self._recent_from = self.last
        self._recent_bytes = 0

    def merge(self, other: "RecordTable") -> None:
        """Apply all records of another table."""
        for record in other.records.values():
            self.apply(record)
        self.last = max(self.last, other.last)

    def placements(self) -> dict[tuple[int, int], int]:
        """Return the shard of each extent that belongs to one."""
        facts = (record.fact for record in self.records.values())
        return {fact.subject: fact.shard for fact in facts if isinstance(fact, ExtentPlaced)}

    def later_than(self, number: SequenceNumber) -> list[Record]:
        """Return, in order, the current records after this number, and possibly some replaced since."""
        if number >= self._recent_from:
            return self._recent[bisect_right(self._recent, number, key=lambda record: record.number) :]
        return [record for record in self.in_order() if record.number > number]

    def in_order(self) -> list[Record]:
        """Return the current records, ordered by their numbers."""
        return sorted(self.records.values())

    def drop_removals(self) -> SequenceNumber:
        """Drop the records that are removals; return the highest number of a dropped record."""
        dropped = NO_SEQUENCE
        for subject, record in list(self.records.items()):
            if isinstance(record.fact, REMOVALS):
                dropped = max(dropped, record.number)
                del self.records[subject]
        return dropped
