"""Watches the endpoint list for a gateway and saves it to disk, to have it after a restart.

The list service sends lines of JSON (docs/wire.md). It gives a backend's age, not a time of day, so that no
two machines need to agree on a clock. The age is converted to this gateway's clock only once, when the
backend's start is first received, so that later messages about the same start do not look like another start.
"""

from typing import Any

import msgspec

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.open_requests import EndpointEntry
from gorsethread.nvme_gateway.peers import PeerMessaging
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

CONNECT_TIMEOUT = 1.0  # seconds
MAX_SILENCE = 5.0  # seconds; the list service sends something each second, so the connection is dead
MAX_LINE_BYTES = 1 << 20


class ListedBackend(msgspec.Struct, frozen=True):
    """A backend in the endpoint list.

    Attributes:
        start: Identifies this start of the backend's process.
        age: Seconds since that start; 0 if it was long ago.
    """

    number: int
    address: str
    shard: int
    zone: int
    state: str
    start: int
    age: float


class ListMessage(msgspec.Struct, frozen=True):
    """A message from the list service.

    Attributes:
        kind: "all", "changes", "refused", or "alive" (nothing new).
        shelves: The backends listed, or those that changed.
        life: Identifies the run of the list service; versions are comparable only within a run.
    """

    kind: str
    version: int = 0
    shelves: list[ListedBackend] = []
    life: int = 0


class WatchRequest(msgspec.Struct, frozen=True, tag="follow", tag_field="say"):
    """A gateway's request to receive the list's changes, from the version that it has."""

    head: int
    version: int


class SavedList(msgspec.Struct, frozen=True):
    """The saved list: backends with the time of their start on this machine's clock."""

    shelves: list[tuple[ListedBackend, float]]


