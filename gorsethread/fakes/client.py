"""A stand-in client: one tenant's applications, open-loop, over every head its volumes are reached through.

Arrivals don't wait for answers. A client repeats at most once, as its profile permits, and checks what
it reads.
"""

import struct
from collections import OrderedDict
from typing import Any

import msgspec

from gorsethread.fakes.record import Recorder
from gorsethread.nvme.command import Completion, Opcode, Status, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.scheduler_settings import Sorter, units_of
from gorsethread.nvme_transport.host_connection import Association, Names, dial
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Timer, Transport, Unreachable

QUEUE = 128
STAMP = struct.Struct("<QQII8s")
MARK = b"gorseth\n"
SMALL_WRITE_HINTS = 0x10
MAX_REMEMBERED_EXTENTS = 64  # of the extents a tenant wrote last, which its reads go back to
HOT_EXTENTS = 3  # of a volume, which take all its small writes, so that they meet
RETRY_FRACTION = 0.7  # part of the transactions that a client tries a second time
ABANDON_FRACTION = 0.01  # part of the reads whose client does not wait for the answer


class Surge(msgspec.Struct, frozen=True):
    """A volume asks for many times its usual traffic. at: the machine's clock."""

    volume: int
    at: float
    seconds: float
    times: float


def stamped_blocks(label: int, volume: int, first_block: int, blocks: int) -> bytes:
    """What a write puts in each block: who wrote it, and where it belongs."""
    times = BLOCK // STAMP.size
    return b"".join(STAMP.pack(label, first_block + n, volume, 0, MARK) * times for n in range(blocks))


