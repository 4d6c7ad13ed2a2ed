"""The member records that a gateway believes, one per member, and values derived from them. No I/O."""

import math
from bisect import bisect_left, insort
from collections import deque
from typing import NamedTuple

import xxhash

from gorsethread.membership.gossip_messages import Address, MemberRecord, MemberState, encoded_size

HISTORY_MAX = 256  # changes that are kept for operators


class Change(NamedTuple):
    """A change of the incarnation or the state of a member.

    Attributes:
        at: When it was noted, in seconds of this gateway's clock.
        record: The member's record after the change.
    """

    at: float
    record: MemberRecord


class MemberTable:
    """Owns the believed records.

    The record of a member that ended stays, so the table only grows; the caller bounds the number of members.
    ``history`` keeps the last HISTORY_MAX changes.
    """

    def __init__(self, own: MemberRecord, now: float) -> None:
        self.own = own
        self.records: dict[int, MemberRecord] = {own.member: own}
        self.changed_at: dict[int, float] = {own.member: now}  # when the current state began
        self.history: deque[Change] = deque([Change(now, own)], maxlen=HISTORY_MAX)
        self.encoded_sizes: dict[int, int] = {own.member: encoded_size(own)}  # bytes on the wire
        self._members: list[int] = [own.member]  # sorted
        self._by_address: dict[Address, int] = {}
        self._alive: list[MemberRecord] | None = None  # cached with the digest; None after a change
        self._digest = 0

    def store(self, record: MemberRecord, now: float) -> MemberRecord | None:
        """Stores a record and returns the record that it replaces, if any."""
        member = record.member
        known = self.records.get(member)
        if known is None or (known.incarnation, known.state) != (record.incarnation, record.state):
            self.changed_at[member] = now
            self.history.append(Change(now, record))
        self.records[member] = record
        self.encoded_sizes[member] = encoded_size(record)
        self._alive = None
        if known is not None and known.address != record.address:
            self._by_address.pop(known.address, None)
        self._by_address[record.address] = member
        if known is None:
            insort(self._members, member)
        return known

    @property
    def alive(self) -> list[MemberRecord]:
        """The records of members that neither left nor died, by number; suspects are included."""
        if self._alive is None:
            believed = [self.records[member] for member in self._members]
            self._alive = [record for record in believed if not record.ended]
            listed = ",".join(f"{record.member}:{record.incarnation}" for record in self._alive)
            self._digest = xxhash.xxh32_intdigest(listed.encode())
        return self._alive

    @property
    def alive_peers(self) -> list[MemberRecord]:
        """The records in ``alive`` without this gateway's own."""
        return [record for record in self.alive if record.member != self.own.member]

    @property
    def digest(self) -> int:
        """A digest that is equal at all gateways that hold the same incarnations alive."""
        return self._digest if self.alive else 0

    @property
    def minority(self) -> bool:
        """Whether at most half of the members that did not leave are alive.

        In this state a gateway does not grant what only one gateway may hold.
        """
        remaining = [record for record in self.records.values() if record.state != MemberState.LEFT]
        alive = sum(not record.ended for record in remaining)
        return 2 * alive <= len(remaining) and len(remaining) > 1

    @property
    def log_size(self) -> float:
        """The base-2 logarithm of the number alive, at least 1: the rounds in which gossip reaches all."""
        return max(1.0, math.log2(1 + len(self.alive)))

    @property
    def last_member(self) -> int:
        """The highest known member number."""
        return self._members[-1]

    def member_at(self, address: Address) -> int | None:
        """Returns the member that was last reported at an address."""
        return self._by_address.get(address)

    def members_from(self, first: int) -> list[int]:
        """Returns all members in cyclic order, beginning with the first number not below ``first``."""
        index = bisect_left(self._members, first)
        return self._members[index:] + self._members[:index]
