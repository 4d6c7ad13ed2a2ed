"""The messages by which gateways ask for and grant slow-start leases.

A message is a text of five words: its kind, the shard, the request's number, units, and the seconds since the
backend's start.
"""

from typing import NamedTuple

REQUEST_WORD = "ask"
GRANT_WORD = "lent"


class LeaseRequest(NamedTuple):
    """Asks a shard's lease holder for units of what the shard's backend allows.

    number tells this request from all others of the same gateway; age: seconds since the backend's start;
    terms: units and age as texts, which the grant repeats.
    """

    shard: int
    number: str
    units: float
    age: float
    terms: str


class LeaseGrant(NamedTuple):
    """Grants the request of that number, with its terms."""

    shard: int
    number: str
    terms: str


def request_for(shard: int, number: str, units: float, age: float) -> LeaseRequest:
    """Returns a request with its terms as texts."""
    return LeaseRequest(shard, number, units, age, f"{units:g} {age:.3f}")


def encode(message: LeaseRequest | LeaseGrant) -> str:
    """Returns the text of a message."""
    kind = REQUEST_WORD if isinstance(message, LeaseRequest) else GRANT_WORD
    return f"{kind} {message.shard} {message.number} {message.terms}"


def decode(text: str) -> LeaseRequest | LeaseGrant | None:
    """Returns the message of a text, or None for any other text."""
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
