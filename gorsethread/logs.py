"""Structured logs, on structlog: for a person's console or a line of JSON each."""

import logging
import sys
from typing import Any

import structlog


def start_logs(as_json: bool, level: str = "info") -> None:
    """Sets where every later line goes: to standard error.

    Args:
        as_json: Whether each line is an object of JSON; else it is text for a console.
        level: The lowest level that is written, by its name in lower case.
    """
    processors: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if as_json:
        # Unlike the console's, the JSON renderer writes no traceback by itself.
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        processors.append(structlog.dev.ConsoleRenderer(colors=False))
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def log_for(**context: Any) -> Any:
    """A logger whose lines carry these fields."""
    return structlog.get_logger(**context)
