"""Request ids, bodies, settings and list entries that the HTTP fakes share."""

from typing import Any

from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address

FIRST_GATEWAY_PORT = 8000  # port of a backend or of discovery for gateway 0; gateway n uses this + n
ATTEMPTS = 4  # attempts of one request that an id can distinguish
EFFECT_NAMES = {pb.REDOABLE: "free", pb.LABELLED: "guarded", pb.IRREVERSIBLE: "single_shot"}
SCOPE_NAMES = {pb.GROUP_UNSET: "all", pb.ALL: "all", pb.ZONE: "zone", pb.SHARD: "cell"}


def id_of(label: int, attempt: int) -> str:
    return f"{label * ATTEMPTS + attempt:016x}"


def settings_of(site: pb.Site) -> dict[str, Any]:
    """Returns the site's settings in the format of the platform's configuration."""
    rules, budget = site.rules, {}
    if rules.HasField("budget"):
        budget = {
            "furtherRatio": rules.budget.part,
            "freeResends": rules.budget.free,
            "ratioSpan": rules.budget.span,
        }
    return {
        "azs": [f"room-{n}" for n in range(1 + max((s.zone for s in site.shelf), default=0))],
        "balancers": len(site.head),
        "clients": {"marksRetry": True},
        "membershipMode": "subscribe",
        "contract": {
            "askWithin": site.list.ask_within,
            "cold": rules.cold.warm_after,
            "coldFrom": rules.cold.first_part,
            "fall": rules.cold.span,
            "stopSendingWithin": rules.drain_grace,
            "orderSettle": rules.key_rest,
            **budget,
        },
        "permissions": {
            "peerMessages": True,
            "connIdle": 15.0,
            "dialTimeout": site.links.connect_within,
            "maxAttempts": rules.most_forwards,
            "retryAfter": True,
            "maxRetryAfter": rules.longest_return,
        },
        "services": [
            {
                "name": p.name,
                "aim": p.promised,
                "giveUp": p.cut_off,
                "effect": EFFECT_NAMES[p.effect],
                "group": SCOPE_NAMES[p.group],
                "window": p.remembered,
                "keepOrder": p.in_order,
                "worth": p.value,
            }
            for p in site.profile
        ],
        "grades": [
            {
                "name": p.name,
                "floorRate": p.reserve,
                "proportion": p.weight,
                "neverOver": p.limit,
                "limitBurst": p.limit_burst,
                "baseRate": p.usual,
            }
            for p in site.plan
        ],
        "specifics": {
            "coldUnits": rules.cold.units,
            "mostUnits": site.links.largest_bytes // site.links.unit_bytes,
            "shards": len(site.shelf),
            "shareWorth": rules.share_worth,
        },
    }


def instance(
    number: int, address: str, shard: int, zone: int, state: str, started: float, gateway: int
) -> dict[str, Any]:
    """Returns a backend's entry in discovery's list for one gateway.

    started: Unix time in seconds; 0 if it started long ago.
    """
    return {
        "instanceId": f"s-{number}",
        "hostPort": f"{split_address(address)[0]}:{FIRST_GATEWAY_PORT + gateway}",
        "zone": f"room-{zone}",
        "cell": shard,
        "lifecycle": state,
        "startedAtMs": started * 1000,
    }


def body_of(id: int, units: int) -> bytes:
    return f"{id:016x}".encode() * (4 * units)
