"""Discovery, reload and shutdown of the gateway on the virtual clock."""

import json

from tests.live import (
    CONFIG_PATH,
    DISCOVERY_ADDRESS,
    FakeBackend,
    FakeDiscovery,
    GatewayTest,
    instance,
    request_bytes,
    response_bytes,
)


class Discovery(GatewayTest):
    def test_the_watch_receives_changes_and_a_draining_backend_gets_no_requests(self) -> None:
        async def work() -> None:
            gateway = self.start()
            await self.wait(0.2)
            self.discovery.publish(instance(0, "draining"))
            await self.wait(1.3)
            seen = len(self.backends[0].requests)
            await self.call(request_bytes("70", timeout_ms=300), 0.5)
            self.assertEqual(seen, len(self.backends[0].requests))
            self.assertEqual(2, gateway.discovery.version)
            self.assertRegex(self.discovery.targets[-1], r"since=2&timeout_ms=[0-9]+")

        self.run_scenario(work)

    def test_a_new_address_of_a_backend_gets_a_new_link(self) -> None:
        async def work() -> None:
            self.start()
            await self.call(request_bytes("71"))
            moved = FakeBackend(self.process("elsewhere"), "elsewhere")
            self.discovery.publish(instance(0, address="elsewhere:1"))
            await self.wait(0.2)
            await self.call(request_bytes("72"))
            self.assertEqual((1, 1), (len(self.backends[0].requests), len(moved.requests)))
            self.assertEqual(1, self.backends[0].closed_connections)
            moved.delay = 0.2
            slow = await self.call(request_bytes("76"), 0.05)
            self.discovery.publish(instance(0))
            await self.wait(0.5)
            self.assertEqual(
                (200, 1),
                (slow.status, moved.closed_connections),
                "the attempt in flight is answered, and its connection is closed",
            )

        self.run_scenario(work)

    def test_invalid_or_failing_answers_of_discovery_change_nothing_and_are_backed_off(self) -> None:
        async def work() -> None:
            gateway = self.start()
            await self.wait(0.2)
            for response in (
                response_bytes(200, b"{"),
                response_bytes(200, b'{"generation":9,"reset":true,"instances":[{}]}'),
                response_bytes(
                    200,
                    json.dumps(
                        {"generation": 9, "reset": False, "instances": [instance(0, address="nowhere")]}
                    ).encode(),
                ),
                b"noise\r\n\r\n",
            ):
                self.discovery.next_response = response
                await self.wait(11.0)
                self.assertEqual(1, gateway.discovery.version)
            self.discovery.unavailable = True
            before = len(self.discovery.targets)
            await self.wait(10.0)
            self.assertLess(len(self.discovery.targets) - before, 12)
            self.assertEqual(200, (await self.call(request_bytes("73"))).status)
            self.discovery.unavailable = False
            self.discovery.publish(instance(0, "draining"))
            await self.wait(11.0)
            self.assertEqual(2, gateway.discovery.version)

        self.run_scenario(work)

    def test_generation_0_is_watched_and_a_service_that_answers_at_once_is_polled_slowly(self) -> None:
        async def work() -> None:
            self.discovery.generation = 0
            gateway = self.start(
                known={"generation": 0, "reset": True, "instances": [instance(0), instance(1)]}
            )
            await self.wait(3.0)
            waits = [int(target.rpartition("=")[2]) for target in self.discovery.targets]
            self.assertTrue(all(1500 <= wait <= 3000 for wait in waits), waits)
            self.assertTrue(
                len(set(waits)) == len(waits) <= 2, "each wait is drawn at random, and none is short"
            )
            self.discovery.publish(instance(0, "draining"))
            self.discovery.answers_at_once = True
            await self.wait(2.0)
            self.assertEqual(1, gateway.discovery.version)
            self.assertLess(len(self.discovery.targets), 25)

        self.run_scenario(work)

    def test_a_backends_start_time_is_converted_to_the_gateways_clock_and_stays_the_same(self) -> None:
        async def work() -> None:
            gateway = self.start()
            await self.wait(0.2)
            started, now = self.client_process.wall_time() * 1000, self.transport.now()
            for _ in range(2):
                self.discovery.publish(instance(0, started=started))
                await self.wait(0.7)
                started_at = [
                    s.started_at for s in gateway.driver.scheduler.shards.backends.values() if s.shard == 0
                ]
                self.assertAlmostEqual(now, started_at[0], places=3)

        self.run_scenario(work)

    def test_a_discovery_that_restarts_elsewhere_is_watched_again(self) -> None:
        async def work() -> None:
            gateway = self.start()
            await self.wait(0.2)
            self.discovery.transport.vanish()
            self.discovery = FakeDiscovery(self.process("list again"), DISCOVERY_ADDRESS, generation=1)
            self.discovery.publish(instance(0, "gone"))
            await self.wait(12.0)
            self.assertEqual(2, gateway.discovery.version)

        self.run_scenario(work)

    def test_discovery_is_watched_again_after_a_silent_network_failure(self) -> None:
        async def work() -> None:
            gateway = self.start()
            await self.wait(0.2)
            self.network.cut("list", "head")
            await self.wait(9.0)
            self.network.heal("list", "head")
            self.discovery.publish(instance(0, "gone"))
            await self.wait(11.0)
            self.assertEqual({1}, {s.cell for s in gateway.discovery.updates.known.values()})

        self.run_scenario(work)

    def test_an_older_generation_is_not_applied_until_a_complete_list_confirms_it(self) -> None:
        async def work() -> None:
            gateway = self.start(known={"generation": 50, "reset": True, "instances": [instance(0)]})
            self.discovery.next_response = response_bytes(
                200,
                json.dumps({"generation": 3, "reset": False, "instances": [instance(0, "gone")]}).encode(),
            )
            await self.wait(0.04)
            self.assertEqual({0}, {s.cell for s in gateway.discovery.updates.known.values()})
            await self.wait(2.0)
            self.assertEqual({0, 1}, {s.cell for s in gateway.discovery.updates.known.values()})
            self.assertIn("/v1/servers", self.discovery.targets)

        self.run_scenario(work)


