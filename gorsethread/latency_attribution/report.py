"""Answers an operator's questions: a sentence, how certain it is, and tables of the figures behind it."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from gorsethread.latency_attribution.causes import (
    MIN_SHIFT_SLOWDOWN,
    MIN_SLOWDOWN,
    QUIET_PRESSURE,
    Findings,
    SiteBaseline,
)
from gorsethread.latency_attribution.sketch import CONFIDENCE, ERROR, Sketch
from gorsethread.latency_attribution.stages import (
    BACKEND,
    GATEWAY,
    HOLDER_LABELS,
    OTHERS,
    STAGE_LABELS,
    STAGES,
    UNKNOWN,
    WAITING_STAGES,
    Stage,
    bucket_value,
)
from gorsethread.latency_attribution.window import BUCKETS, Row

MAX_DURATION_US = 3_600_000_000
FEW_REQUESTS = 30  # below this many requests an answer is called a guess
MIN_NAMED_SHARE = 0.15  # of a volume's waiting; from here a holder is named in the sentence


@dataclass
class Table:
    title: str
    columns: tuple[str, ...]
    rows: Sequence[tuple[str, ...]]


@dataclass
class Answer:
    """An answer. confidence: in words, with the reason. notes: what is missing or wrong in the figures."""

    sentence: str
    confidence: str
    notes: list[str] = field(default_factory=list)
    tables: list[Table] = field(default_factory=list)


def ms(us: float) -> str:
    return f"{us / 1000:.1f} ms" if us < 1e6 else f"{us / 1e6:.2f} s"


def percent(value: float, of: float) -> str:
    return f"{100 * value / of:.0f}%" if of else "-"


def quantile(row: Row, stage: int, q: float) -> float:
    """Returns quantile q of the time in a stage, in microseconds, over the requests that have any.

    stage: STAGES stands for the requests' whole duration.
    """
    histogram = HdrHistogram(1, MAX_DURATION_US, 2)
    for place, count in row.buckets.items():
        if place // BUCKETS == stage:
            histogram.record_value(min(MAX_DURATION_US, max(1, bucket_value(place % BUCKETS))), count)
    return float(histogram.get_value_at_percentile(100 * q)) if histogram.get_total_count() else 0.0


def volume_row(found: Findings, volume: int) -> Row:
    """Returns a volume's figures of all request classes."""
    merged = Row()
    for (number, _), row in sorted(found.merged.rows.items()):
        if number == volume:
            merged.merge(row)
    return merged


def top(found: Findings) -> Answer:
    """Says what made requests wait, or that nothing did."""
    requests = sum(row.requests for row in found.merged.all_rows())
    causes = _causes(found)
    if causes:
        sentence = f"What made requests wait: {'; '.join(causes)}."
    elif found.pressure < QUIET_PRESSURE:
        sentence = (
            f"Nothing stands out: waiting took {percent(found.pressure, 1.0)} of the time that the latency "
            "objectives allow; no volume or backend is to blame for it."
        )
    else:
        sentence = (
            f"Requests waited ({percent(found.pressure, 1.0)} of the time that the latency objectives "
            "allow), but no volume is far above its usual traffic and no backend is slower than usual or "
            f"than the other backends{_largest_holder(found)}."
        )
    answer = Answer(sentence, _confidence(found, requests, found.unknown), _notes(found))
    answer.tables = [_volume_table(found), _holder_table(found, None), _backend_table(found)]
    return answer


def _causes(found: Findings) -> list[str]:
    causes = []
    total = found.waited_us
    own = Counter({volume: 0 for volume in found.floods})
    others = own.copy()
    for b, us in found.blame.items():
        if b.waiter in own:
            own[b.waiter] += us
        elif b.holder in others:
            others[b.holder] += us
    for volume, times in sorted(found.floods.items(), key=lambda f: -own[f[0]] - others[f[0]]):
        causes.append(
            f"volume {found.baseline.volume(volume)} asked for {times:.1f} times its usual traffic "
            f"({percent(own[volume], total)} of all waiting was its own, {percent(others[volume], total)} "
            "was that of other volumes behind it)"
        )
    for backend, slow in sorted(found.slow.items(), key=lambda s: -s[1]):
        causes.append(
            f"backend {backend} took {slow:.1f} times as long for the same work as it usually does "
            "and as the other backends do"
        )
    for backend, stalled in sorted(found.stopped.items()):
        if backend not in found.slow or stalled > 0.3:
            causes.append(
                f"backend {backend} stalled or did not answer ({percent(stalled, 1.0)} of the time)"
            )
    return causes


