"""The causes of waiting are found, and no others, in simulated queues whose causes are known."""

import unittest
from collections.abc import Iterable

from gorsethread.latency_attribution import report
from gorsethread.latency_attribution.causes import Findings, find
from gorsethread.latency_attribution.stages import BACKEND, GATEWAY, Stage
from gorsethread.latency_attribution.window import Window
from tests.queue_model import BASELINE, QueueSimulation


def quiet_day(seed: int = 1, **options: float) -> QueueSimulation:
    day = QueueSimulation(seed, **options)  # type: ignore[arg-type]
    for volume in range(1, 7):
        day.add_traffic(volume)
    return day


def waiting_shares(found: Findings, volume: int) -> dict[int, float]:
    """Returns the shares of the volume's waiting, by holder."""
    held: dict[int, int] = {}
    for (holder, _), us in found.holders(volume).items():
        held[holder] = held.get(holder, 0) + us
    return {holder: us / sum(held.values()) for holder, us in held.items()}


class CausesTest(unittest.TestCase):
    def assert_named(
        self,
        found: Findings,
        slow: set[int] = frozenset(),
        floods: set[int] = frozenset(),  # type: ignore[assignment]
        stopped: set[int] = frozenset(),
    ) -> None:  # type: ignore[assignment]
        self.assertEqual(
            (set(slow), set(floods), set(stopped)),
            (set(found.slow), set(found.floods), set(found.stopped)),
            report.top(found).sentence,
        )
        self.assertEqual(0, found.merged.remainders)
        self.assertEqual(0, found.merged.disorders)

    def test_quiet_traffic_names_no_cause(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                found = quiet_day(seed).run()
                self.assert_named(found)
                self.assertIn("Nothing stands out", report.top(found).sentence)

    def test_a_slow_backend_is_named_and_no_volume(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                day = quiet_day(seed)
                day.backends[1].slowdown = 3.0
                found = day.run()
                self.assert_named(found, slow={1})
                self.assertAlmostEqual(3.0, found.slow[1], delta=0.3)
                self.assertIn("backend 1 took", report.top(found).sentence)
                self.assertIn("times as long as the other backends", report.backend(found, 1).sentence)
                self.assertIn("as fast as the other backends", report.backend(found, 0).sentence)

    def test_a_flood_through_four_gateways_is_added_up(self) -> None:
        day = quiet_day(gateways=4)
        day.add_traffic(7, 25.0, backend=2)
        found = day.run()
        self.assert_named(found, floods={7})
        alone = [
            blamed_on(find_in(w for w in day.windows if gateway in {s.gateway for s in w.spans}), 7)
            for gateway in range(4)
        ]
        self.assertGreater(blamed_on(found, 7), 0.95 * sum(alone))
        self.assertLess(max(alone), 0.5 * blamed_on(found, 7), "no gateway sees half of it")
        self.assertGreater(waiting_shares(found, 1).get(7, 0.0), 0.5)
        self.assertRegex(
            report.why(found, 1).sentence, r"behind L07 on backend 2 \(it is as fast as the other backends\)"
        )

    def test_a_slow_backend_with_a_flood_on_it(self) -> None:
        day = quiet_day()
        day.backends[0].slowdown = 3.0
        day.add_traffic(7, 20.0, backend=0)
        found = day.run()
        self.assert_named(found, slow={0}, floods={7})
        parts = waiting_shares(found, 1)
        self.assertGreater(parts[BACKEND], 0.4, "the waiting that the usual speed would have avoided")
        self.assertGreater(parts[7], 0.15)

    def test_a_slow_backend_and_a_flood_on_another_one(self) -> None:
        day = quiet_day()
        day.backends[0].slowdown = 3.0
        day.add_traffic(7, 20.0, backend=2)
        found = day.run()
        self.assert_named(found, slow={0}, floods={7})
        self.assertNotIn((7, 0), found.holders(backend=0))

    def test_a_volume_waits_behind_itself(self) -> None:
        day = QueueSimulation()
        day.add_traffic(7, 25.0, backend=0, gateways=1)
        found = day.run()
        self.assert_named(found, floods={7})
        self.assertGreater(waiting_shares(found, 7)[7], 0.99)
        self.assertIn("behind itself on backend 0", report.why(found, 7).sentence)

    def test_a_rate_limit_delays_only_its_volume(self) -> None:
        day = quiet_day()
        day.limited[7] = (24.0, 0.0)
        day.add_traffic(7, 6.0)
        found = day.run()
        self.assert_named(found, floods={7})
        limited = {b.waiter for b in found.blame if b.stage == Stage.RATE_LIMIT}
        self.assertEqual({7}, limited)
        self.assertGreater(waiting_shares(found, 7)[GATEWAY], 0.8)
        self.assertIn("the gateway's decision (limit)", report.why(found, 7).sentence)
        self.assertIn("nothing delayed it much", report.why(found, 1).sentence)

    def test_a_stalled_backend_is_blamed_and_not_its_queued_volumes(self) -> None:
        day = quiet_day()
        for volume in range(1, 7):
            day.add_traffic(volume, 0.5, backend=1)
        day.backends[1].paused = (2.0, 3.6)
        found = day.run()
        self.assert_named(found, stopped={1})
        holders = found.holders(backend=1)
        self.assertGreater(holders[BACKEND, 1] / sum(holders.values()), 0.9)
        self.assertIn("backend 1 stalled or did not answer", report.top(found).sentence)

    def test_a_backend_that_stops_answering_is_named(self) -> None:
        day = quiet_day()
        day.backends[2].hung_from = 2.0
        found = day.run()
        self.assert_named(found, stopped={2})
        self.assertGreater(found.speeds[2].lost, 0)

    def test_clock_differences_do_not_change_the_answer(self) -> None:
        """With gateways' clocks 50 ms apart, the counts and the answer are the same."""
        answers = []
        for skew in (0.0, 0.05):
            day = quiet_day(3, skew=skew)
            day.backends[1].slowdown = 3.0
            found = day.run()
            self.assert_named(found, slow={1})
            answers.append((sum(r.requests for r in found.merged.all_rows()), report.top(found).sentence))
            self.assertEqual(len(found.time_slots), 12)
        self.assertEqual(answers[0], answers[1])

    def test_missing_snapshots_of_a_gateway_are_reported(self) -> None:
        day = quiet_day()
        day.backends[0].slowdown = 3.0
        day.run()
        missing = [w for w in day.windows if any(s.gateway == 1 and 1003 <= s.start < 1006 for s in w.spans)]
        self.assertEqual(3, len(missing))
        found = find_in(w for w in day.windows if w not in missing)
        self.assertEqual(
            [(1, 3.0, True)], [(g.gateway, round(g.end - g.start, 3), g.died) for g in found.gaps]
        )
        answer = report.top(found)
        self.assertIn("gateway 1 has no figures for 3.0 s", " ".join(answer.notes))
        self.assertTrue(answer.confidence.startswith("likely"), answer.confidence)
        self.assertIn("backend 0 took", answer.sentence)

    def test_an_answer_from_few_requests_is_called_a_guess(self) -> None:
        day = QueueSimulation()
        day.add_traffic(1, seconds=1.0)
        self.assertTrue(report.top(day.run()).confidence.startswith("a guess"))

    def test_diff_names_a_new_cause(self) -> None:
        before, day = quiet_day(1).run(), quiet_day(2)
        day.backends[1].slowdown = 3.0
        sentence = report.diff(before, day.run()).sentence
        self.assertRegex(sentence, r"1\.\d\d times as long as before; new is: backend 1 took")
        self.assertIn("nothing new", report.diff(before, quiet_day(3).run()).sentence)


def find_in(windows: Iterable[Window]) -> Findings:
    return find(BASELINE, list(windows))


def blamed_on(found: Findings, holder: int) -> int:
    return sum(us for b, us in found.blame.items() if b.holder == holder)
