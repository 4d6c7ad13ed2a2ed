"""The pure cores of recovery and replication: stages, placement of replicas, sender and fence."""

import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.durable_log.records import NO_SEQUENCE, ExtentPlaced, ExtentReleased, Record, RecordTable
from gorsethread.durable_log.replica_placement import FailureDomain, choose_replicas
from gorsethread.durable_log.replication import MAX_BATCH_RECORDS, IncarnationFence, ReplicationSender
from gorsethread.recovery.stages import (
    ACCEPTED_LOSS_WAIT,
    POLLING_TIMEOUT,
    CompletionReason,
    OwnRecords,
    RecoveryStages,
    Stage,
)

OTHERS = frozenset({1, 2, 3})
LAST = (7, 40)


def recovery(
    own_last: tuple[int, int] = LAST,
    complete: bool = True,
    empty: bool = False,
    loss_accepted: bool = False,
    others: frozenset[int] = OTHERS,
    required: int = 1,
) -> RecoveryStages:
    return RecoveryStages(0.0, OwnRecords(own_last, complete, empty, loss_accepted), others, required)


class RecoveryStageTransitions(unittest.TestCase):
    def test_complete_records_confirmed_by_all_others_are_complete_at_once(self) -> None:
        stages = recovery()
        for n in OTHERS:
            self.assertIs(Stage.POLLING, stages.stage)
            self.assertFalse(stages.on_answer(n, LAST, 7, 0.1))
        self.assertEqual((Stage.COMPLETE, 0.0), (stages.stage, stages.retry_after()))

    def test_complete_records_are_not_trusted_without_answers_however_long_it_takes(self) -> None:
        # Guards against a restored backup that is taken for the latest records: it is complete as well.
        stages = recovery()
        self.assertEqual(POLLING_TIMEOUT, stages.next_timer(0.0))
        stages.advance(POLLING_TIMEOUT)
        self.assertIs(Stage.RESTRICTED, stages.stage)
        self.assertIsNone(stages.next_timer(POLLING_TIMEOUT))
        for n in (1, 2):
            stages.on_answer(n, LAST, 7, ACCEPTED_LOSS_WAIT)
            stages.advance(1000.0)
            self.assertEqual((Stage.RESTRICTED, False), (stages.stage, stages.records_lost))
            self.assertTrue(stages.needs_operator)
            self.assertGreater(stages.retry_after(), 0.0)
        stages.on_answer(3, LAST, 7, 1001.0)
        self.assertEqual((Stage.COMPLETE, None), (stages.stage, stages.next_timer(1001.0)))
        self.assertIs(CompletionReason.CERTAIN, stages.completion_reason)

    def test_records_that_others_are_known_to_hold_are_fetched_however_long_it_takes(self) -> None:
        # Guards against serving as COMPLETE while the fetch of later records is still open.
        for loss_accepted in (False, True):
            with self.subTest(loss_accepted=loss_accepted):
                stages = recovery(others=frozenset({1, 2}), loss_accepted=loss_accepted)
                self.assertTrue(stages.on_answer(1, (7, 41), 7, 0.1))
                self.assertTrue(stages.on_answer(2, (7, 42), 7, 0.1))
                stages.advance(1000.0)
                self.assertEqual((Stage.RESTRICTED, [1, 2]), (stages.stage, stages.awaited()))
                self.assertEqual([1, 2], stages.open_fetches())
                stages.on_fetched(1, 1001.0)
                self.assertIs(Stage.RESTRICTED, stages.stage)
                stages.on_fetched(2, 1002.0)
                self.assertIs(Stage.COMPLETE, stages.stage)

    def test_an_accepted_loss_ends_a_recovery_with_complete_own_records(self) -> None:
        stages = recovery()
        stages.on_answer(1, LAST, 7, 0.1)
        stages.advance(1000.0)
        stages.accept_loss(1001.0)
        self.assertEqual((Stage.COMPLETE, 0.0), (stages.stage, stages.retry_after()))
        self.assertIs(CompletionReason.LOSS_ACCEPTED, stages.completion_reason)
        self.assertFalse(stages.needs_operator)

    def test_lost_records_wait_for_answers_or_an_accepted_loss(self) -> None:
        for lost in ({"own_last": NO_SEQUENCE, "empty": True}, {"complete": False}):
            with self.subTest(lost=lost):
                stages = recovery(**lost)  # type: ignore[arg-type]
                stages.advance(1000.0)
                self.assertEqual((Stage.RESTRICTED, True), (stages.stage, stages.records_lost))
                self.assertEqual([1, 2, 3], stages.awaited())
                stages.accept_loss(1001.0)
                self.assertIs(Stage.COMPLETE, stages.stage)
                self.assertIs(
                    Stage.COMPLETE, self.after(recovery(**lost, loss_accepted=True), ACCEPTED_LOSS_WAIT)
                )  # type: ignore

    def after(self, stages: RecoveryStages, now: float) -> Stage:
        stages.advance(now)
        return stages.stage

    def test_later_records_of_others_are_waited_for(self) -> None:
        stages = recovery()
        self.assertTrue(stages.on_answer(1, (7, 41), 7, 0.1))
        stages.on_answer(2, LAST, 7, 0.1)
        stages.on_answer(3, LAST, 7, 0.1)
        self.assertIs(Stage.POLLING, stages.stage)
        stages.on_fetched(1, 0.2)
        self.assertIs(Stage.COMPLETE, stages.stage)

    def test_incomplete_records_are_fetched_from_the_start(self) -> None:
        stages = recovery(complete=False)
        self.assertTrue(stages.on_answer(1, (7, 3), 7, 0.0))

    def test_answers_needed_leave_no_acknowledged_record_out(self) -> None:
        for held_by, needed in ((1, 3), (2, 2), (3, 1)):
            self.assertEqual(needed, recovery(required=held_by).answers_needed)

    def test_without_replicas_an_empty_and_a_complete_folder_are_complete_at_once(self) -> None:
        for stages in (
            recovery(NO_SEQUENCE, empty=True, required=0),
            recovery(required=0),
            recovery(NO_SEQUENCE, empty=True, others=frozenset()),
        ):
            self.assertIs(Stage.COMPLETE, stages.stage)
        self.assertIs(Stage.RESTRICTED, self.after(recovery(complete=False, required=0), 1000.0))

    @given(st.integers(0, 10**13), st.lists(st.integers(0, 10**13), max_size=3), st.floats(0, 1e13))
    def test_the_next_incarnation_is_later_than_any_known_one(
        self, own: int, known: list[int], wall: float
    ) -> None:
        stages = recovery((own, 1))
        for n, incarnation in enumerate(known, 1):
            stages.on_answer(n, (0, 0), incarnation, 0.0)
        self.assertGreater(stages.next_incarnation(wall), max(own, *known, 0))


