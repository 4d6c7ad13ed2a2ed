"""Where a process spends its CPU time: a sample each few milliseconds of it, counted by package."""

import signal
import time
from collections import Counter
from types import FrameType

INTERVAL = 0.002  # seconds of CPU time
PLACES = (
    ("/gorsethread/scheduling/", "decisions"),
    ("/gorsethread/nvme/", "codec"),
    ("/gorsethread/transport/", "transport"),
    ("/tornado/", "transport"),
    ("/asyncio/", "transport"),
    ("/selectors.py", "transport"),
    ("/gorsethread/queues/", "queues"),
    ("/gorsethread/head/", "head"),
    ("/gorsethread/", "other"),
)


def cpu_seconds() -> float:
    """Of this process, so far."""
    return time.process_time()


def wall_seconds() -> float:
    """For how long something took, on a clock that never goes back."""
    return time.monotonic()


class Sampler:
    """One a process; it takes the process's SIGPROF."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        signal.signal(signal.SIGPROF, self._sample)
        signal.setitimer(signal.ITIMER_PROF, INTERVAL, INTERVAL)

    def shares(self) -> dict[str, float]:
        """The part of all samples by place."""
        whole = sum(self.counts.values()) or 1
        return {place: round(n / whole, 3) for place, n in self.counts.most_common()}

    def _sample(self, _: int, frame: FrameType | None) -> None:
        while frame is not None:
            name = frame.f_code.co_filename
            for part, place in PLACES:
                if part in name:
                    self.counts[place] += 1
                    return
            frame = frame.f_back
        self.counts["other"] += 1
