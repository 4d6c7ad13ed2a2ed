"""In what states faults met the heads: the pairs that a run reached, and those it did not."""

from collections.abc import Callable
from typing import Any

from gorsethread.scheduling.concurrency_limits import UNLIMITED_RATE

States = dict[str, Callable[[Any], bool]]
DECIDED: States = {
    "nothing open": lambda h: not h.driver.open_requests,
    "forwards out": lambda h: any(s.in_flight for s in h.driver.scheduler.shards.backends.values()),
    "first writes out": lambda h: bool(h.driver.first_writes.pending),
    "volumes held": lambda h: any(v.queues for v in h.driver.scheduler.queueing.busy.values()),
    "a key's line": lambda h: any(len(line) > 1 for line in h.driver.scheduler.key_ordering.queues.values()),
    "a key rests": lambda h: bool(h.driver.scheduler.key_ordering.cool_downs),
    "a shelf is cold": lambda h: bool(h.driver.scheduler.leases.log.by_shard),
    "a shelf rests": lambda h: any(
        s.health.cool_down_until > h.driver.clock() for s in h.driver.scheduler.shards.backends.values()
    ),
    "a shelf drains": lambda h: any(not s.ready for s in h.driver.scheduler.shards.backends.values()),
    "a rate is cut": lambda h: any(
        s.limits.rate < UNLIMITED_RATE for s in h.driver.scheduler.shards.backends.values()
    ),
    "a limit holds": lambda h: any(
        v.tier.rate_limit and v.bucket.level < 1.0 for v in h.driver.scheduler.queueing.volumes.values()
    ),
    "a further forward out": lambda h: any(
        n for s in h.driver.scheduler.shards.backends.values() for _, n in s.in_flight
    ),
}
STATES: States = DECIDED | {
    "a link is down": lambda h: any(link.association is None for link in h.driver.links.values()),
    "the list is not followed": lambda h: h.discovery._stream is None,
}
WEB_STATES: States = DECIDED | {
    "a connection comes up": lambda h: h.pool.open_connections
    > len(h.pool.busy) + sum(len(link.idle_connections) for link in h.driver.links.values()),
    "none is kept": lambda h: not h.pool.reuse_trust.allows_reuse(h.transport.now()),
    "the list is not followed": lambda h: h.discovery._stream is None,
}


def met(heads: list[Any], states: States) -> list[str]:
    """The states that some of these heads are in."""
    return [name for name, holds in states.items() if any(holds(head) for head in heads)]
