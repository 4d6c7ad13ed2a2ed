"""The decisions of a gateway on the path of a request: events in, actions out.

The program around it calls one method for each event, then batch_ended(); the scheduler answers by the
actions in actions.py. Each mechanism is a module of its own; docs/design.md says why each is there.
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
)
from gorsethread.scheduling.outlier_detection import OutlierDetection
from gorsethread.scheduling.random_draws import RandomDraws
from gorsethread.scheduling.rate_limits import Pacing, RateLimits
from gorsethread.scheduling.retries import Retries
from gorsethread.scheduling.shard_assignment import ShardAssignment
from gorsethread.scheduling.slow_start import SlowStart
from gorsethread.scheduling.slow_start_leases import SlowStartLeases
from gorsethread.scheduling.timers import Timers

DRAIN_PART = 0.75  # of the drain grace: an attempt may still have to wait for a connection
DRAIN_DELAY = 0.25  # seconds of the grace for a process held up as it is notified or as it sends
VOLUME_IDLE_AFTER = 60.0  # seconds


class Scheduler:
    """Passes events to the mechanisms, and acts on what they decide.

    Its own state is the table of requests, each of which leaves as it has ended and its attempts are over.
    """

    def __init__(self, actions: SchedulerActions, settings: SchedulerSettings, seed: int) -> None:
        """seed: of the draws of chance, which tell gateways apart."""
        self._actions = actions
        self.settings = settings
        self.requests: dict[int, Request] = {}
        self.timers = Timers(actions)
        draws = RandomDraws(seed)
        self.polling = EndpointPolling(settings, self.timers, draws)
        self.shards = ShardAssignment()
        self.queueing = FairQueueing(self.timers)
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

    def request_received(self, taken: RequestReceived) -> None:
        """A client's request has come."""
        now = self.timers.advance()
        tier = self.settings.service_tiers[taken.service_tier]
        request_class = self.settings.request_classes[taken.request_class]
        volume = self.queueing.volume_of(taken, tier, self.rate_limits.first_bucket)
        request = Request(
            taken.id,
            self.timers.next_number(),
            request_class,
            volume,
            taken.key if request_class.keyed_order else None,
            taken.deadline,
            self.shedding.objective_ends(taken),
            taken.units,
            taken.shard,
        )
        self.requests[taken.id] = request
        self.retries.request_received()
        in_time_until = request.objective_ends - self.admission.expected_time(request)
        self.timers.schedule(max(now, in_time_until), request)
        if self.key_ordering.join(request):
            self.queueing.enqueue(request)

    def attempt_ended(self, end: AttemptEnded) -> None:
        """An attempt of a request is over."""
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
        """Tells the mechanisms what the outcome says of the backend."""
        if not backend.ready and outcome.never_ran:
            # It takes nothing new already, or is gone: no sign of overload, and the end of its drain.
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

    def client_left(self, request_id: int) -> None:
        """The client of a request no longer awaits its answer."""
        self.timers.advance()
        request = self.requests.get(request_id)
        if request is not None:
            self.queueing.dequeue(request)
            request.ended = True
            self._close(request)

    def shutting_down_by(self, when: float) -> None:
        """This gateway itself ends then: what its clients would wait longer for is answered before."""
        now = self.timers.advance()
        for request in self.requests.values():
            if request.deadline > when:
                request.deadline = when
                request.objective_ends = min(request.objective_ends, when)
                last_start = when - self.admission.expected_time(request)
                self.timers.schedule(max(now, last_start), request)

    def may_begin_attempt(self, request_id: int, backend_id: int, decided_at: float, now: float) -> bool:
        """Whether an attempt that waited for its connection since it was decided may still go out."""
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
        """Whether the list names the backend as ready."""
        backend = self.shards.backends.get(backend_id)
        return backend is not None and backend.ready

    # ---- events: timers and other gateways

    def timer_fired(self, name: str) -> None:
        """The timer that the scheduler has set by that name has fired."""
        self.timers.fired(name)

    def peer_message_received(self, origin: int, message: str) -> None:
        """Another gateway, by its number, has sent a message."""
        self.timers.advance()
        self.leases.message_received(origin, message)

    # ---- events: the endpoint list

    def endpoint_poll_failed(self, waited: float = 0.0) -> None:
        """The endpoint list could not be had; waited: seconds until the poll failed."""
        self.timers.advance()
        self.polling.poll_failed(waited)

    def endpoint_list_begins(self, complete: bool, remembered: bool) -> None:
        """A list of backends comes, complete or of changes; remembered: from an earlier run."""
        self.timers.advance()
        self.polling.list_begins(complete, remembered)

    def endpoint_listed(self, id: int, zone: int, shard: int, ready: bool, started_at: float) -> None:
        """The list names a backend; started_at: in seconds of this process's clock, 0: long ago."""
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
            # Its shard may have no other backend yet. One notified as draining again has gone.
            backend.last_send = self.timers.now + self._usable_grace() if backend.ready else 0.0
        backend.zone = zone
        backend.ready = ready
        backend.started_at = max(started_at, backend.started_at)
        self.shards.place(backend, shard)

    def _usable_grace(self) -> float:
        """Returns the seconds for which a backend that drains may still be sent to."""
        grace = self.settings.drain_grace
        return min(DRAIN_PART * grace, max(0.0, grace - DRAIN_DELAY))

    def endpoint_list_ended(self) -> None:
        """The list is over."""
        for id in self.polling.missing(self.shards.backends):
            self.shards.withdraw(self.shards.backends[id])
        self._update_shards()

    def _update_shards(self) -> None:
        self.shards.update(self.timers.now)
        self.queueing.capacity_changed()

    # ---- the end of a batch

    def batch_ended(self) -> None:
        """Everything that happened at this time has been notified: the scheduler acts."""
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
            self._send_what_may_go()
        self.timers.set_for(self.polling.next_poll_at, self.shards.next_drain_end)

    def _fade(self) -> None:
        self.queueing.fade()
        for volume in self.queueing.idle_volumes():
            if self.rate_limits.is_idle(volume, VOLUME_IDLE_AFTER):
                self.queueing.forget(volume)
                self.shards.ranking.forget(volume.name)
        self.slow_start.forget_idle()

    def _send_what_may_go(self) -> None:
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
        """A request that waits is shed or demoted if it can no longer meet its latency objective."""
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
        """Rejects a request where a repeat is safe, else fails it."""
        request.ended = True
        in_time = request.in_flight == 0 and self.timers.now < request.deadline
        if in_time and self.retries.is_repeatable_everywhere(request):
            backend = self.shards.serving.get(request.shard)
            service_time = (
                self.limits.mean_service_time(backend) if backend else self.limits.shortest_objective
            )
            self._actions.reject(request.id, min(self.settings.max_retry_after, service_time))
        else:
            self._actions.fail(request.id)

    def _close(self, request: Request) -> None:
        if request.ended and not request.in_flight:
            self.requests.pop(request.id, None)
            self._enqueue_next(self.key_ordering.leave(request))

    def _enqueue_next(self, request: Request | None) -> None:
        if request is not None:
            self.queueing.enqueue(request)
