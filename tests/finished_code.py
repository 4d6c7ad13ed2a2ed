"""The source files that the readers' work has finished: all but pyproject.toml's list of exceptions."""

import ast
import tomllib
from collections.abc import Iterator
from fnmatch import fnmatch
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent
GENERATED = ("*_pb2.py",)


def unfinished_patterns() -> list[str]:
    """The patterns, relative to the root, of what is not finished yet."""
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    return list(settings["tool"]["ruff"]["lint"]["per-file-ignores"])


def finished_files() -> list[Path]:
    """In a stable order."""
    patterns = [*unfinished_patterns(), *GENERATED]
    paths = (ROOT / "gorsethread").rglob("*.py")
    return sorted(
        path for path in paths if not any(fnmatch(str(path.relative_to(ROOT)), one) for one in patterns)
    )


@cache
def tree_of(path: Path) -> ast.Module:
    """The parsed source of a file."""
    return ast.parse(path.read_text())


def module_name(path: Path) -> str:
    """The name by which the file is imported."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def functions_of(path: Path) -> Iterator[ast.FunctionDef | ast.AsyncFunctionDef]:
    """Every function and method of a file."""
    for node in ast.walk(tree_of(path)):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield node
