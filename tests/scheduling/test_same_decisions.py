"""One recorded sequence of events: the same decisions through the head's driver and the bench's link."""

import json
import random
import unittest
from dataclasses import dataclass, field
from typing import Any

from gorsethread.accounts.lives import Accounts
from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.held_reasons import why_held
from gorsethread.gateway.scheduler_settings import EFFECTS, IDEMPOTENCY_SCOPES
from gorsethread.head.facts import start_facts
from gorsethread.head.links import Order
from gorsethread.head.placement import SitePlacement
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme.command import Opcode, io_command
from gorsethread.scheduling.model import AttemptOutcome, SchedulerSettings
from gorsethread.simulator_adapter.events import ATTEMPT_OUTCOMES
from gorsethread.simulator_adapter.instances import Instances
from gorsethread.sitefile.reading import parse_site
from tests.rig import SITE
from tests.virtual import ManualClock


@dataclass
class Link_:
    """Holds forwards until the script ends them."""

    held: list[Attempt] = field(default_factory=list)

    def send(self, f: Attempt) -> None:
        self.held.append(f)

    def cancel(self, f: Attempt) -> None:
        pass


class Deaf:
    profile = 0

    def succeeded(self, shard: int, data: bytes) -> None: ...
    def rejected(self, return_after: float) -> None: ...
    def failed(self) -> None: ...


def _word(table: dict[str, Any], value: Any) -> str:
    return next(word for word, known in table.items() if known is value)


def setup_of(facts: SchedulerSettings) -> dict[str, Any]:
    """The bench's start-up message for the same facts."""
    return {
        "balancers": facts.gateways,
        "membershipMode": "subscribe",
        "clients": {"marksRetry": facts.retries_marked},
        "contract": {
            "askWithin": facts.poll_within,
            "fall": facts.slow_start.window,
            "cold": facts.slow_start.warm_after,
            "coldFrom": facts.slow_start.initial_part,
            "orderSettle": facts.key_cool_down,
            "stopSendingWithin": facts.drain_grace,
        },
        "permissions": {
            "maxAttempts": facts.max_attempts,
            "retryAfter": True,
            "maxRetryAfter": facts.max_retry_after,
        },
        "specifics": {
            "coldUnits": facts.slow_start.units,
            "mostUnits": facts.largest_request_units,
            "shareWorth": facts.excess_value,
        },
        "services": [
            {
                "aim": p.latency_objective,
                "effect": _word(EFFECTS, p.effect),
                "group": _word(IDEMPOTENCY_SCOPES, p.idempotency_scope),
                "window": p.idempotency_window,
                "keepOrder": p.keyed_order,
                "worth": p.priority_weight,
            }
            for p in facts.request_classes
        ],
        "grades": [
            {
                "floorRate": p.reservation,
                "proportion": p.weight,
                "neverOver": p.rate_limit,
                "limitBurst": p.burst,
                "baseRate": p.expected_rate,
            }
            for p in facts.service_tiers
        ],
    }


def bench_event(method: str, facts: tuple[Any, ...], page: list[Any]) -> list[dict[str, Any]]:
    """One of the driver's calls as the bench's wire has it; a list is gathered until it ends."""
    if method == "request_taken":
        names = (
            "corr",
            "tierClass",
            "contract",
            "item",
            "dropDead",
            "vol",
            "quotaUnits",
            "slotNo",
            "setSize",
        )
        event = {k: v for k, v in zip(names, facts[0], strict=False) if v is not None}
        return [{"verb": "order", **event, "stateBits": 2 if facts[0].is_retry else 0}]
    if method == "attempt_ended":
        names = ("corr", "shot", "how", "shelf", "elapsed", "doneFlag", "delta", "usage")
        event = dict(zip(names, facts[0], strict=True))
        return [{"verb": "done", **event, "how": _word(ATTEMPT_OUTCOMES, event["how"])}]
    if method == "timer_fired":
        return [{"verb": "due", "keyBack": facts[0]}]
    if method == "client_left":
        return [{"verb": "cancelledByClient", "corr": facts[0]}]
    if method == "endpoint_poll_failed":
        return [{"verb": "sync", "form": "refused"}]
    if method == "endpoint_list_begins":
        page[:] = ["remembered" if facts[1] else "all" if facts[0] else "changes"]
    elif method == "endpoint_listed":
        id, zone, shard, ready, since = facts
        page.append(
            {
                "shelf": id,
                "rackZone": zone,
                "pod": shard,
                "since": since,
                "condition": "Ready" if ready else "Terminating",
            }
        )
    elif method == "endpoint_list_ended":
        return [
            {"verb": "page", "page": 0, "membersList": page[1:]},
            {"verb": "sync", "form": page[0], "page": 0},
        ]
    return []


def bench_act(act: dict[str, Any]) -> tuple[Any, ...]:
    verb = act["verb"]
    if verb == "forward":
        return "send_attempt", act["corr"], act["shelf"], act["tryFor"]
    if verb == "deny":
        return "reject", act["corr"], act["coolDown"]
    if verb == "dropRequest":
        return "fail", act["corr"]
    if verb == "arm":
        return "set_timer", act["delay"], act["keyBack"]
    return ("poll_endpoints",)


