"""A gateway's view of its fleet: which members are alive, in which incarnation and zone. No I/O.

Implements SWIM as published by Das, Gupta and Motivala, with local health and suspicion timeouts from
Lifeguard (Dadgar, Phillips, Currey). A record has an ``incarnation``, which identifies one start of a
gateway's process, and a ``refutation``, which is the number that the SWIM paper calls incarnation (see
gossip_messages.py). Members that ended are pinged occasionally, so that a partition heals without an
operator.
"""

from collections import deque
from collections.abc import Callable

from gorsethread.membership.dissemination import Dissemination
from gorsethread.membership.failure_detector import (
    DEFAULT_TIMING,
    FINAL_PINGS,
    LocalHealth,
    Probe,
    ProbeOrder,
    ProbeTiming,
    RelayedPing,
    SuspicionTimers,
)
from gorsethread.membership.gossip_messages import (
    NO_TARGET,
    Address,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
)
from gorsethread.membership.member_state import supersedes
from gorsethread.membership.member_table import Change, MemberTable
from gorsethread.membership.table_exchange import GOSSIP_FACTOR, TableExchange

HELPERS = 3  # members that are asked to ping a member that did not answer
RELAYED_PINGS_MAX = 64
APART_AFTER = 4.0  # periods without any message after which this gateway regards itself as cut off
STALLED_AFTER = 3.0  # periods between two ticks above which this gateway was stalled
STALL_HEALTH_LOSS = 2  # by which a stall worsens the local health score
ENDED_PING_PERIODS = 3.0  # periods between two pings to members that ended or are not known yet
MESSAGES_PER_SECOND = 30.0  # accepted: what peers normally send, with some reserve
MEMBERS_MAX = 1024
JOIN_GOSSIP_TO_PEERS = 0.5  # fraction of a joining gateway's extra gossip; the rest goes to contacts