def why(found: Findings, volume: int) -> Answer:
    """Says why one volume's requests took as long as they did."""
    row, name = volume_row(found, volume), found.baseline.volume(volume)
    if not row.requests:
        places = Sketch.cells_of(volume)
        at_most, waited = (
            found.merged.rest_requests.estimate(places),
            found.merged.rest_waits.estimate(places),
        )
        if not at_most:
            return Answer(f"Volume {name} had no requests in that time.", "sure", _notes(found))
        return Answer(
            f"Volume {name} has little traffic and is only estimated: at most {at_most} requests, which "
            f"waited at most {ms(waited)} in all.",
            f"estimates are never too low, and too high by at most {ERROR:.2%} "
            f"of the total of all such volumes in {CONFIDENCE:.0%} of cases",
            _notes(found),
        )
    waited = row.waited_us
    holders = found.holders(volume)
    blamed = sum(holders.values())
    parts = [
        _blame_text(found, volume, holder, backend, us / blamed)
        for (holder, backend), us in holders.most_common(3)
        if blamed and us / blamed >= MIN_NAMED_SHARE
    ]
    sentence = (
        f"Volume {name}'s {row.requests} requests spent {percent(waited, row.duration_us)} of their time "
        "waiting"
    )
    if waited < 0.1 * row.duration_us or waited / row.requests < 2000:
        sentence += ": nothing delayed it much."
    elif parts:
        sentence += f": {'; '.join(parts)}."
    else:
        sentence += ", behind many holders, none of which stands out."
    unknown = sum(us for (holder, _), us in holders.items() if holder in (UNKNOWN, OTHERS)) / max(1, blamed)
    answer = Answer(sentence, _confidence(found, row.requests, unknown), _notes(found))
    if row.partial:
        answer.notes.append("some of this volume's requests are counted under 'all others', not here")
    answer.tables = [_stage_table(row), _holder_table(found, volume), _backend_table(found)]
    return answer


def _blame_text(found: Findings, volume: int, holder: int, backend: int, share: float) -> str:
    at = f" on backend {backend}" if backend >= 0 else ""
    speed = "" if backend not in found.speeds else f" ({_speed_text(found, backend)})"
    if holder == volume:
        return f"{share:.0%} behind itself{at}{speed}"
    if holder == BACKEND:
        return (
            f"{share:.0%} by backend {backend} itself{speed}" if backend >= 0 else f"{share:.0%} by backends"
        )
    if holder == GATEWAY:
        stages: Counter[int] = Counter()
        for b, us in found.blame.items():
            if (b.waiter, b.holder, b.backend) == (volume, holder, backend):
                stages[b.stage] += us
        return (
            f"{share:.0%} by the gateway's decision ({STAGE_LABELS[Stage(stages.most_common(1)[0][0])]}){at}"
        )
    if holder < 0:
        return f"{share:.0%} behind: {HOLDER_LABELS[holder]}{at}"
    return f"{share:.0%} behind {found.baseline.volume(holder)}{at}{speed}"


def _speed_text(found: Findings, backend: int) -> str:
    speed = found.speeds[backend]
    if backend in found.stopped:
        return f"it stalled or did not answer {percent(speed.stalled, 1.0)} of the time"
    slow = found.slow.get(backend, speed.slow)
    if slow >= MIN_SLOWDOWN:
        return f"it took {slow:.1f} times as long as the other backends for the same work"
    return (
        "it is a little slower than the other backends"
        if slow >= MIN_SHIFT_SLOWDOWN
        else "it is as fast as the other backends"
    )


