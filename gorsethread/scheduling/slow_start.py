"""Limits what is sent to a backend that has just started, while it warms up."""

from gorsethread.scheduling.model import Backend, Request, SchedulerSettings
from gorsethread.scheduling.random_draws import RandomDraws
from gorsethread.scheduling.slow_start_leases import SlowStartLeases
from gorsethread.scheduling.timers import Timers

UNLIMITED = float("inf")
# The longest delay of a backend's first attempt, as a fraction of the capacity that the backend lacks within
# the rule's window, in seconds of a warm backend.
FIRST_DELAY_PART = 0.5


class SlowStart:
    """Limits this gateway to its share of the units that a backend in slow start allows.

    The share is equal for all gateways, or is granted by leases if an equal share would be too small. Also
    sets the time of the first attempt to a backend that has started. The log of units, shared with the
    leases, is pruned by forget_idle().
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
        """Delays the first attempt to a backend that has just started, at random.

        Attempts of all gateways at the same time would overload it. With leases there is no delay.
        """
        self.leases.backend_started(backend)
        rule = self.rule
        missing_capacity = min(rule.window, rule.warm_after) * (1.0 - rule.initial_part)
        backend.first_attempt_at = (
            0.0
            if self.leases.enabled
            else self._timers.now + FIRST_DELAY_PART * missing_capacity * self._draws.next()
        )

    def units_left(self, backend: Backend) -> float:
        """Returns the units that this gateway may send the backend now, infinity if it is warm."""
        if backend.started_at <= 0:
            return UNLIMITED
        age = self._timers.now - backend.started_at
        if age >= self.rule.warm_after:
            return UNLIMITED
        if self.leases.enabled:
            return self.leases.units_left(backend)
        return self._even_share_left(backend, age)

    def _even_share_left(self, backend: Backend, age: float) -> float:
        """Returns the units left of an equal share; age: seconds since the backend's start."""
        now = self._timers.now
        own_start = self._timers.started_at
        if backend.started_at <= own_start and now - own_start < self.rule.window:
            return 0.0  # an earlier run of this gateway may have spent the share
        # By shard: a new list may leave out a backend for a moment, and it is still warming up after that.
        spent = self.leases.log.units_since(backend.shard, now - self.rule.window)
        return self.rule.units_allowed(age) / self.gateways - spent

    def blocked_until(self, backend: Backend) -> float:
        """Returns when the backend may get an attempt, in seconds; 0 or a past time: now."""
        if not self.leases.enabled and self.units_left(backend) < 1.0:
            return max(backend.first_attempt_at, self._timers.reevaluation_time())
        return backend.first_attempt_at

    def is_blocked(self, request: Request, backend: Backend) -> bool:
        """Returns whether slow start does not allow sending the request to the backend now."""
        too_early = self._timers.now < backend.first_attempt_at
        return too_early or self.units_left(backend) < max(1.0, request.units)

    def admits(self, request: Request, backend: Backend) -> bool:
        """Returns whether the request may be chosen for the backend; requests a lease if one is needed."""
        if not self.leases.enabled or request.units <= self.units_left(backend):
            return True
        return self.leases.acquire(request, backend)

    def spend(self, request: Request, backend: Backend) -> None:
        """Counts the units of a request sent to a backend that is warming up."""
        self.leases.spend(backend, request.units)
        if not self.leases.enabled:
            self.leases.log.add(backend.shard, self._timers.now, request.units)

    def may_begin_attempt(self, backend: Backend, decided_at: float, now: float) -> bool:
        """Returns whether an attempt that has waited for a connection since decided_at may be sent now."""
        warming_up = 0.0 < now - backend.started_at < self.rule.warm_after
        return not warming_up or now <= decided_at + self.leases.duration

    def forget_idle(self) -> None:
        """Drops the shards whose logged units no longer count."""
        self.leases.log.forget_idle(self._timers.now - self.leases.grants_kept_for)
