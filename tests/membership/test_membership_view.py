"""The membership view: the order of records, the codec, simulated fleets with faults, and a model check."""

import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.membership.failure_detector import RelayedPing
from gorsethread.membership.gossip_messages import (
    GossipDecodeError,
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
    decode,
    encode,
)
from gorsethread.membership.member_state import supersedes
from gorsethread.membership.member_table import HISTORY_MAX
from gorsethread.membership.membership_view import MembershipView
from gorsethread.simulation.membership_mutants import MEMBERSHIP_MUTANTS
from gorsethread.simulation.membership_simulation import MembershipSimulation, generate_script
from gorsethread.simulation.script import read_script

ADDRESS = ("10.0.0.1", 1000)
RECORDS = st.builds(
    MemberRecord,
    st.just(3),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(list(MemberState)),
    st.just(0),
    st.just(0),
    st.just("10.0.0.1"),
    st.just(1003),
    st.integers(0, 3),
)
ENCODED = encode(
    GossipMessage(MessageKind.PING, 1, 1, 0, 5, (MemberRecord(3, 1, 0, 0, 0, 0, *ADDRESS, 1),)), 7
)


def record_of(
    member: int, incarnation: int = 1, refutation: int = 0, state: int = MemberState.ALIVE, by: int = 0
) -> MemberRecord:
    return MemberRecord(member, incarnation, refutation, state, 0, 0, "10.0.0.1", 1000 + member, by)


def new_view(member: int = 0, now: float = 0.0) -> MembershipView:
    return MembershipView(record_of(member), (("10.0.0.1", 1000),), now, lambda: 0.5)


class RecordsAndCodec(unittest.TestCase):
    @given(st.lists(RECORDS, min_size=1, max_size=8), st.randoms(use_true_random=False))
    def test_the_same_record_wins_in_any_order_and_with_repetitions(
        self, records: list[MemberRecord], random: Any
    ) -> None:
        def winner(order: list[MemberRecord]) -> tuple[int, int, int]:
            best: MemberRecord | None = None
            for record in order:
                best = record if supersedes(record, best) else best
            assert best is not None
            return best.incarnation, best.state, 0 if best.ended else best.refutation

        shuffled = records + records[:3]
        random.shuffle(shuffled)
        self.assertEqual(winner(records), winner(shuffled))

    @given(st.lists(RECORDS, min_size=1, max_size=8))
    def test_an_incarnation_that_ended_is_never_alive_again(self, records: list[MemberRecord]) -> None:
        view = new_view()
        ended: set[int] = set()
        for record in records:
            view.received(("10.0.0.1", 1001), GossipMessage(MessageKind.ACK, 1, 0, 0, 0, (record,)))
            if record.ended:
                ended.add(record.incarnation)
            believed = view.records[3]
            self.assertFalse(believed.incarnation in ended and not believed.ended, (believed, ended))

    @given(st.binary(max_size=300))
    @settings(max_examples=200)
    def test_bytes_that_are_not_a_message_are_rejected(self, noise: bytes) -> None:
        for data in (noise, ENCODED[: len(noise) % len(ENCODED)], ENCODED[:5] + noise):
            if data != ENCODED:
                try:
                    decode(data, 7)
                except GossipDecodeError:
                    continue
                self.assertEqual(data, encode(decode(data, 7), 7))

    def test_messages_of_another_fleet_version_or_size_are_rejected(self) -> None:
        for data, reason in (
            (ENCODED, "another fleet"),
            (ENCODED + bytes(300), "over the bound"),
            (b"", "malformed"),
            (ENCODED[:1] + b"\x01" + ENCODED[2:], "another version"),
        ):
            with self.assertRaises(GossipDecodeError) as caught:
                decode(data, 8 if reason == "another fleet" else 7)
            self.assertEqual(reason, str(caught.exception))

    def test_messages_are_filled_without_exceeding_the_size_limit(self) -> None:
        view = new_view()
        for n in range(1, 300):
            view._merge(
                record_of(n, incarnation=2**44 + n, refutation=n)._replace(
                    host="127.127.127.127", machine=10**6
                )
            )
        for _ in range(200):
            view._ping(("10.0.0.1", 1))
        sizes = [len(encode(message, 2**32 - 1)) for _, message in view.outbox]
        self.assertLessEqual(max(sizes), 256)
        self.assertGreater(min(sizes), 150)
        sent = {record.member for _, message in view.outbox for record in message.records}
        self.assertEqual(set(range(300)), sent, "all members of the table are sent")


