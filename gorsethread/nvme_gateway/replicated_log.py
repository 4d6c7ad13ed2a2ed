"""Carries a head's records: to its own disk, to the heads that hold copies, and back from them at a start.
Heads of a branch hold copies for each other, and the main site's for each other: where the link between them
is gone, each side keeps its promises alone.

What is decided is decided by pure cores: the disk's state (`durable_log/disk_health.py`),
stages (`recovery/stages.py`), holders and pieces (`durable_log/replica_placement.py`, `replication.py`).
Calls to others are bounded by their number.
"""

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import (
    ExtentPlaced,
    ExtentReleased,
    Fact,
    Record,
    RecordTable,
    SequenceNumber,
)
from gorsethread.durable_log.replica_placement import FailureDomain as At
from gorsethread.durable_log.replica_placement import choose_replicas
from gorsethread.durable_log.replication import (
    CATCH_UP_PAUSE,
    MAX_RECONNECT_DELAY,
    MIN_RECONNECT_DELAY,
    REPLICATION_TIMEOUT,
    ReplicationSender,
)
from gorsethread.durable_log.segment_files import load_misplaced_records
from gorsethread.gateway.carrying import Place
from gorsethread.head.peers import fleet_of
from gorsethread.head.placement import SitePlacement
from gorsethread.nvme_gateway.replica_server import copies_of, own_of
from gorsethread.recovery.spacing import PollOrder, spread_retry_after
from gorsethread.recovery.stages import RETRY_AFTER, OwnRecords, RecoveryStages, Stage
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

CONNECT_TIMEOUT = 1.0  # seconds
SILENCE_MOST = 3.0  # seconds that an answer may take
LOOK_EVERY = 0.5  # seconds between looks at who lives and holds
Address = tuple[str, int]
Done = Callable[[bool], None]


def heads_beside(site: pb.Site, head: int) -> set[int]:
    """The other heads on its side of a branch's link: of its branch, or all that are in none."""
    mine = next((set(b.head) for b in site.branch if head in b.head), None)
    if mine is None:
        mine = {h.number for h in site.head} - {n for b in site.branch for n in b.head}
    return mine - {head}


