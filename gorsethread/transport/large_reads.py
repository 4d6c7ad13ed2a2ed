"""Shares the event loop among connections: one large read goes on in each of its iterations."""

import asyncio
from collections import deque

READ_BYTES = 32_768  # the most that one read of a real stream returns, to be worked on without a pause
# A usual request or answer is smaller. A read that finds as much waits for others before it reads the rest.
SMALL_READ_BYTES = 2_048


class LargeReads:
    """Admits one large read in each iteration of the event loop, in the order of their arrival.

    The work on a peer's bytes has no pause, and a peer can choose bytes that are slow to work on. Small reads
    do not wait here, so that usual requests and answers pass between the large reads of others.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()  # one a stream; emptied one an iteration
        self._admitted = False  # a large read was admitted in this iteration

    def request(self) -> "asyncio.Future[None] | None":
        """Requests a large read.

        Returns None if it is admitted at once, as no other was in this iteration; else a future that is done
        when it is admitted. A caller that does not wait any longer may set its result itself.
        """
        loop = asyncio.get_running_loop()
        if not self._admitted:
            self._admitted = True
            loop.call_soon(self._admit_next, loop)
            return None
        waiting = loop.create_future()
        self._waiting.append(waiting)
        return waiting

    def _admit_next(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.done():  # it is done if its reader was cancelled or its stream closed
                waiting.set_result(None)
                loop.call_soon(self._admit_next, loop)
                return
        self._admitted = False
