"""Replies of a membership view to operators: pages of its table and of its history. No I/O."""

from gorsethread.membership.dissemination import RECORD_BYTES_MAX
from gorsethread.membership.gossip_messages import (
    HISTORY_TARGET,
    STATUS_FLAGS,
    GossipMessage,
    MessageKind,
    encoded_size,
)
from gorsethread.membership.membership_view import MembershipView

AGES_PER_SECOND = 10  # the ages of changes are sent in tenths of a second


def table_page(view: MembershipView, first_member: int) -> GossipMessage:
    """Returns the own record, a page of the table from a member on, and the status flags."""
    page = view.dissemination.page(first_member)
    flags = {
        "settled": view.settled,
        "apart": view.apart,
        "minority": view.minority,
        "leaving": view.leaving,
    }
    status = sum(flags[name] << bit for bit, name in enumerate(STATUS_FLAGS))
    return GossipMessage(
        MessageKind.VIEW_REPLY, view.own.member, status, page.next_member, view.digest, page.records
    )


def history_page(view: MembershipView, first_change: int, now: float) -> GossipMessage:
    """Returns a page of the history from a change on, oldest first, with the age of each change.

    A change that is dropped from the front of the history between two pages is not reported.
    """
    records = [view.own]
    ages: list[str] = []
    space = RECORD_BYTES_MAX - view.table.encoded_sizes[view.own.member]
    changes = list(view.history)
    for change in changes[first_change:]:
        age = str(max(0, int(AGES_PER_SECOND * (now - change.at))))
        space -= encoded_size(change.record) + len(age) + 1
        if space < 0:
            break
        records.append(change.record)
        ages.append(age)
    next_change = first_change + len(ages)
    more = bool(ages) and next_change < len(changes)
    return GossipMessage(
        MessageKind.VIEW_REPLY,
        view.own.member,
        0,
        next_change if more else 0,
        view.digest,
        tuple(records),
        HISTORY_TARGET,
        ",".join(ages),
    )
