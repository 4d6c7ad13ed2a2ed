"""Named points of a gateway's code at which a real process kills itself, for a script's `stab`.

The gateway's own code has none of this: a test's process runs the code below before the program starts. Once
the point's flag file exists, the process kills itself at the nth pass of the point; the file holds n.
"""

from collections.abc import Mapping
from pathlib import Path

from gorsethread.simulation.site_simulation import POINT_METHODS

CODE = """
import importlib, os, pathlib, signal
def add_kill_point(module, class_name, method, flag):
    owner = getattr(importlib.import_module(module), class_name)
    original, passes_left = getattr(owner, method), []
    def kill_point(self, *args, **kwargs):
        result = original(self, *args, **kwargs)
        if not passes_left and flag.exists():
            passes_left.append(int(flag.read_text()))
        if passes_left:
            passes_left[0] -= 1
            if passes_left[0] == 0:
                os.kill(os.getpid(), signal.SIGKILL)
        return result
    setattr(owner, method, kill_point)
for *point, flag in {flags!r}:
    add_kill_point(*point, pathlib.Path(flag))
"""


def kill_point_code(flags: Mapping[str, Path]) -> str:
    """Returns code that adds kill points to a gateway's process.

    flags: the flag file of each point, by the point's name in scripts.
    """
    return CODE.replace("{flags!r}", repr([(*POINT_METHODS[p][1:], str(flag)) for p, flag in flags.items()]))
