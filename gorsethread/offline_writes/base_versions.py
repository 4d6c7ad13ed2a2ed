"""What blocks held as the branch last saw them: the main site tells by it whether they changed since."""

from collections import OrderedDict

import xxhash

MAX_BLOCKS = 1 << 16  # remembered; those seen longest ago are forgotten first
DIGEST_BYTES = 8


def block_digests(data: bytes, block_bytes: int) -> list[int]:
    """A digest of each block."""
    return [
        xxhash.xxh3_64_intdigest(data[start : start + block_bytes])
        for start in range(0, len(data), block_bytes)
    ]


def combined_version(digests: list[int]) -> int:
    """The version of several blocks in a row; never 0."""
    joined = b"".join(digest.to_bytes(DIGEST_BYTES, "little") for digest in digests)
    return xxhash.xxh3_64_intdigest(joined) or 1


class BaseVersions:
    """Owns the digests of the blocks that this gateway saw last; MAX_BLOCKS bounds them."""

    def __init__(self, block_bytes: int) -> None:
        self._block_bytes = block_bytes
        self._seen: OrderedDict[tuple[int, int], int] = OrderedDict()

    def observe(self, volume: int, block: int, data: bytes) -> None:
        """The blocks from that one on hold the data."""
        for number, digest in enumerate(block_digests(data, self._block_bytes), block):
            self._seen[volume, number] = digest
            self._seen.move_to_end((volume, number))
        while len(self._seen) > MAX_BLOCKS:
            self._seen.popitem(last=False)

    def forget(self, volume: int, block: int, blocks: int) -> None:
        """The bytes that were taken for theirs are not there, and may never be."""
        for number in range(block, block + blocks):
            self._seen.pop((volume, number), None)

    def version_of(self, volume: int, block: int, blocks: int) -> int:
        """The version of a range; 0 where not all of its blocks were seen."""
        digests = [self._seen.get((volume, number)) for number in range(block, block + blocks)]
        known = [digest for digest in digests if digest is not None]
        return combined_version(known) if len(known) == blocks else 0
