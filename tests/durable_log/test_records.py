"""Records, segments and their recovery, disk health, and the log store with failing disks and kills."""

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
from gorsethread.simulation.site_simulation import NullLogger
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk as VirtualDisk
from gorsethread.transport.virtual import Network, VirtualLoop, VirtualTransport

FLEET, GATEWAY, INCARNATION = 5, 2, 1000
facts = st.one_of(
    st.builds(ExtentPlaced, st.integers(1, 3), st.integers(0, 3), st.integers(0, 5)),
    st.builds(ExtentReleased, st.integers(1, 3), st.integers(0, 3)),
)
records = st.lists(
    st.builds(
        lambda incarnation, position, fact: Record((incarnation, position), fact),
        st.integers(1, 2),
        st.integers(1, 9),
        facts,
    ),
    max_size=12,
    unique_by=lambda r: r.number,
)


def placed_record(position: int, extent: int = 0, shard: int = 1, incarnation: int = INCARNATION) -> Record:
    return Record((incarnation, position), ExtentPlaced(1, extent or position, shard))


def segment(number: int = 1, in_snapshot: int = 0, later_records: int = 0, position: int = 0) -> bytes:
    """Return a segment with a snapshot of an earlier incarnation's records, and later records."""
    seed = checksum_seed(FLEET, GATEWAY, INCARNATION, number)
    snapshot = [placed_record(n + 1, 100 + n, incarnation=INCARNATION - 1) for n in range(in_snapshot)]
    appended = b"".join(encode_record(placed_record(position + n + 1), seed) for n in range(later_records))
    return (
        encode_segment(SegmentHeader(1, FLEET, GATEWAY, INCARNATION, number, position, in_snapshot), snapshot)
        + appended
    )


def read_valid_segment(data: bytes) -> Segment:
    parsed = read_segment(data)
    assert parsed is not None
    return parsed


class RecordTables(unittest.TestCase):
    @given(records, records, records)
    def test_tables_merge_to_the_same_result_in_any_order_and_repeatedly(
        self, a: Any, b: Any, c: Any
    ) -> None:
        def merged(*lists: list[Record]) -> Any:
            table = RecordTable()
            for records_of_one in lists:
                table.merge(RecordTable(records_of_one))
            return table.records, table.last

        # Each number belongs to one record only: otherwise neither of two would be the current one.
        by_number: dict[Any, Record] = {}
        for some in (a, b, c):
            some[:] = [by_number.setdefault(r.number, r) for r in some]
        self.assertEqual(merged(a, b, c), merged(c, a, b, b))
        self.assertEqual(merged(a, a), merged(a))

    def test_an_earlier_record_that_arrives_late_does_not_undo_a_release(self) -> None:
        table = RecordTable([Record((1, 2), ExtentReleased(1, 7)), Record((1, 1), ExtentPlaced(1, 7, 3))])
        self.assertEqual({}, table.placements())
        self.assertEqual((1, 2), table.drop_removals())
        self.assertEqual(({}, (1, 2)), (table.records, table.last))


