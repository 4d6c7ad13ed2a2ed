"""The scheduler's actions as lines of the simulator's reply; the themed names are the simulator's."""

from collections.abc import Callable
from typing import Any


class ReplyActions:
    """Gathers the actions of one instance (a SchedulerActions); take() empties them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """clock: the simulator's time in seconds, as of the batch that is worked on."""
        self.clock = clock
        self._actions: list[dict[str, Any]] = []

    def take(self) -> list[dict[str, Any]]:
        """Returns the actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Sends a request to a backend."""
        self._actions.append({"verb": "forward", "corr": request, "tryFor": wait, "shelf": backend})

    def cancel_attempt(self, request: int, number: int) -> None:
        """Stops waiting for one attempt of a request."""
        self._actions.append({"verb": "recall", "corr": request, "shot": number})

    def reject(self, request: int, retry_after: float) -> None:
        """Ends a request, which its client may retry."""
        self._actions.append({"verb": "deny", "corr": request, "coolDown": retry_after})

    def fail(self, request: int) -> None:
        """Ends a request with an error."""
        self._actions.append({"verb": "dropRequest", "corr": request})

    def set_timer(self, delay: float, name: str) -> None:
        """Sets a timer of that name, after so many seconds."""
        self._actions.append({"verb": "arm", "delay": delay, "keyBack": name})

    def send_peer_message(self, gateway: int, message: str) -> None:
        """Sends another gateway a text."""
        self._actions.append({"verb": "notify", "addressee": gateway, "raw": message})

    def poll_endpoints(self) -> None:
        """Asks for the endpoint list and its changes."""
        self._actions.append({"verb": "subscribe", "active": True})
