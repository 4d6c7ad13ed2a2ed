"""The folder of a trial: logs and record folders, kept for a person where the trial was not good."""

import shutil
import sys
import tempfile
from pathlib import Path
from types import TracebackType


class TrialFolder:
    """A temporary folder, removed at the end of a with statement unless keep() was called or an error came.

    Attributes:
        path: The folder.
    """

    def __init__(self, prefix: str) -> None:
        """Creates the folder; its name begins with the prefix."""
        self.path = Path(tempfile.mkdtemp(prefix=prefix))
        self._is_kept = False

    def keep(self) -> None:
        """Keeps the folder at the end and says on standard error where it is."""
        self._is_kept = True

    def __enter__(self) -> "TrialFolder":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._is_kept or error is not None:
            print(f"logs and records of the trial are kept in {self.path}", file=sys.stderr)
        else:
            shutil.rmtree(self.path, ignore_errors=True)
