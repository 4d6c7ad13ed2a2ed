"""The accounts: stages sum to lives, windows add up, sketches keep their bound, bad files are refused."""

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
from gorsethread.latency_attribution.request_attribution import Accounts
from gorsethread.latency_attribution.sketch import DEPTH, ERROR, SURE, WIDTH, Sketch
from gorsethread.latency_attribution.snapshots import FRAME, MAGIC, BadSnapshot, decode, encode
from gorsethread.latency_attribution.stages import OTHERS, STAGES, WORDS, Stage, bucket_of, bucket_value
from gorsethread.latency_attribution.window import BLAMES_MOST, BUCKETS, ROWS_MOST, Span, Window
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome
from tests.queue_model import KNOWN, QueueSimulation

ENDINGS = [AttemptOutcome.SUCCEEDED] * 3 + list(AttemptOutcome)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["taken", "held", "sent", "ended", "answered", "look", "close"]),
        st.integers(1, 4),
        st.integers(0, 2),
        st.sampled_from(ENDINGS),
        st.sampled_from(list(HoldReason)),
        st.floats(-0.01, 0.3, allow_nan=False),
    ),
    max_size=80,
)

# Volume, shelf, units, when taken, how long it took, and what part of that was work.
ORDINARY = st.lists(
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


def played(events: list[Any], together: int = 3) -> tuple[list[Window], int]:
    """The windows of a made-up order of events, and how many lives were answered."""
    accounts, now, windows, answered = Accounts([0.1, 0.2], 100.0, together), 100.0, [], 0
    alive: set[int] = set()
    out: set[tuple[int, int]] = set()
    for what, id, number, how, why, step in events:
        now += step
        # As in the driver, an id comes to another transaction only once the last one's forwards are in.
        if what == "taken" and id not in alive and not any(owner == id for owner, _ in out):
            alive.add(id)
            accounts.taken(id, 1 + id % 3, number % 2, number, number == 2, 1 + id, now - step / 2, now)
        elif what == "held":
            accounts.held(id, why, number if why is not HoldReason.NO_BACKEND else -1, now)
        elif what == "sent":
            accounts.sent(id, number, 5 + number, now)
            if id in alive:
                out.add((id, number))
        elif what == "ended":
            accounts.ended(id, number, how, abs(step) / 3, now)
            out.discard((id, number))
        elif what == "answered":
            answered += id in alive
            alive.discard(id)
            accounts.answered(id, list(RequestOutcome)[number], now)
        elif what == "look":
            for each in accounts.looks():
                accounts.held(each, why, number, now)
        elif what == "close":
            windows.append(accounts.close_window(now))
    answered += len(alive)
    for id in range(1, 5):
        accounts.answered(id, RequestOutcome.CLIENT_LEFT, now)
        for forward in range(3):
            accounts.ended(id, forward, AttemptOutcome.CANCELLED, 0.0, now)
    windows.append(accounts.close_window(now))
    assert not accounts.open and not accounts.lanes
    assert all(not s.forwards and not s.out and not s.lanes for s in accounts.shelves.values())
    return windows, answered


def added(windows: list[Window]) -> Window:
    whole = Window()
    for window in windows:
        whole.merge(window)
    return whole


class Lives(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(ORDINARY)
    def test_together_as_by_itself(self, lives: list[tuple[int, int, int, float, float, float]]) -> None:
        """Ordinary lives counted at once give what each by itself gives."""
        one, each = Accounts([0.05, 0.01], 0.0, together=1), Accounts([0.05, 0.01], 0.0, together=0)
        many = Accounts([0.05, 0.01], 0.0, together=7)
        events = []
        for id, (_, _, _, at, took, _) in enumerate(lives):
            events += [(at, 0, id), (at + took / 10, 1, id), (at + took, 2, id)]
        for when, what, id in sorted(events):
            volume, shelf, units, at, took, service = lives[id]
            for accounts in (one, each, many):
                if what == 0:
                    accounts.taken(id, volume, id % 2, shelf, False, units, at - 0.001, when)
                elif what == 1:
                    accounts.sent(id, 0, shelf, when)
                else:
                    accounts.ended(
                        id, 0, AttemptOutcome.SUCCEEDED, service * took, when, RequestOutcome.SUCCEEDED
                    )
        a, b, c = (accounts.close_window(9.0) for accounts in (one, each, many))
        self.assertEqual(0, a.remainders + b.remainders + c.remainders)
        self.assertEqual(a, b)
        # The least way is known the better the more are looked at together; all else is the same.
        both = [
            (k, r.lives, r.late, r.units, r.life_us, r.outcomes, r.stages[Stage.WORK], r.stages[Stage.HEAD])
            for w in (b, c)
            for k, r in sorted(w.rows.items())
        ]
        self.assertEqual(both[: len(both) // 2], both[len(both) // 2 :])
        self.assertEqual(
            {n: (s.classes, s.units, s.endings) for n, s in b.shelves.items()},
            {n: (s.classes, s.units, s.endings) for n, s in c.shelves.items()},
        )

    @settings(max_examples=150, deadline=None)
    @given(EVENTS)
    def test_stages_sum_to_lives(self, events: list[Any]) -> None:
        windows, answered = played(events)
        whole = added(windows)
        self.assertEqual(0, whole.remainders)
        self.assertEqual(answered, sum(row.lives for row in whole.all_rows()))
        for row in whole.all_rows():
            self.assertEqual(row.life_us, sum(row.stages))
            self.assertTrue(all(us >= 0 for us in row.stages))
            self.assertEqual(row.lives, sum(row.outcomes))
            self.assertEqual(row.lives, sum(n for b, n in row.buckets.items() if b >= STAGES * BUCKETS))

    @settings(max_examples=100, deadline=None)
    @given(EVENTS)
    def test_all_waiting_is_blamed_on_somebody(self, events: list[Any]) -> None:
        """To the microsecond; only what lives that never ended waited is more."""
        whole = added(played(events)[0])
        waited = sum(row.waited_us for row in whole.all_rows())
        self.assertEqual(waited, sum(whole.blame.values()))

    def test_a_planted_remainder_is_told(self) -> None:
        accounts = Accounts([0.1], 0.0)
        accounts.taken(1, 1, 0, 0, False, 1, 0.0, 0.01)
        life = accounts._life(1)
        assert life is not None
        life.stages[Stage.ARRIVING] -= 7
        accounts.answered(1, RequestOutcome.SUCCEEDED, 0.02)
        self.assertEqual(1, accounts.close_window(1.0).remainders)

    def test_one_life(self) -> None:
        """HoldReason for slots, sent, lost, held while its shelf rests, sent again, honoured."""
        accounts = Accounts([0.1], 0.0)
        accounts.taken(9, 3, 0, 0, False, 4, 0.0, 0.0)
        accounts.sent(9, 0, 5, 0.0)  # what 1 waits for
        accounts.taken(1, 1, 0, 0, False, 2, 0.001, 0.002)
        accounts.held(1, HoldReason.SLOTS, 5, 0.003)
        accounts.sent(1, 0, 6, 0.013)
        accounts.ended(1, 0, AttemptOutcome.CONNECTION_LOST, 0.0, 0.020)
        accounts.held(1, HoldReason.COOL_DOWN, 6, 0.021)
        accounts.ended(9, 0, AttemptOutcome.SUCCEEDED, 0.022, 0.024)  # 2 ms of way: the least there
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
            {WORDS[s]: row.stages[s] for s in Stage if row.stages[s]},
        )
        self.assertEqual(
            {
                (3, 5, "slots taken"): 10000,
                (-1, 6, "rest after a miss"): 9000,
                (-1, 6, "lost forwards"): 7000,
                (-3, 5, "waiting at the shelf"): 8000,
            },
            {(b.holder, b.shelf, WORDS[Stage(b.stage)]): us for b, us in window.blame.items()},
        )

    @given(st.integers(0, 3_600_000_000))
    def test_buckets_are_three_percent_wide(self, us: int) -> None:
        self.assertLessEqual(abs(bucket_value(bucket_of(us)) - us), max(0, us / 32))
        # What windows count by the thousand lies where this says; stages by pairs of buckets.
        window = window_of([(1, 0, us)])
        self.assertEqual(1, window.rows[1, 0].buckets[STAGES * BUCKETS + bucket_of(us)])
        if work := us - us // 3:
            pair = bucket_of(work) & (~1 if work >= 64 else ~0)
            self.assertEqual(1, window.rows[1, 0].buckets[Stage.WORK * BUCKETS + pair])


def window_of(lives: list[tuple[int, int, int]], head: int = 0) -> Window:
    window = Window()
    window.spans.add(Span(head, 1, 100.0, 110.0, False))
    for volume, profile, us in lives:
        stages = [0] * STAGES
        stages[Stage.SLOTS], stages[Stage.WORK] = us // 3, us - us // 3
        window.life(volume, profile, 1, RequestOutcome.SUCCEEDED, us > 1000, stages, us)
        window.blamed(volume, 1 + volume % 5, us % 3, Stage.SLOTS, us // 3)
        window.shelf(us % 3).worked(volume, us % 7, 1, 1 + us % 7, us - us // 3)
        window.shelf(us % 3).endings["honoured"] = 1
    window.settle()
    return window


LIVES = st.lists(st.tuples(st.integers(1, 9), st.integers(0, 1), st.integers(0, 10**7)), max_size=30)


class Merging(unittest.TestCase):
    @settings(deadline=None)
    @given(LIVES, LIVES, LIVES)
    def test_laws(self, a: Any, b: Any, c: Any) -> None:
        x, y, z = (window_of(lives, head) for head, lives in enumerate((a, b, c)))
        self.assertEqual(added([x, y]), added([y, x]))
        self.assertEqual(added([added([x, y]), z]), added([x, added([y, z])]))
        self.assertEqual(added([x]), x)
        self.assertEqual(x, decode(encode("here", x), "here"))

    @settings(deadline=None)
    @given(LIVES, st.lists(st.integers(0, 2), min_size=30, max_size=30))
    def test_heads_add_up_to_one_that_saw_all(self, lives: Any, heads: list[int]) -> None:
        parts = [[life for life, h in zip(lives, heads, strict=False) if h == head] for head in range(3)]
        merged, whole = added([window_of(part) for part in parts]), window_of(lives)
        for shelf in (*merged.shelves.values(), *whole.shelves.values()):
            shelf.endings.clear()  # window_of() sets them, it does not count
        self.assertEqual(whole, merged)

    def test_a_hundred_thousand_volumes_of_one_transaction_each(self) -> None:
        window = Window()
        stages = [0] * STAGES
        stages[Stage.SLOTS] = 5
        for volume in range(1, 100_001):
            window.life(volume, 0, 1, RequestOutcome.SUCCEEDED, False, stages, 5)
            window.blamed(volume, volume % 997 + 1, 1, Stage.SLOTS, 5)
        window.settle()
        self.assertLessEqual(len(window.rows), ROWS_MOST)
        self.assertLess(len(window.blame), 2 * BLAMES_MOST)
        self.assertEqual(100_000, sum(row.lives for row in window.all_rows()))
        self.assertEqual(500_000, sum(window.blame.values()))
        self.assertIn(OTHERS, {b.holder for b in window.blame})
        self.assertLess(sum(row.partly for row in window.rows.values()), 10, "hardly a light one looks heavy")
        self.assertLess(len(encode("here", window)), 400_000)

    def test_sketch_keeps_its_bound(self) -> None:
        sketch = Sketch()
        for volume in range(20_000):
            sketch.add(Sketch.places(volume), 1 + volume % 10)
        over = [sketch.estimate(Sketch.places(v)) - (1 + v % 10) for v in range(20_000)]
        self.assertGreaterEqual(min(over), 0, "never too low")
        within = sum(o <= ERROR * sketch.total for o in over) / len(over)
        self.assertGreaterEqual(within, SURE)
        self.assertEqual(WIDTH * DEPTH, len(sketch.cells))

    def test_a_volume_that_turns_heavy_late_gets_a_row(self) -> None:
        window = Window()
        stages = [0] * STAGES
        for volume in range(1, 2000):
            window.life(volume, 0, 1, RequestOutcome.SUCCEEDED, False, stages, 0)
        for _ in range(500):
            window.life(5000, 0, 1, RequestOutcome.SUCCEEDED, False, stages, 0)
        window.settle()
        self.assertGreater(window.rows[5000, 0].lives, 440)
        for row in window.all_rows():
            self.assertEqual(row.lives, sum(row.outcomes))
            self.assertEqual(row.lives, sum(row.buckets.values()), "a row that left took nothing with it")
        self.assertTrue(window.rows[5000, 0].partly)
        self.assertEqual(2499, sum(row.lives for row in window.all_rows()))
        self.assertEqual(2499, window.lives.total + sum(row.lives for row in window.rows.values()))


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


class Files(unittest.TestCase):
    """What an operator meets, through the command line."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.site = self.folder / "site.txtpb"
        self.site.write_text(SITE)
        self.kept = self.folder / "kept"
        self.kept.mkdir()
        day = QueueSimulation(backends=1)
        for volume in range(1, 5):
            day.add_traffic(volume)
        day.add_traffic(7, 20.0, gateways=1)
        day.run()
        self.windows = day.windows
        for n, window in enumerate(day.windows):
            (self.kept / f"head-{n:03}.acc").write_bytes(encode("queues", window))

    def ask(self, *arguments: str, status: int = 0) -> str:
        got = CliRunner().invoke(
            app, ["accounts", *arguments, "--site", str(self.site)], env={"COLUMNS": "160"}
        )
        self.assertEqual(status, got.exit_code, got.output)
        return got.output

    def test_every_cut_and_garbled_byte_is_refused(self) -> None:
        raw = encode("here", window_of([(1, 0, 77)]))
        for n in range(len(raw)):
            with self.assertRaises(BadSnapshot, msg=f"cut at {n}"):
                decode(raw[:n], "here")
            garbled = raw[:n] + bytes([raw[n] ^ 0x20]) + raw[n + 1 :]
            with self.assertRaises(BadSnapshot, msg=f"garbled at {n}"):
                decode(garbled, "here")

    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_or_read(self, raw: bytes) -> None:
        import google_crc32c

        for tried in (raw, FRAME.pack(MAGIC, 1, len(raw), google_crc32c.value(raw)) + raw):
            with contextlib.suppress(BadSnapshot):
                decode(tried, "")

    def test_bad_files_are_named_and_the_rest_counts(self) -> None:
        good = self.ask("top", "--snapshots", str(self.kept))
        names = sorted(self.kept.iterdir())
        whole = names[0].read_bytes()
        (self.kept / "x-cut.acc").write_bytes(whole[:-3])
        (self.kept / "x-old.acc").write_bytes(whole[:5] + b"\x09" + whole[6:])
        (self.kept / "x-other.acc").write_bytes(encode("elsewhere", self.windows[0]))
        (self.kept / "x-twice.acc").write_bytes(whole)
        (self.kept / "x-text.acc").write_text("no snapshot")
        got = self.ask("top", "--snapshots", str(self.kept))
        for name, reason in (
            ("x-cut", "is cut short"),
            ("x-old", "is of version 9"),
            ("x-text", "no snapshot"),
            ("x-twice", "already"),
            ("x-other", "is of site 'elsewhere', not 'queues'"),
        ):
            line = next(line for line in got.splitlines() if f"{name}.acc" in line)
            self.assertIn(reason, line)
            self.assertTrue(line.startswith("refused: "))
        self.assertIn(good.splitlines()[0], got)

    def test_answers(self) -> None:
        kept = ("--snapshots", str(self.kept))
        self.assertIn("volume L07 asked for", self.ask("top", *kept).splitlines()[0])
        self.assertIn(
            "behind L07 on shelf 0 (it is as quick as its peers)",
            " ".join(self.ask("why", "L01", *kept).split("How sure")[0].split()),
        )
        self.assertIn("Shelf 0:", self.ask("shelf", "0", *kept))
        self.assertIn("nothing new", " ".join(self.ask("diff", str(self.kept), str(self.kept)).split()))
        self.assertIn('"floods": {\n  "L07"', self.ask("top", *kept, "--json"))
        self.assertIn("had no transaction", self.ask("why", "8", *kept))

    def test_bad_questions(self) -> None:
        kept = ("--snapshots", str(self.kept))
        self.assertIn("there is no volume 'L99'", self.ask("why", "L99", *kept, status=2))
        self.assertIn("'soon' is no time", self.ask("top", *kept, "--from", "soon", status=2))
        self.assertIn("no snapshot for that time", self.ask("top", *kept, "--from", "-1h", status=2))
        self.assertIn("is not there", self.ask("top", "--snapshots", str(self.folder / "no"), status=2))

    def test_page_stands_alone_and_draws_the_same_again(self) -> None:
        found = find(replace(KNOWN, volumes={**KNOWN.volumes, 7: "L<7>$x$"}), self.windows)
        first, again = (page("t", report.why(found, 1), found, 1) for _ in range(2))
        self.assertEqual(first, again)
        self.assertEqual(3, first.count("<svg"))
        self.assertIn("L&lt;7&gt;$x$", first)
        self.assertNotIn("<7>", first)
        for outside in ("<script", "src=", "<link", "@import"):
            self.assertNotIn(outside, first)

    def test_a_remainder_makes_the_status_one(self) -> None:
        window = window_of([(1, 0, 50)])
        window.remainders = 3
        (self.kept / "x.acc").write_bytes(encode("queues", window))
        got = self.ask("top", "--snapshots", str(self.kept / "x.acc"), status=1)
        self.assertIn("the stages of 3 transactions do not sum to their lives", " ".join(got.split()))
