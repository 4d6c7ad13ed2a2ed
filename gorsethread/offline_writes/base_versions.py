"""What blocks held as the branch last saw them: by that the main site tells whether they changed since."""

from collections import OrderedDict

import xxhash

BLOCKS_MOST = 1 << 16  # remembered; those seen longest ago are forgotten first


def digests(data: bytes, block_bytes: int) -> list[int]:
    return [xxhash.xxh3_64_intdigest(data[at : at + block_bytes]) for at in range(0, len(data), block_bytes)]


def base_of(parts: list[int]) -> int:
    """Of several blocks in a row; never 0."""
    return xxhash.xxh3_64_intdigest(b"".join(p.to_bytes(8, "little") for p in parts)) or 1


class Bases:
    def __init__(self, block_bytes: int) -> None:
        self.block_bytes = block_bytes
        self._seen: OrderedDict[tuple[int, int], int] = OrderedDict()

    def saw(self, volume: int, block: int, data: bytes) -> None:
        for n, digest in enumerate(digests(data, self.block_bytes), block):
            self._seen[volume, n] = digest
            self._seen.move_to_end((volume, n))
        while len(self._seen) > BLOCKS_MOST:
            self._seen.popitem(last=False)

    def forget(self, volume: int, block: int, blocks: int) -> None:
        """What was taken for their bytes is not there, and may never be."""
        for n in range(block, block + blocks):
            self._seen.pop((volume, n), None)

    def of(self, volume: int, block: int, blocks: int) -> int:
        """0: not all of them were seen."""
        parts = [self._seen.get((volume, n)) for n in range(block, block + blocks)]
        known = [p for p in parts if p is not None]
        return base_of(known) if len(known) == blocks else 0
