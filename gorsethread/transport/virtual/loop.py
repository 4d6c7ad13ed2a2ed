"""A loop whose time jumps to what is due next."""

import asyncio
from typing import Any

from gorsethread.errors import GorsethreadError

BEGINS = 1000.0  # seconds on every machine's clock when a world begins


class SimulationStuck(GorsethreadError):
    """Nothing is due and nothing can become due: the world waits for ever."""

    action = "Report the seed: a part of the program waits for what nobody will do."


class VirtualLoop(asyncio.BaseEventLoop):
    """A loop without a selector: when nothing is ready its time jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._virtual = BEGINS
        self._clock_resolution = 1e-9
        self._selector = self
        self.set_debug(False)

    def time(self) -> float:
        return self._virtual

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise SimulationStuck("nothing is due any more")
        if timeout > 0:
            self._virtual = max(self._virtual, self._scheduled[0]._when)  # type: ignore[attr-defined]
        return []

    def _process_events(self, events: list[Any]) -> None: ...

    def _write_to_self(self) -> None: ...


class VirtualTimer:
    def __init__(self) -> None:
        self.cancelled = False
        self.handle: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()


def settle(waiting: "asyncio.Future[None]") -> None:
    if not waiting.done():
        waiting.set_result(None)
