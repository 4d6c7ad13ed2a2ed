"""A branch's write queue: admission, replay in causal order, and dead letters.

The queue does no I/O; its caller reports events and persists each write before acknowledging it. An accepted
write is never dropped: it is applied in the end, or dead-lettered with a reason together with the writes that
depend on it, unless an operator discards it. A write that may have run when the link was lost is queried
before it is sent again.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace

from gorsethread.offline_writes.queued_write import QueuedWrite, QueueLimits, ReadyWrite, Refusal, WriteStage
from gorsethread.offline_writes.replay_window import MAX_WINDOW
from gorsethread.offline_writes.writes import Position, Write, WriteNumber

ONLY_MAX_WEIGHT_ABOVE = 0.9  # fraction of the capacity; above it only the highest weight is accepted
MIN_WEIGHT_RISES_ABOVE = 0.5  # fraction of the capacity; above it the accepted minimum weight rises
RELEASED = "released by a person"
DEPENDS_ON = "depends on"  # prefix of the reason of a write dead-lettered because of another one


def _always(_number: WriteNumber) -> bool:
    return True


def _never(_number: WriteNumber) -> bool:
    return False


class WriteQueue:
    """Owns the queued writes of one gateway, in order of acceptance; each is removed when it is finished.

    Args:
        limits: Size and age limits of the queue.
        priority_weights: Weights of all request classes that may be queued; the lowest are refused first.
        is_standby_write_finished: Returns whether a write of the standby gateway is known to be finished.
    """

    def __init__(
        self,
        limits: QueueLimits,
        priority_weights: tuple[float, ...],
        is_standby_write_finished: Callable[[WriteNumber], bool] = _always,
    ) -> None:
        self._limits = limits
        self._priority_weights = sorted(priority_weights)
        self._is_standby_write_finished = is_standby_write_finished
        self._writes: dict[WriteNumber, QueuedWrite] = {}
        # The queued writes that depend on a write, of either gateway, in order of acceptance; a write leaves
        # the lists as it is removed.
        self._dependents: dict[WriteNumber, list[WriteNumber]] = {}
        self._last_of_key: dict[str, WriteNumber] = {}  # by ordering key, of keys with a queued write
        self._last_position: Position = (0, 0)  # the highest so far
        self.size = 0  # bytes
        self.window = MAX_WINDOW

    def __len__(self) -> int:
        return len(self._writes)

    def __contains__(self, number: WriteNumber | None) -> bool:
        return number in self._writes

    def __iter__(self) -> Iterator[QueuedWrite]:
        return iter(self._writes.values())

    def get(self, number: WriteNumber) -> QueuedWrite | None:
        """Returns the write with this number, if it is queued."""
        return self._writes.get(number)

    # ---- Admission

    def refusal(self, priority_weight: float, size: int, now: float) -> Refusal | None:
        """Returns why a write is refused, or None; `size` in bytes, `now` in seconds of the wall clock."""
        if size > self._limits.max_bytes:
            return Refusal.TOO_LARGE
        fill_level = max(
            (self.size + size) / self._limits.max_bytes, (len(self._writes) + 1) / self._limits.max_writes
        )
        if fill_level > 1.0:
            return Refusal.FULL
        oldest = next((queued.write.accepted_at for queued in self if not queued.is_dead_lettered), now)
        if now - oldest > self._limits.max_age:
            return Refusal.STALE
        return Refusal.LOW_PRIORITY if priority_weight < self._min_priority_weight(fill_level) else None

    def _min_priority_weight(self, fill_level: float) -> float:
        """Returns the lowest accepted priority weight; it rises from one configured weight to the next."""
        if fill_level <= MIN_WEIGHT_RISES_ABOVE or not self._priority_weights:
            return 0.0
        span = ONLY_MAX_WEIGHT_ABOVE - MIN_WEIGHT_RISES_ABOVE
        fraction = min(1.0, (fill_level - MIN_WEIGHT_RISES_ABOVE) / span)
        rank = int(fraction * len(self._priority_weights))
        return self._priority_weights[min(len(self._priority_weights) - 1, rank)]

    def add_persisting(self, write: Write) -> None:
        """Adds a write, last in order, that is being written to the disks."""
        self._writes[write.number] = QueuedWrite(write, WriteStage.PERSISTING)
        self._last_position = max(self._last_position, write.number.position)
        self.size += write.size
        self._last_of_key[write.ordering_key] = write.number
        for dependency in write.dependencies:
            self._dependents.setdefault(dependency, []).append(write.number)

    def mark_persisted(self, number: WriteNumber) -> None:
        """Accepts a write that is now on the disks."""
        queued = self._writes[number]
        queued.stage = WriteStage.WAITING
        self._dead_letter_if_dependency_is(queued)

    def restore(
        self,
        write: Write,
        stage: WriteStage = WriteStage.WAITING,
        reason: str = "",
        suspects: tuple[int, ...] = (),
        forced: bool = False,
    ) -> None:
        """Adds a write that was read from the disks, with its last recorded progress."""
        self.add_persisting(write)
        queued = self._writes[write.number]
        queued.stage = stage
        queued.reason = reason
        queued.suspects = list(suspects)
        queued.forced = forced
        if not queued.is_dead_lettered:
            self._dead_letter_if_dependency_is(queued)

    def withdraw(self, number: WriteNumber) -> None:
        """Removes a write that could not be persisted reliably and that its client is told has failed."""
        self._remove(number)

    def _dead_letter_if_dependency_is(self, queued: QueuedWrite) -> None:
        if any(self._is_dead_lettered(number) for number in queued.write.own_dependencies):
            self.dead_letter(queued.write.number, f"{DEPENDS_ON} a parked write")

    def _is_dead_lettered(self, number: WriteNumber) -> bool:
        queued = self._writes.get(number)
        return queued is not None and queued.is_dead_lettered

    def last_of_key(self, ordering_key: str) -> WriteNumber | None:
        """Returns the last write of the ordering key, if it is queued."""
        return self._last_of_key.get(ordering_key)

    def duplicate_of(self, idempotency_key: int, volume: int, block: int) -> WriteNumber | None:
        """Returns the accepted write that a client's retry repeats, or None."""
        if not idempotency_key:
            return None
        for number, queued in self._writes.items():
            write = queued.write
            same_block = (write.volume, write.block) == (volume, block)
            accepted = queued.stage is not WriteStage.PERSISTING
            if accepted and same_block and write.idempotency_key == idempotency_key:
                return number
        return None

    # ---- Replay

    def ready_writes(self, now: float = float("inf")) -> list[ReadyWrite]:
        """Returns the writes to send or query now, in order of acceptance, as many as the window allows."""
        capacity = self.window - sum(queued.is_under_way for queued in self)
        ready: list[ReadyWrite] = []
        for number, queued in self._writes.items():
            if len(ready) >= capacity:
                break
            due = queued.is_idle and queued.not_before <= now
            if due and self._dependencies_finished(queued.write):
                ready.append(ReadyWrite(number, queued.stage is WriteStage.UNKNOWN))
        return ready

    def _dependencies_finished(self, write: Write) -> bool:
        own_finished = all(number not in self._writes for number in write.own_dependencies)
        return own_finished and all(
            self._is_standby_write_finished(number) for number in write.other_dependencies
        )

    def mark_queried(self, number: WriteNumber, now: float = 0.0) -> None:
        """Records that the main site is being asked whether a write is applied."""
        queued = self._writes[number]
        queued.stage = WriteStage.QUERIED
        queued.pending_since = queued.pending_since or now

    def mark_sent(self, number: WriteNumber, gateway: int = 0, now: float = 0.0) -> None:
        """Records that a write is being sent to a gateway of the main site.

        Call it, and persist the progress, before sending, so that after a crash an unanswered write is known
        to have been sent.
        """
        queued = self._writes[number]
        queued.stage = WriteStage.SENT
        queued.sent_to = gateway
        queued.suspects = [gateway]
        queued.pending_since = now

    def mark_not_applied(self, number: WriteNumber, gateway: int, send_token: int) -> None:
        """Records that a queried gateway has not applied a write and accepts this token from now on."""
        queued = self._writes.get(number)
        if queued is None or queued.stage is not WriteStage.QUERIED:
            return
        if send_token <= queued.send_token(gateway):
            return
        queued.send_tokens[gateway] = send_token
        queued.suspects = [suspect for suspect in queued.suspects if suspect != gateway]
        queued.stage = WriteStage.UNKNOWN if queued.suspects else WriteStage.WAITING
        queued.pending_since = 0.0

    def mark_applied(self, number: WriteNumber) -> None:
        """Removes a write that is applied at the main site."""
        self._remove(number)

    def mark_connection_lost(self, gateway: int | None = None) -> None:
        """Marks the writes under way to a gateway, or to any gateway, as unknown."""
        for queued in self:
            if queued.is_under_way and (gateway is None or gateway in queued.suspects):
                queued.stage = WriteStage.UNKNOWN

    def mark_token_refused(self, number: WriteNumber, send_token: int) -> None:
        """Records that a write was refused as a later query replaced its token.

        A refusal of an earlier transmission is ignored, as it says nothing about the current one.
        """
        queued = self._writes.get(number)
        if queued is not None and queued.is_answered_by(send_token):
            queued.stage = WriteStage.UNKNOWN
            queued.pending_since = 0.0

    def mark_rejected(self, number: WriteNumber, send_token: int, not_before: float = 0.0) -> None:
        """Makes a write wait again, as its transmission was answered as not having run."""
        queued = self._writes.get(number)
        if queued is not None and queued.is_answered_by(send_token):
            queued.stage = WriteStage.WAITING
            queued.not_before = not_before
            queued.suspects = []

    def defer_query(self, number: WriteNumber, not_before: float) -> None:
        """Schedules another query about a write, as the last one could not be answered yet."""
        queued = self._writes.get(number)
        if queued is not None and queued.stage is WriteStage.QUERIED:
            queued.stage = WriteStage.UNKNOWN
            queued.not_before = not_before

    def mark_unanswered(self, number: WriteNumber, now: float) -> None:
        """Records that no gateway that may have run a write is reachable; the first call sets the time."""
        queued = self._writes[number]
        queued.pending_since = queued.pending_since or now

    def handle_conflict(self, number: WriteNumber, reason: str) -> bool:
        """Handles a write whose blocks changed at the main site since the branch saw them.

        Returns:
            Whether to apply it nevertheless; if not, it is dead-lettered, or not in the queue.
        """
        queued = self._writes.get(number)
        if queued is None:
            return False
        if not queued.write.stops_on_conflict:
            return True
        self.dead_letter(number, reason)
        return False

    # ---- Dead letters

    def dead_letter(self, number: WriteNumber, reason: str) -> None:
        """Dead-letters a write, and the writes that depend on it, for an operator to decide."""
        queued = self._writes.get(number)
        if queued is None or queued.is_dead_lettered:
            return
        self._mark_dead_lettered(queued, reason)
        # Dependents may form a chain as long as the queue, so this is a loop, not a recursion.
        causes = [number]
        while causes:
            cause = causes.pop()
            for dependent in self._dependents_of(cause):
                if dependent.is_idle and cause in dependent.write.own_dependencies:
                    self._mark_dead_lettered(dependent, f"{DEPENDS_ON} {cause.sequence}, which is parked")
                    causes.append(dependent.write.number)

    def _mark_dead_lettered(self, queued: QueuedWrite, reason: str) -> None:
        queued.stage = WriteStage.DEAD_LETTERED
        queued.reason = reason

    def _dependents_of(self, number: WriteNumber) -> list[QueuedWrite]:
        """Returns the queued writes that depend on a write of either gateway, in order of acceptance."""
        return [self._writes[dependent] for dependent in self._dependents.get(number, ())]

    def dead_letter_dependents_of(self, number: WriteNumber) -> None:
        """Dead-letters the writes that depend on a write that the standby gateway dead-lettered.

        Otherwise new writes would wait behind them until an operator decides.
        """
        for dependent in self._dependents_of(number):
            if dependent.is_idle and number in dependent.write.other_dependencies:
                self.dead_letter(
                    dependent.write.number, f"{DEPENDS_ON} one of head {number.gateway}, which is parked"
                )

    def release(self, number: WriteNumber) -> list[WriteNumber]:
        """Releases a dead letter to be applied, with the writes dead-lettered only because of it.

        Returns:
            All released writes; empty if the write is not dead-lettered. Released dependents that may have
            run are queried first.
        """
        queued = self._writes.get(number)
        if queued is None or not queued.is_dead_lettered:
            return []
        queued.write = replace(queued.write, stops_on_conflict=False)
        queued.forced = True
        queued.suspects = []
        queued.stage = WriteStage.WAITING
        queued.reason = RELEASED
        return [number, *self.release_dependents_of(number)]

    def release_dependents_of(
        self, number: WriteNumber, is_standby_write_dead_lettered: Callable[[WriteNumber], bool] = _never
    ) -> list[WriteNumber]:
        """Releases the writes that were dead-lettered only because of a write that is released or finished.

        Args:
            number: The released or finished write, of either gateway.
            is_standby_write_dead_lettered: Returns whether a write of the standby gateway is dead-lettered.

        Returns:
            The writes that are released.
        """
        released = [number]
        for cause in released:
            for dependent in self._dependents_of(cause):
                if self._may_release(dependent, is_standby_write_dead_lettered):
                    dependent.stage = WriteStage.UNKNOWN if dependent.suspects else WriteStage.WAITING
                    dependent.reason = RELEASED
                    released.append(dependent.write.number)
        return released[1:]

    def _may_release(
        self, queued: QueuedWrite, is_standby_write_dead_lettered: Callable[[WriteNumber], bool]
    ) -> bool:
        """Returns whether it was dead-lettered only because of others, none of which is a dead letter now."""
        if not queued.is_dead_lettered or not queued.reason.startswith(DEPENDS_ON):
            return False
        if any(self._is_dead_lettered(number) for number in queued.write.own_dependencies):
            return False
        return not any(is_standby_write_dead_lettered(number) for number in queued.write.other_dependencies)

    def discard(self, number: WriteNumber) -> bool:
        """Removes a dead letter that an operator discards.

        Returns:
            False if it is not dead-lettered, or if another queued write depends on it.
        """
        if not self._is_dead_lettered(number):
            return False
        if any(number in queued.write.own_dependencies for queued in self._dependents_of(number)):
            return False
        self._remove(number)
        return True

    @property
    def dead_letters(self) -> list[QueuedWrite]:
        """The writes that wait for an operator's decision."""
        return [queued for queued in self if queued.is_dead_lettered]

    # ---- Progress

    @property
    def completed_up_to(self) -> Position:
        """The position up to which all writes are finished, except for dead letters."""
        unfinished = (queued.write.number.position for queued in self if not queued.is_dead_lettered)
        first = min(unfinished, default=None)
        if first is None:
            return self._last_position
        incarnation, sequence = first
        return incarnation, sequence - 1

    @property
    def completed_exceptions(self) -> list[Position]:
        """Positions of queued writes that are or were dead letters, so `completed_up_to` may exceed them."""
        return [queued.write.number.position for queued in self if queued.reason]

    @property
    def is_drained(self) -> bool:
        """Whether every queued write is dead-lettered, so that there is nothing to replay."""
        return all(queued.is_dead_lettered for queued in self)

    def _remove(self, number: WriteNumber) -> None:
        queued = self._writes.pop(number, None)
        if queued is None:
            return
        self.size -= queued.write.size
        for dependency in queued.write.dependencies:
            self._forget_dependent(dependency, number)
        if self._last_of_key.get(queued.write.ordering_key) == number:
            del self._last_of_key[queued.write.ordering_key]

    def _forget_dependent(self, dependency: WriteNumber, number: WriteNumber) -> None:
        dependents = self._dependents[dependency]
        dependents.remove(number)
        if not dependents:
            del self._dependents[dependency]
