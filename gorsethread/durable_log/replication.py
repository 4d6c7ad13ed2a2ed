"""Decides what is sent to each replica of a gateway's log, and which records enough replicas have.

Pure cores of both sides: no I/O, no clock, no randomness. The sender counts only records that a replica
confirmed to have on its own disk. A replica that was disconnected receives the current records that are later
than its own; removals are dropped in time, so a replica that is further behind than the dropped ones receives
everything again. A replica knows the latest incarnation of each gateway and accepts nothing from an earlier
one, so of two processes of one gateway the later fences off the other.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber, batches

MAX_BATCH_RECORDS = 256  # records of one message
MAX_BATCH_BYTES = 1 << 18  # of one message, estimated; a larger record is sent alone
REPLICATION_TIMEOUT = 1.0  # seconds until a record that too few replicas have counts as not durable
MIN_RECONNECT_DELAY = 0.2  # seconds from a lost connection to the next attempt; doubles with each failure
MAX_RECONNECT_DELAY = 3.0  # seconds
CATCH_UP_PAUSE = 0.02  # seconds between batches of older records, so that current requests go first
ALL_SEQUENCES: SequenceNumber = (1 << 62, 0)  # higher than any number that is used


@dataclass
class ReplicaState:
    """What the sender knows of one replica.

    Attributes:
        confirmed: The number up to which it has all current records; None while it is not connected.
        sent: The number up to which all current records were sent to it.
        in_flight: A batch was sent and not confirmed yet.
        resend_all: The next batch replaces all of its records.
        behind: More records were left after the last batch.
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
        replaces_all: The records replace all that the replica has.
        records: The records, in order.
        last: The number up to which the replica has all current records after this batch.
        more: More batches follow.
    """

    replaces_all: bool
    records: list[Record]
    last: SequenceNumber
    more: bool = False


class ReplicationSender:
    """The side of the log's owner; required: how many replicas must have a record.

    Its table has the replicas that the last call of set_replicas() named, and former ones until all of these
    have as many records.

    Attributes:
        required: How many replicas must have a record.
        replicas: The state of each replica.
        fenced: Another gateway knows a later incarnation of this one.
        may_replace: A replica's records may be replaced by this gateway's; not while the replica may hold
            records that this gateway still lacks.
    """

    def __init__(self, required: int) -> None:
        self.required = required
        self.replicas: dict[int, ReplicaState] = {}
        self.fenced = False
        self.may_replace = True

    def set_replicas(self, gateways: Iterable[int]) -> tuple[list[int], list[int]]:
        """Set the gateways that hold replicas; return the added and the removed ones.

        A former replica is removed only once all chosen ones have as many records.
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
            last: The number up to which it has this gateway's records.
            removals_dropped: The number up to which removals can't be sent any more.
        """
        replica = self.replicas.get(gateway)
        if replica is None:
            return
        replica.confirmed = last if last >= removals_dropped else NO_SEQUENCE
        replica.sent = replica.confirmed
        replica.in_flight = False
        replica.resend_all = last < removals_dropped

    def disconnected(self, gateway: int) -> None:
        """Note that the connection to a replica ended; the replica keeps its records."""
        replica = self.replicas.get(gateway)
        if replica is not None:
            replica.confirmed = None
            replica.in_flight = False

    def next_batch(self, gateway: int, table: RecordTable, last: SequenceNumber) -> ReplicationBatch | None:
        """Return the next batch for a replica; None where nothing is to be sent now.

        Args:
            gateway: The replica.
            table: The current records.
            last: The number up to which the table is complete.
        """
        replica = self.replicas.get(gateway)
        if replica is None or replica.confirmed is None or replica.in_flight:
            return None
        if replica.resend_all and not self.may_replace:
            return None
        if replica.sent >= last and not replica.resend_all:
            return None
        if replica.resend_all:
            replica.sent = NO_SEQUENCE
        later = [record for record in table.later_than(replica.sent) if record.number <= last]
        records = next(batches(later, MAX_BATCH_RECORDS, MAX_BATCH_BYTES), [])
        more = len(later) > len(records)
        batch = ReplicationBatch(replica.resend_all, records, records[-1].number if more else last, more)
        replica.sent = batch.last
        replica.in_flight = True
        replica.resend_all = False
        replica.behind = more
        return batch

    def confirmed(self, gateway: int, last: SequenceNumber) -> bool:
        """Note that a replica stored all records up to this number; return whether it is still behind."""
        replica = self.replicas.get(gateway)
        if replica is None or replica.confirmed is None:
            return False
        replica.confirmed = max(replica.confirmed, last)
        replica.in_flight = False
        return replica.behind

    def resend_all(self) -> None:
        """Send everything again, as the table got records older than those that replicas have."""
        for replica in self.replicas.values():
            replica.resend_all = replica.confirmed is not None

    @property
    def replicated(self) -> SequenceNumber:
        """The number up to which enough replicas have all records; ALL_SEQUENCES where none is required."""
        if self.required == 0:
            return ALL_SEQUENCES
        confirmed = [replica.confirmed for replica in self.replicas.values() if replica.confirmed is not None]
        if len(confirmed) < self.required:
            return NO_SEQUENCE
        return sorted(confirmed, reverse=True)[self.required - 1]

    @property
    def has_quorum(self) -> bool:
        """Whether as many replicas as required are connected."""
        connected = sum(replica.confirmed is not None for replica in self.replicas.values())
        return connected >= self.required


class IncarnationFence:
    """The replica's side: the latest known incarnation of each gateway; one entry per gateway."""

    def __init__(self) -> None:
        self.latest: dict[int, int] = {}

    def note_incarnation(self, origin: int, incarnation: int) -> int:
        """Note an incarnation of a gateway; return the latest known one, which fences off earlier ones."""
        self.latest[origin] = max(incarnation, self.latest.get(origin, 0))
        return self.latest[origin]

    def accepts(self, origin: int, incarnation: int) -> bool:
        """Return whether records of this incarnation are accepted."""
        return incarnation >= self.latest.get(origin, 0)
