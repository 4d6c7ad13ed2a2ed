"""Races between clients and the gateway: pipelined requests, closed connections, shutdown."""

import asyncio
import json
import signal
import socket
import tempfile
import time
from pathlib import Path

from gorsethread.http_gateway.configuration import read_configuration
from gorsethread.http_gateway.gateway import Gateway
from gorsethread.logs import log_for, start_logs
from gorsethread.transport.real import RealTransport
from tests.crossing.rig import (
    HOST,
    Discovery,
    GatewayProcess,
    Peer,
    ProcessTest,
    Server,
    has_read_all,
    response_bytes,
    wait_until,
)
from tests.live import request_bytes

LARGE = bytes(range(256)) * 7800  # 2 MB; two of these exceed the system's buffers
SHORT_WAITS = {
    "services": [
        {"name": "read", "aim": 0.3, "giveUp": 0.6, "effect": "free", "worth": 2.0},
        {"name": "post", "aim": 0.4, "effect": "single_shot", "worth": 3.0},
    ]
}
LONG_WAITS = [{**service, "giveUp": 9.0} for service in SHORT_WAITS["services"]]
KILLED_AFTER = 3.0 + 0.7  # seconds after SIGTERM, if a client may wait for 3 s or more
ALL_ANSWERED_WITHIN = 0.6 + 0.7  # seconds after SIGTERM; after that the gateway may be killed


