"""The facade of a branch gateway's offline writes: assembles the parts; the rest of the gateway calls it."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.records import NO_SEQUENCE, Record
from gorsethread.gateway.interfaces import Extent
from gorsethread.nvme_gateway.offline.block_view import BlockView
from gorsethread.nvme_gateway.offline.branch_settings import read_branch_settings
from gorsethread.nvme_gateway.offline.change_history import ChangeHistory
from gorsethread.nvme_gateway.offline.client_contexts import ClientContexts
from gorsethread.nvme_gateway.offline.dead_letters import DeadLetters
from gorsethread.nvme_gateway.offline.operator_queries import JsonObject, OperatorQueries
from gorsethread.nvme_gateway.offline.queue_persistence import QueuePersistence
from gorsethread.nvme_gateway.offline.queue_recovery import QueueRecovery
from gorsethread.nvme_gateway.offline.replay import Replay
from gorsethread.nvme_gateway.offline.replay_sources import ReplaySources
from gorsethread.nvme_gateway.offline.site_connections import ConnectionEvents, SiteConnections
from gorsethread.nvme_gateway.offline.standby_replication import StandbyReplication
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.nvme_gateway.offline.write_admission import BranchClient, ClientCommand, WriteAdmission
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.nvme_transport.controller_server import IoCommand
from gorsethread.offline_writes.epoch_fence import EpochFence
from gorsethread.offline_writes.link_monitor import LinkMonitor, LinkState
from gorsethread.offline_writes.messages import OperatorQuery, ReplayReply
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import Position, WriteNumber
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Transport

TICK_INTERVAL = 0.1  # seconds


class OfflineWrites:
    """Owns the parts of a branch gateway's offline writes, and the periodic tick that drives them.

    Args:
        transport: Provides time, random numbers, and streams.
        site: The site file.
        gateway: Number of this gateway, which belongs to a branch.
        log: This gateway's durable log.
        alive_gateways: Returns the gateways that membership does not consider dead.
        has_open_write: Returns whether a forwarded write to the extent is still open at this gateway.
        copied_up_to: Returns the position up to which this gateway has all records of another gateway.
        logger: Logs changes and faults.
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        gateway: int,
        log: ReplicatedLog,
        alive_gateways: Callable[[], list[int]],
        has_open_write: Callable[[Extent], bool],
        copied_up_to: Callable[[int], Position],
        logger: Any,
    ) -> None:
        self._transport = transport
        self._log = log
        self._alive_gateways = alive_gateways
        self._copied_up_to = copied_up_to
        self._stopped = False
        self.settings = read_branch_settings(site, gateway)
        self.link = LinkMonitor(transport.now())
        self._fence = EpochFence()
        self._history = ChangeHistory(transport, logger)
        self.block_view = BlockView()
        self.standby_writes = StandbyWrites(self.settings)
        self.queue = WriteQueue(
            self.settings.queue_limits, self.settings.queued_priority_weights, self._is_standby_write_finished
        )
        self._contexts = ClientContexts(self._is_finished)
        self._sources = ReplaySources(self.queue, gateway, self._fence)
        self._persistence = QueuePersistence(transport, log, gateway, self.queue, self.standby_writes)
        self._connections = self._make_connections(logger)
        self._dead_letters = self._make_dead_letters(logger)
        self._replay = self._make_replay(has_open_write, logger)
        self._standby = self._make_standby_replication()
        self._admission = self._make_admission()
        self._recovery = self._make_recovery(logger)
        self._operator_queries = self._make_operator_queries()

    def _make_connections(self, logger: Any) -> SiteConnections:
        events = ConnectionEvents(
            self._reply_received, self._sources.mark_connection_lost, self._sources.progress
        )
        return SiteConnections(
            self._transport, self.settings, self.link, self._alive_gateways, events, logger
        )

    def _make_dead_letters(self, logger: Any) -> DeadLetters:
        return DeadLetters(
            self.settings.gateway,
            self._sources,
            self._persistence,
            self.block_view,
            self._history,
            self._connections.announce_progress,
            logger,
        )

    def _make_replay(self, has_open_write: Callable[[Extent], bool], logger: Any) -> Replay:
        return Replay(
            self._transport,
            self.settings,
            self.link,
            self._fence,
            self._sources,
            self._connections,
            self._persistence,
            self.standby_writes,
            self.block_view,
            self._dead_letters,
            self._history,
            self._alive_gateways,
            has_open_write,
            logger,
        )

    def _make_standby_replication(self) -> StandbyReplication:
        return StandbyReplication(
            self.settings,
            self.queue,
            self.standby_writes,
            self._sources,
            self.block_view,
            self._dead_letters,
            self._history,
            self._replay.advance,
            self._connections.announce_progress,
        )

    def _make_admission(self) -> WriteAdmission:
        return WriteAdmission(
            self._transport,
            self.settings,
            self.link,
            self._fence,
            self.queue,
            self.standby_writes,
            self._standby_has_copies,
            self._persistence,
            self.block_view,
            self._contexts,
            self._dead_letters,
            self._history,
            self._is_finished,
        )

    def _make_recovery(self, logger: Any) -> QueueRecovery:
        return QueueRecovery(
            self.settings,
            self._persistence,
            self.queue,
            self.standby_writes,
            self.block_view,
            self._contexts,
            self._admission.is_pending,
            logger,
        )

    def _make_operator_queries(self) -> OperatorQueries:
        return OperatorQueries(
            self._transport,
            self.settings,
            self.link,
            self._fence,
            self.queue,
            self.standby_writes,
            self._sources,
            self._replay,
            self._dead_letters,
            self._history,
            self._is_finished,
        )

    # ---- The gateway's start and end

    def start(self) -> None:
        """Restores the queue and starts the replay; call it after the durable log is read."""
        self._log.on_records_recovered = self._records_recovered
        if self.settings.standby is not None:
            # Loads the copies of the other gateway's records before any command is admitted.
            self._copied_up_to(self.settings.standby)
        self._recovery.recover(not self._persistence.trusts_own_records)
        self._transport.spawn(self._run())

    def stop(self) -> None:
        """Stops the replay and closes the connections."""
        self._stopped = True
        self._replay.stop()
        self._persistence.stop()
        self._connections.close()

    def _records_recovered(self) -> None:
        """Restores writes whose records came back from replicas; their later progress may be lost."""
        self._recovery.recover(True)

    async def _run(self) -> None:
        while not self._persistence.log_is_started and not self._stopped:
            await self._transport.sleep(TICK_INTERVAL)
        self._fence.start(self._persistence.incarnation)
        self._persistence.start_recording()
        self._persistence.persist_dead_letters()
        while not self._stopped:
            self._tick()
            await self._transport.sleep(TICK_INTERVAL)

    def _tick(self) -> None:
        now = self._transport.now()
        previous_state = self.link.state
        self.link.tick(now)
        self._connections.maintain(now)
        if self.link.state is not previous_state:
            self._history.note("link", None, self.link.state.value)
            if self.link.state is LinkState.DISCONNECTED:
                self._sources.mark_connection_lost()
        standby = self.settings.standby
        if standby is not None:
            self._standby.check_takeover(standby in self._alive_gateways(), now)
        self._replay.advance()
        self._replay.check_stall()
        self._dead_letters.add_overdue(now)

    # ---- Events from the rest of the gateway

    def admit(self, io: IoCommand, client: Any, extent: int, data: bytes) -> bool:
        """Handles a client's command; returns False if the caller is to forward it as usual."""
        command = ClientCommand(
            client, io.command, io.host, client.request_class, client.deadline, extent, data
        )
        return self._admission.admit(command)

    def client_left(self, client: BranchClient) -> None:
        """Notes that a client no longer waits for the answer to its command."""
        self._admission.client_left(client)

    def blocks_observed(self, volume: int, block: int, data: bytes) -> None:
        """Notes the contents of blocks that a backend's answer has shown."""
        self.block_view.observe(volume, block, data)

    def request_sent(self) -> None:
        """Notes that a request was sent which the main site answers if the link is up."""
        self.link.request_sent(self._transport.now())

    def answer_received(self) -> None:
        """Notes that an answer arrived over the link."""
        self.link.answer_received(self._transport.now())

    def records_stored(self, origin: int, records: list[Record], replaces_all: bool, last: Position) -> None:
        """Handles records of another gateway that are now on this one's disk; see StandbyReplication."""
        if origin == self.settings.standby:
            self._standby.records_stored(records, replaces_all, last)

    def answer(self, query: OperatorQuery) -> JsonObject:
        """Returns the answer to an operator's command."""
        return self._operator_queries.answer(query)

    # ---- State

    @property
    def history(self) -> list[dict[str, Any]]:
        """The recent changes, oldest first."""
        return self._history.changes

    @property
    def counts(self) -> Counter[str]:
        """The number of times each event was counted."""
        return self._history.counts

    @property
    def pending_admissions(self) -> int:
        """The number of writes that are being persisted or withdrawn."""
        return self._admission.pending_writes

    # ---- Callbacks of the parts

    def _reply_received(self, gateway: int, reply: ReplayReply) -> None:
        self._replay.reply_received(gateway, reply)

    def _is_finished(self, number: WriteNumber) -> bool:
        return number not in self.queue and number not in self.standby_writes

    def _is_standby_write_finished(self, number: WriteNumber) -> bool:
        # After a disk loss the copies are missing too; until they are back, no write counts as finished.
        standby = self.settings.standby
        if number in self.standby_writes or standby is None:
            return False
        return self._copied_up_to(standby) >= number.position

    def _standby_has_copies(self) -> bool:
        standby = self.settings.standby
        return standby is None or self._copied_up_to(standby) > NO_SEQUENCE
