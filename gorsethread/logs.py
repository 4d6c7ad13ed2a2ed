"""Structured logs, on structlog: for a person's console or a line of JSON each."""

import logging
import sys
from typing import Any

import structlog


def start_logs(as_json: bool, level: str = "info") -> None:
    """Where every later line goes: standard error, from that level up."""
    last: Any = structlog.dev.ConsoleRenderer(colors=False)
    if as_json:
        last = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *([structlog.processors.format_exc_info] if as_json else []),  # else a defect's place is lost
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def log_for(**names: Any) -> Any:
    """A log whose lines carry these names."""
    return structlog.get_logger(**names)
