"""Admits client commands at a branch: forwards, queues, serves from the queue, or rejects each one."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from gorsethread.durable_log.records import WriteQueued
from gorsethread.nvme.command import Command, Opcode
from gorsethread.nvme_gateway.offline.block_view import BlockView
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.offline.change_history import ChangeHistory
from gorsethread.nvme_gateway.offline.client_contexts import ClientContexts
from gorsethread.nvme_gateway.offline.dead_letters import DeadLetters
from gorsethread.nvme_gateway.offline.queue_persistence import QueuePersistence
from gorsethread.nvme_gateway.offline.standby_writes import StandbyWrites
from gorsethread.nvme_gateway.offline.write_records import write_of
from gorsethread.offline_writes.admission import (
    RETRY_AFTER_DISCONNECTED,
    RETRY_AFTER_PENDING,
    Admission,
    admit_read,
    admit_write,
)
from gorsethread.offline_writes.epoch_fence import EpochFence
from gorsethread.offline_writes.link_monitor import LinkMonitor
from gorsethread.offline_writes.queued_write import QueuedWrite
from gorsethread.offline_writes.write_queue import DEPENDS_ON, WriteQueue
from gorsethread.offline_writes.writes import Dependencies, WriteNumber, collect_dependencies
from gorsethread.recovery.spacing import spread_retry_after
from gorsethread.recovery.stages import RETRY_AFTER as RETRY_AFTER_RECOVERY
from gorsethread.transport.base import Timer, Transport


class BranchClient(Protocol):
    """The client of a command; exactly one of these methods is called to answer it."""

    def served(self, shard: int, data: bytes) -> None:
        """Answers a read with data from the queue."""
        ...

    def accepted(self) -> None:
        """Answers a write that is queued and will be applied."""
        ...

    def rejected(self, retry_after: float) -> None:
        """Rejects the command; the client may retry after that many seconds."""
        ...

    def failed(self) -> None:
        """Fails a write that could not be persisted in time."""
        ...


class ClientCommand(NamedTuple):
    """A read or write received from a client.

    Attributes:
        client: Receives the answer.
        command: The command, with volume, blocks, and the vendor fields.
        host: The client's host name.
        request_class: Index of its request class in the site file.
        deadline: Time in seconds of the transport's clock.
        extent: Number of the volume's extent in which the command begins.
        data: Data of a write.
    """

    client: BranchClient
    command: Command
    host: str
    request_class: int
    deadline: float
    extent: int
    data: bytes

    @property
    def ordering_key(self) -> str:
        """The ordering key; writes of the same key are applied in the order of their acceptance."""
        return f"{self.command.nsid}/{self.extent}"


@dataclass
class PendingAdmission:
    """A write that is being persisted; `client` is None if the client left."""

    record: WriteQueued
    client: BranchClient | None
    timer: Timer | None = None
    is_withdrawn: bool = False  # it could not be persisted, and its record is being deleted


class Rejection(NamedTuple):
    """Why a write is not queued, and the Retry-After in seconds if the log requires one, otherwise 0."""

    reason: str
    retry_after: float


class WriteAdmission:
    """Owns the writes that are being persisted, until each is on the disks or withdrawn.

    Args:
        transport: Provides time, timers, and random numbers.
        settings: Settings of this gateway.
        link: State of the link; decides whether writes are queued.
        fence: Fence of this gateway's epoch; a fenced gateway queues nothing.
        queue: This gateway's own queue.
        standby_writes: Writes of the branch's other gateway.
        standby_has_copies: Returns whether this gateway has copies of the other gateway's records.
        persistence: Stores the writes.
        block_view: Provides the data of queued writes to reads.
        contexts: The writes that each client has seen.
        dead_letters: Takes writes that are dead-lettered on acceptance.
        history: Records changes and counters for operators.
        is_finished: Returns whether a write of either gateway is finished.
    """

    def __init__(
        self,
        transport: Transport,
        settings: BranchSettings,
        link: LinkMonitor,
        fence: EpochFence,
        queue: WriteQueue,
        standby_writes: StandbyWrites,
        standby_has_copies: Callable[[], bool],
        persistence: QueuePersistence,
        block_view: BlockView,
        contexts: ClientContexts,
        dead_letters: DeadLetters,
        history: ChangeHistory,
        is_finished: Callable[[WriteNumber], bool],
    ) -> None:
        self._transport = transport
        self._settings = settings
        self._link = link
        self._fence = fence
        self._queue = queue
        self._standby_writes = standby_writes
        self._standby_has_copies = standby_has_copies
        self._persistence = persistence
        self._block_view = block_view
        self._contexts = contexts
        self._dead_letters = dead_letters
        self._history = history
        self._is_finished = is_finished
        self._random = transport.random_stream("branch")
        self._pending: dict[WriteNumber, PendingAdmission] = {}

    def is_pending(self, number: WriteNumber) -> bool:
        """Returns whether a write is being persisted or withdrawn."""
        return number in self._pending

    @property
    def pending_writes(self) -> int:
        """The number of writes that are being persisted or withdrawn."""
        return len(self._pending)

    def admit(self, request: ClientCommand) -> bool:
        """Handles a command.

        Returns:
            False if the caller is to forward it as usual; otherwise it is answered here, at once or later.
        """
        command = request.command
        if not self._settings.volumes[command.nsid].has_fixed_placement:
            return False
        if not self._persistence.is_recovered:
            # Accepted writes may be missing: reads would miss their data, and writes would overtake them.
            self._reject(request, self._retry_after())
            return True
        latest_writes = self._block_view.latest_writes(command.nsid, command.first_block, command.blocks)
        if command.opcode == Opcode.READ:
            return self._admit_read(request, latest_writes)
        return self._admit_write(request, latest_writes)

    def _admit_read(self, request: ClientCommand, latest_writes: list[WriteNumber | None]) -> bool:
        admission = admit_read(self._link.queueing, latest_writes)
        if admission is Admission.SERVE:
            numbers = [number for number in latest_writes if number is not None]
            data = self._block_view.read(numbers, request.command.first_block)
            for number in numbers:
                self._contexts.current(request.host).observe(number)
            self._history.count("reads served")
            volume = self._settings.volumes[request.command.nsid]
            request.client.served(volume.shard_of(request.extent), data)
        elif admission is Admission.REJECT:
            self._reject(request, self._retry_after())
        return admission is not Admission.FORWARD

    def _admit_write(self, request: ClientCommand, latest_writes: list[WriteNumber | None]) -> bool:
        ordering_key = request.ordering_key
        dependencies = self._known_dependencies(request.host, ordering_key, latest_writes)
        may_enqueue = self._settings.request_classes[request.request_class].may_be_queued
        admission = admit_write(self._link.queueing, may_enqueue, bool(dependencies))
        if admission is Admission.ENQUEUE:
            self._enqueue(request, dependencies)
        elif admission is Admission.REJECT:
            self._reject(request, self._retry_after())
        return admission is not Admission.FORWARD

    def _known_dependencies(
        self, host: str, ordering_key: str, latest_writes: list[WriteNumber | None]
    ) -> set[WriteNumber]:
        """Returns the queued writes that must be applied before a new write.

        Dead letters are left out: an operator may never decide on them, so no new write may wait for them.
        """
        candidates = (
            *self._contexts.current(host).seen,
            *self._standby_writes.known_to(host),
            *latest_writes,
            self._queue.last_of_key(ordering_key),
        )
        pending = {number for number in candidates if number is not None and not self._is_finished(number)}
        pending |= self._standby_writes.writes_of_key(ordering_key)
        return {number for number in pending if not self._is_dead_lettered(number)}

    def _is_dead_lettered(self, number: WriteNumber) -> bool:
        queued = self._queue.get(number)
        own_dead_letter = queued is not None and queued.is_dead_lettered
        return own_dead_letter or self._standby_writes.is_dead_lettered(number)

    def client_left(self, client: BranchClient) -> None:
        """Forgets a client that no longer waits for its answer."""
        for pending in self._pending.values():
            if pending.client is client:
                pending.client = None

    def _retry_after(self) -> float:
        min_retry_after = RETRY_AFTER_DISCONNECTED if self._link.queueing else RETRY_AFTER_PENDING
        return spread_retry_after(min_retry_after, self._random.random())

    def _reject(self, request: ClientCommand, retry_after: float) -> None:
        self._history.count("pushed back")
        max_retry_after = max(self._settings.max_retry_after, RETRY_AFTER_PENDING)
        request.client.rejected(min(retry_after, max_retry_after))

    # ---- Queueing

    def _enqueue(self, request: ClientCommand, known_dependencies: set[WriteNumber]) -> None:
        command = request.command
        duplicate = self._queue.duplicate_of(command.label, command.nsid, command.first_block)
        if duplicate is not None:
            self._history.count("repeats")
            self._history.note("repeat", duplicate)
            request.client.accepted()
            return
        accepted_at = self._transport.wall_time()
        gateway = self._settings.gateway
        dependencies = collect_dependencies(gateway, known_dependencies, self._uncertain_dependencies)
        rejection = self._rejection(request, accepted_at, dependencies)
        if rejection is not None or dependencies is None:
            assert rejection is not None
            self._history.count(f"refused: {rejection.reason}")
            self._reject(request, rejection.retry_after or self._retry_after())
            return
        self._persist(request, accepted_at, dependencies)

    def _rejection(
        self, request: ClientCommand, accepted_at: float, dependencies: Dependencies | None
    ) -> Rejection | None:
        """Returns why a write is not queued; None if it is."""
        weight = self._settings.request_classes[request.request_class].priority_weight
        refusal = self._queue.refusal(weight, len(request.data), accepted_at)
        can_persist = self._persistence.is_ready and self._standby_has_copies()
        retry_after = self._persistence.retry_after() if can_persist else RETRY_AFTER_RECOVERY
        if refusal is not None:
            return Rejection(refusal.value, retry_after)
        if retry_after > 0.0:
            return Rejection("records", retry_after)
        if dependencies is None or self._fence.is_fenced(self._transport.now()):
            return Rejection("too many causes", retry_after)
        return None

    def _uncertain_dependencies(self, number: WriteNumber) -> list[WriteNumber]:
        """Returns the unfinished dependencies of a write that may yet be withdrawn, otherwise none."""
        queued = self._queue.get(number)
        if number in self._pending and queued is not None:
            dependencies = list(queued.write.dependencies)
        else:
            dependencies = self._standby_writes.unconfirmed_dependencies(number)
        return [dependency for dependency in dependencies if not self._is_finished(dependency)]

    def _persist(self, request: ClientCommand, accepted_at: float, dependencies: Dependencies) -> None:
        number = self._persistence.next_number()
        record = self._record(request, number, accepted_at, dependencies)
        self._queue.add_persisting(write_of(number, record, self._settings))
        pending = PendingAdmission(record, request.client)
        self._pending[number] = pending
        pending.timer = self._transport.call_at(request.deadline, lambda: self._deadline_passed(number))
        self._persistence.persist(record, lambda stored: self._stored(number, stored))

    def _record(
        self, request: ClientCommand, number: WriteNumber, accepted_at: float, dependencies: Dependencies
    ) -> WriteQueued:
        command = request.command
        base_version = 0
        if self._settings.request_classes[request.request_class].stops_on_conflict:
            base_version = self._block_view.base_version(command.nsid, command.first_block, command.blocks)
        return WriteQueued(
            number.incarnation,
            number.sequence,
            command.nsid,
            command.first_block,
            command.blocks,
            request.request_class,
            request.ordering_key,
            request.host,
            command.label,
            command.attempt,
            command.hints,
            accepted_at,
            [*dependencies.own],
            [*dependencies.others],
            base_version,
            request.data,
        )

    def _stored(self, number: WriteNumber, stored: bool) -> None:
        pending = self._pending.get(number)
        if pending is None or pending.is_withdrawn:
            return
        if stored:
            self._accept(number, pending)
        else:
            self._withdraw(number, pending)

    def _withdraw(self, number: WriteNumber, pending: PendingAdmission) -> None:
        pending.is_withdrawn = True
        self._queue.withdraw(number)
        self._history.count("not kept")
        self._persistence.withdraw(pending.record, lambda: self._fail(number))

    def _accept(self, number: WriteNumber, pending: PendingAdmission) -> None:
        del self._pending[number]
        if pending.timer is not None:
            pending.timer.cancel()
        self._queue.mark_persisted(number)
        queued = self._queue.get(number)
        assert queued is not None
        record = pending.record
        self._block_view.show(number, record)
        self._block_view.observe(record.volume, record.block, record.data)
        self._contexts.current(record.host).acknowledge(queued.write)
        self._history.count("accepted")
        self._history.note("accepted", number)
        self._dead_letter_if_dependency_is(queued)
        self._persistence.persist_progress(number)  # tells the other gateway that it was not withdrawn
        if pending.client is not None:
            pending.client.accepted()

    def _dead_letter_if_dependency_is(self, queued: QueuedWrite) -> None:
        others = queued.write.other_dependencies
        if any(self._standby_writes.is_dead_lettered(number) for number in others):
            reason = f"{DEPENDS_ON} one of the other head, which is parked"
            self._dead_letters.add(self._queue, queued.write.number, reason)

    def _fail(self, number: WriteNumber) -> None:
        pending = self._pending.pop(number, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        if pending.client is not None:
            pending.client.failed()

    def _deadline_passed(self, number: WriteNumber) -> None:
        """Fails a write that the disk or the standby gateway did not store before its deadline."""
        self._stored(number, False)
        self._fail(number)
