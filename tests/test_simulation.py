"""Simulations of whole sites: mutants are detected, unmodified gateways pass, a seed has one result."""

import os
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

from gorsethread.latency_attribution.snapshots import decode
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.simulation.rule_mutants import break_rule
from gorsethread.simulation.runs import play_many, shrink
from gorsethread.simulation.script import InvalidScriptError, read_script
from gorsethread.simulation.script_generator import ScriptGenerator
from gorsethread.simulation.site_simulation import (
    LATENCY_FOLDER,
    Outcome,
    SiteSimulation,
    mismatched_acts,
    play,
)
from gorsethread.site_config.reading import read_site

SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
# By rule: the acts of a script in which its mutant is detected.
ACTS_BY_RULE = {
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


class RuleMutants(unittest.TestCase):
    def test_checkers_detect_the_mutant_of_each_rule(self) -> None:
        for rule, text in ACTS_BY_RULE.items():
            with self.subTest(rule=rule):
                outcome = play(
                    SITE, read_script(script(text)), lambda gateway, rule=rule: break_rule(gateway, rule)
                )
                self.assertGreater(outcome.verdict.rules[rule - 1], 0)
                times = [at for at, broken in outcome.online_breaks if broken.rule == rule]
                self.assertTrue(times, "the online checker did not detect it")
                self.assertLess(times[0], outcome.records[-1]["t"])

    def test_unmodified_gateways_break_no_rule_in_the_same_scripts(self) -> None:
        for rule, text in ACTS_BY_RULE.items():
            with self.subTest(rule=rule):
                self.assert_no_break(play(SITE, read_script(script(text))))

    def assert_no_break(self, outcome: Outcome) -> None:
        self.assertEqual(
            ([], [], []),
            ([str(b) for b in outcome.verdict.violations], outcome.online_breaks, outcome.defects),
        )
        self.assertGreater(outcome.verdict.counts["honoured"], 300)


class Reproducibility(unittest.TestCase):
    def test_digest_is_the_same_in_processes_with_other_hash_seeds(self) -> None:
        text = str(
            ScriptGenerator(3, [v.number for v in SITE.volume], [t.name for t in SITE.tenant]).generate()
        )
        digests = {play(SITE, read_script(text)).digest}
        code = (
            "import sys; from tests.test_simulation import *; "
            "print(play(SITE, read_script(sys.stdin.read())).digest)"
        )
        for seed in ("1", "77"):
            completed = subprocess.run(
                [sys.executable, "-c", code],
                input=text,
                capture_output=True,
                text=True,
                check=True,
                env={**os.environ, "PYTHONHASHSEED": seed},
            )
            digests.add(completed.stdout.strip())
        self.assertEqual(1, len(digests))

    def test_another_seed_has_another_digest(self) -> None:
        self.assertNotEqual(
            play(SITE, read_script("seed 1\nseconds 3\n")).digest,
            play(SITE, read_script("seed 2\nseconds 3\n")).digest,
        )


class GeneratedScripts(unittest.TestCase):
    def test_generated_scripts_break_no_rule(self) -> None:
        failed = [(p.seed, p.reasons, p.first) for p in play_many(SITE, range(200)) if p.reasons]
        self.assertEqual([], failed)

    def test_scripts_that_once_failed_pass(self) -> None:
        corpus = sorted((Path(__file__).parent / "corpus").glob("*.txt"))
        self.assertGreater(len(corpus), 3)
        for path in corpus:
            with self.subTest(script=path.name):
                self.assertEqual([], play(SITE, read_script(path.read_text())).reasons)


class Shrinking(unittest.TestCase):
    def test_shrinking_leaves_only_the_acts_and_volumes_that_matter(self) -> None:
        """The gateways ignore drains; of three faults only the drain shows that, so it alone is left."""
        text = "seed 5\nseconds 9\n1 still shelf-0 for 1\n2 drain shelf-1 for 4\n3 slow shelf-4 by 3 for 2\n"
        small = shrink(SITE, read_script(text), "list: drains are not heard", lambda line: None)
        self.assertEqual(["drain"], [act.kind for act in small.acts])
        self.assertEqual(1, len(small.volumes))

    def test_a_script_that_does_not_fail_can_not_be_shrunk(self) -> None:
        with self.assertRaises(ValueError):
            shrink(SITE, read_script("seed 5\nseconds 3\n"), "", lambda line: None)


class ScriptFormat(unittest.TestCase):
    def test_a_written_script_is_read_back_unchanged(self) -> None:
        for seed in range(50):
            generated = ScriptGenerator(seed, [1, 2], ["archive"]).generate()
            self.assertEqual(str(generated), str(read_script(str(generated))))

    def test_each_invalid_line_is_reported(self) -> None:
        with self.assertRaises(InvalidScriptError) as caught:
            read_script(
                "seed 1\nseed -2\n1 kill head-0\n2 kill room-1 for 2\n3 cut head-0 shelf-1 for 1\n"
                "x kill head-0 for 1\n4 slow shelf-0 by 2 for 3 more\n"
            )
        lines = [int(error.split(":")[0].split()[1]) for error in caught.exception.faults]
        self.assertEqual([2, 3, 4, 5, 6, 7], lines)
        with self.assertRaises(InvalidScriptError) as caught:
            read_script("heads 1\n1 kill head-1 for 1\n")
        self.assertIn("there is no head 1", caught.exception.faults[0])

    def test_names_that_the_site_lacks_are_reported(self) -> None:
        text = (
            "volumes 1 99\n1 surge volume-77 by 2 for 1\n1 cut room-9 -> list for 1\n"
            "1 cut head-0 -> client-x for 1"
        )
        self.assertEqual(4, len(mismatched_acts(SITE, read_script(text))))
        self.assertEqual(
            [], mismatched_acts(SITE, read_script("volumes 1 2\n1 cut room-1 -> client-archive for 1"))
        )


class HardCases(unittest.TestCase):
    """One script for each case: no rule may break, and each test checks what else must happen."""

    def simulate(self, text: str) -> SiteSimulation:
        simulation = SiteSimulation(SITE, read_script(script(text)))
        outcome = simulation.play()
        self.assertEqual(([], []), ([str(b) for b in outcome.verdict.violations], outcome.defects))
        return simulation

    def event_times(self, simulation: SiteSimulation, event: str, **fields: Any) -> list[float]:
        """Returns when an event with these fields was recorded, in seconds of the script."""
        return [
            r["t"] - simulation.traffic_start
            for r in simulation.records
            if r["e"] == event and all(r.get(k) == v for k, v in fields.items())
        ]

    def test_gateways_learn_of_a_drain_whose_notification_was_lost(self) -> None:
        simulation = self.simulate(
            "2 drain shelf-1 for 4\n2.01 reset head-0 -> list\n2.02 reset head-1 -> list\n"
            "2.03 reset head-2 -> list"
        )
        for gateway in range(3):
            drained = self.event_times(simulation, "told", head=gateway, shelf=1, state="draining")
            self.assertGreater(drained[0], 2.03, "a gateway knew it before it had reconnected to the list")

    def test_a_backend_slows_down_and_dies_with_non_idempotent_requests(self) -> None:
        simulation = self.simulate("factor 2\n3.6 slow shelf-0 by 60 for 3\n4 kill shelf-0 for 1")
        ended = {(r["label"], r["attempt"]) for r in simulation.records if r["e"] == "ended"}
        non_idempotent = {
            (r["label"], r["attempt"]) for r in simulation.records if r["e"] == "sent" and r["profile"] == 2
        }
        lost = [
            r
            for r in simulation.records
            if r["e"] == "arrived"
            and r["shelf"] == 0
            and (r["label"], r["attempt"]) in non_idempotent - ended
        ]
        self.assertTrue(lost, "no non-idempotent request was lost with the backend")
        outcomes = {
            r["how"]
            for r in simulation.records
            if r["e"] == "answer" and (r["label"], r["attempt"]) in {(d["label"], d["attempt"]) for d in lost}
        }
        self.assertEqual({"given up"}, outcomes)

    def test_requests_fail_while_responses_are_lost(self) -> None:
        simulation = self.simulate("2 cut shelf-0 -> head-0 for 3")
        sent = {
            (r["label"], r["attempt"])
            for r in simulation.records
            if r["e"] == "arrived"
            and r["shelf"] == 0
            and r["head"] == 0
            and 2.0 < r["t"] - simulation.traffic_start < 3.0
        }
        outcomes = {
            r["how"] for r in simulation.records if r["e"] == "answer" and (r["label"], r["attempt"]) in sent
        }
        self.assertIn("given up", outcomes, "no request failed, though the responses were lost")

    def test_a_paused_gateway_sends_nothing_until_it_resumes(self) -> None:
        simulation = self.simulate("3 pause head-1 for 3")
        arrived = self.event_times(simulation, "arrived", head=1)
        self.assertEqual([], [at for at in arrived if 3.01 < at < 6.0])
        self.assertTrue([at for at in arrived if at > 6.0])

    def test_a_gateway_killed_before_it_passes_on_a_response(self) -> None:
        simulation = self.simulate("2 stab head-0 -> point-ended by 9 for 1")
        self.assertEqual(1, len(self.event_times(simulation, "head killed")))
        answered = {
            (r["label"], r["attempt"])
            for r in simulation.records
            if r["e"] == "answer" and r["how"] == "honoured"
        }
        killed = self.event_times(simulation, "head killed")[0]
        unanswered = [
            r
            for r in simulation.records
            if r["e"] == "ended"
            and r["how"] == "honoured"
            and r["head"] == 0
            and killed - 0.01 < r["t"] - simulation.traffic_start <= killed
            and (r["label"], r["attempt"]) not in answered
        ]
        self.assertTrue(unanswered, "every response of the backend had reached its client")

    def test_a_resent_request_overtakes_the_end_of_the_first_attempt(self) -> None:
        simulation = self.simulate(
            "".join(f"2.5 slow shelf-{n} by 60 for 3\n" for n in range(6))
            + "".join(f"3 reset client-{t.name} -> head-{n}\n" for t in SITE.tenant for n in range(3))
        )
        end_times = {(r["label"], r["attempt"]): r["t"] for r in simulation.records if r["e"] == "ended"}
        overtaken = [
            r["label"]
            for r in simulation.records
            if r["e"] == "arrived" and r["attempt"] == 1 and r["t"] < end_times.get((r["label"], 0), 0.0)
        ]
        self.assertTrue(overtaken)

    def test_a_backend_restarts_twice_within_its_slow_start(self) -> None:
        simulation = self.simulate("2 kill shelf-2 for 0.3\n3 kill shelf-2 for 0.3")
        starts = self.event_times(simulation, "up", shelf=2, warm=False)
        self.assertEqual(2, len(starts))
        self.assertLess(starts[1] - starts[0], SITE.rules.cold.warm_after)
        self.assertTrue([at for at in self.event_times(simulation, "arrived", shelf=2) if at > starts[1]])

    def test_a_zone_is_cut_off(self) -> None:
        simulation = self.simulate("2 cut room-0 <-> room-1 for 3\n2 cut room-0 <-> list for 3")
        crossed = [r for r in simulation.records if r["e"] == "arrived" and r["head"] % 2 != r["shelf"] % 2]
        self.assertEqual([], [r for r in crossed if 2.01 < r["t"] - simulation.traffic_start < 5.0])
        self.assertTrue([r for r in crossed if r["t"] - simulation.traffic_start > 5.0])

    def test_accounting_windows_survive_wall_clock_jumps(self) -> None:
        """Windows are named after the wall clock; none is lost or overwritten, and their counts add up."""
        simulation = self.simulate("2 wall head-0 by -30\n4 wall head-0 by 60\n5 wall head-1 by -0.5")
        counted = 0
        for name in simulation.day.list_files(LATENCY_FOLDER):
            counted += sum(
                row.requests
                for row in decode(
                    simulation.day.load(f"{LATENCY_FOLDER}/{name}") or b"", simulation.site.name
                ).all_rows()
            )
        closed = sum(h.driver.counts["requests"] for h in simulation.gateways.values())
        still_open = sum(
            row.requests
            for h in simulation.gateways.values()
            if h.accounting
            for row in h.accounting.accounts.close_window(h.transport.now()).all_rows()
        )
        self.assertEqual(closed, counted + still_open)

    def test_the_endpoint_list_restarts_empty(self) -> None:
        simulation = self.simulate("2 kill list for 1\n2.5 kill shelf-1 for 2\n6 drain shelf-2 for 2")
        self.assertEqual(1, len(self.event_times(simulation, "list back")))
        self.assertTrue([at for at in self.event_times(simulation, "arrived", shelf=1) if at > 5.0])

    def test_a_newer_endpoint_list_overrides_the_news_of_peers(self) -> None:
        """Peers still call a backend draining when the list calls it ready: the backend is used again."""
        simulation = self.simulate(
            "2 drain shelf-1 for 1.5\n2.5 late list by 2 for 3\n3 cut list -> head-2 for 3"
        )
        self.assertTrue([at for at in self.event_times(simulation, "arrived", shelf=1) if at > 8.0])


class UnhandledExceptions(unittest.TestCase):
    def test_an_exception_in_a_callback_is_reported(self) -> None:
        def change(gateway: NvmeGateway) -> None:
            gateway.transport.call_at(gateway.transport.now() + 3.0, lambda: [].pop())

        self.assertIn("raised", play(SITE, read_script("seed 1\nseconds 3\n"), change).reasons)
