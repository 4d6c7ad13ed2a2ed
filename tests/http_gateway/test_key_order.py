"""Writes of one key reach their backend in the order in which the gateway received them."""

from tests.live import SETTINGS, FakeClient, GatewayTest, request_bytes

ORDERED = {
    **SETTINGS,
    "services": [
        SETTINGS["services"][0],
        {**SETTINGS["services"][1], "keepOrder": True},
    ],
}


class KeyOrder(GatewayTest):
    def test_a_write_behind_an_open_request_keeps_its_place_in_the_order_of_its_key(self) -> None:
        # Guards against a later write of the key that overtakes one which waits behind another request.
        async def work() -> None:
            self.start(settings=ORDERED)
            backend = self.backends[0]
            backend.delay = 0.3
            earlier = await FakeClient(self.client_process).connect()
            earlier.stream.write(request_bytes("1") + request_bytes("2", "post", body=b"earlier"))
            await self.wait(0.1)
            await self.call(request_bytes("3", "post", body=b"later"), 1.5)
            written = [request.body for request in backend.requests if request.body]
            self.assertEqual([b"earlier", b"later"], written)

        self.run_scenario(work)