def backend(found: Findings, number: int) -> Answer:
    """Compares one backend with the other ones, and says who waited there for whom."""
    speed = found.speeds.get(number)
    if speed is None:
        return Answer(f"Backend {number} answered nothing in that time.", "sure", _notes(found))
    holders = found.holders(backend=number)
    total = sum(holders.values())
    sentence = f"Backend {number}: {_speed_text(found, number)}"
    if total:
        (holder, _), us = holders.most_common(1)[0]
        who = found.baseline.volume(holder) if holder > 0 else HOLDER_LABELS[holder]
        sentence += f"; requests waited {ms(total)} for it in all, {percent(us, total)} of that behind: {who}"
    answer = Answer(sentence + ".", _confidence(found, speed.count, found.unknown), _notes(found))
    waiters: Counter[tuple[int, int]] = Counter()
    for b, us in found.blame.items():
        if b.backend == number:
            waiters[b.waiter, b.holder] += us
    answer.tables = [
        _backend_table(found),
        _pair_table(found, waiters, f"Who waited for whom on backend {number}"),
    ]
    return answer


def diff(before: Findings, after: Findings) -> Answer:
    """Says what changed between two periods."""
    all_before, all_after = _merged_row(before), _merged_row(after)
    mean_before, mean_after = (row.duration_us / max(1, row.requests) for row in (all_before, all_after))
    new = [
        cause
        for cause in _causes(after)
        if cause.split(" asked")[0].split(" took")[0] not in " ".join(_causes(before))
    ]
    moved = (
        f"A request took {ms(mean_after)} on average, {mean_after / max(1.0, mean_before):.2f} times as long "
        "as before"
    )
    if new:
        sentence = f"{moved}; new is: {'; '.join(new)}."
    elif mean_after > 1.2 * mean_before:
        sentence = f"{moved}; no new cause stands out."
    else:
        sentence = f"{moved}; nothing new stands out."
    requests = min(all_before.requests, all_after.requests)
    answer = Answer(
        sentence,
        _confidence(after, requests, max(before.unknown, after.unknown)),
        [*_notes(before), *_notes(after)],
    )
    rows: list[tuple[str, ...]] = []
    for stage in Stage:
        a, b = (row.stages[stage] / max(1, row.requests) for row in (all_before, all_after))
        if a or b:
            rows.append((STAGE_LABELS[stage], ms(a), ms(b), f"{(b - a) / 1000:+.1f} ms"))
    answer.tables = [Table("Mean time of a request by stage", ("stage", "before", "after", "change"), rows)]
    return answer


# ---- parts of answers


def _merged_row(found: Findings) -> Row:
    merged = Row()
    for row in found.merged.all_rows():
        merged.merge(row)
    return merged


def _largest_holder(found: Findings) -> str:
    holders = found.holders()
    if not holders:
        return ""
    (holder, backend_number), us = holders.most_common(1)[0]
    who = found.baseline.volume(holder) if holder > 0 else HOLDER_LABELS[holder]
    at = f" on backend {backend_number}" if backend_number >= 0 else ""
    return f"; the largest part, {percent(us, found.waited_us)}, was behind: {who}{at}"


def _confidence(found: Findings, requests: int, unknown: float) -> str:
    if requests < FEW_REQUESTS:
        return f"a guess: it is based on {requests} requests"
    if unknown > 0.3:
        return f"a guess: the cause of {percent(unknown, 1.0)} of the waiting is unknown"
    if unknown > 0.1 or found.gaps:
        reason = (
            f"the cause of {percent(unknown, 1.0)} of the waiting is unknown"
            if unknown > 0.1
            else "some gateways' figures are missing for a part of the time"
        )
        return f"likely: {reason}"
    return (
        f"sure: it is based on {requests} requests; the cause of {percent(unknown, 1.0)} of the waiting "
        "is unknown"
    )


def _notes(found: Findings) -> list[str]:
    notes = [
        f"gateway {gap.gateway} has no figures for {gap.end - gap.start:.1f} s "
        f"from second {gap.start - _period_start(found):.1f}"
        + (" (it ended without a last snapshot)" if gap.died else "")
        for gap in found.gaps
    ]
    if found.merged.remainders:
        notes.append(
            f"DEFECT: the stages of {found.merged.remainders} requests do not sum to their durations"
        )
    if found.merged.disorders:
        notes.append(
            f"{found.merged.disorders} events arrived out of order; each got the time of the event before it"
        )
    return notes


