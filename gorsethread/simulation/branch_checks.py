"""What worlds and real processes share where a site has branches: clients that reach a branch's heads, and a
judge of what was accepted. It believes clients, shelves and disks."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from gorsethread.durable_log.records import WRITE_PROGRESS, WriteProgress, WriteQueued
from gorsethread.durable_log.recovery import parse_segment_file_name, recover
from gorsethread.fakes.client import LoadClient
from gorsethread.nvme.command import Opcode
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.site_config import site_pb2 as pb

ROAMS = 0.04  # of the transactions at a branch, which come to a head of the main site instead


class BranchClient(LoadClient):
    """Its volumes are reached through the branch's heads, where there are such, and now and then through the
    main site's; else through the main site's alone."""

    roams = ROAMS

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        # Blocks of what was accepted last: label and when. No more than the volumes have.
        self.promised: dict[tuple[int, int], tuple[int, float]] = {}
        away = {n for b in self.site.branch for n in b.head}
        self.near: dict[int, list[int]] = {}
        for v in self.volumes:
            here, there = [n for n in v.head if n in away], [n for n in v.head if n not in away]
            self.near[v.number] = here or there

    def _head_for(self, volume: pb.Volume) -> Any:
        far = [n for n in volume.head if n not in self.near[volume.number]]
        if far and self.chance.random() < self.roams:
            return self.links[far[self.chance.randrange(len(far))]]
        near = pb.Volume(number=volume.number, head=self.near[volume.number])
        return super()._head_for(near)

    def _one_try(self, t: Any, attempt: int, link: Any) -> Any:
        one: Any = super()._one_try(t, attempt, link)
        one.begun = self.transport.now()
        return one

    def answered(self, one: Any, how: str, completion: Any, data: bytes) -> None:
        t, now = one.t, self.transport.now()
        blocks = [(t.volume.number, t.first_block + n) for n in range(t.blocks)]
        accepted = how == "honoured" and t.operation == Opcode.WRITE and completion.dw0 == 0
        if accepted:
            self.recorder.saw("accepted", label=t.label, attempt=one.attempt, head=one.link.number)
            self.promised.update(dict.fromkeys(blocks, (t.label, now)))
        elif (
            how == "honoured" and t.operation == Opcode.READ and one.link.number in self.near[t.volume.number]
        ):
            for n, block in enumerate(blocks):
                label, at = self.promised.get(block, (0, now))
                if at < one.begun and not any(data[n * BLOCK : n * BLOCK + 16]):
                    self.recorder.saw("unseen", label=label)
        super().answered(one, how, completion, data)
        if accepted:
            # Known to be there only where it is not parked: the judge looks at it by itself.
            self.acknowledged.difference_update(blocks)


@dataclass
class AcceptedWrites:
    """Labels. lost: neither in effect nor parked; doubled: in effect more than once though not redoable;
    causal_breaks: in effect before one that their client had been answered before; unseen: not seen by a later read
    at the branch, though not parked."""

    labels: set[int] = field(default_factory=set)
    replayed: set[int] = field(default_factory=set)
    parked: set[int] = field(default_factory=set)
    waiting: set[int] = field(default_factory=set)
    lost: list[int] = field(default_factory=list)
    doubled: list[int] = field(default_factory=list)
    causal_breaks: list[int] = field(default_factory=list)
    unseen: list[int] = field(default_factory=list)


def queued_write_labels(folders: Iterable[Mapping[str, bytes]]) -> tuple[set[int], set[int]]:
    """folders: segments of one head's own records each, by name. Labels of queued writes that are parked, and
    of those that wait."""
    parked: set[int] = set()
    waiting: set[int] = set()
    for files in folders:
        table = recover(
            {n: d for n, d in files.items() if parse_segment_file_name(n) is not None}, None, None
        ).table
        for r in table.records.values():
            if isinstance(r.fact, WriteQueued):
                step = table.records.get((WRITE_PROGRESS, r.fact.incarnation, r.fact.position))
                is_parked = (
                    step is not None and isinstance(step.fact, WriteProgress) and step.fact.stage == "parked"
                )
                (parked if is_parked else waiting).add(r.fact.label)
    return parked, waiting


def check_accepted_writes(
    site: pb.Site, records: list[dict[str, Any]], parked: set[int], waiting: set[int]
) -> AcceptedWrites:
    """records: of clients and shelves, in order of time."""
    found = AcceptedWrites(parked=parked, waiting=waiting)
    sent: dict[tuple[int, int], dict[str, Any]] = {}
    taken: list[tuple[float, float, str, int]] = []  # sent and answered at, whose, label
    ran: dict[int, list[float]] = {}
    profiles: dict[int, int] = {}
    back = {(r["label"], r["attempt"]) for r in records if r["e"] == "answer" and r["how"] == "pushed back"}
    for r in records:
        if r["e"] == "sent":
            sent[r["label"], r["attempt"]] = r
            profiles[r["label"]] = r["profile"]
        elif r["e"] == "ran" and (r["label"], r["attempt"]) not in back:
            # One that was pushed back and may have run is redoable, and another transaction.
            ran.setdefault(r["label"], []).append(r["t"])
        elif r["e"] == "accepted" and r["label"] not in found.labels:
            found.labels.add(r["label"])
            # One whose answer was lost may have been taken by an earlier try.
            begun = min(
                s["t"]
                for k in range(r["attempt"] + 1)
                if (s := sent.get((r["label"], k))) and (r["label"], k) not in back
            )
            taken.append((begun, r["t"], r["who"], r["label"]))
    found.replayed = found.labels & set(ran)
    found.lost = sorted(found.labels - set(ran) - parked - waiting)
    found.unseen = sorted({r["label"] for r in records if r["e"] == "unseen"} - parked - waiting)
    found.doubled = sorted(
        n for n in found.replayed if len(ran[n]) > 1 and site.profile[profiles[n]].effect != pb.REDOABLE
    )
    for who in {w for _, _, w, _ in taken}:
        mine = sorted((a, s, n) for s, a, w, n in taken if w == who)  # by when they were answered
        for begun, _, n in sorted((s, a, n) for s, a, w, n in taken if w == who):
            before = [m for a, _, m in mine if a < begun and m != n]
            # What was parked when this was accepted is for a person; when that was nobody outside knows.
            if n in ran and any(ran[m][0] > ran[n][0] if m in ran else m not in parked for m in before):
                found.causal_breaks.append(n)
    return found
