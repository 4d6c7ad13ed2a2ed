"""A fake client: sends the load of one tenant to all gateways that serve its volumes.

The load is open-loop: requests are due by the clock and don't wait for answers. A client retries a request
at most once, if the request's class permits it, and verifies the data that it reads.
"""

import struct
from collections import OrderedDict
from typing import Any

import msgspec

from gorsethread.fakes.record import Recorder
from gorsethread.nvme.command import Completion, Opcode, Status, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.scheduler_settings import RequestClassifier, request_units
from gorsethread.nvme_transport.host_connection import Association, AssociationNames, connect_association
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Timer, Transport, Unreachable

QUEUE_SIZE = 128  # commands in flight on one association
STAMP = struct.Struct("<QQII8s")
MARK = b"gorseth\n"
SMALL_WRITE_HINTS = 0x10
MAX_REMEMBERED_EXTENTS = 64  # extents that were written last to a volume, from which reads choose
HOT_EXTENTS = 3  # per volume; they get all its small writes, so that writes to one key coincide
MAX_SHARDS = 100_000  # extents whose shard a client remembers
RETRY_FRACTION = 0.7  # of the requests that may be retried
ABANDON_FRACTION = 0.01  # of the reads, whose client aborts without waiting for the answer


class Surge(msgspec.Struct, frozen=True):
    """A period in which a volume's load is a multiple of its usual rate.

    at: its start on the machine's clock; seconds: how long it lasts; times: the multiple.
    """

    volume: int
    at: float
    seconds: float
    times: float


def stamped_blocks(label: int, volume: int, first_block: int, blocks: int) -> bytes:
    """Returns data for a write in which each block names the request that wrote it and its own location."""
    copies = BLOCK // STAMP.size
    return b"".join(STAMP.pack(label, first_block + n, volume, 0, MARK) * copies for n in range(blocks))


