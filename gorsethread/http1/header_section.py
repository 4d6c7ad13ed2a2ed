"""The header section of a request as received: its bounds, and the lengths that it states."""

import re

from gorsethread.http1.framing import HEADER_LINES_MAX, HEADER_SECTION_BYTES_MAX

BLANK_LINE = re.compile(rb"\n\r?\n")
BLANK_LINE_BYTES_MAX = 3


class HeaderSection:
    """Collects the bytes of a header section up to its blank line.

    Attributes:
        over_bound: Whether the section is longer than HEADER_SECTION_BYTES_MAX or has more lines than
            HEADER_LINES_MAX, however it came.
    """

    def __init__(self) -> None:
        self._data = bytearray()  # at most one byte over the bound
        self._complete = False
        self.over_bound = False

    def receive(self, data: bytes) -> None:
        """Adds bytes; those behind the blank line are passed over."""
        if self._complete or self.over_bound:
            return
        search_from = max(0, len(self._data) - BLANK_LINE_BYTES_MAX + 1)
        self._data += data[: HEADER_SECTION_BYTES_MAX + 1 - len(self._data)]
        blank_line = BLANK_LINE.search(self._data, search_from)
        if blank_line is not None and blank_line.end() <= HEADER_SECTION_BYTES_MAX:
            del self._data[blank_line.end() :]
            self._complete = True
        else:
            self.over_bound = len(self._data) > HEADER_SECTION_BYTES_MAX
        self.over_bound = self.over_bound or self._data.count(b"\n") > HEADER_LINES_MAX

    def clear(self) -> None:
        """Drops the bytes of a complete section, which is not needed any more."""
        self._data.clear()

    def content_lengths(self) -> list[bytes]:
        """Returns the value of each Content-Length line, in one pass over the lines.

        A length that is repeated is found here only: h11 merges equal Content-Length lines.
        """
        values = []
        for line in self._data.split(b"\n"):
            name, _, value = line.partition(b":")
            if name.rstrip(b" \t").lower() == b"content-length":
                values.append(bytes(value.strip(b" \t\r")))
        return values
