"""Leases by which the gateways share the units that a backend in slow start allows.

An equal share may be smaller than one request, and the share of a gateway that has no request for the backend
would be unused. So one gateway of the fleet, the shard's lease holder, grants units on request.
"""

from collections.abc import Callable
from hashlib import blake2b

from gorsethread.scheduling.actions import SchedulerActions
from gorsethread.scheduling.lease_messages import (
    LeaseGrant,
    LeaseRequest,
    decode,
    encode,
    lease_request,
)
from gorsethread.scheduling.model import Backend, LeaseState, Request, SchedulerSettings
from gorsethread.scheduling.shard_assignment import ShardAssignment
from gorsethread.scheduling.timers import Timers

DURATION_PART = 0.4  # of the shortest latency objective: how long a lease is valid, counted from its request
HASH_BYTES = 8


class UnitsLog:
    """A log by shard of units sent or granted; pruned by forget_before() and forget_idle()."""

    def __init__(self) -> None:
        self.by_shard: dict[int, list[tuple[float, float]]] = {}  # (seconds, units), the earliest first

    def add(self, shard: int, at: float, units: float) -> None:
        """Logs units sent or granted at a time."""
        self.by_shard.setdefault(shard, []).append((at, units))

    def units_since(self, shard: int, after: float) -> float:
        """Returns the sum of a shard's units logged after a time."""
        return sum(units for at, units in self.by_shard.get(shard, ()) if at > after)

    def forget_before(self, shard: int, until: float) -> None:
        """Removes a shard's entries logged at or before a time."""
        if shard in self.by_shard:
            self.by_shard[shard] = [entry for entry in self.by_shard[shard] if entry[0] > until]

    def forget_idle(self, until: float) -> None:
        """Removes the shards without entries logged after a time."""
        self.by_shard = {shard: log for shard, log in self.by_shard.items() if log and log[-1][0] > until}


class SlowStartLeases:
    """Requests and grants leases, and updates each backend's LeaseState.

    The state is dropped with the backend. A grant is removed from the log when no attempt under it can
    count any more.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        timers: Timers,
        shards: ShardAssignment,
        actions: SchedulerActions,
        on_granted: Callable[[], None],
    ) -> None:
        """on_granted: called when a lease becomes usable."""
        self._settings = settings
        self._timers = timers
        self._shards = shards
        self._actions = actions
        self._on_granted = on_granted
        self.rule = settings.slow_start
        units_for_equal_shares = settings.gateways * settings.largest_request_units
        self.enabled = settings.may_send_messages and self.rule.units < units_for_equal_shares
        shortest_objective = min(rc.latency_objective for rc in settings.request_classes)
        self.duration = DURATION_PART * shortest_objective  # seconds
        self.grants_kept_for = self.rule.window + self.duration  # seconds
        self.started_at = timers.started_at
        self.log = UnitsLog()

    def backend_started(self, backend: Backend) -> None:
        """Discards the lease and the lease request from before the backend's start."""
        backend.lease.units = 0.0
        backend.lease.request_number = ""

    def units_left(self, backend: Backend) -> float:
        """Returns the unused units of the backend's lease, 0 if the lease has expired."""
        lease = backend.lease
        return lease.units if self._timers.now < lease.valid_until else 0.0

    def spend(self, backend: Backend, units: float) -> None:
        """Subtracts units sent from the backend's lease."""
        backend.lease.units -= units

    def acquire(self, request: Request, backend: Backend) -> bool:
        """Requests a lease for the request's units, one at a time per backend.

        Returns whether the lease is granted at once, which happens if this gateway is the lease holder.
        """
        lease = backend.lease
        now = self._timers.now
        if not lease.request_number or now >= lease.requested_at + self.duration:
            # The number is unique, also among the lease requests of earlier runs of this gateway.
            lease.request_number = f"{now}/{self._timers.next_number()}"
            lease.requested_at = now
            lease.requested_units = request.units
            if self._request_lease(backend, lease):
                return True
        self._timers.reevaluate_by(lease.requested_at + self.duration)
        return False

    def _request_lease(self, backend: Backend, lease: LeaseState) -> bool:
        age = self._timers.now - backend.started_at
        holder = self.holder(backend.shard)
        if holder != self._settings.gateway_index:
            message = lease_request(backend.shard, lease.request_number, lease.requested_units, age)
            self._actions.send_peer_message(holder, encode(message))
        elif self.grant(backend.shard, lease.requested_units, age):
            self.accept(backend)
            return True
        return False

    def message_received(self, origin: int, text: str) -> None:
        """Handles a message from another gateway; ignores what is no lease message for this gateway."""
        message = decode(text)
        if message is None:
            return
        holder = self.holder(message.shard)
        if isinstance(message, LeaseRequest):
            is_holder = holder == self._settings.gateway_index
            if is_holder and self.grant(message.shard, message.units, message.age):
                grant = LeaseGrant(message.shard, message.number, message.terms)
                self._actions.send_peer_message(origin, encode(grant))
            return
        backend = self._shards.serving.get(message.shard)
        if holder == origin and backend and backend.lease.request_number == message.number:
            self.accept(backend)

    def holder(self, shard: int) -> int:
        """Returns the index of the shard's lease holder, which is the same at every gateway."""
        digest = blake2b(f"{shard}".encode(), digest_size=HASH_BYTES).digest()
        return int.from_bytes(digest) % self._settings.gateways

    def grant(self, shard: int, units: float, age: float) -> bool:
        """Grants units of a shard if its backend allows them; returns whether they are granted.

        A lease may be used for its duration, counted from its request, which was sent before now. What was
        sent under it counts for the rule's window after that. Nothing is granted in the first
        grants_kept_for seconds after this gateway's start: an earlier run may just have granted everything.

        Args:
            shard: The shard.
            units: The units requested.
            age: Seconds since the start of the shard's backend, according to the requesting gateway.
        """
        now = self._timers.now
        kept_since = now - self.grants_kept_for
        units_allowed = self.rule.units_allowed(self._limited_age(shard, age))
        granted = (
            0.0 <= age < self.rule.warm_after
            and 0.0 < units <= self._settings.largest_request_units
            and now - self.started_at >= self.grants_kept_for
            and units + self.log.units_since(shard, kept_since) <= units_allowed
        )
        if granted:
            self.log.forget_before(shard, kept_since)
            self.log.add(shard, now, units)
        return granted

    def _limited_age(self, shard: int, age: float) -> float:
        """Limits an age received in a message to the age according to this gateway's endpoint list."""
        backend = self._shards.serving.get(shard)
        own_age = self._timers.now - backend.started_at if backend and backend.started_at > 0.0 else 0.0
        return min(age, own_age) if own_age < self.rule.warm_after else 0.0

    def accept(self, backend: Backend) -> None:
        """Makes the lease requested last usable."""
        lease = backend.lease
        lease.units = lease.requested_units
        lease.valid_until = lease.requested_at + self.duration
        lease.request_number = ""
        self._on_granted()
