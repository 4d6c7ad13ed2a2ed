"""Leases by which gateways share what a backend in slow start allows.

An even share too small for one request would idle at gateways that have nothing for the backend. So one
gateway of the fleet, the shard's lease holder, grants units to those that ask.
"""

from collections.abc import Callable
from hashlib import blake2b

from gorsethread.scheduling.actions import SchedulerActions
from gorsethread.scheduling.lease_messages import (
    LeaseGrant,
    LeaseRequest,
    decode,
    encode,
    request_for,
)
from gorsethread.scheduling.model import Backend, LeaseState, Request, SchedulerSettings
from gorsethread.scheduling.shard_assignment import ShardAssignment
from gorsethread.scheduling.timers import Timers

DURATION_PART = 0.4  # of the shortest latency objective: how long a lease holds, from its request
HASH_BYTES = 8


class UnitsLog:
    """When how many units were sent or granted, by shard; emptied by forget_before()."""

    def __init__(self) -> None:
        self.by_shard: dict[int, list[tuple[float, float]]] = {}  # (seconds, units), the earliest first

    def add(self, shard: int, at: float, units: float) -> None:
        """Notes units at a time."""
        self.by_shard.setdefault(shard, []).append((at, units))

    def units_since(self, shard: int, after: float) -> float:
        """Returns the units of a shard noted after a time."""
        return sum(units for at, units in self.by_shard.get(shard, ()) if at > after)

    def forget_before(self, shard: int, until: float) -> None:
        """Forgets what a shard's log has up to a time."""
        if shard in self.by_shard:
            self.by_shard[shard] = [entry for entry in self.by_shard[shard] if entry[0] > until]

    def forget_idle(self, until: float) -> None:
        """Forgets the shards of which nothing was noted after a time."""
        self.by_shard = {shard: log for shard, log in self.by_shard.items() if log and log[-1][0] > until}


class SlowStartLeases:
    """Asks for leases and grants them; moves each backend's LeaseState, which ends with the backend.

    Grants leave the log when no attempt under them can count any more.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        timers: Timers,
        shards: ShardAssignment,
        actions: SchedulerActions,
        granted: Callable[[], None],
    ) -> None:
        """granted: called as a lease becomes usable."""
        self._settings = settings
        self._timers = timers
        self._shards = shards
        self._actions = actions
        self._granted = granted
        self.rule = settings.slow_start
        enough_for_all = settings.gateways * settings.largest_request_units
        self.enabled = settings.may_send_messages and self.rule.units < enough_for_all
        shortest = min(one.latency_objective for one in settings.request_classes)
        self.duration = DURATION_PART * shortest  # seconds
        self.grants_kept_for = self.rule.window + self.duration  # seconds
        self.started_at = timers.started_at
        self.log = UnitsLog()

    def backend_started(self, backend: Backend) -> None:
        """Leases and requests of before the backend's start are void."""
        backend.lease.units = 0.0
        backend.lease.request_number = ""

    def units_left(self, backend: Backend) -> float:
        """Returns the units of the lease that this gateway may still send the backend now."""
        lease = backend.lease
        return lease.units if self._timers.now < lease.valid_until else 0.0

    def spend(self, backend: Backend, units: float) -> None:
        """Units of the lease are sent."""
        backend.lease.units -= units

    def acquire(self, request: Request, backend: Backend) -> bool:
        """Asks for a lease for the request, one at a time a backend; whether it is granted at once."""
        lease = backend.lease
        now = self._timers.now
        if not lease.request_number or now >= lease.requested_at + self.duration:
            # No request before has the same number, also of an earlier run of this gateway.
            lease.request_number = f"{now}/{self._timers.next_number()}"
            lease.requested_at = now
            lease.requested_units = request.units
            if self._ask(backend, lease):
                return True
        self._timers.reevaluate_by(lease.requested_at + self.duration)
        return False

    def _ask(self, backend: Backend, lease: LeaseState) -> bool:
        age = self._timers.now - backend.started_at
        holder = self.holder(backend.shard)
        if holder != self._settings.gateway_index:
            asked = request_for(backend.shard, lease.request_number, lease.requested_units, age)
            self._actions.send_peer_message(holder, encode(asked))
        elif self.grant(backend.shard, lease.requested_units, age):
            self.accept(backend)
            return True
        return False

    def message_received(self, origin: int, text: str) -> None:
        """A gateway has sent a text; what is no message of leases, or not for this gateway, is ignored."""
        message = decode(text)
        if message is None:
            return
        holder = self.holder(message.shard)
        if isinstance(message, LeaseRequest):
            mine = holder == self._settings.gateway_index
            if mine and self.grant(message.shard, message.units, message.age):
                grant = LeaseGrant(message.shard, message.number, message.terms)
                self._actions.send_peer_message(origin, encode(grant))
            return
        backend = self._shards.serving.get(message.shard)
        if holder == origin and backend and backend.lease.request_number == message.number:
            self.accept(backend)

    def holder(self, shard: int) -> int:
        """Returns the gateway that grants leases of the shard, the same one at every gateway."""
        digest = blake2b(f"{shard}".encode(), digest_size=HASH_BYTES).digest()
        return int.from_bytes(digest) % self._settings.gateways

    def grant(self, shard: int, units: float, age: float) -> bool:
        """Grants units of a shard whose backend started so many seconds ago, if that allows them.

        A lease may be used until its duration is over, counted from the request, which was before now; then
        it counts for the rule's window. An earlier run of this gateway may just have granted everything.
        """
        now = self._timers.now
        kept_since = now - self.grants_kept_for
        allowed = self.rule.units_allowed(self._believed_age(shard, age))
        grants = (
            0.0 <= age < self.rule.warm_after
            and 0.0 < units <= self._settings.largest_request_units
            and now - self.started_at >= self.grants_kept_for
            and units + self.log.units_since(shard, kept_since) <= allowed
        )
        if grants:
            self.log.forget_before(shard, kept_since)
            self.log.add(shard, now, units)
        return grants

    def _believed_age(self, shard: int, age: float) -> float:
        """No gateway's message makes a backend older than this gateway's own list has it."""
        backend = self._shards.serving.get(shard)
        own_age = self._timers.now - backend.started_at if backend and backend.started_at > 0.0 else 0.0
        return min(age, own_age) if own_age < self.rule.warm_after else 0.0

    def accept(self, backend: Backend) -> None:
        """The lease asked for last is granted."""
        lease = backend.lease
        lease.units = lease.requested_units
        lease.valid_until = lease.requested_at + self.duration
        lease.request_number = ""
        self._granted()
