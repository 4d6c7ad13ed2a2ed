"""Spacing of connections and polls after a mass restart, and the time until full service."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from gorsethread.cli.main import app
from gorsethread.experiments.recovery import full_after, in_world, most_in_a_second, script_of, shown
from gorsethread.recovery.spacing import (
    INITIAL_POLLS_PER_SECOND,
    MAX_POLLS_PER_SECOND,
    MAX_SLOTS_AHEAD,
    ConnectionSlots,
    PollOrder,
    spread_retry_after,
)
from gorsethread.site_config.reading import SiteFileError, parse_site, read_site

PATH = Path(__file__).parent.parent.parent / "deploy" / "site.txtpb"
SITE = read_site(PATH)


class Spacing(unittest.TestCase):
    @given(
        st.integers(1, 40),
        st.integers(1, 12),
        st.floats(5, 500),
        st.floats(1e9, 2e9),
        st.lists(st.floats(0, 3), min_size=40, max_size=40),
    )
    def test_connections_per_second_stay_within_the_limit_and_none_waits_long(
        self, gateways: int, per_gateway: int, per_second: float, wall: float, delays: list[float]
    ) -> None:
        """Every gateway opens `per_gateway` connections at once, each gateway at a time of its own."""
        opened_at = []
        for n in range(gateways):
            slots = ConnectionSlots(per_second, n, gateways)
            opened_at += [wall + delays[n] + slots.reserve(wall + delays[n]) for _ in range(per_gateway)]
        self.assertLessEqual(most_in_a_second(opened_at), per_second + 2)
        self.assertLessEqual(max(opened_at) - wall, 3.0 + (per_gateway + 1) * gateways / per_second)

    def test_a_wall_clock_that_is_set_back_delays_connections_only_for_a_while(self) -> None:
        slots = ConnectionSlots(10.0, 3, 10)
        slots.reserve(2e9)
        self.assertLessEqual(slots.reserve(1e9), 1.0)
        for n in range(500):
            self.assertLessEqual(
                slots.reserve(1e9 + 0.01 * n), (MAX_SLOTS_AHEAD + 2) * slots.rotation_seconds
            )

    def test_without_a_limit_no_connection_waits(self) -> None:
        self.assertEqual([0.0] * 5, [ConnectionSlots(0.0, 1, 9).reserve(1e9) for _ in range(5)])

    def test_polls_follow_the_order_and_a_failed_one_is_repeated_last(self) -> None:
        order = PollOrder([4, 2, 9], 200)
        self.assertEqual(200 / INITIAL_POLLS_PER_SECOND, order.interval)
        self.assertEqual(4, order.take_next())
        order.on_poll_ended(4, False, 1.0)
        self.assertEqual([2, 9, 4, None], [order.take_next() for _ in range(4)])
        for _ in range(20):
            order.on_poll_ended(2, True, 0.01)
        self.assertEqual(200 / MAX_POLLS_PER_SECOND, order.interval)
        for _ in range(20):
            order.on_poll_ended(2, True, 0.5)
        self.assertEqual(200 / INITIAL_POLLS_PER_SECOND, order.interval)

    def test_retry_after_times_are_spread(self) -> None:
        self.assertEqual([0.3, 0.6, 0.9], [round(spread_retry_after(0.3, d), 6) for d in (0.0, 0.5, 1.0)])

    def test_a_site_limit_that_would_delay_a_gateway_for_seconds_is_rejected(self) -> None:
        with self.assertRaises(SiteFileError) as caught:
            parse_site(PATH.read_text().replace("opens: 60", "opens: 1"))
        self.assertIn("links.opens: each of 3 heads opens one in 3 s", str(caught.exception))


class ReturnMeasurement(unittest.TestCase):
    def test_full_service_starts_with_enough_consecutive_good_seconds(self) -> None:
        parts = [1.0] * 8 + [0.0, 0.5, 0.96, 0.96, 0.2, *[0.95] * 11]
        self.assertEqual(5.0, full_after(parts, 8.0, 24.0))
        self.assertIsNone(full_after([1.0] * 8 + [0.9] * 16, 8.0, 24.0))

    def test_each_kind_of_restart_affects_the_stated_number_of_gateways(self) -> None:
        for kind, count in (("7 in 10", 7), ("9 in 10", 9), ("all", 10), ("a tenth at a time", 10)):
            acts = script_of((kind,), 10, 4, 1, 1.0).acts
            self.assertEqual(
                (count, 10 if kind.startswith("a tenth") else 1), (len(acts), len({a.at for a in acts}))
            )

    def test_returning_with_spacing_is_good_and_without_it_is_not(self) -> None:
        def measure(alone: bool) -> Any:
            return in_world(SITE, 4, 6, 1, 2.0, ("all",), alone)

        spaced, alone = measure(False), measure(True)
        self.assertTrue(shown(spaced, alone)["good"], (spaced, alone))
        self.assertGreater(alone.stampede_ratio, 1.0, "a stampede without spacing is measured")
        self.assertGreater(alone.stale_decisions, 0)
        self.assertFalse(shown(alone, spaced)["good"])


@pytest.mark.processes
class ReturnCommand(unittest.TestCase):
    def test_the_command_restarts_real_processes(self) -> None:
        """The duration is reported but not checked here, as it depends on the load of the machine."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "result.json"
            CliRunner().invoke(
                app, ["lab", "return", "--site", str(PATH), "--processes", "4", "--json", str(path)]
            )
            result = json.loads(path.read_text())
        clean = {name: result[name] for name in ("stale_decisions", "numbers_reused", "lost", "duplicated")}
        self.assertEqual({0}, set(clean.values()), result)
        self.assertEqual(([0] * 4, 4), (result["rules"][:4], result["restarted"]))
        self.assertLessEqual(result["stampede_ratio"], 1.0)
        self.assertGreater(result["stale_decisions_alone"], 0)

    def test_invalid_arguments_exit_with_status_2(self) -> None:
        for arguments in (["--acts", "some"], ["--processes", "1"]):
            self.assertEqual(2, CliRunner().invoke(app, ["lab", "return", *arguments]).exit_code)
