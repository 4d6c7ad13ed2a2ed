"""The one family of this program's errors.

An error says in its text what happened and where, and by its type what an operator can do; commands print
both and logs carry them.
"""

from typing import ClassVar


class GorsethreadError(Exception):
    """Base of all errors of this program.

    Attributes:
        action: What an operator can do, a sentence of its own for each type.
    """

    action: ClassVar[str] = ""

    @property
    def lines(self) -> list[str]:
        """Its text, a line for each fault, and what to do."""
        return [*str(self).splitlines(), f"to do: {self.action}"]


class InvalidInputError(GorsethreadError):
    """Something given by a person is wrong in one place or several.

    Attributes:
        faults: A line for each place.
    """

    action = "Mend the lines that are named and try again; nothing was changed."

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults
