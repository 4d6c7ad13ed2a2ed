"""Sends queued writes to gateways of the main site in causal order, and handles the replies."""

from collections.abc import Callable
from typing import Any, NamedTuple

from gorsethread.durable_log.replication_messages import ProtocolError
from gorsethread.gateway.interfaces import Extent
from gorsethread.nvme_gateway.offline.block_view import BlockView
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.change_history import ChangeHistory
from gorsethread.nvme_gateway.offline.dead_letters import DeadLetters
from gorsethread.nvme_gateway.offline.queue_persistence import QueuePersistence
from gorsethread.nvme_gateway.offline.replay_sources import ReplaySource, ReplaySources
from gorsethread.nvme_gateway.offline.site_connections import SiteConnections
from gorsethread.nvme_gateway.offline.stall_detector import STALLED_AFTER, StallDetector
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.offline_writes.admission import RETRY_AFTER_PENDING
from gorsethread.offline_writes.applied_writes import ReplayOutcome
from gorsethread.offline_writes.epoch_fence import EpochFence
from gorsethread.offline_writes.link_monitor import LinkMonitor
from gorsethread.offline_writes.messages import ReplayReply, ReplayWrite, StatusQuery
from gorsethread.offline_writes.queued_write import QueuedWrite, WriteStage
from gorsethread.offline_writes.replay_window import ReplayWindow
from gorsethread.offline_writes.writes import Write, WriteNumber
from gorsethread.transport.base import Transport


class ReceivedReply(NamedTuple):
    """A reply about a write that is queued, and the gateway of the main site that sent it."""

    source: ReplaySource
    queued: QueuedWrite
    gateway: int
    reply: ReplayReply

    @property
    def number(self) -> WriteNumber:
        """The number of the write."""
        return self.queued.write.number


