"""Shelves that stand in the list and get nothing cost nothing an event: counted, not timed."""

import gc
import sys
import unittest
from typing import Any

from gorsethread.gateway.attempts import EMPTY_RESULT
from gorsethread.gateway.driver import Driver
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme.command import Opcode, io_command
from gorsethread.nvme_gateway.backend_link import BackendCommand
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_gateway.scheduler_settings import settings_from_site
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.site_config.reading import parse_site
from tests.rig import SITE
from tests.scheduling.test_same_decisions import FakeClient, FakeLink
from tests.virtual import ManualClock


class IdleShelves(unittest.TestCase):
    def test_48_shelves_make_no_more_calls_an_event_than_2(self) -> None:
        few, many = self.calls(2), self.calls(48)
        self.assertGreater(few, 2000)
        self.assertEqual(few, many)

    def calls(self, shelves: int) -> int:
        """Function calls, of Python and C, over 100 transactions of two shelves."""
        start_logs(False, "critical")
        clock, site = ManualClock(), parse_site(SITE)
        driver = Driver(clock, settings_from_site(site), 1, SitePlacement(site), lambda: None, log_for())  # type: ignore[arg-type]
        links = {n: FakeLink() for n in range(shelves)}
        driver.links.update(links)  # type: ignore[arg-type]
        driver.shards.update({n: n for n in range(shelves)})
        driver.endpoints_listed([(n, 0, n, True, 0.0) for n in range(shelves)], True, True)
        clock.advance_to(clock.time + 0.1)
        count = 0

        def seen(_: Any, event: str, __: Any) -> None:
            nonlocal count
            count += event in ("call", "c_call")

        # Guards against a collection in between: what tests hung on it (hypothesis does) counts as calls.
        gc.collect()
        gc.disable()
        sys.setprofile(seen)
        try:
            for n in range(100):
                driver.admit(
                    FakeClient(),
                    BackendCommand(io_command(Opcode.READ, 1)),
                    request_class=0,
                    service_tier=0,
                    key=None,
                    deadline=clock.time + 1.0,
                    volume=1,
                    extent=(1, n % 2),
                    units=1.0,
                    shard=n % 2,
                    gateways=1,
                    is_retry=False,
                    arrived=clock.time,
                )
                clock.advance_to(clock.time + 0.001)
                f = links[n % 2].attempts.pop()
                f.ended = True
                driver._ended(f, AttemptOutcome.SUCCEEDED, EMPTY_RESULT)
                clock.advance_to(clock.time + 0.001)
        finally:
            sys.setprofile(None)
            gc.enable()
        return count
