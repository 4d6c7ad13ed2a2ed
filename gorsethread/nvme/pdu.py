"""PDUs of the NVMe/TCP transport (NVM Express TCP Transport Specification 1.0, section 3.6), both directions.

The decoder takes any split of the byte stream. It never raises on what a peer sent: the first PDU that breaks
the specification comes out as a Malformed, which names the fatal error status to send, and ends the stream.
"""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import google_crc32c


class PduType(IntEnum):
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
    """FES of a TermReq (section 3.6.2.5)."""

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
# By the plain number on the wire: type, header length, whether digests are on it, whether it carries data.
LAYOUTS = {
    int(type): (type, length, type not in WITHOUT_DIGEST, type in CARRIES_DATA)
    for type, length in HEADER_LENGTHS.items()
}
TERM_DATA_MOST = 128  # a TermReq is 152 bytes at most
PADDING_MOST = 128  # HPDA and CPDA are 0 here; a peer may still align its data


@dataclass(frozen=True, slots=True)
class Initialize:
    """ICReq and ICResp: alignment, digests, and MAXR2T (0's based) or MAXH2CDATA in bytes."""

    type: PduType
    version: int
    alignment: int
    header_digest: bool
    data_digest: bool
    most: int


class CapsuleCmd(NamedTuple):
    sqe: bytes
    data: bytes
    intact: bool  # False: the data digest does not fit


class CapsuleResp(NamedTuple):
    cqe: bytes


class DataTransfer(NamedTuple):
    """H2CData or C2HData; offset and length in bytes."""

    type: PduType
    cid: int
    tag: int
    offset: int
    data: bytes
    last: bool
    intact: bool


@dataclass(frozen=True, slots=True)
class ReadyToTransfer:
    cid: int
    tag: int
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Terminate:
    type: PduType
    error: int
    information: int
    header: bytes


@dataclass(frozen=True, slots=True)
class Malformed:
    """What the peer sent cannot be followed; error and information go into the TermReq."""

    error: FatalError
    information: int
    header: bytes
    reason: str


Pdu = Initialize | CapsuleCmd | CapsuleResp | DataTransfer | ReadyToTransfer | Terminate
crc32c: Callable[[bytes], int] = google_crc32c.value


def _digest(data: bytes) -> bytes:
    return crc32c(data).to_bytes(4, "little")


def initialize(type: PduType, header_digest: bool, data_digest: bool, most: int) -> bytes:
    digests = (1 if header_digest else 0) | (2 if data_digest else 0)
    head = COMMON.pack(type, 0, 128, 0, 128) + IC_BODY.pack(0, 0, digests, most)
    return head + bytes(128 - len(head))


def terminate(type: PduType, error: int, information: int, header: bytes) -> bytes:
    cause = header[:TERM_DATA_MOST]
    head = COMMON.pack(type, 0, 24, 0, 24 + len(cause)) + TERM_BODY.pack(error, information)
    return head + bytes(24 - len(head)) + cause


class Encoder:
    """Frames PDUs with the digests that both sides agreed on."""

    def __init__(self) -> None:
        self.header_digest = self.data_digest = False

    def _frame(self, type: PduType, flags: int, body: bytes, data: bytes = b"") -> bytes:
        length = 8 + len(body)
        offset = length + (4 if self.header_digest else 0)
        whole = offset + (len(data) + (4 if self.data_digest else 0) if data else 0)
        flags |= HEADER_DIGEST if self.header_digest else 0
        flags |= DATA_DIGEST if data and self.data_digest else 0
        head = COMMON.pack(type, flags, length, offset if data else 0, whole) + body
        parts = [head]
        if self.header_digest:
            parts.append(_digest(head))
        if data:
            parts.append(data)
            if self.data_digest:
                parts.append(_digest(data))
        return b"".join(parts)

    def capsule_cmd(self, sqe: bytes, data: bytes = b"") -> bytes:
        return self._frame(PduType.CAPSULE_CMD, 0, sqe, data)

    def capsule_resp(self, cqe: bytes) -> bytes:
        return self._frame(PduType.CAPSULE_RESP, 0, cqe)

    def data(self, type: PduType, cid: int, tag: int, offset: int, data: bytes, last: bool) -> bytes:
        body = DATA_BODY.pack(cid, tag, offset, len(data), 0)
        return self._frame(type, LAST_PDU if last else 0, body, data)

    def ready_to_transfer(self, cid: int, tag: int, offset: int, length: int) -> bytes:
        return self._frame(PduType.R2T, 0, DATA_BODY.pack(cid, tag, offset, length, 0))


