"""Divides each request's time among stages, from a gateway's events. Does no I/O and reads no clock.

All time between two events of a request is added to exactly one stage, in whole microseconds between the
events' timestamps, so the stages sum to the request's duration. A request whose stages do not sum to it is a
defect, which the window counts.

Held requests are tracked in groups, one for each volume and shard; each request of a class with keyed order
has its own group. The reason why a group is held, and the volumes that hold what it waits for, are read when
its first request joins and every RECHECK_INTERVAL after that, and apply until the next reading. The blame for
held time is therefore no more precise than RECHECK_INTERVAL.
"""

from gorsethread.latency_attribution.batch_counting import RECORD, count_batch
from gorsethread.latency_attribution.stages import (
    BACKEND,
    GATEWAY,
    NO_LISTED_BACKEND,
    STAGE_OF,
    STAGES,
    UNKNOWN,
    Stage,
)
from gorsethread.latency_attribution.window import BackendRow, Window, shares
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

RECHECK_INTERVAL = 0.02  # seconds between readings of why the groups are held
MAX_GROUPS_PER_RECHECK = 128  # the other groups keep their last reading until a later recheck
# A backend that has attempts in flight counts as stalled once it has answered nothing for MIN_STALL seconds
# plus STALL_SERVICE_FACTOR times its usual service time for the units in flight. A shorter silence may only
# mean that it serves other gateways' queued requests.
MIN_STALL = 0.1
STALL_SERVICE_FACTOR = 2
# An attempt sent within this many seconds after the last one ended unanswered continues the same silence.
SILENCE_MERGE_GAP = 1.0
# A shorter wait at a backend is blamed on one holder, sampled in rotation from the attempts ahead.
SHORT_WAIT_US = 20_000
RECENT_ATTEMPTS = 64  # attempts remembered per backend, to find which volumes were ahead of a later one
BATCH_SIZE = 4096
BACKEND_FAILURES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.CONNECTION_LOST,
    AttemptOutcome.ERROR,
)
HELD_STAGES = sorted({int(stage) for stage in STAGE_OF.values()})
GATEWAY_STAGES = (Stage.RATE, Stage.RATE_LIMIT, Stage.RETRY_BUDGET)
BACKEND_STAGES = (Stage.SLOW_START, Stage.COOL_DOWN, Stage.SILENT)
SHORT_WAIT_SECONDS = SHORT_WAIT_US / 1e6
PROCESSING, HELD, SENT, ANSWERED = range(4)

_pack = RECORD.pack_into
GroupKey = tuple[int, int, int]  # volume, shard, and the request's id if it has its own group, else -1


def _us(seconds: float) -> int:
    return int(seconds * 1e6)


