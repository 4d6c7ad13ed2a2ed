"""What heads in service believe, from their logs, beside what the operators' bench saw on the sockets.

A head's counts stand in its log every few seconds and as it ends; a head that started anew counts from 0, so
the last line of each life is taken. A head that was killed has told nothing since: its part is short.
"""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

# The bench's outcomes of forwards, in the order its report lists them, by our words.
# The lines of a log by their events; "head": logs written before 2026-12-02.
STARTED = ("gateway serves", "head serves")
TOLD_WITH_COUNTS = ("counts", "gateway ends", "gateway ended", "head ends", "head ended")
OUTCOMES = (
    "succeeded",
    "error",
    "rejected",
    "timed out",
    "unreachable",
    "connection lost",
    "cancelled",
    "not sent",
)
# Names of counts in logs written before 2026-12-03.
FORMER = {
    "taken": "requests",
    "honoured": "succeeded",
    "pushed_back": "rejected",
    "given_up": "failed",
    "left": "client_left",
    "forwards_honoured": "attempts_succeeded",
    "forwards_error": "attempts_error",
    "forwards_turned_away": "attempts_rejected",
    "forwards_timed_out": "attempts_timed_out",
    "forwards_unreached": "attempts_unreachable",
    "forwards_broken": "attempts_connection_lost",
    "forwards_called_off": "attempts_cancelled",
    "forwards_not_sent": "attempts_not_sent",
}


COUNTED = frozenset(FORMER.values())


def counts_of(lines: Iterable[str]) -> Counter[str]:
    """Added up over the lives in one head's log; lines that are no counts are passed over."""
    total: Counter[str] = Counter()
    life: dict[str, int] = {}
    for line in lines:
        start = line.find("{")
        try:
            told = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if not isinstance(told, dict):
            continue
        if told.get("event") in STARTED:
            total.update(life)
            life = {}
        elif told.get("event") in TOLD_WITH_COUNTS:
            named = {FORMER.get(name, name): n for name, n in told.items() if isinstance(n, int)}
            life.update({name: n for name, n in named.items() if name in COUNTED})
    total.update(life)
    return total


def compare(logs: Iterable[Iterable[str]], report: dict[str, Any]) -> list[tuple[str, int, int]]:
    """(what, heads', bench's) for each figure that both have. KeyError for a report without windows."""
    heads: Counter[str] = Counter()
    for lines in logs:
        heads.update(counts_of(lines))
    windows = report["windows"]
    rows = [
        ("requests", heads["requests"], sum(w["client_tries"] for w in windows)),
        ("rejected", heads["rejected"], sum(w["refused"] for w in windows)),
    ]
    for place, name in enumerate(OUTCOMES):
        seen = sum(w["outcomes"][place] for w in windows)
        rows.append((f"attempts {name}", heads[f"attempts_{name.replace(' ', '_')}"], seen))
    return rows
