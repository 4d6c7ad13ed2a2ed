"""Chooses the gateways that hold replicas of a gateway's log. Pure: the same input gives the same choice.

The choice uses rendezvous hashing (highest random weight, Thaler and Ravishankar): each candidate has a
weight derived from both gateways' numbers, so a gateway that joins or leaves moves only the replicas that it
holds.
Gateways on other machines than the origin and the replicas chosen so far are preferred, then those in zones
without a replica: where there is a choice, replicas do not share a failure domain.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash


class FailureDomain(NamedTuple):
    """The zone of a gateway and the machine it runs on, whose failure the gateway shares."""

    zone: int
    machine: str


def weight(origin: int, replica: int) -> int:
    """Return the rendezvous weight of a gateway for holding a replica of the origin's log."""
    return xxhash.xxh3_64_intdigest(f"{origin}/{replica}".encode())


def choose_replicas(
    origin: int, domains: dict[int, FailureDomain], living: Iterable[int], copies: int
) -> list[int]:
    """Return the gateways that hold replicas of the origin's log, in order of preference.

    Args:
        origin: The gateway whose log it is.
        domains: The failure domains of all gateways, including the origin.
        living: Candidates, the gateways that are not considered dead; the origin is ignored.
        copies: How many to choose; fewer are returned where there are too few candidates.
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
