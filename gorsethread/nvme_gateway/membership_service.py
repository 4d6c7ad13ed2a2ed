"""Runs a gateway's membership view: sends and receives its datagrams, calls its ticks, answers operators.

The protocol's decisions are made in gorsethread.membership.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from gorsethread.membership.failure_detector import DEFAULT_TIMING, ProbeTiming
from gorsethread.membership.gossip_messages import (
    HISTORY_TARGET,
    Address,
    GossipDecodeError,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
    decode,
    encode,
)
from gorsethread.membership.membership_view import MembershipView
from gorsethread.membership.operator_replies import history_page, table_page
from gorsethread.transport.base import Transport

TICKS_PER_PERIOD = 10
LOOPBACK = "127."  # operators' queries are answered only on this machine
MAX_REPLIES_PER_SECOND = 50  # replies to operators, each with a page of the view


class MembershipService:
    """Keeps the membership view of one gateway and exchanges datagrams for it.

    Attributes:
        listen: Address on which datagrams are received.
        peers: Addresses from which datagrams are accepted; if empty, from any address.
        fleet: Number of the fleet; datagrams of other fleets are dropped.
        timing: The failure detector's intervals.
        dropped_datagrams: Counts by reason; bounded by the number of reasons.
        handlers: Called for messages of further kinds that peers send to this port; messages of a kind that
            neither these nor the view handle are dropped.
    """

    def __init__(
        self,
        transport: Transport,
        me: MemberRecord,
        listen: Address,
        contacts: tuple[Address, ...],
        peers: frozenset[Address],
        fleet: int,
        log: Any,
        timing: ProbeTiming = DEFAULT_TIMING,
    ) -> None:
        """Sets up the view.

        Args:
            me: This gateway's record, with the address by which other gateways reach it; its incarnation is
                set here.
            contacts: Addresses of the gateways to contact first.
        """
        self.transport, self.listen, self.peers, self.fleet, self.log = transport, listen, peers, fleet, log
        self.timing = timing
        # The wall time in milliseconds identifies a start. If the clock was set back, the gateway learns of
        # its later incarnation from the others.
        me = me._replace(
            incarnation=int(transport.wall_time() * 1000),
            refutation=0,
            state=MemberState.ALIVE,
            reported_by=me.member,
        )
        self.view = MembershipView(
            me, contacts, transport.now(), transport.random_stream("view").random, timing
        )
        self.dropped_datagrams: Counter[str] = Counter()
        self.handlers: dict[int, Callable[[Address, GossipMessage], None]] = {}
        self.stopped = False
        self._replies = 0
        self._last_logged = (me.incarnation, True)

    def start(self) -> None:
        """Starts to listen and to run the view.

        Raises:
            OSError: The address cannot be bound.
        """
        self._port = self.transport.datagrams(*self.listen, self._datagram_received)
        self.port = self._port.port
        self._tick()
        self.log.info(
            "membership view started",
            name=self.view.own.member,
            life=self.view.own.incarnation,
            port=self.port,
            fleet=self.fleet,
        )

    def stop(self) -> None:
        """Leaves the fleet: tells the other gateways and closes the port."""
        if not self.stopped:
            self.stopped = True
            self.view.leave()
            self._flush()
            self._port.close()

    def _tick(self) -> None:
        if self.stopped:
            return
        self.view.tick(self.transport.now())
        self._flush()
        self._replies = max(0, self._replies - MAX_REPLIES_PER_SECOND // TICKS_PER_PERIOD)
        self.transport.call_at(self.transport.now() + self.timing.period / TICKS_PER_PERIOD, self._tick)

    def _datagram_received(self, data: bytes, source: Address) -> None:
        try:
            message = decode(data, self.fleet)
        except GossipDecodeError as error:
            self.dropped_datagrams[str(error)] += 1
            return
        if message.kind == MessageKind.VIEW_QUERY:
            self._answer_query(message, source)
        elif self.peers and source not in self.peers:
            self.dropped_datagrams["from no peer"] += 1
        elif message.kind in self.handlers:
            self.handlers[message.kind](source, message)
        elif message.kind <= MessageKind.NACK:
            self.view.received(source, message)
            self._flush()

    def send(self, to: Address, message: GossipMessage) -> None:
        """Sends a message as a datagram."""
        self._port.send(to, encode(message, self.fleet))

    def _answer_query(self, query: GossipMessage, to: Address) -> None:
        if not to[0].startswith(LOOPBACK) or self._replies >= MAX_REPLIES_PER_SECOND:
            self.dropped_datagrams["not shown"] += 1
            return
        self._replies += 1
        reply = (
            history_page(self.view, query.cursor, self.transport.now())
            if query.target == HISTORY_TARGET
            else table_page(self.view, query.cursor)
        )
        self.send(to, reply)

    def _flush(self) -> None:
        out, self.view.outbox = self.view.outbox, []
        for to, message in out:
            self._port.send(to, encode(message, self.fleet))
        state = self.view.own.incarnation, self.view.settled
        if state != self._last_logged:
            self._last_logged = state
            self.log.info(
                "membership view",
                life=state[0],
                settled=state[1],
                alive=len(self.view.alive),
                apart=self.view.apart,
                minority=self.view.minority,
                duplicates=self.view.duplicates,
                dropped=dict(self.dropped_datagrams),
            )
