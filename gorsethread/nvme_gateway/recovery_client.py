"""Polls the other gateways for this gateway's records after a start, and fetches what it lacks."""

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

POLL_ONLY = 0  # the incarnation of a greeting that only asks


class RecoveryClient:
    """The polls of one recovery; its tables are those of the recovery's stages.

    on_records hears what one gateway held beyond the own records, once all of it has come.
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
        """Poll until nothing is awaited any more, those first who most likely hold the records."""
        topology = self.topology
        candidates = topology.addresses
        likely = choose_replicas(topology.gateway, topology.domains, candidates, len(candidates))
        order = PollOrder(likely, len(topology.domains))
        while not self.stopped:
            other = order.take_next()
            if other is None:
                return
            if other in self.stages.awaited():
                self.transport.spawn(self._poll(other, order))
            await self.transport.sleep(order.interval)
            while not order.waiting and self.stages.awaited() and not self.stopped:
                await self.transport.sleep(MIN_RECONNECT_DELAY)  # polls in progress may still fail

    async def _poll(self, other: int, order: PollOrder) -> None:
        started = self.transport.now()
        if self.stages.stage is not Stage.POLLING and other not in self.living():
            await self.transport.sleep(MAX_RECONNECT_DELAY)  # it hardly answers
        try:
            await self._poll_once(other)
        except (Unreachable, StreamClosed, replication_messages.ProtocolError) as error:
            self.log.debug("a gateway could not be polled", other=other, reason=str(error))
        order.on_ended(other, other not in self.stages.awaited(), self.transport.now() - started)

    async def _poll_once(self, other: int) -> None:
        stream = await self.transport.connect(*self.topology.addresses[other], CONNECT_TIMEOUT)
        exchange = _Exchange(self, other, stream)
        reader = replication_messages.MessageReader()
        try:
            exchange.greet()
            while not exchange.ended:
                for message in reader.take(await stream.read()):
                    exchange.on_message(message)
                    if exchange.ended:
                        break
        finally:
            exchange.timeout.cancel()
            stream.close()


class _Exchange:
    """What one gateway says on one stream; ends itself by closing the stream after ANSWER_TIMEOUT."""

    def __init__(self, client: RecoveryClient, other: int, stream: Stream) -> None:
        self.client = client
        self.other = other
        self.stream = stream
        self.ended = False
        self._received = RecordTable()  # bounded as the table of the gateway that sends it
        self.timeout = client.transport.call_at(client.transport.now() + ANSWER_TIMEOUT, stream.close)

    def greet(self) -> None:
        topology = self.client.topology
        self._send(replication_messages.Hello(topology.fleet, topology.gateway, POLL_ONLY))

    def on_message(self, message: replication_messages.Message) -> None:
        if isinstance(message, replication_messages.Have):
            stages = self.client.stages
            now = self.client.transport.now()
            if stages.on_answer(self.other, message.last, message.incarnation, now):
                self._send(replication_messages.Fetch(stages.own_last))
            else:
                self.ended = True
        elif isinstance(message, replication_messages.Give):
            self._on_records(message)

    def _on_records(self, message: replication_messages.Give) -> None:
        transport = self.client.transport
        self.timeout.cancel()
        self.timeout = transport.call_at(transport.now() + ANSWER_TIMEOUT, self.stream.close)
        for record in replication_messages.to_records(message.entries):
            self._received.apply(record)
        if not message.more:
            self.client.on_records(self.other, self._received)
            self.ended = True

    def _send(self, message: replication_messages.Message) -> None:
        self.stream.write(replication_messages.encode(message))
