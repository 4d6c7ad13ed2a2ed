"""Whole sites on the virtual clock: planted breaks are caught, good heads are not accused, one seed is one
history."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

from gorsethread.faults.draw import Draw
from gorsethread.faults.runs import play_many, shrink
from gorsethread.faults.script import BadScript, read_script
from gorsethread.faults.world import Outcome, World, play
from gorsethread.head.program import Head
from gorsethread.lab.planted import plant
from gorsethread.sitefile.reading import read_site

SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
# Rule: what must happen for its planted break to show.
SHOWING = {
    1: "", 2: "", 3: "2 drain shelf-1 for 6", 4: "2 kill shelf-0 for 0.5\n4 kill shelf-2 for 0.5",
    5: "factor 2", 6: "2 errors shelf-1 by 0.5 for 4",
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
                moments = [at for at, broken in outcome.as_it_came if broken.rule == rule]
                self.assertTrue(moments, "the judge of each step saw it too")
                self.assertLess(moments[0], outcome.records[-1]["t"])

    def test_the_honest_head_keeps_every_rule_on_the_same_days(self) -> None:
        for rule, text in SHOWING.items():
            with self.subTest(rule=rule):
                self.good(play(SITE, read_script(script(text))))

    def good(self, outcome: Outcome) -> None:
        self.assertEqual(([], [], []), ([str(b) for b in outcome.verdict.breaks], outcome.as_it_came,
                                        outcome.defects))
        self.assertGreater(outcome.verdict.counts["honoured"], 300)


class OneSeed(unittest.TestCase):
    def test_one_history_also_in_a_process_with_another_hash_seed(self) -> None:
        text = str(Draw(3, [v.number for v in SITE.volume], [t.name for t in SITE.tenant]).script())
        digests = {play(SITE, read_script(text)).digest}
        code = ("import sys; from tests.test_faults import *; "
                "print(play(SITE, read_script(sys.stdin.read())).digest)")
        for seed in ("1", "77"):
            done = subprocess.run([sys.executable, "-c", code], input=text, capture_output=True, text=True,
                                  check=True, env={**os.environ, "PYTHONHASHSEED": seed})
            digests.add(done.stdout.strip())
        self.assertEqual(1, len(digests))

    def test_another_seed_is_another_history(self) -> None:
        self.assertNotEqual(play(SITE, read_script("seed 1\nseconds 3\n")).digest,
                            play(SITE, read_script("seed 2\nseconds 3\n")).digest)


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
        with self.assertRaises(BadScript) as caught:
            read_script("seed 1\nseed -2\n1 kill head-0\n2 kill room-1 for 2\n3 cut head-0 shelf-1 for 1\n"
                        "x kill head-0 for 1\n4 slow shelf-0 by 2 for 3 more\n")
        lines = [int(fault.split(":")[0].split()[1]) for fault in caught.exception.faults]
        self.assertEqual([2, 3, 4, 5, 6, 7], lines)
        with self.assertRaises(BadScript) as caught:
            read_script("heads 1\n1 kill head-1 for 1\n")
        self.assertIn("there is no head 1", caught.exception.faults[0])


class HardCases(unittest.TestCase):
    """Each by a script; the witness judges, and the test says what else must be seen."""

    def kept(self, text: str) -> World:
        world = World(SITE, read_script(script(text)))
        outcome = world.play()
        self.assertEqual(([], []), ([str(b) for b in outcome.verdict.breaks], outcome.defects))
        return world

    def test_a_drain_whose_news_is_lost_just_then(self) -> None:
        self.kept("2 drain shelf-1 for 4\n2.3 reset head-0 -> list\n2.35 reset head-1 -> list")

    def test_a_shelf_that_slows_then_dies_with_what_it_took(self) -> None:
        self.kept("1 slow shelf-0 by 12 for 4\n4 kill shelf-0 for 1")

    def test_answers_lost_one_way(self) -> None:
        self.kept("2 cut shelf-0 -> head-0 for 3")

    def test_a_head_that_stands_still(self) -> None:
        self.kept("3 pause head-1 for 3")

    def test_a_head_killed_with_an_answer_in_hand(self) -> None:
        world = self.kept("2 crash head-0 -> shelf-1 by 9 for 1")
        self.assertEqual(1, sum(r["e"] == "head killed" for r in world.records))

    def test_two_starts_within_a_cold_ramp(self) -> None:
        self.kept("2 kill shelf-2 for 0.3\n3 kill shelf-2 for 0.3")

    def test_a_room_cut_off(self) -> None:
        self.kept("2 cut room-0 <-> room-1 for 3\n2 cut room-0 <-> list for 3")


class Blind(unittest.TestCase):
    def test_an_exception_in_a_callback_is_a_defect(self) -> None:
        def change(head: Head) -> None:
            head.transport.at(head.transport.now() + 3.0, lambda: [].pop())

        self.assertIn("raised", play(SITE, read_script("seed 1\nseconds 3\n"), change).reasons)
