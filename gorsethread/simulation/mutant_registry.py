"""What planting a defect takes at each front: a register of names, and endings told wrongly."""

from collections.abc import Callable
from typing import Any, TypeVar

from gorsethread.scheduling.model import AttemptOutcome

Planted = TypeVar("Planted", bound=Callable[..., Any])


def registered_in(register: dict[str, Planted]) -> Callable[[str], Callable[[Planted], Planted]]:
    """A decorator that keeps a defect under its name."""

    def mutant(name: str) -> Callable[[Planted], Planted]:
        def keep(change: Planted) -> Planted:
            register[name] = change
            return change

        return keep

    return mutant


def replace_outcomes(head: Any, wrong: dict[AttemptOutcome, AttemptOutcome]) -> None:
    """The decisions hear another ending than the one there was. head: of either front."""
    honest = head.driver.queue_event

    def queue_event(method: str, *facts: Any) -> None:
        if method == "attempt_ended":
            end = facts[0]
            facts = (end._replace(outcome=wrong.get(end.outcome, end.outcome)),)
        honest(method, *facts)

    head.driver.queue_event = queue_event


def every_nth_call(every: int) -> Callable[[], bool]:
    """True once in so many calls."""
    count = [0]

    def now() -> bool:
        count[0] += 1
        return count[0] % every == 0

    return now
