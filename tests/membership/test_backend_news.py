"""News of backends from peers never allows sending, and late, repeated or reordered news does no harm."""

import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from gorsethread.membership.backend_news import (
    RETENTION_SECONDS,
    STATES_BY_NAME,
    STOP_SECONDS,
    BackendNews,
    BackendNewsTable,
    BackendState,
)
from gorsethread.simulation.script import read_script
from gorsethread.simulation.site_simulation import SiteSimulation
from gorsethread.site_config.reading import read_site

SITE = read_site(Path(__file__).parents[2] / "deploy" / "site.txtpb")
LIST_INCARNATION = 7
STATES = st.sampled_from(["ready", "draining", "gone"])
HISTORY = st.lists(st.tuples(st.integers(0, 3), STATES), max_size=12)


def table_of_ready_backends() -> BackendNewsTable:
    table = BackendNewsTable(0, [0, 1, 2], lambda n: 0)
    table.list_updated(LIST_INCARNATION, 1, [(backend, 1, "ready") for backend in range(4)], True, 0.0)
    return table


def news(
    backend: int, state: BackendState, version: int, incarnation: int = LIST_INCARNATION, start: int = 1
) -> BackendNews:
    return BackendNews(backend, start, state, incarnation, version)


class NewsTable(unittest.TestCase):
    def test_newer_news_stops_a_backend_until_the_own_list_reaches_its_version(self) -> None:
        table = table_of_ready_backends()
        self.assertEqual(
            [news(2, BackendState.DRAINING, 5)], table.peer_reported([news(2, BackendState.DRAINING, 5)], 1.0)
        )
        self.assertTrue(table.is_stopped(2))
        update = table.list_updated(LIST_INCARNATION, 4, [(1, 1, "draining")], False, 1.5)
        self.assertEqual(([], [news(1, BackendState.DRAINING, 4)]), update)
        self.assertTrue(table.is_stopped(2))
        self.assertEqual([2], table.list_updated(LIST_INCARNATION, 6, [(3, 1, "gone")], False, 2.0)[0])
        self.assertFalse(table.is_stopped(2))

    def test_news_that_the_own_list_covers_stops_nothing(self) -> None:
        table = table_of_ready_backends()
        table.list_updated(LIST_INCARNATION, 9, [(2, 1, "ready")], False, 1.0)
        self.assertEqual(
            [], table.peer_reported([news(2, BackendState.DRAINING, 9), news(2, BackendState.GONE, 3)], 1.1)
        )
        self.assertEqual(2, table.ignored)

    def test_news_of_an_earlier_list_incarnation_is_outdated(self) -> None:
        table = table_of_ready_backends()
        self.assertEqual(
            [], table.peer_reported([news(1, BackendState.GONE, 99, incarnation=LIST_INCARNATION - 1)], 1.0)
        )
        self.assertEqual(
            1,
            len(table.peer_reported([news(1, BackendState.GONE, 1, incarnation=LIST_INCARNATION + 1)], 1.0)),
        )

    def test_new_news_goes_to_several_peers_and_repetitions_to_one(self) -> None:
        table = BackendNewsTable(0, range(9), lambda n: n - 1)
        self.assertEqual(([8, 7, 6], [8]), (table.draw_recipients(True), table.draw_recipients(False)))

    def test_recipients_are_alive_peers_or_any_peer_if_none_is_known_alive(self) -> None:
        table = BackendNewsTable(0, range(9), lambda n: 0)
        self.assertEqual([4, 7], table.draw_recipients(True, [0, 4, 7, 99]))
        self.assertEqual([1, 2, 3], table.draw_recipients(True, [0]))

    def test_news_of_a_ready_backend_does_not_allow_sending(self) -> None:
        table = table_of_ready_backends()
        table.list_updated(LIST_INCARNATION, 4, [(2, 1, "draining")], False, 1.0)
        self.assertEqual([], table.peer_reported([news(2, BackendState.READY, 8)], 2.0))

    def test_a_stop_is_ended_only_by_later_news_of_the_same_start(self) -> None:
        """This happens when a list restarts and learns of its backends one after the other."""
        table = table_of_ready_backends()
        table.list_lost()
        table.peer_reported(
            [
                news(1, BackendState.GONE, 1, LIST_INCARNATION + 1),
                news(2, BackendState.GONE, 1, LIST_INCARNATION + 1),
            ],
            1.0,
        )
        self.assertEqual(
            [],
            table.peer_reported([news(1, BackendState.READY, 2, LIST_INCARNATION + 1, start=9)], 1.1),
            "it may be in slow start",
        )
        self.assertEqual([], table.peer_reported([news(1, BackendState.READY, 9)], 1.1))
        ready = news(1, BackendState.READY, 3, LIST_INCARNATION + 1)
        self.assertEqual([ready], table.peer_reported([ready, ready], 1.2))
        self.assertEqual(
            [],
            table.peer_reported([news(1, BackendState.GONE, 1, LIST_INCARNATION + 1)], 1.3),
            "it arrives late",
        )
        self.assertEqual((False, True), (table.is_stopped(1), table.is_stopped(2)))

    def test_a_backend_that_is_ready_again_is_reported_for_the_retention_time(self) -> None:
        table = table_of_ready_backends()
        table.list_updated(LIST_INCARNATION, 2, [(1, 1, "gone")], False, 1.0)
        self.assertEqual(
            [news(1, BackendState.READY, 3)],
            table.list_updated(LIST_INCARNATION, 3, [(1, 1, "ready")], False, 2.0)[1],
        )
        self.assertEqual([news(1, BackendState.READY, 3)], table.news_to_send(1.0 + RETENTION_SECONDS))
        self.assertEqual([], table.news_to_send(1.1 + RETENTION_SECONDS))

    def test_news_whose_stop_expired_does_not_stop_a_second_time(self) -> None:
        table = table_of_ready_backends()
        unconfirmed = news(1, BackendState.GONE, 2, incarnation=99)
        table.peer_reported([unconfirmed], 1.0)
        self.assertEqual([1], table.expire(1.0 + STOP_SECONDS))
        self.assertEqual([], table.peer_reported([unconfirmed], 2.0 + STOP_SECONDS))

    def test_an_unconfirmed_stop_expires_only_while_the_own_list_is_followed(self) -> None:
        table = table_of_ready_backends()
        table.peer_reported([news(1, BackendState.GONE, 2, incarnation=99)], 1.0)
        self.assertEqual([], table.expire(1.0 + STOP_SECONDS - 0.1))
        table.list_lost()
        self.assertEqual([], table.expire(100.0))
        table.list_updated(LIST_INCARNATION, 2, [], False, 101.0)
        self.assertEqual([1], table.expire(102.0))

    def test_a_removed_backend_is_reported_for_the_retention_time_and_then_forgotten(self) -> None:
        table = table_of_ready_backends()
        table.list_updated(LIST_INCARNATION, 2, [(1, 1, "gone")], False, 1.0)
        self.assertEqual([news(1, BackendState.GONE, 2)], table.news_to_send(2.0))
        table.list_updated(LIST_INCARNATION, 3, [], False, 2.0 + RETENTION_SECONDS)
        self.assertEqual(([], 3), (table.news_to_send(2.0 + RETENTION_SECONDS), len(table.entries)))

    def test_late_ready_news_between_two_drains_does_not_end_the_stop(self) -> None:
        table = table_of_ready_backends()
        table.peer_reported(
            [
                news(2, BackendState.DRAINING, 2),
                news(2, BackendState.DRAINING, 4),
                news(2, BackendState.READY, 3),
            ],
            1.0,
        )
        self.assertTrue(table.is_stopped(2))
        table.list_updated(LIST_INCARNATION, 3, [(2, 1, "ready")], False, 1.1)
        self.assertTrue(table.is_stopped(2), "the own list has not reached that version")
        table.list_updated(LIST_INCARNATION, 4, [(2, 1, "draining")], False, 1.2)
        self.assertEqual({}, table.stops)

    @given(HISTORY, st.data())
    def test_news_in_any_order_leads_to_the_state_of_the_list(
        self, history: list[tuple[int, str]], data: st.DataObject
    ) -> None:
        reported = [
            news(backend, STATES_BY_NAME[state], version)
            for version, (backend, state) in enumerate(history, 2)
        ]
        received = data.draw(st.permutations(reported * 2))
        table, split = table_of_ready_backends(), data.draw(st.integers(0, len(received)))
        table.peer_reported(received[:split], 1.0)
        # Until its own list reaches that version, a gateway sends nothing to a backend whose latest news is
        # that it drains or is gone.
        for backend in {backend for backend, _ in history}:
            latest = max(
                (n for n in received[:split] if n.backend == backend),
                key=lambda n: n.list_version,
                default=None,
            )
            self.assertEqual(
                latest is not None and latest.state != BackendState.READY, table.is_stopped(backend)
            )
        for version, (backend, state) in enumerate(history, 2):
            table.list_updated(LIST_INCARNATION, version, [(backend, 1, state)], False, 1.0 + version / 100)
        table.peer_reported(received[split:], 2.0)
        self.assertEqual({}, table.stops)


class SimulatedSite(unittest.TestCase):
    def test_a_gateway_cut_off_from_its_list_stops_sending_by_news_from_peers(self) -> None:
        """Gateway 1 loses its list before backend 2 drains; news from peers stops it from sending there."""
        script = "seed 5\nseconds 12\n1 cut list -> head-1 for 7\n2 drain shelf-2 for 4\n"
        late_arrivals = {}
        for with_peers in (True, False):
            site = type(SITE)()
            site.CopyFrom(SITE)
            if not with_peers:
                for head in site.head:
                    head.peers = ""
            world = SiteSimulation(site, read_script(script))
            outcome = world.play()
            self.assertTrue(outcome.good, outcome.reasons)
            late = [
                record
                for record in world.records
                if record["e"] == "arrived"
                and record["shelf"] == 2
                and record["head"] == 1
                and world.traffic_start + 4.5 < record["t"] < world.traffic_start + 6.0
            ]
            late_arrivals[with_peers] = len(late)
        self.assertEqual(0, late_arrivals[True])
        self.assertGreater(late_arrivals[False], 0)
