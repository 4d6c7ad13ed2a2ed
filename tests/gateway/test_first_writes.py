"""The places of new extents: all orders of a few writes in a model, and the driver with fake links."""

import unittest
from dataclasses import dataclass, field
from typing import Any

from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.first_writes import FirstWrites, PlacementCheck
from gorsethread.gateway.interfaces import UNPLACED, Extent
from gorsethread.gateway.open_requests import OpenRequest
from gorsethread.logs import log_for, start_logs
from gorsethread.nvme.command import Opcode, io_command
from gorsethread.nvme_gateway.backend_link import BackendCommand
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_gateway.scheduler_settings import settings_from_site
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.site_config.reading import parse_site
from tests.rig import SITE
from tests.virtual import ManualClock

EXTENT = Extent(2, 0)
SHARDS = (0, 1)
MAX_ATTEMPTS = 2  # of a write in the model


class OnePlace:
    """The place of one extent."""

    def __init__(self) -> None:
        self.shard = UNPLACED

    def shard_of(self, volume: int, extent: int) -> int:
        return self.shard

    def placed(self, volume: int, extent: int, shard: int) -> None:
        self.shard = shard

    def released(self, volume: int, extent: int) -> None:
        self.shard = UNPLACED


class ModelledWrite:
    """A write of the model: what the scheduler knows of it, and its attempt in flight."""

    def __init__(self, id: int, shard: int) -> None:
        self.id = id
        self.shard = shard
        self.attempts = 0
        self.attempt: Attempt | None = None
        self.sent_to = UNPLACED
        self.ended = False


class Model:
    """One extent, its writes and the shards that may have data; played by a list of steps."""

    def __init__(self, writes: int) -> None:
        self.place = OnePlace()
        self.first_writes = FirstWrites(self.place, self.shard_changed)
        self.unsent = writes
        self.writes: dict[int, ModelledWrite] = {}
        self.reached: set[int] = set()  # shards at which a write may have run

    def shard_changed(self, request: int, shard: int) -> None:
        self.writes[request].shard = shard

    def steps(self) -> list[tuple[Any, ...]]:
        """Returns what can happen next."""
        found: list[tuple[Any, ...]] = [("admit",)] if self.unsent else []
        for write in self.writes.values():
            if write.ended:
                continue
            if write.attempt is not None:
                found += [("never ran", write.id), ("may have run", write.id)]
                continue
            found.append(("close", write.id))
            if write.attempts < MAX_ATTEMPTS:
                shards = SHARDS if write.shard == UNPLACED else (write.shard,)
                found += [("send", write.id, shard) for shard in shards]
        return found

    def play(self, step: tuple[Any, ...]) -> None:
        name, *arguments = step
        if name == "admit":
            self.unsent -= 1
            id = len(self.writes)
            self.writes[id] = ModelledWrite(id, self.place.shard)
            self.first_writes.admitted(EXTENT, id, self.place.shard)
            return
        write = self.writes[arguments[0]]
        if name == "send":
            self.send(write, arguments[1])
        elif name == "close":
            write.ended = True
            self.first_writes.closed(EXTENT, write.id)
        else:
            self.end(write, name == "may have run")

    def send(self, write: ModelledWrite, shard: int) -> None:
        attempt = Attempt(write.id, write.attempts, shard, 0.0, None, lambda *_: None)
        write.attempts += 1
        check = self.first_writes.begin(EXTENT, shard, attempt)
        if check is not PlacementCheck.ELSEWHERE:
            attempt.first_write = check is PlacementCheck.FIRST_WRITE
            write.attempt, write.sent_to = attempt, shard

    def end(self, write: ModelledWrite, may_have_run: bool) -> None:
        attempt, write.attempt = write.attempt, None
        assert attempt is not None
        if may_have_run:
            self.reached.add(write.sent_to)
        if attempt.first_write:
            self.first_writes.ended(EXTENT, attempt, may_have_run)

    def check(self) -> None:
        """Checks what has to hold after each step."""
        in_flight = {write.sent_to for write in self.writes.values() if write.attempt is not None}
        assert len(self.reached | in_flight) <= 1, "two places may have data"
        if self.reached or in_flight:
            assert self.place.shard in self.reached | in_flight, "the place of written data was released"
        assert self.first_writes.is_written(EXTENT) == bool(self.reached), "reads succeed if there is data"
        bound = {write.shard for write in self.writes.values() if not write.ended} - {UNPLACED}
        assert bound <= {self.place.shard}, "a write waits for a place that the extent has not"
        if all(write.ended for write in self.writes.values()):
            assert not self.first_writes.pending, "nothing is left of writes that have ended"


def explore(writes: int, depth: int) -> int:
    """Plays all sequences of steps up to that many; returns the number of sequences."""
    explored = 0
    waiting: list[list[tuple[Any, ...]]] = [[]]
    while waiting:
        steps = waiting.pop()
        model = Model(writes)
        for step in steps:
            model.play(step)
            model.check()
        explored += 1
        if len(steps) < depth:
            waiting += [[*steps, step] for step in model.steps()]
    return explored


class ModelTest(unittest.TestCase):
    def test_in_all_orders_of_two_or_three_writes_an_extent_has_one_place(self) -> None:
        # Guards against the release of a place that another write of the extent waits for or has reached.
        self.assertGreater(explore(2, 9), 5_000)
        self.assertGreater(explore(3, 7), 5_000)


