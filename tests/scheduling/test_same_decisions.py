"""Tests that the same events lead to the same decisions in the driver and in the simulator adapter."""

import json
import random
import unittest
from dataclasses import dataclass, field
from typing import Any

from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.held_reasons import why_held
from gorsethread.gateway.scheduler_settings import EFFECTS, IDEMPOTENCY_SCOPES, JsonObject
from gorsethread.latency_attribution.request_attribution import LatencyAccounts
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme.command import Opcode, io_command
from gorsethread.nvme_gateway.backend_link import BackendCommand
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_gateway.scheduler_settings import settings_from_site
from gorsethread.scheduling.model import AttemptOutcome, SchedulerSettings
from gorsethread.simulator_adapter.events import ATTEMPT_OUTCOMES
from gorsethread.simulator_adapter.instances import Instances
from gorsethread.site_config.reading import parse_site
from tests.rig import SITE
from tests.virtual import ManualClock

SHARD_CHANGED = "shardChanged"  # the driver's event for which the simulator has no verb


class InstancesWithPlacement(Instances):
    """Instances that are notified of the shards of extents too, which the simulator decides beforehand."""

    def _handle_event(self, name: str, event: JsonObject) -> None:
        if event["verb"] == SHARD_CHANGED:
            self._instances[name].scheduler.shard_changed(event["corr"], event["slotNo"])
        else:
            super()._handle_event(name, event)


