"""Finished packages keep their shape: short functions, files of one job, no circles of imports."""

import ast
from pathlib import Path

import pytest

from tests.finished_code import ROOT, finished_files, functions_of, module_name, tree_of

FUNCTION_LINES_MOST = 50
FILE_LINES_MOST = 400


@pytest.mark.parametrize("path", finished_files(), ids=lambda path: str(path.relative_to(ROOT)))
def test_functions_and_files_are_short(path: Path) -> None:
    assert len(path.read_text().splitlines()) <= FILE_LINES_MOST
    long = [
        (function.name, length)
        for function in functions_of(path)
        if (length := (function.end_lineno or 0) - function.lineno + 1) > FUNCTION_LINES_MOST
    ]
    assert long == []


def imports_of(path: Path, known: set[str]) -> set[str]:
    """The modules among the known ones that a file imports, also those for types alone."""
    found: set[str] = set()
    for node in ast.walk(tree_of(path)):
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
    return found & known


def circle_in(imports: dict[str, set[str]]) -> list[str]:
    """One circle of modules that import each other; empty where there is none."""
    done: set[str] = set()

    def visit(module: str, path: list[str]) -> list[str]:
        if module in path:
            return path[path.index(module) :]
        if module in done:
            return []
        for other in sorted(imports[module]):
            if circle := visit(other, [*path, module]):
                return circle
        done.add(module)
        return []

    return next((circle for module in sorted(imports) if (circle := visit(module, []))), [])


def test_no_finished_modules_import_each_other_in_a_circle() -> None:
    files = {module_name(path): path for path in finished_files()}
    assert circle_in({name: imports_of(path, set(files)) for name, path in files.items()}) == []


def test_a_circle_is_found() -> None:
    assert circle_in({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c"]
    assert circle_in({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []
