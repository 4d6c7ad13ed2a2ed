"""Heads, shelves and their queues on a made-up clock, to feed the accounts with days whose truth is known."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from gorsethread.latency_attribution.causes import Findings, Known, find
from gorsethread.latency_attribution.request_attribution import LOOK_EVERY, Accounts
from gorsethread.latency_attribution.window import Span, Window
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

UNIT_TIME = 0.01
CUT_OFF = 1.0
VOLUMES = {n: f"L{n:02}" for n in range(1, 9)}
USUAL = 12.0
KNOWN = Known("queues", VOLUMES, dict.fromkeys(VOLUMES, USUAL), ["read"], [0.3])


@dataclass
class QueueShelf:
    """still: from and to when nothing moves; slow: times its usual work."""

    number: int
    slow: float = 1.0
    still: tuple[float, float] = (0.0, 0.0)
    hung_from: float = float("inf")
    waiting: deque["Sent"] = field(default_factory=deque)
    free: int = 2


@dataclass(eq=False)
class Sent:
    head: "QueueHead"
    id: int
    volume: int
    units: int
    shelf: QueueShelf
    over: bool = False


class QueueHead:
    """bound: slots at each shelf; skew: how far its wall clock is off."""

    def __init__(self, number: int, day: "QueueDay", bound: int, skew: float) -> None:
        self.number, self.day, self.bound, self.skew = number, day, bound, skew
        self.accounts = Accounts([0.3], 0.0)
        self.held: dict[int, deque[Sent]] = {}
        self.out: dict[int, int] = {}
        self.start, self.life = 0.0, number

    def take(self, now: float, s: Sent) -> None:
        self.accounts.taken(s.id, s.volume, 0, s.shelf.number, False, s.units, now - 0.0002, now)
        if s.volume in self.day.limited and not self.day.spend(s.volume, s.units, now):
            self.accounts.held(s.id, HoldReason.RATE_LIMIT, s.shelf.number, now)
            self.day.at(now + 0.5, lambda at: self.offer(at, s))
        else:
            self.offer(now, s)

    def offer(self, now: float, s: Sent) -> None:
        n = s.shelf.number
        if self.out.get(n, 0) < self.bound:
            self.out[n] = self.out.get(n, 0) + 1
            self.accounts.sent(s.id, 0, n, now)
            self.day.at(now + 0.0005, lambda at: self.day.arrives(at, s))
            self.day.at(now + CUT_OFF, lambda at: self.ended(at, s, AttemptOutcome.TIMED_OUT, 0.0))
        else:
            self.held.setdefault(n, deque()).append(s)
            self.accounts.held(s.id, HoldReason.SLOTS, n, now)

    def ended(self, now: float, s: Sent, how: AttemptOutcome, service: float) -> None:
        if s.over:
            return
        s.over = True
        n = s.shelf.number
        self.out[n] -= 1
        self.accounts.ended(s.id, 0, how, service, now)
        self.accounts.answered(
            s.id, RequestOutcome.SUCCEEDED if how is AttemptOutcome.SUCCEEDED else RequestOutcome.FAILED, now
        )
        if waiting := self.held.get(n):
            self.offer(now, waiting.popleft())

    def look(self, now: float) -> None:
        for id in self.accounts.looks():
            volume, shelf, _ = self.accounts.lives[id].where
            limited = volume in self.day.limited
            self.accounts.held(id, HoldReason.RATE_LIMIT if limited else HoldReason.SLOTS, shelf, now)

    def close(self, now: float, last: bool = False) -> None:
        window = self.accounts.close_window(now)
        window.spans.add(
            Span(self.number, self.life, 1000 + self.start + self.skew, 1000 + now + self.skew, last)
        )
        self.start = now
        self.day.windows.append(window)


class QueueDay:
    def __init__(
        self, seed: int = 1, heads: int = 2, shelves: int = 3, bound: int = 4, skew: float = 0.0
    ) -> None:
        self.chance = random.Random(seed)
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self.windows: list[Window] = []
        self.heads = [QueueHead(n, self, bound, skew * n) for n in range(heads)]
        self.shelves = [QueueShelf(n) for n in range(shelves)]
        self.limited: dict[int, tuple[float, float]] = {}  # by volume: units a second, and when last spent
        self._ids = itertools.count(1)

    def at(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (when, next(self._order), act))

    def spend(self, volume: int, units: int, now: float) -> bool:
        rate, free_at = self.limited[volume]
        if now < free_at:
            return False
        self.limited[volume] = (rate, now + units / rate)
        return True

    def arrives(self, now: float, s: Sent) -> None:
        s.shelf.waiting.append(s)
        self.begin(now, s.shelf)

    def begin(self, now: float, shelf: QueueShelf) -> None:
        if now >= shelf.hung_from:
            return
        if shelf.still[0] <= now < shelf.still[1]:
            self.at(shelf.still[1], lambda at: self.begin(at, shelf))
            return
        while shelf.free and shelf.waiting:
            s = shelf.waiting.popleft()
            shelf.free -= 1
            ends = now + s.units * UNIT_TIME * shelf.slow
            self.at(ends, lambda at, s=s, begun=now: self.done(at, s, begun))

    def done(self, now: float, s: Sent, begun: float) -> None:
        if now >= s.shelf.hung_from:
            return
        s.shelf.free += 1
        self.at(now + 0.0005, lambda at: s.head.ended(at, s, AttemptOutcome.SUCCEEDED, now - begun))
        self.begin(now, s.shelf)

    def traffic(
        self,
        volume: int,
        times: float = 1.0,
        shelf: int | None = None,
        heads: int | None = None,
        seconds: float = 8.0,
    ) -> None:
        """Open-loop arrivals of one volume, at its usual rate times so much."""
        now = 0.0
        while (now := now + self.chance.expovariate(USUAL * times / 2)) < seconds:
            head = self.heads[self.chance.randrange(heads or len(self.heads))]
            at = self.shelves[self.chance.randrange(len(self.shelves)) if shelf is None else shelf]
            s = Sent(head, next(self._ids), volume, 1 + self.chance.randrange(3), at)
            self.at(now, lambda when, s=s: s.head.take(when, s))

    def run(self, seconds: float = 8.0, until: float = 12.0) -> Findings:
        for head in self.heads:
            for n in range(int(until / LOOK_EVERY)):
                self.at(n * LOOK_EVERY, head.look)
            for second in range(1, int(until)):
                self.at(float(second), head.close)
        while self._due and self._due[0][0] < until:
            now, _, act = heapq.heappop(self._due)
            act(now)
        for head in self.heads:
            head.close(until, last=True)
        return find(KNOWN, self.windows)
