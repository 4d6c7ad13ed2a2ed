"""The gateways that may hold each other's replicas, and their addresses, from the site file."""

from dataclasses import dataclass

from gorsethread.durable_log.replica_placement import FailureDomain
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address

CONNECT_TIMEOUT = 1.0  # seconds within which a connection to another gateway must be established
ANSWER_TIMEOUT = 3.0  # seconds that another gateway's answer may take
Address = tuple[str, int]


@dataclass(frozen=True)
class ReplicationTopology:
    """One gateway's part in the replication of a site.

    Attributes:
        fleet: The site's number.
        gateway: The gateway's number.
        copies: How many replicas of its log there should be.
        required: How many replicas must have a record before it is acknowledged.
        domains: The failure domains of all gateways of the site.
        addresses: The addresses of the other gateways that may hold its replicas.
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
        candidates = gateways_on_same_side(site, gateway)
        addresses = {
            entry.number: split_address(entry.peers)
            for entry in site.head
            if entry.peers and entry.number in candidates
        }
    # A gateway for which the site file names no machine counts as being on a machine of its own.
    domains = {
        entry.number: FailureDomain(entry.zone, entry.machine or f"of head {entry.number}")
        for entry in site.head
    }
    required = min(site.records.held_by, len(addresses))
    return ReplicationTopology(
        fleet_id(site), gateway, int(site.records.copies), required, domains, addresses
    )


def gateways_on_same_side(site: pb.Site, gateway: int) -> set[int]:
    """Return the other gateways of the gateway's branch, or of the main site if it is in no branch.

    They are on its side of the link, so that each side still has its replicas while the link is cut.
    """
    for branch in site.branch:
        if gateway in branch.head:
            return set(branch.head) - {gateway}
    in_branches = {number for branch in site.branch for number in branch.head}
    return {entry.number for entry in site.head} - in_branches - {gateway}
