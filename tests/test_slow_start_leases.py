"""Tests slow-start leases: a starting backend never gets more than all gateways together may send it.

This holds for lost, late, doubled and reordered messages and for restarts of gateways.
"""

import asyncio
import json
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.experiments.many_gateways.score import Score
from gorsethread.experiments.many_gateways.simulation import World
from gorsethread.experiments.many_gateways.workload import Scene, draw
from gorsethread.experiments.perfect_information import EvenParts
from gorsethread.experiments.slow_start_leases import LENT_UNITS, Result, Trial, script_of
from gorsethread.gateway.peer_messages import MAX_MESSAGES_PER_SECOND, PeerMessages
from gorsethread.harness.processes import Processes
from gorsethread.http_gateway.addresses import UnusableConfigurationError
from gorsethread.http_gateway.configuration import Configuration, read_configuration
from gorsethread.logs import log_for, start_logs
from gorsethread.membership.gossip_messages import GossipMessage, MessageKind, encode
from gorsethread.scheduling.model import (
    Backend,
    Effect,
    IdempotencyScope,
    Request,
    RequestClass,
    SchedulerSettings,
    SlowStartRule,
    TokenBucket,
    Volume,
)
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.simulation.slow_start_checker import OverloadMeasure
from gorsethread.simulator_adapter.instances import Instances
from gorsethread.site_config.reading import read_site
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport
from tests.harness import SCHEDULER_SETTINGS, RecordingActions, SchedulerTestCase
from tests.live import SETTINGS, GatewayTest, make_config
from tests.scheduling.test_same_decisions import simulator_setup

RULE = SlowStartRule(9.0, 3.0, 13.0, 0.19)
MAX_STATES = 200_000  # 93243 are reached in 5 steps of time; in 6 steps 333288, without a violation either
# A gateway before its first lease request: its restarts, its last number, and the fields of its LeaseState.
INITIAL_GATEWAY = (0, 0, "", -float("inf"), 0.0, 0.0, 0.0)
UNSTABLE_FLEET = Scene(24, 12, 18.0, renewed=0.8, restarted=0.5, lost=0.15)


def run_fleet(scheduler: type[Scheduler], **scene: Any) -> Score:
    """Runs a model of a fleet with restarts and lost messages."""
    return World(draw(replace(UNSTABLE_FLEET, **scene)), scheduler).play()


class GrantsAfterRestart(Scheduler):
    """Faulty: grants leases right after its start, although an earlier run may have granted some."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        original = self.leases.grant

        def grant(shard: int, units: float, age: float) -> bool:
            started_at, self.leases.started_at = self.leases.started_at, -1e9
            granted = original(shard, units, age)
            self.leases.started_at = started_at
            return granted

        self.leases.grant = grant  # type: ignore[method-assign]


class DropsGrants(Scheduler):
    """Faulty: counts a grant for half of the window only."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.leases.grants_kept_for = 0.5 * self.settings.slow_start.window


class AcceptsTwice(Scheduler):
    """Faulty: accepts a lease again when its grant arrives twice."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        original = self.leases.accept

        def accept(backend: Backend) -> None:
            number = backend.lease.request_number
            original(backend)
            backend.lease.request_number = number

        self.leases.accept = accept  # type: ignore[method-assign]


class EveryoneHolds(Scheduler):
    """Faulty: every gateway is the lease holder of every shard."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.leases.holder = lambda shard: self.settings.gateway_index  # type: ignore[method-assign]


