"""A gateway's log: stored on its disk, replicated to other gateways and recovered from them after a start.

The gateways of a branch hold replicas for each other, and so do those of the main site, so that each side can
acknowledge writes while the link between them is cut.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import (
    ExtentPlaced,
    ExtentReleased,
    Fact,
    Record,
    RecordTable,
    SequenceNumber,
)
from gorsethread.durable_log.replication import ReplicationSender
from gorsethread.durable_log.segment_files import load_misplaced_records
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_gateway.log_folders import own_log_folder, replica_folder
from gorsethread.nvme_gateway.recovery_client import RecoveryClient
from gorsethread.nvme_gateway.replication_client import ReplicationClient
from gorsethread.nvme_gateway.replication_topology import CONNECT_TIMEOUT, topology_of
from gorsethread.recovery.spacing import spread_retry_after
from gorsethread.recovery.stages import RETRY_AFTER, CompletionReason, OwnRecords, RecoveryStages, Stage
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Transport

__all__ = ["CONNECT_TIMEOUT", "ReplicatedLog"]

STAGE_INTERVAL = 0.05  # seconds between updates of the stage, as answers arrive in between
MIN_STAGE_INTERVAL = 0.001
MS_PER_SECOND = 1000.0
RECORDS_LOST = "records are lost and too few other gateways answer"
LATER_RECORDS_POSSIBLE = "too few other gateways answer to rule out that they hold later records"
ExtentKey = tuple[int, int]  # volume, extent
OnDurable = Callable[[bool], None]


class ReplicatedLog:
    """The log of this gateway, from open() and start() to stop().

    It numbers records and reports whether new ones may be requested and when they are durable. An extent that
    is being placed leaves its table once its record is on enough disks, or is known not to be.

    Attributes:
        on_records_recovered: Called when later records of this gateway were fetched from another one.
        recovery: The stages of the recovery after this start.
        incarnation: The incarnation of this start; 0 while the other gateways are polled.
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        gateway: int,
        folder: str,
        placement: SitePlacement,
        living: Callable[[], list[int]],
        log: Any,
    ) -> None:
        """Set up; living returns the gateways that the membership view does not consider dead."""
        self.transport = transport
        self.placement = placement
        self.living = living
        self.log = log
        self.folder = folder
        self.topology = topology_of(site, gateway)
        self.fleet = self.topology.fleet
        self.store = LogStore(transport, own_log_folder(folder, gateway), self.fleet, gateway, log)
        self.replication = ReplicationClient(transport, self.topology, self.store, living, log)
        self.on_records_recovered: Callable[[], None] = lambda: None
        self.recovery: RecoveryStages
        self.recovery_client: RecoveryClient
        self.incarnation = 0
        self.stopped = False
        self._random = transport.random_stream("promises")
        self._position = 0
        self._placing: dict[ExtentKey, list[OnDurable]] = {}

    @property
    def sender(self) -> ReplicationSender:
        """The state of the replicas."""
        return self.replication.sender

    @property
    def waiting(self) -> int:
        """The number of extents and records that are not durable yet and that a caller waits for."""
        return len(self._placing) + self.replication.waiting

    # ---- start and stop

    def open(self) -> None:
        """Lock and read the gateway's own folder.

        Raises:
            FolderInUseError: Another process has locked the folder.
            UnusableSegmentError: The folder is another gateway's, or has another format version.
            OSError: The folder can't be read.
        """
        gateway = self.topology.gateway
        recovered = self.store.open()
        # After disks were exchanged, another gateway's replica of this log may be on this disk.
        misplaced = replica_folder(self.folder, gateway)
        recovered.table.merge(load_misplaced_records(self.transport, misplaced, self.fleet, gateway))
        self.recovery = RecoveryStages(
            self.transport.now(),
            OwnRecords(recovered.table.last, recovered.complete, recovered.empty, self.store.loss_accepted()),
            frozenset(self.topology.addresses),
            self.topology.required,
        )
        self.recovery_client = RecoveryClient(
            self.transport,
            self.topology,
            self.recovery,
            self.living,
            lambda peer, records: self._on_records_fetched(peer, records),
            self.log,
        )
        placements = recovered.table.placements()
        self.placement.known(placements)
        self.log.info(
            "read the records in the own folder",
            extents=len(placements),
            last=recovered.table.last,
            complete=recovered.complete,
            empty=recovered.empty,
            torn_bytes=recovered.torn_bytes,
        )

    def start(self) -> None:
        """Poll the other gateways, and start an incarnation as soon as the stages allow it."""
        self.transport.spawn(self._recover())
        self.transport.spawn(self.recovery_client.poll_all())

    def stop(self) -> None:
        """Stop all work; records that are not durable by now are reported as not durable."""
        self.stopped = True
        self.recovery_client.stopped = True
        self.store.close()
        self.replication.stop()

    # ---- recovery

    async def _recover(self) -> None:
        while self.recovery.stage is Stage.POLLING:
            await self._advance()
        await self._start_incarnation()
        if not await self._wait_for_completion():
            return
        if self.store.incomplete:
            self.store.incomplete = False
            self.store.merge_recovered(RecordTable())
        self.sender.may_replace = True
        self.replication.send_to_all()
        self._log_completion()

    def _log_completion(self) -> None:
        recovery = self.recovery
        assert recovery.completion_reason is not None
        certain = recovery.completion_reason is not CompletionReason.LOSS_ACCEPTED
        self.log.info(
            "no record is missing any more" if certain else "records that nobody returned count as lost",
            after=round(recovery.stage_since - recovery.started, 3),
            reason=recovery.completion_reason.value,
            answered=sorted(recovery.answers),
            awaited=recovery.awaited(),
            fetched=sorted(recovery.fetched),
        )

    async def _start_incarnation(self) -> None:
        stage = self.recovery.stage
        self.incarnation = self.recovery.next_incarnation(self.transport.wall_time() * MS_PER_SECOND)
        self.store.incomplete = stage is not Stage.COMPLETE
        self.sender.may_replace = stage is Stage.COMPLETE
        await self.store.start_incarnation(self.incarnation)
        self.log.info(
            "serving from recovered records",
            stage=self.recovery.stage.value,
            incarnation=self.incarnation,
            answered=sorted(self.recovery.answers),
            awaited=self.recovery.awaited(),
            open_fetches=self.recovery.open_fetches(),
        )
        self.replication.start(self.incarnation)

    async def _wait_for_completion(self) -> bool:
        """Wait until no record is missing; return False if the log was stopped before."""
        reported = False
        while self.recovery.stage is not Stage.COMPLETE:
            await self._advance()
            if self.stopped:
                return False
            if self.recovery.needs_operator and not reported:
                reported = True
                self._log_missing_answers()
            if self.recovery.needs_operator and self.store.loss_accepted():
                self.recovery.accept_loss(self.transport.now())
        return True

    def _log_missing_answers(self) -> None:
        recovery = self.recovery
        log = self.log.error if recovery.records_lost else self.log.warning
        log(
            RECORDS_LOST if recovery.records_lost else LATER_RECORDS_POSSIBLE,
            answered=sorted(recovery.answers),
            awaited=recovery.awaited(),
            open_fetches=recovery.open_fetches(),
            to_do="start those gateways, or accept the loss with: gorsethread records accept",
        )

    async def _advance(self) -> None:
        now = self.transport.now()
        timer = self.recovery.next_timer(now)
        wait = STAGE_INTERVAL
        if timer is not None:
            wait = min(STAGE_INTERVAL, max(MIN_STAGE_INTERVAL, timer - now))
        await self.transport.sleep(wait)
        self.recovery.advance(self.transport.now())

    def _on_records_fetched(self, peer: int, records: RecordTable) -> None:
        """Add the later records that another gateway held of this log."""
        self.log.info("records fetched", by=peer, records=len(records.records), last=records.last)
        self.store.merge_recovered(records)
        self.sender.resend_all()
        self.placement.known(self.store.table.placements())
        self.on_records_recovered()
        self.recovery.on_fetched(peer, self.transport.now())

    # ---- new records

    def retry_after(self) -> float:
        """Return 0.0 where a record may be requested now, else the seconds until a retry."""
        if not self.store.started or self.sender.fenced or not self.sender.has_quorum:
            delay = RETRY_AFTER
        else:
            disk_delay = self.store.disk.retry_after(self.transport.now(), self.store.pending)
            delay = max(self.recovery.retry_after(), disk_delay)
        return spread_retry_after(delay, self._random.random()) if delay else 0.0

    def placed(self, extent: ExtentKey, shard: int, on_durable: OnDurable) -> None:
        """Record that an extent belongs to a shard.

        on_durable is called once, after this call returned, with whether the record is durable.
        """
        if extent in self._placing:
            self._placing[extent].append(on_durable)
            return
        if self.retry_after() > 0.0:
            self.transport.call_soon(partial(on_durable, False))
            return
        waiting = self._placing[extent] = [on_durable]
        self.append(ExtentPlaced(*extent, shard), lambda durable: self._on_placed(extent, waiting, durable))

    def released(self, extent: ExtentKey) -> None:
        """Record that an extent belongs to no shard any more, if it belonged to one."""
        # A later place needs a record of its own, even if that of this one is not on enough disks yet.
        self._placing.pop(extent, None)
        current = self.store.table.records.get(extent)
        if current is not None and isinstance(current.fact, ExtentPlaced):
            self.append(ExtentReleased(*extent))

    @property
    def next_sequence(self) -> SequenceNumber:
        """The sequence number of the next record."""
        return self.incarnation, self._position + 1

    def append(self, fact: Fact, on_durable: OnDurable | None = None, own_disk_only: bool = False) -> None:
        """Append a record.

        Args:
            fact: The record's fact.
            on_durable: Called once with whether the record is on enough disks.
            own_disk_only: The record counts as durable once it is on the gateway's own disk.
        """
        self._position += 1
        number = self.incarnation, self._position
        self.store.add(
            Record(number, fact), lambda durable: self._on_flushed(number, durable, on_durable, own_disk_only)
        )

    def _on_flushed(
        self, number: SequenceNumber, durable: bool, on_durable: OnDurable | None, own_disk_only: bool
    ) -> None:
        if on_durable is not None:
            if not durable or own_disk_only or self.sender.required == 0:
                on_durable(durable)
            else:
                self.replication.when_replicated(number, on_durable)
        self.replication.send_to_all()

    def _on_placed(self, extent: ExtentKey, waiting: list[OnDurable], durable: bool) -> None:
        if self._placing.get(extent) is waiting:
            del self._placing[extent]
        for on_durable in waiting:
            self.transport.call_soon(partial(on_durable, durable))
