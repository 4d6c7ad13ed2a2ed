"""Whether reused connections to backends can be trusted: how many of them broke of late."""

HALF_LIFE_SECONDS = 5.0
# More breaks than this number and this part of all uses, both faded, and no connection is reused.
BREAKS_ALLOWED = 1.0
BREAKS_ALLOWED_FRACTION = 0.04


class ReuseTrust:
    """Whether connections that have answered once are worth keeping.

    A request written to a connection that its other end has closed without notice may have run, so a
    non-idempotent one fails with it. Owns two counts that fade by half every HALF_LIFE_SECONDS.
    """

    def __init__(self) -> None:
        self._uses = 0.0
        self._breaks = 0.0
        self._faded_at = 0.0

    def record_use(self, broke: bool, now: float) -> None:
        """Counts an attempt that ended on a reused connection."""
        self._fade(now)
        self._uses += 1.0
        self._breaks += broke

    def allows_reuse(self, now: float) -> bool:
        """Whether connections may be reused now."""
        self._fade(now)
        return self._breaks <= BREAKS_ALLOWED + BREAKS_ALLOWED_FRACTION * self._uses

    def _fade(self, now: float) -> None:
        part = 0.5 ** ((now - self._faded_at) / HALF_LIFE_SECONDS)
        self._uses *= part
        self._breaks *= part
        self._faded_at = now
