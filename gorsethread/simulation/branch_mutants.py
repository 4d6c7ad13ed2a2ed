"""Mutants of offline writes, at a branch's gateways and at the main site's; see mutants.py."""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.records import Tombstone, WriteApplied, WriteQueued
from gorsethread.nvme.command import Opcode
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.nvme_gateway.replay_receiver import ReplayReceiver
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.offline_writes.applied_writes import AppliedWrites, ReplayOutcome
from gorsethread.offline_writes.messages import ReplayWrite
from gorsethread.offline_writes.writes import ClientContext, WriteNumber
from gorsethread.simulation.mutant_registry import registered_in

BRANCH_MUTANTS: dict[str, Callable[[NvmeGateway], None]] = {}
mutant = registered_in(BRANCH_MUTANTS)


def _at_branch(gateway: NvmeGateway, change: Callable[[Any], None]) -> None:
    """Calls change with the OfflineWrites of a branch's gateway; does nothing at the main site's gateways."""
    if gateway.branch is not None:
        change(gateway.branch)


def _at_main_site(gateway: NvmeGateway, change: Callable[[ReplayReceiver], None]) -> None:
    """Calls change with the ReplayReceiver of a main site's gateway; does nothing at a branch's gateways."""
    on_branch_message: Any = (
        gateway.replica_server.on_branch_message if gateway.replica_server is not None else None
    )
    if on_branch_message is not None:
        change(on_branch_message.__self__)


def _on_applied_writes(gateway: NvmeGateway, change: Callable[[AppliedWrites], None]) -> None:
    """Calls change with the AppliedWrites of a main site's gateway right after they are created."""

    def mutate(receiver: ReplayReceiver) -> None:
        original = receiver._known_writes

        def known_writes() -> AppliedWrites | None:
            is_new = receiver._applied_writes is None
            applied_writes = original()
            if applied_writes is not None and is_new:
                change(applied_writes)
            return applied_writes

        receiver._known_writes = known_writes  # type: ignore[method-assign]

    _at_main_site(gateway, mutate)


def _on_append(gateway: NvmeGateway, replace_append: Callable[[ReplicatedLog, Any], Any]) -> None:
    """Replaces the log's append() by what replace_append(log, append) returns."""
    if gateway.replicated_log is not None:
        gateway.replicated_log.append = replace_append(gateway.replicated_log, gateway.replicated_log.append)  # type: ignore[method-assign]


@mutant("branch: accepted before it is on a disk")
def _acknowledges_before_flush(gateway: NvmeGateway) -> None:
    def replace_append(log: ReplicatedLog, original: Any) -> Any:
        def append(fact: Any, on_durable: Any = None, own_disk_only: bool = False) -> None:
            if isinstance(fact, WriteQueued):
                log.transport.call_soon(lambda: on_durable(True))
                log.transport.call_at(log.transport.now() + 0.5, lambda: original(fact))
            else:
                original(fact, on_durable, own_disk_only)

        return append

    _on_append(gateway, replace_append)


@mutant("branch: accepted before the other head has it")
def _acknowledges_before_standby(gateway: NvmeGateway) -> None:
    _on_append(
        gateway,
        lambda log, original: lambda fact, on_durable=None, own_disk_only=False: original(
            fact, on_durable, own_disk_only or isinstance(fact, WriteQueued)
        ),
    )


@mutant("branch: replayed in order of acceptance alone")
def _ignores_dependencies(gateway: NvmeGateway) -> None:
    _at_branch(gateway, lambda branch: setattr(branch.queue, "_dependencies_finished", lambda write: True))


@mutant("branch: the queue goes with its process")
def _skips_recovery(gateway: NvmeGateway) -> None:
    _at_branch(gateway, lambda branch: setattr(branch._recovery, "recover", lambda in_doubt: None))


@mutant("branch: what is given up stays on the disks")
def _keeps_abandoned_writes(gateway: NvmeGateway) -> None:
    def replace_append(log: ReplicatedLog, original: Any) -> Any:
        def append(fact: Any, on_durable: Any = None, own_disk_only: bool = False) -> None:
            # A tombstone with the callback of withdraw(), for a write that could not be stored in time.
            if (
                isinstance(fact, Tombstone)
                and on_durable is not None
                and getattr(on_durable, "__name__", "") == "withdrawn"
            ):
                log.transport.call_soon(lambda: on_durable(True))
            else:
                original(fact, on_durable, own_disk_only)

        return append

    _on_append(gateway, replace_append)