class SingleView(unittest.TestCase):
    def deliver(self, view: MembershipView, record: MemberRecord, sender: int = 1) -> None:
        view.received(("10.0.0.1", 1000 + sender), GossipMessage(MessageKind.ACK, sender, 0, 0, 0, (record,)))

    def test_a_suspicion_is_refuted_and_a_reported_death_starts_a_new_incarnation(self) -> None:
        view = new_view()
        self.deliver(view, record_of(0, state=MemberState.SUSPECT, by=1))
        self.assertEqual((1, 1), (view.own.incarnation, view.own.refutation))
        self.deliver(view, record_of(0, state=MemberState.DEAD, by=1))
        self.assertEqual(
            (2, 0, MemberState.ALIVE), (view.own.incarnation, view.own.refutation, view.own.state)
        )

    def test_another_process_with_the_same_number_is_counted(self) -> None:
        view = new_view()
        self.deliver(view, record_of(0, incarnation=9))
        self.assertEqual((10, 1), (view.own.incarnation, view.duplicates))
        view.received(ADDRESS, GossipMessage(MessageKind.PING, 0, 0, 0, 0, ()))
        self.assertEqual(2, view.duplicates)

    def test_members_beyond_the_limit_are_refused(self) -> None:
        view = MembershipView(record_of(0), (), 0.0, lambda: 0.5, members_max=3)
        for n in range(1, 9):
            self.deliver(view, record_of(n))
        self.assertEqual((3, 6), (len(view.records), view.refused))

    def test_a_gateway_that_receives_no_messages_suspects_nobody(self) -> None:
        view = new_view()
        for n in range(1, 6):
            self.deliver(view, record_of(n))
        for tick in range(1, 400):
            view.tick(0.1 * tick)
        self.assertTrue(view.apart)
        self.assertEqual(6, len(view.alive))

    def test_a_flood_of_pings_is_answered_only_up_to_the_limit(self) -> None:
        view = new_view()
        for _ in range(500):
            view.received(("10.0.0.1", 1001), GossipMessage(MessageKind.PING, 1, 0, 0, 0, ()))
        self.assertLess(len(view.outbox), 40)


class SimulatedFleets(unittest.TestCase):
    def test_fleets_with_random_faults_settle_without_false_deaths(self) -> None:
        for seed in range(20):
            script = generate_script(seed, 0 if seed % 4 else 12)
            if script.heads <= 20:
                with self.subTest(seed=seed):
                    self.assertEqual([], MembershipSimulation(script).play().reasons)

    def test_every_mutant_is_caught_and_the_original_passes(self) -> None:
        original: dict[str, list[str]] = {}
        for name, (mutate, text) in MEMBERSHIP_MUTANTS.items():
            script = generate_script(int(text)) if text.isdigit() else read_script(f"seed 3\n{text}")
            with self.subTest(mutant=name):
                if text not in original:
                    original[text] = MembershipSimulation(script, settle_time=120.0).play().reasons
                self.assertEqual([], original[text], "without the mutation")
                self.assertNotEqual([], MembershipSimulation(script, mutate, 120.0).play().reasons)

    def test_traffic_per_gateway_does_not_grow_with_the_fleet(self) -> None:
        small, large = (
            MembershipSimulation(
                read_script(f"seed 1\nheads {n}\n1 kill head-0 for 1\n"), settle_time=30.0
            ).play()
            for n in (6, 48)
        )
        self.assertEqual([], small.reasons + large.reasons)
        self.assertLess(large.bytes_a_head_a_second, 2.0 * small.bytes_a_head_a_second + 200.0)


