"""Simulates gateways, backends and their queues, to feed latency attribution with causes that are known."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from gorsethread.latency_attribution.causes import Findings, SiteBaseline, find
from gorsethread.latency_attribution.request_attribution import RECHECK_INTERVAL, LatencyAccounts
from gorsethread.latency_attribution.window import Span, Window
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

UNIT_TIME = 0.01
ATTEMPT_TIMEOUT = 1.0
VOLUMES = {n: f"L{n:02}" for n in range(1, 9)}
USUAL_RATE = 12.0
BASELINE = SiteBaseline("queues", VOLUMES, dict.fromkeys(VOLUMES, USUAL_RATE), ["read"], [0.3])


@dataclass
class QueueBackend:
    """A backend that serves two requests at a time.

    slow: factor on the usual service time; stalled: from and until when it serves nothing; silent_from: when
    it stops answering for good.
    """

    number: int
    slow: float = 1.0
    stalled: tuple[float, float] = (0.0, 0.0)
    silent_from: float = float("inf")
    waiting: deque["QueuedRequest"] = field(default_factory=deque)
    free: int = 2


@dataclass(eq=False)
class QueuedRequest:
    gateway: "QueueGateway"
    id: int
    volume: int
    units: int
    backend: QueueBackend
    ended_already: bool = False


class QueueGateway:
    """A gateway. max_in_flight: attempts per backend; clock_offset: seconds that its wall clock is ahead."""

    def __init__(self, number: int, day: "QueueDay", max_in_flight: int, clock_offset: float) -> None:
        self.number, self.day = number, day
        self.max_in_flight, self.clock_offset = max_in_flight, clock_offset
        self.accounts = LatencyAccounts([0.3], 0.0)
        self.held: dict[int, deque[QueuedRequest]] = {}
        self.in_flight: dict[int, int] = {}
        self.start, self.incarnation = 0.0, number

    def admit(self, now: float, request: QueuedRequest) -> None:
        self.accounts.admitted(
            request.id, request.volume, 0, request.backend.number, False, request.units, now - 0.0002, now
        )
        if request.volume in self.day.limited and not self.day.take_tokens(
            request.volume, request.units, now
        ):
            self.accounts.held(request.id, HoldReason.RATE_LIMIT, request.backend.number, now)
            self.day.at(now + 0.5, lambda at: self.offer(at, request))
        else:
            self.offer(now, request)

    def offer(self, now: float, request: QueuedRequest) -> None:
        backend_number = request.backend.number
        if self.in_flight.get(backend_number, 0) < self.max_in_flight:
            self.in_flight[backend_number] = self.in_flight.get(backend_number, 0) + 1
            self.accounts.sent(request.id, 0, backend_number, now)
            self.day.at(now + 0.0005, lambda at: self.day.arrives(at, request))
            self.day.at(
                now + ATTEMPT_TIMEOUT, lambda at: self.ended(at, request, AttemptOutcome.TIMED_OUT, 0.0)
            )
        else:
            self.held.setdefault(backend_number, deque()).append(request)
            self.accounts.held(request.id, HoldReason.SLOTS, backend_number, now)

    def ended(self, now: float, request: QueuedRequest, outcome: AttemptOutcome, service: float) -> None:
        if request.ended_already:
            return
        request.ended_already = True
        backend_number = request.backend.number
        self.in_flight[backend_number] -= 1
        self.accounts.ended(request.id, 0, outcome, service, now)
        self.accounts.answered(
            request.id,
            RequestOutcome.SUCCEEDED if outcome is AttemptOutcome.SUCCEEDED else RequestOutcome.FAILED,
            now,
        )
        if waiting := self.held.get(backend_number):
            self.offer(now, waiting.popleft())

    def recheck(self, now: float) -> None:
        for id in self.accounts.requests_to_recheck():
            volume, backend, _ = self.accounts.requests[id].group_key
            limited = volume in self.day.limited
            self.accounts.held(id, HoldReason.RATE_LIMIT if limited else HoldReason.SLOTS, backend, now)

    def close(self, now: float, last: bool = False) -> None:
        window = self.accounts.close_window(now)
        window.spans.add(
            Span(
                self.number,
                self.incarnation,
                1000 + self.start + self.clock_offset,
                1000 + now + self.clock_offset,
                last,
            )
        )
        self.start = now
        self.day.windows.append(window)


class QueueDay:
    def __init__(
        self,
        seed: int = 1,
        gateways: int = 2,
        backends: int = 3,
        max_in_flight: int = 4,
        clock_offset: float = 0.0,
    ) -> None:
        self.random_source = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.windows: list[Window] = []
        self.gateways = [QueueGateway(n, self, max_in_flight, clock_offset * n) for n in range(gateways)]
        self.backends = [QueueBackend(n) for n in range(backends)]
        # Rate limits, by volume: units per second, and when the next request may be sent.
        self.limited: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(1)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def take_tokens(self, volume: int, units: int, now: float) -> bool:
        rate, free_at = self.limited[volume]
        if now < free_at:
            return False
        self.limited[volume] = (rate, now + units / rate)
        return True

    def arrives(self, now: float, request: QueuedRequest) -> None:
        request.backend.waiting.append(request)
        self.begin(now, request.backend)

    def begin(self, now: float, backend: QueueBackend) -> None:
        if now >= backend.silent_from:
            return
        if backend.stalled[0] <= now < backend.stalled[1]:
            self.at(backend.stalled[1], lambda at: self.begin(at, backend))
            return
        while backend.free and backend.waiting:
            request = backend.waiting.popleft()
            backend.free -= 1
            ends = now + request.units * UNIT_TIME * backend.slow
            self.at(ends, lambda at, request=request, started=now: self.done(at, request, started))

    def done(self, now: float, request: QueuedRequest, started: float) -> None:
        if now >= request.backend.silent_from:
            return
        request.backend.free += 1
        self.at(
            now + 0.0005,
            lambda at: request.gateway.ended(at, request, AttemptOutcome.SUCCEEDED, now - started),
        )
        self.begin(now, request.backend)

    def traffic(
        self,
        volume: int,
        rate_factor: float = 1.0,
        backend: int | None = None,
        gateways: int | None = None,
        seconds: float = 8.0,
    ) -> None:
        """Schedules open-loop arrivals of one volume, at rate_factor times its usual rate."""
        now = 0.0
        while (now := now + self.random_source.expovariate(USUAL_RATE * rate_factor / 2)) < seconds:
            gateway = self.gateways[self.random_source.randrange(gateways or len(self.gateways))]
            at = self.backends[
                self.random_source.randrange(len(self.backends)) if backend is None else backend
            ]
            request = QueuedRequest(gateway, next(self._ids), volume, 1 + self.random_source.randrange(3), at)
            self.at(now, lambda when, request=request: request.gateway.admit(when, request))

    def run(self, seconds: float = 8.0, until: float = 12.0) -> Findings:
        for gateway in self.gateways:
            for n in range(int(until / RECHECK_INTERVAL)):
                self.at(n * RECHECK_INTERVAL, gateway.recheck)
            for second in range(1, int(until)):
                self.at(float(second), gateway.close)
        while self._events and self._events[0][0] < until:
            now, _, action = heapq.heappop(self._events)
            action(now)
        for gateway in self.gateways:
            gateway.close(until, last=True)
        return find(BASELINE, self.windows)
