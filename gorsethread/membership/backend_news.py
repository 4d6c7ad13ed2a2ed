"""Backends that drain or are gone, by this gateway's own endpoint list and by its peers' news. Pure.

A peer's news may stop this gateway sending to a backend; it never lets it send. Each piece names the version
of the list that said it, so late, doubled and reordered news does no harm: what the own list has already
covered is ignored. A list that restarted counts versions from the start again, under a later incarnation,
which is the time of day of its machine. That clock may have been set back, so what the own list does not
confirm stops sending only for a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

STOP_SECONDS = 10.0  # that a peer's news stops sending while the own list does not confirm it
RETENTION_SECONDS = 30.0  # that a backend which is gone, or is back, is reported to others
FANOUT = 3  # peers that get fresh news at once: it reaches n gateways in about log(n) rounds
RESEND_INTERVAL = 1.0  # seconds between sendings of everything to one peer, which make up for losses
NEWS_MAX = 4096  # pieces of news held; a site has far fewer backends
NEVER = -1e9  # seconds; before any time of a clock


class BackendState(IntEnum):
    """What a list says of a backend, by its number on the wire."""

    READY = 0
    DRAINING = 1
    GONE = 2


STATES_BY_NAME = {"ready": BackendState.READY, "draining": BackendState.DRAINING, "gone": BackendState.GONE}


class BackendNews(NamedTuple):
    """A backend, which start of it, its state, and incarnation and version of the list that said so."""

    backend: int
    start: int
    state: int
    list_incarnation: int
    list_version: int


class OwnListEntry(NamedTuple):
    """The own list's last entry on a backend, when it came, and when the list last had it as not ready."""

    start: int
    state: BackendState
    updated_at: float
    not_ready_at: float = NEVER


@dataclass(frozen=True)
class PeerStop:
    """A stop by a peer's news, until the own list covers it or, where the list is followed, until a time."""

    news: BackendNews
    until: float


class ListUpdate(NamedTuple):
    """What an update of the own list changes.

    Attributes:
        released: Backends that peers' news stopped and that may be used again by the own list.
        fresh: News to send to peers at once.
    """

    released: list[int]
    fresh: list[BackendNews]


