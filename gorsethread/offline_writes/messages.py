"""Messages about queued writes between branch gateways, gateways of the main site, and operators.

They use the framing of the replication streams (`durable_log/replication_messages.py`). Tags and the order of
the fields are the wire format and must not change; the names of classes and fields are not on the wire.
"""

from typing import Any

import msgspec

from gorsethread.durable_log import replication_messages
from gorsethread.offline_writes.writes import Position

NumberOnWire = tuple[int, int, int]  # gateway, incarnation, sequence


class BranchHello(msgspec.Struct, frozen=True, tag="greet", array_like=True):
    """The first message of a branch gateway, with the fleet id of its site file."""

    fleet: int
    gateway: int


class Heartbeat(msgspec.Struct, frozen=True, tag="here", array_like=True):
    """A probe, answered by a HeartbeatReply of the same count; the answer shows that both directions work."""

    count: int


class HeartbeatReply(msgspec.Struct, frozen=True, tag="there", array_like=True):
    """The answer to a Heartbeat."""

    count: int


class ReplayProgress(msgspec.Struct, frozen=True, tag="marked", array_like=True):
    """The progress of the replay of one branch gateway's writes.

    Attributes:
        gateway: The branch gateway that accepted the writes.
        epoch: The epoch under which they are replayed.
        completed_up_to: All writes up to this position, except for `exceptions`, are finished.
        exceptions: Positions of writes that are or once were dead-lettered.
    """

    gateway: int
    epoch: int
    completed_up_to: Position
    exceptions: list[Position]


class StatusQuery(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Asks whether a write is applied."""

    number: NumberOnWire
    epoch: int
    request_class: int


class ReplayWrite(msgspec.Struct, frozen=True, tag="send", array_like=True):
    """Asks to apply a write.

    Attributes:
        number: The write's number.
        epoch: The epoch under which it is replayed.
        send_token: The token from the reply to the last StatusQuery; 0 if there was no query.
        request_class: Index of its request class in the site file.
        volume: Number of the volume.
        block: First block.
        hints: The command's data set management byte.
        idempotency_key: The client's key; 0 for none.
        attempt: The client's count of its attempts.
        base_version: Version of the blocks as the branch last saw them; 0 to apply it whatever they hold.
        forced: Whether an operator decided to apply it although it may have run.
        data: The new data of the blocks.
    """

    number: NumberOnWire
    epoch: int
    send_token: int
    request_class: int
    volume: int
    block: int
    hints: int
    idempotency_key: int
    attempt: int
    base_version: int
    forced: bool
    data: bytes


class ReplayReply(msgspec.Struct, frozen=True, tag="told", array_like=True):
    """The answer to a StatusQuery or a ReplayWrite.

    Attributes:
        number: The write's number.
        outcome: A ReplayOutcome of `applied_writes.py`.
        send_token: With NOT_APPLIED, the only token that is accepted from now on; with FENCED, the later
            epoch; otherwise the token of the message that is answered.
        retry_after: Seconds to wait, with RETRY.
    """

    number: NumberOnWire
    outcome: int
    send_token: int = 0
    retry_after: float = 0.0


class OperatorQuery(msgspec.Struct, frozen=True, tag="question", array_like=True):
    """The first message of an operator's command, which runs on this machine.

    Attributes:
        fleet: Fleet id of the site file that the operator named.
        command: One of `show`, `history`, `parked`, `release`, and `discard`.
        number: The write to release or discard.
    """

    fleet: int
    command: str
    number: NumberOnWire | None = None


class OperatorReply(msgspec.Struct, frozen=True, tag="shown", array_like=True):
    """The answer to an OperatorQuery: a JSON object, with the key `error` if the command failed."""

    json: bytes


Message = (
    BranchHello
    | Heartbeat
    | HeartbeatReply
    | ReplayProgress
    | StatusQuery
    | ReplayWrite
    | ReplayReply
    | OperatorQuery
    | OperatorReply
)
BRANCH_MESSAGES = (
    BranchHello,
    Heartbeat,
    HeartbeatReply,
    ReplayProgress,
    StatusQuery,
    ReplayWrite,
    ReplayReply,
    OperatorQuery,
    OperatorReply,
)
DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(replication_messages.Message | Message)
