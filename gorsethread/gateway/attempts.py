"""One sending of a request to a backend, and what came back."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from gorsethread.scheduling.model import AttemptOutcome


class AttemptResult(NamedTuple):
    """What a backend's answer brought.

    data is that of a read; units_elsewhere counts units that the volume was served through other gateways,
    usage is the backend's own figure, service_seconds its own service time (0: it told none).
    """

    data: bytes = b""
    units_elsewhere: float = 0
    usage: float = 0
    service_seconds: float = 0.0


EMPTY_RESULT = AttemptResult()


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a backend.

    on_end is called once, by whoever ends it; over says that this has happened, so later answers are dropped.
    cid is the command identifier on an NVMe queue, -1 before it has one.
    """

    request: int
    number: int
    backend: int
    sent_at: float
    payload: Any
    on_end: "Callable[[Attempt, AttemptOutcome, AttemptResult], None]"
    cid: int = -1
    over: bool = False
    first_write: bool = False  # of an extent that nobody has placed yet
