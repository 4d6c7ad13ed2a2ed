"""Helpers to define mutants of either kind of gateway: a registry by name, and common mutations."""

from collections.abc import Callable
from typing import Any, TypeVar

from gorsethread.scheduling.model import AttemptOutcome

MutationT = TypeVar("MutationT", bound=Callable[..., Any])


def registered_in(register: dict[str, MutationT]) -> Callable[[str], Callable[[MutationT], MutationT]]:
    """Returns a decorator that takes a mutant's name and adds the decorated function to register under it."""

    def mutant(name: str) -> Callable[[MutationT], MutationT]:
        def add(change: MutationT) -> MutationT:
            register[name] = change
            return change

        return add

    return mutant


def replace_outcomes(gateway: Any, replacements: dict[AttemptOutcome, AttemptOutcome]) -> None:
    """Changes the outcomes of attempts before the scheduler is notified of them.

    gateway: an NVMe or an HTTP gateway. replacements: the outcome to report, by the actual one.
    """
    original = gateway.driver.queue_event

    def queue_event(method: str, *facts: Any) -> None:
        if method == "attempt_ended":
            ended = facts[0]
            facts = (ended._replace(outcome=replacements.get(ended.outcome, ended.outcome)),)
        original(method, *facts)

    gateway.driver.queue_event = queue_event


def every_nth_call(interval: int) -> Callable[[], bool]:
    """Returns a function that is True at every interval-th call and False at the others."""
    count = [0]

    def is_nth_call() -> bool:
        count[0] += 1
        return count[0] % interval == 0

    return is_nth_call
