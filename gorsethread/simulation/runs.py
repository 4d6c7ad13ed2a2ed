"""Many worlds over all cores, and what is made of one that fails: played again, cut down, told in order."""

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
from gorsethread.simulation.durable_log_mutants import KEPT_MUTANTS
from gorsethread.simulation.durable_log_simulation import DurableLogSimulation
from gorsethread.simulation.http_mutants import WEB_MUTANTS
from gorsethread.simulation.http_simulation import HttpSimulation
from gorsethread.simulation.mutants import MUTANTS
from gorsethread.simulation.script import ACT_KINDS, Script
from gorsethread.simulation.script_generator import BranchDraw, Draw
from gorsethread.simulation.site_simulation import START_UP, Outcome, SiteSimulation
from gorsethread.simulation.states import STATES, WEB_STATES
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.sampling import cpu_seconds

NOT_ON_THE_PLATFORM = ("disk", "wall")
SHRINKS_MOST = 120  # worlds played to cut one down


@dataclass(frozen=True)
class Played:
    """What is kept of one world of many. cost: seconds of CPU time it took."""

    seed: int
    reasons: list[str]
    digest: str
    taken: int
    seconds: float
    cost: float
    first: str  # what was wrong first, for a person
    states: dict[str, int] = field(default_factory=dict)


def drawn(site: pb.Site, seed: int, web: bool = False, kept: bool = False) -> Script:
    if site.branch:
        return BranchDraw(seed, site).script()
    return Draw(
        seed, [v.number for v in site.volume], [t.name for t in site.tenant], web=web, kept=kept
    ).script()


def play(site: pb.Site, script: Script, mutant: str = "", web: bool = False, kept: bool = False) -> Outcome:
    """Plays a script once, in a world of its own. web: with heads on the operators' platform; kept: with
    heads that keep records, as those of a site with branches always do."""
    if site.branch:
        return BranchSimulation(site, script, BRANCH_MUTANTS.get(mutant)).play()
    if kept:
        return DurableLogSimulation(site, script, KEPT_MUTANTS.get(mutant) or MUTANTS.get(mutant)).play()
    if web:
        return HttpSimulation(site, script, WEB_MUTANTS.get(mutant)).play()
    return SiteSimulation(site, script, MUTANTS.get(mutant)).play()


def play_one(raw_site: bytes, mutant: str, web: bool, kept: bool, seed: int) -> Played:
    """In a process of the pool. A world that raises, or waits for ever, failed too."""
    site = pb.Site.FromString(raw_site)
    began = cpu_seconds()
    try:
        outcome = play(site, drawn(site, seed, web, kept), mutant, web, kept)
    except Exception as error:
        return Played(
            seed, [f"raised {type(error).__name__}"], "", 0, 0.0, cpu_seconds() - began, repr(error)
        )
    gc.collect()  # a world is one large cycle, and many of them were held at once
    first = str(outcome.verdict.breaks[0]) if outcome.verdict.breaks else ""
    if not first and outcome.online_breaks:
        first = str(outcome.online_breaks[0][1])
    return Played(
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
    web: bool = False,
    kept: bool = False,
) -> Iterator[Played]:
    """In the order of the seeds; at_once 0: as many as there are cores."""
    work = partial(play_one, site.SerializeToString(), mutant, web, kept)
    fresh = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(at_once or os.cpu_count() or 1, mp_context=fresh) as pool:
        try:
            yield from pool.map(work, seeds, chunksize=4 if len(seeds) > 64 else 1)
        finally:
            pool.shutdown(cancel_futures=True)


@dataclass
class Summary:
    """Of many worlds. wall: seconds it took on this machine's clock."""

    worlds: int = 0
    taken: int = 0
    virtual: float = 0.0
    cost: float = 0.0
    failed: list[Played] = field(default_factory=list)
    states: Counter[str] = field(default_factory=Counter)

    def add(self, played: Played) -> None:
        self.worlds += 1
        self.taken += played.taken
        self.virtual += played.seconds
        self.cost += played.cost
        self.states.update(played.states)
        if played.reasons:
            self.failed.append(played)

    def unreached(self, web: bool = False) -> list[str]:
        kinds = [
            kind
            for kind, k in ACT_KINDS.items()
            if not (k.membership_only or k.relay_only or k.durable_log_only or k.branch_only)
            and not (k.http_only if not web else kind in NOT_ON_THE_PLATFORM)
        ]
        pairs = [f"{kind} | {state}" for kind in kinds for state in (WEB_STATES if web else STATES)]
        return [pair for pair in pairs if pair not in self.states]


