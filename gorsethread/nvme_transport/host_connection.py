"""Connects to an NVM subsystem as a host: an admin queue, then I/O queues (Fabrics 1.1, section 3)."""

import asyncio
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gorsethread.errors import GorsethreadError
from gorsethread.nvme.command import (
    Admin,
    Command,
    Completion,
    Fabrics,
    Opcode,
    connect,
    connect_data,
)
from gorsethread.nvme.host_queue import HostQueue
from gorsethread.nvme.subsystem import CONFIGURATION
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

MAX_UNSENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class AssociationNames:
    """The NQNs of the subsystem and the host, and the host's id."""

    subsystem: str
    host: str
    host_id: bytes = bytes(16)


class CommandRejected(GorsethreadError):
    """The controller failed a command that is needed to connect or to identify."""

    action = (
        "Compare the NQNs of subsystem and host in the site file with those configured on the other side."
    )


class HostConnection:
    """A connection to a controller, which carries one queue.

    Attributes:
        ended: If set, called once with the reason when the queue ends.
    """

    def __init__(self, transport: Transport, stream: Stream, size: int, digests: bool) -> None:
        self.stream = stream
        self.ended: Callable[[str], None] | None = None
        self._opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._calls: dict[asyncio.Future[tuple[Completion, bytes]], None] = {}  # completed calls are removed
        self.queue = HostQueue(stream.write, self._ready, self._ended, size, digests)
        transport.spawn(self._pump())

    def _ready(self) -> None:
        if not self._opened.done():
            self._opened.set_result(None)

    def _ended(self, reason: str) -> None:
        all_waiting: list[asyncio.Future[Any]] = [self._opened, *self._calls]
        for waiting in all_waiting:
            if not waiting.done():
                waiting.set_exception(StreamClosed(reason))
                waiting.exception()
        if self.ended:
            self.ended(reason)

    async def _pump(self) -> None:
        try:
            while not self.queue.closed:
                self.queue.feed(await self.stream.read())
                if self.stream.unsent > MAX_UNSENT_BYTES:
                    await self.stream.drained()
            await self.stream.drained()
        except StreamClosed as error:
            self.queue.close(str(error))
        finally:
            self.stream.close()

    async def opened(self) -> None:
        """Waits until the controller has accepted the connection's parameters.

        Raises:
            StreamClosed: The queue has ended before.
        """
        await self._opened

    async def call(
        self, command: Command, data: bytes = b"", read_bytes: int = 0
    ) -> tuple[Completion, bytes]:
        """Sends a command; returns its completion and the data read.

        Raises:
            StreamClosed: The queue has ended, or ends before the completion.
        """
        if self.queue.closed:
            raise StreamClosed("the queue has ended")
        answer: asyncio.Future[tuple[Completion, bytes]] = asyncio.get_running_loop().create_future()
        self._calls[answer] = None

        def on_completion(completion: Completion, received: bytes) -> None:
            if not answer.done():
                answer.set_result((completion, received))

        self.queue.submit(command, on_completion, data, read_bytes)
        try:
            return await answer
        finally:
            self._calls.pop(answer, None)

    async def call_checked(
        self, command: Command, data: bytes = b"", read_bytes: int = 0
    ) -> tuple[Completion, bytes]:
        """Sends a command; returns its completion and the data read.

        Raises:
            CommandRejected: The controller failed the command.
            StreamClosed: The queue has ended, or ends before the completion.
        """
        completion, received = await self.call(command, data, read_bytes)
        if not completion.succeeded:
            raise CommandRejected(
                f"opcode 0x{command.opcode:02x} ended with status 0x{completion.status:03x}"
            )
        return completion, received

    def close(self, reason: str = "closed here") -> None:
        """Ends the queue and closes the stream."""
        self.queue.close(reason)
        self.stream.close()


