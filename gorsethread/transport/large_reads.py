"""Shares the event loop among connections: one large read goes on in each of its iterations."""

import asyncio
from collections import deque

READ_BYTES = 32_768  # the most that one read of a real stream returns, to be worked on without a pause
# A usual request or answer is smaller. A read that finds as much waits for others before it reads the rest.
SMALL_READ_BYTES = 2_048

SHORT_ITERATION_SECONDS = 0.002  # an iteration of the event loop after which no pause is needed
MAX_PAUSE_SECONDS = 0.05


class LargeReads:
    """Admits one large read in each iteration of the event loop, in the order of their arrival.

    The work on a peer's bytes has no pause, and a peer can choose bytes that are slow to work on. Small reads
    do not wait here, so that usual requests and answers pass between the large reads of others. After an
    iteration with a large read, the next one waits for as long as that iteration took, so that usual
    requests, which need several iterations each, have half of the time.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()  # one a stream; emptied one an iteration
        self._admitted = False  # a large read was admitted in this iteration, or the pause after it goes on
        self._admitted_at = 0.0  # seconds of the event loop's clock

    def request(self) -> "asyncio.Future[None] | None":
        """Requests a large read.

        Returns None if it is admitted at once, as no other was in this iteration; else a future that is done
        when it is admitted. A caller that does not wait any longer may set its result itself.
        """
        loop = asyncio.get_running_loop()
        if not self._admitted:
            self._admit(loop)
            return None
        waiting = loop.create_future()
        self._waiting.append(waiting)
        return waiting

    def _admit(self, loop: asyncio.AbstractEventLoop) -> None:
        self._admitted = True
        self._admitted_at = loop.time()
        loop.call_soon(self._pause, loop)

    def _pause(self, loop: asyncio.AbstractEventLoop) -> None:
        """Delays the next large read for as long as the iteration of the last one took."""
        taken = loop.time() - self._admitted_at
        if taken < SHORT_ITERATION_SECONDS:
            self._admit_next(loop)
        else:
            loop.call_later(min(taken, MAX_PAUSE_SECONDS), self._admit_next, loop)

    def _admit_next(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.done():  # it is done if its reader was cancelled or its stream closed
                waiting.set_result(None)
                self._admit(loop)
                return
        self._admitted = False
