"""A fake discovery service: backends register by holding a connection, gateways watch, changes arrive late.

It knows only whether a backend's process runs, and which backends an operator drains.
"""

from collections import deque
from typing import Any

import msgspec

from gorsethread.fakes.record import Fault, Recorder
from gorsethread.nvme_gateway.discovery import ListedBackend, ListMessage, WatchRequest
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport

MAX_LINE_BYTES = 65536
MAX_CHANGES = 256  # latest changes of the list that are kept
ORDERING_SECONDS = 1e-6  # minimum time between two messages to a watcher


class Registration(msgspec.Struct, frozen=True, tag="register", tag_field="say"):
    """A backend's first line. age: seconds since its start; 0 if it started long ago."""

    number: int
    address: str
    shard: int
    zone: int
    start: int
    age: float


class DrainOrder(msgspec.Struct, frozen=True, tag="order", tag_field="say"):
    """An operator's line. state: draining or ready."""

    shelf: int
    state: str


class ListWatcher:
    """A gateway that watches the list."""

    def __init__(self, gateway: int, stream: Stream) -> None:
        self.gateway, self.stream = gateway, stream
        self.last_due = 0.0  # when its latest message is due


class FakeDiscovery:
    """Serves the endpoint list to gateways and delays each change by a random time."""

    def __init__(
        self, transport: Transport, site: pb.Site, recorder: Recorder, script: list[Fault], log: Any
    ) -> None:
        self.transport, self.site, self.recorder, self.log = transport, site, recorder, log
        self.script = script
        self.chance = transport.random_stream("list")
        self.version = 1
        # Identifies this run of the list, as versions of different runs can't be compared.
        self.incarnation = int(transport.wall_time() * 1e6)
        # By backend: its registration, its state, and when it started (0: long ago).
        self.entries: dict[int, tuple[Registration, str, float]] = {}
        self.changes: deque[tuple[int, int]] = deque(maxlen=MAX_CHANGES)  # version, backend
        self.watchers: dict[ListWatcher, None] = {}  # emptied as gateways' streams end
        self.late_until = self.refuse_until = self.extra_delay = 0.0

    def start(self) -> None:
        host, port = split_address(self.site.list.address)
        self._listener = self.transport.listen(host, port, self._on_stream)
        self.port = self._listener.port
        for fault in self.script:
            self.transport.call_at(fault.at, lambda fault=fault: self._fault(fault))  # type: ignore[misc]
        self._send_heartbeats()
        self.log.info("discovery is listening", address=f"{host}:{self.port}")

    def stop(self) -> None:
        self._listener.close()

    def _fault(self, fault: Fault) -> None:
        now = self.transport.now()
        self.log.warning("fault", kind=fault.kind, seconds=fault.seconds, part=fault.part)
        if fault.kind == "late":
            self.late_until, self.extra_delay = now + fault.seconds, fault.part
        elif fault.kind == "refuse":
            self.refuse_until = now + fault.seconds
            for watcher in list(self.watchers):
                watcher.stream.close()

    async def _on_stream(self, stream: Stream) -> None:
        buffer = b""
        try:
            while b"\n" not in buffer:
                buffer += await stream.read()
                if len(buffer) > MAX_LINE_BYTES:
                    raise StreamClosed("the line is too long")
            line, _, buffer = buffer.partition(b"\n")
            message: Registration | DrainOrder | WatchRequest = msgspec.json.decode(
                line, type=Registration | DrainOrder | WatchRequest
            )
            if isinstance(message, Registration):
                await self._serve_backend(message, stream)
            elif isinstance(message, DrainOrder):
                self._order(message, stream)
            else:
                await self._serve_watcher(message, stream)
        except msgspec.DecodeError as error:
            self.log.warning("a line could not be decoded", peer=stream.peer, reason=str(error))
        except StreamClosed:
            pass
        finally:
            stream.close()

    async def _serve_backend(self, registration: Registration, stream: Stream) -> None:
        started_at = self.transport.now() - registration.age if registration.age else 0.0
        self._set(registration, "ready", started_at)
        try:
            while True:
                await stream.read()
        finally:
            current = self.entries.get(registration.number)
            if current and current[0].start == registration.start:
                self._set(registration, "gone", current[2])

    def _order(self, order: DrainOrder, stream: Stream) -> None:
        stream.write(b"done\n" if self.set_state(order.shelf, order.state) else b"no such shelf or state\n")

    def set_state(self, backend: int, state: str) -> bool:
        """Sets a backend's state; returns False if the backend or the state does not exist."""
        entry = self.entries.get(backend)
        if entry is None or state not in ("draining", "ready"):
            return False
        self._set(entry[0], state, entry[2])
        return True

    def _set(self, entry: Registration, state: str, since: float) -> None:
        self.version += 1
        self.entries[entry.number] = (entry, state, since)
        self.changes.append((self.version, entry.number))
        self.log.info("backend state changed", shelf=entry.number, state=state, version=self.version)
        for watcher in list(self.watchers):
            self._send_later(watcher, [entry.number], "changes")

    async def _serve_watcher(self, ask: WatchRequest, stream: Stream) -> None:
        if self.transport.now() < self.refuse_until:
            stream.write(msgspec.json.encode(ListMessage("refused")) + b"\n")
            await stream.drained()
            return
        watcher = ListWatcher(ask.head, stream)
        self.watchers[watcher] = None
        try:
            # Sends the complete list, as the gateway's version may be too old or of another run of the list.
            self._send_later(watcher, sorted(self.entries), "all")
            while True:
                await stream.read()
        finally:
            self.watchers.pop(watcher, None)

    def _send_later(self, watcher: ListWatcher, backends: list[int], kind: str) -> None:
        now = self.transport.now()
        min_delay, max_delay = self.site.list.late_least, self.site.list.late_most
        extra = self.extra_delay if now < self.late_until else 0.0
        wait = self.chance.uniform(min_delay, max_delay) + extra
        if kind == "all":
            wait = min(wait, min_delay)
        # Slightly later than the previous message, because timers due at the same time have no order.
        watcher.last_due = max(watcher.last_due + ORDERING_SECONDS, now + wait)
        version = self.version
        entries = [self.entries[n] for n in backends]
        self.transport.call_at(watcher.last_due, lambda: self._send(watcher, entries, kind, version))

    def _send(
        self, watcher: ListWatcher, entries: list[tuple[Registration, str, float]], kind: str, version: int
    ) -> None:
        if watcher not in self.watchers:
            return
        now = self.transport.now()
        listed = [
            ListedBackend(
                s.number,
                s.address,
                s.shard,
                s.zone,
                state,
                s.start,
                max(0.001, now - since) if since else 0.0,
            )
            for s, state, since in entries
        ]
        watcher.stream.write(
            msgspec.json.encode(ListMessage(kind, version, listed, self.incarnation)) + b"\n"
        )
        for s in listed:
            self.recorder.record("told", head=watcher.gateway, shelf=s.number, state=s.state, start=s.start)

    def _send_heartbeats(self) -> None:
        for watcher in self.watchers:
            watcher.stream.write(msgspec.json.encode(ListMessage("alive")) + b"\n")
        self.transport.call_at(self.transport.now() + 1.0, self._send_heartbeats)
