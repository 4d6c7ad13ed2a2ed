"""Runs the gateways of a site with a branch as real processes and cuts the branch's link.

The checks use the records of clients and backends and the gateways' disks.
"""

from dataclasses import dataclass
from statistics import median
from typing import Any

from gorsethread.harness import durable_log_trial
from gorsethread.harness.durable_log_trial import DurableLogTrial
from gorsethread.invariants.history_checker import Verdict
from gorsethread.nvme_gateway.log_folders import own_log_folder
from gorsethread.simulation.branch_checks import BranchClient, check_accepted_writes, queued_write_labels
from gorsethread.simulation.script import Script
from gorsethread.site_config import site_pb2 as pb

SUPPORTED_ACTS = (*durable_log_trial.SUPPORTED_ACTS, "link")
REPLAY_TIMEOUT_SECONDS = 60.0  # after the last answer
CHECK_INTERVAL_SECONDS = 0.5  # between two checks of the disks
REPLAY_WINDOW_SECONDS = 0.25  # a request so close to a replayed write was sent during replay


@dataclass
class Result(durable_log_trial.Result):
    """The figures of one trial.

    live_latency_ratio: for clients of the main site, the median latency during replay divided by that before
    the first cut; 0 if either had too few answers.
    """

    accepted: int = 0
    replayed: int = 0
    parked: int = 0
    effects_doubled: int = 0
    accepted_lost: int = 0
    accepted_unseen: int = 0
    causal_breaks: int = 0
    cuts: int = 0
    machines_lost: int = 0
    live_latency_ratio: float = 0.0

    @property
    def good(self) -> bool:
        return super().good and not (
            self.effects_doubled or self.accepted_lost or self.causal_breaks or self.accepted_unseen
        )


class BranchTrial(DurableLogTrial):
    """A trial of gateways of a main site and a branch."""

    result_class = Result
    client_class = BranchClient

    def __init__(
        self,
        transport: Any,
        processes: Any,
        site_config: pb.Site,
        log: Any,
        script: Script,
        defect_code: str = "",
    ) -> None:
        super().__init__(transport, processes, site_config, log, script, defect_code)
        branch_gateways = {n for b in self.site.branch for n in b.head}
        self.fault_player.link_far_side = [
            "list",
            *(f"shelf {s.number}" for s in self.site.shelf),
            *(f"head {h.number}" for h in self.site.head if h.number not in branch_gateways),
        ]

    def _clients_started(self) -> None:
        for when, gateway in self.copies_at:
            self.transport.call_at(self.zero + when, lambda gateway=gateway: self._copy_folder(gateway))  # type: ignore[misc]

    def _queued_labels(self) -> tuple[set[int], set[int]]:
        """Returns the labels of writes on disk: those dead-lettered, and those that wait for replay."""
        folders = []
        for h in self.site.head:
            log_folder = self.folder(h.number) / own_log_folder("", h.number).lstrip("/")
            files = {}
            for path in log_folder.glob("*") if log_folder.exists() else ():
                try:
                    files[path.name] = path.read_bytes()
                except FileNotFoundError:  # a running gateway replaced the segment
                    continue
            folders.append(files)
        return queued_write_labels(folders)

    async def _clients_finished(self) -> None:
        deadline = self.transport.now() + REPLAY_TIMEOUT_SECONDS
        while self._queued_labels()[1] and self.transport.now() < deadline:
            await self.transport.sleep(CHECK_INTERVAL_SECONDS)
        await self.transport.sleep(CHECK_INTERVAL_SECONDS)

    def judge(self, verdict: Verdict) -> None:
        self._count_reused_numbers()
        r = self.result
        parked, waiting = self._queued_labels()
        accepted = check_accepted_writes(self.site, self.records, parked, waiting)
        r.accepted, r.replayed = len(accepted.labels), len(accepted.replayed)
        r.parked, r.effects_doubled = len(accepted.labels & parked), len(accepted.doubled)
        r.accepted_lost, r.causal_breaks = len(accepted.lost), len(accepted.causal_breaks)
        r.accepted_unseen = len(accepted.unseen)
        r.cuts = sum(act.kind == "link" for act in self.script.acts)
        r.machines_lost = sum(act.kind == "wipe" for act in self.script.acts)
        if not accepted.labels:
            r.reasons.append("nothing was accepted, so this trial proves nothing")
        if left := waiting & accepted.labels:
            r.reasons.append(f"{len(left)} accepted writes were not replayed in time")
        r.live_latency_ratio = self._latency_ratio(accepted.replayed)

    def _latency_ratio(self, replayed: set[int]) -> float:
        replay_times = [x["t"] for x in self.records if x["e"] == "ran" and x["label"] in replayed]
        sent = {(x["label"], x["attempt"]): x for x in self.records if x["e"] == "sent"}
        branch_gateways = {n for b in self.site.branch for n in b.head}
        first_act = min((a.at for a in self.script.acts), default=0.0) + self.zero
        before: list[float] = []
        during: list[float] = []
        for x in self.records:
            if x["e"] == "answer" and x["how"] == "honoured":
                s = sent[x["label"], x["attempt"]]
                if s["head"] not in branch_gateways and s["t"] < first_act:
                    before.append(x["t"] - s["t"])
                elif s["head"] not in branch_gateways and any(
                    abs(t - s["t"]) < REPLAY_WINDOW_SECONDS for t in replay_times
                ):
                    during.append(x["t"] - s["t"])
        return round(median(during) / median(before), 2) if len(before) > 20 and len(during) > 20 else 0.0
