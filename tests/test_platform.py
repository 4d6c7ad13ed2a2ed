"""The head in service, end to end on the virtual clock: clients, bad clients, shelves, discovery, signals."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

from gorsethread.http1.serving import Request
from gorsethread.platform.config import Unusable, read_order
from gorsethread.transport.base import Stream
from gorsethread.transport.real import free_ports
from gorsethread.transport.virtual import Weather
from tests.live import LIST, PATH, SETTINGS, Caller, NewsList, Shelf, instance, order, whole, wish
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
            self.assertEqual(b"00000000000000a1", passed.one(b"req-id"))
            self.assertTrue(900 <= int(passed.one(b"req-deadline-ms") or 0) <= 1000)
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
            self.assertEqual((1, {}, {}), (head.driver.counts["left"], head.driver.open, head.clients.open))
            self.assertEqual(1, self.shelves[0].ends)
            self.assertFalse(any(s.out for s in head.driver.policy.shelves.values()), "a slot stays taken")

        self.play(work)

    def test_requests_sent_ahead_run_once_each_and_in_turn(self) -> None:
        async def work() -> None:
            self.start()
            caller = await self.call(wish("e1") + wish("e2") + wish("e3"), 0.3)
            self.assertEqual(3, caller.got.count(b"HTTP/1.1 200"))
            ids = [r.one(b"req-id") for r in self.shelves[0].seen]
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
            marks = [entry[-1].repeat for entry in told if entry[2:3] == ("request_taken",)]
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
            self.assertEqual(0, head.driver.counts["taken"])

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

    def test_a_defect_met_by_a_held_request_costs_its_connection_alone(self) -> None:
        """What was sent ahead is gone on with from the loop, not from the connection's own task."""

        async def work() -> None:
            head = self.start()
            honest = head.clients.requested

            def requested(connection: object, request: Request) -> None:
                if request.one(b"x-bomb"):
                    raise ZeroDivisionError
                honest(connection, request)  # type: ignore[arg-type]

            head.clients.requested = requested  # type: ignore[method-assign]
            bomb = await self.call(wish("16") + wish("17", more="X-Bomb: 1\r\n"), 0.2)
            self.assertEqual((1, True), (bomb.got.count(b"HTTP/1.1 200"), bomb.ended_at > 0))
            self.assertEqual(200, (await self.call(wish("18"))).status)

        self.play(work)

    def test_a_defect_met_by_one_connection_costs_that_one_alone(self) -> None:
        async def work() -> None:
            head = self.start()
            honest = head.clients.requested

            def requested(connection: object, request: Request) -> None:
                if request.one(b"x-bomb"):
                    raise ZeroDivisionError
                honest(connection, request)  # type: ignore[arg-type]

            head.clients.requested = requested  # type: ignore[method-assign]
            bomb = await self.call(wish("14", more="X-Bomb: 1\r\n"))
            self.assertNotEqual(0.0, bomb.ended_at)
            self.assertEqual(200, (await self.call(wish("15"))).status)

        self.play(work)


