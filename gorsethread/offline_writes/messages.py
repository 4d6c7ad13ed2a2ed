"""What a branch's heads, the main site's heads and operators say to each other of queued writes, as messages
of the heads' own streams (records/replication_messages.py)."""

from typing import Any

import msgspec

from gorsethread.durable_log import replication_messages

Triple = tuple[int, int, int]  # branch, life, place


class Greet(msgspec.Struct, frozen=True, tag="greet", array_like=True):
    """From a branch's head, first. fleet: of its site."""

    fleet: int
    head: int


class Here(msgspec.Struct, frozen=True, tag="here", array_like=True):
    """Answered by the same as There: a sign that both ways are open."""

    beat: int


class There(msgspec.Struct, frozen=True, tag="there", array_like=True):
    beat: int


class Marked(msgspec.Struct, frozen=True, tag="marked", array_like=True):
    """Whose writes are replayed, under which epoch; all up to mark (life, place) is over, but what is
    parked or once was."""

    branch: int
    epoch: int
    mark: tuple[int, int]
    parked: list[tuple[int, int]]


class Ask(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Is it in effect?"""

    number: Triple
    epoch: int
    profile: int


class Send(msgspec.Struct, frozen=True, tag="send", array_like=True):
    """Put it into effect. anyway: a person said so, though it may have run. base: see records' Queued; 0
    where it is to be applied whatever its blocks hold."""

    number: Triple
    epoch: int
    sending: int
    profile: int
    volume: int
    block: int
    hints: int
    label: int
    attempt: int
    base: int
    anyway: bool
    data: bytes


class Told(msgspec.Struct, frozen=True, tag="told", array_like=True):
    """answer: of applied_writes.py. sending: which is taken from now on, with NOT; which it answers, else; an
    epoch with SHUT_OUT. after: seconds, with AGAIN."""

    number: Triple
    answer: int
    sending: int = 0
    after: float = 0.0


class Question(msgspec.Struct, frozen=True, tag="question", array_like=True):
    """From an operator on this machine, first. what: show, history, parked, release or discard."""

    fleet: int
    what: str
    number: Triple | None = None


class Shown(msgspec.Struct, frozen=True, tag="shown", array_like=True):
    """json: an object; with `error` where it could not be done."""

    json: bytes


Message = Greet | Here | There | Marked | Ask | Send | Told | Question | Shown
OF_BRANCHES = (Greet, Here, There, Marked, Ask, Send, Told, Question, Shown)
DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(replication_messages.Message | Message)
