"""Encodes and decodes commands and completions.

They are as in NVM Express Base 2.0, sections 3.3.3 and 4, and for Fabrics commands in section 6. Gateways,
clients and backends also use fields that the specification leaves free, listed in docs/wire.md.
"""

import struct
from enum import IntEnum
from typing import NamedTuple

SQE = struct.Struct("<BBHIIIQQIBBBBIIIIII")
CQE = struct.Struct("<IIHHHH")
SGL_IN_CAPSULE = 0x01
SGL_TRANSPORT = 0x5A
PSDT_SGL = 0x40


class Opcode(IntEnum):
    """Opcodes of the NVM command set, and the opcode of Fabrics commands."""

    FLUSH = 0x00
    WRITE = 0x01
    READ = 0x02
    FABRICS = 0x7F


class Admin(IntEnum):
    """Opcodes of admin commands."""

    GET_LOG_PAGE = 0x02
    IDENTIFY = 0x06
    ABORT = 0x08
    SET_FEATURES = 0x09
    GET_FEATURES = 0x0A
    ASYNC_EVENT = 0x0C
    KEEP_ALIVE = 0x18


class Fabrics(IntEnum):
    """Types of Fabrics commands."""

    PROPERTY_SET = 0x00
    CONNECT = 0x01
    PROPERTY_GET = 0x04
    DISCONNECT = 0x08


class Status(IntEnum):
    """Status of a completion: status code type in the high byte, status code in the low byte."""

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
    """A submission queue entry; metadata, cdw2 and cdw3 carry the free fields of Read and Write."""

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
        """Encodes the entry."""
        return self.pack_as(self.cid, self.sgl_type, self.sgl_length)

    def pack_as(self, cid: int, sgl_type: int, sgl_length: int) -> bytes:
        """Encodes the entry with another command id and another description of its data."""
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
        """The first block of a Read or Write."""
        return self.cdw10 | self.cdw11 << 32

    @property
    def blocks(self) -> int:
        """The number of blocks of a Read or Write."""
        return (self.cdw12 & 0xFFFF) + 1

    @property
    def hints(self) -> int:
        """The dataset management byte of a Read or Write: frequency, latency, sequential, incompressible."""
        return self.cdw13 & 0xFF

    @property
    def client_timeout(self) -> float:
        """Seconds for which the client waits for the answer; 0: the timeout of the request class."""
        return self.cdw2 / 1000.0

    @property
    def is_retry(self) -> bool:
        """Whether the client has sent the request before."""
        return bool(self.cdw3 & 1)

    @property
    def attempt(self) -> int:
        """The number of the client's attempt, from 0."""
        return self.cdw3 >> 1 & 0x7F

    @property
    def shard_hint(self) -> int:
        """The shard that holds this extent as the client was told, or -1."""
        return (self.cdw3 >> 16) - 1

    @property
    def label(self) -> int:
        """The client's number for the request, the same in all of its attempts."""
        return self.metadata

    @property
    def to_controller(self) -> bool:
        """Whether data goes to the controller: by bits 1:0 of the opcode, or of a Fabrics command's type."""
        return (self.nsid if self.opcode == Opcode.FABRICS else self.opcode) & 3 == 1


def unpack_command(raw: bytes) -> Command:
    """Decodes a submission queue entry."""
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
    """Returns a Read, Write or Flush.

    Args:
        opcode: READ, WRITE or FLUSH.
        volume: The namespace.
        first_block: The first block.
        blocks: The number of blocks.
        hints: The dataset management byte.
        client_timeout: Seconds for which the client waits; 0 for the request class's timeout.
        attempt: The number of the client's attempt, from 0; also marks a retry.
        shard: The shard that the client was told, or -1.
        label: The client's number for the request.
    """
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
    """A completion queue entry.

    Attributes:
        do_not_retry: The DNR bit.
        retry: Index of one of the controller's retry delays, from 1; 0 for none.
        queue: Identifier of the submission queue.
    """

    cid: int
    status: int = Status.SUCCESS
    do_not_retry: bool = False
    retry: int = 0
    dw0: int = 0
    dw1: int = 0
    sq_head: int = 0
    queue: int = 0

    def pack(self) -> bytes:
        """Encodes the entry."""
        return self.pack_as(self.cid, self.sq_head, self.queue)

    def pack_as(self, cid: int, sq_head: int, queue: int) -> bytes:
        """Encodes the entry for a command of a queue, with the queue's head and number."""
        code = (self.status & 0xFF) << 1 | (self.status >> 8 & 7) << 9
        field = code | (self.retry & 3) << 12 | (0x8000 if self.do_not_retry else 0)
        return CQE.pack(self.dw0, self.dw1, sq_head, queue, cid, field)

    @property
    def succeeded(self) -> bool:
        """Whether the command succeeded."""
        return self.status == Status.SUCCESS

    @property
    def rejected(self) -> bool:
        """Whether the command did not run and may be retried: Command Interrupted without DNR."""
        return self.status == Status.COMMAND_INTERRUPTED and not self.do_not_retry


def unpack_completion(raw: bytes) -> Completion:
    """Decodes a completion queue entry."""
    dw0, dw1, sq_head, queue, cid, field = CQE.unpack(raw)
    status = field >> 1 & 0xFF | (field >> 9 & 7) << 8
    return Completion(cid, status, bool(field & 0x8000), field >> 12 & 3, dw0, dw1, sq_head, queue)


# In a backend's completion of a Read or Write, the low half of dw0 has the units served for other gateways,
# the high half the usage (0, or 1 + percent), and dw1 the backend's service time in microseconds. In a
# gateway's completion, dw0 has 1 + the extent's shard, and dw1 the retry delay of a rejection in
# milliseconds.
def pack_service_report(elsewhere: int, usage: int, seconds: float) -> tuple[int, int]:
    """Returns dw0 and dw1 of a backend's completion; values that are too large are capped.

    Args:
        elsewhere: Units served for other gateways.
        usage: 1 + the usage in percent, or 0 if it is not reported.
        seconds: Service time at the backend.
    """
    return min(elsewhere, 0xFFFF) | min(usage, 0xFFFF) << 16, min(round(seconds * 1e6), 0xFFFFFFFF)


def unpack_service_report(completion: Completion) -> tuple[int, int, float]:
    """Returns units served for other gateways, usage (0: not reported), and seconds of service time."""
    return completion.dw0 & 0xFFFF, completion.dw0 >> 16, completion.dw1 / 1e6


CONNECT_DATA = struct.Struct("<16sH238s256s256s256s")


def connect(queue: int, size: int, keep_alive: float = 0.0) -> Command:
    """Returns a Fabrics Connect; size in entries, keep_alive in seconds (0: none)."""
    return Command(
        Opcode.FABRICS,
        nsid=Fabrics.CONNECT,
        cdw10=queue << 16,
        cdw11=size - 1,
        cdw12=round(keep_alive * 1000),
    )


def connect_data(host_id: bytes, controller: int, subsystem: str, host: str) -> bytes:
    """Encodes the data of a Fabrics Connect."""
    return CONNECT_DATA.pack(host_id, controller, b"", subsystem.encode(), host.encode(), b"")


def read_connect_data(raw: bytes) -> tuple[bytes, int, str, str]:
    """Returns the host id, controller, subsystem NQN and host NQN of a Fabrics Connect.

    Raises:
        struct.error: The data has another length.
        UnicodeDecodeError: A name is not UTF-8.
    """
    host_id, controller, _, subsystem, host, _ = CONNECT_DATA.unpack(raw)
    return host_id, controller, subsystem.split(b"\0")[0].decode(), host.split(b"\0")[0].decode()
