"""Durable records of gateways: simulations with failing and lost disks, commands, and real processes."""

import asyncio
import json
import subprocess
import sys
import tempfile
import unittest
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import pytest
from typer.testing import CliRunner

from gorsethread.cli.main import app
from gorsethread.durable_log import replication_messages
from gorsethread.durable_log.log_store import LogStore
from gorsethread.durable_log.records import ExtentPlaced, ExtentReleased, Record
from gorsethread.harness.durable_log_trial import SUPPORTED_ACTS, DurableLogTrial, Result
from gorsethread.harness.process_faults import unsupported_acts
from gorsethread.harness.processes import Processes
from gorsethread.harness.site import SUPPORTED_PARTIES
from gorsethread.harness.trial_folder import TrialFolder
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.nvme_gateway.recovery_client import RecoveryClient
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.recovery.stages import CompletionReason, Stage
from gorsethread.simulation.durable_log_mutants import DURABLE_LOG_MUTANTS
from gorsethread.simulation.durable_log_simulation import DurableLogSimulation
from gorsethread.simulation.runs import play, play_many
from gorsethread.simulation.script import read_script
from gorsethread.site_config.reading import parse_site, read_site
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

PATH = Path(__file__).parent.parent / "deploy" / "site.txtpb"
SITE = read_site(PATH)
KILLED = "seed 4\nseconds 8\n3 kill head-0 for 0.5\n4.5 kill head-0 for 0.5\n"
WIPED = "seed 4\nseconds 8\n3 wipe head-0 for 0.5\n"
# A gateway that lost its disk reaches only the one of its two replicas that was cut off and lacks records.
ONE_OF_TWO = (
    "seed 4\nseconds 9\n0.5 cut head-0 <-> head-1 for 2.7\n3 wipe head-0 for 0.5\n"
    "3 cut head-0 <-> head-2 for 4\n"
)
# A gateway gets an older backup of its log while it reaches only one replica, which lacks records as well.
OLDER_ALONE = (
    "seed 4\nseconds 16\n1.5 cut head-0 <-> head-1 for 5\n5 older head-0 by 3 for 0.5\n"
    "5 cut head-0 <-> head-2 for 8\n"
)
# A gateway loses its disk while both of its replicas are down.
WIPED_ALONE = f"{WIPED}3 kill head-1 for 4\n3 kill head-2 for 4\n"
# For each planted defect, a script under which the simulation detects it.
SCRIPTS_BY_DEFECT = {
    "records: nothing is kept of what is placed": KILLED,
    "records: what a disk does not take is told as kept": "seed 4\nseconds 9\n"
    + "".join(f"{1 + 0.6 * n:.1f} disk head-0 for 0.2\n" for n in range(6))
    + "4.7 kill head-0 for 0.5\n",
    "records: half of a folder is read": KILLED,
    "records: rotten bytes are not noticed": "seed 4\nseconds 8\n3 rot head-0 for 0.5\n",
    "return: a life's numbers are given again": KILLED,
    "return: nobody is asked": WIPED,
    "return: an empty disk is a first start": ONE_OF_TWO,
    "return: complete own records are trusted after a while": OLDER_ALONE,
    "return: one answer is enough": ONE_OF_TWO,
    "return: later records of others are not fetched": WIPED,
    "return: what is not known is held for nowhere at once": f"{WIPED}3 cut head-0 <-> head-1 for 3\n"
    "3 cut head-0 <-> head-2 for 3\n",
    "copies: a holder says so before its disk has it": WIPED,
    "copies: what is on its way counts as held": WIPED,
    "copies: a holder keeps the first of each piece": "seed 4\nseconds 10\n1.5 wipe head-1 for 0.3\n"
    "3 wipe head-2 for 0.3\n5 wipe head-0 for 0.5\n",
    "copies: given back without the last": WIPED,
    "driver: sends before it is kept": KILLED,
}
# Every way to lose a disk, one after the other; a gateway is killed too.
LOSSES = """
seed 3
heads 3
shelves 4
seconds 15
factor 2
1 kill head-2 for 0.5
2.5 wipe head-0 for 0.5
6 rot head-1 for 0.5
9 older head-0 by 4 for 0.5
11.5 swap head-1 <-> head-2 for 0.5
"""
# Gateways killed while they record a placement, flush it, report it as durable and answer an owner's Hello.
KILLS_AT_POINTS = """
seed 6
heads 3
shelves 4
seconds 12
factor 2
1 stab head-0 -> point-promise by 2 for 0.5
2 stab head-1 -> point-flushed by 2 for 0.5
5 stab head-0 -> point-held by 2 for 0.5
7 stab head-2 -> point-greeted by 1 for 0.5
7 kill head-0 for 0.3
"""


