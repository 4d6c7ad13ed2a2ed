"""Do the accounts name the right cause? Days with a slow shelf, a flooding volume, both or neither, judged
against what the script did, in separate processes on loopback."""

import asyncio
import tempfile
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from gorsethread.experiments.day import Day, DayPlan
from gorsethread.fakes.client import Surge
from gorsethread.latency_attribution import report
from gorsethread.latency_attribution.request_attribution import LatencyAccounts
from gorsethread.latency_attribution.stages import STAGES, Stage
from gorsethread.latency_attribution.window import Window
from gorsethread.scheduling.model import RequestOutcome
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.program import SeededRandom
from gorsethread.transport.real import RealTransport

SCENARIOS = ("neither", "slow", "flood", "both")
SLOWER = 3.0
FLOOD = 20.0
BEGINS = 0.15  # part of the day from which it is so, to its end
WINDOW = 1.0  # seconds


@dataclass(frozen=True)
class Truth:
    slow: frozenset[int]
    floods: frozenset[int]


class KnownDay(Day):
    """A quiet day but for what its scenario does, drawn from the seed."""

    scenario = "neither"
    truth = Truth(frozenset(), frozenset())

    def _write_script(self) -> None:
        chance = self.transport.random_stream(f"accounts {self.plan.seed}")
        shelf = chance.randrange(self.plan.shelves)
        volume = self.site.volume[chance.randrange(len(self.site.volume))]
        at, length = self._at(BEGINS), self.plan.seconds
        slow, floods = self.scenario in ("slow", "both"), self.scenario in ("flood", "both")
        if slow:
            self._fault(f"shelf {shelf}", at, "slow", length, SLOWER)
        if floods:
            self.surges.append(Surge(volume.number, at, length, FLOOD))
            self.acts.append((at, partial(self.say, f"volume {volume.name} floods")))
        self.truth = Truth(frozenset([shelf] if slow else []), frozenset([volume.number] if floods else []))


async def _play(site: pb.Site, seed: int, scenario: str, plan: DayPlan, folder: Path) -> dict[str, Any]:
    transport = RealTransport(seed)
    day = KnownDay(transport, site, plan, folder, lambda line: None)
    day.scenario = scenario
    result = await day.play()
    found = day.findings()
    if found is None:
        raise FileNotFoundError(f"{folder}: no head kept accounts")
    named = Truth(frozenset(found.slow) | frozenset(found.stopped), frozenset(found.floods))
    lives = sum(row.requests for row in found.merged.all_rows())
    return {
        "seed": seed,
        "scenario": scenario,
        "slow": sorted(day.truth.slow),
        "floods": sorted(day.truth.floods),
        "named_slow": sorted(named.slow),
        "named_floods": sorted(named.floods),
        "right": named == day.truth,
        "accused": bool((named.slow - day.truth.slow) | (named.floods - day.truth.floods)),
        "sentence": report.top(found).sentence,
        "pressure": round(found.pressure, 3),
        "stalled": [round(p.stalled, 3) for p in found.speeds.values()],
        "unknown": round(found.unknown, 3),
        "lives": lives,
        "remainders": found.merged.remainders,
        "disorders": found.merged.disorders,
        "rules": result.verdict.rules,
        "good": result.good,
        "defects": result.defects,
        "breaks": [str(b) for b in result.verdict.violations],
    }


async def experiment(
    site: pb.Site,
    seeds: list[int],
    seconds: float,
    heads: int,
    shelves: int,
    at_once: int,
    say: Callable[[str], None],
    keep: Path | None = None,
) -> dict[str, Any]:
    """Every scenario of every seed. keep: folder for the days' records and snapshots."""
    room = asyncio.Semaphore(at_once)
    done: list[dict[str, Any]] = []
    whole = len(seeds) * len(SCENARIOS)
    with tempfile.TemporaryDirectory(prefix="gorsethread-accounts-") as scratch:
        place = keep or Path(scratch)

        async def one(seed: int, scenario: str) -> None:
            async with room:
                folder = place / f"{seed}-{scenario}"
                folder.mkdir(parents=True)
                plan = DayPlan(seed, heads, shelves, seconds, 1.0, (), 0, WINDOW)
                got = await _play(site, seed, scenario, plan, folder)
                done.append(got)
                say(
                    f"{len(done)}/{whole} seed {seed} {scenario}: {'right' if got['right'] else 'WRONG'}: "
                    f"{got['sentence']}"
                )

        await asyncio.gather(*(one(seed, scenario) for seed in seeds for scenario in SCENARIOS))
    done.sort(key=lambda r: (r["seed"], SCENARIOS.index(r["scenario"])))
    return {"runs": done, "figures": {**figures(done), "footprint": footprint()}}


def footprint() -> dict[str, float]:
    """Bytes that the accounts hold: for an open transaction, a volume with a row, and 100,000 volumes."""
    # Durations like those of a quick shelf and a slow one, drawn once, as drawing is dear under tracemalloc.
    chance = SeededRandom(1)
    passing = (Stage.GATEWAY, Stage.SLOTS, Stage.OUTBOUND, Stage.BACKEND_QUEUE, Stage.SERVICE, Stage.RETURN)
    drawn = []
    for _ in range(1000):
        stages = [0] * STAGES
        for stage in passing:
            stages[stage] = int(chance.lognormvariate(8.0, 1.5))
        drawn.append(stages)

    def lives(window: Window, volumes: int, each: int) -> None:
        for volume in range(1, volumes + 1):
            for n in range(each):
                stages = drawn[(volume + n) % len(drawn)]
                window.add_request(volume, 0, 1, RequestOutcome.SUCCEEDED, False, stages, sum(stages))
        window.apply_pending()

    def held(fill: Callable[[], object]) -> int:
        tracemalloc.start()
        kept = fill()
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del kept
        return size

    def filled(volumes: int, each: int) -> Window:
        window = Window()
        lives(window, volumes, each)
        return window

    def opened() -> LatencyAccounts:
        accounts = LatencyAccounts([1.0], 0.0)
        for id in range(1000):
            accounts.admitted(id, 1 + id % 8, 0, id % 3, False, 1, 0.0, 0.001)
            accounts.sent(id, 0, id % 3, 0.002)
        return accounts

    empty = held(Window)
    return {
        "bytes_an_open_transaction": held(opened) / 1000,
        "bytes_a_volume_of_1000_transactions": (held(lambda: filled(20, 1000)) - empty) / 20,
        "mib_at_100000_volumes": held(lambda: filled(100_000, 1)) / 2**20,
        "mib_of_an_empty_window": empty / 2**20,
    }


def figures(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """How often the first sentence was right, by scenario; accusations on quiet days; what else was wrong."""
    by = {s: [r for r in runs if r["scenario"] == s] for s in SCENARIOS}
    return {
        "right": {s: sum(r["right"] for r in each) / len(each) for s, each in by.items() if each},
        "right_of_all": sum(r["right"] for r in runs) / len(runs),
        "accused_on_quiet_days": sum(r["accused"] for r in by["neither"]) / max(1, len(by["neither"])),
        "accused_wrongly": sum(r["accused"] for r in runs) / len(runs),
        "remainders": sum(r["remainders"] for r in runs),
        "lives": sum(r["lives"] for r in runs),
        "days_not_good": [
            f"{r['seed']} {r['scenario']}: {r['rules']} {r['defects']}" for r in runs if not r["good"]
        ],
        "runs": len(runs),
    }
