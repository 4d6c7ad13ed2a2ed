"""From windows of all heads to what made transactions wait: pure, at the time of asking.

A head records what it saw: who held slots and queue, which cause the scheduler named. Here the heads' figures
are added up first, so that a volume that floods through many heads, or a shelf whose slowness no single head
sees enough of, stands out; then blame is put right: the part of waiting at a slow shelf that would not have
been, had it worked as it usually does, is the shelf's and not that of the volumes that were there.
"""

import math
import statistics
from collections import Counter
from dataclasses import dataclass, field

from gorsethread.latency_attribution.stages import HEAD, OTHERS, SHELF, UNKNOWN, WAITS, Stage
from gorsethread.latency_attribution.window import Blamed, Span, Window

SLOW_FROM = 1.5  # times the usual work for the same units from which a shelf is called slow
SHIFT_FROM = 1.2  # from which part of the waiting there is the shelf's
SAMPLES_LEAST = 8  # transactions without which nothing is said of a shelf's pace
FLOODS_FROM = 3.0  # times its usual traffic from which a volume may be said to flood
HOLDS_FROM = 0.2  # part of all waiting that makes a volume worth naming
STALLED_FROM = 0.1  # part of the time asked about, in the mean of the heads
QUIET_BELOW = 0.08  # waiting and slow work, as a part of what was promised for all lives: nothing to name
GAP_LEAST = 0.5  # seconds between a head's spans that count as a gap
RATE_LIKE = (Stage.RATE, Stage.BUDGET)
MOVABLE = (Stage.SLOTS, Stage.AT_SHELF, Stage.LOST_FORWARD, Stage.KEY_TURN, *RATE_LIKE)


@dataclass(frozen=True)
class Known:
    """What the site file says of the numbers in the accounts. usual: units a second, by volume."""

    site: str
    volumes: dict[int, str]
    usual: dict[int, float]
    profiles: list[str]
    promised: list[float]  # seconds

    def volume(self, number: int) -> str:
        return self.volumes.get(number, f"volume {number}")


@dataclass
class ShelfPace:
    """slow: times the usual work for the same units, over the whole period; slots: the same by slot."""

    number: int
    count: int = 0
    slow: float = 1.0
    excess_us: int = 0
    stalled: float = 0.0  # part of the period
    lost: int = 0  # forwards it left unanswered or broke
    wait_us: int = 0
    slots: dict[int, float] = field(default_factory=dict)


@dataclass
class Gap:
    head: int
    start: float
    end: float
    died: bool  # it left no last snapshot


@dataclass
class Findings:
    """blame: put right, over the whole period. floods: times the usual traffic, of volumes to be named."""

    known: Known
    whole: Window
    slots: dict[int, Window]
    slot_seconds: float
    seconds: float
    blame: dict[Blamed, int]
    paces: dict[int, ShelfPace]
    pressure: float
    floods: dict[int, float] = field(default_factory=dict)
    slow: dict[int, float] = field(default_factory=dict)  # shelves to be named, and how slow
    stopped: dict[int, float] = field(default_factory=dict)  # shelves that stood still, part of the time
    gaps: list[Gap] = field(default_factory=list)

    @property
    def quiet(self) -> bool:
        return not (self.floods or self.slow or self.stopped)

    @property
    def waited_us(self) -> int:
        return sum(self.blame.values())

    def holders(self, waiter: int | None = None, shelf: int | None = None) -> Counter[tuple[int, int]]:
        """Microseconds by holder and shelf, of one waiter or all, at one shelf or all."""
        found: Counter[tuple[int, int]] = Counter()
        for b, us in self.blame.items():
            if waiter in (None, b.waiter) and shelf in (None, b.shelf):
                found[b.holder, b.shelf] += us
        return found

    @property
    def unknown(self) -> float:
        """Part of all waiting of which nobody knows who held it."""
        lost = sum(us for b, us in self.blame.items() if b.holder in (UNKNOWN, OTHERS))
        return lost / self.waited_us if self.waited_us else 0.0


