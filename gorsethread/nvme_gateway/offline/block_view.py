"""The contents of blocks as clients of the branch see them: queued writes on top of backend data."""

from collections.abc import Sequence

from gorsethread.durable_log.records import WriteQueued
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.offline.write_records import dependencies_of
from gorsethread.offline_writes.base_versions import BaseVersions
from gorsethread.offline_writes.pending_overlay import PendingWriteOverlay
from gorsethread.offline_writes.writes import WriteNumber


class BlockView:
    """Owns the pending-write overlay, bounded by the queue limits, and the base versions, bounded there."""

    def __init__(self) -> None:
        self._overlay = PendingWriteOverlay(BLOCK)
        self._base_versions = BaseVersions(BLOCK)

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._overlay

    def numbers(self) -> set[WriteNumber]:
        """Returns the writes whose data reads return."""
        return self._overlay.numbers()

    def show(self, number: WriteNumber, record: WriteQueued) -> None:
        """Makes reads return the data of a write."""
        self._overlay.add(number, record.volume, record.block, record.data, dependencies_of(record))

    def hide(self, number: WriteNumber, record: WriteQueued) -> None:
        """Stops showing a dead-lettered write; its blocks hold what the main site has."""
        self._overlay.remove(number)
        self._base_versions.forget(record.volume, record.block, record.blocks)

    def remove(self, number: WriteNumber) -> None:
        """Removes a write that is finished."""
        self._overlay.remove(number)

    def latest_writes(self, volume: int, block: int, blocks: int) -> list[WriteNumber | None]:
        """Returns the latest shown write of each block, None for a block without one."""
        return self._overlay.latest_writes(volume, block, blocks)

    def read(self, writes: Sequence[WriteNumber], first_block: int) -> bytes:
        """Returns the data of consecutive blocks, given the latest write of each."""
        return b"".join(
            self._overlay.block_data(number, block) for block, number in enumerate(writes, first_block)
        )

    def observe(self, volume: int, block: int, data: bytes) -> None:
        """Remembers that the blocks starting at `block` hold the data."""
        self._base_versions.observe(volume, block, data)

    def base_version(self, volume: int, block: int, blocks: int) -> int:
        """Returns the version of the blocks as last seen; 0 if not all of them are remembered."""
        return self._base_versions.version_of(volume, block, blocks)
