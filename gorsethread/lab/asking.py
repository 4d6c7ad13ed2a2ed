"""Asks heads of this machine: for their view of the fleet, in the same datagrams; for a branch's queue."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gorsethread.durable_log.replication_messages import MessageReader, ProtocolError, encode
from gorsethread.errors import GorsethreadError
from gorsethread.membership.gossip_messages import (
    HISTORY_TARGET,
    STATUS_FLAGS,
    Address,
    GossipDecodeError,
    GossipMessage,
    MemberRecord,
    MessageKind,
    decode,
)
from gorsethread.membership.gossip_messages import (
    encode as encode_gossip,
)
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.transport.base import StreamClosed, Transport, Unreachable

AGAIN = 0.25  # seconds until a question is asked again
PIECES_MOST = 512


@dataclass
class Shown:
    """A head's view. own: which of STATUS_FLAGS hold of it."""

    words: dict[int, MemberRecord] = field(default_factory=dict)
    me: MemberRecord | None = None
    own: tuple[str, ...] = ()
    digest: int = 0


class NoAnswer(GorsethreadError):
    """Nothing came back in time."""

    action = "See that the head runs and that its peers' address is the one given; then ask again."


async def ask(transport: Transport, head: Address, fleet: int, within: float = 2.0) -> Shown:
    """Its whole view, piece by piece. NoAnswer where it is not told within that many seconds."""
    shown = Shown()
    async for message in _pieces(transport, head, fleet, within, -1):
        shown.me, shown.digest = message.records[0], message.digest
        shown.own = tuple(name for bit, name in enumerate(STATUS_FLAGS) if message.sequence >> bit & 1)
        shown.words.update({w.member: w for w in message.records})
    return shown


async def ask_past(
    transport: Transport, head: Address, fleet: int, within: float = 2.0
) -> list[tuple[float, MemberRecord]]:
    """The changes of its view that it keeps, oldest first: how many seconds ago, and what it then held."""
    found = []
    async for message in _pieces(transport, head, fleet, within, HISTORY_TARGET):
        ages = [int(age) / 10.0 for age in message.text.split(",") if age]
        found += list(zip(ages, message.records[1:], strict=True))
    return found


async def ask_branch(
    transport: Transport,
    head: Address,
    fleet: int,
    what: str,
    number: tuple[int, int, int] | None = None,
    within: float = 3.0,
) -> dict[str, Any]:
    """What a branch's head answers to a question (offline_writes/messages.py). NoAnswer where none
    came in time."""
    where = f"{head[0]}:{head[1]}"
    try:
        stream = await transport.connect(*head, within)
    except Unreachable as error:
        raise NoAnswer(f"{where}: {error}") from None
    guard = transport.call_at(transport.now() + within, stream.close)
    reader = MessageReader(offline_messages.DECODER)
    try:
        stream.write(encode(offline_messages.OperatorQuery(fleet, what, number)))
        while True:
            for m in reader.feed(await stream.read()):
                if isinstance(m, offline_messages.OperatorReply):
                    shown: dict[str, Any] = msgspec.json.decode(m.json)
                    return shown
    except (StreamClosed, ProtocolError) as error:
        raise NoAnswer(f"{where}: {error}; it answers heads of a branch with records only") from None
    finally:
        guard.cancel()
        stream.close()


async def _pieces(
    transport: Transport, head: Address, fleet: int, within: float, target: int
) -> AsyncIterator[GossipMessage]:
    came: asyncio.Queue[GossipMessage] = asyncio.Queue()

    def on_datagram(data: bytes, source: Address) -> None:
        try:
            message = decode(data, fleet)
        except GossipDecodeError:
            return
        if source == head and message.kind == MessageKind.VIEW_REPLY and message.target == target:
            came.put_nowait(message)

    port, begin = transport.datagrams("127.0.0.1", 0, on_datagram), 0
    by = transport.now() + within
    try:
        for _ in range(PIECES_MOST):
            message = None
            while message is None:
                if transport.now() >= by:
                    raise NoAnswer(f"{head[0]}:{head[1]}: no answer in {within:g} s")
                port.send(
                    head,
                    encode_gossip(GossipMessage(MessageKind.VIEW_QUERY, 0, 0, begin, 0, (), target), fleet),
                )
                try:
                    message = await asyncio.wait_for(came.get(), AGAIN)
                except TimeoutError:
                    continue
            yield message
            if message.cursor <= begin:
                return
            begin = message.cursor
    finally:
        port.close()
