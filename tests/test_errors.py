"""Every error class of the program derives from GorsethreadError and says what an operator can do."""

import importlib
import pkgutil
import subprocess
import sys
import unittest

import gorsethread
from gorsethread.errors import GorsethreadError


def subclasses(base: type[BaseException] = GorsethreadError) -> set[type[BaseException]]:
    """A class and all classes derived from it."""
    return {base}.union(*(subclasses(derived) for derived in base.__subclasses__()))


class ErrorClasses(unittest.TestCase):
    def setUp(self) -> None:
        for module in pkgutil.walk_packages(gorsethread.__path__, "gorsethread."):
            if not module.name.endswith(("__main__", "_pb2")):
                importlib.import_module(module.name)

    def test_every_error_class_has_an_action_of_its_own(self) -> None:
        classes = [error_class for error_class in subclasses() if error_class is not GorsethreadError]
        self.assertGreater(len(classes), 13)
        for error_class in classes:
            self.assertIn("action", vars(error_class), f"{error_class} has no action of its own")
        actions = [vars(error_class)["action"] for error_class in classes]
        self.assertTrue(all(len(action) > 20 and action.endswith(".") for action in actions), actions)
        self.assertEqual(len(set(actions)), len(actions), "two classes have the same action")

    def test_every_exception_of_the_program_is_a_gorsethread_error(self) -> None:
        defined = {kind for kind in subclasses(Exception) if kind.__module__.startswith("gorsethread.")}
        self.assertEqual(set(), defined - subclasses())

    def test_a_command_prints_the_action_of_an_error(self) -> None:
        finished = subprocess.run(
            [sys.executable, "-m", "gorsethread", "fleet", "show", "--head", "0", "--site", "pyproject.toml"],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(2, finished.returncode)
        self.assertIn("to do: Correct the site file", finished.stderr)
