"""Races between the gateway and discovery: broken and replaced watches, late answers, backoff."""

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
from tests.crossing.rig import (
    HOST,
    STEP_TIMEOUT,
    Discovery,
    GatewayProcess,
    Peer,
    ProcessTest,
    Server,
    response_bytes,
)
from tests.harness import SCHEDULER_SETTINGS, RecordingActions
from tests.live import SETTINGS, FakeDiscovery, GatewayTest, request_bytes

READY_WITHIN = 3.0  # seconds from a process's first call; nine in ten restarts have to take at most 10 s
NOTIFIED_AFTER = 6.0  # seconds after discovery is reachable, a gateway counts as notified of a change


class DiscoveryTest(ProcessTest):
    """The test itself plays discovery and controls every byte of its answers."""

    def begin(self, prelude: str = "") -> Peer:
        self.service = Server(self)
        self.backends = [Server(self), Server(self)]
        self.known = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        self.configuration = self.config(self.service, self.known)
        self.gateway = GatewayProcess(self, self.configuration, prelude)
        self.watch = self.service.accept()
        self.target = self.watch.message().target
        return self.watch

    def list_response(self, generation: int, reset: bool, *instances: dict[str, Any]) -> bytes:
        content = {"generation": generation, "reset": reset, "instances": instances}
        return response_bytes(200, json.dumps(content).encode())

    def assert_served(self, number: int) -> None:
        """Checks that a request for the backend of that number reaches it and is answered."""
        client = self.connect_and_send(request_bytes(f"a{number}", shard=number))
        peer, _ = self.backends[number].next_request()
        peer.send(response_bytes(200, b"served"))
        self.assertEqual(b"served", client.message().body)


class WatchFailures(DiscoveryTest):
    def test_a_watch_that_ends_within_an_answer_is_reopened_and_changes_nothing(self) -> None:
        watch = self.begin()
        response = self.list_response(2, True, self.known[1])
        watch.send(response[:-5])
        watch.close()
        again = self.service.accept()
        self.assertIn("since=1&", again.message().target, "nothing of the partial answer is applied")
        self.assert_served(0)

    def test_an_answer_that_never_ends_times_out(self) -> None:
        watch = self.begin()
        began = time.monotonic()
        watch.send(b"HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n")
        again = self.service.accept()
        again.message()
        self.assertLess(time.monotonic() - began, NOTIFIED_AFTER - 1.0)
        # Nothing more can arrive on the old watch: the gateway has ended its connection.
        self.assertTrue(watch.wait_for_end())
        again.send(self.list_response(2, False, self.instance(0, self.backends[0], "draining")))
        self.gateway.wait_for_log('"endpoint list"', '"generation": 2')

    def test_an_older_list_after_a_newer_one_is_not_applied_and_the_complete_list_is_requested(self) -> None:
        watch = self.begin()
        watch.send(self.list_response(5, False))
        watch.message()
        watch.send(self.list_response(4, False, self.instance(0, self.backends[0], "gone")))
        again = self.service.accept()
        self.assertNotIn("since", again.message().target)
        self.assert_served(0)
        again.send(self.list_response(6, True, *self.known))
        self.gateway.wait_for_log('"endpoint list"', '"generation": 6')
        self.assert_served(1)

    def test_a_process_without_a_known_list_requests_the_complete_one(self) -> None:
        service = Server(self)
        self.backends = [Server(self), Server(self)]
        config = self.config(service, [])
        del config["known"]
        self.gateway = GatewayProcess(self, config)
        target = service.accept().message().target
        self.assertNotIn("since", target, "there is no list to which changes could be applied")

    def test_a_new_id_at_the_address_of_a_gone_backend_is_another_backend(self) -> None:
        for gone_first in (True, False):
            with self.subTest(gone_first=gone_first):
                watch = self.begin()
                gone = {**self.known[0], "lifecycle": "gone"}
                replacement = {**self.known[0], "instanceId": "s-new"}
                watch.send(
                    self.list_response(
                        2, False, *((gone, replacement) if gone_first else (replacement, gone))
                    )
                )
                self.gateway.wait_for_log('"endpoint list"', '"generation": 2')
                self.assert_served(0)

    def test_a_reload_moves_a_silent_watch(self) -> None:
        self.begin()
        moved = Discovery(self, self.known, generation=7)
        self.gateway.configure({**self.configuration, "discovery": moved.address})
        signalled_at = time.monotonic()
        self.gateway.send_signal(signal.SIGHUP)
        moved.publish(self.instance(0, self.backends[0], "draining"))
        self.gateway.wait_for_log('"endpoint list"', '"generation": 8')
        self.assertLess(time.monotonic() - signalled_at, 1.0)
        self.assertTrue(self.watch.wait_for_end())

    def test_no_answer_from_the_old_address_is_applied_after_the_move(self) -> None:
        watch = self.begin()
        moved = Discovery(self, self.known, generation=7)
        self.gateway.configure({**self.configuration, "discovery": moved.address})
        self.gateway.send_signal(signal.SIGSTOP)
        watch.send(self.list_response(50, False, self.instance(0, self.backends[0], "gone")))
        self.gateway.send_signal(signal.SIGHUP)
        self.gateway.send_signal(signal.SIGCONT)
        self.gateway.wait_for_log("configuration read again")
        moved.publish(self.instance(1, self.backends[1], "draining"))
        self.gateway.wait_for_log('"endpoint list"', '"s-1": "draining"')
        reload = self.gateway.log_positions("configuration read again")[0]
        self.assertFalse(
            [n for n in self.gateway.log_positions('"endpoint list"', '"generation": 50') if n > reload]
        )

    def test_idle_clients_leave_a_descriptor_for_the_watch(self) -> None:
        watch = self.begin()
        idle = []
        for _ in range(300):
            connection = socket.create_connection(("127.0.0.1", self.gateway.port), 5)
            self.addCleanup(connection.close)
            idle.append(connection)
        watch.close()  # the next watch needs a descriptor
        again = self.service.accept()
        again.message()
        again.send(self.list_response(2, False, self.instance(0, self.backends[0], "draining")))
        self.gateway.wait_for_log('"endpoint list"', '"generation": 2')
        self.assert_served(1)


