"""What the standing test asks of a head beside the rules of before: silent watches, lists that come indented,
outages of discovery, what is sent after SIGTERM, and calls for lists of a whole fleet that comes back."""

import unittest
from collections import Counter
from itertools import product
from typing import Any

from gorsethread.scheduling.model import SchedulerSettings, SlowStartRule
from gorsethread.scheduling.scheduler import Scheduler
from tests.harness import SCHEDULER_SETTINGS, RecordingActions
from tests.live import SETTINGS, FakeClient, GatewayTest, instance, request_bytes

GRACE = SETTINGS["contract"]["stopSendingWithin"] + 0.05
TOLD_AFTER = 6.0  # seconds from a watch's silence until what it misses counts as told
LONGEST = 2.0  # seconds a client waits at most; it is killed 0.7 s later
MUTE, HALF, HELD = "no byte on a new call", "half an answer", "a call that waits"
READY_IN = 0.1  # seconds from a process's start: where lists are pushed it serves once it has heard its agent
LATE_WAY = 0.01  # seconds from a head to a shelf


def settings(heads: int, pushed: bool) -> dict[str, Any]:
    """pushed: as where the list is pushed to the machine's agent, which names no time for asking."""
    told = {**SETTINGS, "balancers": heads}
    if pushed:
        contract = {k: v for k, v in SETTINGS["contract"].items() if k != "askWithin"}
        told |= {"membershipMode": "push", "contract": contract}
    return told


class Rig(GatewayTest):
    async def load(self, until: float) -> None:
        """A small transaction for shelf 0 every tenth of a second, each on a connection of its own."""
        number = 0x5000
        while self.client_process.now() < until:
            number += 1
            caller = await FakeClient(self.client_process).connect()
            caller.stream.write(request_bytes(f"{number:x}", timeout_ms=300))
            await self.wait(0.1)
            self.callers.append(caller)

    def watch_shelf(self) -> None:
        """Notes when each request came to shelf 0."""
        self.came: list[float] = []
        self.callers: list[FakeClient] = []
        shelf, honest = self.backends[0], self.backends[0].respond

        def says(request: Any) -> list[bytes] | None:
            self.came.append(self.client_process.now() - shelf.delay)
            return honest(request)

        shelf.respond = says


class Watches(Rig):
    def silence(self, how: str, heads: int, pushed: bool, at: float) -> float:
        """Seconds from the silence until the last request came to the shelf whose drain it hides."""
        self.setUp()

        async def work() -> float:
            self.watch_shelf()
            self.start(settings=settings(heads, pushed))
            await self.wait(READY_IN)
            await self.load(self.client_process.now() + at)
            self.discovery.fall_silent(how == HALF, further_connections=how == MUTE)
            if how == MUTE:
                self.gateway.discovery.move_to(self.gateway.discovery.address)  # calls, and hears not a byte
            began = self.client_process.now()
            self.discovery.publish(instance(0, "draining"))
            await self.load(began + TOLD_AFTER + 4.0)
            return max(self.came) - began

        last = 0.0

        async def played() -> None:
            nonlocal last
            last = await work()

        self.run_scenario(played)
        return last

    def test_what_a_silent_watch_misses_is_known_by_the_time_it_counts_as_told(self) -> None:
        for how, heads, pushed, at in product((MUTE, HALF, HELD), (1, 200), (False, True), (3.1, 4.4)):
            with self.subTest(how=how, heads=heads, pushed=pushed, at=at):
                last = self.silence(how, heads, pushed, at)
                self.assertGreater(last, 0.0, "nothing was sent: this shows nothing")
                self.assertLess(last, TOLD_AFTER + GRACE)

    def test_refusals_of_long_ago_lengthen_no_later_pause(self) -> None:
        """A watch that stands again and brings nothing new ends them, as one that brings news."""

        async def work() -> None:
            self.watch_shelf()
            head = self.start(settings=settings(200, False))
            await self.wait(2.5)
            self.discovery.unavailable = True
            await self.wait(14.0)
            self.assertGreater(head.driver.scheduler.polling.failures, 2)
            self.discovery.unavailable = False
            await self.wait(14.0)
            self.assertEqual(0, head.driver.scheduler.polling.failures)
            self.discovery.fall_silent()
            began = self.client_process.now()
            self.discovery.publish(instance(0, "draining"))
            await self.load(began + TOLD_AFTER + 4.0)
            self.assertTrue(0.0 < max(self.came) - began < TOLD_AFTER + GRACE)

        self.run_scenario(work)

    def test_lists_may_come_indented(self) -> None:
        async def work() -> None:
            self.discovery.indent = 4
            head = self.start()
            self.discovery.publish(instance(0, "draining"))
            await self.wait(1.0)
            self.assertEqual(2, head.discovery.version)

        self.run_scenario(work)

    def test_what_the_agent_holds_after_an_outage_is_used_at_once(self) -> None:
        """Pushed lists count as told at the return, so a head with no watch may not wait for long."""

        async def work() -> None:
            self.watch_shelf()
            self.start(settings=settings(200, True))
            await self.wait(READY_IN)
            await self.load(self.client_process.now() + 1.0)
            self.discovery.unavailable = True
            await self.load(self.client_process.now() + 8.0)
            self.discovery.publish(instance(0, "draining"))
            self.discovery.unavailable = False
            back = self.client_process.now()
            await self.load(back + 4.0)
            self.assertTrue(0.0 < max(self.came) - back < GRACE, max(self.came) - back)

        self.run_scenario(work)

    def test_a_pushed_list_is_watched_from_the_first_moment(self) -> None:
        async def work() -> None:
            self.discovery.publish(instance(0, "draining"))
            head = self.start(settings=settings(200, True))
            await self.wait(0.1)
            self.assertEqual(2, head.discovery.version)

        self.run_scenario(work)


