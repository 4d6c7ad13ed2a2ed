"""Stages of a head that comes back, who holds copies, and what is sent to them: pure cores."""

import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.durable_log.records import NO_SEQUENCE, ExtentPlaced, ExtentReleased, Record, RecordTable
from gorsethread.durable_log.replica_placement import FailureDomain, choose_replicas
from gorsethread.durable_log.replication import MAX_BATCH_RECORDS, IncarnationFence, ReplicationSender
from gorsethread.recovery.stages import POLLING_TIMEOUT, TRUST_AFTER, OwnRecords, RecoveryStages, Stage

OTHERS = frozenset({1, 2, 3})
LAST = (7, 40)


def returning(
    own: tuple[int, int] = LAST,
    whole: bool = True,
    empty: bool = False,
    accepted: bool = False,
    others: frozenset[int] = OTHERS,
    held_by: int = 1,
) -> RecoveryStages:
    return RecoveryStages(0.0, OwnRecords(own, whole, empty, accepted), others, held_by)


class Stages(unittest.TestCase):
    def test_a_whole_folder_that_others_bear_out_is_full_at_once(self) -> None:
        r = returning()
        for n in OTHERS:
            self.assertIs(Stage.POLLING, r.stage)
            self.assertFalse(r.on_answer(n, LAST, 7, 0.1))
        self.assertEqual((Stage.COMPLETE, 0.0), (r.stage, r.retry_after()))

    def test_nobody_to_ask_does_not_hold_up_whole_records(self) -> None:
        r = returning()
        self.assertEqual(POLLING_TIMEOUT, r.next_timer(0.0))
        r.advance(POLLING_TIMEOUT)
        self.assertIs(Stage.RESTRICTED, r.stage)
        self.assertGreater(r.retry_after(), 0.0)
        self.assertEqual(TRUST_AFTER, r.next_timer(POLLING_TIMEOUT))
        r.advance(TRUST_AFTER)
        self.assertEqual((Stage.COMPLETE, None), (r.stage, r.next_timer(TRUST_AFTER)))

    def test_lost_records_wait_for_answers_or_a_person(self) -> None:
        for lost in ({"own": NO_SEQUENCE, "empty": True}, {"whole": False}):
            with self.subTest(lost=lost):
                r = returning(**lost)  # type: ignore[arg-type]
                r.advance(1000.0)
                self.assertEqual((Stage.RESTRICTED, True), (r.stage, r.records_lost))
                self.assertEqual([1, 2, 3], r.awaited())
                r.accept_loss(1001.0)
                self.assertIs(Stage.COMPLETE, r.stage)
                self.assertIs(Stage.COMPLETE, self.after(returning(**lost, accepted=True), TRUST_AFTER))  # type: ignore

    def after(self, r: RecoveryStages, now: float) -> Stage:
        r.advance(now)
        return r.stage

    def test_what_others_hold_beyond_it_is_waited_for(self) -> None:
        r = returning()
        self.assertTrue(r.on_answer(1, (7, 41), 7, 0.1))
        r.on_answer(2, LAST, 7, 0.1)
        r.on_answer(3, LAST, 7, 0.1)
        self.assertIs(Stage.POLLING, r.stage)
        r.on_fetched(1, 0.2)
        self.assertIs(Stage.COMPLETE, r.stage)

    def test_holes_want_everything_from_all(self) -> None:
        r = returning(whole=False)
        self.assertTrue(r.on_answer(1, (7, 3), 7, 0.0))

    def test_as_many_answers_as_leave_no_promise_out(self) -> None:
        for held_by, needed in ((1, 3), (2, 2), (3, 1)):
            self.assertEqual(needed, returning(held_by=held_by).answers_needed)

    def test_without_copies_a_first_start_and_a_whole_folder_are_full_at_once(self) -> None:
        for r in (
            returning(NO_SEQUENCE, empty=True, held_by=0),
            returning(held_by=0),
            returning(NO_SEQUENCE, empty=True, others=frozenset()),
        ):
            self.assertIs(Stage.COMPLETE, r.stage)
        self.assertIs(Stage.RESTRICTED, self.after(returning(whole=False, held_by=0), 1000.0))

    @given(st.integers(0, 10**13), st.lists(st.integers(0, 10**13), max_size=3), st.floats(0, 1e13))
    def test_a_life_is_later_than_any_that_is_known(self, own: int, known: list[int], wall: float) -> None:
        r = returning((own, 1))
        for n, life in enumerate(known, 1):
            r.on_answer(n, (0, 0), life, 0.0)
        self.assertGreater(r.next_incarnation(wall), max(own, *known, 0))


