"""What a backend that has just started is sent while it warms up."""

from gorsethread.scheduling.model import Backend, Request, SchedulerSettings
from gorsethread.scheduling.random_draws import RandomDraws
from gorsethread.scheduling.slow_start_leases import SlowStartLeases
from gorsethread.scheduling.timers import Timers

UNLIMITED = float("inf")
FIRST_DELAY_PART = 0.5  # of what a backend lacks within the rule's window: the longest first delay


class SlowStart:
    """Holds a gateway to its part of what a backend allows: an even share, or leases where that is small.

    Sets when a started backend gets its first attempt. Its log, shared with the leases, is emptied by
    forget_idle().
    """

    def __init__(
        self, settings: SchedulerSettings, timers: Timers, draws: RandomDraws, leases: SlowStartLeases
    ) -> None:
        self._timers = timers
        self._draws = draws
        self.leases = leases
        self.rule = settings.slow_start
        self.gateways = settings.gateways

    def backend_started(self, backend: Backend) -> None:
        """The backend has started anew; all gateways at once would be too much for it."""
        self.leases.backend_started(backend)
        rule = self.rule
        missing = min(rule.window, rule.warm_after) * (1.0 - rule.initial_part)
        backend.first_attempt_at = (
            0.0 if self.leases.enabled else self._timers.now + FIRST_DELAY_PART * missing * self._draws.next()
        )

    def units_left(self, backend: Backend) -> float:
        """Returns the units that this gateway may send the backend now."""
        if backend.started_at <= 0:
            return UNLIMITED
        age = self._timers.now - backend.started_at
        if age >= self.rule.warm_after:
            return UNLIMITED
        if self.leases.enabled:
            return self.leases.units_left(backend)
        return self._even_share_left(backend, age)

    def _even_share_left(self, backend: Backend, age: float) -> float:
        now = self._timers.now
        own_start = self._timers.started_at
        if backend.started_at <= own_start and now - own_start < self.rule.window:
            return 0.0  # an earlier run of this gateway may have spent the share
        # By shard: a list that began anew may leave out a backend for a moment, which has not warmed up then.
        spent = self.leases.log.units_since(backend.shard, now - self.rule.window)
        return self.rule.units_allowed(age) / self.gateways - spent

    def held_until(self, backend: Backend) -> float:
        """Returns when the backend may get something, in seconds; past or 0: now."""
        if not self.leases.enabled and self.units_left(backend) < 1.0:
            return max(backend.first_attempt_at, self._timers.reevaluation_time())
        return backend.first_attempt_at

    def is_blocked(self, request: Request, backend: Backend) -> bool:
        """Whether the backend may not get a request of that size now."""
        too_early = self._timers.now < backend.first_attempt_at
        return too_early or self.units_left(backend) < max(1.0, request.units)

    def admits(self, request: Request, backend: Backend) -> bool:
        """Whether the request may be chosen for the backend; where a lease is missing, asks for one."""
        if not self.leases.enabled or request.units <= self.units_left(backend):
            return True
        return self.leases.acquire(request, backend)

    def spend(self, request: Request, backend: Backend) -> None:
        """The request is sent to a backend that is warming up."""
        self.leases.spend(backend, request.units)
        if not self.leases.enabled:
            self.leases.log.add(backend.shard, self._timers.now, request.units)

    def may_begin_attempt(self, backend: Backend, decided_at: float, now: float) -> bool:
        """Whether an attempt that was decided then and waited for its connection may still go out."""
        warming_up = 0.0 < now - backend.started_at < self.rule.warm_after
        return not warming_up or now <= decided_at + self.leases.duration

    def forget_idle(self) -> None:
        """Forgets what no longer counts."""
        self.leases.log.forget_idle(self._timers.now - self.leases.grants_kept_for)
