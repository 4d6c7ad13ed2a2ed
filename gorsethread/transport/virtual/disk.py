"""The files of all simulated processes, and disks that fail or are slow."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gorsethread.transport.virtual.process import VirtualTransport


class Disk:
    """The files of all simulated processes; they remain when a process is killed.

    Attributes:
        files: Contents by path.
        broken: Names of the processes that can't write now.
        slow: Seconds by which each flush of a process takes longer, by its name.
        locks: The process that holds a lock, by path; a process that has ended holds it no more.
    """

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.broken: set[str] = set()
        self.slow: dict[str, float] = {}
        self.locks: dict[str, VirtualTransport] = {}


class VirtualRandomAccessFile:
    """A simulated file for random access."""

    def __init__(self, file: bytearray) -> None:
        self._file = file

    def read(self, offset: int, length: int) -> bytes:
        return bytes(self._file[offset : offset + length]).ljust(length, b"\0")

    def write(self, offset: int, data: bytes) -> None:
        if len(self._file) < offset + len(data):
            self._file.extend(bytes(offset + len(data) - len(self._file)))
        self._file[offset : offset + len(data)] = data


class VirtualAppendOnlyFile:
    """A simulated append-only file; a write in progress when its process ends is cut at a random byte."""

    def __init__(self, transport: "VirtualTransport", path: str, file: bytearray) -> None:
        self.transport, self.path, self._file = transport, path, file
        self._appending = b""  # of the call of append() in progress
        self._random = transport.random_stream(f"journal {path}")
        self._broken = False

    async def append(self, data: bytes) -> None:
        self._appending = data
        await self.transport.flush(self._random)
        self._appending = b""
        if self._broken or self.transport.name in self.transport.disk.broken:
            if not self._broken:
                self._file.extend(data[: self._random.randrange(len(data) + 1)])
            self._broken = True
            raise OSError(28, "No space left on device", self.path)
        self._file.extend(data)

    def tear_write(self) -> None:
        """Keeps a random part of the write in progress, because the process ends now."""
        self._file.extend(self._appending[: self._random.randrange(len(self._appending) + 1)])
        self._appending = b""

    def close(self) -> None:
        self.transport.append_only_files.pop(self.path, None)
