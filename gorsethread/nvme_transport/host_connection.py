"""Dials a subsystem: an admin queue, then I/O queues, as a host does it (Fabrics 1.1, section 3)."""

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
    """Who dials whom: NQNs, and the host's id."""

    subsystem: str
    host: str
    host_id: bytes = bytes(16)


class CommandRejected(GorsethreadError):
    """The controller answered a command of the set-up with a failure."""

    action = "Compare the subsystem's and host's names in the site file with those that the other side knows."


class HostConnection:
    """A host queue on a stream. ended: called once, with the reason, if it ends after it was open."""

    def __init__(self, transport: Transport, stream: Stream, size: int, digests: bool) -> None:
        self.stream = stream
        self.ended: Callable[[str], None] | None = None
        self._opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._calls: dict[asyncio.Future[tuple[Completion, bytes]], None] = {}  # emptied by answers
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
        await self._opened

    async def call(self, command: Command, data: bytes = b"", read: int = 0) -> tuple[Completion, bytes]:
        """The completion and what was read; StreamClosed where the queue ends first."""
        if self.queue.closed:
            raise StreamClosed("the queue has ended")
        answer: asyncio.Future[tuple[Completion, bytes]] = asyncio.get_running_loop().create_future()
        self._calls[answer] = None

        def done(completion: Completion, got: bytes) -> None:
            if not answer.done():
                answer.set_result((completion, got))

        self.queue.submit(command, done, data, read)
        try:
            return await answer
        finally:
            self._calls.pop(answer, None)

    async def call_checked(
        self, command: Command, data: bytes = b"", read: int = 0
    ) -> tuple[Completion, bytes]:
        completion, got = await self.call(command, data, read)
        if not completion.succeeded:
            raise CommandRejected(
                f"opcode 0x{command.opcode:02x} ended with status 0x{completion.status:03x}"
            )
        return completion, got

    def close(self, reason: str = "closed here") -> None:
        self.queue.close(reason)
        self.stream.close()


class Association:
    """A host's admin queue and I/O queues at one controller."""

    def __init__(self, admin: HostConnection, controller: int) -> None:
        self.admin, self.controller = admin, controller
        self.queues: list[HostConnection] = []
        self.retry_delays: tuple[float, ...] = ()

    @property
    def io(self) -> HostConnection:
        return self.queues[0]

    def abort(self, cid: int, queue: int = 1, missed: Callable[[], None] = lambda: None) -> None:
        """Asks the controller to drop a command; what comes of it shows in the command's own completion.
        missed: told if the controller had no such command, or not yet, as it came by another queue."""
        if not self.admin.queue.closed and len(self.admin.queue) < self.admin.queue.size:
            self.admin.queue.submit(
                Command(Admin.ABORT, cdw10=queue | cid << 16),
                lambda done, _: missed() if done.dw0 & 1 else None,
            )

    async def keep_alive(self) -> None:
        await self.admin.call_checked(Command(Admin.KEEP_ALIVE))

    async def identify(self, kind: int, nsid: int = 0) -> bytes:
        """CNS 0: a namespace, 1: the controller, 2: the list of active namespaces."""
        return (await self.admin.call_checked(Command(Admin.IDENTIFY, nsid=nsid, cdw10=kind), read=4096))[1]

    async def namespaces(self) -> list[int]:
        page = await self.identify(2)
        return [n for n in struct.unpack("<1024I", page) if n]

    def close(self, reason: str = "closed here") -> None:
        for queue in (*self.queues, self.admin):
            queue.close(reason)


async def connect_association(
    transport: Transport,
    address: tuple[str, int],
    names: AssociationNames,
    *,
    within: float,
    size: int = 64,
    queues: int = 1,
    digests: bool = False,
    keep_alive: float = 0.0,
) -> Association:
    """An association with its I/O queues connected, in at most that many seconds; Unreachable where not."""
    by = transport.now() + within
    open_queues: list[HostConnection] = []

    async def queue() -> HostConnection:
        stream = await transport.connect(*address, max(0.001, by - transport.now()))
        dialed = HostConnection(transport, stream, size, digests)
        open_queues.append(dialed)
        await dialed.opened()
        return dialed

    def give_up() -> None:
        for dialed in open_queues:
            dialed.close("not set up in time")

    limit = transport.call_at(by, give_up)
    try:
        admin = await queue()
        data = connect_data(names.host_id, 0xFFFF, names.subsystem, names.host)
        done, _ = await admin.call_checked(connect(0, min(size, 32), keep_alive), data)
        association = Association(admin, done.dw0 & 0xFFFF)
        enable = Command(Opcode.FABRICS, nsid=Fabrics.PROPERTY_SET, cdw11=CONFIGURATION, cdw12=0x460001)
        await admin.call_checked(enable)
        await admin.call_checked(
            Command(Admin.SET_FEATURES, cdw10=7, cdw11=(queues - 1) | (queues - 1) << 16)
        )
        page = await association.identify(1)
        in_capsule = struct.unpack_from("<I", page, 1792)[0] * 16 - 64
        association.retry_delays = tuple(d / 10 for d in struct.unpack_from("<3H", page, 128))
        for number in range(1, queues + 1):
            dialed = await queue()
            data = connect_data(names.host_id, association.controller, names.subsystem, names.host)
            await dialed.call_checked(connect(number, size), data)
            dialed.queue.in_capsule = in_capsule
            association.queues.append(dialed)
        return association
    except (StreamClosed, CommandRejected) as error:
        give_up()
        raise Unreachable(f"{address[0]}:{address[1]}: {error}") from None
    except Unreachable:
        give_up()
        raise
    finally:
        limit.cancel()
