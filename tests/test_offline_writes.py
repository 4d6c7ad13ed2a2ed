"""Tests offline writes of a branch in simulations with faults and mutants, and with real processes."""

import asyncio
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
from typer.testing import CliRunner

from gorsethread.cli.main import app
from gorsethread.durable_log.replication_messages import encode
from gorsethread.harness.branches import SUPPORTED_ACTS, BranchTrial, Result
from gorsethread.harness.dependent_writes import (
    NO_PAIR,
    AcceptedWrite,
    DependentPair,
    DependentWritesTrial,
    find_pair,
)
from gorsethread.harness.process_faults import unsupported_acts
from gorsethread.harness.processes import Processes
from gorsethread.harness.site import SUPPORTED_PARTIES
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.offline_writes import applied_writes
from gorsethread.offline_writes import messages as offline_messages
from gorsethread.offline_writes.messages import OperatorQuery
from gorsethread.simulation.branch_mutants import BRANCH_MUTANTS
from gorsethread.simulation.branch_simulation import BranchSimulation
from gorsethread.simulation.runs import generate_script, play, play_many
from gorsethread.simulation.script import read_script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import SiteFileError, parse_site, read_site
from gorsethread.transport.base import StreamClosed
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import VirtualTransport

PATH = Path(__file__).parent.parent / "deploy" / "branch.txtpb"
SITE = read_site(PATH)
# The link is cut long enough for more writes than a test lets the main site track.
LONG_REPLAY = """seed 3
heads 5
shelves 6
seconds 20
factor 2.5
1 link head-3 by 0 for 8
1 link head-4 by 0 for 8
"""
# Gateways of the main site crash when a backend answers them, soon after the replay starts.
CRASHES_DURING_REPLAY = """seed 3
heads 5
shelves 6
seconds 16
factor 2.5
1 link head-3 by 0 for 4
1 link head-4 by 0 for 4
7.1 crash head-0 -> shelf-0 by 3 for 0.5
7.1 crash head-1 -> shelf-2 by 4 for 0.5
7.1 crash head-2 -> shelf-1 by 3 for 0.5
"""
# Answers of the main site don't come through during the replay, so that writes in effect are queried.
ANSWERS_CUT_DURING_REPLAY = """seed 3
heads 5
shelves 6
seconds 16
factor 2.5
1 link head-3 by 0 for 4
1 link head-4 by 0 for 4
7.4 link head-3 by 2 for 3.5
7.4 link head-4 by 2 for 3.5
"""
# For each mutant a script, or the seed of one, whose simulation detects it.
DETECTING_SCRIPTS: dict[str, int | str] = {
    "branch: accepted before it is on a disk": 0,
    "branch: accepted before the other head has it": 3,
    "branch: replayed in order of acceptance alone": 0,
    "branch: the queue goes with its process": 6,
    "branch: what is given up stays on the disks": 1,
    "branch: reads do not see what is queued": CRASHES_DURING_REPLAY,
    "branch: live writes overtake what is queued": 3,
    "branch: once cut off, always cut off": 0,
    "branch: what the other head took is no cause": 0,
    "branch: what the other head has queued is taken for over": 0,
    "branch: a client that comes again is not known": 0,
    "branch: the mark is past what waits": 3,
    "branch: copies come on any stream": 238,
    "main site: what is in effect is not known": ANSWERS_CUT_DURING_REPLAY,
    "main site: what was begun is not known after a restart": CRASHES_DURING_REPLAY,
    "main site: told as in effect as it comes": 0,
}
REGRESSION_SEEDS = (35, 41, 114, 172, 210, 277)  # failed once, by causes that occur rarely
SCRIPT_START = "seed 8\nheads 5\nshelves 6\nseconds 16\n"
DEAD_STANDBY = (
    "seed 8\nheads 5\nshelves 6\nseconds 34\n1 link head-3 by 0 for 4\n1 link head-4 by 0 for 4\n"
    "4.5 kill head-3 for 24\n"
)
# The link is lost. A branch gateway dies meanwhile, and one of the main site during the replay. Later the
# link is lost again and a branch gateway loses its disk.
REAL_PROCESSES = """
seed 9
heads 5
shelves 6
seconds 30
2 link head-3 by 0 for 5
2 link head-4 by 0 for 5
5.5 kill head-3 for 1
9.2 kill head-1 for 0.5
14 link head-3 by 1 for 5
14 link head-4 by 1 for 5
17.5 wipe head-4 for 1.5
"""