class Ending(Rig):
    def test_every_open_connection_is_served_up_to_the_kill(self) -> None:
        async def work() -> None:
            self.start()
            self.backends[0].delay = 0.05
            callers = [await FakeClient(self.client_process).connect() for _ in range(8)]
            owed: dict[FakeClient, list[float]] = {c: [] for c in callers}
            for n, c in enumerate(callers):
                c.stream.write(request_bytes(f"{n + 1:x}", shard=n % 2))
                owed[c].append(self.client_process.now())
            await self.wait(0.3)
            self.transport.terminate()
            told = self.client_process.now()
            ending = self.loop.create_task(self.gateway.end())
            number = 0x100
            while self.client_process.now() < told + LONGEST + 0.7:
                for c in callers:
                    # One request at a time on each, as clients do, with each patience that they have.
                    if not c.ended_at and c.received.count(b"HTTP/1.1 ") == len(owed[c]):
                        number += 1
                        patience = (200, 700, 2000)[number % 3]
                        c.stream.write(request_bytes(f"{number:x}", shard=number % 2, timeout_ms=patience))
                        owed[c].append(self.client_process.now())
                await self.wait(0.02)
            self.assertTrue(ending.done(), "it ends before it is killed")
            for c in callers:
                answers = c.received.count(b"HTTP/1.1 ")
                crossed = len(owed[c]) - answers
                # A request that crossed the end of its connection was not read: it is sent anew elsewhere.
                self.assertTrue(
                    crossed == 0 or crossed == 1 and c.ended_at - owed[c][-1] <= 2 * LATE_WAY,
                    (len(owed[c]), answers, c.ended_at - owed[c][-1]),
                )
                self.assertGreater(answers, 10, "it served on")
                self.assertGreater(max(owed[c]) - told, 1.5, "and not only at first")

        self.run_scenario(work)


class CallsForLists(unittest.TestCase):
    """The decisions of many heads, no network: when each asks."""

    def calls(self, heads: int, refused: int) -> list[float]:
        """Seconds from the moment in which all start, or are refused for the given time in turn."""
        asked = []
        for n in range(heads):
            host = RecordingActions()
            facts = SchedulerSettings(
                **{
                    **SCHEDULER_SETTINGS,
                    "gateways": heads,
                    "polls_endpoints": True,
                    "poll_within": 10.0,
                    "slow_start": SlowStartRule(8.0, 2.0, 10.0, 0.25),
                }
            )
            scheduler = Scheduler(host, facts, 77 + n)
            for _ in range(refused):
                scheduler.endpoint_poll_failed()
            scheduler.batch_ended()
            while len(host.trace) == 1:
                wake = min(host.timers)
                host.timers.remove(wake)
                host.now = max(host.now, wake[0])
                scheduler.timer_fired(wake[1])
                scheduler.batch_ended()
            asked.append(host.now - 100.0)
        return asked

    def test_a_fleet_that_starts_or_is_refused_at_once_does_not_ask_at_once(self) -> None:
        for refused in range(6):
            with self.subTest(refused=refused):
                asked = self.calls(200, refused)
                tenths = Counter(int(t * 10) for t in asked)
                self.assertLess(max(tenths.values()), 0.2 * 200, "of the heads within a tenth of a second")
                self.assertLessEqual(max(asked), 10.0, "a list may be no older")

    def test_a_head_alone_asks_at_once(self) -> None:
        self.assertEqual([0.0], self.calls(1, 0))
        self.assertLessEqual(self.calls(1, 1)[0], 0.5)
