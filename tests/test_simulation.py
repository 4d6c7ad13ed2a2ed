"""Whole sites on the virtual clock: planted breaks are caught, good heads are not accused, one seed is one
history."""

import os
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

from gorsethread.latency_attribution.snapshots import decode
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.simulation.rule_mutants import plant
from gorsethread.simulation.runs import play_many, shrink
from gorsethread.simulation.script import InvalidScriptError, read_script
from gorsethread.simulation.script_generator import Draw
from gorsethread.simulation.site_simulation import (
    LATENCY_FOLDER,
    Outcome,
    SiteSimulation,
    play,
    unsupported_acts,
)
from gorsethread.site_config.reading import read_site

SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
# Rule: what must happen for its planted break to show.
SHOWING = {
    1: "",
    2: "",
    3: "2 drain shelf-1 for 6",
    4: "2 kill shelf-0 for 0.5\n4 kill shelf-2 for 0.5",
    5: "factor 2",
    6: "2 errors shelf-1 by 0.5 for 4",
    7: "2 surge volume-1 by 25 for 7\n2 surge volume-3 by 25 for 7",
}


def script(text: str) -> str:
    return f"seed 5\nseconds 10\n{text}\n"


class Planted(unittest.TestCase):
    def test_a_planted_break_of_each_rule_is_caught(self) -> None:
        for rule, text in SHOWING.items():
            with self.subTest(rule=rule):
                outcome = play(SITE, read_script(script(text)), lambda head, rule=rule: plant(head, rule))
                self.assertGreater(outcome.verdict.rules[rule - 1], 0)
                moments = [at for at, broken in outcome.online_breaks if broken.rule == rule]
                self.assertTrue(moments, "the judge of each step saw it too")
                self.assertLess(moments[0], outcome.records[-1]["t"])

    def test_the_honest_head_keeps_every_rule_on_the_same_days(self) -> None:
        for rule, text in SHOWING.items():
            with self.subTest(rule=rule):
                self.good(play(SITE, read_script(script(text))))

    def good(self, outcome: Outcome) -> None:
        self.assertEqual(
            ([], [], []), ([str(b) for b in outcome.verdict.breaks], outcome.online_breaks, outcome.defects)
        )
        self.assertGreater(outcome.verdict.counts["honoured"], 300)


class OneSeed(unittest.TestCase):
    def test_one_history_also_in_a_process_with_another_hash_seed(self) -> None:
        text = str(Draw(3, [v.number for v in SITE.volume], [t.name for t in SITE.tenant]).script())
        digests = {play(SITE, read_script(text)).digest}
        code = (
            "import sys; from tests.test_simulation import *; "
            "print(play(SITE, read_script(sys.stdin.read())).digest)"
        )
        for seed in ("1", "77"):
            done = subprocess.run(
                [sys.executable, "-c", code],
                input=text,
                capture_output=True,
                text=True,
                check=True,
                env={**os.environ, "PYTHONHASHSEED": seed},
            )
            digests.add(done.stdout.strip())
        self.assertEqual(1, len(digests))

    def test_another_seed_is_another_history(self) -> None:
        self.assertNotEqual(
            play(SITE, read_script("seed 1\nseconds 3\n")).digest,
            play(SITE, read_script("seed 2\nseconds 3\n")).digest,
        )


class Many(unittest.TestCase):
    def test_drawn_worlds_keep_every_rule(self) -> None:
        failed = [(p.seed, p.reasons, p.first) for p in play_many(SITE, range(200)) if p.reasons]
        self.assertEqual([], failed)

    def test_what_was_found_once_stays_mended(self) -> None:
        corpus = sorted((Path(__file__).parent / "corpus").glob("*.txt"))
        self.assertGreater(len(corpus), 3)
        for path in corpus:
            with self.subTest(world=path.name):
                self.assertEqual([], play(SITE, read_script(path.read_text())).reasons)


class Shrinking(unittest.TestCase):
    def test_a_failing_world_is_cut_down_to_what_matters(self) -> None:
        """A head deaf to drains, among faults that have nothing to do with it: the drain is what is left."""
        text = "seed 5\nseconds 9\n1 still shelf-0 for 1\n2 drain shelf-1 for 4\n3 slow shelf-4 by 3 for 2\n"
        small = shrink(SITE, read_script(text), "list: drains are not heard", lambda line: None)
        self.assertEqual(["drain"], [act.kind for act in small.acts])
        self.assertEqual(1, len(small.volumes))

    def test_a_world_without_a_fault_can_not_be_cut_down(self) -> None:
        with self.assertRaises(ValueError):
            shrink(SITE, read_script("seed 5\nseconds 3\n"), "", lambda line: None)


