"""Every error of the program belongs to one family and says what an operator can do."""

import importlib
import pkgutil
import subprocess
import sys
import unittest

import gorsethread
from gorsethread.errors import GorsethreadError


def family(kind: type[BaseException] = GorsethreadError) -> set[type[BaseException]]:
    return {kind}.union(*(family(k) for k in kind.__subclasses__()))


class Family(unittest.TestCase):
    def setUp(self) -> None:
        for module in pkgutil.walk_packages(gorsethread.__path__, "gorsethread."):
            if not module.name.endswith(("__main__", "_pb2")):
                importlib.import_module(module.name)

    def test_each_has_an_action_of_its_own(self) -> None:
        kinds = [k for k in family() if k is not GorsethreadError]
        self.assertGreater(len(kinds), 13)
        for kind in kinds:
            self.assertIn("action", vars(kind), f"{kind} says nothing of its own")
        actions = [vars(k)["action"] for k in kinds]
        self.assertTrue(all(len(a) > 20 and a.endswith(".") for a in actions), actions)
        self.assertEqual(len(set(actions)), len(actions), "two say the same")

    def test_no_error_of_the_program_stands_outside(self) -> None:
        outside = {k for k in family(Exception) if k.__module__.startswith("gorsethread.")} - family()
        self.assertEqual(set(), outside)

    def test_an_operator_is_told(self) -> None:
        done = subprocess.run(
            [sys.executable, "-m", "gorsethread", "fleet", "show", "--head", "0", "--site", "pyproject.toml"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(2, done.returncode)
        self.assertIn("to do: Correct the site file", done.stderr)
