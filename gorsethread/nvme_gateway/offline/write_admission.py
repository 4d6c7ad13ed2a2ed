"""What becomes of a client's command at a branch: forwarded, queued, served from the queue, or rejected."""

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
    """Whoever is owed the answer to a command; one call of these answers it."""

    def served(self, shard: int, data: bytes) -> None:
        """A read, from what is queued."""
        ...

    def accepted(self) -> None:
        """A write: it is queued, and will be applied."""
        ...

    def rejected(self, return_after: float) -> None:
        """Not taken; it may come again after that many seconds."""
        ...

    def failed(self) -> None:
        """A write that could not be persisted in time."""
        ...


class ClientCommand(NamedTuple):
    """A read or write as it came.

    Attributes:
        client: Is owed the answer.
        command: With volume, blocks and the vendor fields.
        host: The client's host name.
        request_class: Its index in the site file.
        deadline: Seconds of the transport's clock.
        extent: Of the volume, where the command begins.
        data: Of a write.
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
        """Writes of one key are applied in the order of their acceptance."""
        return f"{self.command.nsid}/{self.extent}"


@dataclass
class PendingAdmission:
    """A write on its way to the disks; no client where it left."""

    record: WriteQueued
    client: BranchClient | None
    timer: Timer | None = None
    is_withdrawn: bool = False  # it can't be persisted, and is being taken back


class Rejection(NamedTuple):
    """Why a write is not queued, and the Retry-After where the log names one, else 0."""

    reason: str
    retry_after: float


class WriteAdmission:
    """Owns the writes that are on their way to the disks, until each is there or withdrawn.

    Args:
        transport: Time, timers, chance.
        settings: Of this branch.
        link: Whether writes are queued.
        fence: A fenced gateway queues nothing.
        queue: Takes the writes.
        standby_writes: Those of the branch's other gateway.
        standby_has_copies: Whether this gateway holds the other one's records.
        persistence: Stores the writes.
        block_view: What reads see.
        contexts: What clients know.
        dead_letters: Told of what is dead-lettered as it is accepted.
        history: For people.
        is_finished: Whether a write of either gateway is finished.
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
        self._chance = transport.chance("branch")
        self._pending: dict[WriteNumber, PendingAdmission] = {}

    def is_pending(self, number: WriteNumber) -> bool:
        """A write is on its way to the disks, or being withdrawn."""
        return number in self._pending

    @property
    def pending_writes(self) -> int:
        """Writes on their way to the disks, or being withdrawn."""
        return len(self._pending)

    def admit(self, request: ClientCommand) -> bool:
        """Decides on a command.

        Returns:
            False where it is forwarded as usual; else it is answered here, at once or later.
        """
        command = request.command
        if not self._settings.volumes[command.nsid].has_fixed_placement:
            return False
        if not self._persistence.is_recovered:
            # What was accepted may be missing: nothing may be read past, or overtake it.
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
                self._contexts.current(request.host).observed(number)
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
        """The queued writes that a new one must come after.

        A dead letter is for a person, who may never decide: nothing that is new comes after it.
        """
        candidates = (
            *self._contexts.current(host).seen,
            *self._standby_writes.known_to(host),
            *latest_writes,
            self._queue.last_of_key(ordering_key),
        )
        pending = {number for number in candidates if number is not None and not self._is_finished(number)}
        pending |= self._standby_writes.of_key(ordering_key)
        return {number for number in pending if not self._is_dead_lettered(number)}

    def _is_dead_lettered(self, number: WriteNumber) -> bool:
        queued = self._queue.get(number)
        own = queued is not None and queued.is_dead_lettered
        return own or self._standby_writes.is_dead_lettered(number)

    def client_left(self, client: BranchClient) -> None:
        """Nobody waits for that client's answer any more."""
        for pending in self._pending.values():
            if pending.client is client:
                pending.client = None

    def _retry_after(self) -> float:
        least = RETRY_AFTER_DISCONNECTED if self._link.queueing else RETRY_AFTER_PENDING
        return spread_retry_after(least, self._chance.random())

    def _reject(self, request: ClientCommand, retry_after: float) -> None:
        self._history.count("pushed back")
        longest = max(self._settings.longest_retry_after, RETRY_AFTER_PENDING)
        request.client.rejected(min(retry_after, longest))

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
        """Why a write is not queued; None where it is."""
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
        """Of a write that may yet be withdrawn, what it depends on."""
        queued = self._queue.get(number)
        if number in self._pending and queued is not None:
            named = list(queued.write.dependencies)
        else:
            named = self._standby_writes.unconfirmed_dependencies(number)
        return [dependency for dependency in named if not self._is_finished(dependency)]

    def _persist(self, request: ClientCommand, accepted_at: float, dependencies: Dependencies) -> None:
        number = self._persistence.next_number()
        record = self._record(request, number, accepted_at, dependencies)
        self._queue.persisting(write_of(number, record, self._settings))
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
        self._queue.withdrawn(number)
        self._history.count("not kept")
        self._persistence.withdraw(pending.record, lambda: self._fail(number))

    def _accept(self, number: WriteNumber, pending: PendingAdmission) -> None:
        del self._pending[number]
        if pending.timer is not None:
            pending.timer.cancel()
        self._queue.persisted(number)
        queued = self._queue.get(number)
        assert queued is not None
        record = pending.record
        self._block_view.show(number, record)
        self._block_view.observed(record.volume, record.block, record.data)
        self._contexts.current(record.host).acknowledged(queued.write)
        self._history.count("accepted")
        self._history.note("accepted", number)
        self._dead_letter_with_dependencies(queued)
        self._persistence.persist_progress(number)  # the other gateway learns that it was not withdrawn
        if pending.client is not None:
            pending.client.accepted()

    def _dead_letter_with_dependencies(self, queued: QueuedWrite) -> None:
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
        """Disk or standby are slower than the client waits: it gets its answer now."""
        self._stored(number, False)
        self._fail(number)
