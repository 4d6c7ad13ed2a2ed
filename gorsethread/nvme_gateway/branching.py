"""Carries a branch's queue: what its clients' commands become while the link is gone, on disk and at the
branch's other head before an answer, and to the main site's heads once the link is back.

What is decided is decided by pure cores (`offline_writes/`): the link (`link_monitor.py`), a command's way
(`admission.py`), queue and replay (`write_queue.py`, `replay_window.py`), who takes it and who stands in
(`primaries.py`).
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from gorsethread.durable_log.records import (
    NO_SEQUENCE,
    QUEUED,
    STEP,
    Fact,
    Record,
    Tombstone,
    WriteDiscarded,
    WriteProgress,
    WriteQueued,
)
from gorsethread.durable_log.replica_placement import weight
from gorsethread.durable_log.replication_messages import MessageReader, ProtocolError, encode
from gorsethread.gateway.carrying import Place
from gorsethread.head.peers import fleet_of
from gorsethread.nvme.command import Opcode
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.replicated_log import CONNECT_TIMEOUT, ReplicatedLog
from gorsethread.offline_writes import admission
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.offline_writes.applied_writes import Answer
from gorsethread.offline_writes.base_versions import Bases
from gorsethread.offline_writes.link_monitor import Link, State
from gorsethread.offline_writes.pending_overlay import Shadow
from gorsethread.offline_writes.primaries import FENCED, PARKS_AFTER, PROBED, StandIn, homes
from gorsethread.offline_writes.replay_window import Pace
from gorsethread.offline_writes.write_queue import DEPENDS, Bounds, Held, Queue, Stage
from gorsethread.offline_writes.writes import Context, Write, WriteNumber, causes
from gorsethread.recovery.spacing import spread_retry_after
from gorsethread.recovery.stages import RETRY_AFTER
from gorsethread.recovery.stages import Stage as Returns
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Timer, Transport, Unreachable

TICK = 0.1  # seconds
BEAT = 0.5  # seconds between signs asked of a head of the main site
SILENCE_MOST = 2.0  # seconds without any word on a way, after which it is made anew
TRY_EVERY = 0.5  # seconds between two tries at a way
SAY_AGAIN = 0.5  # seconds until what the disk did not take is written again
UNSURE = "its head's disk was lost before it was known whether its client was told that it is accepted"
HISTORY = 1000  # changes kept for people


@dataclass
class Way:
    """To one head of the main site."""

    stream: Stream | None = None
    connecting: bool = False
    heard: float = 0.0
    beaten: float = 0.0
    tried: float = -1e9
    beat: int = 0


@dataclass
class Taking:
    """A write on its way to the disks. waiting: who is owed the answer, None once there is nobody."""

    fact: WriteQueued
    waiting: Any
    host: str
    timer: Timer | None = None
    failed: bool = False  # it can't be kept, and is being taken back


@dataclass
class Mate:
    """The branch's other head, as its records here show it."""

    writes: dict[WriteNumber, WriteQueued] = field(default_factory=dict)  # emptied as they are over
    sure: set[WriteNumber] = field(default_factory=set)  # of them, accepted for certain
    parked: set[WriteNumber] = field(default_factory=set)  # of them
    stood_for: Queue | None = None  # its writes, while this head replays them
    epoch: int = 0
    doubted: set[WriteNumber] = field(default_factory=set)  # as its records begin anew, not named by them yet
    clients: dict[str, Context] = field(default_factory=dict)  # by host, as many as the site names


