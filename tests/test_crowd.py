"""The experiment of many heads with thin traffic: its worth is right, and it sees what slots cost."""

import unittest

from gorsethread.lab.crowd.day import Ask as Wish
from gorsethread.lab.crowd.day import Day, Scene, Store, draw
from gorsethread.lab.crowd.score import due_units
from gorsethread.lab.crowd.world import World
from gorsethread.scheduling.scheduler import Scheduler


class Crowd(unittest.TestCase):
    def day(self, asks: list[Wish], heads: int = 1) -> Day:
        whole = draw(Scene(heads, 1, 2.0))
        stores = [Store(plan, 1.0, (0,), (0,), [(0.0, 0)], (0.0, 0.0, 1.0)) for plan in (0, 2)]
        return Day(whole.scene, whole.facts, [1.0], stores, asks)

    def test_due_is_dealt_out_by_weight_and_no_more_than_asked(self) -> None:
        asks = [Wish(0.1, 0, 0, 0, 8, 0, 1.0)] * 10 + [Wish(0.2, 0, 1, 0, 2, 0, 1.0)]
        due = due_units(self.day(asks))
        self.assertEqual(2.0, due[(1, 0)])
        self.assertAlmostEqual(0.9 * 2.0 / 0.14 - 2.0, due[(0, 0)])

    def test_a_quiet_shelf_serves_all_and_an_overfull_one_what_it_can(self) -> None:
        quiet = World(self.day([Wish(0.1 * n, 0, n % 2, 0, 1, 0, 0.14) for n in range(10)])).play()
        self.assertEqual((1.0, 0.0, 0.0), (round(quiet.served, 6), quiet.rejected, quiet.late))
        full = World(self.day([Wish(0.001 * n, 0, n % 2, 0, 8, 0, 1.1) for n in range(100)])).play()
        self.assertGreater(full.rejected, 0.5)
        self.assertLess(full.served, 1.0)

    def test_one_seed_one_history(self) -> None:
        first, again = (World(draw(Scene(8, 6, 6.0, seed=5))).play() for _ in range(2))
        self.assertEqual(first, again)

    def test_a_lone_head_keeps_its_shelves_busy(self) -> None:
        """A line that is all its own asks for no fewer slots than the design's start."""
        self.assertGreater(World(draw(Scene(1, 15, 16.0))).play().served, 0.83)

    def test_slots_of_many_heads_add_up_where_a_line_is_no_sign(self) -> None:
        """The loss of the standing test, and what the guard in the module is worth against it."""

        class NoLine(Scheduler):
            def _record_outcome(self, backend, *facts):  # type: ignore[no-untyped-def]
                slots = backend.limits.slots
                super()._record_outcome(backend, *facts)
                backend.limits.slots = max(backend.limits.slots, min(slots, 4.0))

        with_line = without = 0.0
        for seed in (1, 2):
            day = draw(Scene(40, 15, 16.0, seed=seed))
            with_line += World(day).play().served / 2
            without += World(day, NoLine).play().served / 2
        self.assertGreater(with_line, without + 0.01)
