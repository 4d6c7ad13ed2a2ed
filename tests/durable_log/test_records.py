"""Records of a head: bytes, what is recovered of them, and the store under failing disks and kills."""

import asyncio
import itertools
import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from gorsethread.durable_log.disk_health import (
    MAX_PENDING,
    MAX_RETRY_DELAY,
    MIN_RETRY_DELAY,
    SLOW_AFTER,
    DiskHealth,
    DiskState,
)
from gorsethread.durable_log.log_store import FolderInUseError, LogStore
from gorsethread.durable_log.records import ExtentPlaced, ExtentReleased, Record, RecordTable
from gorsethread.durable_log.recovery import (
    ForeignSegmentError,
    parse_segment_file_name,
    recover,
    segment_file_name,
)
from gorsethread.durable_log.segments import (
    Segment,
    SegmentHeader,
    UnusableSegmentError,
    checksum_seed,
    encode_record,
    encode_segment,
    read_segment,
)
from gorsethread.faults.world import Silent
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk as Files
from gorsethread.transport.virtual import Network, VirtualLoop, VirtualTransport

FLEET, HEAD, LIFE = 5, 2, 1000
facts = st.one_of(
    st.builds(ExtentPlaced, st.integers(1, 3), st.integers(0, 3), st.integers(0, 5)),
    st.builds(ExtentReleased, st.integers(1, 3), st.integers(0, 3)),
)
records = st.lists(
    st.builds(
        lambda life, place, fact: Record((life, place), fact), st.integers(1, 2), st.integers(1, 9), facts
    ),
    max_size=12,
    unique_by=lambda r: r.number,
)


def placed(place: int, extent: int = 0, shard: int = 1, life: int = LIFE) -> Record:
    return Record((life, place), ExtentPlaced(1, extent or place, shard))


def segment(number: int = 1, held: int = 0, new: int = 0, place: int = 0) -> bytes:
    """held: records of an earlier life; new: since its begin, from place on."""
    seed = checksum_seed(FLEET, HEAD, LIFE, number)
    old = [placed(n + 1, 100 + n, life=LIFE - 1) for n in range(held)]
    new_ones = b"".join(encode_record(placed(place + n + 1), seed) for n in range(new))
    return encode_segment(SegmentHeader(1, FLEET, HEAD, LIFE, number, place, held), old) + new_ones


def of(data: bytes) -> Segment:
    found = read_segment(data)
    assert found is not None
    return found


class Tables(unittest.TestCase):
    @given(records, records, records)
    def test_merging_is_of_any_order_and_any_number_of_times(self, a: Any, b: Any, c: Any) -> None:
        def merged(*lists: list[Record]) -> Any:
            whole = RecordTable()
            for one in lists:
                whole.merge(RecordTable(one))
            return whole.records, whole.last

        # A number is given to one record only: else nobody could say which of the two holds.
        known: dict[Any, Record] = {}
        for one in (a, b, c):
            one[:] = [known.setdefault(r.number, r) for r in one]
        self.assertEqual(merged(a, b, c), merged(c, a, b, b))
        self.assertEqual(merged(a, a), merged(a))

    def test_what_is_freed_is_not_brought_back_by_what_comes_late(self) -> None:
        table = RecordTable([Record((1, 2), ExtentReleased(1, 7)), Record((1, 1), ExtentPlaced(1, 7, 3))])
        self.assertEqual({}, table.placements())
        self.assertEqual((1, 2), table.drop_removals())
        self.assertEqual(({}, (1, 2)), (table.records, table.last))


