"""Overlays the data of queued writes on the volumes, so that reads at the branch return it."""

from collections.abc import Iterable
from typing import NamedTuple

from gorsethread.offline_writes.writes import WriteNumber


class PendingData(NamedTuple):
    """The data of one queued write, and the writes that must be applied before it."""

    volume: int
    block: int
    blocks: int
    data: bytes
    dependencies: frozenset[WriteNumber]


class PendingWriteOverlay:
    """Owns the data of the writes added and not yet removed; the limits of the write queues bound it."""

    def __init__(self, block_bytes: int) -> None:
        self._block_bytes = block_bytes
        self._writes: dict[WriteNumber, PendingData] = {}
        self._blocks: dict[tuple[int, int], list[WriteNumber]] = {}  # in order of application

    def add(
        self,
        number: WriteNumber,
        volume: int,
        block: int,
        data: bytes,
        dependencies: Iterable[WriteNumber],
    ) -> None:
        """Adds a write, before any already added write that depends on it, otherwise as the latest."""
        if number in self._writes:
            return
        blocks = len(data) // self._block_bytes
        self._writes[number] = PendingData(volume, block, blocks, data, frozenset(dependencies))
        for block_number in range(block, block + blocks):
            writes = self._blocks.setdefault((volume, block_number), [])
            index = next(
                (index for index, later in enumerate(writes) if number in self._writes[later].dependencies),
                len(writes),
            )
            writes.insert(index, number)

    def remove(self, number: WriteNumber) -> None:
        """Removes a write if it is here."""
        removed = self._writes.pop(number, None)
        if removed is None:
            return
        for block_number in range(removed.block, removed.block + removed.blocks):
            writes = self._blocks[removed.volume, block_number]
            writes.remove(number)
            if not writes:
                del self._blocks[removed.volume, block_number]

    def latest_writes(self, volume: int, block: int, blocks: int) -> list[WriteNumber | None]:
        """Returns the latest queued write of each block, None for a block without one."""
        writes = self._blocks
        if not writes:
            return [None] * blocks
        keys = [(volume, block_number) for block_number in range(block, block + blocks)]
        return [writes[key][-1] if key in writes else None for key in keys]

    def block_data(self, number: WriteNumber, block: int) -> bytes:
        """Returns the data of a write for one of its blocks."""
        pending = self._writes[number]
        start = (block - pending.block) * self._block_bytes
        return pending.data[start : start + self._block_bytes]

    def numbers(self) -> set[WriteNumber]:
        """Returns the numbers of the writes that are here."""
        return set(self._writes)

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._writes
