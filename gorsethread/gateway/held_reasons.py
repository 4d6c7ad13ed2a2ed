"""Why a request was held back in the last search: read from the decisions' state for the latency accounts.

Decides nothing.
"""

from gorsethread.scheduling.model import Backend, HoldReason, Request
from gorsethread.scheduling.scheduler import FREE_RATE, NEW, Scheduler

NO_BACKEND = -1


def why_held(scheduler: Scheduler, request: int) -> tuple[HoldReason, int]:
    """What kept it back, and the backend it is meant for, or NO_BACKEND."""
    t = scheduler.requests.get(request)
    if t is None or t.over or t.out:
        return HoldReason.NOT, NO_BACKEND
    backend = (
        next(iter(scheduler._ranking(t.volume)), None) if t.shard == NEW else scheduler.held_by.get(t.shard)
    )
    number = backend.id if backend else NO_BACKEND
    if not t.waiting:
        first = t.key is not None and scheduler.lines[t.key][0] is t
        return (HoldReason.REST if first else HoldReason.KEY_TURN), number
    return (_held_at(scheduler, t, backend) if backend else HoldReason.NO_SHELF), number


def _held_at(scheduler: Scheduler, t: Request, backend: Backend) -> HoldReason:
    if t.volume.plan.rate_limit and not t.attempts and t.volume.limit_store < t.units:
        return HoldReason.LIMIT
    if scheduler.now < backend.rest_until:
        return HoldReason.REST
    if scheduler.now < backend.first_send or scheduler._cold_left(backend) < max(1.0, t.units):
        return HoldReason.COLD
    if backend.out and (backend.misses or scheduler._is_overdue(backend)):
        return HoldReason.SILENT
    if len(backend.out) >= max(1, int(backend.bound)):
        return HoldReason.SLOTS
    if t.attempts:
        return HoldReason.UNKNOWN if scheduler._within_budget() else HoldReason.BUDGET
    return HoldReason.RATE if backend.rate < FREE_RATE else HoldReason.UNKNOWN
