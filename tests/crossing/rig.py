"""A test rig: one gateway process as `run` starts it, with backends, discovery and clients stepped by hand.

Backends, discovery and clients are plain blocking sockets, so a test determines the order of events. For what
a socket does not show, a test waits for a line of the gateway's log or a state of the system's connection
table. No step waits by a fixed sleep.
"""

import json
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gorsethread.transport.real import free_ports
from tests.live import SETTINGS

STEP_TIMEOUT = 10.0  # seconds after which a step that did not happen fails its test
CONNECTING = "02"  # SYN_SENT in /proc/net/tcp
HOST = "127.0.0.1"
PROGRAM = "import runpy; runpy.run_module('gorsethread.http_gateway', run_name='__main__')"


def wait_until(condition: Callable[[], Any], description: str, timeout: float = STEP_TIMEOUT) -> Any:
    """Polls a condition until it is true and returns its value; fails the test after the timeout."""
    deadline = time.monotonic() + timeout
    while not (found := condition()):
        if time.monotonic() > deadline:
            raise AssertionError(f"never happened: {description}")
        time.sleep(0.002)
    return found


def _connections() -> list[list[str]]:
    """Returns the system's table of TCP connections, as rows of fields."""
    return [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]


def _port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)


def connections_to(port: int, state: str) -> int:
    """Returns how many of this machine's connections to a port are in that state."""
    return sum(_port(row[2]) == port and row[3] == state for row in _connections())


def has_read_all(reader: int, writer: int) -> bool:
    """Returns whether the process at the reader's port has read all that was written at the writer's port."""
    unread = unsent = ""
    for row in _connections():
        send_queue, receive_queue = row[4].split(":")
        if (_port(row[1]), _port(row[2])) == (reader, writer):
            unread = receive_queue
        elif (_port(row[1]), _port(row[2])) == (writer, reader):
            unsent = send_queue
    return unread == unsent == "00000000"


class PeerEnded(Exception):
    """The peer has ended its side of the connection."""


class Peer:
    """One connection that a test reads and writes step by step."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.socket.settimeout(STEP_TIMEOUT)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def _receive(self) -> None:
        data = self.socket.recv(65_536)
        if not data:
            raise PeerEnded
        self.buffer += data

    def message(self) -> "Message":
        """Reads the next complete request or response.

        Raises PeerEnded or ConnectionResetError if the connection ends before.
        """
        while b"\r\n\r\n" not in self.buffer:
            self._receive()
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = [line.partition(":") for line in lines[1:]]
        headers = {name.lower(): value.strip() for name, _, value in fields}
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            self._receive()
            rest = self.buffer.partition(b"\r\n\r\n")[2]
        self.buffer = rest[length:]
        return Message(lines[0], headers, rest[:length])

    def wait_for_end(self) -> bool:
        """Waits for the end of the peer's side; returns False for a reset. Fails the test if data arrives."""
        try:
            data = self.socket.recv(65_536)
        except ConnectionResetError:
            return False
        if data:
            raise AssertionError(f"data instead of the end: {data[:200]!r}")
        return True

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self) -> None:
        self.socket.close()

    @property
    def ports(self) -> tuple[int, int]:
        """The ports of the peer and of this side."""
        return self.socket.getpeername()[1], self.socket.getsockname()[1]


