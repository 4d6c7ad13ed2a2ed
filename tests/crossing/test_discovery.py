"""Orders that cross between the gateway and discovery: watches replaced, old ones that speak, refusals."""

import asyncio
import json
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from gorsethread.http_gateway.configuration import read_configuration
from gorsethread.http_gateway.gateway import Gateway
from gorsethread.logs import log_for, start_logs
from gorsethread.scheduling.model import SchedulerSettings, SlowStartRule
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.transport.real import RealTransport
from tests.crossing.rig import HOST, PATIENCE, CrossingTest, Discovery, GatewayProcess, Peer, Server, answer
from tests.harness import SCHEDULER_SETTINGS, RecordingActions
from tests.live import SETTINGS, LiveRig, NewsList, wish

READY_WITHIN = 3.0  # seconds from a process's first call, of the 10 that nine in ten restarts may take
TOLD_AFTER = 6.0  # seconds after discovery can be reached, from which a change counts as told


class DiscoveryTest(CrossingTest):
    """The test is discovery, and says byte by byte what it says."""

    def begin(self, plant: str = "") -> Peer:
        self.service = Server(self)
        self.backends = [Server(self), Server(self)]
        self.known = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        self.configuration = self.config(self.service, self.known)
        self.gateway = GatewayProcess(self, self.configuration, plant)
        self.watch = self.service.accept()
        self.target = self.watch.message().target
        return self.watch

    def said(self, generation: int, reset: bool, *instances: dict[str, Any]) -> bytes:
        told = {"generation": generation, "reset": reset, "instances": instances}
        return answer(200, json.dumps(told).encode())

    def is_served(self, number: int) -> None:
        """A request for the backend of that number reaches it and is answered."""
        asker = self.ask(wish(f"a{number}", shard=number))
        peer, _ = self.backends[number].next_request()
        peer.send(answer(200, b"served"))
        self.assertEqual(b"served", asker.message().body)


