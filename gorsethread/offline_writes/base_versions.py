"""Remembers digests of the blocks a branch last saw, by which the main site detects conflicting changes."""

from collections import OrderedDict

import xxhash

MAX_BLOCKS = 1 << 16  # remembered; the least recently seen are forgotten first
DIGEST_BYTES = 8


def block_digests(data: bytes, block_bytes: int) -> list[int]:
    """Returns a digest for each block of the data."""
    return [
        xxhash.xxh3_64_intdigest(data[start : start + block_bytes])
        for start in range(0, len(data), block_bytes)
    ]


def combined_version(digests: list[int]) -> int:
    """Returns the version of consecutive blocks with these digests; never 0, which stands for unknown."""
    joined = b"".join(digest.to_bytes(DIGEST_BYTES, "little") for digest in digests)
    return xxhash.xxh3_64_intdigest(joined) or 1


class BaseVersions:
    """Owns the digests of the blocks that this gateway saw last, at most MAX_BLOCKS."""

    def __init__(self, block_bytes: int) -> None:
        self._block_bytes = block_bytes
        self._digests: OrderedDict[tuple[int, int], int] = OrderedDict()

    def observe(self, volume: int, block: int, data: bytes) -> None:
        """Remembers that the blocks starting at `block` hold the data."""
        for number, digest in enumerate(block_digests(data, self._block_bytes), block):
            self._digests[volume, number] = digest
            self._digests.move_to_end((volume, number))
        while len(self._digests) > MAX_BLOCKS:
            self._digests.popitem(last=False)

    def forget(self, volume: int, block: int, blocks: int) -> None:
        """Forgets blocks whose remembered data is not at the main site and may never get there."""
        for number in range(block, block + blocks):
            self._digests.pop((volume, number), None)

    def version_of(self, volume: int, block: int, blocks: int) -> int:
        """Returns the version of a range of blocks; 0 if not all of them are remembered."""
        digests = [self._digests.get((volume, number)) for number in range(block, block + blocks)]
        known = [digest for digest in digests if digest is not None]
        return combined_version(known) if len(known) == blocks else 0
