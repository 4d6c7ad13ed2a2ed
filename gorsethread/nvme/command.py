"""Commands and completions (NVM Express Base 2.0, sections 3.3.3 and 4; Fabrics commands in section 6), and
the fields the specification leaves free that a head, its clients and shelves use (table in docs/wire.md)."""

import struct
from enum import IntEnum
from typing import NamedTuple

SQE = struct.Struct("<BBHIIIQQIBBBBIIIIII")
CQE = struct.Struct("<IIHHHH")
SGL_IN_CAPSULE = 0x01
SGL_TRANSPORT = 0x5A
PSDT_SGL = 0x40


class Opcode(IntEnum):
    """NVM command set; admin ones below."""

    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02
    FABRICS = 0x7F


class Admin(IntEnum):
    GET_LOG_PAGE = 0x02
    IDENTIFY = 0x06
    ABORT = 0x08
    SET_FEATURES = 0x09
    GET_FEATURES = 0x0A
    ASYNC_EVENT = 0x0C
    KEEP_ALIVE = 0x18


class Fabrics(IntEnum):
    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04
    DISCONNECT = 0x08


class Status(IntEnum):
    """Status code type in the high byte, status code in the low one."""

    SUCCESS = 0x000
    INVALID_OPCODE = 0x001
    INVALID_FIELD = 0x002
    ID_CONFLICT = 0x003
    DATA_TRANSFER_ERROR = 0x004
    INTERNAL_ERROR = 0x006
    ABORT_REQUESTED = 0x007
    INVALID_NAMESPACE = 0x00B
    COMMAND_SEQUENCE_ERROR = 0x00C
    SGL_LENGTH_INVALID = 0x00F
    SGL_TYPE_INVALID = 0x011
    KEEP_ALIVE_EXPIRED = 0x01B
    COMMAND_INTERRUPTED = 0x021
    TRANSIENT_TRANSPORT_ERROR = 0x022
    LBA_OUT_OF_RANGE = 0x080
    NAMESPACE_NOT_READY = 0x082
    ASYNC_EVENT_LIMIT = 0x105
    INVALID_LOG_PAGE = 0x109
    CONNECT_INVALID_PARAMETERS = 0x182
    CONNECT_INVALID_HOST = 0x184
    UNRECOVERED_READ_ERROR = 0x281
    UNWRITTEN_BLOCK = 0x287


class Command(NamedTuple):
    """A submission queue entry. metadata, cdw2 and cdw3 carry the free fields in Read and Write."""

    opcode: int
    cid: int = 0
    nsid: int = 0
    cdw2: int = 0
    cdw3: int = 0
    metadata: int = 0
    sgl_address: int = 0
    sgl_length: int = 0
    sgl_type: int = 0
    cdw10: int = 0
    cdw11: int = 0
    cdw12: int = 0
    cdw13: int = 0
    cdw14: int = 0
    cdw15: int = 0

    def pack(self) -> bytes:
        return self.pack_as(self.cid, self.sgl_type, self.sgl_length)

    def pack_as(self, cid: int, sgl_type: int, sgl_length: int) -> bytes:
        """The entry under another command id and with another description of its data."""
        return SQE.pack(
            self.opcode,
            PSDT_SGL,
            cid,
            self.nsid,
            self.cdw2,
            self.cdw3,
            self.metadata,
            self.sgl_address,
            sgl_length,
            0,
            0,
            0,
            sgl_type,
            self.cdw10,
            self.cdw11,
            self.cdw12,
            self.cdw13,
            self.cdw14,
            self.cdw15,
        )

    @property
    def first_block(self) -> int:
        return self.cdw10 | self.cdw11 << 32

    @property
    def blocks(self) -> int:
        return (self.cdw12 & 0xFFFF) + 1

    @property
    def hints(self) -> int:
        """Dataset management byte of Read and Write: frequency, latency, sequential, incompressible."""
        return self.cdw13 & 0xFF

    @property
    def client_timeout(self) -> float:
        """Seconds the client waits for this command; 0: as its profile says."""
        return self.cdw2 / 1000.0

    @property
    def is_retry(self) -> bool:
        return bool(self.cdw3 & 1)

    @property
    def attempt(self) -> int:
        """Which try of the client's this is, from 0."""
        return self.cdw3 >> 1 & 0x7F

    @property
    def shard_hint(self) -> int:
        """The shard the client was told holds this extent; -1: it names none."""
        return (self.cdw3 >> 16) - 1

    @property
    def label(self) -> int:
        return self.metadata

    @property
    def to_controller(self) -> bool:
        """Whether data goes to the controller: bits 1:0 of the opcode, of the Fabrics type in Fabrics."""
        return (self.nsid if self.opcode == Opcode.FABRICS else self.opcode) & 3 == 1


