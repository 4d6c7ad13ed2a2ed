"""Decides whether connections to backends may be reused, by how many reused ones broke recently."""

HALF_LIFE_SECONDS = 5.0
# Connections are reused while the breaks are at most this number plus this fraction of all uses. Both counts
# decay.
BREAKS_ALLOWED = 1.0
BREAKS_ALLOWED_FRACTION = 0.04


class ReuseTrust:
    """Decides whether connections that have answered once are kept for reuse.

    A request written to a connection that the backend has closed without notice may have run, so a
    non-idempotent one fails with the connection. The counts of uses and breaks halve every HALF_LIFE_SECONDS.
    """

    def __init__(self) -> None:
        self._uses = 0.0
        self._breaks = 0.0
        self._decayed_at = 0.0

    def record_use(self, broke: bool, now: float) -> None:
        """Counts an attempt that ended on a reused connection; broke says whether the connection broke."""
        self._decay(now)
        self._uses += 1.0
        self._breaks += broke

    def allows_reuse(self, now: float) -> bool:
        """Returns whether connections may be reused now."""
        self._decay(now)
        return self._breaks <= BREAKS_ALLOWED + BREAKS_ALLOWED_FRACTION * self._uses

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._uses *= factor
        self._breaks *= factor
        self._decayed_at = now