class FleetModelTest(unittest.TestCase):
    def test_all_gateways_together_stay_within_the_slow_start_limit(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed):
                score = run_fleet(Scheduler, seed=seed)
                self.assertEqual((0, 0), (score.over_part, score.fallen))
                self.assertGreater(score.messages, 0.05)

    def test_each_faulty_scheduler_is_detected(self) -> None:
        for faulty in (GrantsAfterRestart, DropsGrants, AcceptsTwice, EveryoneHolds):
            with self.subTest(faulty.__doc__):
                self.assertTrue(any(run_fleet(faulty, seed=seed).over_part for seed in range(1, 9)))

    def test_leases_serve_more_than_equal_shares(self) -> None:
        scene = {"heads": 60, "shelves": 20, "restarted": 0.0, "lost": 0.0}
        with_leases, with_equal_shares = (
            sum(run_fleet(scheduler, seed=seed, **scene).served for seed in (1, 2)) / 2
            for scheduler in (Scheduler, EvenParts)
        )
        self.assertGreater(with_leases, with_equal_shares + 0.04)

    def test_the_limit_holds_if_all_messages_are_lost(self) -> None:
        score = run_fleet(Scheduler, lost=1.0)
        self.assertEqual((0, 0), (score.over_part, score.fallen))
        self.assertGreater(score.served, 0.2)


@pytest.mark.processes
class GatewayProcessesTest(unittest.TestCase):
    """Runs six gateway processes that are killed, stopped and disconnected; a fifth of the messages is lost.

    Does not use the event loop of unittest, whose checks slow down the fake servers and the relay so much
    that violations would not show.
    """

    def run_processes(self, plant: str = "", units: float = LENT_UNITS) -> Result:
        """plant: code that makes the gateways faulty; units: per gateway, that a starting backend allows."""
        start_logs(True, "critical")
        return asyncio.run(self.run_trial(plant, units))

    async def run_trial(self, plant: str, units: float) -> Result:
        site = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
        with tempfile.TemporaryDirectory() as folder:
            trial = Trial(
                RealTransport(1), Processes(Path(folder), site), site, log_for(), script_of(), plant
            )
            trial.jitter = 0.6  # so that the verdict is the same on a busy machine
            trial.site.rules.cold.units = units * trial.script.heads
            return await trial.play()

    def test_no_starting_backend_is_overloaded_and_no_request_is_applied_twice(self) -> None:
        result = self.run_processes()
        self.assertEqual(
            (0, 0, 0, 0),
            (result.beyond, result.fell, result.duplicated, result.rules[1]),
            result,
        )
        self.assertEqual(0, result.falls_by_page)
        self.assertGreater(result.told_late, 0, "some start must be notified late, or this test checks less")
        self.assertGreater(result.cold_units, 50.0)
        self.assertGreater(result.messages, 50)

    def test_a_lease_holder_that_drops_its_grants_is_detected_at_the_backends(self) -> None:
        # With a third of the units of the other test the load is several times the limit, even if a busy
        # machine slows it down. So the result does not depend on the timing of the attempts.
        result = self.run_processes(
            "from gorsethread.scheduling.scheduler import Scheduler\nold = Scheduler.__init__\n"
            "def begin(self, *given):\n    old(self, *given)\n"
            "    self.leases.grants_kept_for = 0.0\nScheduler.__init__ = begin",
            LENT_UNITS / 3,
        )
        self.assertGreater(result.beyond, 0)


