"""The words of the accounts: stages of a life, outcomes, and who may hold what a transaction waits for."""

from enum import IntEnum

from gorsethread.scheduling.model import HoldReason


class Stage(IntEnum):
    """Parts of a transaction's life at a head; each moment of it belongs to exactly one. The numbers stand in
    snapshots: they are added to, never changed."""

    ARRIVING = 0  # from its capsule until its data is here
    HEAD = 1  # in the head's own work, until the scheduler has seen it
    SLOTS = 2
    RATE = 3
    LIMIT = 4
    COLD = 5
    KEY_TURN = 6
    REST = 7
    SILENT = 8
    NO_SHELF = 9
    BUDGET = 10
    HELD_UNKNOWN = 11
    WAY_THERE = 12
    AT_SHELF = 13  # waiting there
    WORK = 14
    WAY_BACK = 15
    LOST_FORWARD = 16  # in a forward that brought no answer; what follows is a further forward
    UNDIVIDED = 17  # out at a shelf that told no service time, or left while out


STAGES = len(Stage)
WORDS = {
    Stage.ARRIVING: "its data arriving",
    Stage.HEAD: "the head's own work",
    Stage.SLOTS: "slots taken",
    Stage.RATE: "rate of the shelf",
    Stage.LIMIT: "limit",
    Stage.COLD: "cold ramp",
    Stage.KEY_TURN: "turn of its key",
    Stage.REST: "rest after a miss",
    Stage.SILENT: "shelf silent",
    Stage.NO_SHELF: "no shelf known",
    Stage.BUDGET: "budget of forwards",
    Stage.HELD_UNKNOWN: "held, unknown",
    Stage.WAY_THERE: "on the way",
    Stage.AT_SHELF: "waiting at the shelf",
    Stage.WORK: "in work",
    Stage.WAY_BACK: "on the way back",
    Stage.LOST_FORWARD: "lost forwards",
    Stage.UNDIVIDED: "out, not divided",
}
STAGE_OF = {
    HoldReason.SLOTS: Stage.SLOTS,
    HoldReason.RATE: Stage.RATE,
    HoldReason.RATE_LIMIT: Stage.LIMIT,
    HoldReason.SLOW_START: Stage.COLD,
    HoldReason.KEY_ORDER: Stage.KEY_TURN,
    HoldReason.COOL_DOWN: Stage.REST,
    HoldReason.SILENT: Stage.SILENT,
    HoldReason.NO_BACKEND: Stage.NO_SHELF,
    HoldReason.RETRY_BUDGET: Stage.BUDGET,
    HoldReason.UNKNOWN: Stage.HELD_UNKNOWN,
    HoldReason.NOT_HELD: Stage.HELD_UNKNOWN,
}
# Time that somebody or something made it wait; work and ways are what any transaction takes.
WAITS = (
    Stage.SLOTS,
    Stage.RATE,
    Stage.LIMIT,
    Stage.COLD,
    Stage.KEY_TURN,
    Stage.REST,
    Stage.SILENT,
    Stage.NO_SHELF,
    Stage.BUDGET,
    Stage.HELD_UNKNOWN,
    Stage.AT_SHELF,
    Stage.LOST_FORWARD,
    Stage.UNDIVIDED,
)


# Holders that are no volume; volumes have their own numbers, from 1.
SHELF = -1
HEAD = -2
UNKNOWN = -3
OTHERS = -4  # volumes past the matrix's bound
LIST = -5
HOLDER_WORDS = {
    SHELF: "the shelf itself",
    HEAD: "the head's decision",
    UNKNOWN: "unknown",
    OTHERS: "volumes not told apart",
    LIST: "no shelf in the list",
}


def bucket_of(us: int) -> int:
    """Where a duration in microseconds is counted: at most 3% wide, as an HdrHistogram of 32 half-buckets."""
    shift = us.bit_length() - 6
    return us if shift <= 0 else (shift << 6) + (us >> shift)


def bucket_value(bucket: int) -> int:
    """The middle of a bucket, in microseconds."""
    shift = bucket >> 6
    return bucket if not shift else ((bucket & 63) << shift) + (1 << shift >> 1)
