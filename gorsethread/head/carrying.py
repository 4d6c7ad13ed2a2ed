"""What the driver asks of what is round it, whatever wire that speaks: clients, links, placement, accounts.

A transaction's payload is theirs alone: the client side makes it, a link sends it, the driver hands it on.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from gorsethread.model import Ending, Held, Outcome

UNPLACED = -1  # the shard of what nobody has written yet
Place = tuple[int, int]  # volume and extent of what a first write may part
Taken = tuple[Any, int, int, int, bool, float, float]


class Client(Protocol):
    """Whoever is owed the answer; each transaction sees exactly one of these calls, or none once it left."""

    def honoured(self, shard: int, data: bytes) -> None: ...
    def pushed_back(self, return_after: float) -> None: ...
    def given_up(self) -> None: ...


class Told(NamedTuple):
    """What a shelf's answer brought: data of a read, units served elsewhere, usage, its own service time."""

    data: bytes = b""
    elsewhere: float = 0
    usage: float = 0
    service: float = 0.0


NOTHING = Told()


@dataclass(slots=True, eq=False)
class Forward:
    """One sending of a transaction to a shelf. over: its ending has been told; later answers are dropped."""

    transaction: int
    number: int
    shelf: int
    sent_at: float
    payload: Any
    ended: "Callable[[Forward, Ending, Told], None]"
    cid: int = -1
    over: bool = False
    first_write: bool = False  # of an extent that nobody has placed yet


class Link(Protocol):
    """The way to one shelf. Each forward ends by one call of its ended(), unless it was over before."""

    def send(self, f: Forward) -> None: ...

    def call_off(self, f: Forward) -> None:
        """Nobody waits for it any more. It ends, at once or later, unless it is over already."""
        ...


class Placement(Protocol):
    """Where an extent lives, as one head knows it."""

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

    def refuses(self) -> float:
        """0.0: what is placed nowhere may be placed; else after how many seconds to come again."""
        ...


class Accounts(Protocol):
    """Who hears how each transaction's time went by (gorsethread/accounts/lives.py)."""

    def begun(self, id: int, taken: Taken) -> None: ...
    def unsent(self) -> list[int]: ...
    def held(self, id: int, why: Held, shelf: int, now: float) -> None: ...
    def sent(self, id: int, forward: int, shelf: int, when: float, taken: Taken | None = None) -> None: ...
    def ended(
        self, id: int, forward: int, how: Ending, service: float, when: float, outcome: Outcome | None = None
    ) -> None: ...
    def answered(self, id: int, outcome: Outcome, when: float) -> None: ...