def misplaced_blocks(data: bytes, volume: int, first_block: int) -> int:
    """Counts the blocks that hold neither only zeros nor complete stamps of this location."""
    wrong = 0
    for n in range(len(data) // BLOCK):
        block = data[n * BLOCK : (n + 1) * BLOCK]
        label, stamped_block, stamped_volume, _, mark = STAMP.unpack_from(block)
        good = stamped_block == first_block + n and stamped_volume == volume and mark == MARK
        if any(block) and not (good and block == block[: STAMP.size] * (BLOCK // STAMP.size)):
            wrong += 1
    return wrong


class GatewayConnection:
    """Holds an association with one gateway and reconnects whenever it breaks."""

    def __init__(
        self, transport: Transport, number: int, address: tuple[str, int], names: AssociationNames
    ) -> None:
        self.transport, self.number, self.address, self.names = transport, number, address, names
        self.association: Association | None = None
        # By command id; emptied by answers and when the connection ends.
        self.open: dict[int, LoadAttempt] = {}

    async def keep(self) -> None:
        while True:
            try:
                association = await connect_association(
                    self.transport, self.address, self.names, timeout=2.0, size=QUEUE_SIZE
                )
            except Unreachable:
                await self.transport.sleep(0.2)
                continue
            association.io.ended = self._ended
            association.admin.ended = lambda reason, a=association: a.io.close(reason)  # type: ignore[misc]
            self.association = association
            while self.association is association:
                await self.transport.sleep(0.1)

    def _ended(self, reason: str) -> None:
        association, self.association = self.association, None
        if association is not None:
            association.close(reason)
        unanswered, self.open = self.open, {}
        for attempt in unanswered.values():
            attempt.ended("unreachable", None, b"")


class LoadRequest:
    """One request of an application, over all its attempts.

    due: when the application made it; by: its deadline. Both are on the machine's clock.
    """

    __slots__ = (
        "label",
        "volume",
        "profile",
        "operation",
        "first_block",
        "blocks",
        "hints",
        "key",
        "due",
        "by",
    )

    def __init__(
        self,
        label: int,
        volume: pb.Volume,
        profile: int,
        operation: Opcode,
        first_block: int,
        blocks: int,
        hints: int,
        key: str,
        due: float,
        by: float,
    ) -> None:
        self.label, self.volume, self.profile, self.operation = label, volume, profile, operation
        self.first_block, self.blocks, self.hints, self.key = first_block, blocks, hints, key
        self.due, self.by = due, by


class LoadAttempt:
    """One command that is sent for a request, until its answer or its end without one."""

    def __init__(self, client: "LoadClient", request: LoadRequest, attempt: int, link: Any) -> None:
        self.client, self.request, self.attempt, self.link = client, request, attempt, link
        self.over = False
        self.cid = -1
        self.timer: Timer | None = None
        # For each block of a read: whether a write of it had been acknowledged before the read was sent.
        self.written: list[bool] = []

    def send(self) -> bool:
        """Sends the command; returns False if there is no connection, no room on it or no time left."""
        association, request, client = self.link.association, self.request, self.client
        if association is None or len(association.io.queue) >= QUEUE_SIZE or association.io.queue.closed:
            return False
        now = client.transport.now()
        if now >= request.by:
            return False  # this process itself was late
        shard = client.shards.get(
            (request.volume.number, request.first_block // request.volume.extent_blocks), -1
        )
        command = io_command(
            request.operation,
            request.volume.number,
            request.first_block,
            request.blocks,
            hints=request.hints,
            client_timeout=request.by - now,
            attempt=self.attempt,
            shard=shard,
            label=request.label,
        )
        data = b""
        if request.operation == Opcode.WRITE:
            data = stamped_blocks(request.label, request.volume.number, request.first_block, request.blocks)
        client.recorder.record(
            "sent",
            label=request.label,
            attempt=self.attempt,
            head=self.link.number,
            volume=request.volume.number,
            profile=request.profile,
            units=request_units(request.blocks * BLOCK, client.site.links.unit_bytes),
            key=request.key,
            by=request.by,
            due=request.due,
        )
        read = 0 if data else request.blocks * BLOCK
        if read:
            blocks = range(request.first_block, request.first_block + request.blocks)
            self.written = [(request.volume.number, block) in client.acknowledged for block in blocks]
        self.cid = association.io.queue.submit(command, self._done, data, read)
        self.link.open[self.cid] = self
        self.timer = client.transport.call_at(request.by, self._timed_out)
        return True

    def count_wrong_blocks(self, data: bytes) -> int:
        """Counts the blocks of an answer that can't be what the request asked for."""
        wrong = 0
        if self.request.operation == Opcode.READ:
            wrong = misplaced_blocks(data, self.request.volume.number, self.request.first_block)
            for n, acknowledged in enumerate(self.written):
                if acknowledged and not any(data[n * BLOCK : n * BLOCK + 16]):
                    wrong += 1
        return wrong

    def abandon_after(self, seconds: float) -> None:
        self.client.transport.call_at(self.client.transport.now() + seconds, self._abandon)

    def _abandon(self) -> None:
        if not self.over and self.link.association is not None:
            self.ended("left", None, b"")
            self.link.association.abort(self.cid, not_found=self._abort_missed)

    def _abort(self) -> None:
        """Asks the gateway to abort the command after the deadline."""
        if self.link.association is not None:
            self.link.association.abort(self.cid)

    def _abort_missed(self) -> None:
        """Records an abort without effect: the gateway had already answered or not yet read the command."""
        self.client.recorder.record("abort missed", label=self.request.label, attempt=self.attempt)

    def _timed_out(self, turns: int = 3) -> None:
        # If this process stalled, an answer that arrived in time may still be unread: give the event loop
        # a few turns to read it.
        if turns and not self.over:
            self.client.transport.call_soon(lambda: self._timed_out(turns - 1))
        elif not self.over:
            self.ended("unanswered", None, b"")
            self._abort()

    def _done(self, completion: Completion, data: bytes) -> None:
        self.link.open.pop(self.cid, None)
        if self.over:
            if completion.status != Status.ABORT_REQUESTED:
                self.client.recorder.record("answered late", label=self.request.label, attempt=self.attempt)
            return
        if completion.succeeded:
            self.ended("honoured", completion, data)
        elif completion.rejected:
            self.ended("pushed back", completion, data)
        else:
            self.ended("given up", completion, data)

    def ended(self, how: str, completion: Completion | None, data: bytes) -> None:
        if self.over:
            return
        self.over = True
        if self.timer:
            self.timer.cancel()
        self.client.answered(self, how, completion, data)


class LoadClient:
    """Sends one tenant's load.

    factor: multiple of the usual rate of the volumes' plans.
    start_at, by: when it starts and stops sending, on the machine's clock.
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        tenant: str,
        recorder: Recorder,
        factor: float,
        start_at: float,
        by: float,
        surges: list[Surge],
        log: Any,
    ) -> None:
        self.transport, self.site, self.tenant = transport, site, tenant
        self.recorder, self.log = recorder, log
        self.factor, self.start_at, self.by, self.surges = factor, start_at, by, surges
        self.chance = transport.random_stream(f"client {tenant}")
        self.me = next(t for t in site.tenant if t.name == tenant)
        self.volumes = [v for v in site.volume if v.tenant == tenant]
        self.plans = {p.name: p for p in site.plan}
        self.sorter = RequestClassifier(site)
        gateways = {h for v in self.volumes for h in v.head}
        self.links = {h.number: self._link(h) for h in site.head if h.number in gateways}
        # Shard by volume and extent, as gateways reported it; answered() drops the oldest beyond MAX_SHARDS.
        self.shards: OrderedDict[tuple[int, int], int] = OrderedDict()
        # The extents written last, by volume: at most MAX_REMEMBERED_EXTENTS each.
        self.written: dict[int, list[int]] = {v.number: [] for v in self.volumes}
        # Volume and number of each block whose write was acknowledged; at most all blocks of the volumes.
        self.acknowledged: set[tuple[int, int]] = set()
        self.next_extent = {v.number: 0 for v in self.volumes}
        self.preferred: dict[int, tuple[int, float]] = {}  # by volume: gateway, until when
        self.last_label = self.chance.randrange(2**40) << 20
        self.unfinished = 0
        self.abandon_fraction = ABANDON_FRACTION

    def _link(self, head: pb.Head) -> Any:
        names = AssociationNames(self.site.subsystem, self.me.host[0])
        return GatewayConnection(self.transport, head.number, split_address(head.address), names)

    def _new_attempt(self, request: LoadRequest, attempt: int, link: Any) -> LoadAttempt:
        return LoadAttempt(self, request, attempt, link)

    async def run(self) -> None:
        for link in self.links.values():
            self.transport.spawn(link.keep())
        await self.transport.sleep(max(0.0, self.start_at - self.transport.now()))
        for volume in self.volumes:
            self.transport.spawn(self._arrivals(volume))
        await self.transport.sleep(max(0.0, self.by - self.transport.now()))
        max_timeout = max(p.cut_off for p in self.site.profile)
        until = self.transport.now() + max_timeout + 1.0
        while self.unfinished and self.transport.now() < until:
            await self.transport.sleep(0.05)
        self.recorder.record("end", unfinished=self.unfinished)

    async def _arrivals(self, volume: pb.Volume) -> None:
        """Sends a volume's requests when they are due, however late this loop or an answer is."""
        due = self.transport.now()
        while due < self.by:
            multiple = self.factor
            for surge in self.surges:
                if surge.volume == volume.number and surge.at <= due < surge.at + surge.seconds:
                    multiple *= surge.times
            request = self._next_request(volume, due)
            units = request_units(request.blocks * BLOCK, self.site.links.unit_bytes)
            self._start_attempt(request, 0)
            due += self.chance.expovariate(self.plans[volume.plan].usual * multiple / units)
            if (wait := due - self.transport.now()) > 0:
                await self.transport.sleep(wait)

    def _next_request(self, volume: pb.Volume, due: float) -> LoadRequest:
        draw = self.chance.random()
        extents = volume.blocks // volume.extent_blocks
        hints, key = 0, ""
        if volume.placement == pb.FIRST_WRITE:
            written = self.written[volume.number]
            if written and draw < 0.5:
                operation, blocks = Opcode.READ, 1 + self.chance.randrange(4)
                extent = written[self.chance.randrange(len(written))]
            else:
                operation, blocks = Opcode.WRITE, 1 + self.chance.randrange(16)
                extent = self.next_extent[volume.number]
                self.next_extent[volume.number] = (extent + 1) % extents
            first = extent * volume.extent_blocks
        else:
            extent = self.chance.randrange(min(extents, 12))
            if draw < 0.55:
                operation, blocks = Opcode.READ, 1 + self.chance.randrange(3)
            elif draw < 0.85:
                operation, blocks, hints = Opcode.WRITE, 1 + self.chance.randrange(2), SMALL_WRITE_HINTS
                extent = self.chance.randrange(min(extents, HOT_EXTENTS))
            else:
                operation, blocks = Opcode.READ, 8 + self.chance.randrange(8)
            first = extent * volume.extent_blocks + self.chance.randrange(volume.extent_blocks - blocks)
        profile = self.sorter.classify(volume.plan, operation, blocks * BLOCK, hints)
        if self.site.profile[profile].in_order:
            key = f"{volume.number}/{extent}"
        self.last_label += 1
        by = due + self.site.profile[profile].cut_off
        return LoadRequest(self.last_label, volume, profile, operation, first, blocks, hints, key, due, by)

    def _choose_gateway(self, volume: pb.Volume) -> Any:
        """Chooses a gateway of a volume, mostly a preferred one that changes after 6 to 20 seconds."""
        now = self.transport.now()
        gateway, until = self.preferred.get(volume.number, (0, 0.0))
        if now >= until:
            gateway = volume.head[self.chance.randrange(len(volume.head))]
            self.preferred[volume.number] = (gateway, now + self.chance.uniform(6.0, 20.0))
        if self.chance.random() > 0.6:
            gateway = volume.head[self.chance.randrange(len(volume.head))]
        return self.links[gateway]

    def _start_attempt(self, request: LoadRequest, attempt: int, link: Any = None) -> None:
        link = link or self._choose_gateway(request.volume)
        load_attempt = self._new_attempt(request, attempt, link)
        if not load_attempt.send():
            self.record_not_sent(load_attempt)
            return
        self.unfinished += 1
        if request.operation == Opcode.READ and self.chance.random() < self.abandon_fraction:
            load_attempt.abandon_after(self.chance.uniform(0.0, 0.3))

    def record_not_sent(self, attempt: LoadAttempt) -> None:
        request = attempt.request
        self.recorder.record(
            "not sent",
            label=request.label,
            attempt=attempt.attempt,
            head=attempt.link.number,
            volume=request.volume.number,
            profile=request.profile,
            due=request.due,
        )

    def answered(self, attempt: LoadAttempt, how: str, completion: Completion | None, data: bytes) -> None:
        request, now = attempt.request, self.transport.now()
        self.unfinished -= 1
        wrong = 0
        extent = request.first_block // request.volume.extent_blocks
        if how == "honoured" and completion is not None:
            wrong = attempt.count_wrong_blocks(data)
            if request.operation != Opcode.READ:
                self.acknowledged.update(
                    (request.volume.number, request.first_block + n) for n in range(request.blocks)
                )
                if request.volume.placement == pb.FIRST_WRITE:
                    self.written[request.volume.number].append(extent)
                    del self.written[request.volume.number][:-MAX_REMEMBERED_EXTENTS]
            if completion.dw0:
                self.shards[request.volume.number, extent] = completion.dw0 - 1
                self.shards.move_to_end((request.volume.number, extent))
                if len(self.shards) > MAX_SHARDS:
                    self.shards.popitem(last=False)
        status = completion.status if completion is not None else -1
        self.recorder.record(
            "answer", label=request.label, attempt=attempt.attempt, how=how, status=status, wrong=wrong
        )
        if (
            how in ("honoured", "left", "unanswered")
            or attempt.attempt
            or self.chance.random() > RETRY_FRACTION
        ):
            return
        effect = self.site.profile[request.profile].effect
        if (
            how != "pushed back"
            and effect != pb.REDOABLE
            and not (effect == pb.LABELLED and how == "unreachable")
        ):
            return
        wait = 0.1 + self.chance.random() * 0.2
        if how == "pushed back" and completion is not None:
            wait = max(wait, completion.dw1 / 1000)
        if now + wait < request.by - 0.1:
            self.unfinished += 1  # otherwise run() could return before the retry
            self.transport.call_at(now + wait, lambda: self._retry(request, attempt.link))

    def _retry(self, request: LoadRequest, link: Any) -> None:
        self.unfinished -= 1
        self._start_attempt(request, 1, link)
