"""A fake backend: speaks NVMe/TCP, models its machine, and stores real bytes in files that outlive a kill."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from gorsethread.fakes.backend_model import BackendModel, Job
from gorsethread.fakes.discovery import Registration
from gorsethread.fakes.record import Fault, Recorder
from gorsethread.nvme.command import Completion, Opcode, Status, pack_service_report
from gorsethread.nvme.subsystem import BLOCK, Namespace, Subsystem
from gorsethread.nvme_gateway.scheduler_settings import RequestClassifier, request_units
from gorsethread.nvme_transport.controller_server import IoCommand, QueueServer
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import RandomAccessFile, Stream, StreamClosed, Timer, Transport, Unreachable

GATEWAY_MARK = ":head:"


@dataclass(slots=True)
class ReceivedCommand:
    """A backend's record of a command: its units, and its data once that has arrived."""

    units: int
    data: bytes = b""


class FakeBackend:
    """Serves commands as the model of its machine allows, with faults from a script.

    number: its number in the site. script: faults with their times on the transport's clock.
    folder: directory of the files that hold its bytes. warm: it counts as started long ago.
    on_overload: called when it is overloaded during slow start.
    """

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
        self.machine = BackendModel(site.machine, site.rules.cold, transport.now(), warm)
        self.warm = warm
        self.error_fraction, self.errors_until = 0.0, 0.0
        self.script = script
        self.sorter = RequestClassifier(site)
        self.volumes = {v.number: v for v in site.volume}
        self.namespaces = [Namespace(v.number, v.blocks, v.extent_blocks) for v in site.volume]
        self.subsystem = Subsystem(
            site.subsystem, self._admits, f"shelf-{number}", "gorsethread stand-in", site.links.largest_bytes
        )
        self.server = QueueServer(transport, self.subsystem, self, 4096, log)
        self.files: dict[int, RandomAccessFile] = {}  # by volume
        self.stalled_commands: list[IoCommand] = []  # received while stalled; emptied when the stall ends
        # Idempotency windows: when each key expires. Emptied as the windows end.
        self.key_expiry: dict[int, float] = {}
        # Repeats of keyed writes that wait for the first attempt to end.
        self.waiting_repeats: dict[int, list[IoCommand]] = {}
        self.units_served: dict[int, dict[int, int]] = {}  # units by volume and gateway
        self.units_reported: dict[tuple[int, int], int] = {}  # units of other gateways, by volume and gateway
        # By volume: the period's number, units in it, units in the period before.
        self.meter: dict[int, tuple[int, int, int]] = {}
        self._timer: Timer | None = None
        self._timer_at = float("inf")

    def start(self) -> None:
        host, port = split_address(self.me.address)
        self._listen(host, port)
        self.transport.spawn(self._register())
        for fault in self.script:
            self.transport.call_at(fault.at, lambda fault=fault: self._fault(fault))  # type: ignore[misc]
        if self.site.machine.put_off:
            self._run_deferred_work()
        self.recorder.record(
            "up",
            shelf=self.number,
            shard=self.me.shard,
            zone=self.me.zone,
            start=self.start_id,
            warm=self.warm,
        )
        self.log.info("backend is listening", address=f"{host}:{self.port}", shard=self.me.shard)

    def _listen(self, host: str, port: int) -> None:
        self._listener = self.transport.listen(host, port, self.server.on_stream)
        self.port = self._listener.port

    def stop(self) -> None:
        self._listener.close()
        self.server.stop("the backend stops")

    # ---- faults

    def _fault(self, fault: Fault) -> None:
        now = self.transport.now()
        self.log.warning("fault", kind=fault.kind, seconds=fault.seconds, part=fault.part)
        self.recorder.record("fault", kind=fault.kind, seconds=fault.seconds)
        if fault.kind == "still":
            self.machine.stall(now, fault.seconds)
            self.transport.call_at(self.machine.stalled_until, self._end_stall)
        elif fault.kind == "errors":
            self.error_fraction, self.errors_until = fault.part, now + fault.seconds
        elif fault.kind == "slow":
            self.machine.slowdown = fault.part
            self.transport.call_at(now + fault.seconds, lambda: setattr(self.machine, "slowdown", 1.0))

    def _end_stall(self) -> None:
        if self.machine.is_stalled(self.transport.now()):
            return
        stalled, self.stalled_commands = self.stalled_commands, []
        for io in stalled:
            self._queue(io)
        self._advance()

    def _run_deferred_work(self) -> None:
        self.machine.start_deferred_work(self.transport.now())
        self._advance()
        self.transport.call_at(
            self.transport.now() + self.site.machine.put_off_every, self._run_deferred_work
        )

    # ---- I/O commands

    def _admits(self, host: str) -> list[Namespace] | None:
        _, mark, number = host.rpartition(GATEWAY_MARK)
        return self.namespaces if mark and number.isdigit() else None

    def command_announced(self, io: IoCommand) -> None:
        """Records the command's arrival when its capsule is read, before its data."""
        c = io.command
        units = request_units(c.blocks * BLOCK, self.site.links.unit_bytes)
        io.owner_state = ReceivedCommand(units)
        self.recorder.record(
            "arrived",
            shelf=self.number,
            start=self.start_id,
            head=_gateway_of(io),
            label=c.label,
            attempt=c.attempt,
            volume=c.nsid,
            units=units,
            op=c.opcode,
        )
        self.machine.count_arrival(self.transport.now(), units)
        if self.machine.overloaded:
            self.recorder.record("fell", shelf=self.number, start=self.start_id)
            self.log.error("overloaded during slow start")
            self.stop()
            self.on_overload()

    def command_received(self, io: IoCommand, data: bytes) -> None:
        if self.machine.overloaded:
            return
        io.owner_state.data = data
        if self.machine.is_stalled(self.transport.now()):
            self.stalled_commands.append(io)
            return
        self._queue(io)
        self._advance()

    def command_abandoned(self, io: IoCommand) -> None:
        """Drops an aborted command if it has not started.

        After a lost connection the command runs nevertheless, as it would on a disk.
        """
        if not io.connection.queue.closed:
            self._withdraw(io)

    def _withdraw(self, io: IoCommand) -> None:
        if io in self.stalled_commands:
            self.stalled_commands.remove(io)
        elif not self.machine.withdraw(io):
            return
        self._record_end(io, "dropped", False)
        if (repeats := self.waiting_repeats.pop(io.command.label, None)) is not None:
            # The attempt that the repeats wait for will not run, so the next repeat runs instead.
            self.key_expiry.pop(io.command.label, None)
            for repeat in repeats:
                self._queue(repeat)

    def _profile(self, io: IoCommand) -> pb.Profile:
        c, volume = io.command, self.volumes[io.command.nsid]
        return self.site.profile[self.sorter.classify(volume.plan, c.opcode, c.blocks * BLOCK, c.hints)]

    def _queue(self, io: IoCommand) -> None:
        c, now = io.command, self.transport.now()
        profile = self._profile(io)
        if now < self.errors_until and self.chance.random() < self.error_fraction:
            ran = c.opcode == Opcode.WRITE and self.chance.random() < 0.5
            if ran:
                self._apply(io)
            self._record_end(io, "error", ran)
            io.answer(Completion(0, Status.INTERNAL_ERROR, do_not_retry=True))
            return
        if profile.effect == pb.LABELLED and c.label:
            if c.label in self.waiting_repeats:
                self.waiting_repeats[c.label].append(io)
                return
            if now < self.key_expiry.get(c.label, 0.0):
                self._record_end(io, "repeat", False)
                io.answer(Completion(0))
                return
        deferred_fraction = self.site.machine.put_off if c.opcode == Opcode.WRITE else 0.0
        job = Job(io, io.owner_state.units * self.site.machine.unit_time, deferred_fraction)
        if not self.machine.offer(now, job):
            self._record_end(io, "turned away", False)
            io.answer(Completion(0, Status.COMMAND_INTERRUPTED))
            return
        if profile.effect == pb.LABELLED and c.label:
            self.waiting_repeats[c.label] = []
            self.key_expiry[c.label] = now + profile.remembered
            while (
                (first := next(iter(self.key_expiry)))
                and self.key_expiry[first] < now
                and first not in self.waiting_repeats
            ):
                del self.key_expiry[first]

    def _advance(self) -> None:
        now = self.transport.now()
        for job in self.machine.finished(now):
            if job.item is not None:
                self._finish(job, now)
        due = self.machine.next_end(now)
        if due != self._timer_at or self._timer is None:
            if self._timer:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.transport.call_at(due, self._timer_fired) if due < float("inf") else None

    def _timer_fired(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        self._advance()

    def _finish(self, job: Job, now: float) -> None:
        io: IoCommand = job.item
        c = io.command
        data = b""
        if c.opcode == Opcode.WRITE:
            self._apply(io)
        else:
            data = self._file(c.nsid).read(c.first_block * BLOCK, c.blocks * BLOCK)
        elsewhere, usage = self._count(c.nsid, _gateway_of(io), io.owner_state.units, now)
        dw0, dw1 = pack_service_report(elsewhere, usage, now - job.started_at)
        self._record_end(io, "honoured", c.opcode == Opcode.WRITE)
        io.answer(Completion(0, dw0=dw0, dw1=dw1), data)
        for repeat in self.waiting_repeats.pop(c.label, []):
            self._record_end(repeat, "repeat", False)
            repeat.answer(Completion(0))

    def _apply(self, io: IoCommand) -> None:
        self._file(io.command.nsid).write(io.command.first_block * BLOCK, io.owner_state.data)
        self.recorder.record("ran", shelf=self.number, label=io.command.label, attempt=io.command.attempt)

    def _file(self, volume: int) -> RandomAccessFile:
        if volume not in self.files:
            self.files[volume] = self.transport.open_random_access(
                f"{self.folder}/shard-{self.me.shard}-volume-{volume}"
            )
        return self.files[volume]

    def _count(self, volume: int, gateway: int, units: int, now: float) -> tuple[int, int]:
        """Counts the units that a gateway was served.

        Returns the units that other gateways were served since this gateway was last told, and the volume's
        usage in the last complete period: 1 + percent of the plan's usual rate, or 0 if it is not metered.
        The first is 0 if the site's backends do not report it.
        """
        served = self.units_served.setdefault(volume, {})
        served[gateway] = served.get(gateway, 0) + units
        others = sum(n for other, n in served.items() if other != gateway)
        elsewhere = others - self.units_reported.get((volume, gateway), 0)
        self.units_reported[volume, gateway] = others
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

    def _record_end(self, io: IoCommand, how: str, ran: bool) -> None:
        c = io.command
        self.recorder.record(
            "ended",
            shelf=self.number,
            start=self.start_id,
            head=_gateway_of(io),
            label=c.label,
            attempt=c.attempt,
            how=how,
            ran=ran,
        )

    # ---- discovery

    async def _register(self) -> None:
        """Registers with discovery and holds the connection open as long as this process runs.

        Discovery takes the connection as the only sign that the backend is up.
        """
        while True:
            try:
                stream: Stream = await self.transport.connect(*split_address(self.site.list.address), 1.0)
                age = 0.0 if self.warm else max(0.001, self.transport.now() - self.machine.started_at)
                me = Registration(
                    self.number, self.me.address, self.me.shard, self.me.zone, self.start_id, age
                )
                stream.write(msgspec.json.encode(me) + b"\n")
                while True:
                    await stream.read()
            except (Unreachable, StreamClosed):
                await self.transport.sleep(0.5)


def _gateway_of(io: IoCommand) -> int:
    return int(io.host.rpartition(GATEWAY_MARK)[2])
