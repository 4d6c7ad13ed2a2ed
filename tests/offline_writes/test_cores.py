"""Tests the I/O-free modules of offline writes: link state, admission, causal order, applying writes once."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.nvme_gateway.offline.stall_detector import STALLED_AFTER, StallDetector
from gorsethread.offline_writes.admission import Admission, admit_read, admit_write
from gorsethread.offline_writes.applied_writes import (
    MAX_RUNNING,
    MAX_TRACKED,
    AppliedWrites,
    BranchWrites,
    ReplayOutcome,
)
from gorsethread.offline_writes.base_versions import BaseVersions, block_digests, combined_version
from gorsethread.offline_writes.link_monitor import (
    DISCONNECT_AFTER,
    MAX_GAP,
    MAX_STABLE_FOR,
    STABLE_FOR,
    LinkMonitor,
    LinkState,
)
from gorsethread.offline_writes.pending_overlay import PendingWriteOverlay
from gorsethread.offline_writes.primaries import TAKEOVER_AFTER, StandbyTakeover, primary_order
from gorsethread.offline_writes.queued_write import QueuedWrite, QueueLimits, Refusal, WriteStage
from gorsethread.offline_writes.replay_window import MAX_WINDOW, ReplayWindow
from gorsethread.offline_writes.write_queue import WriteQueue
from gorsethread.offline_writes.writes import (
    MAX_DEPENDENCIES,
    ClientContext,
    Write,
    WriteNumber,
    collect_dependencies,
)

LIMITS = QueueLimits(1 << 20, 1000, 600.0)


def write_number(sequence: int, gateway: int = 1, incarnation: int = 1) -> WriteNumber:
    return WriteNumber(gateway, incarnation, sequence)


def make_write(
    sequence: int,
    *own_dependencies: int,
    key: str = "",
    stops_on_conflict: bool = False,
    size: int = 100,
    block: int = 0,
) -> Write:
    return Write(
        write_number(sequence),
        1,
        block or sequence,
        key or f"key {sequence}",
        1.0,
        size,
        0.0,
        tuple(write_number(dependency) for dependency in own_dependencies),
        stops_on_conflict=stops_on_conflict,
    )


class LinkMonitorTests(unittest.TestCase):
    def exchange(self, link: LinkMonitor, start: float, end: float, answers: bool) -> None:
        for step in range(int((end - start) * 10)):
            now = start + step / 10
            link.request_sent(now)
            if answers:
                link.answer_received(now)
            link.tick(now)

    def test_unanswered_requests_disconnect_and_an_idle_link_stays_connected(self) -> None:
        link = LinkMonitor(0.0)
        link.tick(1000.0)
        self.assertIs(LinkState.CONNECTED, link.state)
        self.exchange(link, 1000.0, 1000.0 + DISCONNECT_AFTER, False)
        self.assertTrue(link.queueing)

    def test_a_slow_link_that_answers_stays_connected(self) -> None:
        link = LinkMonitor(0.0)
        for second in range(100):
            link.request_sent(float(second))
            link.answer_received(float(second) + DISCONNECT_AFTER - 0.5)
            link.tick(float(second) + DISCONNECT_AFTER - 0.5)
        self.assertIs(LinkState.CONNECTED, link.state)

    def test_a_link_broken_in_one_direction_disconnects(self) -> None:
        link = LinkMonitor(0.0)
        self.exchange(link, 0.0, 3.0, False)  # requests arrive at the main site, but no answer does
        self.assertIs(LinkState.DISCONNECTED, link.state)

    def test_the_link_reconnects_after_answers_without_a_gap(self) -> None:
        link = LinkMonitor(0.0)
        self.exchange(link, 0.0, 3.0, False)
        self.exchange(link, 3.0, 3.0 + STABLE_FOR / 2, True)
        self.assertIs(LinkState.RECOVERING, link.state)
        self.exchange(link, 4.0, 4.0 + MAX_GAP + 0.3, False)
        self.assertIs(LinkState.DISCONNECTED, link.state)
        self.exchange(link, 6.0, 6.2 + STABLE_FOR, True)
        self.assertIs(LinkState.CONNECTED, link.state)

    def test_a_flapping_link_needs_longer_stability_up_to_a_maximum(self) -> None:
        link, now, changes = LinkMonitor(0.0), 0.0, 0
        for _ in range(40):  # three seconds down, three seconds up, for four minutes
            for answers in (False, True):
                was_connected = link.state is LinkState.CONNECTED
                self.exchange(link, now, now + 3.0, answers)
                now += 3.0
                changes += was_connected != (link.state is LinkState.CONNECTED)
        self.assertLess(changes, 20)
        self.assertLessEqual(link.required_stability, MAX_STABLE_FOR)


class WriteQueueTests(unittest.TestCase):
    def make_queue(self, limits: QueueLimits = LIMITS, *writes: Write) -> WriteQueue:
        queue = WriteQueue(limits, (1.0, 2.0, 3.0))
        for write in writes:
            queue.restore(write)
        return queue

    def test_a_filling_queue_refuses_low_weights_first_and_drops_nothing(self) -> None:
        queue = self.make_queue(QueueLimits(10_000, 1000, 600.0))
        accepted: list[float] = []
        sequence = 0
        for _ in range(200):
            for priority_weight in (1.0, 2.0, 3.0):
                if queue.refusal(priority_weight, 100, 0.0) is None:
                    sequence += 1
                    queue.restore(make_write(sequence))
                    accepted.append(priority_weight)
        self.assertEqual(100, len(queue))
        self.assertEqual([3.0] * 5, accepted[-5:])
        self.assertEqual(Refusal.FULL, queue.refusal(3.0, 100, 0.0))
        self.assertEqual(Refusal.TOO_LARGE, queue.refusal(3.0, 10_001, 0.0))
        self.assertEqual(Refusal.STALE, self.make_queue(LIMITS, make_write(1)).refusal(3.0, 1, 601.0))

    def test_writes_of_a_key_are_serialized_and_others_run_concurrently_within_the_window(self) -> None:
        queue = self.make_queue(
            LIMITS,
            make_write(1, key="a"),
            make_write(2, 1, key="a"),
            *(make_write(sequence) for sequence in range(3, 4 + MAX_WINDOW)),
        )
        ready = [number.sequence for number, _ in queue.ready_writes()]
        self.assertEqual([1, *range(3, 2 + MAX_WINDOW)], ready)
        for number, _ in queue.ready_writes():
            queue.mark_sent(number)
        self.assertEqual([], queue.ready_writes())
        queue.mark_applied(write_number(1))
        self.assertEqual([2], [number.sequence for number, _ in queue.ready_writes()])

    def test_an_unknown_write_is_queried_first_and_its_dependents_wait(self) -> None:
        queue = self.make_queue(LIMITS, make_write(1), make_write(2, 1))
        queue.mark_sent(write_number(1))
        queue.mark_connection_lost()
        self.assertEqual([(write_number(1), True)], queue.ready_writes())
        queue.mark_queried(write_number(1))
        queue.mark_not_applied(write_number(1), 0, 1)
        self.assertEqual([(write_number(1), False)], queue.ready_writes())
        self.assertEqual(1, queue._writes[write_number(1)].send_token(0))

    def test_every_gateway_that_may_have_run_a_write_is_queried(self) -> None:
        queue = self.make_queue()
        queue.restore(make_write(1), WriteStage.UNKNOWN, "", (3, 5))
        queue.mark_queried(write_number(1))
        queue.mark_not_applied(write_number(1), 5, 9)
        self.assertEqual([(write_number(1), True)], queue.ready_writes())
        queue.mark_queried(write_number(1))
        queue.mark_not_applied(write_number(1), 3, 4)
        self.assertEqual([(write_number(1), False)], queue.ready_writes())
        self.assertEqual(
            (9, 4, 0), tuple(queue._writes[write_number(1)].send_token(gateway) for gateway in (5, 3, 8))
        )

    def test_a_lost_connection_makes_only_writes_sent_over_it_unknown(self) -> None:
        queue = self.make_queue(LIMITS, make_write(1), make_write(2))
        queue.mark_sent(write_number(1), 7)
        queue.mark_sent(write_number(2), 8)
        queue.mark_connection_lost(7)
        self.assertEqual([WriteStage.UNKNOWN, WriteStage.SENT], [queued.stage for queued in queue])

    def test_a_write_being_persisted_counts_against_the_limits_and_is_not_replayed(self) -> None:
        queue = self.make_queue()
        queue.add_persisting(make_write(1, key="a"))
        queue.add_persisting(make_write(2, 1, key="a"))
        self.assertEqual((200, []), (queue.size, queue.ready_writes()))
        queue.mark_persisted(write_number(2))
        self.assertEqual([], queue.ready_writes(), "its dependency is not accepted yet")
        queue.withdraw(write_number(1))
        self.assertEqual([2], [number.sequence for number, _ in queue.ready_writes()])
        self.assertEqual(write_number(2), queue.last_of_key("a"))

    def test_a_clients_retry_is_recognized_as_a_duplicate(self) -> None:
        queue = self.make_queue(LIMITS, replace(make_write(1), idempotency_key=77))
        self.assertEqual(write_number(1), queue.duplicate_of(77, 1, 1))
        self.assertEqual(
            (None, None, None),
            (queue.duplicate_of(77, 1, 2), queue.duplicate_of(78, 1, 1), queue.duplicate_of(0, 1, 1)),
        )

    def test_a_rejected_write_waits_for_its_retry_delay(self) -> None:
        queue = self.make_queue(LIMITS, make_write(1))
        queue.mark_sent(write_number(1))
        queue.mark_rejected(write_number(1), 3, 4.0)  # answers another transmission
        self.assertIs(WriteStage.SENT, queue._writes[write_number(1)].stage)
        queue.mark_rejected(write_number(1), 0, 5.0)
        self.assertEqual(([], 1), (queue.ready_writes(4.9), len(queue.ready_writes(5.0))))

    def test_completed_up_to_stops_before_unfinished_writes_but_skips_dead_letters(self) -> None:
        queue = self.make_queue(LIMITS, make_write(1), make_write(2), make_write(3))
        queue.dead_letter(write_number(1), "x")
        self.assertEqual((1, 1), queue.completed_up_to)
        queue.mark_applied(write_number(2))
        queue.mark_applied(write_number(3))
        self.assertEqual((1, 3), queue.completed_up_to)

    def test_dead_letters_include_dependents_and_can_be_released_or_discarded(self) -> None:
        queue = self.make_queue(
            LIMITS, make_write(1, stops_on_conflict=True), make_write(2, 1), make_write(3, 2), make_write(4)
        )
        self.assertFalse(queue.handle_conflict(write_number(1), "changed at the main site"))
        self.assertEqual([1, 2, 3], [queued.write.number.sequence for queued in queue.dead_letters])
        self.assertTrue(all(queued.reason for queued in queue.dead_letters))
        queue.restore(make_write(5, 3))
        self.assertIs(WriteStage.DEAD_LETTERED, queue._writes[write_number(5)].stage)
        queue.mark_applied(write_number(4))
        self.assertTrue(queue.is_drained)
        self.assertFalse(queue.discard(write_number(1)), "other writes depend on it")
        self.assertTrue(queue.discard(write_number(5)))
        self.assertEqual([1, 2, 3], [number.sequence for number in queue.release(write_number(1))])
        self.assertTrue(queue.handle_conflict(write_number(1), "changed"), "an operator forced it")
        self.assertEqual([1], [number.sequence for number, _ in queue.ready_writes()])

    def test_a_chain_as_long_as_the_queue_is_dead_lettered_and_released_in_one_go(self) -> None:
        # Guards against a gateway that crashes at each start as it dead-letters a long chain of writes.
        length = 20_000
        queue = WriteQueue(LIMITS, (1.0,))
        queue.restore(make_write(1, stops_on_conflict=True))
        for sequence in range(2, length + 1):
            queue.restore(make_write(sequence, sequence - 1))
        self.assertFalse(queue.handle_conflict(write_number(1), "changed at the main site"))
        self.assertEqual(length, len(queue.dead_letters))
        self.assertEqual("depends on 7, which is parked", queue._writes[write_number(8)].reason)
        self.assertEqual(length, len(queue.release(write_number(1))))
        for sequence in range(1, length + 1):
            queue.mark_applied(write_number(sequence))
        self.assertEqual((0, {}), (len(queue), queue._dependents))

    def test_dependents_of_a_standby_dead_letter_are_dead_lettered_and_released_with_it(self) -> None:
        standby_write = write_number(4, gateway=2)
        queue = self.make_queue()
        queue.restore(replace(make_write(1), other_dependencies=(standby_write,)))
        queue.restore(make_write(2, 1))
        queue.restore(make_write(3))
        queue.dead_letter_dependents_of(standby_write)
        self.assertEqual([1, 2], [queued.write.number.sequence for queued in queue.dead_letters])
        self.assertEqual(
            [],
            queue.release_dependents_of(standby_write, lambda number: number == standby_write),
            "it is still dead-lettered",
        )
        self.assertEqual([1, 2], [number.sequence for number in queue.release_dependents_of(standby_write)])
        queue.handle_conflict(write_number(3), "x")
        queue.dead_letter(write_number(3), "a reason of its own")
        self.assertEqual([], queue.release_dependents_of(write_number(9)))

    def test_a_released_dependent_that_may_have_run_is_queried(self) -> None:
        queue = self.make_queue(LIMITS, make_write(1, stops_on_conflict=True))
        queue.restore(make_write(2, 1), WriteStage.UNKNOWN, "", (4,))
        queue.handle_conflict(write_number(1), "changed")
        self.assertEqual([1, 2], [number.sequence for number in queue.release(write_number(1))])
        self.assertEqual([WriteStage.WAITING, WriteStage.UNKNOWN], [queued.stage for queued in queue])
        self.assertEqual([True, False], [queued.forced for queued in queue])

    def test_a_write_waits_for_a_dependency_at_the_standby_gateway(self) -> None:
        finished: set[WriteNumber] = set()
        queue = WriteQueue(LIMITS, (1.0,), finished.__contains__)
        standby_write = write_number(4, gateway=2)
        queue.restore(Write(write_number(1), 1, 1, "k", 1.0, 1, 0.0, (), (standby_write,)))
        self.assertEqual([], queue.ready_writes())
        finished.add(standby_write)
        self.assertEqual(1, len(queue.ready_writes()))

    def test_dependencies_are_exactly_the_writes_the_client_has_seen(self) -> None:
        context = ClientContext()
        context.observe(write_number(3))
        context.acknowledge(make_write(5))
        context.observe(write_number(2))  # read after the acknowledgement, so 5 does not depend on it
        dependencies = collect_dependencies(1, context.seen)
        assert dependencies is not None
        self.assertEqual((write_number(2), write_number(3), write_number(5)), dependencies.own)
        context.acknowledge(make_write(6, 2, 3, 5))
        self.assertEqual({write_number(6)}, context.seen)
        context.forget(lambda number: number.sequence == 6)
        self.assertEqual(set(), context.seen)

    def test_dependencies_include_those_of_a_write_that_may_be_withdrawn(self) -> None:
        uncertain = {write_number(4): [write_number(3)], write_number(3): [write_number(1, gateway=2)]}
        dependencies = collect_dependencies(1, [write_number(4)], lambda number: uncertain.get(number, []))
        self.assertEqual(((write_number(3), write_number(4)), (write_number(1, gateway=2),)), dependencies)

    def test_too_many_dependencies_are_refused(self) -> None:
        self.assertIsNone(
            collect_dependencies(1, [write_number(sequence) for sequence in range(MAX_DEPENDENCIES + 1)])
        )


class SmallerModules(unittest.TestCase):
    def test_a_read_sees_the_last_queued_write_of_each_block(self) -> None:
        overlay = PendingWriteOverlay(2)
        overlay.add(write_number(1), 1, 7, b"aabb", ())
        overlay.add(write_number(2), 1, 8, b"cc", (write_number(1),))
        self.assertEqual([write_number(1), write_number(2), None], overlay.latest_writes(1, 7, 3))
        self.assertEqual(
            (b"aa", b"cc"), (overlay.block_data(write_number(1), 7), overlay.block_data(write_number(2), 8))
        )
        overlay.remove(write_number(2))
        self.assertEqual([write_number(1), write_number(1)], overlay.latest_writes(1, 7, 2))

    def test_a_late_write_is_inserted_before_its_dependents(self) -> None:
        overlay = PendingWriteOverlay(1)
        overlay.add(write_number(2), 1, 0, b"b", (write_number(1, gateway=2),))
        overlay.add(write_number(1, gateway=2), 1, 0, b"a", ())
        self.assertEqual([write_number(2)], overlay.latest_writes(1, 0, 1))

    def test_admission_of_reads_and_writes(self) -> None:
        queued_write = write_number(1)
        self.assertEqual(
            [Admission.FORWARD, Admission.REJECT, Admission.SERVE, Admission.SERVE, Admission.REJECT],
            [
                admit_read(False, [None]),
                admit_read(True, [None, None]),
                admit_read(True, [queued_write]),
                admit_read(False, [queued_write]),
                admit_read(False, [queued_write, None]),
            ],
        )
        self.assertEqual(
            [Admission.FORWARD, Admission.ENQUEUE, Admission.ENQUEUE, Admission.FORWARD, Admission.REJECT],
            [
                admit_write(False, True, False),
                admit_write(True, True, False),
                admit_write(False, True, True),
                admit_write(True, False, False),
                admit_write(False, False, True),
            ],
        )

    def test_base_versions_cover_seen_blocks_and_detect_changes(self) -> None:
        base_versions = BaseVersions(2)
        base_versions.observe(1, 5, b"aabb")
        self.assertEqual(combined_version(block_digests(b"aabb", 2)), base_versions.version_of(1, 5, 2))
        self.assertNotEqual(combined_version(block_digests(b"aabc", 2)), base_versions.version_of(1, 5, 2))
        self.assertEqual(0, base_versions.version_of(1, 5, 3))
        base_versions.forget(1, 6, 1)
        self.assertEqual(0, base_versions.version_of(1, 5, 2))

    def test_the_window_grows_with_fast_answers_and_shrinks_on_rejections_and_slow_answers(self) -> None:
        window = ReplayWindow()
        for _ in range(200):
            window.record_success(0.1, 1.0)
        self.assertEqual(MAX_WINDOW, window.size)
        delays = [window.record_rejection(0.0) for _ in range(8)]
        self.assertEqual((1, True), (window.size, sorted(delays) == delays and delays[-1] <= 3.0))
        self.assertEqual(9.0, window.record_rejection(9.0), "the main site's Retry-After is a minimum")
        window.record_success(5.0, 1.0)
        self.assertEqual(1, window.size)

    def test_primary_order_ignores_input_order_and_takeover_waits_for_its_delay(self) -> None:
        self.assertEqual(primary_order(3, [2, 0, 1]), primary_order(3, [1, 2, 0]))
        takeover = StandbyTakeover()
        self.assertEqual(
            [False, False, True, False, False],
            [
                takeover.should_replay(True, 0.0),
                takeover.should_replay(False, 1.0),
                takeover.should_replay(False, 1.0 + TAKEOVER_AFTER),
                takeover.should_replay(True, 20.0),
                takeover.should_replay(False, 21.0),
            ],
        )


class AppliedWritesTests(unittest.TestCase):
    def send(
        self, applied_writes: AppliedWrites, sequence: int, send_token: int = 0, epoch: int = 1
    ) -> ReplayOutcome:
        return applied_writes.handle_write(write_number(sequence), send_token, epoch, False)

    def test_each_write_is_applied_once(self) -> None:
        applied_writes = AppliedWrites(1)
        self.assertIs(ReplayOutcome.START, self.send(applied_writes, 2))
        self.assertIs(ReplayOutcome.PENDING, self.send(applied_writes, 2))
        applied_writes.finish(write_number(2), ReplayOutcome.APPLIED)
        self.assertIs(ReplayOutcome.APPLIED, self.send(applied_writes, 2))
        self.assertEqual((ReplayOutcome.APPLIED, 0), applied_writes.handle_query(write_number(2), 1, False))

    def test_a_query_invalidates_earlier_send_tokens_also_of_an_earlier_incarnation(self) -> None:
        applied_writes = AppliedWrites(1)
        outcome, send_token = applied_writes.handle_query(write_number(1), 1, False)
        self.assertIs(ReplayOutcome.NOT_APPLIED, outcome)
        self.assertIs(ReplayOutcome.STALE_TOKEN, self.send(applied_writes, 1), "it was sent before the query")
        restarted = AppliedWrites(2)
        self.assertIs(ReplayOutcome.STALE_TOKEN, self.send(restarted, 1, send_token))
        self.assertGreater(restarted.handle_query(write_number(1), 1, False)[1], send_token)

    def test_a_write_started_in_an_earlier_incarnation_is_unknown_unless_idempotent(self) -> None:
        for idempotent, outcome in ((False, ReplayOutcome.UNKNOWN), (True, ReplayOutcome.NOT_APPLIED)):
            applied_writes = AppliedWrites(2)
            applied_writes.restore(write_number(1), False)
            self.assertIs(outcome, applied_writes.handle_query(write_number(1), 1, idempotent)[0])
        applied_writes.restore(write_number(1), True)
        self.assertIs(ReplayOutcome.APPLIED, applied_writes.handle_query(write_number(1), 1, False)[0])

    def test_a_released_unknown_write_may_be_sent_again(self) -> None:
        applied_writes = AppliedWrites(2)
        applied_writes.restore(write_number(1), False)
        self.assertIs(ReplayOutcome.UNKNOWN, self.send(applied_writes, 1))
        applied_writes.release(write_number(1))
        self.assertIs(ReplayOutcome.START, self.send(applied_writes, 1))

    def test_writes_up_to_the_completed_position_are_applied_except_dead_letters(self) -> None:
        applied_writes = AppliedWrites(1)
        applied_writes.restore(write_number(3), True)
        self.assertEqual([(1, 3)], applied_writes.handle_progress(1, 1, (1, 4), frozenset({(1, 2)})))
        self.assertEqual(
            [ReplayOutcome.APPLIED, ReplayOutcome.START, ReplayOutcome.APPLIED, ReplayOutcome.START],
            [self.send(applied_writes, sequence) for sequence in (1, 2, 4, 5)],
        )

    def test_a_released_dead_letter_is_not_taken_for_applied(self) -> None:
        queue = WriteQueue(LIMITS, (1.0,))
        for sequence in (1, 2):
            queue.restore(make_write(sequence))
        queue.dead_letter(write_number(1), "x")
        queue.mark_applied(write_number(2))
        applied_writes = AppliedWrites(1)
        applied_writes.handle_progress(1, 1, queue.completed_up_to, frozenset(queue.completed_exceptions))
        queue.release(write_number(1))
        applied_writes.handle_progress(1, 1, queue.completed_up_to, frozenset(queue.completed_exceptions))
        self.assertIs(ReplayOutcome.START, self.send(applied_writes, 1))
        applied_writes.finish(write_number(1), ReplayOutcome.APPLIED)
        applied_writes.handle_progress(1, 1, (1, 2), frozenset())
        self.assertIs(ReplayOutcome.APPLIED, self.send(applied_writes, 1))

    def test_an_earlier_epoch_is_fenced(self) -> None:
        applied_writes = AppliedWrites(1)
        applied_writes.handle_progress(1, 7, (0, 0), frozenset())
        self.assertIsNone(applied_writes.handle_progress(1, 6, (0, 0), frozenset()))
        self.assertIs(ReplayOutcome.FENCED, self.send(applied_writes, 1, epoch=6))
        self.assertEqual((ReplayOutcome.FENCED, 7), applied_writes.handle_query(write_number(1), 6, False))
        self.assertIs(ReplayOutcome.START, self.send(applied_writes, 1, epoch=7))

    def test_concurrently_running_writes_are_limited(self) -> None:
        applied_writes = AppliedWrites(1)
        outcomes = [
            applied_writes.handle_write(write_number(1, gateway=gateway), 0, 1, False)
            for gateway in range(MAX_RUNNING + 1)
        ]
        self.assertEqual([ReplayOutcome.START] * MAX_RUNNING + [ReplayOutcome.RETRY], outcomes)

    def test_a_full_table_starts_the_writes_that_hold_back_the_branchs_progress(self) -> None:
        # Guards against a replay that stands still: the table is full, and what empties it is refused.
        applied_writes = AppliedWrites(1, max_queued=2)
        last = MAX_TRACKED + 3
        for sequence in range(2, last + 1):
            applied_writes.restore(write_number(sequence), True)
        self.assertIs(ReplayOutcome.RETRY, self.send(applied_writes, last + 1))
        self.assertEqual((MAX_TRACKED + 2, 1), (applied_writes.tracked(1), applied_writes.refused_as_full[1]))
        self.assertIs(ReplayOutcome.START, self.send(applied_writes, 1))
        applied_writes.finish(write_number(1), ReplayOutcome.APPLIED)
        applied_writes.handle_progress(1, 1, (1, last), frozenset())
        self.assertEqual(0, applied_writes.tracked(1))
        self.assertIs(ReplayOutcome.START, self.send(applied_writes, last + 1))

    def test_a_replay_stalls_when_nothing_is_applied_for_a_while(self) -> None:
        stalls = StallDetector()
        self.assertEqual(
            [False, False, True, False],
            [stalls.check(now) for now in (5.0, 4.9 + STALLED_AFTER, 5.0 + STALLED_AFTER, 99.0)],
        )
        stalls.made_progress()
        self.assertFalse(stalls.stalled)
        self.assertFalse(stalls.check(99.0))
        self.assertTrue(stalls.check(99.0 + STALLED_AFTER))


class ReplayModelCheck(unittest.TestCase):
    """Explores every state of a small model of the replay.

    It has two or three writes; the second depends on the first, the third on none. Messages and answers may
    be late or lost. The branch or the gateway of the main site may crash at any point, also after a backend
    ran a write and before it answered. The modules under test make all decisions.
    """

    WRITES = (make_write(1, key="a"), make_write(2, 1, key="a"), make_write(3))

    def check(
        self,
        branch_failures: int = 1,
        main_site_crashes: int = 1,
        skip_queries: bool = False,
        mutate: Callable[[AppliedWrites], None] = lambda applied_writes: None,
        keep_dependencies: bool = True,
        writes: int = 2,
    ) -> dict[str, Any]:
        def load_queue(queued_writes: Any) -> WriteQueue:
            queue = WriteQueue(LIMITS, (1.0,))
            for sequence, stage, send_token in queued_writes:
                write = self.WRITES[sequence - 1]
                write = write if keep_dependencies else replace(write, own_dependencies=())
                may_have_run = WriteStage(stage) in (WriteStage.UNKNOWN, WriteStage.QUERIED, WriteStage.SENT)
                queue.add_persisting(write)
                queue._writes[write.number] = QueuedWrite(
                    write, WriteStage(stage), "", 0, {0: send_token}, [0] if may_have_run else []
                )
            return queue

        def dump_queue(queue: WriteQueue) -> Any:
            return tuple(
                (number.sequence, queued.stage.value, queued.send_token(0))
                for number, queued in queue._writes.items()
            )

        def load_main_site(state: Any) -> AppliedWrites:
            incarnation, applied, unknown, running, send_tokens = state
            applied_writes = AppliedWrites(incarnation)
            applied_writes._branches[1] = BranchWrites(
                1,
                (0, 0),
                frozenset(),
                *({(1, sequence) for sequence in sequences} for sequences in (applied, unknown, running)),
                {(1, sequence): token for sequence, token in send_tokens},
            )
            mutate(applied_writes)
            return applied_writes

        def dump_main_site(applied_writes: AppliedWrites) -> Any:
            branch = applied_writes._branches[1]
            send_tokens = tuple(
                sorted((sequence, token) for (_, sequence), token in branch.send_tokens.items())
            )
            return (
                applied_writes._first_token >> 12,
                *(
                    tuple(sorted(sequence for _, sequence in positions))
                    for positions in (branch.applied, branch.unknown, branch.running)
                ),
                send_tokens,
            )

        def transitions(state: Any) -> list[tuple[str, Any]]:
            queued, main, in_flight, ran, done, failures, crashes = state
            next_states: list[tuple[str, Any]] = []
            queue = load_queue(queued)
            for number, query_first in queue.ready_writes():
                queue = load_queue(queued)
                if query_first and not skip_queries:
                    queue.mark_queried(number)
                    more = in_flight | {("ask", number.sequence, 0)}
                    next_states.append(
                        ("query", (dump_queue(queue), main, more, ran, done, failures, crashes))
                    )
                else:
                    queue.mark_sent(number)
                    token = queue._writes[number].send_token(0)
                    more = in_flight | {("send", number.sequence, token)}
                    next_states.append(
                        ("send", (dump_queue(queue), main, more, ran, done, failures, crashes))
                    )
            for message in in_flight:
                kind, sequence, token = message
                rest, number = in_flight - {message}, write_number(sequence)
                main_site, queue = load_main_site(main), load_queue(queued)
                if kind in ("send", "old send"):
                    outcome = main_site.handle_write(number, token, 1, False)
                    no_reply = kind == "old send" or outcome in (ReplayOutcome.START, ReplayOutcome.PENDING)
                    more = rest if no_reply else rest | {(outcome.name, sequence, token)}
                    next_states.append(
                        (
                            "write arrives",
                            (queued, dump_main_site(main_site), more, ran, done, failures, crashes),
                        )
                    )
                elif kind in ("ask", "old ask"):
                    outcome, detail = main_site.handle_query(number, 1, False)
                    if outcome is not ReplayOutcome.PENDING or kind == "old ask":
                        more = rest if kind == "old ask" else rest | {(outcome.name, sequence, detail)}
                        next_states.append(
                            (
                                "query arrives",
                                (queued, dump_main_site(main_site), more, ran, done, failures, crashes),
                            )
                        )
                    continue
                else:
                    if kind == "APPLIED":
                        queue.mark_applied(number)
                    elif kind == "NOT_APPLIED":
                        queue.mark_not_applied(number, 0, token)
                    elif kind == "UNKNOWN":
                        queue.dead_letter(number, "")
                    elif kind == "STALE_TOKEN":
                        queue.mark_token_refused(number, token)
                    else:
                        queue.mark_rejected(number, token)
                    next_states.append(
                        ("answer arrives", (dump_queue(queue), main, rest, ran, done, failures, crashes))
                    )
                    next_states.append(("answer lost", (queued, main, rest, ran, done, failures, crashes)))
            for sequence in main[3]:
                token = dict(main[4]).get(sequence, 0)
                if sequence not in done:  # the backend runs it now, or never receives it
                    next_states.append(
                        (
                            "backend runs it",
                            (queued, main, in_flight, (*ran, sequence), (*done, sequence), failures, crashes),
                        )
                    )
                main_site = load_main_site(main)
                outcome = ReplayOutcome.APPLIED if sequence in done else ReplayOutcome.RETRY
                main_site.finish(write_number(sequence), outcome)
                more = in_flight | {(outcome.name, sequence, token)}
                rest = tuple(each for each in done if each != sequence)
                next_states.append(
                    (
                        "write ends",
                        (queued, dump_main_site(main_site), more, ran, rest, failures, crashes),
                    )
                )
            if failures:
                queue = load_queue(queued)
                queue.mark_connection_lost()
                # Messages on their way to the main site may arrive late; nobody receives their answers.
                old = frozenset(
                    (f"old {message[0].split(' ')[-1]}", *message[1:])
                    for message in in_flight
                    if message[0].endswith(("send", "ask"))
                )
                next_states.append(
                    (
                        "branch crash or disconnect",
                        (dump_queue(queue), main, old, ran, done, failures - 1, crashes),
                    )
                )
            if crashes:
                incarnation, applied, unknown, running, _ = main
                queue = load_queue(queued)
                queue.mark_connection_lost()
                restarted = load_main_site((incarnation + 1, applied, (*unknown, *running), (), ()))
                next_states.append(
                    (
                        "main site crash",
                        (
                            dump_queue(queue),
                            dump_main_site(restarted),
                            frozenset(),
                            ran,
                            (),
                            failures,
                            crashes - 1,
                        ),
                    )
                )
            return next_states

        def causal_order(state: Any) -> bool:
            return 2 not in state["ran"] or 1 in state["ran"][: state["ran"].index(2)]

        def nothing_lost(state: Any) -> bool:
            """Returns whether every write that left the queue has run."""
            in_queue = {sequence for sequence, _, _ in state["queued"]}
            return set(range(1, writes + 1)) - in_queue <= set(state["ran"])

        result: dict[str, Any] = check_safety(
            Protocol(
                name="replay",
                candidate=False,
                fields=("queued", "main", "in_flight", "ran", "done", "failures", "crashes"),
                initial=(
                    tuple((index + 1, WriteStage.WAITING.value, 0) for index in range(writes)),
                    (1, (), (), (), ()),
                    frozenset(),
                    (),
                    (),
                    branch_failures,
                    main_site_crashes,
                ),
                transitions=transitions,
                invariants={
                    "applied once": lambda state: len(set(state["ran"])) == len(state["ran"]),
                    "causal order": causal_order,
                    "nothing lost": nothing_lost,
                },
            ),
            400_000,
        )
        return result

    def test_the_invariants_hold_for_every_order_of_crashes_and_late_messages(self) -> None:
        for branch_failures, main_site_crashes, writes in ((2, 1, 2), (1, 1, 3)):
            result = self.check(branch_failures, main_site_crashes, writes=writes)
            self.assertTrue(result["exhaustive"], result)
            self.assertTrue(
                all(invariant["holds"] for invariant in result["properties"].values()), result["properties"]
            )

    def test_each_planted_defect_is_found(self) -> None:
        def forget_applied(applied_writes: AppliedWrites) -> None:
            applied_writes._is_applied = lambda writes, position: False  # type: ignore[method-assign]

        def forget_unknown(applied_writes: AppliedWrites) -> None:
            applied_writes._branches[1].unknown.clear()

        self.assertFalse(self.check(1, 0, mutate=forget_applied)["properties"]["applied once"]["holds"])
        self.assertFalse(self.check(0, 1, mutate=forget_unknown)["properties"]["applied once"]["holds"])
        self.assertFalse(
            self.check(0, 0, keep_dependencies=False)["properties"]["causal order"]["holds"],
            "replayed without regard to dependencies",
        )

    def test_the_main_site_drops_writes_sent_again_without_a_query(self) -> None:
        self.assertTrue(self.check(1, 0, skip_queries=True)["properties"]["applied once"]["holds"])


class RandomHistories(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.lists(st.integers(1, 5), max_size=3)), min_size=1, max_size=25
        ),
        st.randoms(use_true_random=False),
    )
    @settings(max_examples=150, deadline=None)
    def test_any_history_is_replayed_exactly_once_in_causal_order(
        self, history: list[tuple[int, list[int]]], random: Any
    ) -> None:
        queue, applied_writes = WriteQueue(LIMITS, (1.0,)), AppliedWrites(1)
        all_dependencies: dict[WriteNumber, tuple[WriteNumber, ...]] = {}
        for sequence, (key, distances) in enumerate(history, 1):
            last = queue.last_of_key(str(key))
            own = {write_number(sequence - distance) for distance in distances if sequence > distance} | (
                {last} if last is not None else set()
            )
            write = Write(write_number(sequence), 1, sequence, str(key), 1.0, 1, 0.0, tuple(sorted(own)))
            all_dependencies[write.number] = write.own_dependencies
            queue.restore(write)
        ran: list[WriteNumber] = []
        in_flight: list[tuple[WriteNumber, int]] = []
        for _ in range(3000):
            if queue.is_drained:
                break
            for number, query_first in queue.ready_writes():
                if query_first:
                    queue.mark_queried(number)
                    outcome, send_token = applied_writes.handle_query(number, 1, False)
                    if outcome is ReplayOutcome.APPLIED:
                        queue.mark_applied(number)
                    else:
                        queue.mark_not_applied(number, 0, send_token)
                else:
                    queue.mark_sent(number)
                    in_flight.append((number, queue._writes[number].send_token(0)))
            if in_flight:
                number, send_token = in_flight.pop(random.randrange(len(in_flight)))
                if applied_writes.handle_write(number, send_token, 1, False) is ReplayOutcome.START:
                    applied_writes.finish(number, ReplayOutcome.APPLIED)
                    ran.append(number)
                if (
                    random.random() < 0.7
                    and applied_writes.handle_write(number, send_token, 1, False) is ReplayOutcome.APPLIED
                ):
                    queue.mark_applied(number)
            if random.random() < 0.2 or not in_flight:
                queue.mark_connection_lost()
        self.assertTrue(queue.is_drained)
        self.assertEqual(sorted(all_dependencies), sorted(ran))
        for number in ran:
            for dependency in all_dependencies[number]:
                self.assertLess(ran.index(dependency), ran.index(number))