@dataclass
class FakeLink:
    """Holds attempts until the test ends them."""

    attempts: list[Attempt] = field(default_factory=list)

    def send(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        pass

    def end_all(self, outcome: AttemptOutcome) -> None:
        attempts, self.attempts = self.attempts, []
        for attempt in attempts:
            attempt.ended = True
            attempt.on_end(attempt, outcome, EMPTY_RESULT)


class FakeClient:
    """Records the answer."""

    def __init__(self) -> None:
        self.answer = ""

    def succeeded(self, shard: int, data: bytes) -> None:
        self.answer = f"succeeded at {shard}"

    def rejected(self, retry_after: float) -> None:
        self.answer = "rejected"

    def failed(self) -> None:
        self.answer = "failed"


class FakePlacementLog:
    """Makes a place durable, or fails to, when the test says so; released holds the released extents."""

    def __init__(self) -> None:
        self.waiting: list[Any] = []
        self.released_extents: list[tuple[int, int]] = []

    def placed(self, place: tuple[int, int], shard: int, done: Any) -> None:
        self.waiting.append(done)

    def released(self, place: tuple[int, int]) -> None:
        self.released_extents.append(place)

    def retry_after(self) -> float:
        return 0.0

    def end_all(self, durable: bool) -> None:
        waiting, self.waiting = self.waiting, []
        for done in waiting:
            done(durable)


class DriverTest(unittest.TestCase):
    """A driver with two backends, which serve shards 0 and 1."""

    def setUp(self) -> None:
        start_logs(False, "critical")
        self.clock = ManualClock()
        site = parse_site(SITE)
        settings = settings_from_site(site)
        self.driver = Driver(self.clock, settings, 1, SitePlacement(site), lambda: None, log_for())  # type: ignore[arg-type]
        self.links = {id: FakeLink() for id in (0, 1)}
        self.driver.links.update(self.links)  # type: ignore[arg-type]
        self.driver.shards.update({0: 0, 1: 1})
        self.clock.run_ready()
        self.driver.endpoints_listed([(0, 0, 0, True, 0.0), (1, 0, 1, True, 0.0)], True, True)  # type: ignore[list-item]
        self.clients: list[FakeClient] = []

    def write(self) -> OpenRequest:
        """Admits a write to the extent, as a client side does, and lets the scheduler decide."""
        self.clients.append(FakeClient())
        request = self.driver.admit(
            self.clients[-1],
            BackendCommand(io_command(Opcode.WRITE, *EXTENT)),
            request_class=1,
            service_tier=0,
            key=None,
            deadline=self.clock.time + 3.0,
            volume=EXTENT.volume,
            extent=EXTENT,
            is_write=True,
            units=1.0,
            shard=self.driver.placement.shard_of(*EXTENT),
            gateways=1,
            is_retry=False,
            arrived=self.clock.time,
        )
        self.pass_time(0.01)
        return request

    def pass_time(self, seconds: float) -> None:
        self.clock.advance_to(self.clock.time + seconds)

    def sent_to(self) -> list[int]:
        """Returns the backends that have attempts in flight, one entry for each."""
        return [id for id, link in self.links.items() for _ in link.attempts]

    def end_all(self, outcome: AttemptOutcome) -> None:
        for link in self.links.values():
            link.end_all(outcome)

    def test_writes_whose_backend_is_not_reached_go_to_one_other_place(self) -> None:
        # Guards against a second write that goes on waiting for the place from which the first one has moved.
        self.write()
        [first] = self.sent_to()
        self.write()
        self.assertEqual([first, first], self.sent_to())
        self.end_all(AttemptOutcome.UNREACHABLE)
        for _ in range(40):
            self.pass_time(0.05)
            self.assertLessEqual(len(set(self.sent_to())), 1)
            self.end_all(AttemptOutcome.SUCCEEDED)
        self.assertEqual(2, len(self.clients))
        self.assertEqual(1, len({client.answer for client in self.clients}), [c.answer for c in self.clients])
        self.assertTrue(self.clients[0].answer.startswith("succeeded"))

    def test_a_place_is_kept_that_a_later_write_has_reached(self) -> None:
        # Guards against a release because the first write was rejected, though a later one has run.
        self.write()
        self.write()
        [link] = {id(link): link for link in self.links.values() if link.attempts}.values()
        first, second = link.attempts
        second.ended = first.ended = True
        second.on_end(second, AttemptOutcome.SUCCEEDED, EMPTY_RESULT)
        first.on_end(first, AttemptOutcome.REJECTED, EMPTY_RESULT)
        self.assertTrue(self.driver.first_writes.is_written(EXTENT))

    def test_every_write_waits_until_the_place_is_durable(self) -> None:
        # Guards against later writes that are sent while the record of their extent's place does not last.
        log = self.driver.placement_log = FakePlacementLog()
        for _ in range(3):
            self.write()
        self.assertEqual([], self.sent_to())
        self.assertFalse(self.driver.first_writes.is_written(EXTENT))
        log.end_all(True)
        self.pass_time(0.01)
        self.assertEqual(3, len(self.sent_to()))
        self.write()
        self.assertEqual((4, []), (len(self.sent_to()), log.waiting), "a durable place is not logged again")

    def test_writes_that_waited_for_a_record_that_failed_release_the_place(self) -> None:
        log = self.driver.placement_log = FakePlacementLog()
        for _ in range(2):
            self.write()
        log.end_all(False)
        self.assertEqual([EXTENT], log.released_extents)
        self.assertEqual([], self.sent_to())
        self.assertFalse(self.driver.first_writes.is_written(EXTENT))

    def test_a_write_whose_client_left_while_it_waited_for_the_record_has_not_run(self) -> None:
        # Guards against a place that counts as written, and is not durable, as its only write was cancelled.
        log = self.driver.placement_log = FakePlacementLog()
        request = self.write()
        self.driver.client_left(request)
        log.end_all(True)
        self.pass_time(0.01)
        self.assertEqual([EXTENT], log.released_extents)
        self.assertEqual(({}, {}), (self.driver.first_writes.pending, self.driver.open_requests))