class PushedLists(DiscoveryTest):
    """A new process counts as notified, from its start, of the list that the agent on this machine has."""

    DRAIN_GRACE = 0.25  # seconds

    def begin(self, prelude: str = "") -> Peer:
        self.service = Server(self)
        self.backends = [Server(self), Server(self)]
        self.known = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        contract = {**SETTINGS["contract"], "stopSendingWithin": self.DRAIN_GRACE}
        del contract["askWithin"]
        configuration = self.config(self.service, self.known, membershipMode="push")
        configuration["settings"]["contract"] = contract
        self.gateway = GatewayProcess(self, configuration, prelude, wait_until_serving=False)
        self.watch = self.service.accept()
        self.target = self.watch.message().target
        return self.watch

    def test_no_request_is_accepted_before_the_agents_list_is_applied(self) -> None:
        self.begin()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((HOST, self.gateway.port), 1.0)
        self.watch.send(self.list_response(2, False, self.instance(0, self.backends[0], "draining")))
        self.gateway.wait_for_log("gateway serves")
        client = self.connect_and_send(request_bytes("a1", timeout_ms=600))
        with self.assertRaises(
            TimeoutError, msg="sent to a backend whose drain the gateway counts as notified of"
        ):
            self.backends[0].next_request(timeout=0.8)
        self.assertIn(client.message().status, (503, 504))
        self.assert_served(1)

    def test_the_gateway_serves_at_once_if_the_agent_refuses(self) -> None:
        self.begin()
        self.watch.send(response_bytes(503))
        self.gateway.wait_for_log("gateway serves")
        self.assert_served(0)

    def test_the_complete_list_of_a_restarted_agent_is_requested_before_serving(self) -> None:
        self.begin()
        self.watch.send(self.list_response(0, False))  # older than the list in the configuration
        again = self.service.accept()
        self.assertEqual("/v1/servers", again.message().target)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((HOST, self.gateway.port), 1.0)
        again.send(self.list_response(0, True, self.known[1]))
        self.gateway.wait_for_log("gateway serves")
        client = self.connect_and_send(request_bytes("a1", timeout_ms=600))
        with self.assertRaises(TimeoutError, msg="sent to a backend that is not in the agent's list"):
            self.backends[0].next_request(timeout=0.8)
        self.assertIn(client.message().status, (503, 504))

    def test_the_gateway_serves_after_a_short_wait_if_the_agent_hangs(self) -> None:
        self.begin()
        began = time.monotonic()
        self.gateway.wait_for_log("gateway serves")
        self.assertLess(time.monotonic() - began, READY_WITHIN)
        self.assert_served(0)

    def test_sigterm_while_waiting_for_the_agent_ends_the_gateway_at_once(self) -> None:
        self.begin()
        self.gateway.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.gateway.process.wait(READY_WITHIN))


