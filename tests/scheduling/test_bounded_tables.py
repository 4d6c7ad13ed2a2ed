"""Tables that grow with the names that clients choose are bounded, and nobody gains by being forgotten."""

from unittest import mock

from gorsethread.http_gateway.reason_counts import OTHER_REASONS, REASONS_MAX, ReasonCounts
from gorsethread.scheduling import fair_queueing, rendezvous_ranking
from gorsethread.scheduling.model import AttemptOutcome, RetryBudget
from tests.harness import SchedulerTestCase

VOLUMES = 20  # the bound in these tests


class VolumesTest(SchedulerTestCase):
    def setUp(self) -> None:
        super().setUp()
        patcher = mock.patch.object(fair_queueing, "VOLUMES_MAX", VOLUMES)
        patcher.start()
        self.addCleanup(patcher.stop)

    def serve(self, id: int, volume: str) -> None:
        """Receives a request of a volume and ends its attempt at once."""
        self.receive(id, volume=volume)
        self.end_batch()
        self.end_attempt(id, AttemptOutcome.SUCCEEDED)
        self.end_batch()

    def test_ever_new_names_of_volumes_take_a_bounded_table(self) -> None:
        # Guards against a client that names a new volume in each request: half a kilobyte each, without end.
        self.start()
        for id in range(1, 300):
            self.serve(id, f"volume {id}")
        volumes = self.scheduler.queueing.volumes
        self.assertLessEqual(len(volumes), VOLUMES + 1)
        self.assertEqual({}, self.scheduler.requests)
        self.assertEqual(0, sum(volume.open_requests for volume in volumes.values()))

    def test_a_volume_that_has_received_more_than_others_is_not_forgotten(self) -> None:
        # Guards against a volume that makes itself forgotten and comes back without its lead.
        self.start()
        self.receive(1, volume="steady")
        for id in range(2, 30):
            self.receive(id, volume="greedy", units=8)
        self.end_batch()
        while any(request.in_flight for request in self.scheduler.requests.values()):
            for id in [id for id, request in self.scheduler.requests.items() if request.in_flight]:
                self.end_attempt(id, AttemptOutcome.SUCCEEDED)
            self.end_batch()
        [greedy] = [v for v in self.scheduler.queueing.volumes.values() if v.name == "greedy"]
        received = greedy.service_received
        for id in range(100, 300):
            self.receive(id, volume=f"volume {id}", shard=9)
        self.assertIs(greedy, self.scheduler.queueing.volumes[greedy.id])
        self.assertEqual(received, greedy.service_received)

    def test_volumes_beyond_the_bound_share_one(self) -> None:
        self.start()
        for id in range(1, 100):
            self.receive(id, volume=f"volume {id}", shard=9)
        self.assertEqual(VOLUMES + 1, len(self.scheduler.queueing.volumes))
        shared = [v for v in self.scheduler.queueing.volumes.values() if v.open_requests > 1]
        self.assertEqual([99 - VOLUMES], [volume.open_requests for volume in shared])


class OtherTablesTest(SchedulerTestCase):
    def test_rankings_of_volumes_are_bounded_and_computed_again_alike(self) -> None:
        self.start(3)
        ranking = self.scheduler.shards.ranking
        before = [backend.id for backend in ranking.backends_for("first")]
        with mock.patch.object(rendezvous_ranking, "POSITIONS_MAX", 30):
            for number in range(100):
                ranking.backends_for(f"volume {number}")
            self.assertLessEqual(len(ranking._rankings), 30)
            self.assertNotIn("first", ranking._rankings)
            self.assertEqual(before, [backend.id for backend in ranking.backends_for("first")])

    def test_the_requests_counted_for_the_retry_budget_are_those_of_its_window(self) -> None:
        # Guards against a table that grows with each request for as long as nothing is retried.
        self.start(retry_budget=RetryBudget(1.0, 0.1, 2.0))
        for id in range(1, 200):
            self.actions.now += 0.1
            self.receive(id, shard=9)
        self.assertLessEqual(len(self.scheduler.retries._received_at), 21)

    def test_reasons_that_clients_word_are_counted_in_a_bounded_table(self) -> None:
        counts = ReasonCounts()
        for number in range(1_000):
            counts.add(f"volume is {number}")
        self.assertEqual(REASONS_MAX + 1, len(counts))
        self.assertEqual(1_000 - REASONS_MAX, counts[OTHER_REASONS])
        self.assertEqual(OTHER_REASONS, next(iter(counts.take_report())))
        self.assertEqual(0, len(counts))
