"""What the gateway holds for its connections is bounded, and usual clients are served meanwhile."""

import contextlib
import json
import signal
import threading
import unittest
from typing import Any

import pytest

from gorsethread.http1.client_codec import ClientCodec
from gorsethread.http1.framing import HEADER_LINES_MAX, InvalidRequestError, InvalidResponseError
from gorsethread.http1.server_codec import ServerCodec
from gorsethread.http_gateway.memory_budget import CONNECTION_BYTES, MEGABYTE, divide_memory
from gorsethread.http_gateway.recent_ids import REMEMBERED_MAX
from gorsethread.scheduling.fair_queueing import VOLUMES_MAX
from gorsethread.transport.large_reads import READ_BYTES
from tests.crossing.rig import ProcessTest, Server
from tests.live import FakeClient, GatewayTest, request_bytes, response_bytes

BODY_BYTES = 60_000  # inside the bound of a body
SMALL_MEMORY = {"cores": 1.0, "memory_mb": 8, "sockets": 256}  # whose budget is almost one megabyte


def incomplete(number: int, lines: int = 0, body_bytes: int = BODY_BYTES) -> bytes:
    """Returns a request without the last byte of its body, with so many header lines of three bytes."""
    request = request_bytes(f"{number:x}", "post", 1, 2000, b"x" * body_bytes, headers="a:\n" * lines)
    return request[:-1]


class Bounds(unittest.TestCase):
    def test_a_budget_leaves_room_for_the_program_and_is_never_nothing(self) -> None:
        most, least = divide_memory(192), divide_memory(32)
        self.assertAlmostEqual(51.6 * MEGABYTE, most.connection_bytes, delta=1)
        self.assertEqual((VOLUMES_MAX, REMEMBERED_MAX), (most.volumes, most.ids))
        self.assertAlmostEqual(3.6 * MEGABYTE, least.connection_bytes, delta=1)
        self.assertEqual((615, 1_600, 2_400), (least.clients, least.volumes, least.ids))

    def test_a_request_of_too_many_header_lines_is_refused_however_it_comes(self) -> None:
        # Guards against thousands of short lines, each of which costs the memory of some hundred bytes.
        for lines, refused in ((80, False), (HEADER_LINES_MAX + 1, True), (3_900, True)):
            for piece in (1, 16_000):
                with self.subTest(lines=lines, piece=piece):
                    codec = ServerCodec()
                    data = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\n" * lines + b"\r\n"
                    context = self.assertRaises(InvalidRequestError) if refused else contextlib.nullcontext()
                    with context as caught:
                        for start in range(0, len(data), piece):
                            codec.feed(data[start : start + piece])
                            codec.next_request()
                    if caught is not None:
                        self.assertEqual(431, caught.exception.status)

    def test_a_response_of_too_many_header_lines_is_invalid(self) -> None:
        codec = ClientCodec()
        codec.request(b"GET", b"/", [(b"host", b"s")], b"")
        with self.assertRaises(InvalidResponseError):
            codec.feed(b"HTTP/1.1 200 OK\r\n" + b"a:\n" * (HEADER_LINES_MAX + 1) + b"\r\n")

    def test_headers_that_are_not_kept_are_dropped_with_the_header_section(self) -> None:
        codec = ServerCodec(frozenset((b"req-id",)))
        codec.feed(b"PUT / HTTP/1.1\r\nHost: a\r\nReq-Id: 7\r\nX: " + b"y" * 9_000 + b"\r\n")
        codec.feed(b"Content-Length: 3\r\n\r\nabc")
        request = codec.next_request()
        assert request is not None
        self.assertEqual([(b"req-id", b"7")], request.headers)
        self.assertEqual(3, codec.held_bytes)


