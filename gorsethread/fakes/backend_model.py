"""A shelf's machine: cores, a bounded queue in turn of arrival, a cold ramp, falling over. No I/O, no clock.

What it leaves out: seeks saved between neighbours, memory, and a network of its own.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from gorsethread.site_config import site_pb2 as pb


@dataclass(slots=True, eq=False)
class Job:
    """One transaction at a shelf; work in seconds on a warm core."""

    what: Any
    work: float
    put_off: float = 0.0
    begun: float = 0.0
    ends: float = 0.0


@dataclass(slots=True)
class Machine:
    """since: when it started; warm: it has been up for long."""

    model: pb.Machine
    cold: pb.ColdStart
    since: float
    warm: bool
    slow: float = 1.0
    still_until: float = 0.0
    fallen: bool = False
    waiting: deque[Job] = field(default_factory=deque)  # bounded by the model's queue
    running: list[Job] = field(default_factory=list)  # bounded by its cores
    owed: float = 0.0  # work of writes put off
    _arrived: deque[tuple[float, float]] = field(default_factory=deque)  # emptied as the span passes

    def capacity(self, now: float) -> float:
        """The part of a warm machine's speed it has now."""
        age = now - self.since
        if self.warm or age >= self.cold.warm_after:
            return 1.0
        return self.cold.first_part + (1.0 - self.cold.first_part) * age / self.cold.warm_after

    def arrives(self, now: float, units: float) -> None:
        """All that is sent adds pressure, also what is turned away; under too much a cold machine falls."""
        if self.warm or now - self.since >= self.cold.warm_after or self.fallen:
            self._arrived.clear()
            return
        self._arrived.append((now, units))
        while self._arrived[0][0] <= now - self.cold.span:
            self._arrived.popleft()
        speed = self.capacity(now) * self.model.cores / self.model.unit_time
        bears = speed * self.cold.span * self.cold.multiple
        self.fallen = sum(u for _, u in self._arrived) > bears

    def offer(self, now: float, job: Job) -> bool:
        """False: the queue is full."""
        if len(self.waiting) >= self.model.queue:
            return False
        self.waiting.append(job)
        self.begin(now)
        return True

    def begin(self, now: float) -> None:
        while self.waiting and len(self.running) < self.model.cores and not self.is_still(now):
            job = self.waiting.popleft()
            job.begun = now
            job.ends = now + job.work * (1.0 - job.put_off) * self.slow / self.capacity(now)
            self.owed += job.work * job.put_off
            self.running.append(job)

    def is_still(self, now: float) -> bool:
        return now < self.still_until

    def stand_still(self, now: float, seconds: float) -> None:
        """Nothing moves until then; what runs goes on afterwards."""
        self.still_until = max(self.still_until, now + seconds)
        for job in self.running:
            job.ends += seconds

    def pay(self, now: float) -> None:
        """Does the work that writes put off, in one go, before anything else on one core."""
        if self.owed > 0 and len(self.running) < self.model.cores and not self.is_still(now):
            job = Job(None, self.owed, begun=now, ends=now + self.owed * self.slow / self.capacity(now))
            self.owed = 0.0
            self.running.append(job)

    def finished(self, now: float) -> list[Job]:
        """Jobs whose time has come, in the order of their ends."""
        if self.is_still(now):
            return []
        done = sorted((j for j in self.running if j.ends <= now + 1e-6), key=lambda j: j.ends)
        for job in done:
            self.running.remove(job)
        self.begin(now)
        return done

    def next_end(self, now: float) -> float:
        """When finished() may have something; infinity where nothing runs or waits."""
        soonest = min((j.ends for j in self.running), default=float("inf"))
        if self.is_still(now) and (self.running or self.waiting):
            return max(self.still_until, min(soonest, self.still_until))
        return soonest

    def withdraw(self, what: Any) -> bool:
        """Drops a job that has not begun."""
        for job in self.waiting:
            if job.what is what:
                self.waiting.remove(job)
                return True
        return False
