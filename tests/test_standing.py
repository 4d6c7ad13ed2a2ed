"""Tests of a running HTTP gateway against the operators' standing test.

They cover silent watches, indented lists, outages of discovery, requests after SIGTERM, and the calls for
lists when all gateways restart at once.
"""

import itertools
import unittest
from collections import Counter
from itertools import product
from typing import Any

from gorsethread.scheduling.model import SchedulerSettings, SlowStartRule
from gorsethread.scheduling.scheduler import Scheduler
from tests.harness import SCHEDULER_SETTINGS, RecordingActions
from tests.live import SETTINGS, FakeClient, GatewayTest, instance, request_bytes

STOP_SENDING_SECONDS = SETTINGS["contract"]["stopSendingWithin"] + 0.05
NOTICE_SECONDS = 6.0  # after a watch falls silent, until the changes that it misses count as told
MAX_TIMEOUT = 2.0  # longest timeout of a client, in seconds; the gateway is killed 0.7 s later
NO_ANSWER, HALF_ANSWER, OPEN_CALL = "no byte on a new call", "half an answer", "a call that waits"
READY_SECONDS = 0.1  # after a start; if lists are pushed, it serves once its agent has answered
MAX_TRANSIT_SECONDS = 0.01  # from a gateway to a backend


def settings(gateways: int, pushed: bool) -> dict[str, Any]:
    """Returns the settings of a fleet.

    pushed: the list is pushed to the machine's agent, and the settings name no time for polling.
    """
    result = {**SETTINGS, "balancers": gateways}
    if pushed:
        contract = {k: v for k, v in SETTINGS["contract"].items() if k != "askWithin"}
        result |= {"membershipMode": "push", "contract": contract}
    return result


class LoadTest(GatewayTest):
    async def load(self, until: float) -> None:
        """Sends a small request for backend 0 every 0.1 s, each on a connection of its own."""
        while self.client_process.now() < until:
            client = await FakeClient(self.client_process).connect()
            client.stream.write(request_bytes(f"{next(self.ids):x}", timeout_ms=300))
            await self.wait(0.1)
            self.clients.append(client)

    def record_arrivals(self) -> None:
        """Records when each request arrived at backend 0."""
        self.arrived_at: list[float] = []
        self.clients: list[FakeClient] = []
        self.ids = itertools.count(0x5001)  # new with every request, also of a later load()
        backend, respond = self.backends[0], self.backends[0].respond

        def recording_respond(request: Any) -> list[bytes] | None:
            self.arrived_at.append(self.client_process.now() - backend.delay)
            return respond(request)

        backend.respond = recording_respond


class Watches(LoadTest):
    def drain_delay(self, how: str, gateways: int, pushed: bool, at: float) -> float:
        """Returns the seconds from the silence until the last request to the backend whose drain is missed.

        how: what discovery still sends. at: when the watch falls silent, in seconds after the start.
        """
        self.setUp()

        async def work() -> float:
            self.record_arrivals()
            self.start(settings=settings(gateways, pushed))
            await self.wait(READY_SECONDS)
            await self.load(self.client_process.now() + at)
            self.discovery.fall_silent(how == HALF_ANSWER, further_connections=how == NO_ANSWER)
            if how == NO_ANSWER:
                # The gateway connects again and receives no byte.
                self.gateway.discovery.move_to(self.gateway.discovery.address)
            silent_since = self.client_process.now()
            self.discovery.publish(instance(0, "draining"))
            await self.load(silent_since + NOTICE_SECONDS + 4.0)
            return max(self.arrived_at) - silent_since

        last = 0.0

        async def run() -> None:
            nonlocal last
            last = await work()

        self.run_scenario(run)
        return last

    def test_a_change_that_a_silent_watch_misses_is_known_when_it_counts_as_told(self) -> None:
        for how, gateways, pushed, at in product(
            (NO_ANSWER, HALF_ANSWER, OPEN_CALL), (1, 200), (False, True), (3.1, 4.4)
        ):
            with self.subTest(how=how, gateways=gateways, pushed=pushed, at=at):
                last = self.drain_delay(how, gateways, pushed, at)
                self.assertGreater(last, 0.0, "nothing was sent, so this proves nothing")
                self.assertLess(last, NOTICE_SECONDS + STOP_SENDING_SECONDS)

    def test_old_refusals_do_not_lengthen_a_later_pause(self) -> None:
        """A new watch resets the count of failures even if it brings no change."""

        async def work() -> None:
            self.record_arrivals()
            gateway = self.start(settings=settings(200, False))
            await self.wait(2.5)
            self.discovery.unavailable = True
            await self.wait(14.0)
            self.assertGreater(gateway.driver.scheduler.polling.failures, 2)
            self.discovery.unavailable = False
            await self.wait(14.0)
            self.assertEqual(0, gateway.driver.scheduler.polling.failures)
            self.discovery.fall_silent()
            silent_since = self.client_process.now()
            self.discovery.publish(instance(0, "draining"))
            await self.load(silent_since + NOTICE_SECONDS + 4.0)
            self.assertTrue(0.0 < max(self.arrived_at) - silent_since < NOTICE_SECONDS + STOP_SENDING_SECONDS)

        self.run_scenario(work)

    def test_an_indented_list_is_read(self) -> None:
        async def work() -> None:
            self.discovery.indent = 4
            gateway = self.start()
            self.discovery.publish(instance(0, "draining"))
            await self.wait(1.0)
            self.assertEqual(2, gateway.discovery.version)

        self.run_scenario(work)

    def test_a_change_that_the_agent_has_after_an_outage_is_used_at_once(self) -> None:
        """Pushed lists count as told when discovery returns, so a gateway without a watch must ask soon."""

        async def work() -> None:
            self.record_arrivals()
            self.start(settings=settings(200, True))
            await self.wait(READY_SECONDS)
            await self.load(self.client_process.now() + 1.0)
            self.discovery.unavailable = True
            await self.load(self.client_process.now() + 8.0)
            self.discovery.publish(instance(0, "draining"))
            self.discovery.unavailable = False
            restored_at = self.client_process.now()
            await self.load(restored_at + 4.0)
            self.assertTrue(
                0.0 < max(self.arrived_at) - restored_at < STOP_SENDING_SECONDS,
                max(self.arrived_at) - restored_at,
            )

        self.run_scenario(work)

    def test_a_pushed_list_is_watched_from_the_start(self) -> None:
        async def work() -> None:
            self.discovery.publish(instance(0, "draining"))
            gateway = self.start(settings=settings(200, True))
            await self.wait(0.1)
            self.assertEqual(2, gateway.discovery.version)

        self.run_scenario(work)


