"""Reads the baseline of a site file: what the attribution compares the figures of a period with."""

from gorsethread.latency_attribution.causes import SiteBaseline
from gorsethread.site_config import site_pb2 as pb


def baseline_of(site: pb.Site) -> SiteBaseline:
    """Returns the names, usual rates and latency objectives that the site file sets."""
    usual = {plan.name: plan.usual for plan in site.plan}
    return SiteBaseline(
        site.name,
        {v.number: v.name for v in site.volume},
        {v.number: usual[v.plan] for v in site.volume},
        [p.name for p in site.profile],
        [p.promised for p in site.profile],
    )
