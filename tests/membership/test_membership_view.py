"""The fleet's view: the order of words, their wire, the core in worlds of faults, and its rule of lives
checked state by state."""

import unittest
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.faults.fleet import FleetWorld, drawn
from gorsethread.faults.script import read_script
from gorsethread.faults.viewmutants import VIEW_MUTANTS
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

HOME = ("10.0.0.1", 1000)
WORDS = st.builds(
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
RAW = encode(GossipMessage(MessageKind.PING, 1, 1, 0, 5, (MemberRecord(3, 1, 0, 0, 0, 0, *HOME, 1),)), 7)


def word(
    name: int, incarnation: int = 1, refutation: int = 0, state: int = MemberState.ALIVE, by: int = 0
) -> MemberRecord:
    return MemberRecord(name, incarnation, refutation, state, 0, 0, "10.0.0.1", 1000 + name, by)


def view(name: int = 0, now: float = 0.0) -> MembershipView:
    return MembershipView(word(name), (("10.0.0.1", 1000),), now, lambda: 0.5)


class Words(unittest.TestCase):
    @given(st.lists(WORDS, min_size=1, max_size=8), st.randoms(use_true_random=False))
    def test_the_same_word_wins_in_any_order_and_however_often(
        self, words: list[MemberRecord], chance: Any
    ) -> None:
        def last(order: list[MemberRecord]) -> tuple[int, int, int]:
            best: MemberRecord | None = None
            for w in order:
                best = w if supersedes(w, best) else best
            assert best is not None
            return best.incarnation, best.state, 0 if best.ended else best.refutation

        other = words + words[:3]
        chance.shuffle(other)
        self.assertEqual(last(words), last(other))

    @given(st.lists(WORDS, min_size=1, max_size=8))
    def test_what_is_over_stays_over_within_its_life(self, words: list[MemberRecord]) -> None:
        v = view()
        over: set[int] = set()
        for w in words:
            v.received(("10.0.0.1", 1001), GossipMessage(MessageKind.ACK, 1, 0, 0, 0, (w,)))
            if w.ended:
                over.add(w.incarnation)
            held = v.records[3]
            self.assertFalse(held.incarnation in over and not held.ended, (held, over))

    @given(st.binary(max_size=300))
    @settings(max_examples=200)
    def test_noise_is_told_from_messages(self, raw: bytes) -> None:
        for data in (raw, RAW[: len(raw) % len(RAW)], RAW[:5] + raw):
            if data != RAW:
                try:
                    decode(data, 7)
                except GossipDecodeError:
                    continue
                self.assertEqual(data, encode(decode(data, 7), 7))

    def test_other_fleets_versions_and_sizes_are_refused(self) -> None:
        for raw, why in (
            (RAW, "another fleet"),
            (RAW + bytes(300), "over the bound"),
            (b"", "malformed"),
            (RAW[:1] + b"\x01" + RAW[2:], "another version"),
        ):
            with self.assertRaises(GossipDecodeError) as caught:
                decode(raw, 8 if why == "another fleet" else 7)
            self.assertEqual(why, str(caught.exception))

    def test_messages_are_filled_and_never_over_the_bound(self) -> None:
        v = view()
        for n in range(1, 300):
            v._merge(
                word(n, incarnation=2**44 + n, refutation=n)._replace(host="127.127.127.127", machine=10**6)
            )
        for _ in range(200):
            v._ping(("10.0.0.1", 1))
        sizes = [len(encode(m, 2**32 - 1)) for _, m in v.outbox]
        self.assertLessEqual(max(sizes), 256)
        self.assertGreater(min(sizes), 150)
        named = {w.member for _, m in v.outbox for w in m.records}
        self.assertEqual(set(range(300)), named, "the whole table goes in pieces")


class Own(unittest.TestCase):
    def tell(self, v: MembershipView, w: MemberRecord, sender: int = 1) -> None:
        v.received(("10.0.0.1", 1000 + sender), GossipMessage(MessageKind.ACK, sender, 0, 0, 0, (w,)))

    def test_a_suspicion_is_refuted_and_a_death_ends_the_life(self) -> None:
        v = view()
        self.tell(v, word(0, state=MemberState.SUSPECT, by=1))
        self.assertEqual((1, 1), (v.own.incarnation, v.own.refutation))
        self.tell(v, word(0, state=MemberState.DEAD, by=1))
        self.assertEqual((2, 0, MemberState.ALIVE), (v.own.incarnation, v.own.refutation, v.own.state))

    def test_another_process_under_its_name_is_found(self) -> None:
        v = view()
        self.tell(v, word(0, incarnation=9))
        self.assertEqual((10, 1), (v.own.incarnation, v.duplicates))
        v.received(HOME, GossipMessage(MessageKind.PING, 0, 0, 0, 0, ()))
        self.assertEqual(2, v.duplicates)

    def test_more_names_than_the_fleet_has_are_refused(self) -> None:
        v = MembershipView(word(0), (), 0.0, lambda: 0.5, members_max=3)
        for n in range(1, 9):
            self.tell(v, word(n))
        self.assertEqual((3, 6), (len(v.records), v.refused))

    def test_a_head_that_hears_nobody_accuses_nobody(self) -> None:
        v = view()
        for n in range(1, 6):
            self.tell(v, word(n))
        for tick in range(1, 400):
            v.tick(0.1 * tick)
        self.assertTrue(v.apart)
        self.assertEqual(6, len(v.alive))

    def test_nonsense_without_end_is_not_all_answered(self) -> None:
        v = view()
        for _ in range(500):
            v.received(("10.0.0.1", 1001), GossipMessage(MessageKind.PING, 1, 0, 0, 0, ()))
        self.assertLess(len(v.outbox), 40)


class Fleets(unittest.TestCase):
    def test_drawn_worlds_settle_and_hold_nobody_dead_in_error(self) -> None:
        for seed in range(20):
            script = drawn(seed, 0 if seed % 4 else 12)
            if script.heads <= 20:
                with self.subTest(seed=seed):
                    self.assertEqual([], FleetWorld(script).play().reasons)

    def test_planted_defects_are_caught_and_the_honest_core_is_not_accused(self) -> None:
        honest: dict[str, list[str]] = {}
        for name, (plant, text) in VIEW_MUTANTS.items():
            script = drawn(int(text)) if text.isdigit() else read_script(f"seed 3\n{text}")
            with self.subTest(defect=name):
                if text not in honest:
                    honest[text] = FleetWorld(script, calm=120.0).play().reasons
                self.assertEqual([], honest[text], "the honest core")
                self.assertNotEqual([], FleetWorld(script, plant, 120.0).play().reasons)

    def test_bytes_do_not_grow_with_the_fleet(self) -> None:
        small, large = (
            FleetWorld(read_script(f"seed 1\nheads {n}\n1 kill head-0 for 1\n"), calm=30.0).play()
            for n in (6, 48)
        )
        self.assertEqual([], small.reasons + large.reasons)
        self.assertLess(large.bytes_a_head_a_second, 2.0 * small.bytes_a_head_a_second + 200.0)


class Lives(unittest.TestCase):
    """Two observers and the head they hold words of, every order of lost, late and doubled tellings, a crash
    and a restart. A state: the head's own (life, incarnation, up), and what each observer believes."""

    def check(self, believes: Callable[[MemberRecord, MemberRecord | None], bool]) -> dict[str, Any]:
        def transitions(s: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
            life, inc, up, a, b, said, dead_a, dead_b = s
            found = []

            def told(who: str, w: MemberRecord, s_: tuple[Any, ...]) -> None:
                held, dead = (a, dead_a) if who == "a" else (b, dead_b)
                known = MemberRecord(3, *held, 0, 0, "h", 1, 0) if held else None
                if believes(w, known):
                    new = (w.incarnation, w.refutation, int(w.state))
                    now_dead = dead | {w.incarnation} if w.ended else dead
                    now = (new, b) if who == "a" else (a, new)
                    over = (now_dead, dead_b) if who == "a" else (dead_a, now_dead)
                    found.append((f"{who} hears {new}", (life, inc, up, *now, said | {new}, *over)))

            for one in said:
                for who in "ab":
                    told(who, MemberRecord(3, *one, 0, 0, "h", 1, 0), s)
            for who, held in (("a", a), ("b", b)):
                if held and held[2] == MemberState.ALIVE:
                    told(who, MemberRecord(3, held[0], held[1], MemberState.SUSPECT, 0, 0, "h", 1, 0), s)
                elif held and held[2] == MemberState.SUSPECT:
                    told(who, MemberRecord(3, held[0], held[1], MemberState.DEAD, 0, 0, "h", 1, 0), s)
            rest = (a, b, said, dead_a, dead_b)
            if up:
                found.append(("crash", (life, inc, False, *rest)))
                for w in said:
                    if w[0] == life and w[2] >= MemberState.LEFT and life < 2:
                        born = (life + 1, 0, int(MemberState.ALIVE))
                        found.append(("held dead", (life + 1, 0, True, a, b, said | {born}, dead_a, dead_b)))
                    elif w[0] == life and w[2] == MemberState.SUSPECT and w[1] >= inc and inc < 1:
                        more = (life, inc + 1, int(MemberState.ALIVE))
                        found.append(("refutes", (life, inc + 1, True, a, b, said | {more}, dead_a, dead_b)))
            elif life < 2:
                born = (life + 1, 0, int(MemberState.ALIVE))
                found.append(("starts", (life + 1, 0, True, a, b, said | {born}, dead_a, dead_b)))
            return found

        first = (1, 0, int(MemberState.ALIVE))
        protocol = Protocol(
            name="lives",
            candidate=False,
            fields=("life", "inc", "up", "a", "b", "said", "dead_a", "dead_b"),
            initial=(1, 0, True, first, first, frozenset({first}), frozenset(), frozenset()),
            transitions=transitions,
            invariants={
                "a dead life stays dead": lambda d: not any(
                    held[0] in dead and held[2] < MemberState.LEFT
                    for held, dead in ((d["a"], d["dead_a"]), (d["b"], d["dead_b"]))
                )
            },
        )
        result: dict[str, Any] = check_safety(protocol)
        return result

    def test_every_order_keeps_a_dead_life_dead(self) -> None:
        result = self.check(supersedes)
        self.assertTrue(result["exhaustive"])
        self.assertTrue(result["properties"]["a dead life stays dead"]["holds"], result)

    def test_a_flaw_in_the_order_is_found(self) -> None:
        def flawed(one: MemberRecord, other: MemberRecord | None) -> bool:
            return other is None or (one.incarnation, one.refutation, one.state) > (
                other.incarnation,
                other.refutation,
                other.state,
            )

        self.assertIs(False, self.check(flawed)["properties"]["a dead life stays dead"]["holds"])


class Bounds(unittest.TestCase):
    def test_the_core_keeps_to_its_tables(self) -> None:
        v = view()
        for n in range(1, 2000):
            v._merge(word(n))
            v.relayed_pings[n] = RelayedPing(HOME, 0, 0.0)
        self.assertLessEqual(len(v.records), v.members_max)
        self.assertLessEqual(len(v.history), HISTORY_MAX)
