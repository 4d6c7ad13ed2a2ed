"""A site of another size, for days, benches and virtual worlds."""

from collections.abc import Sequence

from gorsethread.site_config import site_pb2 as pb


def addresses_needed(site: pb.Site, heads: int, shelves: int) -> int:
    """How many addresses resized_site() takes."""
    return 1 + shelves + heads * (2 if any(h.peers for h in site.head) else 1)


def resized_site(site: pb.Site, heads: int, shelves: int, addresses: Sequence[str]) -> pb.Site:
    """The same site with another number of heads and shelves, at these addresses: the list, heads, shelves,
    and those for peers where the site has any. Volumes stay spread as before, if there are as many."""
    new = pb.Site()
    new.CopyFrom(site)
    del new.head[:], new.shelf[:]
    given = iter(addresses)
    new.list.address = next(given)
    rooms = max((h.zone for h in site.head), default=0) + 1
    for n in range(heads):
        new.head.add(number=n, address=next(given), zone=n % rooms)
    new.records.copies = min(site.records.copies, heads - 1)
    new.records.held_by = min(site.records.held_by, new.records.copies)
    zones = max((s.zone for s in site.shelf), default=0) + 1
    for n in range(shelves):
        new.shelf.add(number=n, address=next(given), shard=n, zone=n % zones)
    if any(h.peers for h in site.head):
        for head in new.head:
            head.peers = next(given)
    for v in new.volume:
        if heads != len(site.head):
            v.head[:] = sorted({(h + v.number) % heads for h in v.head})
        if shelves != len(site.shelf):
            v.shard[:] = sorted({(s + v.number) % shelves for s in v.shard})
    return new
