"""Which other gateways hold replicas of a gateway's log. Pure: all that see the same choose the same.

By rendezvous hashing (highest random weight, Thaler and Ravishankar): each candidate has a weight drawn from
both gateways' numbers, so one that goes or comes moves only what it held. Other machines than the gateway's
own go first, then zones without a replica yet: what fails together is not used together, where there is a
choice.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash


class FailureDomain(NamedTuple):
    """What a gateway is lost together with: its zone, and the machine it runs on."""

    zone: int
    machine: str


def weight(origin: int, replica: int) -> int:
    """Return the rendezvous weight of a gateway as a holder of another's replica."""
    return xxhash.xxh3_64_intdigest(f"{origin}/{replica}".encode())


def choose_replicas(
    origin: int, domains: dict[int, FailureDomain], living: Iterable[int], copies: int
) -> list[int]:
    """Return the gateways that hold replicas of the origin's log, in order of preference.

    Args:
        origin: The gateway whose log it is.
        domains: Of all gateways, the origin included.
        living: Candidates; the origin among them is passed over.
        copies: How many to choose; fewer are returned where too few others live.
    """
    candidates = {gateway for gateway in living if gateway != origin and gateway in domains}
    machines = {domains[origin].machine}
    zones = {domains[origin].zone}
    chosen: list[int] = []

    def preference(gateway: int) -> tuple[bool, bool, int]:
        domain = domains[gateway]
        return domain.machine not in machines, domain.zone not in zones, weight(origin, gateway)

    while candidates and len(chosen) < copies:
        best = max(candidates, key=preference)
        candidates.discard(best)
        chosen.append(best)
        machines.add(domains[best].machine)
        zones.add(domains[best].zone)
    return chosen
