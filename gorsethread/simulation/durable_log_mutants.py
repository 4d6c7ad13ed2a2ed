"""Defects planted in what heads do with records, copies and their return; see mutants.py."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.recovery.stages import RecoveryStages
from gorsethread.simulation.mutant_registry import registered_in

DURABLE_LOG_MUTANTS: dict[str, Callable[[Head], None]] = {}
mutant = registered_in(DURABLE_LOG_MUTANTS)


def _promises(head: Head) -> ReplicatedLog:
    assert head.promises is not None
    return head.promises


def _holding(head: Head) -> Any:
    assert head.holding is not None
    return head.holding


def _returning(head: Head, change: Callable[[RecoveryStages], None]) -> None:
    """Changes the stages as they are made."""
    promises = _promises(head)
    honest = promises.open

    def opened() -> None:
        honest()
        change(promises.recovery)

    promises.open = opened  # type: ignore[method-assign]


@mutant("records: nothing is kept of what is placed")
def _nothing(head: Head) -> None:
    promises = _promises(head)
    promises.placed = lambda extent, shard, on_durable: promises.transport.call_soon(  # type: ignore[method-assign]
        lambda: on_durable(True)
    )


@mutant("records: what a disk does not take is told as kept")
def _untaken(head: Head) -> None:
    store = _promises(head).store
    honest = store.add

    def add(record: Record, on_committed: Callable[[bool], None] | None = None) -> None:
        honest(record, None if on_committed is None else lambda kept: on_committed(True))

    store.add = add  # type: ignore[method-assign]


@mutant("records: half of a folder is read")
def _half(head: Head) -> None:
    store = _promises(head).store
    honest = store.open

    def opened() -> Any:
        found = honest()
        held = sorted(found.table.records.values())
        found.table = store.table = RecordTable(held[: len(held) // 2])
        found.table.last = held[-1].number if held else NO_SEQUENCE
        return found

    store.open = opened  # type: ignore[method-assign]


@mutant("records: rotten bytes are not noticed")
def _rotten(head: Head) -> None:
    store = _promises(head).store
    honest = store.open

    def opened() -> Any:
        found = honest()
        found.complete = True
        return found

    store.open = opened  # type: ignore[method-assign]


@mutant("return: a life's numbers are given again")
def _same_life(head: Head) -> None:
    _returning(head, lambda r: setattr(r, "next_incarnation", lambda wall: max(1, r.own_last[0])))


@mutant("return: nobody is asked")
def _not_asked(head: Head) -> None:
    def change(r: RecoveryStages) -> None:
        r.has_no_replicas = r.trusts_own_records = True
        r.other_gateways = frozenset()
        r.advance(0.0)

    _returning(head, change)


@mutant("return: an empty disk is a first start")
def _empty(head: Head) -> None:
    _returning(head, lambda r: setattr(r, "trusts_own_records", True))


@mutant("return: one answer is enough")
def _one_answer(head: Head) -> None:
    def change(r: RecoveryStages) -> None:
        r.required_replicas = len(r.other_gateways)

    _returning(head, change)


@mutant("return: later records of others are not fetched")
def _older(head: Head) -> None:
    def change(r: RecoveryStages) -> None:
        honest = r.on_answer
        r.on_answer = lambda gateway, last, incarnation, now: honest(  # type: ignore[method-assign]
            gateway, min(last, r.own_last), incarnation, now
        )

    _returning(head, change)


@mutant("return: what is not known is held for nowhere at once")
def _no_care(head: Head) -> None:
    _promises(head).retry_after = lambda: 0.0  # type: ignore[method-assign]


@mutant("copies: a holder says so before its disk has it")
def _holds_early(head: Head) -> None:
    async def keep(held: Any, m: replication_messages.StoreRecords) -> bool:
        return True

    _holding(head)._store_records = keep


@mutant("copies: what is on its way counts as held")
def _sent_counts(head: Head) -> None:
    sender = _promises(head).sender
    honest = sender.next_batch

    def next_batch(gateway: int, table: RecordTable, last: Any) -> Any:
        found = honest(gateway, table, last)
        if found is not None:
            sender.confirmed(gateway, last)
        return replace(found, records=[]) if found is not None else None

    sender.next_batch = next_batch  # type: ignore[method-assign]


@mutant("copies: a holder keeps the first of each piece")
def _first_only(head: Head) -> None:
    holding = _holding(head)
    honest = holding._store_records

    async def keep(held: Any, m: replication_messages.StoreRecords) -> bool:
        return bool(
            await honest(
                held, replication_messages.StoreRecords(m.incarnation, m.replaces_all, m.entries[:1], m.last)
            )
        )

    holding._store_records = keep


@mutant("copies: given back without the last")
def _gives_less(head: Head) -> None:
    promises = _promises(head)
    honest = promises._on_records_fetched

    def given(peer: int, records: RecordTable) -> None:
        kept = sorted(records.records.values())[:-3]
        less = RecordTable(kept)
        less.last = records.last
        honest(peer, less)

    promises._on_records_fetched = given  # type: ignore[method-assign]


@mutant("driver: sends before it is kept")
def _sends_first(head: Head) -> None:
    promises = _promises(head)
    honest = promises.placed

    def placed(extent: Any, shard: int, on_durable: Callable[[bool], None]) -> None:
        promises.transport.call_soon(lambda: on_durable(True))
        promises.transport.call_at(
            promises.transport.now() + 0.5, lambda: honest(extent, shard, lambda kept: None)
        )

    promises.placed = placed  # type: ignore[method-assign]
