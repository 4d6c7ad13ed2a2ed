"""Answers to an operator's questions: a sentence first, how sure it is, then the figures it rests on."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from gorsethread.latency_attribution.causes import QUIET_BELOW, SHIFT_FROM, SLOW_FROM, Findings, Known
from gorsethread.latency_attribution.sketch import ERROR, SURE, Sketch
from gorsethread.latency_attribution.stages import (
    HEAD,
    HOLDER_WORDS,
    OTHERS,
    SHELF,
    STAGES,
    UNKNOWN,
    WAITS,
    WORDS,
    Stage,
    bucket_value,
)
from gorsethread.latency_attribution.window import BUCKETS, Row

LONGEST_US = 3_600_000_000
FEW = 30  # transactions under which an answer is called a guess
NAMED = 0.15  # part of a volume's waiting from which a holder is named in the sentence


@dataclass
class Table:
    title: str
    columns: tuple[str, ...]
    rows: Sequence[tuple[str, ...]]


@dataclass
class Answer:
    """sure: in words, with the reason. notes: what the figures do not hold."""

    sentence: str
    sure: str
    notes: list[str] = field(default_factory=list)
    tables: list[Table] = field(default_factory=list)


def ms(us: float) -> str:
    return f"{us / 1000:.1f} ms" if us < 1e6 else f"{us / 1e6:.2f} s"


def part(value: float, of: float) -> str:
    return f"{100 * value / of:.0f}%" if of else "-"


def quantile(row: Row, stage: int, q: float) -> float:
    """Microseconds at quantile q of the lives that had any time in the stage (STAGES: of whole lives)."""
    histogram = HdrHistogram(1, LONGEST_US, 2)
    for place, count in row.buckets.items():
        if place // BUCKETS == stage:
            histogram.record_value(min(LONGEST_US, max(1, bucket_value(place % BUCKETS))), count)
    return float(histogram.get_value_at_percentile(100 * q)) if histogram.get_total_count() else 0.0


def volume_row(found: Findings, volume: int) -> Row:
    """All of a volume's profiles together."""
    whole = Row()
    for (number, _), row in sorted(found.whole.rows.items()):
        if number == volume:
            whole.merge(row)
    return whole


def top(found: Findings) -> Answer:
    """What made transactions wait in all, or that nothing did."""
    lives = sum(row.lives for row in found.whole.all_rows())
    causes = _causes(found)
    if causes:
        sentence = f"What made transactions wait: {'; '.join(causes)}."
    elif found.pressure < QUIET_BELOW:
        sentence = (
            "Nothing stands out: of the time promised, "
            f"{part(found.pressure, 1.0)} went on waiting; no volume or shelf is to blame for it."
        )
    else:
        sentence = (
            f"Transactions waited ({part(found.pressure, 1.0)} of the time promised), but no volume is far "
            f"over its usual traffic and no shelf slower than its past and its peers{_most(found)}."
        )
    answer = Answer(sentence, _sure(found, lives, found.unknown), _notes(found))
    answer.tables = [_volumes(found), _holders(found, None), _shelves(found)]
    return answer


def _causes(found: Findings) -> list[str]:
    said = []
    total = found.waited_us
    own = Counter({volume: 0 for volume in found.floods})
    others = own.copy()
    for b, us in found.blame.items():
        if b.waiter in own:
            own[b.waiter] += us
        elif b.holder in others:
            others[b.holder] += us
    for volume, times in sorted(found.floods.items(), key=lambda f: -own[f[0]] - others[f[0]]):
        said.append(
            f"volume {found.known.volume(volume)} asked for {times:.1f} times its usual "
            f"({part(own[volume], total)} of all waiting was its own, {part(others[volume], total)} "
            "was others' behind it)"
        )
    for shelf, slow in sorted(found.slow.items(), key=lambda s: -s[1]):
        said.append(
            f"shelf {shelf} took {slow:.1f} times as long for the same work as it usually does "
            "and as its peers do"
        )
    for shelf, stalled in sorted(found.stopped.items()):
        if shelf not in found.slow or stalled > 0.3:
            said.append(f"shelf {shelf} stood still or did not answer " f"({part(stalled, 1.0)} of the time)")
    return said


