"""The connections to all backends together: their bound, what waits for one, whether they are worth
keeping."""

from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from gorsethread.gateway.carrying import Attempt
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import Transport

if TYPE_CHECKING:
    from gorsethread.http_gateway.backends import BackendConnection, BackendLink

IDLE_PART = 0.8  # of the time after which a backend closes an idle connection: the gateway is first
BREAKS_FREE, BREAKS_PART = 1.0, 0.04  # of kept connections used again: more, and none is kept for a while
HALF_LIFE = 5.0  # seconds


class ReuseTrust:
    """Whether connections that have answered once are worth keeping: how many used again broke, of late.

    Guards against backends, or something on the way, that end kept connections without a word: what is
    written to such a one may have run, and what is irreversible is lost with it. Costs a new connection each.
    """

    def __init__(self) -> None:
        self._again = self._broke = self._at = 0.0

    def seen(self, broke: bool, now: float) -> None:
        """One that was used again has ended its attempt."""
        self._fade(now)
        self._again += 1.0
        self._broke += broke

    def holds(self, now: float) -> bool:
        self._fade(now)
        return self._broke <= BREAKS_FREE + BREAKS_PART * self._again

    def _fade(self, now: float) -> None:
        part = 0.5 ** ((now - self._at) / HALF_LIFE)
        self._again, self._broke, self._at = self._again * part, self._broke * part, now


class ConnectionPool:
    """The connections of all backends together. most: how many may be open or come up at once. links: the
    driver's table of them."""

    def __init__(
        self,
        transport: Transport,
        links: "dict[int, BackendLink]",
        most: int,
        dial_within: float,
        idle: float,
        log: Any,
    ) -> None:
        self.transport, self.links, self.most, self.log = transport, links, most, log
        self.dial_within, self.idle = dial_within, idle * IDLE_PART
        self.held = 0
        self.opened = 0
        self.trust = ReuseTrust()
        self.spoilt: Counter[str] = Counter()  # emptied by each report
        self.busy: dict[int, BackendConnection] = {}  # by request; emptied as attempts end
        self.waiting: deque[tuple[BackendLink, Attempt]] = deque()  # emptied as connections come free
        # The decisions': whether a request's attempt at a backend, decided at a time, may still begin now.
        self.may_begin: Callable[[int, int, float, float], bool]

    def room(self) -> bool:
        """Whether one more may be opened; makes room by the connection that is idle for longest."""
        if self.held >= self.most:
            oldest = min(
                (link.kept[0] for link in self.links.values() if link.kept),
                key=lambda c: c.idle_since,
                default=None,
            )
            if oldest is None:
                return False
            oldest.link.lose(oldest)
        return True

    def freed(self) -> None:
        """A connection has come free or ended: what waits for one goes on."""
        while self.waiting and (self.waiting[0][1].over or self.waiting[0][0].kept or self.room()):
            link, f = self.waiting.popleft()
            link.out -= 1
            if f.over:
                continue
            if link.may_begin(f):
                link.send(f)
            else:
                link.end(f, AttemptOutcome.NOT_SENT)

    def withdraw(self, unready: dict[int, bool]) -> None:
        """Of backends that drain or are gone nothing waits for a connection: it could come after the
        grace. unready: of those that the list told of, whether they are such."""
        for number in unready.keys() & self.links.keys():
            self.links[number].unready = unready[number]
        waiting, self.waiting = self.waiting, deque()
        for link, f in waiting:
            if link.unready or link.closed:
                link.out -= 1
                link.end(f, AttemptOutcome.NOT_SENT)
            else:
                self.waiting.append((link, f))

    def report(self) -> dict[str, int]:
        """What answers were spoilt by since the last report, the commonest few."""
        spoilt, self.spoilt = self.spoilt, Counter()
        return dict(spoilt.most_common(8))

    def sweep(self) -> None:
        """Closes what was idle for so long that its backend may be about to."""
        before = self.transport.now() - self.idle
        for link in list(self.links.values()):
            while link.kept and link.kept[0].idle_since <= before:
                link.lose(link.kept[0])
