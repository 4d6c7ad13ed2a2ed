"""Under which epoch a gateway replays its queue, and when it holds off as another one replays it."""

FENCE_DURATION = 5.0  # seconds from being fenced to the next look at whether the other still replays


class EpochFence:
    """Owns the epoch: the incarnation at first, or later after it was fenced by a later one."""

    def __init__(self) -> None:
        self._epoch = 0
        self._later_epoch = 0  # by which it was fenced
        self._fenced_until = 0.0

    @property
    def epoch(self) -> int:
        """Under which it replays."""
        return self._epoch

    def start(self, epoch: int) -> None:
        """Begins to replay."""
        self._epoch = epoch

    def fence(self, later_epoch: int, now: float) -> None:
        """The main site knows a later epoch: nothing more is sent from here."""
        self._later_epoch = later_epoch
        self._fenced_until = now + FENCE_DURATION

    def is_fenced(self, now: float) -> bool:
        """Nothing is sent now."""
        return not self.may_resume(now) or self._later_epoch > self._epoch

    def may_resume(self, now: float) -> bool:
        """The time to hold off is over."""
        return now >= self._fenced_until

    def resume(self) -> None:
        """Goes on under an epoch later than the one that fenced it."""
        self._epoch = self._later_epoch + 1