@mutant("branch: reads do not see what is queued")
def _hides_queued_writes_from_reads(gateway: NvmeGateway) -> None:
    def mutate(branch: Any) -> None:
        original = branch.admit
        branch.admit = lambda io, waiting, extent, data: io.command.opcode != Opcode.READ and original(
            io, waiting, extent, data
        )

    _at_branch(gateway, mutate)


@mutant("branch: live writes overtake what is queued")
def _lets_writes_overtake_queue(gateway: NvmeGateway) -> None:
    def mutate(branch: Any) -> None:
        original = branch.admit
        branch.admit = lambda io, waiting, extent, data: (
            branch.link.queueing or io.command.opcode == Opcode.READ
        ) and original(io, waiting, extent, data)

    _at_branch(gateway, mutate)


@mutant("branch: once cut off, always cut off")
def _never_leaves_offline_mode(gateway: NvmeGateway) -> None:
    def mutate(branch: Any) -> None:
        link = branch.link
        link._answers_since = float("inf")
        link.answer_received = lambda now: None if link.queueing else setattr(link, "_last_answer", now)

    _at_branch(gateway, mutate)


@mutant("branch: what the other head took is no cause")
def _ignores_standby_dependencies(gateway: NvmeGateway) -> None:
    def mutate(branch: Any) -> None:
        admission = branch._admission
        original = admission._enqueue

        def enqueue(request: Any, dependencies: Any) -> None:
            original(
                request, {number for number in dependencies if number.gateway == branch.settings.gateway}
            )

        admission._enqueue = enqueue

    _at_branch(gateway, mutate)


@mutant("branch: what the other head has queued is taken for over")
def _skips_standby_writes(gateway: NvmeGateway) -> None:
    _at_branch(
        gateway, lambda branch: setattr(branch.queue, "_is_standby_write_finished", lambda number: True)
    )


@mutant("branch: a client that comes again is not known")
def _forgets_client_context(gateway: NvmeGateway) -> None:
    _at_branch(gateway, lambda branch: setattr(branch._contexts, "current", lambda host: ClientContext()))


@mutant("branch: the mark is past what waits")
def _advances_completed_mark(gateway: NvmeGateway) -> None:
    if gateway.branch is not None:
        queue = gateway.branch.queue
        queue_class = type(queue)
        queue.__class__ = type(
            "MutantQueue", (queue_class,), {"completed_up_to": property(lambda queue: queue._last_position)}
        )


@mutant("branch: copies come on any stream")
def _accepts_replication_on_any_stream(gateway: NvmeGateway) -> None:
    if gateway.replica_server is not None:
        holding: Any = gateway.replica_server
        original = holding._on_store_records

        async def on_store_records(stream: Any, origin: int, message: Any) -> None:
            holding.replica_of(origin).stream = stream
            await original(stream, origin, message)

        holding._on_store_records = on_store_records


@mutant("main site: what is in effect is not known")
def _forgets_applied_writes(gateway: NvmeGateway) -> None:
    _on_applied_writes(
        gateway, lambda applied: setattr(applied, "_is_applied", lambda known, position: False)
    )


@mutant("main site: what was begun is not known after a restart")
def _loses_started_writes(gateway: NvmeGateway) -> None:
    def replace_append(log: ReplicatedLog, original: Any) -> Any:
        def append(fact: Any, on_durable: Any = None, own_disk_only: bool = False) -> None:
            if isinstance(fact, WriteApplied) and not fact.ran:
                log.transport.call_soon(lambda: on_durable(True))
            else:
                original(fact, on_durable, own_disk_only)

        return append

    _on_append(gateway, replace_append)


@mutant("main site: told as in effect as it comes")
def _confirms_on_receipt(gateway: NvmeGateway) -> None:
    def mutate(receiver: ReplayReceiver) -> None:
        original = receiver._execute

        def execute(message: ReplayWrite) -> None:
            number = WriteNumber(*message.number)
            for waiter in receiver._waiters.pop(number, ()):
                receiver._reply(waiter.stream, number, ReplayOutcome.APPLIED, waiter.send_token)
            original(message)

        receiver._execute = execute  # type: ignore[method-assign]

    _at_main_site(gateway, mutate)
