"""Lets a run pass over the tests that KNOWN-RED.txt names, and over no others (tests/known_red.py)."""

import pytest

from tests.known_red import BadList, KnownRed, read

LISTED = pytest.StashKey[list[KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = read()
    except BadList as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before any test is deselected
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    for known in config.stash[LISTED]:
        item = by_id.get(known.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(strict=not known.intermittent, reason=str(known)))
        elif config.args_source is pytest.Config.ArgsSource.TESTPATHS:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {known.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for known in config.stash[LISTED]:
        terminalreporter.write_line(f"known red: {known}")
