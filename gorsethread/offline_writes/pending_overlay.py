"""What queued writes hold, block by block: whose bytes a read at the branch sees. Pure."""

from collections.abc import Iterable
from typing import NamedTuple

from gorsethread.offline_writes.writes import WriteNumber


class Bytes(NamedTuple):
    volume: int
    block: int
    blocks: int
    data: bytes
    after: frozenset[WriteNumber]


class Shadow:
    """block_bytes: of one block. As large as the queues it shows."""

    def __init__(self, block_bytes: int) -> None:
        self.block_bytes = block_bytes
        self._writes: dict[WriteNumber, Bytes] = {}
        self._blocks: dict[tuple[int, int], list[WriteNumber]] = {}  # in order; emptied as writes go

    def add(
        self, number: WriteNumber, volume: int, block: int, data: bytes, after: Iterable[WriteNumber]
    ) -> None:
        """after: writes that come before it; one of these that is heard of late is put before it."""
        if number in self._writes:
            return
        blocks = len(data) // self.block_bytes
        self._writes[number] = Bytes(volume, block, blocks, data, frozenset(after))
        for n in range(block, block + blocks):
            line = self._blocks.setdefault((volume, n), [])
            at = next((k for k, other in enumerate(line) if number in self._writes[other].after), len(line))
            line.insert(at, number)

    def remove(self, number: WriteNumber) -> None:
        gone = self._writes.pop(number, None)
        if gone is None:
            return
        for n in range(gone.block, gone.block + gone.blocks):
            line = self._blocks[gone.volume, n]
            line.remove(number)
            if not line:
                del self._blocks[gone.volume, n]

    def last(self, volume: int, block: int, blocks: int) -> list[WriteNumber | None]:
        """Of each block the last write of it."""
        return [
            line[-1] if (line := self._blocks.get((volume, n))) else None
            for n in range(block, block + blocks)
        ]

    def data(self, number: WriteNumber, block: int) -> bytes:
        w = self._writes[number]
        at = (block - w.block) * self.block_bytes
        return w.data[at : at + self.block_bytes]

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._writes
