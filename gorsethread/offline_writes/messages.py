"""What a branch's gateways, the main site's gateways and operators send each other about queued writes.

They travel as messages of the gateways' own streams (`durable_log/replication_messages.py`). Tags and the
order of the fields are the wire format and stay; the names of classes and fields are not on the wire.
"""

from typing import Any

import msgspec

from gorsethread.durable_log import replication_messages
from gorsethread.offline_writes.writes import Position

NumberOnWire = tuple[int, int, int]  # gateway, incarnation, sequence


class BranchHello(msgspec.Struct, frozen=True, tag="greet", array_like=True):
    """The first message of a branch's gateway, with the fleet of its site."""

    fleet: int
    gateway: int


class Heartbeat(msgspec.Struct, frozen=True, tag="here", array_like=True):
    """Answered by a HeartbeatReply of the same count: a sign that both directions are open."""

    count: int


class HeartbeatReply(msgspec.Struct, frozen=True, tag="there", array_like=True):
    """The answer to a Heartbeat."""

    count: int


class ReplayProgress(msgspec.Struct, frozen=True, tag="marked", array_like=True):
    """How far the replay of a gateway's writes has come.

    Attributes:
        gateway: Whose writes are replayed.
        epoch: Under which they are.
        completed_up_to: All up to there is finished, but the exceptions.
        exceptions: Writes that are or once were dead-lettered.
    """

    gateway: int
    epoch: int
    completed_up_to: Position
    exceptions: list[Position]


class StatusQuery(msgspec.Struct, frozen=True, tag="ask", array_like=True):
    """Is that write applied?"""

    number: NumberOnWire
    epoch: int
    request_class: int


class ReplayWrite(msgspec.Struct, frozen=True, tag="send", array_like=True):
    """Apply that write.

    Attributes:
        number: Of the write.
        epoch: Under which it is replayed.
        send_token: That the last StatusQuery gave; 0 where there was none.
        request_class: Its index in the site file.
        volume: Number of the volume.
        block: First block.
        hints: The command's data set management byte.
        idempotency_key: The client's; 0 for none.
        attempt: The client's count of its attempts.
        base_version: Of the blocks as the branch saw them; 0 where it is applied whatever they hold.
        forced: A person said so, though it may have run.
        data: The blocks' new bytes.
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
        number: Of the write.
        outcome: A ReplayOutcome of `applied_writes.py`.
        send_token: With NOT_APPLIED the only one that is accepted from now on; with FENCED the later epoch;
            else the token that it answers.
        retry_after: Seconds, with RETRY.
    """

    number: NumberOnWire
    outcome: int
    send_token: int = 0
    retry_after: float = 0.0


class OperatorQuery(msgspec.Struct, frozen=True, tag="question", array_like=True):
    """The first message of an operator's command on this machine.

    Attributes:
        fleet: Of the site file that the operator named.
        command: show, history, parked, release or discard.
        number: The write that is released or discarded.
    """

    fleet: int
    command: str
    number: NumberOnWire | None = None


class OperatorReply(msgspec.Struct, frozen=True, tag="shown", array_like=True):
    """The answer to an OperatorQuery: a JSON object; with `error` where it could not be done."""

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
