"""Fake HTTP clients of the load, with the rules for what is owed to them."""

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

MIN_IDLE_SECONDS = 1.9  # seconds a connection must have stood idle for a head to be free to end it
ANSWER_SLACK_SECONDS = (
    0.1  # seconds past its time in which an answer only earns nothing: the rules' slack, the way
)
MAX_CONNECTIONS = (
    56  # of one client at one head, as all together hold no more than a third of its descriptors
)
CROSSING_SECONDS = 0.01  # seconds from writing in which an end of the connection may have been on its way


class ClientConnection:
    """A client's connection to one head, kept as long as both keep it."""

    def __init__(self, link: "HttpConnections", stream: Stream) -> None:
        self.link, self.stream = link, stream
        self.asking = ClientCodec()
        self.one: HttpAttempt | None = None
        self.last: HttpAttempt | None = None
        self.idle_since = 0.0
        self.used = False
        link.open += 1

    async def listen(self) -> None:
        try:
            while True:
                data = await self.stream.read()
                answer = self.asking.feed(data)
                if answer is not None:
                    self._answered(answer)
        except StreamClosed as end:
            self._over(None, str(end) == "closed by peer")
        except InvalidResponseError as error:
            self._over(str(error))
        finally:
            self.stream.close()
            self.link.open -= 1

    def _answered(self, answer: Response) -> None:
        one, self.one = self.one, None
        assert one is not None
        self.last, self.idle_since, self.used = one, self.link.transport.now(), True
        if not answer.closes_connection:
            self.link.idle.append(self)
        else:
            self.stream.close()
            if answer.header(b"connection") != b"close":
                self._more()
        one.answered(answer)

    def _over(self, spoilt: str | None, closed: bool = False) -> None:
        """closed: in order, by the head."""
        if self in self.link.idle:
            self.link.idle.remove(self)
        one, self.one = self.one, None
        idle = self.link.transport.now() - self.idle_since
        if one is None and self.used and closed and idle < MIN_IDLE_SECONDS - CROSSING_SECONDS:
            self.link.client.recorder.record("closed early", head=self.link.number, idle=round(idle, 3))
        if one is not None:
            one.connection_ended(self, spoilt)
        elif spoilt is not None:
            self._more()

    def _more(self) -> None:
        """A second answer, or noise that nobody asked for."""
        if self.last is not None:
            self.link.client.recorder.record(
                "answered late", label=self.last.request.label, attempt=self.last.attempt
            )


class HttpConnections:
    """The connections of one client to one head."""

    def __init__(self, client: "HttpLoadClient", number: int, address: tuple[str, int]) -> None:
        self.client, self.number, self.address = client, number, address
        self.transport = client.transport
        self.idle: list[ClientConnection] = []  # emptied by use and as they end
        self.open = 0

    async def keep(self) -> None:
        """Connections are opened as they are needed."""