class Segments(unittest.TestCase):
    def test_a_written_segment_is_read_whole(self) -> None:
        parsed = read_valid_segment(segment(in_snapshot=3, later_records=4))
        self.assertTrue(parsed.complete)
        self.assertEqual((7, 0), (len(parsed.records), parsed.torn_bytes))

    def test_a_segment_truncated_at_any_byte_keeps_all_records_before(self) -> None:
        data, ends = segment(later_records=5), []
        for n in range(6):
            ends.append(len(segment(later_records=n)))
        for cut in range(ends[0], len(data)):
            parsed = read_valid_segment(data[:cut])
            self.assertTrue(parsed.complete, cut)
            complete = max(n for n, end in enumerate(ends) if end <= cut)
            self.assertEqual((complete, cut - ends[complete]), (len(parsed.records), parsed.torn_bytes), cut)
        for cut in range(ends[0]):
            self.assertIsNone(read_segment(data[:cut]))

    def test_any_corrupt_byte_is_reported_and_the_frames_after_it_are_read(self) -> None:
        data, start = segment(in_snapshot=4, later_records=6), len(segment())
        last = len(segment(in_snapshot=4, later_records=5))
        rng = random.Random(1)
        for at in range(start, last):
            corrupt = bytearray(data)
            corrupt[at] ^= 1 + rng.randrange(255)
            parsed = read_valid_segment(bytes(corrupt))
            self.assertFalse(parsed.complete, at)
            self.assertGreaterEqual(len(parsed.records), 9)
            self.assertTrue(parsed.corrupt_ranges)
            self.assertTrue(set(parsed.records) <= set(read_valid_segment(data).records))

    def test_a_frame_of_another_segment_is_not_accepted(self) -> None:
        other = encode_record(placed_record(2, shard=9), checksum_seed(FLEET, GATEWAY, INCARNATION, 2))
        parsed = read_valid_segment(
            segment(later_records=1)
            + other
            + encode_record(placed_record(2), checksum_seed(FLEET, GATEWAY, INCARNATION, 1))
        )
        self.assertEqual([1, 1], [r.fact.shard for r in parsed.records if isinstance(r.fact, ExtentPlaced)])

    def test_a_gap_in_the_numbers_is_reported(self) -> None:
        seed = checksum_seed(FLEET, GATEWAY, INCARNATION, 1)
        parsed = read_valid_segment(segment(later_records=2) + encode_record(placed_record(5), seed))
        self.assertEqual([((INCARNATION, 3), (INCARNATION, 4))], parsed.sequence_gaps)

    def test_a_later_format_version_is_rejected(self) -> None:
        with self.assertRaises(UnusableSegmentError):
            read_segment(encode_segment(SegmentHeader(2, FLEET, GATEWAY, INCARNATION, 1, 0, 0), []))

    @given(st.binary(max_size=200), st.integers(0, 400))
    @settings(max_examples=300)
    def test_random_bytes_add_no_records_and_raise_nothing(self, noise: bytes, at: int) -> None:
        complete = segment(in_snapshot=2, later_records=3)
        for data in (noise, complete[:at] + noise + complete[at:]):
            parsed = read_segment(data)
            if parsed is not None:
                self.assertLessEqual(
                    {r.number for r in parsed.records},
                    {r.number for r in read_valid_segment(complete).records},
                )


class Recovery(unittest.TestCase):
    def recover_folder(self, **changed: bytes) -> Any:
        files = {
            segment_file_name(INCARNATION, 1): segment(1, later_records=3),
            segment_file_name(INCARNATION, 2): segment(2, in_snapshot=2, later_records=1, position=3),
        }
        files.update({segment_file_name(INCARNATION, int(k[1:])): data for k, data in changed.items()})
        return recover({**files, "lock": b"", "x.seg": b""}, FLEET, GATEWAY)

    def test_a_complete_newest_segment_is_enough(self) -> None:
        recovered = self.recover_folder(s1=segment(1, later_records=2))
        self.assertTrue(recovered.complete)
        self.assertEqual((INCARNATION, 4), recovered.table.last)
        self.assertEqual(3, len(recovered.table.records))

    def test_a_damaged_newest_segment_is_reported_and_the_previous_one_is_used_too(self) -> None:
        newest = bytearray(segment(2, in_snapshot=2, later_records=1, position=3))
        newest[len(segment(2)) + 12] ^= 1
        recovered = self.recover_folder(s2=bytes(newest))
        self.assertFalse(recovered.complete)
        self.assertEqual(
            5, len(recovered.table.records)
        )  # three of the first segment, one of the snapshot, one after it
        self.assertEqual(2, len(recovered.faults))

    def test_records_flushed_to_the_previous_segment_after_the_snapshot_are_used(self) -> None:
        files = {
            segment_file_name(INCARNATION, 1): segment(1, later_records=6),
            segment_file_name(INCARNATION, 2): segment(2, in_snapshot=2, position=4),
        }
        recovered = recover(files, FLEET, GATEWAY)
        self.assertEqual(
            (True, (INCARNATION, 6), 4),
            (recovered.complete, recovered.table.last, len(recovered.table.records)),
        )
        files[segment_file_name(INCARNATION, 1)] = files[segment_file_name(INCARNATION, 1)].replace(
            b"\xa7\x5e", b"\xa7\x5f", 2
        )
        self.assertFalse(recover(files, FLEET, GATEWAY).complete)

    def test_a_segment_with_an_unreadable_header_keeps_its_number(self) -> None:
        recovered = self.recover_folder(s3=b"\xa7\x5e" + bytes(40))
        self.assertEqual((False, (INCARNATION, 3)), (recovered.complete, recovered.newest))
        self.assertEqual((INCARNATION, 4), recovered.table.last)

    def test_an_empty_folder_is_empty_and_complete(self) -> None:
        recovered = recover({}, FLEET, GATEWAY)
        self.assertEqual((True, True), (recovered.empty, recovered.complete))

    def test_the_folder_of_another_gateway_or_fleet_is_rejected(self) -> None:
        files = {segment_file_name(INCARNATION, 1): segment(1)}
        for fleet, head in ((FLEET, GATEWAY + 1), (FLEET + 1, GATEWAY)):
            with self.assertRaises(ForeignSegmentError):
                recover(files, fleet, head)
        with self.assertRaises(ForeignSegmentError):
            recover({segment_file_name(INCARNATION, 3): segment(1)}, FLEET, GATEWAY)
        self.assertIsNone(parse_segment_file_name("zz-1.seg"))


