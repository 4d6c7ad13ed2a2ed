"""Runs simulations of many seeds in parallel; replays, shrinks and prints the scripts of those that fail."""

import gc
import multiprocessing
import os
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from functools import partial

from gorsethread.simulation.branch_mutants import BRANCH_MUTANTS
from gorsethread.simulation.branch_simulation import BranchSimulation
from gorsethread.simulation.durable_log_mutants import DURABLE_LOG_MUTANTS
from gorsethread.simulation.durable_log_simulation import DurableLogSimulation
from gorsethread.simulation.http_mutants import HTTP_MUTANTS
from gorsethread.simulation.http_simulation import HttpSimulation
from gorsethread.simulation.mutants import MUTANTS
from gorsethread.simulation.script import ACT_KINDS, Script
from gorsethread.simulation.script_generator import BranchScriptGenerator, ScriptGenerator
from gorsethread.simulation.site_simulation import START_UP, Outcome, SiteSimulation
from gorsethread.simulation.states import STATES, WEB_STATES
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.sampling import cpu_seconds

NOT_FOR_HTTP = ("disk", "wall")  # kinds of act: HTTP gateways have no disk, and one Unix clock
MAX_SHRINK_RUNS = 120  # simulations to shrink one script


@dataclass(frozen=True)
class SeedResult:
    """The result of one seed.

    taken: requests that gateways admitted. seconds: virtual time. cost: CPU time in seconds.
    """

    seed: int
    reasons: list[str]
    digest: str
    taken: int
    seconds: float
    cost: float
    first: str  # description of the first failure
    states: dict[str, int] = field(default_factory=dict)


def generate_script(site: pb.Site, seed: int, http: bool = False, durable_log: bool = False) -> Script:
    """Returns the script of a seed; http and durable_log as in play()."""
    if site.branch:
        return BranchScriptGenerator(seed, site).generate()
    return ScriptGenerator(
        seed,
        [v.number for v in site.volume],
        [t.name for t in site.tenant],
        http=http,
        durable_log=durable_log,
    ).generate()


def play(
    site: pb.Site, script: Script, mutant: str = "", http: bool = False, durable_log: bool = False
) -> Outcome:
    """Plays a script once, in a simulation of its own.

    http: with HTTP gateways. durable_log: with gateways that keep a durable log, as those of a site with
    branches always do.
    """
    if site.branch:
        return BranchSimulation(site, script, BRANCH_MUTANTS.get(mutant)).play()
    if durable_log:
        return DurableLogSimulation(
            site, script, DURABLE_LOG_MUTANTS.get(mutant) or MUTANTS.get(mutant)
        ).play()
    if http:
        return HttpSimulation(site, script, HTTP_MUTANTS.get(mutant)).play()
    return SiteSimulation(site, script, MUTANTS.get(mutant)).play()


def play_one(raw_site: bytes, mutant: str, http: bool, durable_log: bool, seed: int) -> SeedResult:
    """Simulates one seed; called in a process of the pool.

    A simulation that raises, or that would wait forever, has failed too.
    """
    site = pb.Site.FromString(raw_site)
    began = cpu_seconds()
    try:
        outcome = play(site, generate_script(site, seed, http, durable_log), mutant, http, durable_log)
    except Exception as error:
        return SeedResult(
            seed, [f"raised {type(error).__name__}"], "", 0, 0.0, cpu_seconds() - began, repr(error)
        )
    gc.collect()  # each simulation is one large reference cycle; without this many stayed in memory at once
    first = str(outcome.verdict.violations[0]) if outcome.verdict.violations else ""
    if not first and outcome.online_breaks:
        first = str(outcome.online_breaks[0][1])
    return SeedResult(
        seed,
        outcome.reasons,
        outcome.digest,
        outcome.verdict.counts["taken"],
        outcome.seconds,
        cpu_seconds() - began,
        first or "; ".join(outcome.defects[:1]),
        outcome.states,
    )


def play_many(
    site: pb.Site,
    seeds: Sequence[int],
    at_once: int = 0,
    mutant: str = "",
    http: bool = False,
    durable_log: bool = False,
) -> Iterator[SeedResult]:
    """Yields the results in the order of the seeds.

    at_once: number of processes; 0: one for each core.
    """
    run_seed = partial(play_one, site.SerializeToString(), mutant, http, durable_log)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once or os.cpu_count() or 1, mp_context=context) as pool:
        try:
            yield from pool.map(run_seed, seeds, chunksize=4 if len(seeds) > 64 else 1)
        finally:
            pool.shutdown(cancel_futures=True)


@dataclass
class Summary:
    """Totals of many simulations.

    virtual: virtual time in seconds. cost: CPU time in seconds. states: how often a kind of act struck
    while a gateway was in a state.
    """

    worlds: int = 0
    taken: int = 0
    virtual: float = 0.0
    cost: float = 0.0
    failed: list[SeedResult] = field(default_factory=list)
    states: Counter[str] = field(default_factory=Counter)

    def add(self, result: SeedResult) -> None:
        self.worlds += 1
        self.taken += result.taken
        self.virtual += result.seconds
        self.cost += result.cost
        self.states.update(result.states)
        if result.reasons:
            self.failed.append(result)

    def unreached(self, http: bool = False) -> list[str]:
        """Returns the pairs of a kind of act and a gateway state that no simulation has met."""
        names = [
            name
            for name, kind in ACT_KINDS.items()
            if not (kind.membership_only or kind.relay_only or kind.durable_log_only or kind.branch_only)
            and not (kind.http_only if not http else name in NOT_FOR_HTTP)
        ]
        pairs = [f"{name} | {state}" for name in names for state in (WEB_STATES if http else STATES)]
        return [pair for pair in pairs if pair not in self.states]