class HttpAttempt(LoadAttempt):
    """One request of a transaction."""

    client: "HttpLoadClient"
    connection: ClientConnection | None = None
    written_at = 0.0
    again = False

    def send(self) -> bool:
        self.client.transport.spawn(self._go())
        return True

    async def _go(self) -> None:
        link, transport = self.link, self.client.transport
        connection = link.idle.pop() if link.idle else None
        if connection is None:
            if link.open >= MAX_CONNECTIONS:
                self.client.unfinished -= 1
                self.client.never_sent(self)
                return
            try:
                within = min(2.0, max(0.01, self.request.by - transport.now()))
                host, port = link.address
                connection = ClientConnection(link, await transport.connect(host, port, within))
            except Unreachable:
                self.client.unfinished -= 1
                self.client.never_sent(self)
                return
            transport.spawn(connection.listen())
        if transport.now() >= self.request.by - 0.02:
            connection.stream.close()
            self.client.unfinished -= 1
            self.client.never_sent(self)
            return
        self._write(connection)

    def _write(self, connection: ClientConnection) -> None:
        t, client, now = self.request, self.client, self.client.transport.now()
        write = t.operation == Opcode.WRITE
        units, id = client.units(t), id_of(t.label, self.attempt)
        shard = client.shard(t)
        info = f"volume={t.volume.number:016x},units={units},shard={shard},hosts={len(t.volume.head)}"
        headers = [
            (b"host", b"origin.svc"),
            (b"req-id", id.encode()),
            (b"tier", t.volume.plan.encode()),
            (b"req-deadline-ms", b"%d" % int((t.by - now) * 1000)),
            (b"io-info", info.encode()),
        ]
        if self.attempt:
            headers.append((b"req-retry", b"1"))
        extent = t.first_block // t.volume.extent_blocks
        target = f"/{client.site.profile[t.profile].name}/{t.volume.number:08x}{extent:08x}".encode()
        body = body_of(int(id, 16), units) if write else b""
        first = self.connection is None
        self.connection, connection.one, self.written_at = connection, self, now
        method = b"PUT" if write else b"GET"
        connection.stream.write(connection.asking.request(method, target, headers, body))
        if first:
            client.recorder.record(
                "sent",
                label=t.label,
                attempt=self.attempt,
                head=self.link.number,
                volume=t.volume.number,
                profile=t.profile,
                units=units,
                key=client.key(t),
                by=t.by,
                due=t.due,
            )
            self.timer = client.transport.call_at(t.by + ANSWER_SLACK_SECONDS, self._time_is_up)
        else:
            client.recorder.record("sent anew", label=t.label, attempt=self.attempt)

    def answered(self, answer: Response) -> None:
        if self.over:
            return
        if answer.status == 200:
            _, _, shard = answer.body.partition(b" ")
            told = 1 + int(shard) if shard.isdigit() else 0
            self.ended("honoured", Completion(0, dw0=told), answer.body)
        elif answer.status in (429, 503):
            after = float(answer.header(b"retry-after") or 0.0)
            self.ended("pushed back", Completion(0, Status.COMMAND_INTERRUPTED, dw1=round(after * 1000)), b"")
        else:
            self.ended("given up", Completion(0, Status.INTERNAL_ERROR, final=True), b"")

    def misread(self, data: bytes) -> int:
        return data.split(b" ")[0] != id_of(self.request.label, self.attempt).encode()

    def connection_ended(self, connection: ClientConnection, spoilt: str | None) -> None:
        """The head's end of an idle connection, or of one more than it holds, may cross the request, which is
        then sent once more."""
        if self.over:
            return
        if spoilt is not None:
            self.ended("honoured", Completion(0), b"what can't be read: " + spoilt.encode())
        elif (
            not self.again
            and self.client.may_be_unread(self)
            and (
                self.client.transport.now() - self.written_at < CROSSING_SECONDS
                or connection.used
                and self.written_at - connection.idle_since >= MIN_IDLE_SECONDS
            )
        ):
            self.again = True
            self.client.recorder.record("crossed", label=self.request.label, attempt=self.attempt)
            self.client.transport.spawn(self._once_more())
        elif (
            self.again
            and self.client.may_be_unread(self)
            and (self.client.transport.now() - self.written_at < CROSSING_SECONDS)
        ):
            self._shut_out()
        else:
            self.ended("unreachable", None, b"")

    def _shut_out(self) -> None:
        """No connection of it was taken: it found no head, and none has lost it."""
        client = self.client
        client.recorder.record(
            "apart", client=f"client {client.tenant}", head=self.link.number, until=client.transport.now()
        )
        client.recorder.record("shut out", head=self.link.number)
        self.ended("unreachable", None, b"")

    async def _once_more(self) -> None:
        try:
            host, port = self.link.address
            stream = await self.client.transport.connect(host, port, 2.0)
        except Unreachable:
            self._shut_out()
            return
        connection = ClientConnection(self.link, stream)
        self.client.transport.spawn(connection.listen())
        if self.over or self.client.transport.now() >= self.request.by - 0.02:
            stream.close()
            self.ended("unreachable", None, b"")
        else:
            self._write(connection)

    def _leave(self) -> None:
        if not self.over and self.connection is not None:
            self.ended("left", None, b"")
            self._take_back()

    def _take_back(self) -> None:
        if self.connection is not None:
            self.connection.one = None
            self.connection.stream.close()


class HttpLoadClient(LoadClient):
    """Sends one tenant's load to the gateways over HTTP.

    may_be_unread: says whether a gateway may not have read a request when its connection ended. The default
    always answers True; a simulation that observes the network replaces it with the exact answer.
    """

    may_be_unread: Callable[[HttpAttempt], bool] = staticmethod(lambda one: True)

    def _link(self, head: pb.Head) -> Any:
        return HttpConnections(self, head.number, split_address(head.address))

    def _new_attempt(self, t: LoadRequest, attempt: int, link: Any) -> LoadAttempt:
        return HttpAttempt(self, t, attempt, link)

    def units(self, t: LoadRequest) -> int:
        return max(1, -(-t.blocks * BLOCK // self.site.links.unit_bytes))

    def shard(self, t: LoadRequest) -> int:
        extent = t.first_block // t.volume.extent_blocks
        if t.volume.placement != pb.FIRST_WRITE:
            return t.volume.shard[extent % len(t.volume.shard)]
        return self.shards.get((t.volume.number, extent), -1)

    def key(self, t: LoadRequest) -> str:
        """The platform keeps turns by the piece of data."""
        return f"{t.volume.number}/{t.first_block // t.volume.extent_blocks}" if t.key else ""
