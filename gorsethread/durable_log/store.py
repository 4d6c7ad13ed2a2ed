"""A folder that keeps one head's records: the thin side that reads, writes and flushes.

Group commit: while one flush is under way what comes is gathered, and goes with the next. A flush that failed
is never tried again on the same file, since the system may have dropped what it held: a new segment with all
that holds is begun. On disk are at most two segments, the newest and the one before; each is let grow to
twice what it began with, or by GROWS bytes.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from gorsethread.durable_log.disk_health import Disk
from gorsethread.durable_log.records import Record, RecordTable, SequenceNumber, pieces, size_of
from gorsethread.durable_log.recovery import ACCEPTED, LOCK, Recovered, name_of, place_of, recover
from gorsethread.durable_log.segments import VERSION, Begin, Unusable, begun, framed, seed_of
from gorsethread.errors import GorsethreadError
from gorsethread.transport.base import Journal, Transport

GROWS = 1 << 20  # bytes
BATCH_MOST, BATCH_BYTES = 1024, 1 << 21  # records of one flush, and about as many bytes
SLICE, SLICE_BYTES = 2000, 1 << 21  # made into bytes in one go, so that a large table holds up no head
NO_ROOM = (28, 122)  # ENOSPC, EDQUOT


class InUse(GorsethreadError):
    """Another process keeps its records in this folder."""

    action = "End the other process first, or give this head the folder that is its own."


class Pending(NamedTuple):
    record: Record
    done: Callable[[bool], None] | None


class Written(NamedTuple):
    """A segment that is on disk. size in bytes."""

    path: str
    number: int
    seed: int
    size: int


class Store:
    """head: whose records; copied: it is another head's, kept for it. Until begin() nothing is taken."""

    def __init__(
        self, transport: Transport, folder: str, fleet: int, head: int, log: Any, copied: bool = False
    ) -> None:
        self.transport, self.folder, self.log = transport, folder.rstrip("/"), log
        self.fleet, self.head, self.copied = fleet, head, copied
        self.table = RecordTable()
        self.disk = Disk()
        self.life = 0
        self.last: SequenceNumber = (0, 0)  # the last number that was taken
        self.holes = False  # what it has is known to lack something
        self.forgot: SequenceNumber = (0, 0)  # words on what is freed are gone up to here
        self.started = False
        self.closed = False
        self._highest = 0  # the last segment of this life
        self._journal: Journal | None = None
        self._seed = 0
        self._size = self._began_with = 0  # bytes of the segment, and of what held at its begin
        self._pending: list[Pending] = []  # emptied by each flush
        self._flushed: SequenceNumber = (0, 0)  # up to here it is told whether they are kept
        self._making = False  # a new segment is on its way
        self._since: list[Record] = []  # flushed to the one in use meanwhile
        self._next: Written | None = None  # made, and not in use yet
        self._working = False
        self._lock: Callable[[], None] | None = None

    # ---- reading

    def open(self) -> Recovered:
        """Reads what is there, and holds the folder until close(). InUse, Unusable, OSError."""
        self._lock = self.transport.lock(f"{self.folder}/{LOCK}")
        if self._lock is None:
            raise InUse(f"{self.folder} is in use by another process")
        found = recover(files_of(self.transport, self.folder), self.fleet, self.head)
        for line in found.faults:
            self.log.error("records lost", folder=self.folder, fault=line)
        self.table, self.last = found.table, found.table.last
        self.life, self._highest = found.highest
        return found

    def accepted(self) -> bool:
        """A person said that what is lost of this folder is lost."""
        return self.transport.load(f"{self.folder}/{ACCEPTED}") is not None

    # ---- writing

    async def begin(self, life: int) -> None:
        """A new segment of this life, with what holds; what came before is of earlier ones. A disk that does
        not take it is tried again."""
        if life > self.life:
            self.life, self._highest = life, 0
        self.last = self._flushed = max(self.last, (life, 0))
        await self.renew()
        self.transport.remove(f"{self.folder}/{ACCEPTED}")
        self.started = True
        self._kick()

    def add(self, record: Record, done: Callable[[bool], None] | None = None) -> None:
        """done: told once whether it lasts. Numbers must grow."""
        self.last = max(self.last, record.number)
        self._pending.append(Pending(record, done))
        self._kick()

    def replace(self, table: RecordTable) -> None:
        """Another head's records whole, in place of what was held: the next segment begins with them."""
        self.table, self.last = table, max(self.last, table.last)

    @property
    def flushed(self) -> SequenceNumber:
        """Up to here the table has all that holds."""
        return self._flushed

    def grow(self, table: RecordTable) -> None:
        """What others gave back is the store's too; on disk with the next segment, which is begun now."""
        self.table.merge(table)
        if self.started and not self._making:
            self._making = True
            self.transport.spawn(self._compact())

    @property
    def pending(self) -> int:
        return len(self._pending)

    def close(self) -> None:
        """What is not flushed by now is told as not kept."""
        self.closed = True
        self._fail()
        self._unuse()
        if self._lock is not None:
            self._lock()
            self._lock = None

    def _kick(self) -> None:
        if not self._working and self.started and not self.closed:
            self._working = True
            self.transport.spawn(self._work())

    async def _work(self) -> None:
        """The only one that adds to the segment in use, and that exchanges it."""
        try:
            while (self._pending or self._next is not None or self._journal is None) and not self.closed:
                if self._journal is None:
                    if not await self._again():
                        break
                elif self._next is not None:
                    await self._exchange(self._next)
                else:
                    await self._flush(self._journal)
                    if self._size > self._began_with + max(GROWS, self._began_with) and not self._making:
                        self._making = True
                        self.transport.spawn(self._compact())
        finally:
            self._working = False

    async def _flush(self, journal: Journal) -> None:
        size = most = 0
        while most < min(BATCH_MOST, len(self._pending)) and (not most or size < BATCH_BYTES):
            size += size_of(self._pending[most].record.fact)
            most += 1
        batch, self._pending = self._pending[:most], self._pending[most:]
        data = b"".join(framed(p.record, self._seed) for p in batch)
        self.disk.begins(self.transport.now())
        try:
            await journal.add(data)
        except OSError as error:
            self._broke(error)
            self._told(batch, False)
            self._fail()
            return
        self.disk.ends(self.transport.now())
        self._size += len(data)
        for p in batch:
            self.table.take(p.record)
        self._flushed = batch[-1].record.number
        if self._making:
            self._since += [p.record for p in batch]
        self._told(batch, True)

    def _broke(self, error: OSError) -> None:
        self.disk.ends(self.transport.now(), True, error.errno in NO_ROOM)
        self.log.error(
            "the disk does not take records",
            folder=self.folder,
            reason=str(error),
            again_in=round(self.disk.refuses(self.transport.now(), 0), 2),
        )
        self._unuse()
        self.transport.at(self.transport.now() + self.disk.refuses(self.transport.now(), 0), self._kick)

    def _unuse(self) -> None:
        if self._journal is not None:
            self._journal.close()
            self._journal = None

    def _told(self, batch: list[Pending], kept: bool) -> None:
        for p in batch:
            if p.done is not None:
                p.done(kept)

    def _fail(self) -> None:
        batch, self._pending = self._pending, []
        self._flushed = self.last
        self._told(batch, False)

    async def _again(self) -> bool:
        """After a failure: a new segment where it is time to try; what came before that is not kept."""
        if not self.disk.tries(self.transport.now()):
            self._fail()
            return False
        self._next = None
        try:
            self.disk.begins(self.transport.now())
            await self._use(await self._whole())
        except OSError as error:
            self._broke(error)
            self._fail()
            return False
        self.disk.ends(self.transport.now())
        return True

    async def renew(self) -> None:
        """A new segment with all that holds, as soon as the disk takes one; nothing else writes meanwhile."""
        while not self.closed:
            try:
                await self._use(await self._whole())
                self.disk.ends(self.transport.now())
                return
            except OSError as error:
                self._broke(error)
                await self.transport.sleep(self.disk.refuses(self.transport.now(), 0))

    async def _compact(self) -> None:
        """Beside the segment in use, which takes what comes until the new one is there."""
        try:
            made = await self._whole()
            if made.number == self._highest:  # else one was begun since, after a failure
                self._next = made
        except OSError as error:
            # The segment in use goes on, and grows until a new one is due again.
            self.log.error("no new segment", folder=self.folder, reason=str(error))
            self._began_with = self._size
            self._making, self._since = False, []
        self._kick()

    async def _exchange(self, segment: "Written") -> None:
        self._next = None
        try:
            await self._use(segment)
        except OSError as error:
            self._broke(error)
            self._fail()

    async def _whole(self) -> "Written":
        """A new segment on disk, with all that holds now."""
        self._since = []
        self.forgot = max(self.forgot, self.table.compact())
        held = self.table.whole()
        place = self._flushed[1] if self._flushed[0] == self.life else 0
        self._highest += 1
        begin = Begin(
            VERSION,
            self.fleet,
            self.head,
            self.life,
            self._highest,
            place,
            len(held),
            self.copied,
            self.holes,
        )
        seed = seed_of(self.fleet, self.head, self.life, begin.segment)
        parts = [begun(begin, [])]
        for piece in pieces(held, SLICE, SLICE_BYTES):
            parts.append(b"".join(framed(r, seed) for r in piece))
            await self.transport.sleep(0.0)
        data, path = b"".join(parts), f"{self.folder}/{name_of(self.life, begin.segment)}"
        await self.transport.keep(path, data)
        return Written(path, begin.segment, seed, len(data))

    async def _use(self, segment: "Written") -> None:
        """From now on it takes what comes, after what came while it was made."""
        journal, size = self.transport.journal(segment.path), segment.size
        late, self._since = self._since, []
        if late:
            data = b"".join(framed(r, segment.seed) for r in late)
            await journal.add(data)
            size += len(data)
        self._making = False
        self._unuse()
        self._journal, self._seed = journal, segment.seed
        self._size = self._began_with = size
        self._forget()

    def _forget(self) -> None:
        """All but the two newest segments."""
        named = sorted(
            (place, name)
            for name in self.transport.names(self.folder)
            if (place := place_of(name)) is not None
        )
        for _, name in named[:-2]:
            self.transport.remove(f"{self.folder}/{name}")


def strays(transport: Transport, folder: str, fleet: int, head: int) -> RecordTable:
    """What lies of a head's records in a folder that is not where they are kept: after an exchange of disks
    its own, or copies of its, stand in another's. Empty where they can't be read."""
    try:
        return recover(files_of(transport, folder), fleet, head).table
    except Unusable:
        return RecordTable()


def files_of(transport: Transport, folder: str) -> dict[str, bytes]:
    """The segments of a folder."""
    return {
        name: data
        for name in transport.names(folder)
        if place_of(name) is not None and (data := transport.load(f"{folder}/{name}")) is not None
    }
