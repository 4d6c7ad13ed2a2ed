"""Carries what a head holds for others: copies of their records on its own disk, given back when asked. Who
is shut out is decided by `durable_log/replication.py`. What branches' heads and operators say on the same
port goes to whoever is there for it."""

import asyncio
from collections.abc import Callable
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber, pieces
from gorsethread.durable_log.replication import CATCH_UP, CHUNK, CHUNK_BYTES, Keeping
from gorsethread.durable_log.store import Store, strays
from gorsethread.errors import GorsethreadError
from gorsethread.head.peers import fleet_of
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Transport

STREAMS_MOST = 4  # a head: one to hold by, one that asks, and as many that have not ended yet
HELLO_WITHIN = 3.0  # seconds
LOOPBACK = "127."  # operators ask on this machine only


def own_of(folder: str, head: int) -> str:
    """Under the head's name, so that of two heads whose folders were exchanged neither takes the other's."""
    return f"{folder}/own-{head}"


def copies_of(folder: str, head: int) -> str:
    return f"{folder}/copies/head-{head}"


class Held:
    """One other head's records here."""

    def __init__(self, store: Store, whole: bool) -> None:
        self.store = store
        # Of a copy with holes nobody knows what it lacks: it is asked for everything.
        self.whole = whole
        self.filled = whole  # all that its owner had as it greeted is here
        self.turn = asyncio.Lock()  # one piece at a time, whatever streams there are
        self.by: Stream | None = None  # the latest that its owner greeted on; only on that are pieces taken


