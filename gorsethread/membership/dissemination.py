"""Which member records go into a gossip message: changes first, then the next page of the table. Pure.

Each message is filled to its bound, so the bytes do not depend on what happens in the fleet, and views that
differ converge (SWIM's piggybacking; the pages are anti-entropy as in epidemic protocols).
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

TRANSMISSIONS = 1.5  # times the logarithm of the fleet: how often a change is sent
RECORD_BYTES_MAX = DATAGRAM_BYTES_MAX - HEADER_BYTES_MAX


class Payload(NamedTuple):
    """Records of one message, and the member that the next page begins with; 0 at the table's end."""

    records: tuple[MemberRecord, ...]
    next_member: int


class Dissemination:
    """Owns how often each change was sent; an entry goes when that is often enough.

    At most one entry a member of the table.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self._transmissions: dict[int, int] = {}

    def enqueue(self, member: int) -> None:
        """The member's record is news: it is sent a number of times from now on."""
        self._transmissions[member] = 0

    def payload(self, first_member: int, recipient: int | None) -> Payload:
        """Records for a message: this gateway's own, changes in half of the space, then a page of the table.

        Args:
            first_member: Where the page begins.
            recipient: The member that gets it, where it is known.
        """
        table = self.table
        chosen = {table.own.member: table.own}
        space = RECORD_BYTES_MAX - table.encoded_sizes[table.own.member]
        believed = table.records.get(recipient) if recipient is not None else None
        if believed is not None and believed.state != MemberState.ALIVE:
            # The suspected has to hear of it to refute it.
            chosen[believed.member] = believed
            space -= table.encoded_sizes[believed.member]
        space = self._add_changes(chosen, space)
        return self._page(first_member, chosen, space)

    def page(self, first_member: int) -> Payload:
        """This gateway's own record and a page of the table, without changes first."""
        own = self.table.own
        return self._page(
            first_member, {own.member: own}, RECORD_BYTES_MAX - self.table.encoded_sizes[own.member]
        )

    def _add_changes(self, chosen: dict[int, MemberRecord], space: int) -> int:
        """Adds the changes least sent so far, in half of the space; the bytes that are left."""
        half = space // 2
        enough = math.ceil(TRANSMISSIONS * self.table.log_size)
        for member in sorted(self._transmissions, key=lambda one: (self._transmissions[one], one)):
            if member not in chosen:
                size = self.table.encoded_sizes[member]
                if space - size < half:
                    break
                chosen[member] = self.table.records[member]
                space -= size
            self._transmissions[member] += 1
            if self._transmissions[member] >= enough:
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
