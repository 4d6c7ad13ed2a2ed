"""From the site file to what the scheduler starts with, and which profile, units and key a command has."""

from gorsethread.nvme.command import Opcode
from gorsethread.scheduling.model import (
    Effect,
    IdempotencyScope,
    RequestClass,
    RetryBudget,
    SchedulerSettings,
    ServiceTier,
    SlowStartRule,
)
from gorsethread.site_config import site_pb2 as pb

EFFECTS = {pb.REDOABLE: Effect.IDEMPOTENT, pb.LABELLED: Effect.KEYED, pb.IRREVERSIBLE: Effect.NON_IDEMPOTENT}
GROUPS = {
    pb.GROUP_UNSET: IdempotencyScope.ALL,
    pb.ALL: IdempotencyScope.ALL,
    pb.ZONE: IdempotencyScope.ZONE,
    pb.SHARD: IdempotencyScope.SHARD,
}
NO_BOUND = 1 << 62
ANY_HINTS = -1
OPERATIONS = {pb.READ: Opcode.READ, pb.WRITE: Opcode.WRITE}


def settings_from_site(site: pb.Site) -> SchedulerSettings:
    rules, cold = site.rules, site.rules.cold
    budget = None
    if rules.HasField("budget"):
        budget = RetryBudget(rules.budget.free, rules.budget.part, rules.budget.span)
    return SchedulerSettings(
        request_classes=tuple(
            RequestClass(p.promised, EFFECTS[p.effect], GROUPS[p.group], p.remembered, p.in_order, p.value)
            for p in site.profile
        ),
        service_tiers=tuple(
            ServiceTier(p.reserve, p.weight, p.limit, p.limit_burst, p.usual) for p in site.plan
        ),
        gateways=len(site.head),
        polls_endpoints=True,
        poll_within=site.list.ask_within,
        drain_grace=rules.drain_grace,
        slow_start=SlowStartRule(cold.units, cold.span, cold.warm_after, cold.first_part),
        retry_budget=budget,
        key_cool_down=rules.key_rest,
        max_attempts=rules.most_forwards,
        max_retry_after=rules.longest_return,
        largest_request_units=float(request_units(site.links.largest_bytes, site.links.unit_bytes)),
        excess_value=rules.share_worth,
        retries_marked=True,
    )


def request_units(length: int, unit_bytes: int) -> int:
    """One unit for each begun piece, at least one."""
    return max(1, -(-length // unit_bytes))


class RequestClassifier:
    """Which profile a command of a plan belongs to: the first that fits, as validation made sure of one."""

    def __init__(self, site: pb.Site) -> None:
        # Out of the schema's types once, as each command is sorted.
        self._by_plan: dict[str, list[tuple[int, int, int, int, int]]] = {
            plan.name: [
                (
                    number,
                    OPERATIONS[p.match.operation],
                    p.match.least_bytes,
                    p.match.most_bytes or NO_BOUND,
                    p.match.hints if p.match.HasField("hints") else ANY_HINTS,
                )
                for number, p in enumerate(site.profile)
                if not p.match.plan or plan.name in p.match.plan
            ]
            for plan in site.plan
        }

    def profile(self, plan: str, opcode: int, length: int, hints: int) -> int:
        """length in bytes; KeyError for a plan or opcode the site does not have."""
        for number, operation, least, most, wanted in self._by_plan[plan]:
            if operation == opcode and least <= length <= most and wanted in (hints, ANY_HINTS):
                return number
        raise KeyError(opcode)
