"""Fake HTTP clients that send load and judge how a gateway ends their connections and requests."""

from collections.abc import Callable
from typing import Any

from gorsethread.fakes.client import LoadAttempt, LoadClient, LoadRequest
from gorsethread.fakes.web.messages import body_of, id_of
from gorsethread.http1.client_codec import ClientCodec, Response
from gorsethread.http1.framing import InvalidResponseError
from gorsethread.nvme.command import Completion, Opcode, Status
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Unreachable

MIN_IDLE_SECONDS = 1.9  # a gateway may close a connection that was idle for so long
# An answer so long after the deadline earns nothing but does not count as missing: the invariants' slack plus
# the transit time.
ANSWER_SLACK_SECONDS = 0.1
MAX_CONNECTIONS = 56  # per client and gateway: all clients together use at most a third of its descriptors
CROSSING_SECONDS = 0.01  # after writing a request, a close may have been sent before the request arrived


class ClientConnection:
    """A persistent connection of a client to one gateway; it carries one request at a time."""

    def __init__(self, link: "HttpConnections", stream: Stream) -> None:
        self.link, self.stream = link, stream
        self.codec = ClientCodec()
        self.attempt: HttpAttempt | None = None
        self.last: HttpAttempt | None = None
        self.idle_since = 0.0
        self.used = False
        link.open += 1

    async def listen(self) -> None:
        try:
            while True:
                data = await self.stream.read()
                answer = self.codec.feed(data)
                if answer is not None:
                    self._answered(answer)
        except StreamClosed as end:
            self._ended(None, str(end) == "closed by peer")
        except InvalidResponseError as error:
            self._ended(str(error))
        finally:
            self.stream.close()
            self.link.open -= 1

    def _answered(self, answer: Response) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        self.last, self.idle_since, self.used = attempt, self.link.transport.now(), True
        if not answer.closes_connection:
            self.link.idle.append(self)
        else:
            self.stream.close()
            if answer.header(b"connection") != b"close":
                self._record_surplus()
        attempt.answered(answer)

    def _ended(self, parse_error: str | None, closed: bool = False) -> None:
        """Handles the end of the connection.

        parse_error: why an answer could not be parsed, or None.
        closed: the gateway closed the connection normally.
        """
        if self in self.link.idle:
            self.link.idle.remove(self)
        attempt, self.attempt = self.attempt, None
        idle = self.link.transport.now() - self.idle_since
        if attempt is None and self.used and closed and idle < MIN_IDLE_SECONDS - CROSSING_SECONDS:
            self.link.client.recorder.record("closed early", head=self.link.number, idle=round(idle, 3))
        if attempt is not None:
            attempt.connection_ended(self, parse_error)
        elif parse_error is not None:
            self._record_surplus()

    def _record_surplus(self) -> None:
        """Records a second answer, or bytes that belong to no request."""
        if self.last is not None:
            self.link.client.recorder.record(
                "answered late", label=self.last.request.label, attempt=self.last.attempt
            )


class HttpConnections:
    """The connections of one client to one gateway."""

    def __init__(self, client: "HttpLoadClient", number: int, address: tuple[str, int]) -> None:
        self.client, self.number, self.address = client, number, address
        self.transport = client.transport
        self.idle: list[ClientConnection] = []  # emptied as they are used or end
        self.open = 0  # number of connections

    async def keep(self) -> None:
        """Does nothing: connections are opened when they are needed."""


