"""Races between the gateway and its backends: connects, drains, timeouts, answers cut off midway."""

import signal
import socket
import time

from tests.crossing.rig import (
    CONNECTING,
    HOST,
    ProcessTest,
    Server,
    SlowAcceptServer,
    connections_to,
    response_bytes,
    wait_until,
)
from tests.live import SETTINGS, request_bytes

DRAIN_GRACE = 0.25  # seconds; shorter than the second after which a system retries a SYN
SLOW_CONNECTS = {"permissions": {"dialTimeout": 5.0}, "contract": {"stopSendingWithin": DRAIN_GRACE}}
SLACK_MS = 150  # by which the time sent to a backend may exceed what the client has left


class SlowConnections(ProcessTest):
    """The gateway has chosen a backend, and something happens before the connection is established."""

    def begin(self, timeout_ms: int = 2500, request_class: str = "read") -> None:
        self.backend = SlowAcceptServer(self)
        self.start(self.backend, **SLOW_CONNECTS)
        self.sent_at = time.monotonic()
        self.waiting_client = self.connect_and_send(request_bytes("a1", request_class, timeout_ms=timeout_ms))
        self.backend.wait_for_connecting()

    def test_a_backend_that_begins_to_drain_gets_no_request_after_the_drain_grace(self) -> None:
        for state in ("draining", "gone"):
            with self.subTest(state=state):
                self.begin()
                self.discovery.publish(self.instance(0, self.backend, state))
                self.gateway.wait_for_log('"endpoint list"', f'"s-0": "{state}"')
                late = self.backend.accept_late()
                self.assertIn(self.waiting_client.message().status, (503, 504))
                late.socket.settimeout(0.3)
                with self.assertRaises(
                    TimeoutError, msg="a request reached the backend after the drain grace"
                ):
                    late.message()

    def test_a_backend_that_moves_gets_no_request_at_its_old_address(self) -> None:
        self.begin()
        moved = Server(self)
        self.discovery.publish(self.instance(0, moved))
        self.gateway.wait_for_log('"endpoint list"', '"generation": 2')
        late = self.backend.accept_late()
        new = moved.accept()
        self.assertIn("a1", new.message().headers["req-id"])
        new.send(response_bytes(200, b"from the new address"))
        self.assertEqual(b"from the new address", self.waiting_client.message().body)
        self.assertTrue(late.wait_for_end(), "the old connection is not kept")

    def test_the_request_of_a_client_that_left_is_not_sent_and_the_connection_serves_the_next(self) -> None:
        self.begin()
        self.waiting_client.close()
        self.backend.accept_late()
        next_client = self.connect_and_send(request_bytes("a2"))
        peer, request = self.backend.next_request()
        self.assertIn("a2", request.headers["req-id"])
        peer.send(response_bytes(200))
        self.assertEqual(200, next_client.message().status)

    def test_a_request_whose_deadline_passes_is_answered_and_not_sent(self) -> None:
        self.begin(timeout_ms=300)
        self.assertIn(self.waiting_client.message().status, (503, 504))
        self.assertLess(time.monotonic() - self.sent_at, 0.6)
        self.backend.accept_late()
        next_client = self.connect_and_send(request_bytes("a2"))
        peer, request = self.backend.next_request()
        self.assertIn("a2", request.headers["req-id"])
        peer.send(response_bytes(200))
        self.assertEqual(200, next_client.message().status)

    def test_the_deadline_header_counts_from_when_the_request_is_written(self) -> None:
        self.begin()
        late = self.backend.accept_late()
        sent_ms = int(late.message().headers["req-deadline-ms"])
        left = 2500 - (time.monotonic() - self.sent_at) * 1000
        self.assertGreater(2000, left, "the connection was not slow: the test shows nothing")
        self.assertLessEqual(sent_ms, left + SLACK_MS)

    def test_a_request_is_retried_if_its_connection_is_reset_before_its_first_byte(self) -> None:
        self.begin(request_class="post")
        self.gateway.send_signal(signal.SIGSTOP)
        self.backend.accept_late().reset()
        self.gateway.send_signal(signal.SIGCONT)
        peer, request = self.backend.next_request()
        self.assertIn("a1", request.headers["req-id"])
        peer.send(response_bytes(200, b"once"))
        self.assertEqual(b"once", self.waiting_client.message().body)


class StalledProcess(ProcessTest):
    """The process stalls for 0.15 s before it applies an endpoint list and before it sends a request."""

    DRAIN_GRACE = 0.25  # seconds
    SLACK = 0.05  # seconds that the platform adds to each time limit on sockets
    STALLS = """
import time
from gorsethread.http_gateway import backend_link, discovery
def stalled(original):
    def method(*arguments):
        time.sleep(0.15)
        return original(*arguments)
    return method
discovery.Discovery._apply_answer = stalled(discovery.Discovery._apply_answer)
backend_link.BackendLink._submit = stalled(backend_link.BackendLink._submit)
"""

    def test_no_new_request_is_written_to_a_draining_backend_after_the_drain_grace(self) -> None:
        backend = Server(self)
        self.start(backend, prelude=self.STALLS, contract={"stopSendingWithin": self.DRAIN_GRACE})
        first = self.connect_and_send(request_bytes("d1"))
        backend.next_request()[0].send(response_bytes(200))
        self.assertEqual(200, first.message().status)
        drain_sent_at = time.monotonic()
        self.discovery.publish(self.instance(0, backend, "draining"))
        # The list is applied 0.15 s later; a request decided just before and stalled for as long would be
        # written after the drain grace.
        self.gateway.wait_for_log('"endpoint list"', '"s-0": "draining"')
        self.connect_and_send(request_bytes("d2"))
        try:
            backend.next_request(timeout=0.5)
        except TimeoutError:
            return
        self.assertLess(time.monotonic() - drain_sent_at, self.DRAIN_GRACE + self.SLACK)


