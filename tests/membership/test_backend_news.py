"""What peers tell: never lets a head send, does no harm late, doubled or out of order, stops a deaf head."""

import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from gorsethread.faults.script import read_script
from gorsethread.faults.world import World
from gorsethread.membership.backend_news import (
    RETENTION_SECONDS,
    STATES_BY_NAME,
    STOP_SECONDS,
    BackendNews,
    BackendNewsTable,
    BackendState,
)
from gorsethread.sitefile.reading import read_site

SITE = read_site(Path(__file__).parents[2] / "deploy" / "site.txtpb")
LIFE = 7
STATES = st.sampled_from(["ready", "draining", "gone"])
HISTORY = st.lists(st.tuples(st.integers(0, 3), STATES), max_size=12)


def fresh() -> BackendNewsTable:
    m = BackendNewsTable(0, [0, 1, 2], lambda n: 0)
    m.list_updated(LIFE, 1, [(s, 1, "ready") for s in range(4)], True, 0.0)
    return m


def news(shelf: int, state: BackendState, version: int, life: int = LIFE, start: int = 1) -> BackendNews:
    return BackendNews(shelf, start, state, life, version)


class Core(unittest.TestCase):
    def test_newer_news_stops_until_the_own_list_has_come_as_far(self) -> None:
        m = fresh()
        self.assertEqual(
            [news(2, BackendState.DRAINING, 5)], m.peer_reported([news(2, BackendState.DRAINING, 5)], 1.0)
        )
        self.assertTrue(m.is_stopped(2))
        said = m.list_updated(LIFE, 4, [(1, 1, "draining")], False, 1.5)
        self.assertEqual(([], [news(1, BackendState.DRAINING, 4)]), said)
        self.assertTrue(m.is_stopped(2))
        self.assertEqual([2], m.list_updated(LIFE, 6, [(3, 1, "gone")], False, 2.0)[0])
        self.assertFalse(m.is_stopped(2))

    def test_old_news_stops_nothing(self) -> None:
        m = fresh()
        m.list_updated(LIFE, 9, [(2, 1, "ready")], False, 1.0)
        self.assertEqual(
            [], m.peer_reported([news(2, BackendState.DRAINING, 9), news(2, BackendState.GONE, 3)], 1.1)
        )
        self.assertEqual(2, m.ignored)

    def test_an_earlier_life_of_the_list_is_old_news(self) -> None:
        m = fresh()
        self.assertEqual([], m.peer_reported([news(1, BackendState.GONE, 99, life=LIFE - 1)], 1.0))
        self.assertEqual(1, len(m.peer_reported([news(1, BackendState.GONE, 1, life=LIFE + 1)], 1.0)))

    def test_news_goes_to_several_and_all_else_to_one(self) -> None:
        m = BackendNewsTable(0, range(9), lambda n: n - 1)
        self.assertEqual(([8, 7, 6], [8]), (m.draw_recipients(True), m.draw_recipients(False)))

    def test_those_who_live_are_told_and_all_where_nobody_is_known_to(self) -> None:
        core = BackendNewsTable(0, range(9), lambda n: 0)
        self.assertEqual([4, 7], core.draw_recipients(True, [0, 4, 7, 99]))
        self.assertEqual([1, 2, 3], core.draw_recipients(True, [0]))

    def test_ready_is_not_news(self) -> None:
        m = fresh()
        m.list_updated(LIFE, 4, [(2, 1, "draining")], False, 1.0)
        self.assertEqual([], m.peer_reported([news(2, BackendState.READY, 8)], 2.0))

    def test_a_stop_is_taken_back_by_later_news_of_the_same_start_and_by_nothing_older(self) -> None:
        """As of a list that began anew and heard of its shelves one after the other."""
        m = fresh()
        m.list_lost()
        m.peer_reported(
            [news(1, BackendState.GONE, 1, LIFE + 1), news(2, BackendState.GONE, 1, LIFE + 1)], 1.0
        )
        self.assertEqual(
            [], m.peer_reported([news(1, BackendState.READY, 2, LIFE + 1, start=9)], 1.1), "it may be cold"
        )
        self.assertEqual([], m.peer_reported([news(1, BackendState.READY, 9)], 1.1))
        back = news(1, BackendState.READY, 3, LIFE + 1)
        self.assertEqual([back], m.peer_reported([back, back], 1.2))
        self.assertEqual([], m.peer_reported([news(1, BackendState.GONE, 1, LIFE + 1)], 1.3), "it comes late")
        self.assertEqual((False, True), (m.is_stopped(1), m.is_stopped(2)))

    def test_what_is_ready_again_is_told_for_a_while(self) -> None:
        m = fresh()
        m.list_updated(LIFE, 2, [(1, 1, "gone")], False, 1.0)
        self.assertEqual(
            [news(1, BackendState.READY, 3)], m.list_updated(LIFE, 3, [(1, 1, "ready")], False, 2.0)[1]
        )
        self.assertEqual([news(1, BackendState.READY, 3)], m.news_to_send(1.0 + RETENTION_SECONDS))
        self.assertEqual([], m.news_to_send(1.1 + RETENTION_SECONDS))

    def test_what_was_not_borne_out_stops_nothing_a_second_time(self) -> None:
        m = fresh()
        wrong = news(1, BackendState.GONE, 2, life=99)
        m.peer_reported([wrong], 1.0)
        self.assertEqual([1], m.expire(1.0 + STOP_SECONDS))
        self.assertEqual([], m.peer_reported([wrong], 2.0 + STOP_SECONDS))

    def test_what_is_not_borne_out_ends_and_a_deaf_head_goes_on_believing(self) -> None:
        m = fresh()
        m.peer_reported([news(1, BackendState.GONE, 2, life=99)], 1.0)
        self.assertEqual([], m.expire(1.0 + STOP_SECONDS - 0.1))
        m.list_lost()
        self.assertEqual([], m.expire(100.0))
        m.list_updated(LIFE, 2, [], False, 101.0)
        self.assertEqual([1], m.expire(102.0))

    def test_what_is_gone_is_told_for_a_while_and_then_forgotten(self) -> None:
        m = fresh()
        m.list_updated(LIFE, 2, [(1, 1, "gone")], False, 1.0)
        self.assertEqual([news(1, BackendState.GONE, 2)], m.news_to_send(2.0))
        m.list_updated(LIFE, 3, [], False, 2.0 + RETENTION_SECONDS)
        self.assertEqual(([], 3), (m.news_to_send(2.0 + RETENTION_SECONDS), len(m.entries)))

    def test_what_lies_between_two_drains_and_comes_behind_both_frees_nothing(self) -> None:
        m = fresh()
        m.peer_reported(
            [
                news(2, BackendState.DRAINING, 2),
                news(2, BackendState.DRAINING, 4),
                news(2, BackendState.READY, 3),
            ],
            1.0,
        )
        self.assertTrue(m.is_stopped(2))
        m.list_updated(LIFE, 3, [(2, 1, "ready")], False, 1.1)
        self.assertTrue(m.is_stopped(2), "the own list has not come as far")
        m.list_updated(LIFE, 4, [(2, 1, "draining")], False, 1.2)
        self.assertEqual({}, m.stops)

    @given(HISTORY, st.data())
    def test_any_order_of_news_ends_where_the_list_does(
        self, history: list[tuple[int, str]], data: st.DataObject
    ) -> None:
        told = [news(s, STATES_BY_NAME[state], version) for version, (s, state) in enumerate(history, 2)]
        heard = data.draw(st.permutations(told * 2))
        m, cut = fresh(), data.draw(st.integers(0, len(heard)))
        m.peer_reported(heard[:cut], 1.0)
        # Before its own list has come as far, a head holds back what drains or is gone by the latest heard.
        for shelf in {s for s, _ in history}:
            latest = max(
                (n for n in heard[:cut] if n.backend == shelf), key=lambda n: n.list_version, default=None
            )
            self.assertEqual(latest is not None and latest.state != BackendState.READY, m.is_stopped(shelf))
        for version, (shelf, state) in enumerate(history, 2):
            m.list_updated(LIFE, version, [(shelf, 1, state)], False, 1.0 + version / 100)
        m.peer_reported(heard[cut:], 2.0)
        self.assertEqual({}, m.stops)


class Running(unittest.TestCase):
    def test_a_head_that_hears_no_list_stops_by_its_peers_word(self) -> None:
        """Head 1 is cut off from the list before shelf 2 drains; told by peers, it sends there no more."""
        text = "seed 5\nseconds 12\n1 cut list -> head-1 for 7\n2 drain shelf-2 for 4\n"
        outcomes = {}
        for peers in (True, False):
            site = type(SITE)()
            site.CopyFrom(SITE)
            if not peers:
                for head in site.head:
                    head.peers = ""
            world = World(site, read_script(text))
            outcome = world.play()
            self.assertTrue(outcome.good, outcome.reasons)
            late = [
                r
                for r in world.records
                if r["e"] == "arrived"
                and r["shelf"] == 2
                and r["head"] == 1
                and world.zero + 4.5 < r["t"] < world.zero + 6.0
            ]
            outcomes[peers] = len(late)
        self.assertEqual(0, outcomes[True])
        self.assertGreater(outcomes[False], 0)
