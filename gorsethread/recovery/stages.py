"""The stages of a restarting gateway, and what it may do in each. Pure: no clock, no randomness, no I/O.

`POLLING`     it has read its own records and asks the other gateways which records of its log they hold.
`RESTRICTED`  it serves the extents that it knows. It neither reports others as never written nor places them.
`COMPLETE`    no record that it had is missing.

Every record is held by `required_replicas` of the other gateways, so all but `required_replicas - 1` of them
are enough: once that many have answered and their later records are fetched, no acknowledged record is
missing and the stage is COMPLETE. Until then it stays RESTRICTED, however long that takes, unless an operator
accepts the loss. Complete records of its own make no difference: a restored backup of the folder is complete
too, and only the other gateways can tell that it lacks later records. An empty folder means a first start or
a lost disk, which only they can tell apart.
"""

from enum import Enum
from typing import NamedTuple

from gorsethread.durable_log.records import NO_SEQUENCE, SequenceNumber

POLLING_TIMEOUT = 1.0  # seconds for which a gateway only polls, before it serves the extents that it knows
ACCEPTED_LOSS_WAIT = 2.0  # seconds from the start in which others may answer although a loss is accepted
RETRY_AFTER = 0.3  # seconds after which a client may retry a request for an extent that is not known yet


class Stage(Enum):
    """The stage of a recovery; the module's docstring describes each."""

    POLLING = "asking"
    RESTRICTED = "care"
    COMPLETE = "full"


class CompletionReason(Enum):
    """Why a recovery is COMPLETE."""

    CERTAIN = "certain"  # enough others answered, and their later records are fetched
    LOSS_ACCEPTED = "accepted"  # an operator accepted the loss of what nobody is known to hold
    NO_REPLICAS = "no replicas"  # no other gateway can have this gateway's records


class OwnRecords(NamedTuple):
    """What was found in a gateway's own folder.

    Attributes:
        last: The highest number of a record in it.
        complete: No record that it had is known to be lost.
        empty: It has no records.
        loss_accepted: An operator accepted the loss of the missing records.
    """

    last: SequenceNumber
    complete: bool
    empty: bool
    loss_accepted: bool


