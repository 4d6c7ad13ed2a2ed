"""One sending of a request to a backend, and what came back."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from gorsethread.scheduling.model import AttemptOutcome


class Told(NamedTuple):
    """What a backend's answer brought: data of a read, units served elsewhere, usage, its own service
    time.
    """

    data: bytes = b""
    elsewhere: float = 0
    usage: float = 0
    service: float = 0.0


NOTHING = Told()


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a backend. over: its ending has been told; later answers are dropped."""

    request: int
    number: int
    backend: int
    sent_at: float
    payload: Any
    ended: "Callable[[Attempt, AttemptOutcome, Told], None]"
    cid: int = -1
    over: bool = False
    first_write: bool = False  # of an extent that nobody has placed yet
