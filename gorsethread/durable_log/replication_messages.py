"""Messages between gateways about logs, each sent on a stream as a length and the encoded message.

The owner of a log connects, and the gateway that holds its replica answers. Messages are bounded; a stream
with bytes that can't be decoded is closed. The tags and the order of the fields are the protocol.
"""

import struct
from typing import Any

import msgspec

from gorsethread.durable_log.records import Record, SequenceNumber
from gorsethread.durable_log.segments import LogEntry
from gorsethread.errors import GorsethreadError

LENGTH = struct.Struct("<I")
MAX_MESSAGE = 3 << 20  # bytes; a branch's write has up to 1 MiB of data


class ProtocolError(GorsethreadError):
    """Received bytes are not a valid message between gateways."""

    action = "Check that only gateways of this site, all of one version, listen at the peers' addresses."


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """The owner's first message; fleet: its site's number; incarnation 0: it only asks for records."""

    fleet: int
    gateway: int
    incarnation: int


class HelloReply(msgspec.Struct, frozen=True, tag="have", array_like=True):
    """The latest incarnation of the owner known to the replica, and the number up to which it is complete."""

    incarnation: int
    last: SequenceNumber


class FetchRecords(msgspec.Struct, frozen=True, tag="fetch", array_like=True):
    """The owner requests its records that are later than this number."""

    after: SequenceNumber


class FetchedRecords(msgspec.Struct, frozen=True, tag="give", array_like=True):
    """Records returned to the owner; more: another such message follows."""

    entries: list[LogEntry]
    more: bool


class StoreRecords(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """Records for the replica.

    Attributes:
        incarnation: The owner's incarnation.
        replaces_all: The records replace all that the replica has.
        entries: The records.
        last: The number up to which the replica has all current records after this message.
        more: Another such message follows.
    """

    incarnation: int
    replaces_all: bool
    entries: list[LogEntry]
    last: SequenceNumber
    more: bool = False


class RecordsStored(msgspec.Struct, frozen=True, tag="holds", array_like=True):
    """All records up to this number are on the replica's disk."""

    last: SequenceNumber


class IncarnationFenced(msgspec.Struct, frozen=True, tag="over", array_like=True):
    """The owner's incarnation is rejected, as the replica knows this later one."""

    incarnation: int


class StoreFailed(msgspec.Struct, frozen=True, tag="failed", array_like=True):
    """The replica's disk failed to write the records."""


Message = (
    Hello
    | HelloReply
    | FetchRecords
    | FetchedRecords
    | StoreRecords
    | RecordsStored
    | IncarnationFenced
    | StoreFailed
)
DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Return the bytes that are sent for a message."""
    payload = _ENCODER.encode(message)
    return LENGTH.pack(len(payload)) + payload


def to_entries(records: list[Record]) -> list[LogEntry]:
    """Return records in the form that messages have."""
    return [LogEntry(*record.number, record.fact) for record in records]


def to_records(entries: list[LogEntry]) -> list[Record]:
    """Return the records of a message."""
    return [Record((entry.incarnation, entry.position), entry.fact) for entry in entries]


class MessageReader:
    """Decodes messages from the bytes of a stream; buffers at most one incomplete message.

    The decoder must know all messages that may arrive.
    """

    def __init__(self, decoder: msgspec.msgpack.Decoder[Any] = DECODER) -> None:
        self._buffer = b""
        self._decoder = decoder

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes and return the messages that they complete.

        Raises:
            ProtocolError: The bytes are not a message, or the message is too long.
        """
        self._buffer += data
        messages: list[Any] = []
        while len(self._buffer) >= LENGTH.size:
            length = LENGTH.unpack_from(self._buffer)[0]
            if length > MAX_MESSAGE:
                raise ProtocolError(f"message of {length} bytes exceeds {MAX_MESSAGE} bytes")
            end = LENGTH.size + length
            if len(self._buffer) < end:
                break
            try:
                messages.append(self._decoder.decode(self._buffer[LENGTH.size : end]))
            except (msgspec.DecodeError, ValueError) as error:
                raise ProtocolError(str(error)) from None
            self._buffer = self._buffer[end:]
        return messages