class GracefulShutdown(LoadTest):
    def test_open_connections_are_served_until_the_gateway_is_killed(self) -> None:
        async def work() -> None:
            self.start()
            self.backends[0].delay = 0.05
            clients = [await FakeClient(self.client_process).connect() for _ in range(8)]
            sent_at: dict[FakeClient, list[float]] = {c: [] for c in clients}
            for n, c in enumerate(clients):
                c.stream.write(request_bytes(f"{n + 1:x}", shard=n % 2))
                sent_at[c].append(self.client_process.now())
            await self.wait(0.3)
            self.transport.terminate()
            terminated_at = self.client_process.now()
            shutdown = self.loop.create_task(self.gateway.end())
            number = 0x100
            while self.client_process.now() < terminated_at + MAX_TIMEOUT + 0.7:
                for c in clients:
                    # One request at a time on each connection, as clients do, with each of their timeouts.
                    if not c.ended_at and c.received.count(b"HTTP/1.1 ") == len(sent_at[c]):
                        number += 1
                        timeout_ms = (200, 700, 2000)[number % 3]
                        c.stream.write(request_bytes(f"{number:x}", shard=number % 2, timeout_ms=timeout_ms))
                        sent_at[c].append(self.client_process.now())
                await self.wait(0.02)
            self.assertTrue(shutdown.done(), "it ends before it is killed")
            for c in clients:
                answers = c.received.count(b"HTTP/1.1 ")
                crossed = len(sent_at[c]) - answers
                # A request in transit when its connection closed was not read; clients send it again.
                self.assertTrue(
                    crossed == 0 or crossed == 1 and c.ended_at - sent_at[c][-1] <= 2 * MAX_TRANSIT_SECONDS,
                    (len(sent_at[c]), answers, c.ended_at - sent_at[c][-1]),
                )
                self.assertGreater(answers, 10, "it went on serving")
                self.assertGreater(
                    max(sent_at[c]) - terminated_at, 1.5, "it served until shortly before the kill"
                )

        self.run_scenario(work)


class CallsForLists(unittest.TestCase):
    """When each of many gateways polls for the list: the scheduler's decisions, without a network."""

    def poll_times(self, gateways: int, refused: int) -> list[float]:
        """Returns when each gateway polls, in seconds after all start and fail the given number of polls."""
        times = []
        for n in range(gateways):
            actions = RecordingActions()
            scheduler_settings = SchedulerSettings(
                **{
                    **SCHEDULER_SETTINGS,
                    "gateways": gateways,
                    "polls_endpoints": True,
                    "poll_within": 10.0,
                    "slow_start": SlowStartRule(8.0, 2.0, 10.0, 0.25),
                }
            )
            scheduler = Scheduler(actions, scheduler_settings, 77 + n)
            for _ in range(refused):
                scheduler.endpoint_poll_failed()
            scheduler.batch_ended()
            while len(actions.trace) == 1:
                wake = min(actions.timers)
                actions.timers.remove(wake)
                actions.now = max(actions.now, wake[0])
                scheduler.timer_fired(wake[1])
                scheduler.batch_ended()
            times.append(actions.now - 100.0)
        return times

    def test_gateways_that_start_or_are_refused_together_spread_their_polls(self) -> None:
        for refused in range(6):
            with self.subTest(refused=refused):
                times = self.poll_times(200, refused)
                tenths = Counter(int(t * 10) for t in times)
                self.assertLess(max(tenths.values()), 0.2 * 200, "of the gateways within 0.1 s")
                self.assertLessEqual(max(times), 10.0, "the list must not be older")

    def test_a_single_gateway_polls_at_once(self) -> None:
        self.assertEqual([0.0], self.poll_times(1, 0))
        self.assertLessEqual(self.poll_times(1, 1)[0], 0.5)