class ReplicatedLog:
    """The owner's side. living: heads that the view does not hold dead."""

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        head: int,
        folder: str,
        placement: SitePlacement,
        living: Callable[[], list[int]],
        log: Any,
    ) -> None:
        self.transport, self.head, self.log, self.placement = transport, head, log, placement
        self.fleet, self.copies, self.living = fleet_of(site), int(site.records.copies), living
        self.folder = folder
        self.store = LogStore(transport, own_of(folder, head), self.fleet, head, log)
        self.places = {h.number: At(h.zone, h.machine or f"of head {h.number}") for h in site.head}
        beside = heads_beside(site, head)
        self.others: dict[int, Address] = (
            {h.number: split_address(h.peers) for h in site.head if h.peers and h.number in beside}
            if self.copies
            else {}
        )
        # Called where others had more of this head's than it had.
        self.on_records_recovered: Callable[[], None] = lambda: None
        self.sender = ReplicationSender(min(site.records.held_by, len(self.others)))
        self.recovery: RecoveryStages
        self.chance = transport.chance("promises")
        self.incarnation = 0
        self.stopped = False
        self._place = 0
        self._waiting: dict[Place, list[Done]] = {}  # emptied as each is told
        self._unheld: deque[tuple[SequenceNumber, Done]] = deque()  # on the own disk, too few copies yet
        self._streams: dict[int, Stream] = {}  # to holders; emptied as they end

    # ---- the head's start

    def open(self) -> None:
        """Reads what there is. InUse, Unusable, OSError."""
        found = self.store.open()
        # After an exchange of disks the copies that another held of this head's stand here.
        found.table.merge(
            load_misplaced_records(self.transport, copies_of(self.folder, self.head), self.fleet, self.head)
        )
        now = self.transport.now()
        self.recovery = RecoveryStages(
            now,
            OwnRecords(found.table.last, found.complete, found.empty, self.store.loss_accepted()),
            frozenset(self.others),
            self.sender.required,
        )
        self.placement.known(found.table.placements())
        self.log.info(
            "own records",
            extents=len(found.table.placements()),
            last=found.table.last,
            whole=found.complete,
            empty=found.empty,
            torn=found.torn_bytes,
        )

    def start(self) -> None:
        self.transport.spawn(self._return())
        self.transport.spawn(self._ask_all())

    def stop(self) -> None:
        self.stopped = True
        self.store.close()
        for stream in list(self._streams.values()):
            stream.close()

    async def _return(self) -> None:
        r = self.recovery
        while r.stage is Stage.POLLING:
            await self._tick()
        self.incarnation = r.next_incarnation(self.transport.wall() * 1000.0)
        self.store.incomplete = r.stage is not Stage.COMPLETE
        await self.store.start_incarnation(self.incarnation)
        self.log.info("serves by its records", stage=r.stage.value, life=self.incarnation)
        self._look()
        told = False
        while r.stage is not Stage.COMPLETE:
            await self._tick()
            if self.stopped:
                return
            if r.records_lost and not told:
                told = True
                self.log.error(
                    "records are lost and too few others answer",
                    wanted=r.awaited(),
                    to_do="bring those heads back, or accept: gorsethread records accept",
                )
            if r.records_lost and self.store.loss_accepted():
                r.accept_loss(self.transport.now())
        if self.store.incomplete:
            self.store.incomplete = False
            self.store.merge_recovered(RecordTable())
        self.log.info("nothing that it held is missing", after=round(r.stage_since - r.started, 3))

    async def _tick(self) -> None:
        now = self.transport.now()
        at = self.recovery.next_timer(now)
        # Answers come in between, so it looks again soon at the latest.
        await self.transport.sleep(min(0.05, max(0.001, at - now)) if at is not None else 0.05)
        self.recovery.advance(self.transport.now())

    async def _ask_all(self) -> None:
        """What others hold of this head's, and that itself where it is later than the own. Who most likely
        holds it is asked first."""
        asks = PollOrder(
            choose_replicas(self.head, self.places, self.others, len(self.others)), len(self.places)
        )
        while (other := asks.take_next()) is not None and not self.stopped:
            if other in self.recovery.awaited():
                self.transport.spawn(self._ask(other, asks))
            await self.transport.sleep(asks.interval)
            while not asks.waiting and self.recovery.awaited() and not self.stopped:
                await self.transport.sleep(MIN_RECONNECT_DELAY)  # what is asked may still fail

    async def _ask(self, other: int, asks: PollOrder) -> None:
        r, began = self.recovery, self.transport.now()
        if r.stage is not Stage.POLLING and other not in self.living():
            await self.transport.sleep(MAX_RECONNECT_DELAY)  # the view holds it dead: it hardly answers
        try:
            await self._ask_once(other)
        except (Unreachable, StreamClosed, replication_messages.ProtocolError) as error:
            self.log.debug("not asked", other=other, reason=str(error))
        asks.on_ended(other, other not in r.awaited(), self.transport.now() - began)

    async def _ask_once(self, other: int) -> None:
        stream = await self.transport.connect(*self.others[other], CONNECT_TIMEOUT)
        guard = self.transport.at(self.transport.now() + SILENCE_MOST, stream.close)
        got, reader = RecordTable(), replication_messages.MessageReader()
        try:
            stream.write(replication_messages.encode(replication_messages.Hello(self.fleet, self.head, 0)))
            while True:
                for m in reader.take(await stream.read()):
                    if isinstance(m, replication_messages.Have):
                        if not self.recovery.on_answer(other, m.last, m.incarnation, self.transport.now()):
                            return
                        stream.write(
                            replication_messages.encode(replication_messages.Fetch(self.recovery.own_last))
                        )
                    elif isinstance(m, replication_messages.Give):
                        guard.cancel()
                        guard = self.transport.at(self.transport.now() + SILENCE_MOST, stream.close)
                        for record in replication_messages.to_records(m.entries):
                            got.apply(record)
                        if not m.more:
                            self._given(other, got)
                            return
        finally:
            guard.cancel()
            stream.close()

    def _given(self, other: int, got: RecordTable) -> None:
        self.log.info("records given back", by=other, records=len(got.records), last=got.last)
        self.store.merge_recovered(got)
        self.sender.resend_all()
        self.placement.known(self.store.table.placements())
        self.on_records_recovered()
        self.recovery.on_fetched(other, self.transport.now())

    # ---- promises

    def retry_after(self) -> float:
        now = self.transport.now()
        if not self.store.started or self.sender.fenced or not self.sender.has_quorum:
            least = RETRY_AFTER
        else:
            least = max(self.recovery.retry_after(), self.store.disk.retry_after(now, self.store.pending))
        return spread_retry_after(least, self.chance.random()) if least else 0.0

    def placed(self, place: Place, shard: int, done: Done) -> None:
        if place in self._waiting:
            self._waiting[place].append(done)
            return
        if self.retry_after() > 0.0:
            self.transport.soon(partial(done, False))
            return
        self._waiting[place] = [done]
        self.append(ExtentPlaced(*place, shard), lambda kept: self._settle(place, kept))

    def freed(self, place: Place) -> None:
        known = self.store.table.records.get(place)
        if known is not None and isinstance(known.fact, ExtentPlaced):
            self.append(ExtentReleased(*place))

    @property
    def next_sequence(self) -> SequenceNumber:
        """The number of what is kept next."""
        return self.incarnation, self._place + 1

    def append(self, fact: Fact, done: Done | None = None, here: bool = False) -> None:
        """done: told once whether it lasts; here: on the own disk, else also with as many as must hold it."""
        self._place += 1
        number = self.incarnation, self._place
        self.store.add(Record(number, fact), lambda kept: self._flushed(number, kept, done, here))

    def _flushed(self, number: SequenceNumber, kept: bool, done: Done | None, here: bool) -> None:
        if done is not None:
            if not kept or here or self.sender.required == 0:
                done(kept)
            else:
                self._unheld.append((number, done))
                self.transport.at(self.transport.now() + REPLICATION_TIMEOUT, lambda: self._overdue(number))
        self._pump_all()

    def _overdue(self, number: SequenceNumber) -> None:
        """Guards against holders that fell silent: who waits for them is told that it can't be kept."""
        while self._unheld and self._unheld[0][0] <= number:
            self._unheld.popleft()[1](False)

    def _settle(self, place: Place, kept: bool) -> None:
        for done in self._waiting.pop(place, ()):
            self.transport.soon(partial(done, kept))

    # ---- copies

    def _look(self) -> None:
        if self.stopped:
            return
        names = choose_replicas(
            self.head, self.places, [n for n in self.living() if n in self.others], self.copies
        )
        fresh, gone = self.sender.choose(names)
        for n in gone:
            if stream := self._streams.get(n):
                stream.close()
        for n in fresh:
            self.transport.spawn(self._hold(n))
        if fresh or gone:
            self.log.info("holders of copies", heads=sorted(self.sender.replicas))
        self.transport.at(self.transport.now() + LOOK_EVERY, self._look)

    async def _hold(self, other: int) -> None:
        wait = MIN_RECONNECT_DELAY
        while other in self.sender.replicas and not self.stopped and not self.sender.fenced:
            try:
                await self._hold_once(other)
                wait = MIN_RECONNECT_DELAY
            except (Unreachable, replication_messages.ProtocolError) as error:
                self.log.debug("no way to a holder", other=other, reason=str(error))
                wait = min(MAX_RECONNECT_DELAY, 2.0 * wait)
            self.sender.disconnected(other)
            await self.transport.sleep(wait)

    async def _hold_once(self, other: int) -> None:
        stream = await self.transport.connect(*self.others[other], CONNECT_TIMEOUT)
        self._streams[other] = stream
        reader = replication_messages.MessageReader()
        heard = [self.transport.now()]

        def watch() -> None:
            """Guards against a machine that vanished: what waits for it would wait for good."""
            if self._streams.get(other) is stream:
                h = self.sender.replicas.get(other)
                if (h is None or h.in_flight or h.confirmed is None) and self.transport.now() - heard[
                    0
                ] > SILENCE_MOST:
                    stream.close()
                self.transport.at(self.transport.now() + 1.0, watch)

        watch()
        try:
            stream.write(
                replication_messages.encode(
                    replication_messages.Hello(self.fleet, self.head, self.incarnation)
                )
            )
            while True:
                for m in reader.take(await stream.read()):
                    heard[0] = self.transport.now()
                    self._told_by(other, m)
        except StreamClosed:
            pass
        finally:
            self._streams.pop(other, None)
            stream.close()

    def _told_by(self, other: int, m: replication_messages.Message) -> None:
        if isinstance(m, replication_messages.Have) and m.incarnation <= self.incarnation:
            self.sender.connected(other, m.last, self.store.removals_dropped)
            self._pump(other)
        elif isinstance(m, replication_messages.Have | replication_messages.Over):
            self.sender.fenced = True
            self.log.error(
                "a later life of this head is known; nothing is promised any more",
                by=other,
                life=m.incarnation,
                own=self.incarnation,
                to_do="end one of the two processes of this head",
            )
        elif isinstance(m, replication_messages.Holds):
            full = self.sender.confirmed(other, m.last)
            held = self.sender.replicated
            while self._unheld and self._unheld[0][0] <= held:
                self._unheld.popleft()[1](True)
            if full:
                self.transport.at(self.transport.now() + CATCH_UP_PAUSE, lambda: self._pump(other))
            else:
                self._pump(other)
        elif isinstance(m, replication_messages.Failed):
            self._streams[other].close()

    def _pump_all(self) -> None:
        for n in list(self._streams):
            self._pump(n)

    def _pump(self, other: int) -> None:
        stream = self._streams.get(other)
        if stream is None:
            return
        piece = self.sender.next_batch(other, self.store.table, self.store.flushed)
        if piece is not None:
            stream.write(
                replication_messages.encode(
                    replication_messages.Put(
                        self.incarnation,
                        piece.replaces_all,
                        replication_messages.to_entries(piece.records),
                        piece.last,
                        piece.more,
                    )
                )
            )
