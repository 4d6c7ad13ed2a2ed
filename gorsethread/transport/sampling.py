"""A sampling profiler: takes a sample every 2 ms of CPU time and counts the samples by package."""

import signal
import time
from collections import Counter
from types import FrameType

INTERVAL = 0.002  # seconds of CPU time
PLACES = (  # part of a path and the name that its samples are counted under; the first match counts
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
    """Returns the CPU time that this process has used."""
    return time.process_time()


def wall_seconds() -> float:
    """Returns the seconds of a monotonic clock, to measure how long something takes."""
    return time.monotonic()


class Sampler:
    """The profiler of this process; there can be only one, because it handles SIGPROF."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def start(self) -> None:
        """Begins to take samples."""
        signal.signal(signal.SIGPROF, self._sample)
        signal.setitimer(signal.ITIMER_PROF, INTERVAL, INTERVAL)

    def shares(self) -> dict[str, float]:
        """Returns the fraction of all samples in each of PLACES."""
        total = sum(self.counts.values()) or 1
        return {place: round(count / total, 3) for place, count in self.counts.most_common()}

    def _sample(self, _: int, frame: FrameType | None) -> None:
        while frame is not None:
            file_name = frame.f_code.co_filename
            for path, place in PLACES:
                if path in file_name:
                    self.counts[place] += 1
                    return
            frame = frame.f_back
        self.counts["other"] += 1
