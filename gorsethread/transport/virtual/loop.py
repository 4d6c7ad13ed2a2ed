"""An asyncio event loop on a simulated clock, which jumps to the next timer."""

import asyncio
from typing import Any

from gorsethread.errors import GorsethreadError

START_TIME = 1000.0  # seconds on every clock without an offset when a simulation starts


class SimulationStuck(GorsethreadError):
    """Raised when no event is due and none can become due, so that the simulation would wait for ever."""

    action = "Report the seed: a part of the program waits for an event that can no longer happen."


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop without a selector; when no callback is ready, its time jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._time = START_TIME
        self._clock_resolution = 1e-9
        self._selector = self
        self.set_debug(False)

    def time(self) -> float:
        return self._time

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise SimulationStuck("no event is due")
        if timeout > 0:
            self._time = max(self._time, self._scheduled[0]._when)  # type: ignore[attr-defined]
        return []

    def _process_events(self, events: list[Any]) -> None: ...

    def _write_to_self(self) -> None: ...


class VirtualTimer:
    """A pending call of VirtualTransport.call_at()."""

    def __init__(self) -> None:
        self.cancelled = False
        self.handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()


def wake(waiting: "asyncio.Future[None]") -> None:
    """Completes a future, if it is still pending."""
    if not waiting.done():
        waiting.set_result(None)
