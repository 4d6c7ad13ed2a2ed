"""What is known of one stretch of time, in bounded memory; windows of any heads and times add up.

All figures are whole microseconds and counts, so merging is associative and commutative to the last unit.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy
import numpy.typing

from gorsethread.latency_attribution.sketch import WIDTH, Sketch
from gorsethread.latency_attribution.stages import OTHERS, STAGES, UNKNOWN, WAITS
from gorsethread.scheduling.model import RequestOutcome

ROWS_MOST = 512  # volumes with a row of their own, by profile, in the window of one head
BLAMES_MOST = 4096  # entries of the matrix; past them holders and then waiters are not told apart
BUCKETS = 2048  # more than bucket_of gives for any duration under eight hours
PROFILES = 1 << 10
FRESH_MOST = 1024
DENSE = 1 << 17  # keys below this are counted in place, which is quicker than sorting them
Numbers = numpy.typing.NDArray[numpy.int64]


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
    outcomes: list[int] = field(default_factory=lambda: [0] * len(RequestOutcome))
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
    """One shelf. classes: by binary order of a transaction's units: count, units, work in microseconds."""

    classes: dict[int, list[int]] = field(default_factory=dict)
    units: dict[int, int] = field(default_factory=dict)  # honoured here, by volume; bounded like the rows
    endings: dict[str, int] = field(default_factory=dict)
    wait_us: int = 0
    stalled_us: int = 0  # answered nothing though it held forwards, longer than it usually takes

    def worked(self, volume: int, order: int, count: int, units: int, work_us: int) -> None:
        """So many transactions of one class, all of one volume; units and work of them together."""
        if volume not in self.units and len(self.units) >= ROWS_MOST:
            volume = OTHERS
        self.units[volume] = self.units.get(volume, 0) + units
        known = self.classes.get(order)
        if known is None:
            known = self.classes[order] = [0, 0, 0]
        known[0] += count
        known[1] += units
        known[2] += work_us

    def merge(self, other: "ShelfRow") -> None:
        for order, known in other.classes.items():
            mine = self.classes.get(order, (0, 0, 0))
            self.classes[order] = [a + b for a, b in zip(mine, known, strict=True)]
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


def sums(group: Numbers, groups: int, values: Numbers) -> list[int]:
    """By group. Exact: what is added up stays far under 2**53."""
    return [int(v) for v in numpy.bincount(group, weights=values, minlength=groups)]


def counted(keys: Numbers) -> Iterator[tuple[int, int]]:
    """Each key, and how often it is there."""
    if len(keys) and int(keys.max()) < DENSE:
        times = numpy.bincount(keys)
        found = numpy.nonzero(times)[0]
        times = times[found]
    else:
        found, times = numpy.unique(keys, return_counts=True)
    return zip(found.tolist(), times.tolist(), strict=True)