def world(acts: str, heads: int = 3, seconds: int = 10, seed: int = 4) -> DurableLogSimulation:
    text = f"seed {seed}\nheads {heads}\nshelves 6\nseconds {seconds}\n{acts}"
    return DurableLogSimulation(SITE, read_script(text))


class Simulations(unittest.TestCase):
    def play_good(self, acts: str, **settings: int) -> DurableLogSimulation:
        simulation = world(acts, **settings)
        outcome = simulation.play()
        self.assertTrue(outcome.good, (outcome.reasons, outcome.defects))
        return simulation

    def stages(self, simulation: DurableLogSimulation) -> list[Stage]:
        return [h.replicated_log.recovery.stage for h in simulation.gateways.values()]

    def test_random_simulations_keep_every_rule_and_every_acknowledged_record(self) -> None:
        failed = [
            (p.seed, p.reasons, p.first) for p in play_many(SITE, range(40), durable_log=True) if p.reasons
        ]
        self.assertEqual([], failed)

    def test_without_records_a_restart_forgets_owners(self) -> None:
        class WithoutRecords(DurableLogSimulation):
            def records_folder(self, number: int) -> str:
                return ""

            def _check_end_state(self) -> None: ...

        text = "seed 4\nheads 3\nshelves 6\nseconds 8\n2 kill head-0 for 0.5\n3 kill head-1 for 0.5\n"
        self.assertIn("an owner is forgotten", WithoutRecords(SITE, read_script(text)).play().reasons)

    def test_each_planted_defect_is_detected(self) -> None:
        self.assertEqual(set(DURABLE_LOG_MUTANTS), set(SCRIPTS_BY_DEFECT))
        for name, text in SCRIPTS_BY_DEFECT.items():
            with self.subTest(name):
                self.assertFalse(play(SITE, read_script(text), name, durable_log=True).good)
        for text in {*SCRIPTS_BY_DEFECT.values(), WIPED_ALONE}:
            with self.subTest("no defect planted", text=text):
                self.assertTrue(play(SITE, read_script(text), durable_log=True).good)

    def test_gateways_wait_for_one_that_is_down_and_serve_known_extents_meanwhile(self) -> None:
        # Guards against a gateway that places extents anew although one that is down may know their shards.
        simulation = world("2 kill head-0 for 0.3\n2 kill head-1 for 0.5\n2 kill head-2 for 5\n")
        outcome = simulation.play()
        self.assertTrue(outcome.good, (outcome.reasons, outcome.defects))
        self.assertEqual([Stage.COMPLETE] * 3, self.stages(simulation))
        head_2_is_back = simulation.traffic_start + 7.0
        for number in (0, 1):
            log = simulation.gateways[number].replicated_log
            self.assertGreater(log.recovery.stage_since, head_2_is_back)
            self.assertLess(log.recovery.stage_since, head_2_is_back + 1.0)
            self.assertEqual([1 - number, 2], sorted(log.recovery.answers))
        waited = range(int(simulation.traffic_start + 4), int(head_2_is_back))
        succeeded = Counter(
            int(r["t"]) for r in outcome.records if r["e"] == "answer" and r["how"] == "honoured"
        )
        self.assertGreater(min(succeeded[second] for second in waited), 0)

    def test_an_older_backup_is_not_believed_while_a_replica_is_out_of_reach(self) -> None:
        # Guards against reads of written extents that are answered as never written after a restore.
        simulation = self.play_good(OLDER_ALONE.partition("seconds 16\n")[2], seconds=16)
        recovery = simulation.gateways[0].replicated_log.recovery
        self.assertIs(CompletionReason.CERTAIN, recovery.completion_reason)
        self.assertGreater(recovery.stage_since, simulation.traffic_start + 13.0, "it waited for replica 2")

    def test_a_fetch_from_one_replica_leaves_the_records_of_the_other_alone(self) -> None:
        # Guards against a recovering gateway that overwrites later records before it has fetched them.
        delays = {1: 1.5, 2: 3.0}  # seconds of gateway 0's polls, so that replication connects before them
        poll_once = RecoveryClient._poll_once

        async def poll_late(client: RecoveryClient, peer: int) -> None:
            if client.topology.gateway == 0 and client.stages.incarnation:
                await client.transport.sleep(delays[peer])
            await poll_once(client, peer)

        simulation = world("3 cut head-0 <-> head-1 for 2\n5 older head-0 by 3 for 0.5\n", seconds=14)

        def append_between_the_fetches() -> None:
            log = simulation.gateways[0].replicated_log
            self.assertEqual(({1}, Stage.RESTRICTED), (log.recovery.fetched, log.recovery.stage))
            log.append(ExtentReleased(4, 1 << 20))

        simulation.loop.call_at(simulation.traffic_start + 8.0, append_between_the_fetches)
        with mock.patch.object(RecoveryClient, "_poll_once", poll_late):
            outcome = simulation.play()
        self.assertTrue(outcome.good, (outcome.reasons, outcome.defects))
        self.assertEqual({1, 2}, simulation.gateways[0].replicated_log.recovery.fetched)

    def test_an_empty_disk_is_recognised_as_lost_and_refilled(self) -> None:
        simulation = self.play_good("3 wipe head-0 for 0.5\n3 kill head-2 for 3\n")
        recovery = simulation.gateways[0].replicated_log.recovery
        self.assertGreater(
            recovery.stage_since - recovery.started, 2.0, "it waited for the one that may hold more"
        )
        self.assertGreater(len(simulation.gateways[0].replicated_log.store.table.placements()), 10)

    def test_exchanged_disks_are_recognised(self) -> None:
        self.play_good("3 swap head-0 <-> head-1 for 0.5\n")

    def test_a_full_or_slow_disk_delays_only_first_writes(self) -> None:
        def rejections(acts: str) -> Counter[bool]:
            """Count rejections of volume 4 (True), whose first writes only head 0 serves, and of others."""
            simulation = world(acts)
            outcome = simulation.play()
            self.assertTrue(outcome.good, (outcome.reasons, outcome.defects))
            volumes = {r["label"]: r["volume"] for r in outcome.records if r["e"] == "sent"}
            return Counter(
                volumes[r["label"]] == 4
                for r in outcome.records
                if r["e"] == "answer" and r["how"] == "pushed back"
            )

        baseline = rejections("")
        for acts in ("2 disk head-0 for 3\n", "2 lag head-0 by 0.8 for 3\n"):
            counts = rejections(acts)
            self.assertGreater(counts[True], baseline[True] + 5)
            self.assertLess(counts[False], baseline[False] + 5)

    def test_a_single_gateway_recovers_its_own_records(self) -> None:
        self.play_good("2 kill head-0 for 0.5\n4 disk head-0 for 1\n", heads=1)


