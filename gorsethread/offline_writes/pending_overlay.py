"""What queued writes hold, block by block: whose bytes a read at the branch sees."""

from collections.abc import Iterable
from typing import NamedTuple

from gorsethread.offline_writes.writes import WriteNumber


class PendingData(NamedTuple):
    """The data of one queued write, and the writes that come before it."""

    volume: int
    block: int
    blocks: int
    data: bytes
    dependencies: frozenset[WriteNumber]


class PendingWriteOverlay:
    """Owns the data of the writes that were added; `remove` empties it. The queues bound it."""

    def __init__(self, block_bytes: int) -> None:
        self._block_bytes = block_bytes
        self._writes: dict[WriteNumber, PendingData] = {}
        self._blocks: dict[tuple[int, int], list[WriteNumber]] = {}  # in order

    def add(
        self,
        number: WriteNumber,
        volume: int,
        block: int,
        data: bytes,
        dependencies: Iterable[WriteNumber],
    ) -> None:
        """Shows a write; one that is heard of late is put before those that depend on it."""
        if number in self._writes:
            return
        blocks = len(data) // self._block_bytes
        self._writes[number] = PendingData(volume, block, blocks, data, frozenset(dependencies))
        for block_number in range(block, block + blocks):
            order = self._blocks.setdefault((volume, block_number), [])
            index = next(
                (index for index, other in enumerate(order) if number in self._writes[other].dependencies),
                len(order),
            )
            order.insert(index, number)

    def remove(self, number: WriteNumber) -> None:
        """Shows a write no more."""
        removed = self._writes.pop(number, None)
        if removed is None:
            return
        for block_number in range(removed.block, removed.block + removed.blocks):
            order = self._blocks[removed.volume, block_number]
            order.remove(number)
            if not order:
                del self._blocks[removed.volume, block_number]

    def latest_writes(self, volume: int, block: int, blocks: int) -> list[WriteNumber | None]:
        """For each block the last queued write of it."""
        orders = self._blocks
        if not orders:
            return [None] * blocks
        places = [(volume, number) for number in range(block, block + blocks)]
        return [orders[place][-1] if place in orders else None for place in places]

    def block_data(self, number: WriteNumber, block: int) -> bytes:
        """The bytes that a write holds for one of its blocks."""
        pending = self._writes[number]
        start = (block - pending.block) * self._block_bytes
        return pending.data[start : start + self._block_bytes]

    def numbers(self) -> set[WriteNumber]:
        """The writes that are shown."""
        return set(self._writes)

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._writes