class DiskHealthStates(unittest.TestCase):
    def test_a_slow_disk_delays_commits_until_it_is_healthy_again(self) -> None:
        disk = DiskHealth()
        disk.commit_started(0.0)
        self.assertEqual(0.0, disk.retry_after(SLOW_AFTER, 0))
        self.assertEqual(SLOW_AFTER, disk.retry_after(SLOW_AFTER + 0.1, 0))
        disk.commit_ended(2.0)
        self.assertEqual(
            (0.0, DiskState.HEALTHY, 2.0), (disk.retry_after(2.0, 0), disk.state(2.0), disk.longest_commit)
        )
        self.assertGreater(disk.retry_after(2.0, MAX_PENDING), 0.0)

    def test_a_failing_disk_is_retried_with_growing_delays(self) -> None:
        disk, now, retries = DiskHealth(), 0.0, 0
        disk.commit_ended(now, True, True)
        self.assertEqual(DiskState.FULL, disk.state(now))
        while now < 60.0:
            now += 0.01
            self.assertGreaterEqual(disk.retry_after(now, 0), MIN_RETRY_DELAY)
            self.assertLessEqual(disk.retry_after(now, 0), MAX_RETRY_DELAY)
            if disk.should_retry(now):
                retries += 1
                disk.commit_started(now)
                disk.commit_ended(now, True)
        self.assertEqual(18, retries)
        disk.commit_started(now)
        disk.commit_ended(now)
        self.assertEqual(0.0, disk.retry_after(now, 0))


