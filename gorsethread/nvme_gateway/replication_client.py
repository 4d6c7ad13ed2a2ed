"""Sends a gateway's records to the gateways that hold its replicas, and tracks what these have stored.

The pure cores `durable_log/replica_placement.py` and `durable_log/replication.py` decide which gateways hold
replicas, what is sent to each next, and which records enough of them have.
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

WATCH_INTERVAL = 1.0  # seconds between checks whether a replica still answers
CHOICE_INTERVAL = 0.5  # seconds between choices of replicas among the gateways that are not dead
OnReplicated = Callable[[bool], None]


class ReplicationClient:
    """The log owner's side of replication, from start() to stop().

    Its table of streams has at most one for each replica, removed when it ends. A record that is not on
    enough replicas yet leaves the queue when the replicas confirm it, or after REPLICATION_TIMEOUT at the
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
        """Set up; living returns the gateways that the membership view does not consider dead."""
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
        """Start connecting to the replicas, as this incarnation."""
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
        """How many records wait to be on enough replicas."""
        return len(self._unreplicated)

    def when_replicated(self, number: SequenceNumber, on_replicated: OnReplicated) -> None:
        """Call on_replicated once with whether enough replicas have the record in REPLICATION_TIMEOUT.

        The number must be higher than those of earlier calls.
        """
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
        added, removed = self.sender.set_replicas(chosen)
        for gateway in removed:
            stream = self._streams.get(gateway)
            if stream is not None:
                stream.close()
        for gateway in added:
            self.transport.spawn(self._keep_connected(gateway))
        if added or removed:
            self.log.info("replicas chosen", gateways=sorted(self.sender.replicas))
        self.transport.call_at(self.transport.now() + CHOICE_INTERVAL, self._choose_replicas)

    async def _keep_connected(self, peer: int) -> None:
        delay = MIN_RECONNECT_DELAY
        while peer in self.sender.replicas and not self.stopped and not self.sender.fenced:
            try:
                await self._connect_once(peer)
                delay = MIN_RECONNECT_DELAY
            except (Unreachable, replication_messages.ProtocolError) as error:
                self.log.debug("no connection to a replica", other=peer, reason=str(error))
                delay = min(MAX_RECONNECT_DELAY, 2.0 * delay)
            self.sender.disconnected(peer)
            await self.transport.sleep(delay)

    async def _connect_once(self, peer: int) -> None:
        stream = await self.transport.connect(*self.topology.addresses[peer], CONNECT_TIMEOUT)
        self._streams[peer] = stream
        reader = replication_messages.MessageReader()
        watch = _SilenceWatch(self, peer, stream)
        watch.check()
        hello = replication_messages.Hello(self.topology.fleet, self.topology.gateway, self.incarnation)
        try:
            stream.write(replication_messages.encode(hello))
            while True:
                for message in reader.feed(await stream.read()):
                    watch.on_message()
                    self._on_message(peer, message)
        except StreamClosed:
            pass
        finally:
            self._streams.pop(peer, None)
            stream.close()

    def is_stream_of(self, peer: int, stream: Stream) -> bool:
        """Return whether this is the current stream to a replica."""
        return self._streams.get(peer) is stream

    # ---- messages

    def _on_message(self, peer: int, message: replication_messages.Message) -> None:
        if isinstance(message, replication_messages.HelloReply) and message.incarnation <= self.incarnation:
            self.sender.connected(peer, message.last, self.store.removals_dropped)
            self._send_next(peer)
        elif isinstance(message, replication_messages.HelloReply | replication_messages.IncarnationFenced):
            self._on_fenced(peer, message.incarnation)
        elif isinstance(message, replication_messages.RecordsStored):
            self._on_stored(peer, message.last)
        elif isinstance(message, replication_messages.StoreFailed):
            self._streams[peer].close()

    def _on_fenced(self, peer: int, incarnation: int) -> None:
        self.sender.fenced = True
        self.log.error(
            "a later incarnation of this gateway is known; nothing is acknowledged any more",
            by=peer,
            incarnation=incarnation,
            own=self.incarnation,
            to_do="stop one of the two processes of this gateway",
        )

    def _on_stored(self, peer: int, last: SequenceNumber) -> None:
        behind = self.sender.confirmed(peer, last)
        self._report_until(self.sender.replicated, True)
        if behind:
            self.transport.call_at(self.transport.now() + CATCH_UP_PAUSE, lambda: self._send_next(peer))
        else:
            self._send_next(peer)

    def send_to_all(self) -> None:
        """Send its next batch to each connected replica."""
        for gateway in list(self._streams):
            self._send_next(gateway)

    def _send_next(self, peer: int) -> None:
        stream = self._streams.get(peer)
        if stream is None:
            return
        batch = self.sender.next_batch(peer, self.store.table, self.store.flushed)
        if batch is None:
            return
        entries = replication_messages.to_entries(batch.records)
        message = replication_messages.StoreRecords(
            self.incarnation, batch.replaces_all, entries, batch.last, batch.more
        )
        stream.write(replication_messages.encode(message))


class _SilenceWatch:
    """Closes a stream whose replica has owed an answer for ANSWER_TIMEOUT; its machine may be down."""

    def __init__(self, client: ReplicationClient, peer: int, stream: Stream) -> None:
        self._client = client
        self._peer = peer
        self._stream = stream
        self._last_message_at = client.transport.now()

    def on_message(self) -> None:
        self._last_message_at = self._client.transport.now()

    def check(self) -> None:
        client = self._client
        if not client.is_stream_of(self._peer, self._stream):
            return
        now = client.transport.now()
        replica = client.sender.replicas.get(self._peer)
        answer_due = replica is None or replica.in_flight or replica.confirmed is None
        if answer_due and now - self._last_message_at > ANSWER_TIMEOUT:
            self._stream.close()
        client.transport.call_at(now + WATCH_INTERVAL, self.check)
