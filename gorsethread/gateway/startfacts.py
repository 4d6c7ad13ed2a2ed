"""The operators' settings to what the decisions start with: one reading, on the bench and in service."""

from typing import Any

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
GROUPS = {"all": IdempotencyScope.ALL, "zone": IdempotencyScope.ZONE, "cell": IdempotencyScope.SHARD}


class Malformed(GorsethreadError):
    """What was told does not follow its page."""

    action = "Compare the settings with their page: the place named is missing or of another kind."


class Fields(dict[str, Any]):
    """A decoded object; asking for a field that is not there is the sender's fault."""

    def __missing__(self, name: str) -> Any:
        raise Malformed(f"missing field {name}")


def word(table: dict[str, Any], value: Any) -> Any:
    if value not in table:
        raise Malformed(f"unknown word {value!r}")
    return table[value]


def start_facts(setup: Fields) -> SchedulerSettings:
    rules, may, facts = setup["contract"], setup["permissions"], setup["specifics"]
    budget = None
    if rules.get("furtherRatio") is not None or rules.get("freeResends") is not None:
        budget = RetryBudget(
            rules.get("freeResends") or 0.0, rules.get("furtherRatio") or 0.0, rules["ratioSpan"]
        )
    return SchedulerSettings(
        request_classes=tuple(
            RequestClass(
                s["aim"],
                word(EFFECTS, s["effect"]),
                word(GROUPS, s.get("group", "all")),
                s.get("window", 0.0),
                bool(s.get("keepOrder")),
                s["worth"],
            )
            for s in setup["services"]
        ),
        service_tiers=tuple(
            ServiceTier(
                g.get("floorRate", 0.0),
                g.get("proportion", 1.0),
                g.get("neverOver", 0.0),
                g.get("limitBurst", 0.0),
                g.get("baseRate", 0.0),
            )
            for g in setup["grades"]
        ),
        gateways=setup["balancers"],
        polls_endpoints=setup["membershipMode"] == "subscribe",
        poll_within=rules.get("askWithin", 0.0),
        drain_grace=rules["stopSendingWithin"],
        slow_start=SlowStartRule(facts["coldUnits"], rules["fall"], rules["cold"], rules["coldFrom"]),
        retry_budget=budget,
        key_cool_down=rules.get("orderSettle") or 0.0,
        max_attempts=may["maxAttempts"],
        max_retry_after=may["maxRetryAfter"] if may["retryAfter"] else 0.0,
        largest_request_units=facts["mostUnits"],
        excess_value=facts.get("shareWorth", 1.0),
        retries_marked=bool(setup["clients"].get("marksRetry")),
        gateway_index=setup.get("index", 0),
        may_send_messages=bool(may.get("peerMessages")),
    )
