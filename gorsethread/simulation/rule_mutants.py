"""One mutation for each rule, which makes a gateway break it: a check of the invariant checker itself.

Never part of a gateway in production.
"""

from collections.abc import Iterable
from typing import Any

from gorsethread.gateway.attempts import Attempt, AttemptResult
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.open_requests import EndpointEntry, OpenRequest
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.scheduling.model import AttemptOutcome, Effect

EXTRA_ATTEMPTS = 40  # sent besides each attempt at a backend that is starting


def break_rule(gateway: NvmeGateway, rule: int) -> None:
    """Makes a gateway break a rule; the gateway must not have been started.

    Raises ValueError where there is no rule of that number.
    """
    if rule not in _RULE_MUTANTS:
        raise ValueError(f"there is no rule {rule}; rules are {min(_RULE_MUTANTS)} to {max(_RULE_MUTANTS)}")
    _RULE_MUTANTS[rule](gateway)


def _loses_responses(gateway: NvmeGateway) -> None:
    driver = gateway.driver
    original = driver._ended

    def ended(attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult) -> None:
        request = driver.open_requests.get(attempt.request)
        if request is not None and request.id % 10 == 0:
            request.answered = True
        original(attempt, outcome, result)

    driver._ended = ended  # type: ignore[method-assign]


def _send_again(driver: Driver, attempt: Attempt, times: int = 1) -> None:
    """Sends copies of an attempt without the scheduler's knowledge; their outcomes are dropped."""
    if link := driver.links.get(attempt.backend):
        for _ in range(times):
            copy = Attempt(
                attempt.request, -1, attempt.backend, attempt.sent_at, attempt.payload, lambda *_: None
            )
            link.send(copy)


def _after_each_attempt(driver: Driver, on_attempt: Any) -> None:
    """Calls on_attempt with the open request and the attempt after each attempt that the driver sends."""
    original = driver.send_attempt

    def send_attempt(request: int, backend: int, wait: float) -> None:
        original(request, backend, wait)
        open_request = driver.open_requests.get(request)
        if (
            open_request is not None
            and open_request.attempts
            and (attempt := open_request.in_flight.get(open_request.attempts - 1))
        ):
            on_attempt(open_request, attempt)

    driver.send_attempt = send_attempt  # type: ignore[method-assign]


def _runs_non_idempotent_twice(gateway: NvmeGateway) -> None:
    request_classes = gateway.driver.scheduler.settings.request_classes

    def on_attempt(open_request: OpenRequest, attempt: Attempt) -> None:
        if request_classes[open_request.client.request_class].effect is Effect.NON_IDEMPOTENT:  # type: ignore[attr-defined]
            _send_again(gateway.driver, attempt)

    _after_each_attempt(gateway.driver, on_attempt)


def _ignores_drains(gateway: NvmeGateway) -> None:
    original = gateway.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        original([entry._replace(ready=True) for entry in entries], False, remembered)

    gateway.driver.endpoints_listed = listed  # type: ignore[method-assign]


def _overloads_starting_backends(gateway: NvmeGateway) -> None:
    original = gateway.driver.endpoints_listed
    starting: set[int] = set()

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        listed_now = list(entries)
        starting.update(entry.backend for entry in listed_now if entry.since)
        original([entry._replace(since=0.0) for entry in listed_now], complete, remembered)

    def on_attempt(open_request: OpenRequest, attempt: Attempt) -> None:
        if attempt.backend in starting:
            _send_again(gateway.driver, attempt, EXTRA_ATTEMPTS)

    gateway.driver.endpoints_listed = listed  # type: ignore[method-assign]
    _after_each_attempt(gateway.driver, on_attempt)


def _ignores_key_order(gateway: NvmeGateway) -> None:
    original = gateway.driver.admit

    def admit(*arguments: Any, **named: Any) -> OpenRequest:
        return original(*arguments, **{**named, "key": None})

    gateway.driver.admit = admit  # type: ignore[method-assign]


def _exceeds_retry_budget(gateway: NvmeGateway) -> None:
    def on_attempt(open_request: OpenRequest, attempt: Attempt) -> None:
        if not attempt.payload.command.to_controller:
            _send_again(gateway.driver, attempt)

    _after_each_attempt(gateway.driver, on_attempt)


def _ignores_rate_limits(gateway: NvmeGateway) -> None:
    scheduler = gateway.driver.scheduler
    scheduler.rate_limits.units_left = lambda volume: float("inf")  # type: ignore[method-assign]
    # Pacing and the concurrency limits are off too: they would hold requests back at a busy backend, and so
    # hide that the rate limit is not kept.
    scheduler.pacing.admits = lambda request, rate, units_chosen: True  # type: ignore[method-assign]
    scheduler.admission.free_slots = lambda backend: 32 - len(backend.in_flight)  # type: ignore[method-assign]


_RULE_MUTANTS = {
    1: _loses_responses,
    2: _runs_non_idempotent_twice,
    3: _ignores_drains,
    4: _overloads_starting_backends,
    5: _ignores_key_order,
    6: _exceeds_retry_budget,
    7: _ignores_rate_limits,
}