class Language(unittest.TestCase):
    def test_what_is_written_is_read_again(self) -> None:
        for seed in range(50):
            drawn = Draw(seed, [1, 2], ["archive"]).script()
            self.assertEqual(str(drawn), str(read_script(str(drawn))))

    def test_each_bad_line_is_named(self) -> None:
        with self.assertRaises(InvalidScriptError) as caught:
            read_script(
                "seed 1\nseed -2\n1 kill head-0\n2 kill room-1 for 2\n3 cut head-0 shelf-1 for 1\n"
                "x kill head-0 for 1\n4 slow shelf-0 by 2 for 3 more\n"
            )
        lines = [int(fault.split(":")[0].split()[1]) for fault in caught.exception.faults]
        self.assertEqual([2, 3, 4, 5, 6, 7], lines)
        with self.assertRaises(InvalidScriptError) as caught:
            read_script("heads 1\n1 kill head-1 for 1\n")
        self.assertIn("there is no head 1", caught.exception.faults[0])

    def test_what_the_site_lacks_is_named(self) -> None:
        text = (
            "volumes 1 99\n1 surge volume-77 by 2 for 1\n1 cut room-9 -> list for 1\n"
            "1 cut head-0 -> client-x for 1"
        )
        self.assertEqual(4, len(unsupported_acts(SITE, read_script(text))))
        self.assertEqual(
            [], unsupported_acts(SITE, read_script("volumes 1 2\n1 cut room-1 -> client-archive for 1"))
        )


