"""Whether a gateway has its peers' whole table, and when extra gossip is due because views differ. Pure."""

GOSSIP_FACTOR = 4.0  # times the usual rate while views differ
GOSSIP_PERIODS_MAX = 20.0  # periods at that rate; saved up again at one message a period
DIGESTS_COMPARED = 5  # of the peers heard last


class TableExchange:
    """Owns the digest last heard of each peer, one a member, and a budget of extra gossip messages."""

    def __init__(self) -> None:
        self.complete = False  # whether the table came once from its begin to its end
        self.wanted_member = 0  # where the next page should begin, until then
        self._budget = GOSSIP_PERIODS_MAX * GOSSIP_FACTOR
        self._digests: dict[int, int] = {}  # the latest heard last

    def digest_heard(self, member: int, digest: int) -> None:
        """A peer's message carried the digest of its view."""
        self._digests.pop(member, None)
        self._digests[member] = digest

    def digest_of(self, member: int) -> int | None:
        """What a peer's view was when it was heard last."""
        return self._digests.get(member)

    def page_received(self, next_member: int) -> None:
        """A page came that began where it was wanted; the next one begins with this member."""
        if not self.complete:
            self.complete = next_member <= self.wanted_member
            self.wanted_member = next_member

    def takes_extra_round(self, own_digest: int) -> bool:
        """Whether extra gossip is due now; it is taken from the budget.

        To be called GOSSIP_FACTOR times a period.
        """
        self._budget = min(GOSSIP_PERIODS_MAX * GOSSIP_FACTOR, self._budget + 1.0 / GOSSIP_FACTOR)
        latest = list(self._digests.values())[-DIGESTS_COMPARED:]
        different = sum(digest != own_digest for digest in latest)
        if self.complete and 2 * different <= len(latest) or self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
