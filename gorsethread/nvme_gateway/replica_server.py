"""Stores replicas of other gateways' logs on this gateway's disk and returns their records on request.

`durable_log/replication.py` decides which incarnation may write. Messages that branches' gateways and
operators send to the same port are passed on to their handlers.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import NO_SEQUENCE, Record, RecordTable, SequenceNumber, batches
from gorsethread.durable_log.replication import (
    CATCH_UP_PAUSE,
    MAX_BATCH_BYTES,
    MAX_BATCH_RECORDS,
    IncarnationFence,
)
from gorsethread.durable_log.replication_messages import ProtocolError
from gorsethread.durable_log.segment_files import load_misplaced_records
from gorsethread.errors import GorsethreadError
from gorsethread.nvme_gateway.log_folders import own_log_folder, replica_folder
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Stream, StreamClosed, Timer, Transport

MAX_STREAMS_PER_GATEWAY = 4  # one that replicates, one that polls, and two earlier ones that have not ended
GREETING_TIMEOUT = 3.0  # seconds
LOOPBACK = "127."  # operators' queries are answered on this machine only
NO_GATEWAY = -1


class Replica:
    """The replica of another gateway's log on this gateway's disk.

    Attributes:
        store: Its records.
        complete: No record is known to be missing; all records of an incomplete replica are requested again.
        up_to_date: It has all records that its owner had when the owner connected.
        lock: Held while a batch is stored, so that batches of different streams do not interleave.
        stream: The stream on which the owner last sent a Hello; batches are accepted only from this one.
    """

    def __init__(self, store: LogStore, complete: bool) -> None:
        self.store = store
        self.complete = complete
        self.up_to_date = complete
        self.lock = asyncio.Lock()
        self.stream: Stream | None = None


class _Session:
    """One stream, the gateway that identified itself on it, and the timer that closes it if none does."""

    def __init__(self, stream: Stream, greeting_timeout: Timer) -> None:
        self.stream = stream
        self.greeting_timeout = greeting_timeout
        self.origin = NO_GATEWAY

    def send(self, message: replication_messages.Message | offline_messages.Message) -> None:
        self.stream.write(replication_messages.encode(message))


class ReplicaServer:
    """The replicas of other gateways, and the port where gateways and operators connect.

    Its tables have at most one replica and MAX_STREAMS_PER_GATEWAY streams for each gateway; streams are
    removed when they end, and replicas are closed by stop().

    Attributes:
        on_branch_message: At a gateway of the main site, called with each message of a branch's gateway.
        answer_operator_query: At a branch's gateway, returns the answer to an operator's query.
        on_records_stored: Called when records of another gateway are on this disk, with the gateway, the
            records, whether they replace all earlier ones, and the number up to which all records are here.
    """

    def __init__(
        self, transport: Transport, site: pb.Site, gateway: int, folder: str, log: Any, listen: str = ""
    ) -> None:
        """Set up; listen: the address to use instead of the site file's."""
        self.transport = transport
        self.folder = folder
        self.log = log
        self.gateway = gateway
        self.fleet = fleet_id(site)
        self.gateways = {entry.number for entry in site.head}
        addresses = {entry.number: entry.peers for entry in site.head} if site.records.copies else {}
        site_address = addresses.get(gateway, "")
        self.address = split_address(listen or site_address) if site_address else None
        self.fence = IncarnationFence()
        self.replicas: dict[int, Replica] = {}
        self._streams: set[Stream] = set()
        self.on_branch_message: Callable[[Stream, Any], None] | None = None
        self.answer_operator_query: Callable[[offline_messages.OperatorQuery], bytes] | None = None
        self.on_records_stored: Callable[[int, list[Record], bool, SequenceNumber], None] = lambda *_: None

    def start(self) -> None:
        """Listen; raises OSError where the address can't be used."""
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
        """Return the replica of a gateway's log; open it if it is not open yet.

        Raises:
            FolderInUseError: Another process has locked the folder.
            UnusableSegmentError: The folder is another gateway's, or has another format version.
            OSError: The folder can't be read.
        """
        opened = self.replicas.get(origin)
        if opened is not None:
            return opened
        folder = replica_folder(self.folder, origin)
        store = LogStore(self.transport, folder, self.fleet, origin, self.log, True)
        recovered = store.open()
        # After disks were exchanged, the origin's own log may be on this disk.
        misplaced = own_log_folder(self.folder, origin)
        store.table.merge(load_misplaced_records(self.transport, misplaced, self.fleet, origin))
        replica = Replica(store, recovered.complete)
        self.replicas[origin] = replica
        self.fence.note_incarnation(origin, recovered.newest.incarnation)
        self.on_records_stored(origin, store.table.in_order(), True, store.table.last)
        return replica

    # ---- streams

    async def _serve(self, stream: Stream) -> None:
        self._streams.add(stream)
        reader = replication_messages.MessageReader(offline_messages.DECODER)
        # A client that connects and sends nothing would use up a stream that a gateway needs.
        timeout = self.transport.call_at(self.transport.now() + GREETING_TIMEOUT, stream.close)
        session = _Session(stream, timeout)
        try:
            while True:
                for message in reader.feed(await stream.read()):
                    await self._on_message(session, message)
        except StreamClosed:
            pass
        except (GorsethreadError, OSError) as error:
            self.log.error(
                "a stream to this gateway's replicas was closed", of=session.origin, reason=str(error)
            )
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
            self._on_operator_query(session, message)
        elif session.origin == NO_GATEWAY:
            raise ProtocolError("the first message is not a greeting")
        elif isinstance(message, replication_messages.FetchRecords):
            await self._on_fetch(session, message)
        elif isinstance(message, replication_messages.StoreRecords):
            await self._on_store_records(session.stream, session.origin, message)
        elif isinstance(message, offline_messages.BRANCH_MESSAGES) and self.on_branch_message is not None:
            self.on_branch_message(session.stream, message)

    def _identify(self, session: _Session, gateway: int, fleet: int) -> None:
        if fleet != self.fleet or gateway not in self.gateways:
            raise self._foreign(gateway, fleet)
        session.origin = gateway
        session.greeting_timeout.cancel()

    def _foreign(self, gateway: int, fleet: int) -> ProtocolError:
        return ProtocolError(f"gateway {gateway} of fleet {fleet} is not another gateway of this fleet")

    def _on_operator_query(self, session: _Session, query: offline_messages.OperatorQuery) -> None:
        is_local = session.stream.peer.startswith(LOOPBACK)
        if not is_local or query.fleet != self.fleet or self.answer_operator_query is None:
            raise ProtocolError("an operator's query that this gateway does not answer")
        session.send(offline_messages.OperatorReply(self.answer_operator_query(query)))

    def _greeted(self, session: _Session, incarnation: int) -> None:
        replica = self.replica_of(session.origin)
        latest = self.fence.note_incarnation(session.origin, incarnation)
        if incarnation >= latest:
            replica.stream = session.stream
        if 0 < incarnation < latest:
            session.send(replication_messages.IncarnationFenced(latest))
        else:
            last = replica.store.table.last if replica.complete else NO_SEQUENCE
            session.send(replication_messages.HelloReply(latest, last))

    async def _on_fetch(self, session: _Session, message: replication_messages.FetchRecords) -> None:
        later = self.replica_of(session.origin).store.table.later_than(message.after)
        later_batches = list(batches(later, MAX_BATCH_RECORDS, MAX_BATCH_BYTES)) or [[]]
        for number, batch in enumerate(later_batches, 1):
            more = number < len(later_batches)
            session.send(replication_messages.FetchedRecords(replication_messages.to_entries(batch), more))
            if more:
                await session.stream.drained()
                await self.transport.sleep(CATCH_UP_PAUSE)  # current requests go first

    # ---- storing

    async def _on_store_records(
        self, stream: Stream, origin: int, message: replication_messages.StoreRecords
    ) -> None:
        replica = self.replica_of(origin)
        async with replica.lock:
            # A network cut may have delayed records on an earlier stream that were removed since, and whose
            # removal has been dropped by now.
            if replica.stream is not stream:
                raise StreamClosed("the owner has connected again since")
            answer: replication_messages.Message
            if not self.fence.accepts(origin, message.incarnation):
                answer = replication_messages.IncarnationFenced(self.fence.latest[origin])
            elif await self._store_records(replica, message):
                self._on_stored(replica, origin, message)
                answer = replication_messages.RecordsStored(message.last)
            else:
                answer = replication_messages.StoreFailed()
            stream.write(replication_messages.encode(answer))

    def _on_stored(self, replica: Replica, origin: int, message: replication_messages.StoreRecords) -> None:
        table = replica.store.table
        table.last = max(table.last, message.last)
        replica.up_to_date = not message.more and (message.replaces_all or replica.complete)
        records = replication_messages.to_records(message.entries)
        self.on_records_stored(origin, records, message.replaces_all, message.last)

    async def _store_records(self, replica: Replica, message: replication_messages.StoreRecords) -> bool:
        """Write records to the disk; return whether they are durable."""
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
