"""A model of a backend's machine: cores, a bounded first-in-first-out queue, slow start and overload.

It does no I/O and reads no clock. It does not model seeks saved between neighbouring blocks, memory, or a
network of its own.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from gorsethread.site_config import site_pb2 as pb


@dataclass(slots=True, eq=False)
class Job:
    """One command at a backend.

    item: the caller's object; None for deferred work.
    work: seconds on one core at full speed.
    deferred_fraction: part of the work that is postponed to start_deferred_work().
    """

    item: Any
    work: float
    deferred_fraction: float = 0.0
    started_at: float = 0.0
    ends_at: float = 0.0


@dataclass(slots=True)
class BackendModel:
    """Simulates a backend's speed, queue and overload.

    started_at: when the backend started, on the caller's clock, in seconds.
    warm: it started long ago, so slow start does not apply.
    """

    model: pb.Machine
    cold: pb.ColdStart
    started_at: float
    warm: bool
    slowdown: float = 1.0
    stalled_until: float = 0.0
    overloaded: bool = False
    waiting: deque[Job] = field(default_factory=deque)  # at most model.queue jobs
    running: list[Job] = field(default_factory=list)  # at most model.cores jobs
    deferred_work: float = 0.0  # seconds of work that writes have deferred
    # (time, units) of the last cold.span seconds.
    _arrived: deque[tuple[float, float]] = field(default_factory=deque)

    def capacity(self, now: float) -> float:
        """Returns the fraction of full speed that the backend has now."""
        age = now - self.started_at
        if self.warm or age >= self.cold.warm_after:
            return 1.0
        return self.cold.first_part + (1.0 - self.cold.first_part) * age / self.cold.warm_after

    def count_arrival(self, now: float, units: float) -> None:
        """Counts units that were sent to the backend, also those that it rejects.

        Sets `overloaded` if more units arrive during slow start than a cold backend withstands.
        """
        if self.warm or now - self.started_at >= self.cold.warm_after or self.overloaded:
            self._arrived.clear()
            return
        self._arrived.append((now, units))
        while self._arrived[0][0] <= now - self.cold.span:
            self._arrived.popleft()
        speed = self.capacity(now) * self.model.cores / self.model.unit_time
        max_units = speed * self.cold.span * self.cold.multiple
        self.overloaded = sum(n for _, n in self._arrived) > max_units

    def offer(self, now: float, job: Job) -> bool:
        """Queues a job; returns False if the queue is full."""
        if len(self.waiting) >= self.model.queue:
            return False
        self.waiting.append(job)
        self.start_queued(now)
        return True

    def start_queued(self, now: float) -> None:
        while self.waiting and len(self.running) < self.model.cores and not self.is_stalled(now):
            job = self.waiting.popleft()
            job.started_at = now
            job.ends_at = now + job.work * (1.0 - job.deferred_fraction) * self.slowdown / self.capacity(now)
            self.deferred_work += job.work * job.deferred_fraction
            self.running.append(job)

    def is_stalled(self, now: float) -> bool:
        return now < self.stalled_until

    def stall(self, now: float, seconds: float) -> None:
        """Stalls the backend for the given seconds; running jobs continue afterwards."""
        self.stalled_until = max(self.stalled_until, now + seconds)
        for job in self.running:
            job.ends_at += seconds

    def start_deferred_work(self, now: float) -> None:
        """Starts all work deferred by writes as one job on a free core, ahead of the queue."""
        if self.deferred_work > 0 and len(self.running) < self.model.cores and not self.is_stalled(now):
            job = Job(
                None,
                self.deferred_work,
                started_at=now,
                ends_at=now + self.deferred_work * self.slowdown / self.capacity(now),
            )
            self.deferred_work = 0.0
            self.running.append(job)

    def finished(self, now: float) -> list[Job]:
        """Removes and returns the jobs that have ended, in the order of their ends."""
        if self.is_stalled(now):
            return []
        ended = sorted((j for j in self.running if j.ends_at <= now + 1e-6), key=lambda j: j.ends_at)
        for job in ended:
            self.running.remove(job)
        self.start_queued(now)
        return ended

    def next_end(self, now: float) -> float:
        """Returns when finished() may next return a job; infinity if no job runs or waits."""
        soonest = min((j.ends_at for j in self.running), default=float("inf"))
        if self.is_stalled(now) and (self.running or self.waiting):
            return max(self.stalled_until, min(soonest, self.stalled_until))
        return soonest

    def withdraw(self, item: Any) -> bool:
        """Drops the queued job of this item; returns False if it has started or is not known."""
        for job in self.waiting:
            if job.item is item:
                self.waiting.remove(job)
                return True
        return False
