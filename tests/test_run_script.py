"""The script ./run sets up the environment once, however many calls of it run at the same time."""

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Creates an environment slowly, as the real one does: its folder is there long before its pip.
SLOW_PYTHON = """#!/bin/sh
mkdir .venv
sleep 0.5
mkdir .venv/bin
printf '#!/bin/sh\necho installed >> pip-calls\nsleep 0.5\n' > .venv/bin/pip
printf '#!/bin/sh\necho "$@"\n' > .venv/bin/python
chmod +x .venv/bin/pip .venv/bin/python
"""


class SetUp(unittest.TestCase):
    def test_two_calls_at_once_in_a_fresh_clone_set_up_once_and_both_succeed(self) -> None:
        # Guards against a second call that finds an environment without pip.
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for name in ("run", *(path.name for path in ROOT.glob("requirements*.txt"))):
            shutil.copy(ROOT / name, folder)
        (folder / "bin").mkdir()
        (folder / "bin" / "python3").write_text(SLOW_PYTHON)
        (folder / "bin" / "python3").chmod(0o755)
        environment = {**os.environ, "PATH": f"{folder / 'bin'}:{os.environ['PATH']}"}
        calls = [
            subprocess.Popen(
                ["./run", "gorsethread", "version"],
                cwd=folder,
                env=environment,
                text=True,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
            for _ in range(2)
        ]
        outputs = [call.communicate(timeout=30)[0] for call in calls]
        self.assertEqual([0, 0], [call.returncode for call in calls], outputs)
        self.assertEqual(["-m gorsethread version\n"] * 2, outputs)
        self.assertEqual("installed\n", (folder / "pip-calls").read_text())
