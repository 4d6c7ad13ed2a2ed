"""Which gateways hold replicas for which, and where they are, as the site file says."""

from dataclasses import dataclass

from gorsethread.durable_log.replica_placement import FailureDomain
from gorsethread.head.peers import fleet_of
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address

CONNECT_TIMEOUT = 1.0  # seconds until another gateway's connection must stand
ANSWER_TIMEOUT = 3.0  # seconds that another gateway's answer may take
Address = tuple[str, int]


@dataclass(frozen=True)
class ReplicationTopology:
    """One gateway's part in the replication of a site.

    Attributes:
        fleet: The site's number.
        gateway: The gateway.
        copies: How many replicas its log is to have.
        required: How many of them must have a record before it is acknowledged.
        domains: Of all gateways of the site.
        addresses: Of the other gateways that may hold its replicas.
    """

    fleet: int
    gateway: int
    copies: int
    required: int
    domains: dict[int, FailureDomain]
    addresses: dict[int, Address]


def topology_of(site: pb.Site, gateway: int) -> ReplicationTopology:
    """Return a gateway's part in the replication of a site."""
    addresses: dict[int, Address] = {}
    if site.records.copies:
        beside = gateways_beside(site, gateway)
        addresses = {
            one.number: split_address(one.peers) for one in site.head if one.peers and one.number in beside
        }
    # A gateway whose machine the site file does not name is on one of its own.
    domains = {
        one.number: FailureDomain(one.zone, one.machine or f"of head {one.number}") for one in site.head
    }
    required = min(site.records.held_by, len(addresses))
    return ReplicationTopology(
        fleet_of(site), gateway, int(site.records.copies), required, domains, addresses
    )


def gateways_beside(site: pb.Site, gateway: int) -> set[int]:
    """Return the other gateways on its side of a branch's link: of its branch, or all that are in none.

    So each side has its replicas where the link is cut.
    """
    for branch in site.branch:
        if gateway in branch.head:
            return set(branch.head) - {gateway}
    in_branches = {number for branch in site.branch for number in branch.head}
    return {one.number for one in site.head} - in_branches - {gateway}
