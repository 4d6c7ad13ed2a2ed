"""One attempt of a request at a backend, and its result."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from gorsethread.scheduling.model import AttemptOutcome


class AttemptResult(NamedTuple):
    """The contents of a backend's answer.

    data is what a read returned. units_elsewhere counts the units that the volume was served through other
    gateways, usage is the backend's own figure, service_seconds its own service time (0: not reported).
    """

    data: bytes = b""
    units_elsewhere: float = 0
    usage: float = 0
    service_seconds: float = 0.0


EMPTY_RESULT = AttemptResult()


def attempt_count(outcome: AttemptOutcome) -> str:
    """Returns the name of the driver's counter of attempts with this outcome."""
    return f"attempts {outcome.name.lower().replace('_', ' ')}"


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a backend.

    Whoever ends the attempt sets ended and calls on_end, once; answers that arrive after that are dropped.
    cid is the command identifier on an NVMe queue, -1 until the command is submitted.
    """

    request: int
    number: int
    backend: int
    sent_at: float
    payload: Any
    on_end: "Callable[[Attempt, AttemptOutcome, AttemptResult], None]"
    cid: int = -1
    ended: bool = False
    first_write: bool = False  # writes an extent that has no shard yet
