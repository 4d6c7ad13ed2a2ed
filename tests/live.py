"""A gateway in service on the virtual clock, with small fake HTTP backends, discovery and clients."""

import json
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from gorsethread.http1.server_codec import Request, ServerCodec
from gorsethread.http_gateway.configuration import read_configuration
from gorsethread.http_gateway.gateway import Gateway
from gorsethread.logs import log_for, start_logs
from gorsethread.transport.base import Stream, StreamClosed
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

GATEWAY_ADDRESS, DISCOVERY_ADDRESS = ("head", 1), ("list", 1)
CONFIG_PATH = "config.json"
SETTINGS: dict[str, Any] = {
    "azs": ["east", "west"],
    "balancers": 1,
    "clients": {"marksRetry": True},
    "contract": {"askWithin": 10.0, "cold": 13.0, "coldFrom": 0.2, "fall": 3.0, "stopSendingWithin": 1.0},
    "grades": [{"name": "plain", "baseRate": 5.0, "proportion": 1.0}],
    "membershipMode": "subscribe",
    "permissions": {
        "connIdle": 15.0,
        "dialTimeout": 0.25,
        "maxAttempts": 4,
        "maxRetryAfter": 1.0,
        "retryAfter": True,
    },
    "services": [
        {"name": "read", "aim": 0.3, "giveUp": 2.0, "effect": "free", "worth": 2.0},
        {"name": "post", "aim": 0.4, "effect": "single_shot", "worth": 3.0},
    ],
    "specifics": {"coldUnits": 40.0, "mostUnits": 8, "shards": 2},
}


def instance(number: int, state: str = "ready", started: float = 0, address: str = "") -> dict[str, Any]:
    """Returns the entry of the endpoint list for the backend of that number, which serves that shard."""
    return {
        "instanceId": f"s-{number}",
        "hostPort": address or f"shelf{number}:1",
        "zone": "east",
        "machineType": "m",
        "cell": number,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started,
    }


def make_config(**changes: Any) -> dict[str, Any]:
    """Returns a gateway's configuration with some of its top-level fields changed."""
    return {
        "name": "n0",
        "listen": "head:1",
        "discovery": "list:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [instance(0), instance(1)]},
        **changes,
    }


class FakeBackend:
    """Answers each request after a delay with what respond() returns.

    respond(request) returns the pieces to write: None for no answer at all; an empty piece closes the
    connection.
    """

    def __init__(self, transport: VirtualTransport, host: str) -> None:
        self.transport = transport
        self.requests: list[Request] = []
        self.connections = 0
        self.closed_connections = 0  # by the gateway
        self.trailing_bytes = b""  # written to the connection after each answer
        self.trailing_delay = 0.02  # seconds from an answer to the trailing bytes
        self.delay = 0.01  # seconds
        self.respond: Callable[[Request], list[bytes] | None] = lambda request: [
            response_bytes(200, b"got " + request.target)
        ]
        self.listener = transport.listen(host, 1, self.on_stream)

    async def on_stream(self, stream: Stream) -> None:
        self.connections += 1
        codec = ServerCodec()
        try:
            while True:
                codec.feed(await stream.read())
                while (request := codec.next_request()) is not None:
                    self.requests.append(request)
                    await self.transport.sleep(self.delay)
                    for piece in self.respond(request) or []:
                        if not piece:
                            stream.close()
                        stream.write(piece)
                    if self.trailing_bytes:
                        await self.transport.sleep(self.trailing_delay)
                        stream.write(self.trailing_bytes)
                    codec.respond(200, [], b"")
        except StreamClosed:
            self.closed_connections += 1


