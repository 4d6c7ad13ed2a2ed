"""What heads say to each other of records, as bytes of a stream: a length, then one message. Bounded; what
can't be read ends the stream. Both sides of a copy: who owns the records calls, who holds copies answers.
"""

import struct
from typing import Any

import msgspec

from gorsethread.durable_log.records import Record, SequenceNumber
from gorsethread.durable_log.segments import Entry
from gorsethread.errors import GorsethreadError

LENGTH = struct.Struct("<I")
MESSAGE_MOST = 3 << 20  # bytes; a branch's write has 1 MiB of data at most


class ProtocolError(GorsethreadError):
    """Bytes between heads that are no message of this program."""

    action = "See that what listens at the peers' addresses are heads of this site, all of one version."


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """From the owner, first. fleet: of its site; life 0: it only asks."""

    fleet: int
    head: int
    life: int


class Have(msgspec.Struct, frozen=True, tag="have", array_like=True):
    """Up to where the holder has all that holds of the owner's records, and the latest life it knows."""

    life: int
    last: SequenceNumber


class Fetch(msgspec.Struct, frozen=True, tag="fetch", array_like=True):
    """From the owner: give back what is later than that, or all."""

    after: SequenceNumber


class Give(msgspec.Struct, frozen=True, tag="give", array_like=True):
    """Back to the owner; more: others follow."""

    entries: list[Entry]
    more: bool


class Put(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """To be held. begins: in place of all that is held; last: with these it is all up to there; more: more is
    there already."""

    life: int
    begins: bool
    entries: list[Entry]
    last: SequenceNumber
    more: bool = False


class Holds(msgspec.Struct, frozen=True, tag="holds", array_like=True):
    """It is on the holder's disk up to there."""

    last: SequenceNumber


class Over(msgspec.Struct, frozen=True, tag="over", array_like=True):
    """Nothing is taken from this life: a later one is known."""

    life: int


class Failed(msgspec.Struct, frozen=True, tag="failed", array_like=True):
    """The holder's disk did not take it."""


Message = Hello | Have | Fetch | Give | Put | Holds | Over | Failed
DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    payload = _ENCODER.encode(message)
    return LENGTH.pack(len(payload)) + payload


def entries(records: list[Record]) -> list[Entry]:
    return [Entry(*r.number, r.fact) for r in records]


def records(given: list[Entry]) -> list[Record]:
    return [Record((e.life, e.place), e.fact) for e in given]


class MessageReader:
    """Bytes as they come to messages. decoder: of all that may come."""

    def __init__(self, decoder: msgspec.msgpack.Decoder[Any] = DECODER) -> None:
        self._held = b""
        self._decoder = decoder

    def take(self, data: bytes) -> list[Any]:
        """The messages that are whole now; ProtocolError."""
        self._held += data
        found: list[Any] = []
        while len(self._held) >= LENGTH.size:
            length = LENGTH.unpack_from(self._held)[0]
            if length > MESSAGE_MOST:
                raise ProtocolError(f"a message of {length} bytes")
            end = LENGTH.size + length
            if len(self._held) < end:
                break
            try:
                found.append(self._decoder.decode(self._held[LENGTH.size : end]))
            except (msgspec.DecodeError, ValueError) as error:
                raise ProtocolError(str(error)) from None
            self._held = self._held[end:]
        return found