class RecoveryModelCheck(unittest.TestCase):
    """Explores all states of a gateway that acknowledges records and two others that hold replicas.

    One of the two must hold each acknowledged record. Any of the three is killed or loses its disk, and the
    gateway's disk is replaced by an older backup, one disk at a time until the loss is made good. Answers
    arrive in any order. A record is a position; a gateway
    that is not COMPLETE acknowledges none. The invariant fails if it is COMPLETE and an acknowledged record
    is missing.
    """

    MAX_ACKNOWLEDGED = 2

    def check(self, inject_defect: Callable[[RecoveryStages], None] = lambda stages: None) -> dict[str, Any]:
        def recovered_at(
            own: int,
            complete: bool,
            empty: bool,
            answers: tuple[Any, ...],
            fetched: tuple[int, ...],
            now: float,
        ) -> RecoveryStages:
            found = OwnRecords((1, own) if own else NO_SEQUENCE, complete, empty, False)
            stages = RecoveryStages(0.0, found, frozenset({1, 2}), 1)
            inject_defect(stages)
            for n, last in answers:
                stages.on_answer(n, (1, last) if last else NO_SEQUENCE, 1, 0.0)
            for n in fetched:
                stages.on_fetched(n, 0.0)
            stages.advance(now)
            return stages

        def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
            acknowledged, own, replicated, up, answers, fetched, timed_out, lost = state
            found: list[tuple[str, tuple[Any, ...]]] = []
            complete, empty = True, own == 0
            stages = recovered_at(own, complete, empty, answers, fetched, 1000.0 if timed_out else 0.0)
            recovered = max([own, *(replicated[n - 1] for n in fetched)])
            if up and stages.stage is Stage.COMPLETE:
                if acknowledged < self.MAX_ACKNOWLEDGED and acknowledged <= recovered:
                    for n in (1, 2):  # the one that confirms the record first
                        replicas_after = tuple(
                            acknowledged + 1 if k == n - 1 else replicated[k] for k in range(2)
                        )
                        new = (
                            acknowledged + 1,
                            acknowledged + 1,
                            replicas_after,
                            True,
                            answers,
                            fetched,
                            timed_out,
                            lost,
                        )
                        found.append(("acknowledges", new))
                # A replica that is behind receives all current records.
                for n in (1, 2):
                    if replicated[n - 1] < recovered and recovered == acknowledged:
                        replicas_after = tuple(recovered if k == n - 1 else replicated[k] for k in range(2))
                        still_lost = lost if lost == 0 or min(replicas_after) < acknowledged else 0
                        new = (
                            acknowledged,
                            max(own, recovered),
                            replicas_after,
                            True,
                            answers,
                            fetched,
                            timed_out,
                            still_lost,
                        )
                        found.append(("replicates", new))
            if up:
                for n in (1, 2):
                    if n not in [h for h, _ in answers]:
                        found.append(
                            (
                                "answers",
                                (
                                    acknowledged,
                                    own,
                                    replicated,
                                    True,
                                    tuple(sorted((*answers, (n, replicated[n - 1])))),
                                    fetched,
                                    timed_out,
                                    lost,
                                ),
                            )
                        )
                for n, last in answers:
                    if last > own and n not in fetched:
                        found.append(
                            (
                                "returns records",
                                (
                                    acknowledged,
                                    own,
                                    replicated,
                                    True,
                                    answers,
                                    tuple(sorted((*fetched, n))),
                                    timed_out,
                                    lost,
                                ),
                            )
                        )
                if not timed_out:
                    found.append(
                        ("time", (acknowledged, own, replicated, True, answers, fetched, True, lost))
                    )
                found.append(("is killed", (acknowledged, own, replicated, False, (), (), False, lost)))
            else:
                found.append(("starts", (acknowledged, own, replicated, True, (), (), False, lost)))
                if not lost:
                    found.append(("loses its disk", (acknowledged, 0, replicated, False, (), (), False, 3)))
                    older = max(0, own - 1)
                    found.append(
                        ("gets a backup", (acknowledged, older, replicated, False, (), (), False, 3))
                    )
            if not lost:
                for n in (1, 2):
                    replicas_after = tuple(0 if k == n - 1 else replicated[k] for k in range(2))
                    found.append(
                        (
                            f"{n} loses its disk",
                            (acknowledged, own, replicas_after, up, answers, fetched, timed_out, n),
                        )
                    )
            return found

        def complete_has_all(d: dict[str, Any]) -> bool:
            if not d["up"]:
                return True
            stages = recovered_at(
                d["own"], True, d["own"] == 0, d["answers"], d["fetched"], 1000.0 if d["timed_out"] else 0.0
            )
            has = max([d["own"], *(last for n, last in d["answers"] if n in d["fetched"])])
            return stages.stage is not Stage.COMPLETE or has >= d["acknowledged"]

        result: dict[str, Any] = check_safety(
            Protocol(
                name="recovery",
                candidate=False,
                fields=("acknowledged", "own", "replicated", "up", "answers", "fetched", "timed_out", "lost"),
                initial=(0, 0, (0, 0), False, (), (), False, 0),
                transitions=transitions,
                invariants={"complete has all records": complete_has_all},
            ),
            100_000,
        )
        return result

    def test_no_order_of_kills_and_lost_disks_loses_an_acknowledged_record(self) -> None:
        result = self.check()
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["complete has all records"]["holds"], result)

    def test_each_injected_defect_is_found(self) -> None:
        def trusts_any_records(stages: RecoveryStages) -> None:
            stages.accept_loss(stages.started)

        def trusts_complete_records_after_a_while(stages: RecoveryStages) -> None:
            if stages.trusts_own_records:
                stages.accept_loss(stages.started)

        def needs_one_answer(stages: RecoveryStages) -> None:
            stages.required_replicas = 2

        def fetches_nothing(stages: RecoveryStages) -> None:
            original = stages.on_answer
            stages.on_answer = lambda n, last, known, now: (  # type: ignore
                original(n, min(last, stages.own_last), known, now)
            )

        for defect in (
            trusts_any_records,
            trusts_complete_records_after_a_while,
            needs_one_answer,
            fetches_nothing,
        ):
            with self.subTest(defect.__name__):
                self.assertIs(False, self.check(defect)["properties"]["complete has all records"]["holds"])


