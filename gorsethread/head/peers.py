"""Connects membership to a running head: tells some peers at once what is new, one of them everything each
second, and hands the module what peers' news stops, by the methods it has.

A line of JSON each way; a peer that can't be reached is left for the next round, which draws others.
"""

from typing import Any

import msgspec

from gorsethread.membership.news import EVERY, Membership, News
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

CONNECT_WITHIN = 0.5  # seconds
LINE_MOST = 1 << 18  # bytes
STREAMS_MOST = 64  # connections from peers at once
IDLE_MOST = 15.0  # seconds without a line until a peer's connection is closed


class Line(msgspec.Struct, frozen=True):
    head: int
    news: list[News]


class PeerSide:
    """follower: where the own list is heard, and what peers stop is passed on."""

    def __init__(self, transport: Transport, site: pb.Site, head: int, follower: Any, log: Any) -> None:
        self.transport, self.follower, self.log = transport, follower, log
        self.head = head
        self.addresses = {h.number: split_address(h.peers) for h in site.head if h.peers}
        draws = transport.chance(f"peers of head {head}")
        self.core = Membership(head, self.addresses, draws.randrange)
        self.open: dict[int, Stream] = {}  # by peer; no more than there are, emptied as they break
        self._dialing: dict[int, None] = {}
        self._came: dict[int, Stream] = {}  # from peers; emptied as they end
        self._numbers = 0
        self.stopped = False

    def start(self) -> None:
        if self.head not in self.addresses:
            return
        host, port = self.addresses[self.head]
        self._listener = self.transport.listen(host, port, self._on_stream)
        self._round()

    def stop(self) -> None:
        self.stopped = True
        if self.head in self.addresses:
            self._listener.close()
        for stream in (*self.open.values(), *self._came.values()):
            stream.close()

    # ---- from the own list

    def list_said(self, life: int, version: int, shelves: list[tuple[int, int, str]],
                  whole: bool) -> list[int]:
        """Shelves that may be used again."""
        freed, fresh = self.core.list_said(life, version, shelves, whole, self.transport.now())
        if fresh:
            self._tell(fresh, True)
        return freed

    # ---- to peers

    def _round(self) -> None:
        if self.stopped:
            return
        now = self.transport.now()
        if freed := self.core.expired(now):
            self.log.info("peers' news not borne out", shelves=freed)
            self.follower.again(freed)
        if news := self.core.to_tell(now):
            self._tell(news, False)
        self.transport.at(now + EVERY, self._round)

    def _tell(self, news: list[News], fresh: bool) -> None:
        if self.stopped or self.head not in self.addresses:
            return
        line = msgspec.json.encode(Line(self.head, news)) + b"\n"
        for peer in self.core.whom_to_tell(fresh):
            stream = self.open.get(peer)
            if stream is not None and stream.unsent <= LINE_MOST:
                stream.write(line)
            elif stream is None and peer not in self._dialing:
                self._dialing[peer] = None
                self.transport.spawn(self._dial(peer, line))

    async def _dial(self, peer: int, line: bytes) -> None:
        try:
            stream = await self.transport.connect(*self.addresses[peer], CONNECT_WITHIN)
        except Unreachable:
            return
        finally:
            self._dialing.pop(peer, None)
        if self.stopped:
            stream.close()
            return
        self.open[peer] = stream
        stream.write(line)
        try:
            while True:
                await stream.read()  # says nothing; its end shows here
        except StreamClosed:
            pass
        finally:
            stream.close()
            if self.open.get(peer) is stream:
                del self.open[peer]

    # ---- from peers

    async def _on_stream(self, stream: Stream) -> None:
        if self.stopped or len(self._came) >= STREAMS_MOST:
            stream.close()
            return
        self._numbers += 1
        number = self._numbers
        self._came[number] = stream
        heard = [self.transport.now()]
        self._watch(number, heard)
        held = b""
        try:
            while True:
                held += await stream.read()
                heard[0] = self.transport.now()
                *lines, held = held.split(b"\n")
                if len(held) > LINE_MOST:
                    raise StreamClosed("a line without an end")
                for line in lines:
                    self._take(msgspec.json.decode(line, type=Line))
        except StreamClosed:
            pass
        except msgspec.DecodeError as error:
            # Guards against whatever else finds this port; nothing of the line is believed.
            self.log.warning("a line that is no peer's", peer=stream.peer, reason=str(error))
        finally:
            stream.close()
            self._came.pop(number, None)

    def _watch(self, number: int, heard: list[float]) -> None:
        stream = self._came.get(number)
        if stream is None:
            return
        due = heard[0] + IDLE_MOST
        if due <= self.transport.now():
            stream.close()
        else:
            self.transport.at(due, lambda: self._watch(number, heard))

    def _take(self, line: Line) -> None:
        fresh = self.core.peer_said(line.news, self.transport.now())
        if not fresh:
            return
        self.log.info("peers' news", head=line.head, shelves={n.shelf: n.state for n in fresh})
        self.follower.again([n.shelf for n in fresh])
        self._tell(fresh, True)