class Replay:
    """Replays the queues of the sources; owns the window, and shares the fence with the sources.

    Args:
        transport: Provides the time.
        settings: Settings of this gateway.
        link: State of the link; nothing is replayed unless it is connected.
        fence: Fence of this gateway's epoch.
        sources: The queues that this gateway replays.
        connections: Connections to gateways of the main site.
        persistence: Records that an own write is sent, before it is.
        standby_writes: Writes of the branch's other gateway.
        block_view: Stops showing applied writes.
        dead_letters: Takes the writes that an operator must decide on.
        history: Records changes for operators.
        alive_gateways: Returns the gateways that membership does not consider dead.
        has_open_write: Returns whether a forwarded write to the extent is still open at this gateway.
        logger: Logs a warning when this gateway is fenced.
    """

    def __init__(
        self,
        transport: Transport,
        settings: BranchSettings,
        link: LinkMonitor,
        fence: EpochFence,
        sources: ReplaySources,
        connections: SiteConnections,
        persistence: QueuePersistence,
        standby_writes: StandbyWrites,
        block_view: BlockView,
        dead_letters: DeadLetters,
        history: ChangeHistory,
        alive_gateways: Callable[[], list[int]],
        has_open_write: Callable[[Extent], bool],
        logger: Any,
    ) -> None:
        self._transport = transport
        self._settings = settings
        self._link = link
        self._fence = fence
        self._sources = sources
        self._connections = connections
        self._persistence = persistence
        self._standby_writes = standby_writes
        self._block_view = block_view
        self._dead_letters = dead_letters
        self._history = history
        self._alive_gateways = alive_gateways
        self._has_open_write = has_open_write
        self._logger = logger
        self._window = ReplayWindow()
        self._stalls = StallDetector()
        self._stopped = False
        self._last_rejection: int | None = (
            None  # the gateway that rejected a write since the last applied one
        )
        self._handlers: dict[ReplayOutcome, Callable[[ReceivedReply], None]] = {
            ReplayOutcome.APPLIED: self._on_applied,
            ReplayOutcome.NOT_APPLIED: self._on_not_applied,
            ReplayOutcome.UNKNOWN: self._on_unknown,
            ReplayOutcome.RETRY: self._on_retry,
            ReplayOutcome.STALE_TOKEN: self._on_stale_token,
            ReplayOutcome.CONFLICT: self._on_conflict,
            ReplayOutcome.FENCED: self._on_fenced,
        }

    @property
    def window_size(self) -> int:
        """The number of writes that may be under way at once."""
        return self._window.size

    def stop(self) -> None:
        """Stops sending."""
        self._stopped = True

    # ---- Sending

    def advance(self) -> None:
        """Sends or queries the writes that are ready."""
        now = self._transport.now()
        if self._link.queueing or not self._persistence.is_ready or self._stopped:
            return
        for source in self._sources.all():
            if source.gateway == self._settings.gateway and self._fence.is_fenced(now):
                self._check_fence(now)
            else:
                self._advance_source(source, now)

    def check_stall(self) -> None:
        """Counts and logs a replay that makes no progress; call it several times a second."""
        now = self._transport.now()
        if self._link.queueing or not self._persistence.is_ready:
            self._stalls.made_progress()
            return
        waiting = [
            queued for source in self._sources.all() for queued in source.queue if not queued.is_dead_lettered
        ]
        if not waiting:
            self._stalls.made_progress()
        elif self._stalls.check(now):
            self._history.count("replay stalls")
            oldest = waiting[0]
            self._logger.warning(
                "the replay makes no progress",
                seconds=STALLED_AFTER,
                waiting=len(waiting),
                oldest=oldest.write.number,
                stage=oldest.stage.value,
                last_rejection=self._last_rejection,
            )

    def _advance_source(self, source: ReplaySource, now: float) -> None:
        source.queue.window = self._window.size
        for number, query_first in source.queue.ready_writes(now):
            queued = source.queue.get(number)
            if queued is None:
                continue
            if query_first:
                self._query(source, queued, now)
            elif not self._has_open_write(self._extent_of(queued.write)):
                # A forwarded write to the same extent that is still open came first, so it must end first.
                self._send(source, queued, now)

    def _extent_of(self, write: Write) -> Extent:
        return Extent(write.volume, write.block // self._settings.volumes[write.volume].extent_blocks)

    def _query(self, source: ReplaySource, queued: QueuedWrite, now: float) -> None:
        """Queries the first reachable gateway that may have run the write; the others follow in turn."""
        number = queued.write.number
        for gateway in queued.suspects:
            self._connections.keep_open(gateway, now)
            if self._connections.is_open(gateway):
                source.queue.mark_queried(number, now)
                request_class = self._persistence.record_of(number).request_class
                self._connections.send(gateway, StatusQuery(number, source.epoch, request_class))
                return
        source.queue.mark_unanswered(number, now)

    def _send(self, source: ReplaySource, queued: QueuedWrite, now: float) -> None:
        number = queued.write.number
        alive = set(self._alive_gateways())
        primaries = self._settings.volumes[queued.write.volume].primaries
        for gateway in sorted(primaries, key=lambda primary: primary not in alive):
            self._connections.keep_open(gateway, now)
            if self._connections.is_open(gateway):
                self._send_to(source, queued, gateway, number, now)
                return

    def _send_to(
        self, source: ReplaySource, queued: QueuedWrite, gateway: int, number: WriteNumber, now: float
    ) -> None:
        source.queue.mark_sent(number, gateway, now)
        if number.gateway != self._settings.gateway:
            self._transmit(source, queued, gateway)
            return

        def persisted(stored: bool) -> None:
            if not self._is_still_sent(source, queued):
                return
            if stored:
                self._transmit(source, queued, gateway)
            else:
                self._defer(source, queued, gateway)

        # Persisted before sending, so that after a crash an unanswered write is known to have been sent.
        self._persistence.persist_progress_then(number, persisted)

    def _is_still_sent(self, source: ReplaySource, queued: QueuedWrite) -> bool:
        return queued.stage is WriteStage.SENT and source.queue.get(queued.write.number) is queued

    def _defer(self, source: ReplaySource, queued: QueuedWrite, gateway: int) -> None:
        not_before = self._transport.now() + RETRY_AFTER_PENDING
        source.queue.mark_rejected(queued.write.number, queued.send_token(gateway), not_before)

    def _transmit(self, source: ReplaySource, queued: QueuedWrite, gateway: int) -> None:
        if not self._connections.is_open(gateway):
            self._defer(source, queued, gateway)
            return
        number = queued.write.number
        record = self._persistence.record_of(number)
        self._connections.send(
            gateway,
            ReplayWrite(
                number=number,
                epoch=source.epoch,
                send_token=queued.send_token(gateway),
                request_class=record.request_class,
                volume=record.volume,
                block=record.block,
                hints=record.hints,
                idempotency_key=record.label,
                attempt=record.attempt,
                base_version=record.base_digest if queued.write.stops_on_conflict else 0,
                forced=queued.forced,
                data=record.data,
            ),
        )

    # ---- Answers

    def reply_received(self, gateway: int, reply: ReplayReply) -> None:
        """Handles a reply of a main-site gateway; raises ProtocolError if its outcome is invalid."""
        try:
            outcome = ReplayOutcome(reply.outcome)
        except ValueError:
            raise ProtocolError(f"invalid replay outcome {reply.outcome}") from None
        number = WriteNumber(*reply.number)
        source = self._sources.of_gateway(number.gateway)
        queued = source.queue.get(number) if source is not None else None
        if source is None or queued is None:
            return
        handler = self._handlers.get(outcome)
        if handler is not None:
            handler(ReceivedReply(source, queued, gateway, reply))
        self.advance()

    def _on_applied(self, received: ReceivedReply) -> None:
        number = received.number
        if received.queued.stage is WriteStage.SENT:
            request_class = self._settings.request_classes[self._persistence.record_of(number).request_class]
            duration = self._transport.now() - received.queued.pending_since
            self._window.record_success(duration, request_class.latency_objective)
        received.source.queue.mark_applied(number)
        self._stalls.made_progress()
        self._last_rejection = None
        self._history.count("replayed")
        self._history.note("in effect", number)
        self._block_view.remove(number)
        if number.gateway == self._settings.gateway:
            self._persistence.remove(number)
        else:
            self._standby_writes.mark_applied(number)

    def _on_not_applied(self, received: ReceivedReply) -> None:
        received.source.queue.mark_not_applied(received.number, received.gateway, received.reply.send_token)

    def _on_stale_token(self, received: ReceivedReply) -> None:
        received.source.queue.mark_token_refused(received.number, received.reply.send_token)

    def _on_retry(self, received: ReceivedReply) -> None:
        self._last_rejection = received.gateway
        not_before = self._transport.now() + self._window.record_rejection(received.reply.retry_after)
        received.source.queue.mark_rejected(received.number, received.reply.send_token, not_before)
        received.source.queue.defer_query(received.number, not_before)

    def _on_unknown(self, received: ReceivedReply) -> None:
        reason = f"it may have run: head {received.gateway} of the main site can't say"
        self._dead_letters.add(received.source.queue, received.number, reason)

    def _on_conflict(self, received: ReceivedReply) -> None:
        queue = received.source.queue
        if queue.handle_conflict(received.number, "its blocks changed at the main site"):
            queue.mark_rejected(received.number, received.reply.send_token)
        else:
            self._dead_letters.publish(queue)

    # ---- Epochs

    def _on_fenced(self, received: ReceivedReply) -> None:
        """Stops replaying the queue, as another gateway replays it under a later epoch."""
        received.source.queue.mark_connection_lost()
        if received.source.gateway != self._settings.gateway:
            self._sources.give_back()  # the other gateway is back and replays under a later epoch
            return
        later_epoch = received.reply.send_token
        self._fence.fence(later_epoch, self._transport.now())
        self._history.note("shut out", None, f"epoch {later_epoch}, own {self._fence.epoch}")
        self._logger.warning(
            "another gateway replays this one's queue", epoch=later_epoch, own=self._fence.epoch
        )

    def _check_fence(self, now: float) -> None:
        """Resumes under a later epoch once the other gateway is alive, which then stops its replay."""
        standby = self._settings.standby
        if self._fence.may_resume(now) and (standby is None or standby in self._alive_gateways()):
            self._fence.resume()
            self._history.note("replays again", None, f"epoch {self._fence.epoch}")
            self._connections.announce_progress()