class OverloadMeasureTest(unittest.TestCase):
    """Tests the operators' measure: with a limit of 9 units in a window of 3 s and requests of one unit, a
    backend fails at the 22nd request."""

    def measure(
        self, notified: int, unnotified: int, interval: float = 0.01, units: float = 9.0
    ) -> OverloadMeasure:
        """Passes requests at an interval in seconds, first those of notified gateways, then the others."""
        measure = OverloadMeasure(SlowStartRule(units, 3.0, 13.0, 1.0), 1.0)
        for index in range(notified + unnotified):
            measure.record_arrival(index * interval, 1.0, index < notified, index * interval)
        return measure

    def test_below_30_requests_the_tolerance_is_3_times_the_root_plus_3(self) -> None:
        self.assertFalse(self.measure(21, 0).overloaded)
        self.assertTrue(self.measure(22, 0).violated)
        self.assertFalse(
            self.measure(200, 0, interval=3.0 / 20).overloaded,
            "within each window not more than is tolerated",
        )

    def test_from_30_requests_on_the_tolerance_is_2_times_the_root_plus_2(self) -> None:
        self.assertFalse(self.measure(50, 0, units=36.0).overloaded)
        self.assertTrue(self.measure(51, 0, units=36.0).violated)

    def test_the_rule_is_not_broken_if_a_third_of_the_requests_came_from_unnotified_gateways(
        self,
    ) -> None:
        for notified, violated in ((15, True), (14, False), (0, False)):
            measure = self.measure(notified, 22 - notified)
            self.assertEqual((True, violated), (measure.overloaded, measure.violated))

    def test_a_backend_fails_once_and_a_warm_backend_never(self) -> None:
        measure = self.measure(10, 12)
        for step in range(100):
            measure.record_arrival(1.0, 1.0, True, 1.0 + step / 100)
        self.assertFalse(measure.violated)
        warm = OverloadMeasure(SlowStartRule(9.0, 3.0, 13.0, 1.0), 1.0)
        for _ in range(100):
            warm.record_arrival(20.0, 1.0, True, 13.0)
        self.assertFalse(warm.overloaded)


