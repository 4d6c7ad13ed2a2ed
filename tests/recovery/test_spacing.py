"""What many heads do at once after a mass restart is spaced over the fleet; time to full service."""

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
from gorsethread.lab.returning import full_after, in_world, most_in_a_second, script_of, shown
from gorsethread.recovery.spacing import (
    INITIAL_POLLS_PER_SECOND,
    MAX_POLLS_PER_SECOND,
    MAX_SLOTS_AHEAD,
    ConnectionSlots,
    PollOrder,
    spread_retry_after,
)
from gorsethread.sitefile.reading import BadSite, parse_site, read_site

PATH = Path(__file__).parent.parent.parent / "deploy" / "site.txtpb"
SITE = read_site(PATH)


class Spaced(unittest.TestCase):
    @given(
        st.integers(1, 40),
        st.integers(1, 12),
        st.floats(5, 500),
        st.floats(1e9, 2e9),
        st.lists(st.floats(0, 3), min_size=40, max_size=40),
    )
    def test_no_second_sees_more_than_the_bound_and_none_waits_for_long(
        self, heads: int, each: int, a_second: float, wall: float, late: list[float]
    ) -> None:
        """Every head wants `each` connections at once, from a moment of its own on."""
        at = []
        for n in range(heads):
            opens = ConnectionSlots(a_second, n, heads)
            at += [wall + late[n] + opens.reserve(wall + late[n]) for _ in range(each)]
        self.assertLessEqual(most_in_a_second(at), a_second + 2)
        self.assertLessEqual(max(at) - wall, 3.0 + (each + 1) * heads / a_second)

    def test_a_wall_clock_that_is_set_back_holds_nothing_up_for_good(self) -> None:
        opens = ConnectionSlots(10.0, 3, 10)
        opens.reserve(2e9)
        self.assertLessEqual(opens.reserve(1e9), 1.0)
        for n in range(500):
            self.assertLessEqual(
                opens.reserve(1e9 + 0.01 * n), (MAX_SLOTS_AHEAD + 2) * opens.rotation_seconds
            )

    def test_without_a_bound_nobody_waits(self) -> None:
        self.assertEqual([0.0] * 5, [ConnectionSlots(0.0, 1, 9).reserve(1e9) for _ in range(5)])

    def test_who_most_likely_holds_is_asked_first_and_who_fails_comes_again_last(self) -> None:
        asks = PollOrder([4, 2, 9], 200)
        self.assertEqual(200 / INITIAL_POLLS_PER_SECOND, asks.interval)
        self.assertEqual(4, asks.take_next())
        asks.on_poll_ended(4, False, 1.0)
        self.assertEqual([2, 9, 4, None], [asks.take_next() for _ in range(4)])
        for _ in range(20):
            asks.on_poll_ended(2, True, 0.01)
        self.assertEqual(200 / MAX_POLLS_PER_SECOND, asks.interval)
        for _ in range(20):
            asks.on_poll_ended(2, True, 0.5)
        self.assertEqual(200 / INITIAL_POLLS_PER_SECOND, asks.interval)

    def test_return_times_are_spread(self) -> None:
        self.assertEqual([0.3, 0.6, 0.9], [round(spread_retry_after(0.3, d), 6) for d in (0.0, 0.5, 1.0)])

    def test_a_bound_that_would_hold_a_head_up_is_refused(self) -> None:
        with self.assertRaises(BadSite) as caught:
            parse_site(PATH.read_text().replace("opens: 60", "opens: 1"))
        self.assertIn("links.opens: each of 3 heads opens one in 3 s", str(caught.exception))


class Judged(unittest.TestCase):
    def test_full_service_is_so_many_good_seconds_in_turn(self) -> None:
        parts = [1.0] * 8 + [0.0, 0.5, 0.96, 0.96, 0.2, *[0.95] * 11]
        self.assertEqual(5.0, full_after(parts, 8.0, 24.0))
        self.assertIsNone(full_after([1.0] * 8 + [0.9] * 16, 8.0, 24.0))

    def test_acts_strike_as_many_as_they_say(self) -> None:
        for kind, number in (("7 in 10", 7), ("9 in 10", 9), ("all", 10), ("a tenth at a time", 10)):
            acts = script_of((kind,), 10, 4, 1, 1.0).acts
            self.assertEqual(
                (number, 10 if kind.startswith("a tenth") else 1), (len(acts), len({a.at for a in acts}))
            )

    def test_beside_heads_that_come_back_alone(self) -> None:
        def found(alone: bool) -> Any:
            return in_world(SITE, 4, 6, 1, 2.0, ("all",), alone)

        mine, alone = found(False), found(True)
        self.assertTrue(shown(mine, alone)["good"], (mine, alone))
        self.assertGreater(alone.stampede_ratio, 1.0, "without spacing the judge sees it")
        self.assertGreater(alone.stale_decisions, 0)
        self.assertFalse(shown(alone, mine)["good"])


@pytest.mark.processes
class Real(unittest.TestCase):
    def test_the_command_plays_real_processes(self) -> None:
        """How long it took is shown and not asked for here: it hangs on what else the machine does."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "result.json"
            CliRunner().invoke(
                app, ["lab", "return", "--site", str(PATH), "--processes", "4", "--json", str(path)]
            )
            found = json.loads(path.read_text())
        clean = {name: found[name] for name in ("stale_decisions", "numbers_reused", "lost", "duplicated")}
        self.assertEqual({0}, set(clean.values()), found)
        self.assertEqual(([0] * 4, 4), (found["rules"][:4], found["restarted"]))
        self.assertLessEqual(found["stampede_ratio"], 1.0)
        self.assertGreater(found["stale_decisions_alone"], 0)

    def test_bad_input(self) -> None:
        for words in (["--acts", "some"], ["--processes", "1"]):
            self.assertEqual(2, CliRunner().invoke(app, ["lab", "return", *words]).exit_code)