def why(found: Findings, volume: int) -> Answer:
    """Why one volume's transactions took as long as they did."""
    row, name = volume_row(found, volume), found.known.volume(volume)
    if not row.lives:
        places = Sketch.places(volume)
        most, waited = found.whole.lives.estimate(places), found.whole.waited.estimate(places)
        if not most:
            return Answer(f"Volume {name} had no transaction in that time.", "sure", _notes(found))
        return Answer(
            f"Volume {name} is among the light ones: at most {most} transactions, which waited at most "
            f"{ms(waited)} in all.",
            f"estimates are never too low, and too high by at most {ERROR:.2%} "
            f"of the rest's total in {SURE:.0%} of cases",
            _notes(found),
        )
    waited = row.waited_us
    holders = found.holders(volume)
    blamed = sum(holders.values())
    parts = [
        _held_by(found, volume, holder, shelf, us / blamed)
        for (holder, shelf), us in holders.most_common(3)
        if blamed and us / blamed >= NAMED
    ]
    sentence = (
        f"Volume {name}'s {row.lives} transactions spent {part(waited, row.life_us)} of their time "
        f"waiting"
    )
    if waited < 0.1 * row.life_us or waited / row.lives < 2000:
        sentence += ": nothing held it up."
    elif parts:
        sentence += f": {'; '.join(parts)}."
    else:
        sentence += ", behind many, none of them much."
    unknown = sum(us for (holder, _), us in holders.items() if holder in (UNKNOWN, OTHERS)) / max(1, blamed)
    answer = Answer(sentence, _sure(found, row.lives, unknown), _notes(found))
    if row.partly:
        answer.notes.append("some of this volume's transactions are counted among the rest, not here")
    answer.tables = [_stages(row), _holders(found, volume), _shelves(found)]
    return answer


def _held_by(found: Findings, volume: int, holder: int, shelf: int, share: float) -> str:
    at = f" on shelf {shelf}" if shelf >= 0 else ""
    its = "" if shelf not in found.paces else f" ({_pace_words(found, shelf)})"
    if holder == volume:
        return f"{share:.0%} behind itself{at}{its}"
    if holder == SHELF:
        return f"{share:.0%} by shelf {shelf} itself{its}" if shelf >= 0 else f"{share:.0%} by shelves"
    if holder == HEAD:
        stages: Counter[int] = Counter()
        for b, us in found.blame.items():
            if (b.waiter, b.holder, b.shelf) == (volume, holder, shelf):
                stages[b.stage] += us
        return f"{share:.0%} by the head's decision ({WORDS[Stage(stages.most_common(1)[0][0])]}){at}"
    if holder < 0:
        return f"{share:.0%} by what is called {HOLDER_WORDS[holder]}{at}"
    return f"{share:.0%} behind {found.known.volume(holder)}{at}{its}"


def _pace_words(found: Findings, shelf: int) -> str:
    pace = found.paces[shelf]
    if shelf in found.stopped:
        return f"it stood still or did not answer {part(pace.stalled, 1.0)} of the time"
    slow = found.slow.get(shelf, pace.slow)
    if slow >= SLOW_FROM:
        return f"it took {slow:.1f} times as long as its peers for the same work"
    return "it is a little slower than its peers" if slow >= SHIFT_FROM else "it is as quick as its peers"


def shelf(found: Findings, number: int) -> Answer:
    """How one shelf stands beside its own past and its peers, and who waited there for whom."""
    pace = found.paces.get(number)
    if pace is None:
        return Answer(f"Shelf {number} answered nothing in that time.", "sure", _notes(found))
    holders = found.holders(shelf=number)
    total = sum(holders.values())
    sentence = f"Shelf {number}: {_pace_words(found, number)}"
    if total:
        (holder, _), us = holders.most_common(1)[0]
        who = found.known.volume(holder) if holder > 0 else HOLDER_WORDS[holder]
        sentence += f"; {ms(total)} was waited for it in all, {part(us, total)} of that because of {who}"
    answer = Answer(sentence + ".", _sure(found, pace.count, found.unknown), _notes(found))
    waiters: Counter[tuple[int, int]] = Counter()
    for b, us in found.blame.items():
        if b.shelf == number:
            waiters[b.waiter, b.holder] += us
    answer.tables = [_shelves(found), _pairs(found, waiters, f"Who waited for whom on shelf {number}")]
    return answer


def diff(before: Findings, after: Findings) -> Answer:
    """What changed between two times."""
    all_before, all_after = _all(before), _all(after)
    life_a, life_b = (row.life_us / max(1, row.lives) for row in (all_before, all_after))
    new = [
        cause
        for cause in _causes(after)
        if cause.split(" asked")[0].split(" took")[0] not in " ".join(_causes(before))
    ]
    moved = (
        f"A transaction took {ms(life_b)} on average, {life_b / max(1.0, life_a):.2f} times as long "
        "as before"
    )
    if new:
        sentence = f"{moved}; new is: {'; '.join(new)}."
    elif life_b > 1.2 * life_a:
        sentence = f"{moved}; no new cause stands out."
    else:
        sentence = f"{moved}; nothing new stands out."
    lives = min(all_before.lives, all_after.lives)
    answer = Answer(
        sentence, _sure(after, lives, max(before.unknown, after.unknown)), [*_notes(before), *_notes(after)]
    )
    rows: list[tuple[str, ...]] = []
    for stage in Stage:
        a, b = (row.stages[stage] / max(1, row.lives) for row in (all_before, all_after))
        if a or b:
            rows.append((WORDS[stage], ms(a), ms(b), f"{(b - a) / 1000:+.1f} ms"))
    answer.tables = [Table("Mean of a transaction, by stage", ("stage", "before", "after", "change"), rows)]
    return answer


# ---- pieces


def _all(found: Findings) -> Row:
    whole = Row()
    for row in found.whole.all_rows():
        whole.merge(row)
    return whole


