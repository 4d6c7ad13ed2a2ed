"""A fake backend that speaks HTTP and can send malformed answers."""

from typing import Any

from gorsethread.fakes.backend import GATEWAY_MARK, FakeBackend, ReceivedCommand
from gorsethread.fakes.record import Fault
from gorsethread.fakes.web.messages import ATTEMPTS, FIRST_GATEWAY_PORT, body_of, id_of
from gorsethread.fakes.web.spoilt_answers import SPOILT_ANSWERS, SpoiltAnswer
from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import Request, ServerCodec, closing_response
from gorsethread.nvme.command import Command, Completion, Opcode, Status, io_command, unpack_service_report
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Stream, StreamClosed


class HttpCommand:
    """A request at a backend, with the attributes of an IoCommand that FakeBackend uses."""

    __slots__ = ("command", "host", "owner_state", "target", "connection", "answered")

    def __init__(
        self, connection: "BackendConnection", command: Command, gateway: int, target: bytes
    ) -> None:
        self.connection, self.command, self.target = connection, command, target
        self.host = f"{GATEWAY_MARK}{gateway}"
        self.owner_state: Any = None
        self.answered = False

    def answer(self, completion: Completion, data: bytes = b"") -> None:
        if not self.answered:
            self.answered = True
            self.connection.answer(self, completion)


class BackendConnection:
    """One connection of one gateway; it carries one request at a time."""

    def __init__(self, backend: "HttpFakeBackend", stream: Stream, gateway: int) -> None:
        self.backend, self.stream, self.gateway = backend, stream, gateway
        self.codec = ServerCodec()
        self.io: HttpCommand | None = None

    async def serve(self) -> None:
        try:
            while True:
                self.codec.feed(await self.stream.read())
                self.handle_requests()
        except StreamClosed:
            if self.io is not None and not self.io.answered:
                self.backend.connection_lost(self.io)
        except InvalidRequestError as error:
            self.backend.recorder.record("bad request", shelf=self.backend.number, reason=str(error))
            self.stream.write(closing_response(error.status))
            self.stream.close()

    def handle_requests(self) -> None:
        while (request := self.codec.next_request()) is not None:
            self.backend.handle_request(self, request)

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        response, keeps_open = self.codec.respond(status, headers, body)
        self.stream.write(response)
        if not keeps_open:
            self.stream.close()
        elif self.codec.partial:
            self.backend.transport.call_soon(self.handle_requests)

    def answer(self, io: HttpCommand, completion: Completion) -> None:
        self.io = None
        if completion.rejected:
            self.respond(503, [(b"srv-declined", b"1")], b"")
        elif not completion.succeeded:
            self.respond(500, [], b"")
        elif (spoilt := self.backend.draw_spoilt_answer()) is not None:
            if spoilt.is_complete:
                self.codec.respond(200, [], b"")
            self.stream.write(spoilt.encode(self.backend.body_for(io)))
            if spoilt.closes:
                self.stream.close()
        else:
            elsewhere, usage, _ = unpack_service_report(completion)
            headers = [(b"other-hosts", b"%d" % elsewhere), (b"volume-load", b"%d" % usage)]
            self.respond(200, headers, self.backend.body_for(io))


class HttpFakeBackend(FakeBackend):
    """Serves requests over HTTP.

    It has the additional fault `spoil`: a fraction of the answers is malformed, although all requests ran.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.profiles = {p.name.encode(): p for p in self.site.profile}
        self.spoil_fraction = self.spoil_until = 0.0

    def body_for(self, io: HttpCommand) -> bytes:
        """Returns a body that names this request's id and the backend's shard."""
        return f"{id_of(io.command.label, io.command.attempt)} {self.me.shard}".encode()

    def draw_spoilt_answer(self) -> SpoiltAnswer | None:
        """Returns the form of the next answer if it is to be spoilt, or None."""
        if self.transport.now() >= self.spoil_until or self.chance.random() >= self.spoil_fraction:
            return None
        return SPOILT_ANSWERS[self.chance.randrange(len(SPOILT_ANSWERS))]

    def _fault(self, fault: Fault) -> None:
        super()._fault(fault)
        if fault.kind == "spoil":
            self.spoil_fraction, self.spoil_until = fault.part, self.transport.now() + fault.seconds

    def _listen(self, host: str, port: int) -> None:
        self.port = port
        self._listeners = [self._listen_to(host, h.number) for h in self.site.head]

    def _listen_to(self, host: str, gateway: int) -> Any:
        async def on_stream(stream: Stream) -> None:
            await BackendConnection(self, stream, gateway).serve()

        return self.transport.listen(host, FIRST_GATEWAY_PORT + gateway, on_stream)

    def stop(self) -> None:
        for listener in self._listeners:
            listener.close()

    def _profile(self, io: Any) -> pb.Profile:
        return self.profiles[io.target.split(b"/")[1]]

    def handle_request(self, connection: BackendConnection, request: Request) -> None:
        try:
            id = int((request.header(b"req-id") or b"").decode(), 16)
            info = dict(part.split("=") for part in (request.header(b"io-info") or b"").decode().split(","))
            volume, units, shard = int(info["volume"], 16), int(info["units"]), int(info["shard"])
            volume, blocks = self.volumes[volume].number, units * self.site.links.unit_bytes // BLOCK
        except (ValueError, KeyError) as error:
            self.recorder.record("bad request", shelf=self.number, reason=repr(error))
            connection.respond(400, [], b"")
            return
        write = request.method == b"PUT"
        command = io_command(
            Opcode.WRITE if write else Opcode.READ,
            volume,
            0,
            blocks,
            attempt=id % ATTEMPTS,
            shard=shard,
            label=id // ATTEMPTS,
        )
        if request.body != (body_of(id, units) if write else b""):
            self.recorder.record("bad request", shelf=self.number, reason="not the body that the client sent")
        io = connection.io = HttpCommand(connection, command, connection.gateway, request.target)
        self.command_announced(io)  # type: ignore[arg-type]
        io.owner_state = ReceivedCommand(units, request.body)
        if shard not in (-1, self.me.shard):
            self._record_end(io, "turned away", False)  # type: ignore[arg-type]
            io.answer(Completion(0, Status.COMMAND_INTERRUPTED))
            return
        self.command_received(io, request.body)  # type: ignore[arg-type]

    def connection_lost(self, io: HttpCommand) -> None:
        """Handles the end of the request's connection: drops it if it has not started, else lets it run."""
        self._withdraw(io)  # type: ignore[arg-type]
        io.answered = True
