"""Writes that a branch accepted while it was disconnected: their numbers, and what each depends on.

A write depends on the one before it of the same ordering key, on those whose blocks it overwrites, on what
its client had been acknowledged before, and on what its client had read that was queued. It names those of
them that are not applied yet and that no other of them follows as far as its client shows. The names are
exact, not a highest sequence number, as a later sequence depends on an earlier one only if it names it.
Clocks order nothing.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_DEPENDENCIES = 64  # that one write names; one that needs more is admitted once some are applied

Position = tuple[int, int]  # incarnation and sequence of a write of one gateway


class WriteNumber(NamedTuple):
    """Names one write for ever.

    Attributes:
        gateway: The branch's gateway that accepted it.
        incarnation: Later at each start of that gateway's queue.
        sequence: Within the incarnation.
    """

    gateway: int
    incarnation: int
    sequence: int

    @property
    def position(self) -> Position:
        """Where it stands among the writes of its gateway."""
        return self.incarnation, self.sequence


@dataclass(frozen=True)
class Write:
    """A write as the queue sees it, without its data.

    Attributes:
        number: Its name.
        volume: Number of the volume.
        block: First block that it overwrites.
        ordering_key: Writes of one key are applied in the order of their acceptance.
        priority_weight: Of its request class.
        size: Bytes of data.
        accepted_at: Seconds of the wall clock; for its age and for people.
        own_dependencies: Writes of the same gateway that come first.
        other_dependencies: Writes of the branch's standby gateway that come first.
        base_version: Of its blocks as the branch last saw them; 0 where it did not.
        stops_on_conflict: Dead-lettered where its blocks changed at the main site meanwhile.
        idempotent: May be applied twice without harm.
        idempotency_key: The client's; 0 for none.
    """

    number: WriteNumber
    volume: int
    block: int
    ordering_key: str
    priority_weight: float
    size: int
    accepted_at: float
    own_dependencies: tuple[WriteNumber, ...] = ()
    other_dependencies: tuple[WriteNumber, ...] = ()
    base_version: int = 0
    stops_on_conflict: bool = False
    idempotent: bool = False
    idempotency_key: int = 0

    @property
    def dependencies(self) -> tuple[WriteNumber, ...]:
        """All writes that come first."""
        return self.own_dependencies + self.other_dependencies


@dataclass
class ClientContext:
    """What one client knows of queued writes.

    Owns `seen`; emptied as writes finish, and as a write that the client is acknowledged depends on them.
    """

    seen: set[WriteNumber] = field(default_factory=set)

    def observe(self, number: WriteNumber) -> None:
        """The client read that write, or may have been acknowledged it."""
        self.seen.add(number)

    def acknowledge(self, write: Write) -> None:
        """The client was answered that the write is accepted."""
        self.seen.difference_update(write.dependencies)
        self.seen.add(write.number)

    def forget(self, is_finished: Callable[[WriteNumber], bool]) -> None:
        """Drops the writes that are finished."""
        self.seen = {number for number in self.seen if not is_finished(number)}


class Dependencies(NamedTuple):
    """What a new write depends on: writes of its own gateway, and those of others."""

    own: tuple[WriteNumber, ...]
    others: tuple[WriteNumber, ...]


def _nothing(_number: WriteNumber) -> Iterable[WriteNumber]:
    return ()


def collect_dependencies(
    gateway: int,
    known: Iterable[WriteNumber],
    uncertain: Callable[[WriteNumber], Iterable[WriteNumber]] = _nothing,
) -> Dependencies | None:
    """What a new write names as its dependencies.

    Args:
        gateway: That accepts the write.
        known: Writes that must come first.
        uncertain: For a write that may yet be withdrawn, as it is still being persisted, what that one
            depends on. These are named too, as nothing else would name them without it.

    Returns:
        None where they are more than MAX_DEPENDENCIES.
    """
    found = set(known)
    unexplored = list(found)
    while unexplored and len(found) <= MAX_DEPENDENCIES:
        for number in uncertain(unexplored.pop()):
            if number not in found:
                found.add(number)
                unexplored.append(number)
    if len(found) > MAX_DEPENDENCIES:
        return None
    ordered = sorted(found)
    return Dependencies(
        tuple(number for number in ordered if number.gateway == gateway),
        tuple(number for number in ordered if number.gateway != gateway),
    )
