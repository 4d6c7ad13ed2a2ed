"""Tests of the harness: the stream relay, scripts of faults, and trials with gateways as real processes."""

import asyncio
import contextlib
import io
import shutil
import socket
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from gorsethread.harness import processes, site
from gorsethread.harness.process_faults import FaultPlayer, unsupported_acts
from gorsethread.harness.processes import Processes
from gorsethread.harness.relay import LinkFaults, StreamRelay
from gorsethread.harness.service import SUPPORTED_ACTS, SUPPORTED_PARTIES, ServiceTrial
from gorsethread.harness.site import SiteTrial
from gorsethread.harness.trial_folder import TrialFolder
from gorsethread.logs import log_for, start_logs
from gorsethread.simulation.runs import play
from gorsethread.simulation.script import read_script
from gorsethread.site_config.reading import read_site
from gorsethread.transport.base import Stream, StreamClosed, Unreachable
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

# Discovery is down while nine of twelve gateways are killed. Later the connections from discovery to all
# gateways are muted but stay open, and two backends drain meanwhile.
MASS_RESTART = """
seed 4
heads 12
shelves 4
seconds 21
factor 2
2 refuse list for 3
3 kill head-0 for 2.5
3 kill head-1 for 2.5
3 kill head-2 for 2.5
3 kill head-3 for 2.5
3 kill head-4 for 2.5
3 kill head-5 for 2.5
3 kill head-6 for 2.5
3 kill head-7 for 2.5
3 kill head-8 for 2.5
11 mute list -> room-0
11 mute list -> room-1
11.2 drain shelf-0 for 10.5
11.2 drain shelf-1 for 10.5
"""
# Gateways are killed inside their own code: as they send, admit a request, process an attempt's end and run a
# batch. One is paused, a backend restarts cold, and discovery is down for a while.
KILL_POINTS = """
seed 6
heads 6
shelves 4
seconds 12
factor 2
1 stab head-0 -> point-forward by 4 for 0.5
1.5 stab head-1 -> point-ended by 3 for 0.5
2 refuse list for 2
2.5 stab head-2 -> point-take by 5 for 0.5
3 kill shelf-2 for 0.4
3.5 stab head-3 -> point-work by 9 for 0.5
5 pause head-4 for 1
6 kill head-5 for 0.5
6.5 drain shelf-1 for 4
"""
# Disturbs every path of a gateway with a site file: to backends, from clients, to discovery and to gateways.
ALL_PATHS = """
seed 8
heads 3
shelves 4
seconds 12
factor 2
1 cut head-0 <-> shelf-1 for 2.5
1.5 reset head-1 -> shelf-2
2 cut client-bookings <-> head-1 for 1.5
3 still shelf-3 for 0.8
4 cut shelf-0 -> head-2 for 2
4.5 cut room-0 <-> room-1 for 3
5 cut list <-> head-0 for 3
5.5 surge volume-1 by 4 for 2
6 slow shelf-2 by 3 for 2
7 kill shelf-1 for 0.5
8 drain shelf-3 for 3
"""
# A gateway restarts as the trial ends: it must be up before it gets SIGTERM.
LATE_RESTART = """
seed 9
heads 2
shelves 2
seconds 2
factor 1
3 kill head-0 for 1.5
"""
SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
PEAK_SECONDS = 0.1
MAX_PEAK_SHARE = 0.5  # of the killed gateways may first call for the list within PEAK_SECONDS
NO_CALL_TIMEOUT = """
from gorsethread.http_gateway import discovery
discovery.CALL_TIMEOUT_SECONDS = 60.0
"""


class MassRestartTrial(ServiceTrial):
    def peak_share(self) -> float:
        """Returns the largest share of the killed gateways that first called within PEAK_SECONDS."""
        first_calls: dict[str, float] = {}
        for t, gateway, _ in self.streams.calls:
            if t > self.zero + 5.0:
                first_calls.setdefault(gateway, t)
        times = sorted(t for gateway, t in first_calls.items() if int(gateway.split(" ")[1]) < 9)
        return max(sum(t <= u < t + PEAK_SECONDS for u in times) for t in times) / 9


