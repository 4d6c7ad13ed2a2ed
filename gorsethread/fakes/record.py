"""Records of what a fake observed on its sockets, one JSON line each, for the invariant checkers.

Times are on one clock of the machine, which all processes share.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from gorsethread.transport.base import Transport

_encode = msgspec.json.Encoder().encode


class Recorder:
    """Appends records to a file.

    who: the fake's name. path: the file; "" records nothing.
    """

    def __init__(self, transport: Transport, who: str, path: str) -> None:
        self._transport, self._who = transport, who
        self._append: Callable[[bytes], None] | None = transport.open_appender(path) if path else None

    def record(self, event: str, **facts: Any) -> None:
        if self._append:
            line = {"t": self._transport.now(), "who": self._who, "e": event, **facts}
            self._append(_encode(line) + b"\n")


class Fault(msgspec.Struct, frozen=True):
    """One fault of a script.

    at: time on the machine's clock, in seconds.
    kind: still, errors, slow or spoil (backends); late or refuse (discovery).
    part: its size: a fraction for errors and spoil, a factor for slow, seconds of extra delay for late.
    """

    at: float
    kind: str
    seconds: float
    part: float = 0.0


def read_script(raw: bytes | None) -> list[Fault]:
    return msgspec.json.decode(raw, type=list[Fault]) if raw else []
