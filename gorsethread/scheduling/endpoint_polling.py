"""Schedules polls of the endpoint list, with backoff, and finds the backends that a list leaves out."""

from collections.abc import Iterable, Mapping

from gorsethread.scheduling.model import Backend, SchedulerSettings
from gorsethread.scheduling.random_draws import RandomDraws
from gorsethread.scheduling.timers import NEVER, Timers

# Gateways that come back at the same time spread their polls over a fraction of poll_within, the time for
# which a list is valid. Of that time, MAX_SPREAD counts at most.
RETRY_PART = 0.05
FIRST_POLL_PART = 0.2
MAX_SPREAD = 10.0  # seconds
# A gateway counts as notified of a change after 6 seconds, whichever poll failed.
MAX_BACKOFF = 4.0  # seconds, including the time until the poll failed
MIN_BACKOFF_LIMIT = 0.8  # seconds to which the limit falls after a poll that took long to fail
MIN_FIRST_BACKOFF = 0.25  # seconds
MAX_DOUBLINGS = 30
MIN_JITTER = 0.1  # fraction of the backoff that is always waited


class EndpointPolling:
    """Holds the time of the next poll, the number of consecutive failures, and the ids in the latest list.

    The ids are cleared when the next list begins.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers, draws: RandomDraws) -> None:
        self._timers = timers
        self._draws = draws
        self._backoff_limit = settings.poll_within or 0.5 * settings.drain_grace
        self._spread = min(settings.poll_within, MAX_SPREAD) * (1.0 - 1.0 / settings.gateways)
        first_poll_at = timers.started_at + FIRST_POLL_PART * self._spread * draws.next()
        self.next_poll_at = first_poll_at if settings.polls_endpoints else NEVER
        self.failures = 0
        self._list_is_complete = False
        self._listed: set[int] = set()

    def poll_failed(self, waited: float) -> None:
        """Schedules the next poll after a backoff. waited: seconds until the poll failed."""
        self.failures += 1
        step = max(MIN_FIRST_BACKOFF, RETRY_PART * self._spread)
        step *= 2.0 ** min(self.failures, MAX_DOUBLINGS)
        limit = max(MIN_BACKOFF_LIMIT, MAX_BACKOFF - waited)
        backoff = min(self._backoff_limit, step, limit)
        jitter = MIN_JITTER + (1.0 - MIN_JITTER) * self._draws.next()
        self.next_poll_at = self._timers.now + backoff * jitter

    def poll_due(self) -> bool:
        """Returns whether a poll is due, and if so clears the time of the next poll."""
        if self._timers.now < self.next_poll_at:
            return False
        self.next_poll_at = NEVER
        return True

    def list_begins(self, complete: bool, remembered: bool) -> None:
        """Starts a list.

        complete: it contains all backends, not only changes; remembered: it was stored by an earlier run and
        does not come from a poll.
        """
        self._list_is_complete = complete
        self._listed = set()
        if not remembered:
            self.failures = 0

    def listed(self, backend_id: int) -> None:
        """Records that the list contains a backend."""
        self._listed.add(backend_id)

    def missing(self, known: Mapping[int, Backend]) -> Iterable[int]:
        """Returns the ids of known backends that the list, if it is complete, does not contain."""
        return known.keys() - self._listed if self._list_is_complete else ()