class Fencing(unittest.TestCase):
    def test_of_two_processes_of_one_gateway_the_earlier_acknowledges_no_more(self) -> None:
        simulation = world("", seconds=12)

        def start_second() -> None:
            """Start another machine with this gateway's number and an empty disk."""
            earlier = simulation.gateways[0].replicated_log
            process = VirtualTransport(simulation.network, simulation.disk, "head 0 again")
            simulation.processes["second"] = process

            async def send_hellos() -> None:
                for other in (1, 2):
                    stream = await process.connect(f"head-{other}", 4520, 1.0)
                    stream.write(
                        replication_messages.encode(
                            replication_messages.Hello(earlier.fleet, 0, earlier.incarnation + 1)
                        )
                    )
                    await stream.read()

            process.spawn(send_hellos())

        simulation.loop.call_at(simulation.traffic_start + 4.0, start_second)
        outcome = simulation.play()
        self.assertTrue(simulation.gateways[0].replicated_log.sender.fenced)
        self.assertEqual(["does not promise again"], outcome.reasons)


class PlacedAgain(unittest.TestCase):
    def test_a_place_after_a_release_is_not_durable_by_the_record_of_the_earlier_one(self) -> None:
        # Guards against an extent placed anew that counts as durable once its withdrawn place is.
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        process = VirtualTransport(Network(loop, 3, NetworkConditions()), Disk(), "head 0")
        log = ReplicatedLog(process, SITE, 0, "records", SitePlacement(SITE), lambda: [], log_for())
        appended: list[tuple[object, Callable[[bool], None]]] = []
        log.append = lambda fact, on_durable=None, own=False: appended.append((fact, on_durable))  # type: ignore
        log.retry_after = lambda: 0.0  # type: ignore[method-assign]
        earlier, later = list[bool](), list[bool]()
        log.placed((2, 0), 0, earlier.append)
        log.released((2, 0))
        log.placed((2, 0), 1, later.append)
        self.assertEqual([ExtentPlaced(2, 0, 0), ExtentPlaced(2, 0, 1)], [fact for fact, _ in appended])
        appended[0][1](True)
        loop.run_until_complete(asyncio.sleep(0.01))
        self.assertEqual(([True], [], 1), (earlier, later, log.waiting))
        appended[1][1](True)
        loop.run_until_complete(asyncio.sleep(0.01))
        self.assertEqual(([True], 0), (later, log.waiting))


