"""Writes that a branch accepted while it was cut off: their numbers, and what each depends on.

A write depends on the one before it of the same key, on those whose blocks it overwrites, on what its client
had been answered before, and on what its client had read that was queued. It names those of them that are not
in effect yet and that no other of them comes after as far as its client shows: exactly, not by the highest
place, as a later place depends on an earlier one only if it names it. Clocks order nothing.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

CAUSES_MOST = 64  # that one write names; one that would need more is taken once some are in effect


class WriteNumber(NamedTuple):
    """Never given again: life is later at each start of that queue. branch: the head that took it."""

    branch: int
    life: int
    place: int


@dataclass(frozen=True)
class Write:
    """size in bytes. own: numbers of this head that come first; others: those of the branch's other head.
    at: by the wall clock, for its age and for people. base: what its blocks held as the branch last saw them,
    0 where it did not. parks: where they changed meanwhile it is for a person."""

    number: WriteNumber
    volume: int
    block: int
    key: str
    value: float
    size: int
    at: float
    own: tuple[WriteNumber, ...] = ()
    others: tuple[WriteNumber, ...] = ()
    base: int = 0
    parks: bool = False
    redoable: bool = False
    label: int = 0

    @property
    def causes(self) -> tuple[WriteNumber, ...]:
        return self.own + self.others


@dataclass
class Context:
    """What one client knows of writes that are queued: emptied as they are in effect, or as one that it is
    answered comes after them."""

    seen: set[WriteNumber] = field(default_factory=set)

    def knows(self, number: WriteNumber) -> None:
        """It read it, or it may have been answered."""
        self.seen.add(number)

    def answered(self, write: Write) -> None:
        self.seen.difference_update(write.causes)
        self.seen.add(write.number)

    def forget(self, over: Callable[[WriteNumber], bool]) -> None:
        self.seen = {n for n in self.seen if not over(n)}


def causes(
    branch: int,
    known: Iterable[WriteNumber],
    unsure: Callable[[WriteNumber], Iterable[WriteNumber]] = lambda number: (),
) -> tuple[tuple[WriteNumber, ...], tuple[WriteNumber, ...]] | None:
    """Of the own head and of others, as a Write names them; None: too many. unsure: of one that may yet be
    taken back, as it is still on its way to the disks, what it comes after: these are named too, since
    without it nothing else would."""
    met = set(known)
    left = list(met)
    while left and len(met) <= CAUSES_MOST:
        for n in unsure(left.pop()):
            if n not in met:
                met.add(n)
                left.append(n)
    every = sorted(met)
    if len(every) > CAUSES_MOST:
        return None
    return tuple(n for n in every if n.branch == branch), tuple(n for n in every if n.branch != branch)
