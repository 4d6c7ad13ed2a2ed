"""The records that one gateway believes, one a member, with what is derived from them. Pure."""

import math
from bisect import bisect_left, insort
from collections import deque
from typing import NamedTuple

import xxhash

from gorsethread.membership.gossip_messages import Address, MemberRecord, MemberState, encoded_size

HISTORY_MAX = 256  # changes kept for operators


class Change(NamedTuple):
    """When a member's incarnation or state changed, in seconds of this gateway's clock, and to what."""

    at: float
    record: MemberRecord


class MemberTable:
    """Owns the believed records; a member's record stays when it ends, so the table only grows.

    Its caller bounds the number of members. ``history`` keeps the last HISTORY_MAX changes.
    """

    def __init__(self, own: MemberRecord, now: float) -> None:
        self.own = own
        self.records: dict[int, MemberRecord] = {own.member: own}
        self.changed_at: dict[int, float] = {own.member: now}  # when the present state began
        self.history: deque[Change] = deque([Change(now, own)], maxlen=HISTORY_MAX)
        self.encoded_sizes: dict[int, int] = {own.member: encoded_size(own)}  # bytes on the wire
        self._members: list[int] = [own.member]  # in order
        self._by_address: dict[Address, int] = {}
        self._alive: list[MemberRecord] | None = None  # None after a change, as the digest
        self._digest = 0

    def store(self, record: MemberRecord, now: float) -> MemberRecord | None:
        """Keeps a record in place of the one before, which is returned."""
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
        """Members that neither left nor died, by number; suspects are among them."""
        if self._alive is None:
            believed = [self.records[member] for member in self._members]
            self._alive = [record for record in believed if not record.ended]
            listed = ",".join(f"{record.member}:{record.incarnation}" for record in self._alive)
            self._digest = xxhash.xxh32_intdigest(listed.encode())
        return self._alive

    @property
    def alive_peers(self) -> list[MemberRecord]:
        """The same without this gateway."""
        return [record for record in self.alive if record.member != self.own.member]

    @property
    def digest(self) -> int:
        """Equal at all gateways that hold the same incarnations alive."""
        return self._digest if self.alive else 0

    @property
    def minority(self) -> bool:
        """Whether no more than half of the members that did not leave are alive.

        What only one gateway may hold is not granted by a gateway in this state.
        """
        remaining = [record for record in self.records.values() if record.state != MemberState.LEFT]
        alive = sum(not record.ended for record in remaining)
        return 2 * alive <= len(remaining) and len(remaining) > 1

    @property
    def log_size(self) -> float:
        """Logarithm to base 2 of the number alive, at least 1: rounds that gossip takes to reach all."""
        return max(1.0, math.log2(1 + len(self.alive)))

    @property
    def last_member(self) -> int:
        """The highest number known."""
        return self._members[-1]

    def member_at(self, address: Address) -> int | None:
        """The member last reported at an address."""
        return self._by_address.get(address)

    def members_from(self, first: int) -> list[int]:
        """All members in order, beginning with the first one not below a number, around the end."""
        index = bisect_left(self._members, first)
        return self._members[index:] + self._members[:index]
