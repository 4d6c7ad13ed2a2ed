"""The interfaces through which the driver uses clients, links, placement and accounting of any wire protocol.

A request's payload is opaque to the driver: the client side creates it and a link sends it.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from gorsethread.gateway.attempts import Attempt
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

UNPLACED = -1  # the shard of an extent that was never written


class Extent(NamedTuple):
    """A section of a volume; its first write decides its shard."""

    volume: int
    number: int


class Arrival(NamedTuple):
    """A request's description for the latency accounts. Times are in seconds of the gateway's clock.

    arrived is when its command arrived, admitted is when it was complete and passed to the scheduler.
    """

    volume: Any
    request_class: int
    units: int
    shard: int
    keyed: bool
    arrived: float
    admitted: float


class Client(Protocol):
    """Receives a request's answer, by exactly one call of these methods, or none once the client has left."""

    def succeeded(self, shard: int, data: bytes) -> None:
        """The request ran, at a backend of that shard; data is what it read."""

    def rejected(self, retry_after: float) -> None:
        """The request may safely be retried, best after so many seconds (0: no advice)."""

    def failed(self) -> None:
        """The request ended with an error; it may have run."""


class Link(Protocol):
    """Sends attempts to one backend; ends each with one call of its on_end, unless it has ended before."""

    def send(self, attempt: Attempt) -> None:
        """Sends the attempt as soon as a connection is established."""

    def cancel(self, attempt: Attempt) -> None:
        """Ends the attempt, at once or later, unless it has ended; nobody waits for its answer any more."""


class Placement(Protocol):
    """The shards of extents, as one gateway knows them."""

    def shard_of(self, volume: int, extent: int) -> int:
        """Returns the extent's shard, or UNPLACED if the extent was never written."""
        ...

    def placed(self, volume: int, extent: int, shard: int) -> None:
        """Records that a first write of the extent is, or was, sent to this shard."""

    def released(self, volume: int, extent: int) -> None:
        """Removes the extent's place: its first write is known not to have run."""


class PlacementLog(Protocol):
    """Makes the place of an extent durable before its first write is sent."""

    def placed(self, place: tuple[int, int], shard: int, done: Callable[[bool], None]) -> None:
        """Stores a place, then calls done once, from the event loop, with whether the place is durable."""

    def released(self, place: tuple[int, int]) -> None:
        """Removes the place of an extent of which no first write has run."""

    def retry_after(self) -> float:
        """Returns 0 if an extent may be placed now, else the seconds after which to retry."""
        ...


class RequestAccounting(Protocol):
    """Receives the events of each request, to account for its latency (latency_attribution/)."""

    def begun(self, id: int, arrival: Arrival) -> None:
        """Records a request that was admitted and not sent in the same batch."""

    def unsent(self) -> list[int]:
        """Returns the requests for which the reason why they are held is due to be read again."""
        ...

    def held(self, id: int, reason: HoldReason, backend: int, now: float) -> None:
        """Records why a request is held, and the backend that it is meant for."""

    def sent(self, id: int, attempt: int, backend: int, now: float, arrival: Arrival | None = None) -> None:
        """Records that an attempt was sent; arrival is given if begun() was not called for its request."""

    def ended(
        self,
        id: int,
        attempt: int,
        attempt_outcome: AttemptOutcome,
        service_seconds: float,
        now: float,
        answer: RequestOutcome | None = None,
    ) -> None:
        """Records that an attempt ended; answer is the request's answer, if the attempt gave it one."""

    def answered(self, id: int, outcome: RequestOutcome, now: float) -> None:
        """Records that a request was answered, or that its client left."""
