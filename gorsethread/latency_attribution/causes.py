"""Finds what made requests wait, from the windows of all gateways, when an operator asks. Does no I/O.

A gateway records what it saw: which volumes held slots and queues, and the reason that the scheduler gave for
holding requests. Here the gateways' figures are merged first, so that a volume that floods through many
gateways, or a slow backend of which no single gateway has enough samples, stands out. Then the blame is
corrected: the part of the waiting at a slow backend that its usual speed would have avoided is blamed on the
backend, not on the volumes that were served there.
"""

import math
import statistics
from collections import Counter
from dataclasses import dataclass, field

from gorsethread.latency_attribution.stages import BACKEND, GATEWAY, OTHERS, UNKNOWN, WAITING_STAGES, Stage
from gorsethread.latency_attribution.window import BlameKey, Span, Window

MIN_SLOWDOWN = 1.5  # times the usual service time for the same units; from here a backend is called slow
MIN_SHIFT_SLOWDOWN = 1.2  # the same; from here a backend is blamed for a part of the waiting
MIN_SAMPLES = 8  # requests needed to estimate a backend's slowdown
MIN_FLOOD_RATIO = 3.0  # times its usual traffic; from here a volume may be said to flood
MIN_FLOOD_BLAME = 0.2  # the least share of all waiting blamed on a volume that is said to flood
MIN_STALLED_SHARE = 0.1  # of the period, in the mean of the gateways; from here a backend is called stopped
QUIET_PRESSURE = 0.08  # below this no volume is said to flood, unless a rate limit held requests
MIN_GAP = 0.5  # seconds between two spans of a gateway that count as a gap
RATE_STAGES = (Stage.RATE, Stage.RETRY_BUDGET)
SHIFTABLE_STAGES = (Stage.SLOTS, Stage.BACKEND_QUEUE, Stage.FAILED_ATTEMPT, Stage.KEY_ORDER, *RATE_STAGES)


@dataclass(frozen=True)
class SiteBaseline:
    """What the site file says about the numbers in snapshots. usual: units per second, by volume."""

    site: str
    volumes: dict[int, str]
    usual: dict[int, float]
    request_classes: list[str]
    latency_objectives: list[float]  # seconds

    def volume(self, number: int) -> str:
        return self.volumes.get(number, f"volume {number}")


@dataclass
class BackendSpeed:
    """A backend's slowdown: its service time in proportion to the usual one for the same units.

    slow: over the whole period; time_slots: by time slot. Both are 1 at the usual speed.
    """

    number: int
    count: int = 0
    slow: float = 1.0
    excess_us: int = 0
    stalled: float = 0.0  # share of the period
    lost: int = 0  # attempts that timed out, could not connect or lost their connection
    wait_us: int = 0
    time_slots: dict[int, float] = field(default_factory=dict)


@dataclass
class Gap:
    gateway: int
    start: float
    end: float
    died: bool  # the last snapshot before the gap is not that of a graceful shutdown


@dataclass
class Findings:
    """The causes found for a period.

    merged: the windows of the whole period. time_slots: the windows by number of the time slot. blame:
    microseconds, corrected, over the whole period. pressure: waiting and excess service time in proportion to
    the latency objectives of all requests. floods: times the usual traffic, of the volumes to name.
    """

    baseline: SiteBaseline
    merged: Window
    time_slots: dict[int, Window]
    slot_seconds: float
    seconds: float
    blame: dict[BlameKey, int]
    speeds: dict[int, BackendSpeed]
    pressure: float
    floods: dict[int, float] = field(default_factory=dict)
    slow: dict[int, float] = field(default_factory=dict)  # backends to name, and their slowdown
    stopped: dict[int, float] = field(default_factory=dict)  # backends that stalled, and their share of time
    gaps: list[Gap] = field(default_factory=list)

    @property
    def quiet(self) -> bool:
        return not (self.floods or self.slow or self.stopped)

    @property
    def waited_us(self) -> int:
        return sum(self.blame.values())

    def holders(self, waiter: int | None = None, backend: int | None = None) -> Counter[tuple[int, int]]:
        """Returns microseconds by holder and backend, of one waiter or all, at one backend or all."""
        found: Counter[tuple[int, int]] = Counter()
        for b, us in self.blame.items():
            if waiter in (None, b.waiter) and backend in (None, b.backend):
                found[b.holder, b.backend] += us
        return found

    @property
    def unknown(self) -> float:
        """Returns the share of all waiting whose holder is unknown."""
        lost = sum(us for b, us in self.blame.items() if b.holder in (UNKNOWN, OTHERS))
        return lost / self.waited_us if self.waited_us else 0.0


