"""What is known of one stretch of time, in bounded memory; windows of any heads and times add up.

All figures are whole microseconds and counts, so merging is associative and commutative to the last unit.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from gorsethread.accounts.sketch import Sketch
from gorsethread.accounts.stages import OTHERS, STAGES, UNKNOWN, WAITS, Outcome, bucket_of

ROWS_MOST = 512  # volumes with a row of their own, by profile, in the window of one head
BLAMES_MOST = 4096  # entries of the matrix; past them holders and then waiters are not told apart
BUCKETS = 4096  # more than bucket_of gives for any duration under a century


class Span(NamedTuple):
    """What one head's snapshot covers, in seconds of that head's wall clock; life tells restarts apart."""

    head: int
    life: int
    start: float
    end: float
    last: bool  # the head ended in order after it


class Blamed(NamedTuple):
    waiter: int
    holder: int
    shelf: int
    stage: int


@dataclass(slots=True)
class Row:
    """One volume under one profile. stages and buckets in microseconds; no time at all is in no bucket."""

    lives: int = 0
    late: int = 0  # not honoured within the promised time, though the client stayed
    units: int = 0
    life_us: int = 0
    outcomes: list[int] = field(default_factory=lambda: [0] * len(Outcome))
    stages: list[int] = field(default_factory=lambda: [0] * STAGES)
    # By stage * BUCKETS + bucket, the whole life under STAGES; as many as there are buckets at most.
    buckets: dict[int, int] = field(default_factory=dict)
    partly: bool = False  # some of it lies in the rest

    def merge(self, other: "Row") -> None:
        self.lives += other.lives
        self.late += other.late
        self.units += other.units
        self.life_us += other.life_us
        self.outcomes = [a + b for a, b in zip(self.outcomes, other.outcomes, strict=True)]
        self.stages = [a + b for a, b in zip(self.stages, other.stages, strict=True)]
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count
        self.partly = self.partly or other.partly

    @property
    def waited_us(self) -> int:
        return sum(self.stages[s] for s in WAITS)


@dataclass(slots=True)
class ShelfRow:
    """One shelf. classes: by binary order of a transaction's units, (count, units, work in microseconds)."""

    classes: dict[int, tuple[int, int, int]] = field(default_factory=dict)
    units: dict[int, int] = field(default_factory=dict)  # honoured here, by volume; bounded like the rows
    endings: dict[str, int] = field(default_factory=dict)
    wait_us: int = 0
    stalled_us: int = 0  # answered nothing though it held forwards, longer than it usually takes

    def worked(self, volume: int, units: int, work_us: int) -> None:
        if volume not in self.units and len(self.units) >= ROWS_MOST:
            volume = OTHERS
        self.units[volume] = self.units.get(volume, 0) + units
        order = units.bit_length()
        count, all_units, all_us = self.classes.get(order, (0, 0, 0))
        self.classes[order] = (count + 1, all_units + units, all_us + work_us)

    def merge(self, other: "ShelfRow") -> None:
        for order, (count, units, us) in other.classes.items():
            a, b, c = self.classes.get(order, (0, 0, 0))
            self.classes[order] = (a + count, b + units, c + us)
        for volume, amount in other.units.items():
            self.units[volume] = self.units.get(volume, 0) + amount
        for how, count in other.endings.items():
            self.endings[how] = self.endings.get(how, 0) + count
        self.wait_us += other.wait_us
        self.stalled_us += other.stalled_us


def shares(held: dict[int, int], us: int) -> list[tuple[int, int]]:
    """us among holders in proportion to the units they held, to the last microsecond; unknown if none did."""
    found = []
    left, left_units = us, sum(held.values())
    for holder, units in held.items():
        if part := left * units // left_units:
            found.append((holder, part))
        left, left_units = left - part, left_units - units
    return found if found or not us else [(UNKNOWN, us)]


