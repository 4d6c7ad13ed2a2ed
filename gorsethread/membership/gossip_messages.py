"""Gossip messages between gateways and their codec: msgpack arrays in datagrams of at most 256 bytes. No I/O.

Two numbers order the reports about a gateway. ``incarnation`` identifies one start of its process; it grows
with each start, and a gateway that was declared dead continues under the next incarnation. ``refutation``
counts how often the gateway has refuted a suspicion within an incarnation; the SWIM paper calls that count
the incarnation number. member_state.py defines the order.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from gorsethread.errors import GorsethreadError

PROTOCOL_VERSION = 2
DATAGRAM_BYTES_MAX = 256
HEADER_BYTES_MAX = 48  # a message without its member records
PORTS = 65536

HISTORY_TARGET = 1  # target of a VIEW_QUERY and a VIEW_REPLY about the history instead of the current view
NO_TARGET = -1
BACKEND_STATES = (0, 1, 2)  # the values of BackendState in membership/backend_news.py
STATUS_FLAGS = ("settled", "apart", "minority", "leaving")  # one bit each, from the lowest

Address = tuple[str, int]
BackendNewsFields = tuple[int, int, int, int, int]


class MemberState(IntEnum):
    """The believed state of a gateway; the value is the number on the wire."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class MemberRecord(NamedTuple):
    """A report about one gateway, with its fields in the order on the wire.

    Attributes:
        member: The number of the gateway.
        incarnation: Which start of its process.
        refutation: How many suspicions it has refuted in this incarnation.
        state: A MemberState.
        zone: The zone of the gateway.
        machine: The machine that it runs on.
        host: The host of the address for its peers.
        port: The port of that address.
        reported_by: The gateway that made the report; it does not affect the order of reports.
    """

    member: int
    incarnation: int
    refutation: int
    state: int
    zone: int
    machine: int
    host: str
    port: int
    reported_by: int

    @property
    def ended(self) -> bool:
        """Whether this incarnation has left or died."""
        return self.state >= MemberState.LEFT

    @property
    def address(self) -> Address:
        """The address at which its peers reach the gateway."""
        return self.host, self.port


class MessageKind(IntEnum):
    """The kind of a message; the value is the number on the wire."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # asks the receiver to ping the target for the sender
    NACK = 3  # the target of a ping request did not answer
    VIEW_QUERY = 4  # an operator's request for the view, starting at the cursor; read-only
    VIEW_REPLY = 5  # one page of the view; the sequence field holds the bits of STATUS_FLAGS
    SCHEDULER_MESSAGE = 6  # text from the scheduler of one gateway to that of another
    BACKEND_NEWS = 7  # news of backends that drain or are gone


class GossipMessage(NamedTuple):
    """A decoded message.

    Attributes:
        kind: A MessageKind.
        sender: The number of the sending gateway.
        sequence: The sequence number of the ping that the message belongs to.
        cursor: In a PING, the member with which the requested page begins; in an ACK, the member with which
            the next page would begin.
        digest: The digest of the sender's view.
        records: The member records in the message.
        target: The member to ping, in a PING_REQUEST.
        text: The text of a SCHEDULER_MESSAGE.
        backend_news: In a BACKEND_NEWS, the fields of each BackendNews.
    """

    kind: int
    sender: int
    sequence: int
    cursor: int
    digest: int
    records: tuple[MemberRecord, ...]
    target: int = NO_TARGET
    text: str = ""
    backend_news: tuple[BackendNewsFields, ...] = ()


class GossipDecodeError(GorsethreadError):
    """Raised for a datagram that is not a message of this fleet; the text says why."""

    action = "Check that all gateways have one version and site, and that only they send to the peers' port."


class _WireMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message with its fields in the order on the wire."""

    version: int
    fleet: int
    kind: int
    sender: int
    sequence: int
    cursor: int
    digest: int
    target: int
    records: list[tuple[int, int, int, int, int, int, str, int, int]]
    text: str
    backend_news: list[BackendNewsFields]


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[_WireMessage] = msgspec.msgpack.Decoder(_WireMessage)


def encoded_size(record: MemberRecord) -> int:
    """Returns the size of a record on the wire in bytes."""
    return len(_encode(record))


def encode(message: GossipMessage, fleet: int) -> bytes:
    """Encodes a message as a datagram.

    Args:
        message: The message; its records must fit, which the caller ensures with encoded_size().
        fleet: The number that all gateways of this fleet share.

    Raises:
        ValueError: The datagram would be longer than DATAGRAM_BYTES_MAX.
    """
    data = _encode(
        _WireMessage(
            PROTOCOL_VERSION,
            fleet,
            message.kind,
            message.sender,
            message.sequence,
            message.cursor,
            message.digest,
            message.target,
            list(message.records),
            message.text,
            list(message.backend_news),
        )
    )
    if len(data) > DATAGRAM_BYTES_MAX:
        raise ValueError(f"message of {len(data)} bytes is over the limit of {DATAGRAM_BYTES_MAX}")
    return data


def decode(data: bytes, fleet: int) -> GossipMessage:
    """Decodes a datagram.

    Raises:
        GossipDecodeError: The datagram is too long, malformed, out of bounds, or of another version or fleet.
    """
    if len(data) > DATAGRAM_BYTES_MAX:
        raise GossipDecodeError("over the bound")
    try:
        wire = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError):
        raise GossipDecodeError("malformed") from None
    if wire.version != PROTOCOL_VERSION:
        raise GossipDecodeError("another version")
    if wire.fleet != fleet:
        raise GossipDecodeError("another fleet")
    records = tuple(MemberRecord(*fields) for fields in wire.records)
    if not (_header_in_bounds(wire) and all(map(_record_in_bounds, records)) and _news_in_bounds(wire)):
        raise GossipDecodeError("out of bounds")
    return GossipMessage(
        wire.kind,
        wire.sender,
        wire.sequence,
        wire.cursor,
        wire.digest,
        records,
        wire.target,
        wire.text,
        tuple(wire.backend_news),
    )


def _header_in_bounds(wire: _WireMessage) -> bool:
    numbers = (wire.sender, wire.sequence, wire.cursor, wire.digest, wire.target - NO_TARGET)
    return wire.kind in list(MessageKind) and min(numbers) >= 0


def _record_in_bounds(record: MemberRecord) -> bool:
    numbers = (record.member, record.incarnation, record.refutation, record.zone, record.machine)
    return record.state in list(MemberState) and min(numbers) >= 0 and 0 < record.port < PORTS


def _news_in_bounds(wire: _WireMessage) -> bool:
    return all(min(news) >= 0 and news[2] in BACKEND_STATES for news in wire.backend_news)
