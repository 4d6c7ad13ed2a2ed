"""Records on this machine's disk: the log beside an embedded store (lmdb, of the development's requirements)
under the same load in turn, so that both meet the same disk. Ratios only.
"""

import asyncio
import importlib
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from gorsethread.durable_log.group_commit import MAX_BATCH
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import ExtentPlaced, Record
from gorsethread.durable_log.segments import LogEntry
from gorsethread.errors import GorsethreadError
from gorsethread.experiments.alternating_load import in_turn
from gorsethread.experiments.bench import DEPTH, LOADS, Stand
from gorsethread.transport.base import Transport

STRETCH = 0.5  # seconds
MAP_BYTES = 1 << 30
EXTENTS = 20_000


class NotThere(GorsethreadError):
    """The store to compare with is not installed."""

    action = "Install the development's requirements (./run test does so) and ask again."


class Kept(Protocol):
    def add(self, record: Record, done: Callable[[bool], None]) -> None: ...


class Embedded:
    """lmdb under the same group commit: what comes while one is under way goes with the next."""

    def __init__(self, folder: str) -> None:
        try:
            lmdb: Any = importlib.import_module("lmdb")
        except ImportError:
            raise NotThere("lmdb is not installed") from None
        self._env = lmdb.open(folder, map_size=MAP_BYTES)
        self._pending: list[tuple[Record, Callable[[bool], None]]] = []
        self._working = False
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, record: Record, done: Callable[[bool], None]) -> None:
        self._pending.append((record, done))
        if not self._working:
            self._working = True
            task = asyncio.ensure_future(self._work())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _work(self) -> None:
        while self._pending:
            batch, self._pending = self._pending[:MAX_BATCH], self._pending[MAX_BATCH:]
            await asyncio.get_running_loop().run_in_executor(None, self._write, [r for r, _ in batch])
            for _, done in batch:
                done(True)
        self._working = False

    def _write(self, records: list[Record]) -> None:
        with self._env.begin(write=True) as transaction:
            for r in records:
                transaction.put(
                    b"%d/%d" % r.fact.subject, msgspec.msgpack.encode(LogEntry(*r.number, r.fact))
                )

    def close(self) -> None:
        self._env.close()


async def stretch(transport: Transport, store: Kept, depth: int, first: int) -> tuple[int, list[float]]:
    """depth promises always out: how many were kept in a stretch, and how long each took."""
    until, place, out = transport.now() + STRETCH, first, 0
    took: list[float] = []

    def give() -> None:
        nonlocal place, out
        place += 1
        out += 1
        began = transport.now()

        def done(kept: bool) -> None:
            nonlocal out
            out -= 1
            took.append(transport.now() - began)
            if transport.now() < until:
                give()

        store.add(Record((1, place), ExtentPlaced(1, place % EXTENTS, place % 7)), done)

    for _ in range(depth):
        give()
    while out:
        await transport.sleep(0.01)
    return place, took


async def compared(
    transport: Transport, folder: Path, depths: list[int], pairs: int, log: Any
) -> list[dict[str, Any]]:
    """For each depth: kept a second and the time that one of a hundred exceeds, log over embedded store,
    median and quartiles over neighbouring stretches."""
    (folder / "lmdb").mkdir(parents=True)
    own, other = LogStore(transport, str(folder / "own"), 1, 0, log), Embedded(str(folder / "lmdb"))
    own.open()
    await own.start_incarnation(1)
    rows, place = [], 0
    for depth in depths:
        rates, times = [], []
        for n in range(pairs + 1):
            place, mine = await stretch(transport, own, depth, place)
            _, theirs = await stretch(transport, other, depth, place)
            if n:  # the first settles
                rates.append(len(mine) / len(theirs))
                times.append(_late(mine) / _late(theirs))
        rows.append(
            {
                "depth": depth,
                "pairs": pairs,
                "rate": _spread(rates),
                "late": _spread(times),
                "commits_a_record": round(own.disk.commits / place, 4),
            }
        )
    own.close()
    other.close()
    return rows


async def cost(transport: Transport, folder: Path, seconds: float) -> dict[str, Any]:
    """A head with records and copies at two others over one without, on the ordinary path, in turn under one
    load at saturation: honoured a second and CPU a transaction, median and quartiles of neighbouring
    stretches."""
    stands = [
        Stand(transport, folder / ("on" if on else "off"), "head", 3, others=2, records=on)
        for on in (False, True)
    ]
    try:
        for stand in stands:
            await stand.start()
        return await in_turn(transport, stands, LOADS, DEPTH, seconds, folder)
    finally:
        for stand in stands:
            await stand.end()


def _late(took: list[float]) -> float:
    return sorted(took)[int(0.99 * (len(took) - 1))]


def _spread(values: list[float]) -> list[float]:
    low, middle, high = statistics.quantiles(values, n=4)
    return [round(v, 2) for v in (low, middle, high)]
