"""What worlds and real processes share where heads keep records: clients that rely on heads' memory, what
befalls disks, and a judge of numbers."""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.segments import read_segment
from gorsethread.fakes.client import LoadClient
from gorsethread.nvme.command import Status


class Forgetful(LoadClient):
    """Names no shard, so where an extent belongs is known to heads alone. denied: told of each read of what
    it wrote that was answered as never written."""

    denied: Callable[[int, int], None]

    def answered(self, one: Any, how: str, completion: Any, data: bytes) -> None:
        if completion is not None and completion.status == Status.UNWRITTEN_BLOCK:
            blocks = range(one.request.first_block, one.request.first_block + one.request.blocks)
            if any((one.request.volume.number, block) in self.acknowledged for block in blocks):
                self.denied(
                    one.request.volume.number, one.request.first_block // one.request.volume.extent_blocks
                )
        super().answered(one, how, completion, data)
        self.shards.clear()


class Numbers:
    """No number of a head's may ever say two things, on whatever disk it stands."""

    def __init__(self) -> None:
        self._said: dict[tuple[int, int, int], Any] = {}  # as many as records were ever seen

    def take(self, segment: bytes) -> list[tuple[int, int, int]]:
        """Head, life and place of each number of this segment that said something else before."""
        found = read_segment(segment)
        if found is None:
            return []
        keyed = [((found.header.gateway, *r.number), r.fact) for r in found.records]
        return [key for key, fact in keyed if self._said.setdefault(key, fact) != fact]


def rot(data: bytes) -> bytes:
    """The middle half is gone."""
    half = len(data) // 2
    begin = half // 2
    return data[:begin] + bytes(half) + data[begin + half :]
