"""What simulations and trials with real processes share where a site has branches.

Clients that reach the gateways of a branch, and a check of the writes that were accepted there. The check
relies on the records of clients and backends and on the gateways' disks alone.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from gorsethread.durable_log.records import WRITE_PROGRESS, WriteProgress, WriteQueued
from gorsethread.durable_log.recovery import parse_segment_file_name, recover
from gorsethread.fakes.client import LoadClient
from gorsethread.nvme.command import Opcode
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.site_config import site_pb2 as pb

MAIN_SITE_FRACTION = 0.04  # of the requests at a branch, which go to a gateway of the main site instead


class BranchClient(LoadClient):
    """A client that reaches a volume through the gateways of the branch, if the volume has any there.

    A small fraction of those requests goes to the volume's gateways at the main site. Volumes without a
    gateway at a branch are reached through the main site only.
    """

    main_site_fraction = MAIN_SITE_FRACTION

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # Label and time of the last accepted write, by volume and block; at most one entry per block.
        self.accepted: dict[tuple[int, int], tuple[int, float]] = {}
        branch_gateways = {n for b in self.site.branch for n in b.head}
        self.preferred_gateways: dict[int, list[int]] = {}  # gateways by volume
        for v in self.volumes:
            at_branch = [n for n in v.head if n in branch_gateways]
            at_main_site = [n for n in v.head if n not in branch_gateways]
            self.preferred_gateways[v.number] = at_branch or at_main_site

    def _choose_gateway(self, volume: pb.Volume) -> Any:
        preferred = self.preferred_gateways[volume.number]
        others = [n for n in volume.head if n not in preferred]
        if others and self.chance.random() < self.main_site_fraction:
            return self.links[others[self.chance.randrange(len(others))]]
        return super()._choose_gateway(pb.Volume(number=volume.number, head=preferred))

    def _new_attempt(self, request: Any, attempt: int, link: Any) -> Any:
        created: Any = super()._new_attempt(request, attempt, link)
        created.started_at = self.transport.now()
        return created

    def write_accepted(self, attempt: Any) -> None:
        """Records that a gateway of the branch accepted the write of an attempt."""
        label, gateway = attempt.request.label, attempt.link.number
        self.recorder.record("accepted", label=label, attempt=attempt.attempt, head=gateway)

    def answered(self, attempt: Any, how: str, completion: Any, data: bytes) -> None:
        request, now = attempt.request, self.transport.now()
        blocks = [(request.volume.number, request.first_block + n) for n in range(request.blocks)]
        accepted = how == "honoured" and request.operation == Opcode.WRITE and completion.dw0 == 0
        if accepted:
            self.write_accepted(attempt)
            self.accepted.update(dict.fromkeys(blocks, (request.label, now)))
        elif (
            how == "honoured"
            and request.operation == Opcode.READ
            and attempt.link.number in self.preferred_gateways[request.volume.number]
        ):
            for n, block in enumerate(blocks):
                label, at = self.accepted.get(block, (0, now))
                if at < attempt.started_at and not any(data[n * BLOCK : n * BLOCK + 16]):
                    self.recorder.record("unseen", label=label)
        super().answered(attempt, how, completion, data)
        if accepted:
            # The write may become a dead letter and then need not be read back: check_accepted_writes
            # checks it instead.
            self.acknowledged.difference_update(blocks)


@dataclass
class AcceptedWrites:
    """The labels of the writes that a branch accepted, by what became of them.

    Attributes:
        labels: All of them.
        replayed: Those that ran on a backend.
        dead_lettered: Those that became dead letters.
        waiting: Those still queued.
        lost: Neither run, nor dead-lettered, nor queued.
        doubled: Run more than once though not idempotent.
        causal_breaks: Run before a write that their client had seen answered before it sent them.
        unseen: Not returned by a later read at the branch, though neither dead-lettered nor queued.
    """

    labels: set[int] = field(default_factory=set)
    replayed: set[int] = field(default_factory=set)
    dead_lettered: set[int] = field(default_factory=set)
    waiting: set[int] = field(default_factory=set)
    lost: list[int] = field(default_factory=list)
    doubled: list[int] = field(default_factory=list)
    causal_breaks: list[int] = field(default_factory=list)
    unseen: list[int] = field(default_factory=list)


def queued_write_labels(folders: Iterable[Mapping[str, bytes]]) -> tuple[set[int], set[int]]:
    """Returns the labels of the queued writes that are dead-lettered, and of those that wait.

    Args:
        folders: For each gateway, the segments of its own log by file name.
    """
    dead_lettered: set[int] = set()
    waiting: set[int] = set()
    for files in folders:
        segments = {name: data for name, data in files.items() if parse_segment_file_name(name) is not None}
        table = recover(segments, None, None).table
        for record in table.records.values():
            fact = record.fact
            if isinstance(fact, WriteQueued):
                step = table.records.get((WRITE_PROGRESS, fact.incarnation, fact.position))
                is_dead_letter = (
                    step is not None and isinstance(step.fact, WriteProgress) and step.fact.stage == "parked"
                )
                (dead_lettered if is_dead_letter else waiting).add(fact.label)
    return dead_lettered, waiting


def check_accepted_writes(
    site: pb.Site, records: list[dict[str, Any]], dead_lettered: set[int], waiting: set[int]
) -> AcceptedWrites:
    """Finds out what became of each accepted write.

    Args:
        records: The events of clients and backends, in order of time.
        dead_lettered: Labels of dead-lettered writes.
        waiting: Labels of writes that are still queued.
    """
    found = AcceptedWrites(dead_lettered=dead_lettered, waiting=waiting)
    sent: dict[tuple[int, int], dict[str, Any]] = {}
    accepted: list[tuple[float, float, str, int]] = []  # time sent, time answered, client, label
    ran: dict[int, list[float]] = {}
    request_classes: dict[int, int] = {}
    rejected = {
        (r["label"], r["attempt"]) for r in records if r["e"] == "answer" and r["how"] == "pushed back"
    }
    for r in records:
        if r["e"] == "sent":
            sent[r["label"], r["attempt"]] = r
            request_classes[r["label"]] = r["profile"]
        elif r["e"] == "ran" and (r["label"], r["attempt"]) not in rejected:
            # A rejected attempt that may have run is idempotent, and its retry is another request.
            ran.setdefault(r["label"], []).append(r["t"])
        elif r["e"] == "accepted" and r["label"] not in found.labels:
            found.labels.add(r["label"])
            # An earlier attempt whose response was lost may be the one that was accepted.
            sent_at = min(
                first["t"]
                for attempt in range(r["attempt"] + 1)
                if (first := sent.get((r["label"], attempt))) and (r["label"], attempt) not in rejected
            )
            accepted.append((sent_at, r["t"], r["who"], r["label"]))
    found.replayed = found.labels & set(ran)
    found.lost = sorted(found.labels - set(ran) - dead_lettered - waiting)
    found.unseen = sorted({r["label"] for r in records if r["e"] == "unseen"} - dead_lettered - waiting)
    found.doubled = sorted(
        n
        for n in found.replayed
        if len(ran[n]) > 1 and site.profile[request_classes[n]].effect != pb.REDOABLE
    )
    for client in {who for _, _, who, _ in accepted}:
        own = [(sent_at, answered_at, n) for sent_at, answered_at, who, n in accepted if who == client]
        by_answer = sorted((answered_at, sent_at, n) for sent_at, answered_at, n in own)
        for sent_at, _, n in sorted(own):
            before = [m for answered_at, _, m in by_answer if answered_at < sent_at and m != n]
            # An earlier write that is a dead letter now is left to a person and does not count: when it
            # became one is not known from outside.
            if n in ran and any(
                ran[m][0] > ran[n][0] if m in ran else m not in dead_lettered for m in before
            ):
                found.causal_breaks.append(n)
    return found