class OrderOfRecords(unittest.TestCase):
    """A model check of one gateway and two observers, a and b, that exchange records about it.

    Records are lost, delayed and repeated in every order, and the gateway crashes and restarts. A state holds
    the gateway's incarnation, refutation and whether it runs, the record that each observer believes, all
    records sent so far, and the incarnations that each observer has seen end.
    """

    def check(self, accepts: Callable[[MemberRecord, MemberRecord | None], bool]) -> dict[str, Any]:
        def transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
            incarnation, refutation, running, a, b, sent, ended_a, ended_b = state
            found = []

            def receive(observer: str, record: MemberRecord) -> None:
                believed, ended = (a, ended_a) if observer == "a" else (b, ended_b)
                known = MemberRecord(3, *believed, 0, 0, "h", 1, 0) if believed else None
                if accepts(record, known):
                    new = (record.incarnation, record.refutation, int(record.state))
                    new_ended = ended | {record.incarnation} if record.ended else ended
                    beliefs = (new, b) if observer == "a" else (a, new)
                    all_ended = (new_ended, ended_b) if observer == "a" else (ended_a, new_ended)
                    found.append(
                        (
                            f"{observer} receives {new}",
                            (incarnation, refutation, running, *beliefs, sent | {new}, *all_ended),
                        )
                    )

            for fields in sent:
                for observer in "ab":
                    receive(observer, MemberRecord(3, *fields, 0, 0, "h", 1, 0))
            for observer, believed in (("a", a), ("b", b)):
                if believed and believed[2] == MemberState.ALIVE:
                    suspect = MemberRecord(3, believed[0], believed[1], MemberState.SUSPECT, 0, 0, "h", 1, 0)
                    receive(observer, suspect)
                elif believed and believed[2] == MemberState.SUSPECT:
                    dead = MemberRecord(3, believed[0], believed[1], MemberState.DEAD, 0, 0, "h", 1, 0)
                    receive(observer, dead)
            observers = (a, b, sent, ended_a, ended_b)

            restarted = (incarnation + 1, 0, int(MemberState.ALIVE))
            refuted = (incarnation, refutation + 1, int(MemberState.ALIVE))
            after_restart = (incarnation + 1, 0, True, a, b, sent | {restarted}, ended_a, ended_b)
            after_refutation = (incarnation, refutation + 1, True, a, b, sent | {refuted}, ended_a, ended_b)
            if running:
                found.append(("crashes", (incarnation, refutation, False, *observers)))
                for fields in sent:
                    if fields[0] == incarnation and fields[2] >= MemberState.LEFT and incarnation < 2:
                        found.append(("learns that it was declared dead", after_restart))
                    elif (
                        fields[0] == incarnation
                        and fields[2] == MemberState.SUSPECT
                        and fields[1] >= refutation
                        and refutation < 1
                    ):
                        found.append(("refutes", after_refutation))
            elif incarnation < 2:
                found.append(("starts", after_restart))
            return found

        first = (1, 0, int(MemberState.ALIVE))
        protocol = Protocol(
            name="order of records",
            candidate=False,
            fields=("incarnation", "refutation", "running", "a", "b", "sent", "ended_a", "ended_b"),
            initial=(1, 0, True, first, first, frozenset({first}), frozenset(), frozenset()),
            transitions=transitions,
            invariants={
                "an ended incarnation is never alive again": lambda fields: not any(
                    believed[0] in ended and believed[2] < MemberState.LEFT
                    for believed, ended in (
                        (fields["a"], fields["ended_a"]),
                        (fields["b"], fields["ended_b"]),
                    )
                )
            },
        )
        result: dict[str, Any] = check_safety(protocol)
        return result

    def test_an_ended_incarnation_is_never_alive_again_in_any_order_of_messages(self) -> None:
        result = self.check(supersedes)
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["an ended incarnation is never alive again"]["holds"], result)

    def test_the_model_check_finds_an_order_in_which_refutations_outrank_an_end(self) -> None:
        def flawed(record: MemberRecord, known: MemberRecord | None) -> bool:
            return known is None or (record.incarnation, record.refutation, record.state) > (
                known.incarnation,
                known.refutation,
                known.state,
            )

        result = self.check(flawed)
        self.assertIs(False, result["properties"]["an ended incarnation is never alive again"]["holds"])


class Limits(unittest.TestCase):
    def test_the_tables_of_a_view_are_bounded(self) -> None:
        view = new_view()
        for n in range(1, 2000):
            view._merge(record_of(n))
            view.relayed_pings[n] = RelayedPing(ADDRESS, 0, 0.0)
        self.assertLessEqual(len(view.records), view.members_max)
        self.assertLessEqual(len(view.history), HISTORY_MAX)
