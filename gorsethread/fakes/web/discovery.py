"""A fake discovery service over HTTP: endpoint lists and watches, on a port for each gateway."""

from collections import deque
from typing import Any, NamedTuple

import msgspec

from gorsethread.fakes.discovery import MAX_CHANGES, FakeDiscovery, Registration
from gorsethread.fakes.record import Fault
from gorsethread.fakes.web.messages import FIRST_GATEWAY_PORT, instance
from gorsethread.http1.framing import InvalidRequestError
from gorsethread.http1.server_codec import ServerCodec
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Listener, Stream, StreamClosed


class Change(NamedTuple):
    """A change of one backend's entry. due: when it is visible to each gateway, by number."""

    version: int
    entry: Registration
    state: str
    since: float
    due: dict[int, float]


class HttpFakeDiscovery(FakeDiscovery):
    """Accepts backends as FakeDiscovery does; gateways watch the list over HTTP."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # Wall time in milliseconds, which exceeds the versions of an earlier run: they grew by at most one
        # per change.
        self.version = self.first_version = int(self.transport.wall_time() * 1000)
        self.recent_changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._last: dict[int, float] = {}  # by gateway: when its latest change is due
        self._watches: dict[int, Stream] = {}  # by a running number; emptied as the connections end
        self._last_watch = 0
        self._listeners: list[Listener] = []

    def start(self) -> None:
        super().start()
        host, _ = split_address(self.site.list.address)
        self._listeners = [self._listen_to(host, h.number) for h in self.site.head]

    def stop(self) -> None:
        super().stop()
        for listener in self._listeners:
            listener.close()
        for stream in list(self._watches.values()):
            stream.close()

    def _listen_to(self, host: str, gateway: int) -> Listener:
        async def on_stream(stream: Stream) -> None:
            self._last_watch += 1
            number = self._last_watch
            self._watches[number] = stream
            codec = ServerCodec()
            try:
                while True:
                    codec.feed(await stream.read())
                    while (request := codec.next_request()) is not None:
                        status, body, changes = await self._answer(request.target.decode(), gateway)
                        stream.write(codec.respond(status, [], body)[0])
                        for c in changes:
                            self.recorder.record(
                                "told", head=gateway, shelf=c.entry.number, state=c.state, start=c.entry.start
                            )
            except (StreamClosed, InvalidRequestError):
                pass
            finally:
                self._watches.pop(number, None)
                stream.close()

        return self.transport.listen(host, FIRST_GATEWAY_PORT + gateway, on_stream)

    def _fault(self, fault: Fault) -> None:
        super()._fault(fault)
        if fault.kind == "refuse":
            for stream in list(self._watches.values()):
                stream.close()

    def _set(self, entry: Registration, state: str, since: float) -> None:
        super()._set(entry, state, since)
        now, due = self.transport.now(), {}
        extra = self.extra_delay if now < self.late_until else 0.0
        for h in self.site.head:
            wait = self.chance.uniform(self.site.list.late_least, self.site.list.late_most) + extra
            due[h.number] = self._last[h.number] = max(self._last.get(h.number, 0.0), now + wait)
        self.recent_changes.append(Change(self.version, entry, state, since, due))

    def instance_for(self, gateway: int, c: Change) -> dict[str, Any]:
        now = self.transport.now()
        started = self.transport.wall_time() - max(0.001, now - c.since) if c.since else 0.0
        return instance(
            c.entry.number, c.entry.address, c.entry.shard, c.entry.zone, c.state, started, gateway
        )

    async def _answer(self, target: str, gateway: int) -> tuple[int, bytes, list[Change]]:
        if self.transport.now() < self.refuse_until:
            return 503, b"", []
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(query.get("since", -1))
        deadline = self.transport.now() + int(query.get("timeout_ms", 0)) / 1000
        recent = self.recent_changes
        oldest = recent[0].version - 1 if len(recent) == MAX_CHANGES else self.first_version
        if not oldest <= since <= self.version:
            changes = [
                Change(self.version, entry, state, at, {})
                for entry, state, at in (self.entries[n] for n in sorted(self.entries))
            ]
            listed = [c for c in changes if c.state != "gone"]
            return 200, self._encode(self.version, True, listed, gateway), changes
        while True:
            now, changes = self.transport.now(), []
            for c in self.recent_changes:
                if c.version > since:
                    if c.due[gateway] > now:
                        break
                    changes.append(c)
            if changes or now >= deadline or now < self.refuse_until:
                version = changes[-1].version if changes else since
                return 200, self._encode(version, False, changes, gateway), changes
            await self.transport.sleep(0.05)

    def _encode(self, version: int, reset: bool, changes: list[Change], gateway: int) -> bytes:
        return msgspec.json.encode(
            {
                "generation": version,
                "reset": reset,
                "instances": [self.instance_for(gateway, change) for change in changes],
            }
        )
