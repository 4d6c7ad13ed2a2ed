"""What the driver asks of what is round it, whatever wire that speaks: clients, links, placement, accounts.

A request's payload is theirs alone: the client side makes it, a link sends it, the driver hands it on.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

UNPLACED = -1  # the shard of what nobody has written yet
Place = tuple[int, int]  # volume and extent of what a first write may part
Taken = tuple[Any, int, int, int, bool, float, float]


class Client(Protocol):
    """Whoever is owed the answer; each request sees exactly one of these calls, or none once it left."""

    def succeeded(self, shard: int, data: bytes) -> None: ...
    def rejected(self, return_after: float) -> None: ...
    def failed(self) -> None: ...


class Told(NamedTuple):
    """What a backend's answer brought: data of a read, units served elsewhere, usage, its own service
    time."""

    data: bytes = b""
    elsewhere: float = 0
    usage: float = 0
    service: float = 0.0


NOTHING = Told()


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a backend. over: its ending has been told; later answers are dropped."""

    request: int
    number: int
    backend: int
    sent_at: float
    payload: Any
    ended: "Callable[[Attempt, AttemptOutcome, Told], None]"
    cid: int = -1
    over: bool = False
    first_write: bool = False  # of an extent that nobody has placed yet


class Link(Protocol):
    """The way to one backend. Each attempt ends by one call of its ended(), unless it was over before."""

    def send(self, f: Attempt) -> None: ...

    def cancel(self, f: Attempt) -> None:
        """Nobody waits for it any more. It ends, at once or later, unless it is over already."""
        ...


class Placement(Protocol):
    """Where an extent lives, as one gateway knows it."""

    def shard_of(self, volume: int, extent: int) -> int:
        """The shard that holds it, or UNPLACED for an extent nobody has written."""
        ...

    def placed(self, volume: int, extent: int, shard: int) -> None:
        """A first write of it goes, or went, to this shard."""
        ...

    def released(self, volume: int, extent: int) -> None:
        """Its first write is known not to have run."""
        ...


class Keeper(Protocol):
    """Makes what others will rely on last, before it is done."""

    def placed(self, place: Place, shard: int, done: Callable[[bool], None]) -> None:
        """done: told once, in a turn of its own, whether it lasts that a first write may go to this shard."""
        ...

    def freed(self, place: Place) -> None:
        """No first write of it has run."""
        ...

    def retry_after(self) -> float:
        """0.0: what is placed nowhere may be placed; else after how many seconds to come again."""
        ...


class Accounts(Protocol):
    """Who hears how each request's time went by (gorsethread/accounts/lives.py)."""

    def begun(self, id: int, taken: Taken) -> None: ...
    def unsent(self) -> list[int]: ...
    def held(self, id: int, why: HoldReason, backend: int, now: float) -> None: ...
    def sent(self, id: int, forward: int, backend: int, when: float, taken: Taken | None = None) -> None: ...
    def ended(
        self,
        id: int,
        forward: int,
        how: AttemptOutcome,
        service: float,
        when: float,
        outcome: RequestOutcome | None = None,
    ) -> None: ...
    def answered(self, id: int, outcome: RequestOutcome, when: float) -> None: ...
