"""Runs a scheduler in tests, records its actions as a trace and compares that with a file in traces/."""

import difflib
import unittest
from pathlib import Path
from typing import Any

from gorsethread.scheduling.model import (
    AttemptEnded,
    AttemptOutcome,
    Effect,
    IdempotencyScope,
    RequestClass,
    RequestReceived,
    SchedulerSettings,
    ServiceTier,
    SlowStartRule,
)
from gorsethread.scheduling.scheduler import Scheduler

PLAIN = RequestClass(0.3, Effect.IDEMPOTENT, IdempotencyScope.ALL, 5.0, False, 1.0)
SLOW = RequestClass(9.0, Effect.IDEMPOTENT, IdempotencyScope.ALL, 5.0, False, 1.0)
UNLIMITED_TIER = ServiceTier(0.0, 1.0, 0.0, 0.0, 4.0)
SCHEDULER_SETTINGS: dict[str, Any] = {
    "request_classes": (PLAIN,),
    "service_tiers": (UNLIMITED_TIER,),
    "gateways": 1,
    "polls_endpoints": False,
    "poll_within": 10.0,
    "drain_grace": 1.0,
    "slow_start": SlowStartRule(8.0, 2.0, 10.0, 0.25),
    "retry_budget": None,
    "key_cool_down": 0.0,
    "max_attempts": 4,
    "max_retry_after": 1.0,
    "largest_request_units": 8.0,
    "excess_value": 1.0,
    "retries_marked": True,
}


class RecordingActions:
    """Records a scheduler's actions as lines of a trace. The clock starts at 100 seconds."""

    def __init__(self) -> None:
        self.now, self.trace, self.timers, self.sent = 100.0, [""], [], {}

    def clock(self) -> float:
        return self.now

    def log(self, text: str) -> None:
        self.trace.append(f"{self.now - 100:7.3f}  {text}")

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        number = sum(1 for id, _ in self.sent if id == request)
        self.sent[(request, number)] = (backend, self.now)
        self.log(f"send {request} to backend {backend}")

    def cancel_attempt(self, request: int, number: int) -> None:
        self.log(f"cancel {request}/{number}")

    def reject(self, request: int, retry_after: float) -> None:
        self.log(f"reject {request}")

    def fail(self, request: int) -> None:
        self.log(f"fail {request}")

    def set_timer(self, delay: float, name: str) -> None:
        self.timers.append((self.now + delay, name))

    def poll_endpoints(self) -> None:
        self.log("poll endpoints")


class SchedulerTestCase(unittest.TestCase):
    """Runs one scheduler. The backends are numbered 1, 2, ...; each serves the shard with its own number."""

    def start(self, backends: int = 1, **settings: Any) -> None:
        """Starts a scheduler with some settings changed, and lists its backends."""
        self.actions = RecordingActions()
        self.scheduler = Scheduler(self.actions, SchedulerSettings(**{**SCHEDULER_SETTINGS, **settings}), 7)
        self.list_backends({id: 0.0 for id in range(1, backends + 1)}, remembered=True)
        self.end_batch()

    def list_backends(
        self,
        started_at: dict[int, float],
        ready: bool = True,
        complete: bool = True,
        remembered: bool = False,
    ) -> None:
        """Passes a list of backends; started_at: the start of each, 0: long ago."""
        self.scheduler.endpoint_list_begins(complete, remembered)
        for id, at in started_at.items():
            self.scheduler.endpoint_listed(id, id % 2, id, ready, at and 100.0 + at)
        self.scheduler.endpoint_list_ended()

    def receive(
        self,
        id: int,
        volume: str = "a",
        shard: int = 1,
        units: float = 1,
        request_class: int = 0,
        service_tier: int = 0,
        key: str | None = None,
        timeout: float = 2.0,
        gateways: int = 1,
    ) -> None:
        """Passes a request with a deadline after timeout seconds."""
        self.scheduler.request_received(
            RequestReceived(
                id,
                request_class,
                service_tier,
                key,
                self.actions.now + timeout,
                volume,
                units,
                shard,
                gateways,
                False,
            )
        )

    def end_attempt(
        self,
        id: int,
        outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED,
        number: int = 0,
        finished: bool | None = None,
        units_elsewhere: float = 0,
    ) -> None:
        """Ends an attempt of a request; finished: by default, whether it has succeeded."""
        backend, sent_at = self.actions.sent[(id, number)]
        request_finished = outcome is AttemptOutcome.SUCCEEDED if finished is None else finished
        self.actions.log(f"    {id} on backend {backend}: {outcome.name.lower().replace('_', ' ')}")
        self.scheduler.attempt_ended(
            AttemptEnded(
                id,
                number,
                outcome,
                backend,
                self.actions.now - sent_at,
                request_finished,
                units_elsewhere,
                0,
            )
        )

    def log_health(self, id: int = 1) -> None:
        """Adds the state of a backend to the trace."""
        backend = self.scheduler.shards.backends[id]
        self.actions.log(
            f"    backend {id}: rate {backend.limits.rate:.2f}, "
            f"service time {backend.limits.service_time:.2f}, "
            f"{backend.health.failures} failures, "
            f"cool-down {max(0.0, backend.health.cool_down_until - self.actions.now):.2f}"
        )

    def end_batch(self) -> None:
        self.scheduler.batch_ended()

    def run_until(self, at: float) -> None:
        """Advances the clock to a time after the start, in seconds, and fires the timers due by then."""
        while self.actions.timers and min(self.actions.timers)[0] <= 100 + at:
            timer = min(self.actions.timers)
            self.actions.timers.remove(timer)
            self.actions.now = max(self.actions.now, timer[0])
            self.scheduler.timer_fired(timer[1])
            self.end_batch()
        self.actions.now = 100.0 + at

    def assert_trace(self, name: str) -> None:
        """Asserts that the trace equals the file of that name in traces/."""
        actual = "\n".join(line.rstrip() for line in self.actions.trace[1:]) + "\n"
        expected = (Path(__file__).parent / "traces" / f"{name}.txt").read_text()
        self.assertEqual(
            expected,
            actual,
            "\n"
            + "\n".join(
                difflib.unified_diff(
                    expected.splitlines(), actual.splitlines(), "expected", "actual", lineterm=""
                )
            ),
        )
