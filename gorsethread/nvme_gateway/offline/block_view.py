"""What blocks hold as clients of the branch see them: queued writes over what the backends answered."""

from collections.abc import Sequence

from gorsethread.durable_log.records import WriteQueued
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.offline.write_records import dependencies_of
from gorsethread.offline_writes.base_versions import BaseVersions
from gorsethread.offline_writes.pending_overlay import PendingWriteOverlay
from gorsethread.offline_writes.writes import WriteNumber


class BlockView:
    """Owns the overlay of pending writes (as large as the queues) and the base versions (bounded there)."""

    def __init__(self) -> None:
        self._overlay = PendingWriteOverlay(BLOCK)
        self._base_versions = BaseVersions(BLOCK)

    def __contains__(self, number: WriteNumber) -> bool:
        return number in self._overlay

    def numbers(self) -> set[WriteNumber]:
        """The writes whose data is shown."""
        return self._overlay.numbers()

    def show(self, number: WriteNumber, record: WriteQueued) -> None:
        """Clients read the data of a write from now on."""
        self._overlay.add(number, record.volume, record.block, record.data, dependencies_of(record))

    def hide(self, number: WriteNumber, record: WriteQueued) -> None:
        """A write is dead-lettered: its blocks hold what the main site has."""
        self._overlay.remove(number)
        self._base_versions.forget(record.volume, record.block, record.blocks)

    def remove(self, number: WriteNumber) -> None:
        """A write is finished."""
        self._overlay.remove(number)

    def latest_writes(self, volume: int, block: int, blocks: int) -> list[WriteNumber | None]:
        """For each block the last write that is shown."""
        return self._overlay.latest_writes(volume, block, blocks)

    def read(self, writes: Sequence[WriteNumber], first_block: int) -> bytes:
        """The bytes of blocks in a row, each from its latest write."""
        return b"".join(
            self._overlay.block_data(number, block) for block, number in enumerate(writes, first_block)
        )

    def observe(self, volume: int, block: int, data: bytes) -> None:
        """The blocks from that one on hold the data."""
        self._base_versions.observe(volume, block, data)

    def base_version(self, volume: int, block: int, blocks: int) -> int:
        """The version of blocks as they were seen last; 0 where not all were seen."""
        return self._base_versions.version_of(volume, block, blocks)
