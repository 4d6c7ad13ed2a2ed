"""Follows the node list for one head, and remembers its last word across restarts.

The list's lines are JSON (docs/wire.md). A shelf's age is told, not a time of day: no two machines need to
agree on a clock. What a line says of a shelf's start is turned into this head's time once, when it is first
heard, so that later tellings of the same start don't look like new ones.
"""

from typing import Any

import msgspec

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.open_requests import EndpointEntry
from gorsethread.nvme_gateway.peers import PeerMessaging
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

CONNECT_WITHIN = 1.0  # seconds
SILENCE_MOST = 5.0  # seconds; the list says something each second, so this means the connection is dead
LINE_MOST = 1 << 20  # bytes


class ListedBackend(msgspec.Struct, frozen=True):
    """One shelf: start names this life of its process, age is seconds since then (0: long ago)."""

    number: int
    address: str
    shard: int
    zone: int
    state: str
    start: int
    age: float


class ListMessage(msgspec.Struct, frozen=True):
    """kind: all, changes, refused, or alive (nothing new). life: which run of the list counts versions."""

    kind: str
    version: int = 0
    shelves: list[ListedBackend] = []
    life: int = 0


class WatchRequest(msgspec.Struct, frozen=True, tag="follow", tag_field="say"):
    """A head's wish to follow, from the version it has."""

    head: int
    version: int


class SavedList(msgspec.Struct, frozen=True):
    """What is kept on disk: shelves with the time of their start on this machine's clock."""

    shelves: list[tuple[ListedBackend, float]]


class DiscoveryClient:
    """driver is set before start(). path: where the last list is kept; "" keeps it nowhere."""

    def __init__(
        self, transport: Transport, address: str, head: int, path: str, links: Any, log: Any
    ) -> None:
        self.transport, self.head, self.path, self.log = transport, head, path, log
        self.address = split_address(address)
        self.links = links
        self.driver: Driver
        self.version = 0
        self.shelves: dict[int, tuple[ListedBackend, float]] = {}  # emptied as shelves leave the list
        self._stream: Stream | None = None
        self._asking = False
        self._heard = 0.0
        self.stopped = False
        self.peers: PeerMessaging | None = None  # set before start() where heads tell each other news

    def start(self) -> None:
        """Tells what is remembered, if anything is."""
        raw = self.transport.load(self.path) if self.path else None
        if raw is None:
            return
        try:
            kept: SavedList = msgspec.json.decode(raw, type=SavedList)
        except msgspec.DecodeError as error:
            self.log.warning(
                "remembered list can't be read; starting without", path=self.path, reason=str(error)
            )
            return
        now = self.transport.now()
        # After the machine itself restarted its clock did too: a start that lies ahead is taken as now.
        self.shelves = {s.number: (s, min(since, now)) for s, since in kept.shelves}
        self._pass_on(list(self.shelves.values()), True, True)

    def follow(self) -> None:
        """Asks for the list and its changes; a failure comes back as a refusal."""
        if self._asking or self._stream is not None or self.stopped:
            return
        self._asking = True
        self.transport.spawn(self._follow())

    def stop(self) -> None:
        self.stopped = True
        if self._stream is not None:
            self._stream.close()

    async def _follow(self) -> None:
        reason = ""
        try:
            stream = await self.transport.connect(*self.address, CONNECT_WITHIN)
            self._stream = stream
            stream.write(msgspec.json.encode(WatchRequest(self.head, self.version)) + b"\n")
            self._heard = self.transport.now()
            self._watch(stream)
            held = b""
            while True:
                held += await stream.read()
                self._heard = self.transport.now()
                *lines, held = held.split(b"\n")
                if len(held) > LINE_MOST:
                    raise StreamClosed("a line without an end")
                for line in lines:
                    self._take(line)
        except (Unreachable, StreamClosed, msgspec.DecodeError) as error:
            reason = str(error)
        finally:
            self._asking = False
            if self._stream is not None:
                self._stream.close()
                self._stream = None
        if not self.stopped:
            if self.peers is not None:
                self.peers.core.list_lost()
            self.log.info("the list is not followed", reason=reason)
            self.driver.endpoint_poll_failed()

    def _watch(self, stream: Stream) -> None:
        """Guards against a list whose machine vanished without a word: the head would be deaf to drains."""
        if self._stream is not stream:
            return
        if self.transport.now() - self._heard > SILENCE_MOST:
            stream.close()
            return
        self.transport.call_at(self.transport.now() + 1.0, lambda: self._watch(stream))

    def _take(self, line: bytes) -> None:
        told: ListMessage = msgspec.json.decode(line, type=ListMessage)
        if told.kind == "alive":
            return
        if told.kind == "refused":
            raise StreamClosed("refused")
        if told.version < self.version and told.kind == "changes":
            return
        self.version = told.version
        now = self.transport.now()
        whole = told.kind == "all"
        entries = []
        for s in told.shelves:
            known = self.shelves.get(s.number)
            if known and known[0].start == s.start:
                since = known[1]
            else:
                since = now - s.age if s.age else 0.0
            entries.append((s, since))
        if whole:
            self.shelves = {}
        for s, since in entries:
            if s.state == "gone":
                self.shelves.pop(s.number, None)
            else:
                self.shelves[s.number] = (s, since)
        self.log.info(
            "list", kind=told.kind, version=told.version, shelves={s.number: s.state for s in told.shelves}
        )
        freed: list[int] = []
        if self.peers is not None:
            freed = self.peers.list_said(
                told.life, told.version, [(s.number, s.start, s.state) for s in told.shelves], whole
            )
        self._pass_on(entries, whole, False)
        self.again(freed)
        self._save()

    def _pass_on(self, entries: list[tuple[ListedBackend, float]], whole: bool, remembered: bool) -> None:
        for s, _ in entries:
            self.links.update(s.number, s.shard, split_address(s.address), s.state)
        # Also links that had forwards out when their shelf left the list go, once these are in.
        self.links.keep_only(set(self.shelves))
        self._ready(entries)
        told = [EndpointEntry(s.number, s.zone, s.shard, self._usable(s), since) for s, since in entries]
        self.driver.endpoints_listed(told, whole, remembered)

    def _ready(self, entries: list[tuple[ListedBackend, float]]) -> None:
        for s, _ in entries:
            if (link := self.driver.links.get(s.number)) is not None:
                link.ready(self._usable(s))

    def _usable(self, s: ListedBackend) -> bool:
        return s.state == "ready" and (self.peers is None or not self.peers.core.is_stopped(s.number))

    def again(self, shelves: list[int]) -> None:
        """Tells the module anew of these, as the own list and peers' news together have it."""
        known = [self.shelves[n] for n in shelves if n in self.shelves]
        if known:
            self._ready(known)
            told = [EndpointEntry(s.number, s.zone, s.shard, self._usable(s), since) for s, since in known]
            self.driver.endpoints_listed(told, False, False)

    def _save(self) -> None:
        if not self.path:
            return
        try:
            self.transport.save(self.path, msgspec.json.encode(SavedList(list(self.shelves.values()))))
        except OSError as error:
            self.log.warning("the list could not be saved", path=self.path, reason=str(error))
