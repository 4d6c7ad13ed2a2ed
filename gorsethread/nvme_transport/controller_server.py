"""Serves an NVM subsystem: answers Fabrics and admin commands, and passes I/O commands to an owner."""

from typing import Any, Protocol

from gorsethread.nvme.command import Admin, Command, Completion, Fabrics, Opcode, Status
from gorsethread.nvme.controller_queue import ControllerQueue
from gorsethread.nvme.subsystem import Answer, Controller, Subsystem
from gorsethread.transport.base import Stream, StreamClosed, Transport

MAX_UNSENT_BYTES = 1 << 20  # answers that a host has not read; above this, nothing more is read from it
CONNECT_TIMEOUT = 5.0  # seconds from a new connection until its queue must be connected


class IoCommand:
    """An I/O command, from the arrival of its capsule until it is answered.

    Attributes:
        arrived: Time of its arrival, in seconds of the transport's clock.
        owner_state: The owner's own record of the command.
    """

    __slots__ = ("command", "connection", "arrived", "owner_state", "controller")

    def __init__(
        self, command: Command, connection: "Connection", arrived: float, controller: Controller
    ) -> None:
        self.command, self.connection, self.arrived = command, connection, arrived
        self.controller = controller
        self.owner_state: Any = None

    @property
    def host(self) -> str:
        """The NQN of the host that sent the command."""
        return self.controller.host

    def answer(self, completion: Completion, data: bytes = b"") -> None:
        """Answers the command at once; if it is already answered, does nothing."""
        self.connection.answer(self.command.cid, completion, data)


class IoOwner(Protocol):
    """Carries out the I/O commands that a server receives."""

    def command_announced(self, io: IoCommand) -> None:
        """Called when a valid command's capsule has arrived; its data may still be on the way."""
        ...

    def command_received(self, io: IoCommand, data: bytes) -> None:
        """Called when the command has arrived with all its data."""
        ...

    def command_abandoned(self, io: IoCommand) -> None:
        """Called when the host has aborted the command or its connection has ended; needs no answer."""
        ...


class Connection:
    """A connection from a host, which carries one queue.

    Attributes:
        controller: The host's controller, once the queue is connected.
        open_commands: I/O commands to answer, by command id; removed by answers and by the connection's end.
        last_received_at: Time of the last bytes from the host, in seconds of the transport's clock.
    """

    def __init__(self, server: "QueueServer", stream: Stream) -> None:
        self.server, self.stream = server, stream
        self.controller: Controller | None = None
        self.open_commands: dict[int, IoCommand] = {}
        self.last_received_at = server.transport.now()
        self.queue = ControllerQueue(
            stream.write, self._announced, self._received, self._ended, server.subsystem.max_data
        )

    async def serve(self) -> None:
        """Reads from the host until the connection ends."""
        timer = self.server.transport.call_at(self.last_received_at + CONNECT_TIMEOUT, self._not_connected)
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
            timer.cancel()
            self.stream.close()

    def _not_connected(self) -> None:
        # Ends a connection whose host sends nothing, or stops in the middle of a PDU.
        if self.controller is None:
            self.stop("no queue was connected in time")

    def stop(self, reason: str) -> None:
        """Ends the connection."""
        self.queue.close(reason)
        self.stream.close()

    def answer(self, cid: int, completion: Completion, data: bytes = b"") -> None:
        """Answers an open command."""
        if (io := self.open_commands.pop(cid, None)) is not None:
            # Breaks the reference cycle between the command and its owner's record. Otherwise the garbage
            # collector would have to free both, and at some thousand commands a second it then stops the
            # process for tens of milliseconds at a time.
            io.owner_state = None
        if self.controller and completion.status != Status.SUCCESS:
            self.controller.record_error(self.queue.number, cid, completion.status)
        self.queue.answer(cid, completion, data)

    def abort_command(self, cid: int) -> bool:
        """Aborts a command for the host; returns whether it was open."""
        io = self.open_commands.pop(cid, None)
        if io is None:
            return False
        self.server.owner.command_abandoned(io)
        self.queue.respond(Completion(cid, Status.ABORT_REQUESTED, do_not_retry=True))
        return True

    def _announced(self, command: Command) -> bool:
        """Returns whether to receive the command's data; if not, the command has been answered here."""
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
        if failure := self.server.subsystem.check_io(controller, command):
            self._send_answer(failure)
            return False
        if command.opcode == Opcode.FLUSH:
            return True
        io = IoCommand(command, self, self.server.transport.now(), controller)
        self.open_commands[command.cid] = io
        self.server.owner.command_announced(io)
        return command.cid in self.open_commands

    def _received(self, command: Command, data: bytes) -> None:
        if self.controller is None:
            self._connect(command, data)
        elif self.queue.number == 0:
            self._admin(self.controller, command)
        elif command.opcode == Opcode.FLUSH:
            # There is no volatile write cache: completed writes are durable, so a flush does nothing.
            self.queue.respond(Completion(command.cid))
        elif io := self.open_commands.get(command.cid):
            self.server.owner.command_received(io, data)

    def _send_answer(self, answer: Answer) -> None:
        if self.controller and answer.completion.status != Status.SUCCESS:
            self.controller.record_error(self.queue.number, answer.completion.cid, answer.completion.status)
        self.queue.respond(answer.completion, answer.data)

    def _connect(self, command: Command, data: bytes) -> None:
        controller, number, answer = self.server.subsystem.connect(command, data)
        if controller is not None:
            self.controller = controller
            self.queue.number = number
            self.queue.size = (command.cdw11 & 0xFFFF) + 1
            self.server.queue_connected(self, controller)
        self._send_answer(answer)

    def _admin(self, controller: Controller, command: Command) -> None:
        if command.opcode == Admin.ABORT:
            found = self.server.abort(controller, command.cdw10 & 0xFFFF, command.cdw10 >> 16)
            self.queue.respond(Completion(command.cid, dw0=0 if found else 1))
        elif answer := self.server.subsystem.admin(controller, command):
            self._send_answer(answer)

    def _ended(self, reason: str) -> None:
        for io in list(self.open_commands.values()):
            self.server.owner.command_abandoned(io)
        self.open_commands.clear()
        self.server.connection_closed(self, reason)


