"""Clients of the gateway on the virtual clock: honest ones, and such that send what is no request."""

from typing import Any

from gorsethread.http1.server_codec import Request
from gorsethread.http_gateway.gateway import Gateway
from tests.live import Caller, whole, wish
from tests.live import LiveRig as Rig


class Clients(Rig):
    def test_the_shelfs_body_comes_back_byte_for_byte_on_connections_kept(self) -> None:
        async def work() -> None:
            self.start()
            body = bytes(range(256)) * 64
            self.shelves[1].says = lambda r: [whole(200, r.body, "X-Own: 1\r\n")]
            caller = await self.call(wish("a1", "post", 1, body=body))
            self.assertEqual((200, body), (caller.status, caller.got[-len(body) :]))
            caller.got = b""
            caller.stream.write(wish("a2"))
            await self.wait(0.1)
            self.assertEqual((200, b"got /read/7f3a9c21e0b4d655"), (caller.status, caller.body))
            passed = self.shelves[1].seen[0]
            self.assertEqual((b"PUT", b"/post/7f3a9c21e0b4d655", body), passed[:2] + passed[3:])
            self.assertEqual(b"00000000000000a1", passed.header(b"req-id"))
            self.assertTrue(900 <= int(passed.header(b"req-deadline-ms") or 0) <= 1000)
            self.assertEqual(0.0, caller.ended_at)

        self.play(work)

    def test_ready_is_told_as_soon_as_it_listens(self) -> None:
        async def work() -> None:
            self.start()
            self.assertEqual(200, (await self.call(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")).status)

        self.play(work)

    def test_a_silent_shelf_costs_the_client_no_more_than_its_patience_and_gives_up(self) -> None:
        async def work() -> None:
            self.start()
            self.shelves[0].says = lambda r: None
            began = self.user.now()
            caller = await self.call(wish("b1", "post", 0, patience=400, body=b"x"), 1.0)
            self.assertEqual(504, caller.status, "it may have run: no push back")
            self.assertLess(caller.answered_at - began, 0.45)
            self.assertEqual(1, len(self.shelves[0].seen), "irreversible: sent once")
            self.assertEqual(1, self.shelves[0].ends, "the forward's connection is closed")

        self.play(work)

    def test_a_push_back_names_its_return_time(self) -> None:
        async def work() -> None:
            self.start(known={"generation": 1, "reset": True, "instances": []})
            caller, _ = await self.call(wish("c1", patience=1000)), await self.call(wish("c2"), 1.2)
            self.assertEqual(503, caller.status)
            self.assertRegex(caller.got, rb"(?i)retry-after: [0-9]+\.[0-9]+\r\n")

        self.play(work)

    def test_a_client_that_leaves_is_noticed_and_its_forward_called_off(self) -> None:
        async def work() -> None:
            head = self.start()
            self.shelves[0].says = lambda r: None
            caller = await self.call(wish("d1"))
            caller.stream.close()
            await self.wait(0.05)
            self.assertEqual(
                (1, {}, {}), (head.driver.counts["client left"], head.driver.open, head.clients.open)
            )
            self.assertEqual(1, self.shelves[0].ends)
            self.assertFalse(
                any(s.in_flight for s in head.driver.scheduler.shards.backends.values()), "a slot stays taken"
            )

        self.play(work)

    def test_requests_sent_ahead_run_once_each_and_in_turn(self) -> None:
        async def work() -> None:
            self.start()
            caller = await self.call(wish("e1") + wish("e2") + wish("e3"), 0.3)
            self.assertEqual(3, caller.got.count(b"HTTP/1.1 200"))
            ids = [r.header(b"req-id") for r in self.shelves[0].seen]
            self.assertEqual([b"00000000000000e1", b"00000000000000e2", b"00000000000000e3"], ids)

        self.play(work)

    def test_connections_that_asked_once_and_stay_leave_room_for_others(self) -> None:
        async def work() -> None:
            head = self.start()
            for n in range(200, 280):
                await self.call(wish(str(n)), 0.02)
            await self.wait(2.4)
            self.assertLessEqual(len(head.clients.connections), 32)

        self.play(work)

    def test_a_held_requests_cut_off_counts_from_its_own_coming(self) -> None:
        async def work() -> None:
            self.start()
            self.shelves[1].delay, self.shelves[0].says = 0.3, lambda r: None
            caller = await self.call(wish("e5", shard=1) + wish("e6", patience=400), 0.25)
            caller.stream.write(wish("e7")[:30])
            began = self.user.now() - 0.25
            await self.wait(0.7)
            self.assertEqual([b"200", b"504"], [part[:3] for part in caller.got.split(b"HTTP/1.1 ")[1:]])
            self.assertLess(caller.answered_at - began, 0.5)

        self.play(work)

    def test_a_clients_mark_of_a_repeat_reaches_the_decisions(self) -> None:
        async def work() -> None:
            head = self.start()
            told: list[tuple[Any, ...]] = []
            head.driver.recorder = told.append
            await self.call(wish("e9"))
            await self.call(wish("ea", more="Req-Retry: 1\r\n"))
            marks = [entry[-1].is_retry for entry in told if entry[2:3] == ("request_received",)]
            self.assertEqual([False, True], marks)

        self.play(work)

    def test_a_client_may_ask_before_it_sends_its_body(self) -> None:
        async def work() -> None:
            self.start()
            whole_wish = wish("e8", "post", body=b"hello", more="Expect: 100-continue\r\n")
            caller = await self.call(whole_wish[:-5])
            self.assertEqual(b"HTTP/1.1 100 \r\n\r\n", caller.got)
            caller.stream.write(b"hello")
            await self.wait(0.1)
            self.assertEqual((200, [b"hello"]), (caller.status, [r.body for r in self.shelves[0].seen]))

        self.play(work)

    def test_an_idle_connection_is_kept_for_two_seconds_and_not_for_ever(self) -> None:
        async def work() -> None:
            self.start()
            caller = await self.call(wish("f1"), 2.0)
            self.assertEqual(0.0, caller.ended_at)
            await self.wait(10.0)
            self.assertNotEqual(0.0, caller.ended_at)

        self.play(work)


class Crowded(Rig):
    def test_room_is_never_made_by_a_connection_whose_request_is_on_its_way(self) -> None:
        async def work() -> None:
            head = self.start()
            begun = [await self.call(wish(f"{n:x}")[:60], 0.0) for n in range(1, head.clients.most + 1)]
            await self.wait(0.01)  # the last one's first bytes are there
            newcomer = await self.call(wish("ff1"))
            self.assertEqual((b"", True), (newcomer.got, bool(newcomer.ended_at)), "there is no room")
            begun[0].stream.write(wish("1")[60:])
            await self.wait(0.1)
            self.assertEqual(200, begun[0].status)

        self.play(work)


class BadClients(Rig):
    def test_what_is_no_transaction_gets_an_error_and_reaches_no_shelf(self) -> None:
        good = wish("1")
        spoilt = [
            good.replace(b"GET /read/", b"GET /nothing/"),
            good.replace(b"Tier: plain", b"Tier: gold"),
            good.replace(b"Tier: plain\r\n", b""),
            good.replace(b"1000", b"soon"),
            good.replace(b"1000", b"0"),
            good.replace(b"1000", b"-5"),
            good.replace(b"Req-Id: 0000000000000001\r\n", b""),
            good.replace(b"Req-Id: 0000", b"Req-Id: zzzz"),
            good.replace(b"Req-Id: 00", b"Req-Id: "),
            good.replace(b"7f3a9c21e0b4d655", b"7f3a"),
            good.replace(b"units=1", b"units=99"),
            good.replace(b"units=1", b"units=-1"),
            good.replace(b"shard=0", b"shard=7"),
            good.replace(b"shard=0,", b""),
            good.replace(b"hosts=1", b"hosts=0"),
            good.replace(b"units=1", b"units=1,units=2"),
            good.replace(b"IO-Info", b"IO-Inf"),
            good.replace(b"GET", b"POST"),
            good.replace(b"Tier: plain", b"Tier: plain\r\nTier: plain"),
            good[:-2] + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + good,
            b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 70_000,
            b"\0\1\2\3\r\n\r\n",
            b"nonsense\r\n\r\n",
            good.replace(b"\r\n\r\n", b"\r\nContent-Length: 60000000\r\n\r\n") + b"x" * 100_000,
            good.replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\nabc"),
        ]

        async def work() -> None:
            head = self.start()
            for data in spoilt:
                with self.subTest(data=data[:200]):
                    caller = await self.call(data, 0.5)
                    self.assertTrue(400 <= caller.status < 600 or caller.ended_at, caller.got)
                    self.assertNotIn(caller.status, (429, 503), "these would say that it was a transaction")
            self.assertEqual([], self.shelves[0].seen + self.shelves[1].seen)
            self.assertEqual(0, head.driver.counts["requests"])

        self.play(work)

    def test_the_id_of_an_open_transaction_is_refused_and_hurts_the_other_not(self) -> None:
        async def work() -> None:
            self.start()
            self.shelves[0].delay = 0.2
            first = await self.call(wish("7"), 0.05)
            second = await self.call(wish("7"), 0.05)
            self.assertEqual((0, 409), (first.status, second.status))
            await self.wait(0.3)
            self.assertEqual((200, 1), (first.status, len(self.shelves[0].seen)))

        self.play(work)

    def test_silence_and_half_requests_end_within_three_seconds(self) -> None:
        async def work() -> None:
            self.start()
            began = self.user.now()
            silent, half = await self.call(b""), await self.call(wish("8")[:60])
            body = await self.call(wish("9", "post", body=b"hello")[:-2])
            slow = await self.call(b"")
            for byte in wish("10")[:40]:
                slow.stream.write(bytes([byte]))
                await self.wait(0.07)
            for caller in (silent, half, body, slow):
                self.assertTrue(0.0 < caller.ended_at - began < 3.0)

        self.play(work)

    def test_hundreds_that_say_nothing_leave_room_for_who_asks(self) -> None:
        async def work() -> None:
            head = self.start()
            for _ in range(300):
                await Caller(self.user).dial()
            caller = await self.call(wish("11"))
            self.assertEqual(200, caller.status)
            self.assertLessEqual(len(head.clients.connections), 128)
            await self.wait(4.0)
            self.assertLessEqual(len(head.clients.connections), 1)

        self.play(work)

    def test_the_same_again_without_end_is_read_slowly(self) -> None:
        async def work() -> None:
            head = self.start()
            caller = await self.call(wish("12").replace(b"Tier", b"Tear") * 400, 2.0)
            answered = caller.got.count(b"HTTP/1.1 400")
            self.assertGreater(answered, 0)
            self.assertLess(answered, 250)
            self.assertEqual(200, (await self.call(wish("13"))).status)
            self.assertEqual({}, head.clients.open)

        self.play(work)

    def fails_at_bombs(self, head: Gateway) -> None:
        """Plants a defect that requests with a header of their own meet."""
        honest = head.clients.requested

        def requested(connection: object, request: Request) -> None:
            if request.header(b"x-bomb"):
                raise ZeroDivisionError
            honest(connection, request)  # type: ignore[arg-type]

        head.clients.requested = requested  # type: ignore[method-assign]

    def test_a_defect_met_by_a_held_request_costs_its_connection_alone(self) -> None:
        """What was sent ahead is gone on with from the loop, not from the connection's own task."""

        async def work() -> None:
            self.fails_at_bombs(self.start())
            bomb = await self.call(wish("16") + wish("17", more="X-Bomb: 1\r\n"), 0.2)
            self.assertEqual((1, True), (bomb.got.count(b"HTTP/1.1 200"), bomb.ended_at > 0))
            self.assertEqual(200, (await self.call(wish("18"))).status)

        self.play(work)

    def test_a_defect_met_by_one_connection_costs_that_one_alone(self) -> None:
        async def work() -> None:
            self.fails_at_bombs(self.start())
            bomb = await self.call(wish("14", more="X-Bomb: 1\r\n"))
            self.assertNotEqual(0.0, bomb.ended_at)
            self.assertEqual(500, bomb.status, "what was read is owed an answer")
            self.assertEqual(200, (await self.call(wish("15"))).status)

        self.play(work)
