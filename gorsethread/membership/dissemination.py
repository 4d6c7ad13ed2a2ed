"""Chooses the member records of a gossip message: changes first, then the next page of the table. No I/O.

Each message is filled to its size limit, so the traffic does not depend on what happens in the fleet, and
views that differ converge. Changes are piggybacked as in SWIM; the pages are anti-entropy as in epidemic
protocols.
"""

import math
from typing import NamedTuple

from gorsethread.membership.gossip_messages import (
    DATAGRAM_BYTES_MAX,
    HEADER_BYTES_MAX,
    MemberRecord,
    MemberState,
)
from gorsethread.membership.member_table import MemberTable

TRANSMISSIONS = 1.5  # a change is sent this many times the logarithm of the fleet's size
RECORD_BYTES_MAX = DATAGRAM_BYTES_MAX - HEADER_BYTES_MAX


class Payload(NamedTuple):
    """Records of one message, and the member that the next page begins with; 0 at the table's end."""

    records: tuple[MemberRecord, ...]
    next_member: int


class Dissemination:
    """Owns the number of times that each change was sent.

    There is at most one entry per member; it is removed when the change was sent often enough.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self._transmissions: dict[int, int] = {}

    def enqueue(self, member: int) -> None:
        """Schedules the changed record of a member to be sent a number of times."""
        self._transmissions[member] = 0

    def payload(self, first_member: int, recipient: int | None) -> Payload:
        """Returns records for a message: the own one, changes in half of the space, then a page of the table.

        Args:
            first_member: The member that the page begins with.
            recipient: The member that gets the message, if it is known.
        """
        table = self.table
        chosen = {table.own.member: table.own}
        space = RECORD_BYTES_MAX - table.encoded_sizes[table.own.member]
        believed = table.records.get(recipient) if recipient is not None else None
        if believed is not None and believed.state != MemberState.ALIVE:
            # A suspected member can refute the suspicion only if it learns of it.
            chosen[believed.member] = believed
            space -= table.encoded_sizes[believed.member]
        space = self._add_changes(chosen, space)
        return self._page(first_member, chosen, space)

    def page(self, first_member: int) -> Payload:
        """Returns the own record and a page of the table, without changes."""
        own = self.table.own
        return self._page(
            first_member, {own.member: own}, RECORD_BYTES_MAX - self.table.encoded_sizes[own.member]
        )

    def _add_changes(self, chosen: dict[int, MemberRecord], space: int) -> int:
        """Adds the changes that were sent least often, in half of the space; returns the remaining bytes."""
        half = space // 2
        limit = math.ceil(TRANSMISSIONS * self.table.log_size)
        for member in sorted(self._transmissions, key=lambda key: (self._transmissions[key], key)):
            if member not in chosen:
                size = self.table.encoded_sizes[member]
                if space - size < half:
                    break
                chosen[member] = self.table.records[member]
                space -= size
            self._transmissions[member] += 1
            if self._transmissions[member] >= limit:
                del self._transmissions[member]
        return space

    def _page(self, first_member: int, chosen: dict[int, MemberRecord], space: int) -> Payload:
        next_member = first_member
        for member in self.table.members_from(first_member):
            if member not in chosen:
                size = self.table.encoded_sizes[member]
                if space < size:
                    break
                chosen[member] = self.table.records[member]
                space -= size
            next_member = member + 1
        else:
            next_member = 0
        if next_member > self.table.last_member:
            next_member = 0
        return Payload(tuple(chosen.values()), next_member)
