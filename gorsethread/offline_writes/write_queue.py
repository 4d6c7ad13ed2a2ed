"""A branch's queue: what it takes, in what order it is replayed, what is dead-lettered.

A pure core: told what happened, asked what to do. Whoever drives it persists each write before it is
acknowledged. What was accepted is never dropped: it ends applied, or dead-lettered with a reason, and what
depends on a dead-lettered write is dead-lettered with it. A write whose fate was unknown as the link went is
queried, never sent again blindly.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace

from gorsethread.offline_writes.queued_write import QueuedWrite, QueueLimits, ReadyWrite, Refusal, WriteStage
from gorsethread.offline_writes.replay_window import MAX_WINDOW
from gorsethread.offline_writes.writes import Position, Write, WriteNumber

ONLY_MAX_WEIGHT_ABOVE = 0.9  # part of the capacity that is filled
MIN_WEIGHT_RISES_ABOVE = (
    0.5  # part of the capacity; from here on the least priority weight that is taken rises
)
RELEASED = "released by a person"
DEPENDS_ON = "depends on"  # how a reason begins that lies in another write


def _always(_number: WriteNumber) -> bool:
    return True


def _never(_number: WriteNumber) -> bool:
    return False


class WriteQueue:
    """Owns the queued writes of one gateway, in the order of their acceptance; emptied as they finish.

    Args:
        limits: What the queue may hold.
        priority_weights: Of all request classes that may be queued; the lowest are refused first.
        is_standby_write_finished: Whether a write of the branch's standby gateway is known to be finished.
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
        self._last_of_key: dict[str, WriteNumber] = {}  # of keys that have a write here
        self._last_position: Position = (0, 0)  # the highest that was met
        self.size = 0  # bytes
        self.window = MAX_WINDOW

    def __len__(self) -> int:
        return len(self._writes)

    def __contains__(self, number: WriteNumber | None) -> bool:
        return number in self._writes

    def __iter__(self) -> Iterator[QueuedWrite]:
        return iter(self._writes.values())

    def get(self, number: WriteNumber) -> QueuedWrite | None:
        """The write of that number, if it is queued."""
        return self._writes.get(number)

    # ---- Admission

    def refusal(self, priority_weight: float, size: int, now: float) -> Refusal | None:
        """Why a write of that size in bytes is not taken; None where it is."""
        if size > self._limits.max_bytes:
            return Refusal.TOO_LARGE
        filled = max(
            (self.size + size) / self._limits.max_bytes, (len(self._writes) + 1) / self._limits.max_writes
        )
        if filled > 1.0:
            return Refusal.FULL
        oldest = next((queued.write.accepted_at for queued in self if not queued.is_dead_lettered), now)
        if now - oldest > self._limits.max_age:
            return Refusal.STALE
        return Refusal.LOW_PRIORITY if priority_weight < self._min_priority_weight(filled) else None

    def _min_priority_weight(self, filled: float) -> float:
        """The least priority weight that is taken: it rises by the ranks of the weights there are."""
        if filled <= MIN_WEIGHT_RISES_ABOVE or not self._priority_weights:
            return 0.0
        span = ONLY_MAX_WEIGHT_ABOVE - MIN_WEIGHT_RISES_ABOVE
        part = min(1.0, (filled - MIN_WEIGHT_RISES_ABOVE) / span)
        rank = int(part * len(self._priority_weights))
        return self._priority_weights[min(len(self._priority_weights) - 1, rank)]

    def add_persisting(self, write: Write) -> None:
        """A write goes to the disks; its place in the order is this."""
        self._writes[write.number] = QueuedWrite(write, WriteStage.PERSISTING)
        self._last_position = max(self._last_position, write.number.position)
        self.size += write.size
        self._last_of_key[write.ordering_key] = write.number

    def mark_persisted(self, number: WriteNumber) -> None:
        """A write is on the disks: it is accepted."""
        queued = self._writes[number]
        queued.stage = WriteStage.WAITING
        self._dead_letter_with_dependencies(queued)

    def restore(
        self,
        write: Write,
        stage: WriteStage = WriteStage.WAITING,
        reason: str = "",
        suspects: tuple[int, ...] = (),
        forced: bool = False,
    ) -> None:
        """A write is on the disks, by what was read there, with the progress that was recorded last."""
        self.persisting(write)
        queued = self._writes[write.number]
        queued.stage = stage
        queued.reason = reason
        queued.suspects = list(suspects)
        queued.forced = forced
        if not queued.is_dead_lettered:
            self._dead_letter_with_dependencies(queued)

    def withdraw(self, number: WriteNumber) -> None:
        """A write could not be persisted for sure: it is not accepted, and its client was told so."""
        self._remove(number)

    def _dead_letter_with_dependencies(self, queued: QueuedWrite) -> None:
        if any(self._holds_dead_letter(number) for number in queued.write.own_dependencies):
            self.dead_letter(queued.write.number, f"{DEPENDS_ON} a parked write")

    def _holds_dead_letter(self, number: WriteNumber) -> bool:
        queued = self._writes.get(number)
        return queued is not None and queued.is_dead_lettered

    def last_of_key(self, ordering_key: str) -> WriteNumber | None:
        """The last write of that key, if it is queued."""
        return self._last_of_key.get(ordering_key)

    def duplicate_of(self, idempotency_key: int, volume: int, block: int) -> WriteNumber | None:
        """The accepted write that a client's retry repeats."""
        if not idempotency_key:
            return None
        for number, queued in self._writes.items():
            write = queued.write
            same_place = (write.volume, write.block) == (volume, block)
            accepted = queued.stage is not WriteStage.PERSISTING
            if accepted and same_place and write.idempotency_key == idempotency_key:
                return number
        return None

    # ---- Replay

    def ready_writes(self, now: float = float("inf")) -> list[ReadyWrite]:
        """What may go to the main site now, in the order of acceptance, as far as the window allows."""
        capacity = self.window - sum(queued.is_under_way for queued in self)
        found: list[ReadyWrite] = []
        for number, queued in self._writes.items():
            if len(found) >= capacity:
                break
            due = queued.may_be_dead_lettered and queued.not_before <= now
            if due and self._dependencies_finished(queued.write):
                found.append(ReadyWrite(number, queued.stage is WriteStage.UNKNOWN))
        return found

    def _dependencies_finished(self, write: Write) -> bool:
        own = all(number not in self._writes for number in write.own_dependencies)
        return own and all(self._is_standby_write_finished(number) for number in write.other_dependencies)

    def mark_queried(self, number: WriteNumber, now: float = 0.0) -> None:
        """The main site is asked whether a write is applied."""
        queued = self._writes[number]
        queued.stage = WriteStage.QUERIED
        queued.pending_since = queued.pending_since or now

    def mark_sent(self, number: WriteNumber, gateway: int = 0, now: float = 0.0) -> None:
        """A write goes to a gateway of the main site.

        Call it, and persist the progress, before the write goes: what is sent and not answered is unknown
        after a crash.
        """
        queued = self._writes[number]
        queued.stage = WriteStage.SENT
        queued.sent_to = gateway
        queued.suspects = [gateway]
        queued.pending_since = now

    def mark_not_applied(self, number: WriteNumber, gateway: int, send_token: int) -> None:
        """A gateway that was queried has not applied a write; it accepts that token from now on."""
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
        """A write is in effect at the main site."""
        self._remove(number)

    def mark_connection_lost(self, gateway: int | None = None) -> None:
        """Of what was under way to that gateway, or to any, the fate is not known any more."""
        for queued in self:
            if queued.is_under_way and (gateway is None or gateway in queued.suspects):
                queued.stage = WriteStage.UNKNOWN

    def mark_token_refused(self, number: WriteNumber, send_token: int) -> None:
        """A sending was refused since somebody queried; an earlier one says nothing of the last."""
        queued = self._writes.get(number)
        if queued is not None and queued.is_answered_by(send_token):
            queued.stage = WriteStage.UNKNOWN
            queued.pending_since = 0.0

    def mark_rejected(self, number: WriteNumber, send_token: int, not_before: float = 0.0) -> None:
        """A sending has not run: the write waits again."""
        queued = self._writes.get(number)
        if queued is not None and queued.is_answered_by(send_token):
            queued.stage = WriteStage.WAITING
            queued.not_before = not_before
            queued.suspects = []

    def defer_query(self, number: WriteNumber, not_before: float) -> None:
        """A query about a write got no answer yet: it is asked again then."""
        queued = self._writes.get(number)
        if queued is not None and queued.stage is WriteStage.QUERIED:
            queued.stage = WriteStage.UNKNOWN
            queued.not_before = not_before

    def mark_unanswered(self, number: WriteNumber, now: float) -> None:
        """No gateway that might know of a write can be reached; since when counts from the first time."""
        queued = self._writes[number]
        queued.pending_since = queued.pending_since or now

    def handle_conflict(self, number: WriteNumber, reason: str) -> bool:
        """Blocks of a write changed at the main site since the branch saw them.

        Returns:
            Whether to apply it all the same.
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
        """Leaves a write to a person, and what depends on it."""
        queued = self._writes.get(number)
        if queued is None or queued.is_dead_lettered:
            return
        queued.stage = WriteStage.DEAD_LETTERED
        queued.reason = reason
        for other, dependent in list(self._writes.items()):
            if number in dependent.write.own_dependencies and dependent.may_be_dead_lettered:
                self.dead_letter(other, f"{DEPENDS_ON} {number.sequence}, which is parked")

    def dead_letter_dependents_of(self, number: WriteNumber) -> None:
        """The standby gateway dead-lettered that write of its own.

        What depends on it here is dead-lettered too, so that nothing new waits behind these for as long as a
        person takes.
        """
        for other, dependent in list(self._writes.items()):
            if number in dependent.write.other_dependencies and dependent.may_be_dead_lettered:
                self.dead_letter(other, f"{DEPENDS_ON} one of head {number.gateway}, which is parked")

    def release(self, number: WriteNumber) -> list[WriteNumber]:
        """A person wants a write applied after all, with what was dead-lettered for its sake alone.

        Returns:
            All that is released; of these what may have run is queried first. Empty where the write is not
            dead-lettered.
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
        """A write of either gateway is released or finished.

        Args:
            number: Of that write.
            is_standby_write_dead_lettered: Whether a write of the standby gateway is dead-lettered.

        Returns:
            What was dead-lettered for its sake alone, and is released with it.
        """
        released = [number]
        for cause in released:
            for other, dependent in self._writes.items():
                if cause in dependent.write.dependencies and self._may_release(
                    dependent, is_standby_write_dead_lettered
                ):
                    dependent.stage = WriteStage.UNKNOWN if dependent.suspects else WriteStage.WAITING
                    dependent.reason = RELEASED
                    released.append(other)
        return released[1:]

    def _may_release(
        self, queued: QueuedWrite, is_standby_write_dead_lettered: Callable[[WriteNumber], bool]
    ) -> bool:
        """It is dead-lettered for the sake of others alone, and none of these is any more."""
        if not queued.is_dead_lettered or not queued.reason.startswith(DEPENDS_ON):
            return False
        if any(self._holds_dead_letter(number) for number in queued.write.own_dependencies):
            return False
        return not any(is_standby_write_dead_lettered(number) for number in queued.write.other_dependencies)

    def discard(self, number: WriteNumber) -> bool:
        """A person gives a write up.

        Returns:
            False where it is not dead-lettered, or another depends on it.
        """
        if not self._holds_dead_letter(number):
            return False
        if any(number in queued.write.own_dependencies for queued in self):
            return False
        self._remove(number)
        return True

    @property
    def dead_letters(self) -> list[QueuedWrite]:
        """What waits for a person."""
        return [queued for queued in self if queued.is_dead_lettered]

    # ---- Progress

    @property
    def completed_up_to(self) -> Position:
        """Up to there everything is finished but what is dead-lettered."""
        unfinished = (queued.write.number.position for queued in self if not queued.is_dead_lettered)
        first = min(unfinished, default=None)
        if first is None:
            return self._last_position
        incarnation, sequence = first
        return incarnation, sequence - 1

    @property
    def completed_exceptions(self) -> list[Position]:
        """What `completed_up_to` may have passed though it is queued: dead-lettered, or once so."""
        return [queued.write.number.position for queued in self if queued.reason]

    @property
    def is_drained(self) -> bool:
        """All that was accepted is applied or dead-lettered."""
        return all(queued.is_dead_lettered for queued in self)

    def _remove(self, number: WriteNumber) -> None:
        queued = self._writes.pop(number, None)
        if queued is None:
            return
        self.size -= queued.write.size
        if self._last_of_key.get(queued.write.ordering_key) == number:
            del self._last_of_key[queued.write.ordering_key]
