"""Defects planted in what branches do, and the main site's heads for them; see mutants.py."""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.records import Tombstone, WriteApplied, WriteQueued
from gorsethread.nvme.command import Opcode
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.nvme_gateway.replay_receiver import ReplayReceiver
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.offline_writes.applied_writes import AppliedWrites, ReplayOutcome
from gorsethread.offline_writes.messages import ReplayWrite
from gorsethread.offline_writes.writes import ClientContext, WriteNumber
from gorsethread.simulation.mutant_registry import registered_in

BRANCH_MUTANTS: dict[str, Callable[[Head], None]] = {}
mutant = registered_in(BRANCH_MUTANTS)


def _of_branch(head: Head, change: Callable[[Any], None]) -> None:
    """Of a branch's heads: its side, whose methods may be exchanged."""
    if head.branch is not None:
        change(head.branch)


def _at_main_site(head: Head, change: Callable[[ReplayReceiver], None]) -> None:
    """Of the main site's heads."""
    said: Any = head.holding.on_branch_message if head.holding is not None else None
    if said is not None:
        change(said.__self__)


def _core(head: Head, change: Callable[[AppliedWrites], None]) -> None:
    """Changes what a main site's head knows of branches' writes, as it is made."""

    def on(side: ReplayReceiver) -> None:
        honest = side._known_writes

        def known() -> AppliedWrites | None:
            made = side._applied_writes is None
            applied_writes = honest()
            if applied_writes is not None and made:
                change(applied_writes)
            return applied_writes

        side._known_writes = known  # type: ignore[method-assign]

    _at_main_site(head, on)


def _keeps(head: Head, changed: Callable[[ReplicatedLog, Any], Any]) -> None:
    """Changes how facts are kept: changed() gives the method in place of append()."""
    if head.promises is not None:
        head.promises.append = changed(head.promises, head.promises.append)  # type: ignore[method-assign]


@mutant("branch: accepted before it is on a disk")
def _not_on_disk(head: Head) -> None:
    def changed(promises: ReplicatedLog, honest: Any) -> Any:
        def keep(fact: Any, done: Any = None, here: bool = False) -> None:
            if isinstance(fact, WriteQueued):
                promises.transport.call_soon(lambda: done(True))
                promises.transport.call_at(promises.transport.now() + 0.5, lambda: honest(fact))
            else:
                honest(fact, done, here)

        return keep

    _keeps(head, changed)


@mutant("branch: accepted before the other head has it")
def _one_disk(head: Head) -> None:
    _keeps(
        head,
        lambda promises, honest: lambda fact, done=None, here=False: honest(
            fact, done, here or isinstance(fact, WriteQueued)
        ),
    )


@mutant("branch: replayed in order of acceptance alone")
def _no_causes(head: Head) -> None:
    _of_branch(head, lambda branch: setattr(branch.queue, "_dependencies_finished", lambda write: True))


@mutant("branch: the queue goes with its process")
def _forgets(head: Head) -> None:
    _of_branch(head, lambda branch: setattr(branch._recovery, "recover", lambda in_doubt: None))


@mutant("branch: what is given up stays on the disks")
def _given_up_stays(head: Head) -> None:
    def changed(promises: ReplicatedLog, honest: Any) -> Any:
        def keep(fact: Any, done: Any = None, here: bool = False) -> None:
            if (
                isinstance(fact, Tombstone)
                and done is not None
                and getattr(done, "__name__", "") == "withdrawn"
            ):
                promises.transport.call_soon(lambda: done(True))
            else:
                honest(fact, done, here)

        return keep

    _keeps(head, changed)


@mutant("branch: reads do not see what is queued")
def _blind(head: Head) -> None:
    def on(branch: Any) -> None:
        honest = branch.admit
        branch.admit = lambda io, waiting, extent, data: io.command.opcode != Opcode.READ and honest(
            io, waiting, extent, data
        )

    _of_branch(head, on)


@mutant("branch: live writes overtake what is queued")
def _overtakes(head: Head) -> None:
    def on(branch: Any) -> None:
        honest = branch.admit
        branch.admit = lambda io, waiting, extent, data: (
            branch.link.queueing or io.command.opcode == Opcode.READ
        ) and honest(io, waiting, extent, data)

    _of_branch(head, on)


@mutant("branch: once cut off, always cut off")
def _never_back(head: Head) -> None:
    def on(branch: Any) -> None:
        link = branch.link
        link._answers_since = float("inf")
        link.answer_received = lambda now: None if link.queueing else setattr(link, "_last_answer", now)

    _of_branch(head, on)


@mutant("branch: what the other head took is no cause")
def _own_only(head: Head) -> None:
    def on(branch: Any) -> None:
        admission = branch._admission
        honest = admission._enqueue

        def enqueue(request: Any, dependencies: Any) -> None:
            honest(request, {n for n in dependencies if n.gateway == branch.settings.gateway})

        admission._enqueue = enqueue

    _of_branch(head, on)


@mutant("branch: what the other head has queued is taken for over")
def _not_waited_for(head: Head) -> None:
    _of_branch(head, lambda branch: setattr(branch.queue, "_is_standby_write_finished", lambda number: True))


@mutant("branch: a client that comes again is not known")
def _no_context(head: Head) -> None:
    _of_branch(head, lambda branch: setattr(branch._contexts, "current", lambda host: ClientContext()))


@mutant("branch: the mark is past what waits")
def _mark_past(head: Head) -> None:
    if head.branch is not None:
        queue = head.branch.queue
        kind = type(queue)
        queue.__class__ = type("Planted", (kind,), {"completed_up_to": property(lambda q: q._last_position)})


@mutant("branch: copies come on any stream")
def _any_stream(head: Head) -> None:
    if head.holding is not None:
        holding: Any = head.holding
        honest = holding._on_store_records

        async def put(stream: Any, origin: int, m: Any) -> None:
            holding.replica_of(origin).stream = stream
            await honest(stream, origin, m)

        holding._on_store_records = put


@mutant("main site: what is in effect is not known")
def _effects_forgotten(head: Head) -> None:
    _core(head, lambda applied: setattr(applied, "_is_applied", lambda known, position: False))


@mutant("main site: what was begun is not known after a restart")
def _begun_forgotten(head: Head) -> None:
    def changed(promises: ReplicatedLog, honest: Any) -> Any:
        def keep(fact: Any, done: Any = None, here: bool = False) -> None:
            if isinstance(fact, WriteApplied) and not fact.ran:
                promises.transport.call_soon(lambda: done(True))
            else:
                honest(fact, done, here)

        return keep

    _keeps(head, changed)


@mutant("main site: told as in effect as it comes")
def _told_early(head: Head) -> None:
    def on(side: ReplayReceiver) -> None:
        honest = side._execute

        def execute(message: ReplayWrite) -> None:
            number = WriteNumber(*message.number)
            for waiter in side._waiters.pop(number, ()):
                side._reply(waiter.stream, number, ReplayOutcome.APPLIED, waiter.send_token)
            honest(message)

        side._execute = execute  # type: ignore[method-assign]

    _at_main_site(head, on)
