"""Tracks draining and removed backends by this gateway's endpoint list and by news from its peers. No I/O.

News from a peer may stop this gateway from sending to a backend, but never allows it to send. Each piece of
news names the version of the endpoint list that it is based on, so late, duplicated and reordered news does
no harm: news that this gateway's own list already covers is ignored. A list that restarts counts its versions
from the start again, under a later incarnation, which is the time of day of its machine. That clock may have
been set back, so a stop that the own list does not confirm lasts only for a while.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

STOP_SECONDS = 10.0  # how long a peer's news stops sending if the own list does not confirm it
RETENTION_SECONDS = 30.0  # how long a backend is reported to peers after it was removed or became ready again
FANOUT = 3  # peers that new news is sent to at once; it reaches n gateways in about log(n) rounds
RESEND_INTERVAL = 1.0  # seconds between repetitions of all news to one peer, which make up for losses
NEWS_MAX = 4096  # stops held at once; a site has far fewer backends
NEVER = -1e9  # seconds; earlier than any clock reading


class BackendState(IntEnum):
    """The state of a backend in an endpoint list; the value is the number on the wire."""

    READY = 0
    DRAINING = 1
    GONE = 2


STATES_BY_NAME = {"ready": BackendState.READY, "draining": BackendState.DRAINING, "gone": BackendState.GONE}


class BackendNews(NamedTuple):
    """The state of a backend, as reported by a gateway.

    Attributes:
        backend: The number of the backend.
        start: Which start of the backend.
        state: A BackendState.
        list_incarnation: Which start of the endpoint list the report is based on.
        list_version: The version of the list within that start.
    """

    backend: int
    start: int
    state: int
    list_incarnation: int
    list_version: int


class OwnListEntry(NamedTuple):
    """The last entry of the own list for a backend.

    Attributes:
        start: Which start of the backend.
        state: Its state.
        updated_at: When the entry arrived, in seconds.
        not_ready_at: When the list last reported the backend as not ready.
    """

    start: int
    state: BackendState
    updated_at: float
    not_ready_at: float = NEVER


@dataclass(frozen=True)
class PeerStop:
    """A stop because of a peer's news.

    It ends when the own list covers the news or, while the own list is followed, at the time ``until``.
    """

    news: BackendNews
    until: float


class ListUpdate(NamedTuple):
    """The effect of an update of the own list.

    Attributes:
        released: Backends whose stop ended and that the own list calls ready.
        fresh: News to send to peers at once.
    """

    released: list[int]
    fresh: list[BackendNews]


class BackendNewsTable:
    """Owns the entries of the own list, the latest news of each backend and the stops that follow from it.

    The entry and the latest news of a backend are removed RETENTION_SECONDS after the backend is gone. A stop
    is removed when the own list covers it or when it expires; there are at most NEWS_MAX stops.

    Attributes:
        ignored: The number of pieces of news that changed nothing.
    """

    def __init__(self, own: int, peers: Iterable[int], random_below: Callable[[int], int]) -> None:
        """Starts without an endpoint list.

        Args:
            own: The number of this gateway.
            peers: The numbers of the gateways that exchange news; this gateway's own may be among them.
            random_below: Returns a random integer of at least 0 and below its argument.
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
        """Applies an update of the own list.

        Args:
            list_incarnation: Which start of the list.
            list_version: The version of the list within that start.
            backends: The number, the start and the name of the state of each backend.
            complete: Whether these are all backends; the others are then gone.
            now: The time in seconds.
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
        """Notes that the own list is no longer followed."""
        self.list_followed = False

    def peer_reported(self, reports: Iterable[BackendNews], now: float) -> list[BackendNews]:
        """Applies news from a peer.

        Returns:
            The news that was accepted, to be passed on. It has stopped its backends or ended their stops.
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
        """Ends the stops that the own list did not confirm in time.

        A gateway that follows no list keeps its stops, because it has no better source.

        Returns:
            The backends that may be used again.
        """
        if not self.list_followed:
            return []
        return self._release([backend for backend, stop in self.stops.items() if stop.until <= now])

    def is_stopped(self, backend: int) -> bool:
        """Returns whether news from peers stops a backend."""
        return backend in self.stops

    def news_to_send(self, now: float) -> list[BackendNews]:
        """Returns news, own and from peers, of the backends that are not ready or recently were not."""
        own_news = [
            BackendNews(backend, entry.start, entry.state, self.list_incarnation, self.list_version)
            for backend, entry in sorted(self.entries.items())
            if backend not in self.stops and self._recently_not_ready(entry, now)
        ]
        return own_news + [stop.news for _, stop in sorted(self.stops.items())]

    def draw_recipients(self, fresh: bool, alive: Iterable[int] = ()) -> list[int]:
        """Draws the peers to send to: FANOUT for new news, otherwise one.

        Args:
            fresh: Whether the news is new, as opposed to a repetition that makes up for losses.
            alive: The members that the view holds alive. If no peer is among them the view may be wrong, and
                the peers are drawn from all.
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
        """Returns whether the own list, whose entries arrive in order, has reached the news's version."""
        own = (self.list_incarnation, self.list_version)
        return self.list_followed and (news.list_incarnation, news.list_version) <= own

    # News from peers

    def _outdated(self, news: BackendNews) -> bool:
        """Returns whether the backend is unknown, the own list covers the news, or it is not new."""
        if news.backend not in self.entries or self._covered_by_own_list(news):
            return True
        latest = self.latest.get(news.backend)
        return latest is not None and not self._newer(news, latest)

    def _note_later_version(self, news: BackendNews) -> None:
        """Keeps the later version when news repeats the known state.

        News of a version between the two is then outdated.
        """
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
        """Ends the stop of a backend that is reported as ready, and returns whether there was one.

        A list that restarted may be without its backends for a moment, and a gateway that follows no list
        would otherwise lose them all. News of another start of the backend does not end the stop, because
        that start may still be in slow start.
        """
        if self.entries[news.backend].start != news.start:
            return False
        self.latest[news.backend] = news
        return self.stops.pop(news.backend, None) is not None

    def _stops_nothing(self, news: BackendNews) -> bool:
        """Returns whether the own list has this or a later state of that start, or the stops are full."""
        entry = self.entries[news.backend]
        if entry.state >= news.state and entry.start == news.start:
            return True
        return news.backend not in self.stops and len(self.stops) >= NEWS_MAX

    @staticmethod
    def _newer(news: BackendNews, latest: BackendNews) -> bool:
        if news.list_incarnation == latest.list_incarnation:
            changed = (news.start, news.state) != (latest.start, latest.state)
            return news.list_version > latest.list_version and changed
        return news.list_incarnation > latest.list_incarnation

    def _release(self, backends: list[int]) -> list[int]:
        """Ends stops and returns those of their backends that the own list calls ready."""
        for backend in backends:
            del self.stops[backend]
        return [
            backend
            for backend in backends
            if backend in self.entries and self.entries[backend].state is BackendState.READY
        ]
