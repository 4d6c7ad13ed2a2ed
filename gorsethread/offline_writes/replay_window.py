"""Limits how many queued writes are under way to the main site at once.

Replay yields to the live load of the main site: the window grows while answers arrive well within the latency
objective, and halves when an answer exceeds the objective or a write is rejected.
"""

MAX_WINDOW = 16  # writes
FAST_FRACTION = 0.5  # of the latency objective; an answer within it shows spare capacity
MIN_RETRY_DELAY = 0.1  # seconds until a rejected write is sent again; doubles with each consecutive rejection
MAX_RETRY_DELAY = 3.0  # seconds
MAX_COUNTED_REJECTIONS = 10


class ReplayWindow:
    """Owns the size of the window and the number of consecutive rejections."""

    def __init__(self) -> None:
        self._size = 1.0
        self._rejections = 0

    @property
    def size(self) -> int:
        """The number of writes that may be under way at once."""
        return int(self._size)

    def record_success(self, duration: float, latency_objective: float) -> None:
        """Records that a write was applied `duration` seconds after it was sent."""
        self._rejections = 0
        if duration <= FAST_FRACTION * latency_objective:
            self._size = min(float(MAX_WINDOW), self._size + 1.0 / self._size)
        elif duration > latency_objective:
            self._halve()

    def record_rejection(self, retry_after: float) -> float:
        """Records that a write was rejected.

        Args:
            retry_after: Seconds that the main site asked to wait; 0 for none.

        Returns:
            Seconds until it may be sent again.
        """
        self._halve()
        self._rejections = min(self._rejections + 1, MAX_COUNTED_REJECTIONS)
        backoff = min(MAX_RETRY_DELAY, MIN_RETRY_DELAY * 2.0 ** (self._rejections - 1))
        return max(retry_after, backoff)

    def _halve(self) -> None:
        self._size = max(1.0, 0.5 * self._size)
