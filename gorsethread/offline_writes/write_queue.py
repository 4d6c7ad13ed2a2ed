"""A branch's queue: what it takes, in what order it is replayed, what is parked. A pure core: told what
happened, asked what to do; whoever carries it keeps each accepted write on disk before its answer.

What was accepted is never thrown out. It ends in effect, or parked with a reason; what depends on a parked
write is parked with it. A write whose fate was unknown as the link went is asked about, never sent again
blindly.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

from gorsethread.offline_writes.replay_window import WINDOW
from gorsethread.offline_writes.writes import Write, WriteNumber

DEAREST_ONLY = 0.9  # of the room: beyond it only the dearest value is taken
RELEASED, DEPENDS = "released by a person", "depends on"  # reasons, the latter as it begins
RISES_FROM = 0.5  # of the room: from here on the least value that is taken rises


class Stage(Enum):
    TAKING = "being kept"  # on its way to the disks; not accepted yet
    WAITS = "waits"
    ASKED = "asked"  # whether it is in effect, before it is sent
    SENT = "sent"
    UNKNOWN = "unknown"  # was sent, and what came of it is not known: is asked about first
    PARKED = "parked"


class Refused(Enum):
    FULL = "the queue is full"
    CHEAP = "room is kept for dearer writes"
    TOO_LARGE = "larger than the queue may be"
    STALE = "what is queued is too old"


@dataclass(frozen=True)
class Bounds:
    """bytes, writes, seconds that the oldest may have waited."""

    size: int
    number: int
    age: float


@dataclass
class Held:
    """sendings: by head of the main site, which sending it takes; each asking closes the ones before. via:
    the head it went to last, -1 none. suspects: heads that may have run it, all are asked. anyway: a person
    said that it is to be applied whatever is known. not_before, since (when it was sent or first asked
    about): by the clock of whoever asks."""

    write: Write
    stage: Stage = Stage.WAITS
    reason: str = ""
    via: int = -1
    sendings: dict[int, int] = field(default_factory=dict)
    suspects: list[int] = field(default_factory=list)
    anyway: bool = False
    not_before: float = 0.0
    since: float = 0.0

    def sending(self, via: int) -> int:
        return self.sendings.get(via, 0)


class Queue:
    """values: of all profiles that may be queued, for what is refused first. beyond: told of a write of the
    branch's other head whether it is known to be over."""

    def __init__(
        self,
        bounds: Bounds,
        values: tuple[float, ...],
        beyond: Callable[[WriteNumber], bool] = lambda number: True,
    ) -> None:
        self.bounds, self.values, self.beyond = bounds, sorted(values), beyond
        self.held: dict[WriteNumber, Held] = {}  # in order of acceptance; emptied by what is in effect
        self.size = 0
        self.window = WINDOW
        self.last = (0, 0)  # life and place of the highest number met
        self._key_last: dict[str, WriteNumber] = {}  # of keys that have a write here

    # ---- taking

    def refuses(self, value: float, size: int, now: float) -> Refused | None:
        """None: it is taken. The lowest values are refused first as room goes."""
        if size > self.bounds.size:
            return Refused.TOO_LARGE
        filled = max((self.size + size) / self.bounds.size, (len(self.held) + 1) / self.bounds.number)
        if filled > 1.0:
            return Refused.FULL
        oldest = next((h.write.at for h in self.held.values() if h.stage is not Stage.PARKED), now)
        if now - oldest > self.bounds.age:
            return Refused.STALE
        return Refused.CHEAP if value < self.least(filled) else None

    def least(self, filled: float) -> float:
        """The least value that is taken: rises by the ranks of the values there are."""
        if filled <= RISES_FROM or not self.values:
            return 0.0
        part = min(1.0, (filled - RISES_FROM) / (DEAREST_ONLY - RISES_FROM))
        return self.values[min(len(self.values) - 1, int(part * len(self.values)))]

    def taking(self, write: Write) -> None:
        """It goes to the disks; its place in the order is this."""
        self.held[write.number] = Held(write, Stage.TAKING)
        self.last = max(self.last, write.number[1:])
        self.size += write.size
        self._key_last[write.key] = write.number

    def kept(self, number: WriteNumber) -> None:
        """It is there: it was accepted."""
        h = self.held[number]
        h.stage = Stage.WAITS
        self._falls_with(h)

    def accepted(
        self,
        write: Write,
        stage: Stage = Stage.WAITS,
        reason: str = "",
        suspects: tuple[int, ...] = (),
        anyway: bool = False,
    ) -> None:
        """It is on disk, by what was read there: stage and reason as they were told last."""
        self.taking(write)
        h = self.held[write.number]
        h.stage, h.reason, h.suspects, h.anyway = stage, reason, list(suspects), anyway
        if stage is not Stage.PARKED:
            self._falls_with(h)

    def _falls_with(self, h: Held) -> None:
        if any(o.stage is Stage.PARKED for n in h.write.own if (o := self.held.get(n)) is not None):
            self.park(h.write.number, f"{DEPENDS} a parked write")

    def last_of(self, key: str) -> WriteNumber | None:
        return self._key_last.get(key)

    def again(self, label: int, volume: int, block: int) -> WriteNumber | None:
        """The write that a client's repeat is one of, where it was accepted."""
        return (
            next(
                (
                    n
                    for n, h in self.held.items()
                    if h.stage is not Stage.TAKING
                    and h.write.label == label
                    and (h.write.volume, h.write.block) == (volume, block)
                ),
                None,
            )
            if label
            else None
        )

    # ---- replay

    def ready(self, now: float = float("inf")) -> list[tuple[WriteNumber, bool]]:
        """What may go to the main site now: (number, whether to ask about it first). In order of acceptance,
        at most as many under way as the window has."""
        out = sum(h.stage in (Stage.ASKED, Stage.SENT) for h in self.held.values())
        found: list[tuple[WriteNumber, bool]] = []
        for number, h in self.held.items():
            if out + len(found) >= self.window:
                break
            if h.stage in (Stage.WAITS, Stage.UNKNOWN) and h.not_before <= now and self._free(h.write):
                found.append((number, h.stage is Stage.UNKNOWN))
        return found

    def _free(self, write: Write) -> bool:
        return all(n not in self.held for n in write.own) and all(self.beyond(n) for n in write.others)

    def asks(self, number: WriteNumber, now: float = 0.0) -> None:
        h = self.held[number]
        h.stage, h.since = Stage.ASKED, h.since or now

    def sends(self, number: WriteNumber, via: int = 0, now: float = 0.0) -> None:
        """Told, and on disk, before it goes: what is sent and not answered is unknown after a crash."""
        h = self.held[number]
        h.stage, h.via, h.suspects, h.since = Stage.SENT, via, [via], now

    def not_there(self, number: WriteNumber, via: int, sending: int) -> None:
        """Asked, that head has it not in effect; it takes that sending from now on, and none before it."""
        h = self.held.get(number)
        if h is not None and h.stage is Stage.ASKED and sending > h.sending(via):
            h.sendings[via] = sending
            h.suspects = [n for n in h.suspects if n != via]
            h.stage = Stage.UNKNOWN if h.suspects else Stage.WAITS
            h.since = 0.0

    def in_effect(self, number: WriteNumber) -> None:
        self._end(number)

    def broke(self, via: int | None = None) -> None:
        """The link went, or the way to that head, or this process did: of what was under way nothing is
        known."""
        for h in self.held.values():
            if h.stage in (Stage.SENT, Stage.ASKED) and (via is None or via in h.suspects):
                h.stage = Stage.UNKNOWN

    def closed(self, number: WriteNumber, sending: int) -> None:
        """That sending is not taken: somebody asked since. Of an earlier one it says nothing of the last."""
        h = self.held.get(number)
        if h is not None and h.stage is Stage.SENT and h.sending(h.via) == sending:
            h.stage, h.since = Stage.UNKNOWN, 0.0

    def turned_away(self, number: WriteNumber, sending: int, not_before: float = 0.0) -> None:
        """It has not run: it waits again."""
        h = self.held.get(number)
        if h is not None and h.stage is Stage.SENT and h.sending(h.via) == sending:
            h.stage, h.not_before, h.suspects = Stage.WAITS, not_before, []

    def conflicts(self, number: WriteNumber, why: str) -> bool:
        """Its place has changed since the branch last saw it. True: apply it all the same."""
        h = self.held.get(number)
        if h is None:
            return False
        if not h.write.parks:
            return True
        self.park(number, why)
        return False

    def park(self, number: WriteNumber, why: str) -> None:
        """For a person; and what depends on it."""
        h = self.held.get(number)
        if h is None or h.stage is Stage.PARKED:
            return
        h.stage, h.reason = Stage.PARKED, why
        for other, o in list(self.held.items()):
            if number in o.write.own and o.stage in (Stage.WAITS, Stage.UNKNOWN):
                self.park(other, f"{DEPENDS} {number.place}, which is parked")

    # ---- by a person

    def release(self, number: WriteNumber) -> list[WriteNumber]:
        """It is to be applied after all, with what was parked for its sake alone; of these what may have run
        is asked about first."""
        h = self.held.get(number)
        if h is None or h.stage is not Stage.PARKED:
            return []
        h.write, h.anyway, h.suspects = replace(h.write, parks=False), True, []
        h.stage, h.reason = Stage.WAITS, RELEASED
        return [number, *self.freed(number)]

    def parked_elsewhere(self, number: WriteNumber) -> None:
        """A write of the other head: what comes after it here is parked with it, so that nothing new waits
        behind these for as long as a person takes."""
        for other, o in list(self.held.items()):
            if number in o.write.others and o.stage in (Stage.WAITS, Stage.UNKNOWN):
                self.park(other, f"{DEPENDS} one of head {number.branch}, which is parked")

    def freed(
        self, number: WriteNumber, elsewhere: Callable[[WriteNumber], bool] = lambda number: False
    ) -> list[WriteNumber]:
        """That write, of either head, is parked no more, or over: with it goes what was parked for its sake
        alone. elsewhere: whether one of the other head is parked."""
        found = [number]
        for n in found:
            for other, o in self.held.items():
                held_up = any(c in self.held and self.held[c].stage is Stage.PARKED for c in o.write.own)
                held_up = held_up or any(elsewhere(c) for c in o.write.others)
                if (
                    o.stage is Stage.PARKED
                    and n in o.write.causes
                    and o.reason.startswith(DEPENDS)
                    and (not held_up)
                ):
                    o.stage, o.reason = Stage.UNKNOWN if o.suspects else Stage.WAITS, RELEASED
                    found.append(other)
        return found[1:]

    def discard(self, number: WriteNumber) -> bool:
        """It is given up, by a person. False: it is not parked, or another depends on it."""
        h = self.held.get(number)
        if h is None or h.stage is not Stage.PARKED or any(number in o.write.own for o in self.held.values()):
            return False
        self._end(number)
        return True

    def dropped(self, number: WriteNumber) -> None:
        """It could not be kept for sure: it is not accepted, and its client was told so."""
        self._end(number)

    @property
    def mark(self) -> tuple[int, int]:
        """Life and place up to which everything is over but what is parked."""
        first = min((n[1:] for n, h in self.held.items() if h.stage is not Stage.PARKED), default=None)
        return self.last if first is None else (first[0], first[1] - 1)

    @property
    def passed(self) -> list[tuple[int, int]]:
        """Life and place of what the mark may have passed though it is held: parked, or once so."""
        return [n[1:] for n, h in self.held.items() if h.reason]

    @property
    def parked(self) -> list[Held]:
        return [h for h in self.held.values() if h.stage is Stage.PARKED]

    @property
    def empty(self) -> bool:
        """All that was accepted is in effect or parked."""
        return all(h.stage is Stage.PARKED for h in self.held.values())

    def _end(self, number: WriteNumber) -> None:
        h = self.held.pop(number, None)
        if h is not None:
            self.size -= h.write.size
            if self._key_last.get(h.write.key) == number:
                del self._key_last[h.write.key]
