"""Decides whether a branch gateway forwards, enqueues, serves from its queue, or rejects a command."""

from collections.abc import Sequence
from enum import Enum

from gorsethread.offline_writes.writes import WriteNumber

RETRY_AFTER_DISCONNECTED = 1.0  # seconds; for commands that need the link, while it is down
RETRY_AFTER_PENDING = 0.2  # seconds; for commands that only wait for queued writes to be applied


class Admission(Enum):
    """How a gateway handles a command."""

    FORWARD = "through"
    ENQUEUE = "hold"
    SERVE = "serve"
    REJECT = "push back"


def admit_read(queueing: bool, latest_writes: Sequence[WriteNumber | None]) -> Admission:
    """Returns how to handle a read.

    Args:
        queueing: Whether the gateway queues writes because the link is not connected.
        latest_writes: For each block, the queued write whose data the read must return; None if no write to
            the block is queued.
    """
    if all(number is None for number in latest_writes):
        return Admission.REJECT if queueing else Admission.FORWARD
    return Admission.SERVE if all(number is not None for number in latest_writes) else Admission.REJECT


def admit_write(queueing: bool, may_enqueue: bool, has_dependencies: bool) -> Admission:
    """Returns how to handle a write.

    Args:
        queueing: Whether the gateway queues writes because the link is not connected.
        may_enqueue: Whether writes of its request class may be queued.
        has_dependencies: Whether the write must be applied after a write that is still queued.
    """
    if not queueing and not has_dependencies:
        return Admission.FORWARD
    if may_enqueue:
        return Admission.ENQUEUE
    return Admission.REJECT if has_dependencies else Admission.FORWARD
