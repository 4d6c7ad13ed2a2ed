"""What real and virtual processes have alike: how a program comes to its end, and how chance is drawn."""

import asyncio
import random


class SeededRandom(random.Random):
    """A stream of chance; the same seed gives the same draws."""

    def randrange(self, stop: int) -> int:  # type: ignore[override]
        return super().randrange(stop)


class Program:
    """failed: what spawned work or a timer's act raised first; it ends the program, as what was lost
    with it is not known. Hurts all that is open, which clients may repeat."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.failed: BaseException | None = None
        self._over: asyncio.Future[None] = loop.create_future()

    def task_ended(self, task: "asyncio.Task[None]") -> None:
        """A spawned piece of work is done, well or not."""
        if not task.cancelled() and (error := task.exception()):
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        if self.failed is None:
            self.failed = error
            self.finish()

    def finish(self) -> None:
        if not self._over.done():
            self._over.set_result(None)

    async def until_finished(self) -> None:
        """Returns at finish(); raises what a spawned piece of work raised."""
        await self._over
        if self.failed is not None:
            raise self.failed
