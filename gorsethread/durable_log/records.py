"""The facts that a gateway's log keeps, and how tables of them combine.

Every record has a sequence number, (incarnation, position in that incarnation), that is never given again.
Its fact is about one *subject* (an extent, a queued write, ...). Of two records of one subject the one with
the higher number holds, so records may be read in any order, repeatedly, from several segments or replicas,
with the same outcome.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec
from msgspec import field

SequenceNumber = tuple[int, int]  # incarnation and position
Subject = tuple[int, ...]
NO_SEQUENCE: SequenceNumber = (0, 0)
RECENT_RECORDS = 4096  # records that later_than() finds without sorting the table
RECENT_BYTES = 1 << 21  # of these; either figure may be exceeded twofold
RECORD_OVERHEAD = 64  # bytes that a record takes beside its data, at most
# The first part of a subject that is not an extent; stored in tombstones.
QUEUED_WRITE, WRITE_PROGRESS, DISCARDED_WRITE, APPLIED_WRITE = -1, -2, -3, -4


class ExtentPlaced(msgspec.Struct, frozen=True, tag="placed", array_like=True):
    """A first write of this extent may have gone to this shard, to which it belongs from now on."""

    volume: int
    extent: int
    shard: int

    @property
    def subject(self) -> tuple[int, int]:
        """The extent."""
        return self.volume, self.extent


class ExtentReleased(msgspec.Struct, frozen=True, tag="freed", array_like=True):
    """The extent's first write is known not to have run: it belongs to no shard again."""

    volume: int
    extent: int

    @property
    def subject(self) -> tuple[int, int]:
        """The extent."""
        return self.volume, self.extent


class WriteQueued(msgspec.Struct, frozen=True, tag="queued", array_like=True):
    """A write that a disconnected branch accepted.

    Attributes:
        incarnation: With position, its number in the branch's queue.
        position: See incarnation.
        request_class: Index of the request class in the site file.
        host: NQN of the host that sent it.
        accepted_at: Seconds of the wall clock.
        own_dependencies: Numbers (branch, incarnation, position) of this branch's writes that come first.
        other_dependencies: The same for other gateways' writes.
        base_digest: What its blocks held as the branch last saw them; 0 where it did not.
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
    """How far a queued write has come.

    Attributes:
        incarnation: With position, the number of the write.
        position: See incarnation.
        stage: Value of the queue's stage.
        suspects: Gateways of the main site that may have applied it.
        reason: Why it is in this stage, for people.
        forced: A person decided that it is to be applied whatever is known.
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
    """A person discarded a dead-lettered write; discarded_at in seconds of the wall clock."""

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
    """At the main site: a branch's write may have run, or has."""

    branch: int
    incarnation: int = field(name="life")
    position: int = field(name="place")
    ran: bool

    @property
    def subject(self) -> Subject:
        """The branch's write."""
        return APPLIED_WRITE, self.branch, self.incarnation, self.position


class Tombstone(msgspec.Struct, frozen=True, tag="gone", array_like=True):
    """Nothing is known of this subject any more."""

    removed: list[int] = field(name="what")

    @property
    def subject(self) -> Subject:
        """The subject that was removed."""
        return tuple(self.removed)


Fact = ExtentPlaced | ExtentReleased | WriteQueued | WriteProgress | WriteDiscarded | WriteApplied | Tombstone
REMOVALS: tuple[type, ...] = (ExtentReleased, Tombstone)  # kept until nothing earlier can come any more


def record_bytes(fact: Fact) -> int:
    """Estimate the bytes that a record of this fact takes."""
    return RECORD_OVERHEAD + (len(fact.data) if isinstance(fact, WriteQueued) else 0)


class Record(NamedTuple):
    """A fact under its sequence number."""

    number: SequenceNumber
    fact: Fact


def batches(records: Iterable[Record], max_records: int, max_bytes: int) -> Iterator[list[Record]]:
    """Split records, in their order, into batches of limited size but one record at least."""
    batch: list[Record] = []
    size = 0
    for record in records:
        more = record_bytes(record.fact)
        if batch and (len(batch) >= max_records or size + more > max_bytes):
            yield batch
            batch = []
            size = 0
        batch.append(record)
        size += more
    if batch:
        yield batch


class RecordTable:
    """The latest record of each subject.

    Bounded by the extents that the site's volumes have and by what branches may queue. Removals stay, since
    an earlier record that comes late must not win; `drop_removals()` takes them out once nothing earlier can
    come. The recent records are cut by half at twice RECENT_RECORDS or RECENT_BYTES.
    """

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records: dict[Subject, Record] = {}
        self.last: SequenceNumber = NO_SEQUENCE  # the highest number seen, of any subject
        self._recent: list[Record] = []  # in order, all that came after _recent_from
        self._recent_bytes = 0
        self._recent_from: SequenceNumber = NO_SEQUENCE
        for record in records:
            self.apply(record)

    def apply(self, record: Record) -> bool:
        """Add a record; return whether it is the one that holds for its subject."""
        if record.number > self.last:
            self._add_recent(record)
        else:
            self._clear_recent()  # out of order: the list would not be complete
        subject = record.fact.subject
        known = self.records.get(subject)
        if known is not None and known.number >= record.number:
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
            self._recent_bytes = sum(record_bytes(one.fact) for one in self._recent)

    def _clear_recent(self) -> None:
        self._recent = []
        self._recent_from = self.last
        self._recent_bytes = 0

    def merge(self, other: "RecordTable") -> None:
        """Apply all of another table."""
        for record in other.records.values():
            self.apply(record)
        self.last = max(self.last, other.last)

    def placements(self) -> dict[tuple[int, int], int]:
        """Return the shard of each extent that has one."""
        facts = (record.fact for record in self.records.values())
        return {fact.subject: fact.shard for fact in facts if isinstance(fact, ExtentPlaced)}

    def later_than(self, number: SequenceNumber) -> list[Record]:
        """Return all later records that hold, in order, and perhaps some that were replaced since."""
        if number >= self._recent_from:
            return self._recent[bisect_right(self._recent, number, key=lambda record: record.number) :]
        return [record for record in self.in_order() if record.number > number]

    def in_order(self) -> list[Record]:
        """Return all records that hold, by their numbers."""
        return sorted(self.records.values())

    def drop_removals(self) -> SequenceNumber:
        """Forget what was removed; return the highest number of a dropped record."""
        dropped = NO_SEQUENCE
        for subject, record in list(self.records.items()):
            if isinstance(record.fact, REMOVALS):
                dropped = max(dropped, record.number)
                del self.records[subject]
        return dropped
