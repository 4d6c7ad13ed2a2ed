"""Latency attribution: sums of stages, merging of windows, bounds of sketches, refusal of bad files."""

import contextlib
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from gorsethread.cli.main import app
from gorsethread.latency_attribution import report
from gorsethread.latency_attribution.causes import find
from gorsethread.latency_attribution.page import page
from gorsethread.latency_attribution.request_attribution import LatencyAccounts
from gorsethread.latency_attribution.sketch import CONFIDENCE, DEPTH, ERROR, WIDTH, Sketch
from gorsethread.latency_attribution.snapshots import FRAME, MAGIC, BadSnapshot, decode, encode
from gorsethread.latency_attribution.stages import (
    OTHERS,
    STAGE_LABELS,
    STAGES,
    Stage,
    bucket_of,
    bucket_value,
)
from gorsethread.latency_attribution.window import BUCKETS, MAX_BLAME_ENTRIES, MAX_ROWS, Span, Window
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome
from tests.queue_model import BASELINE, QueueSimulation

ATTEMPT_OUTCOMES = [AttemptOutcome.SUCCEEDED] * 3 + list(AttemptOutcome)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["taken", "held", "sent", "ended", "answered", "look", "close"]),
        st.integers(1, 4),
        st.integers(0, 2),
        st.sampled_from(ATTEMPT_OUTCOMES),
        st.sampled_from(list(HoldReason)),
        st.floats(-0.01, 0.3, allow_nan=False),
    ),
    max_size=80,
)

# Volume, backend, units, time of admission, duration, and the share of it that was service.
SHORT_REQUESTS = st.lists(
    st.tuples(
        st.integers(1, 3),
        st.integers(0, 2),
        st.integers(1, 9),
        st.floats(0.1, 0.5),
        st.floats(0.0001, 0.1),
        st.floats(0.01, 1.0) | st.just(0.0),
    ),
    max_size=25,
)


def play(events: list[Any], batch_size: int = 3) -> tuple[list[Window], int]:
    """Plays generated events; returns the windows and how many requests were answered."""
    accounts, now, windows, answered = LatencyAccounts([0.1, 0.2], 100.0, batch_size), 100.0, [], 0
    open_requests: set[int] = set()
    in_flight: set[tuple[int, int]] = set()
    for what, id, number, attempt_outcome, reason, step in events:
        now += step
        # As in the driver, an id is reused only once all attempts of the previous request have ended.
        if what == "taken" and id not in open_requests and not any(owner == id for owner, _ in in_flight):
            open_requests.add(id)
            accounts.admitted(
                id,
                1 + id % 3,
                number % 2,
                number,
                number == 2,
                1 + id,
                now - step / 2,
                now,
            )
        elif what == "held":
            accounts.held(id, reason, number if reason is not HoldReason.NO_BACKEND else -1, now)
        elif what == "sent":
            accounts.sent(id, number, 5 + number, now)
            if id in open_requests:
                in_flight.add((id, number))
        elif what == "ended":
            accounts.ended(id, number, attempt_outcome, abs(step) / 3, now)
            in_flight.discard((id, number))
        elif what == "answered":
            answered += id in open_requests
            open_requests.discard(id)
            accounts.answered(id, list(RequestOutcome)[number], now)
        elif what == "look":
            for held_id in accounts.requests_to_recheck():
                accounts.held(held_id, reason, number, now)
        elif what == "close":
            windows.append(accounts.close_window(now))
    answered += len(open_requests)
    for id in range(1, 5):
        accounts.answered(id, RequestOutcome.CLIENT_LEFT, now)
        for attempt in range(3):
            accounts.ended(id, attempt, AttemptOutcome.CANCELLED, 0.0, now)
    windows.append(accounts.close_window(now))
    assert not accounts.open_count and not accounts.groups
    for queue in accounts.backends.values():
        assert not queue.in_flight and not queue.units_in_flight and not queue.waiting_groups
    return windows, answered


def merged_windows(windows: list[Window]) -> Window:
    total = Window()
    for window in windows:
        total.merge(window)
    return total


class RequestAttributionTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(SHORT_REQUESTS)
    def test_a_batch_counts_the_same_as_requests_one_by_one(
        self, requests: list[tuple[int, int, int, float, float, float]]
    ) -> None:
        """Checks batches of 1, batches of 7, and requests that are counted without a batch."""
        batches_of_one, unbatched = (
            LatencyAccounts([0.05, 0.01], 0.0, batch_size=1),
            LatencyAccounts([0.05, 0.01], 0.0, batch_size=0),
        )
        batches_of_seven = LatencyAccounts([0.05, 0.01], 0.0, batch_size=7)
        events = []
        for id, (_, _, _, at, duration, _) in enumerate(requests):
            events += [
                (at, 0, id),
                (at + duration / 10, 1, id),
                (at + duration, 2, id),
            ]
        for when, what, id in sorted(events):
            volume, backend, units, at, duration, service = requests[id]
            for accounts in (batches_of_one, unbatched, batches_of_seven):
                if what == 0:
                    accounts.admitted(id, volume, id % 2, backend, False, units, at - 0.001, when)
                elif what == 1:
                    accounts.sent(id, 0, backend, when)
                else:
                    accounts.ended(
                        id,
                        0,
                        AttemptOutcome.SUCCEEDED,
                        service * duration,
                        when,
                        RequestOutcome.SUCCEEDED,
                    )
        one, none, seven = (
            accounts.close_window(9.0) for accounts in (batches_of_one, unbatched, batches_of_seven)
        )
        self.assertEqual(0, one.remainders + none.remainders + seven.remainders)
        self.assertEqual(one, none)
        # A larger batch knows the least transit time better; all else is the same.
        counts = [
            (k, r.requests, r.late, r.units, r.duration_us, r.outcomes, r.stages[Stage.SERVICE])
            + (r.stages[Stage.GATEWAY],)
            for w in (none, seven)
            for k, r in sorted(w.rows.items())
        ]
        self.assertEqual(counts[: len(counts) // 2], counts[len(counts) // 2 :])
        self.assertEqual(
            {n: (s.classes, s.units, s.endings) for n, s in none.backends.items()},
            {n: (s.classes, s.units, s.endings) for n, s in seven.backends.items()},
        )

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_stages_sum_to_durations(self, events: list[Any]) -> None:
        windows, answered = play(events)
        total = merged_windows(windows)
        self.assertEqual(0, total.remainders)
        self.assertEqual(answered, sum(row.requests for row in total.all_rows()))
        for row in total.all_rows():
            self.assertEqual(row.duration_us, sum(row.stages))
            self.assertTrue(all(us >= 0 for us in row.stages))
            self.assertEqual(row.requests, sum(row.outcomes))
            self.assertEqual(row.requests, sum(n for b, n in row.buckets.items() if b >= STAGES * BUCKETS))

    @settings(max_examples=100, deadline=None)
    @given(EVENTS)
    def test_all_waiting_is_blamed_on_a_holder(self, events: list[Any]) -> None:
        """Checks that the blame sums to the waiting time, to the microsecond."""
        total = merged_windows(play(events)[0])
        waited = sum(row.waited_us for row in total.all_rows())
        self.assertEqual(waited, sum(total.blame.values()))

    def test_stages_that_do_not_sum_to_the_duration_are_counted(self) -> None:
        accounts = LatencyAccounts([0.1], 0.0)
        accounts.admitted(1, 1, 0, 0, False, 1, 0.0, 0.01)
        request = accounts._request(1)
        assert request is not None
        request.stages[Stage.RECEIVING] -= 7
        accounts.answered(1, RequestOutcome.SUCCEEDED, 0.02)
        self.assertEqual(1, accounts.close_window(1.0).remainders)

    def test_the_stages_of_one_request(self) -> None:
        """The request waits for a slot, loses its connection, waits out a cool-down, and succeeds."""
        accounts = LatencyAccounts([0.1], 0.0)
        accounts.admitted(9, 3, 0, 0, False, 4, 0.0, 0.0)
        accounts.sent(9, 0, 5, 0.0)  # request 1 waits for this one
        accounts.admitted(1, 1, 0, 0, False, 2, 0.001, 0.002)
        accounts.held(1, HoldReason.SLOTS, 5, 0.003)
        accounts.sent(1, 0, 6, 0.013)
        accounts.ended(1, 0, AttemptOutcome.CONNECTION_LOST, 0.0, 0.020)
        accounts.held(1, HoldReason.COOL_DOWN, 6, 0.021)
        accounts.ended(9, 0, AttemptOutcome.SUCCEEDED, 0.022, 0.024)  # 2 ms of transit, the least there
        accounts.answered(9, RequestOutcome.SUCCEEDED, 0.024)
        accounts.sent(1, 1, 5, 0.030)
        accounts.ended(1, 1, AttemptOutcome.SUCCEEDED, 0.010, 0.050)
        accounts.answered(1, RequestOutcome.SUCCEEDED, 0.050)
        window = accounts.close_window(0.05)
        row = window.rows[1, 0]
        self.assertEqual(
            {
                "its data arriving": 1000,
                "the head's own work": 2000,
                "slots taken": 10000,
                "rest after a miss": 9000,
                "on the way": 1000,
                "waiting at the shelf": 8000,
                "in work": 10000,
                "on the way back": 1000,
                "lost forwards": 7000,
            },
            {STAGE_LABELS[s]: row.stages[s] for s in Stage if row.stages[s]},
        )
        self.assertEqual(
            {
                (3, 5, "slots taken"): 10000,
                (-1, 6, "rest after a miss"): 9000,
                (-1, 6, "lost forwards"): 7000,
                (-3, 5, "waiting at the shelf"): 8000,
            },
            {(b.holder, b.backend, STAGE_LABELS[Stage(b.stage)]): us for b, us in window.blame.items()},
        )

    @given(st.integers(0, 3_600_000_000))
    def test_buckets_are_three_percent_wide(self, us: int) -> None:
        self.assertLessEqual(abs(bucket_value(bucket_of(us)) - us), max(0, us / 32))
        # Windows count in the same buckets, computed on arrays; stages are counted in pairs of buckets.
        window = window_of([(1, 0, us)])
        self.assertEqual(1, window.rows[1, 0].buckets[STAGES * BUCKETS + bucket_of(us)])
        if work := us - us // 3:
            pair = bucket_of(work) & (~1 if work >= 64 else ~0)
            self.assertEqual(1, window.rows[1, 0].buckets[Stage.SERVICE * BUCKETS + pair])


def window_of(requests: list[tuple[int, int, int]], gateway: int = 0) -> Window:
    window = Window()
    window.spans.add(Span(gateway, 1, 100.0, 110.0, False))
    for volume, profile, us in requests:
        stages = [0] * STAGES
        stages[Stage.SLOTS], stages[Stage.SERVICE] = us // 3, us - us // 3
        window.add_request(volume, profile, 1, RequestOutcome.SUCCEEDED, us > 1000, stages, us)
        window.add_blame(volume, 1 + volume % 5, us % 3, Stage.SLOTS, us // 3)
        window.backend(us % 3).add_work(volume, us % 7, 1, 1 + us % 7, us - us // 3)
        window.backend(us % 3).endings["honoured"] = 1
    window.apply_pending()
    return window


REQUESTS = st.lists(st.tuples(st.integers(1, 9), st.integers(0, 1), st.integers(0, 10**7)), max_size=30)


class WindowTest(unittest.TestCase):
    @settings(deadline=None)
    @given(REQUESTS, REQUESTS, REQUESTS)
    def test_merging_is_commutative_and_associative(self, a: Any, b: Any, c: Any) -> None:
        x, y, z = (window_of(requests, gateway) for gateway, requests in enumerate((a, b, c)))
        self.assertEqual(merged_windows([x, y]), merged_windows([y, x]))
        self.assertEqual(
            merged_windows([merged_windows([x, y]), z]), merged_windows([x, merged_windows([y, z])])
        )
        self.assertEqual(merged_windows([x]), x)
        self.assertEqual(x, decode(encode("here", x), "here"))

    @settings(deadline=None)
    @given(REQUESTS, st.lists(st.integers(0, 2), min_size=30, max_size=30))
    def test_windows_of_several_gateways_merge_to_that_of_one(
        self, requests: Any, gateways: list[int]
    ) -> None:
        parts = [
            [request for request, h in zip(requests, gateways, strict=False) if h == gateway]
            for gateway in range(3)
        ]
        summed, total = merged_windows([window_of(part) for part in parts]), window_of(requests)
        for backend in (*summed.backends.values(), *total.backends.values()):
            backend.endings.clear()  # window_of() sets them to 1 instead of counting
        self.assertEqual(total, summed)

    def test_a_window_stays_bounded_with_a_hundred_thousand_volumes(self) -> None:
        window = Window()
        stages = [0] * STAGES
        stages[Stage.SLOTS] = 5
        for volume in range(1, 100_001):
            window.add_request(volume, 0, 1, RequestOutcome.SUCCEEDED, False, stages, 5)
            window.add_blame(volume, volume % 997 + 1, 1, Stage.SLOTS, 5)
        window.apply_pending()
        self.assertLessEqual(len(window.rows), MAX_ROWS)
        self.assertLess(len(window.blame), 2 * MAX_BLAME_ENTRIES)
        self.assertEqual(100_000, sum(row.requests for row in window.all_rows()))
        self.assertEqual(500_000, sum(window.blame.values()))
        self.assertIn(OTHERS, {b.holder for b in window.blame})
        self.assertLess(sum(row.partial for row in window.rows.values()), 10, "few light volumes look heavy")
        self.assertLess(len(encode("here", window)), 400_000)

    def test_a_sketch_keeps_its_error_bound(self) -> None:
        sketch = Sketch()
        for volume in range(20_000):
            sketch.add(Sketch.cells_of(volume), 1 + volume % 10)
        excess = [sketch.estimate(Sketch.cells_of(v)) - (1 + v % 10) for v in range(20_000)]
        self.assertGreaterEqual(min(excess), 0, "an estimate is never too low")
        within = sum(e <= ERROR * sketch.total for e in excess) / len(excess)
        self.assertGreaterEqual(within, CONFIDENCE)
        self.assertEqual(WIDTH * DEPTH, len(sketch.cells))

    def test_a_volume_that_becomes_heavy_late_gets_a_row(self) -> None:
        window = Window()
        stages = [0] * STAGES
        for volume in range(1, 2000):
            window.add_request(volume, 0, 1, RequestOutcome.SUCCEEDED, False, stages, 0)
        for _ in range(500):
            window.add_request(5000, 0, 1, RequestOutcome.SUCCEEDED, False, stages, 0)
        window.apply_pending()
        self.assertGreater(window.rows[5000, 0].requests, 440)
        for row in window.all_rows():
            self.assertEqual(row.requests, sum(row.outcomes))
            self.assertEqual(
                row.requests, sum(row.buckets.values()), "a replaced row moves whole to the rest"
            )
        self.assertTrue(window.rows[5000, 0].partial)
        self.assertEqual(2499, sum(row.requests for row in window.all_rows()))
        self.assertEqual(2499, window.rest_requests.total + sum(row.requests for row in window.rows.values()))


SITE = """name: "queues" subsystem: "nqn.2026-12.org.gorsethread:q"
list { address: "127.0.0.1:1" ask_within: 1 }
head { number: 0 address: "127.0.0.1:2" } head { number: 1 address: "127.0.0.1:3" }
shelf { number: 0 address: "127.0.0.1:4" shard: 0 }
profile { name: "read" promised: 0.3 cut_off: 1 effect: REDOABLE value: 1 match { operation: READ } }
profile { name: "write" promised: 0.3 cut_off: 1 effect: REDOABLE value: 1 match { operation: WRITE } }
plan { name: "plain" weight: 1 usual: 12 } tenant { name: "t" host: "nqn.2026-12.org.gorsethread:host:t" }
rules { answer_slack: 0.05 drain_grace: 1 most_forwards: 4 longest_return: 1 share_worth: 1
        cold { units: 40 span: 1 multiple: 3 warm_after: 2 first_part: 0.2 } }
links { connect_within: 1 queue_size: 16 unit_bytes: 8192 largest_bytes: 131072 connections: 8 }
machine { cores: 2 unit_time: 0.002 queue: 20 }
""" + "".join(
    f'volume {{ number: {n} name: "L{n:02}" tenant: "t" plan: "plain" blocks: 1024 '
    "extent_blocks: 64 placement: FIXED shard: 0 head: 0 head: 1 }\n"
    for n in range(1, 9)
)


class AccountsCommandTest(unittest.TestCase):
    """Snapshot files and the accounts commands, through the command line."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.site = self.folder / "site.txtpb"
        self.site.write_text(SITE)
        self.snapshots = self.folder / "kept"
        self.snapshots.mkdir()
        day = QueueSimulation(backends=1)
        for volume in range(1, 5):
            day.add_traffic(volume)
        day.add_traffic(7, 20.0, gateways=1)
        day.run()
        self.windows = day.windows
        for n, window in enumerate(day.windows):
            (self.snapshots / f"head-{n:03}.acc").write_bytes(encode("queues", window))

    def ask(self, *arguments: str, status: int = 0) -> str:
        got = CliRunner().invoke(
            app, ["accounts", *arguments, "--site", str(self.site)], env={"COLUMNS": "160"}
        )
        self.assertEqual(status, got.exit_code, got.output)
        return got.output

    def test_a_truncated_or_corrupted_snapshot_is_refused(self) -> None:
        raw = encode("here", window_of([(1, 0, 77)]))
        for n in range(len(raw)):
            with self.assertRaises(BadSnapshot, msg=f"cut at {n}"):
                decode(raw[:n], "here")
            garbled = raw[:n] + bytes([raw[n] ^ 0x20]) + raw[n + 1 :]
            with self.assertRaises(BadSnapshot, msg=f"garbled at {n}"):
                decode(garbled, "here")

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_decoded_or_refused(self, raw: bytes) -> None:
        import google_crc32c

        for tried in (raw, FRAME.pack(MAGIC, 1, len(raw), google_crc32c.value(raw)) + raw):
            with contextlib.suppress(BadSnapshot):
                decode(tried, "")

    def test_refused_files_are_listed_and_the_others_count(self) -> None:
        good = self.ask("top", "--snapshots", str(self.snapshots))
        names = sorted(self.snapshots.iterdir())
        contents = names[0].read_bytes()
        (self.snapshots / "x-cut.acc").write_bytes(contents[:-3])
        (self.snapshots / "x-old.acc").write_bytes(contents[:5] + b"\x09" + contents[6:])
        (self.snapshots / "x-other.acc").write_bytes(encode("elsewhere", self.windows[0]))
        (self.snapshots / "x-twice.acc").write_bytes(contents)
        (self.snapshots / "x-text.acc").write_text("no snapshot")
        got = self.ask("top", "--snapshots", str(self.snapshots))
        for name, reason in (
            ("x-cut", "is truncated"),
            ("x-old", "is of version 9"),
            ("x-text", "is not a snapshot of latency accounts"),
            ("x-twice", "already"),
            ("x-other", "is of site 'elsewhere', not 'queues'"),
        ):
            line = next(line for line in got.splitlines() if f"{name}.acc" in line)
            self.assertIn(reason, line)
            self.assertTrue(line.startswith("refused: "))
        self.assertIn(good.splitlines()[0], got)

    def test_each_command_answers_its_question(self) -> None:
        folder_option = ("--snapshots", str(self.snapshots))
        self.assertIn("volume L07 asked for", self.ask("top", *folder_option).splitlines()[0])
        self.assertIn(
            "behind L07 on backend 0 (it is as fast as the other backends)",
            " ".join(self.ask("why", "L01", *folder_option).split("Confidence")[0].split()),
        )
        self.assertIn("Backend 0:", self.ask("shelf", "0", *folder_option))
        self.assertIn(
            "nothing new",
            " ".join(self.ask("diff", str(self.snapshots), str(self.snapshots)).split()),
        )
        self.assertIn('"floods": {\n  "L07"', self.ask("top", *folder_option, "--json"))
        self.assertIn("had no requests", self.ask("why", "8", *folder_option))

    def test_invalid_arguments_exit_with_status_2(self) -> None:
        folder_option = ("--snapshots", str(self.snapshots))
        self.assertIn("there is no volume 'L99'", self.ask("why", "L99", *folder_option, status=2))
        self.assertIn("'soon' is not a time", self.ask("top", *folder_option, "--from", "soon", status=2))
        self.assertIn("no snapshot for that time", self.ask("top", *folder_option, "--from", "-1h", status=2))
        self.assertIn("does not exist", self.ask("top", "--snapshots", str(self.folder / "no"), status=2))

    def test_the_page_is_self_contained_and_reproducible(self) -> None:
        found = find(replace(BASELINE, volumes={**BASELINE.volumes, 7: "L<7>$x$"}), self.windows)
        first, again = (page("t", report.why(found, 1), found, 1) for _ in range(2))
        self.assertEqual(first, again)
        self.assertEqual(3, first.count("<svg"))
        self.assertIn("L&lt;7&gt;$x$", first)
        self.assertNotIn("<7>", first)
        for outside in ("<script", "src=", "<link", "@import"):
            self.assertNotIn(outside, first)

    def test_figures_that_do_not_add_up_exit_with_status_1(self) -> None:
        window = window_of([(1, 0, 50)])
        window.remainders = 3
        (self.snapshots / "x.acc").write_bytes(encode("queues", window))
        got = self.ask("top", "--snapshots", str(self.snapshots / "x.acc"), status=1)
        self.assertIn("the stages of 3 requests do not sum to their durations", " ".join(got.split()))