class SameDecisions(unittest.TestCase):
    def test_through_head_and_bench(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                told, decided = self.play(seed)
                self.assertGreater(sum(a[0] == "send_attempt" for a in decided), 100)
                self.assertEqual(
                    {"send_attempt", "reject", "fail", "set_timer", "poll_endpoints"}, {a[0] for a in decided}
                )
                self.assertEqual(decided, self.through_bench(told, seed))

    def test_with_and_without_accounts(self) -> None:
        """Asking the scheduler why it holds something changes nothing it decides."""
        for seed in range(3):
            with self.subTest(seed=seed):
                self.asked = 0
                self.assertEqual(self.play(seed), self.play(seed, accounts=True))
                self.assertGreater(self.asked, 300)

    def ask_all(self, driver: Driver) -> None:
        for id in driver.open:
            why_held(driver.scheduler, id)
            self.asked += 1

    def play(self, seed: int, accounts: bool = False) -> tuple[list[tuple[Any, ...]], list[tuple[Any, ...]]]:
        """A made-up day through the driver alone: what it told the scheduler, and what that decided."""
        start_logs(False, "critical")
        chance = random.Random(seed)
        clock = ManualClock()
        site = parse_site(SITE)
        told: list[tuple[Any, ...]] = []
        driver = Driver(clock, start_facts(site), seed, SitePlacement(site), lambda: None, log_for())  # type: ignore[arg-type]
        driver.recorder = told.append
        links = {n: Link_() for n in (0, 1)}
        driver.links.update(links)  # type: ignore[arg-type]
        driver.shards.update({0: 0, 1: 1})
        if accounts:
            driver.accounting.accounts = Accounts([p.promised for p in site.profile], clock.time)
        clock.run_ready()
        driver.endpoints_listed([(0, 0, 0, True, 0.0), (1, 0, 1, True, 0.0)], True, True)
        for step in range(600):
            clock.advance_to(clock.time + chance.random() * 0.02)
            if accounts:
                self.ask_all(driver)
            draw = chance.random()
            if draw < 0.5:
                self.take(driver, chance)
            elif draw < 0.53 and driver.open:
                driver.client_left(chance.choice(list(driver.open.values())))
            elif draw < 0.54:
                driver.endpoint_poll_failed()
            if step in (200, 400):
                driver.endpoints_listed([(1, 0, 1, step == 400, clock.time - 0.5)], False, False)
            for link in links.values():
                while link.held and chance.random() < 0.45:
                    f = link.held.pop(0)
                    if not f.over:
                        f.over = True
                        how = chance.choice(
                            [AttemptOutcome.SUCCEEDED] * 6
                            + [
                                AttemptOutcome.ERROR,
                                AttemptOutcome.REJECTED,
                                AttemptOutcome.CONNECTION_LOST,
                                AttemptOutcome.UNREACHABLE,
                            ]
                        )
                        told_too = (
                            AttemptResult(units_elsewhere=chance.randrange(3))
                            if chance.random() < 0.5
                            else EMPTY_RESULT
                        )
                        driver._ended(f, how, told_too)
        clock.advance_to(clock.time + 3.0)
        self.assertEqual({}, driver.open, "every transaction has ended")
        self.assertEqual({}, driver.first_writes.pending)
        if driver.accounting.accounts:
            self.assertEqual(0, driver.accounting.accounts.open)
            self.assertEqual(0, driver.accounting.accounts.window.remainders)
        return told, [t[1:] for t in told if t[0] == "act"]

    def take(self, driver: Driver, chance: random.Random) -> None:
        write = chance.random() < 0.5
        volume = chance.choice((1, 2))
        profile = chance.choice((1, 2)) if write else 0
        extent = chance.randrange(4)
        shard = driver.placement.shard_of(volume, extent)
        if not write and shard < 0:
            return
        command = io_command(
            Opcode.WRITE if write else Opcode.READ, volume, extent * 64, attempt=int(chance.random() < 0.1)
        )
        key = f"{volume}/{extent}" if profile == 1 else None
        driver.admit(
            Deaf(),
            Order(command),
            request_class=profile,
            service_tier=0,
            key=key,
            deadline=driver.transport.now() + chance.uniform(0.05, 1.0),
            volume=volume,
            extent=(volume, extent),
            units=float(1 + chance.randrange(8)),
            shard=shard,
            gateways=1,
            is_retry=command.repeat,
            arrived=driver.transport.now(),
        )

    def through_bench(self, told: list[tuple[Any, ...]], seed: int) -> list[tuple[Any, ...]]:
        link = Instances()
        up = {"verb": "up", "salt": seed, "setup": setup_of(start_facts(parse_site(SITE)))}
        decided: list[tuple[Any, ...]] = []
        happened: list[dict[str, Any]] = [up]
        page: list[Any] = []
        for entry in told:
            if entry[0] == "event":
                happened += bench_event(entry[2], entry[3:], page)
            elif entry[0] == "batch":
                line = json.dumps({"wall": entry[1], "heads": [{"i": "head/0", "happened": happened}]})
                for reply in link.batch(line)["heads"]:
                    decided += [bench_act(act) for act in reply["output"]]
                happened = []
        return decided