class ReplicaPlacement(unittest.TestCase):
    DOMAINS = {n: FailureDomain(n % 3, f"m{n // 2}") for n in range(12)}

    def test_replicas_are_on_other_machines_and_in_other_zones(self) -> None:
        for origin in self.DOMAINS:
            chosen = choose_replicas(origin, self.DOMAINS, self.DOMAINS, 2)
            domains = [self.DOMAINS[n] for n in (origin, *chosen)]
            self.assertEqual((3, 3), (len({p.machine for p in domains}), len({p.zone for p in domains})))

    def test_a_gateway_that_leaves_moves_only_its_own_replicas(self) -> None:
        domains = {n: FailureDomain(0, str(n)) for n in range(40)}
        removed = 17
        for origin in set(domains) - {removed}:
            before = choose_replicas(origin, domains, domains, 2)
            after = choose_replicas(origin, domains, set(domains) - {removed}, 2)
            self.assertEqual(set(before) - {removed}, set(after) & set(before))

    def test_replicas_are_spread_over_the_gateways(self) -> None:
        domains = {n: FailureDomain(0, str(n)) for n in range(60)}
        counts = [0] * 60
        for origin in domains:
            for n in choose_replicas(origin, domains, domains, 2):
                counts[n] += 1
        self.assertEqual(120, sum(counts))
        self.assertLess(max(counts), 9)

    def test_fewer_gateways_have_fewer_replicas(self) -> None:
        self.assertEqual([], choose_replicas(0, {0: FailureDomain(0, "a")}, [0], 2))
        self.assertEqual(
            [1], choose_replicas(0, {0: FailureDomain(0, "a"), 1: FailureDomain(0, "a")}, [0, 1, 5], 2)
        )