class MembershipView:
    """Owns the member table, and the probes, suspicions and gossip that maintain it.

    The caller drives it by tick() and received(), and empties ``outbox`` after each call. There are at most
    ``members_max`` records, one probe in progress, RELAYED_PINGS_MAX pings on behalf of other members, and
    MESSAGES_PER_SECOND accepted messages.

    Attributes:
        outbox: Messages to send, each with its address.
        duplicates: The number of signs of another process that uses this gateway's number.
        refused: The number of messages over the limit and of records for which the table is full.
        leaving: Whether leave() was called.
    """

    def __init__(
        self,
        own: MemberRecord,
        contacts: tuple[Address, ...],
        now: float,
        random: Callable[[], float],
        timing: ProbeTiming = DEFAULT_TIMING,
        members_max: int = MEMBERS_MAX,
    ) -> None:
        """Starts with this gateway as the only member.

        Args:
            own: This gateway's record, alive and with refutation 0.
            contacts: Addresses at which other members may be found.
            now: Seconds of a monotonic clock.
            random: Returns a random number of at least 0 and below 1.
            timing: The timing of probes.
            members_max: The maximum number of members of the fleet.
        """
        self.contacts, self.random, self.timing, self.members_max = contacts, random, timing, members_max
        self.table = MemberTable(own, now)
        self.dissemination = Dissemination(self.table)
        self.exchange = TableExchange()
        self.suspicions = SuspicionTimers(self.table, timing)
        self.probe_order = ProbeOrder(self.table, random)
        self.health = LocalHealth()
        self.outbox: list[tuple[Address, GossipMessage]] = []
        self.duplicates = 0
        self.refused = 0
        self.leaving = False
        self.relayed_pings: dict[int, RelayedPing] = {}  # by sequence; removed when answered or expired
        self._probe: Probe | None = None
        self._sequence = 0
        self._next_page = 0  # the member that the next ping's page begins with
        self._now = now
        self._ticked_at = now
        self._last_received_at = now
        self._probe_at = now
        self._gossip_at = now
        self._ended_ping_at = now + ENDED_PING_PERIODS * timing.period
        # Random, because otherwise all starting gateways would ping the same contact first.
        self._contact_index = int(random() * max(1, len(contacts)))
        self._receive_allowance = MESSAGES_PER_SECOND

    @property
    def own(self) -> MemberRecord:
        """This gateway's own record."""
        return self.table.own

    @property
    def records(self) -> dict[int, MemberRecord]:
        """The believed record of each member, by number."""
        return self.table.records

    @property
    def history(self) -> deque[Change]:
        """The last changes, oldest first."""
        return self.table.history

    @property
    def alive(self) -> list[MemberRecord]:
        """The records of members that neither left nor died, by number; suspects are included."""
        return self.table.alive

    @property
    def digest(self) -> int:
        """A digest that is equal at all gateways that hold the same incarnations alive."""
        return self.table.digest

    @property
    def apart(self) -> bool:
        """Whether no message has arrived for long although there are others; then none is suspected."""
        silence = self._now - self._last_received_at
        return len(self.records) > 1 and silence > APART_AFTER * self.timing.period

    @property
    def minority(self) -> bool:
        """Whether at most half of the members that did not leave are alive."""
        return self.table.minority

    @property
    def settled(self) -> bool:
        """Whether no member is suspected and the last digest of every alive peer equals this one."""
        if self.suspicions.running or self.apart:
            return False
        digest = self.digest
        return all(self.exchange.digest_of(peer.member) == digest for peer in self.table.alive_peers)

    def tick(self, now: float) -> None:
        """Does everything that is due; to be called several times per period."""
        gap = now - self._ticked_at
        self._ticked_at = now
        self._now = now
        self._receive_allowance = min(
            MESSAGES_PER_SECOND, self._receive_allowance + gap * MESSAGES_PER_SECOND
        )
        if gap > STALLED_AFTER * self.timing.period:
            self._stalled(gap)
        if self.leaving:
            return
        self._expire_suspicions()
        self._expire_relayed_pings()
        self._advance_probe()
        if now >= self._gossip_at:
            self._gossip_at = now + self.timing.period / GOSSIP_FACTOR
            self._gossip_extra()
        if now >= self._ended_ping_at:
            self._ended_ping_at = now + ENDED_PING_PERIODS * self.timing.period
            self._ping_ended()

    def received(self, source: Address, message: GossipMessage) -> None:
        """Handles a message from a peer; the caller has checked its source address."""
        if self._receive_allowance < 1.0:
            self.refused += 1
            return
        self._receive_allowance -= 1.0
        self._last_received_at = self._now
        if message.sender == self.own.member:
            # Only another process with this gateway's number can have sent it.
            self.duplicates += 1
            return
        for record in message.records:
            self._merge(record)
        self.exchange.digest_received(message.sender, message.digest)
        if message.kind == MessageKind.PING:
            page = self.dissemination.payload(message.cursor, message.sender)
            self._send(source, MessageKind.ACK, message.sequence, page.records, page.next_member)
        elif message.kind == MessageKind.ACK:
            self._ack_received(message)
        elif message.kind == MessageKind.PING_REQUEST:
            self._relay_ping(source, message)
        elif message.kind == MessageKind.NACK:
            self._nack_received(message)

    def leave(self) -> None:
        """Leaves the fleet at a graceful shutdown, and notifies a few members at once."""
        self.leaving = True
        self._replace_own(self.own._replace(state=MemberState.LEFT))
        for peer in self._draw_peers(2 * HELPERS, {self.own.member}):
            self._ping(peer.address)

    # Records

    def _merge(self, record: MemberRecord) -> None:
        """Merges a record that arrived or that this gateway observed."""
        if record.member == self.own.member:
            self._merge_own(record)
            return
        known = self.records.get(record.member)
        if known is None and len(self.records) >= self.members_max:
            self.refused += 1
            return
        if self.suspicions.confirm(record):
            self.dissemination.enqueue(record.member)
        if supersedes(record, known):
            self._accept(record)

    def _merge_own(self, record: MemberRecord) -> None:
        """Merges a report about this gateway itself, and refutes it if necessary."""
        own = self.own
        if record.incarnation > own.incarnation:
            # From an earlier process whose clock was ahead, or from another process with this number. Two
            # such processes would outbid each other without end, so the event is counted.
            self.duplicates += 1
            self._replace_own(own._replace(incarnation=record.incarnation + 1, refutation=0))
        elif record.incarnation < own.incarnation:
            return
        elif record.ended and not self.leaving:
            self._replace_own(own._replace(incarnation=own.incarnation + 1, refutation=0))
        elif record.state == MemberState.SUSPECT and record.refutation >= own.refutation:
            self.health.degrade()
            self._replace_own(own._replace(refutation=record.refutation + 1))

    def _replace_own(self, record: MemberRecord) -> None:
        self.table.own = record
        self._accept(record)

    def _accept(self, record: MemberRecord) -> None:
        """Stores a record and schedules it to be passed on."""
        known = self.table.store(record, self._now)
        self.dissemination.enqueue(record.member)
        self.suspicions.track(record, self._now)
        if known is None and record.member != self.own.member:
            self.probe_order.add(record.member)

    # Suspicions

    def _expire_suspicions(self) -> None:
        for member, suspicion in list(self.suspicions.running.items()):
            if self.apart:
                suspicion.since = self._now
            elif not self.suspicions.is_due(suspicion, self._now):
                continue
            elif suspicion.final_pings < FINAL_PINGS:
                # The suspicion may come from members that a partition separates from the suspect, while this
                # gateway can still reach it.
                suspicion.last_pinged = self._now
                suspicion.final_pings += 1
                self._ping(self.records[member].address)
            else:
                self._accept(
                    self.records[member]._replace(state=MemberState.DEAD, reported_by=self.own.member)
                )

    def _stalled(self, seconds: float) -> None:
        """Handles a pause of this process, in which it could not read the messages of others."""
        self.health.degrade(STALL_HEALTH_LOSS)
        self._probe = None
        self._last_received_at = self._now
        self.suspicions.postpone(seconds)

    # Probes

    def _advance_probe(self) -> None:
        probe = self._probe
        unanswered = probe is not None and not probe.answered
        interval = self.timing.period * self.health.multiplier
        ack_timeout = self.timing.ack_timeout * self.health.multiplier
        if (
            probe is not None
            and unanswered
            and not probe.requested
            and self._now >= probe.sent_at + ack_timeout
        ):
            probe.requested = True
            self._request_pings(probe)
        if self._now >= self._probe_at:
            if probe is not None and unanswered:
                self._probe_failed(probe)
            self._probe_at = self._now + interval
            self._probe_next()

    def _probe_next(self) -> None:
        self._probe = None
        member = self.probe_order.next_member()
        if member is None:
            self._ping_contact()
        else:
            self._probe = Probe(member, self._ping(self.records[member].address), self._now)

    def _request_pings(self, probe: Probe) -> None:
        for peer in self._draw_peers(HELPERS, {self.own.member, probe.member}):
            self._send(peer.address, MessageKind.PING_REQUEST, probe.sequence, target=probe.member)

    def _probe_failed(self, probe: Probe) -> None:
        record = self.records[probe.member]
        if len(self.alive) > 2 and probe.nacks == 0:
            # No helper answered at all, so this gateway's own messages may not arrive.
            self.health.degrade()
        if record.state == MemberState.ALIVE and not self.apart:
            self._accept(record._replace(state=MemberState.SUSPECT, reported_by=self.own.member))
        elif record.state == MemberState.SUSPECT:
            self._merge(record._replace(reported_by=self.own.member))

    def _ack_received(self, message: GossipMessage) -> None:
        relayed = self.relayed_pings.pop(message.sequence, None)
        if relayed is not None:
            self._send(relayed.requester, MessageKind.ACK, relayed.sequence)
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence and not probe.answered:
            probe.answered = True
            self.health.improve()
        if message.records:
            self.exchange.page_received(message.cursor)

    def _nack_received(self, message: GossipMessage) -> None:
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe.nacks += 1

    def _relay_ping(self, source: Address, message: GossipMessage) -> None:
        target = self.records.get(message.target)
        if target is not None and len(self.relayed_pings) < RELAYED_PINGS_MAX:
            sequence = self._ping(target.address)
            expires_at = self._now + self.timing.ack_timeout
            self.relayed_pings[sequence] = RelayedPing(source, message.sequence, expires_at)

    def _expire_relayed_pings(self) -> None:
        for sequence, relayed in list(self.relayed_pings.items()):
            if self._now >= relayed.expires_at:
                del self.relayed_pings[sequence]
                self._send(relayed.requester, MessageKind.NACK, relayed.sequence)

    # Gossip

    def _gossip_extra(self) -> None:
        """Sends extra gossip while views differ; otherwise a new member waits minutes for the table."""
        if not self.exchange.spend_extra_round(self.digest):
            return
        peers = self._draw_peers(1, {self.own.member})
        if peers and (self.exchange.complete or self.random() < JOIN_GOSSIP_TO_PEERS):
            self._ping(peers[0].address)
        else:
            self._ping_contact()

    def _ping_ended(self) -> None:
        """Pings an ended member or unknown contact, so that separated parts of a fleet find each other."""
        alive = {record.address for record in self.alive}
        targets = [
            record.address for record in self.records.values() if record.ended and record.address not in alive
        ]
        targets += [address for address in self.contacts if address not in alive and address not in targets]
        if targets:
            self._ping(targets[int(self.random() * len(targets))])

    def _ping_contact(self) -> None:
        if not self.contacts:
            return
        self._contact_index = (self._contact_index + 1) % len(self.contacts)
        address = self.contacts[self._contact_index]
        if address != self.own.address:
            self._ping(address)

    def _draw_peers(self, number: int, excluded: set[int]) -> list[MemberRecord]:
        others = [record for record in self.alive if record.member not in excluded]
        return [others.pop(int(self.random() * len(others))) for _ in range(min(number, len(others)))]

    # Messages

    def _ping(self, address: Address) -> int:
        """Sends a ping with a page of the table and returns its sequence number."""
        self._sequence += 1
        page = self.dissemination.payload(self._next_page, self.table.member_at(address))
        self._next_page = page.next_member
        cursor = self._next_page if self.exchange.complete else self.exchange.wanted_member
        self._send(address, MessageKind.PING, self._sequence, page.records, cursor)
        return self._sequence

    def _send(
        self,
        address: Address,
        kind: MessageKind,
        sequence: int,
        records: tuple[MemberRecord, ...] = (),
        cursor: int = 0,
        target: int = NO_TARGET,
    ) -> None:
        message = GossipMessage(kind, self.own.member, sequence, cursor, self.digest, records, target)
        self.outbox.append((address, message))
