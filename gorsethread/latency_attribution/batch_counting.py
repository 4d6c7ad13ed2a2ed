"""Counts ordinary lives many at once: taken, sent in the next search, honoured by their first forward after a
short wait. Nearly all are so, and one by one each would cost several times as much."""

import struct

import numpy

from gorsethread.latency_attribution.stages import UNKNOWN, Stage
from gorsethread.latency_attribution.window import Numbers, Window, sums
from gorsethread.scheduling.model import RequestOutcome

# Volume, profile, units, shelf, whom it waited behind; arrived, taken, sent, ended, and work as told (0:
# untold), these in seconds.
ORDINARY = struct.Struct("=10d")
COLUMNS, MOMENTS = 10, 5  # columns from here on are times
SPAN = 1 << 31  # more than any volume's number; what is behind may be a little under 0


def count(lives: memoryview, promised: list[int], ways: dict[int, int], window: Window) -> dict[int, int]:
    """Adds them, packed one after another, to the window; the work a unit of each shelf comes back.

    ways: the least way seen of each shelf (-1: none yet), set anew.
    """
    table = numpy.array(numpy.frombuffer(lives, dtype=numpy.float64).reshape(-1, COLUMNS).T)
    table[MOMENTS:] *= 1e6
    # Whole microseconds, cut as the lives counted by themselves are.
    volume, profile, units, shelf, behind, arrived, taken, sent, ended, work = table.astype(numpy.int64)
    told = work > 0
    undivided = numpy.where(told, 0, ended - sent)
    work = numpy.where(told, numpy.minimum(work, ended - sent), 0)
    rest = numpy.where(told, ended - sent - work, 0)
    way = numpy.zeros_like(rest)
    for number in numpy.unique(shelf[told]).tolist():
        at = told & (shelf == number)
        least = int(rest[at].min())
        ways[number] = least if ways[number] < 0 else min(least, ways[number])
        way[at] = ways[number]
    parts: dict[int, Numbers] = {
        Stage.ARRIVING: taken - arrived,
        Stage.HEAD: sent - taken,
        Stage.WAY_THERE: way // 2,
        Stage.AT_SHELF: rest - way,
        Stage.WORK: work,
        Stage.WAY_BACK: way - way // 2,
        Stage.UNDIVIDED: undivided,
    }
    life = ended - arrived
    honoured = numpy.full_like(life, RequestOutcome.SUCCEEDED)
    late = (life > numpy.array(promised)[profile]).astype(numpy.int64)
    window.together(volume, profile, units, honoured, late, parts, life)
    _blame(volume, behind, shelf, parts[Stage.AT_SHELF], Stage.AT_SHELF, window)
    _blame(volume, numpy.full_like(behind, UNKNOWN), shelf, undivided, Stage.UNDIVIDED, window)
    return _shelves(volume[told], units[told], shelf[told], work[told], parts[Stage.AT_SHELF][told], window)


def _blame(
    volume: Numbers, behind: Numbers, shelf: Numbers, wait: Numbers, stage: Stage, window: Window
) -> None:
    some = wait > 0
    if not some.any():
        return
    shelves, shelf_at = numpy.unique(shelf[some], return_inverse=True)
    waiters, waiter_at = numpy.unique(volume[some], return_inverse=True)
    holders, holder_at = numpy.unique(behind[some], return_inverse=True)
    keys, group = numpy.unique(
        (waiter_at * len(holders) + holder_at) * len(shelves) + shelf_at, return_inverse=True
    )
    for key, us in zip(keys.tolist(), sums(group, len(keys), wait[some]), strict=True):
        pair, at = divmod(key, len(shelves))
        waiter, holder = divmod(pair, len(holders))
        window.blamed(int(waiters[waiter]), int(holders[holder]), int(shelves[at]), stage, us)


def _shelves(
    volume: Numbers, units: Numbers, shelf: Numbers, work: Numbers, wait: Numbers, window: Window
) -> dict[int, int]:
    if not len(shelf):
        return {}
    order = numpy.frexp(units)[1].astype(numpy.int64)
    keys, group = numpy.unique((shelf * SPAN + volume) * 64 + order, return_inverse=True)
    counts = numpy.bincount(group).tolist()
    for n, (key, us, of) in enumerate(
        zip(keys.tolist(), sums(group, len(keys), work), sums(group, len(keys), units), strict=True)
    ):
        place, its = divmod(key, 64)
        number, whose = divmod(place, SPAN)
        window.shelf(number).worked(whose, its, counts[n], of, us)
    works = {}
    for number in numpy.unique(shelf).tolist():
        at = shelf == number
        window.shelf(number).wait_us += int(wait[at].sum())
        works[number] = int(work[at].sum()) // max(1, int(units[at].sum()))
    return works
