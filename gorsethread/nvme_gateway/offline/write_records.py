"""Converts records of queued writes to the write queue's types."""

from gorsethread.durable_log.records import WriteQueued
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.offline_writes.writes import Position, Write, WriteNumber


def position_of(record: WriteQueued) -> Position:
    """Returns the position of a write among the writes of its gateway."""
    return record.incarnation, record.position


def dependencies_of(record: WriteQueued) -> list[WriteNumber]:
    """Returns the writes that must be applied first."""
    return [WriteNumber(*number) for number in (*record.own_dependencies, *record.other_dependencies)]


def write_of(
    number: WriteNumber, record: WriteQueued, settings: BranchSettings, forced: bool = False
) -> Write:
    """Returns the write that a record describes; a forced one is applied whatever its blocks hold."""
    request_class = settings.request_classes[record.request_class]
    return Write(
        number=number,
        volume=record.volume,
        block=record.block,
        ordering_key=record.key,
        priority_weight=request_class.priority_weight,
        size=len(record.data),
        accepted_at=record.accepted_at,
        own_dependencies=tuple(WriteNumber(*each) for each in record.own_dependencies),
        other_dependencies=tuple(WriteNumber(*each) for each in record.other_dependencies),
        base_version=record.base_digest,
        stops_on_conflict=request_class.stops_on_conflict and not forced,
        idempotent=request_class.idempotent,
        idempotency_key=record.label,
    )
