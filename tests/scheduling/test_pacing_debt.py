"""What a volume owes its pacing bucket after a time in which pacing did not hold it."""

from tests.harness import SchedulerTestCase

LIMITED_RATE = 0.5  # of a backend; see ConcurrencyLimits


class PacingDebt(SchedulerTestCase):
    def test_a_volume_owes_no_more_than_pacing_would_have_let_through(self) -> None:
        # Guards against a debt that grows while the backend's rate is not limited and then stops the volume.
        self.start()
        self.receive(1, units=4)
        request = self.scheduler.requests[1]
        pacing = self.scheduler.pacing
        self.assertTrue(pacing.admits(request, LIMITED_RATE, 0.0))
        full = request.volume.pacing[request.shard].level
        for _ in range(400):  # sent while the rate is not limited, for which nothing is asked
            pacing.spend(request)
        self.assertGreaterEqual(request.volume.pacing[request.shard].level, -full)
