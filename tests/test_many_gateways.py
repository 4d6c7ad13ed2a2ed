"""Tests the experiment with many gateways of little traffic each: its score, and the effect of slots."""

import unittest

from gorsethread.experiments.many_gateways.score import due_units
from gorsethread.experiments.many_gateways.simulation import World
from gorsethread.experiments.many_gateways.workload import Ask, Day, Scene, Store, draw
from gorsethread.scheduling.scheduler import Scheduler


class CrowdTest(unittest.TestCase):
    def day(self, asks: list[Ask], gateways: int = 1) -> Day:
        """Returns a day with the given requests and two volumes of different service tiers."""
        drawn = draw(Scene(gateways, 1, 2.0))
        stores = [Store(tier, 1.0, (0,), (0,), [(0.0, 0)], (0.0, 0.0, 1.0)) for tier in (0, 2)]
        return Day(drawn.scene, drawn.facts, [1.0], stores, asks)

    def test_due_units_are_shared_by_weight_and_are_at_most_the_requested_units(self) -> None:
        asks = [Ask(0.1, 0, 0, 0, 8, 0, 1.0)] * 10 + [Ask(0.2, 0, 1, 0, 2, 0, 1.0)]
        due = due_units(self.day(asks))
        self.assertEqual(2.0, due[(1, 0)])
        self.assertAlmostEqual(0.9 * 2.0 / 0.14 - 2.0, due[(0, 0)])

    def test_an_idle_backend_serves_all_requests_and_an_overloaded_one_only_some(self) -> None:
        idle = World(self.day([Ask(0.1 * n, 0, n % 2, 0, 1, 0, 0.14) for n in range(10)])).play()
        self.assertEqual((1.0, 0.0, 0.0), (round(idle.served, 6), idle.rejected, idle.late))
        overloaded = World(self.day([Ask(0.001 * n, 0, n % 2, 0, 8, 0, 1.1) for n in range(100)])).play()
        self.assertGreater(overloaded.rejected, 0.5)
        self.assertLess(overloaded.served, 1.0)

    def test_the_same_seed_gives_the_same_score(self) -> None:
        first, again = (World(draw(Scene(8, 6, 6.0, seed=5))).play() for _ in range(2))
        self.assertEqual(first, again)

    def test_a_single_gateway_keeps_its_backends_busy(self) -> None:
        """A queue of its own requests alone does not reduce the slots below their initial number."""
        self.assertGreater(World(draw(Scene(1, 15, 16.0))).play().served, 0.83)

    def test_reducing_the_slots_at_a_queue_serves_more_with_many_gateways(self) -> None:
        """Otherwise the slots of many gateways add up at a backend, which cost score in the standing test."""

        class IgnoresQueues(Scheduler):
            def _record_outcome(self, backend, *arguments):  # type: ignore[no-untyped-def]
                slots = backend.limits.slots
                super()._record_outcome(backend, *arguments)
                backend.limits.slots = max(backend.limits.slots, min(slots, 4.0))

        with_queues = without_queues = 0.0
        for seed in (1, 2):
            day = draw(Scene(40, 15, 16.0, seed=seed))
            with_queues += World(day).play().served / 2
            without_queues += World(day, IgnoresQueues).play().served / 2
        self.assertGreater(with_queues, without_queues + 0.01)
