"""Whether a disk may be given another promise: a pure core, asked before each, told of each commit.

What does not need the disk never waits for it. What does waits for a commit that is under way, as long as the
disk seems to answer; else it is pushed back at once, and one try now and then shows whether it is back.
"""

from enum import Enum

PATIENCE = 0.5  # seconds that a commit may take before nothing more is queued behind it
AGAIN_LEAST, AGAIN_MOST = 0.25, 4.0  # seconds from a failure to the next try, doubling
PENDING_MOST = 4096  # records that wait for the disk


class State(Enum):
    WELL = "well"
    SLOW = "slow"  # what is on its way takes long
    FAILING = "failing"  # the last commit failed
    FULL = "full"  # the last commit failed for want of room


class Disk:
    """commits and failures only grow; all else is of now."""

    def __init__(self) -> None:
        self.commits = self.failures = 0
        self.longest = 0.0  # seconds, of all commits
        self._began: float | None = None  # of the commit under way
        self._failed = State.WELL
        self._again_at = 0.0
        self._again = AGAIN_LEAST

    def begins(self, now: float) -> None:
        self._began = now

    def ends(self, now: float, failed: bool = False, full: bool = False) -> None:
        if self._began is not None:
            self.longest = max(self.longest, now - self._began)
        self._began = None
        if not failed:
            self.commits += 1
            self._failed, self._again = State.WELL, AGAIN_LEAST
            return
        self.failures += 1
        self._failed = State.FULL if full else State.FAILING
        self._again_at = now + self._again
        self._again = min(AGAIN_MOST, 2.0 * self._again)

    def state(self, now: float) -> State:
        if self._failed is not State.WELL:
            return self._failed
        slow = self._began is not None and now - self._began > PATIENCE
        return State.SLOW if slow else State.WELL

    def tries(self, now: float) -> bool:
        """After a failure: whether it is time to see if the disk is back."""
        return self._failed is not State.WELL and self._began is None and now >= self._again_at

    def refuses(self, now: float, pending: int) -> float:
        """0.0: a promise may be given to it now; else after how many seconds asking again is of use."""
        if self._failed is not State.WELL:
            return max(AGAIN_LEAST, self._again_at - now)
        if self.state(now) is State.SLOW or pending >= PENDING_MOST:
            return PATIENCE
        return 0.0
