"""Stand-ins of the second review: discovery, shelfs, clients and the platform, on loopback.

Standard library only. A script runs its scenario on one asyncio loop; the gateway is a process of its own,
started with the `run` line of the deploy file. Everything that is sent, answered and run goes to record.txt.
"""

import asyncio
import fcntl
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_SECONDS = 30.0  # the pages' longest time for a head to be ready
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes one line for each event, with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")
        self._began = time.monotonic()

    def __call__(self, event: str, **fields: Any) -> None:
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began:9.4f} {event} {words}".rstrip() + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


# ---- HTTP messages


class Message:
    """A complete request or response."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body

    @property
    def status(self) -> int:
        return int(self.start_line.split(" ")[1])

    @property
    def method(self) -> str:
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start_line.split(" ")[1]

    @property
    def id(self) -> str:
        return self.headers.get("req-id", "")


def unacknowledged(writer: asyncio.StreamWriter) -> int:
    """Returns the bytes written to a connection that the other machine has not taken yet."""
    number = writer.get_extra_info("socket").fileno()
    [queued] = struct.unpack("i", fcntl.ioctl(number, termios.TIOCOUTQ, bytes(4)))
    return int(queued) + writer.transport.get_write_buffer_size()


async def write_all(writer: asyncio.StreamWriter, data: bytes) -> float:
    """Writes bytes and returns when the last of them was at the other machine."""
    writer.write(data)
    while unacknowledged(writer):
        await asyncio.sleep(0.001)
    return time.monotonic()


def unread_at(port: int, writer: asyncio.StreamWriter) -> int:
    """Returns the bytes that the process listening at a port has not read yet of a connection."""
    local = writer.get_extra_info("sockname")[1]
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        row = line.split()
        if (int(row[1][-4:], 16), int(row[2][-4:], 16)) == (port, local):
            return int(row[4].split(":")[1], 16)
    return 0


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a Content-Length; raises EOFError or OSError if the connection ends before."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def answer_bytes(status: int, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


def request_bytes(
    id: int,
    request_class: str,
    item: int,
    deadline_ms: int,
    shard: int,
    volume: int = 1,
    units: int = 1,
    body: bytes = b"",
    write: bool = False,
) -> bytes:
    """Returns a client's request in the form of the protocol page."""
    length = f"Content-Length: {len(body)}\r\n" if write else ""
    return (
        f"{'PUT' if write else 'GET'} /{request_class}/{item:016x} HTTP/1.1\r\nHost: origin.svc\r\n"
        f"Req-Id: {id:016x}\r\nTier: plain\r\nReq-Deadline-Ms: {deadline_ms}\r\n{length}"
        f"IO-Info: volume={volume:016x},units={units},shard={shard},hosts=1\r\n\r\n"
    ).encode() + body


# ---- shelfs and discovery


def has_unread(connection: "Connection") -> bool:
    """Returns whether bytes of a connection wait here or in the system, or its end has come."""
    if connection.reader._buffer or connection.reader.at_eof():  # type: ignore[attr-defined]
        return True
    try:
        with socket.socket(fileno=os.dup(connection.writer.get_extra_info("socket").fileno())) as same:
            same.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class Connection:
    """A connection from the gateway to a shelf."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.requests = 0

    def reset(self) -> None:
        """Ends the connection by a reset."""
        if not self.writer.is_closing():
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.writer.transport.abort()


Handler = Callable[["Shelf", Connection, Message], Awaitable[None]]


class Shelf:
    """A shelf: reads one request after the other on each connection and hands it to the handler."""

    def __init__(self, number: int, handler: Handler, record: Record) -> None:
        self.number, self.handler, self.record = number, handler, record
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_message(reader)
                connection.requests += 1
                await self.handler(self, connection, request)
        except (EOFError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def entry(self, lifecycle: str = "ready") -> dict[str, Any]:
        return {
            "instanceId": f"s-{self.number:08x}",
            "hostPort": f"{HOST}:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": self.number,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery:
    """Discovery with a list that does not change: a watch is answered as its wait is over."""

    def __init__(self, shelfs: list[Shelf], record: Record) -> None:
        self.shelfs, self.record, self.port = shelfs, record, 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def list(self, reset: bool) -> dict[str, Any]:
        entries = [shelf.entry() for shelf in self.shelfs] if reset else []
        return {"generation": 1, "reset": reset, "instances": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                target = (await read_message(reader)).target
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
                if int(query.get("since", -1)) == 1:
                    await asyncio.sleep(int(query.get("timeout_ms", 0)) / 1000)
                    answer = self.list(False)
                else:
                    answer = self.list(True)
                writer.write(answer_bytes(200, json.dumps(answer).encode()))
        except (EOFError, OSError):
            pass
        finally:
            writer.close()


# ---- the gateway's process

SETTINGS: dict[str, Any] = {
    "azs": ["a"],
    "balancers": 1,
    "clients": {"marksRetry": True},
    "contract": {"askWithin": 10.0, "cold": 10.0, "coldFrom": 0.25, "fall": 2.0, "stopSendingWithin": 1.0},
    "grades": [{"name": "plain", "baseRate": 50.0, "proportion": 1.0}],
    "index": 0,
    "membershipMode": "subscribe",
    "permissions": {
        "connIdle": 15.0,
        "dialTimeout": 0.25,
        "maxAttempts": 4,
        "maxRetryAfter": 1.0,
        "retryAfter": True,
    },
    "services": [
        {"name": "read", "aim": 0.5, "giveUp": 2.0, "effect": "free", "worth": 2.0},
        {"name": "post", "aim": 0.5, "giveUp": 2.0, "effect": "single_shot", "worth": 3.0},
    ],
    "specifics": {"coldUnits": 40.0, "mostUnits": 8, "shards": 2},
}


class Gateway:
    """One gateway, started with the `run` line of the deploy file."""

    def __init__(self, folder: str, discovery: Discovery, settings: dict[str, Any], **changes: Any) -> None:
        self.port = free_port()
        self._folder = Path(folder)
        self._log = open(self._folder / "gateway.log", "w")
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "5ca1ab1e0ddba11f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": discovery.list(True),
            "settings": settings,
            **changes,
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config))
        line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": folder}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", line], cwd=ROOT, env=env, stdout=self._log, stderr=self._log
        )
        GATEWAYS.append(self)

    async def wait_ready(self) -> None:
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the gateway ended with {self.process.returncode}: {self.log()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                status = (await read_message(reader)).status
                writer.close()
                if status == 200:
                    return
            except (OSError, EOFError):
                await asyncio.sleep(0.05)
        raise CannotRun("the gateway was not ready in time")

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def log(self) -> str:
        return (self._folder / "gateway.log").read_text()

    def stop(self) -> None:
        """Ends the process at once."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


# ---- the case

GATEWAYS: list[Gateway] = []  # started by this script; run_case() ends them


def run_case(main: Callable[[Record, str], Awaitable[bool]], folder: str, limit: float = 110.0) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    main returns whether the rule held.
    """
    record = Record(Path(folder))

    async def limited() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(main(record, temporary), limit)
            finally:
                for gateway in GATEWAYS:
                    gateway.stop()

    try:
        held = asyncio.run(limited())
    except (CannotRun, TimeoutError) as error:
        record.say(f"could not run: {error!r}")
        os._exit(COULD_NOT_RUN)
    except Exception:
        record.say(f"could not run: {traceback.format_exc()}")
        os._exit(COULD_NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(HELD if held else BROKEN)  # streams that are still open need no tidy end
