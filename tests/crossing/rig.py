"""One gateway process as `run` starts it, between backends, discovery and clients played step by step.

Every party is a plain blocking socket, so that a test says in which order things happen. What it can't see on
a socket it waits for by name: a line of the gateway's log, or a state of the system's connections. Nothing
waits by a sleep.
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

PATIENCE = 10.0  # seconds until a step that does not happen fails its test
CONNECTING = "02"  # SYN_SENT in the system's table of connections
HOST = "127.0.0.1"
PROGRAM = "import runpy; runpy.run_module('gorsethread.http_gateway', run_name='__main__')"


def until(happened: Callable[[], Any], what: str, patience: float = PATIENCE) -> Any:
    """Waits for a state that only a look can show."""
    by = time.monotonic() + patience
    while not (found := happened()):
        if time.monotonic() > by:
            raise AssertionError(f"never happened: {what}")
        time.sleep(0.002)
    return found


def _connections() -> list[list[str]]:
    """The system's table of connections, a row of fields each."""
    return [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]


def _port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)


def connections_to(port: int, state: str) -> int:
    """How many connections of this machine to a port are in that state."""
    return sum(_port(row[2]) == port and row[3] == state for row in _connections())


def has_read_all(reader: int, writer: int) -> bool:
    """Whether the process at one port has read all that was written to it at the other end's."""
    unread = unsent = ""
    for row in _connections():
        sending, received = row[4].split(":")
        if (_port(row[1]), _port(row[2])) == (reader, writer):
            unread = received
        elif (_port(row[1]), _port(row[2])) == (writer, reader):
            unsent = sending
    return unread == unsent == "00000000"


class Ended(Exception):
    """The other side has ended its sending."""


class Peer:
    """One connection, read and written by hand."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.socket.settimeout(PATIENCE)
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def _more(self) -> None:
        data = self.socket.recv(65_536)
        if not data:
            raise Ended
        self.buffer += data

    def message(self) -> "Message":
        """The next request or answer, whole; Ended or ConnectionResetError where it does not come."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        fields = [line.partition(":") for line in lines[1:]]
        headers = {name.lower(): value.strip() for name, _, value in fields}
        length = int(headers.get("content-length", 0))
        while len(rest) < length:
            self._more()
            rest = self.buffer.partition(b"\r\n\r\n")[2]
        self.buffer = rest[length:]
        return Message(lines[0], headers, rest[:length])

    def ends(self) -> bool:
        """Waits for the other side's end: True in order, False by a reset; what comes before is an error."""
        try:
            data = self.socket.recv(65_536)
        except ConnectionResetError:
            return False
        if data:
            raise AssertionError(f"in place of the end: {data[:200]!r}")
        return True

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def close(self) -> None:
        self.socket.close()

    @property
    def ports(self) -> tuple[int, int]:
        """The other side's and this one's."""
        return self.socket.getpeername()[1], self.socket.getsockname()[1]


class Message:
    """A request or an answer."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]


def answer(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class Server:
    """A listening party; accept() gives what connects, in order."""

    def __init__(self, test: unittest.TestCase, backlog: int = 128) -> None:
        self.socket = socket.socket()
        test.addCleanup(self.socket.close)
        self.socket.bind((HOST, 0))
        self.socket.listen(backlog)
        self.socket.settimeout(PATIENCE)
        self.port: int = self.socket.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        self._test = test
        self.peers: list[Peer] = []  # accepted by accept(), until next_request() sees their end

    def accept(self, within: float = PATIENCE) -> Peer:
        self.socket.settimeout(within)
        connection, _ = self.socket.accept()
        self._test.addCleanup(connection.close)
        self.peers.append(Peer(connection))
        return self.peers[-1]

    def next_request(self, within: float = PATIENCE) -> tuple[Peer, "Message"]:
        """The next request and where it came: on any connection that is there or on a new one."""
        by = time.monotonic() + within
        while True:
            self.peers = [peer for peer in self.peers if peer.socket.fileno() >= 0]
            sockets = [self.socket, *(peer.socket for peer in self.peers)]
            ready, _, _ = select.select(sockets, [], [], max(0.0, by - time.monotonic()))
            if not ready:
                raise TimeoutError("no request came")
            if self.socket in ready:
                self.accept()
                continue
            peer = next(peer for peer in self.peers if peer.socket in ready)
            try:
                return peer, peer.message()
            except (Ended, ConnectionResetError):
                self.peers.remove(peer)

    def accepts_nothing(self, seconds: float) -> bool:
        try:
            self.accept(seconds)
        except TimeoutError:
            return True
        return False


class LateServer(Server):
    """A backend to which connections come up only after let_in(): until then its queue of them is full."""

    def __init__(self, test: unittest.TestCase) -> None:
        super().__init__(test, backlog=0)
        self._fillers: list[socket.socket] = []
        # One more than the backlog is taken; the system leaves further requests to connect unanswered.
        filler = socket.create_connection((HOST, self.port), PATIENCE)
        test.addCleanup(filler.close)

    def awaits_connection(self) -> None:
        """Waits until the gateway has asked for a connection that does not come up."""
        until(lambda: connections_to(self.port, CONNECTING), "a connection that comes up late")

    def let_in(self) -> Peer:
        """Takes what filled the queue; the gateway's connection comes up when its system asks again."""
        self.accept().close()
        return self.accept()