class Decoder:
    """Bytes in, PDUs out. Holds at most one PDU of the largest permitted size.

    accepts: the types this side may receive; most_data: bytes of data one PDU may carry.
    """

    def __init__(self, accepts: frozenset[PduType], most_data: int) -> None:
        self.accepts = accepts
        self.most_data = most_data
        self.header_digest = self.data_digest = False
        self.ended = False
        self._held = bytearray()
        self._at = 0  # where the next PDU begins in what is held; nothing is held back before it after feed()

    def feed(self, data: bytes) -> "list[Pdu | Malformed]":
        """The PDUs that these bytes complete; after a Malformed nothing more comes out."""
        found: list[Pdu | Malformed] = []
        if self.ended:
            return found
        self._held += data
        while not self.ended and (pdu := self._next()):
            found.append(pdu)
            self.ended = isinstance(pdu, Malformed)
        del self._held[: self._at]
        self._at = 0
        return found

    def agree(self, header_digest: bool, data_digest: bool) -> None:
        self.header_digest, self.data_digest = header_digest, data_digest

    def _malformed(self, error: FatalError, information: int, reason: str) -> Malformed:
        return Malformed(error, information, bytes(self._held[self._at : self._at + TERM_DATA_MOST]), reason)

    def _next(self) -> "Pdu | Malformed | None":
        held, at = self._held, self._at
        if len(held) - at < 8:
            return None
        number, flags, header_length, data_offset, length = COMMON.unpack_from(held, at)
        bad = FatalError.INVALID_HEADER_FIELD
        layout = LAYOUTS.get(number)
        if layout is None or layout[0] not in self.accepts:
            return self._malformed(bad, 0, f"PDU type 0x{number:02x} is not for this side")
        type, right_length, digests, carries = layout
        header_digest = 4 if self.header_digest and digests else 0
        if header_length != right_length:
            return self._malformed(bad, 2, f"header length {header_length} in {type.name}")
        if bool(flags & HEADER_DIGEST) != bool(header_digest):
            return self._malformed(bad, 1, "header digest flag is not as agreed")
        least = header_length + header_digest
        if type in (PduType.H2C_TERM, PduType.C2H_TERM):
            most = header_length + TERM_DATA_MOST
        elif carries:
            most = least + PADDING_MOST + self.most_data + 4
        else:
            most = least
        if not least <= length <= most:
            return self._malformed(bad, 4, f"PDU length {length} in {type.name}")
        if carries and length > least and not least <= data_offset <= min(length, least + PADDING_MOST):
            return self._malformed(bad, 3, f"data offset {data_offset} in {type.name}")
        if len(held) - at < length:
            return None
        pdu = bytes(held[at : at + length])
        if header_digest and _digest(pdu[:header_length]) != pdu[header_length:least]:
            got = int.from_bytes(pdu[header_length:least], "little")
            return self._malformed(FatalError.HEADER_DIGEST_ERROR, got, "header digest does not fit")
        parsed = self._parse(type, flags, data_offset, pdu, least, carries)
        if not isinstance(parsed, Malformed):
            self._at += length
        return parsed

    def _parse(
        self, type: PduType, flags: int, data_offset: int, pdu: bytes, least: int, carries: bool
    ) -> "Pdu | Malformed":
        if type is PduType.CAPSULE_RESP:
            return CapsuleResp(pdu[8:24])
        if type in (PduType.IC_REQ, PduType.IC_RESP):
            version, alignment, digests, most = IC_BODY.unpack_from(pdu, 8)
            return Initialize(type, version, alignment, bool(digests & 1), bool(digests & 2), most)
        if type in (PduType.H2C_TERM, PduType.C2H_TERM):
            error, information = TERM_BODY.unpack_from(pdu, 8)
            return Terminate(type, error, information, pdu[24:])
        data, intact = b"", True
        if carries and len(pdu) > least:
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
