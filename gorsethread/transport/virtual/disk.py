"""The files of all processes, and disks that fail or are slow."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gorsethread.transport.virtual.process import VirtualTransport


class Disk:
    """The files of all processes, by path; they outlive kills. broken: processes that can't write now; slow:
    by process, seconds that each flush takes more; locks: who holds each, as long as it lives."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.broken: set[str] = set()
        self.slow: dict[str, float] = {}
        self.locks: dict[str, VirtualTransport] = {}


class VirtualBlocks:
    def __init__(self, file: bytearray) -> None:
        self._file = file

    def read(self, offset: int, length: int) -> bytes:
        return bytes(self._file[offset : offset + length]).ljust(length, b"\0")

    def write(self, offset: int, data: bytes) -> None:
        if len(self._file) < offset + len(data):
            self._file.extend(bytes(offset + len(data) - len(self._file)))
        self._file[offset : offset + len(data)] = data


class VirtualJournal:
    """What is being added as its process ends is there up to some byte."""

    def __init__(self, transport: "VirtualTransport", path: str, file: bytearray) -> None:
        self.transport, self.path, self._file = transport, path, file
        self.adding = b""  # on its way to the disk
        self._chance = transport.chance(f"journal {path}")
        self._broken = False

    async def add(self, data: bytes) -> None:
        self.adding = data
        await self.transport.flush(self._chance)
        self.adding = b""
        if self._broken or self.transport.name in self.transport.disk.broken:
            if not self._broken:
                self._file.extend(data[: self._chance.randrange(len(data) + 1)])
            self._broken = True
            raise OSError(28, "No space left on device", self.path)
        self._file.extend(data)

    def torn(self) -> None:
        self._file.extend(self.adding[: self._chance.randrange(len(self.adding) + 1)])
        self.adding = b""

    def close(self) -> None:
        self.transport.journals.pop(self.path, None)
