"""The base class of all errors of this program.

The text of an error says what happened and where; its type says what an operator can do about it. Commands
print both, and logs contain both.
"""

from typing import ClassVar


class GorsethreadError(Exception):
    """Base of all errors of this program.

    Attributes:
        action: What an operator can do; each type has a sentence of its own.
    """

    action: ClassVar[str] = ""

    @property
    def lines(self) -> list[str]:
        """The lines of the text, one for each fault, followed by what to do."""
        return [*str(self).splitlines(), f"to do: {self.action}"]


class InvalidInputError(GorsethreadError):
    """Raised when input given by a person is invalid in one or more places.

    Attributes:
        faults: One line for each invalid place.
    """

    action = "Correct the lines that are named and try again; nothing was changed."

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults
