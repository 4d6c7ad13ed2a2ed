"""What the decisions may ask of the program round them. A gateway provides one of these per instance."""

from typing import Protocol


class Host(Protocol):
    """The acts open to the scheduler. Times are seconds; backends and requests are named by their own ids."""

    def clock(self) -> float:
        """The time now; it stands still while a batch is worked on."""

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Send a request to a backend; wait 0 lasts until the deadline."""

    def cancel_attempt(self, request: int, number: int) -> None:
        """Stop waiting for one attempt."""

    def reject(self, request: int, return_after: float) -> None:
        """End a request: the client may try again, best after this long (0: no advice)."""

    def fail(self, request: int) -> None:
        """End a request with an error that promises nothing."""

    def set_timer(self, delay: float, name: str) -> None:
        """Have the scheduler's timer_fired(name) called after a delay."""

    def send_peer_message(self, head: int, words: str) -> None:
        """A message to another gateway, by its number: slow, perhaps never there, 200 characters at most."""

    def poll_endpoints(self) -> None:
        """Ask to be told the list of backends and its changes; the answer may be a refusal."""
