"""Runs a whole site in one process on loopback: list service, scripted backends, gateways and a client."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from gorsethread.fakes.backend import FakeBackend
from gorsethread.fakes.client import stamped_blocks
from gorsethread.fakes.discovery import FakeDiscovery
from gorsethread.fakes.record import Recorder
from gorsethread.harness.processes import resize_site
from gorsethread.invariants.history_checker import HistoryChecker
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme.command import Completion, Opcode, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.nvme_transport.controller_server import IoCommand
from gorsethread.nvme_transport.host_connection import Association, AssociationNames, connect_association
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import parse_site, split_address
from gorsethread.transport.base import Stream
from gorsethread.transport.real import RealTransport

SITE = """
name: "test" subsystem: "nqn.2026-12.org.gorsethread:test"
list { address: "127.0.0.1:1" ask_within: 0.2 }
head { number: 0 address: "127.0.0.1:2" }
shelf { number: 0 address: "127.0.0.1:3" shard: 0 }
shelf { number: 1 address: "127.0.0.1:4" shard: 1 }
profile { name: "read" promised: 0.3 cut_off: 1 effect: REDOABLE value: 1 match { operation: READ } }
profile { name: "post" promised: 0.3 cut_off: 1 effect: IRREVERSIBLE in_order: true value: 2
          match { operation: WRITE hints: 16 } }
profile { name: "write" promised: 0.3 cut_off: 1 effect: REDOABLE value: 1 match { operation: WRITE } }
plan { name: "plain" weight: 1 usual: 50 }
tenant { name: "t" host: "nqn.2026-12.org.gorsethread:host:t" }
volume { number: 1 name: "fixed" tenant: "t" plan: "plain" blocks: 1024 extent_blocks: 64
         placement: FIXED shard: 0 shard: 1 head: 0 }
volume { number: 2 name: "grown" tenant: "t" plan: "plain" blocks: 1024 extent_blocks: 64
         placement: FIRST_WRITE head: 0 }
rules { answer_slack: 0.05 drain_grace: 0.2 key_rest: 0.3 most_forwards: 4 longest_return: 1 share_worth: 1
        cold { units: 40 span: 1 multiple: 3 warm_after: 2 first_part: 0.2 } }
links { connect_within: 0.3 queue_size: 16 unit_bytes: 8192 largest_bytes: 131072
        connections: 8 digests: true }