class Checked(unittest.TestCase):
    """State by state: a head that promises, two others of which one must hold each promise, kills
    and lost disks of any of the three, one at a time while it is not whole again, answers in any order.
    A promise is a place; a head that is not FULL gives none. Bad: it is FULL and a promise is missing."""

    PROMISES = 2

    def check(self, plant: Callable[[RecoveryStages], None] = lambda r: None) -> dict[str, Any]:
        def made(
            own: int, whole: bool, empty: bool, heard: tuple[Any, ...], fetched: tuple[int, ...], now: float
        ) -> RecoveryStages:
            found = OwnRecords((1, own) if own else NO_SEQUENCE, whole, empty, False)
            r = RecoveryStages(0.0, found, frozenset({1, 2}), 1)
            plant(r)
            for n, last in heard:
                r.on_answer(n, (1, last) if last else NO_SEQUENCE, 1, 0.0)
            for n in fetched:
                r.on_fetched(n, 0.0)
            r.advance(now)
            return r

        def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
            promised, own, copies, up, heard, fetched, late, lost = state
            found: list[tuple[str, tuple[Any, ...]]] = []
            whole, empty = True, own == 0
            r = made(own, whole, empty, heard, fetched, 1000.0 if late else 0.0)
            got = max([own, *(copies[n - 1] for n in fetched)])
            if up and r.stage is Stage.COMPLETE:
                if promised < self.PROMISES and promised <= got:
                    for n in (1, 2):  # which of them says first that it holds it
                        both = tuple(promised + 1 if k == n - 1 else copies[k] for k in range(2))
                        new = promised + 1, promised + 1, both, True, heard, fetched, late, lost
                        found.append(("promises", new))
                # A holder that is behind hears all that holds.
                for n in (1, 2):
                    if copies[n - 1] < got and got == promised:
                        both = tuple(got if k == n - 1 else copies[k] for k in range(2))
                        again = lost if lost == 0 or min(both) < promised else 0
                        new = promised, max(own, got), both, True, heard, fetched, late, again
                        found.append(("copies", new))
            if up:
                for n in (1, 2):
                    if n not in [h for h, _ in heard]:
                        found.append(
                            (
                                "answers",
                                (
                                    promised,
                                    own,
                                    copies,
                                    True,
                                    tuple(sorted((*heard, (n, copies[n - 1])))),
                                    fetched,
                                    late,
                                    lost,
                                ),
                            )
                        )
                for n, last in heard:
                    if last > own and n not in fetched:
                        found.append(
                            (
                                "gives back",
                                (
                                    promised,
                                    own,
                                    copies,
                                    True,
                                    heard,
                                    tuple(sorted((*fetched, n))),
                                    late,
                                    lost,
                                ),
                            )
                        )
                if not late:
                    found.append(("time", (promised, own, copies, True, heard, fetched, True, lost)))
                found.append(("is killed", (promised, own, copies, False, (), (), False, lost)))
            else:
                found.append(("starts", (promised, own, copies, True, (), (), False, lost)))
                if not lost:
                    found.append(("loses its disk", (promised, 0, copies, False, (), (), False, 3)))
            if not lost:
                for n in (1, 2):
                    both = tuple(0 if k == n - 1 else copies[k] for k in range(2))
                    found.append((f"{n} loses its disk", (promised, own, both, up, heard, fetched, late, n)))
            return found

        def whole_when_full(d: dict[str, Any]) -> bool:
            if not d["up"]:
                return True
            r = made(d["own"], True, d["own"] == 0, d["heard"], d["fetched"], 1000.0 if d["late"] else 0.0)
            has = max([d["own"], *(last for n, last in d["heard"] if n in d["fetched"])])
            return r.stage is not Stage.COMPLETE or has >= d["promised"]

        result: dict[str, Any] = check_safety(
            Protocol(
                name="returning",
                candidate=False,
                fields=("promised", "own", "copies", "up", "heard", "fetched", "late", "lost"),
                initial=(0, 0, (0, 0), False, (), (), False, 0),
                transitions=transitions,
                invariants={"full is whole": whole_when_full},
            ),
            100_000,
        )
        return result

    def test_no_order_of_kills_and_lost_disks_makes_it_full_without_a_promise(self) -> None:
        result = self.check()
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["full is whole"]["holds"], result)

    def test_each_planted_flaw_is_found(self) -> None:
        def trusting(r: RecoveryStages) -> None:
            r.trusts_own_records = True

        def one_answer(r: RecoveryStages) -> None:
            r.required_replicas = 2

        def not_fetched(r: RecoveryStages) -> None:
            honest = r.on_answer
            r.on_answer = lambda n, last, life, now: honest(n, min(last, r.own_last), life, now)  # type: ignore

        for flaw in (trusting, one_answer, not_fetched):
            with self.subTest(flaw.__name__):
                self.assertIs(False, self.check(flaw)["properties"]["full is whole"]["holds"])


