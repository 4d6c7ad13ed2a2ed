"""The stages of a head that comes back, and what each lets it do. Pure: no clock, no chance, no I/O.

`POLLING`     own records are read; the other heads are asked what they hold of this head's.
`RESTRICTED`  it serves what it knows; of what it does not know it neither says that it is nowhere, nor
              places it.
`COMPLETE`    nothing that it held is missing.

It is COMPLETE once so many others have answered that one of them must hold whatever was promised: every
promise is held by `held_by` of the others, so that all but `held_by - 1` of them are enough. Where these
can't be had it goes on without, and never waits for what cannot come: own records that are whole are believed
after TRUST seconds; records that have holes, or none at all, let it serve with care for as long as it takes,
or until a person accepts the loss. A folder that is empty is a first start or a lost disk: only the others
can tell.
"""

from enum import Enum

from gorsethread.durable_log.records import NO_SEQUENCE, SequenceNumber

ASK_MOST = 1.0  # seconds that a head asks before it serves what it knows
TRUST = 2.0  # seconds after which whole records of its own are believed, though too few have answered
RETRY_AFTER = 0.3  # seconds after which a client may ask again for what is not known yet


class Stage(Enum):
    POLLING = "asking"
    RESTRICTED = "care"
    COMPLETE = "full"


class Return:
    """own: the last number in the own records; whole, empty: what reading them found; accepted: a person said
    that what is lost is lost. others: the names of all other heads; held_by: see above."""

    def __init__(
        self,
        now: float,
        own: SequenceNumber,
        whole: bool,
        empty: bool,
        accepted: bool,
        others: frozenset[int],
        held_by: int,
    ) -> None:
        # Of records with holes nobody can say up to where they are good: all that others hold is wanted.
        self.own = own if whole else NO_SEQUENCE
        self.began, self.others, self.held_by = now, others, held_by
        self.trusts_own_records = accepted or whole and not empty
        # Without copies nobody else can know: an empty folder is a first start, holes are for a person.
        self.alone = held_by == 0 or not others
        if self.alone and empty:
            self.trusts_own_records = True
        self.stage = Stage.POLLING
        self.since = now
        self.heard: dict[int, SequenceNumber] = {}  # what each held as it answered; as many as others
        self.fetched: set[int] = set()  # of them: what was later than the own has come
        self.life = own[0]  # the latest life of this head that anyone knows
        self._advance(now)

    @property
    def needed(self) -> int:
        """Answers after which nothing can be missing."""
        return max(0, len(self.others) - self.held_by + 1)

    @property
    def certain(self) -> bool:
        done = [n for n, last in self.heard.items() if last <= self.own or n in self.fetched]
        return not self.alone and len(done) >= self.needed

    def wanted(self) -> list[int]:
        """Of whom the answer, or what it holds beyond the own records, is still to come."""
        return sorted(
            n
            for n in self.others
            if n not in self.heard or self.heard[n] > self.own and n not in self.fetched
        )

    def answered(self, other: int, last: SequenceNumber, life: int, now: float) -> bool:
        """It holds this head's records up to there, and has heard of that life of it; whether what it holds
        beyond the own records is worth fetching."""
        if other not in self.others:
            return False
        self.heard[other] = last
        self.life = max(self.life, life, last[0])
        self._advance(now)
        return last > self.own and other not in self.fetched

    def got(self, other: int, now: float) -> None:
        """What it holds beyond the own records has come whole."""
        self.fetched.add(other)
        self._advance(now)

    def tick(self, now: float) -> None:
        self._advance(now)

    def accept(self, now: float) -> None:
        """A person says that what is lost is lost."""
        self.trusts_own_records = True
        self._advance(now)

    def next_life(self, wall: float) -> int:
        """wall: milliseconds. Later than any that is known, and so that not even one that nobody remembers
        comes again, as long as clocks are not set back."""
        return max(self.life + 1, int(wall))

    def refuses(self, now: float) -> float:
        """0.0: what is not known is nowhere, and may be placed; else after how many seconds to ask again."""
        return 0.0 if self.stage is Stage.COMPLETE else RETRY_AFTER

    @property
    def lost(self) -> bool:
        """It can't become COMPLETE by itself: too few others answer, and its own records are not enough."""
        return self.stage is Stage.RESTRICTED and not self.trusts_own_records

    def _advance(self, now: float) -> None:
        before = self.stage
        trusted = self.trusts_own_records and (self.alone or now >= self.began + TRUST)
        if self.certain or trusted:
            self.stage = Stage.COMPLETE
        elif self.stage is Stage.POLLING and now >= self.began + ASK_MOST:
            self.stage = Stage.RESTRICTED
        if self.stage is not before:
            self.since = now


def due(r: Return, now: float) -> float | None:
    """When tick() is next of use; None: never again."""
    if r.stage is Stage.COMPLETE:
        return None
    times = [r.began + ASK_MOST, *([r.began + TRUST] if r.trusts_own_records else [])]
    return min((t for t in times if t > now), default=None)
