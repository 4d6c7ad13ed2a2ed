"""Relays for datagrams and streams between processes, which scripts of faults can disturb.

Parties are named as in scripts ("head 3", "list"). Each fault affects one direction, from one party to
another; overlapping cuts of one direction add up. A relay has its own random stream and counts what it
forwarded, as the checkers use no report of a gateway.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from gorsethread.simulation.membership_simulation import (
    DELAYED_PORTION,
    DUPLICATED_PORTION,
    LOST_PORTION,
    MAX_EXTRA_DELAY,
)
from gorsethread.transport.base import (
    Datagrams,
    Listener,
    Stream,
    StreamClosed,
    Transport,
    Unreachable,
)

Address = tuple[str, int]
Direction = tuple[str, str]  # sending party, receiving party
CONNECT_TIMEOUT_SECONDS = 1.0


@dataclass
class LinkFaults:
    """The current faults of each direction.

    cuts: number of active cuts. slow: additional delay in seconds.
    lossy: by party, the fraction of its datagrams that are lost in both directions.
    silences: every cut that has ended. mutes: when existing connections were muted.
    """

    cuts: Counter[Direction] = field(default_factory=Counter)
    slow: dict[Direction, float] = field(default_factory=dict)
    lossy: dict[str, float] = field(default_factory=dict)
    silences: list[tuple[Direction, float, float]] = field(default_factory=list)  # direction, from, until
    mutes: list[tuple[Direction, float]] = field(default_factory=list)
    _cut_since: dict[Direction, float] = field(default_factory=dict)

    def cut(self, directions: list[Direction], now: float) -> None:
        for direction in directions:
            if not self.cuts[direction]:
                self._cut_since[direction] = now
        self.cuts.update(directions)

    def heal(self, directions: list[Direction], now: float) -> None:
        self.cuts.subtract(directions)
        for direction in directions:
            if not self.cuts[direction]:
                self.silences.append((direction, self._cut_since.pop(direction, now), now))


class DatagramRelay:
    """Forwards datagrams between parties on loopback.

    public: the port at which the others reach each party. private: the port at which the party listens.
    """

    def __init__(
        self, transport: Transport, faults: LinkFaults, public: dict[str, int], private: dict[str, int]
    ) -> None:
        self.transport, self.chance, self.faults = transport, transport.random_stream("relay"), faults
        self.private = private
        self.bytes = self.datagrams = 0
        self._senders = {port: name for name, port in private.items()}
        self._ports: dict[str, Datagrams] = {
            name: transport.datagrams("127.0.0.1", port, self._handler(name)) for name, port in public.items()
        }

    def _handler(self, receiver: str) -> Callable[[bytes, Address], None]:
        return lambda data, source: self._forward(data, self._senders.get(source[1], ""), receiver)

    def _forward(self, data: bytes, sender: str, receiver: str) -> None:
        if not sender:
            return  # not from a party: a late datagram of a process that has ended
        self.bytes += len(data)
        self.datagrams += 1
        chance, faults = self.chance, self.faults
        for _ in range(2 if chance.random() < DUPLICATED_PORTION else 1):
            lost = max(LOST_PORTION, faults.lossy.get(sender, 0.0), faults.lossy.get(receiver, 0.0))
            if chance.random() < lost or faults.cuts[sender, receiver]:
                continue
            wait = chance.uniform(0.0, MAX_EXTRA_DELAY) if chance.random() < DELAYED_PORTION else 0.0
            wait += faults.slow.get((sender, receiver), 0.0)
            # Sent from the sender's public port, by which its peers know it.
            self.transport.call_at(
                self.transport.now() + wait,
                lambda: self._ports[sender].send(("127.0.0.1", self.private[receiver]), data),
            )

    def close(self) -> None:
        for port in self._ports.values():
            port.close()


class RelayedConnection:
    """Forwards the bytes of one connection in both directions, in order.

    While a direction is cut, its bytes are held and both sides stay open without receiving anything, as if
    the peer's machine had vanished.
    """

    def __init__(
        self,
        relay: "StreamRelay",
        directions: tuple[Direction, Direction],
        near: Stream,
        far: Stream,
        drops_held: bool,
    ) -> None:
        self.relay, self.directions, self.drops_held = relay, directions, drops_held
        self.ends = (near, far)
        self.muted = [False, False]  # bytes from the near side, from the far side
        self.over = False

    async def forward(self, side: int) -> None:
        """Forwards the bytes that the given side sends (0: near, 1: far) until the connection ends."""
        transport, direction, faults = self.relay.transport, self.directions[side], self.relay.faults
        try:
            while not self.over:
                data = await self.ends[side].read()
                if wait := faults.slow.get(direction, 0.0):
                    await transport.sleep(wait)
                held = False
                while faults.cuts[direction] and not self.over:
                    held = True
                    await transport.sleep(self.relay.check_interval)
                if held and self.drops_held:
                    break
                if not self.muted[side]:
                    self.ends[1 - side].write(data)
                    self.relay.bytes += len(data)
        except StreamClosed:
            # The end of the connection is delayed by a cut as bytes are.
            while faults.cuts[direction] and not self.over:
                await transport.sleep(self.relay.check_interval)
        self.close()

    def close(self) -> None:
        self.over = True
        for end in self.ends:
            end.close()
        self.relay.connections.pop(self, None)


class StreamRelay:
    """Listens for each route and forwards its connections to the party behind it.

    A caller's connection is forwarded only after the one to the party is established. So the relay closes the
    connections of a killed process, as the process itself would refuse them.

    calls: (time, caller, called party) of every accepted connection, for the checkers.
    """

    check_interval = 0.02  # seconds between checks whether a cut has ended

    def __init__(self, transport: Transport, faults: LinkFaults) -> None:
        self.transport, self.faults = transport, faults
        self.connections: dict[RelayedConnection, None] = {}  # emptied as connections end
        self.calls: list[tuple[float, str, str]] = []
        self.bytes = 0
        self._listeners: list[Listener] = []

    def add_route(
        self,
        caller: str | Callable[[Stream, bytes], str],
        called: str,
        at: Address,
        behind: Address,
        drops_held: bool = False,
    ) -> None:
        """Listens at `at` and forwards each connection from `caller` to `called`, which listens at `behind`.

        `caller` is a party's name, or a function that derives it from the stream and its first bytes.
        drops_held: once a cut is over, a connection whose bytes it held is closed and the bytes are
        discarded. Were they delivered late, a checker could not tell when they had been sent.
        """
        identify = (lambda stream, first: caller) if isinstance(caller, str) else caller
        self._listeners.append(
            self.transport.listen(*at, self._handler(identify, called, behind, drops_held))
        )

    def _handler(
        self,
        identify: Callable[[Stream, bytes], str],
        called: str,
        behind: Address,
        drops_held: bool,
    ) -> Callable[[Stream], Awaitable[None]]:
        async def handle(near: Stream) -> None:
            accepted_at = self.transport.now()
            try:
                first = await near.read()  # the caller always sends first
                caller = identify(near, first)
                self.calls.append((accepted_at, caller, called))
                # While a direction is cut, a new connection stays open without an answer; it is not refused.
                held = False
                while self.faults.cuts[caller, called] or self.faults.cuts[called, caller]:
                    held = True
                    await self.transport.sleep(self.check_interval)
                if held and drops_held or not near.is_idle():
                    raise StreamClosed("the caller gave up or the cut dropped the connection")
                far = await self.transport.connect(*behind, CONNECT_TIMEOUT_SECONDS)
            except (Unreachable, StreamClosed):
                near.close()
                return
            if wait := self.faults.slow.get((caller, called), 0.0):
                await self.transport.sleep(wait)
            far.write(first)
            self.bytes += len(first)
            directions = ((caller, called), (called, caller))
            connection = RelayedConnection(self, directions, near, far, drops_held)
            self.connections[connection] = None
            self.transport.spawn(connection.forward(1))
            await connection.forward(0)

        return handle

    def mute(self, sender: str, receiver: str) -> None:
        """Discards all further bytes from sender to receiver on the connections that exist now.

        It does not matter who opened them.
        """
        self.faults.mutes.append(((sender, receiver), self.transport.now()))
        for connection in self.connections:
            for side, direction in enumerate(connection.directions):
                connection.muted[side] |= direction == (sender, receiver)

    def reset(self, first: str, second: str) -> None:
        """Closes the connections between two parties; bytes in transit are lost."""
        for connection in list(self.connections):
            if {first, second} == set(connection.directions[0]):
                connection.close()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for connection in list(self.connections):
            connection.close()
