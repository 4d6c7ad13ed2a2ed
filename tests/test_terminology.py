"""Finished packages use the field's terms: no identifier, log event or error text has a withdrawn word."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.finished_code import ROOT, finished_files, tree_of

# Words of the earlier house style (docs/glossary.md), as parts of identifiers.
WITHDRAWN = frozenset(
    """
    head heads shelf shelves transaction transactions honoured redoable labelled irreversible promised
    patience profile profiles plan plans lane lanes agenda stirred parked shadow homes desk mate mates garbled
    trouble troubles faulty witness judge judges standin standins world worlds planted returning debts lent
    lend lends lending bears told spoilt dearest quickest cutoff turn turns pace paces paced talk said unheld
    dial dialing
    """.split()
)
WITHDRAWN_PHRASES = ("cut_off", "pushed_back", "given_up", "called_off", "key_rest", "limit_store")
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "exception"})
PARTS = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")


def words_of(text: str) -> list[str]:
    return [part.lower() for part in PARTS.findall(text)]


def identifiers(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """The names that a file gives: of classes, functions, arguments, variables, attributes that it sets."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.lineno, node.name
        elif isinstance(node, ast.arg):
            yield node.lineno, node.arg
        elif isinstance(node, ast.Name | ast.Attribute) and isinstance(node.ctx, ast.Store):
            yield node.lineno, node.id if isinstance(node, ast.Name) else node.attr


def spoken_texts(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """The texts of log events and of errors."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Raise) and isinstance(node.exc, ast.Call):
            arguments: list[ast.expr] = list(node.exc.args)
        elif (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and node.func.attr in LOG_METHODS
        ):
            arguments = list(node.args)
            for keyword in node.keywords:
                yield node.lineno, keyword.arg or ""
        else:
            continue
        for argument in arguments:
            for inner in ast.walk(argument):
                if isinstance(inner, ast.Constant) and isinstance(inner.value, str):
                    yield node.lineno, inner.value


def withdrawn_in(texts: Iterator[tuple[int, str]]) -> list[tuple[int, str, str]]:
    found = []
    for line, text in texts:
        phrases = [phrase for phrase in WITHDRAWN_PHRASES if phrase in text.lower().replace(" ", "_")]
        words = [word for word in words_of(text) if word in WITHDRAWN]
        found += [(line, text, word) for word in (*words, *phrases)]
    return found


@pytest.mark.parametrize("path", finished_files(), ids=lambda path: str(path.relative_to(ROOT)))
def test_a_finished_file_uses_no_withdrawn_word(path: Path) -> None:
    tree = tree_of(path)
    assert withdrawn_in(identifiers(tree)) == []
    assert withdrawn_in(spoken_texts(tree)) == []


def test_a_withdrawn_word_is_found() -> None:
    tree = ast.parse(
        "class ShelfLink:\n"
        "    def note(self, cut_off, parked_writes):\n"
        "        self.lane = 1\n"
        "        self.log.info('the head ends', shelf=2)\n"
        "        raise ValueError(f'{cut_off} of a mate')\n"
    )
    found = {word for _, _, word in withdrawn_in(identifiers(tree))}
    assert found == {"shelf", "cut_off", "parked", "lane"}
    assert {word for _, _, word in withdrawn_in(spoken_texts(tree))} == {"head", "shelf", "mate"}