def _period_start(found: Findings) -> float:
    return min(s.start for s in found.merged.spans)


def _volume_table(found: Findings) -> Table:
    by_volume: dict[int, Row] = {}
    for (volume, _), row in found.merged.rows.items():
        by_volume.setdefault(volume, Row()).merge(row)
    held: Counter[int] = Counter()
    for b, us in found.blame.items():
        if b.waiter != b.holder:
            held[b.holder] += us
    rows, all_asked = [], found.merged.requested_units()
    for volume, row in sorted(by_volume.items(), key=lambda v: (-v[1].waited_us, v[0]))[:20]:
        usual = found.baseline.usual.get(volume, 0.0) * found.seconds
        asked = all_asked.get(volume, 0)
        rows.append(
            (
                found.baseline.volume(volume),
                str(row.requests),
                percent(row.late, row.requests),
                ms(quantile(row, STAGES, 0.5)),
                ms(quantile(row, STAGES, 0.99)),
                ms(row.waited_us),
                ms(held[volume]),
                f"{asked / usual:.1f}" if usual else "-",
            )
        )
    rest = Row()
    for row in found.merged.rest.values():
        rest.merge(row)
    if rest.requests:
        rows.append(
            (
                "all others",
                str(rest.requests),
                percent(rest.late, rest.requests),
                ms(quantile(rest, STAGES, 0.5)),
                ms(quantile(rest, STAGES, 0.99)),
                ms(rest.waited_us),
                "-",
                "-",
            )
        )
    columns = (
        "volume",
        "transactions",
        "late",
        "median",
        "99th percentile",
        "waited in all",
        "held others up",
        "times its usual",
    )
    return Table("Volumes that waited most", columns, rows)


def _stage_table(row: Row) -> Table:
    rows = [
        (
            STAGE_LABELS[stage],
            ms(row.stages[stage] / row.requests),
            percent(row.stages[stage], row.duration_us),
            ms(quantile(row, stage, 0.99)),
            "waiting" if stage in WAITING_STAGES else "",
        )
        for stage in Stage
        if row.stages[stage]
    ]
    rows.append(
        ("the whole request", ms(row.duration_us / row.requests), "100%", ms(quantile(row, STAGES, 0.99)), "")
    )
    columns = ("stage", "mean", "part", "99th percentile of those with any", "")
    return Table("Where its time went", columns, rows)


def _holder_table(found: Findings, waiter: int | None) -> Table:
    pairs: Counter[tuple[int, int, int]] = Counter()
    for b, us in found.blame.items():
        if waiter in (None, b.waiter):
            pairs[b.waiter, b.holder, b.backend] += us
    total = sum(pairs.values())
    rows = [
        (
            _holder_name(found.baseline, w),
            _holder_name(found.baseline, h),
            str(s) if s >= 0 else "-",
            ms(us),
            percent(us, total),
        )
        for (w, h, s), us in sorted(pairs.items(), key=lambda p: (-p[1], p[0]))[:20]
    ]
    return Table("Who waited behind whom", ("waited", "behind", "shelf", "time", "part"), rows)


def _pair_table(found: Findings, pairs: Counter[tuple[int, int]], title: str) -> Table:
    total = sum(pairs.values())
    rows = [
        (_holder_name(found.baseline, w), _holder_name(found.baseline, h), ms(us), percent(us, total))
        for (w, h), us in sorted(pairs.items(), key=lambda p: (-p[1], p[0]))[:20]
    ]
    return Table(title, ("waited", "behind", "time", "part"), rows)


def _holder_name(baseline: SiteBaseline, number: int) -> str:
    return baseline.volume(number) if number > 0 else HOLDER_LABELS[number]


def _backend_table(found: Findings) -> Table:
    rows = [
        (
            str(p.number),
            str(p.count),
            f"{p.slow:.2f}",
            f"{max(p.time_slots.values(), default=1.0):.2f}",
            percent(p.stalled, 1.0),
            str(p.lost),
            ms(p.wait_us),
        )
        for p in found.speeds.values()
    ]
    return Table(
        "Backends compared",
        (
            "shelf",
            "honoured",
            "work, times usual",
            "worst slot",
            "stood still",
            "lost forwards",
            "waited in its queue",
        ),
        rows,
    )