class Frames(unittest.TestCase):
    def test_what_is_written_is_read(self) -> None:
        found = of(segment(held=3, new=4))
        self.assertTrue(found.complete)
        self.assertEqual((7, 0), (len(found.records), found.torn_bytes))

    def test_cut_at_every_byte_it_is_torn_and_nothing_before_is_lost(self) -> None:
        data, ends = segment(new=5), []
        for n in range(6):
            ends.append(len(segment(new=n)))
        for cut in range(ends[0], len(data)):
            found = of(data[:cut])
            self.assertTrue(found.complete, cut)
            whole = max(n for n, end in enumerate(ends) if end <= cut)
            self.assertEqual((whole, cut - ends[whole]), (len(found.records), found.torn_bytes), cut)
        for cut in range(ends[0]):
            self.assertIsNone(read_segment(data[:cut]))

    def test_any_bytes_spoilt_are_said_and_what_is_behind_is_read(self) -> None:
        data, start = segment(held=4, new=6), len(segment())
        last = len(segment(held=4, new=5))
        chance = random.Random(1)
        for at in range(start, last):
            spoilt = bytearray(data)
            spoilt[at] ^= 1 + chance.randrange(255)
            found = of(bytes(spoilt))
            self.assertFalse(found.complete, at)
            self.assertGreaterEqual(len(found.records), 9)
            self.assertTrue(found.corrupt_ranges)
            self.assertTrue(set(found.records) <= set(of(data).records))

    def test_a_frame_of_another_segment_is_not_taken(self) -> None:
        other = encode_record(placed(2, shard=9), checksum_seed(FLEET, HEAD, LIFE, 2))
        found = of(segment(new=1) + other + encode_record(placed(2), checksum_seed(FLEET, HEAD, LIFE, 1)))
        self.assertEqual([1, 1], [r.fact.shard for r in found.records if isinstance(r.fact, ExtentPlaced)])

    def test_a_hole_in_the_numbers_is_told(self) -> None:
        seed = checksum_seed(FLEET, HEAD, LIFE, 1)
        found = of(segment(new=2) + encode_record(placed(5), seed))
        self.assertEqual([((LIFE, 3), (LIFE, 4))], found.sequence_gaps)

    def test_a_later_version_is_refused(self) -> None:
        with self.assertRaises(UnusableSegmentError):
            read_segment(encode_segment(SegmentHeader(2, FLEET, HEAD, LIFE, 1, 0, 0), []))

    @given(st.binary(max_size=200), st.integers(0, 400))
    @settings(max_examples=300)
    def test_bytes_of_any_kind_break_nothing(self, noise: bytes, at: int) -> None:
        whole = segment(held=2, new=3)
        for data in (noise, whole[:at] + noise + whole[at:]):
            found = read_segment(data)
            if found is not None:
                self.assertLessEqual({r.number for r in found.records}, {r.number for r in of(whole).records})


class Recovery(unittest.TestCase):
    def folder(self, **changed: bytes) -> Any:
        files = {
            segment_file_name(LIFE, 1): segment(1, new=3),
            segment_file_name(LIFE, 2): segment(2, held=2, new=1, place=3),
        }
        files.update({segment_file_name(LIFE, int(k[1:])): data for k, data in changed.items()})
        return recover({**files, "lock": b"", "x.seg": b""}, FLEET, HEAD)

    def test_the_newest_whole_segment_is_enough(self) -> None:
        found = self.folder(s1=segment(1, new=2))
        self.assertTrue(found.complete)
        self.assertEqual((LIFE, 4), found.table.last)
        self.assertEqual(3, len(found.table.records))

    def test_where_it_is_not_whole_the_one_before_fills_in_and_it_is_said(self) -> None:
        newest = bytearray(segment(2, held=2, new=1, place=3))
        newest[len(segment(2)) + 12] ^= 1
        found = self.folder(s2=bytes(newest))
        self.assertFalse(found.complete)
        self.assertEqual(5, len(found.table.records))  # three of the first, one held, one new
        self.assertEqual(2, len(found.faults))

    def test_what_was_flushed_to_the_one_before_meanwhile_counts(self) -> None:
        files = {
            segment_file_name(LIFE, 1): segment(1, new=6),
            segment_file_name(LIFE, 2): segment(2, held=2, place=4),
        }
        found = recover(files, FLEET, HEAD)
        self.assertEqual((True, (LIFE, 6), 4), (found.complete, found.table.last, len(found.table.records)))
        files[segment_file_name(LIFE, 1)] = files[segment_file_name(LIFE, 1)].replace(
            b"\xa7\x5e", b"\xa7\x5f", 2
        )
        self.assertFalse(recover(files, FLEET, HEAD).complete)

    def test_a_begin_that_cant_be_read_leaves_its_number_used(self) -> None:
        found = self.folder(s3=b"\xa7\x5e" + bytes(40))
        self.assertEqual((False, (LIFE, 3)), (found.complete, found.newest))
        self.assertEqual((LIFE, 4), found.table.last)

    def test_an_empty_folder_is_told_from_a_whole_one(self) -> None:
        found = recover({}, FLEET, HEAD)
        self.assertEqual((True, True), (found.empty, found.complete))

    def test_anothers_folder_is_refused(self) -> None:
        files = {segment_file_name(LIFE, 1): segment(1)}
        for fleet, head in ((FLEET, HEAD + 1), (FLEET + 1, HEAD)):
            with self.assertRaises(ForeignSegmentError):
                recover(files, fleet, head)
        with self.assertRaises(ForeignSegmentError):
            recover({segment_file_name(LIFE, 3): segment(1)}, FLEET, HEAD)
        self.assertIsNone(parse_segment_file_name("zz-1.seg"))


