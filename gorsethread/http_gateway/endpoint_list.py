"""Decodes discovery's endpoint lists; a list with any invalid part is rejected as a whole."""

from hashlib import blake2b
from typing import Literal

import msgspec

from gorsethread.errors import GorsethreadError
from gorsethread.http_gateway.addresses import UnusableConfigurationError, parse_address

Lifecycle = Literal["ready", "draining", "gone"]
BACKEND_NUMBER_BYTES = 7


class DiscoveryError(GorsethreadError):
    """Discovery's answer can't be used."""

    action = "Check what discovery answers at its address; the gateway keeps its current list and asks again."


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One backend of an endpoint list; started_at_ms is Unix time in milliseconds, 0 for long ago."""

    instance_id: str
    host_port: str
    zone: str
    cell: int
    lifecycle: Lifecycle
    started_at_ms: float = 0.0


class ListAnswer(msgspec.Struct, frozen=True):
    """Discovery's answer; reset says whether instances is the complete list, else it holds the changes."""

    generation: int
    reset: bool
    instances: list[Instance]


def backend_number(instance_id: str) -> int:
    """Returns a hash of a name as the backend's number.

    It is the same at every gateway and after every restart, because the scheduler ranks backends by it.
    """
    return int.from_bytes(blake2b(instance_id.encode(), digest_size=BACKEND_NUMBER_BYTES).digest())


def decode_list(body: bytes) -> ListAnswer:
    """Decodes the body of an answer; raises DiscoveryError if any part of it is invalid."""
    try:
        answer: ListAnswer = msgspec.json.decode(body, type=ListAnswer)
        for instance in answer.instances:
            parse_address(instance.host_port, instance.instance_id)
    except (msgspec.DecodeError, UnusableConfigurationError) as error:
        raise DiscoveryError(str(error)) from None
    return answer
