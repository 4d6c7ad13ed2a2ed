"""Measures the iterations of the event loop, so that work which holds up everything else is seen."""

import selectors
import time
from collections.abc import Callable
from typing import NamedTuple


class Iteration(NamedTuple):
    """An iteration of the event loop: from the end of one wait for events to the start of the next.

    Attributes:
        seconds: How long it took; nothing else was read, answered or timed meanwhile.
        work: What took longest in it, or "" if nothing in it was named.
        work_seconds: How long that took.
    """

    seconds: float
    work: str
    work_seconds: float


NO_ITERATION = Iteration(0.0, "", 0.0)


class LoopIterations:
    """The iterations of one event loop: the longest one, and a call for each that is over a limit.

    An iteration counts only if the loop waits with a MeasuringSelector.
    """

    def __init__(self) -> None:
        self._began: float | None = None
        self._limit = float("inf")
        self._on_long: Callable[[Iteration], None] = lambda iteration: None
        self._longest = NO_ITERATION
        # The work that goes on, and the longest in this iteration: the peer, the bytes and the time.
        self._peer = ""
        self._size = 0
        self._work_began = 0.0
        self._longest_peer = ""
        self._longest_size = 0
        self._longest_work_seconds = 0.0

    def watch(self, limit: float, act: Callable[[Iteration], None]) -> None:
        """Calls act after each iteration that took over that many seconds; replaces an earlier call."""
        self._limit = limit
        self._on_long = act

    def take_longest(self) -> Iteration:
        """Returns the longest iteration since the last call of this method."""
        longest, self._longest = self._longest, NO_ITERATION
        return longest

    def work_began(self, peer: str, size: int) -> None:
        """Notes that a peer's bytes are worked on from now on, until work_ended() or the next such call."""
        now = time.monotonic()
        self._end_work(now)
        self._peer = peer
        self._size = size
        self._work_began = now

    def work_ended(self, peer: str) -> None:
        """Notes that the work on a peer's bytes has ended, if it is the one that goes on."""
        if self._peer == peer:
            self._end_work(time.monotonic())

    def _end_work(self, now: float) -> None:
        if self._peer and now - self._work_began > self._longest_work_seconds:
            self._longest_peer = self._peer
            self._longest_size = self._size
            self._longest_work_seconds = now - self._work_began
        self._peer = ""

    def began(self) -> None:
        """Notes that the loop has stopped waiting for events."""
        self._began = time.monotonic()

    def ended(self) -> None:
        """Notes that the loop is about to wait for events."""
        if self._began is None:
            return
        now = time.monotonic()
        self._end_work(now)
        seconds = now - self._began
        self._began = None
        if seconds > self._longest.seconds or seconds > self._limit:
            self._note(seconds)
        self._longest_peer = ""
        self._longest_work_seconds = 0.0

    def _note(self, seconds: float) -> None:
        work = f"{self._longest_size} bytes from {self._longest_peer}" if self._longest_peer else ""
        iteration = Iteration(seconds, work, self._longest_work_seconds)
        if seconds > self._longest.seconds:
            self._longest = iteration
        if seconds > self._limit:
            self._on_long(iteration)


class MeasuringSelector(selectors.DefaultSelector):
    """The selector of an event loop whose iterations are measured."""

    def __init__(self, iterations: LoopIterations) -> None:
        super().__init__()
        self._iterations = iterations

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits for events."""
        self._iterations.ended()
        events = super().select(timeout)
        self._iterations.began()
        return events
