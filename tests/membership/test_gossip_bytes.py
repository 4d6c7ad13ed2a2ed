"""Gossip messages keep their encoding: the bytes of one message of each kind."""

import pytest

from gorsethread.membership.gossip_messages import (
    HISTORY_TARGET,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
    decode,
    encode,
)

FLEET = 4711
SUSPECT = MemberRecord(3, 1764749000000, 2, MemberState.SUSPECT, 1, 70000, "10.0.0.3", 7003, 4)
ALIVE = MemberRecord(4, 5, 0, MemberState.ALIVE, 0, 0, "gw-4", 65535, 4)
LEFT = MemberRecord(5, 6, 0, MemberState.LEFT, 0, 1, "gw-5", 1, 5)
DEAD = MemberRecord(6, 7, 1, MemberState.DEAD, 2, 1, "gw-6", 80, 3)
BACKEND_NEWS = ((2, 1, 0, 7, 300), (3, 9, 1, 7, 301), (4, 1, 2, 8, 2))

BYTES = [
    (
        GossipMessage(MessageKind.PING, 4, 17, 3, 0xDEADBEEF, (ALIVE, SUSPECT)),
        "9b02cd126700041103cedeadbeefff9299040500000000a467772d34cdffff049903cf0000019ae33cbd4002010"
        "1ce00011170a831302e302e302e33cd1b5b04a090",
    ),
    (
        GossipMessage(MessageKind.ACK, 3, 17, 0, 1, (LEFT, DEAD)),
        "9b02cd12670103110001ff9299050600020001a467772d35010599060701030201a467772d365003a090",
    ),
    (GossipMessage(MessageKind.PING_REQUEST, 4, 18, 0, 2, (), 9), "9b02cd126702041200020990a090"),
    (GossipMessage(MessageKind.NACK, 4, 18, 0, 2, ()), "9b02cd12670304120002ff90a090"),
    (
        GossipMessage(MessageKind.VIEW_QUERY, 0, 0, 200, 0, (), HISTORY_TARGET),
        "9b02cd1267040000ccc8000190a090",
    ),
    (
        GossipMessage(MessageKind.VIEW_REPLY, 3, 5, 0, 7, (ALIVE, DEAD), HISTORY_TARGET, "12,300"),
        "9b02cd12670503050007019299040500000000a467772d34cdffff0499060701030201a467772d365003a631322c33303090",
    ),
    (
        GossipMessage(MessageKind.SCHEDULER_MESSAGE, 2, 0, 0, 0xCAFE, (), text="share 3 0.5"),
        "9b02cd126706020000cdcafeff90ab7368617265203320302e3590",
    ),
    (
        GossipMessage(MessageKind.BACKEND_NEWS, 1, 0, 0, 0, (), backend_news=BACKEND_NEWS),
        "9b02cd12670701000000ff90a0939502010007cd012c9503090107cd012d950401020802",
    ),
]


@pytest.mark.parametrize(
    ("message", "encoded"), BYTES, ids=[MessageKind(message.kind).name.lower() for message, _ in BYTES]
)
def test_the_encoding_of_each_message_kind_is_stable(message: GossipMessage, encoded: str) -> None:
    assert encode(message, FLEET).hex() == encoded
    assert decode(bytes.fromhex(encoded), FLEET) == message


def test_every_message_kind_has_an_example() -> None:
    assert {message.kind for message, _ in BYTES} == set(MessageKind)
