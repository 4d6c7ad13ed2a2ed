"""Crowds of clients on raw sockets, and the memory of the gateway's process meanwhile."""

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path

from tests.crossing.rig import HOST
from tests.live import request_bytes

READ_BYTES = 65_536
SAMPLE_SECONDS = 0.02
KIBIBYTE = 1_024  # bytes
VOLUME = b"00000003b4d60021"  # the volume that request_bytes() names
SHARD_WITHOUT_BACKEND = 1
FLOOD_BATCH = 64  # requests of one write

FirstBytes = Callable[[int], bytes]


def private_bytes(process: int) -> int:
    """Returns the memory that belongs to a process alone."""
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * KIBIBYTE
    return 0  # it has ended


class MemorySampler:
    """The most private memory of a process while the context is open."""

    def __init__(self, process: int) -> None:
        self._process = process
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self.peak = 0

    def _sample(self) -> None:
        while not self._ended.wait(SAMPLE_SECONDS):
            with contextlib.suppress(OSError):
                self.peak = max(self.peak, private_bytes(self._process))

    def __enter__(self) -> "MemorySampler":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._ended.set()
        self._thread.join()


class CrowdMember:
    """One connection of a crowd: sends its bytes as fast as the gateway reads, then stays and reads."""

    def __init__(self, port: int, data: bytes) -> None:
        self.socket = socket.create_connection((HOST, port), 2.0)
        self.socket.setblocking(False)
        self._unsent = memoryview(data)

    def go_on(self) -> None:
        """Sends and reads what can be sent and read now.

        Raises OSError if the connection has ended.
        """
        if self._unsent:
            with contextlib.suppress(BlockingIOError):
                self._unsent = self._unsent[self.socket.send(self._unsent) :]
        with contextlib.suppress(BlockingIOError):
            if not self.socket.recv(READ_BYTES):
                raise ConnectionResetError("the gateway ended the connection")


def play_crowd(port: int, size: int, seconds: float, first_bytes: FirstBytes) -> int:
    """Keeps that many connections open and opens each again when it has ended; returns how many were made.

    first_bytes(number) returns what a connection sends.
    """
    members: list[CrowdMember] = []
    made = 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        while len(members) < size and time.monotonic() < until:
            made += 1
            try:
                members.append(CrowdMember(port, first_bytes(made)))
            except OSError:
                break
        remaining = []
        for member in members:
            try:
                member.go_on()
                remaining.append(member)
            except OSError:
                member.socket.close()
        members = remaining
        time.sleep(0.005)
    for member in members:
        member.socket.close()
    return made


def play_flood(port: int, seconds: float, request: FirstBytes) -> int:
    """Sends requests on one connection at full speed, on new ones as it ends; returns how many."""
    until = time.monotonic() + seconds
    sent = 0
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection((HOST, port), 2.0) as connection:
            connection.settimeout(0.5)
            threading.Thread(target=_read_to_end, args=(connection,), daemon=True).start()
            while time.monotonic() < until:
                connection.sendall(b"".join(request(sent + n + 1) for n in range(FLOOD_BATCH)))
                sent += FLOOD_BATCH
    return sent


def _read_to_end(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while connection.recv(READ_BYTES):
            pass


class UsualClient:
    """Sends one request after the other on one connection, in a thread, while the context is open.

    Attributes:
        statuses: How often each status came; 0 stands for no answer.
        slowest: Seconds from a request to its answer, at most.
    """

    def __init__(self, port: int, pause: float = 0.02, timeout: float = 0.9) -> None:
        self._port, self._pause, self._timeout = port, pause, timeout
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._send_requests, daemon=True)
        self._number = random.randrange(1 << 40, 1 << 60)
        self.statuses: dict[int, int] = {}
        self.slowest = 0.0

    def __enter__(self) -> "UsualClient":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._ended.set()
        self._thread.join()

    def _send_requests(self) -> None:
        connection: socket.socket | None = None
        while not self._ended.wait(self._pause):
            self._number += 1
            began = time.monotonic()
            status = 0
            with contextlib.suppress(OSError):
                if connection is None:
                    connection = socket.create_connection((HOST, self._port), 2.0)
                connection.settimeout(2.0)
                connection.sendall(request_bytes(f"{self._number:x}", timeout_ms=int(self._timeout * 1000)))
                answer = connection.recv(READ_BYTES)
                status = int(answer.split(b" ")[1]) if answer else 0
            if not status and connection is not None:
                connection.close()
                connection = None
            self.slowest = max(self.slowest, time.monotonic() - began)
            self.statuses[status] = self.statuses.get(status, 0) + 1
        if connection is not None:
            connection.close()


