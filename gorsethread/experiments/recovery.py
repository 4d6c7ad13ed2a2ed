"""How long a fleet takes to full service after many heads go at once, with records and spacing and without,
on the same seeds: real processes through the relay, or whole sites on the virtual clock.
"""

import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from gorsethread.fakes.backend import FakeBackend
from gorsethread.harness.durable_log_trial import DurableLogTrial
from gorsethread.harness.processes import Processes
from gorsethread.simulation.durable_log_simulation import DurableLogSimulation
from gorsethread.simulation.script import Act, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Stream
from gorsethread.transport.real import RealTransport

BEFORE = 8.0  # seconds that show what full service is
APART = 16.0  # seconds from one act to the next
DOWN = 1.0  # seconds that a head is away
FULL = 0.95  # of what was served before, in each of
IN_TURN = 5  # seconds
SPREAD = 2.0  # seconds over which all links of a fleet may be made anew: what the site's bound is set to
SLACK = 1.25  # times the bound, as connections come later than they are begun, by no fixed time
STREAMS = 2  # of an association: admin and I/O
KINDS = ("7 in 10", "9 in 10", "all", "a tenth at a time", "all, disks lost")


@dataclass
class Found:
    """of one fleet. full_service_seconds: one an act, None where it never came. stampede_ratio: the most new
    connections of a second to the bound; first_forwards_ratio: the most first forwards of a head, since it
    came back, to a shelf whose line it does not know, to the same. stale_decisions: sent to what drained or
    was gone, too much to what is cold, owners forgotten, extents parted."""

    processes: int
    acts: list[str]
    restarted: int = 0
    state_lost: int = 0
    full_service_seconds: list[float | None] = field(default_factory=list)
    stampede_ratio: float = 0.0
    first_forwards_ratio: float = 0.0
    stale_decisions: int = 0
    numbers_reused: int = 0
    lost: int = 0
    duplicated: int = 0
    rules: list[int] = field(default_factory=list)
    reasons: list[str] = field(default_factory=list)


