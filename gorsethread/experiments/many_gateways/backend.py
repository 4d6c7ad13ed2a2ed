"""A model backend, and an attempt that is out at it."""

from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from gorsethread.experiments.many_gateways.workload import COLD, Ask
from gorsethread.scheduling.model import (
    AttemptOutcome,
)

if TYPE_CHECKING:
    from gorsethread.experiments.many_gateways.gateway import ModelGateway
    from gorsethread.experiments.many_gateways.simulation import World

WAY = 0.001  # seconds from a head to a shelf or back
FALLS = 4.0  # times what a cold shelf can do in the span: so much sent in it pushes it over


@dataclass(eq=False)
class Sent:
    head: "ModelGateway"
    id: int
    number: int
    ask: Ask
    shelf: int
    at: float
    over: bool = False
    begun: bool = False
    freed: bool = False


class ModelBackend:
    """A shelf: two cores, one line in turn of arrival; what is called off stops. since: its start; it warms
    evenly from there. Sent too much while cold, it falls over and answers nothing more."""

    def __init__(self, world: "World", number: int, speed: float, since: float = -1000.0) -> None:
        self.world, self.number, self.full, self.since = world, number, speed, since
        self.line: list[Sent] = []
        self.running = 0
        self.fallen = False
        self.pushed: deque[tuple[float, float]] = deque()  # when, seconds of work; of the last span

    @property
    def speed(self) -> float:
        warmth = min(1.0, (self.world.now - self.since) / COLD.warm_after)
        return self.full * (COLD.initial_part + (1.0 - COLD.initial_part) * warmth)

    def _push(self, work: float) -> None:
        now = self.world.now
        if now - self.since < COLD.warm_after:
            self.pushed.append((now, work))
            while self.pushed[0][0] <= now - COLD.window:
                self.pushed.popleft()
            if sum(w for _, w in self.pushed) > FALLS * 2.0 * self.speed * COLD.window:
                self.fallen = True

    @property
    def behind(self) -> float:
        """Seconds until what comes now would begin, about."""
        return sum(f.ask.work for f in self.line if not f.over) / (2.0 * self.speed)

    def take(self, f: "Sent") -> None:
        self._push(f.ask.work)
        self.line.append(f)
        self._begin()

    def _begin(self) -> None:
        while self.running < 2 and self.line and not self.fallen:
            f = self.line.pop(0)
            if f.over:
                continue
            self.running += 1
            f.begun = True
            self.world.at(self.world.now + f.ask.work / self.speed, partial(self._done, f))

    def _done(self, f: "Sent") -> None:
        if not f.freed:
            f.freed = True
            self.running -= 1
        self._begin()
        if not f.over:
            self.world.at(self.world.now + WAY, lambda: f.head.ended(f, AttemptOutcome.SUCCEEDED))

    def drop(self, f: "Sent") -> None:
        if f.begun and not f.freed:
            f.freed = True
            self.running -= 1
        self._begin()
