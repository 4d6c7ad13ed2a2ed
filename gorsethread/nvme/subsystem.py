"""Answers Fabrics and admin commands (NVM Express Base 2.0, section 5; Fabrics in section 6).

I/O commands are only checked against the limits of their namespace; the server's owner carries them out.
"""

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gorsethread.nvme.command import (
    Admin,
    Command,
    Completion,
    Fabrics,
    Opcode,
    Status,
    read_connect_data,
)
from gorsethread.nvme.controller_queue import MAX_IN_CAPSULE_BYTES

CAPABILITIES = 0x00
VERSION = 0x08
CONFIGURATION = 0x14
CONTROLLER_STATUS = 0x1C
FEATURE_QUEUES = 0x07
FEATURE_KEEP_ALIVE = 0x0F
LOG_ERROR = 0x01
MAX_QUEUE_ENTRIES = 128
BLOCK = 4096  # bytes
BLOCK_SHIFT = 12
RETRY_DELAY_UNIT = 0.1  # seconds; unit of CRDT1 to CRDT3


@dataclass(frozen=True, slots=True)
class Namespace:
    """A namespace as a host sees it.

    Attributes:
        blocks: Its size.
        boundary: An I/O must not cross a multiple of this number of blocks (NOIOB); 0 for no boundary.
    """

    nsid: int
    blocks: int
    boundary: int = 0


@dataclass(slots=True)
class Controller:
    """One host's association; it ends with its admin queue.

    Attributes:
        keep_alive: Seconds without a message after which the host is disconnected; 0 for none.
        queues: Number of I/O queues that the host may connect.
        pending_event: Command id of its Asynchronous Event Request, if one is open.
        errors: Queue, command id and status of the last 16 commands that failed.
    """

    number: int
    host: str
    host_id: bytes
    keep_alive: float
    enabled: bool = False
    queues: int = 0
    pending_event: int | None = None
    errors: list[tuple[int, int, int]] = field(default_factory=list)
    namespaces: dict[int, Namespace] = field(default_factory=dict)

    def record_error(self, queue: int, cid: int, status: int) -> None:
        """Adds a failed command to the error log, which keeps the last 16."""
        self.errors.append((queue, cid, status))
        del self.errors[:-16]


@dataclass(slots=True)
class Answer:
    """A completion, and the data that the command reads."""

    completion: Completion
    data: bytes = b""


def _fail(cid: int, status: Status) -> Answer:
    return Answer(Completion(cid, status, do_not_retry=True))


