"""The order that decides which of two reports about a gateway is believed. No I/O.

The order is total, so all gateways keep the same report whatever the order, number and delay of arrivals. A
later incarnation wins over an earlier one. Within an incarnation its end wins over everything else, then the
higher refutation wins, and then a suspicion. An incarnation that has ended is never alive again.
"""

from gorsethread.membership.gossip_messages import MemberRecord


def precedence(record: MemberRecord) -> tuple[int, bool, int, int]:
    """Returns a sort key; of several reports, the one with the highest key is believed."""
    refutation = 0 if record.ended else record.refutation
    return record.incarnation, record.ended, refutation, record.state


def supersedes(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Returns whether a record replaces the known record of that member, or there is no known one."""
    return known is None or precedence(record) > precedence(known)