def find_first_failing_seed(
    site: pb.Site,
    mutant: str,
    max_seeds: int,
    at_once: int = 0,
    http: bool = False,
    durable_log: bool = False,
) -> SeedResult | None:
    """Returns the result of the lowest seed that detects the mutant; None if none below max_seeds does."""
    step = 8 * (at_once or os.cpu_count() or 1)
    for begin in range(0, max_seeds, step):
        seeds = range(begin, min(max_seeds, begin + step))
        for result in play_many(site, seeds, at_once, mutant, http, durable_log):
            if result.reasons:
                return result
    return None


# ---- scripts that fail


def shrink_script(script: Script, fails: Callable[[Script], bool], report: Callable[[str], None]) -> Script:
    """Returns a script that still fails, with fewer acts, no clock errors if possible, and fewer seconds.

    Calls fails at most MAX_SHRINK_RUNS times.
    """
    runs = [0]

    def still_fails(candidate: Script) -> bool:
        runs[0] += 1
        return runs[0] <= MAX_SHRINK_RUNS and fails(candidate)

    count = max(1, len(script.acts) // 2)
    while script.acts and count:
        start = 0
        while start < len(script.acts):
            fewer = replace(script, acts=script.acts[:start] + script.acts[start + count :])
            if still_fails(fewer):
                script = fewer
                report(f"{len(script.acts)} acts are enough")
            else:
                start += count
        count //= 2
    if script.clocks and still_fails(without_clocks := replace(script, clocks={})):
        script = without_clocks
        report("clock errors don't matter")
    for act in script.acts:
        shorter = replace(act, seconds=round(act.seconds / 4, 3)) if ACT_KINDS[act.kind].lasts else act
        fewer = replace(script, acts=tuple(shorter if a is act else a for a in script.acts))
        if shorter.seconds > 0.05 and shorter != act and still_fails(fewer):
            script = fewer
    last = max((act.end for act in script.acts), default=0.0)
    for seconds in (last + 0.5, last + 2.0, 0.6 * script.seconds):
        if 1.0 <= seconds < script.seconds and still_fails(
            cut_short := replace(script, seconds=round(seconds, 1))
        ):
            script = cut_short
            report(f"{script.seconds:g} s are enough")
            break
    return script


def shrink_volumes(
    script: Script, volumes: Sequence[int], fails: Callable[[Script], bool], report: Callable[[str], None]
) -> Script:
    """Returns a script that still fails with requests to one volume; if there is none, to fewer volumes."""
    for volume in volumes:
        if fails(single := replace(script, volumes=(volume,))):
            report(f"volume {volume} is enough")
            return single
    needed = list(volumes)
    for volume in volumes:
        others = [v for v in needed if v != volume]
        if others and fails(replace(script, volumes=tuple(others))):
            needed = others
    return replace(script, volumes=tuple(needed)) if len(needed) < len(volumes) else script


def shrink(
    site: pb.Site,
    script: Script,
    mutant: str,
    report: Callable[[str], None],
    http: bool = False,
    durable_log: bool = False,
) -> Script:
    """Returns a smaller script that still fails for one of the reasons for which the given one does.

    report is called with a line about each step. Raises ValueError where the given script does not fail.
    """
    reasons = set(play(site, script, mutant, http, durable_log).reasons)
    if not reasons:
        raise ValueError("the script does not fail, so it can't be shrunk")
    report("fails: " + ", ".join(sorted(reasons)))

    def fails(candidate: Script) -> bool:
        return bool(reasons & set(play(site, candidate, mutant, http, durable_log).reasons))

    # Volumes come first: every later simulation is cheaper with fewer of them.
    script = shrink_volumes(script, [v.number for v in site.volume], fails, report)
    return shrink_script(script, fails, report)


def timeline(outcome: Outcome, start_time: float, max_breaks: int = 3) -> list[str]:
    """Returns lines to print: the faults and every step of the requests that broke a rule, by time.

    start_time: what client_start_time() returns; times are printed relative to it. max_breaks: number of
    breaks shown.
    """
    chosen = outcome.verdict.violations[:max_breaks]
    begin = outcome.records[0]["t"] if outcome.records else 0.0
    lines: set[tuple[float, str]] = set()
    for r in outcome.records:
        if r["e"] in (
            "fault",
            "head killed",
            "head back",
            "shelf killed",
            "shelf back",
            "list killed",
            "list back",
            "fell",
        ):
            description = r.get("act") or r["e"] + "".join(f" {r[k]}" for k in ("head", "shelf") if k in r)
            lines.add((r["t"] - begin, f"{r['t'] - start_time:9.3f}  {'-- ' + str(description)}"))
    offset = start_time - begin
    for broken in chosen:
        for step in broken.history:
            at, text = step[:9], step[9:]
            lines.add((float(at), f"{float(at) - offset:9.3f}{text}"))
    lines |= {(at - begin, f"{at - start_time:9.3f}  !! {b}") for at, b in outcome.online_breaks[:max_breaks]}
    ordered = [line for _, line in sorted(lines)]
    return ordered + [f"rule {b.rule}: {b.reason}" for b in chosen] + outcome.defects[:5]


def client_start_time(outcome: Outcome) -> float:
    """Returns when the clients started, on the simulation's clock."""
    first: float = outcome.records[0]["t"] if outcome.records else 0.0
    return first + START_UP
