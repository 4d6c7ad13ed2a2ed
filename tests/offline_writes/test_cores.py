"""The branch's pure cores: when it is cut off, what it takes, causal order, each effect once."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.offline_writes.admission import Admission, admit_read, admit_write
from gorsethread.offline_writes.applied_writes import MAX_RUNNING, AppliedWrites, BranchWrites, ReplayOutcome
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

ROOM = QueueLimits(1 << 20, 1000, 600.0)


def number(place: int, branch: int = 1, life: int = 1) -> WriteNumber:
    return WriteNumber(branch, life, place)


def write(
    place: int, *own: int, key: str = "", parks: bool = False, size: int = 100, block: int = 0
) -> Write:
    return Write(
        number(place),
        1,
        block or place,
        key or f"k{place}",
        1.0,
        size,
        0.0,
        tuple(number(n) for n in own),
        stops_on_conflict=parks,
    )


class Links(unittest.TestCase):
    def asked(self, link: LinkMonitor, begin: float, end: float, answers: bool) -> None:
        for n in range(int((end - begin) * 10)):
            now = begin + n / 10
            link.request_sent(now)
            if answers:
                link.answer_received(now)
            link.tick(now)

    def test_silence_under_questions_cuts_it_off_and_idleness_does_not(self) -> None:
        link = LinkMonitor(0.0)
        link.tick(1000.0)
        self.assertIs(LinkState.CONNECTED, link.state)
        self.asked(link, 1000.0, 1000.0 + DISCONNECT_AFTER, False)
        self.assertTrue(link.queueing)

    def test_a_slow_link_that_answers_is_not_cut_off(self) -> None:
        link = LinkMonitor(0.0)
        for n in range(100):
            link.request_sent(n * 1.0)
            link.answer_received(n * 1.0 + DISCONNECT_AFTER - 0.5)
            link.tick(n * 1.0 + DISCONNECT_AFTER - 0.5)
        self.assertIs(LinkState.CONNECTED, link.state)

    def test_a_way_that_is_cut_in_one_direction_is_cut_off(self) -> None:
        link = LinkMonitor(0.0)
        self.asked(link, 0.0, 3.0, False)  # what is said here is heard there; nothing comes
        self.assertIs(LinkState.DISCONNECTED, link.state)

    def test_it_is_back_after_signs_without_a_gap(self) -> None:
        link = LinkMonitor(0.0)
        self.asked(link, 0.0, 3.0, False)
        self.asked(link, 3.0, 3.0 + STABLE_FOR / 2, True)
        self.assertIs(LinkState.RECOVERING, link.state)
        self.asked(link, 4.0, 4.0 + MAX_GAP + 0.3, False)
        self.assertIs(LinkState.DISCONNECTED, link.state)
        self.asked(link, 6.0, 6.2 + STABLE_FOR, True)
        self.assertIs(LinkState.CONNECTED, link.state)

    def test_one_that_flaps_must_hold_for_longer_up_to_a_bound(self) -> None:
        link, now, changes = LinkMonitor(0.0), 0.0, 0
        for _ in range(40):  # three seconds away, three seconds back, four minutes long
            for answers in (False, True):
                before = link.state is LinkState.CONNECTED
                self.asked(link, now, now + 3.0, answers)
                now += 3.0
                changes += before != (link.state is LinkState.CONNECTED)
        self.assertLess(changes, 20)
        self.assertLessEqual(link.required_stability, MAX_STABLE_FOR)


class Queues(unittest.TestCase):
    def queue(self, bounds: QueueLimits = ROOM, *writes: Write) -> WriteQueue:
        q = WriteQueue(bounds, (1.0, 2.0, 3.0))
        for w in writes:
            q.restore(w)
        return q

    def test_the_cheapest_are_refused_first_and_nothing_accepted_goes(self) -> None:
        q = self.queue(QueueLimits(10_000, 1000, 600.0))
        taken: list[float] = []
        place = 0
        for _ in range(200):
            for value in (1.0, 2.0, 3.0):
                if q.refusal(value, 100, 0.0) is None:
                    place += 1
                    q.restore(write(place))
                    taken.append(value)
        self.assertEqual(100, len(q))
        self.assertEqual([3.0] * 5, taken[-5:])
        self.assertEqual(Refusal.FULL, q.refusal(3.0, 100, 0.0))
        self.assertEqual(Refusal.TOO_LARGE, q.refusal(3.0, 10_001, 0.0))
        self.assertEqual(Refusal.STALE, self.queue(ROOM, write(1)).refusal(3.0, 1, 601.0))

    def test_the_same_key_goes_in_turn_and_others_side_by_side_within_the_window(self) -> None:
        q = self.queue(
            ROOM, write(1, key="a"), write(2, 1, key="a"), *(write(n) for n in range(3, 4 + MAX_WINDOW))
        )
        ready = [n.sequence for n, _ in q.ready_writes()]
        self.assertEqual([1, *range(3, 2 + MAX_WINDOW)], ready)
        for n, _ in q.ready_writes():
            q.mark_sent(n)
        self.assertEqual([], q.ready_writes())
        q.mark_applied(number(1))
        self.assertEqual([2], [n.sequence for n, _ in q.ready_writes()])

    def test_what_is_unknown_is_asked_about_and_what_depends_on_it_waits(self) -> None:
        q = self.queue(ROOM, write(1), write(2, 1))
        q.mark_sent(number(1))
        q.mark_connection_lost()
        self.assertEqual([(number(1), True)], q.ready_writes())
        q.mark_queried(number(1))
        q.mark_not_applied(number(1), 0, 1)
        self.assertEqual([(number(1), False)], q.ready_writes())
        self.assertEqual(1, q._writes[number(1)].send_token(0))

    def test_all_heads_that_may_have_run_it_are_asked(self) -> None:
        q = self.queue()
        q.restore(write(1), WriteStage.UNKNOWN, "", (3, 5))
        q.mark_queried(number(1))
        q.mark_not_applied(number(1), 5, 9)
        self.assertEqual([(number(1), True)], q.ready_writes())
        q.mark_queried(number(1))
        q.mark_not_applied(number(1), 3, 4)
        self.assertEqual([(number(1), False)], q.ready_writes())
        self.assertEqual((9, 4, 0), tuple(q._writes[number(1)].send_token(via) for via in (5, 3, 8)))

    def test_only_what_went_that_way_is_unknown_as_the_way_breaks(self) -> None:
        q = self.queue(ROOM, write(1), write(2))
        q.mark_sent(number(1), 7)
        q.mark_sent(number(2), 8)
        q.mark_connection_lost(7)
        self.assertEqual([WriteStage.UNKNOWN, WriteStage.SENT], [h.stage for h in q])

    def test_what_is_on_its_way_to_the_disks_takes_room_and_is_not_replayed(self) -> None:
        q = self.queue()
        q.add_persisting(write(1, key="a"))
        q.add_persisting(write(2, 1, key="a"))
        self.assertEqual((200, []), (q.size, q.ready_writes()))
        q.mark_persisted(number(2))
        self.assertEqual([], q.ready_writes(), "its cause is not accepted yet")
        q.withdraw(number(1))
        self.assertEqual([2], [n.sequence for n, _ in q.ready_writes()])
        self.assertEqual(number(2), q.last_of_key("a"))

    def test_a_clients_repeat_is_the_one_that_was_accepted(self) -> None:
        q = self.queue(ROOM, replace(write(1), idempotency_key=77))
        self.assertEqual(number(1), q.duplicate_of(77, 1, 1))
        self.assertEqual(
            (None, None, None), (q.duplicate_of(77, 1, 2), q.duplicate_of(78, 1, 1), q.duplicate_of(0, 1, 1))
        )

    def test_what_is_turned_away_waits_its_time(self) -> None:
        q = self.queue(ROOM, write(1))
        q.mark_sent(number(1))
        q.mark_rejected(number(1), 3, 4.0)  # of another sending
        self.assertIs(WriteStage.SENT, q._writes[number(1)].stage)
        q.mark_rejected(number(1), 0, 5.0)
        self.assertEqual(([], 1), (q.ready_writes(4.9), len(q.ready_writes(5.0))))

    def test_the_mark_is_below_all_that_is_not_over_but_what_is_parked(self) -> None:
        q = self.queue(ROOM, write(1), write(2), write(3))
        q.dead_letter(number(1), "x")
        self.assertEqual((1, 1), q.completed_up_to)
        q.mark_applied(number(2))
        q.mark_applied(number(3))
        self.assertEqual((1, 3), q.completed_up_to)

    def test_parked_with_all_that_depends_on_it_released_and_discarded_by_a_person(self) -> None:
        q = self.queue(ROOM, write(1, parks=True), write(2, 1), write(3, 2), write(4))
        self.assertFalse(q.handle_conflict(number(1), "changed at the main site"))
        self.assertEqual([1, 2, 3], [h.write.number.sequence for h in q.dead_letters])
        self.assertTrue(all(h.reason for h in q.dead_letters))
        q.restore(write(5, 3))
        self.assertIs(WriteStage.DEAD_LETTERED, q._writes[number(5)].stage)
        q.mark_applied(number(4))
        self.assertTrue(q.is_drained)
        self.assertFalse(q.discard(number(1)), "others depend on it")
        self.assertTrue(q.discard(number(5)))
        self.assertEqual([1, 2, 3], [n.sequence for n in q.release(number(1))])
        self.assertTrue(q.handle_conflict(number(1), "changed"), "a person said so")
        self.assertEqual([1], [n.sequence for n, _ in q.ready_writes()])

    def test_what_comes_after_a_write_parked_at_the_other_head_is_parked_and_freed_with_it(self) -> None:
        other = number(4, branch=2)
        q = self.queue()
        q.restore(replace(write(1), other_dependencies=(other,)))
        q.restore(write(2, 1))
        q.restore(write(3))
        q.dead_letter_dependents_of(other)
        self.assertEqual([1, 2], [h.write.number.sequence for h in q.dead_letters])
        self.assertEqual([], q.release_dependents_of(other, lambda n: n == other), "it is parked still")
        self.assertEqual([1, 2], [n.sequence for n in q.release_dependents_of(other)])
        q.handle_conflict(number(3), "x")
        q.dead_letter(number(3), "for itself")
        self.assertEqual([], q.release_dependents_of(number(9)))

    def test_what_was_parked_for_anothers_sake_is_asked_about_once_it_is_released(self) -> None:
        q = self.queue(ROOM, write(1, parks=True))
        q.restore(write(2, 1), WriteStage.UNKNOWN, "", (4,))
        q.handle_conflict(number(1), "changed")
        self.assertEqual([1, 2], [n.sequence for n in q.release(number(1))])
        self.assertEqual([WriteStage.WAITING, WriteStage.UNKNOWN], [h.stage for h in q])
        self.assertEqual([True, False], [h.forced for h in q])

    def test_another_branchs_write_comes_first(self) -> None:
        there: set[WriteNumber] = set()
        q = WriteQueue(ROOM, (1.0,), there.__contains__)
        other = number(4, branch=2)
        q.restore(Write(number(1), 1, 1, "k", 1.0, 1, 0.0, (), (other,)))
        self.assertEqual([], q.ready_writes())
        there.add(other)
        self.assertEqual(1, len(q.ready_writes()))

    def test_causes_are_all_that_a_client_knows_and_no_more(self) -> None:
        context = ClientContext()
        context.observe(number(3))
        context.acknowledge(write(5))
        context.observe(number(2))  # read after a later one was answered: it is no cause of that
        self.assertEqual((number(2), number(3), number(5)), collect_dependencies(1, context.seen)[0])  # type: ignore[index]
        context.acknowledge(write(6, 2, 3, 5))
        self.assertEqual({number(6)}, context.seen)
        context.forget(lambda n: n.sequence == 6)
        self.assertEqual(set(), context.seen)

    def test_what_may_be_taken_back_brings_its_own_causes(self) -> None:
        unsure = {number(4): [number(3)], number(3): [number(1, branch=2)]}
        named = collect_dependencies(1, [number(4)], lambda n: unsure.get(n, []))
        self.assertEqual(((number(3), number(4)), (number(1, branch=2),)), named)

    def test_too_many_causes_are_refused(self) -> None:
        self.assertIsNone(collect_dependencies(1, [number(n) for n in range(MAX_DEPENDENCIES + 1)]))


class Parts(unittest.TestCase):
    def test_a_read_sees_the_last_queued_write_of_each_block(self) -> None:
        overlay = PendingWriteOverlay(2)
        overlay.add(number(1), 1, 7, b"aabb", ())
        overlay.add(number(2), 1, 8, b"cc", (number(1),))
        self.assertEqual([number(1), number(2), None], overlay.latest_writes(1, 7, 3))
        self.assertEqual((b"aa", b"cc"), (overlay.block_data(number(1), 7), overlay.block_data(number(2), 8)))
        overlay.remove(number(2))
        self.assertEqual([number(1), number(1)], overlay.latest_writes(1, 7, 2))

    def test_one_that_is_heard_of_late_goes_before_what_comes_after_it(self) -> None:
        overlay = PendingWriteOverlay(1)
        overlay.add(number(2), 1, 0, b"b", (number(1, branch=2),))
        overlay.add(number(1, branch=2), 1, 0, b"a", ())
        self.assertEqual([number(2)], overlay.latest_writes(1, 0, 1))

    def test_what_becomes_of_a_command(self) -> None:
        one = number(1)
        self.assertEqual(
            [Admission.FORWARD, Admission.REJECT, Admission.SERVE, Admission.SERVE, Admission.REJECT],
            [
                admit_read(False, [None]),
                admit_read(True, [None, None]),
                admit_read(True, [one]),
                admit_read(False, [one]),
                admit_read(False, [one, None]),
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

    def test_bases_know_blocks_that_were_seen_and_tell_changes(self) -> None:
        bases = BaseVersions(2)
        bases.observe(1, 5, b"aabb")
        self.assertEqual(combined_version(block_digests(b"aabb", 2)), bases.version_of(1, 5, 2))
        self.assertNotEqual(combined_version(block_digests(b"aabc", 2)), bases.version_of(1, 5, 2))
        self.assertEqual(0, bases.version_of(1, 5, 3))
        bases.forget(1, 6, 1)
        self.assertEqual(0, bases.version_of(1, 5, 2))

    def test_replay_yields_and_takes_room_again(self) -> None:
        window = ReplayWindow()
        for _ in range(200):
            window.record_success(0.1, 1.0)
        self.assertEqual(MAX_WINDOW, window.size)
        waits = [window.record_rejection(0.0) for _ in range(8)]
        self.assertEqual((1, True), (window.size, sorted(waits) == waits and waits[-1] <= 3.0))
        self.assertEqual(9.0, window.record_rejection(9.0), "the main site's word is not undercut")
        window.record_success(5.0, 1.0)
        self.assertEqual(1, window.size)

    def test_homes_are_one_order_and_the_other_head_is_stood_in_for_in_time(self) -> None:
        self.assertEqual(primary_order(3, [2, 0, 1]), primary_order(3, [1, 2, 0]))
        s = StandbyTakeover()
        self.assertEqual(
            [False, False, True, False, False],
            [
                s.should_replay(True, 0.0),
                s.should_replay(False, 1.0),
                s.should_replay(False, 1.0 + TAKEOVER_AFTER),
                s.should_replay(True, 20.0),
                s.should_replay(False, 21.0),
            ],
        )


class Main(unittest.TestCase):
    def runs(self, m: AppliedWrites, place: int, sending: int = 0, epoch: int = 1) -> ReplayOutcome:
        return m.handle_write(number(place), sending, epoch, False)

    def test_each_is_in_effect_once(self) -> None:
        m = AppliedWrites(1)
        self.assertIs(ReplayOutcome.START, self.runs(m, 2))
        self.assertIs(ReplayOutcome.PENDING, self.runs(m, 2))
        m.finish(number(2), ReplayOutcome.APPLIED)
        self.assertIs(ReplayOutcome.APPLIED, self.runs(m, 2))
        self.assertEqual((ReplayOutcome.APPLIED, 0), m.handle_query(number(2), 1, False))

    def test_an_asking_closes_what_was_sent_before_it_also_of_an_earlier_life(self) -> None:
        m = AppliedWrites(1)
        answer, sending = m.handle_query(number(1), 1, False)
        self.assertIs(ReplayOutcome.NOT_APPLIED, answer)
        self.assertIs(ReplayOutcome.STALE_TOKEN, self.runs(m, 1), "it comes late")
        later = AppliedWrites(2)
        self.assertIs(ReplayOutcome.STALE_TOKEN, self.runs(later, 1, sending))
        self.assertGreater(later.handle_query(number(1), 1, False)[1], sending)

    def test_what_was_begun_in_an_earlier_life_is_not_known(self) -> None:
        for redoable, answer in ((False, ReplayOutcome.UNKNOWN), (True, ReplayOutcome.NOT_APPLIED)):
            m = AppliedWrites(2)
            m.restore(number(1), False)
            self.assertIs(answer, m.handle_query(number(1), 1, redoable)[0])
        m.restore(number(1), True)
        self.assertIs(ReplayOutcome.APPLIED, m.handle_query(number(1), 1, False)[0])

    def test_a_person_may_say_that_it_is_sent_again(self) -> None:
        m = AppliedWrites(2)
        m.restore(number(1), False)
        self.assertIs(ReplayOutcome.UNKNOWN, self.runs(m, 1))
        m.release(number(1))
        self.assertIs(ReplayOutcome.START, self.runs(m, 1))

    def test_below_the_mark_all_is_over_but_what_is_parked(self) -> None:
        m = AppliedWrites(1)
        m.restore(number(3), True)
        self.assertEqual([(1, 3)], m.handle_progress(1, 1, (1, 4), frozenset({(1, 2)})))
        self.assertEqual(
            [ReplayOutcome.APPLIED, ReplayOutcome.START, ReplayOutcome.APPLIED, ReplayOutcome.START],
            [self.runs(m, place) for place in (1, 2, 4, 5)],
        )

    def test_what_was_parked_and_is_released_is_not_over(self) -> None:
        q = WriteQueue(ROOM, (1.0,))
        for place in (1, 2):
            q.restore(write(place))
        q.dead_letter(number(1), "x")
        q.mark_applied(number(2))
        m = AppliedWrites(1)
        m.handle_progress(1, 1, q.completed_up_to, frozenset(q.completed_exceptions))
        q.release(number(1))
        m.handle_progress(1, 1, q.completed_up_to, frozenset(q.completed_exceptions))
        self.assertIs(ReplayOutcome.START, self.runs(m, 1))
        m.finish(number(1), ReplayOutcome.APPLIED)
        m.handle_progress(1, 1, (1, 2), frozenset())
        self.assertIs(ReplayOutcome.APPLIED, self.runs(m, 1))

    def test_an_earlier_epoch_is_shut_out(self) -> None:
        m = AppliedWrites(1)
        m.handle_progress(1, 7, (0, 0), frozenset())
        self.assertIsNone(m.handle_progress(1, 6, (0, 0), frozenset()))
        self.assertIs(ReplayOutcome.FENCED, self.runs(m, 1, epoch=6))
        self.assertEqual((ReplayOutcome.FENCED, 7), m.handle_query(number(1), 6, False))
        self.assertIs(ReplayOutcome.START, self.runs(m, 1, epoch=7))

    def test_no_more_run_at_once_than_the_main_site_bears(self) -> None:
        m = AppliedWrites(1)
        answers = [m.handle_write(number(1, branch=b), 0, 1, False) for b in range(MAX_RUNNING + 1)]
        self.assertEqual([ReplayOutcome.START] * MAX_RUNNING + [ReplayOutcome.RETRY], answers)


class Checked(unittest.TestCase):
    """State by state: two or three writes (the second after the first, the third apart), sendings and answers
    that are late or lost, a crash of the branch or of the main site's head at every point, also between the
    shelf's work and its answer. The cores decide."""

    WRITES = (write(1, key="a"), write(2, 1, key="a"), write(3))

    def check(
        self,
        crashes: int = 1,
        mains: int = 1,
        blind: bool = False,
        plant: Callable[[AppliedWrites], None] = lambda m: None,
        causal: bool = True,
        writes: int = 2,
    ) -> dict[str, Any]:
        def queue(held: Any) -> WriteQueue:
            q = WriteQueue(ROOM, (1.0,))
            for place, stage, sending in held:
                w = self.WRITES[place - 1]
                w = w if causal else replace(w, own_dependencies=())
                known = WriteStage(stage) in (WriteStage.UNKNOWN, WriteStage.QUERIED, WriteStage.SENT)
                q._writes[w.number] = QueuedWrite(
                    w, WriteStage(stage), "", 0, {0: sending}, [0] if known else []
                )
            return q

        def kept(q: WriteQueue) -> Any:
            return tuple((n.sequence, h.stage.value, h.send_token(0)) for n, h in q._writes.items())

        def landing(state: Any) -> AppliedWrites:
            life, in_effect, unknown, running, closed = state
            m = AppliedWrites(life)
            m._branches[1] = BranchWrites(
                1,
                (0, 0),
                frozenset(),
                *({(1, p) for p in places} for places in (in_effect, unknown, running)),
                {(1, p): n for p, n in closed},
            )
            plant(m)
            return m

        def main(m: AppliedWrites) -> Any:
            of = m._branches[1]
            closed = tuple(sorted((p, n) for (_, p), n in of.send_tokens.items()))
            return (
                m._first_token >> 12,
                *(tuple(sorted(p for _, p in places)) for places in (of.applied, of.unknown, of.running)),
                closed,
            )

        def transitions(state: Any) -> list[tuple[str, Any]]:
            held, there, flying, ran, done, left, lives = state
            found: list[tuple[str, Any]] = []
            q = queue(held)
            for n, ask in q.ready_writes():
                q = queue(held)
                if ask and not blind:
                    q.mark_queried(n)
                    more = flying | {("ask", n.sequence, 0)}
                    found.append(("asks", (kept(q), there, more, ran, done, left, lives)))
                else:
                    q.mark_sent(n)
                    more = flying | {("send", n.sequence, q._writes[n].send_token(0))}
                    found.append(("sends", (kept(q), there, more, ran, done, left, lives)))
            for message in flying:
                what, place, sending = message
                rest, n = flying - {message}, number(place)
                m, q = landing(there), queue(held)
                if what in ("send", "old send"):
                    answer = m.handle_write(n, sending, 1, False)
                    no_word = what == "old send" or answer in (ReplayOutcome.START, ReplayOutcome.PENDING)
                    more = rest if no_word else rest | {(answer.name, place, sending)}
                    found.append(("comes", (held, main(m), more, ran, done, left, lives)))
                elif what in ("ask", "old ask"):
                    answer, taken = m.handle_query(n, 1, False)
                    if answer is not ReplayOutcome.PENDING or what == "old ask":
                        more = rest if what == "old ask" else rest | {(answer.name, place, taken)}
                        found.append(("is asked", (held, main(m), more, ran, done, left, lives)))
                    continue
                else:
                    if what == "APPLIED":
                        q.mark_applied(n)
                    elif what == "NOT_APPLIED":
                        q.mark_not_applied(n, 0, sending)
                    elif what == "UNKNOWN":
                        q.dead_letter(n, "")
                    elif what == "STALE_TOKEN":
                        q.mark_token_refused(n, sending)
                    else:
                        q.mark_rejected(n, sending)
                    found.append(("hears", (kept(q), there, rest, ran, done, left, lives)))
                    found.append(("answer lost", (held, there, rest, ran, done, left, lives)))
            for place in there[3]:
                sent = dict(there[4]).get(place, 0)
                if place not in done:  # the shelf works on it, or never gets it
                    found.append(("runs", (held, there, flying, (*ran, place), (*done, place), left, lives)))
                m = landing(there)
                answer = ReplayOutcome.APPLIED if place in done else ReplayOutcome.RETRY
                m.finish(number(place), answer)
                more, rest = flying | {(answer.name, place, sent)}, tuple(p for p in done if p != place)
                found.append(("ends", (held, main(m), more, ran, rest, left, lives)))
            if left:
                q = queue(held)
                q.mark_connection_lost()
                # What was on its way there may come late; its answers find nobody.
                old = frozenset(
                    (f"old {m[0].split(' ')[-1]}", *m[1:]) for m in flying if m[0].endswith(("send", "ask"))
                )
                found.append(("crash or cut", (kept(q), there, old, ran, done, left - 1, lives)))
            if lives:
                life, in_effect, unknown, running, _ = there
                q = queue(held)
                q.mark_connection_lost()
                again = landing((life + 1, in_effect, (*unknown, *running), (), ()))
                found.append(("main crash", (kept(q), main(again), frozenset(), ran, (), left, lives - 1)))
            return found

        def causal_order(d: Any) -> bool:
            return 2 not in d["ran"] or 1 in d["ran"][: d["ran"].index(2)]

        def not_lost(d: Any) -> bool:
            """What the queue holds no more has run."""
            return set(range(1, writes + 1)) - {place for place, _, _ in d["held"]} <= set(d["ran"])

        result: dict[str, Any] = check_safety(
            Protocol(
                name="replay",
                candidate=False,
                fields=("held", "main", "flying", "ran", "done", "left", "lives"),
                initial=(
                    tuple((n + 1, WriteStage.WAITING.value, 0) for n in range(writes)),
                    (1, (), (), (), ()),
                    frozenset(),
                    (),
                    (),
                    crashes,
                    mains,
                ),
                transitions=transitions,
                invariants={
                    "each once": lambda d: len(set(d["ran"])) == len(d["ran"]),
                    "causal order": causal_order,
                    "nothing lost": not_lost,
                },
            ),
            400_000,
        )
        return result

    def test_every_order_of_crashes_and_late_messages_keeps_it(self) -> None:
        for crashes, mains, writes in ((2, 1, 2), (1, 1, 3)):
            result = self.check(crashes, mains, writes=writes)
            self.assertTrue(result["exhaustive"], result)
            self.assertTrue(all(p["holds"] for p in result["properties"].values()), result["properties"])

    def test_each_planted_flaw_is_found(self) -> None:
        def forgets(m: AppliedWrites) -> None:
            m._is_applied = lambda of, place: False  # type: ignore[method-assign]

        def knows_nothing(m: AppliedWrites) -> None:
            m._branches[1].unknown.clear()

        self.assertFalse(self.check(1, 0, plant=forgets)["properties"]["each once"]["holds"])
        self.assertFalse(self.check(0, 1, plant=knows_nothing)["properties"]["each once"]["holds"])
        self.assertFalse(
            self.check(0, 0, causal=False)["properties"]["causal order"]["holds"],
            "replayed in order of arrival alone",
        )

    def test_sending_again_blindly_is_dropped_by_the_main_site(self) -> None:
        self.assertTrue(self.check(1, 0, blind=True)["properties"]["each once"]["holds"])