class Message:
    """A complete request or response."""

    def __init__(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        self.start_line, self.headers, self.body = start_line, headers, body

    @property
    def status(self) -> int:
        return int(self.start_line.split(" ")[1])

    @property
    def target(self) -> str:
        return self.start_line.split(" ")[1]


def response_bytes(status: int, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


class Server:
    """A listening socket; accept() returns its connections in order."""

    def __init__(self, test: unittest.TestCase, backlog: int = 128) -> None:
        self.socket = socket.socket()
        test.addCleanup(self.socket.close)
        self.socket.bind((HOST, 0))
        self.socket.listen(backlog)
        self.socket.settimeout(STEP_TIMEOUT)
        self.port: int = self.socket.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self._test = test
        self.peers: list[Peer] = []  # returned by accept(), until next_request() finds them ended

    def accept(self, timeout: float = STEP_TIMEOUT) -> Peer:
        self.socket.settimeout(timeout)
        connection, _ = self.socket.accept()
        self._test.addCleanup(connection.close)
        self.peers.append(Peer(connection))
        return self.peers[-1]

    def next_request(self, timeout: float = STEP_TIMEOUT) -> tuple[Peer, "Message"]:
        """Returns the next request on any connection, open or new, and the connection."""
        deadline = time.monotonic() + timeout
        while True:
            self.peers = [peer for peer in self.peers if peer.socket.fileno() >= 0]
            sockets = [self.socket, *(peer.socket for peer in self.peers)]
            ready, _, _ = select.select(sockets, [], [], max(0.0, deadline - time.monotonic()))
            if not ready:
                raise TimeoutError("no request arrived")
            if self.socket in ready:
                self.accept()
                continue
            peer = next(peer for peer in self.peers if peer.socket in ready)
            try:
                return peer, peer.message()
            except (PeerEnded, ConnectionResetError):
                self.peers.remove(peer)

    def gets_no_connection(self, seconds: float) -> bool:
        try:
            self.accept(seconds)
        except TimeoutError:
            return True
        return False


class SlowAcceptServer(Server):
    """A backend whose backlog is full, so that connections are established only after accept_late()."""

    def __init__(self, test: unittest.TestCase) -> None:
        super().__init__(test, backlog=0)
        self._fillers: list[socket.socket] = []
        # The system accepts one connection more than the backlog and leaves further SYNs unanswered.
        filler = socket.create_connection((HOST, self.port), STEP_TIMEOUT)
        test.addCleanup(filler.close)

    def wait_for_connecting(self) -> None:
        """Waits until the gateway tries to connect, which does not succeed yet."""
        wait_until(lambda: connections_to(self.port, CONNECTING), "a connection that is not established yet")

    def accept_late(self) -> Peer:
        """Empties the backlog; the gateway's connection is established when its system retries the SYN."""
        self.accept().close()
        return self.accept()


class Discovery(Server):
    """Answers calls for the complete list at once and watches when the list changes; records the targets."""

    def __init__(self, test: unittest.TestCase, instances: list[dict[str, Any]], generation: int = 1) -> None:
        super().__init__(test)
        self.generation, self.instances = generation, instances
        self.targets: list[str] = []
        self._changes: list[tuple[int, list[dict[str, Any]]]] = []
        self._changed = threading.Condition()
        threading.Thread(target=self._serve, daemon=True).start()

    def publish(self, *instances: dict[str, Any]) -> None:
        with self._changed:
            self.generation += 1
            self._changes.append((self.generation, list(instances)))
            changed = {entry["instanceId"] for entry in instances}
            self.instances = [entry for entry in self.instances if entry["instanceId"] not in changed]
            self.instances += [entry for entry in instances if entry["lifecycle"] != "gone"]
            self._changed.notify_all()

    def _serve(self) -> None:
        while True:
            try:
                self.socket.settimeout(None)
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.settimeout(None)
            threading.Thread(target=self._answer_all, args=(connection,), daemon=True).start()

    def _answer_all(self, connection: socket.socket) -> None:
        peer = Peer(connection)
        connection.settimeout(None)
        try:
            while True:
                target = peer.message().target
                self.targets.append(target)
                peer.send(response_bytes(200, json.dumps(self._answer(target)).encode()))
        except (PeerEnded, OSError):
            connection.close()

    def _answer(self, target: str) -> dict[str, Any]:
        with self._changed:
            if "since=" not in target:
                return {"generation": self.generation, "reset": True, "instances": self.instances}
            query = dict(part.split("=") for part in target.partition("?")[2].split("&"))
            since = int(query["since"])
            self._changed.wait_for(lambda: self.generation > since, int(query["timeout_ms"]) / 1000)
            changes = [entry for version, some in self._changes if version > since for entry in some]
            return {"generation": self.generation, "reset": False, "instances": changes}


class GatewayProcess:
    """The gateway's process and its log."""

    def __init__(
        self,
        test: unittest.TestCase,
        config: dict[str, Any],
        prelude: str = "",
        wait_until_serving: bool = True,
    ) -> None:
        """Starts the process; prelude is code that it runs before the gateway's program."""
        folder = test.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "config.json"
        self.port = int(config["listen"].rpartition(":")[2])
        self.configure(config)
        self.process = subprocess.Popen(
            [sys.executable, "-c", f"{prelude}\n{PROGRAM}"],
            text=True,
            stderr=subprocess.PIPE,
            env={"GW_CONFIG": str(self.path)},
        )
        test.addCleanup(self._end)
        self._lines: list[str] = []
        self._line_read = threading.Condition()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        if wait_until_serving:
            self.wait_for_log("gateway serves")

    def configure(self, config: dict[str, Any]) -> None:
        self.path.write_text(json.dumps(config))

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._line_read:
                self._lines.append(line)
                self._line_read.notify_all()

    def _end(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()
        self._reader.join(STEP_TIMEOUT)
        assert self.process.stderr is not None
        self.process.stderr.close()

    def wait_for_log(self, *texts: str, count: int = 1) -> None:
        """Waits until that many lines of the log contain all of the texts."""
        with self._line_read:
            found = self._line_read.wait_for(
                lambda: sum(all(text in line for text in texts) for line in self._lines) >= count,
                STEP_TIMEOUT,
            )
        if not found:
            raise AssertionError(f"never logged: {texts}: {''.join(self._lines)}")

    def _read_rest(self) -> None:
        """Waits until the whole log of a process that has ended is read."""
        if self.process.poll() is not None:
            self._reader.join(STEP_TIMEOUT)

    def log_lines(self, *texts: str) -> list[str]:
        """Returns the log lines that contain all of the texts; all of the log once the process has ended."""
        self._read_rest()
        with self._line_read:
            return [line for line in self._lines if all(text in line for text in texts)]

    def log_positions(self, *texts: str) -> list[int]:
        """Returns the positions of the log lines that contain all of the texts."""
        self._read_rest()
        with self._line_read:
            return [n for n, line in enumerate(self._lines) if all(text in line for text in texts)]

    def send_signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)


class ProcessTest(unittest.TestCase):
    """start() runs a gateway whose list has backends[0] for shard 0 and backends[1] for shard 1."""

    def instance(self, number: int, server: Server, state: str = "ready") -> dict[str, Any]:
        return {
            "instanceId": f"s-{number}",
            "hostPort": server.address,
            "zone": "east",
            "machineType": "m",
            "cell": number,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def config(self, discovery: Server, instances: list[dict[str, Any]], **settings: Any) -> dict[str, Any]:
        """Returns a configuration; each given part of the settings is merged with the default part."""
        merged = {
            name: {**SETTINGS[name], **settings[name]}
            if isinstance(settings.get(name), dict)
            else settings.get(name, SETTINGS[name])
            for name in {*SETTINGS, *settings}
        }
        return {
            "name": "n0",
            "listen": f"{HOST}:{free_ports(1)[0]}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": merged,
            "known": {"generation": 1, "reset": True, "instances": instances},
        }

    def start(
        self, first: Server, second: Server | None = None, prelude: str = "", **settings: Any
    ) -> GatewayProcess:
        self.backends = [first, second or Server(self)]
        instances = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        self.discovery = Discovery(self, instances)
        self.configuration = self.config(self.discovery, instances, **settings)
        self.gateway = GatewayProcess(self, self.configuration, prelude)
        self.gateway.wait_for_log("endpoint list watch begins")
        return self.gateway

    def client(self, receive_buffer: int = 0) -> Peer:
        connection = socket.socket()
        self.addCleanup(connection.close)
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(STEP_TIMEOUT)
        connection.connect((HOST, self.gateway.port))
        return Peer(connection)

    def connect_and_send(self, data: bytes) -> Peer:
        """Returns a new client's connection after sending the bytes on it."""
        client = self.client()
        client.send(data)
        return client