class ShelfSide(Rig):
    def test_one_connection_is_used_again(self) -> None:
        async def work() -> None:
            self.start()
            for n in range(20, 30):
                await self.call(wish(str(n)))
            self.assertEqual((10, 1), (len(self.shelves[0].seen), self.shelves[0].connections))

        self.play(work)

    def test_answers_on_the_wire_and_what_the_decisions_hear(self) -> None:
        for says, status, ending in (
            ([whole(200, b"x")], 200, "honoured"),
            ([whole(500)], 504, "error"),
            ([whole(503, b"", "Srv-Declined: 1\r\n")], 503, "turned away"),
            ([whole(503)], 504, "error"),
            ([b""], 504, "broken"),
            ([b"HTTP/1.1 20", b""], 504, "broken"),
            ([b"noise\r\n\r\n"], 504, "error"),
            ([b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"z" * 9000], 504, "error"),
            ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b""], 504, "broken"),
            ([b"HTTP/1.1 100 C\r\n\r\n" * 3 + whole(200, b"x")], 200, "honoured"),
            ([whole(200, b"x", "Srv-Load: {\r\nOther-Hosts: many\r\nVolume-Load: ?\r\n")], 200, "honoured"),
        ):
            with self.subTest(says=says):
                self.setUp()

                async def work(says: list[bytes] = says, status: int = status, ending: str = ending) -> None:
                    head = self.start()
                    self.shelves[0].says = lambda r: says
                    caller = await self.call(wish("30", "post", patience=500, body=b"x"), 1.0)
                    self.assertEqual(status, caller.status)
                    self.assertGreaterEqual(head.driver.counts[f"forwards {ending}"], 1)
                    if ending != "turned away":
                        self.assertEqual(1, len(self.shelves[0].seen), "irreversible and may have run: once")

                self.play(work)

    def test_a_refused_connection_never_ran_and_the_next_try_may(self) -> None:
        async def work() -> None:
            head = self.start()
            self.shelves[0].listener.close()
            caller = await self.call(wish("31", "post", patience=900, body=b"x"), 0.15)
            self.assertEqual(2, head.driver.counts["forwards unreached"])
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
            self.shelves[0].says = lambda r: [whole(200, r.one(b"req-id") or b"") * 2]
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
            self.assertEqual(0, head.driver.counts["forwards broken"])

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
            self.assertEqual(0, head.driver.counts["forwards broken"])

        self.play(work)

    def test_what_the_system_knows_of_a_connections_end_is_asked_before_it_is_used(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.call(wish("150"))
            link = next(link for link in head.pool.links.values() if link.kept)
            link.kept[0].stream._ended = "closed by peer"  # type: ignore[attr-defined]  # no task was told yet
            self.assertEqual(200, (await self.call(wish("151", "post", body=b"x"))).status)
            self.assertEqual((0, 2), (head.driver.counts["forwards broken"], self.shelves[0].connections))

        self.play(work)

    def test_a_connection_that_ends_before_the_last_byte_is_written_never_ran(self) -> None:
        async def work() -> None:
            head = self.start()
            self.network.weather = Weather(window=1000, split=0.0)
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
                    head.driver.counts["forwards unreached"],
                    head.driver.counts["forwards broken"],
                ),
            )

        self.play(work)

    def test_what_is_over_before_its_connection_stands_is_not_sent(self) -> None:
        async def work() -> None:
            self.start()
            self.network.slow_connects["shelf0"] = 0.05
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
            self.assertEqual((0, 0), (head.driver.counts["forwards broken"], head.pool.held))

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


