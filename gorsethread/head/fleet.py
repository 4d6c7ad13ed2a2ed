"""Carries a head's view of the fleet: datagrams both ways, ticks, an operator's question. Decides nothing."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from gorsethread.membership.gossip_messages import (
    PAST,
    Address,
    Kind,
    Message,
    State,
    Unreadable,
    Word,
    read,
    write,
)
from gorsethread.membership.view import USUAL_PACE, Pace, View
from gorsethread.transport.base import Transport

TICKS = 10  # a period
LOOPBACK = "127."  # operators ask on this machine only
SHOWN_MOST = 50  # pieces of the view shown a second


class FleetSide:
    """me: this head's name and place, its address as the others reach it; its life is this start. listen:
    where datagrams come in. peers: where others' may come from; none: anywhere."""

    def __init__(
        self,
        transport: Transport,
        me: Word,
        listen: Address,
        contacts: tuple[Address, ...],
        peers: frozenset[Address],
        fleet: int,
        log: Any,
        pace: Pace = USUAL_PACE,
    ) -> None:
        self.transport, self.listen, self.peers, self.fleet, self.log = transport, listen, peers, fleet, log
        self.pace = pace
        # Milliseconds of the wall clock name a start; one whose clock was set back hears it from the others.
        me = me._replace(life=int(transport.wall() * 1000), incarnation=0, state=State.ALIVE, by=me.name)
        self.view = View(me, contacts, transport.now(), transport.chance("view").random, pace)
        self.wrong: Counter[str] = Counter()  # by reason; as many as there are reasons
        # What else comes from peers on this port, by kind; what is of no kind here is dropped.
        self.also: dict[int, Callable[[Address, Message], None]] = {}
        self.stopped = False
        self._shown = 0
        self._told = (me.life, True)

    def start(self) -> None:
        """OSError where its address can't be had."""
        self._port = self.transport.datagrams(*self.listen, self._came)
        self.port = self._port.port
        self._tick()
        self.log.info(
            "fleet's view begins",
            name=self.view.me.name,
            life=self.view.me.life,
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
        self.transport.at(self.transport.now() + self.pace.period / TICKS, self._tick)

    def _came(self, data: bytes, source: Address) -> None:
        try:
            message = read(data, self.fleet)
        except Unreadable as error:
            self.wrong[str(error)] += 1
            return
        if message.kind == Kind.SHOW:
            self._show(message, source)
        elif self.peers and source not in self.peers:
            self.wrong["from no peer"] += 1
        elif message.kind in self.also:
            self.also[message.kind](source, message)
        elif message.kind <= Kind.NACK:
            self.view.heard(source, message)
            self._flush()

    def send(self, to: Address, message: Message) -> None:
        self._port.send(to, write(message, self.fleet))

    def _show(self, asked: Message, to: Address) -> None:
        if not to[0].startswith(LOOPBACK) or self._shown >= SHOWN_MOST:
            self.wrong["not shown"] += 1
            return
        self._shown += 1
        past = asked.target == PAST
        said = self.view.past(asked.cursor, self.transport.now()) if past else self.view.show(asked.cursor)
        self.send(to, said)

    def _flush(self) -> None:
        out, self.view.out = self.view.out, []
        for to, message in out:
            self._port.send(to, write(message, self.fleet))
        now = self.view.me.life, self.view.settled
        if now != self._told:
            self._told = now
            self.log.info(
                "fleet's view",
                life=now[0],
                settled=now[1],
                alive=len(self.view.alive),
                apart=self.view.apart,
                minority=self.view.minority,
                doubles=self.view.doubles,
                wrong=dict(self.wrong),
            )
