"""Requests of one key run one at a time, in the order of their arrival."""

from collections import deque

from gorsethread.scheduling.model import Request, SchedulerSettings
from gorsethread.scheduling.timers import Timers


class KeyOrdering:
    """A queue of requests for each key, and the keys that cool down after an attempt that may still run.

    A key leaves once its queue is empty and its cool-down is over.
    """

    def __init__(self, settings: SchedulerSettings, timers: Timers) -> None:
        self._timers = timers
        self.cool_down = settings.key_cool_down  # seconds
        self.queues: dict[str, deque[Request]] = {}
        self.cool_downs: dict[str, float] = {}  # by key: when it ends

    def join(self, request: Request) -> bool:
        """Queues a request by its key, if it has one; whether it may run now."""
        if request.key is None:
            return True
        queue = self.queues.setdefault(request.key, deque())
        queue.append(request)
        return queue[0] is request and self.cool_downs.get(request.key, 0.0) <= self._timers.now

    def leave(self, request: Request) -> Request | None:
        """A request has ended; returns the next of its key that may run now."""
        if request.key is None or request.key not in self.queues:
            return None
        queue = self.queues[request.key]
        if request in queue:
            queue.remove(request)
        return self.next_runnable(request.key)

    def start_cool_down(self, key: str) -> None:
        """An attempt of the key's first request may still run at a backend that nobody waits for."""
        self.cool_downs[key] = self._timers.now + self.cool_down

    def next_runnable(self, key: str) -> Request | None:
        """Returns the request of the key that may run now and does not yet; forgets an idle key."""
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
        """Whether the request has a key and no other of its key comes before it."""
        return request.key is not None and self.queues[request.key][0] is request