class Subsystem:
    """An NVM subsystem and its controllers.

    Attributes:
        name: Its NQN.
        admits: Returns the namespaces of a host NQN, or None if the host is unknown.
        max_data: Largest number of data bytes of a command.
        retry_delays: Up to three delays in seconds that a rejection may name (CRDT1 to CRDT3).
        controllers: By number; a controller is removed when its admin queue ends.
    """

    def __init__(
        self,
        name: str,
        admits: "Callable[[str], Iterable[Namespace] | None]",
        serial: str,
        model: str,
        max_data: int,
        retry_delays: tuple[float, ...] = (),
    ) -> None:
        self.name, self.admits, self.serial, self.model = name, admits, serial, model
        self.max_data = max_data
        self.retry_delays = retry_delays
        self.controllers: dict[int, Controller] = {}
        self._next_number = 0

    def connect(self, command: Command, data: bytes) -> "tuple[Controller | None, int, Answer]":
        """Handles a Fabrics Connect.

        Returns:
            The controller of the new queue, or None if the Connect failed; the queue's number; the answer.
        """
        cid = command.cid
        queue, size = command.cdw10 >> 16, (command.cdw11 & 0xFFFF) + 1
        invalid = None, 0, _fail(cid, Status.CONNECT_INVALID_PARAMETERS)
        try:
            host_id, number, subsystem, host = read_connect_data(data)
        except (struct.error, UnicodeDecodeError):
            return None, 0, _fail(cid, Status.SGL_LENGTH_INVALID)
        if command.cdw10 & 0xFFFF or not 2 <= size <= MAX_QUEUE_ENTRIES or subsystem != self.name:
            return invalid
        if queue:
            existing = self.controllers.get(number)
            if not existing or existing.host != host or not existing.enabled or queue > existing.queues:
                return invalid
            return existing, queue, Answer(Completion(cid, dw0=number))
        namespaces = self.admits(host)
        if namespaces is None:
            return None, 0, _fail(cid, Status.CONNECT_INVALID_HOST)
        if number != 0xFFFF or len(self.controllers) >= 0xFF00:
            return invalid
        while self._next_number in self.controllers:
            self._next_number = (self._next_number + 1) % 0xFFF0
        controller = Controller(self._next_number, host, host_id, command.cdw12 / 1000.0)
        controller.namespaces = {n.nsid: n for n in namespaces}
        self.controllers[self._next_number] = controller
        self._next_number = (self._next_number + 1) % 0xFFF0
        return controller, 0, Answer(Completion(cid, dw0=controller.number))

    def remove(self, controller: Controller) -> None:
        """Removes a controller whose admin queue has ended."""
        self.controllers.pop(controller.number, None)

    def admin(self, controller: Controller, command: Command) -> "Answer | None":
        """Returns the answer to an admin command, or None if it is answered later or by the server."""
        cid = command.cid
        ok = Completion(cid)
        match command.opcode:
            case Opcode.FABRICS:
                return self._property(controller, command)
            case Admin.IDENTIFY:
                return self._identify(controller, command)
            case Admin.SET_FEATURES | Admin.GET_FEATURES:
                return self._feature(controller, command)
            case Admin.GET_LOG_PAGE:
                return self._log_page(controller, command)
            case Admin.KEEP_ALIVE:
                return Answer(ok)
            case Admin.ASYNC_EVENT:
                if controller.pending_event is not None:
                    return _fail(cid, Status.ASYNC_EVENT_LIMIT)
                controller.pending_event = cid
                return None
            case Admin.ABORT:
                return None  # answered by the server
        return _fail(cid, Status.INVALID_OPCODE)

    def check_io(self, controller: Controller, command: Command) -> "Answer | None":
        """Returns the failure of an I/O command that is not valid, or None if it is valid."""
        cid = command.cid
        if command.opcode not in (Opcode.FLUSH, Opcode.READ, Opcode.WRITE):
            return _fail(cid, Status.INVALID_OPCODE)
        namespace = controller.namespaces.get(command.nsid)
        if namespace is None:
            return _fail(cid, Status.INVALID_NAMESPACE)
        if command.opcode == Opcode.FLUSH:
            return None
        first, blocks = command.first_block, command.blocks
        if first + blocks > namespace.blocks:
            return _fail(cid, Status.LBA_OUT_OF_RANGE)
        length = command.sgl_length
        if length != blocks * BLOCK:
            return _fail(cid, Status.SGL_LENGTH_INVALID)
        boundary = namespace.boundary
        last = first + blocks - 1
        if length > self.max_data or boundary and first // boundary != last // boundary:
            return _fail(cid, Status.INVALID_FIELD)
        return None

    def _property(self, controller: Controller, command: Command) -> Answer:
        cid, offset = command.cid, command.cdw11
        kind = command.nsid & 0xFF
        if kind == Fabrics.PROPERTY_SET:
            if offset != CONFIGURATION or command.cdw10 & 7:
                return _fail(cid, Status.INVALID_FIELD)
            controller.enabled = bool(command.cdw12 & 1)
            return Answer(Completion(cid))
        if kind == Fabrics.PROPERTY_GET:
            ready = 1 if controller.enabled else 0
            # MQES, CQR, TO of 2 s, NVM command set
            cap = (MAX_QUEUE_ENTRIES - 1) | 1 << 16 | 4 << 24 | 1 << 37
            values = {
                CAPABILITIES: cap,
                VERSION: 0x20000,
                CONFIGURATION: 0x460000 | ready,
                CONTROLLER_STATUS: ready,
            }
            wide = command.cdw10 & 7 == 1
            if offset not in values or wide != (offset == CAPABILITIES):
                return _fail(cid, Status.INVALID_FIELD)
            value = values[offset]
            return Answer(Completion(cid, dw0=value & 0xFFFFFFFF, dw1=value >> 32))
        return _fail(cid, Status.INVALID_OPCODE)

    def _feature(self, controller: Controller, command: Command) -> Answer:
        cid, feature = command.cid, command.cdw10 & 0xFF
        setting = command.opcode == Admin.SET_FEATURES
        if feature == FEATURE_QUEUES:
            if setting:
                requested = min(command.cdw11 & 0xFFFF, command.cdw11 >> 16) + 1
                controller.queues = min(requested, 64)
            granted = max(controller.queues, 1) - 1
            return Answer(Completion(cid, dw0=granted | granted << 16))
        if feature == FEATURE_KEEP_ALIVE:
            if setting:
                controller.keep_alive = command.cdw11 / 1000.0
            return Answer(Completion(cid, dw0=round(controller.keep_alive * 1000)))
        return _fail(cid, Status.INVALID_FIELD)

    def _log_page(self, controller: Controller, command: Command) -> Answer:
        length = ((command.cdw10 >> 16) + 1 + ((command.cdw11 & 0xFFFF) << 16)) * 4
        if command.cdw10 & 0xFF != LOG_ERROR:
            return _fail(command.cid, Status.INVALID_LOG_PAGE)
        if length != command.sgl_length or length > 64 * 16:
            return _fail(command.cid, Status.INVALID_FIELD)
        page = b""
        for n, (queue, cid, status) in enumerate(reversed(controller.errors)):
            entry = struct.pack("<QHHH", len(controller.errors) - n, queue, cid, status << 1)
            page += entry.ljust(64, b"\0")
        return Answer(Completion(command.cid), page[:length].ljust(length, b"\0"))

    def _identify(self, controller: Controller, command: Command) -> Answer:
        cid, kind, nsid = command.cid, command.cdw10 & 0xFF, command.nsid
        if command.sgl_length != 4096:
            return _fail(cid, Status.SGL_LENGTH_INVALID)
        if kind == 0x00:
            namespace = controller.namespaces.get(nsid)
            if namespace is None:
                return _fail(cid, Status.INVALID_NAMESPACE)
            return Answer(Completion(cid), self._namespace_page(namespace))
        if kind == 0x01:
            return Answer(Completion(cid), self._controller_page(controller))
        if kind == 0x02:
            numbers = sorted(n for n in controller.namespaces if n > nsid)[:1024]
            return Answer(Completion(cid), struct.pack(f"<{len(numbers)}I", *numbers).ljust(4096, b"\0"))
        return _fail(cid, Status.INVALID_FIELD)

    def _namespace_page(self, namespace: Namespace) -> bytes:
        page = bytearray(4096)
        struct.pack_into("<QQQ", page, 0, namespace.blocks, namespace.blocks, namespace.blocks)
        struct.pack_into("<H", page, 46, namespace.boundary & 0xFFFF)
        struct.pack_into("<I", page, 128, BLOCK_SHIFT << 16)
        return bytes(page)

    def _controller_page(self, controller: Controller) -> bytes:
        page = bytearray(4096)
        page[4:24] = self.serial.encode()[:20].ljust(20)
        page[24:64] = self.model.encode()[:40].ljust(40)
        page[64:72] = b"0.2".ljust(8)
        page[77] = max(0, (self.max_data // BLOCK).bit_length() - 1)  # MDTS, a power of two of pages
        struct.pack_into("<HI", page, 78, controller.number, 0x20000)
        page[111] = 1  # an I/O controller
        delays = [round(d / RETRY_DELAY_UNIT) for d in self.retry_delays[:3]]
        struct.pack_into(f"<{len(delays)}H", page, 128, *delays)
        page[258] = 3  # abort command limit, 0's based
        page[259] = 0  # asynchronous event request limit, 0's based
        page[262] = 15  # error log entries, 0's based
        struct.pack_into("<H", page, 320, 10)  # KAS, keep alive granularity of 1 s
        page[512], page[513] = 0x66, 0x44  # queue entry sizes
        struct.pack_into("<HI", page, 514, MAX_QUEUE_ENTRIES, max(controller.namespaces, default=0))
        struct.pack_into("<I", page, 536, 0x00100001)  # SGLs, with offsets in capsules
        page[768:1024] = self.name.encode()[:255].ljust(256, b"\0")
        struct.pack_into("<II", page, 1792, (64 + MAX_IN_CAPSULE_BYTES) // 16, 1)
        return bytes(page)