class ModelCheckTest(unittest.TestCase):
    """Checks the methods of the scheduler exhaustively with a lease holder and two requesting gateways.

    The events are lease requests in any order, lost, late and doubled messages, attempts, and restarts of all
    three gateways. Time advances in whole steps; one unit is allowed per window.
    """

    WINDOW, LEASE_DURATION = 2, 2

    def check(
        self, plant: Callable[[Scheduler], None] = lambda scheduler: None, last_time: int = 5
    ) -> dict[str, Any]:
        """Returns the result of the check; plant: makes a scheduler faulty."""
        request_class = RequestClass(
            self.LEASE_DURATION / 0.4, Effect.IDEMPOTENT, IdempotencyScope.ALL, 5.0, False, 1.0
        )
        settings = SchedulerSettings(
            **{
                **SCHEDULER_SETTINGS,
                "request_classes": (request_class,),
                "gateways": 3,
                "may_send_messages": True,
                "slow_start": SlowStartRule(1.0, float(self.WINDOW), 1e9, 1.0),
            }
        )
        actions = RecordingActions()
        sent: list[str] = []
        actions.send_peer_message = lambda gateway, text: sent.append(text)  # type: ignore[attr-defined]
        holder = Scheduler(actions, settings, 1).leases.holder(1)
        requesters = [n for n in range(3) if n != holder]
        schedulers = {n: Scheduler(actions, replace(settings, gateway_index=n), 1) for n in range(3)}
        for scheduler in schedulers.values():
            scheduler.endpoint_list_begins(True, False)
            scheduler.endpoint_listed(1, 0, 1, True, 1.0)
            scheduler.endpoint_list_ended()
            plant(scheduler)
        volume = Volume("0/v", "v", settings.service_tiers[0], 0.0, 1, TokenBucket(0.0, 0.0))
        request = Request(1, 1, request_class, volume, None, 1e9, 1e9, 1.0, 1)

        def restore(now: int, n: int, gateway: tuple[Any, ...]) -> Scheduler:
            scheduler, lease = schedulers[n], schedulers[n].shards.backends[1].lease
            actions.now = scheduler.timers.now = float(now)
            (
                _,
                scheduler.timers.last_number,
                lease.request_number,
                lease.requested_at,
                lease.requested_units,
                lease.units,
                lease.valid_until,
            ) = gateway
            sent.clear()
            return scheduler

        def save(n: int, restarts: int) -> tuple[Any, ...]:
            lease = schedulers[n].shards.backends[1].lease
            return (
                restarts,
                schedulers[n].timers.last_number,
                lease.request_number,
                lease.requested_at,
                lease.requested_units,
                lease.units,
                lease.valid_until,
            )

        def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
            now, holder_started, grants, gateways, messages, sends = state
            found = []

            def add(
                event: str,
                n: int,
                gateway: tuple[Any, ...],
                new_messages: frozenset[Any],
                new_sends: tuple[int, ...],
            ) -> None:
                both = tuple(gateway if n == requesters[k] else gateways[k] for k in range(2))
                # Numbers are unique: messages for an earlier request of this gateway have no effect.
                relevant = frozenset(
                    (peer, text) for peer, text in new_messages if peer != n or text.split()[2] == gateway[2]
                )
                found.append((event, (now, holder_started, grants, both, relevant, new_sends)))

            if now < last_time:
                in_window = tuple(at for at in sends if at > now + 1 - self.WINDOW)
                found.append(("time", (now + 1, holder_started, grants, gateways, messages, in_window)))
            if grants:
                found.append(("holder restarts", (now, now, (), gateways, messages, sends)))
            for k, n in enumerate(requesters):
                scheduler = restore(now, n, gateways[k])
                backend, restarts = scheduler.shards.backends[1], gateways[k][0]
                if scheduler.slow_start.units_left(backend) >= 1.0:
                    backend.lease.units -= 1.0
                    add("sends", n, save(n, restarts), messages, (*sends, now))
                elif not scheduler.slow_start.admits(request, backend) and sent:
                    add("requests", n, save(n, restarts), messages | {(n, sent[0])}, sends)
                if restarts < 1 and -1.0 < gateways[k][3] < now:  # a restart takes some time
                    add("restarts", n, (restarts + 1, *INITIAL_GATEWAY[1:]), messages, sends)
            for n, text in messages:
                if text.startswith("ask"):
                    scheduler = schedulers[holder]
                    actions.now, scheduler.leases.started_at = float(now), float(holder_started)
                    scheduler.leases.log.by_shard = {1: list(grants)} if grants else {}
                    sent.clear()
                    scheduler.peer_message_received(n, text)
                    if sent:
                        entries = tuple(scheduler.leases.log.by_shard.get(1, ()))
                        all_messages = messages | {(n, sent[0])}
                        found.append(
                            ("holder grants", (now, holder_started, entries, gateways, all_messages, sends))
                        )
                else:
                    k = requesters.index(n)
                    scheduler = restore(now, n, gateways[k])
                    scheduler.peer_message_received(holder, text)
                    if save(n, gateways[k][0]) != gateways[k]:
                        add("accepts", n, save(n, gateways[k][0]), messages, sends)
            return found

        result: dict[str, Any] = check_safety(
            Protocol(
                name="slow-start leases",
                candidate=False,
                fields=("now", "holder_started", "grants", "gateways", "messages", "sends"),
                initial=(0, -100, (), (INITIAL_GATEWAY, INITIAL_GATEWAY), frozenset(), ()),
                transitions=transitions,
                invariants={"at most one unit per window": lambda state: len(state["sends"]) <= 1},
            ),
            MAX_STATES,
        )
        return result

    def test_no_order_of_events_exceeds_the_limit(self) -> None:
        result = self.check()
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["at most one unit per window"]["holds"], result)

    def test_each_planted_fault_is_detected(self) -> None:
        def grants_after_restart(scheduler: Scheduler) -> None:
            original = scheduler.leases.grant

            def grant(shard: int, units: float, age: float) -> bool:
                scheduler.leases.started_at = -100.0
                return original(shard, units, age)

            scheduler.leases.grant = grant  # type: ignore[method-assign]

        def drops_grants(scheduler: Scheduler) -> None:
            scheduler.leases.grants_kept_for = scheduler.settings.slow_start.window

        def valid_from_arrival(scheduler: Scheduler) -> None:
            def accept(backend: Backend) -> None:
                lease = backend.lease
                lease.units, lease.request_number = lease.requested_units, ""
                lease.valid_until = scheduler.timers.now + scheduler.leases.duration

            scheduler.leases.accept = accept  # type: ignore[method-assign]

        def accepts_twice(scheduler: Scheduler) -> None:
            def accept(backend: Backend) -> None:
                lease = backend.lease
                lease.units = lease.requested_units
                lease.valid_until = lease.requested_at + scheduler.leases.duration

            scheduler.leases.accept = accept  # type: ignore[method-assign]

        for fault in (grants_after_restart, drops_grants, valid_from_arrival, accepts_twice):
            with self.subTest(fault.__name__):
                result = self.check(fault)
                self.assertIs(False, result["properties"]["at most one unit per window"]["holds"])


