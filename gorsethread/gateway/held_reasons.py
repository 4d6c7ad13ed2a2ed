"""Finds why the scheduler's last search did not send a request, for the latency accounts. Changes nothing."""

from gorsethread.scheduling.model import Backend, HoldReason, Request
from gorsethread.scheduling.scheduler import Scheduler

NO_BACKEND = -1


def why_held(scheduler: Scheduler, request_id: int) -> tuple[HoldReason, int]:
    """Returns why a request is held, and the backend it is meant for or NO_BACKEND."""
    request = scheduler.requests.get(request_id)
    if request is None or request.ended or request.in_flight:
        return HoldReason.NOT_HELD, NO_BACKEND
    backend = scheduler.admission.preferred_backend(request)
    backend_id = backend.id if backend else NO_BACKEND
    if not request.waiting:
        first = scheduler.key_ordering.is_first(request)
        return (HoldReason.COOL_DOWN if first else HoldReason.KEY_ORDER), backend_id
    if backend is None:
        return HoldReason.NO_BACKEND, backend_id
    return _reason_at(scheduler, request, backend), backend_id


def _reason_at(scheduler: Scheduler, request: Request, backend: Backend) -> HoldReason:
    """Checks the scheduler's mechanisms in the order in which they decide."""
    if scheduler.rate_limits.is_short_of_units(request):
        return HoldReason.RATE_LIMIT
    if scheduler.outliers.is_cooling_down(backend):
        return HoldReason.COOL_DOWN
    if scheduler.slow_start.is_blocked(request, backend):
        return HoldReason.SLOW_START
    awaits_health_check = scheduler.outliers.has_failed(backend) or scheduler.outliers.is_silent(backend)
    if backend.in_flight and awaits_health_check:
        return HoldReason.SILENT
    if scheduler.limits.is_full(backend):
        return HoldReason.SLOTS
    if request.attempts:
        return HoldReason.UNKNOWN if scheduler.retries.within_budget() else HoldReason.RETRY_BUDGET
    return HoldReason.RATE if scheduler.limits.has_limited_rate(backend) else HoldReason.UNKNOWN
