"""Counts reasons, whose texts peers can choose in part, in a table of bounded size."""

from collections import Counter

REASONS_MAX = 64  # different reasons between two reports; further ones are counted as OTHER_REASONS
OTHER_REASONS = "other reasons"
REPORTED_MAX = 8  # the most frequent reasons in one report
REASON_LENGTH_MAX = 40  # characters of a counted reason


class ReasonCounts(Counter[str]):
    """How often each reason was counted since the last report, which empties the table."""

    def add(self, reason: str) -> None:
        """Counts a reason once."""
        shortened = reason[:REASON_LENGTH_MAX]
        if shortened not in self and len(self) >= REASONS_MAX:
            shortened = OTHER_REASONS
        self[shortened] += 1

    def take_report(self) -> dict[str, int]:
        """Returns the most frequent reasons and starts anew."""
        report = dict(self.most_common(REPORTED_MAX))
        self.clear()
        return report