class ReplicaServer:
    def __init__(
        self, transport: Transport, site: pb.Site, head: int, folder: str, log: Any, listen: str = ""
    ) -> None:
        self.transport, self.folder, self.log, self.head = transport, folder, log, head
        self.fleet = fleet_of(site)
        self.heads = {h.number for h in site.head}
        mine = next((h.peers for h in site.head if h.number == head and site.records.copies), "")
        self.address = split_address(listen or mine) if mine else None
        self.keeping = Keeping()
        self.held: dict[int, Held] = {}  # as many as other heads
        self._streams: set[Stream] = set()
        self.branch_said: Callable[[Stream, Any], None] | None = None  # at a head of the main site
        self.asked: Callable[[offline_messages.OperatorQuery], bytes] | None = None  # at a branch's head
        # Told of another head's records as they are on this disk: whose, begins anew, all up to that number.
        self.kept: Callable[[int, list[Record], bool, SequenceNumber], None] = lambda *_: None

    def start(self) -> None:
        """OSError where its address can't be had."""
        if self.address is not None:
            most = STREAMS_MOST * len(self.heads)
            self._listener = self.transport.listen(
                *self.address, self._serve, lambda: len(self._streams) < most
            )

    def stop(self) -> None:
        if self.address is not None:
            self._listener.close()
        for held in self.held.values():
            held.store.close()
        for stream in list(self._streams):
            stream.close()

    def of(self, origin: int) -> Held:
        """InUse, Unusable, OSError where what is held of that head can't be read."""
        held = self.held.get(origin)
        if held is None:
            store = Store(self.transport, copies_of(self.folder, origin), self.fleet, origin, self.log, True)
            found = store.open()
            # After an exchange of disks its own records stand here.
            store.table.merge(strays(self.transport, own_of(self.folder, origin), self.fleet, origin))
            held = self.held[origin] = Held(store, found.whole)
            self.keeping.greets(origin, found.highest[0])
            self.kept(origin, store.table.whole(), True, store.table.last)
        return held

    async def _serve(self, stream: Stream) -> None:
        self._streams.add(stream)
        reader, origin = replication_messages.MessageReader(offline_messages.DECODER), -1
        # Guards against whoever connects and says nothing: it would hold a place that a head needs.
        guard = self.transport.at(self.transport.now() + HELLO_WITHIN, stream.close)
        try:
            while True:
                for m in reader.take(await stream.read()):
                    if isinstance(m, replication_messages.Hello):
                        if m.fleet != self.fleet or m.head not in self.heads or m.head == self.head:
                            raise replication_messages.ProtocolError(
                                f"head {m.head} of fleet {m.fleet} is none of this fleet"
                            )
                        origin = m.head
                        guard.cancel()
                        self._greeted(stream, origin, m.life)
                    elif isinstance(m, offline_messages.BranchHello):
                        if m.fleet != self.fleet or m.gateway not in self.heads:
                            raise replication_messages.ProtocolError(
                                f"head {m.gateway} of fleet {m.fleet} is none of this fleet"
                            )
                        origin = m.gateway
                        guard.cancel()
                    elif isinstance(m, offline_messages.OperatorQuery):
                        self._question(stream, m)
                    elif origin < 0:
                        raise replication_messages.ProtocolError("no hello came first")
                    elif isinstance(m, replication_messages.Fetch):
                        await self._give(stream, origin, m)
                    elif isinstance(m, replication_messages.Put):
                        await self._put(stream, origin, m)
                    elif isinstance(m, offline_messages.BRANCH_MESSAGES) and self.branch_said is not None:
                        self.branch_said(stream, m)
        except StreamClosed:
            pass
        except (GorsethreadError, OSError) as error:
            self.log.error("no copy is held", of=origin, reason=str(error))
        finally:
            guard.cancel()
            self._streams.discard(stream)
            stream.close()

    def _question(self, stream: Stream, m: offline_messages.OperatorQuery) -> None:
        if not stream.peer.startswith(LOOPBACK) or m.fleet != self.fleet or self.asked is None:
            raise replication_messages.ProtocolError("an operator's question that is not answered here")
        stream.write(replication_messages.encode(offline_messages.OperatorReply(self.asked(m))))

    def _greeted(self, stream: Stream, origin: int, life: int) -> None:
        held = self.of(origin)
        latest = self.keeping.greets(origin, life)
        last = held.store.table.last if held.whole else NO_SEQUENCE
        if life >= latest:
            held.by = stream
        stream.write(
            replication_messages.encode(
                replication_messages.Over(latest)
                if 0 < life < latest
                else replication_messages.Have(latest, last)
            )
        )

    async def _give(self, stream: Stream, origin: int, asked: replication_messages.Fetch) -> None:
        later = list(pieces(self.of(origin).store.table.after(asked.after), CHUNK, CHUNK_BYTES)) or [[]]
        for n, piece in enumerate(later, 1):
            more = n < len(later)
            stream.write(
                replication_messages.encode(
                    replication_messages.Give(replication_messages.entries(piece), more)
                )
            )
            if more:
                await stream.drained()
                await self.transport.sleep(CATCH_UP)  # live work goes first

    async def _put(self, stream: Stream, origin: int, m: replication_messages.Put) -> None:
        held = self.of(origin)
        async with held.turn:
            # Guards against what a cut held on an earlier stream: a word on what has been taken back since,
            # which is forgotten by now, would stand again.
            if held.by is not stream:
                raise StreamClosed("greeted anew since")
            if not self.keeping.takes(origin, m.life):
                stream.write(
                    replication_messages.encode(replication_messages.Over(self.keeping.lives[origin]))
                )
                return
            kept = await self._keep(held, m)
            if kept:
                held.store.table.last = max(held.store.table.last, m.last)
                held.filled = not m.more and (m.begins or held.whole)
                self.kept(origin, replication_messages.records(m.entries), m.begins, m.last)
            stream.write(
                replication_messages.encode(
                    replication_messages.Holds(m.last) if kept else replication_messages.Failed()
                )
            )

    async def _keep(self, held: Held, m: replication_messages.Put) -> bool:
        store, given = held.store, replication_messages.records(m.entries)
        if m.begins:
            store.replace(RecordTable(given))
            held.whole = True
        if m.begins or not store.begun or m.life > store.life:
            await store.begin(m.life)
            if m.begins:
                return True
        if not given:
            return True
        told: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        for record in given[:-1]:
            store.add(record)
        store.add(given[-1], told.set_result)
        return await asyncio.shield(told)
