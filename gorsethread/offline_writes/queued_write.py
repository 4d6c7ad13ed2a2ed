"""Types of the write queue: a queued write with the state of its replay, the queue's limits and refusals."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from gorsethread.offline_writes.writes import Write, WriteNumber


class WriteStage(Enum):
    """The stage of a queued write; the values are stored in records and shown to operators."""

    PERSISTING = "being kept"  # being written to the disks; not accepted yet
    WAITING = "waits"
    QUERIED = "asked"  # the main site was asked whether it is applied
    SENT = "sent"
    UNKNOWN = "unknown"  # may have run; must be queried before it is sent again
    DEAD_LETTERED = "parked"


class Refusal(Enum):
    """Why the queue refuses a write; the values are part of counter names."""

    FULL = "the queue is full"
    LOW_PRIORITY = "room is kept for dearer writes"
    TOO_LARGE = "larger than the queue may be"
    STALE = "what is queued is too old"


@dataclass(frozen=True)
class QueueLimits:
    """Limits of a queue: bytes of data, number of writes, and age of the oldest write in seconds."""

    max_bytes: int
    max_writes: int
    max_age: float


class ReadyWrite(NamedTuple):
    """A write that may go to the main site now, and whether it must be queried rather than sent."""

    number: WriteNumber
    query_first: bool


@dataclass
class QueuedWrite:
    """A write and the state of its replay, as `WriteQueue` keeps it.

    Attributes:
        write: The write itself.
        stage: The stage of its replay.
        reason: Why it is dead-lettered; after a release, that it was released.
        sent_to: The gateway of the main site that it was last sent to; -1 for none.
        send_tokens: The token that each queried gateway of the main site accepts; a new query replaces it.
        suspects: Gateways that may have run it; each of them must be queried.
        forced: Whether an operator decided that it is applied although it may have run.
        not_before: Earliest time to send or query it again, in seconds of the caller's clock.
        pending_since: When it was sent or first queried, in seconds of the caller's clock; 0 for neither.
    """

    write: Write
    stage: WriteStage = WriteStage.WAITING
    reason: str = ""
    sent_to: int = -1
    send_tokens: dict[int, int] = field(default_factory=dict)
    suspects: list[int] = field(default_factory=list)
    forced: bool = False
    not_before: float = 0.0
    pending_since: float = 0.0

    @property
    def is_dead_lettered(self) -> bool:
        """Whether it waits for an operator's decision."""
        return self.stage is WriteStage.DEAD_LETTERED

    @property
    def is_under_way(self) -> bool:
        """Whether it, or a query about it, was sent to the main site and is not answered yet."""
        return self.stage in (WriteStage.QUERIED, WriteStage.SENT)

    @property
    def is_idle(self) -> bool:
        """Whether it is neither under way, being persisted, nor dead-lettered already."""
        return self.stage in (WriteStage.WAITING, WriteStage.UNKNOWN)

    def send_token(self, gateway: int) -> int:
        """Returns the token that a gateway of the main site accepts; 0 if it was not queried."""
        return self.send_tokens.get(gateway, 0)

    def is_answered_by(self, send_token: int) -> bool:
        """Returns whether an answer with this token refers to the current transmission."""
        return self.stage is WriteStage.SENT and self.send_token(self.sent_to) == send_token
