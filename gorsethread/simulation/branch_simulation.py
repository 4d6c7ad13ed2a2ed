"""Worlds with a branch whose link goes: what its heads accepted meanwhile is in effect in the end, once, in
causal order, or parked with a reason."""

from typing import Any

from gorsethread.nvme_gateway.log_folders import own_log_folder
from gorsethread.simulation.branch_checks import Accepted, BranchClient, judge, on_disks
from gorsethread.simulation.durable_log_simulation import RecordsWorld
from gorsethread.simulation.script import Act


class BranchWorld(RecordsWorld):
    client_kind = BranchClient
    accepted: Accepted

    def _start_client(self, tenant: str) -> None:
        super(RecordsWorld, self)._start_client(tenant)

    def _do_here(self, act: Act) -> None:
        if act.kind != "link":
            super()._do_here(act)
            return
        away = {n for b in self.site.branch for n in b.head}
        others = [
            "list",
            *(f"shelf {n}" for n in range(self.script.shelves)),
            *(f"head {n}" for n in range(self.script.heads) if n not in away),
        ]
        ways = [(act.whom, other) for other in others] if act.by != 2 else []
        ways += [(other, act.whom) for other in others] if act.by != 1 else []
        for one, other in ways:
            self.network.cut(one, other)
            self.loop.call_later(act.seconds, self.network.heal, one, other)

    def _follows(self, head: Any) -> bool:
        return super()._follows(head) and not (head.branch is not None and self._unsettled())

    def _unsettled(self) -> int:
        """Accepted writes that are neither in effect nor parked."""
        return sum(
            not queued.is_dead_lettered
            for head in self.heads.values()
            if head.branch
            for queued in head.branch.queue
        )

    def _check_rest(self) -> None:
        super()._check_rest()
        folders = [
            {
                path.rpartition("/")[2]: bytes(data)
                for path, data in self.disk.files.items()
                if path.startswith(own_log_folder(self.records_of(n), n) + "/")
            }
            for n in self.heads
        ]
        records = sorted(self.records, key=lambda r: r["t"])
        a = self.accepted = judge(self.site, records, *on_disks(folders))
        for what, labels in (
            ("accepted and lost", a.lost),
            ("in effect twice", a.doubled),
            ("out of causal order", a.causal),
            ("accepted and not seen", a.unseen),
        ):
            if labels:
                self._defect(f"{what}: {len(labels)} of {len(a.all)}, first {labels[0]}")
        for number, head in self.heads.items():
            b = head.branch
            if b is None or not self.processes[f"head {number}"].alive:
                continue
            if b.pending_admissions or self._unsettled():
                self._defect(f"not replayed: head {number}: {len(b.queue)} writes, {b.link.state.value}")
            queued = {each.write.number for each in b.queue}
            if b.block_view.numbers() - queued - set(b.standby_writes.numbers()):
                self._defect(f"left behind: head {number}: bytes of writes that are over")
