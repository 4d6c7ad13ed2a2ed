"""What the standing test asks of a head beside the rules of before: silent watches, lists that come indented,
outages of discovery, what is sent after SIGTERM, and calls for lists of a whole fleet that comes back."""

import unittest
from collections import Counter
from itertools import product
from typing import Any

from gorsethread.scheduling.model import SchedulerSettings, SlowStartRule
from gorsethread.scheduling.scheduler import Scheduler
from tests.harness import SCHEDULER_SETTINGS, RecordingActions
from tests.live import SETTINGS, Caller, LiveRig, instance, wish

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


class Rig(LiveRig):
    async def load(self, until: float) -> None:
        """A small transaction for shelf 0 every tenth of a second, each on a connection of its own."""
        number = 0x5000
        while self.user.now() < until:
            number += 1
            caller = await Caller(self.user).dial()
            caller.stream.write(wish(f"{number:x}", patience=300))
            await self.wait(0.1)
            self.callers.append(caller)

    def watch_shelf(self) -> None:
        """Notes when each request came to shelf 0."""
        self.came: list[float] = []
        self.callers: list[Caller] = []
        shelf, honest = self.shelves[0], self.shelves[0].says

        def says(request: Any) -> list[bytes] | None:
            self.came.append(self.user.now() - shelf.delay)
            return honest(request)

        shelf.says = says


class Watches(Rig):
    def silence(self, how: str, heads: int, pushed: bool, at: float) -> float:
        """Seconds from the silence until the last request came to the shelf whose drain it hides."""
        self.setUp()

        async def work() -> float:
            self.watch_shelf()
            self.start(settings=settings(heads, pushed))
            await self.wait(READY_IN)
            await self.load(self.user.now() + at)
            self.list.silence(how == HALF, more=how == MUTE)
            if how == MUTE:
                self.head.discovery.moved(self.head.discovery.address)  # calls, and hears not a byte
            began = self.user.now()
            self.list.tell(instance(0, "draining"))
            await self.load(began + TOLD_AFTER + 4.0)
            return max(self.came) - began

        last = 0.0

        async def played() -> None:
            nonlocal last
            last = await work()

        self.play(played)
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
            self.list.down = True
            await self.wait(14.0)
            self.assertGreater(head.driver.scheduler.polling.failures, 2)
            self.list.down = False
            await self.wait(14.0)
            self.assertEqual(0, head.driver.scheduler.polling.failures)
            self.list.silence()
            began = self.user.now()
            self.list.tell(instance(0, "draining"))
            await self.load(began + TOLD_AFTER + 4.0)
            self.assertTrue(0.0 < max(self.came) - began < TOLD_AFTER + GRACE)

        self.play(work)

    def test_lists_may_come_indented(self) -> None:
        async def work() -> None:
            self.list.indent = 4
            head = self.start()
            self.list.tell(instance(0, "draining"))
            await self.wait(1.0)
            self.assertEqual(2, head.discovery.version)

        self.play(work)

    def test_what_the_agent_holds_after_an_outage_is_used_at_once(self) -> None:
        """Pushed lists count as told at the return, so a head with no watch may not wait for long."""

        async def work() -> None:
            self.watch_shelf()
            self.start(settings=settings(200, True))
            await self.wait(READY_IN)
            await self.load(self.user.now() + 1.0)
            self.list.down = True
            await self.load(self.user.now() + 8.0)
            self.list.tell(instance(0, "draining"))
            self.list.down = False
            back = self.user.now()
            await self.load(back + 4.0)
            self.assertTrue(0.0 < max(self.came) - back < GRACE, max(self.came) - back)

        self.play(work)

    def test_a_pushed_list_is_watched_from_the_first_moment(self) -> None:
        async def work() -> None:
            self.list.tell(instance(0, "draining"))
            head = self.start(settings=settings(200, True))
            await self.wait(0.1)
            self.assertEqual(2, head.discovery.version)

        self.play(work)


class Ending(Rig):
    def test_every_open_connection_is_served_up_to_the_kill(self) -> None:
        async def work() -> None:
            self.start()
            self.shelves[0].delay = 0.05
            callers = [await Caller(self.user).dial() for _ in range(8)]
            owed: dict[Caller, list[float]] = {c: [] for c in callers}
            for n, c in enumerate(callers):
                c.stream.write(wish(f"{n + 1:x}", shard=n % 2))
                owed[c].append(self.user.now())
            await self.wait(0.3)
            self.transport.terminate()
            told = self.user.now()
            ending = self.loop.create_task(self.head.end())
            number = 0x100
            while self.user.now() < told + LONGEST + 0.7:
                for c in callers:
                    # One request at a time on each, as clients do, with each patience that they have.
                    if not c.ended_at and c.got.count(b"HTTP/1.1 ") == len(owed[c]):
                        number += 1
                        patience = (200, 700, 2000)[number % 3]
                        c.stream.write(wish(f"{number:x}", shard=number % 2, patience=patience))
                        owed[c].append(self.user.now())
                await self.wait(0.02)
            self.assertTrue(ending.done(), "it ends before it is killed")
            for c in callers:
                answers = c.got.count(b"HTTP/1.1 ")
                crossed = len(owed[c]) - answers
                # A request that crossed the end of its connection was not read: it is sent anew elsewhere.
                self.assertTrue(
                    crossed == 0 or crossed == 1 and c.ended_at - owed[c][-1] <= 2 * LATE_WAY,
                    (len(owed[c]), answers, c.ended_at - owed[c][-1]),
                )
                self.assertGreater(answers, 10, "it served on")
                self.assertGreater(max(owed[c]) - told, 1.5, "and not only at first")

        self.play(work)


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