def _most(found: Findings) -> str:
    holders = found.holders()
    if not holders:
        return ""
    (holder, shelf_number), us = holders.most_common(1)[0]
    who = found.known.volume(holder) if holder > 0 else HOLDER_WORDS[holder]
    at = f" on shelf {shelf_number}" if shelf_number >= 0 else ""
    return f"; most, {part(us, found.waited_us)}, was held by {who}{at}"


def _sure(found: Findings, lives: int, unknown: float) -> str:
    if lives < FEW:
        return f"a guess: it rests on {lives} transactions"
    if unknown > 0.3:
        return f"a guess: of {part(unknown, 1.0)} of the waiting nobody knows who held it"
    if unknown > 0.1 or found.gaps:
        reason = (
            f"of {part(unknown, 1.0)} of the waiting nobody knows who held it"
            if unknown > 0.1
            else ("some heads' figures are missing for a part of the time")
        )
        return f"likely: {reason}"
    return f"sure: it rests on {lives} transactions, {part(unknown, 1.0)} of the waiting is unknown"


def _notes(found: Findings) -> list[str]:
    notes = [
        f"head {g.head} has no figures for {g.end - g.start:.1f} s from second {g.start - _begin(found):.1f}"
        + (" (it ended without a last snapshot)" if g.died else "")
        for g in found.gaps
    ]
    if found.whole.remainders:
        notes.append(f"DEFECT: the stages of {found.whole.remainders} transactions do not sum to their lives")
    if found.whole.disorders:
        notes.append(f"{found.whole.disorders} events came out of order and were taken as in it")
    return notes


def _begin(found: Findings) -> float:
    return min(s.start for s in found.whole.spans)


def _volumes(found: Findings) -> Table:
    by_volume: dict[int, Row] = {}
    for (volume, _), row in found.whole.rows.items():
        by_volume.setdefault(volume, Row()).merge(row)
    held: Counter[int] = Counter()
    for b, us in found.blame.items():
        if b.waiter != b.holder:
            held[b.holder] += us
    rows, all_asked = [], found.whole.asked()
    for volume, row in sorted(by_volume.items(), key=lambda v: (-v[1].waited_us, v[0]))[:20]:
        usual = found.known.usual.get(volume, 0.0) * found.seconds
        asked = all_asked.get(volume, 0)
        rows.append(
            (
                found.known.volume(volume),
                str(row.lives),
                part(row.late, row.lives),
                ms(quantile(row, STAGES, 0.5)),
                ms(quantile(row, STAGES, 0.99)),
                ms(row.waited_us),
                ms(held[volume]),
                f"{asked / usual:.1f}" if usual else "-",
            )
        )
    rest = Row()
    for row in found.whole.rest.values():
        rest.merge(row)
    if rest.lives:
        rows.append(
            (
                "all others",
                str(rest.lives),
                part(rest.late, rest.lives),
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


def _stages(row: Row) -> Table:
    rows = [
        (
            WORDS[stage],
            ms(row.stages[stage] / row.lives),
            part(row.stages[stage], row.life_us),
            ms(quantile(row, stage, 0.99)),
            "waiting" if stage in WAITS else "",
        )
        for stage in Stage
        if row.stages[stage]
    ]
    rows.append(("the whole life", ms(row.life_us / row.lives), "100%", ms(quantile(row, STAGES, 0.99)), ""))
    columns = ("stage", "mean", "part", "99th percentile of those with any", "")
    return Table("Where its time went", columns, rows)


def _holders(found: Findings, waiter: int | None) -> Table:
    pairs: Counter[tuple[int, int, int]] = Counter()
    for b, us in found.blame.items():
        if waiter in (None, b.waiter):
            pairs[b.waiter, b.holder, b.shelf] += us
    total = sum(pairs.values())
    rows = [
        (_who(found.known, w), _who(found.known, h), str(s) if s >= 0 else "-", ms(us), part(us, total))
        for (w, h, s), us in sorted(pairs.items(), key=lambda p: (-p[1], p[0]))[:20]
    ]
    return Table("Who waited behind whom", ("waited", "behind", "shelf", "time", "part"), rows)


def _pairs(found: Findings, pairs: Counter[tuple[int, int]], title: str) -> Table:
    total = sum(pairs.values())
    rows = [
        (_who(found.known, w), _who(found.known, h), ms(us), part(us, total))
        for (w, h), us in sorted(pairs.items(), key=lambda p: (-p[1], p[0]))[:20]
    ]
    return Table(title, ("waited", "behind", "time", "part"), rows)


def _who(known: Known, number: int) -> str:
    return known.volume(number) if number > 0 else HOLDER_WORDS[number]


def _shelves(found: Findings) -> Table:
    rows = [
        (
            str(p.number),
            str(p.count),
            f"{p.slow:.2f}",
            f"{max(p.slots.values(), default=1.0):.2f}",
            part(p.stalled, 1.0),
            str(p.lost),
            ms(p.wait_us),
        )
        for p in found.paces.values()
    ]
    return Table(
        "Shelves beside their peers",
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