class BackendNewsTable:
    """Owns the own list's entries, peers' latest news of each backend and the stops that follow from it.

    Entries and latest news go RETENTION_SECONDS after a backend is gone. Stops go when the own list covers
    them or they expire; there are NEWS_MAX at most.

    Attributes:
        ignored: Pieces of news that changed nothing.
    """

    def __init__(self, own: int, peers: Iterable[int], random_below: Callable[[int], int]) -> None:
        """Begins without a list.

        Args:
            own: This gateway's number.
            peers: Numbers of the gateways that exchange news; its own may be among them.
            random_below: Draws from 0 to below a number.
        """
        self.own = own
        self.peers = sorted(set(peers) - {own})
        self.random_below = random_below
        self.list_incarnation = 0
        self.list_version = 0
        self.list_followed = False
        self.entries: dict[int, OwnListEntry] = {}
        self.stops: dict[int, PeerStop] = {}
        self.latest: dict[int, BackendNews] = {}
        self.ignored = 0

    def list_updated(
        self,
        list_incarnation: int,
        list_version: int,
        backends: Iterable[tuple[int, int, str]],
        complete: bool,
        now: float,
    ) -> ListUpdate:
        """The own list said something.

        Args:
            list_incarnation: Which start of the list.
            list_version: Its version within that.
            backends: Number, start and name of the state of each.
            complete: Whether the backends are all there are.
            now: Seconds.
        """
        sent_before = {(news.backend, news.start, news.state) for news in self.news_to_send(now)}
        self.list_incarnation = list_incarnation
        self.list_version = list_version
        self.list_followed = True
        named = set()
        for backend, start, state_name in backends:
            named.add(backend)
            self._update_entry(backend, start, STATES_BY_NAME[state_name], now)
        if complete:
            self._mark_gone(set(self.entries) - named, now)
        self._forget_gone(now)
        released = self._release(
            [backend for backend, stop in self.stops.items() if self._covered_by_own_list(stop.news)]
        )
        fresh = [
            news
            for news in self.news_to_send(now)
            if (news.backend, news.start, news.state) not in sent_before
        ]
        return ListUpdate(released, fresh)

    def list_lost(self) -> None:
        """The own list is not followed any more."""
        self.list_followed = False

    def peer_reported(self, reports: Iterable[BackendNews], now: float) -> list[BackendNews]:
        """A peer's news came.

        Returns:
            What was new and is believed, to be passed on: its backends are stopped, or are again what the own
            list says.
        """
        fresh = []
        for news in reports:
            if self._outdated(news):
                self.ignored += 1
                self._note_later_version(news)
            elif news.state == BackendState.READY:
                if self._ends_stop(news):
                    fresh.append(news)
            elif self._stops_nothing(news):
                self.ignored += 1
            else:
                self.latest[news.backend] = news
                self.stops[news.backend] = PeerStop(news, now + STOP_SECONDS)
                fresh.append(news)
        return fresh

    def expire(self, now: float) -> list[int]:
        """Ends stops that the own list did not confirm in time; the backends that may be used again.

        A gateway that follows no list goes on believing: it has nothing better.
        """
        if not self.list_followed:
            return []
        return self._release([backend for backend, stop in self.stops.items() if stop.until <= now])

    def is_stopped(self, backend: int) -> bool:
        """Whether peers' news stops a backend that the own list calls ready."""
        return backend in self.stops

    def news_to_send(self, now: float) -> list[BackendNews]:
        """What the own list and peers say of backends that are not ready, or were not lately."""
        own_news = [
            BackendNews(backend, entry.start, entry.state, self.list_incarnation, self.list_version)
            for backend, entry in sorted(self.entries.items())
            if backend not in self.stops and self._recently_not_ready(entry, now)
        ]
        return own_news + [stop.news for _, stop in sorted(self.stops.items())]

    def draw_recipients(self, fresh: bool, alive: Iterable[int] = ()) -> list[int]:
        """Peers to send to: several where the news is fresh, else one.

        Args:
            fresh: Whether it is news, and no repetition that makes up for losses.
            alive: Members that the view holds alive. Where no peer is among them the view may be in error,
                and any peer is drawn.
        """
        candidates = sorted(set(alive) & set(self.peers)) or list(self.peers)
        recipients: list[int] = []
        while candidates and len(recipients) < (FANOUT if fresh else 1):
            recipients.append(candidates.pop(self.random_below(len(candidates))))
        return recipients

    # The own list

    def _update_entry(self, backend: int, start: int, state: BackendState, now: float) -> None:
        known = self.entries.get(backend)
        not_ready_at = known.not_ready_at if known is not None else NEVER
        if state is not BackendState.READY:
            not_ready_at = now
        self.entries[backend] = OwnListEntry(start, state, now, not_ready_at)

    def _mark_gone(self, backends: Iterable[int], now: float) -> None:
        for backend in backends:
            self.entries[backend] = self.entries[backend]._replace(
                state=BackendState.GONE, updated_at=now, not_ready_at=now
            )

    def _forget_gone(self, now: float) -> None:
        for backend, entry in list(self.entries.items()):
            if entry.state is BackendState.GONE and now - entry.updated_at > RETENTION_SECONDS:
                del self.entries[backend]
                self.latest.pop(backend, None)

    def _recently_not_ready(self, entry: OwnListEntry, now: float) -> bool:
        last = entry.not_ready_at if entry.state is BackendState.READY else entry.updated_at
        return now - last <= RETENTION_SECONDS

    def _covered_by_own_list(self, news: BackendNews) -> bool:
        """Whether the own list, whose entries come in order, has come as far as the list that said this."""
        own = (self.list_incarnation, self.list_version)
        return self.list_followed and (news.list_incarnation, news.list_version) <= own

    # Peers' news

    def _outdated(self, news: BackendNews) -> bool:
        """Whether it is on no known backend, covered by the own list, or no newer than what peers said."""
        if news.backend not in self.entries or self._covered_by_own_list(news):
            return True
        latest = self.latest.get(news.backend)
        return latest is not None and not self._newer(news, latest)

    def _note_later_version(self, news: BackendNews) -> None:
        """What lies between two versions of a list that say the same has no say any more."""
        latest = self.latest.get(news.backend)
        if latest is None or news.list_incarnation != latest.list_incarnation:
            return
        if news.list_version <= latest.list_version:
            return
        self.latest[news.backend] = news
        stop = self.stops.get(news.backend)
        if stop is not None:
            self.stops[news.backend] = PeerStop(news, stop.until)

    def _ends_stop(self, news: BackendNews) -> bool:
        """Whether news of a ready backend ends its stop.

        A list that restarted may have been without its backends for a moment, and a gateway that follows no
        list would lose them all. Another start of the backend may still be warming up and ends nothing.
        """
        if self.entries[news.backend].start != news.start:
            return False
        self.latest[news.backend] = news
        return self.stops.pop(news.backend, None) is not None

    def _stops_nothing(self, news: BackendNews) -> bool:
        """Whether the own list says no less of this start, or the table of stops is full."""
        entry = self.entries[news.backend]
        if entry.state >= news.state and entry.start == news.start:
            return True
        return news.backend not in self.stops and len(self.stops) >= NEWS_MAX

    @staticmethod
    def _newer(news: BackendNews, than: BackendNews) -> bool:
        if news.list_incarnation == than.list_incarnation:
            changed = (news.start, news.state) != (than.start, than.state)
            return news.list_version > than.list_version and changed
        return news.list_incarnation > than.list_incarnation

    def _release(self, backends: list[int]) -> list[int]:
        """Ends stops; of their backends those that the own list calls ready."""
        for backend in backends:
            del self.stops[backend]
        return [
            backend
            for backend in backends
            if backend in self.entries and self.entries[backend].state is BackendState.READY
        ]
