"""Clients that leave: nothing begins for them afterwards."""

import contextlib
import threading
import time

import pytest

from tests.crossing.rig import ProcessTest, Server
from tests.live import GatewayTest, request_bytes, response_bytes

BEGIN_WITHIN = 0.1 + 0.05  # seconds after a client's close, and the slack on sockets
BEHIND_BYTES = 500_000  # that a client sends behind its request, more than is read ahead


def requests_behind(first: int, total_bytes: int) -> bytes:
    """Returns non-idempotent requests of that many bytes in all, with ids from the first on."""
    one = len(request_bytes("1", "post", body=b"x" * 200))
    return b"".join(
        request_bytes(f"{first + n:x}", "post", timeout_ms=3000, body=b"x" * 200)
        for n in range(total_bytes // one)
    )


class VirtualGateway(GatewayTest):
    def test_a_client_that_sends_too_far_ahead_gets_an_error_for_its_open_request(self) -> None:
        async def work() -> None:
            gateway = self.start()
            self.backends[0].delay = 2.0
            client = await self.call(request_bytes("50", "post", timeout_ms=3000, body=b"x"), 0.05)
            client.stream.write(requests_behind(0x1000, BEHIND_BYTES))
            await self.wait(0.5)
            self.assertEqual(1, client.received.count(b"HTTP/1.1 "))
            self.assertTrue(client.received.startswith(b"HTTP/1.1 504"), "it may have run")
            self.assertIn(b"connection: close", client.received.lower())
            await self.wait(3.0)
            self.assertEqual(1, len(self.backends[0].requests))
            self.assertEqual((0, 0), (len(gateway.clients.open_requests), gateway.budget.held))

        self.run_scenario(work)

    def test_the_end_of_a_client_is_seen_behind_what_is_read_slowly(self) -> None:
        # Guards against a request that begins after a pause, though its client's end stands behind it.
        async def work() -> None:
            self.start()
            invalid = request_bytes("60", "nothing")
            valid = request_bytes("61", "post", timeout_ms=3000, body=b"x" * 30_000)
            client = await self.call(invalid + valid + requests_behind(0x1000, 100_000), 0.05)
            client.stream.close()
            await self.wait(1.0)
            self.assertEqual([], self.backends[0].requests)

        self.run_scenario(work)


@pytest.mark.processes
class Process(ProcessTest):
    """Clients that leave a real gateway whose backend works for a while on each request."""

    def start_slow_backend(self, seconds: float) -> list[tuple[int, float]]:
        """Starts a gateway; the list fills with each request's id and the time at which it arrived."""
        begun: list[tuple[int, float]] = []
        backend = Server(self)

        def work(connection: Server) -> None:
            with contextlib.suppress(OSError, TimeoutError):
                while True:
                    peer, request = connection.next_request(20.0)
                    begun.append((int(request.headers["req-id"], 16), time.monotonic()))
                    threading.Timer(seconds, lambda p=peer: answer(p)).start()

        def answer(peer: object) -> None:
            with contextlib.suppress(OSError):
                peer.send(response_bytes(200, b"ok"))  # type: ignore[attr-defined]

        threading.Thread(target=work, args=(backend,), daemon=True).start()
        self.start(backend)
        return begun

    def test_nothing_begins_for_a_client_that_has_gone_with_much_unread(self) -> None:
        # Guards against requests sent on because the client's end stands behind its unread bytes.
        begun = self.start_slow_backend(0.6)
        usual = [self.connect_and_send(request_bytes(f"{n:x}", timeout_ms=3000)) for n in range(1, 5)]
        time.sleep(0.1)
        for first in (0x1000, 0x2000, 0x3000):
            client = self.client()
            client.socket.setblocking(False)
            client.socket.send(requests_behind(first, BEHIND_BYTES))
            client.close()
            closed_at = time.monotonic()
            time.sleep(1.5)
            late = [id for id, at in begun if id >= first and at > closed_at + BEGIN_WITHIN]
            self.assertEqual([], late)
        self.assertEqual([200] * 4, [peer.message().status for peer in usual])
