"""Tests the messages with which gateways request and grant slow-start leases."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsethread.scheduling.lease_messages import LeaseGrant, LeaseRequest, decode, encode, lease_request


def test_messages_are_encoded_as_gateways_of_earlier_versions_expect() -> None:
    request = lease_request(1, "100.5/7", 2.0, 1.23456)
    assert encode(request) == "ask 1 100.5/7 2 1.235"
    assert encode(LeaseGrant(request.shard, request.number, request.terms)) == "lent 1 100.5/7 2 1.235"


def test_a_grant_repeats_the_terms_of_the_request_literally() -> None:
    request = decode("ask 1 7 2.50 0")
    assert request == LeaseRequest(1, "7", 2.5, 0.0, "2.50 0")
    assert decode("lent 1 7 2.50 0") == LeaseGrant(1, "7", "2.50 0")


@pytest.mark.parametrize(
    "text", ["", "ask", "ask 1 7 2", "ask 1 7 2 0 0", "ask x 7 2 0", "lent 1 7 y 0", "give 1 7 2 0"]
)
def test_other_texts_are_not_decoded(text: str) -> None:
    assert decode(text) is None


@given(st.integers(0, 10**6), st.floats(0.125, 1e5), st.floats(0.0, 1e5))
def test_a_decoded_request_equals_the_encoded_one(shard: int, units: float, age: float) -> None:
    request = lease_request(shard, "1.5/2", units, age)
    decoded = decode(encode(request))
    assert isinstance(decoded, LeaseRequest)
    assert (decoded.shard, decoded.number, decoded.terms) == (shard, "1.5/2", request.terms)
    assert decoded.units == pytest.approx(units, rel=1e-5)
    assert decoded.age == pytest.approx(age, abs=0.0006)
