"""Runs the requests of each key one at a time, in the order of their arrival."""

from collections import deque

from gorsethread.scheduling.model import Request, SchedulerSettings
from gorsethread.scheduling.timers import Timers


class KeyOrdering:
    """Holds a queue of requests and possibly a cool-down for each key.

    A key cools down after an attempt that may still be running. A key is removed once its queue is empty and
    its cool-down is over.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self.cool_down = settings.key_cool_down  # seconds
        self.queues: dict[str, deque[Request]] = {}
        self.cool_downs: dict[str, float] = {}  # by key: the end of its cool-down, in seconds

    def enqueue(self, request: Request) -> bool:
        """Queues a request under its key, if it has one; returns whether it may run now."""
        if request.key is None:
            return True
        queue = self.queues.setdefault(request.key, deque())
        queue.append(request)
        return queue[0] is request and self.cool_downs.get(request.key, 0.0) <= self._timers.now

    def remove(self, request: Request) -> Request | None:
        """Removes a request that has ended; returns the next request of its key if that may run now."""
        if request.key is None or request.key not in self.queues:
            return None
        queue = self.queues[request.key]
        if request in queue:
            queue.remove(request)
        return self.next_runnable(request.key)

    def start_cool_down(self, key: str) -> None:
        """Starts the cool-down of a key after an attempt that may still be running at a backend."""
        self.cool_downs[key] = self._timers.now + self.cool_down

    def next_runnable(self, key: str) -> Request | None:
        """Returns the key's first request if it may run now and is not running yet; removes an idle key."""
        cool_down_ends = self.cool_downs.get(key, 0.0)
        if cool_down_ends > self._timers.now:
            self._timers.schedule(cool_down_ends, key)
            return None
        self.cool_downs.pop(key, None)
        queue = self.queues.get(key)
        if not queue:
            self.queues.pop(key, None)
            return None
        first = queue[0]
        return None if first.waiting or first.in_flight or first.ended else first

    def is_first(self, request: Request) -> bool:
        """Returns whether the request has a key and is the first in its key's queue."""
        return request.key is not None and self.queues[request.key][0] is request
