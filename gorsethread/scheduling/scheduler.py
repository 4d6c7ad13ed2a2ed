"""The scheduler of a gateway: it receives events and calls actions, and does no input or output itself.

The program that runs it calls one method for each event, then batch_ended(); the scheduler then calls the
actions in actions.py. Each mechanism is a separate module; docs/design.md explains why each is needed.
"""

from gorsethread.scheduling.actions import SchedulerActions
from gorsethread.scheduling.attempt_admission import AttemptAdmission
from gorsethread.scheduling.augmenting_path import AugmentingPathSearch
from gorsethread.scheduling.concurrency_limits import ConcurrencyLimits
from gorsethread.scheduling.endpoint_polling import EndpointPolling
from gorsethread.scheduling.fair_queueing import FairQueueing
from gorsethread.scheduling.key_ordering import KeyOrdering
from gorsethread.scheduling.load_shedding import LoadShedding, Verdict
from gorsethread.scheduling.model import (
    AttemptEnded,
    AttemptOutcome,
    Backend,
    Request,
    RequestReceived,
    SchedulerSettings,
    Volume,
)
from gorsethread.scheduling.outlier_detection import OutlierDetection
from gorsethread.scheduling.random_draws import RandomDraws
from gorsethread.scheduling.rate_limits import Pacing, RateLimits
from gorsethread.scheduling.retries import Retries
from gorsethread.scheduling.shard_assignment import ShardAssignment
from gorsethread.scheduling.slow_start import SlowStart
from gorsethread.scheduling.slow_start_leases import SlowStartLeases
from gorsethread.scheduling.timers import Timers

DRAIN_PART = 0.75  # of the drain grace; the rest is for attempts that wait for a connection
DRAIN_DELAY = 0.25  # seconds of the grace left for delays of the process when it is notified or sends
VOLUME_IDLE_AFTER = 60.0  # seconds


