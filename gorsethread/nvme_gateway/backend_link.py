"""Connects the gateway to one backend over NVMe/TCP and sends attempts as commands on that connection.

A connection carries many commands at once, and each attempt gets exactly one outcome. A link connects only
when an attempt needs the connection. It does not decide when to try again: if connecting fails, the attempt
ends as UNREACHABLE, and the scheduler lets the backend cool down.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.nvme.command import Command, Completion, Status, unpack_service_report
from gorsethread.nvme_transport.host_connection import Association, AssociationNames, connect_association
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import Transport, Unreachable

OUTCOMES: dict[int, AttemptOutcome] = {
    Status.SUCCESS: AttemptOutcome.SUCCEEDED,
    Status.ABORT_REQUESTED: AttemptOutcome.CANCELLED,
}


class BackendCommand(NamedTuple):
    """The payload of an attempt.

    Attributes:
        command: The command to send.
        data: Data of a write.
        read_bytes: Number of data bytes that the answer may carry.
    """

    command: Command
    data: bytes = b""
    read_bytes: int = 0


@dataclass(slots=True, eq=False)
class BackendLink:
    """The gateway's connection to one backend, and the attempts that use it or wait for it.

    Attributes:
        connect_timeout: Seconds in which the admin queue and the I/O queue must be connected.
        queue_size: Largest number of commands in flight.
        digests: Whether PDUs carry header and data digests.
        in_flight: Attempts sent, by command id; answers and the loss of the connection remove them.
        awaiting_connection: Attempts to send once connected; emptied when connecting succeeds or fails.
        connect_delay: Returns the seconds to wait until this gateway may open another connection.
        not_ready: The backend is draining or has left the endpoint list.
        link_observer: At a branch's gateway, is notified of requests sent and answers received.
    """

    transport: Transport
    backend: int
    address: tuple[str, int]
    names: AssociationNames
    connect_timeout: float
    queue_size: int
    digests: bool
    log: Any
    association: Association | None = None
    connecting: bool = False
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    awaiting_connection: list[Attempt] = field(default_factory=list)
    closed: bool = False
    connect_delay: Callable[[], float] = lambda: 0.0
    not_ready: bool = False
    link_observer: Any = None

    def send(self, attempt: Attempt) -> None:
        """Sends the attempt, or connects first if there is no connection."""
        if self.association is not None:
            self._submit(attempt)
            return
        self.awaiting_connection.append(attempt)
        if not self.connecting:
            self.connecting = True
            self.transport.spawn(self._connect())

    def ready(self, ready: bool) -> None:
        """Notes whether the backend takes new work; if not, attempts that wait for a connection end unsent.

        The connection could otherwise be established after the drain's grace period.
        """
        self.not_ready = not ready
        if self.not_ready:
            waiting, self.awaiting_connection = self.awaiting_connection, []
            for attempt in waiting:
                self._end_attempt(attempt, AttemptOutcome.NOT_SENT)

    def cancel(self, attempt: Attempt) -> None:
        """Asks the backend to abort the attempt, or ends it as not sent if it still waits for a connection.

        An aborted attempt keeps its command id until the backend has answered.
        """
        if attempt in self.awaiting_connection:
            self.awaiting_connection.remove(attempt)
            self._end_attempt(attempt, AttemptOutcome.NOT_SENT)
            return
        if (
            self.association is not None
            and attempt.cid in self.in_flight
            and self.in_flight[attempt.cid] is attempt
        ):
            self.association.abort(attempt.cid)

    @property
    def idle(self) -> bool:
        """Whether no attempt is in flight or waits for the connection."""
        return not self.in_flight and not self.awaiting_connection

    def close(self) -> None:
        """Closes the connection for good; attempts in flight end as CONNECTION_LOST."""
        self.closed = True
        if self.association is not None:
            self.association.close()

    async def _connect(self) -> None:
        if (wait := self.connect_delay()) > 0.0:
            await self.transport.sleep(wait)
            if not self.awaiting_connection:  # every attempt was cancelled during the delay
                self.connecting = False
                return
        if self.link_observer is not None:
            self.link_observer.request_sent()
        try:
            association = await connect_association(
                self.transport,
                self.address,
                self.names,
                timeout=self.connect_timeout,
                size=self.queue_size,
                digests=self.digests,
            )
        except Unreachable as error:
            self.connecting = False
            self.log.info("backend not reached", backend=self.backend, reason=str(error))
            waiting, self.awaiting_connection = self.awaiting_connection, []
            for attempt in waiting:
                self._end_attempt(attempt, AttemptOutcome.UNREACHABLE)
            return
        self.connecting = False
        if self.closed:
            association.close()
        if self.closed or association.io.queue.closed or association.admin.queue.closed:
            waiting, self.awaiting_connection = self.awaiting_connection, []
            for attempt in waiting:
                self._end_attempt(attempt, AttemptOutcome.UNREACHABLE)
            return
        self.association = association
        association.io.ended = self._connection_lost
        association.admin.ended = lambda reason: association.io.close(f"admin queue: {reason}")
        self.log.info("backend connected", backend=self.backend)
        waiting, self.awaiting_connection = self.awaiting_connection, []
        for attempt in waiting:
            # An attempt that ended while connecting (deadline reached, client gone) is not sent.
            if not attempt.ended:
                self._submit(attempt)

    def _submit(self, attempt: Attempt) -> None:
        association = self.association
        assert association is not None
        queue = association.io.queue
        if len(queue) >= queue.size:
            # A backend that does not answer keeps the command ids of attempts that timed out here. Once no
            # id is left, the link reconnects, and everything in flight ends as CONNECTION_LOST. The cost:
            # this also ends attempts that would still have been answered in time.
            association.close("no command id is left")
            self.awaiting_connection.append(attempt)
            if not self.connecting:
                self.connecting = True
                self.transport.spawn(self._connect())
            return
        payload: BackendCommand = attempt.payload
        if self.link_observer is not None:
            self.link_observer.request_sent()
        attempt.cid = queue.submit(
            payload.command,
            lambda completion, data: self._command_completed(attempt, completion, data),
            payload.data,
            payload.read_bytes,
        )
        self.in_flight[attempt.cid] = attempt

    def _command_completed(self, attempt: Attempt, completion: Completion, data: bytes) -> None:
        self.in_flight.pop(attempt.cid, None)
        if self.link_observer is not None:
            self.link_observer.answer_received()
        elsewhere, usage, service = unpack_service_report(completion)
        if completion.rejected:
            outcome = AttemptOutcome.REJECTED
        else:
            outcome = OUTCOMES.get(completion.status, AttemptOutcome.ERROR)
        self._end_attempt(attempt, outcome, AttemptResult(data, elsewhere, usage, service))

    def _connection_lost(self, reason: str) -> None:
        association, self.association = self.association, None
        attempts, self.in_flight = self.in_flight, {}
        if association is not None:
            association.close(reason)
        if not self.closed:
            self.log.info(
                "backend connection lost", backend=self.backend, reason=reason, in_flight=len(attempts)
            )
        for attempt in attempts.values():
            self._end_attempt(attempt, AttemptOutcome.CONNECTION_LOST)

    def _end_attempt(
        self, attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult = EMPTY_RESULT
    ) -> None:
        if not attempt.ended:
            attempt.ended = True
            attempt.on_end(attempt, outcome, result)
