"""Ways between processes that a script can spoil: datagrams and streams, each way on its own.

Parties are named as in scripts ("head 3", "list"). Every fault is of one direction, from a party to another,
and adds up where two name the same one. What a relay does is drawn from its own chance, and it counts what
passed, as judges believe nothing that a process says of itself.
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
Way = tuple[str, str]  # from one party to another
CONNECT_WITHIN = 1.0  # seconds


@dataclass
class Faults:
    """What is wrong with each way now. cuts: how many hold it shut; slow: seconds that all on it waits more;
    lossy: of a party, the part of its datagrams lost both ways. silences: every cut that is over; mutes: when
    connections were made to carry nothing more."""

    cuts: Counter[Way] = field(default_factory=Counter)
    slow: dict[Way, float] = field(default_factory=dict)
    lossy: dict[str, float] = field(default_factory=dict)
    silences: list[tuple[Way, float, float]] = field(default_factory=list)  # way, from, until
    mutes: list[tuple[Way, float]] = field(default_factory=list)
    _since: dict[Way, float] = field(default_factory=dict)

    def cut(self, ways: list[Way], now: float) -> None:
        for way in ways:
            if not self.cuts[way]:
                self._since[way] = now
        self.cuts.update(ways)

    def heal(self, ways: list[Way], now: float) -> None:
        self.cuts.subtract(ways)
        for way in ways:
            if not self.cuts[way]:
                self.silences.append((way, self._since.pop(way, now), now))


class DatagramRelay:
    """A port for each party, by which the others know it. private: the party's own port, all on loopback."""

    def __init__(
        self, transport: Transport, faults: Faults, public: dict[str, int], private: dict[str, int]
    ) -> None:
        self.transport, self.chance, self.faults = transport, transport.random_stream("relay"), faults
        self.private = private
        self.bytes = self.datagrams = 0
        self._senders = {port: name for name, port in private.items()}
        self._ports: dict[str, Datagrams] = {
            name: transport.datagrams("127.0.0.1", port, self._taker(name)) for name, port in public.items()
        }

    def _taker(self, other: str) -> Callable[[bytes, Address], None]:
        return lambda data, source: self._pass(data, self._senders.get(source[1], ""), other)

    def _pass(self, data: bytes, one: str, other: str) -> None:
        if not one:
            return  # no party's: a late one of a process that is gone
        self.bytes += len(data)
        self.datagrams += 1
        c, faults = self.chance, self.faults
        for _ in range(2 if c.random() < DUPLICATED_PORTION else 1):
            lost = max(LOST_PORTION, faults.lossy.get(one, 0.0), faults.lossy.get(other, 0.0))
            if c.random() < lost or faults.cuts[one, other]:
                continue
            wait = c.uniform(0.0, MAX_EXTRA_DELAY) if c.random() < DELAYED_PORTION else 0.0
            wait += faults.slow.get((one, other), 0.0)
            # It seems to come from the sender's own port here, as its peers know it.
            self.transport.call_at(
                self.transport.now() + wait,
                lambda: self._ports[one].send(("127.0.0.1", self.private[other]), data),
            )

    def close(self) -> None:
        for port in self._ports.values():
            port.close()


class Pair:
    """One connection led through: what comes on one side goes out on the other, in order, unless its way is
    cut: then it is held, and both sides stay open and hear nothing, as where a machine vanished."""

    def __init__(
        self, relay: "StreamRelay", ways: tuple[Way, Way], near: Stream, far: Stream, loses: bool
    ) -> None:
        self.relay, self.ways, self.loses = relay, ways, loses
        self.ends = (near, far)
        self.muted = [False, False]  # from the near side, from the far one
        self.over = False

    async def lead(self, side: int) -> None:
        """From that side to the other."""
        transport, way, faults = self.relay.transport, self.ways[side], self.relay.faults
        try:
            while not self.over:
                data = await self.ends[side].read()
                if wait := faults.slow.get(way, 0.0):
                    await transport.sleep(wait)
                held = False
                while faults.cuts[way] and not self.over:
                    held = True
                    await transport.sleep(self.relay.look)
                if held and self.loses:
                    break
                if not self.muted[side]:
                    self.ends[1 - side].write(data)
                    self.relay.bytes += len(data)
        except StreamClosed:
            # An end gets through as late as bytes would.
            while faults.cuts[way] and not self.over:
                await transport.sleep(self.relay.look)
        self.close()

    def close(self) -> None:
        self.over = True
        for end in self.ends:
            end.close()
        self.relay.pairs.pop(self, None)


class StreamRelay:
    """A listener for each way in. Kept apart from what listens behind it, so a process that is killed is
    refused here as it would be there: no connection is taken before the one behind stands.

    calls: (when, who called, whom), of every connection that came, for judges."""

    look = 0.02  # seconds between looks at whether a way is open again

    def __init__(self, transport: Transport, faults: Faults) -> None:
        self.transport, self.faults = transport, faults
        self.pairs: dict[Pair, None] = {}  # emptied as connections end
        self.calls: list[tuple[float, str, str]] = []
        self.bytes = 0
        self._listeners: list[Listener] = []

    def way(
        self,
        one: str | Callable[[Stream, bytes], str],
        other: str,
        at: Address,
        behind: Address,
        loses: bool = False,
    ) -> None:
        """Who connects to `at` is `one`, or who its stream and first bytes say it is, and is led to `other`,
        who listens at `behind`. loses: what a cut holds is lost, with its connection, once it is over: where
        it came late a judge could not tell when it was sent."""
        says = (lambda stream, first: one) if isinstance(one, str) else one
        self._listeners.append(self.transport.listen(*at, self._taker(says, other, behind, loses)))

    def _taker(
        self,
        says: Callable[[Stream, bytes], str],
        other: str,
        behind: Address,
        loses: bool,
    ) -> Callable[[Stream], Awaitable[None]]:
        async def take(near: Stream) -> None:
            came = self.transport.now()
            try:
                first = await near.read()  # who connects speaks first
                one = says(near, first)
                self.calls.append((came, one, other))
                # A way that is cut takes no new connection to its end: it hears nothing, also no refusal.
                held = False
                while self.faults.cuts[one, other] or self.faults.cuts[other, one]:
                    held = True
                    await self.transport.sleep(self.look)
                if held and loses or not near.is_idle():
                    raise StreamClosed("given up meanwhile")
                far = await self.transport.connect(*behind, CONNECT_WITHIN)
            except (Unreachable, StreamClosed):
                near.close()
                return
            if wait := self.faults.slow.get((one, other), 0.0):
                await self.transport.sleep(wait)
            far.write(first)
            self.bytes += len(first)
            pair = Pair(self, ((one, other), (other, one)), near, far, loses)
            self.pairs[pair] = None
            self.transport.spawn(pair.lead(1))
            await pair.lead(0)

        return take

    def mute(self, one: str, other: str) -> None:
        """Of the connections that stand now, whoever opened them: no byte that way any more, nor an end."""
        self.faults.mutes.append(((one, other), self.transport.now()))
        for pair in self.pairs:
            for side, way in enumerate(pair.ways):
                pair.muted[side] |= way == (one, other)

    def reset(self, one: str, other: str) -> None:
        """Ends the connections between two parties, with what is on the way."""
        for pair in list(self.pairs):
            if {one, other} == set(pair.ways[0]):
                pair.close()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
        for pair in list(self.pairs):
            pair.close()