class Pipelining(ProcessTest):
    """A client sends more before it has received its answer."""

    def test_requests_sent_far_ahead_of_an_open_one_are_all_answered(self) -> None:
        backend = Server(self)
        self.start(backend)
        body = b"x" * 40_000
        ids = [f"{n:x}" for n in range(0xA1, 0xA7)]
        client = self.connect_and_send(
            b"".join(
                request_bytes(
                    id, "read" if id == "a1" else "post", body=b"" if id == "a1" else body, timeout_ms=9000
                )
                for id in ids
            )
        )
        peer = backend.accept()
        self.assertIn("a1", peer.message().headers["req-id"])
        # All of it, four times what is read ahead, has been sent before the first is answered.
        peer.send(response_bytes(200, b"ok"))
        self.assertEqual(200, client.message().status, "the open request gets its answer")
        for id in ids[1:]:
            peer, request = backend.next_request()
            self.assertIn(id, request.headers["req-id"])
            peer.send(response_bytes(200, b"ok"))
            self.assertEqual(200, client.message().status)

    def test_the_leaving_of_a_client_that_sent_requests_ahead_is_noticed(self) -> None:
        backend = Server(self)
        self.start(backend)
        client = self.connect_and_send(
            request_bytes("b1", timeout_ms=9000)
            + b"".join(request_bytes(f"{n:x}", "post", body=b"x" * 40_000) for n in range(0xC1, 0xC5))
        )
        peer = backend.accept()
        peer.message()
        closed_at = time.monotonic()
        client.close()
        self.assertTrue(peer.wait_for_end(), "its attempt is cancelled")
        self.assertLess(time.monotonic() - closed_at, 0.4)
        self.assertTrue(
            backend.gets_no_connection(0.3), "a request that it had sent ahead is sent on after it left"
        )

    def test_unread_answers_are_bounded_and_all_are_received_in_the_end(self) -> None:
        backend = Server(self)
        self.start(backend)
        number, body = 200, b"y" * 200_000
        client = self.client(receive_buffer=4096)
        client.send(b"".join(request_bytes(f"{n + 1:x}", timeout_ms=9000) for n in range(number)))
        served = 0
        while served < number:
            try:
                peer, _ = backend.next_request(timeout=1.0)
            except TimeoutError:
                break
            peer.send(response_bytes(200, body))
            served += 1
        self.assertLess(served, number // 2, "unread answers accumulate in the gateway's memory")
        self.assertGreater(served, 1)
        read = 0
        while read < number:
            while read < served:
                self.assertEqual(body, client.message().body, "the client receives each answer as it reads")
                read += 1
            if served < number:
                peer, _ = backend.next_request()
                peer.send(response_bytes(200, body))
                served += 1


class LeavesWhileTheGatewayIsStopped(ProcessTest):
    """A client closes its connection while the gateway is stopped.

    After the stop, one iteration of the event loop sees both the close and free slots for the request.
    """

    SLOTS = 4  # a gateway's first concurrency limit at one backend
    STOP_SECONDS = 0.2  # longer than 0.1 s after the close, from when on no attempt may begin

    def test_a_queued_request_is_not_sent_though_its_close_and_a_free_slot_arrive_together(self) -> None:
        for close_comes_first in (True, False):
            with self.subTest(close_comes_first=close_comes_first):
                backend = Server(self)
                self.start(backend)
                clients = [
                    self.connect_and_send(request_bytes(f"a{n}", timeout_ms=5000)) for n in range(self.SLOTS)
                ]
                peers = [backend.next_request()[0] for _ in clients]
                leaving_client = self.connect_and_send(request_bytes("b1", timeout_ms=5000))
                ports = leaving_client.ports
                wait_until(lambda ports=ports: has_read_all(*ports), "a gateway that has read the request")
                self.gateway.send_signal(signal.SIGSTOP)
                steps = [
                    leaving_client.close,
                    *(lambda p=peer: p.send(response_bytes(200)) for peer in peers),
                ]
                for step in steps if close_comes_first else reversed(steps):
                    step()
                time.sleep(self.STOP_SECONDS)
                self.gateway.send_signal(signal.SIGCONT)
                for client in clients:
                    self.assertEqual(200, client.message().status)
                with self.assertRaises(TimeoutError, msg="sent after its client had left"):
                    backend.next_request(timeout=0.4)


class ConnectionEnds(ProcessTest):
    """The gateway ends a connection while the client still sends or has not read everything."""

    def test_an_error_reaches_a_client_that_still_sends_its_body(self) -> None:
        self.start(Server(self))
        client = self.connect_and_send(
            b"PUT /read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n"
            + b"x" * 150_000
        )
        self.assertEqual(413, client.message().status)
        self.assertTrue(client.wait_for_end(), "a reset, which discards what the client has not read yet")

    def test_a_client_that_reads_late_receives_a_large_last_answer_in_full(self) -> None:
        backend = Server(self)
        self.start(backend)
        client = self.client(receive_buffer=4096)
        client.send(
            request_bytes("d1", timeout_ms=5000)
            + request_bytes("d2", timeout_ms=5000, headers="Connection: close\r\n")
        )
        for _ in range(2):
            peer, _ = backend.next_request()
            peer.send(response_bytes(200, LARGE))
            wait_until(lambda peer=peer: has_read_all(*peer.ports), "an answer that the gateway has read")
        self.assertEqual([LARGE, LARGE], [client.message().body, client.message().body])
        self.assertTrue(client.wait_for_end())

    def test_a_request_sent_as_its_idle_connection_ends_is_neither_sent_on_nor_reset(self) -> None:
        backend = Server(self)
        self.start(backend)
        client = self.client()
        self.assertTrue(client.wait_for_end(), "closed, as it sent nothing since it connected")
        client.send(request_bytes("d2"))
        self.assertTrue(client.wait_for_end())
        self.assertTrue(backend.gets_no_connection(0.3))


class UnrelatedFailures(ProcessTest):
    """A request is answered whatever goes wrong with other clients and backends."""

    def test_invalid_clients_and_an_invalid_backend_cost_no_other_client_its_answer(self) -> None:
        good, bad = Server(self), Server(self)
        self.start(good, bad)
        client = self.connect_and_send(request_bytes("aa1", "post", timeout_ms=5000, body=b"x"))
        peer = good.accept()
        peer.message()
        invalid = [
            b"\x16\x03\x01",
            b"GET / HTTP/1.0\r\n\r\n",
            b"PUT /read/7f",
            200 * request_bytes("aa2", "nothing"),
        ]
        others = [self.connect_and_send(invalid[n % len(invalid)]) for n in range(80)]
        failing = self.connect_and_send(request_bytes("aa3", "post", shard=1, timeout_ms=5000, body=b"x"))
        nonsense, _ = bad.next_request()
        nonsense.send(b"\x00\xff what is this\r\n\r\n")
        self.assertEqual(504, failing.message().status, "it may have run")
        for other in others:
            other.reset()
        peer.send(response_bytes(200, b"mine"))
        self.assertEqual(b"mine", client.message().body)
        client.send(request_bytes("aa4"))
        peer, _ = good.next_request()
        peer.send(response_bytes(200, b"and the next"))
        self.assertEqual(b"and the next", client.message().body)


class Shutdown(ProcessTest):
    """Events shortly before, together with and after SIGTERM."""

    def test_a_request_open_at_sigterm_is_answered_and_the_gateway_exits_in_order(self) -> None:
        backend = Server(self)
        self.start(backend, **SHORT_WAITS)
        client = self.connect_and_send(request_bytes("e1", timeout_ms=600))
        peer = backend.accept()
        peer.message()
        self.gateway.send_signal(signal.SIGTERM)
        self.gateway.wait_for_log("gateway ends")
        peer.send(response_bytes(200, b"last"))
        self.assertEqual(b"last", client.message().body)
        self.assertEqual(0, self.gateway.process.wait(5))

    def test_a_request_that_hangs_is_answered_before_the_kill_however_long_its_client_waits(
        self,
    ) -> None:
        backend = Server(self)
        self.start(backend, services=LONG_WAITS)
        reader = self.connect_and_send(request_bytes("a1", timeout_ms=9000))
        writer = self.connect_and_send(request_bytes("a2", "post", timeout_ms=9000, body=b"x"))
        for _ in range(2):
            backend.next_request()
        began = time.monotonic()
        self.gateway.send_signal(signal.SIGTERM)
        self.assertIn(reader.message().status, (503, 504))
        self.assertEqual(504, writer.message().status, "it may still run")
        self.assertLess(time.monotonic() - began, KILLED_AFTER)
        self.assertEqual(0, self.gateway.process.wait(KILLED_AFTER))
        self.assertLess(time.monotonic() - began, KILLED_AFTER)

    def test_the_process_ends_without_the_teardown_of_its_interpreter(self) -> None:
        # Guards against a kill in the teardown, which takes long on a busy machine.
        self.start(Server(self), prelude="import atexit, time; atexit.register(time.sleep, 5)", **SHORT_WAITS)
        began = time.monotonic()
        self.gateway.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.gateway.process.wait(ALL_ANSWERED_WITHIN))
        self.assertLess(time.monotonic() - began, ALL_ANSWERED_WITHIN)
        self.assertEqual(1, len(self.gateway.log_positions("gateway ended")), "its last line is written")

    def test_two_sigterms_with_a_reload_between_shut_down_once_and_in_order(self) -> None:
        backend = Server(self)
        self.start(backend, **SHORT_WAITS)
        client = self.connect_and_send(request_bytes("e2", timeout_ms=600))
        peer = backend.accept()
        peer.message()
        self.gateway.send_signal(signal.SIGSTOP)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.gateway.send_signal(number)
        self.gateway.send_signal(signal.SIGCONT)
        self.gateway.wait_for_log("gateway ends")
        peer.send(response_bytes(200, b"last"))
        self.assertEqual(b"last", client.message().body)
        self.assertEqual(0, self.gateway.process.wait(5))
        self.assertEqual(1, len(self.gateway.log_positions("gateway ended")))

    def test_a_gateway_without_any_list_answers_and_shuts_down(self) -> None:
        silent = Server(self)  # accepts connections and sends nothing
        backend = Server(self)
        self.backends = [backend, Server(self)]
        self.configuration = self.config(silent, [], **SHORT_WAITS)
        self.gateway = GatewayProcess(self, self.configuration)
        client = self.connect_and_send(request_bytes("e3", timeout_ms=600))
        self.gateway.send_signal(signal.SIGTERM)
        self.assertIn(client.message().status, (503, 504))
        self.assertEqual(0, self.gateway.process.wait(5))

    def test_a_partial_request_at_shutdown_gets_an_answer(self) -> None:
        self.start(Server(self), **SHORT_WAITS)
        client = self.client()
        signalled_at = time.monotonic()
        self.gateway.send_signal(signal.SIGTERM)
        self.gateway.wait_for_log("gateway ends")
        client.send(request_bytes("e4", "post", body=b"hello")[:-3])
        self.assertIn(client.message().status, (408, 503))
        self.assertTrue(client.wait_for_end())
        self.assertLess(time.monotonic() - signalled_at, ALL_ANSWERED_WITHIN)
        self.assertEqual(0, self.gateway.process.wait(5))

    def test_requests_read_behind_an_open_one_are_answered_during_shutdown(self) -> None:
        backend = Server(self)
        self.start(backend)
        client = self.connect_and_send(request_bytes("f1", timeout_ms=3000))
        peer = backend.accept()
        peer.message()
        self.gateway.send_signal(signal.SIGTERM)
        self.gateway.wait_for_log("gateway ends")
        # From here on the listener is closed, and each answer may be the last of its connection.
        wait_until(self._refused, "a closed listener")
        client.send(2 * b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        wait_until(lambda: has_read_all(*client.ports), "a gateway that has read the requests")
        peer.send(response_bytes(200, b"one"))
        got = [client.message() for _ in range(3)]
        self.assertEqual([200, 200, 200], [m.status for m in got])
        self.assertEqual(["", "", "close"], [m.headers.get("connection", "") for m in got])
        self.assertTrue(client.wait_for_end())
        self.assertEqual(0, self.gateway.process.wait(5))

    def _refused(self) -> bool:
        try:
            socket.create_connection((HOST, self.gateway.port), 1.0).close()
        except ConnectionRefusedError:
            return True
        return False

    def test_a_client_that_keeps_sending_gets_answers_until_its_connection_ends(self) -> None:
        backend = Server(self)
        self.start(backend, **SHORT_WAITS)
        client = self.client()
        self.gateway.send_signal(signal.SIGTERM)
        answered = 0
        for n in range(100_000):
            client.send(request_bytes(f"{0x1000 + n:x}", timeout_ms=300))
            try:
                peer, _ = backend.next_request(timeout=0.5)
            except TimeoutError:
                break  # sent as its connection ended, which is checked below
            peer.send(response_bytes(200, b"ok"))
            got = client.message()
            answered += 1
            if got.headers.get("connection") == "close":
                break
        self.assertGreater(answered, 10)
        self.assertTrue(client.wait_for_end())
        self.assertEqual(0, self.gateway.process.wait(5))


class ListenerThatCloses(ProcessTest):
    """Runs the gateway in the test's process, so that a client connects just before the listener closes."""

    def test_a_connection_made_just_before_the_listener_closes_is_served(self) -> None:
        self.backends = [Server(self), Server(self)]
        instances = [self.instance(n, backend) for n, backend in enumerate(self.backends)]
        discovery = Discovery(self, instances)
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "config.json"
        path.write_text(json.dumps(self.config(discovery, instances, **SHORT_WAITS)))
        start_logs(True, "critical")
        clients: list[Peer] = []

        async def work() -> None:
            transport = RealTransport()
            configuration = read_configuration(path.read_bytes(), str(path))
            gateway = Gateway(transport, configuration, str(path), log_for())
            gateway.start()
            original_close = gateway._listener.close

            def close() -> None:
                # The system accepts the connection; the event loop runs again after the listener is closed.
                clients.append(Peer(socket.create_connection(configuration.listen, 5)))
                self.addCleanup(clients[0].close)
                clients[0].send(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                original_close()

            gateway._listener.close = close  # type: ignore[method-assign]
            await gateway.end()
            await transport.end()

        asyncio.run(work())
        got = clients[0].message()
        self.assertEqual((200, "close"), (got.status, got.headers["connection"]))
        self.assertTrue(clients[0].wait_for_end())
