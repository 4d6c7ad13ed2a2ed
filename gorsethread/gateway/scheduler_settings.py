"""Converts the operators' settings to the scheduler's, in the same way for the simulator and in service.

Only this module uses the operators' names of fields and values. The types below state what the operators'
page says; values are passed on unchecked.
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
POLLED = "subscribe"  # the membership mode in which gateways poll the endpoint list

Value = TypeVar("Value")


class MalformedInputError(GorsethreadError):
    """The input does not follow the operators' page that describes it."""

    action = "Compare the settings with their page: the place named is missing or of another kind."


class JsonObject(dict[str, Any]):
    """A decoded JSON object; reading a field that is missing raises MalformedInputError."""

    def __missing__(self, name: str) -> Any:
        """Raises MalformedInputError with the field's name."""
        raise MalformedInputError(f"missing field {name}")


class OperatorService(TypedDict):
    """A request class."""

    aim: float  # latency objective, seconds
    effect: str  # one of EFFECTS: whether a request may run again
    group: NotRequired[str]  # one of IDEMPOTENCY_SCOPES: which backends drop a repeated request
    window: NotRequired[float]  # idempotency window: seconds in which backends drop it
    keepOrder: NotRequired[bool]  # whether requests of one key run one after the other
    worth: float  # priority weight


class OperatorGrade(TypedDict):
    """A service tier; rates are in units a second."""

    floorRate: NotRequired[float]  # reservation
    proportion: NotRequired[float]  # weight
    neverOver: NotRequired[float]  # rate limit; 0: none
    limitBurst: NotRequired[float]  # burst: units that the limit's token bucket holds
    baseRate: NotRequired[float]  # the usual demand of a volume


class OperatorContract(TypedDict):
    """What is agreed with the backends and discovery; times are in seconds."""

    askWithin: NotRequired[float]  # how long an endpoint list may be used without a new poll
    stopSendingWithin: float  # drain grace
    fall: float  # slow start: window
    cold: float  # slow start: from a backend's start until it is warm
    coldFrom: float  # slow start: initial part of a warm backend's units
    orderSettle: NotRequired[float | None]  # cool-down of a key
    furtherRatio: NotRequired[float | None]  # retry budget: retries per request
    freeResends: NotRequired[float | None]  # retry budget: retries that are always allowed
    ratioSpan: float  # retry budget: window; read only if there is a budget


class OperatorPermissions(TypedDict):
    """What a gateway may do."""

    maxAttempts: int  # of a request
    retryAfter: bool  # whether rejections may carry a Retry-After
    maxRetryAfter: float  # seconds; read only if rejections may carry a Retry-After
    peerMessages: NotRequired[bool]  # whether gateways may send each other messages


class OperatorSpecifics(TypedDict):
    """Figures that are specific to the site."""

    coldUnits: float  # slow start: units in a window right after a backend starts
    mostUnits: float  # units of the largest request
    shareWorth: NotRequired[float]  # relative value of units beyond the reservation, 0 to 1


class OperatorClients(TypedDict):
    """The clients' behavior."""

    marksRetry: NotRequired[bool]  # whether they mark their retries


class OperatorSettings(TypedDict):
    """All settings that the scheduler uses; other fields are left out."""

    services: list[OperatorService]
    grades: list[OperatorGrade]
    contract: OperatorContract
    permissions: OperatorPermissions
    specifics: OperatorSpecifics
    clients: OperatorClients
    balancers: int  # gateways in the fleet
    index: NotRequired[int]  # of this gateway in the fleet
    membershipMode: str  # POLLED; any other mode: lists are pushed


def named_value(table: dict[str, Value], name: Any) -> Value:
    """Returns the value of a name.

    Raises MalformedInputError for a name that is not in the table.
    """
    if name not in table:
        raise MalformedInputError(f"unknown value {name!r}")
    return table[name]


def read_scheduler_settings(given: JsonObject) -> SchedulerSettings:
    """Returns the scheduler's settings.

    Raises MalformedInputError for a missing field or an unknown name.
    """
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
    """Returns the retry budget, or None if the contract does not bound retries."""
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
