"""Whether a disk may be given another commit: a pure core, asked before each, notified of each.

What does not need the disk never waits for it. What does waits for a commit in progress while the disk seems
to answer; else it is rejected at once, and an occasional retry shows whether the disk is back.
"""

from enum import Enum

SLOW_AFTER = 0.5  # seconds that a commit may take before nothing more is queued behind it
MIN_RETRY_DELAY = 0.25  # seconds from a failure to the next attempt; doubles with each failure
MAX_RETRY_DELAY = 4.0  # seconds
MAX_PENDING = 4096  # records that may wait for the disk


class DiskState(Enum):
    """How the disk is doing."""

    HEALTHY = "well"
    SLOW = "slow"  # the commit in progress takes long
    FAILING = "failing"  # the last commit failed
    FULL = "full"  # the last commit failed for lack of space


class DiskHealth:
    """The state of one disk by its commits; commits and failures only grow, all else is current."""

    def __init__(self) -> None:
        self.commits = 0
        self.failures = 0
        self.longest = 0.0  # seconds, of all commits
        self._commit_started: float | None = None
        self._failed = DiskState.HEALTHY
        self._retry_at = 0.0
        self._retry_delay = MIN_RETRY_DELAY

    def commit_started(self, now: float) -> None:
        """Note that a commit is in progress from now (seconds) on."""
        self._commit_started = now

    def commit_ended(self, now: float, failed: bool = False, full: bool = False) -> None:
        """Note how the commit ended; full: it failed for lack of space."""
        if self._commit_started is not None:
            self.longest = max(self.longest, now - self._commit_started)
        self._commit_started = None
        if not failed:
            self.commits += 1
            self._failed = DiskState.HEALTHY
            self._retry_delay = MIN_RETRY_DELAY
            return
        self.failures += 1
        self._failed = DiskState.FULL if full else DiskState.FAILING
        self._retry_at = now + self._retry_delay
        self._retry_delay = min(MAX_RETRY_DELAY, 2.0 * self._retry_delay)

    def state(self, now: float) -> DiskState:
        """Return the state at this time (seconds)."""
        if self._failed is not DiskState.HEALTHY:
            return self._failed
        slow = self._commit_started is not None and now - self._commit_started > SLOW_AFTER
        return DiskState.SLOW if slow else DiskState.HEALTHY

    def should_retry(self, now: float) -> bool:
        """After a failure: return whether it is time to see if the disk is back."""
        failed = self._failed is not DiskState.HEALTHY
        return failed and self._commit_started is None and now >= self._retry_at

    def retry_after(self, now: float, pending: int) -> float:
        """Return 0.0 where a commit may be requested now, else the seconds after which to ask again.

        Args:
            now: Seconds.
            pending: Records that wait for the disk.
        """
        if self._failed is not DiskState.HEALTHY:
            return max(MIN_RETRY_DELAY, self._retry_at - now)
        if self.state(now) is DiskState.SLOW or pending >= MAX_PENDING:
            return SLOW_AFTER
        return 0.0
