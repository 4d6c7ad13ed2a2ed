"""Watches discovery's endpoint list; after a failure, the scheduler decides when to poll again."""

from collections.abc import Callable
from typing import Any

from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import InvalidResponseError
from gorsethread.http_gateway.addresses import Address
from gorsethread.http_gateway.endpoint_list import DiscoveryError, ListAnswer, decode_list
from gorsethread.http_gateway.endpoint_updates import EndpointUpdates
from gorsethread.transport.base import Stream, StreamClosed, StreamEnded, Transport, Unreachable

LIST_PATH = b"/v1/servers"  # the operators' path
CONNECT_TIMEOUT_SECONDS = 2.0  # the system retries an unanswered connect after one second
# Pause after a call that returned nothing new within this time. A watch counts as unbroken for twice as
# long.
CALL_SPACING_SECONDS = 0.1
# Of the longest wait of a call. Each wait is drawn at random: a change of the list answers the calls of all
# gateways at the same time, and with equal waits they would stay synchronized from then on.
MIN_WAIT_FRACTION = 0.5
# From the start of a call, including its connect, to its answer. An overloaded service answers a second or
# two after the call's wait is over; a silent one has to be noticed early enough for the next call.
CALL_TIMEOUT_SECONDS = 4.2
NO_WAIT_SECONDS = 0.001  # the wait of a call that is to be answered at once
MAX_REASON_LENGTH = 200  # characters of a logged reason
MAX_LOGGED_BACKENDS = 20


async def read_answer(stream: Stream, codec: ClientCodec) -> Response:
    """Reads the answer to the request written to the stream, also one that ends with the connection."""
    answer: Response | None = None
    while answer is None:
        try:
            answer = codec.feed(await stream.read())
        except StreamEnded:
            answer = codec.connection_ended()
            if answer is None:
                raise
    return answer


class Discovery:
    """Keeps one watch on the endpoint list open and applies its answers.

    The watch is a sequence of calls on one connection, each of which waits for a change. The connection is
    closed when the watch fails, moves or stops.

    Args:
        transport: the clock, the connections and the random draws.
        address: discovery's address.
        updates: applies the lists; its driver and pool have to be set before start().
        wait: the longest time that a call may wait for a change, in seconds.
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
        self.chance = transport.random_stream("discovery")
        self.version = 0
        self.stopped = False
        # Called once, after the first answer or failure; None if not set, or after that call.
        self.on_first_call_ended: Callable[[], None] | None = None
        self._stream: Stream | None = None
        self._watching = False
        self._call_began = 0.0
        self._needs_complete = False  # the next call has to ask for the complete list
        self._moved = False
        self._answered = False  # the open watch has received an answer

    def start(self, known: ListAnswer) -> None:
        """Applies the list from the configuration; changes can be applied to it only if it is complete."""
        self.version = known.generation
        self._needs_complete = not known.reset
        self.updates.apply(known.instances, True, True)

    def follow(self) -> None:
        """Starts the watch unless it is open; a failure is reported to the scheduler as a failed poll."""
        if not self._watching and not self.stopped:
            self._watching = True
            self.transport.spawn(self._follow())

    def move_to(self, address: Address) -> None:
        """Moves the watch to another address at once."""
        self.address = address
        # An empty list of changes ends the scheduler's backoff. Failures of the old service say nothing about
        # the new one, and would lengthen the backoff if that fails too.
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
        callback = self.on_first_call_ended
        self.on_first_call_ended = None
        if callback is not None:
            callback()

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()

    async def _follow(self) -> None:
        """Watches until a failure, which is reported to the scheduler; after a move, watches on at once."""
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
        if not self._needs_complete:  # otherwise a call for the complete list follows
            self._end_first_call()
        self.log.info("endpoint list watch failed", reason=reason[:MAX_REASON_LENGTH])
        self.updates.driver.endpoint_poll_failed(self.transport.now() - self._call_began)

    async def _watch(self) -> None:
        """Makes one call after the other on one connection, until one fails or the watch moves."""
        address = self.address
        self._call_began = self.transport.now()
        stream = await self._connect(address)
        self.log.info("endpoint list watch begins", since=self.version)
        self._answered = False
        codec = ClientCodec()
        while not self.stopped and address == self.address:
            answer = await self._call(stream, codec, address)
            if address != self.address:
                return  # the old service answered as the watch was moved
            if (
                not self._apply_answer(answer)
                and self.transport.now() < self._call_began + CALL_SPACING_SECONDS
            ):
                # A service that answers at once with nothing new must not be called without a pause.
                await self.transport.sleep(CALL_SPACING_SECONDS)
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
        # A machine that vanished does not end the connection: without a timeout the gateway would learn of no
        # drain.
        timer = self.transport.call_at(self._call_began + CALL_TIMEOUT_SECONDS, stream.close)
        try:
            return await read_answer(stream, codec)
        finally:
            timer.cancel()

    def _target(self) -> bytes:
        wait = self.chance.uniform(MIN_WAIT_FRACTION, 1.0) * self.wait
        if self.on_first_call_ended is not None:
            wait = NO_WAIT_SECONDS  # asks for the changes so far, and waits for none
        if self._needs_complete:
            return LIST_PATH
        return LIST_PATH + b"?since=%d&timeout_ms=%d" % (self.version, round(wait * 1000))

    def _apply_answer(self, answer: Response) -> bool:
        """Applies an answer; returns whether it has a new version.

        Raises DiscoveryError if the answer can't be used.
        """
        if answer.status != 200:
            raise DiscoveryError(f"status {answer.status}")
        listed = decode_list(answer.body)
        self._check_version(listed)
        changed = listed.generation != self.version
        self._needs_complete = False
        self.version = listed.generation
        # The watch's first answer is passed on even if it has no changes, as it ends the scheduler's backoff.
        if listed.instances or listed.reset or not self._answered:
            self._answered = True
            self.log.info(
                "endpoint list",
                generation=listed.generation,
                complete=listed.reset,
                backends={i.instance_id: i.lifecycle for i in listed.instances[:MAX_LOGGED_BACKENDS]},
            )
            self.updates.apply(listed.instances, listed.reset, False)
        self._end_first_call()
        return changed

    def _check_version(self, listed: ListAnswer) -> None:
        if listed.generation < self.version and not self._needs_complete:
            # The generation is older than the current one. If the service restarted its count, the complete
            # list that is requested next shows it.
            self._needs_complete = True
            raise DiscoveryError(f"generation {listed.generation} is older than {self.version}")
        if not listed.reset and self._needs_complete:
            raise DiscoveryError("changes instead of the complete list")
