"""What a branch's gateway does with a client's command: forward, enqueue, serve from the queue, or reject."""

from collections.abc import Sequence
from enum import Enum

from gorsethread.offline_writes.writes import WriteNumber

RETRY_AFTER_DISCONNECTED = 1.0  # seconds; for what can't be had while the link is down
RETRY_AFTER_PENDING = 0.2  # seconds; for what waits only for queued writes


class Admission(Enum):
    """What becomes of a command."""

    FORWARD = "through"
    ENQUEUE = "hold"
    SERVE = "serve"
    REJECT = "push back"


def admit_read(queueing: bool, latest_writes: Sequence[WriteNumber | None]) -> Admission:
    """Decides on a read.

    Args:
        queueing: Whether the link is not connected.
        latest_writes: For each block the queued write whose bytes the read would see.
    """
    if all(number is None for number in latest_writes):
        return Admission.REJECT if queueing else Admission.FORWARD
    return Admission.SERVE if all(number is not None for number in latest_writes) else Admission.REJECT


def admit_write(queueing: bool, may_enqueue: bool, has_dependencies: bool) -> Admission:
    """Decides on a write.

    Args:
        queueing: Whether the link is not connected.
        may_enqueue: Whether the write's request class may be queued.
        has_dependencies: Whether a queued write must come first; this one may not overtake it.
    """
    if not queueing and not has_dependencies:
        return Admission.FORWARD
    if may_enqueue:
        return Admission.ENQUEUE
    return Admission.REJECT if has_dependencies else Admission.FORWARD
