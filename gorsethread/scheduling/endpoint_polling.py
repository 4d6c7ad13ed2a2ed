"""When to ask for the endpoint list, and which backends a list has named."""

from collections.abc import Iterable, Mapping

from gorsethread.scheduling.model import Backend, SchedulerSettings
from gorsethread.scheduling.random_draws import RandomDraws
from gorsethread.scheduling.timers import NEVER, Timers

# Polls of gateways that came back together are spread over a part of the time that a list may stand.
RETRY_PART = 0.05
FIRST_POLL_PART = 0.2
SPREAD_MOST = 10.0  # seconds of that time
# Seconds: a change counts as notified after 6, whatever call failed.
BACKOFF_MOST = 4.0
BACKOFF_MOST_AFTER_WAIT = 0.8
FIRST_BACKOFF_LEAST = 0.25  # seconds
DOUBLINGS_MOST = 30
JITTER_LEAST = 0.1  # part of the backoff that is waited in any case


class EndpointPolling:
    """The time of the next poll, how many have failed in turn, and the ids in the list that is arriving.

    The ids are forgotten as the next list begins.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers, draws: RandomDraws) -> None:
        self._timers = timers
        self._draws = draws
        self._backoff_limit = settings.poll_within or 0.5 * settings.drain_grace
        self._spread = min(settings.poll_within, SPREAD_MOST) * (1.0 - 1.0 / settings.gateways)
        first = timers.started_at + FIRST_POLL_PART * self._spread * draws.next()
        self.next_poll_at = first if settings.polls_endpoints else NEVER
        self.failures = 0
        self._list_is_complete = False
        self._listed: set[int] = set()

    def poll_failed(self, waited: float) -> None:
        """Sets the next poll after a backoff; waited: seconds until the poll failed."""
        self.failures += 1
        step = max(FIRST_BACKOFF_LEAST, RETRY_PART * self._spread)
        step *= 2.0 ** min(self.failures, DOUBLINGS_MOST)
        most = max(BACKOFF_MOST_AFTER_WAIT, BACKOFF_MOST - waited)
        backoff = min(self._backoff_limit, step, most)
        jitter = JITTER_LEAST + (1.0 - JITTER_LEAST) * self._draws.next()
        self.next_poll_at = self._timers.now + backoff * jitter

    def poll_due(self) -> bool:
        """Whether the list is to be asked for now; asking clears it."""
        if self._timers.now < self.next_poll_at:
            return False
        self.next_poll_at = NEVER
        return True

    def list_begins(self, complete: bool, remembered: bool) -> None:
        """A list arrives, complete or of changes; remembered: from an earlier run, not from a poll."""
        self._list_is_complete = complete
        self._listed = set()
        if not remembered:
            self.failures = 0

    def listed(self, backend_id: int) -> None:
        """The list names a backend."""
        self._listed.add(backend_id)

    def missing(self, known: Mapping[int, Backend]) -> Iterable[int]:
        """Returns the known backends that a complete list has left out."""
        return known.keys() - self._listed if self._list_is_complete else ()
