"""What heads say of each other, and how it is said in datagrams of 256 bytes. No I/O.

Of two words on one head the same one wins at every head, in whatever order, however often and late they come:
a later life before an earlier one; within a life the end of it before all else, else the later incarnation,
else suspicion. So a life that has ended is never alive again; whoever was held dead in error goes on as a new
life.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from gorsethread.errors import GorsethreadError

VERSION = 2
MOST_BYTES = 256
HEADER_MOST = 48  # bytes of a message without its words

Address = tuple[str, int]


class State(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    LEFT = 2
    DEAD = 3


class Word(NamedTuple):
    """name: the head's number. life: which start of it. by: who said so; it decides nothing between words."""

    name: int
    life: int
    incarnation: int
    state: int
    zone: int
    machine: int
    host: str
    port: int
    by: int

    @property
    def over(self) -> bool:
        return self.state >= State.LEFT

    @property
    def address(self) -> Address:
        return self.host, self.port


def rank(w: Word) -> tuple[int, bool, int, int]:
    return w.life, w.over, 0 if w.over else w.incarnation, w.state


def beats(one: Word, other: Word | None) -> bool:
    """Whether one is to be believed in place of the other, both on the same head."""
    return other is None or rank(one) > rank(other)


class Kind(IntEnum):
    PING = 0
    ACK = 1
    ASK = 2  # to ping another, on the asker's behalf
    NACK = 3  # that other did not answer the one asked
    SHOW = 4  # an operator asks for the view from a name on; changes nothing
    NEWS = 7  # of shelves that drain or are gone
    TOLD = 6  # words of one head's decisions to another's
    SHOWN = 5  # a piece of it; seq holds what the head says of itself (OWN)


PAST = 1  # the target of a SHOW and a SHOWN that are about changes kept, not about what holds
NEWS_STATES = (0, 1, 2)  # of membership/news.py
OWN = ("settled", "apart", "minority", "leaving")  # one bit each, the first the lowest


class Message(NamedTuple):
    """seq: which ping it belongs to. target: the head to ping, of an ASK (-1: none). cursor: in a PING the
    name from which on the sender would hear the table, in an ACK the name from which on it goes on. digest:
    of the sender's view. said: what a TOLD carries. news: shelf, start,
    state, life and version of the list that said so, of a NEWS."""

    kind: int
    sender: int
    seq: int
    cursor: int
    digest: int
    words: tuple[Word, ...]
    target: int = -1
    said: str = ""
    news: tuple[tuple[int, int, int, int, int], ...] = ()


class Unreadable(GorsethreadError):
    """A datagram that is no message of this fleet; the text says why."""

    action = "See that all heads run one version and site, and that nothing else sends to the peers' port."


class _Wire(msgspec.Struct, frozen=True, array_like=True):
    version: int
    fleet: int
    kind: int
    sender: int
    seq: int
    cursor: int
    digest: int
    target: int
    words: list[tuple[int, int, int, int, int, int, str, int, int]]
    said: str
    news: list[tuple[int, int, int, int, int]]


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[_Wire] = msgspec.msgpack.Decoder(_Wire)


def size_of(word: Word) -> int:
    """Bytes of a word on the wire."""
    return len(_encode(word))


def write(message: Message, fleet: int) -> bytes:
    """ValueError over the bound: who fills a message keeps to it by size_of()."""
    m = message
    raw = _encode(
        _Wire(
            VERSION,
            fleet,
            m.kind,
            m.sender,
            m.seq,
            m.cursor,
            m.digest,
            m.target,
            list(m.words),
            m.said,
            list(m.news),
        )
    )
    if len(raw) > MOST_BYTES:
        raise ValueError(f"{len(raw)} bytes of a message")
    return raw


def read(raw: bytes, fleet: int) -> Message:
    """Unreadable for anything that is not whole, of this version and of this fleet."""
    if len(raw) > MOST_BYTES:
        raise Unreadable("over the bound")
    try:
        m = _decoder.decode(raw)
    except (msgspec.DecodeError, ValueError):
        raise Unreadable("malformed") from None
    if m.version != VERSION:
        raise Unreadable("another version")
    if m.fleet != fleet:
        raise Unreadable("another fleet")
    words = tuple(Word(*w) for w in m.words)
    if (
        m.kind not in list(Kind)
        or min(m.sender, m.seq, m.cursor, m.digest, m.target + 1) < 0
        or any(
            w.state not in list(State)
            or min(w.name, w.life, w.incarnation, w.zone, w.machine) < 0
            or not 0 < w.port < 65536
            for w in words
        )
        or any(min(n) < 0 or n[2] not in NEWS_STATES for n in m.news)
    ):
        raise Unreadable("out of bounds")
    return Message(m.kind, m.sender, m.seq, m.cursor, m.digest, words, m.target, m.said, tuple(m.news))
