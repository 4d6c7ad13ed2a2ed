"""Copies of one head's records at others: what goes to whom next, from when a promise is held, who is shut
out. Pure cores of both sides: no I/O, no clock, no chance.

The sender counts nothing a holder did not say that it has on its own disk. A holder that was away hears what
holds and is later than what it has; words on what was freed are dropped in time, so one that is further
behind than these hears everything anew. A holder knows the latest life of each head and takes nothing from
an earlier one, so of two processes of one name the later shuts the other out.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber, pieces

CHUNK = 256  # records of one message
CHUNK_BYTES = 1 << 18  # and about as many bytes, but one record at least
HELD_WITHIN = 1.0  # seconds until a promise must be held, else it is not given
AGAIN_LEAST, AGAIN_MOST = 0.2, 3.0  # seconds from a lost way to a holder to the next try, doubling
CATCH_UP = 0.02  # seconds between pieces of what is not new, so that live work goes first


@dataclass
class Holder:
    """One other head, as the sender knows it. mark: up to here it has all that holds; None: not told yet."""

    mark: SequenceNumber | None = None
    sent: SequenceNumber = NO_SEQUENCE
    out: bool = False  # a piece is on its way
    whole: bool = False  # the next piece begins everything anew
    behind: bool = False  # the last piece was not all there was


@dataclass(frozen=True)
class Piece:
    """begins: what the holder has is over. last: with this it has all that holds up to there; more: there is
    more."""

    begins: bool
    records: list[Record]
    last: SequenceNumber
    more: bool = False


class ReplicationSender:
    """held_by: how many holders must have a promise."""

    def __init__(self, held_by: int) -> None:
        self.held_by = held_by
        self.holders: dict[int, Holder] = {}
        self.shut_out = False  # a later life of this head is known to others

    def chosen(self, names: Iterable[int]) -> tuple[list[int], list[int]]:
        """Who comes, who goes. Nobody goes before those that stay hold as much."""
        names = list(names)
        fresh = [n for n in names if n not in self.holders]
        for n in fresh:
            self.holders[n] = Holder()
        rest = [self.holders[n].mark or NO_SEQUENCE for n in names]
        old = [n for n in self.holders if n not in names]
        gone = [n for n in old if all(mark >= (self.holders[n].mark or NO_SEQUENCE) for mark in rest)]
        for n in gone:
            del self.holders[n]
        return fresh, gone

    def met(self, name: int, has: SequenceNumber, forgot: SequenceNumber) -> None:
        """A way to it stands, and it said up to where it has this head's records. forgot: words up to here
        are gone."""
        h = self.holders.get(name)
        if h is not None:
            h.mark = has if has >= forgot else NO_SEQUENCE
            h.sent, h.out, h.whole = h.mark, False, has < forgot

    def lost(self, name: int) -> None:
        """The way to it ended; what it has it keeps."""
        if (h := self.holders.get(name)) is not None:
            h.mark, h.out = None, False

    def piece(self, name: int, table: RecordTable, last: SequenceNumber) -> Piece | None:
        """What goes to it next; None: nothing now. last: up to here the table has all that holds."""
        h = self.holders.get(name)
        if h is None or h.mark is None or h.out or h.sent >= last and not h.whole:
            return None
        if h.whole:
            h.sent = NO_SEQUENCE
        later = [r for r in table.after(h.sent) if r.number <= last]
        now = next(pieces(later, CHUNK, CHUNK_BYTES), [])
        rest = len(later) > len(now)
        piece = Piece(h.whole, now, now[-1].number if rest else last, rest)
        h.sent, h.out, h.whole, h.behind = piece.last, True, False, rest
        return piece

    def has(self, name: int, last: SequenceNumber) -> bool:
        """It has all up to there on its disk; whether more that is not new is to go to it."""
        h = self.holders.get(name)
        if h is not None and h.mark is not None:
            h.mark, h.out = max(h.mark, last), False
            return h.behind
        return False

    def anew(self) -> None:
        """The table got records that are older than what holders have: they hear all of it again."""
        for h in self.holders.values():
            h.whole = h.mark is not None

    @property
    def held(self) -> SequenceNumber:
        """Up to here enough holders have everything; without any needed, all."""
        if self.held_by == 0:
            return (1 << 62, 0)
        marks = sorted((h.mark for h in self.holders.values() if h.mark is not None), reverse=True)
        return marks[self.held_by - 1] if len(marks) >= self.held_by else NO_SEQUENCE

    @property
    def enough(self) -> bool:
        """As many holders as are needed can be reached now."""
        return sum(h.mark is not None for h in self.holders.values()) >= self.held_by


class Keeping:
    """The holder's side: of each head the latest life, and what was last heard of it."""

    def __init__(self) -> None:
        self.lives: dict[int, int] = {}  # as many as heads

    def greets(self, origin: int, life: int) -> int:
        """The latest life of it that is known here, this one included; a later one shuts the greeter out."""
        self.lives[origin] = max(life, self.lives.get(origin, 0))
        return self.lives[origin]

    def takes(self, origin: int, life: int) -> bool:
        return life >= self.lives.get(origin, 0)
