"""Runs the latency accounting of a gateway: samples held requests and saves a snapshot for each window."""

from typing import Any

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.held_reasons import why_held
from gorsethread.latency_attribution.request_attribution import RECHECK_INTERVAL, LatencyAccounts
from gorsethread.latency_attribution.snapshots import SUFFIX, encode
from gorsethread.latency_attribution.window import Span
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Transport

MAX_FILES = 20_000  # snapshots kept for one gateway; the oldest are removed (10 s windows: about two days)


class AccountingSnapshots:
    """Accounts for the gateway's latency and saves a snapshot of each window to a folder.

    Windows begin at whole multiples of their length on the gateway's wall clock, so that the windows of
    gateways with synchronized clocks coincide. A snapshot that cannot be saved is lost, and the gateway goes
    on serving.

    Attributes:
        seconds: Length of a window.
        life: Identifies this start of the gateway: its wall time in microseconds.
        max_files: Number of snapshots kept; the oldest are removed.
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        gateway: int,
        driver: Driver,
        folder: str,
        seconds: float,
        log: Any,
    ) -> None:
        self.transport, self.driver, self.log = transport, driver, log
        self.site_name, self.gateway, self.folder, self.seconds = site.name, gateway, folder, seconds
        self.accounts = LatencyAccounts([p.promised for p in site.profile], transport.now())
        self.start = transport.wall_time()
        self.life = int(self.start * 1e6)
        self.max_files = MAX_FILES
        self.ended = False
        prefix = f"head-{gateway}-"
        # Names of the snapshots kept, oldest first: the names contain the time. Bounded by max_files.
        self._snapshots = sorted(
            name for name in transport.list_files(folder) if name.startswith(prefix) and name.endswith(SUFFIX)
        )
        driver.accounting.accounts = self.accounts
        self._sample_held()
        self._schedule_window()

    def end(self) -> None:
        """Saves the last window, marked as the last."""
        self.ended = True
        self._close_window(last=True)

    def _sample_held(self) -> None:
        if self.ended:
            return
        now = self.transport.now()
        if self.accounts.groups:
            for id in self.accounts.requests_to_recheck():
                self.accounts.held(id, *why_held(self.driver.scheduler, id), now)
        self.transport.call_at(now + RECHECK_INTERVAL, self._sample_held)

    def _schedule_window(self) -> None:
        wall = self.transport.wall_time()
        due = (int(wall / self.seconds) + 1) * self.seconds
        self.transport.call_at(self.transport.now() + due - wall, self._window_ended)

    def _window_ended(self) -> None:
        if not self.ended:
            self._close_window(last=False)
            self._schedule_window()

    def _close_window(self, last: bool) -> None:
        end = self.transport.wall_time()
        window = self.accounts.close_window(self.transport.now())
        # If the clock was set back, the span must not end before it begins.
        window.spans.add(Span(self.gateway, self.life, self.start, max(self.start, end), last))
        if window.remainders:
            self.log.error("latency accounts are inconsistent", requests=window.remainders)
        name = f"head-{self.gateway}-{int(self.start * 1000):015d}{SUFFIX}"
        self.start = end
        try:
            self.transport.save(f"{self.folder}/{name}", encode(self.site_name, window))
        except OSError as error:
            self.log.warning("latency snapshot not saved", file=name, reason=str(error))
            return
        self._snapshots.append(name)
        while len(self._snapshots) > self.max_files:
            self.transport.remove(f"{self.folder}/{self._snapshots.pop(0)}")
