"""Worlds with a branch whose link goes: what its heads accepted meanwhile is in effect in the end, once, in
causal order, or parked with a reason."""

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
    client_class = BranchClient
    accepted: AcceptedWrites

    def _start_client(self, tenant: str) -> None:
        super(DurableLogSimulation, self)._start_client(tenant)

    def _apply_variant_act(self, act: Act) -> None:
        if act.kind != "link":
            super()._apply_variant_act(act)
            return
        away = {n for b in self.site.branch for n in b.head}
        others = [
            "list",
            *(f"shelf {n}" for n in range(self.script.shelves)),
            *(f"head {n}" for n in range(self.script.heads) if n not in away),
        ]
        ways = [(act.target, other) for other in others] if act.amount != 2 else []
        ways += [(other, act.target) for other in others] if act.amount != 1 else []
        for one, other in ways:
            self.network.cut(one, other)
            self.loop.call_later(act.seconds, self.network.heal, one, other)

    def _follows_discovery(self, head: Any) -> bool:
        return super()._follows_discovery(head) and not (head.branch is not None and self._unsettled())

    def _unsettled(self) -> int:
        """AcceptedWrites writes that are neither in effect nor parked."""
        return sum(
            not queued.is_dead_lettered
            for head in self.gateways.values()
            if head.branch
            for queued in head.branch.queue
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
        a = self.accepted = check_accepted_writes(self.site, records, *queued_write_labels(folders))
        for what, labels in (
            ("accepted and lost", a.lost),
            ("in effect twice", a.doubled),
            ("out of causal order", a.causal_breaks),
            ("accepted and not seen", a.unseen),
        ):
            if labels:
                self._add_defect(f"{what}: {len(labels)} of {len(a.labels)}, first {labels[0]}")
        for number, head in self.gateways.items():
            b = head.branch
            if b is None or not self.processes[f"head {number}"].alive:
                continue
            if b.pending_admissions or self._unsettled():
                self._add_defect(f"not replayed: head {number}: {len(b.queue)} writes, {b.link.state.value}")
            queued = {each.write.number for each in b.queue}
            if b.block_view.numbers() - queued - set(b.standby_writes.numbers()):
                self._add_defect(f"left behind: head {number}: bytes of writes that are over")
