"""Links from a head to its shelves: many commands a connection, each forward's one ending told as it was.

A link connects when a forward needs it and says nothing of its own accord about when to try again: a forward
that finds no connection ends as UNREACHED, and the scheduler lets the shelf rest.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.nvme.command import Command, Completion, Status, unpack_service_report
from gorsethread.nvme_transport.host_connection import Association, AssociationNames, connect_association
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import Transport, Unreachable

ENDINGS: dict[int, AttemptOutcome] = {
    Status.SUCCESS: AttemptOutcome.SUCCEEDED,
    Status.ABORT_REQUESTED: AttemptOutcome.CANCELLED,
}


class BackendCommand(NamedTuple):
    """A forward's payload here. read: bytes that its answer may bring."""

    command: Command
    data: bytes = b""
    read: int = 0


@dataclass(slots=True, eq=False)
class BackendLink:
    transport: Transport
    shelf: int
    address: tuple[str, int]
    names: AssociationNames
    connect_within: float
    queue_size: int
    digests: bool
    log: Any
    association: Association | None = None
    connecting: bool = False
    out: dict[int, Attempt] = field(default_factory=dict)  # by command id; emptied by answers
    waiting: list[Attempt] = field(default_factory=list)  # for the connection; emptied as it stands or fails
    closed: bool = False
    opens: Callable[[], float] = lambda: 0.0  # seconds until this head may open one more connection
    unready: bool = False  # the shelf drains or has left the list
    signs: Any = None  # of a branch's head: told of what goes out and what is answered

    def send(self, f: Attempt) -> None:
        if self.association is not None:
            self._submit(f)
            return
        self.waiting.append(f)
        if not self.connecting:
            self.connecting = True
            self.transport.spawn(self._connect())

    def ready(self, ready: bool) -> None:
        """Of a shelf that drains nothing waits for a connection: it could come after the grace."""
        self.unready = not ready
        if self.unready:
            waiting, self.waiting = self.waiting, []
            for f in waiting:
                self._end(f, AttemptOutcome.NOT_SENT)

    def cancel(self, f: Attempt) -> None:
        """Asks the shelf to drop it; it still holds its command id until the shelf has answered. What waits
        for its connection is not sent at all."""
        if f in self.waiting:
            self.waiting.remove(f)
            self._end(f, AttemptOutcome.NOT_SENT)
            return
        if self.association is not None and f.cid in self.out and self.out[f.cid] is f:
            self.association.abort(f.cid)

    @property
    def idle(self) -> bool:
        return not self.out and not self.waiting

    def close(self) -> None:
        self.closed = True
        if self.association is not None:
            self.association.close()

    async def _connect(self) -> None:
        if (wait := self.opens()) > 0.0:
            await self.transport.sleep(wait)
            if not self.waiting:  # all that it was for was called off meanwhile
                self.connecting = False
                return
        if self.signs is not None:
            self.signs.request_sent()
        try:
            association = await connect_association(
                self.transport,
                self.address,
                self.names,
                within=self.connect_within,
                size=self.queue_size,
                digests=self.digests,
            )
        except Unreachable as error:
            self.connecting = False
            self.log.info("shelf not reached", shelf=self.shelf, reason=str(error))
            waiting, self.waiting = self.waiting, []
            for f in waiting:
                self._end(f, AttemptOutcome.UNREACHABLE)
            return
        self.connecting = False
        if self.closed:
            association.close()
        if self.closed or association.io.queue.closed or association.admin.queue.closed:
            waiting, self.waiting = self.waiting, []
            for f in waiting:
                self._end(f, AttemptOutcome.UNREACHABLE)
            return
        self.association = association
        association.io.ended = self._broke
        association.admin.ended = lambda reason: association.io.close(f"admin queue: {reason}")
        self.log.info("shelf connected", shelf=self.shelf)
        waiting, self.waiting = self.waiting, []
        for f in waiting:
            # What was ended (its time came, the client left) while the link was set up is not sent at all.
            if not f.ended:
                self._submit(f)

    def _submit(self, f: Attempt) -> None:
        association = self.association
        assert association is not None
        queue = association.io.queue
        if len(queue) >= queue.size:
            # A shelf that answers nothing keeps the ids of commands long given up here. Once none is left
            # the link is made anew; what is out on it ends as broken. Hurts forwards still in good time.
            association.close("no command id is left")
            self.waiting.append(f)
            if not self.connecting:
                self.connecting = True
                self.transport.spawn(self._connect())
            return
        order: BackendCommand = f.payload
        if self.signs is not None:
            self.signs.request_sent()
        f.cid = queue.submit(
            order.command, lambda done, data: self._done(f, done, data), order.data, order.read
        )
        self.out[f.cid] = f

    def _done(self, f: Attempt, completion: Completion, data: bytes) -> None:
        self.out.pop(f.cid, None)
        if self.signs is not None:
            self.signs.answer_received()
        elsewhere, usage, service = unpack_service_report(completion)
        if completion.rejected:
            how = AttemptOutcome.REJECTED
        else:
            how = ENDINGS.get(completion.status, AttemptOutcome.ERROR)
        self._end(f, how, AttemptResult(data, elsewhere, usage, service))

    def _broke(self, reason: str) -> None:
        association, self.association = self.association, None
        out, self.out = self.out, {}
        if association is not None:
            association.close(reason)
        if not self.closed:
            self.log.info("shelf link broke", shelf=self.shelf, reason=reason, out=len(out))
        for f in out.values():
            self._end(f, AttemptOutcome.CONNECTION_LOST)

    def _end(self, f: Attempt, how: AttemptOutcome, told: AttemptResult = EMPTY_RESULT) -> None:
        if not f.ended:
            f.ended = True
            f.on_end(f, how, told)