class PlayedByHand(DiscoveryTest):
    def test_a_watch_that_ends_in_the_middle_of_a_message_is_opened_anew_and_changes_nothing(self) -> None:
        watch = self.begin()
        half = self.said(2, True, self.known[1])
        watch.send(half[:-5])
        watch.close()
        again = self.service.accept()
        self.assertIn("since=1&", again.message().target, "of the half message nothing is believed")
        self.is_served(0)

    def test_an_answer_that_never_ends_is_given_up(self) -> None:
        watch = self.begin()
        began = time.monotonic()
        watch.send(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n")
        again = self.service.accept()
        again.message()
        self.assertLess(time.monotonic() - began, TOLD_AFTER - 1.0)
        # What the old watch says now is not heard: its connection has ended.
        self.assertTrue(watch.ends())
        again.send(self.said(2, False, self.instance(0, self.backends[0], "draining")))
        self.gateway.logged('"endpoint list"', '"generation": 2')

    def test_an_older_list_after_a_newer_is_not_believed_but_asked_for_whole(self) -> None:
        watch = self.begin()
        watch.send(self.said(5, False))
        watch.message()
        watch.send(self.said(4, False, self.instance(0, self.backends[0], "gone")))
        again = self.service.accept()
        self.assertNotIn("since", again.message().target)
        self.is_served(0)
        again.send(self.said(6, True, *self.known))
        self.gateway.logged('"endpoint list"', '"generation": 6')
        self.is_served(1)

    def test_a_process_that_was_told_no_list_asks_for_the_whole_one(self) -> None:
        service = Server(self)
        self.backends = [Server(self), Server(self)]
        config = self.config(service, [])
        del config["known"]
        self.gateway = GatewayProcess(self, config)
        target = service.accept().message().target
        self.assertNotIn("since", target, "changes would build on a list that is none")

    def test_a_backend_back_at_the_same_address_with_another_id_is_another(self) -> None:
        for gone_first in (True, False):
            with self.subTest(gone_first=gone_first):
                watch = self.begin()
                gone = {**self.known[0], "lifecycle": "gone"}
                back = {**self.known[0], "instanceId": "s-new"}
                watch.send(self.said(2, False, *((gone, back) if gone_first else (back, gone))))
                self.gateway.logged('"endpoint list"', '"generation": 2')
                self.is_served(0)

    def test_a_reload_moves_the_watch_while_the_old_one_is_silent(self) -> None:
        self.begin()
        moved = Discovery(self, self.known, generation=7)
        self.gateway.configure({**self.configuration, "discovery": moved.address})
        told = time.monotonic()
        self.gateway.signal(signal.SIGHUP)
        moved.tell(self.instance(0, self.backends[0], "draining"))
        self.gateway.logged('"endpoint list"', '"generation": 8')
        self.assertLess(time.monotonic() - told, 1.0)
        self.assertTrue(self.watch.ends())

    def test_the_old_address_is_heard_before_the_move_or_not_at_all(self) -> None:
        watch = self.begin()
        moved = Discovery(self, self.known, generation=7)
        self.gateway.configure({**self.configuration, "discovery": moved.address})
        self.gateway.signal(signal.SIGSTOP)
        watch.send(self.said(50, False, self.instance(0, self.backends[0], "gone")))
        self.gateway.signal(signal.SIGHUP)
        self.gateway.signal(signal.SIGCONT)
        self.gateway.logged("configuration read again")
        moved.tell(self.instance(1, self.backends[1], "draining"))
        self.gateway.logged('"endpoint list"', '"s-1": "draining"')
        reload = self.gateway.lines("configuration read again")[0]
        self.assertFalse([n for n in self.gateway.lines('"endpoint list"', '"generation": 50') if n > reload])

    def test_idle_clients_in_every_descriptor_keep_no_call_from_discovery(self) -> None:
        watch = self.begin()
        idle = []
        for _ in range(300):
            connection = socket.create_connection(("127.0.0.1", self.gateway.port), 5)
            self.addCleanup(connection.close)
            idle.append(connection)
        watch.close()  # while it is away its watch ends; the next needs a descriptor
        again = self.service.accept()
        again.message()
        again.send(self.said(2, False, self.instance(0, self.backends[0], "draining")))
        self.gateway.logged('"endpoint list"', '"generation": 2')
        self.is_served(1)


class PushedToAnAgent(DiscoveryTest):
    """What the agent on this machine has counts as told from the first moment of a new process."""

    GRACE = 0.25  # seconds

    def begin(self, plant: str = "") -> Peer:
        self.service = Server(self)
        self.backends = [Server(self), Server(self)]
        self.known = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        contract = {**SETTINGS["contract"], "stopSendingWithin": self.GRACE}
        del contract["askWithin"]
        configuration = self.config(self.service, self.known, membershipMode="push")
        configuration["settings"]["contract"] = contract
        self.gateway = GatewayProcess(self, configuration, plant, serves=False)
        self.watch = self.service.accept()
        self.target = self.watch.message().target
        return self.watch

    def test_no_request_is_taken_before_the_agent_has_told_what_drains(self) -> None:
        self.begin()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((HOST, self.gateway.port), 1.0)
        self.watch.send(self.said(2, False, self.instance(0, self.backends[0], "draining")))
        self.gateway.logged("gateway serves")
        asker = self.ask(wish("a1", patience=600))
        with self.assertRaises(TimeoutError, msg="sent to a backend whose drain counted as told"):
            self.backends[0].next_request(within=0.8)
        self.assertIn(asker.message().status, (503, 504))
        self.is_served(1)

    def test_an_agent_that_refuses_is_not_waited_for(self) -> None:
        self.begin()
        self.watch.send(answer(503))
        self.gateway.logged("gateway serves")
        self.is_served(0)

    def test_an_agent_that_began_anew_is_asked_for_the_whole_list_first(self) -> None:
        self.begin()
        self.watch.send(self.said(0, False))  # older than what this process was told
        again = self.service.accept()
        self.assertEqual("/v1/servers", again.message().target)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((HOST, self.gateway.port), 1.0)
        again.send(self.said(0, True, self.known[1]))
        self.gateway.logged("gateway serves")
        asker = self.ask(wish("a1", patience=600))
        with self.assertRaises(TimeoutError, msg="sent to a backend that the agent does not know"):
            self.backends[0].next_request(within=0.8)
        self.assertIn(asker.message().status, (503, 504))

    def test_an_agent_that_hangs_is_waited_for_a_moment_only(self) -> None:
        self.begin()
        began = time.monotonic()
        self.gateway.logged("gateway serves")
        self.assertLess(time.monotonic() - began, READY_WITHIN)
        self.is_served(0)

    def test_told_to_end_meanwhile_it_ends_at_once(self) -> None:
        self.begin()
        self.gateway.signal(signal.SIGTERM)
        self.assertEqual(0, self.gateway.process.wait(READY_WITHIN))


class SlowOrHanging(DiscoveryTest):
    """Discovery takes its time, or takes calls and answers none of them."""

    CROWDED = 1.7  # seconds behind a call's wait that a crowded service may answer
    HANGS = 3  # calls in turn that it answers nothing to
    ANSWERED_IN = 0.5  # seconds that the call after these may take
    LONGEST_PAUSES = (
        "from gorsethread.scheduling.random_draws import RandomDraws; RandomDraws.next = lambda self: 0.999"
    )

    def stays_open(self, peer: Peer, seconds: float) -> bool:
        peer.socket.settimeout(seconds)
        try:
            return bool(peer.socket.recv(1))
        except TimeoutError:
            return True
        finally:
            peer.socket.settimeout(PATIENCE)

    def test_an_answer_that_comes_late_is_waited_for_and_believed(self) -> None:
        self.begin()
        self.watch.send(self.said(7, True, *self.known))
        for generation in (8, 9):
            target = self.watch.message().target
            wait = int(target.rpartition("=")[2]) / 1000
            self.assertTrue(self.stays_open(self.watch, wait + self.CROWDED), "given up too early")
            self.watch.send(self.said(generation, False, self.instance(0, self.backends[0], "draining")))
            self.gateway.logged('"endpoint list"', f'"generation": {generation}')

    def test_a_whole_list_that_comes_late_is_waited_for_and_believed(self) -> None:
        self.begin()
        self.watch.send(self.said(7, True, *self.known))
        self.watch.message()
        self.watch.send(self.said(3, False))  # older than what is known: the whole list is asked for
        self.assertTrue(self.watch.ends())
        again = self.service.accept()
        self.assertEqual("/v1/servers", again.message().target)
        self.assertTrue(self.stays_open(again, self.CROWDED), "given up too early")
        again.send(self.said(3, True, self.known[1]))
        self.gateway.logged('"endpoint list"', '"generation": 3')

    def test_however_many_calls_hang_the_next_is_answered_before_what_it_brings_counts_as_told(self) -> None:
        self.begin(self.LONGEST_PAUSES)
        self.watch.send(self.said(7, True, *self.known))
        self.watch.message()
        reachable_at = time.monotonic()
        for _ in range(self.HANGS):
            # From now on it could be reached; the call that is out has hung already.
            self.assertTrue(self.watch.ends())
            self.watch = self.service.accept()
            self.watch.message()
            waited = time.monotonic() - reachable_at
            self.assertLess(waited, TOLD_AFTER - self.ANSWERED_IN)
            reachable_at = time.monotonic()


class OldAddressInTheTurnOfTheMove(DiscoveryTest):
    """In this process, whose loop lets a test choose what is done in one turn, and in which order."""

    def test_an_answer_that_was_read_in_that_turn_is_not_believed(self) -> None:
        old, new = Server(self), Server(self)
        self.backends = [Server(self), Server(self)]
        self.known = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "config.json"
        path.write_text(json.dumps(self.config(old, self.known)))
        start_logs(True, "critical")

        async def work() -> None:
            transport = RealTransport()
            order = read_configuration(path.read_bytes(), str(path))
            head = Gateway(transport, order, str(path), log_for())
            head.discovery.start(order.known)
            await transport.sleep(0.1)
            watch = old.accept()
            watch.message()
            # The loop reads what has come before it calls what is due, and wakes the reader in the next turn.
            watch.send(self.said(50, False, self.instance(0, self.backends[0], "gone")))
            transport.call_at(transport.now(), lambda: head.discovery.moved((HOST, new.port)))
            await transport.sleep(0.1)
            self.assertEqual(1, head.discovery.version)
            self.assertEqual(2, len(head.discovery.updates.known))
            self.assertIn("since=1&", new.accept().message().target)
            await transport.end()

        asyncio.run(work())


class Refusals(unittest.TestCase):
    """The decisions alone: when is discovery asked again?"""

    def scheduler(self, ask_within: float, heads: int, seed: int) -> tuple[Scheduler, RecordingActions]:
        host = RecordingActions()
        facts = SchedulerSettings(
            **{
                **SCHEDULER_SETTINGS,
                "gateways": heads,
                "polls_endpoints": True,
                "poll_within": ask_within,
                "slow_start": SlowStartRule(8.0, 2.0, 10.0, 0.25),
            }
        )
        return Scheduler(host, facts, seed), host

    def test_however_often_it_refused_it_is_asked_in_time_once_it_can_be_reached(self) -> None:
        for ask_within in (2.0, 10.0, 60.0, 600.0):
            for heads in (1, 6, 200):
                for refused in range(1, 40):
                    scheduler, host = self.scheduler(ask_within, heads, 7 * refused + heads)
                    for _ in range(refused):
                        scheduler.endpoint_poll_failed()
                    pause = scheduler.polling.next_poll_at - host.now
                    self.assertLessEqual(pause, TOLD_AFTER - 2.0, (ask_within, heads, refused))

    def test_the_longer_a_call_hung_the_sooner_the_next(self) -> None:
        for ask_within in (2.0, 10.0, 60.0, 600.0):
            for refused in range(1, 40):
                for waited in (0.0, 1.0, 2.5, 3.9, 4.2):
                    scheduler, host = self.scheduler(ask_within, 200, refused)
                    for _ in range(refused):
                        scheduler.endpoint_poll_failed(waited)
                    pause = scheduler.polling.next_poll_at - host.now
                    self.assertLessEqual(waited + pause, TOLD_AFTER - 1.0, (ask_within, refused, waited))

    def test_a_new_process_asks_in_time_however_long_a_list_may_stand(self) -> None:
        for ask_within in (2.0, 10.0, 60.0, 600.0):
            for seed in range(50):
                scheduler, host = self.scheduler(ask_within, 200, seed)
                self.assertLessEqual(scheduler.polling.next_poll_at - host.now, 2.0)

    def test_a_first_refusal_leaves_time_for_the_answer_of_a_watch_that_fell_silent(self) -> None:
        """A silence shows after 4 s; what it hides counts as told after 6."""
        for ask_within in (2.0, 10.0, 60.0, 600.0):
            for seed in range(50):
                scheduler, host = self.scheduler(ask_within, 200, seed)
                scheduler.endpoint_list_begins(False, False)
                scheduler.endpoint_list_ended()
                scheduler.endpoint_poll_failed()
                self.assertLessEqual(scheduler.polling.next_poll_at - host.now, 1.0)


class RefusalsBeforeAMove(LiveRig):
    def test_they_lengthen_no_pause_of_the_new_address(self) -> None:
        async def work() -> None:
            head = self.start()
            self.list.down = True
            await self.wait(30.0)
            self.assertGreater(head.driver.scheduler.polling.failures, 3)
            new = NewsList(self.process("list2"), ("list2", 1), generation=1)
            new.down = True
            self.configure(discovery="list2:1")
            self.transport.reload()
            await self.wait(0.1)
            self.assertEqual(1, len(new.asked))
            self.assertEqual(1, head.driver.scheduler.polling.failures, "as after a first refusal")

        self.play(work)
