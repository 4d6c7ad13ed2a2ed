"""A head against a plain relay of ours: same codec, transport and processes, in turn, in one run."""

import asyncio
import json
import statistics
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from gorsethread.experiments.alternating_load import in_turn
from gorsethread.experiments.latency_attribution import footprint
from gorsethread.fakes.discovery import Registration
from gorsethread.harness.processes import Processes, resize_site
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import parse_site, split_address
from gorsethread.transport.base import Stream, Transport, Unreachable

SINKS = 3  # shelves with a process of their own
SHELVES = 48  # in the list when idle ones are to be there too
LOADS = 4  # load processes
START_UP = 2.5  # seconds until all load processes have started, so that none disturbs another
# Commands out of each, at saturation: few enough that the shelves' slots hold them all, and so many more that
# volumes wait for slots and the scheduler searches among them.
DEPTH = 12
HELD_DEPTH = 16
CALM_RATE = 1000.0  # transactions a second at which latency is compared, well under the most of both

BENCH_SITE = """
name: "bench" subsystem: "nqn.2026-12.org.gorsethread:bench"
list { address: "127.0.0.1:1" ask_within: 1 }
head { number: 0 address: "127.0.0.1:2" }
shelf { number: 0 address: "127.0.0.1:3" shard: 0 }
profile { name: "read" promised: 0.4 cut_off: 2 effect: REDOABLE value: 1 match { operation: READ } }
profile { name: "write" promised: 0.4 cut_off: 2 effect: REDOABLE value: 1 match { operation: WRITE } }
plan { name: "plain" weight: 1 usual: 1000 }
tenant { name: "t" host: "nqn.2026-12.org.gorsethread:host:t" }
rules { answer_slack: 0.05 drain_grace: 1 most_forwards: 4 longest_return: 1 share_worth: 1
        cold { units: 40 span: 1 multiple: 3 warm_after: 2 first_part: 0.2 } }
links { connect_within: 2 queue_size: 128 unit_bytes: 8192 largest_bytes: 131072 connections: 64 }
machine { cores: 2 unit_time: 0.0001 queue: 1000 }
"""
VOLUMES = 8


def bench_site(shelves: int, others: int = 0) -> pb.Site:
    """others: heads besides the one that is measured, which hold copies of its records."""
    text = BENCH_SITE
    if others:
        text = text.replace('"127.0.0.1:2" }', '"127.0.0.1:2" peers: "127.0.0.1:90" }')
        text += (
            "".join(
                f'head {{ number: {n} address: "127.0.0.1:{10 + n}" peers: "127.0.0.1:{90 + n}" }}\n'
                for n in range(1, 1 + others)
            )
            + f"records {{ copies: {others} held_by: 1 }}\n"
        )
    text += "".join(
        f'volume {{ number: {n + 1} name: "v{n}" tenant: "t" plan: "plain" blocks: 8192 extent_blocks: 16 '
        "placement: FIXED shard: 0 head: 0 }\n"
        for n in range(VOLUMES)
    )
    site = resize_site(parse_site(text), 1 + others, shelves)
    for volume in site.volume:
        volume.shard[:] = range(SINKS)
    return site


