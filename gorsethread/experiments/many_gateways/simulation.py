"""One play of a day: gateways and backends on a virtual clock, and what strikes them."""

import heapq
from collections import defaultdict, deque
from collections.abc import Callable
from functools import partial
from typing import Any

from gorsethread.experiments.many_gateways.backend import ModelBackend
from gorsethread.experiments.many_gateways.gateway import ModelGateway
from gorsethread.experiments.many_gateways.score import Score, score
from gorsethread.experiments.many_gateways.workload import COLD, Ask, Day
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.simulation.slow_start_checker import slow_start_allowance
from gorsethread.transport.base import RandomStream
from gorsethread.transport.program import SeededRandom

RENEWED_WITHIN = 7.0  # seconds, from the first third of the day on
TOLD_AFTER = (0.4, 2.1)  # seconds until a head's list tells of a change
MESSAGE = (0.025, 0.18)  # seconds between heads


class World:
    """One play of a day. told: what an all-seeing variant tells each head every so often, if anything."""

    def __init__(
        self,
        day: Day,
        scheduler: Callable[..., Scheduler] = Scheduler,
        told: "Callable[[World], None] | None" = None,
        every: float = 0.1,
    ) -> None:
        self.day, self.now = day, 0.0
        self._agenda: list[tuple[float, int, Callable[[], Any]]] = []
        self._order = 0
        self.forwards = 0
        self.ends: dict[str, int] = defaultdict(int)
        self.served: list[tuple[Ask, float]] = []
        self.messages = 0
        self.over_part = 0  # sends to a cold shelf beyond what all heads may together
        self._cold: dict[int, deque[tuple[float, int]]] = defaultdict(deque)  # units of the span, by shelf
        self._chance = SeededRandom(f"{day.scene.seed}/messages")
        self.machines = [ModelBackend(self, n, speed) for n, speed in enumerate(day.speeds)]
        self.heads = [ModelGateway(self, n, scheduler) for n in range(day.scene.heads)]
        for id, ask in enumerate(day.asks):
            self.at(ask.at, partial(self.heads[ask.head].take, id, ask))
        self._draw_troubles()
        if told is not None:
            self._tell(told, every)

    def _draw_troubles(self) -> None:
        scene, c = self.day.scene, SeededRandom(f"{self.day.scene.seed}/troubles")
        begins = scene.seconds / 3.0
        shards = sorted(range(scene.shelves), key=lambda n: c.random())[
            : round(scene.renewed * scene.shelves)
        ]
        for shard in shards:
            self.at(begins + c.uniform(0.0, RENEWED_WITHIN), partial(self._renew, shard, c))
        heads = sorted(range(scene.heads), key=lambda n: c.random())[: round(scene.restarted * scene.heads)]
        for n in heads:
            self.at(begins + c.uniform(0.0, 10.0), self.heads[n].killed)

    def _renew(self, shard: int, c: RandomStream) -> None:
        """The old one ends once no head sends there any more."""
        new = len(self.machines)
        self.machines.append(ModelBackend(self, new, self.day.speeds[shard], self.now))
        for head in self.heads:
            self.at(self.now + c.uniform(*TOLD_AFTER), partial(head.renewed, shard, new, shard, self.now))

    def tell(self, origin: int, head: int, words: str) -> None:
        self.messages += 1
        c, lost = self._chance, self.day.scene.lost
        for _ in range(2 if c.random() < lost else 1):
            if c.random() >= lost:
                self.at(self.now + c.uniform(*MESSAGE), partial(self.heads[head].hear, origin, words))

    def forwarded(self, shelf: int, units: int) -> None:
        age, sent = self.now - self.machines[shelf].since, self._cold[shelf]
        if age < COLD.warm_after:
            sent.append((self.now, units))
            while sent[0][0] <= self.now - COLD.window:
                sent.popleft()
            self.over_part += sum(u for _, u in sent) > slow_start_allowance(COLD, age) + 1e-9

    def _tell(self, told: "Callable[[World], None]", every: float) -> None:
        told(self)
        if self.now < self.day.scene.seconds:
            self.at(self.now + every, lambda: self._tell(told, every))

    def at(self, when: float, act: Callable[[], Any]) -> None:
        self._order += 1
        heapq.heappush(self._agenda, (when, self._order, act))

    def honoured(self, ask: Ask) -> None:
        self.served.append((ask, self.now - ask.at))

    def play(self) -> "Score":
        while self._agenda:
            self.now, _, act = heapq.heappop(self._agenda)
            act()
        return score(self)
