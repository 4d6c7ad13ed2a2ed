"""Asks heads for their view of the fleet, in the same datagrams, from this machine."""

import asyncio
from dataclasses import dataclass, field

from gorsethread.membership.words import OWN, Address, Kind, Message, Unreadable, Word, read, write
from gorsethread.transport.base import Transport

AGAIN = 0.25  # seconds until a question is asked again
PIECES_MOST = 512


@dataclass
class Shown:
    """A head's view. own: which of OWN hold of it."""

    words: dict[int, Word] = field(default_factory=dict)
    me: Word | None = None
    own: tuple[str, ...] = ()
    digest: int = 0


class NoAnswer(Exception):
    """Nothing came back in time."""


async def ask(transport: Transport, head: Address, fleet: int, within: float = 2.0) -> Shown:
    """Its whole view, piece by piece. NoAnswer where it is not told within that many seconds."""
    came: asyncio.Queue[Message] = asyncio.Queue()

    def on_datagram(data: bytes, source: Address) -> None:
        try:
            message = read(data, fleet)
        except Unreadable:
            return
        if source == head and message.kind == Kind.SHOWN:
            came.put_nowait(message)

    port, shown, begin = transport.datagrams("127.0.0.1", 0, on_datagram), Shown(), 0
    by = transport.now() + within
    try:
        for _ in range(PIECES_MOST):
            message = None
            while message is None:
                if transport.now() >= by:
                    raise NoAnswer(f"{head[0]}:{head[1]}: no answer in {within:g} s")
                port.send(head, write(Message(Kind.SHOW, 0, 0, begin, 0, ()), fleet))
                try:
                    message = await asyncio.wait_for(came.get(), AGAIN)
                except TimeoutError:
                    continue
            shown.me, shown.digest = message.words[0], message.digest
            shown.own = tuple(name for bit, name in enumerate(OWN) if message.seq >> bit & 1)
            shown.words.update({w.name: w for w in message.words})
            if message.cursor <= begin:
                return shown
            begin = message.cursor
    finally:
        port.close()
    return shown