class VirtualGateway(GatewayTest):
    def usual_request(self, number: int) -> bytes:
        return request_bytes(str(number), "post", 1, 900, b"usual")

    def test_incomplete_requests_of_many_clients_stay_within_the_budget(self) -> None:
        # Guards against memory that grows with the number of clients that stop half way through a request.
        async def work() -> None:
            gateway = self.start(limits=SMALL_MEMORY)
            clients = [await FakeClient(self.client_process).connect() for _ in range(100)]
            for number, client in enumerate(clients):
                client.stream.write(incomplete(number))
            for number in range(500, 510):
                usual = await self.call(self.usual_request(number), 0.1)
                self.assertEqual(200, usual.status)
            self.assertLess(gateway.budget.peak, gateway.budget.limit + READ_BYTES)
            refused = [client.status for client in clients if client.status]
            self.assertEqual({503}, set(refused))
            self.assertGreater(len(refused), 100 - gateway.budget.limit / BODY_BYTES - 1)
            await self.wait(3.0)
            connections = len(gateway.clients.connections) + gateway.pool.open_connections
            self.assertEqual(connections * CONNECTION_BYTES, gateway.budget.held)
            self.assertLess(connections, 20)

        self.run_scenario(work)

    def test_answers_that_clients_do_not_read_stay_within_the_budget(self) -> None:
        # Guards against answers that are kept without end for clients that do not read them.
        class DeafClient(FakeClient):
            async def _read(self) -> None:
                pass

        async def work() -> None:
            gateway = self.start(limits=SMALL_MEMORY)
            self.backends[0].respond = lambda r: [response_bytes(200, b"z" * 200_000)]
            for number in range(40):
                client = await DeafClient(self.client_process).connect()
                client.stream.write(request_bytes(f"{number:x}"))
                await self.wait(0.2)
            self.assertLess(gateway.budget.held, gateway.budget.limit + 10 * 200_000)
            usual = await self.call(self.usual_request(500), 0.3)
            self.assertEqual(200, usual.status)

        self.run_scenario(work)

    def test_bytes_behind_open_requests_cost_no_usual_client_its_answer(self) -> None:
        # Guards against a complete request that is refused as an incomplete one while others hold the memory.
        async def work() -> None:
            self.start(limits=SMALL_MEMORY)
            self.backends[1].respond = lambda request: None
            behind = request_bytes("ffff", "post", 1, 2000, b"x" * BODY_BYTES)
            statuses = []
            for number in range(40):
                client = await FakeClient(self.client_process).connect()
                client.stream.write(request_bytes(f"{number + 1:x}", shard=1, timeout_ms=2000) + behind * 4)
                usual = await FakeClient(self.client_process).connect()
                usual.stream.write(request_bytes(f"{500 + number:x}", timeout_ms=900))
                await self.wait(0.05)
                statuses.append(usual.status)
            self.assertEqual({200}, set(statuses), statuses)

        self.run_scenario(work)

    def test_incomplete_answers_of_backends_stay_within_the_budget(self) -> None:
        # Guards against answers that come slowly, each within the bound of one body.
        async def work() -> None:
            gateway = self.start(limits=SMALL_MEMORY)
            half = response_bytes(200, b"z" * 600_000)[:300_000]
            self.backends[0].respond = lambda r: [half]
            for number in range(12):
                client = await FakeClient(self.client_process).connect()
                client.stream.write(request_bytes(f"{number:x}", "post", 0, 2000, b"x"))
                await self.wait(0.05)
            self.assertLess(gateway.budget.peak, gateway.budget.limit + 65_536)
            self.assertGreater(gateway.pool.invalid_answers["no memory for an incomplete answer"], 0)
            usual = await self.call(self.usual_request(500), 0.3)
            self.assertEqual(200, usual.status)

        self.run_scenario(work)


@pytest.mark.processes
class Process(ProcessTest):
    def config(self, *arguments: Any, **settings: Any) -> dict[str, Any]:
        """Returns a configuration that permits little memory."""
        return {**super().config(*arguments, **settings), "limits": SMALL_MEMORY}

    def test_hundreds_of_large_and_slow_requests_leave_a_real_gateway_its_memory(self) -> None:
        # Guards against clients that send large requests and heads of many short lines and then stop.
        backend = Server(self)

        def answer() -> None:
            with contextlib.suppress(OSError):
                while True:
                    peer, _ = backend.next_request(60.0)
                    peer.send(response_bytes(200, b"ok"))

        threading.Thread(target=answer, daemon=True).start()
        gateway = self.start(backend)
        clients = []
        for number in range(120):
            clients.append(self.client())
            with contextlib.suppress(OSError):  # a head of too many lines is refused while it is sent
                clients[-1].send(incomplete(number, 3_900 if number % 4 == 0 else 0))
        for number in range(0x1000, 0x1020):
            usual = self.connect_and_send(request_bytes(f"{number:x}", timeout_ms=900))
            self.assertEqual(200, usual.message().status)
            usual.close()
        gateway.send_signal(signal.SIGTERM)
        gateway.wait_for_log('"gateway ends"')
        most_held = [json.loads(line)["most_held_bytes"] for line in gateway.log_lines('"most_held_bytes"')]
        budget = divide_memory(SMALL_MEMORY["memory_mb"]).connection_bytes
        self.assertLess(max(most_held), budget + READ_BYTES)
        self.assertGreater(max(most_held), budget - BODY_BYTES, "the clients had not sent much yet")