class SlowOrHangingDiscovery(DiscoveryTest):
    """Discovery answers late, or accepts calls and answers none of them."""

    OVERLOAD_DELAY = 1.7  # seconds after a call's wait, within which an overloaded service may answer
    HANGING_CALLS = 3  # consecutive calls without any answer
    ANSWER_TIME = 0.5  # seconds that the call after these may take
    LONGEST_BACKOFFS = (
        "from gorsethread.scheduling.random_draws import RandomDraws; RandomDraws.next = lambda self: 0.999"
    )

    def stays_open(self, peer: Peer, seconds: float) -> bool:
        peer.socket.settimeout(seconds)
        try:
            return bool(peer.socket.recv(1))
        except TimeoutError:
            return True
        finally:
            peer.socket.settimeout(STEP_TIMEOUT)

    def test_a_late_answer_is_waited_for_and_applied(self) -> None:
        self.begin()
        self.watch.send(self.list_response(7, True, *self.known))
        for generation in (8, 9):
            target = self.watch.message().target
            wait = int(target.rpartition("=")[2]) / 1000
            self.assertTrue(
                self.stays_open(self.watch, wait + self.OVERLOAD_DELAY), "the call ended too early"
            )
            self.watch.send(
                self.list_response(generation, False, self.instance(0, self.backends[0], "draining"))
            )
            self.gateway.wait_for_log('"endpoint list"', f'"generation": {generation}')

    def test_a_late_complete_list_is_waited_for_and_applied(self) -> None:
        self.begin()
        self.watch.send(self.list_response(7, True, *self.known))
        self.watch.message()
        self.watch.send(
            self.list_response(3, False)
        )  # older than the current list, so the complete list is requested
        self.assertTrue(self.watch.wait_for_end())
        again = self.service.accept()
        self.assertEqual("/v1/servers", again.message().target)
        self.assertTrue(self.stays_open(again, self.OVERLOAD_DELAY), "the call ended too early")
        again.send(self.list_response(3, True, self.known[1]))
        self.gateway.wait_for_log('"endpoint list"', '"generation": 3')

    def test_after_hanging_calls_the_next_call_is_made_before_the_gateway_counts_as_notified(self) -> None:
        self.begin(self.LONGEST_BACKOFFS)
        self.watch.send(self.list_response(7, True, *self.known))
        self.watch.message()
        reachable_at = time.monotonic()
        for _ in range(self.HANGING_CALLS):
            # Discovery is reachable from now on; the call in flight already hangs.
            self.assertTrue(self.watch.wait_for_end())
            self.watch = self.service.accept()
            self.watch.message()
            waited = time.monotonic() - reachable_at
            self.assertLess(waited, NOTIFIED_AFTER - self.ANSWER_TIME)
            reachable_at = time.monotonic()


class AnswerDuringAMove(DiscoveryTest):
    """Runs the gateway in the test's process, so that the test controls one iteration of the event loop."""

    def test_an_answer_read_in_the_same_loop_iteration_as_the_move_is_not_applied(self) -> None:
        old, new = Server(self), Server(self)
        self.backends = [Server(self), Server(self)]
        self.known = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "config.json"
        path.write_text(json.dumps(self.config(old, self.known)))
        start_logs(True, "critical")

        async def work() -> None:
            transport = RealTransport()
            configuration = read_configuration(path.read_bytes(), str(path))
            gateway = Gateway(transport, configuration, str(path), log_for())
            gateway.discovery.start(configuration.known_endpoints)
            # In threads: these wait for what the event loop has yet to send.
            watch = await asyncio.to_thread(old.accept)
            await asyncio.to_thread(watch.message)
            # The event loop reads sockets before it runs due callbacks, and resumes the reader one iteration
            # later.
            watch.send(self.list_response(50, False, self.instance(0, self.backends[0], "gone")))
            transport.call_at(transport.now(), lambda: gateway.discovery.move_to((HOST, new.port)))
            await transport.sleep(0.1)
            self.assertEqual(1, gateway.discovery.version)
            self.assertEqual(2, len(gateway.discovery.updates.known))
            moved = await asyncio.to_thread(new.accept)
            self.assertIn("since=1&", (await asyncio.to_thread(moved.message)).target)
            await transport.end()

        asyncio.run(work())


