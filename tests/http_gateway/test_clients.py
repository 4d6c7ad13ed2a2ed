"""Clients of the gateway on the virtual clock: well-behaved ones and those that send invalid requests."""

from typing import Any

from gorsethread.http1.server_codec import Request
from gorsethread.http_gateway.gateway import Gateway
from tests.live import FakeClient, GatewayTest, request_bytes, response_bytes


class Clients(GatewayTest):
    def test_bodies_pass_unchanged_both_ways_on_a_kept_connection(self) -> None:
        async def work() -> None:
            self.start()
            body = bytes(range(256)) * 64
            self.backends[1].respond = lambda r: [response_bytes(200, r.body, "X-Own: 1\r\n")]
            client = await self.call(request_bytes("a1", "post", 1, body=body))
            self.assertEqual((200, body), (client.status, client.received[-len(body) :]))
            client.received = b""
            client.stream.write(request_bytes("a2"))
            await self.wait(0.1)
            self.assertEqual((200, b"got /read/7f3a9c21e0b4d655"), (client.status, client.body))
            forwarded = self.backends[1].requests[0]
            self.assertEqual((b"PUT", b"/post/7f3a9c21e0b4d655", body), forwarded[:2] + forwarded[3:])
            self.assertEqual(b"00000000000000a1", forwarded.header(b"req-id"))
            self.assertTrue(900 <= int(forwarded.header(b"req-deadline-ms") or 0) <= 1000)
            self.assertEqual(0.0, client.ended_at)

        self.run_scenario(work)

    def test_the_health_check_is_answered_as_soon_as_the_gateway_listens(self) -> None:
        async def work() -> None:
            self.start()
            self.assertEqual(200, (await self.call(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")).status)

        self.run_scenario(work)

    def test_a_request_to_a_silent_backend_fails_at_its_deadline(self) -> None:
        async def work() -> None:
            self.start()
            self.backends[0].respond = lambda r: None
            began = self.client_process.now()
            client = await self.call(request_bytes("b1", "post", 0, timeout_ms=400, body=b"x"), 1.0)
            self.assertEqual(504, client.status, "it may have run, so it is not rejected")
            self.assertLess(client.answered_at - began, 0.45)
            self.assertEqual(1, len(self.backends[0].requests), "non-idempotent: sent once")
            self.assertEqual(1, self.backends[0].closed_connections, "the attempt's connection is closed")

        self.run_scenario(work)

    def test_a_rejection_has_a_retry_after_header(self) -> None:
        async def work() -> None:
            self.start(known={"generation": 1, "reset": True, "instances": []})
            client, _ = (
                await self.call(request_bytes("c1", timeout_ms=1000)),
                await self.call(request_bytes("c2"), 1.2),
            )
            self.assertEqual(503, client.status)
            self.assertRegex(client.received, rb"(?i)retry-after: [0-9]+\.[0-9]+\r\n")

        self.run_scenario(work)

    def test_the_attempt_of_a_client_that_left_is_cancelled(self) -> None:
        async def work() -> None:
            gateway = self.start()
            self.backends[0].respond = lambda r: None
            client = await self.call(request_bytes("d1"))
            client.stream.close()
            await self.wait(0.05)
            self.assertEqual(
                (1, {}, {}),
                (
                    gateway.driver.counts["client left"],
                    gateway.driver.open_requests,
                    gateway.clients.open_requests,
                ),
            )
            self.assertEqual(1, self.backends[0].closed_connections)
            self.assertFalse(
                any(backend.in_flight for backend in gateway.driver.scheduler.shards.backends.values()),
                "an attempt still counts as in flight",
            )

        self.run_scenario(work)

    def test_pipelined_requests_run_once_each_and_in_order(self) -> None:
        async def work() -> None:
            self.start()
            client = await self.call(request_bytes("e1") + request_bytes("e2") + request_bytes("e3"), 0.3)
            self.assertEqual(3, client.received.count(b"HTTP/1.1 200"))
            ids = [r.header(b"req-id") for r in self.backends[0].requests]
            self.assertEqual([b"00000000000000e1", b"00000000000000e2", b"00000000000000e3"], ids)

        self.run_scenario(work)

    def test_pipelined_requests_are_handled_one_in_an_iteration_of_the_event_loop(self) -> None:
        # Guards against a client whose many requests in one piece are all handled before anyone else's.
        async def work() -> None:
            gateway = self.start()
            original, iterations, handled = gateway.clients.handle_request, [0], list[int]()

            def next_iteration() -> None:
                iterations[0] += 1

            def handle_request(connection: object, request: Request) -> None:
                handled.append(iterations[0])
                gateway.transport.call_soon(next_iteration)
                original(connection, request)  # type: ignore[arg-type]

            gateway.clients.handle_request = handle_request  # type: ignore[method-assign]
            health_check = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
            client = await self.call(health_check * 20 + request_bytes("e4") + health_check * 19, 0.3)
            self.assertEqual(40, client.received.count(b"HTTP/1.1 200"))
            self.assertEqual((40, 40), (len(handled), len(set(handled))), "two in one iteration")

        self.run_scenario(work)

    def test_idle_connections_leave_room_for_others(self) -> None:
        async def work() -> None:
            gateway = self.start()
            for n in range(200, 280):
                await self.call(request_bytes(str(n)), 0.02)
            await self.wait(2.4)
            self.assertLessEqual(len(gateway.clients.connections), 32)

        self.run_scenario(work)

    def test_a_pipelined_requests_deadline_counts_from_its_own_arrival(self) -> None:
        async def work() -> None:
            self.start()
            self.backends[1].delay, self.backends[0].respond = 0.3, lambda r: None
            client = await self.call(request_bytes("e5", shard=1) + request_bytes("e6", timeout_ms=400), 0.25)
            client.stream.write(request_bytes("e7")[:30])
            began = self.client_process.now() - 0.25
            await self.wait(0.7)
            self.assertEqual([b"200", b"504"], [part[:3] for part in client.received.split(b"HTTP/1.1 ")[1:]])
            self.assertLess(client.answered_at - began, 0.5)

        self.run_scenario(work)

    def test_a_clients_retry_mark_reaches_the_scheduler(self) -> None:
        async def work() -> None:
            gateway = self.start()
            events: list[tuple[Any, ...]] = []
            gateway.driver.recorder = events.append
            await self.call(request_bytes("e9"))
            await self.call(request_bytes("ea", headers="Req-Retry: 1\r\n"))
            marks = [entry[-1].is_retry for entry in events if entry[2:3] == ("request_received",)]
            self.assertEqual([False, True], marks)

        self.run_scenario(work)

    def test_a_client_gets_100_continue_before_it_sends_its_body(self) -> None:
        async def work() -> None:
            self.start()
            request = request_bytes("e8", "post", body=b"hello", headers="Expect: 100-continue\r\n")
            client = await self.call(request[:-5])
            self.assertEqual(b"HTTP/1.1 100 \r\n\r\n", client.received)
            client.stream.write(b"hello")
            await self.wait(0.1)
            self.assertEqual((200, [b"hello"]), (client.status, [r.body for r in self.backends[0].requests]))

        self.run_scenario(work)

    def test_an_idle_connection_is_kept_for_two_seconds_but_not_forever(self) -> None:
        async def work() -> None:
            self.start()
            client = await self.call(request_bytes("f1"), 2.0)
            self.assertEqual(0.0, client.ended_at)
            await self.wait(10.0)
            self.assertNotEqual(0.0, client.ended_at)

        self.run_scenario(work)


class FullOfConnections(GatewayTest):
    def test_a_connection_with_a_partial_request_is_not_closed_for_a_new_one(self) -> None:
        async def work() -> None:
            gateway = self.start()
            partial = [
                await self.call(request_bytes(f"{n:x}")[:60], 0.0)
                for n in range(1, gateway.clients.max_connections + 1)
            ]
            await self.wait(0.01)  # until the last one's first bytes have arrived
            new_client = await self.call(request_bytes("ff1"))
            self.assertEqual(
                (b"", True), (new_client.received, bool(new_client.ended_at)), "the new connection is refused"
            )
            partial[0].stream.write(request_bytes("1")[60:])
            await self.wait(0.1)
            self.assertEqual(200, partial[0].status)

        self.run_scenario(work)


class InvalidRequests(GatewayTest):
    def test_an_invalid_request_gets_an_error_and_reaches_no_backend(self) -> None:
        valid = request_bytes("1")
        invalid = [
            valid.replace(b"GET /read/", b"GET /nothing/"),
            valid.replace(b"Tier: plain", b"Tier: gold"),
            valid.replace(b"Tier: plain\r\n", b""),
            valid.replace(b"1000", b"soon"),
            valid.replace(b"1000", b"0"),
            valid.replace(b"1000", b"-5"),
            valid.replace(b"Req-Id: 0000000000000001\r\n", b""),
            valid.replace(b"Req-Id: 0000", b"Req-Id: zzzz"),
            valid.replace(b"Req-Id: 00", b"Req-Id: "),
            valid.replace(b"7f3a9c21e0b4d655", b"7f3a"),
            valid.replace(b"units=1", b"units=99"),
            valid.replace(b"units=1", b"units=-1"),
            valid.replace(b"shard=0", b"shard=7"),
            valid.replace(b"shard=0,", b""),
            valid.replace(b"hosts=1", b"hosts=0"),
            valid.replace(b"units=1", b"units=1,units=2"),
            valid.replace(b"IO-Info", b"IO-Inf"),
            valid.replace(b"GET", b"POST"),
            valid.replace(b"Tier: plain", b"Tier: plain\r\nTier: plain"),
            valid[:-2] + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + valid,
            b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 70_000,
            b"\0\1\2\3\r\n\r\n",
            b"nonsense\r\n\r\n",
            valid.replace(b"\r\n\r\n", b"\r\nContent-Length: 60000000\r\n\r\n") + b"x" * 100_000,
            valid.replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\nabc"),
        ]

        async def work() -> None:
            gateway = self.start()
            for data in invalid:
                with self.subTest(data=data[:200]):
                    client = await self.call(data, 0.5)
                    self.assertTrue(400 <= client.status < 600 or client.ended_at, client.received)
                    self.assertNotIn(client.status, (429, 503), "these would say that the request was valid")
            self.assertEqual([], self.backends[0].requests + self.backends[1].requests)
            self.assertEqual(0, gateway.driver.counts["requests"])

        self.run_scenario(work)

    def test_a_second_request_with_the_id_of_an_open_one_is_refused_and_does_not_harm_it(self) -> None:
        async def work() -> None:
            self.start()
            self.backends[0].delay = 0.2
            first = await self.call(request_bytes("7"), 0.05)
            second = await self.call(request_bytes("7"), 0.05)
            self.assertEqual((0, 409), (first.status, second.status))
            await self.wait(0.3)
            self.assertEqual((200, 1), (first.status, len(self.backends[0].requests)))

        self.run_scenario(work)

    def test_connections_without_a_complete_request_end_within_three_seconds(self) -> None:
        async def work() -> None:
            self.start()
            began = self.client_process.now()
            silent, partial = await self.call(b""), await self.call(request_bytes("8")[:60])
            body = await self.call(request_bytes("9", "post", body=b"hello")[:-2])
            slow = await self.call(b"")
            for byte in request_bytes("10")[:40]:
                slow.stream.write(bytes([byte]))
                await self.wait(0.07)
            for client in (silent, partial, body, slow):
                self.assertTrue(0.0 < client.ended_at - began < 3.0)

        self.run_scenario(work)

    def test_hundreds_of_silent_connections_leave_room_for_a_request(self) -> None:
        async def work() -> None:
            gateway = self.start()
            for _ in range(300):
                await FakeClient(self.client_process).connect()
            client = await self.call(request_bytes("11"))
            self.assertEqual(200, client.status)
            self.assertLessEqual(len(gateway.clients.connections), 128)
            await self.wait(4.0)
            self.assertLessEqual(len(gateway.clients.connections), 1)

        self.run_scenario(work)

    def test_a_flood_of_invalid_requests_is_read_slowly(self) -> None:
        async def work() -> None:
            gateway = self.start()
            client = await self.call(request_bytes("12").replace(b"Tier", b"Tear") * 400, 2.0)
            answered = client.received.count(b"HTTP/1.1 400")
            self.assertGreater(answered, 0)
            self.assertLess(answered, 250)
            self.assertEqual(200, (await self.call(request_bytes("13"))).status)
            self.assertEqual({}, gateway.clients.open_requests)

        self.run_scenario(work)

    def fail_on_marked_requests(self, gateway: Gateway) -> None:
        """Makes the handling of requests with a Content-Type raise an unexpected error."""
        original = gateway.clients.handle_request

        def handle_request(connection: object, request: Request) -> None:
            if request.header(b"content-type"):
                raise ZeroDivisionError
            original(connection, request)  # type: ignore[arg-type]

        gateway.clients.handle_request = handle_request  # type: ignore[method-assign]

    def test_an_unexpected_error_in_a_pipelined_request_ends_its_connection_only(self) -> None:
        """The event loop handles a pipelined request, not the connection's own task."""

        async def work() -> None:
            self.fail_on_marked_requests(self.start())
            failing = await self.call(
                request_bytes("16") + request_bytes("17", headers="Content-Type: fail\r\n"), 0.2
            )
            self.assertEqual((1, True), (failing.received.count(b"HTTP/1.1 200"), failing.ended_at > 0))
            self.assertEqual(200, (await self.call(request_bytes("18"))).status)

        self.run_scenario(work)

    def test_an_unexpected_error_ends_its_connection_only(self) -> None:
        async def work() -> None:
            self.fail_on_marked_requests(self.start())
            failing = await self.call(request_bytes("14", headers="Content-Type: fail\r\n"))
            self.assertNotEqual(0.0, failing.ended_at)
            self.assertEqual(500, failing.status, "the request that was read gets an answer")
            self.assertEqual(200, (await self.call(request_bytes("15"))).status)

        self.run_scenario(work)
