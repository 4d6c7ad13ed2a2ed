"""Sends a gateway's records to the gateways that hold its replicas, and notes what they have.

Who holds replicas, what goes to whom next and up to where enough of them have it is decided by the pure cores
`durable_log/replica_placement.py` and `durable_log/replication.py`.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import SequenceNumber
from gorsethread.durable_log.replica_placement import choose_replicas
from gorsethread.durable_log.replication import (
    CATCH_UP_PAUSE,
    MAX_RECONNECT_DELAY,
    MIN_RECONNECT_DELAY,
    REPLICATION_TIMEOUT,
    ReplicationSender,
)
from gorsethread.nvme_gateway.replication_topology import ANSWER_TIMEOUT, CONNECT_TIMEOUT, ReplicationTopology
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

WATCH_INTERVAL = 1.0  # seconds between looks at whether a replica answers
CHOICE_INTERVAL = 0.5  # seconds between choices of replicas among those that live
OnReplicated = Callable[[bool], None]


class ReplicationClient:
    """The owner's side of replication, from start() to stop().

    Its table of streams has one for each replica at most; they leave as they end. Its queue of records that
    are not on enough replicas yet is emptied by their answers, each record after REPLICATION_TIMEOUT at the
    latest.
    """

    def __init__(
        self,
        transport: Transport,
        topology: ReplicationTopology,
        store: LogStore,
        living: Callable[[], list[int]],
        log: Any,
    ) -> None:
        """Set up; living: the gateways that the view does not consider dead."""
        self.transport = transport
        self.topology = topology
        self.store = store
        self.living = living
        self.log = log
        self.sender = ReplicationSender(topology.required)
        self.incarnation = 0
        self.stopped = False
        self._unreplicated: deque[tuple[SequenceNumber, OnReplicated]] = deque()
        self._streams: dict[int, Stream] = {}

    def start(self, incarnation: int) -> None:
        """Connect to the replicas as this incarnation."""
        self.incarnation = incarnation
        self._choose_replicas()

    def stop(self) -> None:
        """Close all streams."""
        self.stopped = True
        for stream in list(self._streams.values()):
            stream.close()

    # ---- waiting for replicas

    @property
    def waiting(self) -> int:
        """The number of records that are not on enough replicas yet."""
        return len(self._unreplicated)

    def when_replicated(self, number: SequenceNumber, on_replicated: OnReplicated) -> None:
        """Report once whether enough replicas have the record within REPLICATION_TIMEOUT; numbers grow."""
        self._unreplicated.append((number, on_replicated))
        self.transport.call_at(
            self.transport.now() + REPLICATION_TIMEOUT, lambda: self._report_until(number, False)
        )

    def _report_until(self, number: SequenceNumber, replicated: bool) -> None:
        while self._unreplicated and self._unreplicated[0][0] <= number:
            _, on_replicated = self._unreplicated.popleft()
            on_replicated(replicated)

    # ---- choosing and connecting

    def _choose_replicas(self) -> None:
        if self.stopped:
            return
        topology = self.topology
        living = [gateway for gateway in self.living() if gateway in topology.addresses]
        chosen = choose_replicas(topology.gateway, topology.domains, living, topology.copies)
        added, removed = self.sender.choose(chosen)
        for gateway in removed:
            stream = self._streams.get(gateway)
            if stream is not None:
                stream.close()
        for gateway in added:
            self.transport.spawn(self._keep_connected(gateway))
        if added or removed:
            self.log.info("replicas chosen", gateways=sorted(self.sender.replicas))
        self.transport.call_at(self.transport.now() + CHOICE_INTERVAL, self._choose_replicas)

    async def _keep_connected(self, other: int) -> None:
        delay = MIN_RECONNECT_DELAY
        while other in self.sender.replicas and not self.stopped and not self.sender.fenced:
            try:
                await self._connect_once(other)
                delay = MIN_RECONNECT_DELAY
            except (Unreachable, replication_messages.ProtocolError) as error:
                self.log.debug("no connection to a replica", other=other, reason=str(error))
                delay = min(MAX_RECONNECT_DELAY, 2.0 * delay)
            self.sender.disconnected(other)
            await self.transport.sleep(delay)

    async def _connect_once(self, other: int) -> None:
        stream = await self.transport.connect(*self.topology.addresses[other], CONNECT_TIMEOUT)
        self._streams[other] = stream
        reader = replication_messages.MessageReader()
        watch = _SilenceWatch(self, other, stream)
        watch.look()
        hello = replication_messages.Hello(self.topology.fleet, self.topology.gateway, self.incarnation)
        try:
            stream.write(replication_messages.encode(hello))
            while True:
                for message in reader.take(await stream.read()):
                    watch.heard()
                    self._on_message(other, message)
        except StreamClosed:
            pass
        finally:
            self._streams.pop(other, None)
            stream.close()

    def is_stream_of(self, other: int, stream: Stream) -> bool:
        """Return whether this is the present stream to a replica."""
        return self._streams.get(other) is stream

    # ---- messages

    def _on_message(self, other: int, message: replication_messages.Message) -> None:
        if isinstance(message, replication_messages.Have) and message.incarnation <= self.incarnation:
            self.sender.connected(other, message.last, self.store.removals_dropped)
            self._send_next(other)
        elif isinstance(message, replication_messages.Have | replication_messages.Over):
            self._on_fenced(other, message.incarnation)
        elif isinstance(message, replication_messages.Holds):
            self._on_stored(other, message.last)
        elif isinstance(message, replication_messages.Failed):
            self._streams[other].close()

    def _on_fenced(self, other: int, incarnation: int) -> None:
        self.sender.fenced = True
        self.log.error(
            "a later incarnation of this gateway is known; nothing is acknowledged any more",
            by=other,
            incarnation=incarnation,
            own=self.incarnation,
            to_do="end one of the two processes of this gateway",
        )

    def _on_stored(self, other: int, last: SequenceNumber) -> None:
        behind = self.sender.confirmed(other, last)
        self._report_until(self.sender.replicated, True)
        if behind:
            self.transport.call_at(self.transport.now() + CATCH_UP_PAUSE, lambda: self._send_next(other))
        else:
            self._send_next(other)

    def send_to_all(self) -> None:
        """Send to each connected replica what is next for it."""
        for gateway in list(self._streams):
            self._send_next(gateway)

    def _send_next(self, other: int) -> None:
        stream = self._streams.get(other)
        if stream is None:
            return
        batch = self.sender.next_batch(other, self.store.table, self.store.flushed)
        if batch is None:
            return
        entries = replication_messages.to_entries(batch.records)
        message = replication_messages.Put(
            self.incarnation, batch.replaces_all, entries, batch.last, batch.more
        )
        stream.write(replication_messages.encode(message))


class _SilenceWatch:
    """Closes a stream whose replica owes an answer for ANSWER_TIMEOUT: its machine may have vanished."""

    def __init__(self, client: ReplicationClient, other: int, stream: Stream) -> None:
        self._client = client
        self._other = other
        self._stream = stream
        self._heard_at = client.transport.now()

    def heard(self) -> None:
        self._heard_at = self._client.transport.now()

    def look(self) -> None:
        client = self._client
        if not client.is_stream_of(self._other, self._stream):
            return
        now = client.transport.now()
        replica = client.sender.replicas.get(self._other)
        answer_due = replica is None or replica.in_flight or replica.confirmed is None
        if answer_due and now - self._heard_at > ANSWER_TIMEOUT:
            self._stream.close()
        client.transport.call_at(now + WATCH_INTERVAL, self.look)
