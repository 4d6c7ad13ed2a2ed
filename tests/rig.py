"""A whole site in one process on loopback, for tests: list, shelves that can be scripted, heads, a client."""

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
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.nvme_transport.controller_server import IoCommand
from gorsethread.nvme_transport.host_connection import Association, Names, dial
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


Answered = tuple[str, Completion, bytes]


class MemoryRecorder(Recorder):
    def __init__(self, transport: RealTransport, who: str, seen: list[dict[str, Any]]) -> None:
        super().__init__(transport, who, "")
        self._seen = seen

    def record(self, event: str, **facts: Any) -> None:
        self._seen.append({"t": self._transport.now(), "who": self._who, "e": event, **facts})


class ScriptedShelf(FakeBackend):
    """takes(io) may take a command over: True, and the model does nothing with it."""

    takes: Callable[[IoCommand], bool] | None = None

    def taken(self, io: IoCommand, data: bytes) -> None:
        io.owned.data = data
        if self.takes is None or not self.takes(io):
            super().taken(io, data)

    def die(self) -> None:
        """As a killed process: its connections end, nothing more comes of what it held."""
        self.recorder.record("shelf killed", shelf=self.number)
        self._listener.close()
        for connection in list(self.server.connections):
            connection.stream.close()


class Rig(unittest.IsolatedAsyncioTestCase):
    """Each test says what was seen on the wire; the witness then judges all of it."""

    site_text = SITE

    async def asyncSetUp(self) -> None:
        start_logs(False, "critical")
        asyncio.get_running_loop().set_debug(False)
        self.transport = RealTransport(7)
        self.streams: list[Stream] = []
        honest = self.transport.connect

        async def connect(host: str, port: int, within: float) -> Stream:
            stream = await honest(host, port, within)
            self.streams.append(stream)
            return stream

        honest_listen = self.transport.listen

        def listen(
            host: str,
            port: int,
            on_stream: Callable[[Stream], Awaitable[None]],
            admits: Callable[[], bool] | None = None,
        ) -> Any:
            async def kept(stream: Stream) -> None:
                self.streams.append(stream)
                await on_stream(stream)

            return honest_listen(host, port, kept, admits)

        self.transport.connect = connect  # type: ignore[method-assign]
        self.transport.listen = listen  # type: ignore[method-assign]
        self.seen: list[dict[str, Any]] = []
        self.label = 0
        self.site = self.sized(parse_site(self.site_text))
        self.list: FakeDiscovery | None = None
        self.shelves: dict[int, ScriptedShelf] = {}
        self.heads: dict[int, Head] = {}

    def sized(self, site: pb.Site) -> pb.Site:
        return resize_site(site, len(site.head), len(site.shelf))

    async def asyncTearDown(self) -> None:
        for head in self.heads.values():
            head.follower.stop()
            head.peers.stop()
            head.server.stop("end of the test")
            head._listener.close()
            for link in head.driver.links.values():
                link.close()
        for shelf in self.shelves.values():
            shelf.stop()
        if self.list:
            self.list.stop()
        for stream in self.streams:
            stream.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def recorder(self, who: str) -> MemoryRecorder:
        return MemoryRecorder(self.transport, who, self.seen)

    def start_list(self) -> None:
        self.list = FakeDiscovery(self.transport, self.site, self.recorder("list"), [], log_for())
        self.list.start()

    def start_shelf(self, number: int, warm: bool = True) -> ScriptedShelf:
        folder = self.enterContext(_folder())
        shelf = ScriptedShelf(
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
        shelf.start()
        self.shelves[number] = shelf
        return shelf

    def start_head(self, number: int = 0, remember: str = "") -> Head:
        head = Head(self.transport, self.site, number, 1, remember, log_for())
        head.start()
        self.heads[number] = head
        return head

    async def start_all(self) -> None:
        """List, shelves and one head, which has heard of every shelf."""
        self.start_list()
        for s in self.site.shelf:
            self.start_shelf(s.number)
        await self.until(lambda: len(self.list.entries) == len(self.site.shelf))
        self.start_head()
        await self.until(lambda: len(self.heads[0].driver.scheduler.shards.serving) == len(self.site.shelf))

    def hold(self, shelf: int) -> list[IoCommand]:
        """From now on the shelf takes commands and answers none; they gather in the list."""
        held: list[IoCommand] = []
        self.shelves[shelf].takes = lambda io: not held.append(io)
        return held

    async def until(self, holds: Callable[[], Any], within: float = 5.0) -> None:
        """Waits for something to be seen; fails where it is not."""
        by = self.transport.now() + within
        while not holds():
            self.assertLess(self.transport.now(), by, "it was not seen in time")
            await asyncio.sleep(0.005)

    async def client(self, head: int = 0, size: int = 64, digests: bool = False) -> Association:
        address = split_address(self.site.head[head].address)
        names = Names(self.site.subsystem, self.site.tenant[0].host[0])
        return await dial(self.transport, address, names, within=2.0, size=size, digests=digests)

    def send(
        self,
        to: Association,
        operation: Opcode,
        volume: int = 1,
        block: int = 0,
        blocks: int = 1,
        hints: int = 0,
        attempt: int = 0,
        label: int = 0,
    ) -> "asyncio.Task[Answered]":
        """One command, recorded as a client's for the witness; its result is how it was answered."""
        if not label:
            self.label += 1
            label = self.label
        return asyncio.get_running_loop().create_task(
            self._send(to, operation, volume, block, blocks, hints, attempt, label)
        )

    async def _send(
        self,
        to: Association,
        operation: Opcode,
        volume: int,
        block: int,
        blocks: int,
        hints: int,
        attempt: int,
        label: int,
    ) -> tuple[str, Completion, bytes]:
        profile = 0 if operation == Opcode.READ else 1 if hints else 2
        by = self.transport.now() + 1.0
        client = self.recorder("client")
        key = f"{volume}/{block // 64}" if profile == 1 else ""
        client.record(
            "sent",
            label=label,
            attempt=attempt,
            head=0,
            volume=volume,
            profile=profile,
            key=key,
            units=-(-blocks // 2),
            by=by,
            due=self.transport.now(),
        )
        command = io_command(operation, volume, block, blocks, hints=hints, attempt=attempt, label=label)
        data = stamped_blocks(label, volume, block, blocks) if operation == Opcode.WRITE else b""
        try:
            done, got = await to.io.call(command, data, 0 if data else blocks * BLOCK)
        except Exception:
            client.record("answer", label=label, attempt=attempt, how="left", status=-1, wrong=0)
            raise
        how = "honoured" if done.honoured else "pushed back" if done.pushed_back else "given up"
        client.record("answer", label=label, attempt=attempt, how=how, status=done.status, wrong=0)
        return how, done, got

    def arrivals(self, label: int | None = None) -> list[int]:
        """Which shelves a transaction (or all of them) came to, in order."""
        return [r["shelf"] for r in self.seen if r["e"] == "arrived" and label in (None, r["label"])]

    def judged(self) -> None:
        """Every rule held, by what was seen."""
        verdict = HistoryChecker(self.site, self.seen).check()
        self.assertEqual([], [str(b) for b in verdict.violations])
        self.assertEqual((0, 0), (verdict.lost, verdict.duplicated))


def _folder() -> Any:
    import tempfile

    return tempfile.TemporaryDirectory(prefix="gorsethread-test-")