class RecoveryStages:
    """The recovery of a gateway after one start.

    Its tables have at most one entry for each other gateway, and live as long as the recovery.

    Attributes:
        own_last: The number up to which the gateway's own records are complete.
        started: When the recovery started, in seconds.
        other_gateways: The numbers of all other gateways.
        required_replicas: How many other gateways hold every acknowledged record.
        trusts_own_records: No record that the gateway's own folder had is known to be lost, or an operator
            accepted the loss.
        loss_accepted: An operator accepted the loss of the missing records.
        has_no_replicas: No other gateway can have this gateway's records.
        completion_reason: Why the stage is COMPLETE; None before.
        stage: The current stage; the module's docstring describes each.
        stage_since: When the stage was entered, in seconds.
        answers: For each gateway that answered, the number up to which it held this gateway's records.
        fetched: The other gateways whose later records have all been fetched.
        incarnation: The latest known incarnation of this gateway.
    """

    def __init__(
        self, now: float, own: OwnRecords, other_gateways: frozenset[int], required_replicas: int
    ) -> None:
        # Incomplete records may lack any number, so everything that others hold is fetched.
        self.own_last = own.last if own.complete else NO_SEQUENCE
        self.started = now
        self.other_gateways = other_gateways
        self.required_replicas = required_replicas
        self.loss_accepted = own.loss_accepted
        self.trusts_own_records = own.loss_accepted or (own.complete and not own.empty)
        # Without replicas an empty folder is a first start; an operator has to accept incomplete records.
        self.has_no_replicas = required_replicas == 0 or not other_gateways
        if self.has_no_replicas and own.empty:
            self.trusts_own_records = True
        self.stage = Stage.POLLING
        self.stage_since = now
        self.completion_reason: CompletionReason | None = None
        self.answers: dict[int, SequenceNumber] = {}
        self.fetched: set[int] = set()
        self.incarnation = own.last[0]
        self.advance(now)

    @property
    def answers_needed(self) -> int:
        """The number of answers after which no record can be missing."""
        return max(0, len(self.other_gateways) - self.required_replicas + 1)

    @property
    def is_certain(self) -> bool:
        """Whether enough others have answered, and their later records have been fetched."""
        fully_fetched = [gateway for gateway in self.answers if not self._holds_more(gateway)]
        return not self.has_no_replicas and len(fully_fetched) >= self.answers_needed

    def _holds_more(self, gateway: int) -> bool:
        return self.answers[gateway] > self.own_last and gateway not in self.fetched

    def awaited(self) -> list[int]:
        """Return the gateways whose answer or later records have not arrived yet."""
        return sorted(
            gateway
            for gateway in self.other_gateways
            if gateway not in self.answers or self._holds_more(gateway)
        )

    def open_fetches(self) -> list[int]:
        """Return the gateways that hold later records which have not all been fetched yet."""
        return sorted(gateway for gateway in self.answers if self._holds_more(gateway))

    def on_answer(self, gateway: int, last: SequenceNumber, incarnation: int, now: float) -> bool:
        """Note the answer of another gateway.

        Args:
            gateway: The gateway that answered.
            last: The number up to which it holds this gateway's records.
            incarnation: The latest incarnation of this gateway that it knows.
            now: The current time in seconds.

        Returns:
            Whether it holds records later than this gateway's own, which are to be fetched.
        """
        if gateway not in self.other_gateways:
            return False
        self.answers[gateway] = last
        self.incarnation = max(self.incarnation, incarnation, last[0])
        self.advance(now)
        return self._holds_more(gateway)

    def on_fetched(self, gateway: int, now: float) -> None:
        """Note that all later records of another gateway have been fetched."""
        self.fetched.add(gateway)
        self.advance(now)

    def accept_loss(self, now: float) -> None:
        """Note that an operator accepted the loss of the missing records.

        Records that another gateway is known to hold are not lost: they are fetched before the recovery ends.
        """
        self.loss_accepted = True
        self.trusts_own_records = True
        self.advance(now)

    def next_incarnation(self, wall_ms: float) -> int:
        """Return an incarnation later than any known one.

        The wall-clock time (milliseconds) makes it also later than one that no gateway remembers, as long as
        clocks are not set back.
        """
        return max(self.incarnation + 1, int(wall_ms))

    def retry_after(self) -> float:
        """Return 0.0 where unknown extents may be placed, else the seconds until a retry."""
        return 0.0 if self.stage is Stage.COMPLETE else RETRY_AFTER

    @property
    def records_lost(self) -> bool:
        """Whether own records are incomplete, too few others answer and no operator accepted the loss."""
        return self.stage is Stage.RESTRICTED and not self.trusts_own_records

    @property
    def needs_operator(self) -> bool:
        """Whether it ends only by further answers, or by an operator who accepts the loss."""
        return self.stage is Stage.RESTRICTED and not self.loss_accepted

    def advance(self, now: float) -> None:
        """Enter the next stage if it is due at this time (seconds)."""
        if self.stage is Stage.COMPLETE:
            return
        self.completion_reason = self._completion_reason(now)
        if self.completion_reason is not None:
            self._enter(Stage.COMPLETE, now)
        elif self.stage is Stage.POLLING and now >= self.started + POLLING_TIMEOUT:
            self._enter(Stage.RESTRICTED, now)

    def _completion_reason(self, now: float) -> CompletionReason | None:
        if self.is_certain:
            return CompletionReason.CERTAIN
        if self.has_no_replicas and self.trusts_own_records:
            return CompletionReason.NO_REPLICAS
        others_had_time = self.has_no_replicas or now >= self.started + ACCEPTED_LOSS_WAIT
        if self.loss_accepted and others_had_time and not self.open_fetches():
            return CompletionReason.LOSS_ACCEPTED
        return None

    def _enter(self, stage: Stage, now: float) -> None:
        self.stage = stage
        self.stage_since = now

    def next_timer(self, now: float) -> float | None:
        """Return when time alone may change the stage next, in seconds; None where it can't."""
        if self.stage is Stage.COMPLETE:
            return None
        times = [self.started + POLLING_TIMEOUT]
        if self.loss_accepted:
            times.append(self.started + ACCEPTED_LOSS_WAIT)
        return min((time for time in times if time > now), default=None)
