"""Follows discovery's endpoint list by a watch; the scheduler says when to try again after a failure."""

from collections.abc import Callable
from typing import Any

from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import InvalidResponseError
from gorsethread.http_gateway.addresses import Address
from gorsethread.http_gateway.endpoint_list import DiscoveryError, ListAnswer, decode_list
from gorsethread.http_gateway.endpoint_updates import EndpointUpdates
from gorsethread.transport.base import Stream, StreamClosed, StreamEnded, Transport, Unreachable

LIST_PATH = b"/v1/servers"  # the operators' name
CONNECT_TIMEOUT_SECONDS = 2.0  # a system that got no answer asks for a connection again after one
SPACING_SECONDS = 0.1  # between calls that bring nothing new; a watch goes on for twice as long
# Of the longest that a call may wait. Each wait is drawn: a change of the list answers the calls of all
# gateways at once, which would stay in step from then on.
SHORTEST_WAIT_PART = 0.5
# From a call's beginning, its connection's coming up included, to its answer. A crowded service answers a
# second or two behind a call's wait; a silent one has to show early enough for the next call.
CALL_TIMEOUT_SECONDS = 4.2
NO_WAIT_SECONDS = 0.001  # that a call waits which is to be answered at once
REASON_LENGTH_MOST = 200  # characters of a reason that is logged
LOGGED_BACKENDS_MOST = 20


async def read_answer(stream: Stream, codec: ClientCodec) -> Response:
    """The answer to the request written on that stream, also one that ends with its connection."""
    answer: Response | None = None
    while answer is None:
        try:
            answer = codec.feed(await stream.read())
        except StreamEnded:
            answer = codec.ended()
            if answer is None:
                raise
    return answer