class Holders(unittest.TestCase):
    PLACES = {n: FailureDomain(n % 3, f"m{n // 2}") for n in range(12)}

    def test_they_are_on_other_machines_and_in_other_rooms(self) -> None:
        for origin in self.PLACES:
            chosen = choose_replicas(origin, self.PLACES, self.PLACES, 2)
            places = [self.PLACES[n] for n in (origin, *chosen)]
            self.assertEqual((3, 3), (len({p.machine for p in places}), len({p.zone for p in places})))

    def test_one_that_goes_moves_only_what_it_held(self) -> None:
        places = {n: FailureDomain(0, str(n)) for n in range(40)}
        gone = 17
        for origin in set(places) - {gone}:
            before = choose_replicas(origin, places, places, 2)
            after = choose_replicas(origin, places, set(places) - {gone}, 2)
            self.assertEqual(set(before) - {gone}, set(after) & set(before))

    def test_load_is_spread(self) -> None:
        places = {n: FailureDomain(0, str(n)) for n in range(60)}
        counts = [0] * 60
        for origin in places:
            for n in choose_replicas(origin, places, places, 2):
                counts[n] += 1
        self.assertEqual(120, sum(counts))
        self.assertLess(max(counts), 9)

    def test_few_heads_have_fewer(self) -> None:
        self.assertEqual([], choose_replicas(0, {0: FailureDomain(0, "a")}, [0], 2))
        self.assertEqual(
            [1], choose_replicas(0, {0: FailureDomain(0, "a"), 1: FailureDomain(0, "a")}, [0, 1, 5], 2)
        )


