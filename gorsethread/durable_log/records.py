"""What a head keeps, and how pieces of it combine.

Every record has a number, (life, place in that life), that is never given again. What it says is said of one
*thing* (an extent, a queued write, ...); of two records of one thing the later number holds, so records may
be read in any order, doubled, from several segments or from several holders, and the outcome is the same.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec
from msgspec import field

SequenceNumber = tuple[int, int]  # life, place: as a head counts them
Subject = tuple[int, ...]
NO_SEQUENCE: SequenceNumber = (0, 0)
RECENT_MOST = 4096  # records by which after() is cheap for who is hardly behind
RECENT_BYTES = 1 << 21  # of these, at most twice
PLAIN = 64  # bytes that a record takes beside its data, at most
QUEUED, STEP, DISCARDED, EFFECT = -1, -2, -3, -4  # what a thing is, where it is no extent


class ExtentPlaced(msgspec.Struct, frozen=True, tag="placed", array_like=True):
    """A first write of this extent may have gone to this shard: it belongs there from now on."""

    volume: int
    extent: int
    shard: int

    @property
    def subject(self) -> tuple[int, int]:
        return self.volume, self.extent


class ExtentReleased(msgspec.Struct, frozen=True, tag="freed", array_like=True):
    """Its first write is known not to have run: it belongs nowhere again."""

    volume: int
    extent: int

    @property
    def subject(self) -> tuple[int, int]:
        return self.volume, self.extent


class WriteQueued(msgspec.Struct, frozen=True, tag="queued", array_like=True):
    """A branch's write that was accepted: life and place are its number there. host: whose; at: seconds of
    the wall clock; own and others: numbers (branch, life, place) that come first; base: what its blocks held
    as the branch last saw them, 0 where it did not."""

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
        return QUEUED, self.incarnation, self.position


class WriteProgress(msgspec.Struct, frozen=True, tag="step", array_like=True):
    """How far a queued write has come. suspects: heads of the main site that may have run it; anyway: a
    person said that it is to be applied whatever is known."""

    incarnation: int = field(name="life")
    position: int = field(name="place")
    stage: str
    suspects: list[int]
    reason: str = ""
    forced: bool = field(default=False, name="anyway")

    @property
    def subject(self) -> Subject:
        return STEP, self.incarnation, self.position


class WriteDiscarded(msgspec.Struct, frozen=True, tag="discarded", array_like=True):
    """A person gave up a parked write."""

    incarnation: int = field(name="life")
    position: int = field(name="place")
    volume: int
    block: int
    discarded_at: float = field(name="at")
    reason: str

    @property
    def subject(self) -> Subject:
        return DISCARDED, self.incarnation, self.position


class WriteApplied(msgspec.Struct, frozen=True, tag="effect", array_like=True):
    """At the main site: a branch's write may have run, or has."""

    branch: int
    incarnation: int = field(name="life")
    position: int = field(name="place")
    ran: bool

    @property
    def subject(self) -> Subject:
        return EFFECT, self.branch, self.incarnation, self.position


class Tombstone(msgspec.Struct, frozen=True, tag="gone", array_like=True):
    """Nothing is said of that thing any more."""

    removed: list[int] = field(name="what")

    @property
    def subject(self) -> Subject:
        return tuple(self.removed)


Fact = ExtentPlaced | ExtentReleased | WriteQueued | WriteProgress | WriteDiscarded | WriteApplied | Tombstone
GONE: tuple[type, ...] = (ExtentReleased, Tombstone)  # stay until nothing earlier can come any more


def size_of(fact: Fact) -> int:
    """Bytes that it takes, about."""
    return PLAIN + (len(fact.data) if isinstance(fact, WriteQueued) else 0)


class Record(NamedTuple):
    number: SequenceNumber
    fact: Fact


def pieces(records: Iterable[Record], most: int, most_bytes: int) -> Iterator[list[Record]]:
    """In turn, of so many records and about so many bytes at most, one record at least."""
    piece: list[Record] = []
    size = 0
    for record in records:
        more = size_of(record.fact)
        if piece and (len(piece) >= most or size + more > most_bytes):
            yield piece
            piece, size = [], 0
        piece.append(record)
        size += more
    if piece:
        yield piece


class RecordTable:
    """The latest record of each thing. What is freed stays as a word, since an earlier one that comes late
    must not win; `compact()` takes these out, once nothing earlier can come any more. Bounded by the extents
    that the site's volumes have, and by what branches may queue."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records: dict[Subject, Record] = {}
        self.last: SequenceNumber = NO_SEQUENCE  # the highest number met, of any thing
        # In order, all that came after _recent_from; cut at twice RECENT_MOST and RECENT_BYTES.
        self._recent: list[Record] = []
        self._recent_bytes = 0
        self._recent_from: SequenceNumber = NO_SEQUENCE
        for record in records:
            self.take(record)

    def take(self, record: Record) -> bool:
        """Whether it holds now."""
        if record.number > self.last:
            self.last = record.number
            self._recent.append(record)
            self._recent_bytes += size_of(record.fact)
            if len(self._recent) > 2 * RECENT_MOST or self._recent_bytes > 2 * RECENT_BYTES:
                self._cut()
        else:
            # Not in order: these are not all any more.
            self._recent, self._recent_from, self._recent_bytes = [], self.last, 0
        thing = record.fact.subject
        known = self.records.get(thing)
        if known is not None and known.number >= record.number:
            return False
        self.records[thing] = record
        return True

    def _cut(self) -> None:
        """Half of what is recent is recent no more."""
        half = max(1, len(self._recent) // 2)
        self._recent_from = self._recent[half - 1].number
        del self._recent[:half]
        self._recent_bytes = sum(size_of(r.fact) for r in self._recent)

    def merge(self, other: "RecordTable") -> None:
        for record in other.records.values():
            self.take(record)
        if other.last > self.last:
            self.last = other.last

    def placed(self) -> dict[tuple[int, int], int]:
        """The shard of each extent that has one."""
        return {
            r.fact.subject: r.fact.shard for r in self.records.values() if isinstance(r.fact, ExtentPlaced)
        }

    def after(self, number: SequenceNumber) -> list[Record]:
        """All later ones that hold, in their order, and perhaps some that were replaced since."""
        if number >= self._recent_from:
            return self._recent[bisect_right(self._recent, number, key=lambda r: r.number) :]
        return [r for r in self.whole() if r.number > number]

    def whole(self) -> list[Record]:
        """All that holds, in its order."""
        return sorted(self.records.values())

    def compact(self) -> SequenceNumber:
        """The highest number of a word that went."""
        went = NO_SEQUENCE
        for thing, r in list(self.records.items()):
            if isinstance(r.fact, GONE):
                went = max(went, r.number)
                del self.records[thing]
        return went