machine { cores: 2 unit_time: 0.002 queue: 20 }
"""


Answer = tuple[str, Completion, bytes]


class MemoryRecorder(Recorder):
    """Appends events to a list that all recorders of a test share."""

    def __init__(self, transport: RealTransport, who: str, events: list[dict[str, Any]]) -> None:
        super().__init__(transport, who, "")
        self._events = events

    def record(self, event: str, **facts: Any) -> None:
        self._events.append({"t": self._transport.now(), "who": self._who, "e": event, **facts})


class ScriptedBackend(FakeBackend):
    """A fake backend whose commands a test can handle.

    Attributes:
        intercept: If set, called with each command; if it returns True, the fake backend ignores the command.
    """

    intercept: Callable[[IoCommand], bool] | None = None

    def command_received(self, io: IoCommand, data: bytes) -> None:
        io.owner_state.data = data
        if self.intercept is None or not self.intercept(io):
            super().command_received(io, data)

    def die(self) -> None:
        """Behaves like a killed process: the connections end, and commands it holds are never answered."""
        self.recorder.record("shelf killed", shelf=self.number)
        self._listener.close()
        for connection in list(self.server.connections):
            connection.stream.close()


class SiteTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that run a site; the invariant checker can check all the events that were recorded.

    Attributes:
        events: What clients and backends recorded, in order.
        last_label: The label of the last request sent.
    """

    site_text = SITE

    async def asyncSetUp(self) -> None:
        start_logs(False, "critical")
        asyncio.get_running_loop().set_debug(False)
        self.transport = RealTransport(7)
        self.streams: list[Stream] = []
        original_connect = self.transport.connect

        async def connect(host: str, port: int, within: float) -> Stream:
            stream = await original_connect(host, port, within)
            self.streams.append(stream)
            return stream

        original_listen = self.transport.listen

        def listen(
            host: str,
            port: int,
            on_stream: Callable[[Stream], Awaitable[None]],
            admits: Callable[[], bool] | None = None,
        ) -> Any:
            async def on_recorded_stream(stream: Stream) -> None:
                self.streams.append(stream)
                await on_stream(stream)

            return original_listen(host, port, on_recorded_stream, admits)

        self.transport.connect = connect  # type: ignore[method-assign]
        self.transport.listen = listen  # type: ignore[method-assign]
        self.events: list[dict[str, Any]] = []
        self.last_label = 0
        self.site = self.with_free_addresses(parse_site(self.site_text))
        self.discovery: FakeDiscovery | None = None
        self.backends: dict[int, ScriptedBackend] = {}
        self.gateways: dict[int, NvmeGateway] = {}

    def with_free_addresses(self, site: pb.Site) -> pb.Site:
        return resize_site(site, len(site.head), len(site.shelf))

    async def asyncTearDown(self) -> None:
        for gateway in self.gateways.values():
            gateway.discovery.stop()
            gateway.peers.stop()
            gateway.server.stop("end of the test")
            gateway._listener.close()
            for link in gateway.driver.links.values():
                link.close()
        for backend in self.backends.values():
            backend.stop()
        if self.discovery:
            self.discovery.stop()
        for stream in self.streams:
            stream.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def recorder(self, who: str) -> MemoryRecorder:
        return MemoryRecorder(self.transport, who, self.events)

    def start_discovery(self) -> None:
        self.discovery = FakeDiscovery(self.transport, self.site, self.recorder("list"), [], log_for())
        self.discovery.start()

    def start_backend(self, number: int, warm: bool = True) -> ScriptedBackend:
        folder = self.enterContext(_folder())
        backend = ScriptedBackend(
            self.transport,
            self.site,
            number,
            self.recorder(f"shelf {number}"),
            folder,
            [],
            warm,
            log_for(),
            lambda: None,
        )
        backend.start()
        self.backends[number] = backend
        return backend

    def start_gateway(self, number: int = 0, remember: str = "") -> NvmeGateway:
        gateway = NvmeGateway(self.transport, self.site, number, 1, remember, log_for())
        gateway.start()
        self.gateways[number] = gateway
        return gateway

    async def start_all(self) -> None:
        """Starts the list service, all backends and one gateway; waits until it knows every backend."""
        self.start_discovery()
        for s in self.site.shelf:
            self.start_backend(s.number)
        await self.wait_until(lambda: len(self.discovery.entries) == len(self.site.shelf))
        self.start_gateway()
        await self.wait_until(
            lambda: len(self.gateways[0].driver.scheduler.shards.serving) == len(self.site.shelf)
        )

    def hold_commands(self, backend: int) -> list[IoCommand]:
        """Makes a backend keep commands without answering them; returns the list of the commands kept."""
        held: list[IoCommand] = []
        self.backends[backend].intercept = lambda io: not held.append(io)
        return held

    async def wait_until(self, condition: Callable[[], Any], timeout: float = 5.0) -> None:
        """Waits until the condition holds; fails the test if it does not in time."""
        deadline = self.transport.now() + timeout
        while not condition():
            self.assertLess(self.transport.now(), deadline, "the condition did not hold in time")
            await asyncio.sleep(0.005)

    async def connect_client(self, gateway: int = 0, size: int = 64, digests: bool = False) -> Association:
        address = split_address(self.site.head[gateway].address)
        names = AssociationNames(self.site.subsystem, self.site.tenant[0].host[0])
        return await connect_association(
            self.transport, address, names, timeout=2.0, size=size, digests=digests
        )

    def send(
        self,
        association: Association,
        operation: Opcode,
        volume: int = 1,
        block: int = 0,
        blocks: int = 1,
        hints: int = 0,
        attempt: int = 0,
        label: int = 0,
    ) -> "asyncio.Task[Answer]":
        """Sends one command and records it as a client's; the task's result is the answer."""
        if not label:
            self.last_label += 1
            label = self.last_label
        return asyncio.get_running_loop().create_task(
            self._send(association, operation, volume, block, blocks, hints, attempt, label)
        )

    async def _send(
        self,
        association: Association,
        operation: Opcode,
        volume: int,
        block: int,
        blocks: int,
        hints: int,
        attempt: int,
        label: int,
    ) -> tuple[str, Completion, bytes]:
        request_class = 0 if operation == Opcode.READ else 1 if hints else 2
        deadline = self.transport.now() + 1.0
        client = self.recorder("client")
        key = f"{volume}/{block // 64}" if request_class == 1 else ""
        client.record(
            "sent",
            label=label,
            attempt=attempt,
            head=0,
            volume=volume,
            profile=request_class,
            key=key,
            units=-(-blocks // 2),
            by=deadline,
            due=self.transport.now(),
        )
        command = io_command(operation, volume, block, blocks, hints=hints, attempt=attempt, label=label)
        data = stamped_blocks(label, volume, block, blocks) if operation == Opcode.WRITE else b""
        try:
            completion, received = await association.io.call(command, data, 0 if data else blocks * BLOCK)
        except Exception:
            client.record("answer", label=label, attempt=attempt, how="left", status=-1, wrong=0)
            raise
        how = "honoured" if completion.succeeded else "pushed back" if completion.rejected else "given up"
        client.record("answer", label=label, attempt=attempt, how=how, status=completion.status, wrong=0)
        return how, completion, received

    def backends_reached(self, label: int | None = None) -> list[int]:
        """Returns the backends that received a request, or any request, in order of arrival."""
        return [r["shelf"] for r in self.events if r["e"] == "arrived" and label in (None, r["label"])]

    def assert_invariants_hold(self) -> None:
        """Asserts that the events violate no invariant, and that no request was lost or duplicated."""
        verdict = HistoryChecker(self.site, self.events).check()
        self.assertEqual([], [str(violation) for violation in verdict.violations])
        self.assertEqual((0, 0), (verdict.lost, verdict.duplicated))


def _folder() -> Any:
    import tempfile

    return tempfile.TemporaryDirectory(prefix="gorsethread-test-")
