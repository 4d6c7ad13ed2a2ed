"""Types of the writes that a branch accepts while it is disconnected, and collection of their dependencies.

A write depends on the previous write of the same ordering key, on the queued writes whose blocks it
overwrites, on the writes its client was acknowledged before, and on the queued writes its client had read. It
lists those that are not applied yet, except for those that a later write of the client depends on. The list
holds exact numbers rather than a highest sequence number, as a later write depends on an earlier one only if
it lists it. Clocks are not used for ordering.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_DEPENDENCIES = 64  # of one write; a write that needs more is rejected until some of them are applied

Position = tuple[int, int]  # incarnation and sequence of a write of one gateway


class WriteNumber(NamedTuple):
    """Identifies a write permanently.

    Attributes:
        gateway: The branch gateway that accepted it.
        incarnation: The gateway's incarnation; increases with each start.
        sequence: Sequence number within the incarnation.
    """

    gateway: int
    incarnation: int
    sequence: int

    @property
    def position(self) -> Position:
        """Its position among the writes of its gateway."""
        return self.incarnation, self.sequence


@dataclass(frozen=True)
class Write:
    """A write in the queue, without its data.

    Attributes:
        number: Its identifier.
        volume: Number of the volume.
        block: First block that it overwrites.
        ordering_key: Writes of the same key are applied in the order of their acceptance.
        priority_weight: The weight of its request class.
        size: Bytes of data.
        accepted_at: Wall clock time in seconds; used for its age and for display only.
        own_dependencies: Writes of the same gateway that must be applied first.
        other_dependencies: Writes of the branch's standby gateway that must be applied first.
        base_version: Version of its blocks as the branch last saw them; 0 if it did not see them.
        stops_on_conflict: Whether it is dead-lettered if its blocks have changed at the main site.
        idempotent: Whether it may be applied twice without harm.
        idempotency_key: The client's key; 0 for none.
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
        """All writes that must be applied first."""
        return self.own_dependencies + self.other_dependencies


@dataclass
class ClientContext:
    """The queued writes whose effects one client has seen.

    Owns `seen`; a write leaves it when it is finished, or when a write that depends on it is acknowledged to
    the client.
    """

    seen: set[WriteNumber] = field(default_factory=set)

    def observe(self, number: WriteNumber) -> None:
        """Adds a write that the client read, or that may have been acknowledged to it."""
        self.seen.add(number)

    def acknowledge(self, write: Write) -> None:
        """Adds a write that was acknowledged to the client, in place of the writes it depends on."""
        self.seen.difference_update(write.dependencies)
        self.seen.add(write.number)

    def forget(self, is_finished: Callable[[WriteNumber], bool]) -> None:
        """Removes the writes that are finished."""
        self.seen = {number for number in self.seen if not is_finished(number)}


class Dependencies(NamedTuple):
    """The dependencies of a new write: writes of its own gateway, and writes of other gateways."""

    own: tuple[WriteNumber, ...]
    others: tuple[WriteNumber, ...]


def _no_dependencies(_number: WriteNumber) -> Iterable[WriteNumber]:
    return ()


def collect_dependencies(
    gateway: int,
    known: Iterable[WriteNumber],
    uncertain: Callable[[WriteNumber], Iterable[WriteNumber]] = _no_dependencies,
) -> Dependencies | None:
    """Returns the dependencies that a new write lists.

    Args:
        gateway: The gateway that accepts the write.
        known: Writes that must be applied first.
        uncertain: Returns the dependencies of a write that is still being persisted and may yet be
            withdrawn; empty for any other write. They are listed too, as the new write would lose them if
            that write is withdrawn.

    Returns:
        The dependencies in order; None if there are more than MAX_DEPENDENCIES.
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