class SlowStartLeasesTest(SchedulerTestCase):
    def start_gateway(self, index: int = 0, gateways: int = 60) -> None:
        """Starts one gateway of a fleet, and lists a backend that started one second ago."""
        self.start(slow_start=RULE, gateways=gateways, may_send_messages=True, gateway_index=index)
        self.actions.now += 10.0
        self.messages: list[tuple[int, str]] = []
        self.actions.send_peer_message = lambda gateway, text: self.messages.append((gateway, text))  # type: ignore[attr-defined]
        self.list_backends({1: 9.0})
        self.end_batch()

    def test_a_gateway_requests_a_lease_from_the_lease_holder_and_sends_after_the_grant(self) -> None:
        holder = self.lease_holder()
        self.start_gateway((holder + 1) % 60)
        self.receive(1, units=2.0)
        self.end_batch()
        ((gateway, text),) = self.messages
        self.assertEqual((holder, "ask 1"), (gateway, text[:5]))
        self.assertFalse(self.actions.sent)
        not_the_holder = (holder + 1) % 60
        self.scheduler.peer_message_received(not_the_holder, text.replace("ask", "lent"))
        self.scheduler.peer_message_received(holder, "lent 1 another 2 1.000")
        self.end_batch()
        self.assertFalse(self.actions.sent)
        self.scheduler.peer_message_received(holder, text.replace("ask", "lent"))
        self.end_batch()
        self.assertEqual([(1, 0)], list(self.actions.sent))

    def lease_holder(self) -> int:
        """Returns the lease holder of shard 1 in a fleet of 60 gateways."""
        self.start(slow_start=RULE, gateways=60, may_send_messages=True)
        return self.scheduler.leases.holder(1)

    def test_a_grant_that_arrives_late_is_not_used(self) -> None:
        holder = self.lease_holder()
        self.start_gateway((holder + 1) % 60)
        self.receive(1, units=2.0)
        self.end_batch()
        self.actions.now += self.scheduler.leases.duration
        self.scheduler.peer_message_received(holder, self.messages[0][1].replace("ask", "lent"))
        self.end_batch()
        self.assertFalse(self.actions.sent)
        self.assertEqual(2, len(self.messages))  # requests a new lease

    def test_an_unused_lease_expires(self) -> None:
        holder = self.lease_holder()
        self.start_gateway((holder + 1) % 60)
        self.receive(1, units=2.0)
        self.end_batch()
        self.scheduler.client_left(1)
        self.scheduler.peer_message_received(holder, self.messages[0][1].replace("ask", "lent"))
        self.actions.now += self.scheduler.leases.duration
        self.receive(2, units=2.0)
        self.end_batch()
        self.assertEqual((2, []), (len(self.messages), list(self.actions.sent)))

    def test_the_lease_holder_grants_as_many_units_as_the_rule_allows(self) -> None:
        holder = self.lease_holder()
        self.start_gateway(holder)
        for n in range(20):
            self.scheduler.peer_message_received((holder + 1 + n) % 60, f"ask 1 {n} 2 0.0")
        self.assertEqual(4, len(self.messages))  # 8 of 9 units
        self.actions.now += 3.0 + self.scheduler.leases.duration + 0.001
        self.scheduler.peer_message_received((holder + 1) % 60, "ask 1 99 2 0.0")
        self.assertEqual(5, len(self.messages))

    def test_a_false_age_in_a_request_gets_no_more_than_the_age_in_the_holders_list_allows(self) -> None:
        holder = self.lease_holder()
        for listed, units_allowed in (({1: 9.0}, 11.9), ({}, 9.0)):
            with self.subTest(listed=listed):
                self.start_gateway(holder)
                self.list_backends(listed)
                self.messages.clear()
                self.scheduler.leases.log.by_shard.clear()
                for n in range(20):
                    self.scheduler.peer_message_received((holder + 1 + n) % 60, f"ask 1 {n} 2 12.9")
                self.assertEqual(int(units_allowed / 2), len(self.messages))

    def test_a_restarted_holder_grants_nothing_while_grants_of_its_earlier_run_may_count(self) -> None:
        holder = self.lease_holder()
        self.start_gateway(holder)
        self.scheduler.leases.started_at = self.actions.now - 3.0
        self.scheduler.peer_message_received((holder + 1) % 60, "ask 1 1 2 1.5")
        self.assertFalse(self.messages)

    def test_in_a_small_fleet_gateways_have_equal_shares_and_send_no_messages(self) -> None:
        self.start_gateway(gateways=1)
        self.actions.now += 3.0
        self.receive(1, units=2.0)
        self.end_batch()
        self.assertEqual(([], [(1, 0)]), (self.messages, list(self.actions.sent)))

    @given(
        st.text(max_size=60)
        | st.lists(
            st.sampled_from(
                ["ask", "lent", "1", "-1", "nan", "inf", "1e400", "2", "0", "-3", "9" * 30, "1.5", "x/y"]
            ),
            max_size=7,
        ).map(" ".join)
    )
    def test_arbitrary_messages_do_not_lead_to_errors_or_excess_grants(self, text: str) -> None:
        self.start_gateway(self.lease_holder())
        self.scheduler.peer_message_received(5, text)
        self.scheduler.batch_ended()
        self.assertLessEqual(
            sum(units for log in self.scheduler.leases.log.by_shard.values() for _, units in log),
            9.0 * max(1, len(self.scheduler.leases.log.by_shard)) / 0.19,
        )
        self.scheduler.leases.log.by_shard.clear()


