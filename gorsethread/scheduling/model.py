"""The scheduler's data types: settings, events, and the state of requests, volumes and backends."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

NEW_OBJECT = -1  # the shard of a new object, which any backend may store


class Effect(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "redoable"
    KEYED = "labelled"
    NON_IDEMPOTENT = "irreversible"


class IdempotencyScope(Enum):
    """The set of backends within which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"

    def spans(self, first: "Backend", second: "Backend") -> bool:
        """Returns whether each of two backends drops repeats of requests that the other has run."""
        if self is IdempotencyScope.ALL:
            return True
        return first.zone == second.zone if self is IdempotencyScope.ZONE else first.shard == second.shard


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "honoured"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreached"
    CONNECTION_LOST = "broken"
    CANCELLED = "called off"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        """Whether the backend certainly did not run the request."""
        return self in _NEVER_RAN

    @property
    def may_still_run(self) -> bool:
        """Whether the backend may still be running the request although its answer is no longer awaited."""
        return self in _MAY_STILL_RUN


_NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)
_MAY_STILL_RUN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CANCELLED)


class RequestOutcome(IntEnum):
    """How a request ended. Snapshots of accounts store the numbers: add new ones, never change any."""

    SUCCEEDED = 0
    REJECTED = 1
    FAILED = 2
    CLIENT_LEFT = 3


class HoldReason(Enum):
    """Why the last search did not send a request."""

    NOT_HELD = "not held"
    SLOTS = "slots taken"
    RATE = "rate of the shelf"
    RATE_LIMIT = "limit"
    SLOW_START = "cold ramp"
    KEY_ORDER = "turn of its key"
    COOL_DOWN = "rest after a miss"
    SILENT = "shelf is silent"
    NO_BACKEND = "no shelf known"
    RETRY_BUDGET = "budget of forwards"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, eq=False)
class RequestClass:
    """The settings of a request class.

    latency_objective: seconds within which a request should be answered; effect: whether it may run again;
    idempotency_scope, idempotency_window: the backends that drop its repeats, and for how many seconds;
    keyed_order: whether requests of one key run one after the other; priority_weight: the value of a request
    answered in time.
    """

    latency_objective: float
    effect: Effect
    idempotency_scope: IdempotencyScope
    idempotency_window: float
    keyed_order: bool
    priority_weight: float

    @property
    def idempotent(self) -> bool:
        """Whether a request may run again at any time and on any backend."""
        return self.effect is Effect.IDEMPOTENT

    @property
    def keyed(self) -> bool:
        """Whether repeats are dropped by the backends of the scope, within the window."""
        return self.effect is Effect.KEYED

    @property
    def repeats_dropped_everywhere(self) -> bool:
        """Whether there is no backend that would run a repeat which another backend drops."""
        return not self.keyed or self.idempotency_scope is IdempotencyScope.ALL


@dataclass(frozen=True, slots=True)
class ServiceTier:
    """The settings of a service tier.

    reservation: units per second; weight: share relative to other tiers; rate_limit: units per second, 0:
    none; burst: size of the token bucket in units; expected_rate: units per second that a volume usually
    requests.
    """

    reservation: float
    weight: float
    rate_limit: float
    burst: float
    expected_rate: float


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """How much all gateways together may send to a backend that is warming up.

    units: allowed in any window at the backend's start; window: seconds; warm_after: seconds from the start
    until the backend is warm; initial_part: its capacity at the start, as a fraction of its capacity when
    warm.
    """

    units: float
    window: float
    warm_after: float
    initial_part: float

    def units_allowed(self, age: float) -> float:
        """Returns the units that all gateways together may send in the window at an age in seconds."""
        return self.units * (1.0 + (1.0 / self.initial_part - 1.0) * max(0.0, age) / self.warm_after)


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The number of retries allowed in any window.

    free: retries allowed in any case; ratio: further retries per request received; window: seconds.
    """

    free: float
    ratio: float
    window: float


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """The settings of a scheduler.

    gateways: number of gateways in the fleet; polls_endpoints: whether to poll the endpoint list;
    poll_within: seconds for which a list is valid, 0: unknown; drain_grace, key_cool_down, max_retry_after:
    seconds; max_attempts: of one request; excess_value: value of units beyond the reservation, 0 to 1;
    retries_marked: whether clients mark their retries; gateway_index: index of this gateway;
    may_send_messages: whether gateways may send messages to each other; max_volumes: volumes with state of
    their own that the process has memory for, None: unknown.
    """

    request_classes: tuple[RequestClass, ...]
    service_tiers: tuple[ServiceTier, ...]
    gateways: int
    polls_endpoints: bool
    poll_within: float
    drain_grace: float
    slow_start: SlowStartRule
    retry_budget: RetryBudget | None
    key_cool_down: float
    max_attempts: int
    max_retry_after: float
    largest_request_units: float
    excess_value: float
    retries_marked: bool
    gateway_index: int = 0
    may_send_messages: bool = False
    max_volumes: int | None = None


class RequestReceived(NamedTuple):
    """The event of a request received from a client.

    request_class, service_tier: indexes in the settings; deadline: seconds on the process's clock; shard: -1
    for a new object; gateways: the number of gateways that the volume uses; is_retry: the client has tried
    before.
    """

    id: int
    request_class: int
    service_tier: int
    key: str | None
    deadline: float
    volume: str
    units: float
    shard: int
    gateways: int
    is_retry: bool


class AttemptEnded(NamedTuple):
    """The event of an ended attempt.

    number: of the attempt within its request; elapsed: seconds since it was sent; request_finished: whether
    the request has its final answer; units_elsewhere: units that other gateways sent for the volume; usage:
    of the backend, as reported by it.
    """

    request: int
    number: int
    outcome: AttemptOutcome
    backend: int
    elapsed: float
    request_finished: bool
    units_elsewhere: float
    usage: float


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A token bucket, refilled as described in rate_limits.py.

    level: units that may be sent; filled_at: time of the last refill, in seconds.
    """

    level: float
    filled_at: float


