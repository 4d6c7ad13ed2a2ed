"""Accounts between partners, as counters of (gateway, incarnation) that only grow, and their encoding. Pure.

Each counter is written by one incarnation of one gateway alone, so merging takes the higher value, and lost,
late, doubled and reordered messages change nothing (a grow-only counter, a state-based CRDT).

Both sides count what crosses: who gave, and who received. What both report is owed; the rest is disputed: on
its way, or one side lost its count or reports too much. It is shown, bounded by the credit line, and owed as
soon as the side that lags has reported it too. What is paid is counted by the debtor. Balances are
differences of what both report, so their sum is 0 on every merged state.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

import msgspec

from gorsethread.errors import GorsethreadError

PARTNERS_MAX = 64
ROWS_MAX = 1 << 16  # a gateway keeps an incarnation's counters as long as its records last, so few come to be
CHUNK_BYTES_MAX = 224  # a datagram of 256 bytes without its header

Pair = tuple[int, int]  # giver and taker
CounterKey = tuple[int, int, int, int, int]


class CounterKind(IntEnum):
    """What a counter counts, by its number on the wire."""

    GIVEN = 0  # by a gateway of the giver
    RECEIVED = 1  # by a gateway of the taker
    PAID = 2  # by a gateway of the taker: so much of its debt is paid


class CounterRow(NamedTuple):
    """One counter of one incarnation of one gateway, in the order of the fields on the wire; units so far."""

    giver: int
    taker: int
    kind: int
    gateway: int
    incarnation: int
    units: int

    @property
    def key(self) -> CounterKey:
        """What names the counter."""
        return self[:5]


class CounterDecodeError(GorsethreadError):
    """Bytes that are no rows of accounts."""

    action = "See that all partners' gateways run one version; their accounts are sent again by themselves."


class CreditAccounts:
    """Owns the counters that one gateway knows, ROWS_MAX at most; nothing empties them.

    Attributes:
        refused: Rows that name no partner, or for which there was no space.
    """

    def __init__(self, rows: Iterable[CounterRow] = ()) -> None:
        self._units: dict[CounterKey, int] = {}
        self.refused = 0
        for row in rows:
            self.merge_row(row)

    def merge_row(self, row: CounterRow) -> bool:
        """Takes a row of any gateway; whether it was news."""
        if not self._acceptable(row):
            self.refused += 1
            return False
        if row.units <= self._units.get(row.key, -1):
            return False
        self._units[row.key] = row.units
        return True

    def _acceptable(self, row: CounterRow) -> bool:
        partners_valid = row.giver != row.taker and all(
            0 <= partner < PARTNERS_MAX for partner in (row.giver, row.taker)
        )
        has_space = row.key in self._units or len(self._units) < ROWS_MAX
        return partners_valid and row.units >= 0 and row.kind in tuple(CounterKind) and has_space

    def merge(self, other: "CreditAccounts") -> None:
        """Takes all rows of another gateway's accounts."""
        for row in other.rows():
            self.merge_row(row)

    def add(self, pair: Pair, kind: CounterKind, gateway: int, incarnation: int, units: int) -> CounterRow:
        """Counts so many more by an incarnation of this gateway; the row to be sent."""
        key = (*pair, int(kind), gateway, incarnation)
        row = CounterRow(*key, self._units.get(key, 0) + units)
        self.merge_row(row)
        return row

    def rows(self) -> Iterator[CounterRow]:
        """All rows, in order."""
        for key, units in sorted(self._units.items()):
            yield CounterRow(*key, units)

    def totals(self, kind: CounterKind) -> Counter[Pair]:
        """Units of one kind by pair, over all gateways and incarnations."""
        found: Counter[Pair] = Counter()
        for (giver, taker, row_kind, *_), units in self._units.items():
            if row_kind == kind:
                found[giver, taker] += units
        return found

    def owed(self) -> Counter[Pair]:
        """Units that both sides report as given, payments not taken off."""
        given = self.totals(CounterKind.GIVEN)
        received = self.totals(CounterKind.RECEIVED)
        both = {pair: min(units, received[pair]) for pair, units in given.items()}
        return Counter({pair: units for pair, units in both.items() if units})

    def disputed(self) -> dict[Pair, int]:
        """By how many units the giver reports more than the taker; less is negative."""
        given = self.totals(CounterKind.GIVEN)
        received = self.totals(CounterKind.RECEIVED)
        differences = {pair: given[pair] - received[pair] for pair in sorted(given.keys() | received.keys())}
        return {pair: units for pair, units in differences.items() if units}

    def balances(self) -> dict[int, int]:
        """By partner, what it gave less what it received, less what was paid for it; the sum is 0."""
        found: Counter[int] = Counter()
        for (giver, taker), units in self.owed().items():
            found[giver] += units
            found[taker] -= units
        for (giver, taker), units in self.totals(CounterKind.PAID).items():
            found[giver] -= units
            found[taker] += units
        return dict(found)

    def net_debt(self, giver: int, taker: int) -> int:
        """What the taker owes the giver, less what the giver owes it."""
        owed = self.owed()
        paid = self.totals(CounterKind.PAID)
        return owed[giver, taker] - paid[giver, taker] - owed[taker, giver] + paid[taker, giver]

    def __len__(self) -> int:
        return len(self._units)


_decoder: msgspec.msgpack.Decoder[list[CounterRow]] = msgspec.msgpack.Decoder(list[CounterRow])


def encode(rows: Iterable[CounterRow]) -> list[bytes]:
    """Rows in chunks of CHUNK_BYTES_MAX, each for one datagram."""
    chunks: list[bytes] = []
    chunk: list[CounterRow] = []
    for row in rows:
        if chunk and len(msgspec.msgpack.encode([*chunk, row])) > CHUNK_BYTES_MAX:
            chunks.append(msgspec.msgpack.encode(chunk))
            chunk = []
        chunk.append(row)
    if chunk:
        chunks.append(msgspec.msgpack.encode(chunk))
    return chunks


def decode(chunk: bytes) -> list[CounterRow]:
    """The rows of a chunk.

    Raises:
        CounterDecodeError: It is none.
    """
    try:
        return _decoder.decode(chunk)
    except (msgspec.DecodeError, ValueError) as error:
        raise CounterDecodeError(str(error)) from None
