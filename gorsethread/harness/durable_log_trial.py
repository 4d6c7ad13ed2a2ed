"""Heads of a site file as real processes that keep records in folders; scripts take, spoil, exchange these.
Judges see clients, shelves' bytes and the folders, never what a head says of itself.
"""

import contextlib
import shutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gorsethread.durable_log.recovery import SEGMENT_SUFFIX
from gorsethread.fakes.client import LoadClient
from gorsethread.harness import service, site
from gorsethread.harness.process_faults import FOLDERS
from gorsethread.harness.processes import Processes
from gorsethread.harness.site import SiteTrial
from gorsethread.invariants.history_checker import Verdict
from gorsethread.nvme_gateway.log_folders import own_log_folder
from gorsethread.simulation.durable_log_checks import (
    RecordNumberChecker,
    ShardForgettingClient,
    zero_middle_half,
)
from gorsethread.simulation.durable_log_simulation import shards_by_extent
from gorsethread.simulation.script import Act, Script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.real import RealTransport

PLAYED = (*site.PLAYED, *FOLDERS)


@dataclass
class Result(service.Result):
    """denied: reads of what was written that were answered as never written; parted: extents with bytes at
    two shards; numbers_reused: numbers of a head that said two things; placed: extents with bytes."""

    denied: int = 0
    parted: int = 0
    numbers_reused: int = 0
    placed: int = 0

    @property
    def good(self) -> bool:
        return super().good and not (self.denied or self.parted or self.numbers_reused)


class KeptTrial(SiteTrial):
    result_kind: Callable[[int], Any] = Result
    client_kind: type[LoadClient] = ShardForgettingClient

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        known: pb.Site,
        log: Any,
        script: Script,
        plant: str = "",
    ) -> None:
        super().__init__(transport, processes, known, log, script, plant)
        self.cast.folders = self._folders
        self.numbers = RecordNumberChecker()
        self.shards = {s.shard for s in self.site.shelf}
        self.copies_at: list[tuple[float, int]] = []  # when folders are copied for `older`, and whose
        self._past: list[tuple[float, int, Path]] = []  # copies of folders, for `older`: as many as its acts

    def folder(self, head: int) -> Path:
        return self.processes.folder / f"records-{head}"

    def _options(self, number: int) -> list[str]:
        return ["--records", str(self.folder(number))]

    def _ways(self) -> None:
        super()._ways()
        for act in self.script.acts:
            if act.kind == "older":
                self.copies_at.append((max(0.0, act.at - act.amount), int(act.target.split(" ")[1])))

    def _begun(self) -> None:
        for client in self.clients:
            assert isinstance(client, ShardForgettingClient)
            client.on_write_forgotten = self._denied
        for when, head in self.copies_at:
            self.transport.call_at(self.zero + when, lambda head=head: self._copy(head))  # type: ignore[misc]

    def _denied(self, volume: int, extent: int) -> None:
        self.result.denied += 1

    # ---- folders

    def _copy(self, head: int) -> None:
        to = self.processes.folder / f"past-{head}-{len(self._past)}"
        if self.folder(head).exists():
            shutil.copytree(self.folder(head), to)
        self._past.append((self.transport.now(), head, to))

    def _folders(self, act: Act) -> None:
        """What befalls the disks of heads that are killed now."""
        head = int(act.target.split(" ")[1])
        self._count()
        mine = self.folder(head)
        if act.kind == "swap":
            other, aside = self.folder(int(act.to.split(" ")[1])), self.processes.folder / "aside"
            mine.rename(aside)
            other.rename(mine)
            aside.rename(other)
        elif act.kind == "rot":
            names = sorted(Path(own_log_folder(str(mine), head)).glob(f"*{SEGMENT_SUFFIX}"))
            for path in names[-1:]:
                path.write_bytes(zero_middle_half(path.read_bytes()))
        else:
            shutil.rmtree(mine, ignore_errors=True)
            past = [path for _, whose, path in self._past if whose == head and path.exists()]
            if act.kind == "older" and past:
                past[-1].rename(mine)

    def _count(self) -> None:
        for path in self.processes.folder.glob(f"records-*/**/*{SEGMENT_SUFFIX}"):
            with contextlib.suppress(FileNotFoundError):
                self.result.numbers_reused += len(self.numbers.reused_numbers(path.read_bytes()))

    # ---- judging

    def judge(self, verdict: Verdict) -> None:
        self._count()
        folder = self.processes.folder
        files = {
            (s, v.number): path.read_bytes()
            for s in self.shards
            for v in self.site.volume
            if (path := folder / f"shard-{s}-volume-{v.number}").exists()
        }
        found = shards_by_extent(self.site, files)
        self.result.placed = len(found)
        self.result.parted = sum(len(shards) > 1 for shards in found.values())
        if not found:
            self.result.reasons.append("nothing was placed: this trial shows nothing")
