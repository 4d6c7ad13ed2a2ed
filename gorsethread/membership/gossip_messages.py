"""Gossip messages between gateways and their codec: msgpack arrays in datagrams of 256 bytes at most. No I/O.

Two numbers order the reports on one gateway. ``incarnation`` names one start of its process; it grows with
each start and a gateway that was declared dead goes on under the next one. ``refutation`` counts, within an
incarnation, how often the gateway has refuted a suspicion; the SWIM paper calls that count the incarnation
number. member_state.py holds the order.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from gorsethread.errors import GorsethreadError

PROTOCOL_VERSION = 2
DATAGRAM_BYTES_MAX = 256
HEADER_BYTES_MAX = 48  # of a message without its member records
PORTS = 65536

HISTORY_TARGET = 1  # target of a VIEW_QUERY and a VIEW_REPLY on changes kept, not on the present view
NO_TARGET = -1
BACKEND_STATES = (0, 1, 2)  # of membership/backend_news.py
STATUS_FLAGS = ("settled", "apart", "minority", "leaving")  # one bit each, the first the lowest

Address = tuple[str, int]
BackendNewsFields = tuple[int, int, int, int, int]


class MemberState(IntEnum):
    """What a gateway is believed to be, by its number on the wire."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class MemberRecord(NamedTuple):
    """What is reported of one gateway, in the order of the fields on the wire.

    Attributes:
        member: The gateway's number.
        incarnation: Which start of its process.
        refutation: How many suspicions it refuted in this incarnation.
        state: A MemberState.
        zone: The zone that it stands in.
        machine: The machine that it runs on.
        host: Where its peers reach it.
        port: The same.
        reported_by: The gateway that reported it; this orders nothing.
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
        """Whether this incarnation left or died."""
        return self.state >= MemberState.LEFT

    @property
    def address(self) -> Address:
        """Where its peers reach it."""
        return self.host, self.port


class MessageKind(IntEnum):
    """The kinds of messages, by their numbers on the wire."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # to ping the target for the sender
    NACK = 3  # the target of a ping request did not answer
    VIEW_QUERY = 4  # an operator asks for the view from a cursor on; changes nothing
    VIEW_REPLY = 5  # one page of it; the sequence holds STATUS_FLAGS
    SCHEDULER_MESSAGE = 6  # text from one gateway's scheduler to another's
    BACKEND_NEWS = 7  # backends that drain or are gone


class GossipMessage(NamedTuple):
    """One message, decoded.

    Attributes:
        kind: A MessageKind.
        sender: The sending gateway's number.
        sequence: The ping that it belongs to.
        cursor: In a PING the first member that the sender wants records of, in an ACK the first that the next
            page would begin with.
        digest: Of the sender's view.
        records: Member records that it carries.
        target: The member to ping, of a PING_REQUEST.
        text: What a SCHEDULER_MESSAGE carries.
        backend_news: Of a BACKEND_NEWS: backend, its start, its state, incarnation and version of the
            endpoint list that said so.
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
    """A datagram that is no message of this fleet; the text says why."""

    action = "See that all gateways run one version and site, and that nothing else sends to the peers' port."


class _WireMessage(msgspec.Struct, frozen=True, array_like=True):
    """The order of the fields on the wire."""

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
    """Bytes of a record on the wire."""
    return len(_encode(record))


def encode(message: GossipMessage, fleet: int) -> bytes:
    """The datagram of a message.

    Args:
        message: Who fills it keeps to the bound by encoded_size().
        fleet: The number that all gateways of this fleet share.

    Raises:
        ValueError: It is over DATAGRAM_BYTES_MAX.
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
        raise ValueError(f"{len(data)} bytes of a message")
    return data


def decode(data: bytes, fleet: int) -> GossipMessage:
    """The message of a datagram.

    Raises:
        GossipDecodeError: It is not complete, or of another version or fleet.
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
