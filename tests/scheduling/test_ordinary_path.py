"""The design's ordinary path: fair slots by augmenting paths."""

from gorsethread.scheduling.model import AttemptOutcome, ServiceTier
from tests.harness import SLOW, Scene


class OrdinaryPath(Scene):
    def begin(self, shelves: int, slots: int, *weights: float, reserve: float = 0.0) -> None:
        self.start(
            shelves,
            service_tiers=tuple(ServiceTier(reserve * i, w, 0.0, 0.0, 4.0) for i, w in enumerate(weights)),
        )
        for shelf in self.scheduler.shards.backends.values():
            shelf.limits.slots = float(slots)

    def test_papers_example(self) -> None:
        """Three flows, five disks, one slot each: only moving earlier choices gives 2, 2, 1."""
        self.begin(5, 1, 1.0)
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
            self.take(id, volume, shard)
        self.end()
        self.kept("papers_example")

    def test_weights_and_slots(self) -> None:
        """Six slots at one shelf, weights 1 and 2: two for the light volume, four for the heavy one."""
        self.begin(1, 6, 1.0, 2.0)
        for id in range(12):
            self.take(id, "light" if id < 6 else "heavy", plan=id // 6)
        self.end()
        self.kept("weights_and_slots")

    def test_waking_volume(self) -> None:
        """A volume that slept gets no credit: it wakes level with the busy one, and they take turns."""
        self.begin(1, 2, 1.0)
        for id in range(8):
            self.take(id, "busy")
        self.end()
        for id in range(4):
            self.answer(id)
            self.end()
        for id in range(10, 14):
            self.take(id, "waking")
        for id in (4, 5, 6, 10):
            if (id, 0) in self.host.sent:
                self.answer(id)
            self.end()
        self.kept("waking_volume")

    def test_reserve(self) -> None:
        """At a crowded shelf a volume with a reserve is paced above a plain one of the same weight."""
        self.start(
            request_classes=(SLOW,),
            service_tiers=(ServiceTier(0.0, 1.0, 0.0, 0.0, 4.0), ServiceTier(12.0, 1.0, 0.0, 0.0, 4.0)),
        )
        limits = self.scheduler.shards.backends[1].limits
        limits.slots, limits.rate = 32.0, 0.25
        for id in range(14):
            self.take(id, "plain" if id < 7 else "reserved", plan=id // 7, units=4, within=20.0)
        self.end()
        self.until(2.5)
        self.kept("reserve")

    def test_crowded_shelf(self) -> None:
        """An overdue forward cuts the rate before its answer, which then cuts no more; time grows it."""
        self.start()
        for id, (answered, how) in enumerate(
            [
                (0.1, AttemptOutcome.SUCCEEDED),
                (1.0, AttemptOutcome.SUCCEEDED),
                (1.5, AttemptOutcome.TIMED_OUT),
                (1.6, AttemptOutcome.SUCCEEDED),
                (2.6, AttemptOutcome.REJECTED),
            ]
        ):
            self.take(id)
            self.end()
            if id == 1:
                self.until(0.9)
                self.take(9, within=0.08)
                self.end()
            self.until(answered)
            self.answer(id, how, finished=True)
            self.host.say(f"    paced at {self.scheduler.shards.backends[1].limits.rate:.1f} usual rates")
            self.end()
        self.kept("crowded_shelf")

    def test_new_objects(self) -> None:
        """A volume's new objects go to its first shelf in rank, then to the next."""
        self.begin(3, 2, 1.0)
        for id in range(5):
            self.take(id, "a", shard=-1)
        self.end()
        self.kept("new_objects")
