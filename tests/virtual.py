"""A clock and timers that a test advances by hand, for tests of the driver alone."""

from collections.abc import Callable
from typing import Any


class ManualClock:
    """The part of Transport that the driver uses: now, call_at and call_soon."""

    def __init__(self) -> None:
        self.time = 100.0
        self._timers: list[tuple[float, int, Callable[[], None], list[bool]]] = []
        self._ready: list[Callable[[], None]] = []
        self._count = 0

    def now(self) -> float:
        return self.time

    def call_at(self, when: float, act: Callable[[], None]) -> Any:
        self._count += 1
        pending = [True]
        self._timers.append((when, self._count, act, pending))

        class Timer:
            def cancel(self) -> None:
                pending[0] = False

        return Timer()

    def call_soon(self, act: Callable[[], None]) -> None:
        self._ready.append(act)

    def run_ready(self) -> None:
        """Runs the callbacks of call_soon(), including those that they add."""
        while self._ready:
            ready, self._ready = self._ready, []
            for act in ready:
                act()

    def advance_to(self, until: float) -> None:
        """Moves the clock forward and fires the timers that become due, in order."""
        self.run_ready()
        while self._timers and min(self._timers)[0] <= until:
            entry = min(self._timers, key=lambda timer: timer[:2])
            self._timers.remove(entry)
            when, _, act, pending = entry
            self.time = max(self.time, when)
            if pending[0]:
                act()
            self.run_ready()
        self.time = until
