"""What the scheduler may ask of the program around it."""

from typing import Protocol


class SchedulerActions(Protocol):
    """The actions open to one scheduler, provided by the gateway that drives it.

    Times are seconds. Requests and backends are named by the ids in the scheduler's events.
    """

    def clock(self) -> float:
        """Returns the time now, in seconds; it stands still while a batch of events is worked on."""

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Sends a request to a backend; it times out after wait seconds, 0: at the request's deadline."""

    def cancel_attempt(self, request: int, number: int) -> None:
        """Stops waiting for one attempt of a request."""

    def reject(self, request: int, retry_after: float) -> None:
        """Ends a request: its client may retry, best after so many seconds (0: no advice)."""

    def fail(self, request: int) -> None:
        """Ends a request with an error that promises nothing."""

    def set_timer(self, delay: float, name: str) -> None:
        """Has the scheduler's timer_fired(name) called after so many seconds."""

    def send_peer_message(self, gateway: int, message: str) -> None:
        """Sends another gateway, by its number, a text of 200 characters at most, which may never arrive."""

    def poll_endpoints(self) -> None:
        """Asks for the endpoint list and its changes; the answer may be a refusal."""
