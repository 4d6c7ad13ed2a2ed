"""Messages between gateways about logs, as bytes of a stream: a length, then one message.

The owner of a log calls, the gateway that holds its replica answers. Messages are bounded; a stream with
bytes that can't be read is ended. Tags and order of fields are the protocol.
"""

import struct
from typing import Any

import msgspec

from gorsethread.durable_log.records import Record, SequenceNumber
from gorsethread.durable_log.segments import LogEntry
from gorsethread.errors import GorsethreadError

LENGTH = struct.Struct("<I")
MAX_MESSAGE = 3 << 20  # bytes; a branch's write has 1 MiB of data at most


class ProtocolError(GorsethreadError):
    """Bytes between gateways that are no message of this program."""

    action = "See that what listens at the peers' addresses are gateways of this site, all of one version."


class Hello(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """From the owner, first; fleet: of its site; incarnation 0: it only asks."""

    fleet: int
    gateway: int
    incarnation: int


class HelloReply(msgspec.Struct, frozen=True, tag="have", array_like=True):
    """The latest incarnation of the owner that the replica knows, and up to where it has all that holds."""

    incarnation: int
    last: SequenceNumber


class FetchRecords(msgspec.Struct, frozen=True, tag="fetch", array_like=True):
    """From the owner: give back what is later than this number."""

    after: SequenceNumber


class FetchedRecords(msgspec.Struct, frozen=True, tag="give", array_like=True):
    """Records back to the owner; more: others follow."""

    entries: list[LogEntry]
    more: bool


class StoreRecords(msgspec.Struct, frozen=True, tag="put", array_like=True):
    """Records for the replica.

    Attributes:
        incarnation: Of the owner.
        replaces_all: In place of all that the replica has.
        entries: The records.
        last: With these the replica has all that holds up to this number.
        more: More follows.
    """

    incarnation: int
    replaces_all: bool
    entries: list[LogEntry]
    last: SequenceNumber
    more: bool = False


class RecordsStored(msgspec.Struct, frozen=True, tag="holds", array_like=True):
    """Everything up to this number is on the replica's disk."""

    last: SequenceNumber


class IncarnationFenced(msgspec.Struct, frozen=True, tag="over", array_like=True):
    """Nothing is accepted from the owner's incarnation: this later one is known."""

    incarnation: int


class StoreFailed(msgspec.Struct, frozen=True, tag="failed", array_like=True):
    """The replica's disk did not take the records."""


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
    """Return a message as bytes of a stream."""
    payload = _ENCODER.encode(message)
    return LENGTH.pack(len(payload)) + payload


def to_entries(records: list[Record]) -> list[LogEntry]:
    """Return records as they are in messages."""
    return [LogEntry(*record.number, record.fact) for record in records]


def to_records(entries: list[LogEntry]) -> list[Record]:
    """Return the records of a message."""
    return [Record((entry.incarnation, entry.position), entry.fact) for entry in entries]


class MessageReader:
    """Turns bytes as they come into messages; buffers one incomplete message at most.

    The decoder is of all messages that may come.
    """

    def __init__(self, decoder: msgspec.msgpack.Decoder[Any] = DECODER) -> None:
        self._buffer = b""
        self._decoder = decoder

    def feed(self, data: bytes) -> list[Any]:
        """Return the messages that are complete now.

        Raises:
            ProtocolError: The bytes are no message, or too long a one.
        """
        self._buffer += data
        messages: list[Any] = []
        while len(self._buffer) >= LENGTH.size:
            length = LENGTH.unpack_from(self._buffer)[0]
            if length > MAX_MESSAGE:
                raise ProtocolError(f"a message of {length} bytes")
            end = LENGTH.size + length
            if len(self._buffer) < end:
                break
            try:
                messages.append(self._decoder.decode(self._buffer[LENGTH.size : end]))
            except (msgspec.DecodeError, ValueError) as error:
                raise ProtocolError(str(error)) from None
            self._buffer = self._buffer[end:]
        return messages
