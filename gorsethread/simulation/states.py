"""The states of gateways for which a run counts whether each kind of fault struck in them."""

from collections.abc import Callable
from typing import Any

from gorsethread.scheduling.concurrency_limits import UNLIMITED_RATE

# By name: whether a gateway is in that state. The names are written into reports.
States = dict[str, Callable[[Any], bool]]

COMMON_STATES: States = {
    "nothing open": lambda gateway: not gateway.driver.open_requests,
    "forwards out": lambda gateway: any(
        backend.in_flight for backend in gateway.driver.scheduler.shards.backends.values()
    ),
    "first writes out": lambda gateway: any(
        place.in_flight for place in gateway.driver.first_writes.pending.values()
    ),
    "volumes held": lambda gateway: any(
        volume.queues for volume in gateway.driver.scheduler.queueing.busy.values()
    ),
    "a key's line": lambda gateway: any(
        len(queue) > 1 for queue in gateway.driver.scheduler.key_ordering.queues.values()
    ),
    "a key rests": lambda gateway: bool(gateway.driver.scheduler.key_ordering.cool_downs),
    "a shelf is cold": lambda gateway: bool(gateway.driver.scheduler.leases.log.by_shard),
    "a shelf rests": lambda gateway: any(
        backend.health.cool_down_until > gateway.driver.clock()
        for backend in gateway.driver.scheduler.shards.backends.values()
    ),
    "a shelf drains": lambda gateway: any(
        not backend.ready for backend in gateway.driver.scheduler.shards.backends.values()
    ),
    "a rate is cut": lambda gateway: any(
        backend.limits.rate < UNLIMITED_RATE for backend in gateway.driver.scheduler.shards.backends.values()
    ),
    "a limit holds": lambda gateway: any(
        volume.tier.rate_limit and volume.bucket.level < 1.0
        for volume in gateway.driver.scheduler.queueing.volumes.values()
    ),
    "a further forward out": lambda gateway: any(
        attempt_number
        for backend in gateway.driver.scheduler.shards.backends.values()
        for _, attempt_number in backend.in_flight
    ),
}
STATES: States = COMMON_STATES | {
    "a link is down": lambda gateway: any(link.association is None for link in gateway.driver.links.values()),
    "the list is not followed": lambda gateway: gateway.discovery._stream is None,
}
WEB_STATES: States = COMMON_STATES | {
    "a connection comes up": lambda gateway: gateway.pool.open_connections
    > len(gateway.pool.busy) + sum(len(link.idle_connections) for link in gateway.driver.links.values()),
    "none is kept": lambda gateway: not gateway.pool.reuse_trust.allows_reuse(gateway.transport.now()),
    "the list is not followed": lambda gateway: gateway.discovery._stream is None,
}


def current_states(gateways: list[Any], states: States) -> list[str]:
    """Returns the names of the states that at least one of the gateways is in."""
    return [name for name, is_in_state in states.items() if any(is_in_state(gateway) for gateway in gateways)]
