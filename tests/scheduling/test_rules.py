"""Each rule kept by one head alone. Without its guard, each of these traces changes."""

from gorsethread.scheduling.model import (
    AttemptOutcome,
    Effect,
    IdempotencyScope,
    RequestClass,
    RetryBudget,
    ServiceTier,
    SlowStartRule,
)
from tests.harness import PLAIN, SLOW, Scene

ONCE = RequestClass(0.3, Effect.NON_IDEMPOTENT, IdempotencyScope.ALL, 5.0, True, 1.0)
MARKED = RequestClass(0.3, Effect.KEYED, IdempotencyScope.SHARD, 1.0, False, 1.0)


class Rules(Scene):
    def test_one_final_answer(self) -> None:
        """No shelf holds the shard: answered before the cut-off. A forward lost: answered at the cut-off."""
        self.start()
        self.take(1, shard=9)
        self.take(2, within=0.5)
        self.end()
        self.until(0.5)
        self.answer(2, AttemptOutcome.TIMED_OUT)
        self.end()
        self.until(3.0)
        self.kept("one_final_answer")

    def test_cut_off_before_promise(self) -> None:
        """A client that leaves before the promised time is up is answered by its cut-off too."""
        self.start()
        self.take(1, shard=9, within=0.1)
        self.end()
        self.until(0.5)
        self.kept("cut_off_before_promise")

    def test_effects(self) -> None:
        """An error may have run: an irreversible transaction ends, a labelled one stays with its shard."""
        self.start(3, request_classes=(PLAIN, ONCE, MARKED))
        self.take(1, profile=0)
        self.take(2, profile=1)
        self.take(3, profile=2, shard=-1)
        self.take(4, profile=1)
        self.end()
        self.answer(4, AttemptOutcome.UNREACHABLE)
        for id in (1, 2, 3):
            self.answer(id, AttemptOutcome.ERROR)
        self.scheduler.shards.backends[3].first_attempt_at = 100.9
        self.end()
        self.until(1.0)
        self.answer(3, AttemptOutcome.ERROR, 1)
        self.until(2.5)
        self.kept("effects")

    def test_a_keyed_request_is_sent_again_up_to_the_end_of_its_window_and_not_at_it(self) -> None:
        for at, again in ((MARKED.idempotency_window - 0.001, True), (MARKED.idempotency_window, False)):
            with self.subTest(at=at):
                self.start(request_classes=(MARKED,))
                self.take(1)
                self.end()
                self.host.now = 100.0 + at
                self.answer(1, AttemptOutcome.CONNECTION_LOST)
                self.end()
                self.assertEqual(again, (1, 1) in self.host.sent)

    def test_a_window_that_ends_while_its_connection_comes_up_is_over(self) -> None:
        self.start(request_classes=(MARKED, ONCE))
        self.take(1)
        self.take(2, profile=1, volume="b")
        self.end()
        self.assertTrue(self.scheduler.may_begin_attempt(2, 1, 100.0, 101.5), "a first attempt has no window")
        self.host.now = 100.5
        self.answer(1, AttemptOutcome.CONNECTION_LOST)
        self.end()
        self.assertTrue(self.scheduler.may_begin_attempt(1, 1, 100.5, 100.999))
        self.assertFalse(self.scheduler.may_begin_attempt(1, 1, 100.5, 101.0))

    def test_in_slow_start_an_attempt_older_than_a_lease_holds_does_not_begin(self) -> None:
        self.start()
        self.take(1)
        self.end()
        late = 100.0 + self.scheduler.leases.duration + 0.01
        self.assertTrue(self.scheduler.may_begin_attempt(1, 1, 100.0, late), "a warm backend")
        self.scheduler.shards.backends[1].started_at = 99.0
        self.assertTrue(self.scheduler.may_begin_attempt(1, 1, 100.0, late - 0.02))
        self.assertFalse(self.scheduler.may_begin_attempt(1, 1, 100.0, late))

    def test_drain(self) -> None:
        """A shelf told to drain, then gone, then replaced by another that holds the same shard."""
        self.start(2)
        self.shelves({1: 0.0}, ready=False, whole=False)
        self.take(1, shard=1)
        self.take(2, shard=2)
        self.end()
        self.until(0.8)
        self.take(4, shard=1)  # past its part of the grace: waits for another shelf
        self.end()
        self.scheduler.endpoint_list_begins(True, False)
        self.scheduler.endpoint_listed(7, 0, 1, True, 0.0)
        self.scheduler.endpoint_list_ended()
        self.take(3, shard=2)
        self.end()
        self.kept("drain")

    def test_a_drains_grace_covers_a_process_held_up_before_it_hears_and_as_it_sends(self) -> None:
        held_up, slack = 0.15, 0.05
        for grace in (0.0, 0.1, 0.25, 0.5, 1.0, 3.0):
            with self.subTest(grace=grace):
                self.start(drain_grace=grace)
                told_at = self.host.now
                self.host.now += held_up
                self.shelves({1: 0.0}, ready=False, whole=False)
                last = told_at
                for id in range(1, 200):
                    self.take(id)
                    self.end()
                    if (id, 0) in self.host.sent:
                        last = self.host.now
                        self.answer(id, AttemptOutcome.SUCCEEDED)
                    self.host.now += 0.02
                self.assertLessEqual(last + held_up, told_at + max(grace, 2 * held_up) + slack)

    def test_cold_shelf(self) -> None:
        """Half of the always-safe units each span for one of two heads, more as the shelf warms."""
        self.start(1, gateways=2, request_classes=(SLOW,))
        self.until(5.0)
        self.shelves({1: 4.5})
        for id in range(12):
            self.take(id, within=20.0)
            self.end()
        self.until(6.5)
        for id, _ in list(self.host.sent):
            self.answer(id)
        self.end()
        self.until(8.4)
        self.kept("cold_shelf")

    def test_cold_shelf_after_own_start(self) -> None:
        """An earlier life of this head may have spent its part: nothing for one span."""
        self.start(1, request_classes=(SLOW,))
        self.shelves({1: -0.5})
        self.take(1, within=20.0)
        self.end()
        self.until(2.1)
        self.kept("cold_shelf_after_own_start")

    def test_gone_without_a_drain(self) -> None:
        """A forward that can't be sent there tells that it is gone: what waits for its shard waits on."""
        self.start()
        self.shelves({1: 0.0}, ready=False, whole=False)
        self.take(1)
        self.end()
        self.answer(1, AttemptOutcome.NOT_SENT)
        self.end()
        self.until(0.1)
        self.shelves({7: 0.0}, whole=False)
        self.scheduler.endpoint_list_begins(False, False)
        self.scheduler.endpoint_listed(7, 0, 1, True, 0.0)
        self.scheduler.endpoint_list_ended()
        self.end()
        self.kept("gone_without_a_drain")

    def test_lost_answer(self) -> None:
        """An answer that never comes holds its shelf back neither while later ones come nor at its end."""
        self.start()
        self.take(1)
        self.end()
        self.until(0.05)
        self.take(2)
        self.end()
        self.answer(2)  # what was sent later was answered; 1 never is
        self.end()
        self.until(0.4)
        for id in (3, 4):
            self.take(id)
        self.end()
        for id in (3, 4):
            self.answer(id)
        self.until(1.9)
        self.answer(1, AttemptOutcome.TIMED_OUT)
        self.health()
        for id in (5, 6):
            self.take(id)
        self.end()
        self.kept("lost_answer")

    def test_silent_shelf(self) -> None:
        """One more forward after each pause while nothing is answered; time-outs are no times it takes."""
        self.start()
        for at in (0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8):
            self.until(at)
            self.take(int(at * 10), within=9.0)
            self.end()
        self.until(2.0)
        self.answer(0, AttemptOutcome.TIMED_OUT)
        self.health()
        self.kept("silent_shelf")

    def test_health(self) -> None:
        """The lowest rate; what is called off or not sent says nothing; which misses ask for a rest."""
        self.start(request_classes=(PLAIN, SLOW))
        self.take(9)
        self.end()
        self.until(0.01)
        self.answer(9)
        for id in range(9):
            self.take(id, volume=f"v{id}", profile=1, within=20.0)
            self.end()
            self.until(1.0 + id)
            self.answer(id)
            self.health()
            self.end()
        self.health()
        for id, how in enumerate(
            (
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.CANCELLED,
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.NOT_SENT,
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.CONNECTION_LOST,
                AttemptOutcome.UNREACHABLE,
            ),
            20,
        ):
            self.until(12.0 + 3.0 * id)
            self.take(id, volume=f"v{id}", profile=1, within=20.0)
            self.end()
            self.answer(id, how, finished=True)
            self.health()
        self.kept("health")

    def test_shelf_with_a_line(self) -> None:
        """An answer that waited a little, in good time: one slot, until answers come at once."""
        self.start(request_classes=(SLOW,), gateways=4)
        self.take(1, within=30.0)
        self.end()
        self.until(0.1)
        self.answer(1)
        self.take(2, within=30.0)
        self.end()
        self.until(0.3 + 9.0 * 0.1 + 0.1)
        self.answer(2)
        for id in (3, 4):
            self.take(id, within=30.0)
        self.end()
        self.health()
        self.until(1.4)
        self.answer(3)
        self.end()
        self.kept("shelf_with_a_line")

    def test_a_cut_of_long_ago_sheds_nothing_that_comes_alone(self) -> None:
        """Slow for a while, then asked for nothing: its usual time is over the promise, so each one that came
        would be over it at once, and no answer would ever show that it is well again."""
        self.start()
        for id, after in ((10, 0.05), (11, 3.5)):
            self.take(id, within=5.0)
            self.end()
            self.until(after)
            self.answer(id)
        self.health()
        for id, at in ((2, 4.0), (3, 10.0), (4, 11.0)):
            self.until(at)
            self.take(id)
            self.end()
            if (id, 0) in self.host.sent:
                self.until(at + 0.05)
                self.answer(id)
                self.end()
        self.health()
        self.kept("slow_long_ago")

    def test_shelf_that_is_hardly_cold(self) -> None:
        """It lacks a tenth of its speed for a second: the wait and the first rate are in that measure."""
        self.start(slow_start=SlowStartRule(80.0, 3.0, 1.0, 0.9))
        self.until(5.0)
        self.shelves({1: 5.0})
        self.take(1)
        self.end()
        self.until(5.2)
        self.health()
        self.kept("hardly_cold")

    def test_key_turns(self) -> None:
        """One at a time by key; after a time-out the key rests."""
        self.start(request_classes=(ONCE,), key_cool_down=0.5)
        for id in (1, 2, 3):
            self.take(id, key="k", within=3.0)
        self.take(4, key="other")
        self.end()
        self.answer(1)
        self.end()
        self.until(0.1)
        self.answer(2, AttemptOutcome.TIMED_OUT)
        self.answer(4)
        self.end()
        self.until(0.7)
        self.kept("key_turns")

    def test_budget(self) -> None:
        """One further forward free and a quarter of what was taken: two of four."""
        self.start(4, retry_budget=RetryBudget(1.0, 0.25, 10.0))
        for id in (1, 2, 3, 4):
            self.take(id, shard=id)
        self.end()
        for id in (1, 2, 3, 4):
            self.answer(id, AttemptOutcome.ERROR)
        self.end()
        self.kept("budget")

    def test_limit(self) -> None:
        """Half of 8 units a second and of 32 at once for one of two heads; empty at the start."""
        self.start(request_classes=(SLOW,), service_tiers=(ServiceTier(0.0, 1.0, 8.0, 32.0, 4.0),))
        self.until(1.0)
        for id in range(4):
            self.take(id, units=4, heads=2, within=5.0)
        self.end()
        self.until(2.6)
        self.kept("limit")

    def test_list_asked_for(self) -> None:
        """Refused calls are asked again after growing waits."""
        self.start(polls_endpoints=True)
        for at in (1.0, 3.0, 7.0):
            self.scheduler.endpoint_poll_failed()
            self.end()
            self.until(at)
        self.kept("list_asked_for")
