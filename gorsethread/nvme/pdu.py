"""Encodes and decodes PDUs of NVMe/TCP (NVM Express TCP Transport Specification 1.0, section 3.6).

The decoder accepts the byte stream in pieces of any size. It never raises an exception because of what a peer
sent: for the first PDU that violates the specification it returns a Malformed, which names the fatal error
status to send, and then it decodes nothing more.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import google_crc32c


class PduType(IntEnum):
    """Types of PDUs."""

    IC_REQ = 0x00
    IC_RESP = 0x01
    H2C_TERM = 0x02
    C2H_TERM = 0x03
    CAPSULE_CMD = 0x04
    CAPSULE_RESP = 0x05
    H2C_DATA = 0x06
    C2H_DATA = 0x07
    R2T = 0x09


class FatalError(IntEnum):
    """Fatal error status (FES) of a TermReq (section 3.6.2.5)."""

    INVALID_HEADER_FIELD = 0x01
    SEQUENCE_ERROR = 0x02
    HEADER_DIGEST_ERROR = 0x03
    DATA_OUT_OF_RANGE = 0x04
    DATA_LIMIT_EXCEEDED = 0x05
    UNSUPPORTED_PARAMETER = 0x06


HEADER_DIGEST = 0x01  # bits of the common header's flags
DATA_DIGEST = 0x02
LAST_PDU = 0x04
COMMON = struct.Struct("<BBBBI")
IC_BODY = struct.Struct("<HBBI")
DATA_BODY = struct.Struct("<HHIII")
TERM_BODY = struct.Struct("<HI")
HEADER_LENGTHS = {
    PduType.IC_REQ: 128,
    PduType.IC_RESP: 128,
    PduType.H2C_TERM: 24,
    PduType.C2H_TERM: 24,
    PduType.CAPSULE_CMD: 72,
    PduType.CAPSULE_RESP: 24,
    PduType.H2C_DATA: 24,
    PduType.C2H_DATA: 24,
    PduType.R2T: 24,
}
CARRIES_DATA = {PduType.CAPSULE_CMD, PduType.H2C_DATA, PduType.C2H_DATA}
WITHOUT_DIGEST = {PduType.IC_REQ, PduType.IC_RESP, PduType.H2C_TERM, PduType.C2H_TERM}
TO_CONTROLLER = frozenset({PduType.IC_REQ, PduType.H2C_TERM, PduType.CAPSULE_CMD, PduType.H2C_DATA})
TO_HOST = frozenset({PduType.IC_RESP, PduType.C2H_TERM, PduType.CAPSULE_RESP, PduType.C2H_DATA, PduType.R2T})
# By the type's number on the wire: type, header length, whether it may have digests and whether data.
LAYOUTS = {
    int(type): (type, length, type not in WITHOUT_DIGEST, type in CARRIES_DATA)
    for type, length in HEADER_LENGTHS.items()
}
MAX_TERM_DATA_BYTES = 128  # a TermReq is 152 bytes at most
MAX_PADDING_BYTES = 128  # HPDA and CPDA are 0 here, but a peer may still align its data


@dataclass(frozen=True, slots=True)
class Initialize:
    """An ICReq or ICResp.

    Attributes:
        limit: MAXR2T (0's based) of an ICReq, or MAXH2CDATA in bytes of an ICResp.
    """

    type: PduType
    version: int
    alignment: int
    header_digest: bool
    data_digest: bool
    limit: int


class CapsuleCmd(NamedTuple):
    """A command capsule; intact is False if the data digest does not match."""

    sqe: bytes
    data: bytes
    intact: bool


class CapsuleResp(NamedTuple):
    """A response capsule."""

    cqe: bytes


class DataTransfer(NamedTuple):
    """An H2CData or C2HData; the offset is in bytes, intact is False if the data digest does not match."""

    type: PduType
    cid: int
    tag: int
    offset: int
    data: bytes
    last: bool
    intact: bool


@dataclass(frozen=True, slots=True)
class ReadyToTransfer:
    """An R2T: the controller asks for data; offset and length in bytes."""

    cid: int
    tag: int
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Terminate:
    """A TermReq: the peer ends the connection because of a fatal error."""

    type: PduType
    error: int
    information: int
    header: bytes


@dataclass(frozen=True, slots=True)
class Malformed:
    """A PDU that violates the specification; error and information go into the TermReq."""

    error: FatalError
    information: int
    header: bytes
    reason: str


Pdu = Initialize | CapsuleCmd | CapsuleResp | DataTransfer | ReadyToTransfer | Terminate
crc32c: Callable[[bytes], int] = google_crc32c.value


def _digest(data: bytes) -> bytes:
    return crc32c(data).to_bytes(4, "little")


def initialize(type: PduType, header_digest: bool, data_digest: bool, limit: int) -> bytes:
    """Encodes an ICReq or ICResp; limit is its MAXR2T or MAXH2CDATA."""
    digests = (1 if header_digest else 0) | (2 if data_digest else 0)
    start = COMMON.pack(type, 0, 128, 0, 128) + IC_BODY.pack(0, 0, digests, limit)
    return start + bytes(128 - len(start))


def terminate(type: PduType, error: int, information: int, header: bytes) -> bytes:
    """Encodes a TermReq; header is the beginning of the PDU that caused it."""
    cause = header[:MAX_TERM_DATA_BYTES]
    start = COMMON.pack(type, 0, 24, 0, 24 + len(cause)) + TERM_BODY.pack(error, information)
    return start + bytes(24 - len(start)) + cause


class Encoder:
    """Encodes PDUs with the digests that both sides have agreed on."""

    def __init__(self) -> None:
        self.header_digest = self.data_digest = False

    def _frame(self, type: PduType, flags: int, body: bytes, data: bytes = b"") -> bytes:
        length = 8 + len(body)
        offset = length + (4 if self.header_digest else 0)
        total = offset + (len(data) + (4 if self.data_digest else 0) if data else 0)
        flags |= HEADER_DIGEST if self.header_digest else 0
        flags |= DATA_DIGEST if data and self.data_digest else 0
        header = COMMON.pack(type, flags, length, offset if data else 0, total) + body
        parts = [header]
        if self.header_digest:
            parts.append(_digest(header))
        if data:
            parts.append(data)
            if self.data_digest:
                parts.append(_digest(data))
        return b"".join(parts)

    def capsule_cmd(self, sqe: bytes, data: bytes = b"") -> bytes:
        """Encodes a command capsule."""
        return self._frame(PduType.CAPSULE_CMD, 0, sqe, data)

    def capsule_resp(self, cqe: bytes) -> bytes:
        """Encodes a response capsule."""
        return self._frame(PduType.CAPSULE_RESP, 0, cqe)

    def data(self, type: PduType, cid: int, tag: int, offset: int, data: bytes, last: bool) -> bytes:
        """Encodes an H2CData or C2HData."""
        body = DATA_BODY.pack(cid, tag, offset, len(data), 0)
        return self._frame(type, LAST_PDU if last else 0, body, data)

    def ready_to_transfer(self, cid: int, tag: int, offset: int, length: int) -> bytes:
        """Encodes an R2T."""
        return self._frame(PduType.R2T, 0, DATA_BODY.pack(cid, tag, offset, length, 0))


class Decoder:
    """Decodes a byte stream to PDUs.

    After feed() it buffers less than one PDU of the largest permitted size.

    Attributes:
        accepts: The types that this side may receive.
        max_data: Bytes of data that a PDU may carry.
        ended: A malformed PDU was received.
    """

    def __init__(self, accepts: frozenset[PduType], max_data: int) -> None:
        self.accepts = accepts
        self.max_data = max_data
        self.header_digest = self.data_digest = False
        self.ended = False
        self._buffer = bytearray()
        self._position = 0  # where the next PDU begins in the buffer; 0 after feed()

    def feed(self, data: bytes) -> "list[Pdu | Malformed]":
        """Returns the PDUs that these bytes complete; after a Malformed, returns none."""
        pdus: list[Pdu | Malformed] = []
        if self.ended:
            return pdus
        self._buffer += data
        while not self.ended and (pdu := self._next_pdu()):
            pdus.append(pdu)
            self.ended = isinstance(pdu, Malformed)
        del self._buffer[: self._position]
        self._position = 0
        return pdus

    def agree(self, header_digest: bool, data_digest: bool) -> None:
        """Sets which digests the following PDUs have."""
        self.header_digest, self.data_digest = header_digest, data_digest

    def _malformed(self, error: FatalError, information: int, reason: str) -> Malformed:
        return Malformed(
            error,
            information,
            bytes(self._buffer[self._position : self._position + MAX_TERM_DATA_BYTES]),
            reason,
        )

    def _next_pdu(self) -> "Pdu | Malformed | None":
        buffer, position = self._buffer, self._position
        if len(buffer) - position < 8:
            return None
        number, flags, header_length, data_offset, length = COMMON.unpack_from(buffer, position)
        invalid_field = FatalError.INVALID_HEADER_FIELD
        layout = LAYOUTS.get(number)
        if layout is None or layout[0] not in self.accepts:
            return self._malformed(
                invalid_field, 0, f"PDU type 0x{number:02x} is not valid in this direction"
            )
        type, expected_length, digests, has_data = layout
        header_digest = 4 if self.header_digest and digests else 0
        if header_length != expected_length:
            return self._malformed(invalid_field, 2, f"header length {header_length} in {type.name}")
        if bool(flags & HEADER_DIGEST) != bool(header_digest):
            return self._malformed(invalid_field, 1, "header digest flag does not match the agreed digests")
        prefix = header_length + header_digest  # bytes before padding and data
        if type in (PduType.H2C_TERM, PduType.C2H_TERM):
            max_length = header_length + MAX_TERM_DATA_BYTES
        elif has_data:
            max_length = prefix + MAX_PADDING_BYTES + self.max_data + 4
        else:
            max_length = prefix
        if not prefix <= length <= max_length:
            return self._malformed(invalid_field, 4, f"PDU length {length} in {type.name}")
        if (
            has_data
            and length > prefix
            and not prefix <= data_offset <= min(length, prefix + MAX_PADDING_BYTES)
        ):
            return self._malformed(invalid_field, 3, f"data offset {data_offset} in {type.name}")
        if len(buffer) - position < length:
            return None
        pdu = bytes(buffer[position : position + length])
        if header_digest and _digest(pdu[:header_length]) != pdu[header_length:prefix]:
            received = int.from_bytes(pdu[header_length:prefix], "little")
            return self._malformed(FatalError.HEADER_DIGEST_ERROR, received, "header digest does not match")
        parsed = self._parse(type, flags, data_offset, pdu, prefix, has_data)
        if not isinstance(parsed, Malformed):
            self._position += length
        return parsed

    def _parse(
        self, type: PduType, flags: int, data_offset: int, pdu: bytes, prefix: int, has_data: bool
    ) -> "Pdu | Malformed":
        if type is PduType.CAPSULE_RESP:
            return CapsuleResp(pdu[8:24])
        if type in (PduType.IC_REQ, PduType.IC_RESP):
            version, alignment, digests, limit = IC_BODY.unpack_from(pdu, 8)
            return Initialize(type, version, alignment, bool(digests & 1), bool(digests & 2), limit)
        if type in (PduType.H2C_TERM, PduType.C2H_TERM):
            error, information = TERM_BODY.unpack_from(pdu, 8)
            return Terminate(type, error, information, pdu[24:])
        data, intact = b"", True
        if has_data and len(pdu) > prefix:
            end = len(pdu)
            if self.data_digest:
                end -= 4
                if not flags & DATA_DIGEST or end < data_offset:
                    return self._malformed(FatalError.INVALID_HEADER_FIELD, 1, "data digest is missing")
            data = pdu[data_offset:end]
            intact = not self.data_digest or _digest(data) == pdu[end:]
        if type is PduType.CAPSULE_CMD:
            return CapsuleCmd(pdu[8:72], data, intact)
        cid, tag, offset, length, _ = DATA_BODY.unpack_from(pdu, 8)
        if type is PduType.R2T:
            return ReadyToTransfer(cid, tag, offset, length)
        if length != len(data) or not data:
            return self._malformed(FatalError.INVALID_HEADER_FIELD, 16, f"data length {length}")
        return DataTransfer(type, cid, tag, offset, data, bool(flags & LAST_PDU), intact)