# ---- what the connections of a crowd send


def nothing(number: int) -> bytes:
    """Returns nothing: the client only connects."""
    return b""


def unfinished_write(number: int) -> bytes:
    """Returns a write of 60 kB without its last byte."""
    return request_bytes(f"{number:x}", "post", SHARD_WITHOUT_BACKEND, 2000, b"x" * 60_000)[:-1]


def waiting_write(number: int) -> bytes:
    """Returns a complete write of 60 kB that waits for a backend until its deadline."""
    return unfinished_write(number) + b"x"


def short_header_lines(number: int) -> bytes:
    """Returns an unfinished header section of as many lines as are allowed."""
    return b"GET /read/1 HTTP/1.1\r\nHost: a\r\n" + b"a:\n" * 95


def too_many_header_lines(number: int) -> bytes:
    """Returns a header section of 3,900 lines."""
    return b"GET /read/1 HTTP/1.1\r\nHost: a\r\n" + b"a:\n" * 3_900


def long_header_lines(number: int) -> bytes:
    """Returns an unfinished header section of 15 kB."""
    lines = b"".join(b"a%d: %s\r\n" % (line, b"v" * 160) for line in range(90))
    return b"PUT /read/1 HTTP/1.1\r\nHost: a\r\n" + lines


def unreadable_header_lines(number: int) -> bytes:
    """Returns a header section of 15 kB whose last line can't be read."""
    return long_header_lines(number) + b"no header\r\n\r\n"


def many_chunks(number: int) -> bytes:
    """Returns an unfinished body of 4,000 chunks of one byte."""
    begin = b"PUT /post/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    return begin + b"1\r\nx\r\n" * 4_000


def writes_sent_ahead(number: int) -> bytes:
    """Returns a request that waits, and 240 kB of writes behind it."""
    first = request_bytes(f"{number:x}", shard=SHARD_WITHOUT_BACKEND, timeout_ms=2000)
    return first + waiting_write(number + (1 << 40)) * 4


def reads_sent_ahead(number: int) -> bytes:
    """Returns 800 reads, of which the first waits."""
    ids = range(number << 12, (number << 12) + 800)
    return b"".join(request_bytes(f"{id:x}", shard=SHARD_WITHOUT_BACKEND, timeout_ms=2000) for id in ids)


KINDS = (nothing, unfinished_write, short_header_lines, too_many_header_lines, long_header_lines)


def all_kinds(number: int) -> bytes:
    """Returns what a crowd of several kinds of clients sends, in turn."""
    return KINDS[number % len(KINDS)](number)


# ---- what one client sends at full speed


def new_volume(number: int) -> bytes:
    """Returns a request under a volume of its own, for a shard without a backend."""
    request = request_bytes(f"{number:x}", shard=SHARD_WITHOUT_BACKEND, timeout_ms=1)
    return request.replace(VOLUME, b"%016x" % number)


def new_served_volume(number: int) -> bytes:
    """Returns a request under a volume of its own that a backend serves."""
    return request_bytes(f"{number:x}", timeout_ms=500).replace(VOLUME, b"%016x" % number)


def unknown_class(number: int) -> bytes:
    """Returns a request of a class that does not exist."""
    return request_bytes(f"{number:x}").replace(b"/read/", b"/none%d/" % number)
