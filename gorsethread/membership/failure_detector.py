"""Parts of the SWIM failure detector, with Lifeguard's refinements: probes, suspicions, local health. Pure.

One member is probed a period, each once in a shuffled round. One that does not answer is suspected first and
declared dead only after a time-out, which shortens as more members report the same. A gateway whose own
probes fare badly takes longer to accuse others.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from gorsethread.membership.gossip_messages import Address, MemberRecord, MemberState
from gorsethread.membership.member_table import MemberTable

HEALTH_SCORE_MAX = 8  # from here on the local health is as bad as it gets
SUSPICION_TIMEOUT = 4.0  # periods times the logarithm of the fleet; half of it is the shortest
LONGEST_SUSPICION = 3.0  # times the shortest, while nobody else reports the same
CONFIRMATIONS = 3  # further reporters that shorten a suspicion to its shortest
FINAL_PINGS = 3  # of a suspect before it is declared dead; one answer may be lost


class ProbeTiming(NamedTuple):
    """Seconds between probes, and until a member that is silent is probed through others."""

    period: float = 1.0
    ack_timeout: float = 0.3


DEFAULT_TIMING = ProbeTiming()


@dataclass(slots=True)
class Probe:
    """The one probe that is out: whom it went to, its ping's sequence, when, and what came of it."""

    member: int
    sequence: int
    sent_at: float
    requested: bool = False  # whether others were asked to ping it
    answered: bool = False
    nacks: int = 0


class RelayedPing(NamedTuple):
    """A ping sent for another member: who asked, by which sequence, and when it counts as unanswered."""

    requester: Address
    sequence: int
    expires_at: float


@dataclass(slots=True)
class Suspicion:
    """Of one incarnation and refutation: since when, and the members that reported it."""

    incarnation: int
    refutation: int
    since: float
    reporters: set[int] = field(default_factory=set)
    last_pinged: float = -math.inf  # when it was last given a final chance to answer
    final_pings: int = 0


class LocalHealth:
    """Lifeguard's local health score: 0 is well; it multiplies the probe's interval and time-out."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """By how much this gateway slows its probes down."""
        return 1 + self.score

    def degrade(self, by: int = 1) -> None:
        """Something hints that this gateway itself is slow or not heard."""
        self.score = min(HEALTH_SCORE_MAX, self.score + by)

    def improve(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)


class ProbeOrder:
    """Owns the rest of the present round of probes; a round is drawn anew when it is empty."""

    def __init__(self, table: MemberTable, random: Callable[[], float]) -> None:
        self.table, self.random = table, random
        self._remaining: list[int] = []  # the next one last

    def add(self, member: int) -> None:
        """Puts a new member at a random place of the round."""
        self._remaining.insert(int(self.random() * (len(self._remaining) + 1)), member)

    def next_member(self) -> int | None:
        """Whom to probe next; None where nobody else is alive."""
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
    """Owns the running suspicions, at most one a member; one goes when its member's record changes state."""

    def __init__(self, table: MemberTable, timing: ProbeTiming) -> None:
        self.table, self.timing = table, timing
        self.running: dict[int, Suspicion] = {}

    def track(self, record: MemberRecord, now: float) -> None:
        """Starts or ends the suspicion of a member whose record is believed from now on."""
        if record.state != MemberState.SUSPECT:
            self.running.pop(record.member, None)
            return
        running = self.running.get(record.member)
        subject = (record.incarnation, record.refutation)
        if running is None or (running.incarnation, running.refutation) != subject:
            self.running[record.member] = Suspicion(*subject, now, {record.reported_by})

    def confirm(self, record: MemberRecord) -> bool:
        """Whether a record is a further report of a running suspicion, which it shortens then."""
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
        """Seconds that a suspicion lasts, by the number of its reporters."""
        shortest = SUSPICION_TIMEOUT * self.timing.period * self.table.log_size / 2.0
        confirmed = 0.0
        if suspicion.reporters:
            confirmed = math.log(len(suspicion.reporters)) / math.log(1 + CONFIRMATIONS)
        return shortest * (LONGEST_SUSPICION - (LONGEST_SUSPICION - 1.0) * min(1.0, confirmed))

    def is_due(self, suspicion: Suspicion, now: float) -> bool:
        """Whether its time is over, and that of the last ping to the suspect."""
        timeout_at = suspicion.since + self.timeout(suspicion)
        return now >= max(timeout_at, suspicion.last_pinged + self.timing.ack_timeout)

    def postpone(self, seconds: float) -> None:
        """This gateway stood still for so long: what others said in that time is yet to be read."""
        for suspicion in self.running.values():
            suspicion.since += seconds
