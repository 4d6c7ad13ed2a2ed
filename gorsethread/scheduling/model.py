"""The scheduler's types: its settings, its events, and what it keeps of requests, volumes and backends."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple

NEW_OBJECT = -1  # the shard of a new object, which any backend may take


class Effect(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "redoable"
    KEYED = "labelled"
    NON_IDEMPOTENT = "irreversible"


class IdempotencyScope(Enum):
    """Which backends drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"

    def spans(self, one: "Backend", other: "Backend") -> bool:
        """Whether each of the two drops repeats of what the other ran."""
        if self is IdempotencyScope.ALL:
            return True
        return one.zone == other.zone if self is IdempotencyScope.ZONE else one.shard == other.shard


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
        """The backend is known not to have run it."""
        return self in _NEVER_RAN

    @property
    def may_still_run(self) -> bool:
        """Nobody waits for it any more, and the backend may run it yet."""
        return self in _MAY_STILL_RUN


_NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.UNREACHABLE, AttemptOutcome.NOT_SENT)
_MAY_STILL_RUN = (AttemptOutcome.TIMED_OUT, AttemptOutcome.CONNECTION_LOST, AttemptOutcome.CANCELLED)


class RequestOutcome(IntEnum):
    """How a request ended. The numbers stand in snapshots of accounts: added to, never changed."""

    SUCCEEDED = 0
    REJECTED = 1
    FAILED = 2
    CLIENT_LEFT = 3


class HoldReason(Enum):
    """What kept a request back at the gateway in the last search."""

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
    """Settings by kind of request.

    latency_objective: seconds until it should be answered; effect: whether it may run again;
    idempotency_scope, idempotency_window: which backends drop its repeats, for how many seconds;
    keyed_order: whether requests of one key run one after the other; priority_weight: what a request
    answered in time is worth.
    """

    latency_objective: float
    effect: Effect
    idempotency_scope: IdempotencyScope
    idempotency_window: float
    keyed_order: bool
    priority_weight: float

    @property
    def idempotent(self) -> bool:
        """It may run again at any time, on any backend."""
        return self.effect is Effect.IDEMPOTENT

    @property
    def keyed(self) -> bool:
        """Its repeats are dropped, by the backends of its scope and within its window."""
        return self.effect is Effect.KEYED

    @property
    def repeats_dropped_everywhere(self) -> bool:
        """No backend would run a repeat that another drops."""
        return not self.keyed or self.idempotency_scope is IdempotencyScope.ALL


@dataclass(frozen=True, slots=True)
class ServiceTier:
    """Settings by customer.

    reservation: units a second; weight: its share beside others; rate_limit: units a second, 0: none;
    burst: units that its token bucket holds; expected_rate: units a second that a volume usually asks for.
    """

    reservation: float
    weight: float
    rate_limit: float
    burst: float
    expected_rate: float


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    """What all gateways together may send a backend that warms up.

    units: in any window, from its start on; window: seconds; warm_after: seconds since its start;
    initial_part: of what the warm backend can do.
    """

    units: float
    window: float
    warm_after: float
    initial_part: float

    def units_allowed(self, age: float) -> float:
        """Returns the units that all gateways may send within the window, age seconds after the start."""
        return self.units * (1.0 + (1.0 / self.initial_part - 1.0) * max(0.0, age) / self.warm_after)


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries allowed in any window: free ones, and a ratio of the requests taken; window: seconds."""

    free: float
    ratio: float
    window: float


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """What a scheduler is given at its start.

    gateways: in the fleet; polls_endpoints: whether it asks for the endpoint list; poll_within: seconds
    that a list may stand, 0: not said; drain_grace: seconds; key_cool_down: seconds; max_attempts: of a
    request; max_retry_after: seconds; excess_value: what units beyond the reservation earn, 0 to 1;
    retries_marked: whether clients mark their retries; gateway_index: of this gateway; may_send_messages:
    whether gateways may.
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


class RequestReceived(NamedTuple):
    """A client's request has come.

    request_class, service_tier: places in the settings; deadline: in seconds of the process's clock; shard:
    -1 for a new object; gateways: how many the volume's requests come through; is_retry: a client's retry.
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
    """An attempt of a request at a backend is over.

    elapsed: seconds since it was sent; request_finished: the request has its answer; units_elsewhere: units
    that the volume was served through other gateways; usage: of the backend, as it notifies.
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
    """Units that may be sent; rate_limits.py says how it fills. filled_at: seconds."""

    level: float
    filled_at: float


@dataclass(slots=True, eq=False)
class Volume:
    """A volume of one tenant, with what its requests wait for.

    Fair queueing moves service_received (units, its virtual time times its weight) and the queues by shard,
    RateLimits the bucket, Pacing the pacing buckets by shard. gateways: how many its requests come through.
    """

    id: str
    name: str
    tier: ServiceTier
    service_received: float
    gateways: int
    bucket: TokenBucket
    in_flight: int = 0  # attempts
    queues: dict[int, list["Request"]] = field(default_factory=dict)
    pacing: dict[int, TokenBucket] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ConcurrencyState:
    """What ConcurrencyLimits knows of a backend; times are seconds.

    slots: attempts that may be in flight; rate: in expected rates of a unit of weight; unit_time: the
    shortest time a unit.
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
    """What OutlierDetection knows of a backend; times are seconds.

    failures: in turn; answered_sent_at: when the latest of the attempts was sent that it has answered.
    """

    error_rate: float = 0.0
    cool_down_until: float = 0.0
    failures: int = 0
    answered_at: float = 0.0
    answered_sent_at: float = 0.0


@dataclass(slots=True, eq=False)
class LeaseState:
    """The slow-start lease of a backend and the request for the next one, as SlowStartLeases moves them.

    units: not sent yet; request_number: empty where none is out; times are seconds.
    """

    request_number: str = ""
    requested_units: float = 0.0
    requested_at: float = -float("inf")
    units: float = 0.0
    valid_until: float = 0.0


@dataclass(slots=True, eq=False)
class Backend:
    """A backend as the endpoint list has it, with the mechanisms' state of it; times are seconds.

    started_at: 0 for long ago; first_attempt_at: no attempt before; last_send: the end of its drain;
    in_flight: when each attempt was sent, by request and number, the earliest first.
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
    """A client's request until it has ended and its attempts are in; times are seconds.

    order: of arrival; objective_ends: when its latency objective is over; in_flight: attempts; ran_at,
    ran_on: when and where it may first have run; late: it can no longer meet its objective; chosen: for an
    attempt, by the search that is under way.
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
