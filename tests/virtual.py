"""A transport without a network, on a clock that a test moves: for the driver alone."""

from collections.abc import Callable
from typing import Any


class Clockwork:
    """Only what the driver asks for: now, at, soon."""

    def __init__(self) -> None:
        self.time = 100.0
        self._due: list[tuple[float, int, Callable[[], None], list[bool]]] = []
        self._soon: list[Callable[[], None]] = []
        self._count = 0

    def now(self) -> float:
        return self.time

    def call_at(self, when: float, act: Callable[[], None]) -> Any:
        self._count += 1
        alive = [True]
        self._due.append((when, self._count, act, alive))

        class Timer:
            def cancel(self) -> None:
                alive[0] = False

        return Timer()

    def call_soon(self, act: Callable[[], None]) -> None:
        self._soon.append(act)

    def settle(self) -> None:
        while self._soon:
            soon, self._soon = self._soon, []
            for act in soon:
                act()

    def move(self, until: float) -> None:
        self.settle()
        while self._due and min(self._due)[0] <= until:
            entry = min(self._due, key=lambda e: e[:2])
            self._due.remove(entry)
            self.time = max(self.time, entry[0])
            if entry[3][0]:
                entry[2]()
            self.settle()
        self.time = until
