"""The figures of one period of time, in bounded memory. Windows of any gateways and periods can be merged.

All figures are whole microseconds and counts, so merging is exactly associative and commutative.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy
import numpy.typing

from gorsethread.latency_attribution.sketch import WIDTH, Sketch
from gorsethread.latency_attribution.stages import OTHERS, STAGES, UNKNOWN, WAITING_STAGES
from gorsethread.scheduling.model import RequestOutcome

MAX_ROWS = 512  # pairs of volume and request class with a row of their own, in one gateway's window
MAX_BLAME_ENTRIES = 4096  # beyond them, new holders and then new waiters are counted as OTHERS
BUCKETS = 2048  # more than bucket_of() returns for any duration under eight hours
MAX_REQUEST_CLASSES = 1 << 10
MAX_PENDING = 1024
MAX_DENSE_KEY = 1 << 17  # smaller keys are counted in an array, which is faster than sorting them
Numbers = numpy.typing.NDArray[numpy.int64]


class Span(NamedTuple):
    """The period that one gateway's snapshot covers, in seconds of its wall clock.

    incarnation: distinguishes restarts of the gateway.
    """

    gateway: int
    incarnation: int
    start: float
    end: float
    last: bool  # the gateway shut down gracefully after it


class BlameKey(NamedTuple):
    waiter: int
    holder: int
    backend: int
    stage: int


@dataclass(slots=True)
class Row:
    """One volume's requests of one request class. Stages are in microseconds; zero time is in no bucket."""

    requests: int = 0
    late: int = 0  # did not succeed within the latency objective, though the client stayed
    units: int = 0
    duration_us: int = 0
    outcomes: list[int] = field(default_factory=lambda: [0] * len(RequestOutcome))
    stages: list[int] = field(default_factory=lambda: [0] * STAGES)
    # By stage * BUCKETS + bucket; STAGES stands for the request's duration. Bounded by the number of buckets.
    buckets: dict[int, int] = field(default_factory=dict)
    partial: bool = False  # some of the volume's requests are counted in the rest

    def merge(self, other: "Row") -> None:
        self.requests += other.requests
        self.late += other.late
        self.units += other.units
        self.duration_us += other.duration_us
        self.outcomes = [a + b for a, b in zip(self.outcomes, other.outcomes, strict=True)]
        self.stages = [a + b for a, b in zip(self.stages, other.stages, strict=True)]
        for bucket, count in other.buckets.items():
            self.buckets[bucket] = self.buckets.get(bucket, 0) + count
        self.partial = self.partial or other.partial

    @property
    def waited_us(self) -> int:
        return sum(self.stages[s] for s in WAITING_STAGES)


@dataclass(slots=True)
class BackendRow:
    """One backend. classes: by the bit length of a request's units: count, units, microseconds of service."""

    classes: dict[int, list[int]] = field(default_factory=dict)
    units: dict[int, int] = field(
        default_factory=dict
    )  # of successful requests, by volume; bounded like the rows
    endings: dict[str, int] = field(default_factory=dict)  # attempts by outcome
    wait_us: int = 0
    stalled_us: int = 0  # answered nothing while attempts were in flight, for longer than usual

    def add_work(self, volume: int, order: int, count: int, units: int, work_us: int) -> None:
        """Adds count requests of one volume and one class of sizes; units and work_us are their totals."""
        if volume not in self.units and len(self.units) >= MAX_ROWS:
            volume = OTHERS
        self.units[volume] = self.units.get(volume, 0) + units
        known = self.classes.get(order)
        if known is None:
            known = self.classes[order] = [0, 0, 0]
        known[0] += count
        known[1] += units
        known[2] += work_us

    def merge(self, other: "BackendRow") -> None:
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
    """Divides us among the holders exactly, in proportion to their units; to UNKNOWN if there are none."""
    result = []
    left, left_units = us, sum(held.values())
    for holder, units in held.items():
        if part := left * units // left_units:
            result.append((holder, part))
        left, left_units = left - part, left_units - units
    return result if result or not us else [(UNKNOWN, us)]


def group_sums(group: Numbers, groups: int, values: Numbers) -> list[int]:
    """Returns the sum of each group's values. Exact, as the sums stay far under 2**53."""
    return [int(v) for v in numpy.bincount(group, weights=values, minlength=groups)]


