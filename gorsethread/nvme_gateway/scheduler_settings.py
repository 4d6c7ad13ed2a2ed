"""Derives the scheduler's settings from the site file, and the request class and units of a command."""

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
SCOPES = {
    pb.GROUP_UNSET: IdempotencyScope.ALL,
    pb.ALL: IdempotencyScope.ALL,
    pb.ZONE: IdempotencyScope.ZONE,
    pb.SHARD: IdempotencyScope.SHARD,
}
UNBOUNDED = 1 << 62
ANY_HINTS = -1
OPERATIONS = {pb.READ: Opcode.READ, pb.WRITE: Opcode.WRITE}


def settings_from_site(site: pb.Site) -> SchedulerSettings:
    """Returns the settings that the scheduler starts with."""
    rules, cold = site.rules, site.rules.cold
    budget = None
    if rules.HasField("budget"):
        budget = RetryBudget(rules.budget.free, rules.budget.part, rules.budget.span)
    return SchedulerSettings(
        request_classes=tuple(
            RequestClass(p.promised, EFFECTS[p.effect], SCOPES[p.group], p.remembered, p.in_order, p.value)
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
    """Returns the units of a request: one for each started piece of unit_bytes, at least one."""
    return max(1, -(-length // unit_bytes))


class RequestClassifier:
    """Finds a command's request class: the first one in the site file that matches.

    The validation of the site file ensures that some request class matches every read and write.
    """

    def __init__(self, site: pb.Site) -> None:
        # Converted from the protobuf messages once, because every command is classified.
        self._by_tier: dict[str, list[tuple[int, int, int, int, int]]] = {
            tier.name: [
                (
                    number,
                    OPERATIONS[p.match.operation],
                    p.match.least_bytes,
                    p.match.most_bytes or UNBOUNDED,
                    p.match.hints if p.match.HasField("hints") else ANY_HINTS,
                )
                for number, p in enumerate(site.profile)
                if not p.match.plan or tier.name in p.match.plan
            ]
            for tier in site.plan
        }

    def classify(self, tier: str, opcode: int, length: int, hints: int) -> int:
        """Returns the index of the request class.

        Args:
            tier: Name of the volume's service tier.
            opcode: Opcode of a read or write.
            length: Bytes of data.
            hints: The command's dataset management byte.

        Raises:
            KeyError: The site has no such service tier, or the opcode is neither read nor write.
        """
        for number, operation, min_bytes, max_bytes, match_hints in self._by_tier[tier]:
            if operation == opcode and min_bytes <= length <= max_bytes and match_hints in (hints, ANY_HINTS):
                return number
        raise KeyError(opcode)