class Stand:
    """One subject (head or relay) with sinks and list round it, for as many measurements as are wanted."""

    def __init__(
        self,
        transport: Transport,
        folder: Path,
        subject: str,
        shelves: int,
        sampled: bool = False,
        accounts: bool = False,
        others: int = 0,
        records: bool = False,
    ) -> None:
        self.transport, self.subject, self.others = transport, subject, others
        folder.mkdir()
        self.site = bench_site(shelves, others)
        self.records = [f"{folder}/records-{n}" for n in range(1 + others)] if records else []
        self.processes = Processes(folder, self.site)
        self.path = str(self.processes.site_path)
        self.idle: list[Stream] = []
        self.profile = folder / "profile.json"
        self.extra: list[str] = ["--sample", str(self.profile)] if sampled else []
        if records:
            self.extra += ["--records", self.records[0]]
        if accounts:
            (folder / "accounts").mkdir()
            self.alternated = folder / "alternated.json"
            self.extra += [
                "--accounts",
                str(folder / "accounts"),
                "--window",
                "1",
                "--alternate",
                str(self.alternated),
            ]

    async def start(self) -> None:
        await self.processes.start("list", "list", "--site", self.path)
        for n in range(SINKS):
            await self.processes.start(
                f"shelf {n}", "bench-peer", "sink", "--site", self.path, "--number", str(n)
            )
        await self._until_reached(split_address(self.site.list.address))
        for shelf in self.site.shelf[SINKS:]:
            stream = await self.transport.connect(*split_address(self.site.list.address), 5.0)
            line = Registration(shelf.number, shelf.address, shelf.shard, shelf.zone, 1, 0.0)
            stream.write(msgspec.json.encode(line) + b"\n")
            self.idle.append(stream)
        if self.subject == "head":
            await self.processes.start(
                "subject", "head", "--site", self.path, "--head", "0", "--log-level", "warning", *self.extra
            )
        else:
            await self.processes.start("subject", "bench-peer", "relay", "--site", self.path, "--number", "0")
        for n in range(1, 1 + self.others):
            await self.processes.start(
                f"head {n}",
                "head",
                "--site",
                self.path,
                "--head",
                str(n),
                "--log-level",
                "warning",
                *(["--records", self.records[n]] if self.records else []),
            )
        for head in self.site.head:
            await self._until_reached(split_address(head.address))
        await self.transport.sleep(1.0)

    async def _until_reached(self, address: tuple[str, int]) -> None:
        for _ in range(100):
            try:
                (await self.transport.connect(*address, 1.0)).close()
                return
            except Unreachable:
                await self.transport.sleep(0.1)
        raise TimeoutError(f"nothing listens at {address[0]}:{address[1]}")

    async def load(self, seconds: float, rate: float = 0.0, depth: int = DEPTH) -> dict[str, float]:
        """Both load processes at once; rates and counts added, latencies of the worse one."""
        outs = [self.processes.folder / f"load-{n}.json" for n in range(LOADS)]
        process = psutil.Process(self.processes.pid("subject"))
        before = sum(process.cpu_times()[:2])
        start_at = self.transport.now() + START_UP
        for n, out in enumerate(outs):
            out.unlink(missing_ok=True)
            await self.processes.start(
                f"load {n}",
                "bench-peer",
                "load",
                "--site",
                self.path,
                "--number",
                str(n),
                "--seconds",
                str(seconds),
                "--start-at",
                str(start_at),
                "--rate",
                str(rate / LOADS),
                "--depth",
                str(depth),
                "--out",
                str(out),
            )
        for n in range(LOADS):
            await asyncio.wait_for(self.processes.running[f"load {n}"].wait(), START_UP + seconds + 60)
        cpu = sum(process.cpu_times()[:2]) - before
        got = [json.loads(out.read_text()) for out in outs]
        honoured = sum(g["honoured"] for g in got)
        return {
            "a_second": sum(g["honoured"] / g["seconds"] for g in got),
            "honoured": honoured,
            "busy": cpu / max(g["seconds"] for g in got),
            "failed": sum(g["failed"] for g in got),
            "cpu_us": 1e6 * cpu / max(1, honoured),
            "median_us": max(g["median_us"] for g in got),
            "p99_us": max(g["p99_us"] for g in got),
            "own_p99_us": max(g["own_p99_us"] for g in got),
            "memory_mib": process.memory_info().rss / 2**20,
        }

    async def end(self) -> None:
        for stream in self.idle:
            stream.close()
        await self.processes.end_all()


