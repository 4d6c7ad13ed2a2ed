"""Hands what happens to the scheduler, a batch a turn of the loop, and carries out its actions.

One final answer a request is kept here mechanically: a request that was answered, or whose client left,
takes no further action. A time-out at the deadline is the wire's; what follows from it is the scheduler's.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from gorsethread.gateway.accounting import AccountingFeed
from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult
from gorsethread.gateway.deadlines import Deadlines
from gorsethread.gateway.first_writes import FirstWrites, PlacementCheck
from gorsethread.gateway.held_reasons import why_held
from gorsethread.gateway.interfaces import (
    UNPLACED,
    Arrival,
    Client,
    Extent,
    Placement,
    PlacementLog,
)
from gorsethread.gateway.open_requests import EndpointEntry, OpenRequest
from gorsethread.scheduling.model import (
    AttemptEnded,
    AttemptOutcome,
    RequestOutcome,
    RequestReceived,
    SchedulerSettings,
)
from gorsethread.scheduling.scheduler import Scheduler
from gorsethread.transport.base import Transport

REQUEST_NUMBERS = 2**32  # they are given again after so many


def attempt_count(outcome: AttemptOutcome) -> str:
    """The name under which the driver counts attempts that ended so."""
    return f"attempts {outcome.name.lower().replace('_', ' ')}"


class Driver:
    """Drives one scheduler. All times are the transport's, in seconds.

    open holds the requests that are not over; links a link of the front's own kind for each backend of the
    list, and for one that has left it until its attempts have ended; shards the shard of each of these.
    awaiting_placement holds first writes until it is durable where they go. counts only grow.
    """

    def __init__(
        self,
        transport: Transport,
        settings: SchedulerSettings,
        seed: int,
        placement: Placement,
        poll_list: Callable[[], None],
        log: Any,
    ) -> None:
        self.transport = transport
        self.log = log
        self.open: dict[int, OpenRequest] = {}
        self.links: dict[int, Any] = {}
        self.shards: dict[int, int] = {}
        self.counts: Counter[str] = Counter()
        self.first_writes = FirstWrites(placement)
        self.awaiting_placement: dict[Attempt, None] = {}
        self.accounting = AccountingFeed(lambda request: why_held(self.scheduler, request))
        # Set by a front that has them: a way to other gateways, a durable log of placements, and whoever
        # records events and actions for replays.
        self.peer_sender: Callable[[int, str], None] | None = None
        self.placement_log: PlacementLog | None = None
        self.recorder: Callable[[tuple[Any, ...]], None] | None = None
        self._poll_list = poll_list
        self._now = transport.now()
        self._events: list[tuple[str, tuple[Any, ...]]] = []
        self._last_id = 0
        self._deadlines = Deadlines(transport, self._deadline_of, self._expire)
        self.scheduler = Scheduler(self, settings, seed)
        # The first batch is empty: the scheduler polls the list in it.
        self._batch_is_due = True
        transport.call_soon(self._run_batch)

    @property
    def placement(self) -> Placement:
        """Where extents live."""
        return self.first_writes.placement

    # ---- what happens

    def happened(self, method: str, *arguments: Any) -> None:
        """Queues one call of the scheduler; all of a turn of the loop are made together."""
        self._events.append((method, arguments))
        if not self._batch_is_due:
            self._batch_is_due = True
            self.transport.call_soon(self._run_batch)

    def admit(
        self,
        client: Client,
        payload: Any,
        *,
        request_class: int,
        service_tier: int,
        key: str | None,
        deadline: float,
        volume: int | str,
        units: float,
        shard: int,
        gateways: int,
        is_retry: bool,
        arrived: float,
        extent: Extent | None = None,
        awaited: bool = False,
    ) -> OpenRequest:
        """Takes a request; its client hears of it by one call of Client.

        awaited: its data came after its command, so it was taken later than it arrived.
        """
        request = OpenRequest(self._next_id(), client, payload, extent, shard, deadline)
        self.open[request.id] = request
        self._deadlines.add(deadline, request.id)
        self.counts["requests"] += 1
        taken_at = self.transport.now() if awaited else arrived
        arrival = Arrival(volume, request_class, int(units), shard, key is not None, arrived, taken_at)
        self.accounting.taken(request.id, arrival)
        taken = RequestReceived(
            request.id,
            request_class,
            service_tier,
            key,
            deadline,
            str(volume),
            units,
            shard,
            gateways,
            is_retry,
        )
        self.happened("request_received", taken)
        return request

    def _next_id(self) -> int:
        self._last_id = (self._last_id + 1) % REQUEST_NUMBERS
        while self._last_id in self.open:
            self._last_id = (self._last_id + 1) % REQUEST_NUMBERS
        return self._last_id

    def client_left(self, request: OpenRequest) -> None:
        """Its client awaits no answer any more."""
        if request.answered:
            return
        request.answered = True
        self.accounting.answered(request.id, RequestOutcome.CLIENT_LEFT, self.transport.now())
        self.counts["client left"] += 1
        for attempt in list(request.out.values()):
            if link := self.links.get(attempt.backend):
                link.cancel(attempt)
        self.happened("client_left", request.id)
        self._close(request)

    def shutting_down_by(self, when: float) -> None:
        """The program ends then: each open request is answered before, however long its client would wait."""
        for request in self.open.values():
            if request.deadline > when:
                request.deadline = when
                self._deadlines.add(when, request.id)
        self.happened("shutting_down_by", when)

    def endpoints_listed(self, entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        """A list of backends, or its changes; remembered: from an earlier process, not from discovery."""
        self.happened("endpoint_list_begins", complete, remembered)
        for entry in entries:
            self.happened("endpoint_listed", *entry)
        self.happened("endpoint_list_ended")

    def endpoint_poll_failed(self, waited: float = 0.0) -> None:
        """A poll of the list failed after so many seconds."""
        self.happened("endpoint_poll_failed", waited)

    def peer_message_received(self, origin: int, words: str) -> None:
        """A message of another gateway's scheduler came."""
        self.happened("peer_message_received", origin, words)

    def _run_batch(self) -> None:
        self._batch_is_due = False
        self._now = self.transport.now()
        events, self._events = self._events, []
        for method, arguments in events:
            if self.recorder:
                self.recorder(("event", self._now, method, *arguments))
            getattr(self.scheduler, method)(*arguments)
        if self.recorder:
            self.recorder(("batch", self._now))
        self.scheduler.batch_ended()
        self.accounting.batch_ended(self.transport.now)

    # ---- deadlines

    def _deadline_of(self, request: int) -> float | None:
        found = self.open.get(request)
        return found.deadline if found is not None else None

    def _expire(self, request: int) -> None:
        self._time_is_up(self.open[request])

    def _time_is_up(self, request: OpenRequest) -> None:
        for attempt in list(request.out.values()):
            self._time_out(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.over:
            attempt.over = True
            if link := self.links.get(attempt.backend):
                link.cancel(attempt)
            self._ended(attempt, AttemptOutcome.TIMED_OUT, EMPTY_RESULT)

    # ---- attempts and answers

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult) -> None:
        """An attempt has ended, by its link's word or by the driver's own."""
        request = self.open.get(attempt.request)
        if request is None:
            return
        now = self.transport.now()
        succeeded = outcome is AttemptOutcome.SUCCEEDED and not request.answered
        self.accounting.attempt_ended(attempt, outcome, result, succeeded, now)
        request.out.pop(attempt.number, None)
        self.counts[attempt_count(outcome)] += 1
        if attempt.first_write:
            self._first_write_ended(request, outcome)
        if succeeded:
            # Not delayed until the batch: the answer goes to the client at once.
            request.answered = True
            self.counts["succeeded"] += 1
            request.client.succeeded(self.shards.get(attempt.backend, UNPLACED), result.data)
        end = AttemptEnded(
            request.id,
            attempt.number,
            outcome,
            attempt.backend,
            now - attempt.sent_at,
            request.answered,
            result.units_elsewhere,
            result.usage,
        )
        self.happened("attempt_ended", end)
        self._close(request)

    def _first_write_ended(self, request: OpenRequest, outcome: AttemptOutcome) -> None:
        assert request.extent is not None
        released = self.first_writes.ended(request.extent, outcome)
        if released and self.placement_log is not None:
            self.placement_log.released(request.extent)

    def _close(self, request: OpenRequest) -> None:
        if request.answered and not request.out:
            self.open.pop(request.id, None)

    # ---- the scheduler's actions (gorsethread/scheduling/actions.py)

    def clock(self) -> float:
        """The time at which the present batch began."""
        return self._now

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Sends a request to a backend; wait 0 lasts until the deadline."""
        if self.recorder:
            self.recorder(("act", "send_attempt", request, backend, wait))
        found = self.open.get(request)
        if found is None:
            return
        attempt = Attempt(found.id, found.attempts, backend, self._now, found.payload, self._ended)
        found.attempts += 1
        found.out[attempt.number] = attempt
        link = self.links.get(backend)
        if link is None or not self._may_send(found, attempt):
            self._not_sent(attempt)
            return
        self.counts["attempts"] += 1
        if wait > 0 and self._now + wait < found.deadline:
            self.transport.call_at(self._now + wait, lambda: self._time_out(attempt))
        self.accounting.sent(attempt, self.transport.now())
        if attempt.first_write and self.placement_log is not None and found.extent is not None:
            self.awaiting_placement[attempt] = None
            self.placement_log.placed(
                found.extent, self.shards[backend], lambda durable: self._placement_logged(attempt, durable)
            )
        else:
            link.send(attempt)

    def _may_send(self, request: OpenRequest, attempt: Attempt) -> bool:
        if request.answered or self._now >= request.deadline:
            return False
        shard = self.shards[attempt.backend]
        if request.shard != UNPLACED:
            return request.shard == shard
        if request.extent is None:
            return True
        check = self.first_writes.begin(request.extent, shard)
        attempt.first_write = check is PlacementCheck.FIRST_WRITE
        return check is not PlacementCheck.ELSEWHERE

    def _not_sent(self, attempt: Attempt) -> None:
        attempt.over = True
        self._ended(attempt, AttemptOutcome.NOT_SENT, EMPTY_RESULT)

    def _placement_logged(self, attempt: Attempt, durable: bool) -> None:
        """It is durable where this first write's extent is placed, or can't be: then nothing is sent."""
        self.awaiting_placement.pop(attempt, None)
        if attempt.over:
            return
        request = self.open.get(attempt.request)
        # While it waited its client may have left, or the backend begun to drain.
        awaited = durable and request is not None and not request.answered
        link = self.links.get(attempt.backend)
        if awaited and link is not None and self.scheduler.is_ready(attempt.backend):
            link.send(attempt)
        else:
            self._not_sent(attempt)

    def cancel_attempt(self, request: int, number: int) -> None:
        """Stops waiting for one attempt."""
        if self.recorder:
            self.recorder(("act", "cancel_attempt", request, number))
        found = self.open.get(request)
        attempt = found.out.get(number) if found is not None else None
        if attempt is not None and not attempt.over:
            attempt.over = True
            if link := self.links.get(attempt.backend):
                link.cancel(attempt)
            self._ended(attempt, AttemptOutcome.CANCELLED, EMPTY_RESULT)

    def reject(self, request: int, retry_after: float) -> None:
        """Ends a request whose client may try again, best after so many seconds (0: no advice)."""
        if self.recorder:
            self.recorder(("act", "reject", request, retry_after))
        found = self.open.get(request)
        if found is not None and not found.answered:
            found.answered = True
            self.accounting.answered(found.id, RequestOutcome.REJECTED, self.transport.now())
            self.counts["rejected"] += 1
            found.client.rejected(retry_after)
            self._close(found)

    def fail(self, request: int) -> None:
        """Ends a request with an error that promises nothing."""
        if self.recorder:
            self.recorder(("act", "fail", request))
        found = self.open.get(request)
        if found is not None and not found.answered:
            found.answered = True
            self.accounting.answered(found.id, RequestOutcome.FAILED, self.transport.now())
            self.counts["failed"] += 1
            found.client.failed()
            self._close(found)

    def set_timer(self, delay: float, name: str) -> None:
        """Calls the scheduler's timer_fired(name) after so many seconds."""
        if self.recorder:
            self.recorder(("act", "set_timer", delay, name))
        self.transport.call_at(self._now + delay, lambda: self.happened("timer_fired", name))

    def send_peer_message(self, gateway: int, words: str) -> None:
        """Sends a message to another gateway's scheduler, where the front has a way to it."""
        if self.recorder:
            self.recorder(("act", "send_peer_message", gateway, words))
        self.counts["peer messages"] += 1
        if self.peer_sender is not None:
            self.peer_sender(gateway, words)

    def poll_endpoints(self) -> None:
        """Asks discovery for the list of backends and its changes."""
        if self.recorder:
            self.recorder(("act", "poll_endpoints"))
        self._poll_list()