class KeyedRequests(ProcessTest):
    """A backend forgets a key after the idempotency window; a retry that arrives later would run again."""

    def test_a_retry_whose_connection_is_established_after_the_window_is_not_sent(self) -> None:
        keyed = {"name": "post", "aim": 0.4, "effect": "guarded", "window": 0.5, "worth": 3.0}
        backend = Server(self, backlog=0)
        self.start(backend, services=[SETTINGS["services"][0], keyed], **SLOW_CONNECTS)
        client = self.connect_and_send(request_bytes("c1", "post", timeout_ms=2500, body=b"x"))
        first = backend.accept()
        first.message()
        filler = socket.create_connection((HOST, backend.port), 5)
        self.addCleanup(filler.close)
        first.reset()
        wait_until(lambda: connections_to(backend.port, CONNECTING), "a retry that tries to connect")
        backend.accept().close()
        late = backend.accept()
        self.assertEqual(504, client.message().status, "it may have run")
        late.socket.settimeout(0.3)
        with self.assertRaises(TimeoutError, msg="sent again after the idempotency window"):
            late.message()


class AnswersCutOff(ProcessTest):
    """The backend has read the request; its connection ends at different points of the answer."""

    def begin(self, request_class: str) -> None:
        self.backend = Server(self)
        self.start(self.backend)
        body = b"x" if request_class == "post" else b""
        self.waiting_client = self.connect_and_send(
            request_bytes("b1", request_class, timeout_ms=3000, body=body)
        )
        self.first = self.backend.accept()
        self.first.message()

    def assert_fails_without_retry(self) -> None:
        self.assertEqual(504, self.waiting_client.message().status, "it may have run")
        self.assertTrue(self.backend.gets_no_connection(0.3), "sent again though it may have run")

    def test_a_reset_before_the_answer_fails_the_request(self) -> None:
        self.begin("post")
        self.first.reset()
        self.assert_fails_without_retry()

    def test_an_end_in_the_middle_of_the_body_fails_the_request(self) -> None:
        self.begin("post")
        self.first.send(b"HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nhalf")
        self.first.close()
        self.assert_fails_without_retry()

    def test_a_reset_in_an_answer_without_a_length_fails_the_request(self) -> None:
        self.begin("post")
        self.first.send(b"HTTP/1.1 200 X\r\n\r\nhalf of it")
        self.first.reset()
        self.assert_fails_without_retry()

    def test_an_answer_without_a_length_is_complete_when_its_connection_ends_in_order(self) -> None:
        for request_class in ("read", "post"):
            with self.subTest(request_class=request_class):
                self.begin(request_class)
                self.first.send(b"HTTP/1.1 200 X\r\n\r\nall ")
                self.first.send(b"of it")
                self.first.close()
                got = self.waiting_client.message()
                self.assertEqual((200, b"all of it"), (got.status, got.body))
                self.assertTrue(self.backend.gets_no_connection(0.1), "sent again though it was answered")

    def test_an_answer_with_neither_a_length_nor_an_end_does_not_delay_the_retry(self) -> None:
        self.begin("read")
        self.first.send(b"HTTP/1.1 200 X\r\n\r\nand no end")
        second = self.backend.accept(1.0)
        self.assertIn("b1", second.message().headers["req-id"])
        second.send(response_bytes(200, b"second"))
        self.assertEqual(b"second", self.waiting_client.message().body)
        self.assertTrue(self.first.wait_for_end(), "the connection that did not end is closed")

    def test_a_complete_answer_is_passed_on_though_a_reset_follows_it(self) -> None:
        self.begin("post")
        self.first.send(response_bytes(200, b"whole"))
        self.first.reset()
        self.assertEqual(b"whole", self.waiting_client.message().body)

    def test_an_idempotent_request_is_retried_after_an_answer_cut_off_midway_and_answered_once(self) -> None:
        self.begin("read")
        self.first.send(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\n")
        self.first.socket.shutdown(1)
        second = self.backend.accept()
        self.assertIn("b1", second.message().headers["req-id"])
        second.send(response_bytes(200, b"second"))
        got = self.waiting_client.message()
        self.assertEqual((200, b"second"), (got.status, got.body))
        self.waiting_client.send(request_bytes("b2"))
        third, _ = self.backend.next_request()
        third.send(response_bytes(200, b"third"))
        self.assertEqual(b"third", self.waiting_client.message().body, "no second answer came before it")

    def test_a_kept_connection_that_the_backend_ended_is_not_reused(self) -> None:
        self.begin("read")
        self.first.send(response_bytes(200, b"one"))
        self.waiting_client.message()
        self.first.socket.shutdown(1)
        self.assertTrue(self.first.wait_for_end(), "the gateway ends its side after the backend's end")
        self.waiting_client.send(request_bytes("b2", "post", body=b"x"))
        second = self.backend.accept()
        self.assertIn("b2", second.message().headers["req-id"])
        second.send(response_bytes(200, b"two"))
        self.assertEqual(b"two", self.waiting_client.message().body)

    def test_a_late_answer_to_a_cancelled_attempt_is_dropped(self) -> None:
        self.begin("read")
        self.waiting_client.close()
        self.first.wait_for_end()
        with self.assertRaises(OSError):
            for _ in range(3):  # the system may still accept the first
                self.first.send(response_bytes(200, b"late"))
                self.first.wait_for_end()
        self.assertTrue(self.backend.gets_no_connection(0.2), "no further attempt is sent for the request")