class QueueServer:
    """Accepts connections for a subsystem.

    Attributes:
        max_connections: Further connections are closed at once.
        connections: Open connections.
        by_controller: Connections by controller number and queue number; removed with the controllers.
        closing: No new connections are accepted.
    """

    def __init__(
        self, transport: Transport, subsystem: Subsystem, owner: IoOwner, max_connections: int, log: Any
    ) -> None:
        self.transport, self.subsystem, self.owner, self.log = transport, subsystem, owner, log
        self.max_connections = max_connections
        self.connections: dict[Connection, None] = {}
        self.by_controller: dict[int, dict[int, Connection]] = {}
        self.closing = False

    async def on_stream(self, stream: Stream) -> None:
        """Serves a new connection until it ends."""
        if self.closing or len(self.connections) >= self.max_connections:
            self.log.warning(
                "connection refused: too many connections or closing",
                peer=stream.peer,
                open=len(self.connections),
            )
            stream.close()
            return
        connection = Connection(self, stream)
        self.connections[connection] = None
        await connection.serve()

    def queue_connected(self, connection: Connection, controller: Controller) -> None:
        """Registers a connection; one that carried the same queue before is ended."""
        queues = self.by_controller.setdefault(controller.number, {})
        if (old := queues.get(connection.queue.number)) is not None:
            old.stop("the host connected this queue again")
            queues = self.by_controller.setdefault(controller.number, {})
        queues[connection.queue.number] = connection
        if connection.queue.number == 0 and controller.keep_alive:
            self._check_keep_alive(controller)

    def connection_closed(self, connection: Connection, reason: str) -> None:
        """Removes a connection; with the admin queue ends the whole association."""
        self.connections.pop(connection, None)
        controller = connection.controller
        if controller is None:
            self.log.info(
                "connection ended before its queue was connected", peer=connection.stream.peer, reason=reason
            )
            return
        queues = self.by_controller.get(controller.number, {})
        if queues.get(connection.queue.number) is not connection:
            return
        del queues[connection.queue.number]
        if connection.queue.number == 0:
            self.log.info("host disconnected", host=controller.host, reason=reason)
            self.subsystem.remove(controller)
            self.by_controller.pop(controller.number, None)
            for other in list(queues.values()):
                other.stop("the admin queue ended")

    def abort(self, controller: Controller, queue: int, cid: int) -> bool:
        """Aborts a command of an I/O queue; returns whether it was open."""
        connection = self.by_controller.get(controller.number, {}).get(queue)
        return connection is not None and queue != 0 and connection.abort_command(cid)

    def _check_keep_alive(self, controller: Controller) -> None:
        """Disconnects a host that has sent nothing for its keep-alive time (Base 2.0, section 3.9)."""
        queues = self.by_controller.get(controller.number)
        if not queues or controller.keep_alive <= 0:
            return
        due = max(c.last_received_at for c in queues.values()) + controller.keep_alive
        if due <= self.transport.now():
            queues[0].stop("keep-alive timeout")
        else:
            self.transport.call_at(due, lambda: self._check_keep_alive(controller))

    def stop(self, reason: str) -> None:
        """Ends all connections and accepts no new ones."""
        self.closing = True
        for connection in list(self.connections):
            connection.stop(reason)
