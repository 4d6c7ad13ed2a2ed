"""Mutants of the durable log, its replication and the recovery from it; see mutants.py."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.recovery.stages import RecoveryStages
from gorsethread.simulation.mutant_registry import registered_in

DURABLE_LOG_MUTANTS: dict[str, Callable[[NvmeGateway], None]] = {}
mutant = registered_in(DURABLE_LOG_MUTANTS)


def _log_of(gateway: NvmeGateway) -> ReplicatedLog:
    assert gateway.replicated_log is not None
    return gateway.replicated_log


def _replica_server_of(gateway: NvmeGateway) -> Any:
    assert gateway.replica_server is not None
    return gateway.replica_server


def _on_recovery_stages(gateway: NvmeGateway, change: Callable[[RecoveryStages], None]) -> None:
    """Calls change with the recovery stages once the log is open."""
    log = _log_of(gateway)
    original = log.open

    def open_and_mutate() -> None:
        original()
        change(log.recovery)

    log.open = open_and_mutate  # type: ignore[method-assign]


@mutant("records: nothing is kept of what is placed")
def _keeps_no_placements(gateway: NvmeGateway) -> None:
    log = _log_of(gateway)
    log.placed = lambda extent, shard, on_durable: log.transport.call_soon(  # type: ignore[method-assign]
        lambda: on_durable(True)
    )


@mutant("records: what a disk does not take is told as kept")
def _reports_failed_writes_as_durable(gateway: NvmeGateway) -> None:
    store = _log_of(gateway).store
    original = store.add

    def add(record: Record, on_committed: Callable[[bool], None] | None = None) -> None:
        original(record, None if on_committed is None else lambda committed: on_committed(True))

    store.add = add  # type: ignore[method-assign]


@mutant("records: half of a folder is read")
def _reads_half_of_log(gateway: NvmeGateway) -> None:
    store = _log_of(gateway).store
    original = store.open

    def open_and_mutate() -> Any:
        found = original()
        records = sorted(found.table.records.values())
        found.table = store.table = RecordTable(records[: len(records) // 2])
        found.table.last = records[-1].number if records else NO_SEQUENCE
        return found

    store.open = open_and_mutate  # type: ignore[method-assign]


@mutant("records: rotten bytes are not noticed")
def _ignores_corruption(gateway: NvmeGateway) -> None:
    store = _log_of(gateway).store
    original = store.open

    def open_and_mutate() -> Any:
        found = original()
        found.complete = True
        return found

    store.open = open_and_mutate  # type: ignore[method-assign]


@mutant("return: a life's numbers are given again")
def _reuses_incarnation(gateway: NvmeGateway) -> None:
    _on_recovery_stages(
        gateway, lambda stages: setattr(stages, "next_incarnation", lambda wall: max(1, stages.own_last[0]))
    )


@mutant("return: nobody is asked")
def _queries_no_replicas(gateway: NvmeGateway) -> None:
    def change(stages: RecoveryStages) -> None:
        stages.has_no_replicas = stages.trusts_own_records = True
        stages.other_gateways = frozenset()
        stages.advance(0.0)

    _on_recovery_stages(gateway, change)


@mutant("return: an empty disk is a first start")
def _trusts_empty_disk(gateway: NvmeGateway) -> None:
    _on_recovery_stages(gateway, lambda stages: stages.accept_loss(stages.started))


@mutant("return: complete own records are trusted after a while")
def _trusts_complete_records_after_a_while(gateway: NvmeGateway) -> None:
    def change(stages: RecoveryStages) -> None:
        if stages.trusts_own_records:
            stages.accept_loss(stages.started)

    _on_recovery_stages(gateway, change)


@mutant("return: one answer is enough")
def _accepts_one_replica_answer(gateway: NvmeGateway) -> None:
    def change(stages: RecoveryStages) -> None:
        stages.required_replicas = len(stages.other_gateways)

    _on_recovery_stages(gateway, change)


@mutant("return: later records of others are not fetched")
def _skips_newer_records(gateway: NvmeGateway) -> None:
    def change(stages: RecoveryStages) -> None:
        original = stages.on_answer
        stages.on_answer = lambda gateway, last, incarnation, now: original(  # type: ignore[method-assign]
            gateway, min(last, stages.own_last), incarnation, now
        )

    _on_recovery_stages(gateway, change)


@mutant("return: what is not known is held for nowhere at once")
def _never_delays_requests(gateway: NvmeGateway) -> None:
    _log_of(gateway).retry_after = lambda: 0.0  # type: ignore[method-assign]


@mutant("copies: a holder says so before its disk has it")
def _confirms_before_flush(gateway: NvmeGateway) -> None:
    async def store_records(replica: Any, message: replication_messages.StoreRecords) -> bool:
        return True

    _replica_server_of(gateway)._store_records = store_records


@mutant("copies: what is on its way counts as held")
def _confirms_on_send(gateway: NvmeGateway) -> None:
    sender = _log_of(gateway).sender
    original = sender.next_batch

    def next_batch(gateway: int, table: RecordTable, last: Any) -> Any:
        batch = original(gateway, table, last)
        if batch is not None:
            sender.confirmed(gateway, last)
        return replace(batch, records=[]) if batch is not None else None

    sender.next_batch = next_batch  # type: ignore[method-assign]


@mutant("copies: a holder keeps the first of each piece")
def _stores_first_record_only(gateway: NvmeGateway) -> None:
    server = _replica_server_of(gateway)
    original = server._store_records

    async def store_records(replica: Any, message: replication_messages.StoreRecords) -> bool:
        return bool(
            await original(
                replica,
                replication_messages.StoreRecords(
                    message.incarnation, message.replaces_all, message.entries[:1], message.last
                ),
            )
        )

    server._store_records = store_records


@mutant("copies: given back without the last")
def _drops_last_records(gateway: NvmeGateway) -> None:
    log = _log_of(gateway)
    original = log._on_records_fetched

    def on_records_fetched(peer: int, records: RecordTable) -> None:
        remaining = sorted(records.records.values())[:-3]
        truncated = RecordTable(remaining)
        truncated.last = records.last
        original(peer, truncated)

    log._on_records_fetched = on_records_fetched  # type: ignore[method-assign]


@mutant("driver: sends before it is kept")
def _sends_before_durable(gateway: NvmeGateway) -> None:
    log = _log_of(gateway)
    original = log.placed

    def placed(extent: Any, shard: int, on_durable: Callable[[bool], None]) -> None:
        log.transport.call_soon(lambda: on_durable(True))
        log.transport.call_at(
            log.transport.now() + 0.5, lambda: original(extent, shard, lambda durable: None)
        )

    log.placed = placed  # type: ignore[method-assign]
