"""Code that real and virtual processes share: how a program ends, and its random numbers."""

import asyncio
import random


class SeededRandom(random.Random):
    """A random number generator; the same seed gives the same numbers."""

    def randrange(self, stop: int) -> int:  # type: ignore[override]
        return super().randrange(stop)


class Program:
    """The lifetime of a program: until finish() is called or a task or timer callback raises.

    An exception ends the whole program, because it is unknown what was lost with it. All open connections end
    too; clients may retry what they had in progress.

    Attributes:
        failed: The first exception that a spawned task or a timer callback raised.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.failed: BaseException | None = None
        self._finished: asyncio.Future[None] = loop.create_future()

    def task_ended(self, task: "asyncio.Task[None]") -> None:
        """Ends the program if a spawned task raised an exception."""
        if not task.cancelled() and (error := task.exception()):
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Ends the program because of an exception; only the first one is kept."""
        if self.failed is None:
            self.failed = error
            self.finish()

    def finish(self) -> None:
        """Makes until_finished() return."""
        if not self._finished.done():
            self._finished.set_result(None)

    async def until_finished(self) -> None:
        """Waits for finish(); raises the exception that ended the program, if one did."""
        await self._finished
        if self.failed is not None:
            raise self.failed
