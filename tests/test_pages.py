"""Every test, file and command that README and the pages under docs/ name exists.

Pages under docs/incidents/ are left out, as each tells of the code of its day, and so is the glossary, which
lists names that were withdrawn.
"""

import re
import unittest
from pathlib import Path

from typer.main import get_command

from gorsethread.cli.main import app

ROOT = Path(__file__).parent.parent
GLOSSARY = ROOT / "docs" / "glossary.md"
PAGES = [ROOT / "README.md", *(path for path in sorted((ROOT / "docs").glob("*.md")) if path != GLOSSARY)]
CODE = re.compile(r"`([^`\n]+)`")
TEST = re.compile(r"test_\w+")
PYTHON_OR_PAGE = re.compile(r"[\w./-]+\.(?:py|md|proto|toml|txtpb)")
RUN_COMMAND = re.compile(r"\./run (?P<name>[a-z-]+)")
GORSETHREAD_COMMAND = re.compile(r"(?:\./run )?gorsethread (?P<words>[a-z-]+(?: [a-z-]+)?)")
# Where a path of a page may start; a bare file name may be anywhere below these.
FOLDERS = (ROOT, ROOT / "gorsethread", ROOT / "docs", ROOT / "tests", ROOT / "tests" / "crossing")


def code_of(page: Path) -> list[str]:
    """Returns the pieces of code in a page's running text."""
    return CODE.findall(page.read_text())


class NamesInPages(unittest.TestCase):
    def check(self, is_known: dict[str, bool], page: Path) -> None:
        unknown = sorted(name for name, known in is_known.items() if not known)
        self.assertEqual([], unknown, f"{page.relative_to(ROOT)} names what does not exist")

    def test_every_test_named_exists(self) -> None:
        sources = [path.read_text() for path in (ROOT / "tests").rglob("*.py")]
        functions = {name for text in sources for name in re.findall(r"def (test_\w+)", text)}
        files = {path.stem for path in (ROOT / "tests").rglob("test_*.py")}
        for page in PAGES:
            named = {name for code in code_of(page) for name in TEST.findall(code)}
            with self.subTest(page=page.name):
                known = {n: n in files or any(f.startswith(n) for f in functions) for n in named}
                self.check(known, page)

    def test_every_file_named_exists(self) -> None:
        names = {
            path.name for folder in ("gorsethread", "docs", "tests") for path in (ROOT / folder).rglob("*")
        }
        for page in PAGES:
            named = {code for code in code_of(page) if PYTHON_OR_PAGE.fullmatch(code)}
            with self.subTest(page=page.name):
                known = {
                    name: name in names or any((folder / name).exists() for folder in FOLDERS)
                    for name in named
                }
                self.check(known, page)

    def test_every_command_named_exists(self) -> None:
        script = (ROOT / "run").read_text()
        commands = getattr(get_command(app), "commands")  # noqa: B009
        for page in PAGES:
            known = {}
            for code in code_of(page):
                for match in RUN_COMMAND.finditer(code):
                    known[match[0]] = f"./run {match['name']}" in script
                if match := GORSETHREAD_COMMAND.match(code):
                    known[match[0]] = self._is_command(commands, match["words"].split(" "))
            with self.subTest(page=page.name):
                self.check(known, page)

    def _is_command(self, commands: dict[str, object], words: list[str]) -> bool:
        command = commands.get(words[0])
        subcommands = getattr(command, "commands", None)
        if command is None or subcommands is None or len(words) == 1:
            return command is not None
        return words[1] in subcommands
