"""Counts requests in batches: those that the first search sent and whose first attempt soon succeeded.

Nearly all requests are such, and counting them one by one would cost several times as much.
"""

import struct

import numpy

from gorsethread.latency_attribution.stages import UNKNOWN, Stage
from gorsethread.latency_attribution.window import Numbers, Window, group_sums
from gorsethread.scheduling.model import RequestOutcome

# Volume, request class, units, backend, holder of what the request waited for; then, in seconds, the times of
# arrival, admission, sending and end, and the service time that the backend reported (0: none).
RECORD = struct.Struct("=10d")
COLUMNS, FIRST_TIME_COLUMN = 10, 5
VOLUME_RANGE = 1 << 31  # more than any volume's number


def count_batch(
    records: memoryview, latency_objectives: list[int], transits: dict[int, int], window: Window
) -> dict[int, int]:
    """Adds packed records to the window; returns the service time per unit, in microseconds, by backend.

    latency_objectives: microseconds, by request class. transits: the least time beyond service seen of each
    backend, in microseconds (-1: none yet); updated.
    """
    table = numpy.array(numpy.frombuffer(records, dtype=numpy.float64).reshape(-1, COLUMNS).T)
    table[FIRST_TIME_COLUMN:] *= 1e6
    # Truncated to whole microseconds, as for requests that are counted one by one.
    volume, request_class, units, backend, holder, arrived, admitted, sent, ended, service = table.astype(
        numpy.int64
    )
    service_known = service > 0
    undivided = numpy.where(service_known, 0, ended - sent)
    service = numpy.where(service_known, numpy.minimum(service, ended - sent), 0)
    remainder = numpy.where(service_known, ended - sent - service, 0)
    transit = numpy.zeros_like(remainder)
    for number in numpy.unique(backend[service_known]).tolist():
        at = service_known & (backend == number)
        least = int(remainder[at].min())
        transits[number] = least if transits[number] < 0 else min(least, transits[number])
        transit[at] = transits[number]
    parts: dict[int, Numbers] = {
        Stage.RECEIVING: admitted - arrived,
        Stage.GATEWAY: sent - admitted,
        Stage.OUTBOUND: transit // 2,
        Stage.BACKEND_QUEUE: remainder - transit,
        Stage.SERVICE: service,
        Stage.RETURN: transit - transit // 2,
        Stage.UNDIVIDED: undivided,
    }
    duration = ended - arrived
    outcome = numpy.full_like(duration, RequestOutcome.SUCCEEDED)
    late = (duration > numpy.array(latency_objectives)[request_class]).astype(numpy.int64)
    window.add_requests(volume, request_class, units, outcome, late, parts, duration)
    _add_blame(volume, holder, backend, parts[Stage.BACKEND_QUEUE], Stage.BACKEND_QUEUE, window)
    _add_blame(volume, numpy.full_like(holder, UNKNOWN), backend, undivided, Stage.UNDIVIDED, window)
    return _add_backend_work(
        volume[service_known],
        units[service_known],
        backend[service_known],
        service[service_known],
        parts[Stage.BACKEND_QUEUE][service_known],
        window,
    )


def _add_blame(
    volume: Numbers, holder: Numbers, backend: Numbers, wait: Numbers, stage: Stage, window: Window
) -> None:
    waited = wait > 0
    if not waited.any():
        return
    backends, backend_at = numpy.unique(backend[waited], return_inverse=True)
    waiters, waiter_at = numpy.unique(volume[waited], return_inverse=True)
    holders, holder_at = numpy.unique(holder[waited], return_inverse=True)
    keys, group = numpy.unique(
        (waiter_at * len(holders) + holder_at) * len(backends) + backend_at, return_inverse=True
    )
    for key, us in zip(keys.tolist(), group_sums(group, len(keys), wait[waited]), strict=True):
        pair, at = divmod(key, len(backends))
        waiter, holder = divmod(pair, len(holders))
        window.add_blame(int(waiters[waiter]), int(holders[holder]), int(backends[at]), stage, us)


def _add_backend_work(
    volume: Numbers, units: Numbers, backend: Numbers, service: Numbers, wait: Numbers, window: Window
) -> dict[int, int]:
    if not len(backend):
        return {}
    order = numpy.frexp(units)[1].astype(numpy.int64)
    keys, group = numpy.unique((backend * VOLUME_RANGE + volume) * 64 + order, return_inverse=True)
    counts = numpy.bincount(group).tolist()
    for n, (key, us, class_units) in enumerate(
        zip(
            keys.tolist(),
            group_sums(group, len(keys), service),
            group_sums(group, len(keys), units),
            strict=True,
        )
    ):
        volume_key, units_order = divmod(key, 64)
        number, waiter = divmod(volume_key, VOLUME_RANGE)
        window.backend(number).add_work(waiter, units_order, counts[n], class_units, us)
    unit_services = {}
    for number in numpy.unique(backend).tolist():
        at = backend == number
        window.backend(number).wait_us += int(wait[at].sum())
        unit_services[number] = int(service[at].sum()) // max(1, int(units[at].sum()))
    return unit_services
