"""Clients that leave: nothing begins for them afterwards, and no id runs a second time."""

import contextlib
import threading
import time
import unittest

import pytest

from gorsethread.http_gateway.recent_ids import REMEMBERED_MAX, REMEMBERED_SECONDS, RecentIds
from tests.crossing.rig import PeerEnded, ProcessTest, Server, wait_until
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


class RecentIdsTest(unittest.TestCase):
    def test_ids_are_remembered_for_a_while(self) -> None:
        ids = RecentIds()
        ids.add_answered(1, 0.0)
        ids.add_abandoned(2, 1.0)
        self.assertTrue(ids.contains(1, REMEMBERED_SECONDS - 0.1) and ids.contains(2, REMEMBERED_SECONDS))
        self.assertFalse(ids.contains(1, REMEMBERED_SECONDS))
        self.assertFalse(ids.contains(2, 1.0 + REMEMBERED_SECONDS))
        ids.forget_old(REMEMBERED_SECONDS)
        self.assertEqual(1, len(ids))
        ids.forget_old(1.0 + REMEMBERED_SECONDS)
        self.assertEqual(0, len(ids))

    def test_a_flood_of_answered_ids_makes_none_forgotten_that_may_still_run(self) -> None:
        ids = RecentIds()
        ids.add_abandoned(0, 0.0)
        for id in range(1, 2 * REMEMBERED_MAX):
            ids.add_answered(id, 0.0)
        self.assertTrue(ids.contains(0, 1.0))
        self.assertEqual(REMEMBERED_MAX + 1, len(ids))


class VirtualGateway(GatewayTest):
    def test_an_id_that_may_have_run_is_refused_after_its_answer(self) -> None:
        # Guards against an id that is refused while it is open and runs once more afterwards.
        async def work() -> None:
            self.start()
            for number, request_class in ((20, "post"), (21, "read")):
                body = b"x" if request_class == "post" else b""
                for status in (200, 409):
                    client = await self.call(request_bytes(str(number), request_class, body=body))
                    self.assertEqual(status, client.status)
            self.assertEqual(2, len(self.backends[0].requests))
            await self.wait(REMEMBERED_SECONDS)
            self.assertEqual(200, (await self.call(request_bytes("20", "post", body=b"x"))).status)

        self.run_scenario(work)

    def test_the_same_id_in_other_letters_is_the_same(self) -> None:
        async def work() -> None:
            self.start()
            self.assertEqual(200, (await self.call(request_bytes("ab", "post", body=b"x"))).status)
            self.assertEqual(409, (await self.call(request_bytes("AB", "post", body=b"x"))).status)

        self.run_scenario(work)

    def test_an_id_runs_once_though_its_client_leaves_and_it_comes_again(self) -> None:
        # Guards against a request that is still running at a backend for a client that has left.
        async def work() -> None:
            self.start()
            self.backends[0].delay = 0.6
            for number, pause in ((30, 0.02), (31, 0.3)):
                client = await self.call(request_bytes(str(number), "post", body=b"x"), 0.1)
                client.stream.close()
                await self.wait(pause)
                again = await self.call(request_bytes(str(number), "post", body=b"x"), 1.0)
                self.assertEqual(409, again.status)
            self.assertEqual(2, len(self.backends[0].requests))

        self.run_scenario(work)

    def test_the_id_of_an_invalid_request_may_come_again(self) -> None:
        async def work() -> None:
            self.start()
            client = await self.call(request_bytes("40", "post", shard=7, body=b"x"))
            self.assertEqual(400, client.status)
            self.assertEqual(200, (await self.call(request_bytes("40", "post", shard=1, body=b"x"))).status)

        self.run_scenario(work)

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

    def test_an_id_runs_once_though_its_client_resets_its_connection_and_it_comes_again(self) -> None:
        # Guards against ids that are forgotten as their client leaves.
        begun = self.start_slow_backend(0.6)
        for number, leave in ((0x11, "reset"), (0x12, "close"), (0x13, "reset")):
            request = request_bytes(f"{number:x}", "post", timeout_ms=2000, body=b"pay")
            first = self.connect_and_send(request)
            wait_until(lambda id=number: id in [begun_id for begun_id, _ in begun], "the first attempt")
            getattr(first, leave)()
            time.sleep(0.02)
            again = self.connect_and_send(request)
            with contextlib.suppress(PeerEnded):
                self.assertEqual(409, again.message().status)
            time.sleep(0.7)
        self.assertEqual([0x11, 0x12, 0x13], [id for id, _ in begun])
