"""Membership in running gateways: processes behind a relay with faults, rejected datagrams, the commands."""

import asyncio
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

import pytest

from gorsethread.cli.fleet import record_as_json
from gorsethread.experiments.membership_processes import FLEET, PARTIES, PLAYED, RealFleet
from gorsethread.experiments.operator_queries import NoAnswer, Shown, ask, ask_past
from gorsethread.harness.process_faults import unsupported_acts
from gorsethread.harness.processes import Processes, resize_site
from gorsethread.logs import log_for, start_logs
from gorsethread.membership.gossip_messages import (
    GossipMessage,
    MemberRecord,
    MemberState,
    MessageKind,
    encode,
)
from gorsethread.nvme_gateway.membership_service import MembershipService
from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.simulation.script import read_script
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import read_site, split_address
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, VirtualLoop, VirtualTransport

SCRIPT = """seed 3
heads 7
0.5 kill head-0 for 0.5
0.6 vanish head-1 for 0.5
0.7 term head-2 for 1
0.8 pause head-3 for 3
14 cut room-0 <-> room-1 for 3
"""


@pytest.mark.processes
class RealProcesses(unittest.IsolatedAsyncioTestCase):
    async def test_processes_agree_on_one_view_after_faults(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            fleet = RealFleet(
                RealTransport(3), Processes(Path(folder), pb.Site()), read_script(SCRIPT), lambda line: None
            )
            result = await fleet.play()
        self.assertEqual(
            (True, 0, 0, []), (result.settled, result.false_deaths, result.missed_deaths, result.reasons)
        )
        self.assertEqual(3, len(result.settle_seconds))
        self.assertLess(result.bytes_a_head_a_second, 1500)

    async def test_gateways_see_a_kill_a_restart_and_a_graceful_shutdown_of_others(self) -> None:
        site = resize_site(read_site(Path(__file__).parent.parent / "deploy" / "site.txtpb"), 4, 2)
        transport = RealTransport(3)

        async def until(gateway: int, condition: Callable[[Shown], bool]) -> Shown:
            """Queries the view of a gateway until it meets a condition; fails after 25 s."""
            address = split_address(site.head[gateway].peers)
            deadline = transport.now() + 25.0
            while True:
                try:
                    shown = await ask(transport, address, fleet_id(site), 1.0)
                except NoAnswer:
                    shown = Shown()
                if condition(shown):
                    return shown
                self.assertLess(transport.now(), deadline, f"gateway {gateway}: {shown.words}")
                await asyncio.sleep(0.2)

        def states(shown: Shown) -> list[int]:
            return [shown.words[n].state for n in sorted(shown.words)]

        with tempfile.TemporaryDirectory() as folder:
            processes = Processes(Path(folder), site)

            async def start(number: int) -> None:
                await processes.start(
                    f"head {number}",
                    "head",
                    "--site",
                    str(processes.site_path),
                    "--head",
                    str(number),
                    "--log",
                    "json",
                )

            try:
                await asyncio.gather(*(start(n) for n in range(4)))
                before = await until(0, lambda s: states(s) == [MemberState.ALIVE] * 4 and "settled" in s.own)
                await processes.end("head 1", signal.SIGKILL)
                await start(1)
                restarted = await until(
                    0,
                    lambda s: s.words[1].incarnation > before.words[1].incarnation
                    and s.words[1].state == MemberState.ALIVE,
                )
                await processes.end("head 2")
                for gateway in (0, 3):
                    await until(
                        gateway,
                        lambda s: s.words[2].state == MemberState.LEFT
                        and s.words[1].incarnation == restarted.words[1].incarnation,
                    )
                await processes.end("head 3", signal.SIGKILL)
                await until(0, lambda s: s.words[3].state == MemberState.DEAD)
            finally:
                statuses = await processes.end_all()
        self.assertEqual({"head 0": 0, "head 1": 0}, statuses)

    async def test_a_fleet_whose_views_never_agree_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            transport = RealTransport(3)
            fleet = RealFleet(
                transport, Processes(Path(folder), pb.Site()), read_script("heads 2\n"), lambda line: None
            )
            fleet.fault_player.faults.cut([("head 0", "head 1"), ("head 1", "head 0")], 0.0)
            await asyncio.gather(*(fleet._start(f"head {n}") for n in range(2)))
            await fleet._settle(6.0, "a cut that stays")
            fleet.script = read_script("heads 2\n")
            await fleet.processes.end_all()
            fleet.relay.close()
        self.assertEqual(1, fleet.result.views_differ)
        self.assertGreater(fleet.result.false_deaths, 0)

    def test_unusable_scripts_and_addresses_are_rejected(self) -> None:
        unsupported = read_script("1 slow shelf-0 by 2 for 1\n2 starve head-0 by 1 for 1\n")
        self.assertEqual(2, len(unsupported_acts(unsupported, PLAYED, PARTIES)))
        for arguments, message in (
            (("fleet", "show", "--head", "nowhere"), "is not host:port"),
            (("fleet", "show", "--head", "127.0.0.1:9"), "no answer"),
            (("fleet", "history", "--head", "127.0.0.1:9"), "no answer"),
            (("fleet", "watch", "--head", "127.0.0.1:9", "--every", "0"), "0.1 or more"),
            (("fleet", "show", "--head", "9", "--site", "deploy/site.txtpb"), "no gateway"),
            (("fleet", "show", "--head", "0", "--site", "/nowhere"), "can't be read"),
            (("lab", "fleet", "--processes", "1"), "2 or more"),
            (("lab", "fleet", "--script", "/nowhere"), "No such file"),
        ):
            finished = subprocess.run(
                [sys.executable, "-m", "gorsethread", *arguments], capture_output=True, text=True, timeout=60
            )
            self.assertEqual((2, True), (finished.returncode, message in finished.stderr), finished.stderr)


class VirtualProcesses(unittest.TestCase):
    def test_foreign_datagrams_are_counted_and_ignored_and_operators_are_answered(self) -> None:
        start_logs(True, "critical")
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        network, sides = Network(loop, 4), []
        addresses = [("127.0.0.1", 100 + n) for n in range(3)]
        for n in range(3):
            process = VirtualTransport(network, Disk(), f"head {n}")
            side = MembershipService(
                process,
                MemberRecord(n, 0, 0, MemberState.ALIVE, 0, 0, *addresses[n], n),
                addresses[n],
                tuple(addresses),
                frozenset(addresses),
                FLEET,
                log_for(),
            )
            side.start()
            sides.append(side)
        stranger = VirtualTransport(network, Disk(), "stranger")
        port = stranger.datagrams("127.0.0.9", 1, lambda data, source: None)
        death = MemberRecord(1, 2**50, 0, MemberState.DEAD, 0, 0, *addresses[1], 2)
        message = GossipMessage(MessageKind.ACK, 2, 1, 0, 0, (death,))
        valid = encode(message, FLEET)
        for data in (b"noise", valid, encode(message, FLEET + 1), valid[:20]):
            loop.call_later(8.0, port.send, addresses[0], data)
        task = loop.create_task(ask(stranger, addresses[0], FLEET))
        loop.call_later(9.0, lambda: None)
        shown = loop.run_until_complete(task)
        self.assertEqual(0, shown.me.member if shown.me else -1)
        after_messages = loop.create_future()
        loop.call_later(10.0, after_messages.set_result, None)
        loop.run_until_complete(after_messages)
        self.assertEqual(
            {"malformed": 2, "from no peer": 1, "another fleet": 1}, dict(sides[0].dropped_datagrams)
        )
        self.assertEqual([True] * 3, [side.view.settled for side in sides])
        sides[2].stop()
        after_leaving = loop.create_future()
        loop.call_later(5.0, after_leaving.set_result, None)
        loop.run_until_complete(after_leaving)
        self.assertEqual([MemberState.LEFT] * 2, [side.view.records[2].state for side in sides[:2]])
        history = loop.run_until_complete(ask_past(stranger, addresses[0], FLEET))
        self.assertEqual(
            [
                (change.record, round(sides[0].transport.now() - change.at))
                for change in sides[0].view.history
            ],
            [(record, round(age)) for age, record in history],
        )
        self.assertEqual((2, MemberState.LEFT), (history[-1][1].member, history[-1][1].state))


def test_the_command_prints_records_in_json_with_stable_names() -> None:
    record = MemberRecord(2, 7, 1, MemberState.SUSPECT, 3, 4, "10.0.0.1", 9, 5)
    first_fields = {"name": 2, "life": 7, "incarnation": 1, "state": 1, "zone": 3, "machine": 4}
    assert list(record_as_json(record).items()) == [
        *first_fields.items(),
        ("host", "10.0.0.1"),
        ("port", 9),
        ("by", 5),
    ]