def until_caught(
    site: pb.Site, mutant: str, most: int, at_once: int = 0, web: bool = False, kept: bool = False
) -> Played | None:
    """The first seed, from 0, whose world shows the planted defect; None where none of so many does."""
    step = 8 * (at_once or os.cpu_count() or 1)
    for begin in range(0, most, step):
        for played in play_many(site, range(begin, min(most, begin + step)), at_once, mutant, web, kept):
            if played.reasons:
                return played
    return None


# ---- one that fails


def shrunk(script: Script, fails: Callable[[Script], bool], say: Callable[[str], None]) -> Script:
    """The fewest acts, volumes and seconds with which it still fails, as far as so many tries tell."""
    tries = [0]

    def still(candidate: Script) -> bool:
        tries[0] += 1
        return tries[0] <= SHRINKS_MOST and fails(candidate)

    part = max(1, len(script.acts) // 2)
    while script.acts and part:
        at = 0
        while at < len(script.acts):
            fewer = replace(script, acts=script.acts[:at] + script.acts[at + part :])
            if still(fewer):
                script = fewer
                say(f"{len(script.acts)} acts are enough")
            else:
                at += part
        part //= 2
    if script.clocks and still(plain := replace(script, clocks={})):
        script = plain
        say("clocks don't matter")
    for act in script.acts:
        shorter = replace(act, seconds=round(act.seconds / 4, 3)) if ACT_KINDS[act.kind].lasts else act
        fewer = replace(script, acts=tuple(shorter if a is act else a for a in script.acts))
        if shorter.seconds > 0.05 and shorter != act and still(fewer):
            script = fewer
    last = max((act.end for act in script.acts), default=0.0)
    for seconds in (last + 0.5, last + 2.0, 0.6 * script.seconds):
        if 1.0 <= seconds < script.seconds and still(cut := replace(script, seconds=round(seconds, 1))):
            script = cut
            say(f"{script.seconds:g} s are enough")
            break
    return script


def fewer_volumes(
    script: Script, volumes: Sequence[int], fails: Callable[[Script], bool], say: Callable[[str], None]
) -> Script:
    """One volume if one is enough, else as many as matter."""
    for volume in volumes:
        if fails(one := replace(script, volumes=(volume,))):
            say(f"volume {volume} is enough")
            return one
    kept = list(volumes)
    for volume in volumes:
        rest = [v for v in kept if v != volume]
        if rest and fails(replace(script, volumes=tuple(rest))):
            kept = rest
    return replace(script, volumes=tuple(kept)) if len(kept) < len(volumes) else script


def shrink(
    site: pb.Site,
    seed_or_script: Script,
    mutant: str,
    say: Callable[[str], None],
    web: bool = False,
    kept: bool = False,
) -> Script:
    """ValueError where it does not fail at all. What counts is that one of the same reasons stays."""
    wanted = set(play(site, seed_or_script, mutant, web, kept).reasons)
    if not wanted:
        raise ValueError("this world shows nothing wrong")
    say("wrong: " + ", ".join(sorted(wanted)))

    def fails(candidate: Script) -> bool:
        return bool(wanted & set(play(site, candidate, mutant, web, kept).reasons))

    # Fewer volumes first: all later worlds are the cheaper for it.
    script = fewer_volumes(seed_or_script, [v.number for v in site.volume], fails, say)
    return shrunk(script, fails, say)


def timeline(outcome: Outcome, site_zero: float, breaks_most: int = 3) -> list[str]:
    """Faults and, for the first breaks, every step of their transactions, in the order of time."""
    chosen = outcome.verdict.breaks[:breaks_most]
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
            what = r.get("act") or r["e"] + "".join(f" {r[k]}" for k in ("head", "shelf") if k in r)
            lines.add((r["t"] - begin, f"{r['t'] - site_zero:9.3f}  {'-- ' + str(what)}"))
    offset = site_zero - begin
    for each in chosen:
        for step in each.history:
            at, rest = step[:9], step[9:]
            lines.add((float(at), f"{float(at) - offset:9.3f}{rest}"))
    lines |= {(at - begin, f"{at - site_zero:9.3f}  !! {b}") for at, b in outcome.online_breaks[:breaks_most]}
    found = [line for _, line in sorted(lines)]
    return found + [f"rule {b.rule}: {b.reason}" for b in chosen] + outcome.defects[:5]


def zero_of(outcome: Outcome) -> float:
    """When clients began, on the world's clock."""
    first: float = outcome.records[0]["t"] if outcome.records else 0.0
    return first + START_UP
