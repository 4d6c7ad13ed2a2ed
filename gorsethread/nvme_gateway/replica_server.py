"""Holds replicas of other gateways' logs on this gateway's disk, and gives records back when asked.

Which incarnation may write is decided by `durable_log/replication.py`. What branches' gateways and operators
send to the same port is passed on.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber, batches
from gorsethread.durable_log.replication import (
    BATCH_BYTES,
    BATCH_RECORDS,
    CATCH_UP_PAUSE,
    IncarnationFence,
)
from gorsethread.durable_log.replication_messages import ProtocolError
from gorsethread.durable_log.segment_files import load_misplaced_records
from gorsethread.errors import GorsethreadError
from gorsethread.head.peers import fleet_of
from gorsethread.nvme_gateway.log_folders import own_log_folder, replica_folder
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Timer, Transport

MAX_STREAMS_PER_GATEWAY = 4  # one to replicate, one that polls, and as many that have not ended yet
GREETING_TIMEOUT = 3.0  # seconds
LOOPBACK = "127."  # operators ask on this machine only
NO_GATEWAY = -1


class Replica:
    """One other gateway's log on this gateway's disk.

    Attributes:
        store: Its records.
        complete: Nothing is known to be missing; of an incomplete replica everything is requested anew.
        up_to_date: All that its owner had when it greeted is here.
        lock: Held while a batch is stored, whatever streams there are.
        stream: The latest that the owner greeted on; batches are accepted only from this one.
    """

    def __init__(self, store: LogStore, complete: bool) -> None:
        self.store = store
        self.complete = complete
        self.up_to_date = complete
        self.lock = asyncio.Lock()
        self.stream: Stream | None = None


class _Session:
    """One stream: who greeted on it, and the timer that ends it where nobody does."""

    def __init__(self, stream: Stream, greeting_timeout: Timer) -> None:
        self.stream = stream
        self.greeting_timeout = greeting_timeout
        self.origin = NO_GATEWAY

    def send(self, message: replication_messages.Message | offline_messages.Message) -> None:
        self.stream.write(replication_messages.encode(message))


class ReplicaServer:
    """The replicas of other gateways, and the port where gateways and operators connect.

    Its tables have one replica for each other gateway and MAX_STREAMS_PER_GATEWAY streams for each at most;
    streams leave as they end, replicas with stop().

    Attributes:
        on_branch_message: At a gateway of the main site: hears what branches' gateways send.
        answer_question: At a branch's gateway: answers an operator's question.
        on_records_stored: Hears of another gateway's records as they are on this disk: whose, the records,
            whether they replace all, and up to which number all is here.
    """

    def __init__(
        self, transport: Transport, site: pb.Site, gateway: int, folder: str, log: Any, listen: str = ""
    ) -> None:
        """Set up; listen: the address to use instead of the one of the site file."""
        self.transport = transport
        self.folder = folder
        self.log = log
        self.gateway = gateway
        self.fleet = fleet_of(site)
        self.gateways = {one.number for one in site.head}
        known = {one.number: one.peers for one in site.head} if site.records.copies else {}
        by_site = known.get(gateway, "")
        self.address = split_address(listen or by_site) if by_site else None
        self.fence = IncarnationFence()
        self.replicas: dict[int, Replica] = {}
        self._streams: set[Stream] = set()
        self.on_branch_message: Callable[[Stream, Any], None] | None = None
        self.answer_question: Callable[[offline_messages.OperatorQuery], bytes] | None = None
        self.on_records_stored: Callable[[int, list[Record], bool, SequenceNumber], None] = lambda *_: None

    def start(self) -> None:
        """Listen; OSError where the address can't be had."""
        if self.address is None:
            return
        max_streams = MAX_STREAMS_PER_GATEWAY * len(self.gateways)
        self._listener = self.transport.listen(
            *self.address, self._serve, lambda: len(self._streams) < max_streams
        )

    def stop(self) -> None:
        """Close the port, the replicas and all streams."""
        if self.address is not None:
            self._listener.close()
        for replica in self.replicas.values():
            replica.store.close()
        for stream in list(self._streams):
            stream.close()

    def replica_of(self, origin: int) -> Replica:
        """Return the replica of a gateway's log, opened where it is not yet.

        Raises:
            FolderInUseError: Another process holds the folder.
            UnusableSegmentError: The folder is another's, or of a later version.
            OSError: It can't be read.
        """
        known = self.replicas.get(origin)
        if known is not None:
            return known
        folder = replica_folder(self.folder, origin)
        store = LogStore(self.transport, folder, self.fleet, origin, self.log, True)
        found = store.open()
        # After an exchange of disks the gateway's own records are here.
        misplaced = own_log_folder(self.folder, origin)
        store.table.merge(load_misplaced_records(self.transport, misplaced, self.fleet, origin))
        replica = Replica(store, found.complete)
        self.replicas[origin] = replica
        self.fence.greet(origin, found.newest.incarnation)
        self.on_records_stored(origin, store.table.in_order(), True, store.table.last)
        return replica

    # ---- streams

    async def _serve(self, stream: Stream) -> None:
        self._streams.add(stream)
        reader = replication_messages.MessageReader(offline_messages.DECODER)
        # Who connects and sends nothing would take up a stream that a gateway needs.
        timeout = self.transport.call_at(self.transport.now() + GREETING_TIMEOUT, stream.close)
        session = _Session(stream, timeout)
        try:
            while True:
                for message in reader.take(await stream.read()):
                    await self._on_message(session, message)
        except StreamClosed:
            pass
        except (GorsethreadError, OSError) as error:
            self.log.error("no replica is held", of=session.origin, reason=str(error))
        finally:
            timeout.cancel()
            self._streams.discard(stream)
            stream.close()

    async def _on_message(self, session: _Session, message: Any) -> None:
        if isinstance(message, replication_messages.Hello):
            if message.gateway == self.gateway:
                raise self._foreign(message.gateway, message.fleet)
            self._identify(session, message.gateway, message.fleet)
            self._greeted(session, message.incarnation)
        elif isinstance(message, offline_messages.BranchHello):
            self._identify(session, message.gateway, message.fleet)
        elif isinstance(message, offline_messages.OperatorQuery):
            self._on_question(session, message)
        elif session.origin == NO_GATEWAY:
            raise ProtocolError("no greeting came first")
        elif isinstance(message, replication_messages.Fetch):
            await self._on_fetch(session, message)
        elif isinstance(message, replication_messages.Put):
            await self._on_put(session.stream, session.origin, message)
        elif isinstance(message, offline_messages.BRANCH_MESSAGES) and self.on_branch_message is not None:
            self.on_branch_message(session.stream, message)

    def _identify(self, session: _Session, gateway: int, fleet: int) -> None:
        if fleet != self.fleet or gateway not in self.gateways:
            raise self._foreign(gateway, fleet)
        session.origin = gateway
        session.greeting_timeout.cancel()

    def _foreign(self, gateway: int, fleet: int) -> ProtocolError:
        return ProtocolError(f"gateway {gateway} of fleet {fleet} is none of this fleet")

    def _on_question(self, session: _Session, question: offline_messages.OperatorQuery) -> None:
        is_local = session.stream.peer.startswith(LOOPBACK)
        if not is_local or question.fleet != self.fleet or self.answer_question is None:
            raise ProtocolError("an operator's question that is not answered here")
        session.send(offline_messages.OperatorReply(self.answer_question(question)))

    def _greeted(self, session: _Session, incarnation: int) -> None:
        replica = self.replica_of(session.origin)
        latest = self.fence.greet(session.origin, incarnation)
        if incarnation >= latest:
            replica.stream = session.stream
        if 0 < incarnation < latest:
            session.send(replication_messages.Over(latest))
        else:
            last = replica.store.table.last if replica.complete else NO_SEQUENCE
            session.send(replication_messages.Have(latest, last))

    async def _on_fetch(self, session: _Session, message: replication_messages.Fetch) -> None:
        later = self.replica_of(session.origin).store.table.later_than(message.after)
        parts = list(batches(later, BATCH_RECORDS, BATCH_BYTES)) or [[]]
        for number, part in enumerate(parts, 1):
            more = number < len(parts)
            session.send(replication_messages.Give(replication_messages.to_entries(part), more))
            if more:
                await session.stream.drained()
                await self.transport.sleep(CATCH_UP_PAUSE)  # live work goes first

    # ---- storing

    async def _on_put(self, stream: Stream, origin: int, message: replication_messages.Put) -> None:
        replica = self.replica_of(origin)
        async with replica.lock:
            # On an earlier stream a cut may have held back records that were removed since, and whose removal
            # is forgotten by now.
            if replica.stream is not stream:
                raise StreamClosed("greeted anew since")
            answer: replication_messages.Message
            if not self.fence.accepts(origin, message.incarnation):
                answer = replication_messages.Over(self.fence.latest[origin])
            elif await self._store_records(replica, message):
                self._on_stored(replica, origin, message)
                answer = replication_messages.Holds(message.last)
            else:
                answer = replication_messages.Failed()
            stream.write(replication_messages.encode(answer))

    def _on_stored(self, replica: Replica, origin: int, message: replication_messages.Put) -> None:
        table = replica.store.table
        table.last = max(table.last, message.last)
        replica.up_to_date = not message.more and (message.replaces_all or replica.complete)
        records = replication_messages.to_records(message.entries)
        self.on_records_stored(origin, records, message.replaces_all, message.last)

    async def _store_records(self, replica: Replica, message: replication_messages.Put) -> bool:
        """Store records; return whether they are on the disk."""
        store = replica.store
        records = replication_messages.to_records(message.entries)
        if message.replaces_all:
            store.replace_contents(RecordTable(records))
            replica.complete = True
        if message.replaces_all or not store.started or message.incarnation > store.incarnation:
            await store.start_incarnation(message.incarnation)
            if message.replaces_all:
                return True
        if not records:
            return True
        durable: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        for record in records[:-1]:
            store.add(record)
        store.add(records[-1], durable.set_result)
        return await asyncio.shield(durable)