def site_with_ten_branches() -> pb.Site:
    """Returns the same main site with ten branches of one gateway, each with its own tenant and volume."""
    site = pb.Site()
    site.CopyFrom(SITE)
    template = next(volume for volume in site.volume if 3 in volume.head)
    del site.branch[:], site.head[3:]
    for gateway in range(3, 13):
        name = f"quay {gateway}"
        site.head.add(
            number=gateway,
            address=f"127.0.0.1:{4420 + gateway}",
            peers=f"127.0.0.1:{4520 + gateway}",
            zone=gateway,
        )
        site.branch.add(name=name, head=[gateway], queue_bytes=1 << 24, queue_writes=2000, queue_age=86400)
        site.tenant.add(name=name, host=[f"nqn.2026-12.org.gorsethread:host:quay-{gateway}"])
        volume = site.volume.add()
        volume.CopyFrom(template)
        volume.number, volume.name, volume.tenant, volume.plan = 20 + gateway, f"quay-{gateway}", name, "or"
        volume.head[:] = [gateway % 3, (gateway + 1) % 3, gateway]
    for volume in [volume for volume in site.volume if volume.number in (8, 9)]:
        site.volume.remove(volume)
    return site


class Simulations(unittest.TestCase):
    def test_random_faults_lose_duplicate_and_reorder_no_write(self) -> None:
        outcomes = play_many(SITE, [*range(24), *REGRESSION_SEEDS])
        failed = [(outcome.seed, outcome.reasons, outcome.first) for outcome in outcomes if outcome.reasons]
        self.assertEqual([], failed)

    def test_each_mutant_is_detected(self) -> None:
        self.assertEqual(set(BRANCH_MUTANTS), set(DETECTING_SCRIPTS))
        for mutant, source in DETECTING_SCRIPTS.items():
            with self.subTest(mutant):
                script = read_script(source) if isinstance(source, str) else generate_script(SITE, source)
                self.assertFalse(play(SITE, script, mutant).good)
        for script in (CRASHES_DURING_REPLAY, ANSWERS_CUT_DURING_REPLAY):
            self.assertTrue(play(SITE, read_script(script)).good)

    def test_a_gateway_replays_for_its_dead_standby_until_that_is_alive_again(self) -> None:
        simulation = BranchSimulation(SITE, read_script(DEAD_STANDBY))
        outcome = simulation.play()
        self.assertEqual(([], []), (outcome.reasons, outcome.defects))
        history = simulation.gateways[4].branch.history
        events = [change["what"] for change in history if change["number"] is None]
        self.assertIn("stands in", events)
        self.assertIn("gives back", events[events.index("stands in") :])
        applied_for_standby = [
            change for change in history if change["what"] == "in effect" and change["number"][0] == 3
        ]
        self.assertGreater(len(applied_for_standby), 2)

    def test_more_writes_than_the_main_site_tracks_are_replayed_on_one_stream(self) -> None:
        # Guards against a branch that reports its progress only as a stream opens, and is refused for good.
        most_tracked = 4
        with mock.patch.object(applied_writes, "MAX_TRACKED", most_tracked - SITE.branch[0].queue_writes):
            simulation = BranchSimulation(SITE, read_script(LONG_REPLAY))
            outcome = simulation.play()
        self.assertEqual(([], []), (outcome.reasons, outcome.defects))
        branches = [gateway.branch for gateway in simulation.gateways.values() if gateway.branch is not None]
        main_site_gateways = len(SITE.head) - len(branches)
        for branch in branches:
            self.assertGreater(branch.counts["replayed"], 2 * most_tracked * main_site_gateways)

    def test_ten_branches_reconnecting_at_once_leave_the_main_sites_clients_served(self) -> None:
        links = "".join(f"6 link head-{gateway} by 0 for 8\n" for gateway in range(3, 13))
        simulation = BranchSimulation(
            site_with_ten_branches(),
            read_script(f"seed 3\nheads 13\nshelves 6\nseconds 24\nfactor 2\n{links}"),
        )
        outcome = simulation.play()
        self.assertEqual(([], []), (outcome.reasons, outcome.defects))
        self.assertGreater(len(simulation.accepted.replayed), 500)
        sent = {
            (record["label"], record["attempt"]): record
            for record in outcome.records
            if record["e"] == "sent"
        }
        replay_times = [
            record["t"]
            for record in outcome.records
            if record["e"] == "ran" and record["label"] in simulation.accepted.replayed
        ]

        def success_ratio(start: float, end: float) -> float:
            """Returns the fraction of successes among requests sent to the main site in a period."""
            answers = [
                record["how"]
                for record in outcome.records
                if record["e"] == "answer"
                and (request := sent[record["label"], record["attempt"]])["head"] < 3
                and start <= request["t"] < end
            ]
            return answers.count("honoured") / len(answers)

        before_disconnect = success_ratio(simulation.traffic_start + 1, simulation.traffic_start + 6)
        self.assertGreater(success_ratio(min(replay_times), max(replay_times)), 0.95 * before_disconnect)

    def test_no_write_is_queued_unless_the_site_file_allows_it(self) -> None:
        site = type(SITE)()
        site.CopyFrom(SITE)
        for profile in site.profile:
            profile.held_when_cut_off, profile.when_changed = False, 0
        simulation = BranchSimulation(
            site, read_script(SCRIPT_START + "2 link head-3 by 0 for 4\n2 link head-4 by 0 for 4\n")
        )
        outcome = simulation.play()
        self.assertEqual(([], 0), (outcome.reasons, len(simulation.accepted.labels)))

    def test_a_gateway_without_its_standby_accepts_no_write(self) -> None:
        """The gateway cannot replicate writes while its standby is unreachable, so it rejects them."""
        simulation = BranchSimulation(
            SITE,
            read_script(
                SCRIPT_START + "2 link head-3 by 0 for 6\n2 link head-4 by 0 for 6\n"
                "1.5 cut head-3 <-> head-4 for 10\n"
            ),
        )
        outcome = simulation.play()
        accepted_early = [
            record
            for record in outcome.records
            if record["e"] == "accepted" and record["t"] < simulation.traffic_start + 11.5
        ]
        self.assertEqual(([], []), (outcome.reasons, accepted_early))
        self.assertGreater(simulation.gateways[3].branch.counts["refused: records"], 0)

    def test_a_full_queue_refuses_low_weights_first_and_drops_nothing(self) -> None:
        site = type(SITE)()
        site.CopyFrom(SITE)
        site.branch[0].queue_writes = 6
        simulation = BranchSimulation(
            site, read_script(SCRIPT_START + "2 link head-3 by 0 for 6\n2 link head-4 by 0 for 6\n")
        )
        outcome = simulation.play()
        self.assertEqual([], outcome.reasons)
        counts = simulation.gateways[3].branch.counts
        self.assertGreater(counts["refused: room is kept for dearer writes"], 0)
        self.assertLessEqual(counts["accepted"], 12)


