"""What the decisions may ask of the program round them. A head provides one of these per instance."""

from typing import Protocol


class Host(Protocol):
    """The acts open to the policy. Times are seconds; shelves and transactions are named by their own ids."""

    def clock(self) -> float:
        """The time now; it stands still while a batch is worked on."""

    def forward(self, transaction: int, shelf: int, wait: float) -> None:
        """Send a transaction to a shelf; wait 0 lasts until the cut-off."""

    def recall(self, transaction: int, forward: int) -> None:
        """Stop waiting for one forward."""

    def push_back(self, transaction: int, return_after: float) -> None:
        """End a transaction: the client may try again, best after this long (0: no advice)."""

    def give_up(self, transaction: int) -> None:
        """End a transaction with an error that promises nothing."""

    def wake(self, delay: float, name: str) -> None:
        """Have the policy's woken(name) called after a delay."""

    def tell(self, head: int, words: str) -> None:
        """A message to another head, by its number: slow, perhaps never there, 200 characters at most."""

    def follow_list(self) -> None:
        """Ask to be told the list of shelves and its changes; the answer may be a refusal."""
