"""A stand-in node list: shelves register by holding a connection, heads follow it, its news comes late.

It knows only whether a shelf's process runs, and which shelves an operator drains.
"""

from collections import deque
from typing import Any

import msgspec

from gorsethread.fakes.record import Fault, Recorder
from gorsethread.nvme_gateway.discovery import Ask, Listed, Told
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport

MAX_LINE_BYTES = 65536
MAX_CHANGES = 256
ORDERING_SECONDS = 1e-6  # seconds between two tellings


class Registration(msgspec.Struct, frozen=True, tag="register", tag_field="say"):
    """A shelf's first line; age in seconds, 0: long ago."""

    number: int
    address: str
    shard: int
    zone: int
    start: int
    age: float


class DrainOrder(msgspec.Struct, frozen=True, tag="order", tag_field="say"):
    """An operator's line; state: draining or ready."""

    shelf: int
    state: str


class ListWatcher:
    """One head's stream and the news on its way to it, in order."""

    def __init__(self, head: int, stream: Stream) -> None:
        self.head, self.stream = head, stream
        self.last = 0.0  # when its latest news is due


class FakeDiscovery:
    def __init__(
        self, transport: Transport, site: pb.Site, recorder: Recorder, script: list[Fault], log: Any
    ) -> None:
        self.transport, self.site, self.recorder, self.log = transport, site, recorder, log
        self.script = script
        self.chance = transport.random_stream("list")
        self.version = 1
        self.life = int(transport.wall_time() * 1e6)  # versions of another life of the list don't compare
        self.entries: dict[int, tuple[Registration, str, float]] = {}  # shelf: what it said, its state, since
        self.changes: deque[tuple[int, int]] = deque(maxlen=MAX_CHANGES)  # version, shelf
        self.followers: dict[ListWatcher, None] = {}  # emptied as heads' streams end
        self.late_until = self.refuse_until = self.extra = 0.0

    def start(self) -> None:
        host, port = split_address(self.site.list.address)
        self._listener = self.transport.listen(host, port, self._on_stream)
        self.port = self._listener.port
        for fault in self.script:
            self.transport.call_at(fault.at, lambda fault=fault: self._fault(fault))  # type: ignore[misc]
        self._say_alive()
        self.log.info("list serves", address=f"{host}:{self.port}")

    def stop(self) -> None:
        self._listener.close()

    def _fault(self, fault: Fault) -> None:
        now = self.transport.now()
        self.log.warning("fault", kind=fault.kind, seconds=fault.seconds, part=fault.part)
        if fault.kind == "late":
            self.late_until, self.extra = now + fault.seconds, fault.part
        elif fault.kind == "refuse":
            self.refuse_until = now + fault.seconds
            for follower in list(self.followers):
                follower.stream.close()

    async def _on_stream(self, stream: Stream) -> None:
        held = b""
        try:
            while b"\n" not in held:
                held += await stream.read()
                if len(held) > MAX_LINE_BYTES:
                    raise StreamClosed("a line without an end")
            line, _, held = held.partition(b"\n")
            said: Registration | DrainOrder | Ask = msgspec.json.decode(
                line, type=Registration | DrainOrder | Ask
            )
            if isinstance(said, Registration):
                await self._shelf(said, stream)
            elif isinstance(said, DrainOrder):
                self._order(said, stream)
            else:
                await self._head(said, stream)
        except msgspec.DecodeError as error:
            self.log.warning("a line that is not the list's", peer=stream.peer, reason=str(error))
        except StreamClosed:
            pass
        finally:
            stream.close()

    async def _shelf(self, said: Registration, stream: Stream) -> None:
        self._set(said, "ready", self.transport.now() - said.age if said.age else 0.0)
        try:
            while True:
                await stream.read()
        finally:
            now = self.entries.get(said.number)
            if now and now[0].start == said.start:
                self._set(said, "gone", now[2])

    def _order(self, said: DrainOrder, stream: Stream) -> None:
        stream.write(b"done\n" if self.order(said.shelf, said.state) else b"no such shelf or state\n")

    def order(self, shelf: int, state: str) -> bool:
        """Whether there are such a shelf and state."""
        entry = self.entries.get(shelf)
        if entry is None or state not in ("draining", "ready"):
            return False
        self._set(entry[0], state, entry[2])
        return True

    def _set(self, said: Registration, state: str, since: float) -> None:
        self.version += 1
        self.entries[said.number] = (said, state, since)
        self.changes.append((self.version, said.number))
        self.log.info("shelf", shelf=said.number, state=state, version=self.version)
        for follower in list(self.followers):
            self._tell_later(follower, [said.number], "changes")

    async def _head(self, said: Ask, stream: Stream) -> None:
        if self.transport.now() < self.refuse_until:
            stream.write(msgspec.json.encode(Told("refused")) + b"\n")
            await stream.drained()
            return
        follower = ListWatcher(said.head, stream)
        self.followers[follower] = None
        try:
            # A head whose version is not from this life of the list, or too old, gets the whole of it.
            self._tell_later(follower, sorted(self.entries), "all")
            while True:
                await stream.read()
        finally:
            self.followers.pop(follower, None)

    def _tell_later(self, follower: ListWatcher, shelves: list[int], kind: str) -> None:
        now = self.transport.now()
        least, most = self.site.list.late_least, self.site.list.late_most
        wait = self.chance.uniform(least, most) + (self.extra if now < self.late_until else 0.0)
        if kind == "all":
            wait = min(wait, least)
        # Later than the news before it, if by little: timers due at one moment keep no order.
        follower.last = max(follower.last + ORDERING_SECONDS, now + wait)
        version = self.version
        entries = [self.entries[n] for n in shelves]
        self.transport.call_at(follower.last, lambda: self._tell(follower, entries, kind, version))

    def _tell(
        self, follower: ListWatcher, entries: list[tuple[Registration, str, float]], kind: str, version: int
    ) -> None:
        if follower not in self.followers:
            return
        now = self.transport.now()
        listed = [
            Listed(
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
        follower.stream.write(msgspec.json.encode(Told(kind, version, listed, self.life)) + b"\n")
        for s in listed:
            self.recorder.record("told", head=follower.head, shelf=s.number, state=s.state, start=s.start)

    def _say_alive(self) -> None:
        for follower in self.followers:
            follower.stream.write(msgspec.json.encode(Told("alive")) + b"\n")
        self.transport.call_at(self.transport.now() + 1.0, self._say_alive)
