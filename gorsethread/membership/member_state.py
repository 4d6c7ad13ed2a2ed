"""Which of two reports on one gateway is believed. Pure.

The order is total, so all gateways keep the same report whatever the order, number and delay of arrivals: a
later incarnation before an earlier one; within an incarnation its end before all else, then the higher
refutation, then suspicion. An incarnation that ended is never alive again.
"""

from gorsethread.membership.gossip_messages import MemberRecord


def precedence(record: MemberRecord) -> tuple[int, bool, int, int]:
    """A key by which the report to be believed sorts last."""
    refutation = 0 if record.ended else record.refutation
    return record.incarnation, record.ended, refutation, record.state


def supersedes(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Whether a record replaces the known one of the same member; any does where none is known."""
    return known is None or precedence(record) > precedence(known)