class OfflineWrites:
    """open_at: whether a live transaction of that place is still open here. living: heads not held dead.
    copy: of the branch's other head, up to where its records are whole here (life, place)."""

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        head: int,
        promises: ReplicatedLog,
        living: Callable[[], list[int]],
        open_at: Callable[[Place], bool],
        copy: Callable[[int], tuple[int, int]],
        log: Any,
    ) -> None:
        self.transport, self.site, self.head, self.promises = transport, site, head, promises
        self.living, self.open_at, self.copy, self.log = living, open_at, copy, log
        self.fleet = fleet_of(site)
        me = next(b for b in site.branch if head in b.head)
        self.name = me.name
        away = {n for b in site.branch for n in b.head}
        self.main = {h.number: split_address(h.peers) for h in site.head if h.peers and h.number not in away}
        self.homes = {v.number: homes(v.number, [n for n in v.head if n in self.main]) for v in site.volume}
        self.volumes = {v.number: v for v in site.volume}
        self.mate_number = next((n for n in me.head if n != head), -1)
        self.mate = Mate()
        held = [p for p in site.profile if p.held_when_cut_off]
        self.queue = Queue(
            Bounds(me.queue_bytes, me.queue_writes, me.queue_age),
            tuple(p.value for p in held),
            self._mates_is_over,
        )
        self.link = Link(transport.now())
        self.pace, self.stand_in = Pace(), StandIn()
        self.shadow, self.bases = Shadow(BLOCK), Bases(BLOCK)
        self.contexts: dict[str, Context] = {}  # by client's host; as many as the site names
        self.counts: Counter[str] = Counter()
        self.history: deque[dict[str, Any]] = deque(maxlen=HISTORY)
        self.chance = transport.chance("branch")
        self.stopped = False
        self.epoch = 0  # under which it replays; its life, or later after it was shut out
        self._fenced_until = 0.0
        self._later_epoch = 0  # of whom it was shut out by
        self._taking: dict[WriteNumber, Taking] = {}  # emptied as each lasts, or can't
        self._ways: dict[int, Way] = {}  # as many as heads of the main site
        self._ready = False

    # ---- the head's start

    def start(self) -> None:
        self.promises.on_records_recovered = self._given_back
        if self.mate_number >= 0:
            self.copy(self.mate_number)  # what is held of the other head is known before anything is taken
        self._recover(not self.promises.recovery.trusts_own_records)
        self.transport.spawn(self._run())

    def stop(self) -> None:
        self.stopped = True
        for way in self._ways.values():
            if way.stream is not None:
                way.stream.close()

    async def _run(self) -> None:
        while not self.promises.store.started and not self.stopped:
            await self.transport.sleep(TICK)
        self.epoch = self.promises.incarnation
        self._ready = True
        self._say_parked()
        while not self.stopped:
            self._tick()
            await self.transport.sleep(TICK)

    def _given_back(self) -> None:
        """Others held more of this head's records than it did: how far these writes had come it can't say."""
        self._recover(True)

    def _recover(self, unsure: bool) -> None:
        table = self.promises.store.table
        steps = {
            r.fact.subject[1:]: r.fact for r in table.records.values() if isinstance(r.fact, WriteProgress)
        }
        found = [r.fact for r in table.records.values() if isinstance(r.fact, WriteQueued)]
        for f in sorted(found, key=lambda f: (f.incarnation, f.position)):
            number = WriteNumber(self.head, f.incarnation, f.position)
            if number in self.queue.held or number in self._taking:
                continue
            step = steps.get((f.incarnation, f.position))
            stage = Stage(step.stage) if step is not None else Stage.WAITS
            suspects = tuple(step.suspects) if step is not None else ()
            anyway = step is not None and step.forced
            if stage is not Stage.PARKED:
                under_way = unsure or stage in (Stage.SENT, Stage.ASKED, Stage.UNKNOWN)
                stage = Stage.UNKNOWN if under_way else Stage.WAITS
            if unsure or stage is Stage.UNKNOWN and not suspects:
                suspects = tuple(self.homes[f.volume])
            reason = step.reason if step is not None else ""
            if unsure and step is None:
                # Its client may have been told that it was given up: neither sent for that, nor lost.
                stage, reason, suspects = Stage.PARKED, UNSURE, ()
            write = self._write(number, f, anyway)
            self.queue.accepted(write, stage, reason, suspects, anyway)
            context = self.contexts.setdefault(f.host, Context())
            if step is not None:
                context.answered(write)
            else:
                context.knows(number)
            if stage is not Stage.PARKED:
                self._shows(number, f)
        for n in self.mate.parked:
            self.queue.parked_elsewhere(n)
        if self._ready:
            self._say_parked()
        if found:
            self.log.info(
                "queued writes are back",
                writes=len(self.queue.held),
                parked=len(self.queue.parked),
                unsure=unsure,
            )

    def _say_parked(self) -> None:
        for h in self.queue.parked:
            self._step(h.write.number)

    def _write(self, number: WriteNumber, f: WriteQueued, anyway: bool = False) -> Write:
        p = self.site.profile[f.request_class]
        return Write(
            number,
            f.volume,
            f.block,
            f.key,
            p.value,
            len(f.data),
            f.accepted_at,
            tuple(WriteNumber(*n) for n in f.own_dependencies),
            tuple(WriteNumber(*n) for n in f.other_dependencies),
            f.base_digest,
            p.when_changed == pb.PARK and not anyway,
            p.effect == pb.REDOABLE,
            f.label,
        )

    def _hides(self, number: WriteNumber, f: WriteQueued) -> None:
        """It is parked: what its blocks hold is what the main site has."""
        self.shadow.remove(number)
        self.bases.forget(f.volume, f.block, f.blocks)

    def _shows(self, number: WriteNumber, f: WriteQueued) -> None:
        self.shadow.add(
            number,
            f.volume,
            f.block,
            f.data,
            (WriteNumber(*n) for n in (*f.own_dependencies, *f.other_dependencies)),
        )

    # ---- the branch's other head

    def heard_of(self, origin: int, records: list[Record], begins: bool, last: tuple[int, int]) -> None:
        """Records of another head are on this head's disk now, and all that holds up to last."""
        if origin != self.mate_number:
            return
        mate = self.mate
        if begins:
            mate.doubted = set(mate.writes)
        for r in records:
            if isinstance(r.fact, WriteQueued):
                number = WriteNumber(origin, r.fact.incarnation, r.fact.position)
                mate.doubted.discard(number)
                if number not in mate.writes:
                    mate.writes[number] = r.fact
                    mate.clients.setdefault(r.fact.host, Context()).knows(number)
                    self._shows(number, r.fact)
        # Words on what is over are dropped in time: who begins anew does not name it any more.
        for number in [n for n in mate.doubted if n[1:] <= last]:
            mate.doubted.discard(number)
            self._mates_ended(number)
        for r in records:
            if isinstance(r.fact, Tombstone) and r.fact.subject[0] == QUEUED:
                self._mates_ended(WriteNumber(origin, *r.fact.subject[1:]))
            elif isinstance(r.fact, WriteProgress):
                self._mates_step(WriteNumber(origin, r.fact.incarnation, r.fact.position), r.fact.stage)

    def _mates_step(self, number: WriteNumber, stage: str) -> None:
        f = self.mate.writes.get(number)
        if f is not None and number not in self.mate.sure:
            self.mate.sure.add(number)
            self.mate.clients[f.host].answered(self._write(number, f))
        if f is not None and stage == Stage.PARKED.value:
            self.mate.parked.add(number)
            self._hides(number, f)
            self.queue.parked_elsewhere(number)
            self._parked(self.queue)
        elif f is not None and number in self.mate.parked:
            self.mate.parked.discard(number)
            self._shows(number, f)
            self._freed(self.queue.freed(number, self.mate.parked.__contains__))

    def _mates_ended(self, number: WriteNumber) -> None:
        self.mate.writes.pop(number, None)
        self.mate.parked.discard(number)
        self.mate.sure.discard(number)
        self.shadow.remove(number)
        if self.mate.stood_for is not None:
            self.mate.stood_for.in_effect(number)
        self._freed(self.queue.freed(number, self.mate.parked.__contains__))
        self._replay()

    def _freed(self, numbers: list[WriteNumber]) -> None:
        for n in numbers:
            self._note("released", n, "what it depends on is")
            self._shows(n, self._fact(n))
            self._step(n)

    def _mates_is_over(self, number: WriteNumber) -> bool:
        # A disk that was lost took the copy too: until it is there again nobody here can say.
        return number not in self.mate.writes and self.copy(self.mate_number) >= number[1:]

    def _over(self, number: WriteNumber) -> bool:
        return number not in self.queue.held and number not in self.mate.writes

    def _stands_in(self, now: float) -> None:
        if self.mate_number < 0:
            return
        lives = self.mate_number in self.living()
        if not self.stand_in.stands_in(lives, now):
            if lives and self.mate.stood_for is not None:
                self.mate.stood_for = None
                self._note("gives back", None, f"head {self.mate_number} lives")
        elif self.mate.stood_for is None and self.mate.writes:
            queue = Queue(self.queue.bounds, (), lambda n: n not in self.queue.held)
            for number, f in sorted(self.mate.writes.items()):
                sure = number in self.mate.sure
                queue.accepted(
                    self._write(number, f),
                    Stage.UNKNOWN if sure else Stage.PARKED,
                    "" if sure else UNSURE,
                    tuple(self.homes[f.volume]) if sure else (),
                )
            self.mate.stood_for = queue
            self.mate.epoch = max(n.life for n in self.mate.writes) + 1
            self._note("stands in", None, f"for head {self.mate_number}: {len(queue.held)} writes")
            for name, way in self._ways.items():
                if way.stream is not None:
                    self._mark(name)

    # ---- clients' commands

    def takes(self, io: Any, waiting: Any, volume: int, extent: int, data: bytes) -> bool:
        """False: it goes its usual way."""
        c = io.command
        known = self.volumes[volume]
        if known.placement != pb.FIXED:
            return False
        if self.promises.recovery.stage is not Returns.COMPLETE:
            # What it had accepted may be missing: nothing may be read past, or overtake it.
            self._back(waiting, self._return())
            return True
        last = self.shadow.last(volume, c.first_block, c.blocks)
        if c.opcode == Opcode.READ:
            say = admission.of_read(self.link.queues, last)
            if say is admission.Say.SERVE:
                numbers = [n for n in last if n is not None]
                found = b"".join(self.shadow.data(n, block) for block, n in enumerate(numbers, c.first_block))
                for n in numbers:
                    self._context(io.host).knows(n)
                self.counts["reads served"] += 1
                waiting.served(known.shard[extent % len(known.shard)], found)
            elif say is admission.Say.BACK:
                self._back(waiting, self._return())
            return say is not admission.Say.THROUGH
        context, key = self._context(io.host), f"{volume}/{extent}"
        theirs = self.mate.clients.get(io.host, Context()).seen
        before = {
            n
            for n in (*context.seen, *theirs, *last, self.queue.last_of(key))
            if n is not None and not self._over(n)
        }
        before |= {n for n, f in self.mate.writes.items() if f.key == key}
        # What is parked is for a person, who may never decide: nothing that is new comes after it.
        before = {
            n
            for n in before
            if n not in self.mate.parked
            and not (n in self.queue.held and self.queue.held[n].stage is Stage.PARKED)
        }
        may = self.site.profile[waiting.profile].held_when_cut_off
        say = admission.of_write(self.link.queues, may, bool(before))
        if say is admission.Say.HOLD:
            self._hold(io, waiting, key, data, before)
        elif say is admission.Say.BACK:
            self._back(waiting, self._return())
        return say is not admission.Say.THROUGH

    def left(self, waiting: Any) -> None:
        for t in self._taking.values():
            if t.waiting is waiting:
                t.waiting = None

    def saw(self, volume: int, block: int, data: bytes) -> None:
        """Those blocks held that, by a shelf's answer to this head."""
        self.bases.saw(volume, block, data)

    def _context(self, host: str) -> Context:
        context = self.contexts.setdefault(host, Context())
        context.forget(self._over)
        return context

    def _return(self) -> float:
        return spread_retry_after(
            admission.RETURN_CUT if self.link.queues else admission.RETURN_SOON, self.chance.random()
        )

    def _back(self, waiting: Any, after: float) -> None:
        self.counts["pushed back"] += 1
        waiting.rejected(min(after, max(self.site.rules.longest_return, admission.RETURN_SOON)))

    def _hold(self, io: Any, waiting: Any, key: str, data: bytes, before: set[WriteNumber]) -> None:
        c, p = io.command, self.site.profile[waiting.profile]
        if (again := self.queue.again(c.label, c.nsid, c.first_block)) is not None:
            self.counts["repeats"] += 1
            self._note("repeat", again, "")
            waiting.accepted()
            return
        wall = self.transport.wall()
        refused = self.queue.refuses(p.value, len(data), wall)
        named = causes(self.head, before, self._unsure)
        known = self._ready and (self.mate_number < 0 or self.copy(self.mate_number) > NO_SEQUENCE)
        after = self.promises.retry_after() if known else RETRY_AFTER
        if refused is not None or named is None or after > 0.0 or self._fenced(self.transport.now()):
            why = refused.value if refused is not None else "records" if after > 0.0 else "too many causes"
            self.counts[f"refused: {why}"] += 1
            self._back(waiting, after or self._return())
            return
        number = WriteNumber(self.head, *self.promises.next_sequence)
        base = self.bases.of(c.nsid, c.first_block, c.blocks) if p.when_changed == pb.PARK else 0
        fact = WriteQueued(
            number.life,
            number.place,
            c.nsid,
            c.first_block,
            c.blocks,
            waiting.profile,
            key,
            io.host,
            c.label,
            c.attempt,
            c.hints,
            wall,
            [*named[0]],
            [*named[1]],
            base,
            data,
        )
        self.queue.taking(self._write(number, fact))
        taking = self._taking[number] = Taking(fact, waiting, io.host)
        taking.timer = self.transport.at(waiting.deadline, lambda: self._time_is_up(number))
        self.promises.append(fact, lambda kept: self._kept(number, kept))

    def _unsure(self, number: WriteNumber) -> list[WriteNumber]:
        """Of a write that may yet be taken back what it comes after."""
        if number in self._taking and number in self.queue.held:
            return [n for n in self.queue.held[number].write.causes if not self._over(n)]
        f = self.mate.writes.get(number) if number not in self.mate.sure else None
        named = map(WriteNumber._make, (*f.own_dependencies, *f.other_dependencies)) if f is not None else ()
        return [n for n in named if not self._over(n)]

    def _kept(self, number: WriteNumber, kept: bool) -> None:
        t = self._taking.get(number)
        if t is None or t.failed:
            return
        if not kept:
            # It may be on a disk all the same: what is given up here must not come back with the next start.
            t.failed = True
            self.queue.dropped(number)
            self.counts["not kept"] += 1

            def gone() -> Tombstone:
                return Tombstone([*t.fact.subject])

            def taken_back(there: bool) -> None:
                self._gave_up(number)
                if not there:
                    self._say_again(gone)

            self.promises.append(gone(), taken_back, True)
            return
        del self._taking[number]
        if t.timer is not None:
            t.timer.cancel()
        self.queue.kept(number)
        h = self.queue.held[number]
        self._shows(number, t.fact)
        self.bases.saw(t.fact.volume, t.fact.block, t.fact.data)
        self._context(t.host).answered(h.write)
        self.counts["accepted"] += 1
        self._note("accepted", number, "")
        if any(n in self.mate.parked for n in h.write.others):
            self.queue.park(number, f"{DEPENDS} one of the other head, which is parked")
            self._parked(self.queue)
        self._step(number)  # the other head learns that it was not taken back
        if t.waiting is not None:
            t.waiting.accepted()

    def _gave_up(self, number: WriteNumber) -> None:
        t = self._taking.pop(number, None)
        if t is not None:
            if t.timer is not None:
                t.timer.cancel()
            if t.waiting is not None:
                t.waiting.failed()

    def _time_is_up(self, number: WriteNumber) -> None:
        """Guards rule 1 where disk or holder are slower than the client waits."""
        self._kept(number, False)
        self._gave_up(number)

    # ---- the link

    def asked(self) -> None:
        """Something went out that is answered where the link is whole."""
        self.link.asked(self.transport.now())

    def heard(self) -> None:
        """An answer came over it."""
        self.link.heard(self.transport.now())

    def _tick(self) -> None:
        now, before = self.transport.now(), self.link.state
        self.link.tick(now)
        for number in sorted({*self._probed(), *(n for n, way in self._ways.items() if way.stream)}):
            self._keep_way(number, now)
        if self.link.state is not before:
            self._note("link", None, self.link.state.value)
            if self.link.state is State.CUT_OFF:
                self.queue.broke()
                if self.mate.stood_for is not None:
                    self.mate.stood_for.broke()
        self._stands_in(now)
        self._replay()
        self._overdue(now)

    def _probed(self) -> list[int]:
        """Living heads of the main site first, so that one that is down shows as no cut; not the same two for
        all, as there may be many branches."""
        living = set(self.living())
        return sorted(self.main, key=lambda n: (n not in living, weight(self.head, n)))[:PROBED]

    def _keep_way(self, number: int, now: float) -> None:
        way = self._ways.setdefault(number, Way())
        if way.stream is None:
            if not way.connecting and now >= way.tried + TRY_EVERY:
                way.connecting, way.tried = True, now
                self.asked()
                self.transport.spawn(self._lead(number, way))
        elif now - way.heard > SILENCE_MOST:
            way.stream.close()
        elif now - way.beaten >= BEAT:
            way.beaten, way.beat = now, way.beat + 1
            self.asked()
            way.stream.write(encode(offline_messages.Here(way.beat)))

    async def _lead(self, number: int, way: Way) -> None:
        try:
            stream = await self.transport.connect(*self.main[number], CONNECT_TIMEOUT)
        except Unreachable as error:
            way.connecting = False
            self.log.debug("no way to the main site", other=number, reason=str(error))
            return
        way.stream, way.connecting, way.heard = stream, False, self.transport.now()
        reader = MessageReader(offline_messages.DECODER)
        try:
            stream.write(encode(offline_messages.Greet(self.fleet, self.head)))
            if self._ready:
                self._mark(number)
            while True:
                for m in reader.take(await stream.read()):
                    way.heard = self.transport.now()
                    self.heard()
                    if isinstance(m, offline_messages.Told):
                        self._told(number, m)
        except (StreamClosed, ProtocolError) as error:
            self.log.debug("way to the main site ended", other=number, reason=str(error))
        finally:
            way.stream = None
            stream.close()
            for queue in self._queues():
                queue.broke(number)

    def _mark(self, name: int) -> None:
        """That head learns under which epoch, and what it need not know any more."""
        way = self._ways.get(name)
        if way is None or way.stream is None:
            return
        for queue, branch, epoch in self._replayed():
            mark = queue.mark if branch == self.head else (0, 0)
            way.stream.write(encode(offline_messages.Marked(branch, epoch, mark, queue.passed)))

    # ---- replay

    def _queues(self) -> list[Queue]:
        return [queue for queue, _, _ in self._replayed()]

    def _replayed(self) -> list[tuple[Queue, int, int]]:
        mine = [(self.queue, self.head, self.epoch)]
        if self.mate.stood_for is not None:
            mine.append((self.mate.stood_for, self.mate_number, self.mate.epoch))
        return mine

    def _fenced(self, now: float) -> bool:
        return now < self._fenced_until or self._later_epoch > self.epoch

    def _replay(self) -> None:
        now = self.transport.now()
        if self.link.state is not State.JOINED or not self._ready or self.stopped:
            return
        for queue, branch, epoch in self._replayed():
            if branch == self.head and self._fenced(now):
                self._look_at_fence(now)
                continue
            queue.window = int(self.pace.window)
            for number, ask in queue.ready(now):
                h = queue.held[number]
                if ask:
                    self._ask(queue, h, epoch, now)
                elif not self.open_at((h.write.volume, self._extent(h.write))):
                    # Else a live one of that place was there first, and is still open.
                    self._send(queue, h, epoch, now)

    def _extent(self, w: Write) -> int:
        return w.block // int(self.volumes[w.volume].extent_blocks)

    def _ask(self, queue: Queue, h: Held, epoch: int, now: float) -> None:
        """Of all that may have it one after the other, whoever can be reached first."""
        number = h.write.number
        for name in h.suspects:
            self._keep_way(name, now)
            way = self._ways[name]
            if way.stream is not None:
                queue.asks(number, now)
                way.stream.write(
                    encode(offline_messages.Ask(number, epoch, self._fact(number).request_class))
                )
                return
        h.since = h.since or now  # nobody there to ask: it is parked in time

    def _send(self, queue: Queue, h: Held, epoch: int, now: float) -> None:
        number, living = h.write.number, set(self.living())
        for name in sorted(self.homes[h.write.volume], key=lambda n: n not in living):
            self._keep_way(name, now)
            if self._ways[name].stream is not None:
                queue.sends(number, name, now)
                # On disk before it goes: what is sent and not answered is unknown after a crash.
                if number.branch == self.head:
                    step = self._step_of(number)
                    assert step is not None
                    self.promises.append(step, partial(self._sent, queue, h, name, epoch), True)
                else:
                    self._sent(queue, h, name, epoch, True)
                return

    def _sent(self, queue: Queue, h: Held, name: int, epoch: int, kept: bool) -> None:
        number, way = h.write.number, self._ways[name]
        if h.stage is not Stage.SENT or queue.held.get(number) is not h:
            return
        if not kept or way.stream is None:
            queue.turned_away(number, h.sending(name), self.transport.now() + admission.RETURN_SOON)
            return
        f = self._fact(number)
        base = f.base_digest if h.write.parks else 0
        way.stream.write(
            encode(
                offline_messages.Send(
                    number,
                    epoch,
                    h.sending(name),
                    f.request_class,
                    f.volume,
                    f.block,
                    f.hints,
                    f.label,
                    f.attempt,
                    base,
                    h.anyway,
                    f.data,
                )
            )
        )

    def _fact(self, number: WriteNumber) -> WriteQueued:
        if number.branch != self.head:
            return self.mate.writes[number]
        fact = self.promises.store.table.records[QUEUED, number.life, number.place].fact
        assert isinstance(fact, WriteQueued)
        return fact

    def _told(self, name: int, m: offline_messages.Told) -> None:
        if m.answer not in list(Answer):
            raise ProtocolError(f"an answer of {m.answer}")
        number, now = WriteNumber(*m.number), self.transport.now()
        found = next(((q, e) for q, b, e in self._replayed() if b == number.branch), None)
        h = found[0].held.get(number) if found is not None else None
        if found is None or h is None:
            return
        queue, answer = found[0], Answer(m.answer)
        if answer is Answer.IN_EFFECT:
            if h.stage is Stage.SENT:
                self.pace.answered(
                    now - h.since, self.site.profile[self._fact(number).request_class].promised
                )
            self._in_effect(queue, number)
        elif answer is Answer.NOT:
            queue.not_there(number, name, m.sending)
        elif answer is Answer.CLOSED:
            queue.closed(number, m.sending)
        elif answer is Answer.AGAIN:
            after = self.pace.turned_away(m.after)
            queue.turned_away(number, m.sending, now + after)
            if h.stage is Stage.ASKED:
                h.stage, h.not_before = Stage.UNKNOWN, now + after
        elif answer is Answer.UNKNOWN:
            self._park(queue, number, f"it may have run: head {name} of the main site can't say")
        elif answer is Answer.CHANGED:
            if queue.conflicts(number, "its blocks changed at the main site"):
                queue.turned_away(number, m.sending)
            else:
                self._parked(queue)
        elif answer is Answer.SHUT_OUT:
            self._shut_out(queue, number, m.sending, now)
        self._replay()

    def _in_effect(self, queue: Queue, number: WriteNumber) -> None:
        queue.in_effect(number)
        self.counts["replayed"] += 1
        self._note("in effect", number, "")
        self._ends(number)

    def _ends(self, number: WriteNumber) -> None:
        """It is over, and so for whoever holds this head's records."""
        self.shadow.remove(number)
        if number.branch != self.head:
            self.mate.writes.pop(number, None)
            return
        for kind in (QUEUED, STEP):
            self._say(lambda kind=kind: Tombstone([kind, number.life, number.place]))  # type: ignore[misc]

    def _say(self, fact: Callable[[], Fact | None]) -> None:
        """Until it is on the disk; None: it need not be encode any more."""
        encode = fact()
        if encode is not None and not self.stopped:
            self.promises.append(encode, lambda kept: None if kept else self._say_again(fact), True)

    def _say_again(self, fact: Callable[[], Fact | None]) -> None:
        self.transport.at(self.transport.now() + SAY_AGAIN, lambda: self._say(fact))

    def _step(self, number: WriteNumber) -> None:
        if self._ready:  # before, its records take nothing; what is parked then is encode as they begin
            self._say(lambda: self._step_of(number))

    def _step_of(self, number: WriteNumber) -> WriteProgress | None:
        h = self.queue.held.get(number)
        return (
            WriteProgress(number.life, number.place, h.stage.value, h.suspects, h.reason, h.anyway)
            if h
            else None
        )

    def _park(self, queue: Queue, number: WriteNumber, why: str) -> None:
        queue.park(number, why)
        self._parked(queue)

    def _parked(self, queue: Queue) -> None:
        """What is newly parked is so on disk, is shown to nobody here, and is known at the main site."""
        for h in queue.parked:
            number = h.write.number
            if number in self.shadow:
                self._hides(number, self._fact(number))
                self.counts["parked"] += 1
                self._note("parked", number, h.reason)
                self.log.warning(
                    "a queued write waits for a person",
                    number=list(number),
                    reason=h.reason,
                    to_do="gorsethread branch parked, then release or discard",
                )
                if number.branch == self.head:
                    self._step(number)
        for name in self._ways:
            self._mark(name)

    def _overdue(self, now: float) -> None:
        """Guards against waiting for good for a head of the main site that does not come back."""
        for queue in self._queues():
            for number, h in list(queue.held.items()):
                if h.stage in (Stage.UNKNOWN, Stage.ASKED) and h.since and now - h.since > PARKS_AFTER:
                    self._park(
                        queue,
                        number,
                        f"it may have run: heads {h.suspects} of the main site, which "
                        "would know, do not answer",
                    )

    def _shut_out(self, queue: Queue, number: WriteNumber, epoch: int, now: float) -> None:
        """Whoever else replays goes on; nothing more is sent from here."""
        queue.broke()
        if queue is not self.queue:
            self.mate.stood_for = None  # its own head is back, under a later epoch
            return
        self._later_epoch, self._fenced_until = epoch, now + FENCED
        self._note("shut out", None, f"epoch {epoch}, own {self.epoch}")
        self.log.warning("another replays this head's queue", epoch=epoch, own=self.epoch)

    def _look_at_fence(self, now: float) -> None:
        """It goes on under a later epoch once the other head is in sight, which then leaves off."""
        if now >= self._fenced_until and (self.mate_number < 0 or self.mate_number in self.living()):
            self.epoch = self._later_epoch + 1
            self._note("replays again", None, f"epoch {self.epoch}")
            for name in self._ways:
                self._mark(name)

    # ---- operators

    def _note(self, what: str, number: WriteNumber | None, text: str) -> None:
        if number is None:
            self.log.info("branch", what=what, text=text)
        self.history.append(
            {
                "at": round(self.transport.wall(), 3),
                "what": what,
                "number": list(number) if number is not None else None,
                "text": text,
            }
        )

    def answer(self, asked: offline_messages.Question) -> dict[str, Any]:
        number = WriteNumber(*asked.number) if asked.number is not None else None
        if asked.what == "show":
            return self._shown()
        if asked.what == "history":
            return {"changes": list(self.history)}
        if asked.what == "parked":
            return {"parked": [self._described(h) for q in self._queues() for h in q.parked]}
        queue = next((q for q in self._queues() if number in q.held), None)
        if number is None or queue is None or queue.held[number].stage is not Stage.PARKED:
            return {"error": "there is no parked write of that number"}
        if asked.what == "release":
            freed = queue.release(number)
            for n in freed:
                self._note("released", n, "by a person")
                self._shows(n, self._fact(n))
                if n.branch == self.head:
                    self._step(n)
            for name in self._ways:
                self._mark(name)
            return {"released": [list(n) for n in freed]}
        if asked.what != "discard":
            return {"error": f"there is no '{asked.what}'"}
        if number.branch != self.head:
            return {"error": f"it is head {number.branch}'s: discard it there"}
        h, f = queue.held[number], self._fact(number)
        if not queue.discard(number):
            return {"error": "another write depends on it: discard that first, or release this one"}
        self._say(
            lambda: WriteDiscarded(
                number.life, number.place, f.volume, f.block, self.transport.wall(), h.reason
            )
        )
        self._ends(number)
        self._note("discarded", number, h.reason)
        for name in self._ways:
            self._mark(name)
        return {"discarded": list(number)}

    def _described(self, h: Held) -> dict[str, Any]:
        w = h.write
        return {
            "number": list(w.number),
            "volume": w.volume,
            "block": w.block,
            "bytes": w.size,
            "waits_for": [list(n) for n in w.causes if not self._over(n)],
            "stage": h.stage.value,
            "reason": h.reason,
            "age": round(self.transport.wall() - w.at, 1),
        }

    def _shown(self) -> dict[str, Any]:
        held = list(self.queue.held.values())
        stood = self.mate.stood_for
        return {
            "branch": self.name,
            "head": self.head,
            "link": self.link.state.value,
            "link_since": round(self.transport.now() - self.link.since, 1),
            "writes": len(held),
            "bytes": self.queue.size,
            "stages": dict(Counter(h.stage.value for h in held)),
            "oldest": round(max((self.transport.wall() - h.write.at for h in held), default=0.0), 1),
            "window": int(self.pace.window),
            "of_the_other_head": len(self.mate.writes),
            "stands_in_for": len(stood.held) if stood is not None else 0,
            "shut_out": self._fenced(self.transport.now()),
            "counts": dict(self.counts),
        }


def as_json(found: dict[str, Any]) -> bytes:
    return msgspec.json.encode(found)
