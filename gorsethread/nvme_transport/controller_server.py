"""Serves a subsystem: connections in, Fabrics and admin commands answered, I/O commands handed on."""

from typing import Any, Protocol

from gorsethread.nvme.command import Admin, Command, Completion, Fabrics, Opcode, Status
from gorsethread.nvme.controller_queue import ControllerQueue
from gorsethread.nvme.subsystem import Answer, Controller, Subsystem
from gorsethread.transport.base import Stream, StreamClosed, Transport

MAX_UNSENT_BYTES = 1 << 20  # bytes of answers a host may leave unread before nothing more is read from it
CONNECT_TIMEOUT = 5.0  # seconds a fresh connection has until its queue is connected


class IoCommand:
    """One I/O command from its capsule to its one answer."""

    __slots__ = ("command", "connection", "arrived", "owner_state", "controller")

    def __init__(
        self, command: Command, connection: "Connection", arrived: float, controller: Controller
    ) -> None:
        self.command, self.connection, self.arrived = command, connection, arrived
        self.controller = controller
        self.owner_state: Any = None  # the owner's own record of it

    @property
    def host(self) -> str:
        return self.controller.host

    def answer(self, completion: Completion, data: bytes = b"") -> None:
        """Goes out at once. A second answer is dropped: the host has had its one."""
        self.connection.answer(self.command.cid, completion, data)


class IoOwner(Protocol):
    def command_announced(self, io: IoCommand) -> None:
        """A command's capsule came and passed the checks; its data may still be on the way."""
        ...

    def command_received(self, io: IoCommand, data: bytes) -> None:
        """The command is here whole."""
        ...

    def command_abandoned(self, io: IoCommand) -> None:
        """The host aborted the command or its connection ended: no answer is awaited any more."""
        ...


class Connection:
    """One stream, one queue."""

    def __init__(self, server: "QueueServer", stream: Stream) -> None:
        self.server, self.stream = server, stream
        self.controller: Controller | None = None
        self.open_commands: dict[int, IoCommand] = {}  # emptied by answers and by the connection's end
        self.last_received_at = server.transport.now()
        self.queue = ControllerQueue(
            stream.write, self._announced, self._taken, self._ended, server.subsystem.most_data
        )

    async def serve(self) -> None:
        limit = self.server.transport.call_at(self.last_received_at + CONNECT_TIMEOUT, self._not_connected)
        try:
            while not self.queue.closed:
                data = await self.stream.read()
                self.last_received_at = self.server.transport.now()
                self.queue.feed(data)
                if self.stream.unsent > MAX_UNSENT_BYTES:
                    await self.stream.drained()
            await self.stream.drained()  # a TermReq may still be on its way out
        except StreamClosed as error:
            self.queue.close(str(error))
        finally:
            limit.cancel()
            self.stream.close()

    def _not_connected(self) -> None:
        # Guards against connections that are opened and never speak, or stop half way through a PDU.
        if self.controller is None:
            self.stop("no queue was connected in time")

    def stop(self, reason: str) -> None:
        self.queue.close(reason)
        self.stream.close()

    def answer(self, cid: int, completion: Completion, data: bytes = b"") -> None:
        if (io := self.open_commands.pop(cid, None)) is not None:
            # Else it and its owner's record would hold each other and wait for the collector, which at some
            # thousand commands a second then stands still for tens of milliseconds at a time.
            io.owner_state = None
        if self.controller and completion.status != Status.SUCCESS:
            self.controller.failed(self.queue.number, cid, completion.status)
        self.queue.answer(cid, completion, data)

    def abort_command(self, cid: int) -> bool:
        """The host takes a command back."""
        io = self.open_commands.pop(cid, None)
        if io is None:
            return False
        self.server.owner.command_abandoned(io)
        self.queue.respond(Completion(cid, Status.ABORT_REQUESTED, do_not_retry=True))
        return True

    def _announced(self, command: Command) -> bool:
        """Whether its data, if any, is wanted; a command that fails here is answered."""
        controller = self.controller
        if controller is None:
            if command.opcode != Opcode.FABRICS or command.nsid & 0xFF != Fabrics.CONNECT:
                self.queue.respond(Completion(command.cid, Status.COMMAND_SEQUENCE_ERROR, do_not_retry=True))
                return False
            return True
        if self.queue.number == 0:
            return True
        if command.opcode == Opcode.FABRICS:
            self.queue.respond(Completion(command.cid, Status.INVALID_OPCODE, do_not_retry=True))
            return False
        if refusal := self.server.subsystem.check_io(controller, command):
            self._give(refusal)
            return False
        if command.opcode == Opcode.FLUSH:
            return True
        io = IoCommand(command, self, self.server.transport.now(), controller)
        self.open_commands[command.cid] = io
        self.server.owner.command_announced(io)
        return command.cid in self.open_commands

    def _taken(self, command: Command, data: bytes) -> None:
        if self.controller is None:
            self._connect(command, data)
        elif self.queue.number == 0:
            self._admin(self.controller, command)
        elif command.opcode == Opcode.FLUSH:
            # There is no volatile write cache: what was honoured is kept, so a flush has nothing to do.
            self.queue.respond(Completion(command.cid))
        elif io := self.open_commands.get(command.cid):
            self.server.owner.command_received(io, data)

    def _give(self, answer: Answer) -> None:
        if self.controller and answer.completion.status != Status.SUCCESS:
            self.controller.failed(self.queue.number, answer.completion.cid, answer.completion.status)
        self.queue.respond(answer.completion, answer.data)

    def _connect(self, command: Command, data: bytes) -> None:
        controller, number, answer = self.server.subsystem.connect(command, data)
        if controller is not None:
            self.controller = controller
            self.queue.number = number
            self.queue.size = (command.cdw11 & 0xFFFF) + 1
            self.server.queue_connected(self, controller)
        self._give(answer)

    def _admin(self, controller: Controller, command: Command) -> None:
        if command.opcode == Admin.ABORT:
            found = self.server.abort(controller, command.cdw10 & 0xFFFF, command.cdw10 >> 16)
            self.queue.respond(Completion(command.cid, dw0=0 if found else 1))
        elif answer := self.server.subsystem.admin(controller, command):
            self._give(answer)

    def _ended(self, reason: str) -> None:
        for io in list(self.open_commands.values()):
            self.server.owner.command_abandoned(io)
        self.open_commands.clear()
        self.server.connection_closed(self, reason)


