"""What a stand-in saw on its sockets, a line each, for the witness. Times are the machine's one clock."""

from collections.abc import Callable
from typing import Any

import msgspec

from gorsethread.transport.base import Transport

_encode = msgspec.json.Encoder().encode


class Recorder:
    """who: the stand-in's name. path "" keeps nothing."""

    def __init__(self, transport: Transport, who: str, path: str) -> None:
        self._transport, self._who = transport, who
        self._append: Callable[[bytes], None] | None = transport.open_appender(path) if path else None

    def record(self, event: str, **facts: Any) -> None:
        if self._append:
            line = {"t": self._transport.now(), "who": self._who, "e": event, **facts}
            self._append(_encode(line) + b"\n")


class Fault(msgspec.Struct, frozen=True):
    """at: the machine's clock; kind: still, errors, slow (shelves), late, refuse (list); part: how much."""

    at: float
    kind: str
    seconds: float
    part: float = 0.0


def read_script(raw: bytes | None) -> list[Fault]:
    return msgspec.json.decode(raw, type=list[Fault]) if raw else []
