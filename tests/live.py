"""A head in service on the virtual clock, among small HTTP stand-ins for shelves, discovery and clients."""

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

HEAD, LIST = ("head", 1), ("list", 1)
PATH = "config.json"
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


def order(**changed: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "head:1",
        "discovery": "list:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": SETTINGS,
        "known": {"generation": 1, "reset": True, "instances": [instance(0), instance(1)]},
        **changed,
    }


class Shelf:
    """says(request, number): what to write back, in pieces; None keeps silent; b"" ends the connection."""

    def __init__(self, transport: VirtualTransport, host: str) -> None:
        self.transport = transport
        self.seen: list[Request] = []
        self.connections = 0
        self.ends = 0  # connections the head ended
        self.later = b""  # said on the connection some time behind each answer
        self.delay = 0.01
        self.says: Callable[[Request], list[bytes] | None] = lambda r: [whole(200, b"got " + r.target)]
        self.listener = transport.listen(host, 1, self.on_stream)

    async def on_stream(self, stream: Stream) -> None:
        self.connections += 1
        codec = ServerCodec()
        try:
            while True:
                codec.feed(await stream.read())
                while (request := codec.next_request()) is not None:
                    self.seen.append(request)
                    await self.transport.sleep(self.delay)
                    for piece in self.says(request) or []:
                        if not piece:
                            stream.close()
                        stream.write(piece)
                    if self.later:
                        await self.transport.sleep(0.02)
                        stream.write(self.later)
                    codec.respond(200, [], b"")
        except StreamClosed:
            self.ends += 1


def whole(status: int, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class NewsList:
    """Discovery: answers a watch when there is news or its time is over. down: answers 503."""

    def __init__(self, transport: VirtualTransport, address: tuple[str, int], generation: int = 1) -> None:
        self.transport, self.generation = transport, generation
        self.asked: list[str] = []
        self.news: list[tuple[int, list[dict[str, Any]]]] = []
        self.raw: bytes | None = None  # said instead of the next answer
        self.whole: list[dict[str, Any]] = [instance(0), instance(1)]
        self.down = False
        self.hasty = False  # answers at once though nothing is new
        self.indent: int | None = None
        self._deaf = 0  # connections up to this number hear nothing more
        self._halves = False
        self._numbers = 0
        self.listener = transport.listen(*address, self.on_stream)

    def tell(self, *instances: dict[str, Any]) -> None:
        self.generation += 1
        self.news.append((self.generation, list(instances)))

    def silence(self, halves: bool = False, more: int = 0) -> None:
        """What is connected stays so and hears nothing more, or half of one answer, and so with that many
        connections to come."""
        self._deaf, self._halves = self._numbers + more, halves

    async def on_stream(self, stream: Stream) -> None:
        codec = ServerCodec()
        self._numbers += 1
        number = self._numbers
        try:
            while True:
                codec.feed(await stream.read())
                while (request := codec.next_request()) is not None:
                    answer = await self.answer(request.target.decode())
                    if number > self._deaf:
                        stream.write(answer)
                    elif self._halves:
                        stream.write(answer[: len(answer) // 2])
                    codec.respond(200, [], b"")
        except StreamClosed:
            pass

    async def answer(self, target: str) -> bytes:
        self.asked.append(target)
        if self.raw is not None:
            raw, self.raw = self.raw, None
            return raw
        if self.down:
            return whole(503)
        if "since=" not in target:
            told, full = self.whole, True
        else:
            words = dict(part.split("=") for part in target.split("?")[1].split("&"))
            since, by = int(words["since"]), self.transport.now() + int(words["timeout_ms"]) / 1000
            while not self.hasty and self.generation <= since and self.transport.now() < by and not self.down:
                await self.transport.sleep(0.01)
            told, full = [i for g, some in self.news if g > since for i in some], False
        said = {"generation": self.generation, "reset": full, "instances": told}
        return whole(200, json.dumps(said, indent=self.indent).encode())


def wish(
    id: str,
    profile: str = "read",
    shard: int = 0,
    patience: int = 1000,
    body: bytes = b"",
    units: int = 1,
    more: str = "",
) -> bytes:
    method = "PUT" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} /{profile}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id:0>16}\r\n"
        f"Tier: plain\r\nReq-Deadline-Ms: {patience}\r\n{length}{more}"
        f"IO-Info: volume=00000003b4d60021,units={units},shard={shard},hosts=1\r\n\r\n"
    ).encode() + body


class Caller:
    """A client's connection: what came back, and when."""

    def __init__(self, transport: VirtualTransport) -> None:
        self.transport = transport
        self.got = b""
        self.ended_at = self.answered_at = 0.0
        self.stream: Stream

    async def dial(self) -> "Caller":
        self.stream = await self.transport.connect(*HEAD, 1.0)
        self.transport.spawn(self._read())
        return self

    async def _read(self) -> None:
        try:
            while True:
                self.got += await self.stream.read()
                self.answered_at = self.transport.now()
        except StreamClosed:
            self.ended_at = self.transport.now()

    @property
    def status(self) -> int:
        """Of the last answer; 0 without."""
        heads = self.got.split(b"HTTP/1.1 ")[1:]
        return int(heads[-1][:3]) if heads else 0

    @property
    def body(self) -> bytes:
        return self.got.rpartition(b"\r\n\r\n")[2]


class LiveRig(unittest.TestCase):
    """play(work) runs the scene and then ends it, and sees that no program failed."""

    def setUp(self) -> None:
        start_logs(True, "critical")
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.network = Network(self.loop, 3, NetworkConditions(split=0.0))
        self.disk = Disk()
        self.processes: list[VirtualTransport] = []
        self.user = self.process("user")
        self.list = NewsList(self.process("list"), LIST)
        self.shelves = [Shelf(self.process(f"shelf{n}"), f"shelf{n}") for n in (0, 1)]
        self.started: float = self.user.now()

    def process(self, name: str) -> VirtualTransport:
        self.processes.append(VirtualTransport(self.network, self.disk, name))
        return self.processes[-1]

    def start(self, **changed: Any) -> Gateway:
        self.configure(**changed)
        self.transport = self.process("head")
        self.head = Gateway(
            self.transport, read_configuration(self.transport.load(PATH), PATH), PATH, log_for()
        )
        self.transport.on_reload(self.head.reload)
        self.transport.on_terminate(self.transport.finish)
        self.head.start()
        return self.head

    def configure(self, **changed: Any) -> None:
        self.disk.files[PATH] = bytearray(json.dumps(order(**changed)).encode())

    def play(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        try:
            self.loop.run_until_complete(work())
            for process in self.processes:
                self.assertIsNone(process.failed, process.name)
        finally:
            for process in self.processes:
                process.kill()
            self.loop.run_until_complete(_pass(self.loop, 0.1))

    async def wait(self, seconds: float) -> None:
        await _pass(self.loop, seconds)

    async def call(self, data: bytes, wait: float = 0.1) -> Caller:
        caller = await Caller(self.user).dial()
        caller.stream.write(data)
        await self.wait(wait)
        return caller

    def age(self, seconds: float) -> float:
        """Since the scene began, in a Unix time's milliseconds from now."""
        return (self.user.wall_time() - seconds) * 1000


async def _pass(loop: VirtualLoop, seconds: float) -> None:
    waiting = loop.create_future()
    loop.call_later(seconds, waiting.set_result, None)
    await waiting