class DiscoveryClient:
    """Watches the endpoint list and passes its changes to the connection pool, the peers and the driver.

    Attributes:
        driver: Set before start().
        path: File in which the last list is saved; "" if it is not saved.
        backends: The backends listed and the times of their starts, by number; those that leave the list
            are removed.
        peers: Set before start() if gateways exchange news of backends.
    """

    def __init__(
        self, transport: Transport, address: str, gateway: int, path: str, links: Any, log: Any
    ) -> None:
        self.transport, self.gateway, self.path, self.log = transport, gateway, path, log
        self.address = split_address(address)
        self.links = links
        self.driver: Driver
        self.version = 0
        self.backends: dict[int, tuple[ListedBackend, float]] = {}
        self._stream: Stream | None = None
        self._watching = False
        self._last_received_at = 0.0
        self.stopped = False
        self.peers: PeerMessaging | None = None

    def start(self) -> None:
        """Passes on the saved list, if there is one."""
        raw = self.transport.load(self.path) if self.path else None
        if raw is None:
            return
        try:
            saved: SavedList = msgspec.json.decode(raw, type=SavedList)
        except msgspec.DecodeError as error:
            self.log.warning(
                "saved endpoint list can't be read; starting without it", path=self.path, reason=str(error)
            )
            return
        now = self.transport.now()
        # The clock restarts with the machine, so a saved start may lie in the future; it is replaced by now.
        self.backends = {backend.number: (backend, min(since, now)) for backend, since in saved.shelves}
        self._pass_on(list(self.backends.values()), True, True)

    def watch(self) -> None:
        """Connects to the list service and watches; the driver is told if that fails or ends."""
        if self._watching or self._stream is not None or self.stopped:
            return
        self._watching = True
        self.transport.spawn(self._watch_list())

    def stop(self) -> None:
        """Ends the watch for good."""
        self.stopped = True
        if self._stream is not None:
            self._stream.close()

    async def _watch_list(self) -> None:
        reason = ""
        try:
            stream = await self.transport.connect(*self.address, CONNECT_TIMEOUT)
            self._stream = stream
            stream.write(msgspec.json.encode(WatchRequest(self.gateway, self.version)) + b"\n")
            self._last_received_at = self.transport.now()
            self._check_silence(stream)
            buffer = b""
            while True:
                buffer += await stream.read()
                self._last_received_at = self.transport.now()
                *lines, buffer = buffer.split(b"\n")
                if len(buffer) > MAX_LINE_BYTES:
                    raise StreamClosed("a line is too long")
                for line in lines:
                    self._line_received(line)
        except (Unreachable, StreamClosed, msgspec.DecodeError) as error:
            reason = str(error)
        finally:
            self._watching = False
            if self._stream is not None:
                self._stream.close()
                self._stream = None
        if not self.stopped:
            if self.peers is not None:
                self.peers.news_table.list_lost()
            self.log.info("the endpoint list is not being watched", reason=reason)
            self.driver.endpoint_poll_failed()

    def _check_silence(self, stream: Stream) -> None:
        """Closes the connection after a long silence.

        Without this, a gateway whose list service's machine has vanished would not learn of drains.
        """
        if self._stream is not stream:
            return
        if self.transport.now() - self._last_received_at > MAX_SILENCE:
            stream.close()
            return
        self.transport.call_at(self.transport.now() + 1.0, lambda: self._check_silence(stream))

    def _line_received(self, line: bytes) -> None:
        message: ListMessage = msgspec.json.decode(line, type=ListMessage)
        if message.kind == "alive":
            return
        if message.kind == "refused":
            raise StreamClosed("refused")
        if message.version < self.version and message.kind == "changes":
            return
        self.version = message.version
        now = self.transport.now()
        complete = message.kind == "all"
        entries = []
        for backend in message.shelves:
            known = self.backends.get(backend.number)
            if known and known[0].start == backend.start:
                since = known[1]
            else:
                since = now - backend.age if backend.age else 0.0
            entries.append((backend, since))
        if complete:
            self.backends = {}
        for backend, since in entries:
            if backend.state == "gone":
                self.backends.pop(backend.number, None)
            else:
                self.backends[backend.number] = (backend, since)
        self.log.info(
            "endpoint list received",
            kind=message.kind,
            version=message.version,
            backends={backend.number: backend.state for backend in message.shelves},
        )
        freed: list[int] = []
        if self.peers is not None:
            freed = self.peers.list_updated(
                message.life,
                message.version,
                [(backend.number, backend.start, backend.state) for backend in message.shelves],
                complete,
            )
        self._pass_on(entries, complete, False)
        self.republish(freed)
        self._save_list()

    def _pass_on(self, entries: list[tuple[ListedBackend, float]], complete: bool, remembered: bool) -> None:
        for backend, _ in entries:
            self.links.update(backend.number, backend.shard, split_address(backend.address), backend.state)
        # This also removes a link that was kept for attempts in flight when its backend left the list.
        self.links.keep_only(set(self.backends))
        self._update_links(entries)
        endpoints = [
            EndpointEntry(backend.number, backend.zone, backend.shard, self._is_usable(backend), since)
            for backend, since in entries
        ]
        self.driver.endpoints_listed(endpoints, complete, remembered)

    def _update_links(self, entries: list[tuple[ListedBackend, float]]) -> None:
        for backend, _ in entries:
            if (link := self.driver.links.get(backend.number)) is not None:
                link.ready(self._is_usable(backend))

    def _is_usable(self, backend: ListedBackend) -> bool:
        return backend.state == "ready" and (
            self.peers is None or not self.peers.news_table.is_stopped(backend.number)
        )

    def republish(self, numbers: list[int]) -> None:
        """Passes these backends to the driver again, as the list and the peers' news now describe them."""
        known = [self.backends[n] for n in numbers if n in self.backends]
        if known:
            self._update_links(known)
            endpoints = [
                EndpointEntry(backend.number, backend.zone, backend.shard, self._is_usable(backend), since)
                for backend, since in known
            ]
            self.driver.endpoints_listed(endpoints, False, False)

    def _save_list(self) -> None:
        if not self.path:
            return
        try:
            self.transport.save(self.path, msgspec.json.encode(SavedList(list(self.backends.values()))))
        except OSError as error:
            self.log.warning("the endpoint list could not be saved", path=self.path, reason=str(error))
