"""What a gateway of the main site knows of branches' writes: applied, running, or unknown.

Each write is applied once. It is accepted only with the send token that the last query gave, so what was sent
before a query and comes late is refused. A gateway that restarts finds in its records what it had begun; only
the backend knows whether that ran, so what may not run twice is answered as unknown, for a person. Whoever
replays for a branch does so under an epoch; an earlier epoch is fenced.
"""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from gorsethread.offline_writes.writes import Position, WriteNumber

MAX_RUNNING = 32  # writes of all branches at once, at one gateway of the main site
MAX_REMEMBERED = 4096  # writes of one branch's gateway, applied or unknown beyond what it reported completed
TOKEN_BITS = 12  # send tokens of one incarnation


class ReplayOutcome(IntEnum):
    """The answer to a query or to a write that is replayed; the values are on the wire."""

    APPLIED = 0
    NOT_APPLIED = 1  # to a query: the send token that is named is accepted
    UNKNOWN = 2  # it may have run
    RETRY = 3  # it has not run; send it again
    STALE_TOKEN = 4  # it was queried since: query it again
    CONFLICT = 5  # its blocks changed since the branch saw them; it has not run
    FENCED = 6  # a later epoch replays for this branch
    START = 7  # not sent: begin it
    PENDING = 8  # not sent: it is running, its end is the answer


class QueryAnswer(NamedTuple):
    """The answer to a query.

    Attributes:
        outcome: PENDING where the answer is given with the end.
        detail: With NOT_APPLIED the send token that is accepted from now on; with FENCED the later epoch.
    """

    outcome: ReplayOutcome
    detail: int = 0


@dataclass
class BranchWrites:
    """What is known of the writes of one branch's gateway.

    Attributes:
        epoch: The latest under which they were replayed.
        completed_up_to: All up to there is finished, but the exceptions.
        exceptions: Writes that are or were dead-lettered at the branch.
        applied: Beyond what is completed; emptied as that grows.
        unknown: Begun in an earlier incarnation; emptied as that grows, and as a person decides.
        running: Emptied as each ends.
        send_tokens: Of writes that were queried the one that is accepted; emptied as each ends.
    """

    epoch: int = 0
    completed_up_to: Position = (0, 0)
    exceptions: frozenset[Position] = frozenset()
    applied: set[Position] = field(default_factory=set)
    unknown: set[Position] = field(default_factory=set)
    running: set[Position] = field(default_factory=set)
    send_tokens: dict[Position, int] = field(default_factory=dict)

    def is_completed(self, position: Position) -> bool:
        """The branch reported it finished."""
        return position <= self.completed_up_to and position not in self.exceptions


class AppliedWrites:
    """Owns a BranchWrites for each branch's gateway; see there what empties it."""

    def __init__(self, incarnation: int) -> None:
        self._first_token = incarnation << TOKEN_BITS  # tokens of a later incarnation are other ones
        self._branches: dict[int, BranchWrites] = {}  # as many as gateways of branches

    def restore(self, number: WriteNumber, ran: bool) -> None:
        """A record of this gateway, or one that others held for it, names that write."""
        known = self._branch_writes(number)
        position = number.position
        if position in known.running:
            return
        if ran:
            known.applied.add(position)
            known.unknown.discard(position)
        elif position not in known.applied:
            known.unknown.add(position)

    def handle_progress(
        self, gateway: int, epoch: int, completed_up_to: Position, exceptions: frozenset[Position]
    ) -> list[Position] | None:
        """A branch's gateway reported what is finished.

        Returns:
            What need not be known any more; None where a later epoch is known and this one is fenced.
        """
        known = self._branches.setdefault(gateway, BranchWrites())
        if epoch < known.epoch:
            return None
        known.epoch = epoch
        known.completed_up_to = max(completed_up_to, known.completed_up_to)
        # Never fewer: a branch whose disk was lost may not know any more what it had dead-lettered.
        known.exceptions = known.exceptions | exceptions

        def is_finished(position: Position) -> bool:
            return position <= known.completed_up_to and position not in exceptions

        finished = [position for position in known.applied | known.unknown if is_finished(position)]
        known.applied.difference_update(finished)
        known.unknown.difference_update(finished)
        for position in [position for position in known.send_tokens if is_finished(position)]:
            del known.send_tokens[position]
        return finished

    def handle_query(self, number: WriteNumber, epoch: int, idempotent: bool) -> QueryAnswer:
        """A branch's gateway asks whether that write is applied."""
        known = self._branch_writes(number)
        position = number.position
        if epoch < known.epoch:
            return QueryAnswer(ReplayOutcome.FENCED, known.epoch)
        if self._is_applied(known, position):
            return QueryAnswer(ReplayOutcome.APPLIED)
        if position in known.running:
            return QueryAnswer(ReplayOutcome.PENDING)
        if position in known.unknown:
            if not idempotent:
                return QueryAnswer(ReplayOutcome.UNKNOWN)
            known.unknown.discard(position)
        token = max(self._first_token, known.send_tokens.get(position, 0)) + 1
        known.send_tokens[position] = token
        return QueryAnswer(ReplayOutcome.NOT_APPLIED, token)

    def handle_write(
        self, number: WriteNumber, send_token: int, epoch: int, idempotent: bool
    ) -> ReplayOutcome:
        """That write came; with START it counts as running."""
        known = self._branch_writes(number)
        position = number.position
        refused = self._refusal(known, position, epoch, idempotent)
        if refused is not None:
            return refused
        if send_token != known.send_tokens.get(position, 0):
            return ReplayOutcome.STALE_TOKEN
        remembered = len(known.applied) + len(known.unknown)
        if self.running >= MAX_RUNNING or remembered >= MAX_REMEMBERED:
            return ReplayOutcome.RETRY
        known.unknown.discard(position)
        known.running.add(position)
        return ReplayOutcome.START

    def _refusal(
        self, known: BranchWrites, position: Position, epoch: int, idempotent: bool
    ) -> ReplayOutcome | None:
        """Why a write that came is not begun, whatever its send token."""
        if epoch < known.epoch:
            return ReplayOutcome.FENCED
        if self._is_applied(known, position):
            return ReplayOutcome.APPLIED
        if position in known.running:
            return ReplayOutcome.PENDING
        if position in known.unknown and not idempotent:
            return ReplayOutcome.UNKNOWN
        return None

    def finish(self, number: WriteNumber, outcome: ReplayOutcome) -> None:
        """A running write ended: APPLIED, UNKNOWN, or any other where it has not run."""
        known = self._branch_writes(number)
        position = number.position
        known.running.discard(position)
        if outcome is ReplayOutcome.APPLIED:
            known.applied.add(position)
            known.exceptions -= {position}
            known.send_tokens.pop(position, None)
        elif outcome is ReplayOutcome.UNKNOWN:
            known.unknown.add(position)

    def release(self, number: WriteNumber) -> None:
        """A person says that a write which may have run is to be sent again."""
        self._branch_writes(number).unknown.discard(number.position)

    def epoch_of(self, gateway: int) -> int:
        """The latest epoch under which that gateway's writes were replayed."""
        return self._branches[gateway].epoch

    @property
    def running(self) -> int:
        """Writes that run now."""
        return sum(len(known.running) for known in self._branches.values())

    def _is_applied(self, known: BranchWrites, position: Position) -> bool:
        return position in known.applied or known.is_completed(position)

    def _branch_writes(self, number: WriteNumber) -> BranchWrites:
        return self._branches.setdefault(number.gateway, BranchWrites())
