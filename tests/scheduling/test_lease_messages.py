"""The texts by which gateways ask for and grant slow-start leases."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsethread.scheduling.lease_messages import LeaseGrant, LeaseRequest, decode, encode, lease_request


def test_the_texts_are_those_that_gateways_of_earlier_versions_read() -> None:
    asked = lease_request(1, "100.5/7", 2.0, 1.23456)
    assert encode(asked) == "ask 1 100.5/7 2 1.235"
    assert encode(LeaseGrant(asked.shard, asked.number, asked.terms)) == "lent 1 100.5/7 2 1.235"


def test_a_grant_repeats_the_terms_as_they_were_asked() -> None:
    asked = decode("ask 1 7 2.50 0")
    assert asked == LeaseRequest(1, "7", 2.5, 0.0, "2.50 0")
    assert decode("lent 1 7 2.50 0") == LeaseGrant(1, "7", "2.50 0")


@pytest.mark.parametrize(
    "text", ["", "ask", "ask 1 7 2", "ask 1 7 2 0 0", "ask x 7 2 0", "lent 1 7 y 0", "give 1 7 2 0"]
)
def test_any_other_text_is_no_message(text: str) -> None:
    assert decode(text) is None


@given(st.integers(0, 10**6), st.floats(0.125, 1e5), st.floats(0.0, 1e5))
def test_a_request_is_read_as_it_was_written(shard: int, units: float, age: float) -> None:
    asked = lease_request(shard, "1.5/2", units, age)
    read = decode(encode(asked))
    assert isinstance(read, LeaseRequest)
    assert (read.shard, read.number, read.terms) == (shard, "1.5/2", asked.terms)
    assert read.units == pytest.approx(units, rel=1e-5)
    assert read.age == pytest.approx(age, abs=0.0006)