def misplaced_blocks(data: bytes, volume: int, first_block: int) -> int:
    """How many blocks hold neither zeros nor a whole stamp of this place."""
    wrong = 0
    for n in range(len(data) // BLOCK):
        block = data[n * BLOCK : (n + 1) * BLOCK]
        label, at, of, _, mark = STAMP.unpack_from(block)
        good = at == first_block + n and of == volume and mark == MARK
        if any(block) and not (good and block == block[: STAMP.size] * (BLOCK // STAMP.size)):
            wrong += 1
    return wrong


class GatewayConnection:
    """The association with one head, made anew whenever it breaks."""

    def __init__(self, transport: Transport, number: int, address: tuple[str, int], names: Names) -> None:
        self.transport, self.number, self.address, self.names = transport, number, address, names
        self.association: Association | None = None
        self.open: dict[int, LoadAttempt] = {}  # by command id; emptied by answers or the connection's end

    async def keep(self) -> None:
        while True:
            try:
                made = await dial(self.transport, self.address, self.names, within=2.0, size=QUEUE)
            except Unreachable:
                await self.transport.sleep(0.2)
                continue
            made.io.ended = self._ended
            made.admin.ended = lambda reason, made=made: made.io.close(reason)  # type: ignore[misc]
            self.association = made
            while self.association is made:
                await self.transport.sleep(0.1)

    def _ended(self, reason: str) -> None:
        made, self.association = self.association, None
        if made is not None:
            made.close(reason)
        out, self.open = self.open, {}
        for t in out.values():
            t.ended("unreachable", None, b"")


class LoadRequest:
    """What an application wants, over all its tries."""

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
    """One command of a transaction, from its sending to its one answer."""

    def __init__(self, client: "LoadClient", t: LoadRequest, attempt: int, link: Any) -> None:
        self.client, self.request, self.attempt, self.link = client, t, attempt, link
        self.over = False
        self.cid = -1
        self.timer: Timer | None = None
        self.written: list[bool] = []  # of a read's blocks, which were known as written when it was sent

    def send(self) -> bool:
        """False: there is no connection or no room on it, or no time left, and nothing was sent."""
        association, t, client = self.link.association, self.request, self.client
        if association is None or len(association.io.queue) >= QUEUE or association.io.queue.over:
            return False
        now = client.transport.now()
        if now >= t.by:
            return False  # this process itself came too late to it
        shard = client.shards.get((t.volume.number, t.first_block // t.volume.extent_blocks), -1)
        command = io_command(
            t.operation,
            t.volume.number,
            t.first_block,
            t.blocks,
            hints=t.hints,
            patience=t.by - now,
            attempt=self.attempt,
            shard=shard,
            label=t.label,
        )
        data = b""
        if t.operation == Opcode.WRITE:
            data = stamped_blocks(t.label, t.volume.number, t.first_block, t.blocks)
        client.recorder.record(
            "sent",
            label=t.label,
            attempt=self.attempt,
            head=self.link.number,
            volume=t.volume.number,
            profile=t.profile,
            units=units_of(t.blocks * BLOCK, client.site.links.unit_bytes),
            key=t.key,
            by=t.by,
            due=t.due,
        )
        read = 0 if data else t.blocks * BLOCK
        if read:
            blocks = range(t.first_block, t.first_block + t.blocks)
            self.written = [(t.volume.number, block) in client.acknowledged for block in blocks]
        self.cid = association.io.queue.submit(command, self._done, data, read)
        self.link.open[self.cid] = self
        self.timer = client.transport.call_at(t.by, self._time_is_up)
        return True

    def misread(self, data: bytes) -> int:
        """How much of what came back can't be what it asked for."""
        wrong = 0
        if self.request.operation == Opcode.READ:
            wrong = misplaced_blocks(data, self.request.volume.number, self.request.first_block)
            for n, known in enumerate(self.written):
                if known and not any(data[n * BLOCK : n * BLOCK + 16]):
                    wrong += 1
        return wrong

    def leave_after(self, seconds: float) -> None:
        self.client.transport.call_at(self.client.transport.now() + seconds, self._leave)

    def _leave(self) -> None:
        if not self.over and self.link.association is not None:
            self.ended("left", None, b"")
            self.link.association.abort(self.cid, missed=self._abort_missed)

    def _take_back(self) -> None:
        """Its time is up; the head need not go on."""
        if self.link.association is not None:
            self.link.association.abort(self.cid)

    def _abort_missed(self) -> None:
        """The head answered before, or had not read the command yet: it knows nothing of this leaving."""
        self.client.recorder.record("abort missed", label=self.request.label, attempt=self.attempt)

    def _time_is_up(self, turns: int = 3) -> None:
        # What had come in time may still lie unread where this process itself stood still for a moment.
        if turns and not self.over:
            self.client.transport.call_soon(lambda: self._time_is_up(turns - 1))
        elif not self.over:
            self.ended("unanswered", None, b"")
            self._take_back()

    def _done(self, completion: Completion, data: bytes) -> None:
        self.link.open.pop(self.cid, None)
        if self.over:
            if completion.status != Status.ABORT_REQUESTED:
                self.client.recorder.record("answered late", label=self.request.label, attempt=self.attempt)
            return
        if completion.honoured:
            self.ended("honoured", completion, data)
        elif completion.pushed_back:
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
    """factor: how much of its plans' usual traffic it asks for; by: when it stops sending."""

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
        self.sorter = Sorter(site)
        wanted = {h for v in self.volumes for h in v.head}
        self.links = {h.number: self._link(h) for h in site.head if h.number in wanted}
        self.shards: OrderedDict[tuple[int, int], int] = OrderedDict()  # told by heads; bounded below
        self.written: dict[int, list[int]] = {v.number: [] for v in self.volumes}  # extents, the last few
        self.acknowledged: set[tuple[int, int]] = set()  # blocks; no more than the volumes have
        self.next_extent = {v.number: 0 for v in self.volumes}
        self.lead: dict[int, tuple[int, float]] = {}
        self.labels = self.chance.randrange(2**40) << 20
        self.unfinished = 0
        self.abandon_fraction = ABANDON_FRACTION

    def _link(self, head: pb.Head) -> Any:
        names = Names(self.site.subsystem, self.me.host[0])
        return GatewayConnection(self.transport, head.number, split_address(head.address), names)

    def _new_attempt(self, t: LoadRequest, attempt: int, link: Any) -> LoadAttempt:
        return LoadAttempt(self, t, attempt, link)

    async def run(self) -> None:
        for link in self.links.values():
            self.transport.spawn(link.keep())
        await self.transport.sleep(max(0.0, self.start_at - self.transport.now()))
        for volume in self.volumes:
            self.transport.spawn(self._arrivals(volume))
        await self.transport.sleep(max(0.0, self.by - self.transport.now()))
        longest = max(p.cut_off for p in self.site.profile)
        until = self.transport.now() + longest + 1.0
        while self.unfinished and self.transport.now() < until:
            await self.transport.sleep(0.05)
        self.recorder.record("end", unfinished=self.unfinished)

    async def _arrivals(self, volume: pb.Volume) -> None:
        """Open-loop: the next arrival is due by the clock, however late this loop or an answer is."""
        due = self.transport.now()
        while due < self.by:
            times = self.factor
            for s in self.surges:
                if s.volume == volume.number and s.at <= due < s.at + s.seconds:
                    times *= s.times
            t = self._next(volume, due)
            units = units_of(t.blocks * BLOCK, self.site.links.unit_bytes)
            self._try(t, 0)
            due += self.chance.expovariate(self.plans[volume.plan].usual * times / units)
            if (wait := due - self.transport.now()) > 0:
                await self.transport.sleep(wait)

    def _next(self, volume: pb.Volume, due: float) -> LoadRequest:
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
        profile = self.sorter.profile(volume.plan, operation, blocks * BLOCK, hints)
        if self.site.profile[profile].in_order:
            key = f"{volume.number}/{extent}"
        self.labels += 1
        by = due + self.site.profile[profile].cut_off
        return LoadRequest(self.labels, volume, profile, operation, first, blocks, hints, key, due, by)

    def _head_for(self, volume: pb.Volume) -> Any:
        """A volume uses its heads unevenly, and which one most changes."""
        now = self.transport.now()
        lead, until = self.lead.get(volume.number, (0, 0.0))
        if now >= until:
            lead = volume.head[self.chance.randrange(len(volume.head))]
            self.lead[volume.number] = (lead, now + self.chance.uniform(6.0, 20.0))
        if self.chance.random() > 0.6:
            lead = volume.head[self.chance.randrange(len(volume.head))]
        return self.links[lead]

    def _try(self, t: LoadRequest, attempt: int, link: Any = None) -> None:
        link = link or self._head_for(t.volume)
        one = self._new_attempt(t, attempt, link)
        if not one.send():
            self.never_sent(one)
            return
        self.unfinished += 1
        if t.operation == Opcode.READ and self.chance.random() < self.abandon_fraction:
            one.leave_after(self.chance.uniform(0.0, 0.3))

    def never_sent(self, one: LoadAttempt) -> None:
        t = one.request
        self.recorder.record(
            "not sent",
            label=t.label,
            attempt=one.attempt,
            head=one.link.number,
            volume=t.volume.number,
            profile=t.profile,
            due=t.due,
        )

    def answered(self, one: LoadAttempt, how: str, completion: Completion | None, data: bytes) -> None:
        t, now = one.request, self.transport.now()
        self.unfinished -= 1
        wrong = 0
        extent = t.first_block // t.volume.extent_blocks
        if how == "honoured" and completion is not None:
            wrong = one.misread(data)
            if t.operation != Opcode.READ:
                self.acknowledged.update((t.volume.number, t.first_block + n) for n in range(t.blocks))
                if t.volume.placement == pb.FIRST_WRITE:
                    self.written[t.volume.number].append(extent)
                    del self.written[t.volume.number][:-MAX_REMEMBERED_EXTENTS]
            if completion.dw0:
                self.shards[t.volume.number, extent] = completion.dw0 - 1
                self.shards.move_to_end((t.volume.number, extent))
                if len(self.shards) > 100_000:
                    self.shards.popitem(last=False)
        status = completion.status if completion is not None else -1
        self.recorder.record(
            "answer", label=t.label, attempt=one.attempt, how=how, status=status, wrong=wrong
        )
        if how in ("honoured", "left", "unanswered") or one.attempt or self.chance.random() > RETRY_FRACTION:
            return
        effect = self.site.profile[t.profile].effect
        if (
            how != "pushed back"
            and effect != pb.REDOABLE
            and not (effect == pb.LABELLED and how == "unreachable")
        ):
            return
        wait = 0.1 + self.chance.random() * 0.2
        if how == "pushed back" and completion is not None:
            wait = max(wait, completion.dw1 / 1000)
        if now + wait < t.by - 0.1:
            self.unfinished += 1  # else this client would end with a repeat still to come
            self.transport.call_at(now + wait, lambda: self._repeat(t, one.link))

    def _repeat(self, t: LoadRequest, link: Any) -> None:
        self.unfinished -= 1
        self._try(t, 1, link)