def unpack_command(raw: bytes) -> Command:
    (opcode, _, cid, nsid, cdw2, cdw3, metadata, address, length, _, _, _, sgl, *rest) = SQE.unpack(raw)
    return Command(opcode, cid, nsid, cdw2, cdw3, metadata, address, length, sgl, *rest)


def io_command(
    opcode: Opcode,
    volume: int,
    first_block: int = 0,
    blocks: int = 1,
    *,
    hints: int = 0,
    client_timeout: float = 0.0,
    attempt: int = 0,
    shard: int = -1,
    label: int = 0,
) -> Command:
    """A Read, Write or Flush; client_timeout in seconds, the free fields left 0 where not given."""
    return Command(
        opcode,
        nsid=volume,
        cdw2=round(client_timeout * 1000),
        metadata=label,
        cdw3=(1 if attempt else 0) | (attempt & 0x7F) << 1 | (shard + 1) << 16,
        cdw10=first_block & 0xFFFFFFFF,
        cdw11=first_block >> 32,
        cdw12=blocks - 1,
        cdw13=hints,
    )


class Completion(NamedTuple):
    """A completion queue entry. retry: index of the controller's retry delay, 0 for none."""

    cid: int
    status: int = Status.SUCCESS
    do_not_retry: bool = False  # the DNR bit
    retry: int = 0
    dw0: int = 0
    dw1: int = 0
    sq_head: int = 0
    queue: int = 0

    def pack(self) -> bytes:
        return self.pack_as(self.cid, self.sq_head, self.queue)

    def pack_as(self, cid: int, sq_head: int, queue: int) -> bytes:
        """The entry as a queue sends it for one of its commands."""
        code = (self.status & 0xFF) << 1 | (self.status >> 8 & 7) << 9
        field = code | (self.retry & 3) << 12 | (0x8000 if self.do_not_retry else 0)
        return CQE.pack(self.dw0, self.dw1, sq_head, queue, cid, field)

    @property
    def succeeded(self) -> bool:
        return self.status == Status.SUCCESS

    @property
    def rejected(self) -> bool:
        """Never ran and may come again: Command Interrupted with do-not-retry clear."""
        return self.status == Status.COMMAND_INTERRUPTED and not self.do_not_retry


def unpack_completion(raw: bytes) -> Completion:
    dw0, dw1, sq_head, queue, cid, field = CQE.unpack(raw)
    status = field >> 1 & 0xFF | (field >> 9 & 7) << 8
    return Completion(cid, status, bool(field & 0x8000), field >> 12 & 3, dw0, dw1, sq_head, queue)


# What a shelf tells in the completion of a Read or Write: dw0 holds units served elsewhere (low half) and
# usage (high half: 0 or 1 + percent), dw1 its own service time in microseconds. A head tells its clients
# 1 + the shard that holds the extent in dw0, and the return time of a push-back in milliseconds in dw1.
def pack_service_report(elsewhere: int, usage: int, seconds: float) -> tuple[int, int]:
    return min(elsewhere, 0xFFFF) | min(usage, 0xFFFF) << 16, min(round(seconds * 1e6), 0xFFFFFFFF)


def unpack_service_report(c: Completion) -> tuple[int, int, float]:
    """Units served elsewhere, usage (0: none told), seconds in work at the shelf."""
    return c.dw0 & 0xFFFF, c.dw0 >> 16, c.dw1 / 1e6


CONNECT_DATA = struct.Struct("<16sH238s256s256s256s")


def connect(queue: int, size: int, keep_alive: float = 0.0) -> Command:
    """Fabrics Connect; size in entries, keep_alive in seconds (0: none)."""
    return Command(
        Opcode.FABRICS,
        nsid=Fabrics.CONNECT,
        cdw10=queue << 16,
        cdw11=size - 1,
        cdw12=round(keep_alive * 1000),
    )


def connect_data(host_id: bytes, controller: int, subsystem: str, host: str) -> bytes:
    return CONNECT_DATA.pack(host_id, controller, b"", subsystem.encode(), host.encode(), b"")


def read_connect_data(raw: bytes) -> tuple[bytes, int, str, str]:
    """Host id, controller, subsystem NQN, host NQN; UnicodeDecodeError where a name is no UTF-8."""
    host_id, controller, _, subsystem, host, _ = CONNECT_DATA.unpack(raw)
    return host_id, controller, subsystem.split(b"\0")[0].decode(), host.split(b"\0")[0].decode()