class Disks(unittest.TestCase):
    def test_a_slow_one_takes_no_more_and_is_well_again(self) -> None:
        disk = DiskHealth()
        disk.commit_started(0.0)
        self.assertEqual(0.0, disk.retry_after(SLOW_AFTER, 0))
        self.assertEqual(SLOW_AFTER, disk.retry_after(SLOW_AFTER + 0.1, 0))
        disk.commit_ended(2.0)
        self.assertEqual(
            (0.0, DiskState.HEALTHY, 2.0), (disk.retry_after(2.0, 0), disk.state(2.0), disk.longest_commit)
        )
        self.assertGreater(disk.retry_after(2.0, MAX_PENDING), 0.0)

    def test_a_failing_one_is_tried_now_and_then(self) -> None:
        disk, now, tries = DiskHealth(), 0.0, 0
        disk.commit_ended(now, True, True)
        self.assertEqual(DiskState.FULL, disk.state(now))
        while now < 60.0:
            now += 0.01
            self.assertGreaterEqual(disk.retry_after(now, 0), MIN_RETRY_DELAY)
            self.assertLessEqual(disk.retry_after(now, 0), MAX_RETRY_DELAY)
            if disk.should_retry(now):
                tries += 1
                disk.commit_started(now)
                disk.commit_ended(now, True)
        self.assertEqual(18, tries)
        disk.commit_started(now)
        disk.commit_ended(now)
        self.assertEqual(0.0, disk.retry_after(now, 0))