class Discovery(Server):
    """Answers the whole list at once and watches when there is news; keeps what it was asked."""

    def __init__(self, test: unittest.TestCase, instances: list[dict[str, Any]], generation: int = 1) -> None:
        super().__init__(test)
        self.generation, self.instances = generation, instances
        self.asked: list[str] = []
        self._news: list[tuple[int, list[dict[str, Any]]]] = []
        self._changed = threading.Condition()
        threading.Thread(target=self._serve, daemon=True).start()

    def tell(self, *instances: dict[str, Any]) -> None:
        with self._changed:
            self.generation += 1
            self._news.append((self.generation, list(instances)))
            told = {one["instanceId"] for one in instances}
            self.instances = [one for one in self.instances if one["instanceId"] not in told]
            self.instances += [one for one in instances if one["lifecycle"] != "gone"]
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
                self.asked.append(target)
                peer.send(answer(200, json.dumps(self._answer(target)).encode()))
        except (Ended, OSError):
            connection.close()

    def _answer(self, target: str) -> dict[str, Any]:
        with self._changed:
            if "since=" not in target:
                return {"generation": self.generation, "reset": True, "instances": self.instances}
            words = dict(part.split("=") for part in target.partition("?")[2].split("&"))
            since = int(words["since"])
            self._changed.wait_for(lambda: self.generation > since, int(words["timeout_ms"]) / 1000)
            told = [one for version, some in self._news if version > since for one in some]
            return {"generation": self.generation, "reset": False, "instances": told}


class GatewayProcess:
    """The process and its log."""

    def __init__(
        self, test: unittest.TestCase, config: dict[str, Any], plant: str = "", serves: bool = True
    ) -> None:
        """plant: code that the process runs before it starts. serves: wait until it does."""
        folder = test.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "config.json"
        self.port = int(config["listen"].rpartition(":")[2])
        self.configure(config)
        self.process = subprocess.Popen(
            [sys.executable, "-c", f"{plant}\n{PROGRAM}"],
            text=True,
            stderr=subprocess.PIPE,
            env={"GW_CONFIG": str(self.path)},
        )
        test.addCleanup(self._end)
        self._lines: list[str] = []
        self._came = threading.Condition()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()
        if serves:
            self.logged("gateway serves")

    def configure(self, config: dict[str, Any]) -> None:
        self.path.write_text(json.dumps(config))

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._came:
                self._lines.append(line)
                self._came.notify_all()

    def _end(self) -> None:
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()
        self._reader.join(PATIENCE)
        assert self.process.stderr is not None
        self.process.stderr.close()

    def logged(self, *words: str, count: int = 1) -> None:
        """Waits until that many lines of the log hold all of the words."""
        with self._came:
            found = self._came.wait_for(
                lambda: sum(all(word in line for word in words) for line in self._lines) >= count, PATIENCE
            )
        if not found:
            raise AssertionError(f"never logged: {words}: {''.join(self._lines)}")

    def lines(self, *words: str) -> list[int]:
        """The places in the log of the lines that hold all of the words."""
        with self._came:
            return [n for n, line in enumerate(self._lines) if all(word in line for word in words)]

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)


class CrossingTest(unittest.TestCase):
    """start() gives a gateway that knows backends[0] for shard 0 and backends[1] for shard 1."""

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
        """settings: parts of the settings, each merged with what stands there."""
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
        self, first: Server, second: Server | None = None, plant: str = "", **settings: Any
    ) -> GatewayProcess:
        self.backends = [first, second or Server(self)]
        instances = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        self.discovery = Discovery(self, instances)
        self.configuration = self.config(self.discovery, instances, **settings)
        self.gateway = GatewayProcess(self, self.configuration, plant)
        self.gateway.logged("endpoint list watch begins")
        return self.gateway

    def client(self, receive_buffer: int = 0) -> Peer:
        connection = socket.socket()
        self.addCleanup(connection.close)
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(PATIENCE)
        connection.connect((HOST, self.gateway.port))
        return Peer(connection)

    def ask(self, data: bytes) -> Peer:
        """A client that sends this and waits."""
        client = self.client()
        client.send(data)
        return client