class Signals(GatewayTest):
    def test_a_reload_moves_the_watch_at_once_while_the_gateway_serves(self) -> None:
        async def work() -> None:
            gateway = self.start()
            await self.wait(0.2)
            other = FakeDiscovery(self.process("list2"), ("list2", 1), generation=1)
            self.disk.files[CONFIG_PATH] = bytearray(b"{ broken")
            self.transport.reload()
            await self.wait(0.1)
            self.assertEqual(("list", 1), gateway.discovery.address)
            self.configure(discovery="list2:1")
            self.transport.reload()
            self.transport.reload()
            await self.wait(0.1)
            other.publish(instance(1, "draining"))
            await self.wait(0.1)
            self.assertEqual(2, gateway.discovery.version)
            self.assertEqual(200, (await self.call(request_bytes("80"))).status)

        self.run_scenario(work)

    def test_shutdown_serves_new_requests_for_a_while_and_answers_all_it_admitted(self) -> None:
        async def work() -> None:
            gateway = self.start()
            self.backends[0].delay = 0.9
            idle = await self.call(request_bytes("81", shard=1))
            slow = await self.call(request_bytes("82", timeout_ms=2000), 0.05)
            self.transport.terminate()
            self.transport.terminate()
            began = self.client_process.now()
            ending = self.loop.create_task(gateway.end())
            for n in range(15):
                late = await self.call(request_bytes(str(830 + n), shard=1), 0.1)
                idle.stream.write(request_bytes(str(860 + n), shard=1))
                self.assertEqual(200, late.status)
            self.assertEqual(200, slow.status)
            self.assertEqual(15, idle.received.count(b"HTTP/1.1 200"))
            self.backends[0].respond = lambda r: None
            await self.wait(0.35)
            last = await self.call(request_bytes("84", timeout_ms=2000), 0.0)
            await ending
            self.assertLess(self.client_process.now() - began, 2.0 + 0.7 - 0.25)
            await self.wait(0.05)
            self.assertEqual(504, last.status, "the gateway ends before the deadline and still answers")
            self.assertIn(b"connection: close", last.received.lower())
            self.assertTrue(idle.ended_at)
            self.assertEqual({}, gateway.driver.open_requests)

        self.run_scenario(work)
