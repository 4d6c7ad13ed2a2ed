"""Connects the accounts to a running head: looks at what is held, and a file for each window of time."""

from typing import Any

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.held_reasons import why_held
from gorsethread.latency_attribution.request_attribution import RECHECK_INTERVAL, LatencyAccounts
from gorsethread.latency_attribution.snapshots import SUFFIX, encode
from gorsethread.latency_attribution.window import Span
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Transport

KEPT_MOST = 20_000  # files of one head; the oldest go first (at 10 s a window, about two days)


class AccountBook:
    """seconds: length of a window; windows begin at whole multiples of it on the head's wall clock, so that
    those of heads whose clocks agree fit together. A snapshot that can't be kept is lost; serving goes on."""

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        head: int,
        driver: Driver,
        folder: str,
        seconds: float,
        log: Any,
    ) -> None:
        self.transport, self.driver, self.log = transport, driver, log
        self.site_name, self.head, self.folder, self.seconds = site.name, head, folder, seconds
        self.accounts = LatencyAccounts([p.promised for p in site.profile], transport.now())
        self.start = transport.wall_time()
        self.life = int(self.start * 1e6)
        self.most = KEPT_MOST
        self.ended = False
        mine = f"head-{head}-"
        # By the time in their names; emptied as newer ones come.
        self._kept = sorted(
            name for name in transport.list_files(folder) if name.startswith(mine) and name.endswith(SUFFIX)
        )
        driver.accounting.accounts = self.accounts
        self._look()
        self._next()

    def end(self) -> None:
        """The last window, marked as such."""
        self.ended = True
        self._close(last=True)

    def _look(self) -> None:
        if self.ended:
            return
        now = self.transport.now()
        if self.accounts.groups:
            for id in self.accounts.requests_to_recheck():
                self.accounts.held(id, *why_held(self.driver.scheduler, id), now)
        self.transport.call_at(now + RECHECK_INTERVAL, self._look)

    def _next(self) -> None:
        wall = self.transport.wall_time()
        due = (int(wall / self.seconds) + 1) * self.seconds
        self.transport.call_at(self.transport.now() + due - wall, self._turn)

    def _turn(self) -> None:
        if not self.ended:
            self._close(last=False)
            self._next()

    def _close(self, last: bool) -> None:
        end = self.transport.wall_time()
        window = self.accounts.close_window(self.transport.now())
        # A clock set back must not make a span end before it began.
        window.spans.add(Span(self.head, self.life, self.start, max(self.start, end), last))
        if window.remainders:
            self.log.error("accounts do not add up", transactions=window.remainders)
        name = f"head-{self.head}-{int(self.start * 1000):015d}{SUFFIX}"
        self.start = end
        try:
            self.transport.save(f"{self.folder}/{name}", encode(self.site_name, window))
        except OSError as error:
            self.log.warning("accounts not kept", file=name, reason=str(error))
            return
        self._kept.append(name)
        while len(self._kept) > self.most:
            self.transport.remove(f"{self.folder}/{self._kept.pop(0)}")
