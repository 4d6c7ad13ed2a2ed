"""The endpoint list as discovery answers it, checked as a whole before any of it is believed."""

from hashlib import blake2b
from typing import Literal

import msgspec

from gorsethread.errors import GorsethreadError
from gorsethread.http_gateway.addresses import UnusableConfigurationError, parse_address

Lifecycle = Literal["ready", "draining", "gone"]
BACKEND_NUMBER_BYTES = 7


class DiscoveryError(GorsethreadError):
    """A call brought nothing that can be believed."""

    action = "See what discovery answers at its address; the gateway keeps the list it has and asks again."


class Instance(msgspec.Struct, frozen=True, rename="camel"):
    """One backend; started_at_ms is Unix time in milliseconds, 0 for long ago."""

    instance_id: str
    host_port: str
    zone: str
    cell: int
    lifecycle: Lifecycle
    started_at_ms: float = 0.0


class ListAnswer(msgspec.Struct, frozen=True):
    """reset: the complete list, else what changed."""

    generation: int
    reset: bool
    instances: list[Instance]


def backend_number(instance: str) -> int:
    """The same at every gateway and after every restart, as the scheduler ranks backends by it."""
    return int.from_bytes(blake2b(instance.encode(), digest_size=BACKEND_NUMBER_BYTES).digest())


def decode_list(body: bytes) -> ListAnswer:
    """An answer's list. Raises DiscoveryError where any part of it is invalid."""
    try:
        answer: ListAnswer = msgspec.json.decode(body, type=ListAnswer)
        for instance in answer.instances:
            parse_address(instance.host_port, instance.instance_id)
    except (msgspec.DecodeError, UnusableConfigurationError) as error:
        raise DiscoveryError(str(error)) from None
    return answer
