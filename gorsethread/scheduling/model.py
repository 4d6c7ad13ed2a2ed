"""Plain types: the facts a gateway is given at its start, and what it keeps as it works."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple


class Effect(Enum):
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

    NOT = "not held"
    SLOTS = "slots taken"
    RATE = "rate of the shelf"
    LIMIT = "limit"
    COLD = "cold ramp"
    KEY_TURN = "turn of its key"
    REST = "rest after a miss"
    SILENT = "shelf is silent"
    NO_SHELF = "no shelf known"
    BUDGET = "budget of forwards"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, eq=False)
class RequestClass:
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
        """Its repeats are dropped, by the backends of its group and for as long as they remember it."""
        return self.effect is Effect.KEYED

    @property
    def repeats_dropped_everywhere(self) -> bool:
        """No backend would run a repeat that another drops."""
        return not self.keyed or self.idempotency_scope is IdempotencyScope.ALL


@dataclass(frozen=True, slots=True)
class ServiceTier:
    reservation: float
    weight: float
    rate_limit: float
    burst: float
    expected_rate: float


@dataclass(frozen=True, slots=True)
class SlowStartRule:
    units: float
    window: float
    warm_after: float
    initial_part: float

    def units_allowed(self, age: float) -> float:
        """Units within the span that all gateways together may send to a backend of that age."""
        return self.units * (1.0 + (1.0 / self.initial_part - 1.0) * max(0.0, age) / self.warm_after)


@dataclass(frozen=True, slots=True)
class RetryBudget:
    free: float
    ratio: float
    window: float


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
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
    repeats_marked: bool
    gateway_index: int = 0  # of this gateway among all
    may_send_messages: bool = False  # whether gateways may send each other messages


class RequestTaken(NamedTuple):
    """A client's request has come. profile, plan: places in the settings; cut_off: on the process's clock, in
    seconds; gateways: how many processes the volume's requests come through; repeat: a client's retry."""

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
    """An attempt of a request at a backend is over. elapsed: seconds since it was sent; finished: the request
    has its answer; elsewhere: units that the volume was served through others, as the backend tells."""

    request: int
    number: int
    outcome: AttemptOutcome
    backend: int
    elapsed: float
    request_finished: bool
    units_elsewhere: float
    usage: float


@dataclass(slots=True, eq=False)
class Volume:
    id: str
    plan: ServiceTier
    total: float
    heads: int
    limit_store: float
    filled: float
    out: int = 0
    lanes: dict[int, list["Request"]] = field(default_factory=dict)  # waiting, by shard
    paces: dict[int, tuple[float, float]] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Backend:
    id: int
    zone: int
    shard: int
    since: float
    ready: bool
    first_send: float
    bound: float
    rate: float
    time: float = 0.0
    unit_time: float = float("inf")
    cut_at: float = 0.0
    grown_at: float = 0.0
    times: dict[RequestClass, float] = field(default_factory=dict)
    errors: float = 0.0
    rest_until: float = 0.0
    misses: int = 0
    out: dict[tuple[int, int], float] = field(default_factory=dict)
    asked: str = ""  # which asking for a lent part is out
    asked_units: float = 0.0
    asked_at: float = -float("inf")
    lent: float = 0.0  # units lent to this gateway and not sent yet
    lent_until: float = 0.0
    last_send: float = 0.0  # after it was told to drain
    answered_at: float = 0.0  # when it answered last
    answered_of: float = 0.0  # when the latest of the attempts it has answered had been sent


@dataclass(slots=True, eq=False)
class Request:
    id: int
    order: int
    profile: RequestClass
    volume: Volume
    key: str | None
    deadline: float
    promised_by: float
    units: float
    shard: int
    attempts: int = 0
    out: int = 0
    ran_at: float | None = None
    ran_on: Backend | None = None
    waiting: bool = False
    late: bool = False
    chosen: bool = False
    over: bool = False
