"""Follows discovery by its watch; a failed call is told to the decisions, which say when to ask again."""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec

from gorsethread.errors import GorsethreadError
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.linktable import LinkTable
from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import InvalidResponseError
from gorsethread.http_gateway.config import Address, Naming, Unusable, address_of
from gorsethread.http_gateway.listing import Instance, ListAnswer
from gorsethread.http_gateway.pool import ConnectionPool
from gorsethread.transport.base import Stream, StreamClosed, StreamEnded, Transport, Unreachable

CONNECT_WITHIN = 2.0  # seconds: a system that got no answer asks for a connection again after one
SPACED = 0.1  # seconds between calls that bring nothing new; a watch goes on for twice as long
# Of the longest that a call may wait: each is drawn, or the calls of all gateways, which a change of the list
# answers at once, stay in step, and where all fall silent all gateways notice in one moment.
SHORTEST_WAIT = 0.5
# Seconds from a call's beginning, its connection's coming up among them, to its answer. A crowded service
# answers a second or two behind a call's wait; a silent one has to show early enough for the next call.
CALL_WITHIN = 4.2
NO_WAIT = 0.001  # seconds that a call waits which is to be answered at once


class Failed(GorsethreadError):
    """A call brought nothing that can be believed."""

    action = "See what discovery answers at its address; the head keeps the list it has and asks again."