@pytest.mark.processes
class RealProcesses(unittest.TestCase):
    def run_trial(self, defect_code: str = "", script: str = MASS_RESTART) -> MassRestartTrial:
        start_logs(True, "critical")

        async def work() -> MassRestartTrial:
            with tempfile.TemporaryDirectory() as folder:
                trial = MassRestartTrial(
                    RealTransport(4),
                    Processes(Path(folder), SITE),
                    SITE,
                    log_for(),
                    read_script(script),
                    defect_code,
                )
                await trial.play()
                return trial

        return asyncio.run(work())

    def test_gateways_killed_at_once_spread_their_calls_and_muted_watches_delay_no_drain(self) -> None:
        trial = self.run_trial()
        r = trial.result
        self.assertEqual(([0] * 4, 0, 0), (r.rules[:4], r.lost, r.duplicated), r.reasons)
        self.assertLess(trial.peak_share(), MAX_PEAK_SHARE)
        self.assertGreater(r.honoured, 0.5 * r.taken)
        self.assertEqual(
            12, len(trial.fault_player.faults.mutes), "all watches must be muted, else this proves nothing"
        )

    def test_a_script_has_similar_results_with_processes_and_in_simulation(self) -> None:
        real, simulated = self.run_trial(script=KILL_POINTS), play(SITE, read_script(KILL_POINTS), http=True)
        self.assertEqual([], real.fault_player.unreached_points, "every kill point was reached")
        r, v = real.result, simulated.verdict
        self.assertEqual(([0] * 4, 0, 0), (r.rules[:4], r.lost, r.duplicated), r.reasons)
        self.assertEqual(([0] * 4, 0, 0), (v.rules[:4], v.lost, v.duplicated), simulated.reasons)
        succeeded = r.honoured / r.taken, v.counts["honoured"] / v.counts["taken"]
        self.assertLess(abs(succeeded[0] - succeeded[1]), 0.15, succeeded)
        killed = [x["head"] for x in real.records if x["e"] == "head killed"]
        self.assertEqual([0, 1, 2, 3, 5], sorted(killed))

    def test_a_gateway_that_restarts_as_the_trial_ends_is_up_before_sigterm(self) -> None:
        trial = self.run_trial(script=LATE_RESTART)
        self.assertEqual([], trial.result.reasons)

    def test_gateways_with_a_site_file_survive_faults_on_every_path(self) -> None:
        script = read_script(ALL_PATHS)
        self.assertEqual([], unsupported_acts(script, site.SUPPORTED_ACTS, site.SUPPORTED_PARTIES))

        async def work() -> SiteTrial:
            with tempfile.TemporaryDirectory() as folder:
                trial = SiteTrial(RealTransport(8), Processes(Path(folder), SITE), SITE, log_for(), script)
                await trial.play()
                return trial

        start_logs(True, "critical")
        trial = asyncio.run(work())
        r = trial.result
        self.assertEqual(([0] * 4, 0, 0), (r.rules[:4], r.lost, r.duplicated), r.reasons)
        relayed = Counter(
            (caller.split(" ")[0], called.split(" ")[0]) for _, caller, called in trial.streams.calls
        )
        # The owner of a connection is not found if its process has already closed it.
        unknown = relayed.pop(("", "shelf"), 0)
        self.assertLessEqual(unknown, 0.1 * relayed["head", "shelf"], "callers that were not found")
        self.assertEqual(
            {("head", "shelf"), ("client", "head"), ("head", "list")}, set(relayed) - {("", "head")}
        )
        self.assertGreater(r.honoured, 0.5 * r.taken)

    def test_the_checker_finds_a_gateway_that_never_gives_up_a_muted_watch(self) -> None:
        self.assertGreater(self.run_trial(NO_CALL_TIMEOUT).result.rules[2], 0)


