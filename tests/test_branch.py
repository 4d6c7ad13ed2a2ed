"""The branch's pure cores: when it is cut off, what it takes, causal order, each effect once."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.offline_writes.admission import Say, of_read, of_write
from gorsethread.offline_writes.applied_writes import RUNNING_MOST, Answer, Landing, Of
from gorsethread.offline_writes.base_versions import Bases, base_of, digests
from gorsethread.offline_writes.link_monitor import BACK_AFTER, BACK_MOST, CUT_AFTER, GAP, Link, State
from gorsethread.offline_writes.pending_overlay import Shadow
from gorsethread.offline_writes.primaries import TAKES_OVER, StandIn, homes
from gorsethread.offline_writes.replay_window import WINDOW, Pace
from gorsethread.offline_writes.write_queue import Bounds, Held, Queue, Refused, Stage
from gorsethread.offline_writes.writes import CAUSES_MOST, Context, Write, WriteNumber, causes

ROOM = Bounds(1 << 20, 1000, 600.0)


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
        parks=parks,
    )


class Links(unittest.TestCase):
    def asked(self, link: Link, begin: float, end: float, answers: bool) -> None:
        for n in range(int((end - begin) * 10)):
            now = begin + n / 10
            link.asked(now)
            if answers:
                link.heard(now)
            link.tick(now)

    def test_silence_under_questions_cuts_it_off_and_idleness_does_not(self) -> None:
        link = Link(0.0)
        link.tick(1000.0)
        self.assertIs(State.JOINED, link.state)
        self.asked(link, 1000.0, 1000.0 + CUT_AFTER, False)
        self.assertTrue(link.queues)

    def test_a_slow_link_that_answers_is_not_cut_off(self) -> None:
        link = Link(0.0)
        for n in range(100):
            link.asked(n * 1.0)
            link.heard(n * 1.0 + CUT_AFTER - 0.5)
            link.tick(n * 1.0 + CUT_AFTER - 0.5)
        self.assertIs(State.JOINED, link.state)

    def test_a_way_that_is_cut_in_one_direction_is_cut_off(self) -> None:
        link = Link(0.0)
        self.asked(link, 0.0, 3.0, False)  # what is said here is heard there; nothing comes
        self.assertIs(State.CUT_OFF, link.state)

    def test_it_is_back_after_signs_without_a_gap(self) -> None:
        link = Link(0.0)
        self.asked(link, 0.0, 3.0, False)
        self.asked(link, 3.0, 3.0 + BACK_AFTER / 2, True)
        self.assertIs(State.RETURNING, link.state)
        self.asked(link, 4.0, 4.0 + GAP + 0.3, False)
        self.assertIs(State.CUT_OFF, link.state)
        self.asked(link, 6.0, 6.2 + BACK_AFTER, True)
        self.assertIs(State.JOINED, link.state)

    def test_one_that_flaps_must_hold_for_longer_up_to_a_bound(self) -> None:
        link, now, changes = Link(0.0), 0.0, 0
        for _ in range(40):  # three seconds away, three seconds back, four minutes long
            for answers in (False, True):
                before = link.state is State.JOINED
                self.asked(link, now, now + 3.0, answers)
                now += 3.0
                changes += before != (link.state is State.JOINED)
        self.assertLess(changes, 20)
        self.assertLessEqual(link.wanted, BACK_MOST)


class Queues(unittest.TestCase):
    def queue(self, bounds: Bounds = ROOM, *writes: Write) -> Queue:
        q = Queue(bounds, (1.0, 2.0, 3.0))
        for w in writes:
            q.accepted(w)
        return q

    def test_the_cheapest_are_refused_first_and_nothing_accepted_goes(self) -> None:
        q = self.queue(Bounds(10_000, 1000, 600.0))
        taken: list[float] = []
        place = 0
        for _ in range(200):
            for value in (1.0, 2.0, 3.0):
                if q.refuses(value, 100, 0.0) is None:
                    place += 1
                    q.accepted(write(place))
                    taken.append(value)
        self.assertEqual(100, len(q.held))
        self.assertEqual([3.0] * 5, taken[-5:])
        self.assertEqual(Refused.FULL, q.refuses(3.0, 100, 0.0))
        self.assertEqual(Refused.TOO_LARGE, q.refuses(3.0, 10_001, 0.0))
        self.assertEqual(Refused.STALE, self.queue(ROOM, write(1)).refuses(3.0, 1, 601.0))

    def test_the_same_key_goes_in_turn_and_others_side_by_side_within_the_window(self) -> None:
        q = self.queue(
            ROOM, write(1, key="a"), write(2, 1, key="a"), *(write(n) for n in range(3, 4 + WINDOW))
        )
        ready = [n.place for n, _ in q.ready()]
        self.assertEqual([1, *range(3, 2 + WINDOW)], ready)
        for n, _ in q.ready():
            q.sends(n)
        self.assertEqual([], q.ready())
        q.in_effect(number(1))
        self.assertEqual([2], [n.place for n, _ in q.ready()])

    def test_what_is_unknown_is_asked_about_and_what_depends_on_it_waits(self) -> None:
        q = self.queue(ROOM, write(1), write(2, 1))
        q.sends(number(1))
        q.broke()
        self.assertEqual([(number(1), True)], q.ready())
        q.asks(number(1))
        q.not_there(number(1), 0, 1)
        self.assertEqual([(number(1), False)], q.ready())
        self.assertEqual(1, q.held[number(1)].sending(0))

    def test_all_heads_that_may_have_run_it_are_asked(self) -> None:
        q = self.queue()
        q.accepted(write(1), Stage.UNKNOWN, "", (3, 5))
        q.asks(number(1))
        q.not_there(number(1), 5, 9)
        self.assertEqual([(number(1), True)], q.ready())
        q.asks(number(1))
        q.not_there(number(1), 3, 4)
        self.assertEqual([(number(1), False)], q.ready())
        self.assertEqual((9, 4, 0), tuple(q.held[number(1)].sending(via) for via in (5, 3, 8)))

    def test_only_what_went_that_way_is_unknown_as_the_way_breaks(self) -> None:
        q = self.queue(ROOM, write(1), write(2))
        q.sends(number(1), 7)
        q.sends(number(2), 8)
        q.broke(7)
        self.assertEqual([Stage.UNKNOWN, Stage.SENT], [h.stage for h in q.held.values()])

    def test_what_is_on_its_way_to_the_disks_takes_room_and_is_not_replayed(self) -> None:
        q = self.queue()
        q.taking(write(1, key="a"))
        q.taking(write(2, 1, key="a"))
        self.assertEqual((200, []), (q.size, q.ready()))
        q.kept(number(2))
        self.assertEqual([], q.ready(), "its cause is not accepted yet")
        q.dropped(number(1))
        self.assertEqual([2], [n.place for n, _ in q.ready()])
        self.assertEqual(number(2), q.last_of("a"))

    def test_a_clients_repeat_is_the_one_that_was_accepted(self) -> None:
        q = self.queue(ROOM, replace(write(1), label=77))
        self.assertEqual(number(1), q.again(77, 1, 1))
        self.assertEqual((None, None, None), (q.again(77, 1, 2), q.again(78, 1, 1), q.again(0, 1, 1)))

    def test_what_is_turned_away_waits_its_time(self) -> None:
        q = self.queue(ROOM, write(1))
        q.sends(number(1))
        q.turned_away(number(1), 3, 4.0)  # of another sending
        self.assertIs(Stage.SENT, q.held[number(1)].stage)
        q.turned_away(number(1), 0, 5.0)
        self.assertEqual(([], 1), (q.ready(4.9), len(q.ready(5.0))))

    def test_the_mark_is_below_all_that_is_not_over_but_what_is_parked(self) -> None:
        q = self.queue(ROOM, write(1), write(2), write(3))
        q.park(number(1), "x")
        self.assertEqual((1, 1), q.mark)
        q.in_effect(number(2))
        q.in_effect(number(3))
        self.assertEqual((1, 3), q.mark)

    def test_parked_with_all_that_depends_on_it_released_and_discarded_by_a_person(self) -> None:
        q = self.queue(ROOM, write(1, parks=True), write(2, 1), write(3, 2), write(4))
        self.assertFalse(q.conflicts(number(1), "changed at the main site"))
        self.assertEqual([1, 2, 3], [h.write.number.place for h in q.parked])
        self.assertTrue(all(h.reason for h in q.parked))
        q.accepted(write(5, 3))
        self.assertIs(Stage.PARKED, q.held[number(5)].stage)
        q.in_effect(number(4))
        self.assertTrue(q.empty)
        self.assertFalse(q.discard(number(1)), "others depend on it")
        self.assertTrue(q.discard(number(5)))
        self.assertEqual([1, 2, 3], [n.place for n in q.release(number(1))])
        self.assertTrue(q.conflicts(number(1), "changed"), "a person said so")
        self.assertEqual([1], [n.place for n, _ in q.ready()])

    def test_what_comes_after_a_write_parked_at_the_other_head_is_parked_and_freed_with_it(self) -> None:
        other = number(4, branch=2)
        q = self.queue()
        q.accepted(replace(write(1), others=(other,)))
        q.accepted(write(2, 1))
        q.accepted(write(3))
        q.parked_elsewhere(other)
        self.assertEqual([1, 2], [h.write.number.place for h in q.parked])
        self.assertEqual([], q.freed(other, lambda n: n == other), "it is parked still")
        self.assertEqual([1, 2], [n.place for n in q.freed(other)])
        q.conflicts(number(3), "x")
        q.park(number(3), "for itself")
        self.assertEqual([], q.freed(number(9)))

    def test_what_was_parked_for_anothers_sake_is_asked_about_once_it_is_released(self) -> None:
        q = self.queue(ROOM, write(1, parks=True))
        q.accepted(write(2, 1), Stage.UNKNOWN, "", (4,))
        q.conflicts(number(1), "changed")
        self.assertEqual([1, 2], [n.place for n in q.release(number(1))])
        self.assertEqual([Stage.WAITS, Stage.UNKNOWN], [h.stage for h in q.held.values()])
        self.assertEqual([True, False], [h.anyway for h in q.held.values()])

    def test_another_branchs_write_comes_first(self) -> None:
        there: set[WriteNumber] = set()
        q = Queue(ROOM, (1.0,), there.__contains__)
        other = number(4, branch=2)
        q.accepted(Write(number(1), 1, 1, "k", 1.0, 1, 0.0, (), (other,)))
        self.assertEqual([], q.ready())
        there.add(other)
        self.assertEqual(1, len(q.ready()))

    def test_causes_are_all_that_a_client_knows_and_no_more(self) -> None:
        context = Context()
        context.knows(number(3))
        context.answered(write(5))
        context.knows(number(2))  # read after a later one was answered: it is no cause of that
        self.assertEqual((number(2), number(3), number(5)), causes(1, context.seen)[0])  # type: ignore[index]
        context.answered(write(6, 2, 3, 5))
        self.assertEqual({number(6)}, context.seen)
        context.forget(lambda n: n.place == 6)
        self.assertEqual(set(), context.seen)

    def test_what_may_be_taken_back_brings_its_own_causes(self) -> None:
        unsure = {number(4): [number(3)], number(3): [number(1, branch=2)]}
        named = causes(1, [number(4)], lambda n: unsure.get(n, []))
        self.assertEqual(((number(3), number(4)), (number(1, branch=2),)), named)

    def test_too_many_causes_are_refused(self) -> None:
        self.assertIsNone(causes(1, [number(n) for n in range(CAUSES_MOST + 1)]))


class Parts(unittest.TestCase):
    def test_a_read_sees_the_last_queued_write_of_each_block(self) -> None:
        shadow = Shadow(2)
        shadow.add(number(1), 1, 7, b"aabb", ())
        shadow.add(number(2), 1, 8, b"cc", (number(1),))
        self.assertEqual([number(1), number(2), None], shadow.last(1, 7, 3))
        self.assertEqual((b"aa", b"cc"), (shadow.data(number(1), 7), shadow.data(number(2), 8)))
        shadow.remove(number(2))
        self.assertEqual([number(1), number(1)], shadow.last(1, 7, 2))

    def test_one_that_is_heard_of_late_goes_before_what_comes_after_it(self) -> None:
        shadow = Shadow(1)
        shadow.add(number(2), 1, 0, b"b", (number(1, branch=2),))
        shadow.add(number(1, branch=2), 1, 0, b"a", ())
        self.assertEqual([number(2)], shadow.last(1, 0, 1))

    def test_what_becomes_of_a_command(self) -> None:
        one = number(1)
        self.assertEqual(
            [Say.THROUGH, Say.BACK, Say.SERVE, Say.SERVE, Say.BACK],
            [
                of_read(False, [None]),
                of_read(True, [None, None]),
                of_read(True, [one]),
                of_read(False, [one]),
                of_read(False, [one, None]),
            ],
        )
        self.assertEqual(
            [Say.THROUGH, Say.HOLD, Say.HOLD, Say.THROUGH, Say.BACK],
            [
                of_write(False, True, False),
                of_write(True, True, False),
                of_write(False, True, True),
                of_write(True, False, False),
                of_write(False, False, True),
            ],
        )

    def test_bases_know_blocks_that_were_seen_and_tell_changes(self) -> None:
        bases = Bases(2)
        bases.saw(1, 5, b"aabb")
        self.assertEqual(base_of(digests(b"aabb", 2)), bases.of(1, 5, 2))
        self.assertNotEqual(base_of(digests(b"aabc", 2)), bases.of(1, 5, 2))
        self.assertEqual(0, bases.of(1, 5, 3))
        bases.forget(1, 6, 1)
        self.assertEqual(0, bases.of(1, 5, 2))

    def test_replay_yields_and_takes_room_again(self) -> None:
        pace = Pace()
        for _ in range(200):
            pace.answered(0.1, 1.0)
        self.assertEqual(WINDOW, int(pace.window))
        waits = [pace.turned_away(0.0) for _ in range(8)]
        self.assertEqual((1, True), (int(pace.window), sorted(waits) == waits and waits[-1] <= 3.0))
        self.assertEqual(9.0, pace.turned_away(9.0), "the main site's word is not undercut")
        pace.answered(5.0, 1.0)
        self.assertEqual(1, int(pace.window))

    def test_homes_are_one_order_and_the_other_head_is_stood_in_for_in_time(self) -> None:
        self.assertEqual(homes(3, [2, 0, 1]), homes(3, [1, 2, 0]))
        s = StandIn()
        self.assertEqual(
            [False, False, True, False, False],
            [
                s.stands_in(True, 0.0),
                s.stands_in(False, 1.0),
                s.stands_in(False, 1.0 + TAKES_OVER),
                s.stands_in(True, 20.0),
                s.stands_in(False, 21.0),
            ],
        )


class Main(unittest.TestCase):
    def runs(self, m: Landing, place: int, sending: int = 0, epoch: int = 1) -> Answer:
        return m.sent(number(place), sending, epoch, False)

    def test_each_is_in_effect_once(self) -> None:
        m = Landing(1)
        self.assertIs(Answer.RUNS, self.runs(m, 2))
        self.assertIs(Answer.WAITS, self.runs(m, 2))
        m.ended(number(2), Answer.IN_EFFECT)
        self.assertIs(Answer.IN_EFFECT, self.runs(m, 2))
        self.assertEqual((Answer.IN_EFFECT, 0), m.asked(number(2), 1, False))

    def test_an_asking_closes_what_was_sent_before_it_also_of_an_earlier_life(self) -> None:
        m = Landing(1)
        answer, sending = m.asked(number(1), 1, False)
        self.assertIs(Answer.NOT, answer)
        self.assertIs(Answer.CLOSED, self.runs(m, 1), "it comes late")
        later = Landing(2)
        self.assertIs(Answer.CLOSED, self.runs(later, 1, sending))
        self.assertGreater(later.asked(number(1), 1, False)[1], sending)

    def test_what_was_begun_in_an_earlier_life_is_not_known(self) -> None:
        for redoable, answer in ((False, Answer.UNKNOWN), (True, Answer.NOT)):
            m = Landing(2)
            m.recovered(number(1), False)
            self.assertIs(answer, m.asked(number(1), 1, redoable)[0])
        m.recovered(number(1), True)
        self.assertIs(Answer.IN_EFFECT, m.asked(number(1), 1, False)[0])

    def test_a_person_may_say_that_it_is_sent_again(self) -> None:
        m = Landing(2)
        m.recovered(number(1), False)
        self.assertIs(Answer.UNKNOWN, self.runs(m, 1))
        m.released(number(1))
        self.assertIs(Answer.RUNS, self.runs(m, 1))

    def test_below_the_mark_all_is_over_but_what_is_parked(self) -> None:
        m = Landing(1)
        m.recovered(number(3), True)
        self.assertEqual([(1, 3)], m.marked(1, 1, (1, 4), frozenset({(1, 2)})))
        self.assertEqual(
            [Answer.IN_EFFECT, Answer.RUNS, Answer.IN_EFFECT, Answer.RUNS],
            [self.runs(m, place) for place in (1, 2, 4, 5)],
        )

    def test_what_was_parked_and_is_released_is_not_over(self) -> None:
        q = Queue(ROOM, (1.0,))
        for place in (1, 2):
            q.accepted(write(place))
        q.park(number(1), "x")
        q.in_effect(number(2))
        m = Landing(1)
        m.marked(1, 1, q.mark, frozenset(q.passed))
        q.release(number(1))
        m.marked(1, 1, q.mark, frozenset(q.passed))
        self.assertIs(Answer.RUNS, self.runs(m, 1))
        m.ended(number(1), Answer.IN_EFFECT)
        m.marked(1, 1, (1, 2), frozenset())
        self.assertIs(Answer.IN_EFFECT, self.runs(m, 1))

    def test_an_earlier_epoch_is_shut_out(self) -> None:
        m = Landing(1)
        m.marked(1, 7, (0, 0), frozenset())
        self.assertIsNone(m.marked(1, 6, (0, 0), frozenset()))
        self.assertIs(Answer.SHUT_OUT, self.runs(m, 1, epoch=6))
        self.assertEqual((Answer.SHUT_OUT, 7), m.asked(number(1), 6, False))
        self.assertIs(Answer.RUNS, self.runs(m, 1, epoch=7))

    def test_no_more_run_at_once_than_the_main_site_bears(self) -> None:
        m = Landing(1)
        answers = [m.sent(number(1, branch=b), 0, 1, False) for b in range(RUNNING_MOST + 1)]
        self.assertEqual([Answer.RUNS] * RUNNING_MOST + [Answer.AGAIN], answers)


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
        plant: Callable[[Landing], None] = lambda m: None,
        causal: bool = True,
        writes: int = 2,
    ) -> dict[str, Any]:
        def queue(held: Any) -> Queue:
            q = Queue(ROOM, (1.0,))
            for place, stage, sending in held:
                w = self.WRITES[place - 1]
                w = w if causal else replace(w, own=())
                known = Stage(stage) in (Stage.UNKNOWN, Stage.ASKED, Stage.SENT)
                q.held[w.number] = Held(w, Stage(stage), "", 0, {0: sending}, [0] if known else [])
            return q

        def kept(q: Queue) -> Any:
            return tuple((n.place, h.stage.value, h.sending(0)) for n, h in q.held.items())

        def landing(state: Any) -> Landing:
            life, in_effect, unknown, running, closed = state
            m = Landing(life)
            m.of[1] = Of(
                1,
                (0, 0),
                frozenset(),
                *({(1, p) for p in places} for places in (in_effect, unknown, running)),
                {(1, p): n for p, n in closed},
            )
            plant(m)
            return m

        def main(m: Landing) -> Any:
            of = m.of[1]
            closed = tuple(sorted((p, n) for (_, p), n in of.closed.items()))
            return (
                m.base >> 12,
                *(tuple(sorted(p for _, p in places)) for places in (of.in_effect, of.unknown, of.running)),
                closed,
            )

        def transitions(state: Any) -> list[tuple[str, Any]]:
            held, there, flying, ran, done, left, lives = state
            found: list[tuple[str, Any]] = []
            q = queue(held)
            for n, ask in q.ready():
                q = queue(held)
                if ask and not blind:
                    q.asks(n)
                    more = flying | {("ask", n.place, 0)}
                    found.append(("asks", (kept(q), there, more, ran, done, left, lives)))
                else:
                    q.sends(n)
                    more = flying | {("send", n.place, q.held[n].sending(0))}
                    found.append(("sends", (kept(q), there, more, ran, done, left, lives)))
            for message in flying:
                what, place, sending = message
                rest, n = flying - {message}, number(place)
                m, q = landing(there), queue(held)
                if what in ("send", "old send"):
                    answer = m.sent(n, sending, 1, False)
                    no_word = what == "old send" or answer in (Answer.RUNS, Answer.WAITS)
                    more = rest if no_word else rest | {(answer.name, place, sending)}
                    found.append(("comes", (held, main(m), more, ran, done, left, lives)))
                elif what in ("ask", "old ask"):
                    answer, taken = m.asked(n, 1, False)
                    if answer is not Answer.WAITS or what == "old ask":
                        more = rest if what == "old ask" else rest | {(answer.name, place, taken)}
                        found.append(("is asked", (held, main(m), more, ran, done, left, lives)))
                    continue
                else:
                    if what == "IN_EFFECT":
                        q.in_effect(n)
                    elif what == "NOT":
                        q.not_there(n, 0, sending)
                    elif what == "UNKNOWN":
                        q.park(n, "")
                    elif what == "CLOSED":
                        q.closed(n, sending)
                    else:
                        q.turned_away(n, sending)
                    found.append(("hears", (kept(q), there, rest, ran, done, left, lives)))
                    found.append(("answer lost", (held, there, rest, ran, done, left, lives)))
            for place in there[3]:
                sent = dict(there[4]).get(place, 0)
                if place not in done:  # the shelf works on it, or never gets it
                    found.append(("runs", (held, there, flying, (*ran, place), (*done, place), left, lives)))
                m = landing(there)
                answer = Answer.IN_EFFECT if place in done else Answer.AGAIN
                m.ended(number(place), answer)
                more, rest = flying | {(answer.name, place, sent)}, tuple(p for p in done if p != place)
                found.append(("ends", (held, main(m), more, ran, rest, left, lives)))
            if left:
                q = queue(held)
                q.broke()
                # What was on its way there may come late; its answers find nobody.
                old = frozenset(
                    (f"old {m[0].split(' ')[-1]}", *m[1:]) for m in flying if m[0].endswith(("send", "ask"))
                )
                found.append(("crash or cut", (kept(q), there, old, ran, done, left - 1, lives)))
            if lives:
                life, in_effect, unknown, running, _ = there
                q = queue(held)
                q.broke()
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
                    tuple((n + 1, Stage.WAITS.value, 0) for n in range(writes)),
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
        def forgets(m: Landing) -> None:
            m._over = lambda of, place: False  # type: ignore[method-assign]

        def knows_nothing(m: Landing) -> None:
            m.of[1].unknown.clear()

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
        q, m = Queue(ROOM, (1.0,)), Landing(1)
        all_causes: dict[WriteNumber, tuple[WriteNumber, ...]] = {}
        for place, (key, back) in enumerate(said, 1):
            last = q.last_of(str(key))
            own = {number(place - b) for b in back if place > b} | ({last} if last is not None else set())
            w = Write(number(place), 1, place, str(key), 1.0, 1, 0.0, tuple(sorted(own)))
            all_causes[w.number] = w.own
            q.accepted(w)
        ran: list[WriteNumber] = []
        flying: list[tuple[WriteNumber, int]] = []
        for _ in range(3000):
            if q.empty:
                break
            for n, ask in q.ready():
                if ask:
                    q.asks(n)
                    answer, sending = m.asked(n, 1, False)
                    q.in_effect(n) if answer is Answer.IN_EFFECT else q.not_there(n, 0, sending)
                else:
                    q.sends(n)
                    flying.append((n, q.held[n].sending(0)))
            if flying:
                n, sending = flying.pop(chance.randrange(len(flying)))
                if m.sent(n, sending, 1, False) is Answer.RUNS:
                    m.ended(n, Answer.IN_EFFECT)
                    ran.append(n)
                if chance.random() < 0.7 and m.sent(n, sending, 1, False) is Answer.IN_EFFECT:
                    q.in_effect(n)
            if chance.random() < 0.2 or not flying:
                q.broke()
        self.assertTrue(q.empty)
        self.assertEqual(sorted(all_causes), sorted(ran))
        for n in ran:
            for cause in all_causes[n]:
                self.assertLess(ran.index(cause), ran.index(n))
