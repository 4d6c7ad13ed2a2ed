"""Named points of a head's code at which a real process ends itself, as a script's `stab` asks.

Nothing of this is in what serves: it is code that a test's process runs before the program starts. It counts
once its flag is there, a file with the number of times that the point is to be passed.
"""

from collections.abc import Mapping
from pathlib import Path

from gorsethread.simulation.site_simulation import POINT_METHODS

CODE = """
import importlib, os, pathlib, signal
def ends_itself(module, kind, method, flag):
    whole = getattr(importlib.import_module(module), kind)
    honest, left = getattr(whole, method), []
    def point(self, *given, **named):
        result = honest(self, *given, **named)
        if not left and flag.exists():
            left.append(int(flag.read_text()))
        if left:
            left[0] -= 1
            if left[0] == 0:
                os.kill(os.getpid(), signal.SIGKILL)
        return result
    setattr(whole, method, point)
for *where, flag in {flags!r}:
    ends_itself(*where, pathlib.Path(flag))
"""


def planted(flags: Mapping[str, Path]) -> str:
    """flags: by the point's name in scripts."""
    return CODE.replace("{flags!r}", repr([(*POINT_METHODS[p][1:], str(flag)) for p, flag in flags.items()]))
