"""What a branch's head does with a command: sends it on as ever, holds it, answers it from what is queued, or
pushes it back. Pure."""

from collections.abc import Sequence
from enum import Enum

from gorsethread.offline_writes.writes import WriteNumber

RETURN_CUT = 1.0  # seconds after which what can't be had while the link is gone may be asked for again
RETURN_SOON = 0.2  # and what waits for queued writes only


class Say(Enum):
    THROUGH = "through"
    HOLD = "hold"
    SERVE = "serve"
    BACK = "push back"


def of_read(queues: bool, last: Sequence[WriteNumber | None]) -> Say:
    """last: of each block the queued write that it would see."""
    if all(n is None for n in last):
        return Say.BACK if queues else Say.THROUGH
    return Say.SERVE if all(n is not None for n in last) else Say.BACK


def of_write(queues: bool, may_hold: bool, pending: bool) -> Say:
    """pending: of what it must come after, something is queued: it may not overtake that."""
    if not queues and not pending:
        return Say.THROUGH
    if may_hold:
        return Say.HOLD
    return Say.BACK if pending else Say.THROUGH