class HardCases(unittest.TestCase):
    """Each by a script; the witness judges, and the test says what else must be seen."""

    def kept(self, text: str) -> SiteSimulation:
        world = SiteSimulation(SITE, read_script(script(text)))
        outcome = world.play()
        self.assertEqual(([], []), ([str(b) for b in outcome.verdict.breaks], outcome.defects))
        return world

    def times(self, world: SiteSimulation, event: str, **facts: Any) -> list[float]:
        """When it was seen, in the script's seconds."""
        return [
            r["t"] - world.traffic_start
            for r in world.records
            if r["e"] == event and all(r.get(k) == v for k, v in facts.items())
        ]

    def test_a_drain_whose_news_is_lost_just_then(self) -> None:
        world = self.kept(
            "2 drain shelf-1 for 4\n2.01 reset head-0 -> list\n2.02 reset head-1 -> list\n"
            "2.03 reset head-2 -> list"
        )
        for head in range(3):
            told = self.times(world, "told", head=head, shelf=1, state="draining")
            self.assertGreater(told[0], 2.03, "by the connection made anew")

    def test_a_shelf_that_slows_then_dies_with_what_it_took(self) -> None:
        world = self.kept("factor 2\n3.6 slow shelf-0 by 60 for 3\n4 kill shelf-0 for 1")
        ended = {(r["label"], r["attempt"]) for r in world.records if r["e"] == "ended"}
        posts = {(r["label"], r["attempt"]) for r in world.records if r["e"] == "sent" and r["profile"] == 2}
        died = [
            r
            for r in world.records
            if r["e"] == "arrived" and r["shelf"] == 0 and (r["label"], r["attempt"]) in posts - ended
        ]
        self.assertTrue(died, "an irreversible transaction died with the shelf")
        hows = {
            r["how"]
            for r in world.records
            if r["e"] == "answer" and (r["label"], r["attempt"]) in {(d["label"], d["attempt"]) for d in died}
        }
        self.assertEqual({"given up"}, hows)

    def test_answers_lost_one_way(self) -> None:
        world = self.kept("2 cut shelf-0 -> head-0 for 3")
        sent = {
            (r["label"], r["attempt"])
            for r in world.records
            if r["e"] == "arrived"
            and r["shelf"] == 0
            and r["head"] == 0
            and 2.0 < r["t"] - world.traffic_start < 3.0
        }
        hows = {r["how"] for r in world.records if r["e"] == "answer" and (r["label"], r["attempt"]) in sent}
        self.assertIn("given up", hows, "what the shelf did, the head could not know")

    def test_a_head_that_stands_still(self) -> None:
        world = self.kept("3 pause head-1 for 3")
        arrived = self.times(world, "arrived", head=1)
        self.assertEqual([], [at for at in arrived if 3.01 < at < 6.0])
        self.assertTrue([at for at in arrived if at > 6.0])

    def test_a_head_killed_with_an_answer_in_hand(self) -> None:
        world = self.kept("2 stab head-0 -> point-ended by 9 for 1")
        self.assertEqual(1, len(self.times(world, "head killed")))
        answered = {
            (r["label"], r["attempt"]) for r in world.records if r["e"] == "answer" and r["how"] == "honoured"
        }
        killed = self.times(world, "head killed")[0]
        unheard = [
            r
            for r in world.records
            if r["e"] == "ended"
            and r["how"] == "honoured"
            and r["head"] == 0
            and killed - 0.01 < r["t"] - world.traffic_start <= killed
            and (r["label"], r["attempt"]) not in answered
        ]
        self.assertTrue(unheard, "the shelf had honoured it, and the client never heard")

    def test_a_repeat_that_overtakes_the_end_of_the_first_try(self) -> None:
        world = self.kept(
            "".join(f"2.5 slow shelf-{n} by 60 for 3\n" for n in range(6))
            + "".join(f"3 reset client-{t.name} -> head-{n}\n" for t in SITE.tenant for n in range(3))
        )
        ends = {(r["label"], r["attempt"]): r["t"] for r in world.records if r["e"] == "ended"}
        overtaken = [
            r["label"]
            for r in world.records
            if r["e"] == "arrived" and r["attempt"] == 1 and r["t"] < ends.get((r["label"], 0), 0.0)
        ]
        self.assertTrue(overtaken)

    def test_two_starts_within_a_cold_ramp(self) -> None:
        world = self.kept("2 kill shelf-2 for 0.3\n3 kill shelf-2 for 0.3")
        ups = self.times(world, "up", shelf=2, warm=False)
        self.assertEqual(2, len(ups))
        self.assertLess(ups[1] - ups[0], SITE.rules.cold.warm_after)
        self.assertTrue([at for at in self.times(world, "arrived", shelf=2) if at > ups[1]])

    def test_a_room_cut_off(self) -> None:
        world = self.kept("2 cut room-0 <-> room-1 for 3\n2 cut room-0 <-> list for 3")
        crossed = [r for r in world.records if r["e"] == "arrived" and r["head"] % 2 != r["shelf"] % 2]
        self.assertEqual([], [r for r in crossed if 2.01 < r["t"] - world.traffic_start < 5.0])
        self.assertTrue([r for r in crossed if r["t"] - world.traffic_start > 5.0])

    def test_a_wall_clock_that_jumps_back_and_on(self) -> None:
        """The accounts' windows bear the wall's time: none is lost or overwritten, all add up."""
        world = self.kept("2 wall head-0 by -30\n4 wall head-0 by 60\n5 wall head-1 by -0.5")
        counted = 0
        for name in world.day.list_files(LATENCY_FOLDER):
            counted += sum(
                row.lives
                for row in decode(
                    world.day.load(f"{LATENCY_FOLDER}/{name}") or b"", world.site.name
                ).all_rows()
            )
        closed = sum(h.driver.counts["requests"] for h in world.gateways.values())
        still_open = sum(
            row.lives
            for h in world.gateways.values()
            if h.book
            for row in h.book.accounts.close_window(h.transport.now()).all_rows()
        )
        self.assertEqual(closed, counted + still_open)

    def test_a_list_that_comes_back_knowing_nobody(self) -> None:
        world = self.kept("2 kill list for 1\n2.5 kill shelf-1 for 2\n6 drain shelf-2 for 2")
        self.assertEqual(1, len(self.times(world, "list back")))
        self.assertTrue([at for at in self.times(world, "arrived", shelf=1) if at > 5.0])

    def test_list_and_peers_disagree(self) -> None:
        """Peers' old word against a newer one of the list: the list's holds, and the shelf is used again."""
        world = self.kept("2 drain shelf-1 for 1.5\n2.5 late list by 2 for 3\n3 cut list -> head-2 for 3")
        self.assertTrue([at for at in self.times(world, "arrived", shelf=1) if at > 8.0])


class Blind(unittest.TestCase):
    def test_an_exception_in_a_callback_is_a_defect(self) -> None:
        def change(head: Head) -> None:
            head.transport.call_at(head.transport.now() + 3.0, lambda: [].pop())

        self.assertIn("raised", play(SITE, read_script("seed 1\nseconds 3\n"), change).reasons)