class Scheduler:
    """Passes events to the mechanisms and carries out their decisions.

    Its own state is the table of requests. A request is removed when it and all its attempts have ended.
    """

    def __init__(self, actions: SchedulerActions, settings: SchedulerSettings, seed: int) -> None:
        """seed: of the random draws, which differ between gateways."""
        self._actions = actions
        self.settings = settings
        self.requests: dict[int, Request] = {}
        self.timers = Timers(actions)
        draws = RandomDraws(seed)
        self.polling = EndpointPolling(settings, self.timers, draws)
        self.shards = ShardAssignment()
        self.queueing = FairQueueing(self.timers, settings.max_volumes)
        self.key_ordering = KeyOrdering(settings, self.timers)
        self.retries = Retries(settings, self.timers)
        self.rate_limits = RateLimits(settings, self.timers)
        self.pacing = Pacing(settings, self.timers)
        self.limits = ConcurrencyLimits(settings, self.timers)
        self.outliers = OutlierDetection(settings, self.timers)
        self.shedding = LoadShedding(settings, self.timers, self.limits)
        self.leases = SlowStartLeases(
            settings, self.timers, self.shards, actions, self.queueing.capacity_changed
        )
        self.slow_start = SlowStart(settings, self.timers, draws, self.leases)
        self.admission = AttemptAdmission(
            self.timers,
            self.shards,
            self.queueing,
            self.limits,
            self.outliers,
            self.slow_start,
            self.rate_limits,
            self.pacing,
            self.retries,
        )

    # ---- events: requests

    def request_received(self, received: RequestReceived) -> None:
        """Handles a new request from a client."""
        now = self.timers.advance()
        tier = self.settings.service_tiers[received.service_tier]
        request_class = self.settings.request_classes[received.request_class]
        if self.queueing.is_full() and not self.queueing.is_known(received):
            self._forget_spare_volumes()
        volume = self.queueing.volume_of(received, tier, self.rate_limits.initial_bucket)
        request = Request(
            received.id,
            self.timers.next_number(),
            request_class,
            volume,
            received.key if request_class.keyed_order else None,
            received.deadline,
            self.shedding.objective_ends(received),
            received.units,
            received.shard,
        )
        self.requests[received.id] = request
        volume.open_requests += 1
        self.retries.request_received()
        last_start = request.objective_ends - self.admission.expected_time(request)
        self.timers.schedule(max(now, last_start), request)
        if self.key_ordering.enqueue(request):
            self.queueing.enqueue(request)

    def attempt_ended(self, end: AttemptEnded) -> None:
        """Handles the end of an attempt."""
        now = self.timers.advance()
        backend = self.shards.backends.get(end.backend)
        request = self.requests.get(end.request)
        if backend is None or request is None:
            return
        sent_at = backend.in_flight.pop((end.request, end.number), None)
        if sent_at is None:
            return
        self.queueing.capacity_changed()
        self._record_outcome(backend, end.outcome, end.elapsed, request, sent_at)
        self.queueing.attempt_ended(request, end.units_elsewhere)
        if not end.outcome.never_ran and request.ran_at is None:
            request.ran_at = now - end.elapsed
            request.ran_on = backend
        if request.key is not None and end.outcome.may_still_run:
            self.key_ordering.start_cool_down(request.key)
        if end.request_finished:
            request.ended = True
        elif not request.ended:
            self._retry_or_answer(request)
        self._close(request)

    def _record_outcome(
        self, backend: Backend, outcome: AttemptOutcome, elapsed: float, request: Request, sent_at: float
    ) -> None:
        """Passes an outcome to the mechanisms that keep state about the backend."""
        if not backend.ready and outcome.never_ran:
            # The backend refuses new attempts or is gone. That is no sign of overload, and ends its drain.
            self.shards.end_drain(backend)
            return
        if not self.outliers.attempt_ended(backend, outcome, sent_at):
            return
        if outcome is AttemptOutcome.REJECTED:
            self.retries.backend_rejected()
        self.limits.attempt_ended(backend, outcome, elapsed, request)

    def _retry_or_answer(self, request: Request) -> None:
        if self.retries.may_retry(request):
            self.queueing.enqueue(request)
            self.timers.schedule(self.timers.now, request)
        else:
            self._answer_unserved(request)

    def shard_changed(self, request_id: int, shard: int) -> None:
        """Handles the news of the only shard that may run a request; NEW_OBJECT: any may."""
        self.timers.advance()
        request = self.requests.get(request_id)
        if request is not None and request.shard != shard:
            self.queueing.move(request, shard)

    def client_left(self, request_id: int) -> None:
        """Handles a client that no longer waits for the answer to its request."""
        self.timers.advance()
        request = self.requests.get(request_id)
        if request is not None:
            self.queueing.dequeue(request)
            request.ended = True
            self._close(request)

    def shutting_down_by(self, when: float) -> None:
        """Handles the start of a graceful shutdown: every request is to be answered by that time.

        when: the end of this gateway, in seconds.
        """
        now = self.timers.advance()
        for request in self.requests.values():
            if request.deadline > when:
                request.deadline = when
                request.objective_ends = min(request.objective_ends, when)
                last_start = when - self.admission.expected_time(request)
                self.timers.schedule(max(now, last_start), request)

    def may_begin_attempt(self, request_id: int, backend_id: int, decided_at: float, now: float) -> bool:
        """Returns whether an attempt that has waited for a connection since decided_at may still be sent."""
        request = self.requests.get(request_id)
        backend = self.shards.backends.get(backend_id)
        if request is None or backend is None:
            return False
        if not backend.ready and now > backend.last_send:
            return False
        if not self.retries.is_repeatable(request, now):
            return False
        return self.slow_start.may_begin_attempt(backend, decided_at, now)

    def is_ready(self, backend_id: int) -> bool:
        """Returns whether the backend is listed as ready."""
        backend = self.shards.backends.get(backend_id)
        return backend is not None and backend.ready

    # ---- events: timers and other gateways

    def timer_fired(self, name: str) -> None:
        """Handles a timer that the scheduler has set with that name."""
        self.timers.fired(name)

    def peer_message_received(self, origin: int, message: str) -> None:
        """Handles a message from another gateway; origin: the index of that gateway."""
        self.timers.advance()
        self.leases.message_received(origin, message)

    # ---- events: the endpoint list

    def endpoint_poll_failed(self, waited: float = 0.0) -> None:
        """Handles a failed poll of the endpoint list; waited: seconds until it failed."""
        self.timers.advance()
        self.polling.poll_failed(waited)

    def endpoint_list_begins(self, complete: bool, remembered: bool) -> None:
        """Handles the start of an endpoint list.

        complete: it contains all backends, not only changes; remembered: it was stored by an earlier run.
        """
        self.timers.advance()
        self.polling.list_begins(complete, remembered)

    def endpoint_listed(self, id: int, zone: int, shard: int, ready: bool, started_at: float) -> None:
        """Handles one backend of the list.

        started_at: when the backend started, in seconds on this process's clock; 0 if long ago.
        """
        self.polling.listed(id)
        backend = self.shards.backends.get(id)
        if backend is None:
            state = self.limits.initial_state()
            backend = Backend(id, zone, shard, 0.0, ready, self.timers.now, state)
            self.shards.backends[id] = backend
        if started_at > max(backend.started_at, self.timers.started_at):
            self.slow_start.backend_started(backend)
            self.limits.backend_started(backend)
            self.outliers.backend_started(backend)
        if not ready:
            # During its drain it may be used, since its shard may have no other backend yet. A backend that
            # is listed as not ready again is gone.
            backend.last_send = self.timers.now + self._usable_grace() if backend.ready else 0.0
        backend.zone = zone
        backend.ready = ready
        backend.started_at = max(started_at, backend.started_at)
        self.shards.place(backend, shard)

    def _usable_grace(self) -> float:
        """Returns the seconds for which attempts may still be sent to a draining backend."""
        grace = self.settings.drain_grace
        return min(DRAIN_PART * grace, max(0.0, grace - DRAIN_DELAY))

    def endpoint_list_ended(self) -> None:
        """Handles the end of an endpoint list."""
        for id in self.polling.missing(self.shards.backends):
            self.shards.withdraw(self.shards.backends[id])
        self._update_shards()

    def _update_shards(self) -> None:
        self.shards.update(self.timers.now)
        self.queueing.capacity_changed()

    # ---- the end of a batch

    def batch_ended(self) -> None:
        """Acts on all events of a batch, after the last of them."""
        self.timers.advance()
        for item in self.timers.due_items():
            if isinstance(item, Request):
                self._review(item)
            else:
                self._enqueue_next(self.key_ordering.next_runnable(item))
        if self.timers.reevaluation_due():
            self.queueing.capacity_changed()
        if self.timers.now >= self.shards.next_drain_end:
            self._update_shards()
        if self.polling.poll_due():
            self._actions.poll_endpoints()
        if self.queueing.fade_due():
            self._fade()
        if self.queueing.search_needed():
            self._send_admitted()
        self.timers.set_for(self.polling.next_poll_at, self.shards.next_drain_end)

    def _fade(self) -> None:
        self.queueing.fade()
        for volume in self.queueing.idle_volumes():
            if self.rate_limits.is_idle(volume, VOLUME_IDLE_AFTER):
                self._forget(volume)
        self.slow_start.forget_idle()

    def _forget_spare_volumes(self) -> None:
        """Forgets volumes that would be treated in the same way if they came again as new ones."""
        for volume in self.queueing.room_candidates():
            if self.rate_limits.is_full(volume):
                self._forget(volume)

    def _forget(self, volume: Volume) -> None:
        self.queueing.forget(volume)
        self.shards.ranking.forget(volume.name)

    def _send_admitted(self) -> None:
        search = AugmentingPathSearch(self.admission)
        for backend_id, requests in search.run(self.queueing.volumes_to_search()).items():
            backend = self.shards.backends[backend_id]
            for request in requests:
                self._send(request, backend)
        self.queueing.search_done()

    def _send(self, request: Request, backend: Backend) -> None:
        warm_up_units = self.slow_start.units_left(backend)
        if request.units > warm_up_units or (request.attempts and not self.retries.within_budget()):
            self.timers.reevaluate_soon()
            return
        if warm_up_units < float("inf"):
            self.slow_start.spend(request, backend)
        if request.attempts == 0:
            self.rate_limits.spend(request)
            self.pacing.spend(request)
        else:
            self.retries.retry_sent()
        self.queueing.attempt_sent(request)
        backend.in_flight[(request.id, request.attempts)] = self.timers.now
        request.attempts += 1
        self._actions.send_attempt(request.id, backend.id, 0.0)

    # ---- the end of a request

    def _review(self, request: Request) -> None:
        """Sheds or demotes a waiting request that can no longer meet its latency objective."""
        if request.ended or request.in_flight or self.requests.get(request.id) is not request:
            return
        backend = self.shards.serving.get(request.shard)
        others_wait = self.queueing.waiting_for(request.shard) > 1
        expected_time = self.admission.expected_time(request)
        review = self.shedding.review(request, expected_time, backend, others_wait)
        if review.verdict is Verdict.SHED:
            self.queueing.dequeue(request)
            self._answer_unserved(request)
            self._close(request)
            return
        if review.verdict is Verdict.DEMOTE:
            self.queueing.demote(request)
        self.timers.schedule(review.next_at, request)

    def _answer_unserved(self, request: Request) -> None:
        """Rejects a request if a retry by its client is safe, otherwise fails it."""
        request.ended = True
        before_deadline = request.in_flight == 0 and self.timers.now < request.deadline
        if before_deadline and self.retries.is_repeatable_everywhere(request):
            backend = self.shards.serving.get(request.shard)
            service_time = (
                self.limits.mean_service_time(backend) if backend else self.limits.shortest_objective
            )
            self._actions.reject(request.id, min(self.settings.max_retry_after, service_time))
        else:
            self._actions.fail(request.id)

    def _close(self, request: Request) -> None:
        if request.ended and not request.in_flight:
            if self.requests.pop(request.id, None) is not None:
                request.volume.open_requests -= 1
            self._enqueue_next(self.key_ordering.remove(request))

    def _enqueue_next(self, request: Request | None) -> None:
        if request is not None:
            self.queueing.enqueue(request)
