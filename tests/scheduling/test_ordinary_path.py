"""Tests how slots are shared among volumes by augmenting paths."""

from gorsethread.scheduling.model import AttemptOutcome, ServiceTier
from tests.harness import SLOW, SchedulerTestCase


class SlotSharingTest(SchedulerTestCase):
    def start_with_slots(self, backends: int, slots: int, *weights: float, reservation: float = 0.0) -> None:
        """Starts with a number of slots at each backend and a service tier for each weight."""
        self.start(
            backends,
            service_tiers=tuple(
                ServiceTier(reservation * index, weight, 0.0, 0.0, 4.0)
                for index, weight in enumerate(weights)
            ),
        )
        for backend in self.scheduler.shards.backends.values():
            backend.limits.slots = float(slots)

    def test_augmenting_paths_reproduce_the_example_of_the_paper(self) -> None:
        """Three flows, five disks, one slot each: the shares 2, 2, 1 need changes of earlier choices."""
        self.start_with_slots(5, 1, 1.0)
        for id, (volume, shard) in enumerate(
            [
                ("f1", 1),
                ("f1", 2),
                ("f1", 4),
                ("f1", 5),
                ("f2", 1),
                ("f2", 3),
                ("f2", 3),
                ("f2", 3),
                ("f3", 2),
                ("f3", 2),
                ("f3", 2),
            ]
        ):
            self.receive(id, volume, shard)
        self.end_batch()
        self.assert_trace("paper_example")

    def test_slots_are_shared_by_weight(self) -> None:
        """Six slots at one backend, weights 1 and 2: two for the light volume, four for the heavy one."""
        self.start_with_slots(1, 6, 1.0, 2.0)
        for id in range(12):
            self.receive(id, "light" if id < 6 else "heavy", service_tier=id // 6)
        self.end_batch()
        self.assert_trace("weights_and_slots")

    def test_an_idle_volume_resumes_at_the_virtual_time_of_the_busy_one(self) -> None:
        """A volume gets no credit for its idle time; after it the two volumes send alternately."""
        self.start_with_slots(1, 2, 1.0)
        for id in range(8):
            self.receive(id, "busy")
        self.end_batch()
        for id in range(4):
            self.end_attempt(id)
            self.end_batch()
        for id in range(10, 14):
            self.receive(id, "resuming")
        for id in (4, 5, 6, 10):
            if (id, 0) in self.actions.sent:
                self.end_attempt(id)
            self.end_batch()
        self.assert_trace("idle_volume_resumes")

    def test_a_volume_with_a_reservation_is_paced_faster_at_an_overloaded_backend(self) -> None:
        """It sends more than a volume of the same weight without a reservation."""
        self.start(
            request_classes=(SLOW,),
            service_tiers=(ServiceTier(0.0, 1.0, 0.0, 0.0, 4.0), ServiceTier(12.0, 1.0, 0.0, 0.0, 4.0)),
        )
        limits = self.scheduler.shards.backends[1].limits
        limits.slots, limits.rate = 32.0, 0.25
        for id in range(14):
            self.receive(id, "plain" if id < 7 else "reserved", service_tier=id // 7, units=4, timeout=20.0)
        self.end_batch()
        self.run_until(2.5)
        self.assert_trace("reservation")

    def test_a_late_answer_does_not_cut_the_rate_again(self) -> None:
        """An overdue attempt cuts the rate before it is answered; later the rate grows with time."""
        self.start()
        for id, (answered_at, outcome) in enumerate(
            [
                (0.1, AttemptOutcome.SUCCEEDED),
                (1.0, AttemptOutcome.SUCCEEDED),
                (1.5, AttemptOutcome.TIMED_OUT),
                (1.6, AttemptOutcome.SUCCEEDED),
                (2.6, AttemptOutcome.REJECTED),
            ]
        ):
            self.receive(id)
            self.end_batch()
            if id == 1:
                self.run_until(0.9)
                self.receive(9, timeout=0.08)
                self.end_batch()
            self.run_until(answered_at)
            self.end_attempt(id, outcome, finished=True)
            rate = self.scheduler.shards.backends[1].limits.rate
            self.actions.log(f"    paced at {rate:.1f} expected rates")
            self.end_batch()
        self.assert_trace("overloaded_backend")

    def test_new_objects_go_to_the_backends_in_the_order_of_the_ranking(self) -> None:
        """New objects of a volume go to its first backend until that has no slots left, then to the next."""
        self.start_with_slots(3, 2, 1.0)
        for id in range(5):
            self.receive(id, "a", shard=-1)
        self.end_batch()
        self.assert_trace("new_objects")
