"""A fake discovery service: lists and watches over HTTP, an address for each process that asks."""

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
    """due: when each head may hear of it."""

    version: int
    said: Registration
    state: str
    since: float
    due: dict[int, float]


class HttpFakeDiscovery(FakeDiscovery):
    """Shelves register as with the other list; heads watch it by HTTP, each at an address of its own."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        # Above all versions of an earlier life, which had one each change at the most.
        self.version = self.least = int(self.transport.wall_time() * 1000)
        self.news: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._last: dict[int, float] = {}
        self._watches: dict[int, Stream] = {}  # emptied as they end
        self._numbers = 0
        self._heads: list[Listener] = []

    def start(self) -> None:
        super().start()
        host, _ = split_address(self.site.list.address)
        self._heads = [self._listen_to(host, head.number) for head in self.site.head]

    def stop(self) -> None:
        super().stop()
        for listener in self._heads:
            listener.close()
        for stream in list(self._watches.values()):
            stream.close()

    def _listen_to(self, host: str, head: int) -> Listener:
        async def on_stream(stream: Stream) -> None:
            self._numbers += 1
            number = self._numbers
            self._watches[number] = stream
            codec = ServerCodec()
            try:
                while True:
                    codec.feed(await stream.read())
                    while (request := codec.next_request()) is not None:
                        status, body, told = await self._answer(request.target.decode(), head)
                        stream.write(codec.respond(status, [], body)[0])
                        for c in told:
                            self.recorder.record(
                                "told", head=head, shelf=c.said.number, state=c.state, start=c.said.start
                            )
            except (StreamClosed, InvalidRequestError):
                pass
            finally:
                self._watches.pop(number, None)
                stream.close()

        return self.transport.listen(host, FIRST_GATEWAY_PORT + head, on_stream)

    def _fault(self, fault: Fault) -> None:
        super()._fault(fault)
        if fault.kind == "refuse":
            for stream in list(self._watches.values()):
                stream.close()

    def _set(self, said: Registration, state: str, since: float) -> None:
        super()._set(said, state, since)
        now, due = self.transport.now(), {}
        extra = self.extra if now < self.late_until else 0.0
        for h in self.site.head:
            wait = self.chance.uniform(self.site.list.late_least, self.site.list.late_most) + extra
            due[h.number] = self._last[h.number] = max(self._last.get(h.number, 0.0), now + wait)
        self.news.append(Change(self.version, said, state, since, due))

    def shelf_for(self, head: int, c: Change) -> dict[str, Any]:
        now = self.transport.now()
        started = self.transport.wall_time() - max(0.001, now - c.since) if c.since else 0.0
        return instance(c.said.number, c.said.address, c.said.shard, c.said.zone, c.state, started, head)

    async def _answer(self, target: str, head: int) -> tuple[int, bytes, list[Change]]:
        if self.transport.now() < self.refuse_until:
            return 503, b"", []
        words = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(words.get("since", -1))
        by = self.transport.now() + int(words.get("timeout_ms", 0)) / 1000
        kept_from = self.news[0].version - 1 if len(self.news) == MAX_CHANGES else self.least
        if not kept_from <= since <= self.version:
            told = [
                Change(self.version, said, state, at, {})
                for said, state, at in (self.entries[n] for n in sorted(self.entries))
            ]
            return 200, self._said(self.version, True, [c for c in told if c.state != "gone"], head), told
        while True:
            now, told = self.transport.now(), []
            for c in self.news:
                if c.version > since:
                    if c.due[head] > now:
                        break
                    told.append(c)
            if told or now >= by or now < self.refuse_until:
                version = told[-1].version if told else since
                return 200, self._said(version, False, told, head), told
            await self.transport.sleep(0.05)

    def _said(self, version: int, whole: bool, told: list[Change], head: int) -> bytes:
        return msgspec.json.encode(
            {"generation": version, "reset": whole, "instances": [self.shelf_for(head, c) for c in told]}
        )
