"""Changes the size of a site, for tests, benchmarks and simulations."""

from collections.abc import Sequence

from gorsethread.site_config import site_pb2 as pb


def addresses_needed(site: pb.Site, gateways: int, backends: int) -> int:
    """Returns how many addresses resized_site() needs."""
    return 1 + backends + gateways * (2 if any(h.peers for h in site.head) else 1)


def resized_site(site: pb.Site, gateways: int, backends: int, addresses: Sequence[str]) -> pb.Site:
    """Returns a copy of the site with other numbers of gateways (heads) and backends (shelves).

    The addresses are given to the list service, the heads, the shelves, and, if the site has addresses for
    peers, to the heads again. The volumes' heads or shards are only changed if their number changes.
    """
    new = pb.Site()
    new.CopyFrom(site)
    del new.head[:], new.shelf[:]
    remaining = iter(addresses)
    new.list.address = next(remaining)
    head_zones = max((h.zone for h in site.head), default=0) + 1
    for n in range(gateways):
        new.head.add(number=n, address=next(remaining), zone=n % head_zones)
    new.records.copies = min(site.records.copies, gateways - 1)
    new.records.held_by = min(site.records.held_by, new.records.copies)
    shelf_zones = max((s.zone for s in site.shelf), default=0) + 1
    for n in range(backends):
        new.shelf.add(number=n, address=next(remaining), shard=n, zone=n % shelf_zones)
    if any(h.peers for h in site.head):
        for head in new.head:
            head.peers = next(remaining)
    for v in new.volume:
        if gateways != len(site.head):
            v.head[:] = sorted({(h + v.number) % gateways for h in v.head})
        if backends != len(site.shelf):
            v.shard[:] = sorted({(s + v.number) % backends for s in v.shard})
    return new
