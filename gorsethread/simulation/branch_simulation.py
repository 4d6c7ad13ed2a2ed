"""Simulates sites with a branch whose link to the main site fails.

In the end each write that the branch's gateways accepted meanwhile must have run once, in causal order, or be
dead-lettered with a reason.
"""

from typing import Any

from gorsethread.nvme_gateway.log_folders import own_log_folder
from gorsethread.simulation.branch_checks import (
    AcceptedWrites,
    BranchClient,
    check_accepted_writes,
    queued_write_labels,
)
from gorsethread.simulation.durable_log_simulation import DurableLogSimulation
from gorsethread.simulation.script import Act


class BranchSimulation(DurableLogSimulation):
    """One run of a script on a site with a branch.

    Attributes:
        accepted: What became of the accepted writes; set at the end of the run.
    """

    client_class = BranchClient
    accepted: AcceptedWrites

    def _start_client(self, tenant: str) -> None:
        super(DurableLogSimulation, self)._start_client(tenant)

    def _apply_variant_act(self, act: Act) -> None:
        if act.kind != "link":
            super()._apply_variant_act(act)
            return
        branch_gateways = {n for b in self.site.branch for n in b.head}
        main_site = [
            "list",
            *(f"shelf {n}" for n in range(self.script.shelves)),
            *(f"head {n}" for n in range(self.script.heads) if n not in branch_gateways),
        ]
        directions = [(act.target, name) for name in main_site] if act.amount != 2 else []
        directions += [(name, act.target) for name in main_site] if act.amount != 1 else []
        for source, destination in directions:
            self.network.cut(source, destination)
            self.loop.call_later(act.seconds, self.network.heal, source, destination)

    def _follows_discovery(self, gateway: Any) -> bool:
        """Also waits, at a branch, until all accepted writes have run or are dead-lettered."""
        return super()._follows_discovery(gateway) and not (
            gateway.branch is not None and self._waiting_writes()
        )

    def _waiting_writes(self) -> int:
        """The number of accepted writes that have neither run nor been dead-lettered."""
        return sum(
            not queued.is_dead_lettered
            for gateway in self.gateways.values()
            if gateway.branch
            for queued in gateway.branch.queue
        )

    def _check_end_state(self) -> None:
        super()._check_end_state()
        folders = [
            {
                path.rpartition("/")[2]: bytes(data)
                for path, data in self.disk.files.items()
                if path.startswith(own_log_folder(self.records_folder(n), n) + "/")
            }
            for n in self.gateways
        ]
        records = sorted(self.records, key=lambda r: r["t"])
        writes = self.accepted = check_accepted_writes(self.site, records, *queued_write_labels(folders))
        for reason, labels in (
            ("accepted and lost", writes.lost),
            ("in effect twice", writes.doubled),
            ("out of causal order", writes.causal_breaks),
            ("accepted and not seen", writes.unseen),
        ):
            if labels:
                self._add_defect(f"{reason}: {len(labels)} of {len(writes.labels)}, first {labels[0]}")
        for number, gateway in self.gateways.items():
            branch = gateway.branch
            if branch is None or not self.processes[f"head {number}"].alive:
                continue
            if branch.pending_admissions or self._waiting_writes():
                self._add_defect(
                    f"not replayed: head {number}: {len(branch.queue)} writes, {branch.link.state.value}"
                )
            queued = {entry.write.number for entry in branch.queue}
            if branch.block_view.numbers() - queued - set(branch.standby_writes.numbers()):
                self._add_defect(f"left behind: head {number}: bytes of writes that are over")
