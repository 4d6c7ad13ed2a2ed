"""Which settings apply to a request: those of its tenant, and those of the process's start after a reload."""

import copy
import signal
import time
from typing import Any

from tests.crossing.rig import ProcessTest, Server, response_bytes
from tests.live import SETTINGS, request_bytes

CAPPED = {"name": "capped", "baseRate": 5.0, "proportion": 1.0, "neverOver": 1.0, "limitBurst": 8.0}
PLAIN = SETTINGS["grades"][0]


class TenantsWithEqualNames(ProcessTest):
    """Two tenants in different tiers use the same volume, object and request class names."""

    def is_served(self, id: str, tier: str, timeout_ms: int) -> bool:
        """Returns whether a request of 8 units is served before its deadline."""
        request = request_bytes(id, timeout_ms=timeout_ms, units=8)
        client = self.connect_and_send(request.replace(b"Tier: plain", f"Tier: {tier}".encode()))
        try:
            peer, seen = self.backends[0].next_request(timeout=timeout_ms / 1000)
        except TimeoutError:
            self.assertIn(client.message().status, (503, 504))
            return False
        self.assertIn(id, seen.headers["req-id"])
        peer.send(response_bytes(200, b"ok"))
        return client.message().status == 200

    def test_the_rate_limit_of_one_tenant_does_not_hold_another(self) -> None:
        self.start(Server(self), grades=[PLAIN, CAPPED])
        # A rate limit's token bucket is empty at the start; after 0.1 s it holds 0.1 units.
        self.assertFalse(
            self.is_served("a1", "capped", 400), "the limit does not hold: the test shows nothing"
        )
        self.assertTrue(self.is_served("a2", "plain", 2000), "held by another tenant's limit")
        self.assertFalse(self.is_served("a3", "capped", 400), "served by another tenant's tier")


class Reloads(ProcessTest):
    """SIGHUP with requests in flight applies only the new configuration's address of discovery."""

    def reload(self, **settings: Any) -> None:
        changed = copy.deepcopy(self.configuration)
        changed["settings"] |= settings
        self.gateway.configure(changed)
        self.gateway.send_signal(signal.SIGHUP)
        self.gateway.wait_for_log("configuration read again")

    def test_a_request_class_that_replaces_another_is_not_applied(self) -> None:
        """The new configuration replaces the non-idempotent class by an idempotent one of another name."""
        backend = Server(self)
        self.start(backend)
        client = self.connect_and_send(request_bytes("b1", "post", body=b"x", timeout_ms=3000))
        peer = backend.accept()
        peer.message()
        replacement = [SETTINGS["services"][0], {**SETTINGS["services"][1], "name": "copy", "effect": "free"}]
        self.reload(services=replacement)
        peer.reset()
        self.assertEqual(504, client.message().status, "admitted under the old settings: it may have run")
        self.assertTrue(backend.gets_no_connection(0.3), "retried by the settings of the replacing class")
        self.assertEqual(404, self.connect_and_send(request_bytes("b2", "copy", body=b"x")).message().status)
        later = self.connect_and_send(request_bytes("b3", "post", body=b"x", timeout_ms=3000))
        peer, _ = backend.next_request()
        peer.reset()
        self.assertEqual(
            504, later.message().status, "later requests, too, are under the old settings until a restart"
        )
        self.assertTrue(backend.gets_no_connection(0.3))

    def test_shorter_waits_in_a_new_configuration_do_not_shorten_the_shutdown(self) -> None:
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

    def test_an_unusable_configuration_is_not_applied_and_is_logged(self) -> None:
        backend = Server(self)
        self.start(backend)
        client = self.connect_and_send(request_bytes("d1", timeout_ms=3000))
        peer = backend.accept()
        peer.message()
        for broken in ("", "{", "[]", '{"settings": {}}'):
            self.gateway.path.write_text(broken)
            logged = len(self.gateway.log_positions("keeping the old one"))
            self.gateway.send_signal(signal.SIGHUP)
            self.gateway.wait_for_log("keeping the old one", count=logged + 1)
        self.gateway.path.unlink()
        self.gateway.send_signal(signal.SIGHUP)
        self.gateway.wait_for_log("keeping the old one", "can't be read")
        peer.send(response_bytes(200, b"goes on"))
        self.assertEqual(b"goes on", client.message().body)

    def test_a_reload_without_changes_does_not_restart_the_watch(self) -> None:
        self.start(Server(self))
        calls = len(self.gateway.log_positions("endpoint list watch begins"))
        self.reload()
        began = time.monotonic()
        self.discovery.publish(self.instance(0, self.backends[0], "draining"))
        self.gateway.wait_for_log('"endpoint list"', '"s-0": "draining"')
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(calls, len(self.gateway.log_positions("endpoint list watch begins")))
