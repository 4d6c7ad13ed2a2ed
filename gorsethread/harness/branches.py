"""Heads of a site with a branch as real processes, whose link the relay cuts. Judges see clients, shelves and
the heads' disks."""

from dataclasses import dataclass
from statistics import median
from typing import Any

from gorsethread.harness import durable_log_trial
from gorsethread.harness.durable_log_trial import KeptTrial
from gorsethread.invariants.history_checker import Verdict
from gorsethread.nvme_gateway.log_folders import own_log_folder
from gorsethread.simulation.branch_checks import BranchClient, check_accepted_writes, queued_write_labels
from gorsethread.simulation.script import Script
from gorsethread.site_config import site_pb2 as pb

PLAYED = (*durable_log_trial.PLAYED, "link")
SETTLES_WITHIN = 60.0  # seconds after the last answer
LOOK = 0.5  # seconds between looks at the disks


@dataclass
class Result(durable_log_trial.Result):
    """live_latency_ratio: of the main site's clients, the median wait while writes were replayed to that
    before the first cut; 0 where there were too few."""

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


class BranchTrial(KeptTrial):
    result_kind = Result
    client_kind = BranchClient

    def __init__(
        self, transport: Any, processes: Any, known: pb.Site, log: Any, script: Script, plant: str = ""
    ) -> None:
        super().__init__(transport, processes, known, log, script, plant)
        away = {n for b in self.site.branch for n in b.head}
        self.cast.beyond = [
            "list",
            *(f"shelf {s.number}" for s in self.site.shelf),
            *(f"head {h.number}" for h in self.site.head if h.number not in away),
        ]

    def _begun(self) -> None:
        for when, head in self.copies_at:
            self.transport.call_at(self.zero + when, lambda head=head: self._copy(head))  # type: ignore[misc]

    def _disks(self) -> tuple[set[int], set[int]]:
        folders = []
        for h in self.site.head:
            own = self.folder(h.number) / own_log_folder("", h.number).lstrip("/")
            files = {}
            for path in own.glob("*") if own.exists() else ():
                try:
                    files[path.name] = path.read_bytes()
                except FileNotFoundError:  # a head at work begins a new segment
                    continue
            folders.append(files)
        return queued_write_labels(folders)

    async def _settled(self) -> None:
        by = self.transport.now() + SETTLES_WITHIN
        while self._disks()[1] and self.transport.now() < by:
            await self.transport.sleep(LOOK)
        await self.transport.sleep(LOOK)

    def judge(self, verdict: Verdict) -> None:
        self._count()
        r = self.result
        parked, waiting = self._disks()
        a = check_accepted_writes(self.site, self.records, parked, waiting)
        r.accepted, r.replayed, r.parked = len(a.labels), len(a.replayed), len(a.labels & parked)
        r.effects_doubled, r.accepted_lost, r.causal_breaks = (
            len(a.doubled),
            len(a.lost),
            len(a.causal_breaks),
        )
        r.accepted_unseen = len(a.unseen)
        r.cuts = sum(act.kind == "link" for act in self.script.acts)
        r.machines_lost = sum(act.kind == "wipe" for act in self.script.acts)
        if not a.labels:
            r.reasons.append("nothing was accepted: this trial shows nothing")
        if left := waiting & a.labels:
            r.reasons.append(f"{len(left)} accepted writes were not replayed in time")
        r.live_latency_ratio = self._latency(a.replayed)

    def _latency(self, replayed: set[int]) -> float:
        ran = [x["t"] for x in self.records if x["e"] == "ran" and x["label"] in replayed]
        sent = {(x["label"], x["attempt"]): x for x in self.records if x["e"] == "sent"}
        away = {n for b in self.site.branch for n in b.head}
        first = min((a.at for a in self.script.acts), default=0.0) + self.zero
        before: list[float] = []
        during: list[float] = []
        for x in self.records:
            if x["e"] == "answer" and x["how"] == "honoured":
                s = sent[x["label"], x["attempt"]]
                if s["head"] not in away and s["t"] < first:
                    before.append(x["t"] - s["t"])
                elif s["head"] not in away and ran and any(abs(t - s["t"]) < 0.25 for t in ran):
                    during.append(x["t"] - s["t"])
        return round(median(during) / median(before), 2) if len(before) > 20 and len(during) > 20 else 0.0
