"""Hand-overs of configurations, and customers kept apart: whose settings serve whose request?"""

import copy
import signal
import time
from typing import Any

from tests.crossing.rig import ProcessTest, Server, response_bytes
from tests.live import SETTINGS, request_bytes

CAPPED = {"name": "capped", "baseRate": 5.0, "proportion": 1.0, "neverOver": 1.0, "limitBurst": 8.0}
PLAIN = SETTINGS["grades"][0]


class OneNameTwoTenants(ProcessTest):
    """Two tenants use the same names for their volume, their data and their class."""

    def served_within(self, id: str, tier: str, patience: int) -> bool:
        """Whether a request of 8 units is served before its client's time is up."""
        request = request_bytes(id, timeout_ms=patience, units=8)
        client = self.connect_and_send(request.replace(b"Tier: plain", f"Tier: {tier}".encode()))
        try:
            peer, seen = self.backends[0].next_request(timeout=patience / 1000)
        except TimeoutError:
            self.assertIn(client.message().status, (503, 504))
            return False
        self.assertIn(id, seen.headers["req-id"])
        peer.send(response_bytes(200, b"ok"))
        return client.message().status == 200

    def test_ones_limit_does_not_hold_the_other(self) -> None:
        self.start(Server(self), grades=[PLAIN, CAPPED])
        # At its start a limit's store is empty; in a tenth of a second it has a tenth of a unit.
        self.assertFalse(self.served_within("a1", "capped", 400), "no limit: this shows nothing")
        self.assertTrue(self.served_within("a2", "plain", 2000), "held by another tenant's limit")
        self.assertFalse(self.served_within("a3", "capped", 400), "freed by another tenant's plan")


class Reloads(ProcessTest):
    """SIGHUP with requests in flight: of a new configuration only the address of discovery is taken over."""

    def reload(self, **settings: Any) -> None:
        changed = copy.deepcopy(self.configuration)
        changed["settings"] |= settings
        self.gateway.configure(changed)
        self.gateway.send_signal(signal.SIGHUP)
        self.gateway.wait_for_log("configuration read again")

    def test_a_class_put_in_anothers_place_serves_nobody_by_its_settings(self) -> None:
        """The second class, which may run once only, becomes one that may be repeated, under another name."""
        backend = Server(self)
        self.start(backend)
        client = self.connect_and_send(request_bytes("b1", "post", body=b"x", timeout_ms=3000))
        peer = backend.accept()
        peer.message()
        replaced = [SETTINGS["services"][0], {**SETTINGS["services"][1], "name": "copy", "effect": "free"}]
        self.reload(services=replaced)
        peer.reset()
        self.assertEqual(504, client.message().status, "taken under the old settings: it may have run")
        self.assertTrue(
            backend.gets_no_connection(0.3), "sent again by the settings of the class in its place"
        )
        self.assertEqual(404, self.connect_and_send(request_bytes("b2", "copy", body=b"x")).message().status)
        later = self.connect_and_send(request_bytes("b3", "post", body=b"x", timeout_ms=3000))
        peer, _ = backend.next_request()
        peer.reset()
        self.assertEqual(504, later.message().status, "and so does what comes later, up to a restart")
        self.assertTrue(backend.gets_no_connection(0.3))

    def test_shorter_deadlines_of_a_new_configuration_do_not_hurry_the_end_of_old_requests(self) -> None:
        backend = Server(self)
        self.start(backend)
        self.reload(services=[{**s, "giveUp": 0.1} for s in SETTINGS["services"]])
        self.gateway.send_signal(signal.SIGTERM)
        self.gateway.wait_for_log("gateway ends")
        client = self.connect_and_send(request_bytes("c1", timeout_ms=1800))
        peer, request = backend.next_request()
        self.assertGreater(int(request.headers["req-deadline-ms"]), 1200)
        peer.send(response_bytes(200, b"in time"))
        self.assertEqual(b"in time", client.message().body)

    def test_a_configuration_that_cant_be_used_is_kept_out_and_said(self) -> None:
        backend = Server(self)
        self.start(backend)
        client = self.connect_and_send(request_bytes("d1", timeout_ms=3000))
        peer = backend.accept()
        peer.message()
        for broken in ("", "{", "[]", '{"settings": {}}'):
            self.gateway.path.write_text(broken)
            said = len(self.gateway.log_positions("keeping the old one"))
            self.gateway.send_signal(signal.SIGHUP)
            self.gateway.wait_for_log("keeping the old one", count=said + 1)
        self.gateway.path.unlink()
        self.gateway.send_signal(signal.SIGHUP)
        self.gateway.wait_for_log("keeping the old one", "can't be read")
        peer.send(response_bytes(200, b"goes on"))
        self.assertEqual(b"goes on", client.message().body)

    def test_a_reload_that_changes_nothing_leaves_the_watch_alone(self) -> None:
        self.start(Server(self))
        calls = len(self.gateway.log_positions("endpoint list watch begins"))
        self.reload()
        began = time.monotonic()
        self.discovery.publish(self.instance(0, self.backends[0], "draining"))
        self.gateway.wait_for_log('"endpoint list"', '"s-0": "draining"')
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(calls, len(self.gateway.log_positions("endpoint list watch begins")))
