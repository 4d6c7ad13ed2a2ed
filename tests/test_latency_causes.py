"""The right cause is named, and no other, on days whose truth is known."""

import unittest
from collections.abc import Iterable

from gorsethread.latency_attribution import report
from gorsethread.latency_attribution.causes import Findings, find
from gorsethread.latency_attribution.stages import HEAD, SHELF, Stage
from gorsethread.latency_attribution.window import Window
from tests.queue_model import KNOWN, QueueSimulation


def quiet_day(seed: int = 1, **how: float) -> QueueSimulation:
    day = QueueSimulation(seed, **how)  # type: ignore[arg-type]
    for volume in range(1, 7):
        day.add_traffic(volume)
    return day


def waited_for(found: Findings, volume: int) -> dict[int, float]:
    """Parts of the volume's waiting, by holder."""
    held: dict[int, int] = {}
    for (holder, _), us in found.holders(volume).items():
        held[holder] = held.get(holder, 0) + us
    return {holder: us / sum(held.values()) for holder, us in held.items()}


class Named(unittest.TestCase):
    def named(
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
        self.assertEqual(0, found.whole.remainders)
        self.assertEqual(0, found.whole.disorders)

    def test_quiet_days_accuse_nobody(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                found = quiet_day(seed).run()
                self.named(found)
                self.assertIn("Nothing stands out", report.top(found).sentence)

    def test_slow_shelf_and_no_volume(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                day = quiet_day(seed)
                day.backends[1].slowdown = 3.0
                found = day.run()
                self.named(found, slow={1})
                self.assertAlmostEqual(3.0, found.slow[1], delta=0.3)
                self.assertIn("shelf 1 took", report.top(found).sentence)
                self.assertIn("times as long as its peers", report.shelf(found, 1).sentence)
                self.assertIn("as quick as its peers", report.shelf(found, 0).sentence)

    def test_flood_through_four_heads_adds_up(self) -> None:
        day = quiet_day(gateways=4)
        day.add_traffic(7, 25.0, backend=2)
        found = day.run()
        self.named(found, floods={7})
        alone = [
            held_by(find_of(w for w in day.windows if head in {s.head for s in w.spans}), 7)
            for head in range(4)
        ]
        self.assertGreater(held_by(found, 7), 0.95 * sum(alone))
        self.assertLess(max(alone), 0.5 * held_by(found, 7), "no head sees the half of it")
        self.assertGreater(waited_for(found, 1).get(7, 0.0), 0.5)
        self.assertRegex(
            report.why(found, 1).sentence, r"behind L07 on shelf 2 \(it is as quick as its peers\)"
        )

    def test_slow_and_flood_on_one_shelf(self) -> None:
        day = quiet_day()
        day.backends[0].slowdown = 3.0
        day.add_traffic(7, 20.0, backend=0)
        found = day.run()
        self.named(found, slow={0}, floods={7})
        parts = waited_for(found, 1)
        self.assertGreater(parts[SHELF], 0.4, "what would not have been on a usual shelf")
        self.assertGreater(parts[7], 0.15)

    def test_slow_and_flood_on_different_shelves(self) -> None:
        day = quiet_day()
        day.backends[0].slowdown = 3.0
        day.add_traffic(7, 20.0, backend=2)
        found = day.run()
        self.named(found, slow={0}, floods={7})
        self.assertNotIn((7, 0), found.holders(shelf=0))

    def test_volume_behind_itself(self) -> None:
        day = QueueSimulation()
        day.add_traffic(7, 25.0, backend=0, gateways=1)
        found = day.run()
        self.named(found, floods={7})
        self.assertGreater(waited_for(found, 7)[7], 0.99)
        self.assertIn("behind itself on shelf 0", report.why(found, 7).sentence)

    def test_limit_holds_a_volume_alone(self) -> None:
        day = quiet_day()
        day.limited[7] = (24.0, 0.0)
        day.add_traffic(7, 6.0)
        found = day.run()
        self.named(found, floods={7})
        limited = {b.waiter for b in found.blame if b.stage == Stage.LIMIT}
        self.assertEqual({7}, limited)
        self.assertGreater(waited_for(found, 7)[HEAD], 0.8)
        self.assertIn("the head's decision (limit)", report.why(found, 7).sentence)
        self.assertIn("nothing held it up", report.why(found, 1).sentence)

    def test_paused_shelf_full_of_innocents(self) -> None:
        day = quiet_day()
        for volume in range(1, 7):
            day.add_traffic(volume, 0.5, backend=1)
        day.backends[1].paused = (2.0, 3.6)
        found = day.run()
        self.named(found, stopped={1})
        holders = found.holders(shelf=1)
        self.assertGreater(holders[SHELF, 1] / sum(holders.values()), 0.9)
        self.assertIn("shelf 1 stood still", report.top(found).sentence)

    def test_hung_shelf(self) -> None:
        day = quiet_day()
        day.backends[2].hung_from = 2.0
        found = day.run()
        self.named(found, stopped={2})
        self.assertGreater(found.paces[2].lost, 0)

    def test_clocks_apart(self) -> None:
        """Heads' clocks 50 ms apart: the same lives, the same answer."""
        answers = []
        for skew in (0.0, 0.05):
            day = quiet_day(3, skew=skew)
            day.backends[1].slowdown = 3.0
            found = day.run()
            self.named(found, slow={1})
            answers.append((sum(r.lives for r in found.whole.all_rows()), report.top(found).sentence))
            self.assertEqual(len(found.slots), 12)
        self.assertEqual(answers[0], answers[1])

    def test_head_that_died_leaves_a_gap(self) -> None:
        day = quiet_day()
        day.backends[0].slowdown = 3.0
        day.run()
        missing = [w for w in day.windows if any(s.head == 1 and 1003 <= s.start < 1006 for s in w.spans)]
        self.assertEqual(3, len(missing))
        found = find_of(w for w in day.windows if w not in missing)
        self.assertEqual([(1, 3.0, True)], [(g.head, round(g.end - g.start, 3), g.died) for g in found.gaps])
        answer = report.top(found)
        self.assertIn("head 1 has no figures for 3.0 s", " ".join(answer.notes))
        self.assertTrue(answer.sure.startswith("likely"), answer.sure)
        self.assertIn("shelf 0 took", answer.sentence)

    def test_few_transactions_are_a_guess(self) -> None:
        day = QueueSimulation()
        day.add_traffic(1, seconds=1.0)
        self.assertTrue(report.top(day.run()).sure.startswith("a guess"))

    def test_what_changed(self) -> None:
        before, day = quiet_day(1).run(), quiet_day(2)
        day.backends[1].slowdown = 3.0
        sentence = report.diff(before, day.run()).sentence
        self.assertRegex(sentence, r"1\.\d\d times as long as before; new is: shelf 1 took")
        self.assertIn("nothing new", report.diff(before, quiet_day(3).run()).sentence)


def find_of(windows: Iterable[Window]) -> Findings:
    return find(KNOWN, list(windows))


def held_by(found: Findings, holder: int) -> int:
    return sum(us for b, us in found.blame.items() if b.holder == holder)