def usual_work(slots: dict[int, Window]) -> dict[int, float]:
    """Microseconds a unit, by class of units: the median of the shelves' own good times."""
    seen: dict[int, dict[int, list[float]]] = {}
    for window in slots.values():
        for number, shelf in window.shelves.items():
            for order, (count, units, us) in shelf.classes.items():
                if count >= 2:
                    seen.setdefault(order, {}).setdefault(number, []).append(us / units)
    usual = {}
    for order, shelves in seen.items():
        usual[order] = statistics.median(sorted(each)[(len(each) - 1) // 4] for each in shelves.values())
    return usual


def _excess(window: Window, shelf: int, usual: dict[int, float]) -> tuple[int, int, float]:
    """Transactions, work in microseconds, and what that work would usually have been."""
    count, work, ought = 0, 0, 0.0
    for order, (n, units, us) in window.shelves[shelf].classes.items():
        if order in usual:
            count, work, ought = count + n, work + us, ought + units * usual[order]
    return count, work, ought


def shelf_paces(slots: dict[int, Window], whole: Window, seconds: float) -> dict[int, ShelfPace]:
    usual = usual_work(slots)
    paces = {}
    for number, row in sorted(whole.shelves.items()):
        pace = paces[number] = ShelfPace(number, wait_us=row.wait_us)
        pace.count, work, ought = _excess(whole, number, usual)
        if ought:
            pace.slow = work / ought
            pace.excess_us = max(0, int(work - ought))
        # Where one head waits and others are answered the shelf is not the one that stands still.
        pace.stalled = row.stalled_us / 1e6 / seconds / len({span.head for span in whole.spans})
        pace.lost = sum(row.endings.get(how, 0) for how in ("timed out", "broken", "unreached"))
        pace.slots = _by_slot(slots, number, usual)
    return paces


def _by_slot(slots: dict[int, Window], shelf: int, usual: dict[int, float]) -> dict[int, float]:
    """Its pace in each slot; one with few transactions is taken together with those after it."""
    paces: dict[int, float] = {}
    group: list[int] = []
    count, work, ought = 0, 0, 0.0
    for at, window in slots.items():
        if shelf in window.shelves:
            n, w, o = _excess(window, shelf, usual)
            count, work, ought = count + n, work + w, ought + o
            group.append(at)
        if count >= SAMPLES_LEAST and ought:
            paces.update(dict.fromkeys(group, work / ought))
            group, count, work, ought = [], 0, 0, 0.0
    return paces


def put_right(at: int, window: Window, paces: dict[int, ShelfPace]) -> dict[Blamed, int]:
    """One slot's blame: a slow shelf's part to the shelf; a cut rate to those whose units crowd the shelf."""
    right: Counter[Blamed] = Counter()
    for b, us in window.blame.items():
        if b.stage in MOVABLE and b.shelf in paces and b.holder != SHELF:
            slow = paces[b.shelf].slots.get(at, 1.0)
            if slow >= SHIFT_FROM:
                part = int(us * (1.0 - 1.0 / slow))
                right[b._replace(holder=SHELF)] += part
                us -= part
        if b.holder == HEAD and b.stage in RATE_LIKE and b.shelf in window.shelves:
            units = window.shelves[b.shelf].units
            if whole := sum(units.values()):
                left = us
                for volume, amount in sorted(units.items()):
                    part = us * amount // whole
                    right[b._replace(holder=volume)] += part
                    left -= part
                right[b] += left
                continue
        right[b] += us
    return {b: us for b, us in right.items() if us}


def find_gaps(spans: set[Span], start: float, end: float) -> list[Gap]:
    """Stretches of the period that a head seen in it has no snapshot of."""
    gaps = []
    by_head: dict[int, list[Span]] = {}
    for span in sorted(spans, key=lambda s: (s.head, s.start)):
        by_head.setdefault(span.head, []).append(span)
    for head, its in by_head.items():
        at, died = start, False
        for span in its:
            if span.start - at > GAP_LEAST:
                gaps.append(Gap(head, at, span.start, died))
            at, died = max(at, span.end), not span.last
        if end - at > GAP_LEAST:
            gaps.append(Gap(head, at, end, died))
    return gaps


def find(known: Known, windows: list[Window], slot_seconds: float = 0.0) -> Findings:
    """Adds the windows up by the slot of time in which each began; ValueError where there is none.

    slot_seconds: 0 takes the usual length of a window.
    """
    if not windows:
        raise ValueError("there is no snapshot for that time")
    lengths = sorted(span.end - span.start for window in windows for span in window.spans)
    slot_seconds = slot_seconds or max(0.1, round(lengths[len(lengths) // 2], 1))
    slots: dict[int, Window] = {}
    whole = Window()
    for window in windows:
        start = min(span.start for span in window.spans)
        # Heads' clocks differ a little, so one that is early by less than a quarter belongs to the next.
        slots.setdefault(math.floor(start / slot_seconds + 0.25), Window()).merge(window)
        whole.merge(window)
    slots = dict(sorted(slots.items()))
    begin, end = min(s.start for s in whole.spans), max(s.end for s in whole.spans)
    seconds = max(0.001, end - begin)
    paces = shelf_paces(slots, whole, seconds)
    blame: Counter[Blamed] = Counter()
    for at, window in slots.items():
        blame.update(put_right(at, window, paces))
    by_profile = [(profile, row) for (_, profile), row in whole.rows.items()] + list(whole.rest.items())
    promised_us = sum(row.lives * known.promised[profile] * 1e6 for profile, row in by_profile)
    waits = sum(row.stages[s] for row in whole.all_rows() for s in WAITS if s != Stage.LIMIT)
    excess = sum(p.excess_us for p in paces.values() if p.slow >= SLOW_FROM)
    pressure = (waits + excess) / promised_us if promised_us else 0.0
    found = Findings(
        known,
        whole,
        slots,
        slot_seconds,
        seconds,
        dict(blame),
        paces,
        pressure,
        gaps=find_gaps(whole.spans, begin, end),
    )
    _name(found)
    return found


def _name(found: Findings) -> None:
    for pace in found.paces.values():
        slow = _steadily_slow(pace)
        if slow >= SLOW_FROM:
            found.slow[pace.number] = slow
        silent = sum(
            us
            for b, us in found.blame.items()
            if b.shelf == pace.number
            and b.holder == SHELF
            and b.stage in (Stage.SILENT, Stage.REST, Stage.LOST_FORWARD)
        )
        if pace.stalled >= STALLED_FROM or (pace.lost and silent > 0.3 * found.waited_us):
            found.stopped[pace.number] = pace.stalled
    total = found.waited_us
    if found.pressure < QUIET_BELOW and not any(b.stage == Stage.LIMIT for b in found.blame):
        return
    by_holder: Counter[int] = Counter()
    for b, us in found.blame.items():
        # Where the head holds a volume back for its limit or rate, that is for what the volume asks.
        by_holder[b.waiter if b.holder == HEAD else b.holder] += us
    for volume, units in sorted(found.whole.asked().items()):
        usual = found.known.usual.get(volume, 0.0) * found.seconds
        times = units / usual if usual else 0.0
        if times >= FLOODS_FROM and by_holder[volume] >= HOLDS_FROM * total:
            found.floods[volume] = times


def _steadily_slow(pace: ShelfPace) -> float:
    """How slow it was in the slots in which it was slow; 1 where those were few."""
    slow = sorted(v for v in pace.slots.values() if v >= SLOW_FROM)
    if len(slow) < 2 or len(slow) < 0.2 * len(pace.slots):
        return 1.0
    return statistics.median(slow)
