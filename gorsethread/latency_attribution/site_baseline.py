"""What the accounts need to know of a site."""

from gorsethread.latency_attribution.causes import Known
from gorsethread.site_config import site_pb2 as pb


def known_of(site: pb.Site) -> Known:
    usual = {plan.name: plan.usual for plan in site.plan}
    return Known(
        site.name,
        {v.number: v.name for v in site.volume},
        {v.number: usual[v.plan] for v in site.volume},
        [p.name for p in site.profile],
        [p.promised for p in site.profile],
    )
