"""What a head of the main site knows of branches' writes: which are in effect, which are under way, of which
it can't say. Pure: no I/O, no clock, no chance.

Each write comes once: a sending is taken only if it is the one that the last asking named, so what was sent
before an asking and comes late is not taken after it. A head that comes back finds by its records what it had
begun: of these only the shelf knows, so what may not run twice is answered as unknown, for a person. Whoever
replays for a branch does so under an epoch; an earlier one is shut out.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from gorsethread.offline_writes.writes import WriteNumber

Place = tuple[int, int]  # life and place of a branch's write
RUNNING_MOST = 32  # of all branches, at one head of the main site
BEYOND_MOST = 4096  # of one branch, in effect beyond its mark or not known


class Answer(IntEnum):
    """To an asking or a sending."""

    IN_EFFECT = 0
    NOT = 1  # asked about: not in effect; the sending named is taken
    UNKNOWN = 2  # it may have run
    AGAIN = 3  # it has not run; come again
    CLOSED = 4  # it was asked about since: ask anew
    CHANGED = 5  # its blocks changed since the branch saw them; it has not run
    SHUT_OUT = 6  # a later epoch replays for this branch
    RUNS = 7  # not told: begin it
    WAITS = 8  # not told: it is under way, its end is the answer


@dataclass
class Of:
    """One branch's head. mark: all up to there is over, but what is parked or was. in_effect, unknown:
    beyond it. closed: which sending is taken of those that were asked about; emptied as each ends."""

    epoch: int = 0
    mark: Place = (0, 0)
    parked: frozenset[Place] = frozenset()
    in_effect: set[Place] = field(default_factory=set)
    unknown: set[Place] = field(default_factory=set)
    running: set[Place] = field(default_factory=set)
    closed: dict[Place, int] = field(default_factory=dict)


class Landing:
    """life: of this head; sendings named in a later one are other ones."""

    def __init__(self, life: int) -> None:
        self.base = life << 12
        self.of: dict[int, Of] = {}  # as many as heads of branches

    def recovered(self, number: WriteNumber, ran: bool) -> None:
        """By this head's own records, or those that others held of it."""
        of = self._of(number)
        place = (number.life, number.place)
        if place in of.running:
            return
        if ran:
            of.in_effect.add(place)
            of.unknown.discard(place)
        elif place not in of.in_effect:
            of.unknown.add(place)

    def marked(self, branch: int, epoch: int, mark: Place, parked: frozenset[Place]) -> list[Place] | None:
        """What need not be known any more; None: a later epoch is known, this one is shut out."""
        of = self.of.setdefault(branch, Of())
        if epoch < of.epoch:
            return None
        # Never fewer: a branch whose disk was lost may not know any more what it had parked.
        of.epoch, of.mark, of.parked = epoch, max(mark, of.mark), of.parked | parked
        over = [p for p in of.in_effect | of.unknown if p <= of.mark and p not in parked]
        of.in_effect.difference_update(over)
        of.unknown.difference_update(over)
        for place in [p for p in of.closed if p <= of.mark and p not in parked]:
            del of.closed[place]
        return over

    def asked(self, number: WriteNumber, epoch: int, redoable: bool) -> tuple[Answer, int]:
        """The answer, and with NOT which sending is taken from now on. WAITS: it is given with the end."""
        of, place = self._of(number), (number.life, number.place)
        if epoch < of.epoch:
            return Answer.SHUT_OUT, of.epoch
        if self._over(of, place):
            return Answer.IN_EFFECT, 0
        if place in of.running:
            return Answer.WAITS, 0
        if place in of.unknown:
            if not redoable:
                return Answer.UNKNOWN, 0
            of.unknown.discard(place)
        of.closed[place] = max(self.base, of.closed.get(place, 0)) + 1
        return Answer.NOT, of.closed[place]

    def sent(self, number: WriteNumber, sending: int, epoch: int, redoable: bool) -> Answer:
        of, place = self._of(number), (number.life, number.place)
        if epoch < of.epoch:
            return Answer.SHUT_OUT
        if self._over(of, place):
            return Answer.IN_EFFECT
        if place in of.running:
            return Answer.WAITS
        if place in of.unknown and not redoable:
            return Answer.UNKNOWN
        if sending != of.closed.get(place, 0):
            return Answer.CLOSED
        if self.running >= RUNNING_MOST or len(of.in_effect) + len(of.unknown) >= BEYOND_MOST:
            return Answer.AGAIN
        of.unknown.discard(place)
        of.running.add(place)
        return Answer.RUNS

    def ended(self, number: WriteNumber, answer: Answer) -> None:
        """Of what ran: IN_EFFECT, UNKNOWN, or it has not run."""
        of, place = self._of(number), (number.life, number.place)
        of.running.discard(place)
        if answer is Answer.IN_EFFECT:
            of.in_effect.add(place)
            of.parked -= {place}
            of.closed.pop(place, None)
        elif answer is Answer.UNKNOWN:
            of.unknown.add(place)

    def released(self, number: WriteNumber) -> None:
        """A person says that what may have run is to be sent again."""
        self._of(number).unknown.discard((number.life, number.place))

    @property
    def running(self) -> int:
        return sum(len(of.running) for of in self.of.values())

    def _over(self, of: Of, place: Place) -> bool:
        return place in of.in_effect or place <= of.mark and place not in of.parked

    def _of(self, number: WriteNumber) -> Of:
        return self.of.setdefault(number.branch, Of())
