"""An open request as the driver keeps it, and an entry of the endpoint list."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from gorsethread.gateway.attempts import Attempt
from gorsethread.gateway.interfaces import Client, Extent


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request from its admission until it is answered and its attempts have ended.

    written_extent is the extent that it writes, whose shard its first write decides; None for reads, and
    where the wire protocol names the shard of everything that has one. shard is the one that it was admitted
    for. attempts counts all attempts, in_flight holds those that have not ended, by their number.
    """

    id: int
    client: Client
    payload: Any
    written_extent: Extent | None
    shard: int
    deadline: float
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    answered: bool = False


class EndpointEntry(NamedTuple):
    """One backend of an endpoint list.

    since is the backend's start in seconds of this gateway's clock, 0 for a start long ago.
    """

    backend: int
    zone: int
    shard: int
    ready: bool
    since: float
