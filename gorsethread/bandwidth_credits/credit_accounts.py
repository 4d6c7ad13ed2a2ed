"""Accounts between partners, as grow-only counters per gateway incarnation, and their encoding. No I/O.

Each counter is written by only one incarnation of one gateway, so merging takes the higher value. Lost, late,
duplicated and reordered messages then do no harm (a grow-only counter is a state-based CRDT).

Both partners count each transfer: one counts units given, the other units received. The units that both
report are owed. The rest is disputed: it is still in transit, or one partner lost its count or reports too
much. Disputed units are shown, are bounded by the credit line, and are owed as soon as the other partner
reports them too. Payments are counted by the debtor. Balances are differences of what both report, so their
sum is 0 in every merged state.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

import msgspec

from gorsethread.errors import GorsethreadError

PARTNERS_MAX = 64
ROWS_MAX = 1 << 16  # few are used: a gateway keeps its counters while its records last
CHUNK_BYTES_MAX = 224  # what fits into a datagram of 256 bytes after its header

Pair = tuple[int, int]  # giver and taker
CounterKey = tuple[int, int, int, int, int]


class CounterKind(IntEnum):
    """What a counter counts; the value is the number on the wire."""

    GIVEN = 0  # units given; counted by a gateway of the giver
    RECEIVED = 1  # units received; counted by a gateway of the taker
    PAID = 2  # units of debt paid; counted by a gateway of the taker


class CounterRow(NamedTuple):
    """The value of one counter of one gateway incarnation, with its fields in the order on the wire."""

    giver: int
    taker: int
    kind: int
    gateway: int
    incarnation: int
    units: int

    @property
    def key(self) -> CounterKey:
        """The fields that identify the counter."""
        return self[:5]


class CounterDecodeError(GorsethreadError):
    """Raised for bytes that are not rows of accounts."""

    action = "Check that all partners' gateways run one version; accounts are sent again automatically."


class CreditAccounts:
    """Owns the counters that one gateway knows; there are at most ROWS_MAX, and none is ever removed.

    Attributes:
        refused: The number of rows that were invalid or for which there was no space.
    """

    def __init__(self, rows: Iterable[CounterRow] = ()) -> None:
        self._units: dict[CounterKey, int] = {}
        self.refused = 0
        for row in rows:
            self.merge_row(row)

    def merge_row(self, row: CounterRow) -> bool:
        """Merges a row of any gateway; returns whether it raised the counter."""
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
        """Merges all rows of the accounts of another gateway."""
        for row in other.rows():
            self.merge_row(row)

    def add(self, pair: Pair, kind: CounterKind, gateway: int, incarnation: int, units: int) -> CounterRow:
        """Adds units to a counter of this gateway and returns the row to send."""
        key = (*pair, int(kind), gateway, incarnation)
        row = CounterRow(*key, self._units.get(key, 0) + units)
        self.merge_row(row)
        return row

    def rows(self) -> Iterator[CounterRow]:
        """Yields all rows, sorted by key."""
        for key, units in sorted(self._units.items()):
            yield CounterRow(*key, units)

    def totals(self, kind: CounterKind) -> Counter[Pair]:
        """Returns the units of one kind by pair, summed over all gateways and incarnations."""
        found: Counter[Pair] = Counter()
        for (giver, taker, row_kind, *_), units in self._units.items():
            if row_kind == kind:
                found[giver, taker] += units
        return found

    def owed(self) -> Counter[Pair]:
        """Returns the units that both partners report, by pair, without subtracting payments."""
        given = self.totals(CounterKind.GIVEN)
        received = self.totals(CounterKind.RECEIVED)
        agreed = {pair: min(units, received[pair]) for pair, units in given.items()}
        return Counter({pair: units for pair, units in agreed.items() if units})

    def disputed(self) -> dict[Pair, int]:
        """Returns the units that the giver reports beyond the taker's count, by pair; negative if fewer."""
        given = self.totals(CounterKind.GIVEN)
        received = self.totals(CounterKind.RECEIVED)
        differences = {pair: given[pair] - received[pair] for pair in sorted(given.keys() | received.keys())}
        return {pair: units for pair, units in differences.items() if units}

    def balances(self) -> dict[int, int]:
        """Returns each partner's units given minus received, after payments; the sum over all is 0."""
        found: Counter[int] = Counter()
        for (giver, taker), units in self.owed().items():
            found[giver] += units
            found[taker] -= units
        for (giver, taker), units in self.totals(CounterKind.PAID).items():
            found[giver] -= units
            found[taker] += units
        return dict(found)

    def net_debt(self, giver: int, taker: int) -> int:
        """Returns the units that the taker owes the giver, minus those that the giver owes the taker."""
        owed = self.owed()
        paid = self.totals(CounterKind.PAID)
        return owed[giver, taker] - paid[giver, taker] - owed[taker, giver] + paid[taker, giver]

    def __len__(self) -> int:
        return len(self._units)


_decoder: msgspec.msgpack.Decoder[list[CounterRow]] = msgspec.msgpack.Decoder(list[CounterRow])


def encode(rows: Iterable[CounterRow]) -> list[bytes]:
    """Encodes rows in chunks of at most CHUNK_BYTES_MAX bytes, one for each datagram."""
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
    """Decodes the rows of a chunk.

    Raises:
        CounterDecodeError: The bytes are not a chunk.
    """
    try:
        return _decoder.decode(chunk)
    except (msgspec.DecodeError, ValueError) as error:
        raise CounterDecodeError(str(error)) from None
