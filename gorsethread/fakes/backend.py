"""A stand-in shelf: NVMe/TCP outside, a model machine inside, real bytes in files that outlive a kill."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from gorsethread.fakes.backend_model import Job, Machine
from gorsethread.fakes.discovery import Registration
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.nvme.command import Completion, Opcode, Status, tell_service
from gorsethread.nvme.subsystem import BLOCK, Namespace, Subsystem
from gorsethread.nvme_gateway.scheduler_settings import Sorter, units_of
from gorsethread.nvme_transport.controller_server import IoCommand, QueueServer
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import RandomAccessFile, Stream, StreamClosed, Timer, Transport, Unreachable

GATEWAY_MARK = ":head:"


@dataclass(slots=True)
class ReceivedCommand:
    """What a shelf keeps of a command: its units, and its data once that is here."""

    units: int
    data: bytes = b""


class FakeBackend:
    """warm: as if up for long. folder: where its bytes are kept; fell: called when it is pushed over."""

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        number: int,
        recorder: Recorder,
        folder: str,
        script: list[Fault],
        warm: bool,
        log: Any,
        on_overload: Callable[[], None],
    ) -> None:
        self.on_overload = on_overload
        self.transport, self.site, self.number = transport, site, number
        self.recorder, self.folder, self.log = recorder, folder, log
        self.me = next(s for s in site.shelf if s.number == number)
        self.chance = transport.random_stream(f"shelf {number}")
        self.start_id = int(transport.now() * 1e6)
        self.machine = Machine(site.machine, site.rules.cold, transport.now(), warm)
        self.warm = warm
        self.error_part, self.errors_until = 0.0, 0.0
        self.script = script
        self.sorter = Sorter(site)
        self.volumes = {v.number: v for v in site.volume}
        self.namespaces = [Namespace(v.number, v.blocks, v.extent_blocks) for v in site.volume]
        self.subsystem = Subsystem(
            site.subsystem, self._admits, f"shelf-{number}", "gorsethread stand-in", site.links.largest_bytes
        )
        self.server = QueueServer(transport, self.subsystem, self, 4096, log)
        self.files: dict[int, RandomAccessFile] = {}  # one a volume
        self.silent: list[IoCommand] = []  # came while it stood still; emptied as it moves again
        # labelled writes done, emptied as their time to be remembered passes
        self.labels: dict[int, float] = {}
        self.doing: dict[int, list[IoCommand]] = {}  # repeats of labelled writes that wait for the first
        self.served: dict[int, dict[int, int]] = {}  # units by volume and head
        self.told: dict[tuple[int, int], int] = {}  # of others' units, by volume and head
        self.meter: dict[int, tuple[int, int, int]] = {}  # by volume: period, units in it, in the one before
        self._timer: Timer | None = None
        self._timer_at = float("inf")

    def start(self) -> None:
        host, port = split_address(self.me.address)
        self._listen(host, port)
        self.transport.spawn(self._register())
        for fault in self.script:
            self.transport.call_at(fault.at, lambda fault=fault: self._fault(fault))  # type: ignore[misc]
        if self.site.machine.put_off:
            self._pay()
        self.recorder.record(
            "up",
            shelf=self.number,
            shard=self.me.shard,
            zone=self.me.zone,
            start=self.start_id,
            warm=self.warm,
        )
        self.log.info("shelf serves", address=f"{host}:{self.port}", shard=self.me.shard)

    def _listen(self, host: str, port: int) -> None:
        self._listener = self.transport.listen(host, port, self.server.on_stream)
        self.port = self._listener.port

    def stop(self) -> None:
        self._listener.close()
        self.server.stop("the shelf ends")

    # ---- faults

    def _fault(self, fault: Fault) -> None:
        now = self.transport.now()
        self.log.warning("fault", kind=fault.kind, seconds=fault.seconds, part=fault.part)
        self.recorder.record("fault", kind=fault.kind, seconds=fault.seconds)
        if fault.kind == "still":
            self.machine.stand_still(now, fault.seconds)
            self.transport.call_at(self.machine.still_until, self._move_again)
        elif fault.kind == "errors":
            self.error_part, self.errors_until = fault.part, now + fault.seconds
        elif fault.kind == "slow":
            self.machine.slow = fault.part
            self.transport.call_at(now + fault.seconds, lambda: setattr(self.machine, "slow", 1.0))

    def _move_again(self) -> None:
        if self.machine.is_still(self.transport.now()):
            return
        silent, self.silent = self.silent, []
        for io in silent:
            self._offer(io)
        self._look()

    def _pay(self) -> None:
        self.machine.pay(self.transport.now())
        self._look()
        self.transport.call_at(self.transport.now() + self.site.machine.put_off_every, self._pay)

    # ---- I/O commands

    def _admits(self, host: str) -> list[Namespace] | None:
        _, mark, number = host.rpartition(GATEWAY_MARK)
        return self.namespaces if mark and number.isdigit() else None

    def announced(self, io: IoCommand) -> None:
        """Stamped as the capsule comes, before anything else is known of it."""
        c = io.command
        units = units_of(c.blocks * BLOCK, self.site.links.unit_bytes)
        io.owned = ReceivedCommand(units)
        self.recorder.record(
            "arrived",
            shelf=self.number,
            start=self.start_id,
            head=_head(io),
            label=c.label,
            attempt=c.attempt,
            volume=c.nsid,
            units=units,
            op=c.opcode,
        )
        self.machine.arrives(self.transport.now(), units)
        if self.machine.fallen:
            self.recorder.record("fell", shelf=self.number, start=self.start_id)
            self.log.error("pushed over while cold")
            self.stop()
            self.on_overload()

    def taken(self, io: IoCommand, data: bytes) -> None:
        if self.machine.fallen:
            return
        io.owned.data = data
        if self.machine.is_still(self.transport.now()):
            self.silent.append(io)
            return
        self._offer(io)
        self._look()

    def left(self, io: IoCommand) -> None:
        """An abort drops what has not begun; after a lost connection the work goes on, as a disk's would."""
        if not io.connection.queue.over:
            self._withdraw(io)

    def _withdraw(self, io: IoCommand) -> None:
        if io in self.silent:
            self.silent.remove(io)
        elif not self.machine.withdraw(io):
            return
        self._saw_end(io, "dropped", False)
        if (repeats := self.doing.pop(io.command.label, None)) is not None:
            # The first of them will not run after all: the next takes its place.
            self.labels.pop(io.command.label, None)
            for repeat in repeats:
                self._offer(repeat)

    def _profile(self, io: IoCommand) -> pb.Profile:
        c, volume = io.command, self.volumes[io.command.nsid]
        return self.site.profile[self.sorter.profile(volume.plan, c.opcode, c.blocks * BLOCK, c.hints)]

    def _offer(self, io: IoCommand) -> None:
        c, now = io.command, self.transport.now()
        profile = self._profile(io)
        if now < self.errors_until and self.chance.random() < self.error_part:
            ran = c.opcode == Opcode.WRITE and self.chance.random() < 0.5
            if ran:
                self._apply(io)
            self._saw_end(io, "error", ran)
            io.answer(Completion(0, Status.INTERNAL_ERROR, final=True))
            return
        if profile.effect == pb.LABELLED and c.label:
            if c.label in self.doing:
                self.doing[c.label].append(io)
                return
            if now < self.labels.get(c.label, 0.0):
                self._saw_end(io, "repeat", False)
                io.answer(Completion(0))
                return
        put_off = self.site.machine.put_off if c.opcode == Opcode.WRITE else 0.0
        job = Job(io, io.owned.units * self.site.machine.unit_time, put_off)
        if not self.machine.offer(now, job):
            self._saw_end(io, "turned away", False)
            io.answer(Completion(0, Status.COMMAND_INTERRUPTED))
            return
        if profile.effect == pb.LABELLED and c.label:
            self.doing[c.label] = []
            self.labels[c.label] = now + profile.remembered
            while (first := next(iter(self.labels))) and self.labels[first] < now and first not in self.doing:
                del self.labels[first]

    def _look(self) -> None:
        now = self.transport.now()
        for job in self.machine.finished(now):
            if job.what is not None:
                self._finish(job, now)
        due = self.machine.next_end(now)
        if due != self._timer_at or self._timer is None:
            if self._timer:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.transport.call_at(due, self._timer_came) if due < float("inf") else None

    def _timer_came(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        self._look()

    def _finish(self, job: Job, now: float) -> None:
        io: IoCommand = job.what
        c = io.command
        got = b""
        if c.opcode == Opcode.WRITE:
            self._apply(io)
        else:
            got = self._file(c.nsid).read(c.first_block * BLOCK, c.blocks * BLOCK)
        elsewhere, usage = self._count(c.nsid, _head(io), io.owned.units, now)
        dw0, dw1 = tell_service(elsewhere, usage, now - job.begun)
        self._saw_end(io, "honoured", c.opcode == Opcode.WRITE)
        io.answer(Completion(0, dw0=dw0, dw1=dw1), got)
        for repeat in self.doing.pop(c.label, []):
            self._saw_end(repeat, "repeat", False)
            repeat.answer(Completion(0))

    def _apply(self, io: IoCommand) -> None:
        self._file(io.command.nsid).write(io.command.first_block * BLOCK, io.owned.data)
        self.recorder.record("ran", shelf=self.number, label=io.command.label, attempt=io.command.attempt)

    def _file(self, volume: int) -> RandomAccessFile:
        if volume not in self.files:
            self.files[volume] = self.transport.open_random_access(
                f"{self.folder}/shard-{self.me.shard}-volume-{volume}"
            )
        return self.files[volume]

    def _count(self, volume: int, head: int, units: int, now: float) -> tuple[int, int]:
        """Units others got here since this head was last told, and usage here in the last whole period."""
        served = self.served.setdefault(volume, {})
        served[head] = served.get(head, 0) + units
        others = sum(u for h, u in served.items() if h != head)
        elsewhere = others - self.told.get((volume, head), 0)
        self.told[volume, head] = others
        usage = 0
        if length := self.site.machine.meter_period:
            period = int(now / length)
            at, here, before = self.meter.get(volume, (period, 0, 0))
            if at != period:
                at, here, before = period, 0, here if at == period - 1 else 0
            self.meter[volume] = (at, here + units, before)
            plan = next(p for p in self.site.plan if p.name == self.volumes[volume].plan)
            usage = 1 + round(100 * before / length / plan.usual)
        return (elsewhere if self.site.machine.tells_elsewhere else 0), usage

    def _saw_end(self, io: IoCommand, how: str, ran: bool) -> None:
        c = io.command
        self.recorder.record(
            "ended",
            shelf=self.number,
            start=self.start_id,
            head=_head(io),
            label=c.label,
            attempt=c.attempt,
            how=how,
            ran=ran,
        )

    # ---- the node list

    async def _register(self) -> None:
        """Keeps a connection to the list for as long as this process runs; that is all the list knows."""
        while True:
            try:
                stream: Stream = await self.transport.connect(*split_address(self.site.list.address), 1.0)
                age = 0.0 if self.warm else max(0.001, self.transport.now() - self.machine.since)
                me = Registration(
                    self.number, self.me.address, self.me.shard, self.me.zone, self.start_id, age
                )
                stream.write(msgspec.json.encode(me) + b"\n")
                while True:
                    await stream.read()
            except (Unreachable, StreamClosed):
                await self.transport.sleep(0.5)


def _head(io: IoCommand) -> int:
    return int(io.host.rpartition(GATEWAY_MARK)[2])
