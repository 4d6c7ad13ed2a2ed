"""A whole day with every process on its own: a good head keeps the rules. What depends on the moment, as
planted breaks, is tried on the virtual clock (tests/test_simulation.py)."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import pytest

SITE = Path(__file__).parent.parent / "deploy" / "site.txtpb"


def play(*options: str) -> tuple[int, dict[str, Any]]:
    with tempfile.TemporaryDirectory(prefix="gorsethread-day-") as folder:
        out, site = Path(folder) / "day.json", Path(folder) / "site.txtpb"
        # Heads that stand still for a few hundred milliseconds, as on a machine with much else to do, answer
        # in time all the same.
        site.write_text(SITE.read_text().replace("answer_slack: 0.05", "answer_slack: 0.5"))
        done = subprocess.run(
            [sys.executable, "-m", "gorsethread", "day", "--site", str(site), "--json", str(out), *options],
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        if not out.exists():
            raise AssertionError(done.stdout + done.stderr)
        return done.returncode, {**json.loads(out.read_text()), "shown": done.stdout}


@pytest.mark.processes
class Days(unittest.TestCase):
    def test_a_bad_day_keeps_every_rule(self) -> None:
        status, day = play("--seconds", "16", "--seed", "3")
        self.assertEqual(
            (0, 0, 0, 0, [0] * 7),
            (status, day["lost"], day["duplicated"], day["wrong_reads"], day["rules"]),
            day["shown"],
        )
        self.assertGreater(day["honoured"], 200)
