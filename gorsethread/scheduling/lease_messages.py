"""Encodes and decodes the messages with which gateways request and grant slow-start leases.

A message is a text of five words: its kind, the shard, the request's number, the units, and the seconds since
the backend's start.
"""

from typing import NamedTuple

REQUEST_WORD = "ask"
GRANT_WORD = "lent"


class LeaseRequest(NamedTuple):
    """A request to a shard's lease holder for some of the units that the shard's backend allows.

    number: unique among the requests of one gateway; age: seconds since the backend's start; terms: units and
    age as text, which the grant repeats.
    """

    shard: int
    number: str
    units: float
    age: float
    terms: str


class LeaseGrant(NamedTuple):
    """The grant of the request with the same number and terms."""

    shard: int
    number: str
    terms: str


def lease_request(shard: int, number: str, units: float, age: float) -> LeaseRequest:
    """Returns a lease request whose terms are formatted from units and age."""
    return LeaseRequest(shard, number, units, age, f"{units:g} {age:.3f}")


def encode(message: LeaseRequest | LeaseGrant) -> str:
    """Returns a message as text."""
    kind = REQUEST_WORD if isinstance(message, LeaseRequest) else GRANT_WORD
    return f"{kind} {message.shard} {message.number} {message.terms}"


def decode(text: str) -> LeaseRequest | LeaseGrant | None:
    """Returns the message that a text encodes, or None if it encodes none."""
    try:
        kind, shard_word, number, units_word, age_word = text.split()
        shard = int(shard_word)
        units = float(units_word)
        age = float(age_word)
    except ValueError:
        return None
    terms = f"{units_word} {age_word}"
    if kind == REQUEST_WORD:
        return LeaseRequest(shard, number, units, age, terms)
    if kind == GRANT_WORD:
        return LeaseGrant(shard, number, terms)
    return None