def value_counts(keys: Numbers) -> Iterator[tuple[int, int]]:
    """Yields each distinct key and its number of occurrences."""
    if len(keys) and int(keys.max()) < MAX_DENSE_KEY:
        counts = numpy.bincount(keys)
        distinct = numpy.nonzero(counts)[0]
        counts = counts[distinct]
    else:
        distinct, counts = numpy.unique(keys, return_counts=True)
    return zip(distinct.tolist(), counts.tolist(), strict=True)


class Window:
    """Bounded while a gateway fills it; a merge keeps every row, so it is bounded by its inputs."""

    def __init__(self) -> None:
        self.spans: set[Span] = set()
        self.rows: dict[tuple[int, int], Row] = {}  # by volume and request class
        self.rest: dict[int, Row] = {}  # volumes without a row of their own, by request class
        self.rest_requests, self.rest_waits = (
            Sketch(),
            Sketch(),
        )  # counts and waiting time of these, by volume
        self.blame: dict[BlameKey, int] = {}
        self.backends: dict[int, BackendRow] = {}
        self.remainders = 0  # requests whose stages do not sum to their duration: each is a defect
        self.disorders = 0  # events that arrived out of order and got the time of the event before
        self._pending: list[tuple[int, ...]] = []  # emptied by apply_pending()
        self._adding: set[tuple[int, int]] = set()  # rows that must stay while requests are added to them
        self._min_admitted = 0  # requests that a volume of the rest needs to take over a row

    # ---- filling

    def add_request(
        self,
        volume: int,
        request_class: int,
        units: int,
        outcome: RequestOutcome,
        late: bool,
        stages: list[int],
        duration_us: int,
    ) -> None:
        """Adds one request, to be counted with others; call apply_pending() before reading."""
        self._pending.append((volume, request_class, units, outcome, late, duration_us, *stages))
        if len(self._pending) >= MAX_PENDING:
            self.apply_pending()

    def apply_pending(self) -> None:
        if not self._pending:
            return
        table: Numbers = numpy.array(self._pending, dtype=numpy.int64).T
        self._pending.clear()
        volume, request_class, units, outcome, late, duration = table[:6]
        self.add_requests(volume, request_class, units, outcome, late, dict(enumerate(table[6:])), duration)

    def add_requests(
        self,
        volume: Numbers,
        request_class: Numbers,
        units: Numbers,
        outcome: Numbers,
        late: Numbers,
        stages: Mapping[int, Numbers],
        duration: Numbers,
    ) -> None:
        """Adds many requests at once, as adding them one by one costs several times as much.

        Stages and durations are in microseconds; a stage that is not given took no time.
        """
        stages = {stage: us for stage, us in stages.items() if us.any()}
        self.remainders += int((sum(stages.values(), numpy.zeros_like(duration)) != duration).sum())
        keys, group = numpy.unique(volume * MAX_REQUEST_CLASSES + request_class, return_inverse=True)
        requests, group_count = numpy.bincount(group).tolist(), len(keys)
        all_units, all_late = group_sums(group, group_count, units), group_sums(group, group_count, late)
        all_durations, waited = group_sums(group, group_count, duration), [0] * group_count
        by_stage = {stage: group_sums(group, group_count, us) for stage, us in stages.items()}
        for wait in WAITING_STAGES:
            if wait in by_stage:
                waited = [a + b for a, b in zip(waited, by_stage[wait], strict=True)]
        self._adding = {divmod(key, MAX_REQUEST_CLASSES) for key in keys.tolist()}
        rows = []
        for n, key in enumerate(keys.tolist()):
            row = self.row(key // MAX_REQUEST_CLASSES, key % MAX_REQUEST_CLASSES, requests[n], waited[n])
            rows.append(row)
            row.requests += requests[n]
            row.late += all_late[n]
            row.units += all_units[n]
            row.duration_us += all_durations[n]
            for stage, each in by_stage.items():
                row.stages[stage] += each[n]
        for key, count in value_counts(group * len(RequestOutcome) + outcome):
            rows[key // len(RequestOutcome)].outcomes[key % len(RequestOutcome)] += count
        all_times: list[tuple[int, Numbers]] = [*stages.items(), (STAGES, duration)]
        for number, us in all_times:
            included = us > 0 if number != STAGES else us >= 0
            times = us[included]
            shift = numpy.maximum(numpy.frexp(times)[1] - 6, 0).astype(numpy.int64)
            bucket = (shift << 6) + (times >> shift)
            if number != STAGES:
                bucket -= (bucket & 1) * (shift > 0)  # pairs of buckets for stages: half as many to count
            for key, count in value_counts(group[included] * BUCKETS + bucket):
                buckets, bucket_key = rows[key // BUCKETS].buckets, number * BUCKETS + key % BUCKETS
                buckets[bucket_key] = buckets.get(bucket_key, 0) + count
        self._adding = set()

    def row(self, volume: int, request_class: int, requests: int, waited: int) -> Row:
        """Returns the row to add a volume's requests to: its own, or the rest's.

        requests, waited: how many requests are about to be added, and the microseconds that they waited.
        """
        if (row := self.rows.get((volume, request_class))) is not None:
            return row
        if len(self.rows) < MAX_ROWS:
            return self.rows.setdefault((volume, request_class), Row())
        cells = Sketch.cells_of(volume)
        # Less what other volumes add to a cell on average: else each of 100,000 light volumes looks heavy.
        estimated = self.rest_requests.estimate(cells) + requests - self.rest_requests.total // WIDTH
        if estimated >= max(self._min_admitted, 8) or requests > 8:
            # A volume that became heavy late takes the lightest row; its earlier requests stay in the rest.
            lightest = min(
                (k for k in self.rows if k not in self._adding),
                default=None,
                key=lambda k: (self.rows[k].requests, k),
            )
            fewest = self.rows[lightest].requests if lightest else estimated
            self._min_admitted = 2 * fewest
            if lightest and estimated > 2 * fewest:
                self._to_rest(*lightest)
                return self.rows.setdefault((volume, request_class), Row(partial=True))
        self.rest_requests.add(cells, requests)
        if waited:
            self.rest_waits.add(cells, waited)
        return self.rest.setdefault(request_class, Row())

    def _to_rest(self, volume: int, request_class: int) -> None:
        row = self.rows.pop((volume, request_class))
        cells = Sketch.cells_of(volume)
        self.rest_requests.add(cells, row.requests)
        self.rest_waits.add(cells, row.waited_us)
        self.rest.setdefault(request_class, Row()).merge(row)

    def add_blame(self, waiter: int, holder: int, backend: int, stage: int, us: int) -> None:
        key = BlameKey(waiter, holder, backend, stage)
        if key not in self.blame and len(self.blame) >= MAX_BLAME_ENTRIES:
            key = BlameKey(waiter, holder if holder < 0 else OTHERS, backend, stage)
            if key not in self.blame and len(self.blame) >= MAX_BLAME_ENTRIES + MAX_BLAME_ENTRIES // 4:
                key = BlameKey(OTHERS, holder if holder < 0 else OTHERS, backend, stage)
        self.blame[key] = self.blame.get(key, 0) + us

    def add_shared_blame(self, waiter: int, held: dict[int, int], backend: int, stage: int, us: int) -> None:
        for holder, part in shares(held, us):
            self.add_blame(waiter, holder, backend, stage, part)

    def backend(self, number: int) -> BackendRow:
        row = self.backends.get(number)
        return row if row is not None else self.backends.setdefault(number, BackendRow())

    # ---- merging and reading

    def merge(self, other: "Window") -> None:
        self.spans |= other.spans
        for key, row in other.rows.items():
            self.rows.setdefault(key, Row()).merge(row)
        for request_class, row in other.rest.items():
            self.rest.setdefault(request_class, Row()).merge(row)
        self.rest_requests.merge(other.rest_requests)
        self.rest_waits.merge(other.rest_waits)
        for blame_key, us in other.blame.items():
            self.blame[blame_key] = self.blame.get(blame_key, 0) + us
        for number, backend in other.backends.items():
            self.backend(number).merge(backend)
        self.remainders += other.remainders
        self.disorders += other.disorders

    def all_rows(self) -> list[Row]:
        return [*self.rows.values(), *self.rest.values()]

    def requested_units(self) -> dict[int, int]:
        """Returns the requested units of each volume that has a row."""
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
            and self.backends == other.backends
            and self.rest_requests.cells == other.rest_requests.cells
            and self.rest_waits.cells == other.rest_waits.cells
            and (self.remainders, self.disorders) == (other.remainders, other.disorders)
        )

    __hash__ = None  # type: ignore[assignment]
