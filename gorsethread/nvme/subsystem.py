"""What a controller answers by itself: Fabrics and admin commands (Base 2.0 section 5, Fabrics section 6).

I/O commands are checked here for what the namespace permits; what becomes of them is for the owner to say.
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
from gorsethread.nvme.controller_queue import IN_CAPSULE_MOST

CAPABILITIES = 0x00
VERSION = 0x08
CONFIGURATION = 0x14
CONTROLLER_STATUS = 0x1C
FEATURE_QUEUES = 0x07
FEATURE_KEEP_ALIVE = 0x0F
LOG_ERROR = 0x01
QUEUE_MOST = 128
BLOCK = 4096  # bytes
BLOCK_SHIFT = 12
RETRY_UNIT = 0.1  # seconds; CRDT values count in it


@dataclass(frozen=True, slots=True)
class Namespace:
    """blocks: its size; boundary: blocks an I/O must not cross (NOIOB), 0 for none."""

    nsid: int
    blocks: int
    boundary: int = 0


@dataclass(slots=True)
class Controller:
    """One host's association; ends with its admin queue."""

    number: int
    host: str
    host_id: bytes
    keep_alive: float
    enabled: bool = False
    queues: int = 0
    waiting_event: int | None = None
    errors: list[tuple[int, int, int]] = field(default_factory=list)  # the last 16: queue, cid, status
    namespaces: dict[int, Namespace] = field(default_factory=dict)

    def failed(self, queue: int, cid: int, status: int) -> None:
        self.errors.append((queue, cid, status))
        del self.errors[:-16]


@dataclass(slots=True)
class Answer:
    completion: Completion
    data: bytes = b""


def _fail(cid: int, status: Status) -> Answer:
    return Answer(Completion(cid, status, do_not_retry=True))


class Subsystem:
    """name: its NQN; admits: the namespaces of a host NQN, None where the host is not known;
    retry_delays: up to three return times in seconds a push-back may name (CRDT1 to CRDT3)."""

    def __init__(
        self,
        name: str,
        admits: "Callable[[str], Iterable[Namespace] | None]",
        serial: str,
        model: str,
        most_data: int,
        retry_delays: tuple[float, ...] = (),
    ) -> None:
        self.name, self.admits, self.serial, self.model = name, admits, serial, model
        self.most_data = most_data
        self.retry_delays = retry_delays
        self.controllers: dict[int, Controller] = {}  # emptied as admin queues end
        self._next = 0

    def connect(self, command: Command, data: bytes) -> "tuple[Controller | None, int, Answer]":
        """The controller a new queue belongs to (None: refused), the queue's number, the answer."""
        cid = command.cid
        queue, size = command.cdw10 >> 16, (command.cdw11 & 0xFFFF) + 1
        invalid = None, 0, _fail(cid, Status.CONNECT_INVALID_PARAMETERS)
        try:
            host_id, number, subsystem, host = read_connect_data(data)
        except (struct.error, UnicodeDecodeError):
            return None, 0, _fail(cid, Status.SGL_LENGTH_INVALID)
        if command.cdw10 & 0xFFFF or not 2 <= size <= QUEUE_MOST or subsystem != self.name:
            return invalid
        if queue:
            known = self.controllers.get(number)
            if not known or known.host != host or not known.enabled or queue > known.queues:
                return invalid
            return known, queue, Answer(Completion(cid, dw0=number))
        namespaces = self.admits(host)
        if namespaces is None:
            return None, 0, _fail(cid, Status.CONNECT_INVALID_HOST)
        if number != 0xFFFF or len(self.controllers) >= 0xFF00:
            return invalid
        while self._next in self.controllers:
            self._next = (self._next + 1) % 0xFFF0
        controller = Controller(self._next, host, host_id, command.cdw12 / 1000.0)
        controller.namespaces = {n.nsid: n for n in namespaces}
        self.controllers[self._next] = controller
        self._next = (self._next + 1) % 0xFFF0
        return controller, 0, Answer(Completion(cid, dw0=controller.number))

    def ended(self, controller: Controller) -> None:
        self.controllers.pop(controller.number, None)

    def admin(self, controller: Controller, command: Command) -> "Answer | None":
        """The answer to an admin command that came whole; None: it is answered later, or by the owner
        (Abort)."""
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
                if controller.waiting_event is not None:
                    return _fail(cid, Status.ASYNC_EVENT_LIMIT)
                controller.waiting_event = cid
                return None
            case Admin.ABORT:
                return None
        return _fail(cid, Status.INVALID_OPCODE)

    def check_io(self, controller: Controller, command: Command) -> "Answer | None":
        """Why an I/O command can't be taken; None where it can."""
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
        edge = namespace.boundary
        if length > self.most_data or edge and first // edge != (first + blocks - 1) // edge:
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
            cap = (QUEUE_MOST - 1) | 1 << 16 | 4 << 24 | 1 << 37
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
                asked = min(command.cdw11 & 0xFFFF, command.cdw11 >> 16) + 1
                controller.queues = min(asked, 64)
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
            after = sorted(n for n in controller.namespaces if n > nsid)[:1024]
            return Answer(Completion(cid), struct.pack(f"<{len(after)}I", *after).ljust(4096, b"\0"))
        return _fail(cid, Status.INVALID_FIELD)

    def _namespace_page(self, n: Namespace) -> bytes:
        page = bytearray(4096)
        struct.pack_into("<QQQ", page, 0, n.blocks, n.blocks, n.blocks)
        struct.pack_into("<H", page, 46, n.boundary & 0xFFFF)
        struct.pack_into("<I", page, 128, BLOCK_SHIFT << 16)
        return bytes(page)

    def _controller_page(self, controller: Controller) -> bytes:
        page = bytearray(4096)
        page[4:24] = self.serial.encode()[:20].ljust(20)
        page[24:64] = self.model.encode()[:40].ljust(40)
        page[64:72] = b"0.2".ljust(8)
        page[77] = max(0, (self.most_data // BLOCK).bit_length() - 1)  # MDTS, a power of two of pages
        struct.pack_into("<HI", page, 78, controller.number, 0x20000)
        page[111] = 1  # an I/O controller
        delays = [round(d / RETRY_UNIT) for d in self.retry_delays[:3]]
        struct.pack_into(f"<{len(delays)}H", page, 128, *delays)
        page[258] = 3  # abort command limit, 0's based
        page[259] = 0  # one asynchronous event out
        page[262] = 15  # error log entries, 0's based
        struct.pack_into("<H", page, 320, 10)  # KAS, keep alive granularity of 1 s
        page[512], page[513] = 0x66, 0x44  # queue entry sizes
        struct.pack_into("<HI", page, 514, QUEUE_MOST, max(controller.namespaces, default=0))
        struct.pack_into("<I", page, 536, 0x00100001)  # SGLs, with offsets in capsules
        page[768:1024] = self.name.encode()[:255].ljust(256, b"\0")
        struct.pack_into("<II", page, 1792, (64 + IN_CAPSULE_MOST) // 16, 1)
        return bytes(page)