class LogStores(unittest.TestCase):
    """On the virtual clock; a kill truncates the file being written at a random byte."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        small_segments = mock.patch(
            "gorsethread.durable_log.compaction.COMPACT_AFTER_BYTES", 1 << 15
        )  # so that compaction is frequent
        small_segments.start()
        self.addCleanup(small_segments.stop)
        self.disk = VirtualDisk()
        self.durable: list[int] = []
        self.not_durable: list[int] = []

    def start_process(self, seed: int = 1) -> VirtualTransport:
        process = VirtualTransport(Network(self.loop, seed), self.disk, "head 2")
        self.addCleanup(lambda: self.loop.run_until_complete(asyncio.sleep(0.0)))
        self.addCleanup(process.kill)
        return process

    def open_store(self, process: VirtualTransport, incarnation: int = INCARNATION) -> tuple[LogStore, Any]:
        store = LogStore(process, "records", FLEET, GATEWAY, NullLogger())
        recovered = store.open()
        process.spawn(store.start_incarnation(incarnation))
        self.wait(0.5)
        return store, recovered

    def recover_after_kill(self, process: VirtualTransport) -> Any:
        """Kill the process and return what the next incarnation recovers."""
        process.kill()
        self.disk.broken.clear()
        successor = self.start_process()
        recovered = self.open_store(successor, INCARNATION + 1)[1]
        successor.kill()
        return recovered

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def add_record(self, store: LogStore, position: int, incarnation: int = INCARNATION) -> None:
        store.add(
            placed_record(position, incarnation=incarnation),
            lambda durable: (self.durable if durable else self.not_durable).append(position),
        )

    def test_records_reported_durable_survive_a_kill_at_any_moment(self) -> None:
        for seed in range(40):
            self.disk.files.clear()
            self.durable.clear()
            process = self.start_process(seed)
            store, _ = self.open_store(process)
            rng = random.Random(seed)
            for position in range(1, 60):
                self.add_record(store, position)
                self.wait(rng.uniform(0.0, 0.002))
            recovered = self.recover_after_kill(process)
            recovered_positions = {r.number[1] for r in recovered.table.records.values()}
            self.assertTrue(recovered.complete, recovered.faults)
            self.assertLessEqual(set(self.durable), recovered_positions)
            self.assertEqual(recovered_positions, set(range(1, len(recovered_positions) + 1)))
            self.assertGreater(len(self.durable), 5)

    def test_many_records_are_flushed_together(self) -> None:
        store, _ = self.open_store(self.start_process())
        for position in range(1, 2001):
            self.add_record(store, position)
        self.wait(0.1)
        self.assertEqual(list(range(1, 2001)), self.durable)
        self.assertLess(store.disk.commits, 5)

    def test_a_full_disk_fails_records_until_it_has_space_again(self) -> None:
        process = self.start_process()
        store, _ = self.open_store(process)
        self.add_record(store, 1)
        self.wait(0.1)
        self.disk.broken.add("head 2")
        self.add_record(store, 2)
        self.wait(0.1)
        self.assertEqual(
            ([1], [2], DiskState.FULL),
            (self.durable, self.not_durable, store.disk.state(store.transport.now())),
        )
        self.assertGreater(store.disk.retry_after(store.transport.now(), 0), 0.0)
        for position in range(3, 40):
            self.wait(0.2)
            self.add_record(store, position)
        self.disk.broken.clear()
        self.wait(5.0)
        self.add_record(store, 40)
        self.wait(0.1)
        self.assertEqual([1, 40], self.durable)
        recovered = self.recover_after_kill(process)
        self.assertEqual(
            (True, {1, 40}), (recovered.complete, {r.number[1] for r in recovered.table.records.values()})
        )

    def test_compaction_bounds_the_files_and_loses_no_record(self) -> None:
        process = self.start_process()
        store, _ = self.open_store(process)
        for n in range(1, 9_001):
            store.add(Record((INCARNATION, n), ExtentPlaced(1, n % 500, n % 7)))
            if n % 300 == 0:
                self.wait(0.004)
        self.wait(1.0)
        sizes = [len(data) for name, data in self.disk.files.items() if name.endswith(".seg")]
        self.assertLessEqual(len(sizes), 2)
        self.assertLess(sum(sizes), 1 << 18)
        self.assertGreater(store._segment_number, 1, "no compaction took place")
        recovered = self.recover_after_kill(process)
        self.assertTrue(recovered.complete, recovered.faults)
        self.assertEqual((INCARNATION, 9_000), max(r.number for r in recovered.table.records.values()))
        self.assertEqual(500, len(recovered.table.records))

    def test_disk_failures_during_compaction_lose_no_record_reported_durable(self) -> None:
        for seed in range(8):
            self.disk.files.clear()
            process = self.start_process(seed)
            store, _ = self.open_store(process)
            rng = random.Random(seed)
            last_durable: dict[int, int] = {}  # by extent

            def note_durable(n: int, last_durable: dict[int, int] = last_durable) -> Callable[[bool], None]:
                return lambda durable: last_durable.__setitem__(n % 300, n) if durable else None

            for n in range(1, 12_000):
                store.add(Record((INCARNATION, n), ExtentPlaced(1, n % 300, 1)), note_durable(n))
                if n % 400 == 0:
                    (self.disk.broken.add if rng.random() < 0.06 else self.disk.broken.discard)("head 2")
                    self.wait(rng.choice((0.001, 0.004, 0.02)))
            recovered = self.recover_after_kill(process)
            self.assertTrue(recovered.complete, recovered.faults)
            recovered_numbers = {r.fact.subject[1]: r.number[1] for r in recovered.table.records.values()}
            for extent, last in last_durable.items():
                self.assertGreaterEqual(recovered_numbers.get(extent, 0), last, (seed, extent))

    def test_a_kill_during_compaction_loses_no_record_reported_durable(self) -> None:
        for seed in range(30):
            self.disk.files.clear()
            process = self.start_process(seed)
            store, _ = self.open_store(process)
            rng = random.Random(seed)
            self.disk.slow["head 2"] = 0.02  # so that writing a new segment takes long
            last_durable: dict[int, int] = {}  # by extent

            def note_durable(n: int, last_durable: dict[int, int] = last_durable) -> Callable[[bool], None]:
                return lambda durable: last_durable.__setitem__(n % 300, n) if durable else None

            numbers = itertools.count(1)

            def add(
                count: int, store: LogStore = store, numbers: Any = numbers, note_durable: Any = note_durable
            ) -> None:
                for n in itertools.islice(numbers, count):
                    store.add(Record((INCARNATION, n), ExtentPlaced(1, n % 300, 1)), note_durable(n))

            while not store._compaction.running:
                add(200)
                self.wait(0.004)
            for _ in range(1 + rng.randrange(300)):
                add(1)
                self.wait(rng.uniform(0.0, 0.0005))
            self.disk.slow.clear()
            recovered = self.recover_after_kill(process)
            self.assertTrue(recovered.complete, recovered.faults)
            recovered_numbers = {r.fact.subject[1]: r.number[1] for r in recovered.table.records.values()}
            for extent, last in last_durable.items():
                self.assertGreaterEqual(recovered_numbers.get(extent, 0), last, (seed, extent))

    def test_a_second_process_can_not_open_the_folder(self) -> None:
        first = self.start_process()
        self.open_store(first)
        with self.assertRaises(FolderInUseError):
            LogStore(self.start_process(), "records", FLEET, GATEWAY, NullLogger()).open()
        first.kill()
        LogStore(self.start_process(), "records", FLEET, GATEWAY, NullLogger()).open()

    def test_a_slow_disk_delays_only_records_that_wait_for_it(self) -> None:
        store, _ = self.open_store(self.start_process())
        self.disk.slow["head 2"] = 1.0
        self.add_record(store, 1)
        self.wait(0.3)
        self.assertEqual(([], 0.0), (self.durable, store.disk.retry_after(store.transport.now(), 0)))
        self.wait(0.4)
        self.assertEqual(DiskState.SLOW, store.disk.state(store.transport.now()))
        self.wait(0.5)
        self.assertEqual([1], self.durable)


class RealDisk(unittest.TestCase):
    def test_records_are_stored_and_the_folder_locked_on_a_real_disk(self) -> None:
        async def work(folder: str) -> None:
            transport = RealTransport(1)
            store = LogStore(transport, folder, FLEET, GATEWAY, NullLogger())
            self.assertTrue(store.open().empty)
            await store.start_incarnation(INCARNATION)
            reported: list[bool] = []
            for position in range(1, 200):
                store.add(placed_record(position), reported.append)
            while len(reported) < 199:
                await transport.sleep(0.01)
            self.assertTrue(all(reported))
            other = LogStore(transport, folder, FLEET, GATEWAY, NullLogger())
            with self.assertRaises(FolderInUseError):
                other.open()
            store.close()
            other.open()
            files = {p.name: p.read_bytes() for p in Path(folder).iterdir()}
            self.assertEqual(199, len(recover(files, FLEET, GATEWAY).table.records))
            with self.assertRaises(OSError):
                transport.open_append_only(f"{folder}/none")

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(work(f"{folder}/records"))