class Stores(unittest.TestCase):
    """On the virtual clock, whose journals are torn by kills at a byte that chance draws."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        small = mock.patch(
            "gorsethread.durable_log.compaction.COMPACT_AFTER_BYTES", 1 << 15
        )  # so that segments change often
        small.start()
        self.addCleanup(small.stop)
        self.files = Files()
        self.kept: list[int] = []
        self.lost: list[int] = []

    def process(self, seed: int = 1) -> VirtualTransport:
        made = VirtualTransport(Network(self.loop, seed), self.files, "head 2")
        self.addCleanup(lambda: self.loop.run_until_complete(asyncio.sleep(0.0)))
        self.addCleanup(made.kill)
        return made

    def store(self, process: VirtualTransport, life: int = LIFE) -> tuple[LogStore, Any]:
        store = LogStore(process, "records", FLEET, HEAD, Silent())
        found = store.open()
        process.spawn(store.start_incarnation(life))
        self.wait(0.5)
        return store, found

    def again(self, process: VirtualTransport) -> Any:
        """What the next life finds after a kill."""
        process.kill()
        self.files.broken.clear()
        last = self.process()
        found = self.store(last, LIFE + 1)[1]
        last.kill()
        return found

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def add(self, store: LogStore, place: int, life: int = LIFE) -> None:
        store.add(placed(place, life=life), lambda kept: (self.kept if kept else self.lost).append(place))

    def test_what_was_told_as_kept_is_there_after_a_kill_at_any_moment(self) -> None:
        for seed in range(40):
            self.files.files.clear()
            self.kept.clear()
            process = self.process(seed)
            store, _ = self.store(process)
            chance = random.Random(seed)
            for place in range(1, 60):
                self.add(store, place)
                self.wait(chance.uniform(0.0, 0.002))
            found = self.again(process)
            there = {r.number[1] for r in found.table.records.values()}
            self.assertTrue(found.complete, found.faults)
            self.assertLessEqual(set(self.kept), there)
            self.assertEqual(there, set(range(1, len(there) + 1)))
            self.assertGreater(len(self.kept), 5)

    def test_many_go_in_one_flush(self) -> None:
        store, _ = self.store(self.process())
        for place in range(1, 2001):
            self.add(store, place)
        self.wait(0.1)
        self.assertEqual(list(range(1, 2001)), self.kept)
        self.assertLess(store.disk.commits, 5)

    def test_a_full_disk_keeps_nothing_and_takes_again_once_there_is_room(self) -> None:
        process = self.process()
        store, _ = self.store(process)
        self.add(store, 1)
        self.wait(0.1)
        self.files.broken.add("head 2")
        self.add(store, 2)
        self.wait(0.1)
        self.assertEqual(
            ([1], [2], DiskState.FULL), (self.kept, self.lost, store.disk.state(store.transport.now()))
        )
        self.assertGreater(store.disk.retry_after(store.transport.now(), 0), 0.0)
        for place in range(3, 40):
            self.wait(0.2)
            self.add(store, place)
        self.files.broken.clear()
        self.wait(5.0)
        self.add(store, 40)
        self.wait(0.1)
        self.assertEqual([1, 40], self.kept)
        found = self.again(process)
        self.assertEqual(
            (True, {1, 40}), (found.complete, {r.number[1] for r in found.table.records.values()})
        )

    def test_it_is_bounded_and_nothing_is_lost_as_segments_change(self) -> None:
        process = self.process()
        store, _ = self.store(process)
        for n in range(1, 9_001):
            store.add(Record((LIFE, n), ExtentPlaced(1, n % 500, n % 7)))
            if n % 300 == 0:
                self.wait(0.004)
        self.wait(1.0)
        sizes = [len(data) for name, data in self.files.files.items() if name.endswith(".seg")]
        self.assertLessEqual(len(sizes), 2)
        self.assertLess(sum(sizes), 1 << 18)
        self.assertGreater(store._segment_number, 1, "else no segment was exchanged")
        found = self.again(process)
        self.assertTrue(found.complete, found.faults)
        self.assertEqual((LIFE, 9_000), max(r.number for r in found.table.records.values()))
        self.assertEqual(500, len(found.table.records))

    def test_a_disk_that_fails_while_segments_change_loses_nothing_that_was_told(self) -> None:
        for seed in range(8):
            self.files.files.clear()
            process = self.process(seed)
            store, _ = self.store(process)
            chance = random.Random(seed)
            told: dict[int, int] = {}

            def kept(n: int, told: dict[int, int] = told) -> Callable[[bool], None]:
                return lambda ok: told.__setitem__(n % 300, n) if ok else None

            for n in range(1, 12_000):
                store.add(Record((LIFE, n), ExtentPlaced(1, n % 300, 1)), kept(n))
                if n % 400 == 0:
                    (self.files.broken.add if chance.random() < 0.06 else self.files.broken.discard)("head 2")
                    self.wait(chance.choice((0.001, 0.004, 0.02)))
            found = self.again(process)
            self.assertTrue(found.complete, found.faults)
            there = {r.fact.subject[1]: r.number[1] for r in found.table.records.values()}
            for extent, n in told.items():
                self.assertGreaterEqual(there.get(extent, 0), n, (seed, extent))

    def test_a_kill_while_segments_change_loses_nothing_that_was_told(self) -> None:
        for seed in range(30):
            self.files.files.clear()
            process = self.process(seed)
            store, _ = self.store(process)
            chance = random.Random(seed)
            self.files.slow["head 2"] = 0.02  # so that a new segment is on its way for long
            told: dict[int, int] = {}

            def kept(n: int, told: dict[int, int] = told) -> Callable[[bool], None]:
                return lambda ok: told.__setitem__(n % 300, n) if ok else None

            numbers = itertools.count(1)

            def add(many: int, store: LogStore = store, numbers: Any = numbers, kept: Any = kept) -> None:
                for n in itertools.islice(numbers, many):
                    store.add(Record((LIFE, n), ExtentPlaced(1, n % 300, 1)), kept(n))

            while not store._compaction.running:
                add(200)
                self.wait(0.004)
            for _ in range(1 + chance.randrange(300)):
                add(1)
                self.wait(chance.uniform(0.0, 0.0005))
            self.files.slow.clear()
            found = self.again(process)
            self.assertTrue(found.complete, found.faults)
            there = {r.fact.subject[1]: r.number[1] for r in found.table.records.values()}
            for extent, last in told.items():
                self.assertGreaterEqual(there.get(extent, 0), last, (seed, extent))

    def test_the_second_process_of_a_folder_is_refused(self) -> None:
        first = self.process()
        self.store(first)
        with self.assertRaises(FolderInUseError):
            LogStore(self.process(), "records", FLEET, HEAD, Silent()).open()
        first.kill()
        LogStore(self.process(), "records", FLEET, HEAD, Silent()).open()

    def test_a_slow_disk_holds_up_only_who_waits_for_it(self) -> None:
        store, _ = self.store(self.process())
        self.files.slow["head 2"] = 1.0
        self.add(store, 1)
        self.wait(0.3)
        self.assertEqual(([], 0.0), (self.kept, store.disk.retry_after(store.transport.now(), 0)))
        self.wait(0.4)
        self.assertEqual(DiskState.SLOW, store.disk.state(store.transport.now()))
        self.wait(0.5)
        self.assertEqual([1], self.kept)


class Real(unittest.TestCase):
    def test_on_this_machines_disk(self) -> None:
        async def work(folder: str) -> None:
            transport = RealTransport(1)
            store = LogStore(transport, folder, FLEET, HEAD, Silent())
            self.assertTrue(store.open().empty)
            await store.start_incarnation(LIFE)
            told: list[bool] = []
            for place in range(1, 200):
                store.add(placed(place), told.append)
            while len(told) < 199:
                await transport.sleep(0.01)
            self.assertTrue(all(told))
            other = LogStore(transport, folder, FLEET, HEAD, Silent())
            with self.assertRaises(FolderInUseError):
                other.open()
            store.close()
            other.open()
            files = {p.name: p.read_bytes() for p in Path(folder).iterdir()}
            self.assertEqual(199, len(recover(files, FLEET, HEAD).table.records))
            with self.assertRaises(OSError):
                transport.journal(f"{folder}/none")

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(work(f"{folder}/records"))
