"""The harness: what its relay does to streams, and real heads in service that come back at once."""

import asyncio
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from typing import Any
from unittest import mock

import pytest

from gorsethread.harness import site
from gorsethread.harness.process_faults import Cast, unplayable
from gorsethread.harness.processes import Processes
from gorsethread.harness.relay import Faults, StreamRelay
from gorsethread.harness.service import PARTIES, PLAYED, ServiceTrial
from gorsethread.harness.site import SiteTrial
from gorsethread.logs import log_for, start_logs
from gorsethread.simulation.runs import play
from gorsethread.simulation.script import read_script
from gorsethread.site_config.reading import read_site
from gorsethread.transport.base import Stream, StreamClosed, Unreachable
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

# The list is away as nine of twelve heads are killed; then all of them hear nothing more of it on
# connections that stay open, and two shelves drain meanwhile.
COMEBACK = """
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
# Heads that end inside their own code, as they send, take, hear an ending and work off a batch; one stands
# still, one's shelf comes back cold, the list is away for a while.
BOTH = """
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
# Every way of a head of a site file is struck: to shelves, from clients, to the list and to other heads.
WAYS = """
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
# A head that comes back as the scene ends: it must be up before it is told to end.
LAST_START = """
seed 9
heads 2
shelves 2
seconds 2
factor 1
3 kill head-0 for 1.5
"""
SITE = read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb")
MOMENT = 0.1  # seconds
STAMPEDE = 0.5  # of the heads whose first calls come in one moment
DEAF = """
from gorsethread.http_gateway import discovery
discovery.CALL_TIMEOUT_SECONDS = 60.0
"""


class Comeback(ServiceTrial):
    def peak_share(self) -> float:
        """The largest part of the killed heads that first called for the list in one moment."""
        firsts: dict[str, float] = {}
        for t, head, _ in self.streams.calls:
            if t > self.zero + 5.0:
                firsts.setdefault(head, t)
        times = sorted(t for head, t in firsts.items() if int(head.split(" ")[1]) < 9)
        return max(sum(t <= u < t + MOMENT for u in times) for t in times) / 9


@pytest.mark.processes
class Real(unittest.TestCase):
    def played(self, plant: str = "", script: str = COMEBACK) -> Comeback:
        start_logs(True, "critical")

        async def work() -> Comeback:
            with tempfile.TemporaryDirectory() as folder:
                trial = Comeback(
                    RealTransport(4),
                    Processes(Path(folder), SITE),
                    SITE,
                    log_for(),
                    read_script(script),
                    plant,
                )
                await trial.play()
                return trial

        return asyncio.run(work())

    def test_heads_killed_at_once_call_apart_and_silent_watches_cost_no_drain(self) -> None:
        trial = self.played()
        r = trial.result
        self.assertEqual(([0] * 4, 0, 0), (r.rules[:4], r.lost, r.duplicated), r.reasons)
        self.assertLess(trial.peak_share(), STAMPEDE)
        self.assertGreater(r.honoured, 0.5 * r.taken)
        self.assertEqual(12, len(trial.cast.faults.mutes), "all watches: else this shows nothing")

    def test_one_script_on_real_processes_and_on_the_virtual_clock(self) -> None:
        real, world = self.played(script=BOTH), play(SITE, read_script(BOTH), http=True)
        self.assertEqual([], real.cast.unreached, "every point was come to")
        r, v = real.result, world.verdict
        self.assertEqual(([0] * 4, 0, 0), (r.rules[:4], r.lost, r.duplicated), r.reasons)
        self.assertEqual(([0] * 4, 0, 0), (v.rules[:4], v.lost, v.duplicated), world.reasons)
        parts = r.honoured / r.taken, v.counts["honoured"] / v.counts["taken"]
        self.assertLess(abs(parts[0] - parts[1]), 0.15, parts)
        killed = [x["head"] for x in real.records if x["e"] == "head killed"]
        self.assertEqual([0, 1, 2, 3, 5], sorted(killed))

    def test_a_head_that_comes_back_as_the_scene_ends_is_up_before_it_is_told_to_end(self) -> None:
        trial = self.played(script=LAST_START)
        self.assertEqual([], trial.result.reasons)

    def test_heads_of_a_site_file_with_every_way_struck(self) -> None:
        script = read_script(WAYS)
        self.assertEqual([], unplayable(script, site.PLAYED, site.PARTIES))

        async def work() -> SiteTrial:
            with tempfile.TemporaryDirectory() as folder:
                trial = SiteTrial(RealTransport(8), Processes(Path(folder), SITE), SITE, log_for(), script)
                await trial.play()
                return trial

        start_logs(True, "critical")
        trial = asyncio.run(work())
        r = trial.result
        self.assertEqual(([0] * 4, 0, 0), (r.rules[:4], r.lost, r.duplicated), r.reasons)
        led = Counter((one.split(" ")[0], other.split(" ")[0]) for _, one, other in trial.streams.calls)
        # A process that has ended its connection by the time the system is asked whose it was is not found.
        unknown = led.pop(("", "shelf"), 0)
        self.assertLessEqual(unknown, 0.1 * led["head", "shelf"], "callers that were not found")
        self.assertEqual({("head", "shelf"), ("client", "head"), ("head", "list")}, set(led) - {("", "head")})
        self.assertGreater(r.honoured, 0.5 * r.taken)

    def test_the_judge_sees_a_watch_that_is_never_given_up(self) -> None:
        self.assertGreater(self.played(DEAF).result.rules[2], 0)


class Streams(unittest.TestCase):
    """One way through the relay on the virtual clock."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        network = Network(self.loop, 5, NetworkConditions(split=0.0))
        self.user, self.far, self.mid = (VirtualTransport(network, Disk(), n) for n in ("user", "far", "mid"))
        self.faults = Faults()
        self.relay = StreamRelay(self.mid, self.faults)
        self.relay.way("head 0", "list", ("mid", 1), ("far", 1))
        self.listener = self.far.listen("far", 1, self.echo)
        self.got: list[tuple[float, bytes]] = []
        self.ended = 0.0

    async def echo(self, stream: Stream) -> None:
        try:
            while True:
                stream.write(await stream.read())
        except StreamClosed:
            pass

    async def dial(self) -> Stream:
        """Speaks first, as a relay waits for, and is heard where its way is open."""
        stream = await self.user.connect("mid", 1, 1.0)
        stream.write(b"-")
        self.user.spawn(self.read(stream))
        await self.user.sleep(0.1)
        return stream

    async def read(self, stream: Stream) -> None:
        try:
            while True:
                self.got.append((round(self.user.now(), 1), await stream.read()))
        except StreamClosed:
            self.ended = self.user.now()

    def play(self, work: Any) -> None:
        try:
            self.loop.run_until_complete(work())
        finally:
            for process in (self.user, self.far, self.mid):
                process.kill()
            self.loop.run_until_complete(asyncio.sleep(0.1))

    def test_a_cut_of_one_way_holds_that_way_and_keeps_both_ends_open(self) -> None:
        async def work() -> None:
            way = [("list", "head 0")]
            stream = await self.dial()
            self.faults.cut(way, self.mid.now())
            stream.write(b"one")
            await self.user.sleep(2.0)
            self.assertEqual(([b"-"], 0.0), ([data for _, data in self.got], self.ended))
            self.assertEqual(5, self.relay.bytes, "it reached the other side")
            self.faults.heal(way, self.mid.now())
            await self.user.sleep(0.2)
            self.assertEqual(b"-one", b"".join(data for _, data in self.got))
            self.assertEqual([way[0]], [w for w, _, _ in self.faults.silences])

        self.play(work)

    def test_what_is_muted_stays_open_and_new_connections_are_heard(self) -> None:
        async def work() -> None:
            old = await self.dial()
            self.relay.mute("list", "head 0")
            old.write(b"old")
            await self.user.sleep(1.0)
            self.assertEqual(([b"-"], 0.0), ([data for _, data in self.got], self.ended))
            (await self.dial()).write(b"new")
            await self.user.sleep(0.2)
            self.assertEqual(b"--new", b"".join(data for _, data in self.got))

        self.play(work)

    def test_cuts_add_up_and_a_new_connection_hears_nothing(self) -> None:
        async def work() -> None:
            way = [("head 0", "list")]
            self.faults.cut(way, 0.0)
            self.faults.cut(way, 0.0)
            stays, left = await self.dial(), await self.dial()
            self.faults.heal(way, 1.0)
            await self.user.sleep(1.0)
            self.assertEqual((0, []), (self.relay.bytes, self.got))
            left.close()
            await self.user.sleep(0.1)
            self.faults.heal(way, 2.0)
            await self.user.sleep(0.2)
            self.assertEqual([b"-"], [data for _, data in self.got], "who gave up meanwhile is not led on")
            stays.close()

        self.play(work)

    def test_slow_ways_keep_their_order_and_resets_end_both_sides(self) -> None:
        async def work() -> None:
            stream = await self.dial()
            self.got.clear()
            self.faults.slow["head 0", "list"] = 0.5
            began = self.user.now()
            for n in range(3):
                stream.write(b"%d" % n)
            await self.user.sleep(0.4)
            self.assertEqual([], self.got)
            await self.user.sleep(2.0)
            self.assertEqual(b"012", b"".join(data for _, data in self.got))
            self.relay.reset("list", "head 0")
            await self.user.sleep(0.2)
            self.assertGreater(self.ended, began)
            self.assertEqual({}, self.relay.pairs)
            self.listener.close()
            self.ended = 0.0
            await self.dial()
            self.assertGreater(self.ended, 0.0, "nobody listens behind it")
            self.assertEqual(2, len(self.relay.calls))
            self.relay.close()
            with self.assertRaises(Unreachable):
                await self.dial()

        self.play(work)


