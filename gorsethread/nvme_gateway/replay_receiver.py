"""Carries a main site's head's part of branches' replay: each write that comes is put into effect by this
head's own decisions, as a transaction like others. What is in effect, under way or not known is kept by
`offline_writes/applied_writes.py`, and in this head's records where it may not run twice.
"""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.records import EFFECT, Tombstone, WriteApplied
from gorsethread.durable_log.replication_messages import ProtocolError, encode
from gorsethread.gateway.carrying import Extent, Placement
from gorsethread.gateway.driver import Driver, Open
from gorsethread.head.facts import Sorter, units_of
from gorsethread.head.links import Order
from gorsethread.nvme.command import Opcode, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.offline_writes.applied_writes import Answer, Landing
from gorsethread.offline_writes.base_versions import base_of, digests
from gorsethread.offline_writes.writes import WriteNumber
from gorsethread.recovery.stages import RETRY_AFTER, Stage
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.transport.base import Stream, Transport


class Landed:
    """A branch's write, or the look before it, as the driver's client."""

    def __init__(
        self, ended: Callable[["Landed", Answer, bytes, float], None], redoable: bool, driver: Driver
    ) -> None:
        self.ended, self.redoable, self.driver = ended, redoable, driver
        self.taken: Open | None = None

    def succeeded(self, shard: int, data: bytes) -> None:
        self.ended(self, Answer.IN_EFFECT, data, 0.0)

    def rejected(self, return_after: float) -> None:
        self.ended(self, self._came_to(), b"", return_after)

    def failed(self) -> None:
        self.ended(self, self._came_to(), b"", RETRY_AFTER)

    def _came_to(self) -> Answer:
        """AGAIN where none of its forwards may have run, or that does no harm."""
        assert self.taken is not None
        t = self.driver.scheduler.requests.get(self.taken.id)
        ran = t is None or t.ran_at is not None
        return Answer.UNKNOWN if ran and not self.redoable else Answer.AGAIN