def backend_number(instance: str) -> int:
    """The same at every gateway and after every restart, as the decisions rank backends by it."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=7).digest())


async def read_answer(stream: Stream, asking: ClientCodec) -> Response:
    """The answer to what was asked on that stream, also one that ends with its connection."""
    answer: Response | None = None
    while answer is None:
        try:
            answer = asking.feed(await stream.read())
        except StreamEnded:
            answer = asking.ended()
            if answer is None:
                raise
    return answer


class Discovery:
    """wait: seconds that a call may wait for news at most. driver and pool are set before start()."""

    def __init__(
        self, transport: Transport, address: Address, naming: Naming, links: LinkTable, wait: float, log: Any
    ) -> None:
        self.transport, self.address, self.naming, self.links = transport, address, naming, links
        self.wait, self.log, self.chance = wait, log, transport.chance("discovery")
        self.driver: Driver
        self.pool: ConnectionPool
        self.version = 0
        self.known: dict[int, Instance] = {}  # emptied as backends leave the list
        # Between the Unix clock, which discovery tells starts by, and the gateway's: fixed, so that one start
        # told twice is one start.
        self._clocks = transport.wall() - transport.now()
        self._stream: Stream | None = None
        self._asking = False
        # Called once, at the first answer or failure. None: nobody waits for that, or no more.
        self.first_call_over: Callable[[], None] | None = None
        self._call_began = 0.0
        self._whole = False  # the next call asks for the whole list
        self._moved = False
        self._heard = False  # an answer on the watch that is open
        self.stopped = False

    def start(self, known: ListAnswer) -> None:
        """known: the list as this process last had it; changes build on it only where it was whole."""
        self.version = known.generation
        self._whole = not known.reset
        self._pass_on(known.instances, True, True)

    def follow(self) -> None:
        """The decisions ask for the list and its changes; a failure comes back to them as a refusal."""
        if not self._asking and not self.stopped:
            self._asking = True
            self.transport.spawn(self._follow())

    def moved(self, address: Address) -> None:
        """Discovery is at another address now: the watch goes on there at once."""
        self.address = address
        # Refusals by the old service say nothing of the new one, and would lengthen the pause if it fails.
        self.driver.listed([], False, False)
        if self._asking:
            self._moved = True
            self._end_call()
        else:
            self.follow()

    def stop(self) -> None:
        self.stopped = True
        self._end_call()

    def _first_call_is_over(self) -> None:
        waiting, self.first_call_over = self.first_call_over, None
        if waiting is not None:
            waiting()

    def _end_call(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def _follow(self) -> None:
        while not self.stopped:
            self._moved = False
            try:
                await self._watch()
            except (Unreachable, StreamClosed, InvalidResponseError, Failed) as error:
                if self._moved:
                    continue
                self._asking = False
                if not self.stopped:
                    if not self._whole:  # else what is known is asked for once more, and whole
                        self._first_call_is_over()
                    self.log.info("the list is not followed", reason=str(error)[:200])
                    self.driver.list_refused(self.transport.now() - self._call_began)
                return
            finally:
                self._end_call()
                self._stream = None

    async def _watch(self) -> None:
        """One call after the other on one connection, until one fails."""
        address = self.address
        self._call_began = self.transport.now()
        stream = self._stream = await self.transport.connect(*address, CONNECT_WITHIN)
        self.log.info("the list is watched", since=self.version)
        self._heard = False
        asking = ClientCodec()
        while not self.stopped and address == self.address:
            target = b"/v1/servers"
            wait = self.chance.uniform(SHORTEST_WAIT, 1.0) * self.wait
            if self.first_call_over is not None:
                wait = NO_WAIT  # what is known already is asked for, not what comes
            if not self._whole:
                target += b"?since=%d&timeout_ms=%d" % (self.version, round(wait * 1000))
            host = f"{address[0]}:{address[1]}".encode()
            stream.write(asking.request(b"GET", target, [(b"host", host)], b""))
            # Guards against a machine that vanished without a word: the gateway would be deaf to drains.
            timer = self.transport.at(self._call_began + CALL_WITHIN, stream.close)
            try:
                answer = await read_answer(stream, asking)
            finally:
                timer.cancel()
            if address != self.address:
                return  # the old service still spoke in the turn in which the watch was moved
            if not self._take(answer) and self.transport.now() < self._call_began + SPACED:
                # Guards against a service that answers at once with nothing new; the watch still goes on.
                await self.transport.sleep(SPACED)
            self._call_began = self.transport.now()
            if answer.closes_connection:
                stream.close()
                stream = self._stream = await self.transport.connect(*address, CONNECT_WITHIN)
                asking = ClientCodec()

    def _take(self, answer: Response) -> bool:
        """Whether it was news."""
        if answer.status != 200:
            raise Failed(f"status {answer.status}")
        try:
            told: ListAnswer = msgspec.json.decode(answer.body, type=ListAnswer)
            for s in told.instances:
                address_of(s.host_port, s.instance_id)
        except (msgspec.DecodeError, Unusable) as error:
            raise Failed(str(error)) from None
        if told.generation < self.version and not self._whole:
            # Older than what is known: nothing of it is believed, but if the service counts anew since it
            # came back, the whole list asked for next says so.
            self._whole = True
            raise Failed(f"generation {told.generation} after {self.version}")
        if not told.reset and self._whole:
            raise Failed("changes in place of the whole list")
        news = told.generation != self.version
        self._whole = False
        self.version = told.generation
        # The decisions are told that a watch stands also where it brings nothing new: else they would go on
        # counting refusals of long ago, and wait after the next silence as after many.
        if told.instances or told.reset or not self._heard:
            self._heard = True
            self.log.info(
                "list",
                generation=told.generation,
                whole=told.reset,
                backends={s.instance_id: s.lifecycle for s in told.instances[:20]},
            )
            self._pass_on(told.instances, told.reset, False)
        self._first_call_is_over()
        return news

    def _pass_on(self, instances: list[Instance], whole: bool, remembered: bool) -> None:
        if whole:
            self.known = {}
        entries, unready = [], {}
        for s in instances:
            number = backend_number(s.instance_id)
            if s.lifecycle == "gone":
                self.known.pop(number, None)
            else:
                self.known[number] = s
            self.links.listed(number, s.cell, address_of(s.host_port, s.instance_id), s.lifecycle)
            since = s.started_at_ms * 0.001 - self._clocks if s.started_at_ms > 0 else 0.0
            zone = self.naming.zones.get(s.zone, backend_number(s.zone))
            unready[number] = s.lifecycle != "ready"
            entries.append((number, zone, s.cell, s.lifecycle == "ready", since))
        if whole:
            self.links.only(set(self.known))
            unready = {number: unready.get(number, True) for number in self.pool.links}
        else:
            self.links.forget_idle()
        self.pool.withdraw(unready)
        self.driver.listed(entries, whole, remembered)
