"""Bytes that are slow to decode must not hold up the gateway's other clients: a real process, raw sockets."""

import contextlib
import threading
import time
from collections.abc import Sequence

import pytest

from tests.crossing.rig import PeerEnded, ProcessTest, Server, response_bytes
from tests.live import request_bytes

TIMEOUT_MS = 500  # of a usual client's request
# The platform counts a request as lost if its answer comes later than half a second after its timeout, and
# gives 50 ms more on sockets.
ANSWERED_WITHIN = TIMEOUT_MS / 1000 + 0.5 + 0.05
INVALID_ANSWERED_WITHIN = 3.0  # seconds from connecting within which an invalid request is owed an error
USUAL_SECONDS = 4.0  # for which usual requests are sent after the slow bytes
SLOW_CLIENTS = 8
OK = response_bytes(200, b"ok")
MANY_CLIENTS = 100  # of the 128 that the gateway's configuration allows
HEALTH_CHECKS = 1_700  # in one piece: within what is read ahead of an open request
HEADER_SECTION_BYTES = 16_000
LONG_HEADER_SECTION_BYTES = 60_000  # over the bound, and within what one read used to return
ANSWER_CHUNKS = 300_000  # of one byte each: inside the bound of an answer's body
CHUNKS = 65_000  # of one byte each: inside the bound of a body


def padded(start: bytes, end: bytes, blank: bytes = b" ", size: int = HEADER_SECTION_BYTES) -> bytes:
    """Returns a header section of that size with blanks between its start and its end."""
    return start + blank * (size - len(start) - len(end)) + end


@pytest.mark.processes
class HoldUps(ProcessTest):
    def start_backend(self, body: bytes = OK) -> Server:
        """Starts a backend that answers each request at once with those bytes."""
        backend = Server(self)

        def answer() -> None:
            with contextlib.suppress(OSError):
                while True:
                    peer, _ = backend.next_request(60.0)
                    peer.send(body)

        threading.Thread(target=answer, daemon=True).start()
        return backend

    def send_at_once(self, requests: Sequence[bytes]) -> list[float]:
        """Sends each on a connection of its own; the list fills with the seconds until its answer or end."""
        took: list[float] = []

        def send(data: bytes) -> None:
            began = time.monotonic()
            with contextlib.suppress(OSError), self.client().socket as connection:
                connection.sendall(data)
                connection.recv(1)
            took.append(time.monotonic() - began)

        for data in requests:
            threading.Thread(target=send, args=(data,), daemon=True).start()
        return took

    def assert_usual_clients_are_answered(self) -> None:
        """Sends usual requests one after the other, each of which has to get its answer in time."""
        until = time.monotonic() + USUAL_SECONDS
        number = 0x1000
        peer = self.client()
        while time.monotonic() < until:
            number += 1
            began = time.monotonic()
            try:
                peer.send(request_bytes(f"{number:x}", shard=1, timeout_ms=TIMEOUT_MS))
                status = peer.message().status
            except (PeerEnded, OSError) as error:
                self.fail(f"no answer: {error!r}")
            self.assertLess(time.monotonic() - began, ANSWERED_WITHIN)
            self.assertEqual(200, status)
            time.sleep(0.02)

    def assert_held_up_by_none(self, requests: Sequence[bytes], slow_answer: bytes = b"") -> None:
        """The requests, and the slow answer that the backend of shard 0 gives, hold up no usual client."""
        self.start(self.start_backend(slow_answer or OK), self.start_backend())
        took = self.send_at_once(requests)
        self.assert_usual_clients_are_answered()
        self.assertEqual(len(requests), len(took))
        self.assertLess(max(took), INVALID_ANSWERED_WITHIN)

    def test_lengths_far_apart_in_one_line_hold_up_no_other_client(self) -> None:
        # Guards against a search of the lengths whose steps grow with the square of a line's blanks.
        request = padded(request_bytes("1")[:-2] + b"Content-Length: 5", b",5\r\n\r\n") + b"hello"
        self.assert_held_up_by_none([request] * SLOW_CLIENTS)

    def test_long_header_sections_that_come_whole_hold_up_no_other_client(self) -> None:
        # Guards against work on a header section over the bound, which came whole.
        start = request_bytes("1")[:-2] + b"Content-Length: 5"
        request = padded(start, b",5\r\n\r\n", b" ", LONG_HEADER_SECTION_BYTES)
        self.assert_held_up_by_none([request] * SLOW_CLIENTS)

    def test_chunks_of_one_byte_hold_up_no_other_client(self) -> None:
        # Guards against a connection's task that works off all buffered bytes in one loop iteration.
        start = request_bytes("1")[:-2].replace(b"GET", b"PUT") + b"Transfer-Encoding: chunked\r\n\r\n"
        request = start + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
        self.assert_held_up_by_none([request] * SLOW_CLIENTS)

    def test_answers_of_one_byte_chunks_hold_up_no_other_client(self) -> None:
        # Guards against a backend's answer whose many chunks are worked off in one loop iteration.
        answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer += b"1\r\nx\r\n" * ANSWER_CHUNKS + b"0\r\n\r\n"
        requests = [request_bytes(f"{number:x}") for number in range(1, 1 + SLOW_CLIENTS)]
        self.assert_held_up_by_none(requests, answer)

    def test_many_requests_behind_open_ones_hold_up_no_other_client(self) -> None:
        # Guards against many clients whose requests in one piece are all handled before anyone else's.
        health_check = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
        requests = [
            request_bytes(f"{number:x}") + health_check * HEALTH_CHECKS
            for number in range(1, 1 + MANY_CLIENTS)
        ]
        self.assert_held_up_by_none(requests)
