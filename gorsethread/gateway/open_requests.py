"""What the driver keeps of a request while it is open, and what a list says of a backend."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gorsethread.gateway.attempts import Attempt
from gorsethread.gateway.interfaces import Client, Extent


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request from its taking until it is answered and its attempts have ended.

    extent is what a first write of it may part; None where the wire names the shard of everything
    that has one.
    """

    id: int
    client: Client
    payload: Any
    extent: Extent | None
    shard: int
    deadline: float
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    answered: bool = False


class EndpointEntry(NamedTuple):
    """One backend as a list names it; since: its start on this gateway's clock in seconds, 0: long ago."""

    backend: int
    zone: int
    shard: int
    ready: bool
    since: float
