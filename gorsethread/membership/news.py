"""The pure core of membership: what this head's own list says, and what peers told that goes beyond it. No
I/O, no clock of its own; chance is handed in.

A peer's news may stop this head sending to a shelf; it never lets it send. Each piece of news names the
version of the list that said it, so late, doubled and reordered news does no harm: where the own list has
come as far, it is not listened to. A list that began anew counts from the start again and has a later life,
by its machine's time of day. That may have been set back: so what the own list does not bear out stops
sending only for a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

BELIEVED_FOR = 10.0  # seconds that a peer's news stops sending while the own list does not bear it out
KEPT_FOR = 30.0  # seconds that a shelf which is gone, or is back from it, is told of to others
FANOUT = 3  # peers told at once of what is new: it reaches n heads in about log(n) rounds
EVERY = 1.0  # seconds between tellings of everything to one peer, which mend what was lost
NEWS_MOST = 4096  # pieces of news held; a site has far fewer shelves


class State(IntEnum):
    READY = 0
    DRAINING = 1
    GONE = 2


NAMES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class News(NamedTuple):
    """shelf and which start of it; life and version of the list that said so."""

    shelf: int
    start: int
    state: int
    life: int
    version: int


class Own(NamedTuple):
    """The own list's last word on a shelf, and when it was heard; when it last had it as not ready."""

    start: int
    state: State
    at: float
    stopped_at: float = -1e9


@dataclass(frozen=True)
class Believed:
    news: News
    until: float


class Membership:
    """me: this head's number; peers: the others'. pick(n): a draw from 0..n-1."""

    def __init__(self, me: int, peers: Iterable[int], pick: Callable[[int], int]) -> None:
        self.me, self.peers, self.pick = me, sorted(set(peers) - {me}), pick
        self.life = self.version = 0
        self.followed = False  # whether the own list is being heard
        self.own: dict[int, Own] = {}  # emptied of shelves that are gone for KEPT_FOR
        self.beyond: dict[int, Believed] = {}  # by shelf; emptied as the own list catches up, or by time
        self.latest: dict[int, News] = {}  # of peers, of each shelf; emptied as shelves leave the own list
        self.ignored = 0  # pieces of news that said nothing new

    # ---- what is heard

    def list_said(
        self, life: int, version: int, shelves: Iterable[tuple[int, int, str]], whole: bool, now: float
    ) -> tuple[list[int], list[News]]:
        """(shelf, start, state) of each; a whole list names all there are. Back come the shelves that peers'
        news stopped and that may be used again by the own list's word, and what is news to tell at once."""
        told = {(n.shelf, n.start, n.state) for n in self.to_tell(now)}
        self.life, self.version, self.followed = life, version, True
        named = set()
        for shelf, start, state in shelves:
            named.add(shelf)
            known = self.own.get(shelf)
            stopped_at = now if NAMES[state] is not State.READY else known.stopped_at if known else -1e9
            self.own[shelf] = Own(start, NAMES[state], now, stopped_at)
        if whole:
            for shelf in [s for s in self.own if s not in named]:
                self.own[shelf] = self.own[shelf]._replace(state=State.GONE, at=now, stopped_at=now)
        for shelf in [s for s, o in self.own.items() if o.state is State.GONE and now - o.at > KEPT_FOR]:
            del self.own[shelf]
            self.latest.pop(shelf, None)
        freed = self._freed([s for s, b in self.beyond.items() if self._known(b.news)])
        return freed, [n for n in self.to_tell(now) if (n.shelf, n.start, n.state) not in told]

    def list_lost(self) -> None:
        self.followed = False

    def peer_said(self, news: Iterable[News], now: float) -> list[News]:
        """What of it was new and is believed, and others are to be told: its shelves get nothing more, or are
        again what the own list says."""
        fresh = []
        for n in news:
            own, latest = self.own.get(n.shelf), self.latest.get(n.shelf)
            if own is None or self._known(n) or latest is not None and not self._newer(n, latest):
                self.ignored += 1
                if latest is not None and n.life == latest.life and n.version > latest.version:
                    self._said_later(n)
                continue
            if n.state == State.READY:
                # Guards against a list that began anew and had not heard of its shelves yet: a head that does
                # not hear it would be without them all. Another start of the shelf may be cold: not taken.
                if own.start == n.start:
                    self.latest[n.shelf] = n
                    if self.beyond.pop(n.shelf, None) is not None:
                        fresh.append(n)
            elif (
                own.state >= n.state
                and own.start == n.start
                or (n.shelf not in self.beyond and len(self.beyond) >= NEWS_MOST)
            ):
                self.ignored += 1
            else:
                self.latest[n.shelf] = n
                self.beyond[n.shelf] = Believed(n, now + BELIEVED_FOR)
                fresh.append(n)
        return fresh

    def expired(self, now: float) -> list[int]:
        """Shelves whose stop by peers' news ends as the own list, which is heard, never bore it out. A head
        that hears no list goes on believing: it would know nothing better."""
        if not self.followed:
            return []
        return self._freed([s for s, b in self.beyond.items() if b.until <= now])

    # ---- what holds

    def stopped(self, shelf: int) -> bool:
        """Whether peers' news stops a shelf that the own list calls ready."""
        return shelf in self.beyond

    # ---- what is told

    def to_tell(self, now: float) -> list[News]:
        """All that this head knows of shelves that are not ready, or were not lately: its own list's words
        and its peers'."""
        mine = [
            News(s, o.start, o.state, self.life, self.version)
            for s, o in sorted(self.own.items())
            if s not in self.beyond and now - (o.stopped_at if o.state is State.READY else o.at) <= KEPT_FOR
        ]
        return mine + [b.news for _, b in sorted(self.beyond.items())]

    def whom_to_tell(self, fresh: bool, living: Iterable[int] = ()) -> list[int]:
        """Peers, drawn: several where it is news, one where it mends what was lost. living: those whom the
        view holds alive; where it knows of none it may be the one in error, and any peer is told."""
        left = sorted(set(living) & set(self.peers)) or list(self.peers)
        chosen: list[int] = []
        while left and len(chosen) < (FANOUT if fresh else 1):
            chosen.append(left.pop(self.pick(len(left))))
        return chosen

    # ---- parts

    def _known(self, n: News) -> bool:
        """The own list, whose news comes in order, has said all that there was up to this; an earlier life of
        the list said nothing that a later one does not know."""
        return self.followed and (n.life, n.version) <= (self.life, self.version)

    def _said_later(self, n: News) -> None:
        """The same as was heard last, of a later list: what lies between the two has no say any more."""
        self.latest[n.shelf] = n
        if (believed := self.beyond.get(n.shelf)) is not None:
            self.beyond[n.shelf] = Believed(n, believed.until)

    @staticmethod
    def _newer(n: News, than: News) -> bool:
        if n.life == than.life:
            return n.version > than.version and (n.start, n.state) != (than.start, than.state)
        return n.life > than.life

    def _freed(self, shelves: list[int]) -> list[int]:
        for shelf in shelves:
            del self.beyond[shelf]
        return [s for s in shelves if (own := self.own.get(s)) is not None and own.state is State.READY]
