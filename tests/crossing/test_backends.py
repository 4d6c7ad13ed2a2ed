"""Orders that cross between the gateway and its backends."""

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

GRACE = 0.25  # seconds: shorter than the second after which a system asks again for a connection
LATE = {"permissions": {"dialTimeout": 5.0}, "contract": {"stopSendingWithin": GRACE}}
SLACK_MS = 150  # milliseconds that the time told to a backend may pass what the client has left


class ConnectionsThatComeUpLate(ProcessTest):
    """The gateway has chosen a backend; what happens before the connection to it is there?"""

    def begin(self, patience: int = 2500, kind: str = "read") -> None:
        self.backend = SlowAcceptServer(self)
        self.start(self.backend, **LATE)
        self.sent_at = time.monotonic()
        self.waiting_client = self.connect_and_send(request_bytes("a1", kind, timeout_ms=patience))
        self.backend.wait_for_connecting()

    def test_a_backend_told_to_drain_meanwhile_gets_nothing_past_the_grace(self) -> None:
        for state in ("draining", "gone"):
            with self.subTest(state=state):
                self.begin()
                self.discovery.publish(self.instance(0, self.backend, state))
                self.gateway.wait_for_log('"endpoint list"', f'"s-0": "{state}"')
                late = self.backend.accept_late()
                self.assertIn(self.waiting_client.message().status, (503, 504))
                late.socket.settimeout(0.3)
                with self.assertRaises(TimeoutError, msg="a request reached the backend past the grace"):
                    late.message()

    def test_a_backend_that_moved_meanwhile_gets_nothing_at_its_old_address(self) -> None:
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

    def test_what_its_client_left_meanwhile_is_not_sent_and_the_connection_serves_the_next(self) -> None:
        self.begin()
        self.waiting_client.close()
        self.backend.accept_late()
        next_one = self.connect_and_send(request_bytes("a2"))
        peer, request = self.backend.next_request()
        self.assertIn("a2", request.headers["req-id"])
        peer.send(response_bytes(200))
        self.assertEqual(200, next_one.message().status)

    def test_what_its_time_is_up_for_meanwhile_is_answered_and_not_sent(self) -> None:
        self.begin(timeout_ms=300)
        self.assertIn(self.waiting_client.message().status, (503, 504))
        self.assertLess(time.monotonic() - self.sent_at, 0.6)
        self.backend.accept_late()
        next_one = self.connect_and_send(request_bytes("a2"))
        peer, request = self.backend.next_request()
        self.assertIn("a2", request.headers["req-id"])
        peer.send(response_bytes(200))
        self.assertEqual(200, next_one.message().status)

    def test_the_time_told_is_what_the_client_has_left_when_the_connection_is_there(self) -> None:
        self.begin()
        late = self.backend.accept_late()
        told = int(late.message().headers["req-deadline-ms"])
        left = 2500 - (time.monotonic() - self.sent_at) * 1000
        self.assertGreater(2000, left, "it was not late: this shows nothing")
        self.assertLessEqual(told, left + SLACK_MS)

    def test_a_connection_that_dies_before_its_first_byte_never_ran_and_is_tried_again(self) -> None:
        self.begin(kind="post")
        self.gateway.send_signal(signal.SIGSTOP)
        self.backend.accept_late().reset()
        self.gateway.send_signal(signal.SIGCONT)
        peer, request = self.backend.next_request()
        self.assertIn("a1", request.headers["req-id"])
        peer.send(response_bytes(200, b"once"))
        self.assertEqual(b"once", self.waiting_client.message().body)


class HeldUp(ProcessTest):
    """The process stands still for 0.15 s before it hears what it was told, and again before it writes."""

    GRACE = 0.25  # seconds
    SLACK = 0.05  # seconds by which the platform lengthens each time limit on sockets
    HELD_UP = """
import time
from gorsethread.http_gateway import backend_link, discovery
def held_up(honest):
    def late(*arguments):
        time.sleep(0.15)
        return honest(*arguments)
    return late
discovery.Discovery._apply_answer = held_up(discovery.Discovery._apply_answer)
backend_link.BackendLink._submit = held_up(backend_link.BackendLink._submit)
"""

    def test_nothing_new_is_written_to_a_draining_backend_past_the_grace(self) -> None:
        backend = Server(self)
        self.start(backend, prelude=self.HELD_UP, contract={"stopSendingWithin": self.GRACE})
        first = self.connect_and_send(request_bytes("d1"))
        backend.next_request()[0].send(response_bytes(200))
        self.assertEqual(200, first.message().status)
        told_at = time.monotonic()
        self.discovery.publish(self.instance(0, backend, "draining"))
        # Heard 0.15 s later; a request decided then and held up as long is written past the grace.
        self.gateway.wait_for_log('"endpoint list"', '"s-0": "draining"')
        self.connect_and_send(request_bytes("d2"))
        try:
            backend.next_request(timeout=0.5)
        except TimeoutError:
            return
        self.assertLess(time.monotonic() - told_at, self.GRACE + self.SLACK)


