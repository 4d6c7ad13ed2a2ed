"""The gateway follows discovery, a reload and its own end, on the virtual clock."""

import json

from tests.live import LIST, PATH, NewsList, Shelf, instance, whole, wish
from tests.live import LiveRig as Rig


class Discovery(Rig):
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
            started, now = self.user.wall_time() * 1000, self.transport.now()
            for _ in range(2):
                self.list.tell(instance(0, started=started))
                await self.wait(0.7)
                since = [s.started_at for s in head.driver.scheduler.shards.backends.values() if s.shard == 0]
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
            self.assertEqual({1}, {s.cell for s in head.discovery.updates.known.values()})

        self.play(work)

    def test_older_news_is_not_believed_until_the_whole_list_says_so(self) -> None:
        async def work() -> None:
            head = self.start(known={"generation": 50, "reset": True, "instances": [instance(0)]})
            self.list.raw = whole(
                200,
                json.dumps({"generation": 3, "reset": False, "instances": [instance(0, "gone")]}).encode(),
            )
            await self.wait(0.04)
            self.assertEqual({0}, {s.cell for s in head.discovery.updates.known.values()})
            await self.wait(2.0)
            self.assertEqual({0, 1}, {s.cell for s in head.discovery.updates.known.values()})
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