class Discovery:
    """Keeps one watch open and applies its answers.

    Owns the watch's connection, closed as the watch fails, moves or stops.

    Args:
        transport: the clock, the connections and the draws.
        address: where discovery is.
        updates: what applies the lists; set up before start().
        wait: seconds that a call may wait for a change at most.
        log: for structured events.
    """

    def __init__(
        self, transport: Transport, address: Address, updates: EndpointUpdates, wait: float, log: Any
    ) -> None:
        self.transport = transport
        self.address = address
        self.updates = updates
        self.wait = wait
        self.log = log
        self.chance = transport.chance("discovery")
        self.version = 0
        self.stopped = False
        # Called once, at the first answer or failure. None: nobody waits for that, or no more.
        self.first_call_over: Callable[[], None] | None = None
        self._stream: Stream | None = None
        self._watching = False
        self._call_began = 0.0
        self._needs_complete = False  # the next call asks for the complete list
        self._moved = False
        self._answered = False  # an answer came on the watch that is open

    def start(self, known: ListAnswer) -> None:
        """Begins with the list as this process last had it; changes build on it only if it was complete."""
        self.version = known.generation
        self._needs_complete = not known.reset
        self.updates.apply(known.instances, True, True)

    def follow(self) -> None:
        """The scheduler asks for the list and its changes; a failure is returned to it as a refusal."""
        if not self._watching and not self.stopped:
            self._watching = True
            self.transport.spawn(self._follow())

    def moved(self, address: Address) -> None:
        """Discovery is at another address now: the watch goes on there at once."""
        self.address = address
        # Refusals by the old service say nothing of the new one, and would lengthen the backoff if it fails.
        self.updates.driver.endpoints_listed([], False, False)
        if self._watching:
            self._moved = True
            self._close_stream()
        else:
            self.follow()

    def stop(self) -> None:
        """Ends the watch for good."""
        self.stopped = True
        self._close_stream()

    def _end_first_call(self) -> None:
        waiting = self.first_call_over
        self.first_call_over = None
        if waiting is not None:
            waiting()

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def _follow(self) -> None:
        """Watches until a failure, which the scheduler hears of; goes on at once where discovery moved."""
        while not self.stopped:
            self._moved = False
            try:
                await self._watch()
            except (Unreachable, StreamClosed, InvalidResponseError, DiscoveryError) as error:
                if self._moved:
                    continue
                self._watch_failed(str(error))
                return
            finally:
                self._close_stream()
                self._stream = None

    def _watch_failed(self, reason: str) -> None:
        self._watching = False
        if self.stopped:
            return
        if not self._needs_complete:  # else the list is asked for once more, and complete
            self._end_first_call()
        self.log.info("endpoint list watch failed", reason=reason[:REASON_LENGTH_MOST])
        self.updates.driver.endpoint_poll_failed(self.transport.now() - self._call_began)

    async def _watch(self) -> None:
        """One call after the other on one connection, until one fails."""
        address = self.address
        self._call_began = self.transport.now()
        stream = await self._connect(address)
        self.log.info("endpoint list watch begins", since=self.version)
        self._answered = False
        codec = ClientCodec()
        while not self.stopped and address == self.address:
            answer = await self._call(stream, codec, address)
            if address != self.address:
                return  # the old service still answered as the watch was moved
            if not self._take(answer) and self.transport.now() < self._call_began + SPACING_SECONDS:
                # A service that answers at once with nothing new must not be asked without a pause.
                await self.transport.sleep(SPACING_SECONDS)
            self._call_began = self.transport.now()
            if answer.closes_connection:
                stream.close()
                stream = await self._connect(address)
                codec = ClientCodec()

    async def _connect(self, address: Address) -> Stream:
        stream = await self.transport.connect(*address, CONNECT_TIMEOUT_SECONDS)
        self._stream = stream
        return stream

    async def _call(self, stream: Stream, codec: ClientCodec, address: Address) -> Response:
        host = f"{address[0]}:{address[1]}".encode()
        stream.write(codec.request(b"GET", self._target(), [(b"host", host)], b""))
        # A machine that vanished sends no end: the gateway would hear of no drain.
        timer = self.transport.call_at(self._call_began + CALL_TIMEOUT_SECONDS, stream.close)
        try:
            return await read_answer(stream, codec)
        finally:
            timer.cancel()

    def _target(self) -> bytes:
        wait = self.chance.uniform(SHORTEST_WAIT_PART, 1.0) * self.wait
        if self.first_call_over is not None:
            wait = NO_WAIT_SECONDS  # asks for what is known already, not for what comes
        if self._needs_complete:
            return LIST_PATH
        return LIST_PATH + b"?since=%d&timeout_ms=%d" % (self.version, round(wait * 1000))

    def _take(self, answer: Response) -> bool:
        """Believes an answer and applies it; whether it brought a new version.

        Raises DiscoveryError where it can't be believed.
        """
        if answer.status != 200:
            raise DiscoveryError(f"status {answer.status}")
        listed = decode_list(answer.body)
        self._check_version(listed)
        changed = listed.generation != self.version
        self._needs_complete = False
        self.version = listed.generation
        # The scheduler is notified also of the first answer without changes, which ends its backoff.
        if listed.instances or listed.reset or not self._answered:
            self._answered = True
            self.log.info(
                "endpoint list",
                generation=listed.generation,
                complete=listed.reset,
                backends={one.instance_id: one.lifecycle for one in listed.instances[:LOGGED_BACKENDS_MOST]},
            )
            self.updates.apply(listed.instances, listed.reset, False)
        self._end_first_call()
        return changed

    def _check_version(self, listed: ListAnswer) -> None:
        if listed.generation < self.version and not self._needs_complete:
            # Older than what is known. If the service counts anew since it came back, the complete list that
            # is asked for next shows it.
            self._needs_complete = True
            raise DiscoveryError(f"generation {listed.generation} after {self.version}")
        if not listed.reset and self._needs_complete:
            raise DiscoveryError("changes in place of the complete list")