class ReplayReceiver:
    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        promises: ReplicatedLog,
        driver: Driver,
        placement: Placement,
        log: Any,
    ) -> None:
        self.transport, self.site, self.promises, self.log = transport, site, promises, log
        self.driver, self.placement = driver, placement
        self.volumes = {v.number: v for v in site.volume}
        self.plans = {p.name: n for n, p in enumerate(site.plan)}
        self.of_branches = {n for b in site.branch for n in b.head}
        self.sorter = Sorter(site)
        self.landing: Landing | None = None
        self._waiters: dict[
            WriteNumber, list[tuple[Stream, int]]
        ] = {}  # who asked or sent; emptied as each ends
        promises.on_records_recovered = self._recover

    def _recover(self) -> None:
        if self.landing is not None:
            for r in self.promises.store.table.records.values():
                if isinstance(r.fact, WriteApplied):
                    self.landing.recovered(
                        WriteNumber(r.fact.branch, r.fact.incarnation, r.fact.position), r.fact.ran
                    )

    def _known(self) -> Landing | None:
        """None while this head does not know yet what it had begun."""
        if self.promises.recovery.stage is not Stage.COMPLETE or not self.promises.store.started:
            return None
        if self.landing is None:
            self.landing = Landing(self.promises.incarnation)
            self._recover()
        return self.landing

    def took(self, stream: Stream, m: Any) -> None:
        """One message of a branch's head."""
        if isinstance(m, offline_messages.Here):
            stream.write(encode(offline_messages.There(m.beat)))
            return
        landing = self._known()
        if isinstance(m, offline_messages.Marked | offline_messages.Ask | offline_messages.Send):
            branch = m.branch if isinstance(m, offline_messages.Marked) else m.number[0]
            if branch not in self.of_branches:
                raise ProtocolError(f"head {branch} is of no branch")
        if isinstance(m, offline_messages.Marked):
            over = landing.marked(m.branch, m.epoch, m.mark, frozenset(m.parked)) if landing else []
            if over is None:
                self.log.warning("an earlier epoch of a branch is shut out", branch=m.branch, epoch=m.epoch)
            for place in over or ():
                if (EFFECT, m.branch, *place) in self.promises.store.table.records:
                    self.promises.append(Tombstone([EFFECT, m.branch, *place]))
        elif isinstance(m, offline_messages.Ask | offline_messages.Send):
            if (
                not 0 <= m.profile < len(self.site.profile)
                or isinstance(m, offline_messages.Send)
                and not self._fits(m)
            ):
                self.log.error(
                    "a branch's write fits nothing in this head's site file",
                    number=m.number,
                    to_do="give all heads of the site the same site file",
                )
                landing = None
            if landing is None:
                self._tell(stream, WriteNumber(*m.number), Answer.AGAIN, after=RETRY_AFTER)
            elif isinstance(m, offline_messages.Ask):
                self._asked(stream, landing, m)
            else:
                self._sent(stream, landing, m)

    def _fits(self, m: offline_messages.Send) -> bool:
        v = self.volumes.get(m.volume)
        return (
            v is not None
            and len(m.data) % BLOCK == 0
            and m.data != b""
            and (0 <= m.block <= v.blocks - len(m.data) // BLOCK)
            and 0 <= m.hints <= 0xFF
            and (0 <= m.label < 1 << 64 and 0 <= m.attempt <= 0x7F)
        )

    def _tell(
        self, stream: Stream, number: WriteNumber, answer: Answer, sending: int = 0, after: float = 0.0
    ) -> None:
        stream.write(encode(offline_messages.Told(number, int(answer), sending, after)))

    def _redoable(self, profile: int) -> bool:
        return self.site.profile[profile].effect == pb.REDOABLE

    def _asked(self, stream: Stream, landing: Landing, m: offline_messages.Ask) -> None:
        number = WriteNumber(*m.number)
        answer, sending = landing.asked(number, m.epoch, self._redoable(m.profile))
        if answer is Answer.WAITS:
            self._waiters.setdefault(number, []).append((stream, 0))
        else:
            self._tell(stream, number, answer, sending)

    def _sent(self, stream: Stream, landing: Landing, m: offline_messages.Send) -> None:
        number = WriteNumber(*m.number)
        if m.anyway:
            landing.released(number)
        answer = landing.sent(number, m.sending, m.epoch, self._redoable(m.profile))
        if answer not in (Answer.RUNS, Answer.WAITS):
            shut = answer is Answer.SHUT_OUT
            self._tell(
                stream, number, answer, landing.of[number.branch].epoch if shut else m.sending, RETRY_AFTER
            )
            return
        self._waiters.setdefault(number, []).append((stream, m.sending))
        if answer is Answer.WAITS:
            return
        if self._redoable(m.profile):
            self._look(m)
        elif (after := self.promises.retry_after()) > 0.0:
            self._ends(number, Answer.AGAIN, after)
        else:
            # Kept by as many as hold a promise: after a loss of this machine nobody takes it for not begun.
            self.promises.append(WriteApplied(*number, False), lambda kept: self._begun(m, kept))

    def _begun(self, m: offline_messages.Send, kept: bool) -> None:
        if kept:
            self._look(m)
        else:
            self._not_run(WriteNumber(*m.number), RETRY_AFTER)

    def _look(self, m: offline_messages.Send) -> None:
        """Where the branch saw what its blocks held, whether they still hold it."""
        if not m.base:
            self._write(m)
            return

        def looked(one: Landed, answer: Answer, data: bytes, after: float) -> None:
            there = digests(data, BLOCK)
            if answer is not Answer.IN_EFFECT:
                self._not_run(WriteNumber(*m.number), after)
            elif base_of(there) in (m.base, base_of(digests(m.data, BLOCK))):
                self._write(m)
            else:
                self._not_run(WriteNumber(*m.number), 0.0, Answer.CHANGED)

        self._take(m, Opcode.READ, Landed(looked, True, self.driver))

    def _write(self, m: offline_messages.Send) -> None:
        self._take(
            m,
            Opcode.WRITE,
            Landed(
                lambda one, answer, data, after: self._wrote(WriteNumber(*m.number), answer, after),
                self._redoable(m.profile),
                self.driver,
            ),
        )

    def _take(self, m: offline_messages.Send, operation: Opcode, landed: Landed) -> None:
        v, blocks = self.volumes[m.volume], len(m.data) // BLOCK
        reads = operation == Opcode.READ
        profile = self.sorter.profile(v.plan, operation, len(m.data), 0) if reads else m.profile
        known, extent, now = self.site.profile[profile], m.block // v.extent_blocks, self.transport.now()
        command = io_command(
            operation,
            m.volume,
            m.block,
            blocks,
            hints=0 if reads else m.hints,
            attempt=0 if reads else m.attempt,
            label=0 if reads else m.label,
        )
        landed.taken = self.driver.take(
            landed,
            Order(command, b"" if reads else m.data, len(m.data) if reads else 0),
            profile=profile,
            plan=self.plans[v.plan],
            key=f"{m.volume}/{extent}" if known.in_order else None,
            deadline=now + max(0.001, known.cut_off - self.site.rules.answer_slack),
            volume=m.volume,
            units=float(units_of(len(m.data), self.site.links.unit_bytes)),
            shard=self.placement.shard_of(m.volume, extent),
            heads=len(v.head),
            repeat=m.attempt > 0,
            arrived=now,
            place=Extent(m.volume, extent),
        )

    def _wrote(self, number: WriteNumber, answer: Answer, after: float) -> None:
        if answer is Answer.IN_EFFECT:
            self.promises.append(WriteApplied(*number, True))
            self._ends(number, answer, 0.0)
        elif answer is Answer.UNKNOWN:
            self._ends(number, answer, 0.0)
        else:
            self._not_run(number, after)

    def _not_run(self, number: WriteNumber, after: float, answer: Answer = Answer.AGAIN) -> None:
        self.promises.append(Tombstone([EFFECT, *number]))
        self._ends(number, answer, after)

    def _ends(self, number: WriteNumber, answer: Answer, after: float) -> None:
        assert self.landing is not None
        self.landing.ended(number, answer)
        for stream, sending in self._waiters.pop(number, ()):
            self._tell(stream, number, answer, sending, after)
