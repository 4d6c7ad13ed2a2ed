"""A write in the queue: the stages of its replay, the limits that it counts against."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from gorsethread.offline_writes.writes import Write, WriteNumber


class WriteStage(Enum):
    """How far a queued write has come; the values are in records and in operators' output."""

    PERSISTING = "being kept"  # on its way to the disks; not accepted yet
    WAITING = "waits"
    QUERIED = "asked"  # whether it is applied, before it is sent
    SENT = "sent"
    UNKNOWN = "unknown"  # was sent, and whether it ran is not known: it is queried first
    DEAD_LETTERED = "parked"


class Refusal(Enum):
    """Why the queue does not take a write; the values name counters."""

    FULL = "the queue is full"
    LOW_PRIORITY = "room is kept for dearer writes"
    TOO_LARGE = "larger than the queue may be"
    STALE = "what is queued is too old"


@dataclass(frozen=True)
class QueueLimits:
    """Bytes, writes, and seconds that the oldest may have waited."""

    max_bytes: int
    max_writes: int
    max_age: float


class ReadyWrite(NamedTuple):
    """A write that may go to the main site now, and whether it is queried before it is sent."""

    number: WriteNumber
    query_first: bool


@dataclass
class QueuedWrite:
    """A write and the state of its replay, as `WriteQueue` keeps it.

    Attributes:
        write: What is applied.
        stage: How far it has come.
        reason: Why it is dead-lettered; later, that it was released.
        sent_to: The gateway of the main site that it went to last, -1 for none.
        send_tokens: For each gateway of the main site which token it accepts; each query voids those before.
        suspects: Gateways that may have run it; all are queried.
        forced: A person said that it is applied whatever is known.
        not_before: Seconds by the caller's clock, at which it may go again.
        pending_since: When it was sent or first queried, by the caller's clock; 0 for neither.
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
        """It waits for a person."""
        return self.stage is WriteStage.DEAD_LETTERED

    @property
    def is_under_way(self) -> bool:
        """It, or a query about it, went to the main site."""
        return self.stage in (WriteStage.QUERIED, WriteStage.SENT)

    @property
    def may_be_dead_lettered(self) -> bool:
        """Nothing of it is under way or being persisted."""
        return self.stage in (WriteStage.WAITING, WriteStage.UNKNOWN)

    def send_token(self, gateway: int) -> int:
        """The token that a gateway of the main site accepts."""
        return self.send_tokens.get(gateway, 0)

    def is_answered_by(self, send_token: int) -> bool:
        """It is sent, and an answer with that token is about this sending and no earlier one."""
        return self.stage is WriteStage.SENT and self.send_token(self.sent_to) == send_token