class PeerMessagesTest(unittest.TestCase):
    def test_messages_from_outside_the_fleet_are_dropped_and_the_send_rate_is_limited(self) -> None:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        network = Network(loop, 5, NetworkConditions())
        addresses = tuple((f"head{n}", 7946) for n in range(3))
        received: list[tuple[int, str]] = []
        gateways = [
            PeerMessages(
                VirtualTransport(network, Disk(), f"head {n}"),
                addresses[n],
                addresses,
                n,
                lambda origin, text: received.append((origin, text)),
            )
            for n in range(3)
        ]
        for gateway in gateways:
            gateway.start()
        gateways[0].send(1, "ask 1 2 3 4")
        stranger = VirtualTransport(network, Disk(), "x").datagrams("x", 1, lambda data, source: None)
        fleet = gateways[0].fleet
        for sender, sender_fleet in ((0, fleet), (2, fleet), (0, fleet + 1)):
            stranger.send(
                addresses[1],
                encode(
                    GossipMessage(MessageKind.SCHEDULER_MESSAGE, sender, 0, 0, 0, (), text="no"), sender_fleet
                ),
            )
        stranger.send(addresses[1], b"\x93\x01")
        loop.run_until_complete(asyncio.sleep(1.0))
        self.assertEqual([(0, "ask 1 2 3 4")], received)
        self.assertEqual(
            {"heard": 1, "from no peer": 2, "another fleet": 1, "malformed": 1}, dict(gateways[1].counts)
        )
        for _ in range(3 * MAX_MESSAGES_PER_SECOND):
            gateways[0].send(1, "ask")
        gateways[0].send(3, "ask")
        gateways[0].send(1, "a" * 300)
        self.assertEqual(
            (MAX_MESSAGES_PER_SECOND, 2 * MAX_MESSAGES_PER_SECOND + 2),
            (gateways[0].counts["sent"] - 1, gateways[0].counts["not carried"]),
        )

    def test_the_simulator_adapter_passes_peer_messages_in_both_directions(self) -> None:
        instances = Instances()
        settings = SchedulerSettings(**{**SCHEDULER_SETTINGS, "slow_start": RULE, "gateways": 60})
        setup = json.loads(json.dumps(simulator_setup(settings)))
        setup["permissions"]["peerMessages"] = True
        setup["index"] = holder = int.from_bytes(blake2b(b"1", digest_size=8).digest()) % 60
        line = {"wall": 100.0, "heads": [{"i": "h", "happened": [{"verb": "up", "setup": setup, "salt": 7}]}]}
        instances.handle_line(json.dumps(line))
        events = [{"verb": "peer", "originPeer": (holder + 1) % 60, "raw": "ask 1 4/100.5 2 1.5"}]
        reply = instances.handle_line(json.dumps({"wall": 200.0, "heads": [{"i": "h", "happened": events}]}))
        self.assertIn(
            {"verb": "notify", "addressee": (holder + 1) % 60, "raw": "lent 1 4/100.5 2 1.5"},
            reply["heads"][0]["output"],
        )


