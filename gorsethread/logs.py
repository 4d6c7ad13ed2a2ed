"""Structured logs with structlog, as text for a console or as one JSON object per line."""

import logging
import sys
from typing import Any

import structlog


def start_logs(as_json: bool, level: str = "info") -> None:
    """Configures all loggers to write to standard error.

    Args:
        as_json: Whether each line is a JSON object; otherwise it is text for a console.
        level: The lowest level that is written, as its name in lower case.
    """
    processors: list[Any] = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if as_json:
        # Unlike the console renderer, the JSON renderer does not write tracebacks by itself.
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
    """Returns a logger that adds these fields to each line."""
    return structlog.get_logger(**context)
