"""Connections to backends on the virtual clock: what is sent, kept, called off and told of each ending."""

from gorsethread.http1.server_codec import Request
from gorsethread.transport.base import Stream
from gorsethread.transport.virtual import NetworkConditions
from tests.live import LiveRig as Rig
from tests.live import Shelf, instance, whole, wish


class Backends(Rig):
    def test_one_connection_is_used_again(self) -> None:
        async def work() -> None:
            self.start()
            for n in range(20, 30):
                await self.call(wish(str(n)))
            self.assertEqual((10, 1), (len(self.shelves[0].seen), self.shelves[0].connections))

        self.play(work)

    def test_answers_on_the_wire_and_what_the_decisions_hear(self) -> None:
        for says, status, ending in (
            ([whole(200, b"x")], 200, "succeeded"),
            ([whole(500)], 504, "error"),
            ([whole(503, b"", "Srv-Declined: 1\r\n")], 503, "rejected"),
            ([whole(503)], 504, "error"),
            ([b""], 504, "connection lost"),
            ([b"HTTP/1.1 20", b""], 504, "connection lost"),
            ([b"noise\r\n\r\n"], 504, "error"),
            ([b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"z" * 9000], 504, "error"),
            ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b""], 504, "connection lost"),
            ([b"HTTP/1.1 100 C\r\n\r\n" * 3 + whole(200, b"x")], 200, "succeeded"),
            ([whole(200, b"x", "Srv-Load: {\r\nOther-Hosts: many\r\nVolume-Load: ?\r\n")], 200, "succeeded"),
        ):
            with self.subTest(says=says):
                self.setUp()

                async def work(says: list[bytes] = says, status: int = status, ending: str = ending) -> None:
                    head = self.start()
                    self.shelves[0].says = lambda r: says
                    caller = await self.call(wish("30", "post", patience=500, body=b"x"), 1.0)
                    self.assertEqual(status, caller.status)
                    self.assertGreaterEqual(head.driver.counts[f"attempts {ending}"], 1)
                    if ending != "rejected":
                        self.assertEqual(1, len(self.shelves[0].seen), "irreversible and may have run: once")

                self.play(work)

    def test_a_refused_connection_never_ran_and_the_next_try_may(self) -> None:
        async def work() -> None:
            head = self.start()
            self.shelves[0].listener.close()
            caller = await self.call(wish("31", "post", patience=900, body=b"x"), 0.15)
            self.assertEqual(2, head.driver.counts["attempts unreachable"])
            self.shelves[0] = Shelf(self.process("shelf0"), "shelf0")
            await self.wait(0.8)
            self.assertEqual((200, 1), (caller.status, len(self.shelves[0].seen)))

        self.play(work)

    def test_noise_that_comes_later_on_an_idle_connection_reaches_nobody(self) -> None:
        async def work() -> None:
            head = self.start()
            self.shelves[0].later = whole(200, b"a second answer")
            for n in range(46, 50):
                caller = await self.call(wish(str(n), "post", body=b"x"), 0.03)
                self.assertEqual((200, b"got /post/7f3a9c21e0b4d655"), (caller.status, caller.body))
                await self.wait(0.05)
                self.assertEqual(0, head.pool.held)

        self.play(work)

    def test_a_second_answer_or_noise_behind_one_reaches_nobody_else(self) -> None:
        async def work() -> None:
            self.start()
            self.shelves[0].says = lambda r: [whole(200, r.header(b"req-id") or b"") * 2]
            for n in range(40, 46):
                caller = await self.call(wish(str(n)))
                self.assertEqual(f"{n:0>16}".encode(), caller.body)
            self.assertEqual(6, self.shelves[0].connections)

        self.play(work)

    def test_a_connection_that_the_shelf_ends_right_behind_its_answer_costs_nothing(self) -> None:
        async def work() -> None:
            head = self.start()
            shelf = self.shelves[0]
            shelf.says = lambda r: [whole(200, b"x")] if shelf.connections % 2 else [whole(200, b"x"), b""]
            shelf.delay = 0.0
            for n in range(100, 130):
                caller = await self.call(wish(str(n), "post", body=b"x"), 0.004)
                caller.stream.write(wish(str(n + 100), "post", body=b"x"))
                await self.wait(0.02)
                self.assertEqual(2, caller.got.count(b"HTTP/1.1 200"))
            self.assertEqual(0, head.driver.counts["attempts connection lost"])

        self.play(work)

    def test_an_answer_that_meets_its_own_call_off_hurts_nobody(self) -> None:
        """The bytes are read, and before their reader goes on the client leaves or the cut-off comes."""

        async def work() -> None:
            head = self.start()
            honest = self.transport.connect
            struck: list[bytes] = []

            async def connect(host: str, port: int, within: float) -> Stream:
                stream = await honest(host, port, within)
                honest_read = stream.read

                async def read() -> bytes:
                    data = await honest_read()
                    if host == "shelf0" and not struck:
                        struck.append(data)
                        for t in list(head.driver.open.values()):
                            head.driver.client_left(t)
                    return data

                stream.read = read  # type: ignore[method-assign]
                return stream

            self.transport.connect = connect  # type: ignore[method-assign]
            first = await self.call(wish("90"))
            self.assertEqual((1, 0), (len(struck), first.status))
            self.assertEqual(200, (await self.call(wish("91"))).status)

        self.play(work)

    def test_where_kept_connections_break_none_is_kept_for_a_while(self) -> None:
        async def work() -> None:
            head = self.start()
            shelf, seen = self.shelves[0], []

            def says(request: Request) -> list[bytes]:
                seen.append(shelf.connections)
                return [b""] if seen.count(shelf.connections) > 1 else [whole(200, b"x")]

            shelf.says = says
            statuses = [
                (await self.call(wish(str(n), "post", body=b"x"), 0.05)).status for n in range(300, 340)
            ]
            self.assertLess(statuses.count(504), 4)
            self.assertEqual(0, head.pool.held, "none is kept, used or not")
            shelf.says = lambda r: [whole(200, b"x")]
            await self.wait(30.0)
            before = shelf.connections
            for n in range(340, 360):
                await self.call(wish(str(n), "post", body=b"x"), 0.05)
            self.assertEqual(1, shelf.connections - before)
            self.assertEqual({}, head.driver.open)

        self.play(work)

    def test_nothing_is_sent_right_behind_an_answer_on_the_same_connection(self) -> None:
        """The second transaction is there as the first is answered; the connection's end is on its way."""

        async def work() -> None:
            head = self.start()
            self.shelves[0].says = lambda r: [whole(200, b"x"), b""]
            for n in range(130, 150, 2):
                both = wish(str(n), "post", body=b"x") + wish(str(n + 1), "post", body=b"x")
                self.assertEqual(2, (await self.call(both)).got.count(b"HTTP/1.1 200"))
            self.assertEqual(0, head.driver.counts["attempts connection lost"])

        self.play(work)

    def test_what_the_system_knows_of_a_connections_end_is_asked_before_it_is_used(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.call(wish("150"))
            link = next(link for link in head.pool.links.values() if link.idle_connections)
            link.idle_connections[0].stream._end_reason = "closed by peer"  # type: ignore[attr-defined]  # no task was told yet
            self.assertEqual(200, (await self.call(wish("151", "post", body=b"x"))).status)
            self.assertEqual(
                (0, 2), (head.driver.counts["attempts connection lost"], self.shelves[0].connections)
            )

        self.play(work)

    def test_a_connection_that_ends_before_the_last_byte_is_written_never_ran(self) -> None:
        async def work() -> None:
            head = self.start()
            self.network.conditions = NetworkConditions(window=1000, split=0.0)
            shelf, honest = self.shelves[0], self.shelves[0].on_stream

            async def deaf(stream: Stream) -> None:
                shelf.listener.on_stream = honest
                await self.user.sleep(0.05)
                stream.close()

            shelf.listener.on_stream = deaf
            caller = await self.call(wish("152", "post", body=bytes(5000)), 0.9)
            self.assertEqual(
                (200, 1, 0),
                (
                    caller.status,
                    head.driver.counts["attempts unreachable"],
                    head.driver.counts["attempts connection lost"],
                ),
            )

        self.play(work)

    def test_what_is_over_before_its_connection_stands_is_not_sent(self) -> None:
        async def work() -> None:
            self.start()
            self.network.extra_connect_delay["shelf0"] = 0.05
            caller = await self.call(wish("153", "post", body=b"x"), 0.05)
            caller.stream.close()
            await self.wait(0.5)
            self.assertEqual((1, []), (self.shelves[0].connections, self.shelves[0].seen))

        self.play(work)

    def test_an_idle_connection_that_the_shelf_ends_is_not_used(self) -> None:
        async def work() -> None:
            head = self.start()
            self.shelves[0].says = lambda r: [whole(200, b"x"), b""]
            for n in range(50, 53):
                caller = await self.call(wish(str(n), "post", body=b"x"))
                self.assertEqual(200, caller.status)
            self.assertEqual((0, 0), (head.driver.counts["attempts connection lost"], head.pool.held))

        self.play(work)

    def test_idle_connections_end_before_the_shelf_ends_them(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.call(wish("54"), 14.5)
            self.assertEqual((1, 0), (self.shelves[0].ends, head.pool.held))

        self.play(work)

    def test_what_waits_for_a_connection_is_not_sent_to_a_shelf_that_drains(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            head.pool.most = 1
            self.shelves[0].says = lambda r: None
            blocker = await self.call(wish("74", patience=5000))
            await self.call(wish("75", shard=1, patience=5000))
            self.assertEqual(1, len(head.pool.waiting))
            self.list.tell(instance(1, "draining"))
            await self.wait(1.5)
            self.assertEqual(0, len(head.pool.waiting))
            blocker.stream.close()
            await self.wait(1.0)
            self.assertEqual([], self.shelves[1].seen)

        self.play(work)

    def test_the_pool_is_bounded_and_those_who_wait_get_their_turn(self) -> None:
        async def work() -> None:
            head = self.start(limits={"cores": 1.0, "memory_mb": 64, "sockets": 32})
            head.pool.most = 2
            callers = [await self.call(wish(str(n), shard=n % 2), 0.0) for n in range(60, 70)]
            await self.wait(0.6)
            self.assertLessEqual(head.pool.held, 2)
            self.assertEqual([200] * 10, [c.status for c in callers])

        self.play(work)