class PeerPortTest(GatewayTest):
    def test_a_running_gateway_answers_lease_requests_on_its_peer_port(self) -> None:
        holder = int.from_bytes(blake2b(b"1", digest_size=8).digest()) % 60
        peers = [f"head{n}:7946" for n in range(60)]
        settings = {
            **SETTINGS,
            "balancers": 60,
            "index": holder,
            "permissions": {**SETTINGS["permissions"], "peerMessages": True},
        }
        received: list[tuple[int, str]] = []
        gateway = self.start(settings=settings, peers=peers, peer_listen=peers[holder])
        requester = PeerMessages(
            self.process("other"),
            ("head0" if holder else "head1", 7946),
            gateway.configuration.peers,
            0 if holder else 1,
            lambda origin, text: received.append((origin, text)),
        )
        requester.start()

        async def work() -> None:
            await self.wait(5.0)
            requester.send(holder, "ask 1 7/1.5 2 0.5")
            await self.wait(0.5)

        self.run_scenario(work)
        self.assertEqual([(holder, "lent 1 7/1.5 2 0.5")], received)


class ConfigurationTest(unittest.TestCase):
    def read(self, permitted: bool = True, index: Any = 0, **changed: Any) -> Configuration:
        settings = {
            **SETTINGS,
            "index": index,
            "permissions": {**SETTINGS["permissions"], "peerMessages": permitted},
        }
        return read_configuration(json.dumps(make_config(settings=settings, **changed)).encode(), "the/place")

    def test_messages_are_enabled_only_if_permitted_and_with_addresses(self) -> None:
        addresses = {"peer_listen": "127.0.0.1:7946", "peers": ["127.0.0.1:7946"]}
        self.assertTrue(self.read(**addresses).scheduler_settings.may_send_messages)
        self.assertEqual((("127.0.0.1", 7946),), self.read(**addresses).peers)
        self.assertFalse(self.read(False, **addresses).scheduler_settings.may_send_messages)
        self.assertFalse(self.read().scheduler_settings.may_send_messages)

    def test_an_invalid_list_of_peers_is_reported_with_its_field(self) -> None:
        for index, peers, expected in (
            (0, ["a:1", "b:2"], "2 different addresses for 1 gateways"),
            (0, ["x"], "peers.0"),
            (0, "a:1", "peers"),
            (1, ["a:1"], "settings.index"),
            ("0", ["a:1"], "index"),
        ):
            with (
                self.subTest(peers=peers, index=index),
                self.assertRaises(UnusableConfigurationError) as caught,
            ):
                self.read(index=index, peers=peers, peer_listen="a:1")
            self.assertIn(expected, str(caught.exception))
