"""Passes events to the scheduler, one batch per iteration of the event loop, and carries out its actions.

The driver ensures that each request gets one final answer: it ignores actions on a request that was answered
or whose client left. It also ends attempts at the request's deadline; what follows from that timeout is for
the scheduler to decide.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from gorsethread.gateway.accounting import AccountingFeed
from gorsethread.gateway.attempts import EMPTY_RESULT, Attempt, AttemptResult, attempt_count
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

REQUEST_IDS = 2**32  # ids are reused after this many requests


class Driver:
    """Drives one scheduler. All times are in seconds of the transport's clock.

    Attributes:
        open_requests: The requests that are not answered yet or have attempts in flight, by id.
        links: A link, for the gateway's wire protocol, to each backend of the endpoint list; a backend that
            has left the list keeps its link until its attempts have ended.
        shards: The shard of each backend in links.
        awaiting_placement: The first writes that are not sent until the place of their extent is durable.
        counts: Counters by name; they only grow.
    """

    def __init__(
        self,
        transport: Transport,
        settings: SchedulerSettings,
        seed: int,
        placement: Placement,
        poll_endpoint_list: Callable[[], None],
        log: Any,
    ) -> None:
        self.transport = transport
        self.log = log
        self.open_requests: dict[int, OpenRequest] = {}
        self.links: dict[int, Any] = {}
        self.shards: dict[int, int] = {}
        self.counts: Counter[str] = Counter()
        self.first_writes = FirstWrites(placement, partial(self.queue_event, "shard_changed"))
        self.awaiting_placement: dict[Attempt, None] = {}
        self.accounting = AccountingFeed(lambda request: why_held(self.scheduler, request))
        # Optional, set after construction: a sender of messages to other gateways, a durable log of
        # placements, and a recorder of events and actions for replays.
        self.peer_sender: Callable[[int, str], None] | None = None
        self.placement_log: PlacementLog | None = None
        self.recorder: Callable[[tuple[Any, ...]], None] | None = None
        self._poll_endpoint_list = poll_endpoint_list
        self._now = transport.now()
        self._events: list[tuple[str, tuple[Any, ...]]] = []
        self._last_id = 0
        self._deadlines = Deadlines(transport, self._deadline_of, self._expire)
        self.scheduler = Scheduler(self, settings, seed)
        # The first batch has no events; in it the scheduler polls the endpoint list.
        self._batch_is_due = True
        transport.call_soon(self._run_batch)

    @property
    def placement(self) -> Placement:
        """Returns the table of where extents are placed."""
        return self.first_writes.placement

    def _record(self, *entry: Any) -> None:
        if self.recorder is not None:
            self.recorder(entry)

    # ---- events

    def queue_event(self, method: str, *arguments: Any) -> None:
        """Queues one call of a scheduler method; one iteration of the event loop makes all queued calls."""
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
        is_write: bool = False,
        data_followed: bool = False,
    ) -> OpenRequest:
        """Admits a request; its client is answered by one call of a Client method.

        extent and is_write are given where the gateway decides the shards of extents: the extent's first
        write places it.
        data_followed says that the request's data arrived after its command, so that it is admitted later
        than it arrived.
        """
        written_extent = extent if is_write else None
        request = OpenRequest(self._next_id(), client, payload, written_extent, shard, deadline)
        self.open_requests[request.id] = request
        self._deadlines.add(deadline, request.id)
        self.counts["requests"] += 1
        admitted_at = self.transport.now() if data_followed else arrived
        arrival = Arrival(volume, request_class, int(units), shard, key is not None, arrived, admitted_at)
        self.accounting.request_admitted(request.id, arrival)
        received = RequestReceived(
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
        self.queue_event("request_received", received)
        if written_extent is not None:
            self.first_writes.admitted(written_extent, request.id, shard)
        return request

    def _next_id(self) -> int:
        self._last_id = (self._last_id + 1) % REQUEST_IDS
        while self._last_id in self.open_requests:
            self._last_id = (self._last_id + 1) % REQUEST_IDS
        return self._last_id

    def client_left(self, request: OpenRequest) -> None:
        """Drops a request whose client no longer waits for the answer, and cancels its attempts."""
        if request.answered:
            return
        request.answered = True
        self.accounting.request_ended(request.id, RequestOutcome.CLIENT_LEFT, self.transport.now())
        self.counts["client left"] += 1
        for attempt in list(request.in_flight.values()):
            if link := self.links.get(attempt.backend):
                link.cancel(attempt)
        self.queue_event("client_left", request.id)
        self._close(request)

    def shutting_down_by(self, when: float) -> None:
        """Brings every later deadline forward to the time at which the program ends."""
        for request in self.open_requests.values():
            if request.deadline > when:
                request.deadline = when
                self._deadlines.add(when, request.id)
        self.queue_event("shutting_down_by", when)

    def endpoints_listed(self, entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        """Passes an endpoint list, or changes of it, to the scheduler.

        remembered says that the list is from an earlier process and not from discovery.
        """
        self.queue_event("endpoint_list_begins", complete, remembered)
        for entry in entries:
            self.queue_event("endpoint_listed", *entry)
        self.queue_event("endpoint_list_ended")

    def endpoint_poll_failed(self, waited: float = 0.0) -> None:
        """Notifies the scheduler that a poll of the endpoint list failed after it waited so many seconds."""
        self.queue_event("endpoint_poll_failed", waited)

    def peer_message_received(self, origin: int, message: str) -> None:
        """Passes a message from another gateway's scheduler to this one's."""
        self.queue_event("peer_message_received", origin, message)

    def _run_batch(self) -> None:
        self._batch_is_due = False
        self._now = self.transport.now()
        events, self._events = self._events, []
        for method, arguments in events:
            if self.recorder is not None:
                self.recorder(("event", self._now, method, *arguments))
            getattr(self.scheduler, method)(*arguments)
        self._record("batch", self._now)
        self.scheduler.batch_ended()
        self.accounting.batch_ended(self.transport.now)

    # ---- deadlines

    def _deadline_of(self, request: int) -> float | None:
        found = self.open_requests.get(request)
        return found.deadline if found is not None else None

    def _expire(self, request: int) -> None:
        self._time_is_up(self.open_requests[request])

    def _time_is_up(self, request: OpenRequest) -> None:
        for attempt in list(request.in_flight.values()):
            self._time_out(attempt)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            attempt.ended = True
            if link := self.links.get(attempt.backend):
                link.cancel(attempt)
            self._ended(attempt, AttemptOutcome.TIMED_OUT, EMPTY_RESULT)

    # ---- attempts and answers

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult) -> None:
        """Handles the end of an attempt, whether its link or the driver ended it."""
        request = self.open_requests.get(attempt.request)
        if request is None:
            return
        now = self.transport.now()
        succeeded = outcome is AttemptOutcome.SUCCEEDED and not request.answered
        self.accounting.attempt_ended(attempt, outcome, result, succeeded, now)
        request.in_flight.pop(attempt.number, None)
        self.counts[attempt_count(outcome)] += 1
        if attempt.first_write:
            self._first_write_ended(request, attempt, outcome)
        if succeeded:
            # Answers the client at once, not in the next batch.
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
        self.queue_event("attempt_ended", end)
        self._close(request)

    def _first_write_ended(self, request: OpenRequest, attempt: Attempt, outcome: AttemptOutcome) -> None:
        assert request.written_extent is not None
        was_sent = attempt not in self.awaiting_placement
        may_have_run = was_sent and not outcome.never_ran
        released = self.first_writes.ended(request.written_extent, attempt, may_have_run)
        if released and self.placement_log is not None:
            self.placement_log.released(request.written_extent)

    def _close(self, request: OpenRequest) -> None:
        if not request.answered or request.in_flight:
            return
        self.open_requests.pop(request.id, None)
        if request.written_extent is not None:
            self.first_writes.closed(request.written_extent, request.id)

    # ---- the scheduler's actions (gorsethread/scheduling/actions.py)

    def clock(self) -> float:
        """Returns the time at which the current batch began."""
        return self._now

    def send_attempt(self, request: int, backend: int, wait: float) -> None:
        """Sends a request to a backend; it times out after wait seconds, 0: at the request's deadline."""
        self._record("act", "send_attempt", request, backend, wait)
        found = self.open_requests.get(request)
        if found is None:
            return
        attempt = Attempt(found.id, found.attempts, backend, self._now, found.payload, self._ended)
        found.attempts += 1
        found.in_flight[attempt.number] = attempt
        link = self.links.get(backend)
        if link is None or not self._may_send(found, attempt):
            self._not_sent(attempt)
            return
        self.counts["attempts"] += 1
        if wait > 0 and self._now + wait < found.deadline:
            self.transport.call_at(self._now + wait, lambda: self._time_out(attempt))
        self.accounting.attempt_sent(attempt, self.transport.now())
        if attempt.first_write:
            self._send_first_write(found, attempt, link)
        else:
            link.send(attempt)

    def _send_first_write(self, request: OpenRequest, attempt: Attempt, link: Any) -> None:
        """Sends a first write, or keeps it until the place of its extent is durable."""
        extent = request.written_extent
        assert extent is not None
        if self.placement_log is None or self.first_writes.is_durable(extent):
            link.send(attempt)
            return
        self.awaiting_placement[attempt] = None
        self.placement_log.placed(
            extent, self.shards[attempt.backend], lambda durable: self._placement_logged(attempt, durable)
        )

    def _may_send(self, request: OpenRequest, attempt: Attempt) -> bool:
        if request.answered or self._now >= request.deadline:
            return False
        shard = self.shards[attempt.backend]
        if request.written_extent is None:
            return request.shard in (UNPLACED, shard)
        check = self.first_writes.begin(request.written_extent, shard, attempt)
        attempt.first_write = check is PlacementCheck.FIRST_WRITE
        return check is not PlacementCheck.ELSEWHERE

    def _not_sent(self, attempt: Attempt) -> None:
        attempt.ended = True
        self._ended(attempt, AttemptOutcome.NOT_SENT, EMPTY_RESULT)

    def _placement_logged(self, attempt: Attempt, durable: bool) -> None:
        """Sends a first write once the place of its extent is durable, or ends it if that failed."""
        if attempt.ended:
            self.awaiting_placement.pop(attempt, None)
            return
        request = self.open_requests.get(attempt.request)
        if durable and request is not None and request.written_extent is not None:
            self.first_writes.made_durable(request.written_extent)
        # Meanwhile the client may have left, or the backend may have begun to drain.
        still_wanted = durable and request is not None and not request.answered
        link = self.links.get(attempt.backend)
        if still_wanted and link is not None and self.scheduler.is_ready(attempt.backend):
            del self.awaiting_placement[attempt]
            link.send(attempt)
        else:
            self._not_sent(attempt)
            del self.awaiting_placement[attempt]

    def cancel_attempt(self, request: int, number: int) -> None:
        """Cancels one attempt."""
        self._record("act", "cancel_attempt", request, number)
        found = self.open_requests.get(request)
        attempt = found.in_flight.get(number) if found is not None else None
        if attempt is not None and not attempt.ended:
            attempt.ended = True
            if link := self.links.get(attempt.backend):
                link.cancel(attempt)
            self._ended(attempt, AttemptOutcome.CANCELLED, EMPTY_RESULT)

    def reject(self, request: int, retry_after: float) -> None:
        """Rejects a request; its client may retry, best after so many seconds (0: no advice)."""
        self._record("act", "reject", request, retry_after)
        found = self.open_requests.get(request)
        if found is not None and not found.answered:
            found.answered = True
            self.accounting.request_ended(found.id, RequestOutcome.REJECTED, self.transport.now())
            self.counts["rejected"] += 1
            found.client.rejected(retry_after)
            self._close(found)

    def fail(self, request: int) -> None:
        """Ends a request with an error that leaves open whether the request ran."""
        self._record("act", "fail", request)
        found = self.open_requests.get(request)
        if found is not None and not found.answered:
            found.answered = True
            self.accounting.request_ended(found.id, RequestOutcome.FAILED, self.transport.now())
            self.counts["failed"] += 1
            found.client.failed()
            self._close(found)

    def set_timer(self, delay: float, name: str) -> None:
        """Queues the scheduler's timer_fired(name) after so many seconds."""
        self._record("act", "set_timer", delay, name)
        self.transport.call_at(self._now + delay, lambda: self.queue_event("timer_fired", name))

    def send_peer_message(self, gateway: int, message: str) -> None:
        """Sends a message to another gateway's scheduler, or drops it where there is no peer_sender."""
        self._record("act", "send_peer_message", gateway, message)
        self.counts["peer messages"] += 1
        if self.peer_sender is not None:
            self.peer_sender(gateway, message)

    def poll_endpoints(self) -> None:
        """Asks discovery for the endpoint list and its changes."""
        self._record("act", "poll_endpoints")
        self._poll_endpoint_list()
