"""Replicas of one gateway's log at others: what goes to whom next, and up to where enough of them have it.

Pure cores of both sides: no I/O, no clock, no chance. The sender counts only what a replica confirmed to have
on its own disk. A replica that was away gets what holds and is later than what it has; removals are dropped
in time, so one that is further behind than these gets everything again. A replica knows the latest
incarnation of each gateway and accepts nothing from an earlier one, so of two processes of one gateway the
later fences off the other.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber, batches

BATCH_RECORDS = 256  # records of one message
BATCH_BYTES = 1 << 18  # and about as many bytes, but one record at least
REPLICATION_TIMEOUT = 1.0  # seconds within which enough replicas must have a record, else it fails
MIN_RECONNECT_DELAY = 0.2  # seconds from a lost connection to a replica to the next attempt; doubles
MAX_RECONNECT_DELAY = 3.0  # seconds
CATCH_UP_PAUSE = 0.02  # seconds between batches of older records, so that live work goes first
ALL_SEQUENCES: SequenceNumber = (1 << 62, 0)  # higher than any that is given


@dataclass
class ReplicaState:
    """One replica, as the sender knows it.

    Attributes:
        confirmed: Up to this number it has all that holds; None while it is not connected.
        sent: Up to this number all has been sent to it.
        in_flight: A batch is on its way.
        resend_all: The next batch replaces everything that it has.
        behind: The last batch was not all there was.
    """

    confirmed: SequenceNumber | None = None
    sent: SequenceNumber = NO_SEQUENCE
    in_flight: bool = False
    resend_all: bool = False
    behind: bool = False


@dataclass(frozen=True)
class ReplicationBatch:
    """Records for a replica.

    Attributes:
        replaces_all: What the replica has is void.
        records: In order.
        last: With this batch the replica has all that holds up to this number.
        more: More follows.
    """

    replaces_all: bool
    records: list[Record]
    last: SequenceNumber
    more: bool = False


class ReplicationSender:
    """The owner's side; required: how many replicas must have a record.

    Its table of replicas has those that choose() was given last, and former ones until the present ones have
    as much.
    """

    def __init__(self, required: int) -> None:
        self.required = required
        self.replicas: dict[int, ReplicaState] = {}
        self.fenced = False  # others know a later incarnation of this gateway

    def choose(self, gateways: Iterable[int]) -> tuple[list[int], list[int]]:
        """Set the replicas; return the added and the removed.

        None is removed before all that were chosen have as much as it has.
        """
        chosen = list(gateways)
        added = [gateway for gateway in chosen if gateway not in self.replicas]
        for gateway in added:
            self.replicas[gateway] = ReplicaState()
        confirmed = [self._confirmed(gateway) for gateway in chosen]
        former = [gateway for gateway in self.replicas if gateway not in chosen]
        removed = [
            gateway for gateway in former if all(number >= self._confirmed(gateway) for number in confirmed)
        ]
        for gateway in removed:
            del self.replicas[gateway]
        return added, removed

    def _confirmed(self, gateway: int) -> SequenceNumber:
        return self.replicas[gateway].confirmed or NO_SEQUENCE

    def connected(self, gateway: int, last: SequenceNumber, removals_dropped: SequenceNumber) -> None:
        """Note that a replica is connected.

        Args:
            gateway: The replica.
            last: Up to this number it has this gateway's records.
            removals_dropped: Removals up to this number can't be sent any more.
        """
        replica = self.replicas.get(gateway)
        if replica is None:
            return
        replica.confirmed = last if last >= removals_dropped else NO_SEQUENCE
        replica.sent = replica.confirmed
        replica.in_flight = False
        replica.resend_all = last < removals_dropped

    def disconnected(self, gateway: int) -> None:
        """Note that the connection to a replica ended; it keeps what it has."""
        replica = self.replicas.get(gateway)
        if replica is not None:
            replica.confirmed = None
            replica.in_flight = False

    def next_batch(self, gateway: int, table: RecordTable, last: SequenceNumber) -> ReplicationBatch | None:
        """Return what goes to a replica next; None: nothing now.

        Args:
            gateway: The replica.
            table: All records that hold.
            last: Up to this number the table is complete.
        """
        replica = self.replicas.get(gateway)
        if replica is None or replica.confirmed is None or replica.in_flight:
            return None
        if replica.sent >= last and not replica.resend_all:
            return None
        if replica.resend_all:
            replica.sent = NO_SEQUENCE
        later = [record for record in table.later_than(replica.sent) if record.number <= last]
        records = next(batches(later, BATCH_RECORDS, BATCH_BYTES), [])
        more = len(later) > len(records)
        batch = ReplicationBatch(replica.resend_all, records, records[-1].number if more else last, more)
        replica.sent = batch.last
        replica.in_flight = True
        replica.resend_all = False
        replica.behind = more
        return batch

    def confirmed(self, gateway: int, last: SequenceNumber) -> bool:
        """Note that a replica has all up to this number on its disk; return whether it is still behind."""
        replica = self.replicas.get(gateway)
        if replica is None or replica.confirmed is None:
            return False
        replica.confirmed = max(replica.confirmed, last)
        replica.in_flight = False
        return replica.behind

    def resend_all(self) -> None:
        """Send everything again: the table got records that are older than what replicas have."""
        for replica in self.replicas.values():
            replica.resend_all = replica.confirmed is not None

    @property
    def replicated(self) -> SequenceNumber:
        """Up to this number enough replicas have everything; without any required, all."""
        if self.required == 0:
            return ALL_SEQUENCES
        known = [replica.confirmed for replica in self.replicas.values() if replica.confirmed is not None]
        if len(known) < self.required:
            return NO_SEQUENCE
        return sorted(known, reverse=True)[self.required - 1]

    @property
    def has_quorum(self) -> bool:
        """As many replicas as are required are connected."""
        connected = sum(replica.confirmed is not None for replica in self.replicas.values())
        return connected >= self.required


class IncarnationFence:
    """The replica's side: the latest incarnation of each gateway, as many as there are gateways."""

    def __init__(self) -> None:
        self.latest: dict[int, int] = {}

    def greet(self, origin: int, incarnation: int) -> int:
        """Return the latest known incarnation of a gateway, this one included; a later one fences it off."""
        self.latest[origin] = max(incarnation, self.latest.get(origin, 0))
        return self.latest[origin]

    def accepts(self, origin: int, incarnation: int) -> bool:
        """Return whether records of this incarnation are accepted."""
        return incarnation >= self.latest.get(origin, 0)