def response_bytes(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Returns an HTTP response with a Content-Length; headers are whole lines, each with its line end."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


class FakeDiscovery:
    """Answers a watch when the list has changed or the watch's wait is over.

    next_response, once, replaces the next answer; while unavailable it answers 503; answers_at_once makes it
    answer a watch at once though nothing has changed. targets holds the request targets it was asked for.
    """

    def __init__(self, transport: VirtualTransport, address: tuple[str, int], generation: int = 1) -> None:
        self.transport, self.generation = transport, generation
        self.targets: list[str] = []
        self.changes: list[tuple[int, list[dict[str, Any]]]] = []
        self.next_response: bytes | None = None
        self.complete_list: list[dict[str, Any]] = [instance(0), instance(1)]
        self.unavailable = False
        self.answers_at_once = False
        self.indent: int | None = None
        self._silent_through = 0  # connections up to this number get no further answer
        self._half_answers = False
        self._connections = 0
        self.listener = transport.listen(*address, self.on_stream)

    def publish(self, *instances: dict[str, Any]) -> None:
        """Adds a change with the next generation."""
        self.generation += 1
        self.changes.append((self.generation, list(instances)))

    def fall_silent(self, half_answers: bool = False, further_connections: int = 0) -> None:
        """Sends nothing more on the present connections and as many further ones, but keeps them open.

        half_answers: sends the first half of each answer instead of nothing.
        """
        self._silent_through, self._half_answers = self._connections + further_connections, half_answers

    async def on_stream(self, stream: Stream) -> None:
        codec = ServerCodec()
        self._connections += 1
        number = self._connections
        try:
            while True:
                codec.feed(await stream.read())
                while (request := codec.next_request()) is not None:
                    answer = await self.answer(request.target.decode())
                    if number > self._silent_through:
                        stream.write(answer)
                    elif self._half_answers:
                        stream.write(answer[: len(answer) // 2])
                    codec.respond(200, [], b"")
        except StreamClosed:
            pass

    async def answer(self, target: str) -> bytes:
        self.targets.append(target)
        if self.next_response is not None:
            response, self.next_response = self.next_response, None
            return response
        if self.unavailable:
            return response_bytes(503)
        if "since=" not in target:
            instances, complete = self.complete_list, True
        else:
            query = dict(part.split("=") for part in target.split("?")[1].split("&"))
            since, until = int(query["since"]), self.transport.now() + int(query["timeout_ms"]) / 1000
            while (
                not self.answers_at_once
                and self.generation <= since
                and self.transport.now() < until
                and not self.unavailable
            ):
                await self.transport.sleep(0.01)
            instances = [one for version, some in self.changes if version > since for one in some]
            complete = False
        content = {"generation": self.generation, "reset": complete, "instances": instances}
        return response_bytes(200, json.dumps(content, indent=self.indent).encode())


def request_bytes(
    id: str,
    request_class: str = "read",
    shard: int = 0,
    timeout_ms: int = 1000,
    body: bytes = b"",
    units: int = 1,
    headers: str = "",
) -> bytes:
    """Returns a client's request; headers are whole lines, each with its line end."""
    method = "PUT" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /{request_class}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id:0>16}\r\n"
        f"Tier: plain\r\nReq-Deadline-Ms: {timeout_ms}\r\n{length}{headers}"
        f"IO-Info: volume=00000003b4d60021,units={units},shard={shard},hosts=1\r\n\r\n"
    ).encode() + body


class FakeClient:
    """One connection of a client: the bytes it received, when the last of them arrived and when it ended."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport
        self.received = b""
        self.ended_at = self.answered_at = 0.0
        self.stream: Stream

    async def connect(self) -> "FakeClient":
        self.stream = await self.transport.connect(*GATEWAY_ADDRESS, 1.0)
        self.transport.spawn(self._read())
        return self

    async def _read(self) -> None:
        try:
            while True:
                self.received += await self.stream.read()
                self.answered_at = self.transport.now()
        except StreamClosed:
            self.ended_at = self.transport.now()

    @property
    def status(self) -> int:
        """The status of the last response, 0 if there is none."""
        responses = self.received.split(b"HTTP/1.1 ")[1:]
        return int(responses[-1][:3]) if responses else 0

    @property
    def body(self) -> bytes:
        """What follows the last header section."""
        return self.received.rpartition(b"\r\n\r\n")[2]


class GatewayTest(unittest.TestCase):
    """A gateway with two fake backends, for shards 0 and 1, a fake discovery and the clients' process."""

    def setUp(self) -> None:
        start_logs(True, "critical")
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.network = Network(self.loop, 3, NetworkConditions(split=0.0))
        self.disk = Disk()
        self.processes: list[VirtualTransport] = []
        self.client_process = self.process("user")
        self.discovery = FakeDiscovery(self.process("list"), DISCOVERY_ADDRESS)
        self.backends = [FakeBackend(self.process(f"shelf{n}"), f"shelf{n}") for n in (0, 1)]
        self.started: float = self.client_process.now()

    def process(self, name: str) -> VirtualTransport:
        self.processes.append(VirtualTransport(self.network, self.disk, name))
        return self.processes[-1]

    def start(self, **changes: Any) -> Gateway:
        """Starts the gateway with a changed configuration and returns it."""
        self.configure(**changes)
        self.transport = self.process("head")
        self.gateway = Gateway(
            self.transport,
            read_configuration(self.transport.load(CONFIG_PATH), CONFIG_PATH),
            CONFIG_PATH,
            log_for(),
        )
        self.transport.on_reload(self.gateway.reload)
        self.transport.on_terminate(self.transport.finish)
        self.gateway.start()
        return self.gateway

    def configure(self, **changes: Any) -> None:
        """Writes the configuration file."""
        self.disk.files[CONFIG_PATH] = bytearray(json.dumps(make_config(**changes)).encode())

    def run_scenario(self, scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Runs the scenario, checks that no process failed, and ends all processes."""
        try:
            self.loop.run_until_complete(scenario())
            for process in self.processes:
                self.assertIsNone(process.failed, process.name)
        finally:
            for process in self.processes:
                process.kill()
            self.loop.run_until_complete(_sleep(self.loop, 0.1))

    async def wait(self, seconds: float) -> None:
        await _sleep(self.loop, seconds)

    async def call(self, data: bytes, wait: float = 0.1) -> FakeClient:
        """Sends the bytes on a new connection and waits so many seconds."""
        client = await FakeClient(self.client_process).connect()
        client.stream.write(data)
        await self.wait(wait)
        return client

    def age(self, seconds: float) -> float:
        """Returns the Unix time of so many seconds ago, in milliseconds."""
        return (self.client_process.wall_time() - seconds) * 1000


async def _sleep(loop: VirtualLoop, seconds: float) -> None:
    waiting = loop.create_future()
    loop.call_later(seconds, waiting.set_result, None)
    await waiting
