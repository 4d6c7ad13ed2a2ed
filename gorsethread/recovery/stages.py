"""The stages of a restarting gateway, and what it may do in each. Pure: no clock, no randomness, no I/O.

`POLLING`     it has read its own records and asks the other gateways which records of its log they hold.
`RESTRICTED`  it serves the extents that it knows. It neither reports others as never written nor places them.
`COMPLETE`    no record that it had is missing.

Every record is held by `required_replicas` of the other gateways, so all but `required_replicas - 1` of them
are enough: once that many have answered, one of them must hold whatever was acknowledged, and the stage is
COMPLETE. Where that many do not answer, the gateway continues without them and never waits for an answer that
cannot come: it believes complete records of its own after TRUST_AFTER seconds. With incomplete records, or
none at all, it stays RESTRICTED until enough others answer or a person accepts the loss. An empty folder
means a first start or a lost disk, which only the other gateways can tell apart.
"""

from enum import Enum
from typing import NamedTuple

from gorsethread.durable_log.records import NO_SEQUENCE, SequenceNumber

POLLING_TIMEOUT = 1.0  # seconds that a gateway polls before it serves what it knows
TRUST_AFTER = 2.0  # seconds until complete records of its own are believed, though too few have answered
RETRY_AFTER = 0.3  # seconds after which a client may ask again for what is not known yet


class Stage(Enum):
    """How far the recovery is; see the module's description."""

    POLLING = "asking"
    RESTRICTED = "care"
    COMPLETE = "full"


class OwnRecords(NamedTuple):
    """What reading a gateway's own folder found.

    Attributes:
        last: The last number in it.
        complete: Nothing that it held is known to be lost.
        empty: There was nothing in it.
        loss_accepted: A person accepted that what is lost is lost.
    """

    last: SequenceNumber
    complete: bool
    empty: bool
    loss_accepted: bool


class RecoveryStages:
    """One recovery of a gateway, from its start on.

    Its tables have an entry for each other gateway at most, and last as long as the recovery.

    Attributes:
        own_last: Up to this number its own records are good.
        started: When it began, in seconds.
        other_gateways: The numbers of all other gateways.
        required_replicas: How many others hold every record.
        trusts_own_records: Its own records may be believed without the others.
        has_no_replicas: Nobody else can know its records.
        stage: See the module's description.
        stage_since: When the stage was entered, in seconds.
        answers: Up to where each of the others held its records when it answered.
        fetched: Of the others, those from which all later records have come.
        incarnation: The latest of this gateway that anyone knows.
    """

    def __init__(
        self, now: float, own: OwnRecords, other_gateways: frozenset[int], required_replicas: int
    ) -> None:
        # Of incomplete records nobody can tell up to where they are good: all that others hold is wanted.
        self.own_last = own.last if own.complete else NO_SEQUENCE
        self.started = now
        self.other_gateways = other_gateways
        self.required_replicas = required_replicas
        self.trusts_own_records = own.loss_accepted or (own.complete and not own.empty)
        # Without replicas an empty folder is a first start, and incomplete records are for a person.
        self.has_no_replicas = required_replicas == 0 or not other_gateways
        if self.has_no_replicas and own.empty:
            self.trusts_own_records = True
        self.stage = Stage.POLLING
        self.stage_since = now
        self.answers: dict[int, SequenceNumber] = {}
        self.fetched: set[int] = set()
        self.incarnation = own.last[0]
        self.advance(now)

    @property
    def answers_needed(self) -> int:
        """The number of answers after which nothing can be missing."""
        return max(0, len(self.other_gateways) - self.required_replicas + 1)

    @property
    def is_certain(self) -> bool:
        """Enough others have answered, and what they hold beyond its own records has come."""
        done = [other for other in self.answers if not self._holds_more(other)]
        return not self.has_no_replicas and len(done) >= self.answers_needed

    def _holds_more(self, other: int) -> bool:
        return self.answers[other] > self.own_last and other not in self.fetched

    def awaited(self) -> list[int]:
        """Return the others whose answer, or what they hold beyond its own records, is still to come."""
        return sorted(
            other for other in self.other_gateways if other not in self.answers or self._holds_more(other)
        )

    def on_answer(self, other: int, last: SequenceNumber, incarnation: int, now: float) -> bool:
        """Note the answer of another gateway.

        Args:
            other: Who answered.
            last: Up to this number it holds this gateway's records.
            incarnation: The latest of this gateway that it knows.
            now: Seconds.

        Returns:
            Whether what it holds beyond the own records is to be fetched.
        """
        if other not in self.other_gateways:
            return False
        self.answers[other] = last
        self.incarnation = max(self.incarnation, incarnation, last[0])
        self.advance(now)
        return self._holds_more(other)

    def on_fetched(self, other: int, now: float) -> None:
        """Note that all that another gateway holds beyond the own records has come."""
        self.fetched.add(other)
        self.advance(now)

    def accept_loss(self, now: float) -> None:
        """Note that a person accepted that what is lost is lost."""
        self.trusts_own_records = True
        self.advance(now)

    def next_incarnation(self, wall_ms: float) -> int:
        """Return an incarnation later than any that is known.

        The wall clock (milliseconds) makes it also later than one that nobody remembers, as long as clocks
        are not set back.
        """
        return max(self.incarnation + 1, int(wall_ms))

    def retry_after(self) -> float:
        """Return 0.0 where unknown extents may be placed, else the seconds after which to ask again."""
        return 0.0 if self.stage is Stage.COMPLETE else RETRY_AFTER

    @property
    def records_lost(self) -> bool:
        """It can't become COMPLETE by itself: its own records are not enough, and too few others answer."""
        return self.stage is Stage.RESTRICTED and not self.trusts_own_records

    def advance(self, now: float) -> None:
        """Enter the next stage where that is due."""
        before = self.stage
        may_trust = self.trusts_own_records and (self.has_no_replicas or now >= self.started + TRUST_AFTER)
        if self.is_certain or may_trust:
            self.stage = Stage.COMPLETE
        elif self.stage is Stage.POLLING and now >= self.started + POLLING_TIMEOUT:
            self.stage = Stage.RESTRICTED
        if self.stage is not before:
            self.stage_since = now

    def next_timer(self, now: float) -> float | None:
        """Return when advance() is next of use, in seconds; None: never again by time alone."""
        if self.stage is Stage.COMPLETE:
            return None
        times = [self.started + POLLING_TIMEOUT]
        if self.trusts_own_records:
            times.append(self.started + TRUST_AFTER)
        return min((time for time in times if time > now), default=None)