class Replayed(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.lists(st.integers(1, 5), max_size=3)), min_size=1, max_size=25
        ),
        st.randoms(use_true_random=False),
    )
    @settings(max_examples=150, deadline=None)
    def test_any_history_is_replayed_once_each_in_causal_order(
        self, said: list[tuple[int, list[int]]], chance: Any
    ) -> None:
        q, m = WriteQueue(ROOM, (1.0,)), AppliedWrites(1)
        all_causes: dict[WriteNumber, tuple[WriteNumber, ...]] = {}
        for place, (key, back) in enumerate(said, 1):
            last = q.last_of_key(str(key))
            own = {number(place - b) for b in back if place > b} | ({last} if last is not None else set())
            w = Write(number(place), 1, place, str(key), 1.0, 1, 0.0, tuple(sorted(own)))
            all_causes[w.number] = w.own_dependencies
            q.restore(w)
        ran: list[WriteNumber] = []
        flying: list[tuple[WriteNumber, int]] = []
        for _ in range(3000):
            if q.is_drained:
                break
            for n, ask in q.ready_writes():
                if ask:
                    q.mark_queried(n)
                    answer, sending = m.handle_query(n, 1, False)
                    q.mark_applied(n) if answer is ReplayOutcome.APPLIED else q.mark_not_applied(
                        n, 0, sending
                    )
                else:
                    q.mark_sent(n)
                    flying.append((n, q._writes[n].send_token(0)))
            if flying:
                n, sending = flying.pop(chance.randrange(len(flying)))
                if m.handle_write(n, sending, 1, False) is ReplayOutcome.START:
                    m.finish(n, ReplayOutcome.APPLIED)
                    ran.append(n)
                if chance.random() < 0.7 and m.handle_write(n, sending, 1, False) is ReplayOutcome.APPLIED:
                    q.mark_applied(n)
            if chance.random() < 0.2 or not flying:
                q.mark_connection_lost()
        self.assertTrue(q.is_drained)
        self.assertEqual(sorted(all_causes), sorted(ran))
        for n in ran:
            for cause in all_causes[n]:
                self.assertLess(ran.index(cause), ran.index(n))