class Window:
    """Bounded while a head fills it; a merge keeps every row it is given, and is bounded by its inputs."""

    def __init__(self) -> None:
        self.spans: set[Span] = set()
        self.rows: dict[tuple[int, int], Row] = {}  # by volume and profile; emptied with the window
        self.rest: dict[int, Row] = {}  # of volumes without a row, by profile
        self.lives, self.waited = Sketch(), Sketch()  # of the rest, by volume
        self.blame: dict[Blamed, int] = {}
        self.shelves: dict[int, ShelfRow] = {}
        self.asked: dict[int, int] = {}  # units taken, by volume; bounded like the rows, then under OTHERS
        self.remainders = 0  # lives whose stages did not sum to them: each is a defect
        self.disorders = 0  # events that came out of order and were counted as if in it
        self._admitted_from = 0  # lives a volume of the rest must show to take a row over

    # ---- filling

    def life(self, volume: int, profile: int, units: int, outcome: Outcome, late: bool,
             stages: list[int], life_us: int) -> None:
        row = self.rows.get((volume, profile)) or self._row(volume, profile, stages)
        row.lives += 1
        row.late += late
        row.units += units
        row.life_us += life_us
        row.outcomes[outcome] += 1
        buckets, totals = row.buckets, row.stages
        place = STAGES * BUCKETS + bucket_of(life_us)
        buckets[place] = buckets.get(place, 0) + 1
        for stage, us in enumerate(stages):
            if us:
                totals[stage] += us
                place = stage * BUCKETS + bucket_of(us)
                buckets[place] = buckets.get(place, 0) + 1

    def _row(self, volume: int, profile: int, stages: list[int]) -> Row:
        if len(self.rows) < ROWS_MOST:
            return self.rows.setdefault((volume, profile), Row())
        places = Sketch.places(volume)
        seen = self.lives.estimate(places)
        if seen >= max(self._admitted_from, 8):
            # A volume that turned heavy late takes the lightest row's place; what it did before stays in the
            # rest.
            lightest = min(self.rows, key=lambda k: (self.rows[k].lives, k))
            least = self.rows[lightest].lives
            self._admitted_from = 2 * least
            if seen > 2 * least:
                self._to_rest(*lightest)
                return self.rows.setdefault((volume, profile), Row(partly=True))
        self.lives.add(places, 1)
        if waited := sum(stages[s] for s in WAITS):
            self.waited.add(places, waited)
        return self.rest.setdefault(profile, Row())

    def _to_rest(self, volume: int, profile: int) -> None:
        row = self.rows.pop((volume, profile))
        places = Sketch.places(volume)
        self.lives.add(places, row.lives)
        self.waited.add(places, row.waited_us)
        self.rest.setdefault(profile, Row()).merge(row)

    def took(self, volume: int, units: int) -> None:
        if volume not in self.asked and len(self.asked) >= ROWS_MOST:
            volume = OTHERS
        self.asked[volume] = self.asked.get(volume, 0) + units

    def blamed(self, waiter: int, holder: int, shelf: int, stage: int, us: int) -> None:
        key = Blamed(waiter, holder, shelf, stage)
        if key not in self.blame and len(self.blame) >= BLAMES_MOST:
            key = Blamed(waiter, holder if holder < 0 else OTHERS, shelf, stage)
            if key not in self.blame and len(self.blame) >= BLAMES_MOST + BLAMES_MOST // 4:
                key = Blamed(OTHERS, holder if holder < 0 else OTHERS, shelf, stage)
        self.blame[key] = self.blame.get(key, 0) + us

    def shared_out(self, waiter: int, held: dict[int, int], shelf: int, stage: int, us: int) -> None:
        for holder, part in shares(held, us):
            self.blamed(waiter, holder, shelf, stage, part)

    def shelf(self, number: int) -> ShelfRow:
        row = self.shelves.get(number)
        return row if row is not None else self.shelves.setdefault(number, ShelfRow())

    # ---- adding up

    def merge(self, other: "Window") -> None:
        self.spans |= other.spans
        for key, row in other.rows.items():
            self.rows.setdefault(key, Row()).merge(row)
        for profile, row in other.rest.items():
            self.rest.setdefault(profile, Row()).merge(row)
        self.lives.merge(other.lives)
        self.waited.merge(other.waited)
        for blamed, us in other.blame.items():
            self.blame[blamed] = self.blame.get(blamed, 0) + us
        for number, shelf in other.shelves.items():
            self.shelf(number).merge(shelf)
        for volume, units in other.asked.items():
            self.asked[volume] = self.asked.get(volume, 0) + units
        self.remainders += other.remainders
        self.disorders += other.disorders

    def all_rows(self) -> list[Row]:
        return [*self.rows.values(), *self.rest.values()]

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Window):
            return NotImplemented
        return (self.spans == other.spans and self.rows == other.rows and self.rest == other.rest
                and self.blame == other.blame and self.shelves == other.shelves and self.asked == other.asked
                and self.lives.cells == other.lives.cells and self.waited.cells == other.waited.cells
                and (self.remainders, self.disorders) == (other.remainders, other.disorders))

    __hash__ = None  # type: ignore[assignment]
