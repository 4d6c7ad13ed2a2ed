"""Tracks whether a gateway has the whole table, and when differing views need extra gossip. No I/O."""

GOSSIP_FACTOR = 4.0  # gossip per period while views differ, as a multiple of the normal rate
GOSSIP_PERIODS_MAX = 20.0  # periods at that rate; the budget refills by one message per period
DIGESTS_COMPARED = 5  # of the peers whose messages arrived last


class TableExchange:
    """Owns the latest digest of each peer, one per member, and a budget of extra gossip messages."""

    def __init__(self) -> None:
        self.complete = False  # whether all pages of the table have arrived once
        self.wanted_member = 0  # the member that the next page should begin with, until then
        self._budget = GOSSIP_PERIODS_MAX * GOSSIP_FACTOR
        self._digests: dict[int, int] = {}  # the latest message last

    def digest_received(self, member: int, digest: int) -> None:
        """Notes the digest of a peer's view from its message."""
        self._digests.pop(member, None)
        self._digests[member] = digest

    def digest_of(self, member: int) -> int | None:
        """Returns the last digest of a peer's view, or None if it sent none."""
        return self._digests.get(member)

    def page_received(self, next_member: int) -> None:
        """Notes a page that began at the wanted member; the next one begins with ``next_member``."""
        if not self.complete:
            self.complete = next_member <= self.wanted_member
            self.wanted_member = next_member

    def spend_extra_round(self, own_digest: int) -> bool:
        """Returns whether an extra gossip message is due, and if so takes it from the budget.

        To be called GOSSIP_FACTOR times per period.
        """
        self._budget = min(GOSSIP_PERIODS_MAX * GOSSIP_FACTOR, self._budget + 1.0 / GOSSIP_FACTOR)
        latest = list(self._digests.values())[-DIGESTS_COMPARED:]
        different = sum(digest != own_digest for digest in latest)
        if self.complete and 2 * different <= len(latest) or self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