class PollBackoff(unittest.TestCase):
    """The scheduler alone: when it polls discovery again after failures."""

    def scheduler(self, poll_within: float, gateways: int, seed: int) -> tuple[Scheduler, RecordingActions]:
        host = RecordingActions()
        settings = SchedulerSettings(
            **{
                **SCHEDULER_SETTINGS,
                "gateways": gateways,
                "polls_endpoints": True,
                "poll_within": poll_within,
                "slow_start": SlowStartRule(8.0, 2.0, 10.0, 0.25),
            }
        )
        return Scheduler(host, settings, seed), host

    def test_the_backoff_is_bounded_after_any_number_of_failures(self) -> None:
        for poll_within in (2.0, 10.0, 60.0, 600.0):
            for gateways in (1, 6, 200):
                for failures in range(1, 40):
                    scheduler, host = self.scheduler(poll_within, gateways, 7 * failures + gateways)
                    for _ in range(failures):
                        scheduler.endpoint_poll_failed()
                    pause = scheduler.polling.next_poll_at - host.now
                    self.assertLessEqual(pause, NOTIFIED_AFTER - 2.0, (poll_within, gateways, failures))

    def test_the_longer_a_call_hung_the_shorter_the_backoff(self) -> None:
        for poll_within in (2.0, 10.0, 60.0, 600.0):
            for failures in range(1, 40):
                for waited in (0.0, 1.0, 2.5, 3.9, 4.2):
                    scheduler, host = self.scheduler(poll_within, 200, failures)
                    for _ in range(failures):
                        scheduler.endpoint_poll_failed(waited)
                    pause = scheduler.polling.next_poll_at - host.now
                    self.assertLessEqual(
                        waited + pause, NOTIFIED_AFTER - 1.0, (poll_within, failures, waited)
                    )

    def test_a_new_process_polls_within_two_seconds_whatever_the_poll_interval(self) -> None:
        for poll_within in (2.0, 10.0, 60.0, 600.0):
            for seed in range(50):
                scheduler, host = self.scheduler(poll_within, 200, seed)
                self.assertLessEqual(scheduler.polling.next_poll_at - host.now, 2.0)

    def test_the_backoff_after_a_first_failure_is_at_most_one_second(self) -> None:
        """A silent watch is detected after 4 s; what it missed counts as notified after 6 s."""
        for poll_within in (2.0, 10.0, 60.0, 600.0):
            for seed in range(50):
                scheduler, host = self.scheduler(poll_within, 200, seed)
                scheduler.endpoint_list_begins(False, False)
                scheduler.endpoint_list_ended()
                scheduler.endpoint_poll_failed()
                self.assertLessEqual(scheduler.polling.next_poll_at - host.now, 1.0)


class FailuresBeforeAMove(GatewayTest):
    def test_failures_at_the_old_address_do_not_lengthen_the_backoff_at_the_new_one(self) -> None:
        async def work() -> None:
            gateway = self.start()
            self.discovery.unavailable = True
            await self.wait(30.0)
            self.assertGreater(gateway.driver.scheduler.polling.failures, 3)
            new = FakeDiscovery(self.process("list2"), ("list2", 1), generation=1)
            new.unavailable = True
            self.configure(discovery="list2:1")
            self.transport.reload()
            await self.wait(0.1)
            self.assertEqual(1, len(new.targets))
            self.assertEqual(1, gateway.driver.scheduler.polling.failures, "as after a first failure")

        self.run_scenario(work)
