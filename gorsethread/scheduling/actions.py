"""The interface through which the scheduler acts on the program that runs it."""

from typing import Protocol


class SchedulerActions(Protocol):
    """The actions that one scheduler may take; the gateway that runs the scheduler implements them.

    Times are in seconds. Requests and backends are identified by the ids in the scheduler's events.
    """

    def clock(self) -> float:
        """Returns the current time, which does not change while a batch of events is processed."""

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Sends a request to a backend. The attempt times out after wait seconds, or at the deadline if 0."""

    def cancel_attempt(self, request: int, number: int) -> None:
        """Cancels one attempt of a request."""

    def reject(self, request: int, retry_after: float) -> None:
        """Rejects a request; its client may retry after retry_after seconds (0: no advice)."""

    def fail(self, request: int) -> None:
        """Fails a request with an error that does not say whether the request ran."""

    def set_timer(self, delay: float, name: str) -> None:
        """Arranges a call of the scheduler's timer_fired(name) after delay seconds."""

    def send_peer_message(self, gateway: int, message: str) -> None:
        """Sends a message of at most 200 characters to the gateway with that index; it may get lost."""

    def poll_endpoints(self) -> None:
        """Requests the endpoint list and its changes; the poll may fail."""
