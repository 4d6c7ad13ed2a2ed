"""Checks that all gateways together send a backend in slow start no more than its allowance.

It compares what each gateway's driver is asked to send with the rule itself, and so finds a violation before
the backend is overloaded, where rule 4 of the invariant checker would first show it.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from gorsethread.scheduling.model import SlowStartRule

SAME_START_SECONDS = 1.0  # start times of one start may differ by this much between gateways
NOTIFICATION_SECONDS = 0.5  # from the arrival of an endpoint list until the scheduler uses it
SLACK = 1.001  # a factor, as the gateways' clocks may drift apart


def slow_start_allowance(rule: SlowStartRule, age: float) -> float:
    """Returns the units that all gateways together may send within the window to a backend of that age.

    Follows the rule's documentation and not the scheduler's code, so that each checks the other. `age` is in
    seconds since the backend's start.
    """
    return rule.units * (1.0 + (1.0 / rule.initial_part - 1.0) * age / rule.warm_after)


class OverloadMeasure:
    """The operators' own measure of overload in slow start, which is laxer than SlowStartChecker.

    A backend in slow start is overloaded when it gets more than N + 2 sqrt(N) + 2 requests of mean work
    within the window (below 30 requests: N + 3 sqrt(N) + 3), where N is its allowance at that time. The rule
    is violated if over two thirds of the work in the window of the first overload came from gateways that
    had been notified of the start.

    Args:
        mean: Mean units of a request.
    """

    NOTIFIED_FRACTION = 2.0 / 3.0
    FEW_REQUESTS = 30.0  # below this allowance, in requests, the tolerance is the wider one

    def __init__(self, rule: SlowStartRule, mean: float) -> None:
        self.rule, self.mean = rule, mean
        self.overloaded = self.violated = False
        # Time, units and whether the sender had been notified; of the last window only.
        self._arrivals: deque[tuple[float, float, bool]] = deque()

    def record_arrival(self, now: float, units: float, notified: bool, age: float) -> None:
        """Counts a request; has no effect once the backend was overloaded or has finished its slow start."""
        if self.overloaded or age >= self.rule.warm_after:
            return
        self._arrivals.append((now, units, notified))
        while self._arrivals[0][0] <= now - self.rule.window:
            self._arrivals.popleft()
        n = slow_start_allowance(self.rule, age) / self.mean
        total = sum(units for _, units, _ in self._arrivals)
        slack = 3.0 if n < self.FEW_REQUESTS else 2.0
        if total > self.mean * (n + slack * math.sqrt(n) + slack):
            self.overloaded = True
            from_notified = sum(units for _, units, notified in self._arrivals if notified)
            self.violated = from_notified > self.NOTIFIED_FRACTION * total


class SlowStartChecker:
    """Checks every attempt that the drivers of a simulated site are asked to send.

    Args:
        rule: Its units are what all gateways together may send within its window.
        report: Called with a text for each violation.
    """

    def __init__(self, rule: SlowStartRule, report: Callable[[str], None]) -> None:
        self.rule, self.report = rule, report
        # Time and units of attempts of the last window, by backend and start time; as many entries as there
        # are starts in a simulation.
        self.sent: dict[tuple[int, float], deque[tuple[float, float]]] = {}
        self.seen = 0
        self.started: dict[int, float] = {}  # time of the last cold start, by backend
        # When a gateway was notified of a backend's last cold start, by gateway and backend.
        self.notified_at: dict[tuple[int, int], float] = {}

    def backend_started(self, backend: int, now: float) -> None:
        """Records a cold start."""
        self.started[backend] = now
        self.notified_at = {pair: at for pair, at in self.notified_at.items() if pair[1] != backend}

    def gateway_notified(self, gateway: int, backend: int, now: float) -> None:
        """Records that the endpoint list told a gateway of a backend's last cold start."""
        if backend in self.started:
            self.notified_at.setdefault((gateway, backend), now)

    def watch(self, driver: Any, gateway: int, now: Callable[[], float]) -> None:
        """Observes the driver of a gateway that has just started.

        Args:
            now: The simulation's clock, the same for all gateways.
        """
        self.notified_at = {pair: at for pair, at in self.notified_at.items() if pair[0] != gateway}

        def record(event: tuple[Any, ...]) -> None:
            if event[1] == "send_attempt":
                self._check_attempt(driver.scheduler, gateway, event[2], event[3], now())

        driver.recorder = record

    def _check_attempt(
        self, scheduler: Any, gateway: int, request_id: int, backend_id: int, now: float
    ) -> None:
        request = scheduler.requests.get(request_id)
        backend = scheduler.shards.backends.get(backend_id)
        if request is None or backend is None:
            return
        notified_at = self.notified_at.get((gateway, backend_id), now)
        true_age = now - self.started.get(backend_id, now)
        if (
            now > notified_at + NOTIFICATION_SECONDS
            and true_age < self.rule.warm_after - SAME_START_SECONDS
            and (
                backend.started_at <= 0
                or scheduler.timers.now - backend.started_at > true_age + SAME_START_SECONDS
            )
        ):
            self.report(f"takes a cold shelf for a warm one: shelf {backend_id}, head {gateway}")
        if backend.started_at <= 0:
            return
        age = scheduler.timers.now - backend.started_at
        if age >= self.rule.warm_after:
            return
        self.seen += 1
        start = next(
            (
                at
                for known_id, at in self.sent
                if known_id == backend.id and abs(at - (now - age)) < SAME_START_SECONDS
            ),
            now - age,
        )
        log = self.sent.setdefault((backend.id, start), deque())
        log.append((now, request.units))
        while log[0][0] <= now - self.rule.window / SLACK:
            log.popleft()
        if sum(units for _, units in log) > SLACK * slow_start_allowance(self.rule, age):
            self.report(f"more than a cold shelf's part: shelf {backend.id}, {age:.2f} s after its start")