class InvalidMessages(unittest.TestCase):
    def test_invalid_messages_end_their_own_stream_and_harm_nothing_else(self) -> None:
        simulation = BranchSimulation(SITE, read_script(SCRIPT_START))
        fleet, ended = fleet_id(simulation.site), list[str]()
        process = VirtualTransport(simulation.network, simulation.disk, "stranger")
        simulation.processes["stranger"] = process

        async def send(*messages: Any) -> None:
            stream = await process.connect("head-0", 4520, 1.0)
            for message in messages:
                stream.write(encode(message))
            try:
                while True:
                    await stream.read()
            except StreamClosed as error:
                ended.append(str(error))

        hello = offline_messages.BranchHello(fleet, 3)
        for messages in (
            (offline_messages.BranchHello(fleet + 1, 3),),
            (hello, offline_messages.ReplayProgress(0, 9, (1, 1), [])),
            (offline_messages.Heartbeat(1),),
            (hello, offline_messages.StatusQuery((99, 1, 1), 1, 0)),
            (offline_messages.OperatorQuery(fleet, "show"),),
        ):
            simulation.loop.call_at(
                simulation.traffic_start + 1.0, lambda messages=messages: process.spawn(send(*messages))
            )
        for write in (
            offline_messages.ReplayWrite((3, 1, 1), 1, 0, -1, 8, 0, 0, 0, 0, 0, False, bytes(4096)),
            offline_messages.ReplayWrite((3, 1, 2), 1, 0, 2, 8, -5, 0, 0, 0, 0, False, bytes(4096)),
            offline_messages.ReplayWrite((3, 1, 3), 1, 0, 2, 77, 0, 0, 0, 0, 0, False, b"x"),
        ):
            simulation.loop.call_at(
                simulation.traffic_start + 1.5, lambda write=write: process.spawn(send(hello, write))
            )
        outcome = simulation.play()
        self.assertEqual(([], 5), (outcome.reasons, len(ended)), outcome.defects)


