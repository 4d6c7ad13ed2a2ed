"""The operators' settings read as the scheduler's: one reading, for the simulator and in service.

The operators' names of fields and of values end here. Their types below are what their page states; values
are passed on as they came, unchecked.
"""

from typing import Any, NotRequired, TypedDict, TypeVar, cast

from gorsethread.errors import GorsethreadError
from gorsethread.scheduling.model import (
    Effect,
    IdempotencyScope,
    RequestClass,
    RetryBudget,
    SchedulerSettings,
    ServiceTier,
    SlowStartRule,
)

EFFECTS = {"free": Effect.IDEMPOTENT, "guarded": Effect.KEYED, "single_shot": Effect.NON_IDEMPOTENT}
IDEMPOTENCY_SCOPES = {
    "all": IdempotencyScope.ALL,
    "zone": IdempotencyScope.ZONE,
    "cell": IdempotencyScope.SHARD,
}
POLLED = "subscribe"  # the membership mode in which gateways ask for the endpoint list

Value = TypeVar("Value")


class MalformedInputError(GorsethreadError):
    """What was received does not follow its page."""

    action = "Compare the settings with their page: the place named is missing or of another kind."


class JsonObject(dict[str, Any]):
    """A decoded object; asking for a field that is not there raises MalformedInputError."""

    def __missing__(self, name: str) -> Any:
        """Raises MalformedInputError, which names the field."""
        raise MalformedInputError(f"missing field {name}")


class OperatorService(TypedDict):
    """A request class."""

    aim: float  # latency objective, seconds
    effect: str  # one of EFFECTS: whether it may run again
    group: NotRequired[str]  # one of IDEMPOTENCY_SCOPES: which backends drop its repeats
    window: NotRequired[float]  # seconds in which they do
    keepOrder: NotRequired[bool]  # whether requests of one key run one after the other
    worth: float  # priority weight


class OperatorGrade(TypedDict):
    """A service tier; rates are in units a second."""

    floorRate: NotRequired[float]  # reservation
    proportion: NotRequired[float]  # weight
    neverOver: NotRequired[float]  # rate limit, 0: none
    limitBurst: NotRequired[float]  # units that its token bucket holds
    baseRate: NotRequired[float]  # what a volume usually asks for


class OperatorContract(TypedDict):
    """Terms with the backends and discovery; times are in seconds."""

    askWithin: NotRequired[float]  # how long an endpoint list may stand
    stopSendingWithin: float  # drain grace
    fall: float  # slow start: window
    cold: float  # slow start: from a backend's start until it is warm
    coldFrom: float  # slow start: initial part of a warm backend's units
    orderSettle: NotRequired[float | None]  # cool-down of a key
    furtherRatio: NotRequired[float | None]  # retry budget: retries a request
    freeResends: NotRequired[float | None]  # retry budget: retries that are always free
    ratioSpan: float  # retry budget: window, read only where there is a budget


class OperatorPermissions(TypedDict):
    """What a gateway may do."""

    maxAttempts: int  # of a request
    retryAfter: bool  # whether rejections may carry a Retry-After
    maxRetryAfter: float  # seconds, read only where they may
    peerMessages: NotRequired[bool]  # whether gateways may send each other messages


class OperatorSpecifics(TypedDict):
    """Figures of the site."""

    coldUnits: float  # slow start: units in a window at a backend's start
    mostUnits: float  # of the largest request
    shareWorth: NotRequired[float]  # what units beyond the reservation earn, 0 to 1


class OperatorClients(TypedDict):
    """What clients do."""

    marksRetry: NotRequired[bool]  # whether they mark their retries


class OperatorSettings(TypedDict):
    """All that the scheduler is set up with; fields that it does not use are left out."""

    services: list[OperatorService]
    grades: list[OperatorGrade]
    contract: OperatorContract
    permissions: OperatorPermissions
    specifics: OperatorSpecifics
    clients: OperatorClients
    balancers: int  # gateways in the fleet
    index: NotRequired[int]  # of this gateway
    membershipMode: str  # POLLED, or lists are pushed


def named_value(table: dict[str, Value], name: Any) -> Value:
    """The value that a name stands for. Raises MalformedInputError for a name that is not in the table."""
    if name not in table:
        raise MalformedInputError(f"unknown word {name!r}")
    return table[name]


def read_scheduler_settings(given: JsonObject) -> SchedulerSettings:
    """The scheduler's settings. Raises MalformedInputError for a missing field or an unknown name."""
    settings = cast(OperatorSettings, given)
    contract = settings["contract"]
    permissions = settings["permissions"]
    specifics = settings["specifics"]
    budget = _retry_budget(contract)
    return SchedulerSettings(
        request_classes=tuple(_request_class(service) for service in settings["services"]),
        service_tiers=tuple(_service_tier(grade) for grade in settings["grades"]),
        gateways=settings["balancers"],
        polls_endpoints=settings["membershipMode"] == POLLED,
        poll_within=contract.get("askWithin", 0.0),
        drain_grace=contract["stopSendingWithin"],
        slow_start=SlowStartRule(
            specifics["coldUnits"], contract["fall"], contract["cold"], contract["coldFrom"]
        ),
        retry_budget=budget,
        key_cool_down=contract.get("orderSettle") or 0.0,
        max_attempts=permissions["maxAttempts"],
        max_retry_after=permissions["maxRetryAfter"] if permissions["retryAfter"] else 0.0,
        largest_request_units=specifics["mostUnits"],
        excess_value=specifics.get("shareWorth", 1.0),
        retries_marked=bool(settings["clients"].get("marksRetry")),
        gateway_index=settings.get("index", 0),
        may_send_messages=bool(permissions.get("peerMessages")),
    )


def _retry_budget(contract: OperatorContract) -> RetryBudget | None:
    """None where the contract bounds no retries."""
    ratio = contract.get("furtherRatio")
    free = contract.get("freeResends")
    if ratio is None and free is None:
        return None
    return RetryBudget(free or 0.0, ratio or 0.0, contract["ratioSpan"])


def _request_class(service: OperatorService) -> RequestClass:
    return RequestClass(
        service["aim"],
        named_value(EFFECTS, service["effect"]),
        named_value(IDEMPOTENCY_SCOPES, service.get("group", "all")),
        service.get("window", 0.0),
        bool(service.get("keepOrder")),
        service["worth"],
    )


def _service_tier(grade: OperatorGrade) -> ServiceTier:
    return ServiceTier(
        grade.get("floorRate", 0.0),
        grade.get("proportion", 1.0),
        grade.get("neverOver", 0.0),
        grade.get("limitBurst", 0.0),
        grade.get("baseRate", 0.0),
    )