async def run_bench(
    transport: Transport, seconds: float, rounds: int, say: Callable[[str], None]
) -> dict[str, Any]:
    """Pairs of a relay and a head, the order turned each round; ratios are of one run's pairs."""
    pairs: list[dict[str, dict[str, float]]] = []
    idle: list[float] = []
    accounts: list[dict[str, float]] = []
    turns: list[dict[int, dict[str, Any]]] = []
    shares: dict[str, float] = {}
    with tempfile.TemporaryDirectory(prefix="gorsethread-bench-") as scratch:
        for number in range(rounds):
            pair: dict[str, dict[str, float]] = {}
            order = ("relay", "head") if number % 2 == 0 else ("head", "relay")
            for subject in order:
                stand = Stand(transport, Path(scratch) / f"{number}-{subject}", subject, SINKS)
                try:
                    await stand.start()
                    await stand.load(1.0)  # warm-up
                    pair[subject] = await stand.load(seconds)
                    calm = await stand.load(seconds, CALM_RATE)
                    pair[subject] |= {
                        "calm_median_us": calm["median_us"],
                        "calm_p99_us": calm["p99_us"],
                        "calm_own_p99_us": calm["own_p99_us"],
                    }
                finally:
                    await stand.end()
            pairs.append(pair)
            head = pair["head"]
            turn = await _in_turn(transport, Path(scratch) / f"{number}-turns", 3 * seconds)
            turns.append(turn)
            for depth, what in ((DEPTH, "nothing waits"), (HELD_DEPTH, "volumes wait for slots")):
                found = turn[depth]
                say(
                    f"pair {number + 1}, {what}: head at {found['rate']['median']:.2f} of the relay's "
                    f"transactions a second (middle half of {found['pairs']} stretches: "
                    f"{found['rate']['lower_quartile']:.2f} to {found['rate']['upper_quartile']:.2f}), CPU a "
                    f"transaction {found['cpu']['median']:.2f} times"
                )
            counted = await _alternated(transport, Path(scratch) / f"{number}-accounts", 3 * seconds)
            accounts.append(counted)
            say(
                f"pair {number + 1}: with accounts the head is at {counted['whole']:.3f} of itself without "
                f"(middle half of {counted['pairs']} stretches: {counted['lower_quartile']:.3f} to "
                f"{counted['upper_quartile']:.3f})"
            )
            stand = Stand(transport, Path(scratch) / f"{number}-idle", "head", SHELVES)
            try:
                await stand.start()
                await stand.load(1.0)
                many = await stand.load(seconds)
            finally:
                await stand.end()
            shares = shares or await _sampled(transport, Path(scratch) / "sampled", seconds)
            idle.append(many["cpu_us"] / head["cpu_us"])
            say(
                f"pair {number + 1}: with {SHELVES - SINKS} idle shelves in the list CPU a transaction is "
                f"{idle[-1]:.2f} times that without"
            )
    return {
        "head_to_relay": _median(turns, DEPTH, "rate"),
        "cpu_ratio": _median(turns, DEPTH, "cpu"),
        "held_head_to_relay": _median(turns, HELD_DEPTH, "rate"),
        "held_cpu_ratio": _median(turns, HELD_DEPTH, "cpu"),
        "turns": turns,
        "one_after_the_other": _ratio(pairs, "a_second"),
        "accounts_to_head": _spread([a["whole"] for a in accounts]),
        "accounts": accounts,
        "accounts_footprint": footprint(),
        "calm_median_ratio": _ratio(pairs, "calm_median_us"),
        "calm_p99_ratio": _ratio(pairs, "calm_p99_us"),
        "idle_shelves_cpu_ratio": _spread(idle),
        "head_cpu_shares": shares,
        "pairs": pairs,
        "failed": sum(p[s]["failed"] for p in pairs for s in p),
    }


async def _in_turn(transport: Transport, folder: Path, seconds: float) -> dict[int, dict[str, Any]]:
    """Relay and head both stand, and one load goes to them in turn; by its depth."""
    folder.mkdir()
    stands = [Stand(transport, folder / subject, subject, SINKS) for subject in ("relay", "head")]
    try:
        for stand in stands:
            await stand.start()
        return {
            depth: await in_turn(transport, stands, LOADS, depth, seconds, folder)
            for depth in (DEPTH, HELD_DEPTH)
        }
    finally:
        for stand in stands:
            await stand.end()


def _median(turns: list[dict[int, dict[str, Any]]], depth: int, figure: str) -> dict[str, float]:
    return _spread([turn[depth][figure]["median"] for turn in turns])


async def _alternated(transport: Transport, folder: Path, seconds: float) -> dict[str, float]:
    """One head that keeps accounts in turn, under one load."""
    stand = Stand(transport, folder, "head", SINKS, accounts=True)
    try:
        await stand.start()
        await stand.load(seconds)
    finally:
        await stand.end()
    got: dict[str, float] = json.loads(stand.alternated.read_text())
    return got


async def _sampled(transport: Transport, folder: Path, seconds: float) -> dict[str, float]:
    """Where the head's CPU time goes; apart from the pairs, as sampling costs some itself."""
    stand = Stand(transport, folder, "head", SINKS, sampled=True)
    try:
        await stand.start()
        await stand.load(seconds)
    finally:
        await stand.end()
    shares: dict[str, float] = json.loads(stand.profile.read_text())
    return shares


def _ratio(pairs: list[dict[str, dict[str, float]]], figure: str) -> dict[str, float]:
    return _spread([p["head"][figure] / p["relay"][figure] for p in pairs])


def _spread(values: list[float]) -> dict[str, float]:
    return {
        "least": round(min(values), 3),
        "median": round(statistics.median(values), 3),
        "most": round(max(values), 3),
    }