class Streams(unittest.TestCase):
    """One route through the relay, on the virtual clock."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        network = Network(self.loop, 5, NetworkConditions(split=0.0))
        self.user, self.far, self.mid = (VirtualTransport(network, Disk(), n) for n in ("user", "far", "mid"))
        self.faults = LinkFaults()
        self.relay = StreamRelay(self.mid, self.faults)
        self.relay.add_route("head 0", "list", ("mid", 1), ("far", 1))
        self.listener = self.far.listen("far", 1, self.echo)
        self.received: list[tuple[float, bytes]] = []
        self.ended = 0.0

    async def echo(self, stream: Stream) -> None:
        try:
            while True:
                stream.write(await stream.read())
        except StreamClosed:
            pass

    async def dial(self) -> Stream:
        """Connects and sends the first byte, which the relay waits for; it is echoed if no cut holds it."""
        stream = await self.user.connect("mid", 1, 1.0)
        stream.write(b"-")
        self.user.spawn(self.read(stream))
        await self.user.sleep(0.1)
        return stream

    async def read(self, stream: Stream) -> None:
        try:
            while True:
                self.received.append((round(self.user.now(), 1), await stream.read()))
        except StreamClosed:
            self.ended = self.user.now()

    def play(self, work: Any) -> None:
        try:
            self.loop.run_until_complete(work())
        finally:
            for process in (self.user, self.far, self.mid):
                process.kill()
            self.loop.run_until_complete(asyncio.sleep(0.1))

    def test_a_cut_holds_bytes_of_its_direction_and_keeps_both_ends_open(self) -> None:
        async def work() -> None:
            direction = [("list", "head 0")]
            stream = await self.dial()
            self.faults.cut(direction, self.mid.now())
            stream.write(b"one")
            await self.user.sleep(2.0)
            self.assertEqual(([b"-"], 0.0), ([data for _, data in self.received], self.ended))
            self.assertEqual(5, self.relay.bytes, "the bytes reached the other side")
            self.faults.heal(direction, self.mid.now())
            await self.user.sleep(0.2)
            self.assertEqual(b"-one", b"".join(data for _, data in self.received))
            self.assertEqual([direction[0]], [d for d, _, _ in self.faults.silences])

        self.play(work)

    def test_muted_connections_stay_open_and_new_ones_work(self) -> None:
        async def work() -> None:
            old = await self.dial()
            self.relay.mute("list", "head 0")
            old.write(b"old")
            await self.user.sleep(1.0)
            self.assertEqual(([b"-"], 0.0), ([data for _, data in self.received], self.ended))
            (await self.dial()).write(b"new")
            await self.user.sleep(0.2)
            self.assertEqual(b"--new", b"".join(data for _, data in self.received))

        self.play(work)

    def test_cuts_add_up_and_a_new_connection_receives_nothing(self) -> None:
        async def work() -> None:
            direction = [("head 0", "list")]
            self.faults.cut(direction, 0.0)
            self.faults.cut(direction, 0.0)
            open_stream, closed_stream = await self.dial(), await self.dial()
            self.faults.heal(direction, 1.0)
            await self.user.sleep(1.0)
            self.assertEqual((0, []), (self.relay.bytes, self.received))
            closed_stream.close()
            await self.user.sleep(0.1)
            self.faults.heal(direction, 2.0)
            await self.user.sleep(0.2)
            self.assertEqual(
                [b"-"],
                [data for _, data in self.received],
                "a connection that was closed meanwhile is not forwarded",
            )
            open_stream.close()

        self.play(work)

    def test_slow_directions_keep_their_order_and_resets_close_both_sides(self) -> None:
        async def work() -> None:
            stream = await self.dial()
            self.received.clear()
            self.faults.slow["head 0", "list"] = 0.5
            started_at = self.user.now()
            for n in range(3):
                stream.write(b"%d" % n)
            await self.user.sleep(0.4)
            self.assertEqual([], self.received)
            await self.user.sleep(2.0)
            self.assertEqual(b"012", b"".join(data for _, data in self.received))
            self.relay.reset("list", "head 0")
            await self.user.sleep(0.2)
            self.assertGreater(self.ended, started_at)
            self.assertEqual({}, self.relay.connections)
            self.listener.close()
            self.ended = 0.0
            await self.dial()
            self.assertGreater(self.ended, 0.0, "nothing listens behind the relay")
            self.assertEqual(2, len(self.relay.calls))
            self.relay.close()
            with self.assertRaises(Unreachable):
                await self.dial()

        self.play(work)


class TrialFolders(unittest.TestCase):
    def test_the_folder_of_a_trial_is_kept_only_if_it_was_not_good(self) -> None:
        for good in (True, False):
            with self.subTest(good=good), contextlib.redirect_stderr(io.StringIO()) as said:
                with TrialFolder("gorsethread-test-") as folder:
                    (folder.path / "head-0.log").write_text("a line")
                    if not good:
                        folder.keep()
                self.addCleanup(shutil.rmtree, folder.path, ignore_errors=True)
                self.assertEqual(not good, (folder.path / "head-0.log").exists())
                self.assertEqual(not good, str(folder.path) in said.getvalue())

    def test_a_trial_that_raises_keeps_its_folder(self) -> None:
        with (
            contextlib.redirect_stderr(io.StringIO()) as said,
            self.assertRaises(OSError),
            TrialFolder("gorsethread-test-") as folder,
        ):
            self.addCleanup(shutil.rmtree, folder.path, ignore_errors=True)
            raise OSError("no descriptor left")
        self.assertTrue(folder.path.exists())
        self.assertIn(str(folder.path), said.getvalue())


class OwnersOfConnections(unittest.TestCase):
    CONNECTS_AND_WAITS = (
        "import socket, sys; s = socket.create_connection(('127.0.0.1', int(sys.argv[1]))); s.recv(1)"
    )

    def test_the_child_that_owns_a_connection_is_found_by_one_look_at_the_table(self) -> None:
        # Guards against a look at the system's table for each child, which held up clients and backends.
        table = mock.Mock(wraps=processes.CONNECTION_TABLE)

        async def work(folder: str) -> tuple[str, str]:
            children = Processes(Path(folder), SITE)
            with socket.create_server(("127.0.0.1", 0)) as listener:
                port = listener.getsockname()[1]
                for name in ("head 0", "head 1", "head 2"):
                    await children.start(name, str(port), begins=("-c", self.CONNECTS_AND_WAITS))
                listener.settimeout(20.0)
                connections = [listener.accept()[0] for _ in range(3)]
                found = [children.owner_of(f"127.0.0.1:{c.getpeername()[1]}") for c in connections]
                calls = table.read_bytes.call_count
                unknown = children.owner_of(f"127.0.0.1:{port}")
                for connection in connections:
                    connection.close()
                await children.end_all()
            self.assertEqual(3, calls)
            return ",".join(sorted(found)), unknown

        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(processes, "CONNECTION_TABLE", table),
        ):
            self.assertEqual(("head 0,head 1,head 2", ""), asyncio.run(work(folder)))


class Scripts(unittest.TestCase):
    def test_unsupported_acts_of_a_script_are_listed(self) -> None:
        script = read_script(
            "1 kill head-0 for 1\n2 slow shelf-0 by 2 for 1\n3 pause list for 1\n"
            "4 cut client-archive <-> head-1 for 1\n"
        )
        self.assertEqual(3, len(unsupported_acts(script, SUPPORTED_ACTS, ("head", "shelf", "room"))))
        self.assertEqual([], unsupported_acts(read_script(MASS_RESTART), SUPPORTED_ACTS, SUPPORTED_PARTIES))

    def test_a_kill_point_that_is_not_reached_is_reported(self) -> None:
        async def work(folder: str) -> FaultPlayer:
            processes = Processes(Path(folder), SITE)

            async def start(name: str) -> None:
                await processes.start(name, begins=("-c", "import time; time.sleep(60)"))

            player = FaultPlayer(RealTransport(1), processes, 1, start, lambda line: None)
            await start("head 0")
            script = read_script("heads 1\n0 stab head-0 -> point-take by 2 for 1\n")
            with mock.patch("gorsethread.harness.process_faults.KILL_POINT_TIMEOUT_SECONDS", 0.1):
                await player.apply(script.acts[0])
                await asyncio.gather(*player._tasks)
            self.assertEqual("2", player.flag(script.acts[0]).read_text())
            await player.end()
            return player

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(1, len(asyncio.run(work(folder)).unreached_points))
