"""The log tells how much memory the process uses, when it is short, and why connections were closed."""

import unittest
from typing import Any

from gorsethread.http_gateway.memory_budget import MEGABYTE
from gorsethread.http_gateway.memory_monitor import MemoryMonitor
from gorsethread.transport.process_memory import MemoryUse, memory_use
from tests.live import FakeClient, GatewayTest


class Log:
    """Keeps what is logged."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def warning(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    info = warning


class FakeTransport:
    """Tells a memory use that a test sets, in megabytes."""

    private = 0.0

    def memory_use(self) -> MemoryUse:
        return MemoryUse(int((self.private + 10) * MEGABYTE), int(self.private * MEGABYTE), 7)


class Monitor(unittest.TestCase):
    def test_each_change_between_short_and_enough_is_logged_once(self) -> None:
        log, transport = Log(), FakeTransport()
        monitor = MemoryMonitor(transport, 100.0, log)  # type: ignore[arg-type]
        for transport.private in (50, 90, 95, 85, 79, 85):
            monitor.sample()
        self.assertEqual(["memory is short", "memory is no longer short"], [event for event, _ in log.events])
        self.assertEqual(90.0, log.events[0][1]["private_mb"])

    def test_a_report_has_the_most_since_the_last_one(self) -> None:
        transport = FakeTransport()
        monitor = MemoryMonitor(transport, 100.0, Log())  # type: ignore[arg-type]
        for transport.private in (20, 60, 30):
            monitor.sample()
        self.assertEqual(60.0, monitor.report()["most_private_mb"])
        report = monitor.report()
        self.assertEqual(
            (30.0, 40.0, 7), (report["most_private_mb"], report["resident_mb"], report["garbage_collected"])
        )

    def test_this_process_uses_memory_of_which_a_part_is_private(self) -> None:
        use = memory_use()
        self.assertGreater(use.resident, use.private)
        self.assertGreater(use.private, MEGABYTE)


class Closed(GatewayTest):
    def test_why_connections_were_closed_is_counted(self) -> None:
        async def work() -> None:
            gateway = self.start()
            leaving = await FakeClient(self.client_process).connect()
            leaving.stream.close()
            invalid = await FakeClient(self.client_process).connect()
            invalid.stream.write(b"nonsense\r\n\r\n")
            await FakeClient(self.client_process).connect()
            await self.wait(4.0)
            closed = gateway.clients.closed_connections
            self.assertEqual(
                {"ended by the client": 1, "invalid request": 1, "nothing sent": 1}, dict(closed)
            )

        self.run_scenario(work)
