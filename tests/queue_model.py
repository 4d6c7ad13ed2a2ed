"""Simulates gateways, backends and their queues, to test the latency attribution with known causes."""

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
TIMEOUT = 1.0
VOLUMES = {n: f"L{n:02}" for n in range(1, 9)}
USUAL_UNITS = 12.0
BASELINE = SiteBaseline("queues", VOLUMES, dict.fromkeys(VOLUMES, USUAL_UNITS), ["read"], [0.3])


@dataclass
class QueueBackend:
    """A backend with a queue and two cores.

    Attributes:
        slowdown: Factor on the time that its work takes.
        paused: Start and end of a period in which it begins no work.
        hung_from: Time from which it begins and answers nothing.
        waiting: Requests that wait for a core.
    """

    number: int
    slowdown: float = 1.0
    paused: tuple[float, float] = (0.0, 0.0)
    hung_from: float = float("inf")
    waiting: deque["SentRequest"] = field(default_factory=deque)
    free_cores: int = 2


@dataclass(eq=False)
class SentRequest:
    """A request of a client and the backend that it is for."""

    gateway: "QueueGateway"
    id: int
    volume: int
    units: int
    backend: QueueBackend
    ended: bool = False


class QueueGateway:
    """A gateway that sends at most max_in_flight requests to each backend and accounts for its requests.

    Attributes:
        skew: Error of its wall clock in seconds.
        held: Requests that wait to be sent, by backend.
        in_flight: Number of requests in flight, by backend.
    """

    def __init__(self, number: int, simulation: "QueueSimulation", max_in_flight: int, skew: float) -> None:
        self.number, self.simulation, self.skew = number, simulation, skew
        self.max_in_flight = max_in_flight
        self.accounts = LatencyAccounts([0.3], 0.0)
        self.held: dict[int, deque[SentRequest]] = {}
        self.in_flight: dict[int, int] = {}
        self.start, self.life = 0.0, number

    def receive(self, now: float, request: SentRequest) -> None:
        backend = request.backend.number
        self.accounts.admitted(
            request.id, request.volume, 0, backend, False, request.units, now - 0.0002, now
        )
        limited = request.volume in self.simulation.limited
        if limited and not self.simulation.try_consume(request.volume, request.units, now):
            self.accounts.held(request.id, HoldReason.RATE_LIMIT, backend, now)
            self.simulation.at(now + 0.5, lambda at: self.send_or_hold(at, request))
        else:
            self.send_or_hold(now, request)

    def send_or_hold(self, now: float, request: SentRequest) -> None:
        backend = request.backend.number
        if self.in_flight.get(backend, 0) < self.max_in_flight:
            self.in_flight[backend] = self.in_flight.get(backend, 0) + 1
            self.accounts.sent(request.id, 0, backend, now)
            self.simulation.at(now + 0.0005, lambda at: self.simulation.arrive(at, request))
            self.simulation.at(now + TIMEOUT, lambda at: self.end(at, request, AttemptOutcome.TIMED_OUT, 0.0))
        else:
            self.held.setdefault(backend, deque()).append(request)
            self.accounts.held(request.id, HoldReason.SLOTS, backend, now)

    def end(self, now: float, request: SentRequest, outcome: AttemptOutcome, service: float) -> None:
        if request.ended:
            return
        request.ended = True
        backend = request.backend.number
        self.in_flight[backend] -= 1
        self.accounts.ended(request.id, 0, outcome, service, now)
        succeeded = outcome is AttemptOutcome.SUCCEEDED
        self.accounts.answered(
            request.id, RequestOutcome.SUCCEEDED if succeeded else RequestOutcome.FAILED, now
        )
        if waiting := self.held.get(backend):
            self.send_or_hold(now, waiting.popleft())

    def sample_held(self, now: float) -> None:
        for id in self.accounts.requests_to_recheck():
            volume, backend, _ = self.accounts.requests[id].group_key
            limited = volume in self.simulation.limited
            self.accounts.held(id, HoldReason.RATE_LIMIT if limited else HoldReason.SLOTS, backend, now)

    def close_window(self, now: float, last: bool = False) -> None:
        window = self.accounts.close_window(now)
        window.spans.add(
            Span(self.number, self.life, 1000 + self.start + self.skew, 1000 + now + self.skew, last)
        )
        self.start = now
        self.simulation.windows.append(window)


class QueueSimulation:
    """Gateways and backends on a virtual clock; run() returns what the attribution finds.

    Attributes:
        limited: Rate limit in units per second and time of the next free unit, by volume.
    """

    def __init__(
        self,
        seed: int = 1,
        gateways: int = 2,
        backends: int = 3,
        max_in_flight: int = 4,
        skew: float = 0.0,
    ) -> None:
        self.random = random.Random(seed)
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.windows: list[Window] = []
        self.gateways = [QueueGateway(n, self, max_in_flight, skew * n) for n in range(gateways)]
        self.backends = [QueueBackend(n) for n in range(backends)]
        self.limited: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(1)

    def at(self, when: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def try_consume(self, volume: int, units: int, now: float) -> bool:
        rate, free_at = self.limited[volume]
        if now < free_at:
            return False
        self.limited[volume] = (rate, now + units / rate)
        return True

    def arrive(self, now: float, request: SentRequest) -> None:
        request.backend.waiting.append(request)
        self.begin_work(now, request.backend)

    def begin_work(self, now: float, backend: QueueBackend) -> None:
        if now >= backend.hung_from:
            return
        if backend.paused[0] <= now < backend.paused[1]:
            self.at(backend.paused[1], lambda at: self.begin_work(at, backend))
            return
        while backend.free_cores and backend.waiting:
            request = backend.waiting.popleft()
            backend.free_cores -= 1
            ends = now + request.units * UNIT_TIME * backend.slowdown
            self.at(ends, lambda at, request=request, begun=now: self.complete(at, request, begun))

    def complete(self, now: float, request: SentRequest, begun: float) -> None:
        if now >= request.backend.hung_from:
            return
        request.backend.free_cores += 1
        self.at(
            now + 0.0005,
            lambda at: request.gateway.end(at, request, AttemptOutcome.SUCCEEDED, now - begun),
        )
        self.begin_work(now, request.backend)

    def add_traffic(
        self,
        volume: int,
        factor: float = 1.0,
        backend: int | None = None,
        gateways: int | None = None,
        seconds: float = 8.0,
    ) -> None:
        """Schedules open-loop arrivals of one volume, at its usual rate multiplied by factor."""
        now = 0.0
        while (now := now + self.random.expovariate(USUAL_UNITS * factor / 2)) < seconds:
            gateway = self.gateways[self.random.randrange(gateways or len(self.gateways))]
            target = self.backends[self.random.randrange(len(self.backends)) if backend is None else backend]
            request = SentRequest(gateway, next(self._ids), volume, 1 + self.random.randrange(3), target)
            self.at(now, lambda when, request=request: request.gateway.receive(when, request))

    def run(self, seconds: float = 8.0, until: float = 12.0) -> Findings:
        for gateway in self.gateways:
            for n in range(int(until / RECHECK_INTERVAL)):
                self.at(n * RECHECK_INTERVAL, gateway.sample_held)
            for second in range(1, int(until)):
                self.at(float(second), gateway.close_window)
        while self._events and self._events[0][0] < until:
            now, _, action = heapq.heappop(self._events)
            action(now)
        for gateway in self.gateways:
            gateway.close_window(until, last=True)
        return find(BASELINE, self.windows)
