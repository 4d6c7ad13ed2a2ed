"""What simulations and trials with real processes share where gateways keep a durable log."""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.segments import read_segment
from gorsethread.fakes.client import LoadClient
from gorsethread.nvme.command import Status


class ShardForgettingClient(LoadClient):
    """A client that never names a shard, so that only the gateways know where an extent is placed.

    Attributes:
        on_write_forgotten: Called with volume and extent for each read of acknowledged data that was answered
            as never written.
    """

    on_write_forgotten: Callable[[int, int], None]

    def answered(self, attempt: Any, how: str, completion: Any, data: bytes) -> None:
        request = attempt.request
        if completion is not None and completion.status == Status.UNWRITTEN_BLOCK:
            blocks = range(request.first_block, request.first_block + request.blocks)
            if any((request.volume.number, block) in self.acknowledged for block in blocks):
                self.on_write_forgotten(
                    request.volume.number, request.first_block // request.volume.extent_blocks
                )
        super().answered(attempt, how, completion, data)
        self.shards.clear()


class RecordNumberChecker:
    """Checks that a gateway never uses a record number for two different facts, whichever disk holds them."""

    def __init__(self) -> None:
        # The fact of each number, by gateway, incarnation and position; one entry per record ever seen.
        self._facts: dict[tuple[int, int, int], Any] = {}

    def reused_numbers(self, segment: bytes) -> list[tuple[int, int, int]]:
        """Returns gateway, incarnation and position of each number of the segment that had another fact
        before."""
        found = read_segment(segment)
        if found is None:
            return []
        facts = [((found.header.gateway, *record.number), record.fact) for record in found.records]
        return [key for key, fact in facts if self._facts.setdefault(key, fact) != fact]


def zero_middle_half(data: bytes) -> bytes:
    """Returns the data with the half of its bytes that lies in the middle set to zero."""
    half = len(data) // 2
    begin = half // 2
    return data[:begin] + bytes(half) + data[begin + half :]