class OperatorDecisions(unittest.TestCase):
    """Tests release and discard of dead letters, in simulations where blocks change at the main site."""

    def play_with_decision(self, command: str) -> tuple[BranchSimulation, list[Any], Any]:
        """Plays a simulation in which the first dead letter is released, or the last one discarded."""
        answers: list[Any] = []
        for seed in range(40):
            simulation, answers = BranchSimulation(SITE, generate_script(SITE, seed)), []

            def decide(simulation: BranchSimulation = simulation, answers: list[Any] = answers) -> None:
                for number in (3, 4):
                    branch = simulation.gateways[number].branch
                    dead_letters = branch.answer(OperatorQuery(0, "parked"))["parked"] if branch else []
                    if dead_letters and simulation.processes[f"head {number}"].alive and not answers:
                        first, last = dead_letters[0], dead_letters[-1]
                        chosen = first if command == "release" else last
                        query = OperatorQuery(0, command, tuple(chosen["number"]))
                        answers += [first, last, branch.answer(query)]
                if not answers:
                    simulation.loop.call_later(0.5, decide)

            simulation.loop.call_later(8.0, decide)
            outcome = simulation.play()
            if answers and "changed" in answers[0]["reason"]:
                return simulation, answers, outcome
        raise AssertionError("no simulation dead-letters a write by a conflict")

    def test_a_released_dead_letter_is_applied_with_its_dependents(self) -> None:
        simulation, (first, _, answer), outcome = self.play_with_decision("release")
        self.assertEqual(first["number"], answer["released"][0])
        self.assertEqual(([], []), (outcome.reasons, outcome.defects))
        dead_letters = {
            tuple(queued.write.number)
            for gateway in (3, 4)
            for queued in simulation.gateways[gateway].branch.queue.dead_letters
        }
        self.assertNotIn(tuple(first["number"]), dead_letters)

    def test_a_discarded_dead_letter_is_removed_and_leaves_a_record(self) -> None:
        simulation, (_, last, answer), outcome = self.play_with_decision("discard")
        self.assertEqual({"discarded": last["number"]}, answer)
        self.assertEqual(
            ["accepted and lost"],
            outcome.reasons,
            "the invariant checker reports the discarded write as lost",
        )
        gateway = last["number"][0]
        table = simulation.gateways[gateway].replicated_log.store.table
        self.assertIn((-3, *last["number"][1:]), table.records)

    def test_an_operator_command_for_an_unknown_write_returns_an_error(self) -> None:
        simulation = BranchSimulation(SITE, read_script(SCRIPT_START))
        simulation.play()
        branch = simulation.gateways[3].branch
        self.assertIn("no parked write", branch.answer(OperatorQuery(0, "release", (3, 1, 1)))["error"])
        self.assertIn("no parked write", branch.answer(OperatorQuery(0, "discard"))["error"])


