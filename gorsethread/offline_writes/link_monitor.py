"""When a branch is cut off, and when it is back. Pure: told what was seen, asked for the state.

A link is known by what gets through it both ways: answers of far shelves and words of far heads. Nothing
else counts: a connection that stands, or a datagram that left, says nothing of a way that is cut in one
direction. One that is slow still answers, so it is not cut off: its writes take their usual way, and end as
they do today.
"""

from collections import deque
from enum import Enum

CUT_AFTER = 2.0  # seconds without any sign while something was asked all along
TRIES_LEAST = 3  # questions without an answer in that time: an idle branch is not cut off
BACK_AFTER = 2.0  # seconds of signs, no gap among them longer than GAP
GAP = 1.0  # seconds
FLAPS = 60.0  # seconds for which a cut is remembered
BACK_MOST = 32.0  # seconds of signs that are wanted at most, doubling with each cut remembered


class State(Enum):
    JOINED = "joined"
    CUT_OFF = "cut off"
    RETURNING = "returning"  # signs come again, for not long enough yet


class Link:
    """since: of the state. asked() and heard() as things happen; tick() several times a second."""

    def __init__(self, now: float) -> None:
        self.state, self.since = State.JOINED, now
        self.cuts: deque[float] = deque()  # when each of the last began; emptied as FLAPS pass
        self._heard = now
        self._tries: deque[float] = deque(maxlen=TRIES_LEAST)  # without an answer since
        self._first = now  # of the signs that came without a gap

    @property
    def queues(self) -> bool:
        """Writes are held here and not sent: the link is not to be trusted with one."""
        return self.state is not State.JOINED

    def asked(self, now: float) -> None:
        """Something went out that is answered where the link is whole."""
        self._tries.append(now)

    def heard(self, now: float) -> None:
        """An answer, or a word that was said since this side was heard there."""
        if now - self._heard > GAP or self.state is State.CUT_OFF:
            self._first = now
        self._heard = now
        self._tries.clear()
        if self.state is State.CUT_OFF:
            self._to(State.RETURNING, now)
        self.tick(now)

    def tick(self, now: float) -> None:
        while self.cuts and now - self.cuts[0] > FLAPS:
            self.cuts.popleft()
        silent = now - self._heard
        if self.state is State.JOINED:
            tried = len(self._tries) == TRIES_LEAST
            if silent >= CUT_AFTER and tried:
                self.cuts.append(now)
                self._to(State.CUT_OFF, now)
        elif self.state is State.RETURNING:
            if silent > GAP:
                self._to(State.CUT_OFF, now)
            elif now - self._first >= self.wanted:
                self._to(State.JOINED, now)

    @property
    def wanted(self) -> float:
        """Seconds of signs without a gap until it counts as back: longer the more often it was cut lately."""
        return float(min(BACK_MOST, BACK_AFTER * 2 ** max(0, len(self.cuts) - 1)))

    def _to(self, state: State, now: float) -> None:
        self.state, self.since = state, now
