"""Shared by all tests: a host that prints what the scheduler does, and compares it with the kept trace."""

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
OPEN_PLAN = ServiceTier(0.0, 1.0, 0.0, 0.0, 4.0)
FACTS: dict[str, Any] = {
    "request_classes": (PLAIN,),
    "service_tiers": (OPEN_PLAN,),
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


class PrintingHost:
    def __init__(self) -> None:
        self.now, self.trace, self.wakes, self.sent = 100.0, [""], [], {}

    def clock(self) -> float:
        return self.now

    def say(self, text: str) -> None:
        self.trace.append(f"{self.now - 100:7.3f}  {text}")

    def send_attempt(self, transaction: int, shelf: int, wait: float) -> None:
        number = sum(1 for t, _ in self.sent if t == transaction)
        self.sent[(transaction, number)] = (shelf, self.now)
        self.say(f"forward {transaction} to shelf {shelf}")

    def cancel_attempt(self, transaction: int, number: int) -> None:
        self.say(f"recall {transaction}/{number}")

    def reject(self, transaction: int, retry_after: float) -> None:
        self.say(f"push back {transaction}")

    def fail(self, transaction: int) -> None:
        self.say(f"give up {transaction}")

    def set_timer(self, delay: float, name: str) -> None:
        self.wakes.append((self.now + delay, name))

    def poll_endpoints(self) -> None:
        self.say("ask to follow the list")


class Scene(unittest.TestCase):
    """One head; shelves are 1, 2, ... and hold shards of the same number."""

    def start(self, shelves: int = 1, **facts: Any) -> None:
        self.host = PrintingHost()
        self.scheduler = Scheduler(self.host, SchedulerSettings(**{**FACTS, **facts}), 7)
        self.shelves({n: 0.0 for n in range(1, shelves + 1)}, remembered=True)
        self.end()

    def shelves(
        self, since: dict[int, float], ready: bool = True, whole: bool = True, remembered: bool = False
    ) -> None:
        self.scheduler.endpoint_list_begins(whole, remembered)
        for n, at in since.items():
            self.scheduler.endpoint_listed(n, n % 2, n, ready, at and 100.0 + at)
        self.scheduler.endpoint_list_ended()

    def take(
        self,
        id: int,
        volume: str = "a",
        shard: int = 1,
        units: float = 1,
        profile: int = 0,
        plan: int = 0,
        key: str | None = None,
        within: float = 2.0,
        heads: int = 1,
    ) -> None:
        self.scheduler.request_received(
            RequestReceived(
                id, profile, plan, key, self.host.now + within, volume, units, shard, heads, False
            )
        )

    def answer(
        self,
        id: int,
        how: AttemptOutcome = AttemptOutcome.SUCCEEDED,
        number: int = 0,
        finished: bool | None = None,
        elsewhere: float = 0,
    ) -> None:
        shelf, sent = self.host.sent[(id, number)]
        over = how is AttemptOutcome.SUCCEEDED if finished is None else finished
        self.host.say(f"    {id} on shelf {shelf}: {how.value}")
        self.scheduler.attempt_ended(
            AttemptEnded(id, number, how, shelf, self.host.now - sent, over, elsewhere, 0)
        )

    def health(self, shelf: int = 1) -> None:
        s = self.scheduler.shards.backends[shelf]
        self.host.say(
            f"    shelf {shelf}: rate {s.limits.rate:.2f}, usual time {s.limits.service_time:.2f}, "
            f"{s.health.failures} misses, "
            f"rests {max(0.0, s.health.cool_down_until - self.host.now):.2f}"
        )

    def end(self) -> None:
        self.scheduler.batch_ended()

    def until(self, at: float) -> None:
        """Let time pass, with the wakes asked for."""
        while self.host.wakes and min(self.host.wakes)[0] <= 100 + at:
            wake = min(self.host.wakes)
            self.host.wakes.remove(wake)
            self.host.now = max(self.host.now, wake[0])
            self.scheduler.timer_fired(wake[1])
            self.end()
        self.host.now = 100.0 + at

    def kept(self, name: str) -> None:
        got = "\n".join(line.rstrip() for line in self.host.trace[1:]) + "\n"
        want = (Path(__file__).parent / "traces" / f"{name}.txt").read_text()
        self.assertEqual(
            want,
            got,
            "\n"
            + "\n".join(
                difflib.unified_diff(want.splitlines(), got.splitlines(), "kept", "now", lineterm="")
            ),
        )
