"""Answers of backends with more bytes than belong to them: which are served, and which fail their attempt."""

import contextlib
import threading

import pytest

from gorsethread.transport.large_reads import READ_BYTES
from tests.crossing.rig import ProcessTest, Server
from tests.live import GatewayTest, request_bytes, response_bytes

BODY = b"balance 1000000"
CUT = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(BODY) - 3) + BODY
CUT_BY_LAST_CHUNK = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nbalance 1000\r\n0\r\n\r\n" + BODY[12:]
)


class SurplusBytes(GatewayTest):
    def test_a_cut_answer_fails_a_request_that_may_not_run_again(self) -> None:
        # Guards against an answer cut by a length that is too small being served with 200.
        for spoilt in (CUT, CUT_BY_LAST_CHUNK, response_bytes(200, BODY) + b"\0noise"):
            with self.subTest(spoilt=spoilt):
                self.setUp()

                async def work(spoilt: bytes = spoilt) -> None:
                    gateway = self.start()
                    self.backends[0].respond = lambda r: [spoilt]
                    client = await self.call(request_bytes("1", "post", timeout_ms=500, body=b"x"), 1.0)
                    self.assertEqual((504, b""), (client.status, client.body))
                    self.assertEqual(1, len(self.backends[0].requests))
                    self.assertEqual(1, gateway.driver.counts["attempts error"])

                self.run_scenario(work)

    def test_after_a_cut_answer_an_idempotent_request_is_served_by_a_retry(self) -> None:
        async def work() -> None:
            self.start()
            backend = self.backends[0]
            backend.respond = lambda r: [CUT if len(backend.requests) == 1 else response_bytes(200, BODY)]
            client = await self.call(request_bytes("1"), 1.0)
            self.assertEqual((200, BODY), (client.status, client.body))
            self.assertEqual(2, len(backend.requests))

        self.run_scenario(work)

    def test_an_answer_that_its_backend_repeats_is_served(self) -> None:
        async def work() -> None:
            self.start()
            self.backends[0].respond = lambda r: [response_bytes(200, BODY) * 2]
            client = await self.call(request_bytes("1", "post", body=b"x"))
            self.assertEqual((200, BODY), (client.status, client.body))

        self.run_scenario(work)

    def test_a_declined_request_with_noise_behind_its_answer_counts_as_one_that_may_have_run(self) -> None:
        async def work() -> None:
            self.start()
            declined = response_bytes(503, b"", "Srv-Declined: 1\r\n")
            self.backends[0].respond = lambda r: [declined + b"noise"]
            client = await self.call(request_bytes("1", "post", timeout_ms=500, body=b"x"), 1.0)
            self.assertEqual((504, 1), (client.status, len(self.backends[0].requests)))

        self.run_scenario(work)


@pytest.mark.processes
class SurplusBytesOfRealStreams(ProcessTest):
    def serve(self, answer: bytes) -> int:
        """Returns the status of a non-idempotent request whose backend answers with those bytes."""
        backend = Server(self)

        def respond() -> None:
            with contextlib.suppress(OSError):
                peer, _ = backend.next_request()
                peer.send(answer)

        threading.Thread(target=respond, daemon=True).start()
        self.start(backend)
        client = self.connect_and_send(request_bytes("1", "post", timeout_ms=900, body=b"x"))
        return client.message().status

    def test_the_rest_of_a_cut_body_is_found_behind_the_read_that_completes_the_answer(self) -> None:
        # Guards against a check of the bytes already read only: here the next read has the rest of the body.
        start = b"HTTP/1.1 200 OK\r\nContent-Length: 32726\r\n\r\n"
        answer = start + b"x" * (READ_BYTES - len(start))
        self.assertEqual(READ_BYTES, len(answer))
        self.assertEqual(200, self.serve(answer))
        self.assertEqual(504, self.serve(answer + b"yyy"))
        self.assertEqual(200, self.serve(answer * 2))