class Association:
    """A host's admin queue and I/O queues at one controller.

    Attributes:
        retry_delays: The controller's retry delays in seconds (CRDT1 to CRDT3).
    """

    def __init__(self, admin: HostConnection, controller: int) -> None:
        self.admin, self.controller = admin, controller
        self.queues: list[HostConnection] = []
        self.retry_delays: tuple[float, ...] = ()

    @property
    def io(self) -> HostConnection:
        """The first I/O queue."""
        return self.queues[0]

    def abort(self, cid: int, queue: int = 1, not_found: Callable[[], None] = lambda: None) -> None:
        """Asks the controller to abort a command; the command's own completion shows the result.

        not_found is called if the controller does not have the command, or not yet, since the command is sent
        on another queue than the abort. Does nothing if the admin queue is closed or full.
        """
        if not self.admin.queue.closed and len(self.admin.queue) < self.admin.queue.size:
            self.admin.queue.submit(
                Command(Admin.ABORT, cdw10=queue | cid << 16),
                lambda completion, _: not_found() if completion.dw0 & 1 else None,
            )

    async def keep_alive(self) -> None:
        """Sends a Keep Alive."""
        await self.admin.call_checked(Command(Admin.KEEP_ALIVE))

    async def identify(self, kind: int, nsid: int = 0) -> bytes:
        """Sends an Identify; kind is its CNS: 0 a namespace, 1 the controller, 2 the active namespaces."""
        return (
            await self.admin.call_checked(Command(Admin.IDENTIFY, nsid=nsid, cdw10=kind), read_bytes=4096)
        )[1]

    async def namespaces(self) -> list[int]:
        """Returns the numbers of the active namespaces."""
        page = await self.identify(2)
        return [n for n in struct.unpack("<1024I", page) if n]

    def close(self, reason: str = "closed here") -> None:
        """Ends all queues."""
        for queue in (*self.queues, self.admin):
            queue.close(reason)


async def connect_association(
    transport: Transport,
    address: tuple[str, int],
    names: AssociationNames,
    *,
    timeout: float,
    size: int = 64,
    queues: int = 1,
    digests: bool = False,
    keep_alive: float = 0.0,
) -> Association:
    """Connects the admin queue and the I/O queues.

    Args:
        transport: Opens the connections.
        address: Host and port of the subsystem.
        names: The NQNs, and the host's id.
        timeout: Seconds in which all queues must be connected.
        size: Entries of each I/O queue.
        queues: Number of I/O queues.
        digests: Whether to ask for header and data digests.
        keep_alive: Keep-alive time in seconds; 0 for none.

    Raises:
        Unreachable: The queues could not be connected in time.
    """
    deadline = transport.now() + timeout
    open_queues: list[HostConnection] = []

    async def open_queue() -> HostConnection:
        stream = await transport.connect(*address, max(0.001, deadline - transport.now()))
        connection = HostConnection(transport, stream, size, digests)
        open_queues.append(connection)
        await connection.opened()
        return connection

    def close_all() -> None:
        for connection in open_queues:
            connection.close("not connected in time")

    timer = transport.call_at(deadline, close_all)
    try:
        admin = await open_queue()
        data = connect_data(names.host_id, 0xFFFF, names.subsystem, names.host)
        completion, _ = await admin.call_checked(connect(0, min(size, 32), keep_alive), data)
        association = Association(admin, completion.dw0 & 0xFFFF)
        enable = Command(Opcode.FABRICS, nsid=Fabrics.PROPERTY_SET, cdw11=CONFIGURATION, cdw12=0x460001)
        await admin.call_checked(enable)
        await admin.call_checked(
            Command(Admin.SET_FEATURES, cdw10=7, cdw11=(queues - 1) | (queues - 1) << 16)
        )
        page = await association.identify(1)
        max_in_capsule = struct.unpack_from("<I", page, 1792)[0] * 16 - 64
        association.retry_delays = tuple(delay / 10 for delay in struct.unpack_from("<3H", page, 128))
        for number in range(1, queues + 1):
            connection = await open_queue()
            data = connect_data(names.host_id, association.controller, names.subsystem, names.host)
            await connection.call_checked(connect(number, size), data)
            connection.queue.max_in_capsule = max_in_capsule
            association.queues.append(connection)
        return association
    except (StreamClosed, CommandRejected) as error:
        close_all()
        raise Unreachable(f"{address[0]}:{address[1]}: {error}") from None
    except Unreachable:
        close_all()
        raise
    finally:
        timer.cancel()