class Scripts(unittest.TestCase):
    def test_what_a_scene_cant_play_is_named(self) -> None:
        script = read_script(
            "1 kill head-0 for 1\n2 slow shelf-0 by 2 for 1\n3 pause list for 1\n"
            "4 cut client-archive <-> head-1 for 1\n"
        )
        self.assertEqual(3, len(unplayable(script, PLAYED, ("head", "shelf", "room"))))
        self.assertEqual([], unplayable(read_script(COMEBACK), PLAYED, PARTIES))

    def test_a_point_that_nobody_comes_to_is_told(self) -> None:
        async def work(folder: str) -> Cast:
            processes = Processes(Path(folder), SITE)

            async def start(name: str) -> None:
                await processes.start(name, begins=("-c", "import time; time.sleep(60)"))

            cast = Cast(RealTransport(1), processes, 1, start, lambda line: None)
            await start("head 0")
            script = read_script("heads 1\n0 stab head-0 -> point-take by 2 for 1\n")
            with mock.patch("gorsethread.harness.process_faults.REACHED_WITHIN", 0.1):
                await cast.do(script.acts[0])
                await asyncio.gather(*cast._later)
            self.assertEqual("2", cast.flag(script.acts[0]).read_text())
            await cast.end()
            return cast

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(1, len(asyncio.run(work(folder)).unreached))