class Following(Rig):
    def test_changes_come_by_watch_and_a_drain_ends_what_is_sent(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            self.list.tell(instance(0, "draining"))
            await self.wait(1.3)
            seen = len(self.shelves[0].seen)
            await self.call(wish("70", patience=300), 0.5)
            self.assertEqual(seen, len(self.shelves[0].seen))
            self.assertEqual(2, head.discovery.version)
            self.assertRegex(self.list.asked[-1], r"since=2&timeout_ms=[0-9]+")

        self.play(work)

    def test_a_new_address_of_the_same_shelf_is_a_new_link(self) -> None:
        async def work() -> None:
            self.start()
            await self.call(wish("71"))
            moved = Shelf(self.process("elsewhere"), "elsewhere")
            self.list.tell(instance(0, address="elsewhere:1"))
            await self.wait(0.2)
            await self.call(wish("72"))
            self.assertEqual((1, 1), (len(self.shelves[0].seen), len(moved.seen)))
            self.assertEqual(1, self.shelves[0].ends)
            moved.delay = 0.2
            slow = await self.call(wish("76"), 0.05)
            self.list.tell(instance(0))
            await self.wait(0.5)
            self.assertEqual((200, 1), (slow.status, moved.ends), "it answers, and its connection goes")

        self.play(work)

    def test_a_sick_discovery_changes_nothing_and_is_not_hammered(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            for raw in (
                whole(200, b"{"),
                whole(200, b'{"generation":9,"reset":true,"instances":[{}]}'),
                whole(
                    200,
                    json.dumps(
                        {"generation": 9, "reset": False, "instances": [instance(0, address="nowhere")]}
                    ).encode(),
                ),
                b"noise\r\n\r\n",
            ):
                self.list.raw = raw
                await self.wait(11.0)
                self.assertEqual(1, head.discovery.version)
            self.list.down = True
            before = len(self.list.asked)
            await self.wait(10.0)
            self.assertLess(len(self.list.asked) - before, 12)
            self.assertEqual(200, (await self.call(wish("73"))).status)
            self.list.down = False
            self.list.tell(instance(0, "draining"))
            await self.wait(11.0)
            self.assertEqual(2, head.discovery.version)

        self.play(work)

    def test_a_list_of_generation_0_is_watched_and_a_hasty_service_is_asked_slowly(self) -> None:
        async def work() -> None:
            self.list.generation = 0
            head = self.start(known={"generation": 0, "reset": True, "instances": [instance(0), instance(1)]})
            await self.wait(3.0)
            waits = [int(asked.rpartition("=")[2]) for asked in self.list.asked]
            self.assertTrue(all(1500 <= wait <= 3000 for wait in waits), waits)
            self.assertTrue(len(set(waits)) == len(waits) <= 2, "each is drawn, and none is hasty")
            self.list.tell(instance(0, "draining"))
            self.list.hasty = True
            await self.wait(2.0)
            self.assertEqual(1, head.discovery.version)
            self.assertLess(len(self.list.asked), 25)

        self.play(work)

    def test_a_shelfs_start_is_put_on_the_heads_clock_once(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            started, now = self.user.wall() * 1000, self.transport.now()
            for _ in range(2):
                self.list.tell(instance(0, started=started))
                await self.wait(0.7)
                since = [s.since for s in head.driver.policy.shelves.values() if s.shard == 0]
                self.assertAlmostEqual(now, since[0], places=3)

        self.play(work)

    def test_a_discovery_whose_machine_is_gone_is_asked_anew(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            self.list.transport.vanish()
            self.list = NewsList(self.process("list again"), LIST, generation=1)
            self.list.tell(instance(0, "gone"))
            await self.wait(12.0)
            self.assertEqual(2, head.discovery.version)

        self.play(work)

    def test_a_discovery_that_vanished_without_a_word_is_asked_again(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            self.network.cut("list", "head")
            await self.wait(9.0)
            self.network.heal("list", "head")
            self.list.tell(instance(0, "gone"))
            await self.wait(11.0)
            self.assertEqual({1}, {s.cell for s in head.discovery.known.values()})

        self.play(work)

    def test_older_news_is_not_believed_until_the_whole_list_says_so(self) -> None:
        async def work() -> None:
            head = self.start(known={"generation": 50, "reset": True, "instances": [instance(0)]})
            self.list.raw = whole(
                200,
                json.dumps({"generation": 3, "reset": False, "instances": [instance(0, "gone")]}).encode(),
            )
            await self.wait(0.04)
            self.assertEqual({0}, {s.cell for s in head.discovery.known.values()})
            await self.wait(2.0)
            self.assertEqual({0, 1}, {s.cell for s in head.discovery.known.values()})
            self.assertIn("/v1/servers", self.list.asked)

        self.play(work)


class Signals(Rig):
    def test_a_new_configuration_moves_the_watch_at_once_while_serving(self) -> None:
        async def work() -> None:
            head = self.start()
            await self.wait(0.2)
            other = NewsList(self.process("list2"), ("list2", 1), generation=1)
            self.disk.files[PATH] = bytearray(b"{ broken")
            self.transport.reload()
            await self.wait(0.1)
            self.assertEqual(("list", 1), head.discovery.address)
            self.configure(discovery="list2:1")
            self.transport.reload()
            self.transport.reload()
            await self.wait(0.1)
            other.tell(instance(1, "draining"))
            await self.wait(0.1)
            self.assertEqual(2, head.discovery.version)
            self.assertEqual(200, (await self.call(wish("80"))).status)

        self.play(work)

    def test_ending_serves_who_still_comes_and_answers_all_it_took(self) -> None:
        async def work() -> None:
            head = self.start()
            self.shelves[0].delay = 0.9
            idle = await self.call(wish("81", shard=1))
            slow = await self.call(wish("82", patience=2000), 0.05)
            self.transport.terminate()
            self.transport.terminate()
            began = self.user.now()
            ending = self.loop.create_task(head.end())
            for n in range(15):
                late = await self.call(wish(str(830 + n), shard=1), 0.1)
                idle.stream.write(wish(str(860 + n), shard=1))
                self.assertEqual(200, late.status)
            self.assertEqual(200, slow.status)
            self.assertEqual(15, idle.got.count(b"HTTP/1.1 200"))
            self.shelves[0].says = lambda r: None
            await self.wait(0.35)
            last = await self.call(wish("84", patience=2000), 0.0)
            await ending
            self.assertLess(self.user.now() - began, 2.0 + 0.7 - 0.25)
            await self.wait(0.05)
            self.assertEqual(504, last.status, "the head ends first: it is answered all the same")
            self.assertIn(b"connection: close", last.got.lower())
            self.assertTrue(idle.ended_at)
            self.assertEqual({}, head.driver.open)

        self.play(work)


class Configuration(unittest.TestCase):
    def test_what_is_missing_or_wrong_is_named(self) -> None:
        for changed, said in (
            ({"listen": "here"}, "listen"),
            ({"limits": {}}, "limits.sockets"),
            ({"seed": "xyz"}, "seed"),
            ({"settings": 3}, "settings"),
            ({"settings": {**SETTINGS, "services": []}}, "settings"),
            ({"settings": {k: v for k, v in SETTINGS.items() if k != "grades"}}, "grades"),
            ({"known": {"generation": "x"}}, "known"),
            ({"discovery": "a:99999"}, "discovery"),
            ({"settings": {**SETTINGS, "specifics": []}}, "settings"),
            (
                {"settings": {**SETTINGS, "services": [{**SETTINGS["services"][0], "aim": "soon"}]}},
                "promised",
            ),
            ({"settings": {**SETTINGS, "contract": {**SETTINGS["contract"], "fall": float("nan")}}}, "span"),
            ({"settings": {**SETTINGS, "grades": [{"name": "plain", "neverOver": [9]}]}}, "limit"),
        ):
            with self.subTest(changed=changed), self.assertRaises(Unusable) as caught:
                read_order(json.dumps(order(**changed)).encode(), "the/place")
            self.assertIn("the/place", str(caught.exception))
            self.assertIn(said, str(caught.exception))
        self.assertEqual(("head", 1), read_order(json.dumps(order(unknown=1)).encode(), "p").listen)

    def test_the_program_says_so_in_one_line_and_ends_with_2(self) -> None:
        for env in ({}, {"GW_CONFIG": "/nowhere/config.json"}):
            done = subprocess.run(
                [sys.executable, "-m", "gorsethread.platform"],
                env=env,
                text=True,
                capture_output=True,
                timeout=30,
            )
            self.assertEqual((2, 1), (done.returncode, done.stderr.count("\n")), done.stderr)

    def test_the_lean_start_imports_nothing_it_does_not_use(self) -> None:
        code = (
            "import sys, gorsethread.platform.__main__ as m; print(*sorted(n for n in sys.modules if "
            "n.split('.')[0] in ('typer', 'numpy', 'matplotlib', 'google') or n.startswith(("
            "'gorsethread.nvme', 'gorsethread.queues', 'gorsethread.sitefile', 'gorsethread.accounts', "
            "'gorsethread.lab', 'gorsethread.cli'))))"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
        self.assertEqual("\n", done.stdout, done.stderr)


# What the platform's filter refuses, and names that would need DNS; the program runs on as it is.
WATCHED = """
import ipaddress, runpy, sys

def saw(event, facts):
    named = event in ("subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.system", "os.exec",
                      "pty.spawn", "socket.gethostbyname", "socket.gethostbyaddr", "ctypes.dlopen")
    if event == "socket.getaddrinfo":
        try:
            ipaddress.ip_address(facts[0])
        except ValueError:
            named = True
    if event in ("socket.bind", "socket.connect"):
        named = not isinstance(facts[1], tuple)
    if named:
        print("REFUSED", event, facts, file=sys.stderr, flush=True)

sys.addaudithook(saw)
PLANTED
runpy.run_module("gorsethread.platform", run_name="__main__")
"""


class WholeProgram(unittest.TestCase):
    """The real program as the platform starts it, on loopback."""

    def program(self, listen: str, planted: str = "") -> "subprocess.Popen[str]":
        folder = self.enterContext(tempfile.TemporaryDirectory())
        settings = {**SETTINGS, "services": [{**s, "giveUp": 0.2} for s in SETTINGS["services"]]}
        nobody: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}
        with open(f"{folder}/config.json", "w") as file:
            json.dump(order(listen=listen, discovery="127.0.0.1:9", settings=settings, known=nobody), file)
        started = self.enterContext(
            subprocess.Popen(
                [sys.executable, "-c", WATCHED.replace("PLANTED", planted)],
                stderr=subprocess.PIPE,
                text=True,
                env={"GW_CONFIG": f"{folder}/config.json"},
            )
        )
        self.addCleanup(started.kill)
        return started

    def test_it_serves_reloads_and_ends_in_order(self) -> None:
        port = free_ports(1)[0]
        program = self.program(f"127.0.0.1:{port}")
        assert program.stderr is not None
        first = next(line for line in program.stderr if "head serves" in line)
        self.assertIn(str(port), first)
        with socket.create_connection(("127.0.0.1", port), 5) as client:
            client.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertTrue(client.recv(1000).startswith(b"HTTP/1.1 200 "))
            program.send_signal(signal.SIGHUP)
            next(line for line in program.stderr if "configuration read again" in line)
            client.sendall(b"nonsense\r\n\r\n")
            self.assertTrue(client.recv(1000).startswith(b"HTTP/1.1 400 "))
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        said = program.stderr.read()
        self.assertIn("head ended", said)
        self.assertNotIn("REFUSED", said)
        self.assertEqual(0, program.wait(10))

    def test_what_the_platform_refuses_would_be_seen(self) -> None:
        planted = (
            'import os, socket; os.system("true"); socket.socket(socket.AF_UNIX).bind("\\0x"); ' "sys.exit()"
        )
        program = self.program("127.0.0.1:1", planted)
        said = program.communicate(timeout=20)[1]
        self.assertIn("REFUSED os.system", said)
        self.assertIn("REFUSED socket.bind", said)

    def test_run_is_one_program_in_the_place_of_the_shell(self) -> None:
        deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
        self.assertRegex(deploy["run"], r"^exec [^;&|<>$`]+$")
        self.assertEqual(
            [],
            [
                path
                for path in deploy["policy"] + deploy["node"]
                if not Path(__file__).parent.parent.joinpath(path).exists()
            ],
        )

    def test_an_address_that_cant_be_had(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            program = self.program(f"127.0.0.1:{taken.getsockname()[1]}")
            said = program.communicate(timeout=20)[1]
        self.assertEqual((2, 1), (program.returncode, said.count("\n")), said)
        self.assertIn("listen", said)
