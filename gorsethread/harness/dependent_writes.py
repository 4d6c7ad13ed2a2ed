"""A trial of a branch that brings a dependent pair of queued writes in every play.

The link stays cut until a client has two accepted writes at different backends, of which it sent the second
after the first was answered. When the link is healed, the backend of the first write works on no command
until the second has run or HOLD_LIMIT_SECONDS have passed. So a replay that ignores dependencies runs them in
the wrong order, however fast or slow the machine is; one that respects them runs the second after the hold.
"""

from dataclasses import dataclass
from typing import Any

from gorsethread.fakes.record import Fault
from gorsethread.harness.branches import BranchTrial
from gorsethread.invariants.history_checker import Verdict
from gorsethread.simulation.branch_checks import BranchClient
from gorsethread.simulation.script import Act
from gorsethread.site_config import site_pb2 as pb

PAIR_LIMIT_SECONDS = 25.0  # after the script's end of a cut, until the link is healed without a pair
CHECK_INTERVAL_SECONDS = 0.05
HOLD_SECONDS = 0.2  # of one stall of the backend; renewed at each check
HOLD_LIMIT_SECONDS = 1.5  # less than the time within which a write that must not run twice is answered
REPLAY_LIMIT_SECONDS = 10.0  # from the healed link until the replay must have begun for the hold to go on
NO_PAIR = "no dependent pair of writes was queued, so this trial proves nothing"


@dataclass(frozen=True)
class AcceptedWrite:
    """A write that a gateway of the branch accepted; times are in seconds of this machine's clock."""

    label: int
    shard: int
    sent_at: float
    answered_at: float


@dataclass(frozen=True)
class DependentPair:
    """Two accepted writes of one client at different shards; the second was sent after the first's answer."""

    first: AcceptedWrite
    second: AcceptedWrite


def find_pair(writes: list[AcceptedWrite]) -> DependentPair | None:
    """Returns the first pair among the accepted writes of one client, in the order of their answers."""
    for position, second in enumerate(writes):
        for first in writes[:position]:
            if first.answered_at < second.sent_at and first.shard != second.shard:
                return DependentPair(first, second)
    return None


class PairWatchingClient(BranchClient):
    """Remembers its accepted writes of volumes with fixed shards; as many as it sends in a trial."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.accepted_writes: list[AcceptedWrite] = []

    def write_accepted(self, attempt: Any) -> None:
        super().write_accepted(attempt)
        request = attempt.request
        if request.volume.placement != pb.FIXED:
            return
        extent = request.first_block // request.volume.extent_blocks
        shard = request.volume.shard[extent % len(request.volume.shard)]
        self.accepted_writes.append(
            AcceptedWrite(request.label, shard, attempt.started_at, self.transport.now())
        )


class DependentWritesTrial(BranchTrial):
    """Heals the branch's link once a dependent pair is queued, and delays the first write of the pair."""

    client_class = PairWatchingClient

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.pair: DependentPair | None = None
        self.fault_player.may_heal = self._may_heal

    def _may_heal(self, act: Act) -> bool:
        if act.kind != "link" or self.pair is not None:
            return True
        self.pair = next((pair for writes in self._accepted_writes() if (pair := find_pair(writes))), None)
        if self.pair is not None:
            now = self.transport.now()
            self._hold_first(self.pair, now + HOLD_LIMIT_SECONDS, now + REPLAY_LIMIT_SECONDS)
            return True
        return self.transport.now() >= self.zero + act.at + act.seconds + PAIR_LIMIT_SECONDS

    def _accepted_writes(self) -> list[list[AcceptedWrite]]:
        """Returns the accepted writes of each client."""
        return [c.accepted_writes for c in self.clients if isinstance(c, PairWatchingClient)]

    def _hold_first(self, pair: DependentPair, until: float, replay_begins_by: float) -> None:
        """Stalls the backend of the first write until a time, which moves on until the replay has begun."""
        now = self.transport.now()
        if now >= until or self._has_run(pair.second):
            return
        if now < replay_begins_by and not self._replay_has_begun():
            until = now + HOLD_LIMIT_SECONDS
        for shelf in self.site.shelf:
            if shelf.shard == pair.first.shard:
                self.backends[shelf.number].backend._fault(Fault(now, "still", HOLD_SECONDS, 0.0))
        self.transport.call_at(
            now + CHECK_INTERVAL_SECONDS, lambda: self._hold_first(pair, until, replay_begins_by)
        )

    def _has_run(self, write: AcceptedWrite) -> bool:
        return any(r["e"] == "ran" and r["label"] == write.label for r in self.records)

    def _replay_has_begun(self) -> bool:
        accepted = {write.label for writes in self._accepted_writes() for write in writes}
        return any(r["e"] == "arrived" and r["label"] in accepted for r in self.records)

    def judge(self, verdict: Verdict) -> None:
        """Checks also that there was a pair."""
        super().judge(verdict)
        if self.pair is None:
            self.result.reasons.append(NO_PAIR)
