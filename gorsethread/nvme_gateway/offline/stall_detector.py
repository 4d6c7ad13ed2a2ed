"""Notices that a replay makes no progress although the link is connected and writes wait."""

STALLED_AFTER = 10.0  # seconds without an applied write


class StallDetector:
    """Owns the time of the last progress; times are in seconds of the transport's clock.

    Attributes:
        stalled: Whether the replay makes no progress.
    """

    def __init__(self) -> None:
        self.stalled = False
        self._progress_at: float | None = None

    def made_progress(self) -> None:
        """Records that a write was applied, or that there is nothing to replay."""
        self.stalled = False
        self._progress_at = None

    def check(self, now: float) -> bool:
        """Records that writes wait; returns True once for each stall, as it is found."""
        if self._progress_at is None:
            self._progress_at = now
        if self.stalled or now - self._progress_at < STALLED_AFTER:
            return False
        self.stalled = True
        return True