def script_of(kinds: tuple[str, ...], heads: int, shelves: int, seed: int, factor: float) -> Script:
    acts: list[Act] = []
    at = BEFORE
    for kind in kinds:
        number = {"7 in 10": (7 * heads + 9) // 10, "9 in 10": (9 * heads + 9) // 10}.get(kind, heads)
        what = "wipe" if kind == "all, disks lost" else "kill"
        step = max(1, heads // 10) if kind == "a tenth at a time" else heads
        for n in range(number):
            acts.append(Act(at + 0.5 * (n // step), what, f"head {n}", seconds=DOWN))
        at += APART
    return Script(seed, heads, shelves, at, factor, acts=tuple(acts))


def site_of(site: pb.Site, heads: int, shelves: int, alone: bool) -> pb.Site:
    """alone: each head by itself, as before there were records and spacing."""
    made = pb.Site()
    made.CopyFrom(site)
    made.links.opens = 0.0 if alone else max(heads / 2.0, heads * shelves / SPREAD)
    return made


def served(records: list[dict[str, Any]], site: pb.Site, zero: float, seconds: int) -> list[float]:
    """Of each second's worth that was due, the part that was honoured in its promised time."""
    sent: dict[tuple[int, int], Any] = {}
    due: Counter[int] = Counter()
    won: Counter[int] = Counter()
    for r in sorted(records, key=lambda r: r["t"]):
        if r["e"] in ("sent", "not sent"):
            if r["attempt"] == 0:
                due[int(r["due"] - zero)] += site.profile[r["profile"]].value
            sent[r["label"], r["attempt"]] = r
        elif r["e"] == "answer" and r["how"] == "honoured":
            s = sent[r["label"], r["attempt"]]
            p = site.profile[s["profile"]]
            if r["t"] <= s["due"] + p.promised:
                won[int(s["due"] - zero)] += p.value
    return [won[n] / due[n] if due[n] else 1.0 for n in range(seconds)]


def full_after(parts: list[float], begins: float, until: float) -> float | None:
    """Seconds from an act until so many seconds in turn are as good as before the first."""
    before = sum(parts[1 : int(BEFORE)]) / (BEFORE - 1)
    for n in range(int(begins) + 1, int(until) - IN_TURN + 1):
        if all(part >= FULL * before for part in parts[n : n + IN_TURN]):
            return n - begins
    return None


def most_in_a_second(times: list[float]) -> int:
    times = sorted(times)
    most, first = 0, 0
    for n, t in enumerate(times):
        while times[first] <= t - 1.0:
            first += 1
        most = max(most, n + 1 - first)
    return most


def first_forwards(records: list[dict[str, Any]], begin: float) -> list[float]:
    """When each life of a head first came to each shelf, from then on."""
    known: set[tuple[int, int]] = set()
    found = []
    for r in sorted(records, key=lambda r: r["t"]):
        if r["e"] == "head killed":
            known = {pair for pair in known if pair[0] != r["head"]}
        elif r["e"] == "arrived" and (r["head"], r["shelf"]) not in known:
            known.add((r["head"], r["shelf"]))
            found.append(r["t"])
    return [t for t in found if t >= begin]


def counting(kind: type[FakeBackend], opened: Callable[[float], None]) -> type[FakeBackend]:
    """Shelves that tell of each new stream to them."""

    class Counted(kind):  # type: ignore[misc, valid-type]
        def _listen(self, host: str, port: int) -> None:
            async def on_stream(stream: Stream) -> None:
                opened(self.transport.now())
                await self.server.on_stream(stream)

            self._listener = self.transport.listen(host, port, on_stream)
            self.port = self._listener.port

    return Counted


class ReturnWorld(DurableLogSimulation):
    alone = False

    def records_folder(self, number: int) -> str:
        return "" if self.alone else super().records_folder(number)

    def _check_end_state(self) -> None:
        """Forgotten owners are counted, not failed on: after the last act all disks may be lost."""
        self._check_record_numbers()


def judged(
    found: Found,
    script: Script,
    kinds: tuple[str, ...],
    site: pb.Site,
    records: list[dict[str, Any]],
    zero: float,
    opened: list[float],
    bound: float,
) -> None:
    parts = served(records, site, zero, int(script.seconds))
    begins = [BEFORE + n * APART for n in range(len(kinds))]
    found.full_service_seconds = [full_after(parts, b, b + APART) for b in begins]
    later = [t for t in opened if t >= zero + BEFORE]
    found.stampede_ratio = round(most_in_a_second(later) / STREAMS / (SLACK * bound), 2)
    firsts = first_forwards(records, zero + BEFORE)
    found.first_forwards_ratio = round(most_in_a_second(firsts) / (SLACK * bound), 2)
    found.restarted = sum(a.kind in ("kill", "wipe") for a in script.acts)
    found.state_lost = sum(a.kind == "wipe" for a in script.acts)


def in_world(
    site: pb.Site, heads: int, shelves: int, seed: int, factor: float, kinds: tuple[str, ...], alone: bool
) -> Found:
    script, opened = script_of(kinds, heads, shelves, seed, factor), list[float]()
    world_kind = type(
        "World", (ReturnWorld,), {"alone": alone, "backend_class": counting(FakeBackend, opened.append)}
    )
    world = world_kind(site_of(site, heads, shelves, alone), script)
    forgotten = Forgotten(world, BEFORE + APART * len(kinds) - APART if kinds[-1].endswith("lost") else 1e9)
    world._on_write_forgotten = forgotten.denied
    outcome = world.play()
    v = outcome.verdict
    # Where every disk is gone in the end nobody can know what was written.
    reasons = [r for r in outcome.reasons if r != "wrong reads" or not kinds[-1].endswith("lost")]
    found = Found(
        heads,
        list(kinds),
        stale_decisions=v.rules[2] + v.rules[3] + forgotten.count,
        lost=v.lost,
        duplicated=v.duplicated,
        rules=v.rules,
        reasons=reasons,
        numbers_reused=sum("number" in d for d in outcome.defects),
    )
    judged(
        found,
        script,
        kinds,
        world.site,
        outcome.records,
        world.traffic_start,
        opened,
        site_of(site, heads, shelves, False).links.opens,
    )
    return found


class Forgotten:
    """Reads that were denied before all disks were lost."""

    def __init__(self, world: DurableLogSimulation, until: float) -> None:
        self.world, self.until, self.count = world, until, 0

    def denied(self, volume: int, extent: int) -> None:
        self.count += self.world.loop.time() < self.world.traffic_start + self.until


class ReturnTrial(DurableLogTrial):
    """alone: heads keep no records."""

    alone = False
    forgets_from = 1e9  # seconds; from here on all disks are lost

    def _options(self, number: int) -> list[str]:
        return [] if self.alone else super()._options(number)

    def _denied(self, volume: int, extent: int) -> None:
        if self.transport.now() < self.zero + self.forgets_from:
            super()._denied(volume, extent)


async def on_processes(
    transport: RealTransport,
    site: pb.Site,
    heads: int,
    shelves: int,
    seed: int,
    factor: float,
    kinds: tuple[str, ...],
    alone: bool,
    log: Any,
    say: Callable[[str], None],
) -> Found:
    script, opened = script_of(kinds, heads, shelves, seed, factor), list[float]()
    known = site_of(site, heads, shelves, alone)
    with tempfile.TemporaryDirectory(prefix="gorsethread-return-") as folder:
        trial = ReturnTrial(transport, Processes(Path(folder), known), known, log, script)
        trial.alone, trial.say = alone, say
        trial.backend_class = counting(FakeBackend, opened.append)
        if kinds[-1].endswith("lost"):
            trial.forgets_from = BEFORE + APART * (len(kinds) - 1)
        r = await trial.play()
    found = Found(
        heads,
        list(kinds),
        lost=r.lost,
        duplicated=r.duplicated,
        rules=r.rules,
        numbers_reused=r.numbers_reused,
        reasons=r.reasons,
        stale_decisions=r.rules[2] + r.rules[3] + r.denied,
    )
    judged(
        found,
        script,
        kinds,
        trial.site,
        trial.records,
        trial.zero,
        opened,
        site_of(site, heads, shelves, False).links.opens,
    )
    return found


def shown(mine: Found, alone: Found) -> dict[str, Any]:
    """good: not slower than each alone, no stampede, nothing stale, lost or twice."""
    pairs = list(zip(mine.full_service_seconds, alone.full_service_seconds, strict=True))
    slower = [n for n, (a, b) in enumerate(pairs) if a is None or b is not None and a > b + 1.0]
    rules = [n for rule, n in enumerate(mine.rules, 1) if rule != 5]  # see harness/service.py
    good = not (
        slower
        or max(mine.stampede_ratio, mine.first_forwards_ratio) > 1.0
        or mine.stale_decisions
        or mine.numbers_reused
        or mine.lost
        or mine.duplicated
        or any(rules)
        or mine.reasons
    )
    return {
        **asdict(mine),
        "full_service_seconds_alone": alone.full_service_seconds,
        "stampede_ratio_alone": alone.stampede_ratio,
        "first_forwards_ratio_alone": alone.first_forwards_ratio,
        "stale_decisions_alone": alone.stale_decisions,
        "good": good,
    }
