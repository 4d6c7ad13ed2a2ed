"""Why a request was held back in the last search: read from the decisions' state for the latency accounts.

Decides nothing.
"""

from gorsethread.model import Backend, Held, Request
from gorsethread.policy import FREE_RATE, NEW, Policy

NO_BACKEND = -1


def why_held(policy: Policy, request: int) -> tuple[Held, int]:
    """What kept it back, and the backend it is meant for, or NO_BACKEND."""
    t = policy.requests.get(request)
    if t is None or t.over or t.out:
        return Held.NOT, NO_BACKEND
    backend = next(iter(policy._ranking(t.volume)), None) if t.shard == NEW else policy.held_by.get(t.shard)
    number = backend.id if backend else NO_BACKEND
    if not t.waiting:
        first = t.key is not None and policy.lines[t.key][0] is t
        return (Held.REST if first else Held.KEY_TURN), number
    return (_held_at(policy, t, backend) if backend else Held.NO_SHELF), number


def _held_at(policy: Policy, t: Request, backend: Backend) -> Held:
    if t.volume.plan.limit and not t.attempts and t.volume.limit_store < t.units:
        return Held.LIMIT
    if policy.now < backend.rest_until:
        return Held.REST
    if policy.now < backend.first_send or policy._cold_left(backend) < max(1.0, t.units):
        return Held.COLD
    if backend.out and (backend.misses or policy._is_overdue(backend)):
        return Held.SILENT
    if len(backend.out) >= max(1, int(backend.bound)):
        return Held.SLOTS
    if t.attempts:
        return Held.UNKNOWN if policy._within_budget() else Held.BUDGET
    return Held.RATE if backend.rate < FREE_RATE else Held.UNKNOWN