class Copies(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RecordTable()
        self.sender = ReplicationSender(1)
        self.sender.set_replicas([1, 2])

    def placed(self, place: int, life: int = 1) -> Any:
        self.table.apply(Record((life, place), ExtentPlaced(1, place, 0)))
        return life, place

    def test_a_promise_is_held_once_a_holder_says_so(self) -> None:
        last = self.placed(1)
        self.assertIsNone(self.sender.next_batch(1, self.table, last), "no way to it stands yet")
        self.sender.connected(1, NO_SEQUENCE, NO_SEQUENCE)
        piece = self.sender.next_batch(1, self.table, last)
        assert piece is not None
        self.assertEqual((1, last), (len(piece.records), piece.last))
        self.assertEqual((NO_SEQUENCE, True), (self.sender.replicated, self.sender.has_quorum))
        self.assertIsNone(self.sender.next_batch(1, self.table, self.placed(2)), "one piece at a time")
        self.sender.confirmed(1, last)
        self.assertEqual(last, self.sender.replicated)

    def test_one_that_was_away_hears_what_is_later_and_one_too_far_behind_all(self) -> None:
        for place in range(1, 3 * MAX_BATCH_RECORDS):
            last = self.placed(place)
        self.sender.connected(1, (1, 10), NO_SEQUENCE)
        got: list[Record] = []
        for _ in range(3):
            piece = self.sender.next_batch(1, self.table, last)
            assert piece is not None
            got += piece.records
            self.sender.confirmed(1, piece.last)
        self.assertEqual(3 * MAX_BATCH_RECORDS - 11, len(got))
        self.assertIsNone(self.sender.next_batch(1, self.table, last))
        self.sender.connected(2, (1, 10), (1, 11))
        piece = self.sender.next_batch(2, self.table, last)
        assert piece is not None
        self.assertEqual((True, (1, 1)), (piece.replaces_all, piece.records[0].number))

    def test_holders_change_without_fewer_holding(self) -> None:
        last = self.placed(1)
        for n in (1, 2):
            self.sender.connected(n, last, NO_SEQUENCE)
        self.assertEqual(([3], []), self.sender.set_replicas([2, 3]))
        self.sender.connected(3, NO_SEQUENCE, NO_SEQUENCE)
        self.assertEqual(([], []), self.sender.set_replicas([2, 3]))
        self.sender.confirmed(3, last)
        self.assertEqual(([], [1]), self.sender.set_replicas([2, 3]))

    def test_none_needed_holds_at_once(self) -> None:
        self.assertGreater(ReplicationSender(0).replicated, (10**15, 0))
        self.assertTrue(ReplicationSender(0).has_quorum)

    def test_an_earlier_life_is_shut_out(self) -> None:
        keeping = IncarnationFence()
        self.assertEqual(5, keeping.note_incarnation(3, 5))
        self.assertEqual(5, keeping.note_incarnation(3, 4))
        self.assertFalse(keeping.accepts(3, 4))
        self.assertTrue(keeping.accepts(3, 5))
        self.assertEqual(5, keeping.note_incarnation(3, 0), "who only asks")

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 6)), max_size=60), st.randoms())
    def test_a_holder_has_what_the_owner_says_it_has(self, steps: list[tuple[int, int]], chance: Any) -> None:
        """Records, losses of the way, compaction in any order: what a holder is known to have it can give."""
        table, sender, place, forgot = RecordTable(), ReplicationSender(1), 0, NO_SEQUENCE
        sender.set_replicas([1])
        holder, reached = RecordTable(), NO_SEQUENCE
        out: Any = None
        for what, extent in steps:
            if what == 0:
                place += 1
                fact = ExtentReleased(1, extent) if chance.random() < 0.3 else ExtentPlaced(1, extent, place)
                table.apply(Record((1, place), fact))
            elif what == 1:
                if sender.replicas[1].confirmed is None:
                    sender.connected(1, reached, forgot)
                elif out is not None:
                    if out.replaces_all:
                        holder, reached = RecordTable(), NO_SEQUENCE
                    for r in out.records:
                        holder.apply(r)
                    reached = max(reached, out.last)
                    sender.confirmed(1, out.last)
                    out = None
                else:
                    out = sender.next_batch(1, table, table.last)
            elif extent < 3:
                sender.disconnected(1)
                out = None
            else:
                forgot = max(forgot, table.drop_removals())
            mark = sender.replicas[1].confirmed
            if mark is not None and mark == table.last:
                self.assertEqual(table.placements(), holder.placements())