class Window:
    """Bounded while a head fills it; a merge keeps every row it is given, and is bounded by its inputs."""

    def __init__(self) -> None:
        self.spans: set[Span] = set()
        self.rows: dict[tuple[int, int], Row] = {}  # by volume and profile; emptied with the window
        self.rest: dict[int, Row] = {}  # of volumes without a row, by profile
        self.lives, self.waited = Sketch(), Sketch()  # of the rest, by volume
        self.blame: dict[Blamed, int] = {}
        self.shelves: dict[int, ShelfRow] = {}
        self.remainders = 0  # lives whose stages did not sum to them: each is a defect
        self.disorders = 0  # events that came out of order and were counted as if in it
        self._fresh: list[tuple[int, ...]] = []  # emptied by settle()
        self._adding: set[tuple[int, int]] = set()  # whose rows must stay while lives are added to them
        self._admitted_from = 0  # lives a volume of the rest must show to take a row over

    # ---- filling

    def life(
        self,
        volume: int,
        profile: int,
        units: int,
        outcome: RequestOutcome,
        late: bool,
        stages: list[int],
        life_us: int,
    ) -> None:
        """Counted with others later; nothing is to be read before settle()."""
        self._fresh.append((volume, profile, units, outcome, late, life_us, *stages))
        if len(self._fresh) >= FRESH_MOST:
            self.settle()

    def settle(self) -> None:
        if not self._fresh:
            return
        table: Numbers = numpy.array(self._fresh, dtype=numpy.int64).T
        self._fresh.clear()
        volume, profile, units, outcome, late, life = table[:6]
        self.together(volume, profile, units, outcome, late, dict(enumerate(table[6:])), life)

    def together(
        self,
        volume: Numbers,
        profile: Numbers,
        units: Numbers,
        outcome: Numbers,
        late: Numbers,
        stages: Mapping[int, Numbers],
        life: Numbers,
    ) -> None:
        """Many lives at once, as one by one each costs several times as much. Stages that are not given, and
        the life, are microseconds; a stage that is not given took no time."""
        stages = {stage: us for stage, us in stages.items() if us.any()}
        self.remainders += int((sum(stages.values(), numpy.zeros_like(life)) != life).sum())
        keys, group = numpy.unique(volume * PROFILES + profile, return_inverse=True)
        lives, several = numpy.bincount(group).tolist(), len(keys)
        all_units, all_late = sums(group, several, units), sums(group, several, late)
        all_life, waited = sums(group, several, life), [0] * several
        by_stage = {stage: sums(group, several, us) for stage, us in stages.items()}
        for wait in WAITS:
            if wait in by_stage:
                waited = [a + b for a, b in zip(waited, by_stage[wait], strict=True)]
        self._adding = {divmod(key, PROFILES) for key in keys.tolist()}
        rows = []
        for n, key in enumerate(keys.tolist()):
            row = self.row(key // PROFILES, key % PROFILES, lives[n], waited[n])
            rows.append(row)
            row.lives += lives[n]
            row.late += all_late[n]
            row.units += all_units[n]
            row.life_us += all_life[n]
            for stage, each in by_stage.items():
                row.stages[stage] += each[n]
        for key, times in counted(group * len(RequestOutcome) + outcome):
            rows[key // len(RequestOutcome)].outcomes[key % len(RequestOutcome)] += times
        every: list[tuple[int, Numbers]] = [*stages.items(), (STAGES, life)]
        for number, us in every:
            some = us > 0 if number != STAGES else us >= 0
            took = us[some]
            shift = numpy.maximum(numpy.frexp(took)[1] - 6, 0).astype(numpy.int64)
            bucket = (shift << 6) + (took >> shift)
            if number != STAGES:
                bucket -= (bucket & 1) * (shift > 0)  # stages by pairs of buckets: half as many to count
            found = counted(group[some] * BUCKETS + bucket)
            for key, times in found:
                buckets, place = rows[key // BUCKETS].buckets, number * BUCKETS + key % BUCKETS
                buckets[place] = buckets.get(place, 0) + times
        self._adding = set()

    def row(self, volume: int, profile: int, lives: int, waited: int) -> Row:
        """Where so many of its lives, which waited so long, are to be added: its own row or the rest's."""
        if (row := self.rows.get((volume, profile))) is not None:
            return row
        if len(self.rows) < ROWS_MOST:
            return self.rows.setdefault((volume, profile), Row())
        places = Sketch.places(volume)
        # Less what others put into each cell on average: else, at 100,000 light volumes, each looks heavy.
        seen = self.lives.estimate(places) + lives - self.lives.total // WIDTH
        if seen >= max(self._admitted_from, 8) or lives > 8:
            # A volume that turned heavy late takes the lightest row's place; what it did before stays in the
            # rest.
            lightest = min(
                (k for k in self.rows if k not in self._adding),
                default=None,
                key=lambda k: (self.rows[k].lives, k),
            )
            least = self.rows[lightest].lives if lightest else seen
            self._admitted_from = 2 * least
            if lightest and seen > 2 * least:
                self._to_rest(*lightest)
                return self.rows.setdefault((volume, profile), Row(partly=True))
        self.lives.add(places, lives)
        if waited:
            self.waited.add(places, waited)
        return self.rest.setdefault(profile, Row())

    def _to_rest(self, volume: int, profile: int) -> None:
        row = self.rows.pop((volume, profile))
        places = Sketch.places(volume)
        self.lives.add(places, row.lives)
        self.waited.add(places, row.waited_us)
        self.rest.setdefault(profile, Row()).merge(row)

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
        self.remainders += other.remainders
        self.disorders += other.disorders

    def all_rows(self) -> list[Row]:
        return [*self.rows.values(), *self.rest.values()]

    def asked(self) -> dict[int, int]:
        """Units by volume, of those with rows."""
        units: dict[int, int] = {}
        for (volume, _), row in self.rows.items():
            units[volume] = units.get(volume, 0) + row.units
        return units

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Window):
            return NotImplemented
        return (
            self.spans == other.spans
            and self.rows == other.rows
            and self.rest == other.rest
            and self.blame == other.blame
            and self.shelves == other.shelves
            and self.lives.cells == other.lives.cells
            and self.waited.cells == other.waited.cells
            and (self.remainders, self.disorders) == (other.remainders, other.disorders)
        )

    __hash__ = None  # type: ignore[assignment]
