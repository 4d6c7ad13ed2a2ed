"""Keeps the epoch under which a gateway replays its queue, and fences it while another one replays it."""

FENCE_DURATION = 5.0  # seconds from being fenced until the gateway may try to resume


class EpochFence:
    """Owns the epoch: the log's incarnation at first, and a later one after a fence was resumed from."""

    def __init__(self) -> None:
        self._epoch = 0
        self._later_epoch = 0  # the epoch that fenced this gateway; 0 for none
        self._fenced_until = 0.0

    @property
    def epoch(self) -> int:
        """The epoch under which this gateway replays its queue."""
        return self._epoch

    def start(self, epoch: int) -> None:
        """Sets the first epoch."""
        self._epoch = epoch

    def fence(self, later_epoch: int, now: float) -> None:
        """Stops sending, as the main site knows a later epoch; `now` in seconds."""
        self._later_epoch = later_epoch
        self._fenced_until = now + FENCE_DURATION

    def is_fenced(self, now: float) -> bool:
        """Returns whether the gateway may not send now."""
        return not self.may_resume(now) or self._later_epoch > self._epoch

    def may_resume(self, now: float) -> bool:
        """Returns whether FENCE_DURATION has passed since the fence."""
        return now >= self._fenced_until

    def resume(self) -> None:
        """Moves to an epoch later than the one that fenced this gateway."""
        self._epoch = self._later_epoch + 1
