"""The main site's side of branches' replay: takes each write once, and answers what became of it.

What is applied, running or unknown is kept by `offline_writes/applied_writes.py`, and in this gateway's
durable log where it may not run twice.
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
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.transport.base import Stream, Transport


class Waiter(NamedTuple):
    """Who queried or sent a running write, and the send token that the answer carries."""

    stream: Stream
    send_token: int


class ReplayReceiver:
    """Owns what is known of branches' writes, and who waits for running ones (emptied as each ends).

    Args:
        transport: Tells the time.
        site: The site file.
        log: This gateway's durable log.
        driver: Runs the writes.
        placement: Of extents.
        logger: For faults.
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
        self._executor = ReplayExecutor(transport, site, driver, placement)
        self._applied_writes: AppliedWrites | None = None
        self._waiters: dict[WriteNumber, list[Waiter]] = {}
        log.on_records_recovered = self._recover

    def _recover(self) -> None:
        if self._applied_writes is None:
            return
        for record in self._log.store.table.records.values():
            fact = record.fact
            if isinstance(fact, WriteApplied):
                self._applied_writes.recovered(
                    WriteNumber(fact.branch, fact.incarnation, fact.position), fact.ran
                )

    def _known_writes(self) -> AppliedWrites | None:
        """None while this gateway does not know yet what it had begun."""
        if self._log.recovery.stage is not RecoveryStage.COMPLETE or not self._log.store.started:
            return None
        if self._applied_writes is None:
            self._applied_writes = AppliedWrites(self._log.incarnation)
            self._recover()
        return self._applied_writes

    # ---- Messages

    def message_received(self, stream: Stream, message: Any) -> None:
        """A message of a branch's gateway; ProtocolError where none sends it."""
        if isinstance(message, messages.Heartbeat):
            stream.write(encode(messages.HeartbeatReply(message.count)))
            return
        known = self._known_writes()
        if isinstance(message, messages.ReplayProgress):
            self._check_gateway(message.gateway)
            if known is not None:
                self._progress_received(known, message)
        elif isinstance(message, messages.StatusQuery | messages.ReplayWrite):
            self._check_gateway(message.number[0])
            if not self._fits_site(message) or known is None:
                number = WriteNumber(*message.number)
                self._reply(stream, number, ReplayOutcome.RETRY, retry_after=RETRY_AFTER_RECOVERY)
            elif isinstance(message, messages.StatusQuery):
                self._query_received(stream, known, message)
            else:
                self._write_received(stream, known, message)

    def _check_gateway(self, gateway: int) -> None:
        if gateway not in self._branch_gateways:
            raise ProtocolError(f"gateway {gateway} is of no branch")

    def _fits_site(self, message: messages.StatusQuery | messages.ReplayWrite) -> bool:
        fits = self._executor.has_request_class(message.request_class)
        if fits and isinstance(message, messages.ReplayWrite):
            fits = self._executor.fits(message)
        if not fits:
            self._logger.error(
                "a branch's write fits nothing in this gateway's site file",
                number=message.number,
                to_do="give all heads of the site the same site file",
            )
        return fits

    def _progress_received(self, known: AppliedWrites, message: messages.ReplayProgress) -> None:
        exceptions = frozenset(message.exceptions)
        finished = known.progress_reported(
            message.gateway, message.epoch, message.completed_up_to, exceptions
        )
        if finished is None:
            self._logger.warning(
                "an earlier epoch of a branch is fenced", branch=message.gateway, epoch=message.epoch
            )
            return
        for position in finished:
            if (APPLIED_WRITE, message.gateway, *position) in self._log.store.table.records:
                self._log.append(Tombstone([APPLIED_WRITE, message.gateway, *position]))

    def _query_received(self, stream: Stream, known: AppliedWrites, message: messages.StatusQuery) -> None:
        number = WriteNumber(*message.number)
        idempotent = self._executor.is_idempotent(message.request_class)
        answer = known.queried(number, message.epoch, idempotent)
        if answer.outcome is ReplayOutcome.PENDING:
            self._waiters.setdefault(number, []).append(Waiter(stream, 0))
        else:
            self._reply(stream, number, answer.outcome, answer.detail)

    def _write_received(self, stream: Stream, known: AppliedWrites, message: messages.ReplayWrite) -> None:
        number = WriteNumber(*message.number)
        idempotent = self._executor.is_idempotent(message.request_class)
        if message.forced:
            known.released(number)
        outcome = known.received(number, message.send_token, message.epoch, idempotent)
        if outcome in (ReplayOutcome.START, ReplayOutcome.PENDING):
            self._waiters.setdefault(number, []).append(Waiter(stream, message.send_token))
            if outcome is ReplayOutcome.START:
                self._begin(message, idempotent)
            return
        fenced = outcome is ReplayOutcome.FENCED
        detail = known.epoch_of(number.gateway) if fenced else message.send_token
        self._reply(stream, number, outcome, detail, RETRY_AFTER_RECOVERY)

    def _reply(
        self,
        stream: Stream,
        number: WriteNumber,
        outcome: ReplayOutcome,
        send_token: int = 0,
        retry_after: float = 0.0,
    ) -> None:
        stream.write(encode(messages.ReplayReply(number, int(outcome), send_token, retry_after)))

    # ---- Running writes

    def _begin(self, message: messages.ReplayWrite, idempotent: bool) -> None:
        number = WriteNumber(*message.number)
        if idempotent:
            self._execute(message)
            return
        retry_after = self._log.retry_after()
        if retry_after > 0.0:
            self._finish(number, ReplayOutcome.RETRY, retry_after)
            return

        def recorded(stored: bool) -> None:
            if stored:
                self._execute(message)
            else:
                self._executed(number, ReplayOutcome.RETRY, RETRY_AFTER_RECOVERY)

        # With as many copies as any promise: after a loss of this machine nobody takes it for not begun.
        self._log.append(WriteApplied(*number, False), recorded)

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
            # It has not run: what was recorded as begun is taken back.
            self._log.append(Tombstone([APPLIED_WRITE, *number]))
            self._finish(number, outcome, retry_after)

    def _finish(self, number: WriteNumber, outcome: ReplayOutcome, retry_after: float) -> None:
        assert self._applied_writes is not None
        self._applied_writes.finished(number, outcome)
        for waiter in self._waiters.pop(number, ()):
            self._reply(waiter.stream, number, outcome, waiter.send_token, retry_after)
