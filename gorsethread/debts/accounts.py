"""Accounts between partners, as counters of (head, life) that only grow: each is written by one life of one
head alone, so merging takes the higher, and lost, late, doubled and reordered words change nothing.

Both sides count what crosses: who gave, and who got it. What both say is owed; the rest is disputed: on its
way, or one side lost its count or says too much. It is shown, bounded by the credit line, and owed as soon as
the side that lags has said it too. What is paid is counted by the debtor. Nets are differences of what both
say, so their sum is 0 on every merged state.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

import msgspec

from gorsethread.errors import GorsethreadError

PARTNERS_MOST = 64
ROWS_MOST = 1 << 16  # a head keeps one life's counters as long as its records last, so few lives come to be
PIECE_BYTES = 224  # of one piece, which has a datagram of 256 bytes with its header

Pair = tuple[int, int]  # giver and taker
Key = tuple[int, int, int, int, int]


class Said(IntEnum):
    GAVE = 0  # by a head of the giver
    GOT = 1  # by a head of the taker
    PAID = 2  # by a head of the taker: so much of its debt is paid


class Row(NamedTuple):
    """One counter, of one life of one head. units: so far."""

    giver: int
    taker: int
    said: int
    head: int
    life: int
    units: int

    @property
    def key(self) -> Key:
        return self[:5]


class NoRows(GorsethreadError):
    """Bytes that are no rows of accounts."""

    action = "See that all partners' heads run one version; their accounts are told again by themselves."


class Accounts:
    """As one head holds them; merge() with any other's, in any order."""

    def __init__(self, rows: Iterable[Row] = ()) -> None:
        self._rows: dict[Key, int] = {}  # ROWS_MOST
        self.refused = 0  # rows that name no partner, or for which there was no room
        for row in rows:
            self.take(row)

    def take(self, row: Row) -> bool:
        """Whether it said something new."""
        partners = {row.giver, row.taker}
        if (
            len(partners) < 2
            or min(partners) < 0
            or max(partners) >= PARTNERS_MOST
            or row.units < 0
            or (row.said not in tuple(Said) or row.key not in self._rows and len(self._rows) >= ROWS_MOST)
        ):
            self.refused += 1
            return False
        if row.units <= self._rows.get(row.key, -1):
            return False
        self._rows[row.key] = row.units
        return True

    def merge(self, other: "Accounts") -> None:
        for row in other.rows():
            self.take(row)

    def counts(self, pair: Pair, said: Said, head: int, life: int, units: int) -> Row:
        """By this life of this head, so many more."""
        key = (*pair, int(said), head, life)
        row = Row(*key, self._rows.get(key, 0) + units)
        self.take(row)
        return row

    def rows(self) -> Iterator[Row]:
        for key, units in sorted(self._rows.items()):
            yield Row(*key, units)

    def sums(self, said: Said) -> Counter[Pair]:
        found: Counter[Pair] = Counter()
        for (giver, taker, what, *_), units in self._rows.items():
            if what == said:
                found[giver, taker] += units
        return found

    def owed(self) -> Counter[Pair]:
        """What both sides say that was given, in all."""
        given, got = self.sums(Said.GAVE), self.sums(Said.GOT)
        return Counter({pair: n for pair in given if (n := min(given[pair], got[pair]))})

    def disputed(self) -> dict[Pair, int]:
        """By how much the giver says more than the taker; less: under 0."""
        given, got = self.sums(Said.GAVE), self.sums(Said.GOT)
        return {pair: n for pair in sorted(given.keys() | got.keys()) if (n := given[pair] - got[pair])}

    def nets(self) -> dict[int, int]:
        """By partner, what it gave less what it got, less what was paid for it; the sum is 0."""
        found: Counter[int] = Counter()
        for (giver, taker), units in self.owed().items():
            found[giver] += units
            found[taker] -= units
        for (giver, taker), units in self.sums(Said.PAID).items():
            found[giver] -= units
            found[taker] += units
        return dict(found)

    def net(self, giver: int, taker: int) -> int:
        """What the taker owes the giver, less what the giver owes it."""
        owed, paid = self.owed(), self.sums(Said.PAID)
        return owed[giver, taker] - paid[giver, taker] - owed[taker, giver] + paid[taker, giver]

    def __len__(self) -> int:
        return len(self._rows)


_ROWS: msgspec.msgpack.Decoder[list[Row]] = msgspec.msgpack.Decoder(list[Row])


def pieces(rows: Iterable[Row]) -> list[bytes]:
    """As they go in datagrams."""
    found: list[bytes] = []
    held: list[Row] = []
    for row in rows:
        if held and len(msgspec.msgpack.encode([*held, row])) > PIECE_BYTES:
            found.append(msgspec.msgpack.encode(held))
            held = []
        held.append(row)
    return [*found, msgspec.msgpack.encode(held)] if held else found


def read(piece: bytes) -> list[Row]:
    """NoRows where it is none."""
    try:
        return _ROWS.decode(piece)
    except (msgspec.DecodeError, ValueError) as error:
        raise NoRows(str(error)) from None
