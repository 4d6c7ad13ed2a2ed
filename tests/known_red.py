"""KNOWN-RED.txt at the root: tests that fail for a fault which is known and not mended yet.

One line each: test | cause | issue. A run passes over these tests alone and prints them. It fails on over
three lines, on a line that is malformed or names no test, and on a listed test that passes by now.
"""

from dataclasses import dataclass
from pathlib import Path

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_LINES = 3


class BadList(Exception):
    """The file does not say what it has to."""


@dataclass(frozen=True)
class KnownRed:
    """test: its id, as pytest prints it."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def parse(text: str) -> list[KnownRed]:
    """BadList where a line has not three parts, or there are too many."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST_LINES:
        raise BadList(f"KNOWN-RED.txt has {len(lines)} lines; {MOST_LINES} at most")
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise BadList(f"KNOWN-RED.txt: not 'test | cause | issue': {line}")
        found.append(KnownRed(*parts))
    return found


def read(path: Path = FILE) -> list[KnownRed]:
    """None are known where the file is absent."""
    return parse(path.read_text()) if path.exists() else []