def usual_work(slots: dict[int, Window]) -> dict[int, float]:
    """Returns the usual microseconds per unit, by size class: the median of the backends' lower quartiles."""
    seen: dict[int, dict[int, list[float]]] = {}
    for window in slots.values():
        for number, backend in window.backends.items():
            for order, (count, units, us) in backend.classes.items():
                if count >= 2:
                    seen.setdefault(order, {}).setdefault(number, []).append(us / units)
    usual = {}
    for order, backends in seen.items():
        usual[order] = statistics.median(sorted(each)[(len(each) - 1) // 4] for each in backends.values())
    return usual


def _excess(window: Window, backend: int, usual: dict[int, float]) -> tuple[int, int, float]:
    """Returns a backend's requests, and its actual and usual service time for them in microseconds."""
    count, work, expected = 0, 0, 0.0
    for order, (n, units, us) in window.backends[backend].classes.items():
        if order in usual:
            count, work, expected = count + n, work + us, expected + units * usual[order]
    return count, work, expected


def backend_speeds(slots: dict[int, Window], merged: Window, seconds: float) -> dict[int, BackendSpeed]:
    usual = usual_work(slots)
    speeds = {}
    for number, row in sorted(merged.backends.items()):
        speed = speeds[number] = BackendSpeed(number, wait_us=row.wait_us)
        speed.count, work, expected = _excess(merged, number, usual)
        if expected:
            speed.slow = work / expected
            speed.excess_us = max(0, int(work - expected))
        # Averaged over the gateways: if others are answered while one waits, the backend is not stalled.
        speed.stalled = row.stalled_us / 1e6 / seconds / len({span.gateway for span in merged.spans})
        speed.lost = sum(row.endings.get(how, 0) for how in ("timed out", "broken", "unreached"))
        speed.time_slots = _slowdown_by_slot(slots, number, usual)
    return speeds


def _slowdown_by_slot(slots: dict[int, Window], backend: int, usual: dict[int, float]) -> dict[int, float]:
    """Returns a backend's slowdown by time slot; slots with few requests are combined with the next ones."""
    speeds: dict[int, float] = {}
    group: list[int] = []
    count, work, expected = 0, 0, 0.0
    for at, window in slots.items():
        if backend in window.backends:
            n, w, o = _excess(window, backend, usual)
            count, work, expected = count + n, work + w, expected + o
            group.append(at)
        if count >= MIN_SAMPLES and expected:
            speeds.update(dict.fromkeys(group, work / expected))
            group, count, work, expected = [], 0, 0, 0.0
    return speeds


def correct_blame(at: int, window: Window, speeds: dict[int, BackendSpeed]) -> dict[BlameKey, int]:
    """Returns the corrected blame of one time slot.

    Blames a slow backend for its part of the waiting and, in place of a gateway's rate or retry budget,
    the volumes served by that backend, in proportion to their units.
    """
    corrected: Counter[BlameKey] = Counter()
    for b, us in window.blame.items():
        if b.stage in SHIFTABLE_STAGES and b.backend in speeds and b.holder != BACKEND:
            slow = speeds[b.backend].time_slots.get(at, 1.0)
            if slow >= MIN_SHIFT_SLOWDOWN:
                part = int(us * (1.0 - 1.0 / slow))
                corrected[b._replace(holder=BACKEND)] += part
                us -= part
        if b.holder == GATEWAY and b.stage in RATE_STAGES and b.backend in window.backends:
            units = window.backends[b.backend].units
            if all_units := sum(units.values()):
                left = us
                for volume, amount in sorted(units.items()):
                    part = us * amount // all_units
                    corrected[b._replace(holder=volume)] += part
                    left -= part
                corrected[b] += left
                continue
        corrected[b] += us
    return {b: us for b, us in corrected.items() if us}


def find_gaps(spans: set[Span], start: float, end: float) -> list[Gap]:
    """Returns the parts of the period without a snapshot, of each gateway that has one in the period."""
    gaps = []
    by_gateway: dict[int, list[Span]] = {}
    for span in sorted(spans, key=lambda s: (s.gateway, s.start)):
        by_gateway.setdefault(span.gateway, []).append(span)
    for gateway, gateway_spans in by_gateway.items():
        at, died = start, False
        for span in gateway_spans:
            if span.start - at > MIN_GAP:
                gaps.append(Gap(gateway, at, span.start, died))
            at, died = max(at, span.end), not span.last
        if end - at > MIN_GAP:
            gaps.append(Gap(gateway, at, end, died))
    return gaps


def find(baseline: SiteBaseline, windows: list[Window], slot_seconds: float = 0.0) -> Findings:
    """Merges the windows by the time slot in which each began, and names the causes of waiting.

    slot_seconds: 0 stands for the median length of the windows. Raises ValueError if there are no windows.
    """
    if not windows:
        raise ValueError("there is no snapshot for that time")
    lengths = sorted(span.end - span.start for window in windows for span in window.spans)
    slot_seconds = slot_seconds or max(0.1, round(lengths[len(lengths) // 2], 1))
    slots: dict[int, Window] = {}
    merged = Window()
    for window in windows:
        start = min(span.start for span in window.spans)
        # Clocks differ a little: a window that begins in the last quarter of a slot belongs to the next one.
        slots.setdefault(math.floor(start / slot_seconds + 0.25), Window()).merge(window)
        merged.merge(window)
    slots = dict(sorted(slots.items()))
    begin, end = min(s.start for s in merged.spans), max(s.end for s in merged.spans)
    seconds = max(0.001, end - begin)
    speeds = backend_speeds(slots, merged, seconds)
    blame: Counter[BlameKey] = Counter()
    for at, window in slots.items():
        blame.update(correct_blame(at, window, speeds))
    by_request_class = [(request_class, row) for (_, request_class), row in merged.rows.items()] + list(
        merged.rest.items()
    )
    objectives_us = sum(
        row.requests * baseline.latency_objectives[request_class] * 1e6
        for request_class, row in by_request_class
    )
    waits = sum(row.stages[s] for row in merged.all_rows() for s in WAITING_STAGES if s != Stage.RATE_LIMIT)
    excess = sum(p.excess_us for p in speeds.values() if p.slow >= MIN_SLOWDOWN)
    pressure = (waits + excess) / objectives_us if objectives_us else 0.0
    found = Findings(
        baseline,
        merged,
        slots,
        slot_seconds,
        seconds,
        dict(blame),
        speeds,
        pressure,
        gaps=find_gaps(merged.spans, begin, end),
    )
    _name_causes(found)
    return found


def _name_causes(found: Findings) -> None:
    for speed in found.speeds.values():
        slow = _steady_slowdown(speed)
        if slow >= MIN_SLOWDOWN:
            found.slow[speed.number] = slow
        silent = sum(
            us
            for b, us in found.blame.items()
            if b.backend == speed.number
            and b.holder == BACKEND
            and b.stage in (Stage.SILENT, Stage.COOL_DOWN, Stage.FAILED_ATTEMPT)
        )
        if speed.stalled >= MIN_STALLED_SHARE or (speed.lost and silent > 0.3 * found.waited_us):
            found.stopped[speed.number] = speed.stalled
    total = found.waited_us
    if found.pressure < QUIET_PRESSURE and not any(b.stage == Stage.RATE_LIMIT for b in found.blame):
        return
    by_holder: Counter[int] = Counter()
    for b, us in found.blame.items():
        # If the gateway holds a volume for a limit or rate, the volume's own requests are the cause.
        by_holder[b.waiter if b.holder == GATEWAY else b.holder] += us
    for volume, units in sorted(found.merged.requested_units().items()):
        usual = found.baseline.usual.get(volume, 0.0) * found.seconds
        times = units / usual if usual else 0.0
        if times >= MIN_FLOOD_RATIO and by_holder[volume] >= MIN_FLOOD_BLAME * total:
            found.floods[volume] = times


def _steady_slowdown(speed: BackendSpeed) -> float:
    """Returns the median slowdown of the slots in which the backend was slow, or 1 if these are few."""
    slow = sorted(v for v in speed.time_slots.values() if v >= MIN_SLOWDOWN)
    if len(slow) < 2 or len(slow) < 0.2 * len(speed.time_slots):
        return 1.0
    return statistics.median(slow)