class QueueServer:
    """max_connections: any further one is closed at once."""

    def __init__(
        self, transport: Transport, subsystem: Subsystem, owner: IoOwner, max_connections: int, log: Any
    ) -> None:
        self.transport, self.subsystem, self.owner, self.log = transport, subsystem, owner, log
        self.max_connections = max_connections
        self.connections: dict[Connection, None] = {}  # emptied as connections end
        self.by_controller: dict[int, dict[int, Connection]] = {}  # emptied with the controllers
        self.closing = False

    async def on_stream(self, stream: Stream) -> None:
        if self.closing or len(self.connections) >= self.max_connections:
            self.log.warning("connection not admitted", peer=stream.peer, open=len(self.connections))
            stream.close()
            return
        connection = Connection(self, stream)
        self.connections[connection] = None
        await connection.serve()

    def queue_connected(self, connection: Connection, controller: Controller) -> None:
        queues = self.by_controller.setdefault(controller.number, {})
        if (old := queues.get(connection.queue.number)) is not None:
            old.stop("its queue was connected anew")
            queues = self.by_controller.setdefault(controller.number, {})
        queues[connection.queue.number] = connection
        if connection.queue.number == 0 and controller.keep_alive:
            self._watch(controller)

    def connection_closed(self, connection: Connection, reason: str) -> None:
        self.connections.pop(connection, None)
        controller = connection.controller
        if controller is None:
            self.log.info("connection ended before its queue", peer=connection.stream.peer, reason=reason)
            return
        queues = self.by_controller.get(controller.number, {})
        if queues.get(connection.queue.number) is not connection:
            return
        del queues[connection.queue.number]
        if connection.queue.number == 0:
            self.log.info("host left", host=controller.host, reason=reason)
            self.subsystem.ended(controller)
            self.by_controller.pop(controller.number, None)
            for other in list(queues.values()):
                other.stop("its admin queue ended")

    def abort(self, controller: Controller, queue: int, cid: int) -> bool:
        connection = self.by_controller.get(controller.number, {}).get(queue)
        return connection is not None and queue != 0 and connection.abort_command(cid)

    def _watch(self, controller: Controller) -> None:
        """Ends a host that has said nothing for its keep-alive time (Base 2.0, section 3.9)."""
        queues = self.by_controller.get(controller.number)
        if not queues or controller.keep_alive <= 0:
            return
        due = max(c.last_received_at for c in queues.values()) + controller.keep_alive
        if due <= self.transport.now():
            queues[0].stop("keep-alive time ran out")
        else:
            self.transport.call_at(due, lambda: self._watch(controller))

    def stop(self, reason: str) -> None:
        self.closing = True
        for connection in list(self.connections):
            connection.stop(reason)
