"""Heads made to break one rule each, to see that the witness catches it. Never part of a head that serves."""

from collections.abc import Iterable
from typing import Any

from gorsethread.gateway.attempts import Attempt, AttemptResult
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.open_requests import EndpointEntry, OpenRequest
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.scheduling.model import AttemptOutcome, Effect

MANY = 40


def break_rule(head: Head, rule: int) -> None:
    """Wraps a head that has not started; ValueError for a number that is no rule's."""
    if rule not in _PLANTS:
        raise ValueError(f"there is no rule {rule}; they are {min(_PLANTS)} to {max(_PLANTS)}")
    _PLANTS[rule](head)


def _lose_answers(head: Head) -> None:
    driver = head.driver
    honest = driver._ended

    def ended(attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult) -> None:
        request = driver.open_requests.get(attempt.request)
        if request is not None and request.id % 10 == 0:
            request.answered = True
        honest(attempt, outcome, result)

    driver._ended = ended  # type: ignore[method-assign]


def _again(driver: Driver, f: Attempt, times: int = 1) -> None:
    """Sends a forward again behind the policy's back; what comes of it is dropped."""
    if link := driver.links.get(f.backend):
        for _ in range(times):
            copy = Attempt(f.request, -1, f.backend, f.sent_at, f.payload, lambda *_: None)
            link.send(copy)


def _after_forward(driver: Driver, act: Any) -> None:
    honest = driver.send_attempt

    def send_attempt(request: int, backend: int, wait: float) -> None:
        honest(request, backend, wait)
        t = driver.open_requests.get(request)
        if t is not None and t.attempts and (f := t.in_flight.get(t.attempts - 1)):
            act(t, f)

    driver.send_attempt = send_attempt  # type: ignore[method-assign]


def _twice(head: Head) -> None:
    profiles = head.driver.scheduler.settings.request_classes

    def act(t: OpenRequest, f: Attempt) -> None:
        if profiles[t.client.profile].effect is Effect.NON_IDEMPOTENT:  # type: ignore[attr-defined]
            _again(head.driver, f)

    _after_forward(head.driver, act)


def _deaf_to_drains(head: Head) -> None:
    honest = head.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        honest([e._replace(ready=True) for e in entries], False, remembered)

    head.driver.endpoints_listed = listed  # type: ignore[method-assign]


def _push_over(head: Head) -> None:
    honest = head.driver.endpoints_listed
    cold: set[int] = set()

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        listed_now = list(entries)
        cold.update(e.backend for e in listed_now if e.since)
        honest([e._replace(since=0.0) for e in listed_now], complete, remembered)

    def act(t: OpenRequest, f: Attempt) -> None:
        if f.backend in cold:
            _again(head.driver, f, MANY)

    head.driver.endpoints_listed = listed  # type: ignore[method-assign]
    _after_forward(head.driver, act)


def _out_of_turn(head: Head) -> None:
    honest = head.driver.admit

    def take(*arguments: Any, **named: Any) -> OpenRequest:
        return honest(*arguments, **{**named, "key": None})

    head.driver.admit = take  # type: ignore[method-assign]


def _no_budget(head: Head) -> None:
    def act(t: OpenRequest, f: Attempt) -> None:
        if not f.payload.command.to_controller:
            _again(head.driver, f)

    _after_forward(head.driver, act)


def _no_limit(head: Head) -> None:
    scheduler = head.driver.scheduler
    scheduler.rate_limits.units_left = lambda volume: float("inf")  # type: ignore[method-assign]
    # Nothing else holds a volume back either, else a busy shelf hides that the limit does not hold.
    scheduler.pacing.admits = lambda request, rate, units_chosen: True  # type: ignore[method-assign]
    scheduler.admission.free_slots = lambda backend: 32 - len(backend.in_flight)  # type: ignore[method-assign]


_PLANTS = {
    1: _lose_answers,
    2: _twice,
    3: _deaf_to_drains,
    4: _push_over,
    5: _out_of_turn,
    6: _no_budget,
    7: _no_limit,
}
