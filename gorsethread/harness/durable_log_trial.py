"""Runs gateways with a site file and durable logs as real processes; scripts wipe, spoil or swap the logs.

The checks use the records of clients, the backends' bytes and the log folders, and no report of a gateway.
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
from gorsethread.harness.process_faults import FOLDER_ACTS
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

SUPPORTED_ACTS = (*site.SUPPORTED_ACTS, *FOLDER_ACTS)


@dataclass
class Result(service.Result):
    """The figures of one trial.

    denied: reads of written data that were answered as never written.
    parted: extents with bytes at two shards. placed: extents with bytes.
    numbers_reused: log numbers of a gateway that stood for two different records.
    """

    denied: int = 0
    parted: int = 0
    numbers_reused: int = 0
    placed: int = 0

    @property
    def good(self) -> bool:
        return super().good and not (self.denied or self.parted or self.numbers_reused)


class DurableLogTrial(SiteTrial):
    """A trial of gateways that keep durable logs."""

    result_class: Callable[[int], Any] = Result
    client_class: type[LoadClient] = ShardForgettingClient

    def __init__(
        self,
        transport: RealTransport,
        processes: Processes,
        site_config: pb.Site,
        log: Any,
        script: Script,
        defect_code: str = "",
    ) -> None:
        super().__init__(transport, processes, site_config, log, script, defect_code)
        self.fault_player.on_folder_act = self._apply_to_folder
        self.numbers = RecordNumberChecker()
        self.shards = {s.shard for s in self.site.shelf}
        self.copies_at: list[tuple[float, int]] = []  # when to copy a folder for `older`, and the gateway
        # Copies of folders for `older`, one per act: time, gateway, path.
        self._past: list[tuple[float, int, Path]] = []

    def folder(self, gateway: int) -> Path:
        return self.processes.folder / f"records-{gateway}"

    def _options(self, number: int) -> list[str]:
        return ["--records", str(self.folder(number))]

    def _add_routes(self) -> None:
        super()._add_routes()
        for act in self.script.acts:
            if act.kind == "older":
                self.copies_at.append((max(0.0, act.at - act.amount), int(act.target.split(" ")[1])))

    def _clients_started(self) -> None:
        for client in self.clients:
            assert isinstance(client, ShardForgettingClient)
            client.on_write_forgotten = self._denied
        for when, gateway in self.copies_at:
            self.transport.call_at(self.zero + when, lambda gateway=gateway: self._copy_folder(gateway))  # type: ignore[misc]

    def _denied(self, volume: int, extent: int) -> None:
        self.result.denied += 1

    # ---- folders

    def _copy_folder(self, gateway: int) -> None:
        to = self.processes.folder / f"past-{gateway}-{len(self._past)}"
        if self.folder(gateway).exists():
            shutil.copytree(self.folder(gateway), to)
        self._past.append((self.transport.now(), gateway, to))

    def _apply_to_folder(self, act: Act) -> None:
        """Applies an act to the folder of a gateway that was just killed."""
        gateway = int(act.target.split(" ")[1])
        self._count_reused_numbers()
        folder = self.folder(gateway)
        if act.kind == "swap":
            other, aside = self.folder(int(act.to.split(" ")[1])), self.processes.folder / "aside"
            folder.rename(aside)
            other.rename(folder)
            aside.rename(other)
        elif act.kind == "rot":
            names = sorted(Path(own_log_folder(str(folder), gateway)).glob(f"*{SEGMENT_SUFFIX}"))
            for path in names[-1:]:
                path.write_bytes(zero_middle_half(path.read_bytes()))
        else:
            shutil.rmtree(folder, ignore_errors=True)
            past = [path for _, owner, path in self._past if owner == gateway and path.exists()]
            if act.kind == "older" and past:
                past[-1].rename(folder)

    def _count_reused_numbers(self) -> None:
        for path in self.processes.folder.glob(f"records-*/**/*{SEGMENT_SUFFIX}"):
            with contextlib.suppress(FileNotFoundError):
                self.result.numbers_reused += len(self.numbers.reused_numbers(path.read_bytes()))

    # ---- checks

    def judge(self, verdict: Verdict) -> None:
        self._count_reused_numbers()
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
            self.result.reasons.append("nothing was placed, so this trial proves nothing")
