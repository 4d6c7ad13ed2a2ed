"""The stages of a request's time, the holders of what it may wait for, and histogram buckets."""

from enum import IntEnum

from gorsethread.scheduling.model import HoldReason


class Stage(IntEnum):
    """Parts of a request's time at a gateway; each moment belongs to exactly one.

    Snapshots store the numbers: add new ones, never change one.
    """

    RECEIVING = 0  # from the receipt of its capsule to the receipt of its data
    GATEWAY = 1  # in the gateway's own processing, until the scheduler has seen it
    SLOTS = 2
    RATE = 3
    RATE_LIMIT = 4
    SLOW_START = 5
    KEY_ORDER = 6
    COOL_DOWN = 7
    SILENT = 8
    NO_BACKEND = 9
    RETRY_BUDGET = 10
    HELD_UNKNOWN = 11
    OUTBOUND = 12
    BACKEND_QUEUE = 13
    SERVICE = 14  # as the backend reported it
    RETURN = 15
    FAILED_ATTEMPT = 16  # in an attempt that did not succeed; a retry may follow
    UNDIVIDED = 17  # at a backend that reported no service time, or at one when the request ended


STAGES = len(Stage)
# The labels are values in the JSON of commands, so they keep their words.
STAGE_LABELS = {
    Stage.RECEIVING: "its data arriving",
    Stage.GATEWAY: "the head's own work",
    Stage.SLOTS: "slots taken",
    Stage.RATE: "rate of the shelf",
    Stage.RATE_LIMIT: "limit",
    Stage.SLOW_START: "cold ramp",
    Stage.KEY_ORDER: "turn of its key",
    Stage.COOL_DOWN: "rest after a miss",
    Stage.SILENT: "shelf silent",
    Stage.NO_BACKEND: "no shelf known",
    Stage.RETRY_BUDGET: "budget of forwards",
    Stage.HELD_UNKNOWN: "held, unknown",
    Stage.OUTBOUND: "on the way",
    Stage.BACKEND_QUEUE: "waiting at the shelf",
    Stage.SERVICE: "in work",
    Stage.RETURN: "on the way back",
    Stage.FAILED_ATTEMPT: "lost forwards",
    Stage.UNDIVIDED: "out, not divided",
}
STAGE_OF = {
    HoldReason.SLOTS: Stage.SLOTS,
    HoldReason.RATE: Stage.RATE,
    HoldReason.RATE_LIMIT: Stage.RATE_LIMIT,
    HoldReason.SLOW_START: Stage.SLOW_START,
    HoldReason.KEY_ORDER: Stage.KEY_ORDER,
    HoldReason.COOL_DOWN: Stage.COOL_DOWN,
    HoldReason.SILENT: Stage.SILENT,
    HoldReason.NO_BACKEND: Stage.NO_BACKEND,
    HoldReason.RETRY_BUDGET: Stage.RETRY_BUDGET,
    HoldReason.UNKNOWN: Stage.HELD_UNKNOWN,
    HoldReason.NOT_HELD: Stage.HELD_UNKNOWN,
}
# Stages that count as waiting; service and transit are time that every request takes.
WAITING_STAGES = (
    Stage.SLOTS,
    Stage.RATE,
    Stage.RATE_LIMIT,
    Stage.SLOW_START,
    Stage.KEY_ORDER,
    Stage.COOL_DOWN,
    Stage.SILENT,
    Stage.NO_BACKEND,
    Stage.RETRY_BUDGET,
    Stage.HELD_UNKNOWN,
    Stage.BACKEND_QUEUE,
    Stage.FAILED_ATTEMPT,
    Stage.UNDIVIDED,
)


# Holders that are not volumes; volumes are numbered from 1.
BACKEND = -1
GATEWAY = -2
UNKNOWN = -3
OTHERS = -4  # volumes beyond the bound on blame entries
NO_LISTED_BACKEND = -5
HOLDER_LABELS = {
    BACKEND: "the shelf itself",
    GATEWAY: "the head's decision",
    UNKNOWN: "unknown",
    OTHERS: "volumes not told apart",
    NO_LISTED_BACKEND: "no shelf in the list",
}


def bucket_of(us: int) -> int:
    """Returns a duration's bucket, at most 3% wide, as in an HdrHistogram of 32 half-buckets."""
    shift = us.bit_length() - 6
    return us if shift <= 0 else (shift << 6) + (us >> shift)


def bucket_value(bucket: int) -> int:
    """Returns the middle of a bucket, in microseconds."""
    shift = bucket >> 6
    return bucket if not shift else ((bucket & 63) << shift) + (1 << shift >> 1)
