"""Defects planted in what branches do, and the main site's heads for them; see mutants.py."""

from collections.abc import Callable
from typing import Any

from gorsethread.durable_log.records import Tombstone, WriteApplied, WriteQueued
from gorsethread.faults.planting import kept_in
from gorsethread.head.program import Head
from gorsethread.nvme.command import Opcode
from gorsethread.nvme_gateway.branching import OfflineWrites
from gorsethread.nvme_gateway.replay_receiver import ReplayReceiver
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.offline_writes.applied_writes import Answer, Landing
from gorsethread.offline_writes.writes import Context

BRANCH_MUTANTS: dict[str, Callable[[Head], None]] = {}
mutant = kept_in(BRANCH_MUTANTS)


def _branch(head: Head) -> Any:
    """A branch's side, whose methods may be exchanged; a stand-in for other heads, which nobody asks."""
    return head.branch if head.branch is not None else OfflineWrites.__new__(OfflineWrites)


def _landing(head: Head, change: Callable[[ReplayReceiver], None]) -> None:
    """Of the main site's heads."""
    said: Any = head.holding.on_branch_message if head.holding is not None else None
    if said is not None:
        change(said.__self__)


def _core(head: Head, change: Callable[[Landing], None]) -> None:
    """Changes what a main site's head knows of branches' writes, as it is made."""

    def on(side: ReplayReceiver) -> None:
        honest = side._known

        def known() -> Landing | None:
            made = side.landing is None
            landing = honest()
            if landing is not None and made:
                change(landing)
            return landing

        side._known = known  # type: ignore[method-assign]

    _landing(head, on)


def _keeps(head: Head, changed: Callable[[ReplicatedLog, Any], Any]) -> None:
    """Changes how facts are kept: changed() gives the method in place of append()."""
    if head.promises is not None:
        head.promises.append = changed(head.promises, head.promises.append)  # type: ignore[method-assign]


@mutant("branch: accepted before it is on a disk")
def _not_on_disk(head: Head) -> None:
    def changed(promises: ReplicatedLog, honest: Any) -> Any:
        def keep(fact: Any, done: Any = None, here: bool = False) -> None:
            if isinstance(fact, WriteQueued):
                promises.transport.soon(lambda: done(True))
                promises.transport.at(promises.transport.now() + 0.5, lambda: honest(fact))
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
    branch = _branch(head)
    if head.branch is not None:
        branch.queue._free = lambda write: True


@mutant("branch: the queue goes with its process")
def _forgets(head: Head) -> None:
    _branch(head)._recover = lambda unsure: None


@mutant("branch: what is given up stays on the disks")
def _given_up_stays(head: Head) -> None:
    def changed(promises: ReplicatedLog, honest: Any) -> Any:
        def keep(fact: Any, done: Any = None, here: bool = False) -> None:
            if (
                isinstance(fact, Tombstone)
                and done is not None
                and getattr(done, "__name__", "") == "taken_back"
            ):
                promises.transport.soon(lambda: done(True))
            else:
                honest(fact, done, here)

        return keep

    _keeps(head, changed)


@mutant("branch: reads do not see what is queued")
def _blind(head: Head) -> None:
    branch = _branch(head)
    honest = branch.takes
    branch.takes = lambda io, waiting, volume, extent, data: io.command.opcode != Opcode.READ and honest(
        io, waiting, volume, extent, data
    )


@mutant("branch: live writes overtake what is queued")
def _overtakes(head: Head) -> None:
    branch = _branch(head)
    honest = branch.takes
    branch.takes = lambda io, waiting, volume, extent, data: (
        branch.link.queues or io.command.opcode == Opcode.READ
    ) and honest(io, waiting, volume, extent, data)


@mutant("branch: once cut off, always cut off")
def _never_back(head: Head) -> None:
    if head.branch is not None:
        head.branch.link._first = float("inf")
        link: Any = head.branch.link
        link.heard = lambda now: None if link.queues else setattr(link, "_heard", now)


@mutant("branch: what the other head took is no cause")
def _own_only(head: Head) -> None:
    branch = _branch(head)
    if head.branch is not None:
        honest = branch._hold

        def hold(io: Any, waiting: Any, key: str, data: bytes, before: Any) -> None:
            honest(io, waiting, key, data, {n for n in before if n.branch == branch.head})

        branch._hold = hold


@mutant("branch: what the other head has queued is taken for over")
def _not_waited_for(head: Head) -> None:
    if head.branch is not None:
        head.branch.queue.beyond = lambda number: True


@mutant("branch: a client that comes again is not known")
def _no_context(head: Head) -> None:
    _branch(head)._context = lambda host: Context()


@mutant("branch: the mark is past what waits")
def _mark_past(head: Head) -> None:
    if head.branch is not None:
        queue = head.branch.queue
        kind = type(queue)
        queue.__class__ = type("Planted", (kind,), {"mark": property(lambda q: q.last)})


@mutant("branch: copies come on any stream")
def _any_stream(head: Head) -> None:
    if head.holding is not None:
        holding: Any = head.holding
        honest = holding._on_put

        async def put(stream: Any, origin: int, m: Any) -> None:
            holding.replica_of(origin).stream = stream
            await honest(stream, origin, m)

        holding._on_put = put


@mutant("main site: what is in effect is not known")
def _effects_forgotten(head: Head) -> None:
    _core(head, lambda landing: setattr(landing, "_over", lambda of, place: False))


@mutant("main site: what was begun is not known after a restart")
def _begun_forgotten(head: Head) -> None:
    def changed(promises: ReplicatedLog, honest: Any) -> Any:
        def keep(fact: Any, done: Any = None, here: bool = False) -> None:
            if isinstance(fact, WriteApplied) and not fact.ran:
                promises.transport.soon(lambda: done(True))
            else:
                honest(fact, done, here)

        return keep

    _keeps(head, changed)


@mutant("main site: told as in effect as it comes")
def _told_early(head: Head) -> None:
    def on(side: ReplayReceiver) -> None:
        honest = side._look

        def look(m: Any) -> None:
            for stream, sending in side._waiters.pop(m.number, ()):
                side._tell(stream, m.number, Answer.IN_EFFECT, sending)
            honest(m)

        side._look = look  # type: ignore[method-assign]

    _landing(head, on)
