"""The main site's side of branches' replay: accepts each write once and reports its outcome.

`offline_writes/applied_writes.py` keeps track of writes that are applied, running or of unknown outcome.
Writes that must not run twice are also recorded in this gateway's durable log.
"""

from typing import Any, NamedTuple

from gorsethread.durable_log.records import APPLIED_WRITE, Tombstone, WriteApplied
from gorsethread.durable_log.replication_messages import ProtocolError, encode
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.interfaces import Placement
from gorsethread.nvme_gateway.replay_execution import ReplayExecutor
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.offline_writes import messages
from gorsethread.offline_writes.applied_writes import AppliedWrites, ReplayOutcome
from gorsethread.offline_writes.writes import WriteNumber
from gorsethread.recovery.stages import RETRY_AFTER as RETRY_AFTER_RECOVERY
from gorsethread.recovery.stages import Stage as RecoveryStage
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Stream, Transport

LOG_INTERVAL = 10.0  # seconds between two warnings of refused writes


class Waiter(NamedTuple):
    """A stream that waits for the outcome of a running write, and the send token for the reply."""

    stream: Stream
    send_token: int


class ReplayReceiver:
    """Owns the state of branches' writes and the waiters for running ones, which are dropped as each ends.

    Args:
        transport: The clock.
        site: The site file.
        log: This gateway's durable log.
        driver: Executes the writes.
        placement: The shards of extents.
        logger: Receives errors and warnings.
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        log: ReplicatedLog,
        driver: Driver,
        placement: Placement,
        logger: Any,
    ) -> None:
        self._log = log
        self._logger = logger
        self._branch_gateways = {number for branch in site.branch for number in branch.head}
        self._transport = transport
        self._max_queued = max((branch.queue_writes for branch in site.branch), default=0)
        self._executor = ReplayExecutor(transport, site, driver, placement)
        self._full_logged_at = float("-inf")
        self._applied_writes: AppliedWrites | None = None
        self._waiters: dict[WriteNumber, list[Waiter]] = {}
        log.on_records_recovered = self._recover

    def _recover(self) -> None:
        if self._applied_writes is None:
            return
        for record in self._log.store.table.records.values():
            fact = record.fact
            if isinstance(fact, WriteApplied):
                self._applied_writes.restore(
                    WriteNumber(fact.branch, fact.incarnation, fact.position), fact.ran
                )

    def _known_writes(self) -> AppliedWrites | None:
        """Return the state of branches' writes; None until the gateway knows which ones it had begun."""
        if self._log.recovery.stage is not RecoveryStage.COMPLETE or not self._log.store.started:
            return None
        if self._applied_writes is None:
            self._applied_writes = AppliedWrites(self._log.incarnation, self._max_queued)
            self._recover()
        return self._applied_writes

    # ---- messages

    def message_received(self, stream: Stream, message: Any) -> None:
        """Handle a message of a branch's gateway; raises ProtocolError where the sender is in no branch."""
        if isinstance(message, messages.Heartbeat):
            stream.write(encode(messages.HeartbeatReply(message.count)))
            return
        writes = self._known_writes()
        if isinstance(message, messages.ReplayProgress):
            self._check_gateway(message.gateway)
            if writes is not None:
                self._progress_received(writes, message)
        elif isinstance(message, messages.StatusQuery | messages.ReplayWrite):
            self._check_gateway(message.number[0])
            if not self._fits_site(message) or writes is None:
                number = WriteNumber(*message.number)
                self._reply(stream, number, ReplayOutcome.RETRY, retry_after=RETRY_AFTER_RECOVERY)
            elif isinstance(message, messages.StatusQuery):
                self._query_received(stream, writes, message)
            else:
                self._write_received(stream, writes, message)

    def _check_gateway(self, gateway: int) -> None:
        if gateway not in self._branch_gateways:
            raise ProtocolError(f"gateway {gateway} does not belong to a branch")

    def _fits_site(self, message: messages.StatusQuery | messages.ReplayWrite) -> bool:
        fits = self._executor.has_request_class(message.request_class)
        if fits and isinstance(message, messages.ReplayWrite):
            fits = self._executor.fits(message)
        if not fits:
            self._logger.error(
                "a branch's write does not match this gateway's site file",
                number=message.number,
                to_do="give all gateways of the site the same site file",
            )
        return fits

    def _progress_received(self, writes: AppliedWrites, message: messages.ReplayProgress) -> None:
        exceptions = frozenset(message.exceptions)
        finished = writes.handle_progress(message.gateway, message.epoch, message.completed_up_to, exceptions)
        if finished is None:
            self._logger.warning(
                "a message with an earlier epoch of a branch was rejected",
                branch=message.gateway,
                epoch=message.epoch,
            )
            return
        for position in finished:
            if (APPLIED_WRITE, message.gateway, *position) in self._log.store.table.records:
                self._log.append(Tombstone([APPLIED_WRITE, message.gateway, *position]))

    def _query_received(self, stream: Stream, writes: AppliedWrites, message: messages.StatusQuery) -> None:
        number = WriteNumber(*message.number)
        idempotent = self._executor.is_idempotent(message.request_class)
        answer = writes.handle_query(number, message.epoch, idempotent)
        if answer.outcome is ReplayOutcome.PENDING:
            self._waiters.setdefault(number, []).append(Waiter(stream, 0))
        else:
            self._reply(stream, number, answer.outcome, answer.detail)

    def _write_received(self, stream: Stream, writes: AppliedWrites, message: messages.ReplayWrite) -> None:
        number = WriteNumber(*message.number)
        idempotent = self._executor.is_idempotent(message.request_class)
        if message.forced:
            writes.release(number)
        outcome = writes.handle_write(number, message.send_token, message.epoch, idempotent)
        if outcome in (ReplayOutcome.START, ReplayOutcome.PENDING):
            self._waiters.setdefault(number, []).append(Waiter(stream, message.send_token))
            if outcome is ReplayOutcome.START:
                self._begin(message, idempotent)
            return
        if outcome is ReplayOutcome.RETRY:
            self._log_if_full(writes, number.gateway)
        fenced = outcome is ReplayOutcome.FENCED
        detail = writes.epoch_of(number.gateway) if fenced else message.send_token
        self._reply(stream, number, outcome, detail, RETRY_AFTER_RECOVERY)

    def _log_if_full(self, writes: AppliedWrites, gateway: int) -> None:
        refused = writes.refused_as_full[gateway]
        now = self._transport.now()
        if not refused or now < self._full_logged_at + LOG_INTERVAL:
            return
        self._full_logged_at = now
        self._logger.warning(
            "a branch's writes are refused until it reports earlier ones as completed",
            branch=gateway,
            tracked=writes.tracked(gateway),
            refused=refused,
        )

    def _reply(
        self,
        stream: Stream,
        number: WriteNumber,
        outcome: ReplayOutcome,
        send_token: int = 0,
        retry_after: float = 0.0,
    ) -> None:
        stream.write(encode(messages.ReplayReply(number, int(outcome), send_token, retry_after)))

    # ---- running writes

    def _begin(self, message: messages.ReplayWrite, idempotent: bool) -> None:
        number = WriteNumber(*message.number)
        if idempotent:
            self._execute(message)
            return
        retry_after = self._log.retry_after()
        if retry_after > 0.0:
            self._finish(number, ReplayOutcome.RETRY, retry_after)
            return

        def on_recorded(durable: bool) -> None:
            if durable:
                self._execute(message)
            else:
                self._executed(number, ReplayOutcome.RETRY, RETRY_AFTER_RECOVERY)

        # Recorded on as many replicas as any acknowledged record, so that after a loss of this machine no
        # gateway assumes that the write was not begun.
        self._log.append(WriteApplied(*number, False), on_recorded)

    def _execute(self, message: messages.ReplayWrite) -> None:
        number = WriteNumber(*message.number)
        self._executor.execute(
            message, lambda outcome, retry_after: self._executed(number, outcome, retry_after)
        )

    def _executed(self, number: WriteNumber, outcome: ReplayOutcome, retry_after: float) -> None:
        if outcome is ReplayOutcome.APPLIED:
            self._log.append(WriteApplied(*number, True))
            self._finish(number, outcome, 0.0)
        elif outcome is ReplayOutcome.UNKNOWN:
            self._finish(number, outcome, 0.0)
        else:
            # It has not run: remove the record that it was begun.
            self._log.append(Tombstone([APPLIED_WRITE, *number]))
            self._finish(number, outcome, retry_after)

    def _finish(self, number: WriteNumber, outcome: ReplayOutcome, retry_after: float) -> None:
        assert self._applied_writes is not None
        self._applied_writes.finish(number, outcome)
        for waiter in self._waiters.pop(number, ()):
            self._reply(waiter.stream, number, outcome, waiter.send_token, retry_after)
