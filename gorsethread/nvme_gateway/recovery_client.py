"""Polls the other gateways for this gateway's records after a start, and fetches those that it lacks."""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.records import RecordTable
from gorsethread.durable_log.replica_placement import choose_replicas
from gorsethread.durable_log.replication import MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY
from gorsethread.nvme_gateway.replication_topology import ANSWER_TIMEOUT, CONNECT_TIMEOUT, ReplicationTopology
from gorsethread.recovery.spacing import PollOrder
from gorsethread.recovery.stages import RecoveryStages, Stage
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

POLL_ONLY = 0  # the incarnation in a Hello that only asks for records


class RecoveryClient:
    """Polls the other gateways during one recovery; the state is in the recovery's stages.

    on_records is called with a gateway's number and the records it held beyond this gateway's own, once all
    of them have arrived. living returns the gateways that are not considered dead.
    """

    def __init__(
        self,
        transport: Transport,
        topology: ReplicationTopology,
        stages: RecoveryStages,
        living: Callable[[], list[int]],
        on_records: Callable[[int, RecordTable], None],
        log: Any,
    ) -> None:
        self.transport = transport
        self.topology = topology
        self.stages = stages
        self.living = living
        self.on_records = on_records
        self.log = log
        self.stopped = False

    async def poll_all(self) -> None:
        """Poll the gateways, the likeliest holders of replicas first, until no answer is awaited."""
        topology = self.topology
        candidates = topology.addresses
        likeliest_first = choose_replicas(topology.gateway, topology.domains, candidates, len(candidates))
        order = PollOrder(likeliest_first, len(topology.domains))
        while not self.stopped:
            peer = order.take_next()
            if peer is None:
                return
            if peer in self.stages.awaited():
                self.transport.spawn(self._poll(peer, order))
            await self.transport.sleep(order.interval)
            while not order.waiting and self.stages.awaited() and not self.stopped:
                await self.transport.sleep(MIN_RECONNECT_DELAY)  # polls in progress may still fail

    async def _poll(self, peer: int, order: PollOrder) -> None:
        started = self.transport.now()
        if self.stages.stage is not Stage.POLLING and peer not in self.living():
            await self._wait_until_living(peer)  # it is unlikely to answer
        try:
            await self._poll_once(peer)
        except (Unreachable, StreamClosed, replication_messages.ProtocolError) as error:
            self.log.debug("a gateway could not be polled", other=peer, reason=str(error))
        order.on_poll_ended(peer, peer not in self.stages.awaited(), self.transport.now() - started)

    async def _wait_until_living(self, peer: int) -> None:
        """Wait until a gateway is no longer considered dead, or for MAX_RECONNECT_DELAY."""
        give_up_at = self.transport.now() + MAX_RECONNECT_DELAY
        while self.transport.now() < give_up_at and peer not in self.living() and not self.stopped:
            await self.transport.sleep(MIN_RECONNECT_DELAY)

    async def _poll_once(self, peer: int) -> None:
        stream = await self.transport.connect(*self.topology.addresses[peer], CONNECT_TIMEOUT)
        poll = _Poll(self, peer, stream)
        reader = replication_messages.MessageReader()
        try:
            poll.send_hello()
            while not poll.ended:
                for message in reader.feed(await stream.read()):
                    poll.on_message(message)
                    if poll.ended:
                        break
        finally:
            poll.timeout.cancel()
            stream.close()


class _Poll:
    """One poll of a gateway: its stream, which is closed after ANSWER_TIMEOUT without an answer."""

    def __init__(self, client: RecoveryClient, peer: int, stream: Stream) -> None:
        self.client = client
        self.peer = peer
        self.stream = stream
        self.ended = False
        self._received = RecordTable()  # as bounded as the table of the gateway that sends the records
        self.timeout = client.transport.call_at(client.transport.now() + ANSWER_TIMEOUT, stream.close)

    def send_hello(self) -> None:
        topology = self.client.topology
        self._send(replication_messages.Hello(topology.fleet, topology.gateway, POLL_ONLY))

    def on_message(self, message: replication_messages.Message) -> None:
        if isinstance(message, replication_messages.HelloReply):
            stages = self.client.stages
            now = self.client.transport.now()
            if stages.on_answer(self.peer, message.last, message.incarnation, now):
                self._send(replication_messages.FetchRecords(stages.own_last))
            else:
                self.ended = True
        elif isinstance(message, replication_messages.FetchedRecords):
            self._on_records(message)

    def _on_records(self, message: replication_messages.FetchedRecords) -> None:
        transport = self.client.transport
        self.timeout.cancel()
        self.timeout = transport.call_at(transport.now() + ANSWER_TIMEOUT, self.stream.close)
        for record in replication_messages.to_records(message.entries):
            self._received.apply(record)
        if not message.more:
            self.client.on_records(self.peer, self._received)
            self.ended = True

    def _send(self, message: replication_messages.Message) -> None:
        self.stream.write(replication_messages.encode(message))
