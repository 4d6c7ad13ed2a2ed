"""Translates the scheduler's actions into entries of the simulator's reply.

The names of verbs and fields are given by the simulator's protocol.
"""

from collections.abc import Callable
from typing import Any


class ReplyActions:
    """Collects the actions of one instance until pop_all(). Implements SchedulerActions."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """clock: returns the simulator's time for the current batch, in seconds."""
        self.clock = clock
        self._actions: list[dict[str, Any]] = []

    def pop_all(self) -> list[dict[str, Any]]:
        """Returns the collected actions and clears them."""
        actions = self._actions
        self._actions = []
        return actions

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Sends a request to a backend."""
        self._actions.append({"verb": "forward", "corr": request, "tryFor": wait, "shelf": backend})

    def cancel_attempt(self, request: int, number: int) -> None:
        """Cancels one attempt of a request."""
        self._actions.append({"verb": "recall", "corr": request, "shot": number})

    def reject(self, request: int, retry_after: float) -> None:
        """Rejects a request, which its client may retry."""
        self._actions.append({"verb": "deny", "corr": request, "coolDown": retry_after})

    def fail(self, request: int) -> None:
        """Fails a request."""
        self._actions.append({"verb": "dropRequest", "corr": request})

    def set_timer(self, delay: float, name: str) -> None:
        """Sets a timer with a name, after delay seconds."""
        self._actions.append({"verb": "arm", "delay": delay, "keyBack": name})

    def send_peer_message(self, gateway: int, message: str) -> None:
        """Sends a message to another gateway."""
        self._actions.append({"verb": "notify", "addressee": gateway, "raw": message})

    def poll_endpoints(self) -> None:
        """Requests the endpoint list and its changes."""
        self._actions.append({"verb": "subscribe", "active": True})
