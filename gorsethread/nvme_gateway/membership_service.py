"""Carries a head's view of the fleet: datagrams both ways, ticks, an operator's question. Decides nothing."""

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

TICKS = 10  # a period
LOOPBACK = "127."  # operators ask on this machine only
SHOWN_MOST = 50  # pieces of the view shown a second


class MembershipService:
    """me: this head's name and place, its address as the others reach it; its life is this start. listen:
    where datagrams come in. peers: where others' may come from; none: anywhere."""

    def __init__(
        self,
        transport: Transport,
        me: MemberRecord,
        listen: Address,
        contacts: tuple[Address, ...],
        peers: frozenset[Address],
        fleet: int,
        log: Any,
        pace: ProbeTiming = DEFAULT_TIMING,
    ) -> None:
        self.transport, self.listen, self.peers, self.fleet, self.log = transport, listen, peers, fleet, log
        self.pace = pace
        # Milliseconds of the wall clock name a start; one whose clock was set back hears it from the others.
        me = me._replace(
            incarnation=int(transport.wall_time() * 1000),
            refutation=0,
            state=MemberState.ALIVE,
            reported_by=me.member,
        )
        self.view = MembershipView(
            me, contacts, transport.now(), transport.random_stream("view").random, pace
        )
        self.wrong: Counter[str] = Counter()  # by reason; as many as there are reasons
        # What else comes from peers on this port, by kind; what is of no kind here is dropped.
        self.also: dict[int, Callable[[Address, GossipMessage], None]] = {}
        self.stopped = False
        self._shown = 0
        self._told = (me.incarnation, True)

    def start(self) -> None:
        """OSError where its address can't be had."""
        self._port = self.transport.datagrams(*self.listen, self._came)
        self.port = self._port.port
        self._tick()
        self.log.info(
            "fleet's view begins",
            name=self.view.own.member,
            life=self.view.own.incarnation,
            port=self.port,
            fleet=self.fleet,
        )

    def stop(self) -> None:
        """In order: the others are told."""
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
        self._shown = max(0, self._shown - SHOWN_MOST // TICKS)
        self.transport.call_at(self.transport.now() + self.pace.period / TICKS, self._tick)

    def _came(self, data: bytes, source: Address) -> None:
        try:
            message = decode(data, self.fleet)
        except GossipDecodeError as error:
            self.wrong[str(error)] += 1
            return
        if message.kind == MessageKind.VIEW_QUERY:
            self._show(message, source)
        elif self.peers and source not in self.peers:
            self.wrong["from no peer"] += 1
        elif message.kind in self.also:
            self.also[message.kind](source, message)
        elif message.kind <= MessageKind.NACK:
            self.view.received(source, message)
            self._flush()

    def send(self, to: Address, message: GossipMessage) -> None:
        self._port.send(to, encode(message, self.fleet))

    def _show(self, asked: GossipMessage, to: Address) -> None:
        if not to[0].startswith(LOOPBACK) or self._shown >= SHOWN_MOST:
            self.wrong["not shown"] += 1
            return
        self._shown += 1
        past = asked.target == HISTORY_TARGET
        said = (
            history_page(self.view, asked.cursor, self.transport.now())
            if past
            else table_page(self.view, asked.cursor)
        )
        self.send(to, said)

    def _flush(self) -> None:
        out, self.view.outbox = self.view.outbox, []
        for to, message in out:
            self._port.send(to, encode(message, self.fleet))
        now = self.view.own.incarnation, self.view.settled
        if now != self._told:
            self._told = now
            self.log.info(
                "fleet's view",
                life=now[0],
                settled=now[1],
                alive=len(self.view.alive),
                apart=self.view.apart,
                minority=self.view.minority,
                doubles=self.view.duplicates,
                wrong=dict(self.wrong),
            )