@dataclass
class FakeLink:
    """Holds attempts until the test ends them."""

    attempts: list[Attempt] = field(default_factory=list)

    def send(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        pass


class FakeClient:
    """Ignores all answers."""

    request_class = 0

    def succeeded(self, shard: int, data: bytes) -> None: ...
    def rejected(self, return_after: float) -> None: ...
    def failed(self) -> None: ...


def _key_of(table: dict[str, Any], value: Any) -> str:
    return next(key for key, known in table.items() if known is value)


def simulator_setup(settings: SchedulerSettings) -> dict[str, Any]:
    """Returns the setup that the simulator sends for the same settings."""
    return {
        "balancers": settings.gateways,
        "membershipMode": "subscribe",
        "clients": {"marksRetry": settings.retries_marked},
        "contract": {
            "askWithin": settings.poll_within,
            "fall": settings.slow_start.window,
            "cold": settings.slow_start.warm_after,
            "coldFrom": settings.slow_start.initial_part,
            "orderSettle": settings.key_cool_down,
            "stopSendingWithin": settings.drain_grace,
        },
        "permissions": {
            "maxAttempts": settings.max_attempts,
            "retryAfter": True,
            "maxRetryAfter": settings.max_retry_after,
        },
        "specifics": {
            "coldUnits": settings.slow_start.units,
            "mostUnits": settings.largest_request_units,
            "shareWorth": settings.excess_value,
        },
        "services": [
            {
                "aim": rc.latency_objective,
                "effect": _key_of(EFFECTS, rc.effect),
                "group": _key_of(IDEMPOTENCY_SCOPES, rc.idempotency_scope),
                "window": rc.idempotency_window,
                "keepOrder": rc.keyed_order,
                "worth": rc.priority_weight,
            }
            for rc in settings.request_classes
        ],
        "grades": [
            {
                "floorRate": tier.reservation,
                "proportion": tier.weight,
                "neverOver": tier.rate_limit,
                "limitBurst": tier.burst,
                "baseRate": tier.expected_rate,
            }
            for tier in settings.service_tiers
        ],
    }


def simulator_events(method: str, arguments: tuple[Any, ...], page: list[Any]) -> list[dict[str, Any]]:
    """Returns the simulator's events for a call of the driver; page: collects a list until it ends."""
    if method == "request_received":
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
        event = {k: v for k, v in zip(names, arguments[0], strict=False) if v is not None}
        return [{"verb": "order", **event, "stateBits": 2 if arguments[0].is_retry else 0}]
    if method == "attempt_ended":
        names = ("corr", "shot", "how", "shelf", "elapsed", "doneFlag", "delta", "usage")
        event = dict(zip(names, arguments[0], strict=True))
        return [{"verb": "done", **event, "how": _key_of(ATTEMPT_OUTCOMES, event["how"])}]
    if method == "timer_fired":
        return [{"verb": "due", "keyBack": arguments[0]}]
    if method == "shard_changed":
        return [{"verb": SHARD_CHANGED, "corr": arguments[0], "slotNo": arguments[1]}]
    if method == "client_left":
        return [{"verb": "cancelledByClient", "corr": arguments[0]}]
    if method == "endpoint_poll_failed":
        return [{"verb": "sync", "form": "refused"}]
    if method == "endpoint_list_begins":
        page[:] = ["remembered" if arguments[1] else "all" if arguments[0] else "changes"]
    elif method == "endpoint_listed":
        id, zone, shard, ready, started_at = arguments
        page.append(
            {
                "shelf": id,
                "rackZone": zone,
                "pod": shard,
                "since": started_at,
                "condition": "Ready" if ready else "Terminating",
            }
        )
    elif method == "endpoint_list_ended":
        return [
            {"verb": "page", "page": 0, "membersList": page[1:]},
            {"verb": "sync", "form": page[0], "page": 0},
        ]
    return []


def action_of(entry: dict[str, Any]) -> tuple[Any, ...]:
    """Returns the scheduler's action for an entry of the simulator adapter's reply."""
    verb = entry["verb"]
    if verb == "forward":
        return "send_attempt", entry["corr"], entry["shelf"], entry["tryFor"]
    if verb == "deny":
        return "reject", entry["corr"], entry["coolDown"]
    if verb == "dropRequest":
        return "fail", entry["corr"]
    if verb == "arm":
        return "set_timer", entry["delay"], entry["keyBack"]
    return ("poll_endpoints",)


class SameDecisionsTest(unittest.TestCase):
    def test_the_simulator_adapter_leads_to_the_same_decisions_as_the_driver(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                recorded, decided = self.run_driver(seed)
                self.assertGreater(sum(action[0] == "send_attempt" for action in decided), 100)
                self.assertEqual(
                    {"send_attempt", "reject", "fail", "set_timer", "poll_endpoints"},
                    {action[0] for action in decided},
                )
                self.assertEqual(decided, self.run_simulator_adapter(recorded, seed))

    def test_latency_accounting_does_not_change_decisions(self) -> None:
        """The accounts ask the scheduler why it holds requests."""
        for seed in range(3):
            with self.subTest(seed=seed):
                self.reasons_asked = 0
                self.assertEqual(self.run_driver(seed), self.run_driver(seed, accounts=True))
                self.assertGreater(self.reasons_asked, 300)

    def ask_why_held(self, driver: Driver) -> None:
        for id in driver.open_requests:
            why_held(driver.scheduler, id)
            self.reasons_asked += 1

    def run_driver(
        self, seed: int, accounts: bool = False
    ) -> tuple[list[tuple[Any, ...]], list[tuple[Any, ...]]]:
        """Runs the driver alone with random events; returns its record and the scheduler's actions."""
        start_logs(False, "critical")
        generator = random.Random(seed)
        clock = ManualClock()
        site = parse_site(SITE)
        recorded: list[tuple[Any, ...]] = []
        driver = Driver(clock, settings_from_site(site), seed, SitePlacement(site), lambda: None, log_for())  # type: ignore[arg-type]
        driver.recorder = recorded.append
        links = {id: FakeLink() for id in (0, 1)}
        driver.links.update(links)  # type: ignore[arg-type]
        driver.shards.update({0: 0, 1: 1})
        if accounts:
            driver.accounting.accounts = LatencyAccounts(
                [profile.promised for profile in site.profile], clock.time
            )
        clock.run_ready()
        driver.endpoints_listed([(0, 0, 0, True, 0.0), (1, 0, 1, True, 0.0)], True, True)
        for step in range(600):
            clock.advance_to(clock.time + generator.random() * 0.02)
            if accounts:
                self.ask_why_held(driver)
            draw = generator.random()
            if draw < 0.5:
                self.admit_request(driver, generator)
            elif draw < 0.53 and driver.open_requests:
                driver.client_left(generator.choice(list(driver.open_requests.values())))
            elif draw < 0.54:
                driver.endpoint_poll_failed()
            if step in (200, 400):
                driver.endpoints_listed([(1, 0, 1, step == 400, clock.time - 0.5)], False, False)
            for link in links.values():
                while link.attempts and generator.random() < 0.45:
                    attempt = link.attempts.pop(0)
                    if not attempt.ended:
                        attempt.ended = True
                        outcome = generator.choice(
                            [AttemptOutcome.SUCCEEDED] * 6
                            + [
                                AttemptOutcome.ERROR,
                                AttemptOutcome.REJECTED,
                                AttemptOutcome.CONNECTION_LOST,
                                AttemptOutcome.UNREACHABLE,
                            ]
                        )
                        result = (
                            AttemptResult(units_elsewhere=generator.randrange(3))
                            if generator.random() < 0.5
                            else EMPTY_RESULT
                        )
                        driver._ended(attempt, outcome, result)
        clock.advance_to(clock.time + 3.0)
        self.assertEqual({}, driver.open_requests, "every request has ended")
        self.assertEqual({}, driver.first_writes.pending)
        if driver.accounting.accounts:
            self.assertEqual(0, driver.accounting.accounts.open_count)
            self.assertEqual(0, driver.accounting.accounts.window.remainders)
        return recorded, [entry[1:] for entry in recorded if entry[0] == "act"]

    def admit_request(self, driver: Driver, generator: random.Random) -> None:
        write = generator.random() < 0.5
        volume = generator.choice((1, 2))
        request_class = generator.choice((1, 2)) if write else 0
        extent = generator.randrange(4)
        shard = driver.placement.shard_of(volume, extent)
        if not write and shard < 0:
            return
        command = io_command(
            Opcode.WRITE if write else Opcode.READ, volume, extent * 64, attempt=int(generator.random() < 0.1)
        )
        key = f"{volume}/{extent}" if request_class == 1 else None
        driver.admit(
            FakeClient(),
            BackendCommand(command),
            request_class=request_class,
            service_tier=0,
            key=key,
            deadline=driver.transport.now() + generator.uniform(0.05, 1.0),
            volume=volume,
            extent=(volume, extent),
            is_write=write,
            units=float(1 + generator.randrange(8)),
            shard=shard,
            gateways=1,
            is_retry=command.is_retry,
            arrived=driver.transport.now(),
        )

    def run_simulator_adapter(self, recorded: list[tuple[Any, ...]], seed: int) -> list[tuple[Any, ...]]:
        """Passes the recorded events to the simulator adapter; returns the scheduler's actions."""
        instances = InstancesWithPlacement()
        up = {"verb": "up", "salt": seed, "setup": simulator_setup(settings_from_site(parse_site(SITE)))}
        decided: list[tuple[Any, ...]] = []
        batch: list[dict[str, Any]] = [up]
        page: list[Any] = []
        for entry in recorded:
            if entry[0] == "event":
                batch += simulator_events(entry[2], entry[3:], page)
            elif entry[0] == "batch":
                line = json.dumps({"wall": entry[1], "heads": [{"i": "head/0", "happened": batch}]})
                for reply in instances.handle_line(line)["heads"]:
                    decided += [action_of(action) for action in reply["output"]]
                batch = []
        return decided