class KeyedRequests(ProcessTest):
    """A backend forgets a key after its window; a repeat that comes later would run a second time."""

    def test_one_whose_connection_comes_up_after_the_window_is_not_sent_again(self) -> None:
        keyed = {"name": "post", "aim": 0.4, "effect": "guarded", "window": 0.5, "worth": 3.0}
        backend = Server(self, backlog=0)
        self.start(backend, services=[SETTINGS["services"][0], keyed], **LATE)
        client = self.connect_and_send(request_bytes("c1", "post", timeout_ms=2500, body=b"x"))
        first = backend.accept()
        first.message()
        filler = socket.create_connection((HOST, backend.port), 5)
        self.addCleanup(filler.close)
        first.reset()
        wait_until(lambda: connections_to(backend.port, CONNECTING), "a retry whose connection comes up late")
        backend.accept().close()
        late = backend.accept()
        self.assertEqual(504, client.message().status, "it may have run")
        late.socket.settimeout(0.3)
        with self.assertRaises(TimeoutError, msg="sent again after its window"):
            late.message()


class AnswersThatBreakOff(ProcessTest):
    """The request has been read by the backend; where does its connection end?"""

    def begin(self, kind: str) -> None:
        self.backend = Server(self)
        self.start(self.backend)
        body = b"x" if kind == "post" else b""
        self.waiting_client = self.connect_and_send(request_bytes("b1", kind, timeout_ms=3000, body=body))
        self.first = self.backend.accept()
        self.first.message()

    def never_again(self) -> None:
        self.assertEqual(504, self.waiting_client.message().status, "it may have run")
        self.assertTrue(self.backend.gets_no_connection(0.3), "sent again on a guess")

    def test_a_reset_before_the_answer(self) -> None:
        self.begin("post")
        self.first.reset()
        self.never_again()

    def test_a_reset_behind_the_answers_head(self) -> None:
        self.begin("post")
        self.first.send(b"HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nhalf")
        self.first.close()
        self.never_again()

    def test_an_answer_without_a_length_that_is_cut_off_is_no_success(self) -> None:
        self.begin("post")
        self.first.send(b"HTTP/1.1 200 X\r\n\r\nhalf of it")
        self.first.reset()
        self.never_again()

    def test_an_answer_without_a_length_is_whole_where_its_connection_ends_in_order(self) -> None:
        for kind in ("read", "post"):
            with self.subTest(kind=kind):
                self.begin(kind)
                self.first.send(b"HTTP/1.1 200 X\r\n\r\nall ")
                self.first.send(b"of it")
                self.first.close()
                got = self.waiting_client.message()
                self.assertEqual((200, b"all of it"), (got.status, got.body))
                self.assertTrue(self.backend.gets_no_connection(0.1), "sent again though it was served")

    def test_an_answer_with_neither_a_length_nor_an_end_holds_up_no_retry(self) -> None:
        self.begin("read")
        self.first.send(b"HTTP/1.1 200 X\r\n\r\nand no end")
        second = self.backend.accept(1.0)
        self.assertIn("b1", second.message().headers["req-id"])
        second.send(response_bytes(200, b"second"))
        self.assertEqual(b"second", self.waiting_client.message().body)
        self.assertTrue(self.first.wait_for_end(), "the connection without an end is not kept")

    def test_a_whole_answer_counts_though_a_reset_comes_with_it(self) -> None:
        self.begin("post")
        self.first.send(response_bytes(200, b"whole"))
        self.first.reset()
        self.assertEqual(b"whole", self.waiting_client.message().body)

    def test_an_idempotent_request_is_retried_once_and_a_late_first_answer_reaches_nobody(self) -> None:
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
        self.assertEqual(b"third", self.waiting_client.message().body, "no second answer stood before it")

    def test_a_kept_connection_that_the_backend_ends_is_not_used_for_the_next(self) -> None:
        self.begin("read")
        self.first.send(response_bytes(200, b"one"))
        self.waiting_client.message()
        self.first.socket.shutdown(1)
        self.assertTrue(self.first.wait_for_end(), "the gateway ends its side as it sees the backend's end")
        self.waiting_client.send(request_bytes("b2", "post", body=b"x"))
        second = self.backend.accept()
        self.assertIn("b2", second.message().headers["req-id"])
        second.send(response_bytes(200, b"two"))
        self.assertEqual(b"two", self.waiting_client.message().body)

    def test_an_answer_that_comes_with_the_cancel_reaches_nobody(self) -> None:
        self.begin("read")
        self.waiting_client.close()
        self.first.wait_for_end()
        with self.assertRaises(OSError):
            for _ in range(3):  # the first may still be taken by the system
                self.first.send(response_bytes(200, b"late"))
                self.first.wait_for_end()
        self.assertTrue(self.backend.gets_no_connection(0.2), "nothing further is sent for it")
