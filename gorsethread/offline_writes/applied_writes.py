"""Tracks, at a gateway of the main site, which replayed writes of branches are applied, running, or unknown.

Each write is applied once. A write is accepted only with the send token that the last query returned, so that
a copy sent before the query and delayed in the network is refused. A gateway that restarts finds in its
records which writes it had started. Only the backend knows whether those ran, so a non-idempotent one is
reported as unknown and an operator decides. A gateway replays a branch's queue under an epoch; messages of
an earlier epoch are fenced.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from gorsethread.offline_writes.writes import Position, WriteNumber

MAX_RUNNING = 32  # writes of all branches that one gateway of the main site runs concurrently
# Applied or unknown writes of one branch gateway that it has not yet reported completed, besides as many as
# its queue may hold: a gateway that replays the queue of another one can't report its progress.
MAX_TRACKED = 4096
TOKEN_BITS = 12  # low bits of a send token, above which stands the incarnation


class ReplayOutcome(IntEnum):
    """The outcome of a status query or of a replayed write; the values are part of the wire format."""

    APPLIED = 0
    NOT_APPLIED = 1  # only to a query: the send token in the reply is accepted from now on
    UNKNOWN = 2  # it may or may not have run
    RETRY = 3  # it has not run and may be sent again
    STALE_TOKEN = 4  # a later query replaced its send token; query it again
    CONFLICT = 5  # it has not run, as its blocks changed since the branch last saw them
    FENCED = 6  # this branch gateway's queue is replayed under a later epoch
    START = 7  # internal: the caller is to run it now
    PENDING = 8  # internal: it is running; the caller replies when it ends


class QueryAnswer(NamedTuple):
    """The answer to a status query.

    Attributes:
        outcome: PENDING if the write is running, so that the reply has to wait until it ends.
        detail: With NOT_APPLIED, the send token that is accepted from now on; with FENCED, the later epoch.
    """

    outcome: ReplayOutcome
    detail: int = 0


@dataclass
class BranchWrites:
    """The state of the replayed writes of one branch gateway.

    Attributes:
        epoch: The latest epoch under which they were replayed.
        completed_up_to: All writes up to this position, except for `exceptions`, are finished.
        exceptions: Positions of writes that are or were dead-lettered at the branch.
        applied: Applied writes that are not yet reported completed; removed once they are.
        unknown: Writes that may have run, such as those started in an earlier incarnation; removed once
            reported completed, released by an operator, or found safe to send again.
        running: Writes that run now; each is removed when it ends.
        send_tokens: For each queried write, the token that is accepted; removed once it is applied or
            reported completed.
    """

    epoch: int = 0
    completed_up_to: Position = (0, 0)
    exceptions: frozenset[Position] = frozenset()
    applied: set[Position] = field(default_factory=set)
    unknown: set[Position] = field(default_factory=set)
    running: set[Position] = field(default_factory=set)
    send_tokens: dict[Position, int] = field(default_factory=dict)

    def is_completed(self, position: Position) -> bool:
        """Returns whether the branch reported the write finished."""
        return position <= self.completed_up_to and position not in self.exceptions


class AppliedWrites:
    """Owns one BranchWrites per branch gateway; the attributes there say when entries are removed.

    Attributes:
        refused_as_full: How many writes were refused, by branch gateway, because too many are tracked.

    Args:
        incarnation: The incarnation of this gateway.
        max_queued: The number of writes that a branch gateway's queue may hold.
    """

    def __init__(self, incarnation: int, max_queued: int = 0) -> None:
        self.refused_as_full: Counter[int] = Counter()
        self._first_token = incarnation << TOKEN_BITS  # tokens of a later incarnation are greater
        self._max_tracked = MAX_TRACKED + max_queued
        self._branches: dict[int, BranchWrites] = {}  # by branch gateway; bounded by the site file

    def restore(self, number: WriteNumber, ran: bool) -> None:
        """Restores a write from a record of this gateway, read from its own disk or from a replica.

        Args:
            number: The write.
            ran: Whether the record says that it was applied, or only that it was started.
        """
        writes = self._branch_writes(number)
        position = number.position
        if position in writes.running:
            return
        if ran:
            writes.applied.add(position)
            writes.unknown.discard(position)
        elif position not in writes.applied:
            writes.unknown.add(position)

    def handle_progress(
        self, gateway: int, epoch: int, completed_up_to: Position, exceptions: frozenset[Position]
    ) -> list[Position] | None:
        """Updates what is finished from a progress report of a branch gateway.

        Returns:
            Positions of the writes that are no longer tracked; None if the epoch is fenced by a later one.
        """
        writes = self._branches.setdefault(gateway, BranchWrites())
        if epoch < writes.epoch:
            return None
        writes.epoch = epoch
        writes.completed_up_to = max(completed_up_to, writes.completed_up_to)
        # Exceptions are only added: a branch that lost its disk may have forgotten what it dead-lettered.
        writes.exceptions = writes.exceptions | exceptions

        def is_finished(position: Position) -> bool:
            return position <= writes.completed_up_to and position not in exceptions

        finished = [position for position in writes.applied | writes.unknown if is_finished(position)]
        writes.applied.difference_update(finished)
        writes.unknown.difference_update(finished)
        for position in [position for position in writes.send_tokens if is_finished(position)]:
            del writes.send_tokens[position]
        return finished

    def handle_query(self, number: WriteNumber, epoch: int, idempotent: bool) -> QueryAnswer:
        """Answers whether a write is applied; issues a new send token if it is not."""
        writes = self._branch_writes(number)
        position = number.position
        if epoch < writes.epoch:
            return QueryAnswer(ReplayOutcome.FENCED, writes.epoch)
        if self._is_applied(writes, position):
            return QueryAnswer(ReplayOutcome.APPLIED)
        if position in writes.running:
            return QueryAnswer(ReplayOutcome.PENDING)
        if position in writes.unknown:
            if not idempotent:
                return QueryAnswer(ReplayOutcome.UNKNOWN)
            writes.unknown.discard(position)
        token = max(self._first_token, writes.send_tokens.get(position, 0)) + 1
        writes.send_tokens[position] = token
        return QueryAnswer(ReplayOutcome.NOT_APPLIED, token)

    def handle_write(
        self, number: WriteNumber, send_token: int, epoch: int, idempotent: bool
    ) -> ReplayOutcome:
        """Decides on a write that a branch gateway sent; with START it counts as running from now on."""
        writes = self._branch_writes(number)
        position = number.position
        refusal = self._refusal(writes, position, epoch, idempotent)
        if refusal is not None:
            return refusal
        if send_token != writes.send_tokens.get(position, 0):
            return ReplayOutcome.STALE_TOKEN
        if self.running >= MAX_RUNNING:
            return ReplayOutcome.RETRY
        if self._is_full(writes, position):
            self.refused_as_full[number.gateway] += 1
            return ReplayOutcome.RETRY
        writes.unknown.discard(position)
        writes.running.add(position)
        return ReplayOutcome.START

    def _is_full(self, writes: BranchWrites, position: Position) -> bool:
        """Returns whether too many writes are tracked to start this one.

        A write before the latest tracked one is always started: the branch may be unable to report those
        behind it as completed until this one is. These are at most as many as the branch's queue holds.
        """
        if len(writes.applied) + len(writes.unknown) < self._max_tracked:
            return False
        return position > max(writes.applied | writes.unknown)

    def tracked(self, gateway: int) -> int:
        """Returns the number of writes of a branch gateway that it has not yet reported completed."""
        writes = self._branches.get(gateway)
        return 0 if writes is None else len(writes.applied) + len(writes.unknown)

    def _refusal(
        self, writes: BranchWrites, position: Position, epoch: int, idempotent: bool
    ) -> ReplayOutcome | None:
        """Returns why a received write is not started whatever its send token; None if the token decides."""
        if epoch < writes.epoch:
            return ReplayOutcome.FENCED
        if self._is_applied(writes, position):
            return ReplayOutcome.APPLIED
        if position in writes.running:
            return ReplayOutcome.PENDING
        if position in writes.unknown and not idempotent:
            return ReplayOutcome.UNKNOWN
        return None

    def finish(self, number: WriteNumber, outcome: ReplayOutcome) -> None:
        """Records the end of a running write: APPLIED, UNKNOWN, or any other outcome if it has not run."""
        writes = self._branch_writes(number)
        position = number.position
        writes.running.discard(position)
        if outcome is ReplayOutcome.APPLIED:
            writes.applied.add(position)
            writes.exceptions -= {position}
            writes.send_tokens.pop(position, None)
        elif outcome is ReplayOutcome.UNKNOWN:
            writes.unknown.add(position)

    def release(self, number: WriteNumber) -> None:
        """Lets a write that may have run be sent again, as an operator decided."""
        self._branch_writes(number).unknown.discard(number.position)

    def epoch_of(self, gateway: int) -> int:
        """Returns the latest epoch under which the gateway's writes were replayed."""
        return self._branches[gateway].epoch

    @property
    def running(self) -> int:
        """The number of writes that run now."""
        return sum(len(writes.running) for writes in self._branches.values())

    def _is_applied(self, writes: BranchWrites, position: Position) -> bool:
        return position in writes.applied or writes.is_completed(position)

    def _branch_writes(self, number: WriteNumber) -> BranchWrites:
        return self._branches.setdefault(number.gateway, BranchWrites())
