"""What stands round a head in a bench: a plain relay in its place, shelves that answer at once, a load."""

from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from gorsethread.fakes.backend import FakeBackend
from gorsethread.fakes.client import stamped_blocks
from gorsethread.gateway.attempts import Attempt, AttemptResult
from gorsethread.nvme.command import Completion, Opcode, Status, io_command
from gorsethread.nvme.subsystem import BLOCK, Namespace, Subsystem
from gorsethread.nvme_gateway.backend_link import BackendCommand, BackendLink
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_transport.controller_server import IoCommand, QueueServer
from gorsethread.nvme_transport.host_connection import Association, AssociationNames, connect_association
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Transport

LOWEST, HIGHEST, DIGITS = 1, 60_000_000, 3  # of a histogram, microseconds


class Relay:
    """First come, first served: each command goes at once to the shelf that holds it. No scheduler."""

    def __init__(self, transport: Transport, site: pb.Site, number: int, log: Any) -> None:
        self.transport, self.site, self.number = transport, site, number
        self.placement = SitePlacement(site)
        names = AssociationNames(site.subsystem, f"nqn.2026-12.org.gorsethread:head:{number}")
        known = site.links
        self.links = {
            s.shard: BackendLink(
                transport,
                s.number,
                split_address(s.address),
                names,
                known.connect_within,
                known.queue_size,
                known.digests,
                log,
            )
            for s in site.shelf
        }
        self.volumes = {v.number: v for v in site.volume}
        namespaces = [Namespace(v.number, v.blocks, v.extent_blocks) for v in site.volume]
        subsystem = Subsystem(
            site.subsystem, lambda _: namespaces, "relay", "gorsethread", known.largest_bytes
        )
        self.server = QueueServer(transport, subsystem, self, known.connections, log)

    def start(self) -> None:
        host, port = split_address(self.site.head[self.number].address)
        self._listener = self.transport.listen(host, port, self.server.on_stream)

    def stop(self) -> None:
        self._listener.close()
        self.server.stop("the relay ends")

    def command_announced(self, io: IoCommand) -> None: ...

    def command_received(self, io: IoCommand, data: bytes) -> None:
        c = io.command
        extent = c.first_block // self.volumes[c.nsid].extent_blocks
        link = self.links[self.placement.shard_of(c.nsid, extent)]

        def ended(f: Attempt, how: AttemptOutcome, told: AttemptResult) -> None:
            honoured = how is AttemptOutcome.SUCCEEDED
            io.answer(Completion(0, Status.SUCCESS if honoured else Status.INTERNAL_ERROR), told.data)

        read = 0 if data else c.blocks * BLOCK
        link.send(Attempt(0, 0, link.backend, self.transport.now(), BackendCommand(c, data, read), ended))

    def command_abandoned(self, io: IoCommand) -> None: ...


TOLD = Completion(0, dw1=20)  # a service time of 20 microseconds, as shelves tell theirs


class Sink(FakeBackend):
    """A shelf without a machine: what comes is answered at once."""

    def command_announced(self, io: IoCommand) -> None: ...

    def command_received(self, io: IoCommand, data: bytes) -> None:
        c = io.command
        io.answer(TOLD, b"" if data else bytes(c.blocks * BLOCK))

    def command_abandoned(self, io: IoCommand) -> None: ...


class Load:
    """depth commands always out (rate 0), or open-loop at a rate a second, latency from when each was due."""

    def __init__(
        self, transport: Transport, site: pb.Site, depth: int, rate: float, start_at: float, seconds: float
    ) -> None:
        self.transport, self.site, self.depth, self.rate = transport, site, depth, rate
        self.first, self.until = start_at, start_at + seconds
        self.chance = transport.random_stream("load")
        self.histogram = HdrHistogram(LOWEST, HIGHEST, DIGITS)
        self.own = HdrHistogram(LOWEST, HIGHEST, DIGITS)  # how late this load itself sent what was due
        self.done = self.failed = self.out = 0
        self.last = start_at

    async def run(self) -> dict[str, Any]:
        names = AssociationNames(self.site.subsystem, self.site.tenant[0].host[0])
        address = split_address(self.site.head[0].address)
        self.association: Association = await connect_association(
            self.transport, address, names, timeout=5.0, size=128
        )
        await self.transport.sleep(max(0.0, self.first - self.transport.now()))
        if self.rate:
            await self._open_loop()
        else:
            for _ in range(self.depth):
                self._send(self.transport.now(), self._again)
        while self.out:
            await self.transport.sleep(0.01)
        h = self.histogram
        return {
            "honoured": self.done,
            "failed": self.failed,
            "seconds": self.last - self.first,
            "median_us": h.get_value_at_percentile(50),
            "p99_us": h.get_value_at_percentile(99),
            "own_p99_us": self.own.get_value_at_percentile(99),
        }

    async def _open_loop(self) -> None:
        due = self.first
        while due < self.until:
            if (wait := due - self.transport.now()) > 0:
                await self.transport.sleep(wait)
            if len(self.association.io.queue) < 128:
                self._send(due, lambda: None)
            else:
                self.failed += 1
            due += self.chance.expovariate(self.rate)

    def _again(self) -> None:
        if self.transport.now() < self.until:
            self._send(self.transport.now(), self._again)

    def _send(self, due: float, then: Callable[[], None]) -> None:
        volume = self.site.volume[self.chance.randrange(len(self.site.volume))]
        block = self.chance.randrange(volume.blocks)
        write = self.chance.random() < 0.5
        command = io_command(Opcode.WRITE if write else Opcode.READ, volume.number, block)
        data = stamped_blocks(1, volume.number, block, 1) if write else b""

        def done(completion: Completion, _: bytes) -> None:
            self.out -= 1
            self.last = self.transport.now()
            if completion.succeeded:
                self.done += 1
                self.histogram.record_value(max(1, round((self.last - due) * 1e6)))
            else:
                self.failed += 1
            then()

        self.out += 1
        self.own.record_value(max(1, round((self.transport.now() - due) * 1e6)))
        self.association.io.queue.submit(command, done, data, 0 if write else BLOCK)
