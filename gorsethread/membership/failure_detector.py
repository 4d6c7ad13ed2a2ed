"""Parts of the SWIM failure detector with Lifeguard's extensions: probes, suspicions, local health. No I/O.

One member is probed per period, and each member once per shuffled round. A member that does not answer is
first suspected, and declared dead only after a timeout, which becomes shorter as more members report the
suspicion. A gateway whose own probes often fail waits longer before it suspects others.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from gorsethread.membership.gossip_messages import Address, MemberRecord, MemberState
from gorsethread.membership.member_table import MemberTable

HEALTH_SCORE_MAX = 8  # the worst local health
SUSPICION_TIMEOUT = 4.0  # periods times the logarithm of the fleet's size; the shortest timeout is half of it
LONGEST_SUSPICION = 3.0  # times the shortest timeout, while no other member reports the suspicion
CONFIRMATIONS = 3  # further reporters with which a suspicion has the shortest timeout
FINAL_PINGS = 3  # sent to a suspect before it is declared dead, as an answer may be lost


class ProbeTiming(NamedTuple):
    """The timing of probes, in seconds.

    Attributes:
        period: The time between probes.
        ack_timeout: The time after which other members are asked to ping a member that has not answered.
    """

    period: float = 1.0
    ack_timeout: float = 0.3


DEFAULT_TIMING = ProbeTiming()


@dataclass(slots=True)
class Probe:
    """The probe in progress: its target, the sequence number and time of its ping, and its results."""

    member: int
    sequence: int
    sent_at: float
    requested: bool = False  # whether other members were asked to ping the target
    answered: bool = False
    nacks: int = 0


class RelayedPing(NamedTuple):
    """A ping sent on behalf of another member.

    Attributes:
        requester: The address of the member that asked for it.
        sequence: The sequence number of its request.
        expires_at: When the ping counts as unanswered.
    """

    requester: Address
    sequence: int
    expires_at: float


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one incarnation and refutation: when it began and which members reported it."""

    incarnation: int
    refutation: int
    since: float
    reporters: set[int] = field(default_factory=set)
    last_pinged: float = -math.inf  # when the last of its final pings was sent
    final_pings: int = 0


class LocalHealth:
    """Lifeguard's local health score, where 0 is healthy; it lengthens the probe interval and timeout."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which this gateway slows its probes down."""
        return 1 + self.score

    def degrade(self, by: int = 1) -> None:
        """Worsens the score, on a sign that this gateway is slow or that its messages do not arrive."""
        self.score = min(HEALTH_SCORE_MAX, self.score + by)

    def improve(self) -> None:
        """Improves the score, because a probe was answered."""
        self.score = max(0, self.score - 1)


class ProbeOrder:
    """Owns the rest of the current round of probes; a new round is shuffled when it is empty."""

    def __init__(self, table: MemberTable, random: Callable[[], float]) -> None:
        self.table, self.random = table, random
        self._remaining: list[int] = []  # in reverse order

    def add(self, member: int) -> None:
        """Inserts a new member at a random position of the round."""
        self._remaining.insert(int(self.random() * (len(self._remaining) + 1)), member)

    def next_member(self) -> int | None:
        """Returns the member to probe next, or None if no other member is alive."""
        member = self._next_of_round()
        if member is None:
            self._begin_round()
            member = self._next_of_round()
        return member

    def _next_of_round(self) -> int | None:
        while self._remaining:
            member = self._remaining.pop()
            if member != self.table.own.member and not self.table.records[member].ended:
                return member
        return None

    def _begin_round(self) -> None:
        members = [record.member for record in self.table.alive_peers]
        while members:
            self._remaining.append(members.pop(int(self.random() * len(members))))


class SuspicionTimers:
    """Owns the running suspicions, at most one per member; a member's change of state removes its own."""

    def __init__(self, table: MemberTable, timing: ProbeTiming) -> None:
        self.table, self.timing = table, timing
        self.running: dict[int, Suspicion] = {}

    def track(self, record: MemberRecord, now: float) -> None:
        """Starts or ends the suspicion of a member when its record is accepted."""
        if record.state != MemberState.SUSPECT:
            self.running.pop(record.member, None)
            return
        running = self.running.get(record.member)
        subject = (record.incarnation, record.refutation)
        if running is None or (running.incarnation, running.refutation) != subject:
            self.running[record.member] = Suspicion(*subject, now, {record.reported_by})

    def confirm(self, record: MemberRecord) -> bool:
        """Adds a further reporter to a running suspicion; returns whether the record was such a report."""
        running = self.running.get(record.member)
        if running is None or record.state != MemberState.SUSPECT:
            return False
        if (running.incarnation, running.refutation) != (record.incarnation, record.refutation):
            return False
        if record.reported_by in running.reporters or len(running.reporters) > CONFIRMATIONS:
            return False
        running.reporters.add(record.reported_by)
        return True

    def timeout(self, suspicion: Suspicion) -> float:
        """Returns the seconds that a suspicion lasts, which depend on the number of its reporters."""
        shortest = SUSPICION_TIMEOUT * self.timing.period * self.table.log_size / 2.0
        confirmed = 0.0
        if suspicion.reporters:
            confirmed = math.log(len(suspicion.reporters)) / math.log(1 + CONFIRMATIONS)
        return shortest * (LONGEST_SUSPICION - (LONGEST_SUSPICION - 1.0) * min(1.0, confirmed))

    def is_due(self, suspicion: Suspicion, now: float) -> bool:
        """Returns whether the suspicion and the last ping to the suspect have both timed out."""
        timeout_at = suspicion.since + self.timeout(suspicion)
        return now >= max(timeout_at, suspicion.last_pinged + self.timing.ack_timeout)

    def postpone(self, seconds: float) -> None:
        """Extends all suspicions by the time for which this gateway was stalled.

        Messages that arrived in that time have not been read yet.
        """
        for suspicion in self.running.values():
            suspicion.since += seconds