class HttpAttempt(LoadAttempt):
    """One HTTP request that is sent for a request of an application."""

    client: "HttpLoadClient"
    connection: ClientConnection | None = None
    written_at = 0.0
    written_again = False
    # The gateway's end of the connection had arrived before the request was written, where that is known.
    written_after_end = False

    def send(self) -> bool:
        self.client.transport.spawn(self._connect_and_write())
        return True

    async def _connect_and_write(self) -> None:
        link, transport = self.link, self.client.transport
        connection = link.idle.pop() if link.idle else None
        if connection is None:
            if link.open >= MAX_CONNECTIONS:
                self.client.unfinished -= 1
                self.client.record_not_sent(self)
                return
            try:
                timeout = min(2.0, max(0.01, self.request.by - transport.now()))
                host, port = link.address
                connection = ClientConnection(link, await transport.connect(host, port, timeout))
            except Unreachable:
                self.client.unfinished -= 1
                self.client.record_not_sent(self)
                return
            transport.spawn(connection.listen())
        if transport.now() >= self.request.by - 0.02:
            connection.stream.close()
            self.client.unfinished -= 1
            self.client.record_not_sent(self)
            return
        self._write(connection)

    def _write(self, connection: ClientConnection) -> None:
        request, client, now = self.request, self.client, self.client.transport.now()
        write = request.operation == Opcode.WRITE
        units, id = client.units(request), id_of(request.label, self.attempt)
        shard = client.shard(request)
        volume = request.volume
        info = f"volume={volume.number:016x},units={units},shard={shard},hosts={len(volume.head)}"
        headers = [
            (b"host", b"origin.svc"),
            (b"req-id", id.encode()),
            (b"tier", request.volume.plan.encode()),
            (b"req-deadline-ms", b"%d" % int((request.by - now) * 1000)),
            (b"io-info", info.encode()),
        ]
        if self.attempt:
            headers.append((b"req-retry", b"1"))
        extent = request.first_block // request.volume.extent_blocks
        target = f"/{client.site.profile[request.profile].name}/{volume.number:08x}{extent:08x}".encode()
        body = body_of(int(id, 16), units) if write else b""
        first = self.connection is None
        self.connection, connection.attempt, self.written_at = connection, self, now
        method = b"PUT" if write else b"GET"
        connection.stream.write(connection.codec.request(method, target, headers, body))
        if first:
            client.recorder.record(
                "sent",
                label=request.label,
                attempt=self.attempt,
                head=self.link.number,
                volume=request.volume.number,
                profile=request.profile,
                units=units,
                key=client.key(request),
                by=request.by,
                due=request.due,
            )
            self.timer = client.transport.call_at(request.by + ANSWER_SLACK_SECONDS, self._timed_out)
        else:
            client.recorder.record("sent anew", label=request.label, attempt=self.attempt)

    def answered(self, answer: Response) -> None:
        if self.over:
            return
        if answer.status == 200:
            _, _, shard = answer.body.partition(b" ")
            dw0 = 1 + int(shard) if shard.isdigit() else 0
            self.ended("honoured", Completion(0, dw0=dw0), answer.body)
        elif answer.status in (429, 503):
            delay = float(answer.header(b"retry-after") or 0.0)
            self.ended("pushed back", Completion(0, Status.COMMAND_INTERRUPTED, dw1=round(delay * 1000)), b"")
        else:
            self.ended("given up", Completion(0, Status.INTERNAL_ERROR, do_not_retry=True), b"")

    def count_wrong_blocks(self, data: bytes) -> int:
        return data.split(b" ")[0] != id_of(self.request.label, self.attempt).encode()

    def connection_ended(self, connection: ClientConnection, parse_error: str | None) -> None:
        """Handles the end of the connection before an answer.

        A gateway may close an idle connection, or one beyond its maximum, while the request is in transit.
        The request is then sent once more on a new connection.
        """
        if self.over:
            return
        if parse_error is not None:
            self.ended("honoured", Completion(0), b"what can't be read: " + parse_error.encode())
        elif (
            not self.written_again
            and self.client.may_be_unread(self)
            and (
                self.written_after_end
                or self.client.transport.now() - self.written_at < CROSSING_SECONDS
                or connection.used
                and self.written_at - connection.idle_since >= MIN_IDLE_SECONDS
            )
        ):
            self.written_again = True
            self.client.recorder.record("crossed", label=self.request.label, attempt=self.attempt)
            self.client.transport.spawn(self._write_again())
        elif (
            self.written_again
            and self.client.may_be_unread(self)
            and (self.written_after_end or self.client.transport.now() - self.written_at < CROSSING_SECONDS)
        ):
            self._record_shut_out()
        else:
            self.ended("unreachable", None, b"")

    def _record_shut_out(self) -> None:
        """Records a request that the gateway never read as it accepted no connection: it is not lost."""
        client = self.client
        client.recorder.record(
            "apart", client=f"client {client.tenant}", head=self.link.number, until=client.transport.now()
        )
        client.recorder.record("shut out", head=self.link.number)
        self.ended("unreachable", None, b"")

    async def _write_again(self) -> None:
        try:
            host, port = self.link.address
            stream = await self.client.transport.connect(host, port, 2.0)
        except Unreachable:
            self._record_shut_out()
            return
        connection = ClientConnection(self.link, stream)
        self.client.transport.spawn(connection.listen())
        if self.over or self.client.transport.now() >= self.request.by - 0.02:
            stream.close()
            self._record_shut_out()
        else:
            self._write(connection)

    def _abandon(self) -> None:
        if not self.over and self.connection is not None:
            self.ended("left", None, b"")
            self._abort()

    def _abort(self) -> None:
        if self.connection is not None:
            self.connection.attempt = None
            self.connection.stream.close()


class HttpLoadClient(LoadClient):
    """Sends one tenant's load to the gateways over HTTP.

    may_be_unread: says whether a gateway may not have read a request when its connection ended. The default
    always answers True; a simulation that observes the network replaces it with the exact answer.
    """

    may_be_unread: Callable[[HttpAttempt], bool] = staticmethod(lambda attempt: True)

    def _link(self, head: pb.Head) -> Any:
        return HttpConnections(self, head.number, split_address(head.address))

    def _new_attempt(self, request: LoadRequest, attempt: int, link: Any) -> LoadAttempt:
        return HttpAttempt(self, request, attempt, link)

    def units(self, request: LoadRequest) -> int:
        return max(1, -(-request.blocks * BLOCK // self.site.links.unit_bytes))

    def shard(self, request: LoadRequest) -> int:
        extent = request.first_block // request.volume.extent_blocks
        if request.volume.placement != pb.FIRST_WRITE:
            return request.volume.shard[extent % len(request.volume.shard)]
        return self.shards.get((request.volume.number, extent), -1)

    def key(self, request: LoadRequest) -> str:
        """Returns the key by which the platform orders requests, volume and extent; "" for no order."""
        volume = request.volume
        return f"{volume.number}/{request.first_block // volume.extent_blocks}" if request.key else ""
