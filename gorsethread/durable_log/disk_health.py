"""Decides whether another commit may be sent to a disk. Pure: queried before each commit, notified of each.

Requests that do not need the disk never wait for it. Those that do wait for the commit in progress as long as
the disk seems to answer. Otherwise they are rejected at once, and an occasional retry finds out whether the
disk works again.
"""

from enum import Enum

SLOW_AFTER = 0.5  # seconds of a commit after which no more records are queued behind it
MIN_RETRY_DELAY = 0.25  # seconds from a failure to the next retry; doubles with each failure
MAX_RETRY_DELAY = 4.0  # seconds
MAX_PENDING = 4096  # records that may wait for the disk


class DiskState(Enum):
    """The condition of a disk."""

    HEALTHY = "well"
    SLOW = "slow"  # the commit in progress takes longer than SLOW_AFTER
    FAILING = "failing"  # the last commit failed
    FULL = "full"  # the last commit failed for lack of space


class DiskHealth:
    """The state of one disk, derived from its commits; commits and failures are running totals."""

    def __init__(self) -> None:
        self.commits = 0
        self.failures = 0
        self.longest_commit = 0.0  # seconds, over all commits
        self._commit_started: float | None = None
        self._last_outcome = DiskState.HEALTHY
        self._retry_at = 0.0
        self._retry_delay = MIN_RETRY_DELAY

    def commit_started(self, now: float) -> None:
        """Note that a commit started at this time (seconds)."""
        self._commit_started = now

    def commit_ended(self, now: float, failed: bool = False, full: bool = False) -> None:
        """Note how the commit ended; full means that it failed for lack of space."""
        if self._commit_started is not None:
            self.longest_commit = max(self.longest_commit, now - self._commit_started)
        self._commit_started = None
        if not failed:
            self.commits += 1
            self._last_outcome = DiskState.HEALTHY
            self._retry_delay = MIN_RETRY_DELAY
            return
        self.failures += 1
        self._last_outcome = DiskState.FULL if full else DiskState.FAILING
        self._retry_at = now + self._retry_delay
        self._retry_delay = min(MAX_RETRY_DELAY, 2.0 * self._retry_delay)

    def state(self, now: float) -> DiskState:
        """Return the state at this time (seconds)."""
        if self._last_outcome is not DiskState.HEALTHY:
            return self._last_outcome
        slow = self._commit_started is not None and now - self._commit_started > SLOW_AFTER
        return DiskState.SLOW if slow else DiskState.HEALTHY

    def should_retry(self, now: float) -> bool:
        """Return whether the disk has failed and it is time to retry it."""
        failed = self._last_outcome is not DiskState.HEALTHY
        return failed and self._commit_started is None and now >= self._retry_at

    def retry_after(self, now: float, pending: int) -> float:
        """Return 0.0 where a commit may be requested now, else the seconds until the next request.

        Args:
            now: The current time in seconds.
            pending: Number of records that wait for the disk.
        """
        if self._last_outcome is not DiskState.HEALTHY:
            return max(MIN_RETRY_DELAY, self._retry_at - now)
        if self.state(now) is DiskState.SLOW or pending >= MAX_PENDING:
            return SLOW_AFTER
        return 0.0
