"""What the driver asks of what is round it, whatever wire that speaks: clients, links, placement, accounting.

A request's payload belongs to them alone: the client side makes it, a link sends it, the driver passes it on.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from gorsethread.gateway.attempts import Attempt
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

UNPLACED = -1  # the shard of an extent that nobody has written yet


class Extent(NamedTuple):
    """What a first write gives a shard to: a stretch of a volume."""

    volume: int
    number: int


class Arrival(NamedTuple):
    """What the accounting is told of a request that was taken. Times are seconds on the gateway's clock.

    arrived is when its command came, taken when it was whole and given to the scheduler.
    """

    volume: Any
    request_class: int
    units: int
    shard: int
    keyed: bool
    arrived: float
    taken: float


class Client(Protocol):
    """Whoever is owed the answer; each request sees exactly one of these calls, or none once it left."""

    def succeeded(self, shard: int, data: bytes) -> None:
        """The request ran, at a backend of that shard; data: what it read."""

    def rejected(self, return_after: float) -> None:
        """The request may safely come again, best after so many seconds (0: no advice)."""

    def failed(self) -> None:
        """Nothing is promised of the request."""


class Link(Protocol):
    """The way to one backend. Each attempt ends by one call of its ended(), unless it was over before."""

    def send(self, attempt: Attempt) -> None:
        """Sends it as soon as a connection is there."""

    def cancel(self, attempt: Attempt) -> None:
        """Nobody waits for it any more. It ends, at once or later, unless it is over already."""


class Placement(Protocol):
    """Where an extent lives, as one gateway knows it."""

    def shard_of(self, volume: int, extent: int) -> int:
        """The shard that has it, or UNPLACED for an extent that nobody has written."""
        ...

    def placed(self, volume: int, extent: int, shard: int) -> None:
        """A first write of it goes, or went, to this shard."""

    def released(self, volume: int, extent: int) -> None:
        """Its first write is known not to have run."""


class PlacementLog(Protocol):
    """Makes durable where extents are placed, before a first write is sent."""

    def placed(self, place: tuple[int, int], shard: int, done: Callable[[bool], None]) -> None:
        """Done is called once, in a turn of its own: whether the placement is durable."""

    def released(self, place: tuple[int, int]) -> None:
        """No first write of the extent has run."""

    def retry_after(self) -> float:
        """0 where an extent may be placed now; else after how many seconds to come again."""
        ...


class RequestAccounting(Protocol):
    """Is told how each request's time went by (gorsethread/accounts/lives.py)."""

    def begun(self, id: int, taken: Arrival) -> None:
        """A request was taken and not sent in the same batch."""

    def unsent(self) -> list[int]:
        """The requests whose reason to be held is to be looked up again."""
        ...

    def held(self, id: int, why: HoldReason, backend: int, now: float) -> None:
        """Why a request is held, and the backend that it is meant for."""

    def sent(self, id: int, forward: int, backend: int, when: float, taken: Arrival | None = None) -> None:
        """An attempt was sent; taken: where begun() was not called for its request."""

    def ended(
        self,
        id: int,
        forward: int,
        how: AttemptOutcome,
        service: float,
        when: float,
        outcome: RequestOutcome | None = None,
    ) -> None:
        """An attempt ended; outcome: the answer that this gave its request."""

    def answered(self, id: int, outcome: RequestOutcome, when: float) -> None:
        """A request was answered, or its client left."""