@dataclass(slots=True, eq=False)
class Volume:
    """A volume of one tenant and its state in the mechanisms.

    service_received (units: virtual time times weight) and queues (by shard) are updated by FairQueueing,
    bucket by RateLimits, and pacing (by shard) by Pacing. gateways: the number of gateways that the volume
    uses.
    """

    id: str
    name: str
    tier: ServiceTier
    service_received: float
    gateways: int
    bucket: TokenBucket
    open_requests: int = 0  # received, and not closed yet
    in_flight: int = 0  # attempts
    queues: dict[int, list["Request"]] = field(default_factory=dict)
    pacing: dict[int, TokenBucket] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ConcurrencyState:
    """The state of a backend in ConcurrencyLimits; times are in seconds.

    slots: attempts that may be in flight; rate: a multiple of the expected rate of one unit of weight;
    unit_time: the shortest time per unit; service_time, service_times: smoothed, overall and by request
    class; cut_at: the time of the last cut; rate_updated_at: the time of the last update of the rate.
    """

    slots: float
    rate: float
    service_time: float = 0.0
    unit_time: float = float("inf")
    service_times: dict[RequestClass, float] = field(default_factory=dict)
    cut_at: float = 0.0
    rate_updated_at: float = 0.0


@dataclass(slots=True, eq=False)
class HealthState:
    """The state of a backend in OutlierDetection; times are in seconds.

    failures: consecutive failures; answered_at: when the backend last answered; answered_sent_at: when the
    latest of the attempts that it has answered was sent.
    """

    error_rate: float = 0.0
    cool_down_until: float = 0.0
    failures: int = 0
    answered_at: float = 0.0
    answered_sent_at: float = 0.0


@dataclass(slots=True, eq=False)
class LeaseState:
    """The slow-start lease of a backend and the pending request for the next one, updated by SlowStartLeases.

    units: of the lease, not sent yet; request_number: empty if no request is pending; times are in seconds.
    """

    request_number: str = ""
    requested_units: float = 0.0
    requested_at: float = -float("inf")
    units: float = 0.0
    valid_until: float = 0.0


@dataclass(slots=True, eq=False)
class Backend:
    """A backend from the endpoint list and its state in the mechanisms; times are in seconds.

    started_at: 0 if long ago; first_attempt_at: no attempt is sent before; last_send: the end of its drain;
    in_flight: the time each attempt was sent, by request id and attempt number, the earliest first.
    """

    id: int
    zone: int
    shard: int
    started_at: float
    ready: bool
    first_attempt_at: float
    limits: ConcurrencyState
    last_send: float = 0.0
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)
    health: HealthState = field(default_factory=HealthState)
    lease: LeaseState = field(default_factory=LeaseState)


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, kept until it and all its attempts have ended; times are in seconds.

    order: of arrival; objective_ends: when its latency objective ends; attempts: sent so far; in_flight:
    attempts not ended; ran_at, ran_on: when and on which backend it may have run first; waiting: it is queued
    for an attempt; late: it can no longer meet its objective; chosen: by the current search, for an attempt.
    """

    id: int
    order: int
    request_class: RequestClass
    volume: Volume
    key: str | None
    deadline: float
    objective_ends: float
    units: float
    shard: int
    attempts: int = 0
    in_flight: int = 0
    ran_at: float | None = None
    ran_on: Backend | None = None
    waiting: bool = False
    late: bool = False
    chosen: bool = False
    ended: bool = False
