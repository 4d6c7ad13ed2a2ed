"""The page of the architecture names modules that exist, and every package of the program."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
# `package/module.py` or `package/` in the page, below gorsethread/ where no other folder is named.
NAMED = re.compile(r"`((?:[a-z0-9_]+/)+(?:[a-z0-9_]+\.py)?|[a-z0-9_]+\.py)`")
PACKAGE_IN_PROSE_ONLY = {"__pycache__"}


def named_places() -> set[str]:
    return set(NAMED.findall(PAGE.read_text()))


def exists(place: str) -> bool:
    return (ROOT / "gorsethread" / place).exists() or (ROOT / place).exists()


def test_each_module_that_the_page_names_exists() -> None:
    places = named_places()
    assert len(places) > 20
    assert [place for place in sorted(places) if not exists(place)] == []


def test_the_page_names_every_package() -> None:
    packages = {path.parent.name for path in (ROOT / "gorsethread").glob("*/__init__.py")}
    named = {place.split("/")[0] for place in named_places() if "/" in place}
    assert packages - named - PACKAGE_IN_PROSE_ONLY == set()