class Replication(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RecordTable()
        self.sender = ReplicationSender(1)
        self.sender.set_replicas([1, 2])

    def add_record(self, position: int, incarnation: int = 1) -> Any:
        self.table.apply(Record((incarnation, position), ExtentPlaced(1, position, 0)))
        return incarnation, position

    def test_a_record_is_replicated_once_a_replica_confirms_it(self) -> None:
        last = self.add_record(1)
        self.assertIsNone(self.sender.next_batch(1, self.table, last), "the replica is not connected yet")
        self.sender.connected(1, NO_SEQUENCE, NO_SEQUENCE)
        batch = self.sender.next_batch(1, self.table, last)
        assert batch is not None
        self.assertEqual((1, last), (len(batch.records), batch.last))
        self.assertEqual((NO_SEQUENCE, True), (self.sender.replicated, self.sender.has_quorum))
        self.assertIsNone(self.sender.next_batch(1, self.table, self.add_record(2)), "one batch at a time")
        self.sender.confirmed(1, last)
        self.assertEqual(last, self.sender.replicated)

    def test_a_reconnected_replica_gets_later_records_and_one_too_far_behind_all(self) -> None:
        for position in range(1, 3 * MAX_BATCH_RECORDS):
            last = self.add_record(position)
        self.sender.connected(1, (1, 10), NO_SEQUENCE)
        received: list[Record] = []
        for _ in range(3):
            batch = self.sender.next_batch(1, self.table, last)
            assert batch is not None
            received += batch.records
            self.sender.confirmed(1, batch.last)
        self.assertEqual(3 * MAX_BATCH_RECORDS - 11, len(received))
        self.assertIsNone(self.sender.next_batch(1, self.table, last))
        self.sender.connected(2, (1, 10), (1, 11))
        batch = self.sender.next_batch(2, self.table, last)
        assert batch is not None
        self.assertEqual((True, (1, 1)), (batch.replaces_all, batch.records[0].number))

    def test_records_of_a_replica_are_not_replaced_before_all_have_been_fetched(self) -> None:
        # Guards against a recovering gateway that overwrites later records which only this replica holds.
        last = self.add_record(1)
        self.sender.may_replace = False
        for connect in (
            lambda: self.sender.connected(1, NO_SEQUENCE, last),
            lambda: (self.sender.connected(1, last, NO_SEQUENCE), self.sender.resend_all()),
        ):
            connect()
            self.assertIsNone(self.sender.next_batch(1, self.table, last))
        self.sender.may_replace = True
        batch = self.sender.next_batch(1, self.table, last)
        assert batch is not None
        self.assertTrue(batch.replaces_all)

    def test_a_former_replica_is_removed_once_the_new_one_has_as_much(self) -> None:
        last = self.add_record(1)
        for n in (1, 2):
            self.sender.connected(n, last, NO_SEQUENCE)
        self.assertEqual(([3], []), self.sender.set_replicas([2, 3]))
        self.sender.connected(3, NO_SEQUENCE, NO_SEQUENCE)
        self.assertEqual(([], []), self.sender.set_replicas([2, 3]))
        self.sender.confirmed(3, last)
        self.assertEqual(([], [1]), self.sender.set_replicas([2, 3]))

    def test_without_required_replicas_all_records_are_replicated(self) -> None:
        self.assertGreater(ReplicationSender(0).replicated, (10**15, 0))
        self.assertTrue(ReplicationSender(0).has_quorum)

    def test_an_earlier_incarnation_is_fenced_off(self) -> None:
        fence = IncarnationFence()
        self.assertEqual(5, fence.note_incarnation(3, 5))
        self.assertEqual(5, fence.note_incarnation(3, 4))
        self.assertFalse(fence.accepts(3, 4))
        self.assertTrue(fence.accepts(3, 5))
        self.assertEqual(5, fence.note_incarnation(3, 0), "one that only asks for records")

    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 6)), max_size=60), st.randoms())
    def test_a_replica_has_the_records_that_the_sender_counts(
        self, steps: list[tuple[int, int]], rng: Any
    ) -> None:
        """Records, lost connections and compaction in any order: a replica has what the sender counts."""
        table, sender, position, dropped = RecordTable(), ReplicationSender(1), 0, NO_SEQUENCE
        sender.set_replicas([1])
        replica, reached = RecordTable(), NO_SEQUENCE
        in_flight: Any = None
        for step, extent in steps:
            if step == 0:
                position += 1
                fact = ExtentReleased(1, extent) if rng.random() < 0.3 else ExtentPlaced(1, extent, position)
                table.apply(Record((1, position), fact))
            elif step == 1:
                if sender.replicas[1].confirmed is None:
                    sender.connected(1, reached, dropped)
                elif in_flight is not None:
                    if in_flight.replaces_all:
                        replica, reached = RecordTable(), NO_SEQUENCE
                    for r in in_flight.records:
                        replica.apply(r)
                    reached = max(reached, in_flight.last)
                    sender.confirmed(1, in_flight.last)
                    in_flight = None
                else:
                    in_flight = sender.next_batch(1, table, table.last)
            elif extent < 3:
                sender.disconnected(1)
                in_flight = None
            else:
                dropped = max(dropped, table.drop_removals())
            confirmed = sender.replicas[1].confirmed
            if confirmed is not None and confirmed == table.last:
                self.assertEqual(table.placements(), replica.placements())