class _BackendQueue:
    """The gateway's view of one backend's queue: each volume's units in flight, removed as attempts end.

    Times are in seconds, durations in microseconds.
    """

    __slots__ = (
        "number",
        "units_in_flight",
        "in_flight",
        "busy_since",
        "idle_since",
        "answered_at",
        "stall",
        "min_transit_us",
        "usual_unit_us",
        "pending_blame",
        "waiting_groups",
        "backlog_until",
        "succeeded",
        "recent",
        "sequence",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.units_in_flight: dict[int, int] = {}
        self.in_flight = 0
        self.busy_since = self.idle_since = self.answered_at = 0.0
        self.stall = (0.0, 0.0)  # start and end of the last stall
        self.min_transit_us = -1  # least time of an attempt beyond its service time in this window; -1: none
        self.usual_unit_us = 0  # moving average of the service time per unit
        # Blame for waiting for a slot here since the last answer, by waiter and holder. The time until the
        # next answer decides whether the holder or the backend is to blame. Emptied by each answer and at the
        # end of the window.
        self.pending_blame: dict[tuple[int, int], int] = {}
        self.waiting_groups = 0  # groups held for this backend
        # Requests that queued up during a stall wait for each other afterwards, because of the stall. The
        # backend is therefore blamed until no group waits for it, but for no longer than the stall lasted, so
        # that it does not hide a volume that floods the backend.
        self.backlog_until = 0.0
        self.succeeded = 0  # requests in the batch that this backend answered; zeroed as the batch is counted
        self.recent = [(0, 0)] * RECENT_ATTEMPTS  # ring buffer: volume and units of the last attempts
        self.sequence = 0  # attempts sent

    def silent_since(self, now: float) -> float:
        """Returns the start of the backend's stall, or now if it is not stalled."""
        if not self.in_flight:
            return now
        since = self.answered_at if self.answered_at > self.busy_since else self.busy_since
        if now - since <= MIN_STALL:
            return now
        usual = self.usual_unit_us * sum(self.units_in_flight.values()) / 1e6
        return since if now - since > MIN_STALL + STALL_SERVICE_FACTOR * usual else now

    def attempt_sent(self, volume: int, units: int, now: float) -> int:
        """Records that an attempt was sent and returns its sequence number."""
        if not self.in_flight and (
            self.answered_at >= self.busy_since or now - self.idle_since > SILENCE_MERGE_GAP
        ):
            self.busy_since = now
        self.in_flight += 1
        sequence = self.sequence = self.sequence + 1
        self.recent[sequence % RECENT_ATTEMPTS] = (volume, units)
        self.units_in_flight[volume] = self.units_in_flight.get(volume, 0) + units
        return sequence

    def sampled_holder(self, sequence: int, ahead_count: int) -> int:
        """Returns the volume of one of the ahead_count attempts sent before this one.

        The choice rotates with the sequence number, so that over many attempts each volume is returned in
        proportion to its attempts.
        """
        if not ahead_count:
            return UNKNOWN
        reach = ahead_count if ahead_count < RECENT_ATTEMPTS else RECENT_ATTEMPTS
        return self.recent[(sequence - 1 - sequence * 7 % reach) % RECENT_ATTEMPTS][0]

    def units_ahead(self, sequence: int, ahead_count: int) -> dict[int, int]:
        """Returns the units, by volume, of the ahead_count attempts before this one, as far as remembered."""
        units: dict[int, int] = {}
        for n in range(sequence - min(ahead_count, RECENT_ATTEMPTS - 1), sequence):
            volume, attempt_units = self.recent[n % RECENT_ATTEMPTS]
            units[volume] = units.get(volume, 0) + attempt_units
        return units

    def attempt_ended(self, volume: int, units: int, now: float) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self.idle_since = now
        if left := self.units_in_flight[volume] - units:
            self.units_in_flight[volume] = left
        else:
            del self.units_in_flight[volume]

    def add_service_sample(self, unit_us: int) -> None:
        """Updates the moving average of the service time per unit."""
        self.usual_unit_us += (unit_us - self.usual_unit_us) // 8 if self.usual_unit_us else unit_us


class _Attempt:
    __slots__ = ("backend", "sent_at", "sequence", "ahead_count")

    def __init__(self, backend: _BackendQueue, sent_at: float, sequence: int, ahead_count: int) -> None:
        self.backend, self.sent_at = backend, sent_at
        self.sequence, self.ahead_count = sequence, ahead_count

    def units_ahead(self) -> dict[int, int]:
        return self.backend.units_ahead(self.sequence, self.ahead_count)


class _HeldGroup:
    """Held requests of one volume and shard. elapsed: microseconds by stage since the group was created."""

    __slots__ = ("key", "stage", "backend", "holders", "since", "members", "elapsed")

    def __init__(self, key: GroupKey, now: int) -> None:
        self.key, self.since = key, now
        self.stage, self.backend = Stage.HELD_UNKNOWN, -1
        self.holders: dict[int, int] = {}
        self.members: dict[int, None] = {}
        self.elapsed = [0] * STAGES


class _Request:
    __slots__ = (
        "volume",
        "request_class",
        "units",
        "group_key",
        "arrived",
        "since",
        "state",
        "stages",
        "attempts",
        "group",
        "group_start",
    )

    def __init__(
        self, volume: int, request_class: int, units: int, group_key: GroupKey, arrived: int, now: int
    ) -> None:
        self.volume, self.request_class, self.units, self.group_key = volume, request_class, units, group_key
        self.arrived, self.since = arrived, now
        self.state = PROCESSING
        self.stages = [0] * STAGES
        self.attempts: dict[int, _Attempt] = {}
        self.group: _HeldGroup | None = None
        self.group_start: list[int] = []


# The compact form of a request that may yet succeed with its first attempt after a short wait: volume,
# request class, units, shard, whether it has its own group, times of arrival and admission. Once it is sent:
# these, the backend, the time, the attempt's sequence number there, and how many attempts were in flight.
Arrival = tuple[int, int, int, int, bool, float, float]
_SentRequest = tuple[Arrival, _BackendQueue, float, int, int]


class LatencyAccounts:
    """Attributes the time of one gateway's requests to stages and to the holders of what they wait for.

    latency_objectives: seconds, by request class. Event times are in seconds of one clock; an event older
    than the last one counts as a disorder and gets the last one's time. batch_size: how many requests that
    succeeded with their first attempt after a short wait are counted at once; 0: each is counted on its own.
    """

    def __init__(self, latency_objectives: list[float], now: float, batch_size: int = BATCH_SIZE) -> None:
        self.latency_objectives = [int(p * 1e6) for p in latency_objectives]
        self.window = Window()
        self.requests: dict[int, _Request] = {}  # removed once answered with no attempt in flight
        # Entries of these two are removed as requests end, or move to self.requests.
        self._arrived: dict[int, Arrival] = {}
        self._sent: dict[int, _SentRequest] = {}
        # Packed records, since tuples would evict all other data from the CPU caches; emptied by counting.
        self._batch = bytearray(batch_size * RECORD.size)
        self._batch_end = 0
        self._batch_size = batch_size
        self.groups: dict[GroupKey, _HeldGroup] = {}  # removed as their last member leaves
        self.backends: dict[int, _BackendQueue] = {}  # idle ones are removed at the end of each window
        self._next_group = 0  # position of the first group of the next recheck
        # Requests of self.requests that wait for the scheduler's next search; removed by it or as they end.
        self._processing: dict[int, None] = {}
        self._now = now

    def _at(self, when: float) -> float:
        if when < self._now:
            self.window.disorders += 1
            return self._now
        self._now = when
        return when

    def without_open_requests(self, now: float) -> "LatencyAccounts":
        """Returns a copy with the same counts and no open requests, for a gateway that resumes reporting."""
        new = LatencyAccounts([], now, self._batch_size)
        new.latency_objectives, new.window = self.latency_objectives, self.window
        new._batch, new._batch_end = self._batch, self._batch_end
        for queue in self.backends.values():
            copy = new._queue_of(queue.number)
            copy.succeeded, copy.min_transit_us, copy.usual_unit_us = (
                queue.succeeded,
                queue.min_transit_us,
                queue.usual_unit_us,
            )
        return new

    @property
    def open_count(self) -> int:
        return len(self._arrived) + len(self._sent) + len(self.requests)

    # ---- events

    def admitted(
        self,
        id: int,
        volume: int,
        request_class: int,
        shard: int,
        alone: bool,
        units: int,
        arrived: float,
        when: float,
    ) -> None:
        """Records that a request was admitted.

        alone: its key order gives it a group of its own. arrived: when its capsule was received.
        """
        if when < self._now:
            when = self._at(when)
        self._now = when
        self._arrived[id] = (
            volume,
            request_class,
            units,
            shard,
            alone,
            arrived if arrived < when else when,
            when,
        )

    def begun(self, id: int, arrival: Arrival) -> None:
        """Records a request that was admitted and not sent by the search that followed.

        Most requests are sent by it, and are reported by sent() alone.
        """
        self._arrived[id] = arrival

    def _request(self, id: int) -> _Request | None:
        """Returns a request's full state, made from its compact form if needed; None if it is unknown."""
        if (request := self.requests.get(id)) is not None:
            return request
        attempt = None
        if (sent := self._sent.pop(id, None)) is not None:
            arrival, backend, sent_at, sequence, ahead_count = sent
            attempt = _Attempt(backend, sent_at, sequence, ahead_count)
        elif (known := self._arrived.pop(id, None)) is not None:
            arrival = known
        else:
            return None
        volume, request_class, units, shard, alone, arrived, when = arrival
        began, since = _us(arrived), _us(when)
        group_key = (volume, shard, id if alone else -1)
        request = self.requests[id] = _Request(volume, request_class, units, group_key, began, since)
        request.stages[Stage.RECEIVING] = since - began
        if attempt is not None:
            request.since = _us(attempt.sent_at)
            request.stages[Stage.GATEWAY] = request.since - since
            request.state, request.attempts = SENT, {0: attempt}
        return request

    def unsent(self) -> list[int]:
        """Returns the requests that the last search left unsent and that held() was not called for yet."""
        return [*self._arrived, *self._processing]

    def held(self, id: int, reason: HoldReason, backend: int, when: float) -> None:
        """Records why a request is held, after a search that did not send it or at a recheck of its group."""
        request = self._request(id)
        if request is None or request.state not in (PROCESSING, HELD):
            return
        now = _us(self._at(when))
        if request.state == PROCESSING:
            self._processing.pop(id, None)
            group = self.groups.get(request.group_key)
            if fresh := group is None:
                group = self.groups[request.group_key] = _HeldGroup(request.group_key, now)
            else:
                self._advance(group, now)
            request.stages[Stage.GATEWAY] += now - request.since
            request.state, request.group, request.group_start = HELD, group, group.elapsed.copy()
            group.members[id] = None
            if not fresh:
                return
        group = request.group
        assert group is not None
        self._advance(group, now)
        if group.backend != backend:
            self._leave_backend(group, now)
            if backend >= 0:
                self._queue_of(backend).waiting_groups += 1
        group.stage, group.backend = STAGE_OF[reason], backend
        group.holders = self._queue_of(backend).units_in_flight.copy() if reason is HoldReason.SLOTS else {}

    def requests_to_recheck(self) -> list[int]:
        """Returns the first request of each group whose reason held() should update, in rotation.

        At most MAX_GROUPS_PER_RECHECK at a time.
        """
        groups = list(self.groups.values())
        if len(groups) > MAX_GROUPS_PER_RECHECK:
            at = self._next_group % len(groups)
            self._next_group = at + MAX_GROUPS_PER_RECHECK
            groups = (groups[at:] + groups[:at])[:MAX_GROUPS_PER_RECHECK]
        return [next(iter(group.members)) for group in groups]

    def sent(
        self, id: int, attempt_number: int, backend: int, when: float, arrival: Arrival | None = None
    ) -> None:
        """Records that an attempt was sent. arrival: given if the request was not reported before."""
        queue = self.backends.get(backend)
        if queue is None:
            queue = self._queue_of(backend)
        if arrival is None and not attempt_number:
            arrival = self._arrived.pop(id, None)
        if arrival is not None:
            if when < self._now:
                when = self._at(when)
            self._now = when
            # _BackendQueue.attempt_sent() inlined, since every request passes here.
            volume, ahead_count = arrival[0], queue.in_flight
            if not ahead_count and (
                queue.answered_at >= queue.busy_since or when - queue.idle_since > SILENCE_MERGE_GAP
            ):
                queue.busy_since = when
            queue.in_flight = ahead_count + 1
            queue.sequence = sequence = queue.sequence + 1
            units = arrival[2]
            queue.recent[sequence % RECENT_ATTEMPTS] = (volume, units)
            queue.units_in_flight[volume] = queue.units_in_flight.get(volume, 0) + units
            self._sent[id] = (arrival, queue, when, sequence, ahead_count)
            return
        request = self._request(id)
        if request is None or attempt_number in request.attempts:
            return
        when = self._at(when)
        if request.state != ANSWERED and not request.attempts:
            now = _us(when)
            self._end_stage(request, id, now)
            self._processing.pop(id, None)
            request.state, request.since = SENT, now
        ahead_count = queue.in_flight
        request.attempts[attempt_number] = _Attempt(
            queue, when, queue.attempt_sent(request.volume, request.units, when), ahead_count
        )

    def ended(
        self,
        id: int,
        attempt_number: int,
        attempt_outcome: AttemptOutcome,
        service: float,
        when: float,
        outcome: RequestOutcome | None = None,
    ) -> None:
        """Records that an attempt ended.

        service: the service time in seconds that the backend reported; 0: none. outcome: the outcome of the
        request, if the attempt gave it its answer.
        """
        sent = self._sent.pop(id, None) if self._batch_size and not attempt_number else None
        if sent is not None and outcome is RequestOutcome.SUCCEEDED:
            arrival, queue, sent_at, sequence, ahead_count = sent
            if when < self._now:
                when = self._at(when)
            self._now = when
            silence = when - (queue.answered_at if queue.answered_at > queue.busy_since else queue.busy_since)
            if (
                when - sent_at - service < SHORT_WAIT_SECONDS
                and silence <= MIN_STALL
                and queue.stall[1] <= sent_at
            ):
                if queue.pending_blame:
                    self._blame_pending(queue, when < queue.backlog_until)
                queue.succeeded += 1
                queue.answered_at = when
                # _BackendQueue.attempt_ended() inlined.
                volume, request_class, units, _, _, arrived, admitted_at = arrival
                queue.in_flight -= 1
                if not queue.in_flight:
                    queue.idle_since = when
                if left := queue.units_in_flight[volume] - units:
                    queue.units_in_flight[volume] = left
                else:
                    del queue.units_in_flight[volume]
                holder = UNKNOWN
                if ahead_count:
                    reach = ahead_count if ahead_count < RECENT_ATTEMPTS else RECENT_ATTEMPTS
                    holder = queue.recent[(sequence - 1 - sequence * 7 % reach) % RECENT_ATTEMPTS][0]
                end = self._batch_end
                _pack(
                    self._batch,
                    end,
                    volume,
                    request_class,
                    units,
                    queue.number,
                    holder,
                    arrived,
                    admitted_at,
                    sent_at,
                    when,
                    service,
                )
                self._batch_end = end = end + RECORD.size
                if end == len(self._batch):
                    self._count_batch()
                return
        if sent is not None:
            self._sent[id] = sent
        request = self._request(id)
        if request is None or (attempt := request.attempts.pop(attempt_number, None)) is None:
            return
        when = self._at(when)
        now = _us(when)
        queue = attempt.backend
        silent_since = queue.silent_since(when)
        queue.attempt_ended(request.volume, request.units, when)
        row = self.window.backend(queue.number)
        row.endings[attempt_outcome.value] = row.endings.get(attempt_outcome.value, 0) + 1
        if attempt_outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED, AttemptOutcome.ERROR):
            if silent_since < when:
                row.stalled_us += now - _us(silent_since)
                queue.stall = (silent_since, when)
                queue.backlog_until = when + when - silent_since
            self._blame_pending(queue, silent_since < when or when < queue.backlog_until)
            queue.answered_at = when
        if request.state == SENT:
            self._divide_attempt(request, attempt, attempt_outcome, int(service * 1e6), now, row)
            request.since = now
            if not request.attempts:
                request.state = PROCESSING
                self._processing[id] = None
            if outcome is not None:
                self._finish(request, id, outcome, now)
        elif not request.attempts:
            del self.requests[id]

    def answered(self, id: int, outcome: RequestOutcome, when: float) -> None:
        """Records that a request got its only answer, or that its client left."""
        request = self._request(id)
        if request is None or request.state == ANSWERED:
            return
        now = _us(self._at(when))
        self._end_stage(request, id, now)
        self._finish(request, id, outcome, now)

    def _finish(self, request: _Request, id: int, outcome: RequestOutcome, now: int) -> None:
        request.state = ANSWERED
        self._processing.pop(id, None)
        duration_us = now - request.arrived
        late = outcome != RequestOutcome.CLIENT_LEFT and (
            outcome != RequestOutcome.SUCCEEDED
            or duration_us > self.latency_objectives[request.request_class]
        )
        self.window.add_request(
            request.volume, request.request_class, request.units, outcome, late, request.stages, duration_us
        )
        if not request.attempts:
            del self.requests[id]

    def close_window(self, when: float) -> Window:
        """Returns the window since the last call; a request counts in the window in which it was answered."""
        when = self._at(when)
        for group in self.groups.values():
            self._advance(group, _us(when))
        self._count_batch()
        for queue in self.backends.values():
            self._blame_pending(queue, queue.silent_since(when) < when)
        for queue in [
            queue for queue in self.backends.values() if not queue.in_flight and not queue.waiting_groups
        ]:
            del self.backends[queue.number]
        for queue in self.backends.values():
            queue.min_transit_us = -1
        self.window.apply_pending()
        closed, self.window = self.window, Window()
        return closed

    def _count_batch(self) -> None:
        if not self._batch_end:
            return
        transits = {queue.number: queue.min_transit_us for queue in self.backends.values()}
        unit_services = count_batch(
            memoryview(self._batch)[: self._batch_end], self.latency_objectives, transits, self.window
        )
        self._batch_end = 0
        for queue in self.backends.values():
            queue.min_transit_us = transits[queue.number]
            if queue.number in unit_services:
                queue.add_service_sample(unit_services[queue.number])
            if queue.succeeded:
                endings = self.window.backend(queue.number).endings
                endings[AttemptOutcome.SUCCEEDED.value] = (
                    endings.get(AttemptOutcome.SUCCEEDED.value, 0) + queue.succeeded
                )
                queue.succeeded = 0

    # ---- dividing time among stages

    def _queue_of(self, number: int) -> _BackendQueue:
        queue = self.backends.get(number)
        return queue if queue is not None else self.backends.setdefault(number, _BackendQueue(number))

    def _end_stage(self, request: _Request, id: int, now: int) -> None:
        """Adds the time since the request's last event to the stage that it was in."""
        if request.state == HELD:
            group = request.group
            assert group is not None
            self._advance(group, now)
            stages, group_start, elapsed = request.stages, request.group_start, group.elapsed
            for stage in HELD_STAGES:
                stages[stage] += elapsed[stage] - group_start[stage]
            request.group = None
            del group.members[id]
            if not group.members:
                self._leave_backend(group, now)
                del self.groups[group.key]
        elif request.state == PROCESSING:
            request.stages[Stage.GATEWAY] += now - request.since
        else:
            request.stages[Stage.UNDIVIDED] += now - request.since
            self.window.add_blame(
                request.volume,
                UNKNOWN,
                next(iter(request.attempts.values())).backend.number,
                Stage.UNDIVIDED,
                now - request.since,
            )
        request.since = now

    def _leave_backend(self, group: _HeldGroup, now: int) -> None:
        queue = self.backends.get(group.backend)
        if queue is not None and queue.waiting_groups:
            queue.waiting_groups -= 1
            if not queue.waiting_groups and now < queue.backlog_until * 1e6:
                self._blame_pending(queue, True)
                queue.backlog_until = 0.0

    def _advance(self, group: _HeldGroup, now: int) -> None:
        passed, group.since = now - group.since, now
        if not passed or not group.members:
            return
        stage, volume = group.stage, group.key[0]
        group.elapsed[stage] += passed
        us = passed * len(group.members)
        add_blame = self.window.add_blame
        if stage == Stage.SLOTS:
            queue = self._queue_of(group.backend)
            pending = queue.pending_blame
            if passed < SHORT_WAIT_US:
                holder = queue.sampled_holder(queue.sequence + 1, queue.in_flight)
                pending[volume, holder] = pending.get((volume, holder), 0) + us
                return
            for holder, part in shares(group.holders, us):
                pending[volume, holder] = pending.get((volume, holder), 0) + part
        elif stage == Stage.KEY_ORDER:
            add_blame(volume, volume, group.backend, stage, us)
        elif stage in GATEWAY_STAGES:
            add_blame(volume, GATEWAY, group.backend, stage, us)
        elif stage in BACKEND_STAGES:
            add_blame(volume, BACKEND, group.backend, stage, us)
        else:
            add_blame(
                volume, NO_LISTED_BACKEND if stage == Stage.NO_BACKEND else UNKNOWN, group.backend, stage, us
            )

    def _blame_pending(self, queue: _BackendQueue, stalled: bool) -> None:
        for (waiter, holder), us in queue.pending_blame.items():
            self.window.add_blame(waiter, BACKEND if stalled else holder, queue.number, Stage.SLOTS, us)
        queue.pending_blame.clear()

    def _divide_attempt(
        self,
        request: _Request,
        attempt: _Attempt,
        outcome: AttemptOutcome,
        service: int,
        now: int,
        row: BackendRow,
    ) -> None:
        """Divides an attempt's time, from its sending or the end of what is already attributed, if later."""
        stages, volume, number = request.stages, request.volume, attempt.backend.number
        queue, passed = attempt.backend, now - request.since
        if outcome is not AttemptOutcome.SUCCEEDED:
            stages[Stage.FAILED_ATTEMPT] += passed
            if outcome in BACKEND_FAILURES:
                self.window.add_blame(volume, BACKEND, number, Stage.FAILED_ATTEMPT, passed)
            elif outcome is AttemptOutcome.REJECTED:
                self.window.add_shared_blame(
                    volume, attempt.units_ahead(), number, Stage.FAILED_ATTEMPT, passed
                )
            else:
                self.window.add_blame(volume, GATEWAY, number, Stage.FAILED_ATTEMPT, passed)
            return
        if service <= 0:
            stages[Stage.UNDIVIDED] += passed
            self.window.add_blame(volume, UNKNOWN, number, Stage.UNDIVIDED, passed)
            return
        service_us = min(service, passed)
        rest = passed - service_us
        # The transit time is the least time beyond service in this window; half each way is an assumption.
        transit = queue.min_transit_us = rest if queue.min_transit_us < 0 else min(rest, queue.min_transit_us)
        wait = rest - transit
        stages[Stage.SERVICE] += service_us
        stages[Stage.OUTBOUND] += transit // 2
        stages[Stage.RETURN] += transit - transit // 2
        row.add_work(volume, request.units.bit_length(), 1, request.units, service_us)
        queue.add_service_sample(service_us // max(1, request.units))
        if wait:
            stages[Stage.BACKEND_QUEUE] += wait
            row.wait_us += wait
            stalled = min(wait, max(0, _us(queue.stall[1]) - _us(max(attempt.sent_at, queue.stall[0]))))
            if stalled:
                self.window.add_blame(volume, BACKEND, number, Stage.BACKEND_QUEUE, stalled)
                wait -= stalled
            if 0 < wait < SHORT_WAIT_US:
                holder = queue.sampled_holder(attempt.sequence, attempt.ahead_count)
                self.window.add_blame(volume, holder, number, Stage.BACKEND_QUEUE, wait)
            elif wait:
                self.window.add_shared_blame(volume, attempt.units_ahead(), number, Stage.BACKEND_QUEUE, wait)