class Commands(unittest.TestCase):
    def run_branch_command(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, ["branch", *arguments])
        return result.exit_code, result.output

    def test_invalid_arguments_are_reported(self) -> None:
        for arguments, expected in (
            ("show 0", "Name a gateway that is in a branch"),
            ("show 3", "See that the head runs"),
            ("release 3 --number x", "is not like"),
            ("discard 3 --number 3/1/1", "--yes"),
        ):
            command, gateway, *options = arguments.split()
            status, text = self.run_branch_command(command, "--site", str(PATH), "--head", gateway, *options)
            self.assertEqual((2, True), (status, expected in text), text)

    def test_branch_settings_of_the_site_file_are_validated(self) -> None:
        text = PATH.read_text()
        read_class = "promised: 0.3 cut_off: 2 effect: REDOABLE value: 2"
        for (original, changed), expected in (
            (('"harbour" head: 3 head: 4', '"harbour" head: 3 head: 4 head: 2'), "one or two"),
            (('"harbour" head: 3 head: 4', '"harbour" head: 3 head: 9'), "there is no head 9"),
            (("queue_bytes: 16777216", "queue_bytes: 5"), "branch[0].queue_bytes"),
            (("held_by: 1", "held_by: 0"), "records.held_by is 0"),
            (("shard: 4 head: 0 head: 1 head: 3 head: 4", "shard: 4 head: 3 head: 4"), "no head of the"),
            ((read_class, f"{read_class} held_when_cut_off: true"), "only writes"),
        ):
            with self.subTest(expected), self.assertRaises(SiteFileError) as caught:
                self.assertIn(original, text)
                parse_site(text.replace(original, changed))
            self.assertIn(expected, str(caught.exception))


class DependentPairs(unittest.TestCase):
    def test_a_pair_is_two_writes_at_different_shards_of_which_one_was_answered_before_the_other_was_sent(
        self,
    ) -> None:
        first = AcceptedWrite(1, shard=0, sent_at=1.0, answered_at=1.2)
        overlapping = AcceptedWrite(2, shard=1, sent_at=1.1, answered_at=1.3)
        at_the_same_shard = AcceptedWrite(3, shard=0, sent_at=1.25, answered_at=1.4)
        dependent = AcceptedWrite(4, shard=2, sent_at=1.5, answered_at=1.6)
        self.assertIsNone(find_pair([first, overlapping, at_the_same_shard]))
        found = find_pair([first, overlapping, at_the_same_shard, dependent])
        self.assertEqual(DependentPair(first, dependent), found)


@pytest.mark.processes
class RealProcesses(unittest.TestCase):
    def play(
        self, script: str, mutation: str = "", trial_class: type[BranchTrial] = BranchTrial
    ) -> tuple[Result, list[dict[str, Any]]]:
        start_logs(True, "critical")
        branch_states: list[dict[str, Any]] = []

        class Trial(trial_class):  # type: ignore[valid-type, misc]
            async def _clients_finished(self) -> None:
                """Also runs `branch show` in a process of its own, as an operator would."""
                await super()._clients_finished()
                path = self.processes.folder / "site-of-heads.txtpb"
                arguments = ["branch", "show", "--site", str(path), "--head", "3", "--json", "-"]
                shown = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "gorsethread", *arguments],
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                branch_states.append(
                    json.loads(shown.stdout) if shown.returncode == 0 else {"failed": shown.stderr}
                )

        async def play_trial() -> Result:
            with tempfile.TemporaryDirectory() as folder:
                processes = Processes(Path(folder), SITE)
                result = await Trial(
                    RealTransport(3), processes, SITE, log_for(), read_script(script), mutation
                ).play()
                assert isinstance(result, Result)
                return result

        return asyncio.run(play_trial()), branch_states

    def test_link_loss_and_crashes_on_both_sides(self) -> None:
        self.assertEqual([], unsupported_acts(read_script(REAL_PROCESSES), SUPPORTED_ACTS, SUPPORTED_PARTIES))
        result, states = self.play(REAL_PROCESSES)
        self.assertTrue(result.good, result)
        self.assertGreater(result.accepted, 10)
        self.assertEqual((1, "harbour"), (len(states), states[0].get("branch")), states)

    def test_replay_that_ignores_dependencies_is_detected(self) -> None:
        script = "".join(
            line + "\n" for line in REAL_PROCESSES.splitlines() if not line.startswith(("14", "17.5"))
        )
        result, _ = self.play(
            script.replace("seconds 30", "seconds 34"),
            "from gorsethread.offline_writes.write_queue import WriteQueue\n"
            "WriteQueue._dependencies_finished = lambda queue, write: True\n",
            DependentWritesTrial,
        )
        self.assertNotIn(NO_PAIR, result.reasons)
        self.assertGreater(result.causal_breaks, 0, result)
        self.assertFalse(result.good)
