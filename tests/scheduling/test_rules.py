"""Tests each rule of one scheduler by a trace of its actions; without the rule, the trace is different."""

from gorsethread.scheduling.model import (
    AttemptOutcome,
    Effect,
    IdempotencyScope,
    RequestClass,
    RetryBudget,
    ServiceTier,
    SlowStartRule,
)
from tests.harness import PLAIN, SLOW, SchedulerTestCase

NON_IDEMPOTENT = RequestClass(0.3, Effect.NON_IDEMPOTENT, IdempotencyScope.ALL, 5.0, True, 1.0)
KEYED = RequestClass(0.3, Effect.KEYED, IdempotencyScope.SHARD, 1.0, False, 1.0)


class RulesTest(SchedulerTestCase):
    def test_each_request_gets_one_final_answer(self) -> None:
        """Before the deadline if no backend serves the shard; at the deadline if the attempt is lost."""
        self.start()
        self.receive(1, shard=9)
        self.receive(2, timeout=0.5)
        self.end_batch()
        self.run_until(0.5)
        self.end_attempt(2, AttemptOutcome.TIMED_OUT)
        self.end_batch()
        self.run_until(3.0)
        self.assert_trace("one_final_answer")

    def test_a_request_whose_deadline_is_before_its_objective_is_answered_by_its_deadline(self) -> None:
        self.start()
        self.receive(1, shard=9, timeout=0.1)
        self.end_batch()
        self.run_until(0.5)
        self.assert_trace("deadline_before_objective")

    def test_a_retry_depends_on_the_effect_of_the_request(self) -> None:
        """After an error it may have run: a non-idempotent request fails, a keyed one stays on its shard."""
        self.start(3, request_classes=(PLAIN, NON_IDEMPOTENT, KEYED))
        self.receive(1, request_class=0)
        self.receive(2, request_class=1)
        self.receive(3, request_class=2, shard=-1)
        self.receive(4, request_class=1)
        self.end_batch()
        self.end_attempt(4, AttemptOutcome.UNREACHABLE)
        for id in (1, 2, 3):
            self.end_attempt(id, AttemptOutcome.ERROR)
        self.scheduler.shards.backends[3].first_attempt_at = 100.9
        self.end_batch()
        self.run_until(1.0)
        self.end_attempt(3, AttemptOutcome.ERROR, 1)
        self.run_until(2.5)
        self.assert_trace("effects")

    def test_a_keyed_request_is_retried_before_the_end_of_its_idempotency_window_and_not_at_it(self) -> None:
        for at, retried in ((KEYED.idempotency_window - 0.001, True), (KEYED.idempotency_window, False)):
            with self.subTest(at=at):
                self.start(request_classes=(KEYED,))
                self.receive(1)
                self.end_batch()
                self.actions.now = 100.0 + at
                self.end_attempt(1, AttemptOutcome.CONNECTION_LOST)
                self.end_batch()
                self.assertEqual(retried, (1, 1) in self.actions.sent)

    def test_a_retry_is_not_sent_if_the_idempotency_window_ends_while_it_waits_for_a_connection(self) -> None:
        self.start(request_classes=(KEYED, NON_IDEMPOTENT))
        self.receive(1)
        self.receive(2, request_class=1, volume="b")
        self.end_batch()
        self.assertTrue(self.scheduler.may_begin_attempt(2, 1, 100.0, 101.5), "a first attempt has no window")
        self.actions.now = 100.5
        self.end_attempt(1, AttemptOutcome.CONNECTION_LOST)
        self.end_batch()
        self.assertTrue(self.scheduler.may_begin_attempt(1, 1, 100.5, 100.999))
        self.assertFalse(self.scheduler.may_begin_attempt(1, 1, 100.5, 101.0))

    def test_in_slow_start_an_attempt_that_waited_longer_than_a_lease_is_valid_is_not_sent(self) -> None:
        self.start()
        self.receive(1)
        self.end_batch()
        late = 100.0 + self.scheduler.leases.duration + 0.01
        self.assertTrue(self.scheduler.may_begin_attempt(1, 1, 100.0, late), "a warm backend")
        self.scheduler.shards.backends[1].started_at = 99.0
        self.assertTrue(self.scheduler.may_begin_attempt(1, 1, 100.0, late - 0.02))
        self.assertFalse(self.scheduler.may_begin_attempt(1, 1, 100.0, late))

    def test_a_draining_backend_is_used_for_part_of_its_grace_and_then_replaced(self) -> None:
        """A backend drains, then is no longer listed, and another backend serves its shard."""
        self.start(2)
        self.list_backends({1: 0.0}, ready=False, complete=False)
        self.receive(1, shard=1)
        self.receive(2, shard=2)
        self.end_batch()
        self.run_until(0.8)
        self.receive(4, shard=1)  # after the usable part of the grace: waits for another backend
        self.end_batch()
        self.scheduler.endpoint_list_begins(True, False)
        self.scheduler.endpoint_listed(7, 0, 1, True, 0.0)
        self.scheduler.endpoint_list_ended()
        self.receive(3, shard=2)
        self.end_batch()
        self.assert_trace("drain")

    def test_the_drain_grace_covers_delays_of_the_process_at_notification_and_when_sending(self) -> None:
        delay, slack = 0.15, 0.05
        for grace in (0.0, 0.1, 0.25, 0.5, 1.0, 3.0):
            with self.subTest(grace=grace):
                self.start(drain_grace=grace)
                drain_started_at = self.actions.now
                self.actions.now += delay
                self.list_backends({1: 0.0}, ready=False, complete=False)
                last_sent_at = drain_started_at
                for id in range(1, 200):
                    self.receive(id)
                    self.end_batch()
                    if (id, 0) in self.actions.sent:
                        last_sent_at = self.actions.now
                        self.end_attempt(id, AttemptOutcome.SUCCEEDED)
                    self.actions.now += 0.02
                self.assertLessEqual(last_sent_at + delay, drain_started_at + max(grace, 2 * delay) + slack)

    def test_slow_start_limits_a_gateway_to_its_share_of_the_units(self) -> None:
        """One of two gateways may send half of the units per window, and more as the backend warms up."""
        self.start(1, gateways=2, request_classes=(SLOW,))
        self.run_until(5.0)
        self.list_backends({1: 4.5})
        for id in range(12):
            self.receive(id, timeout=20.0)
            self.end_batch()
        self.run_until(6.5)
        for id, _ in list(self.actions.sent):
            self.end_attempt(id)
        self.end_batch()
        self.run_until(8.4)
        self.assert_trace("slow_start")

    def test_after_a_restart_of_the_gateway_nothing_is_sent_to_a_cold_backend_for_one_window(self) -> None:
        """The earlier run of this gateway may have used its share of the units."""
        self.start(1, request_classes=(SLOW,))
        self.list_backends({1: -0.5})
        self.receive(1, timeout=20.0)
        self.end_batch()
        self.run_until(2.1)
        self.assert_trace("slow_start_after_gateway_restart")

    def test_an_attempt_that_was_not_sent_ends_the_drain_of_a_backend(self) -> None:
        """The backend is gone. A request for its shard waits until another backend serves it."""
        self.start()
        self.list_backends({1: 0.0}, ready=False, complete=False)
        self.receive(1)
        self.end_batch()
        self.end_attempt(1, AttemptOutcome.NOT_SENT)
        self.end_batch()
        self.run_until(0.1)
        self.list_backends({7: 0.0}, complete=False)
        self.scheduler.endpoint_list_begins(False, False)
        self.scheduler.endpoint_listed(7, 0, 1, True, 0.0)
        self.scheduler.endpoint_list_ended()
        self.end_batch()
        self.assert_trace("backend_gone_without_drain")

    def test_one_lost_answer_does_not_limit_its_backend(self) -> None:
        """Neither while later attempts are answered, nor when the unanswered attempt times out."""
        self.start()
        self.receive(1)
        self.end_batch()
        self.run_until(0.05)
        self.receive(2)
        self.end_batch()
        self.end_attempt(2)  # the later request is answered; 1 never is
        self.end_batch()
        self.run_until(0.4)
        for id in (3, 4):
            self.receive(id)
        self.end_batch()
        for id in (3, 4):
            self.end_attempt(id)
        self.run_until(1.9)
        self.end_attempt(1, AttemptOutcome.TIMED_OUT)
        self.log_health()
        for id in (5, 6):
            self.receive(id)
        self.end_batch()
        self.assert_trace("lost_answer")

    def test_a_silent_backend_gets_one_attempt_after_each_pause(self) -> None:
        """The duration of an attempt that times out does not count as a service time."""
        self.start()
        for at in (0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8):
            self.run_until(at)
            self.receive(int(at * 10), timeout=9.0)
            self.end_batch()
        self.run_until(2.0)
        self.end_attempt(0, AttemptOutcome.TIMED_OUT)
        self.log_health()
        self.assert_trace("silent_backend")

    def test_how_outcomes_change_the_rate_the_failures_and_the_cool_down_of_a_backend(self) -> None:
        """The rate has a minimum; cancelled or unsent attempts change nothing; lost connections cool down."""
        self.start(request_classes=(PLAIN, SLOW))
        self.receive(9)
        self.end_batch()
        self.run_until(0.01)
        self.end_attempt(9)
        for id in range(9):
            self.receive(id, volume=f"v{id}", request_class=1, timeout=20.0)
            self.end_batch()
            self.run_until(1.0 + id)
            self.end_attempt(id)
            self.log_health()
            self.end_batch()
        self.log_health()
        for id, outcome in enumerate(
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
            self.run_until(12.0 + 3.0 * id)
            self.receive(id, volume=f"v{id}", request_class=1, timeout=20.0)
            self.end_batch()
            self.end_attempt(id, outcome, finished=True)
            self.log_health()
        self.assert_trace("backend_health")

    def test_a_backend_with_a_queue_gets_one_slot_until_answers_come_without_a_wait(self) -> None:
        """The first answer has waited in the backend's queue, but has come within the latency objective."""
        self.start(request_classes=(SLOW,), gateways=4)
        self.receive(1, timeout=30.0)
        self.end_batch()
        self.run_until(0.1)
        self.end_attempt(1)
        self.receive(2, timeout=30.0)
        self.end_batch()
        self.run_until(0.3 + 9.0 * 0.1 + 0.1)
        self.end_attempt(2)
        for id in (3, 4):
            self.receive(id, timeout=30.0)
        self.end_batch()
        self.log_health()
        self.run_until(1.4)
        self.end_attempt(3)
        self.end_batch()
        self.assert_trace("backend_with_queue")

    def test_a_single_request_is_not_shed_because_of_an_old_cut(self) -> None:
        """A backend was slow and then got no requests. Its service time is longer than the latency objective,
        so every new request would be shed at once, and no answer would show that it has recovered."""
        self.start()
        for id, after in ((10, 0.05), (11, 3.5)):
            self.receive(id, timeout=5.0)
            self.end_batch()
            self.run_until(after)
            self.end_attempt(id)
        self.log_health()
        for id, at in ((2, 4.0), (3, 10.0), (4, 11.0)):
            self.run_until(at)
            self.receive(id)
            self.end_batch()
            if (id, 0) in self.actions.sent:
                self.run_until(at + 0.05)
                self.end_attempt(id)
                self.end_batch()
        self.log_health()
        self.assert_trace("old_rate_cut")

    def test_a_short_slow_start_has_a_short_first_delay_and_a_high_initial_rate(self) -> None:
        """The backend lacks a tenth of its capacity for a second, which determines the delay and the rate."""
        self.start(slow_start=SlowStartRule(80.0, 3.0, 1.0, 0.9))
        self.run_until(5.0)
        self.list_backends({1: 5.0})
        self.receive(1)
        self.end_batch()
        self.run_until(5.2)
        self.log_health()
        self.assert_trace("short_slow_start")

    def test_requests_of_a_key_run_one_at_a_time_and_a_time_out_starts_a_cool_down(self) -> None:
        self.start(request_classes=(NON_IDEMPOTENT,), key_cool_down=0.5)
        for id in (1, 2, 3):
            self.receive(id, key="k", timeout=3.0)
        self.receive(4, key="other")
        self.end_batch()
        self.end_attempt(1)
        self.end_batch()
        self.run_until(0.1)
        self.end_attempt(2, AttemptOutcome.TIMED_OUT)
        self.end_attempt(4)
        self.end_batch()
        self.run_until(0.7)
        self.assert_trace("key_ordering")

    def test_the_retry_budget_limits_retries(self) -> None:
        """One retry is free, and one is allowed for four requests: two of four requests are retried."""
        self.start(4, retry_budget=RetryBudget(1.0, 0.25, 10.0))
        for id in (1, 2, 3, 4):
            self.receive(id, shard=id)
        self.end_batch()
        for id in (1, 2, 3, 4):
            self.end_attempt(id, AttemptOutcome.ERROR)
        self.end_batch()
        self.assert_trace("retry_budget")

    def test_a_gateway_enforces_its_share_of_a_rate_limit(self) -> None:
        """Half of 8 units per second and of a burst of 32, for one of two gateways; it starts empty."""
        self.start(request_classes=(SLOW,), service_tiers=(ServiceTier(0.0, 1.0, 8.0, 32.0, 4.0),))
        self.run_until(1.0)
        for id in range(4):
            self.receive(id, units=4, gateways=2, timeout=5.0)
        self.end_batch()
        self.run_until(2.6)
        self.assert_trace("rate_limit")

    def test_failed_polls_are_repeated_after_growing_backoffs(self) -> None:
        self.start(polls_endpoints=True)
        for at in (1.0, 3.0, 7.0):
            self.scheduler.endpoint_poll_failed()
            self.end_batch()
            self.run_until(at)
        self.assert_trace("endpoint_polling")
