"""Tests that messages about queued writes are encoded in the bytes that earlier versions send and read."""

import msgspec
import pytest

from gorsethread.durable_log.replication_messages import MessageReader, encode
from gorsethread.offline_writes import messages

ENCODED: list[tuple[msgspec.Struct, str]] = [
    (messages.BranchHello(7, 3), "0900000093a567726565740703"),
    (messages.Heartbeat(5), "0700000092a46865726505"),
    (messages.HeartbeatReply(5), "0800000092a5746865726505"),
    (messages.ReplayProgress(3, 9, (9, 4), [(9, 2)]), "1100000095a66d61726b6564030992090491920902"),
    (messages.StatusQuery((3, 9, 6), 9, 2), "0b00000094a361736b930309060902"),
    (
        messages.ReplayWrite((3, 9, 6), 9, 5, 2, 8, 16, 1, 77, 4, 3, True, b"data"),
        "1a0000009da473656e64930309060905020810014d0403c3c40464617461",
    ),
    (messages.ReplayReply((3, 9, 6), 3, 5, 0.5), "1500000095a4746f6c64930309060305cb3fe0000000000000"),
    (
        messages.OperatorQuery(7, "release", (3, 9, 6)),
        "1700000094a87175657374696f6e07a772656c6561736593030906",
    ),
    (messages.OperatorReply(b'{"a":1}'), "1000000092a573686f776ec4077b2261223a317d"),
]


@pytest.mark.parametrize(("message", "encoded"), ENCODED, ids=lambda value: type(value).__name__)
def test_encoding_of_each_message_is_stable(message: msgspec.Struct, encoded: str) -> None:
    assert encode(message).hex() == encoded
    assert MessageReader(messages.DECODER).feed(bytes.fromhex(encoded)) == [message]


def test_every_message_class_has_an_encoding_here() -> None:
    assert {type(message) for message, _ in ENCODED} == set(messages.BRANCH_MESSAGES)
