"""Stand-ins of a small deployment, on the standard library only: shelves, discovery, a slow line and clients.

A case starts gateways with the deploy file's `run` line and talks to them through these. They behave as the
operators' protocol page says; each case adds its own disruption by a subclass or an argument.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"


def free_ports(number: int) -> list[int]:
    """Returns ports of the loopback address on which nothing listens."""
    held = [socket.socket() for _ in range(number)]
    try:
        for one in held:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in held]
    finally:
        for one in held:
            one.close()


class Record:
    """Writes what happened to record.txt, one line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began = time.monotonic()

    def add(self, event: str, **facts: Any) -> None:
        words = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{time.monotonic() - self.began:9.4f} {event} {words}\n")

    def close(self) -> None:
        self._file.close()


def request_class(name: str, aim: float, give_up: float, effect: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "aim": aim,
        "giveUp": give_up,
        "effect": effect,
        "group": "all",
        "window": 5.0,
        "keepOrder": False,
        "worth": 2.0,
        "lateShare": 0.15,
        "stream": False,
        **more,
    }


def settings(gateways: int, shards: int, classes: list[dict[str, Any]], **permissions: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment; permissions replace those given here."""
    return {
        "azs": ["east", "west"],
        "balancers": gateways,
        "index": 0,
        "clients": {"marksRetry": True},
        "membershipMode": "subscribe",
        "contract": {
            "answerSlack": 0.008,
            "askWithin": 10.0,
            "cold": 13.0,
            "coldFrom": 0.2,
            "fall": 3.0,
            "fallMultiple": 4.0,
            "orderSettle": 0.0,
            "stopSendingWithin": 1.0,
        },
        "permissions": {
            "cancelling": True,
            "connIdle": 15.0,
            "dialTimeout": 0.25,
            "maxAttempts": 4,
            "maxOpen": 20000,
            "maxRetryAfter": 1.0,
            "mayDuplicate": False,
            "peerMessages": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1,
            **permissions,
        },
        "report": {"fields": [], "via": "off"},
        "services": classes,
        "grades": [
            {
                "name": "plain",
                "baseRate": 40.0,
                "capSlack": 0.0,
                "floorRate": 0.0,
                "limitBurst": 0.0,
                "neverOver": 0.0,
                "proportion": 1.0,
                "worthFactor": 1.0,
            }
        ],
        "specifics": {
            "changesData": [False] * len(classes),
            "coldUnits": 60.0,
            "meanUnits": 2.0,
            "meter": 0.0,
            "mostUnits": 8,
            "shards": shards,
            "shareWorth": 1.0,
            "beyondShare": 0.08,
            "tellsElsewhere": False,
        },
        "tier": 0,
        "weights": "off",
        "myZone": 0,
        "kinds": ["two-core"],
        "stages": ["store"],
        "workload": "stores",
    }


def entry(number: int, address: str, shard: int, lifecycle: str = "ready", started_ms: int = 0) -> dict[str, Any]:
    """Returns a shelf's entry of discovery's list."""
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": address,
        "zone": "east",
        "machineType": "m2",
        "cell": shard,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


# ---- HTTP messages


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads a message with a Content-Length or without a body; returns its first line, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def message(first: str, headers: dict[str, Any], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A TCP server whose connections end with it."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._accepted, HOST, port)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Discovery(Server):
    """Discovery, where lists are asked for: the whole list, and a watch on its changes."""

    def __init__(self, instances: list[dict[str, Any]], record: Record) -> None:
        super().__init__()
        self.generation = 1
        self.instances = {one["instanceId"]: one for one in instances}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self._record = record
        self._changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def change(self, one: dict[str, Any]) -> None:
        self.generation += 1
        self.changes.append((self.generation, one))
        if one["lifecycle"] == "gone":
            self.instances.pop(one["instanceId"], None)
        else:
            self.instances[one["instanceId"]] = one
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, _, _ = await read_message(reader)
            query = dict(part.split("=") for part in first.split(" ")[1].partition("?")[2].split("&") if part)
            answer = self.known()
            if "since" in query:
                since = int(query["since"])
                until = time.monotonic() + int(query.get("timeout_ms", "0")) / 1000
                while self.generation <= since and time.monotonic() < until:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), until - time.monotonic())
                newer = [one for version, one in self.changes if version > since]
                answer = {"generation": self.generation, "reset": False, "instances": newer}
            if answer["instances"]:
                self._record.add("told", generation=self.generation, reset=answer["reset"])
            body = json.dumps(answer).encode()
            writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
            await writer.drain()


class Shelf(Server):
    """A shelf of one shard: runs each request for some time and answers with a body made for it."""

    def __init__(self, shard: int, work: Callable[[], float], record: Record) -> None:
        super().__init__()
        self.shard = shard
        self.work = work
        self.record = record
        self.runs: dict[str, int] = {}  # by request id: how often it ran

    @staticmethod
    def body_for(request_id: str) -> bytes:
        return f"made for {request_id}".encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, _ = await read_message(reader)
            request_id = headers["req-id"]
            info = dict(part.split("=") for part in headers["io-info"].split(","))
            if info["shard"] not in ("-1", str(self.shard)):
                self.record.add("turned_away", shelf=self.shard, id=request_id)
                writer.write(message("HTTP/1.1 503 Declined", {"Srv-Declined": "1"}))
                continue
            self.record.add("begins", shelf=self.shard, id=request_id, told_ms=headers.get("req-deadline-ms"))
            await asyncio.sleep(self.work())
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.add("ran", shelf=self.shard, id=request_id, times=self.runs[request_id])
            await self.answer(writer, reader, request_id)

    async def answer(
        self, writer: asyncio.StreamWriter, reader: asyncio.StreamReader, request_id: str
    ) -> None:
        writer.write(message("HTTP/1.1 200 OK", {}, self.body_for(request_id)))
        await writer.drain()


class Line(Server):
    """A line to one address on which each byte takes a fixed time, each way, and the ends come through."""

    def __init__(self, target: int, delay: float) -> None:
        super().__init__()
        self._target = target
        self._delay = delay

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(HOST, self._target)
        far_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.gather(self._carry(reader, far_writer), self._carry(far_reader, writer))
        finally:
            far_writer.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        ended = loop.create_future()

        def deliver(data: bytes) -> None:
            if data:
                writer.write(data)
                return
            with contextlib.suppress(OSError):
                writer.write_eof()
            if not ended.done():
                ended.set_result(None)

        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            loop.call_later(self._delay, deliver, data)
            if not data:
                break
        await ended


class Answer:
    """What a client got: its status (0: the connection ended without a whole answer) and body."""

    def __init__(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class Client:
    """One connection to a gateway, which is kept; one request at a time."""

    def __init__(self, port: int, record: Record, draws: random.Random) -> None:
        self._port = port
        self._record = record
        self._draws = draws
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def new_id(self) -> str:
        return f"{self._draws.getrandbits(64):016x}"

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
        self._writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def ask(
        self, name: str, deadline_ms: int, shard: int = 0, body: bytes | None = None, volume: int = 1
    ) -> tuple[str, Answer]:
        """Sends a new request and returns its id and its answer."""
        request_id = self.new_id()
        if self._writer is None or self._writer.is_closing() or self._reader is None or self._reader.at_eof():
            await self.open()
        assert self._writer is not None and self._reader is not None
        headers = {
            "Host": "origin.svc",
            "Req-Id": request_id,
            "Tier": "plain",
            "Req-Deadline-Ms": deadline_ms,
            "IO-Info": f"volume={volume:016x},units=2,shard={shard},hosts=1",
        }
        method = "GET" if body is None else "PUT"
        key = f"{self._draws.getrandbits(64):016x}"
        self._record.add("sent", id=request_id, kind=name, deadline_ms=deadline_ms)
        began = time.monotonic()
        try:
            self._writer.write(message(f"{method} /{name}/{key} HTTP/1.1", headers, body or b""))
            first, got, data = await asyncio.wait_for(read_message(self._reader), deadline_ms / 1000 + 3.0)
            answer = Answer(int(first.split(" ")[1]), data, got)
            if got.get("connection", "").lower() == "close":
                self.close()
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer = Answer(0, type(error).__name__.encode(), {})
            self.close()
        self._record.add(
            "answered",
            id=request_id,
            status=answer.status,
            after_ms=round((time.monotonic() - began) * 1000, 1),
            body=answer.body[:40].decode("latin-1").replace(" ", "_"),
        )
        return request_id, answer

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Gateway:
    """One gateway, started with the deploy file's `run` line."""

    def __init__(self, name: str, configuration: dict[str, Any], folder: Path, record: Record) -> None:
        self.port = int(configuration["listen"].rpartition(":")[2])
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self._configuration = configuration
        self._name = name
        self._record = record
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        self.path.write_text(json.dumps(self._configuration))
        temporary = self._folder / f"{self._name}.tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "GW_NAME": self._name,
            "GW_LISTEN": self._configuration["listen"],
            "GW_DISCOVERY": self._configuration["discovery"],
            "GW_CONFIG": str(self.path),
            "TMPDIR": str(temporary),
        }
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add("gateway_started", name=self._name)
        until = time.monotonic() + 30.0
        while time.monotonic() < until and self._process.poll() is None:
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in first + " ":
                    self._record.add("gateway_ready", name=self._name)
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {self._name} is not ready: {self.log.read_text()[-500:]}")

    def signal(self, number: int) -> None:
        assert self._process is not None
        self._record.add("signal", name=self._name, number=number)
        self._process.send_signal(number)

    def status(self) -> int | None:
        """Returns the exit status, None while it runs."""
        return None if self._process is None else self._process.poll()

    def end(self) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait()


class CannotRun(Exception):
    """The case could not run."""


def main(folder: Path, play: Callable[[Record, Path, bool, int], Awaitable[list[str]]]) -> None:
    """Plays a case and exits: 1 if play returns breaks of the rule, 0 if none, 2 if it could not run.

    TROUBLE=0 leaves the disruption out; SEED changes the draws.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))
    record = Record(folder / "record.txt")
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, scratch, trouble, seed), 110.0))
        for line in breaks[:20]:
            record.add("BROKEN", what=line.replace(" ", "_"))
            print(line)
        print(f"{'broken' if breaks else 'held'}: {len(breaks)} breaks, trouble={int(trouble)}, seed={seed}")
        status = 1 if breaks else 0
    except BaseException as error:
        print(f"could not run: {type(error).__name__}: {error}")
        record.add("could_not_run", error=repr(error))
    finally:
        record.close()
        if os.environ.get("KEEP"):
            print(f"kept {scratch}")
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)