class ReplicationMessages(unittest.TestCase):
    def test_chunks_of_any_size_decode_to_the_same_messages(self) -> None:
        messages = [
            replication_messages.Hello(1, 2, 3),
            replication_messages.HelloReply(3, (1, 2)),
            replication_messages.RecordsStored((4, 5)),
            replication_messages.StoreFailed(),
            replication_messages.StoreRecords(
                3, False, replication_messages.to_entries([Record((1, 1), ExtentPlaced(1, 2, 3))]), (1, 1)
            ),
        ]
        data = b"".join(replication_messages.encode(m) for m in messages)
        for size in (1, 3, 7, len(data)):
            reader = replication_messages.MessageReader()
            decoded = [m for at in range(0, len(data), size) for m in reader.feed(data[at : at + size])]
            self.assertEqual(messages, decoded)

    def test_bytes_that_are_not_a_message_are_rejected(self) -> None:
        for data in (b"GET / HTTP/1.1\r\n", b"\x02\x00\x00\x00\xc1\xc1", b"\xff\xff\xff\xff"):
            with self.assertRaises(replication_messages.ProtocolError):
                replication_messages.MessageReader().feed(data)


class RecordsCommands(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "records"

        async def fill() -> None:
            transport = RealTransport(1)
            for name, gateway, is_replica in (("own-0", 0, False), ("copies/head-2", 2, True)):
                store = LogStore(
                    transport, f"{self.folder}/{name}", fleet_id(SITE), gateway, log_for(), is_replica
                )
                store.open()
                await store.start_incarnation(1000)
                reported: list[bool] = []
                for n in range(1, 9):
                    store.add(Record((1000, n), ExtentPlaced(4, n, 1)), reported.append)
                while len(reported) < 8:
                    await transport.sleep(0.01)
                store.close()

        asyncio.run(fill())

    def run_command(self, *arguments: str) -> tuple[int, str]:
        result = CliRunner().invoke(app, ["records", *arguments])
        return result.exit_code, result.output

    def test_show_verify_and_export_print_the_records(self) -> None:
        status, text = self.run_command("show", str(self.folder), "--json", "-")
        shown = json.loads(text[text.index("{") :])["records"]
        self.assertEqual(
            [("copies/head-2", 8, True), ("own-0", 8, True)],
            [(r["what"], r["extents"], r["whole"]) for r in shown],
        )
        self.assertEqual(0, self.run_command("verify", str(self.folder))[0])
        status, text = self.run_command("export", str(self.folder))
        lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        self.assertEqual((0, 16), (status, len(lines)))
        self.assertEqual(
            {"of": "own-0", "life": 1000, "place": 1, "says": "placed", "volume": 4, "extent": 1, "shard": 1},
            lines[8],
        )

    def test_verify_names_the_file_and_bytes_of_corruption_and_changes_nothing(self) -> None:
        (path,) = (self.folder / "own-0").glob("*.seg")
        data = bytearray(path.read_bytes())
        data[-40] ^= 255
        path.write_bytes(data)
        status, text = self.run_command("verify", str(self.folder))
        self.assertEqual(1, status)
        self.assertIn(f"own-0/{path.name}: bytes", text)
        self.assertIn("to do: start the gateway while the others serve", text)
        self.assertEqual(bytes(data), path.read_bytes())

    def test_invalid_folders_exit_with_status_2(self) -> None:
        for arguments in (
            ("show", "/nowhere"),
            ("verify", str(self.folder / "own-0")),
            ("export", str(PATH)),
        ):
            status, text = self.run_command(*arguments)
            self.assertEqual((2, True), (status, "to do: Name the folder" in text), text)
        (self.folder / "own-0").rename(self.folder / "own-1")
        status, text = self.run_command("show", str(self.folder))
        self.assertEqual((2, True), (status, "written by gateway 0, not 1" in text))

    def test_a_gateway_given_the_folder_of_another_says_what_to_do(self) -> None:
        (self.folder / "own-0").rename(self.folder / "own-1")
        arguments = [
            "head",
            "--site",
            str(PATH),
            "--head",
            "1",
            "--records",
            str(self.folder),
            "--log",
            "json",
        ]
        done = subprocess.run(
            [sys.executable, "-m", "gorsethread", *arguments], capture_output=True, text=True, timeout=60
        )
        self.assertEqual(2, done.returncode, done.stderr)
        self.assertIn("written by gateway 0", done.stderr)
        self.assertIn("Give each gateway the folder that it had before", done.stderr)

    def test_the_records_settings_of_a_site_file_are_checked(self) -> None:
        text = PATH.read_text()
        for change, setting in (
            (("held_by: 1", "held_by: 3"), "records.held_by"),
            (("copies: 2", "copies: 3"), "records.copies"),
            ((' peers: "127.0.0.1:4522"', ""), "head[2].peers"),
        ):
            with self.subTest(setting), self.assertRaises(Exception) as caught:
                parse_site(text.replace(*change))
            self.assertIn(setting, str(caught.exception))


class ModulesLoaded(unittest.TestCase):
    def test_the_http_gateway_loads_no_modules_of_the_durable_log(self) -> None:
        code = (
            "import sys, gorsethread.http_gateway.gateway\n"
            "print([m for m in sys.modules if m.startswith(('gorsethread.durable_log', 'google_crc32c',"
            " 'gorsethread.recovery', 'concurrent.futures.thread', 'gorsethread.nvme_gateway',"
            " 'gorsethread.offline_writes'))])"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
        self.assertEqual("[]", done.stdout.strip(), done.stderr)


@pytest.mark.processes
class RealProcesses(unittest.TestCase):
    def play(self, text: str, plant: str = "") -> Result:
        start_logs(True, "critical")

        async def work() -> Result:
            with TrialFolder("gorsethread-records-") as folder:
                trial = DurableLogTrial(
                    RealTransport(3), Processes(folder.path, SITE), SITE, log_for(), read_script(text), plant
                )
                result = await trial.play()
                if not result.good and not plant:
                    folder.keep()
                assert isinstance(result, Result)
                return result

        return asyncio.run(work())

    def test_no_way_to_lose_a_disk_makes_gateways_forget_an_owner(self) -> None:
        self.assertEqual([], unsupported_acts(read_script(LOSSES), SUPPORTED_ACTS, SUPPORTED_PARTIES))
        result = self.play(LOSSES)
        self.assertTrue(result.good, result)
        self.assertGreater(result.placed, 15)
        self.assertGreater(result.honoured, 0.5 * result.taken)

    def test_kills_while_records_are_stored_on_real_processes_and_in_simulation(self) -> None:
        for text in (KILLS_AT_POINTS, LOSSES):
            simulation = DurableLogSimulation(SITE, read_script(text)).play()
            self.assertTrue(simulation.good, (simulation.reasons, simulation.defects))
        result = self.play(KILLS_AT_POINTS)
        self.assertTrue(result.good, result)
        self.assertGreater(result.placed, 10)

    def test_gateways_that_poll_no_other_are_detected(self) -> None:
        result = self.play(
            LOSSES,
            "from gorsethread.recovery.stages import RecoveryStages\n"
            "RecoveryStages.has_no_replicas = property(lambda r: True, lambda result, given: None)\n"
            "RecoveryStages.awaited = lambda r: []\n",
        )
        self.assertGreater(result.denied, 0)
