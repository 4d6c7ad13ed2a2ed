"""Mutants of NVMe gateways: they show how many seeds the simulation needs to detect each defect.

Each function changes one gateway that has not been started. Never part of a gateway in production.
"""

from collections.abc import Callable, Iterable
from typing import Any

from gorsethread.gateway.attempts import Attempt
from gorsethread.gateway.first_writes import PlacementCheck
from gorsethread.gateway.interfaces import Extent
from gorsethread.gateway.open_requests import EndpointEntry, OpenRequest
from gorsethread.nvme.command import Completion, Status
from gorsethread.nvme_gateway.backend_link import BackendLink
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.scheduling.retries import MAX_ATTEMPTS
from gorsethread.simulation.mutant_registry import every_nth_call, registered_in, replace_outcomes
from gorsethread.simulation.rule_mutants import break_rule

Mutation = Callable[[NvmeGateway], None]
MAX_ATTEMPTS_PER_REQUEST = 8  # where the retry budget is off; without a bound a simulation hardly progresses
MUTANTS: dict[str, Mutation] = {}
mutant = registered_in(MUTANTS)


def _on_links(gateway: NvmeGateway, change: Callable[[BackendLink], None]) -> None:
    """Calls change with each link right after it is created."""
    discovery: Any = gateway.discovery
    links = discovery.links
    original = links.update

    def update(backend: int, shard: int, address: tuple[str, int], state: str) -> None:
        before = links.driver.links.get(backend)
        original(backend, shard, address, state)
        after = links.driver.links.get(backend)
        if after is not None and after is not before:
            change(after)

    links.update = update


def _override(link: BackendLink, name: str, method: Callable[..., Any]) -> None:
    """Replaces a method of one link. Links have __slots__, so the link gets a subclass of the same layout."""
    link.__class__ = type(
        "MutantLink", (type(link),), {"__slots__": (), name: lambda self, *arguments: method(*arguments)}
    )


# ---- driver


@mutant("driver: a time-out at the cut-off is lost")
def _ignores_deadlines(gateway: NvmeGateway) -> None:
    gateway.driver._time_is_up = lambda request: None  # type: ignore[method-assign]


@mutant("driver: the cut-off comes a second late")
def _delays_deadlines(gateway: NvmeGateway) -> None:
    original = gateway.driver.admit
    gateway.driver.admit = lambda *a, deadline, **n: original(*a, deadline=deadline + 1.0, **n)  # type: ignore


@mutant("driver: a client that left is not noticed")
def _ignores_departed_clients(gateway: NvmeGateway) -> None:
    gateway.driver.client_left = lambda request: None  # type: ignore[method-assign]


@mutant("driver: one forward's end in fifty is not told")
def _loses_attempt_results(gateway: NvmeGateway) -> None:
    original, should_break = gateway.driver.queue_event, every_nth_call(50)

    def queue_event(method: str, *facts: Any) -> None:
        if method != "attempt_ended" or not should_break():
            original(method, *facts)

    gateway.driver.queue_event = queue_event  # type: ignore[method-assign]


@mutant("driver: a transaction given up stays open")
def _keeps_failed_requests_open(gateway: NvmeGateway) -> None:
    original = gateway.driver.fail

    def fail(request: int) -> None:
        open_request = gateway.driver.open_requests.get(request)
        original(request)
        if open_request is not None:
            gateway.driver.open_requests[request] = open_request

    gateway.driver.fail = fail  # type: ignore[method-assign]


@mutant("driver: what was honoured is not told as finished")
def _reports_requests_unfinished(gateway: NvmeGateway) -> None:
    original = gateway.driver.queue_event

    def queue_event(method: str, *facts: Any) -> None:
        if method == "attempt_ended":
            facts = (facts[0]._replace(request_finished=False),)
        original(method, *facts)

    gateway.driver.queue_event = queue_event  # type: ignore[method-assign]


@mutant("driver: gives up by pushing back")
def _rejects_instead_of_failing(gateway: NvmeGateway) -> None:
    gateway.driver.fail = lambda request: gateway.driver.reject(request, 0.1)  # type: ignore[method-assign]


@mutant("driver: a time-out is told as never sent")
def _reports_timeouts_as_not_sent(gateway: NvmeGateway) -> None:
    replace_outcomes(gateway, {AttemptOutcome.TIMED_OUT: AttemptOutcome.NOT_SENT})


@mutant("driver: one wake in five is lost")
def _loses_timers(gateway: NvmeGateway) -> None:
    original, should_break = gateway.driver.set_timer, every_nth_call(5)
    gateway.driver.set_timer = lambda delay, name: (  # type: ignore[method-assign]
        None if should_break() else original(delay, name)
    )


@mutant("driver: a push-back is not answered, one in five")
def _loses_rejections(gateway: NvmeGateway) -> None:
    original, should_break = gateway.driver.reject, every_nth_call(5)

    def reject(request: int, retry_after: float) -> None:
        open_request = gateway.driver.open_requests.get(request)
        if open_request is not None and should_break():
            open_request.answered = True
            gateway.driver._close(open_request)
        else:
            original(request, retry_after)

    gateway.driver.reject = reject  # type: ignore[method-assign]


@mutant("driver: takes are counted twice, one in a hundred")
def _counts_requests_twice(gateway: NvmeGateway) -> None:
    original, should_break = gateway.driver.admit, every_nth_call(100)

    def admit(*arguments: Any, **named: Any) -> OpenRequest:
        if should_break():
            gateway.driver.counts["requests"] += 1
        return original(*arguments, **named)

    gateway.driver.admit = admit  # type: ignore[method-assign]


@mutant("driver: first writes of an extent may part it")
def _splits_extents(gateway: NvmeGateway) -> None:
    original = gateway.driver.first_writes.begin

    def begin(extent: Extent, shard: int, attempt: Attempt) -> PlacementCheck:
        check = original(extent, shard, attempt)
        return PlacementCheck.BELONGS if check is PlacementCheck.ELSEWHERE else check

    gateway.driver.first_writes.begin = begin  # type: ignore[method-assign]


# ---- backend links


@mutant("links: a broken connection is told as not reached")
def _reports_lost_connections_as_unreachable(gateway: NvmeGateway) -> None:
    replace_outcomes(gateway, {AttemptOutcome.CONNECTION_LOST: AttemptOutcome.UNREACHABLE})


@mutant("links: a failure is told as turned away")
def _reports_errors_as_rejections(gateway: NvmeGateway) -> None:
    replace_outcomes(gateway, {AttemptOutcome.ERROR: AttemptOutcome.REJECTED})


@mutant("links: what is over is sent all the same once connected")
def _sends_ended_attempts(gateway: NvmeGateway) -> None:
    def change(link: BackendLink) -> None:
        original = link._connect

        async def connect() -> None:
            ended = [attempt for attempt in link.awaiting_connection if attempt.ended]
            await original()
            for attempt in ended:
                if link.association is not None:
                    link._submit(attempt)

        _override(link, "_connect", connect)

    _on_links(gateway, change)


@mutant("links: sends again what was out as the connection broke")
def _resends_after_connection_loss(gateway: NvmeGateway) -> None:
    def change(link: BackendLink) -> None:
        original = link._connection_lost

        def connection_lost(reason: str) -> None:
            in_flight = list(link.in_flight.values())
            original(reason)
            for sent in in_flight:
                link.send(
                    Attempt(sent.request, -1, sent.backend, sent.sent_at, sent.payload, lambda *_: None)
                )

        _override(link, "_connection_lost", connection_lost)

    _on_links(gateway, change)


@mutant("links: an answer's data goes to the read before it, one in twenty")
def _swaps_read_data(gateway: NvmeGateway) -> None:
    previous_data, should_break = [b""], every_nth_call(20)

    def change(link: BackendLink) -> None:
        original = link._command_completed

        def command_completed(attempt: Attempt, completion: Completion, data: bytes) -> None:
            sent_data = data
            if len(previous_data[0]) == len(data) and should_break():
                sent_data = previous_data[0]
            previous_data[0] = data
            original(attempt, completion, sent_data)

        _override(link, "_command_completed", command_completed)

    _on_links(gateway, change)


@mutant("links: a failure is taken for a success")
def _reports_errors_as_success(gateway: NvmeGateway) -> None:
    def change(link: BackendLink) -> None:
        original = link._command_completed

        def command_completed(attempt: Attempt, completion: Completion, data: bytes) -> None:
            if completion.status == Status.INTERNAL_ERROR:
                completion = completion._replace(status=Status.SUCCESS, do_not_retry=False)
            original(attempt, completion, data)

        _override(link, "_command_completed", command_completed)

    _on_links(gateway, change)


@mutant("links: one answer in a hundred is dropped")
def _drops_answers(gateway: NvmeGateway) -> None:
    should_break = every_nth_call(100)

    def change(link: BackendLink) -> None:
        original = link._command_completed

        def command_completed(attempt: Attempt, completion: Completion, data: bytes) -> None:
            if should_break():
                link.in_flight.pop(attempt.cid, None)
            else:
                original(attempt, completion, data)

        _override(link, "_command_completed", command_completed)

    _on_links(gateway, change)


@mutant("links: nothing is told of what was out as a link broke")
def _hides_connection_loss(gateway: NvmeGateway) -> None:
    def change(link: BackendLink) -> None:
        def connection_lost(reason: str) -> None:
            link.association = None
            link.in_flight = {}

        _override(link, "_connection_lost", connection_lost)

    _on_links(gateway, change)


# ---- codec and client side


@mutant("codec: a completion is sent twice, one in a hundred")
def _sends_completions_twice(gateway: NvmeGateway) -> None:
    should_break = every_nth_call(100)
    original = gateway.server.on_stream

    async def on_stream(stream: Any) -> None:
        write = stream.write

        def write_twice(data: bytes) -> None:
            write(data)
            if len(data) == 24 and data[0] == 5 and should_break():
                write(data)

        stream.write = write_twice
        await original(stream)

    gateway.server.on_stream = on_stream  # type: ignore[method-assign]


@mutant("codec: a completion is lost, one in a hundred")
def _loses_completions(gateway: NvmeGateway) -> None:
    lose = every_nth_call(100)
    original = gateway.server.on_stream

    async def on_stream(stream: Any) -> None:
        write = stream.write
        stream.write = lambda data: None if len(data) == 24 and data[0] == 5 and lose() else write(data)
        await original(stream)

    gateway.server.on_stream = on_stream  # type: ignore[method-assign]


@mutant("codec: a write's first block is off by one, one in twenty")
def _shifts_writes(gateway: NvmeGateway) -> None:
    original, should_break = gateway.driver.admit, every_nth_call(20)

    def admit(client: Any, payload: Any, **named: Any) -> OpenRequest:
        if payload.data and should_break() and payload.command.cdw10 % 64 > 1:
            command = payload.command
            payload = payload._replace(command=command._replace(cdw10=command.cdw10 - 1))
        return original(client, payload, **named)

    gateway.driver.admit = admit  # type: ignore[method-assign]


@mutant("clients: a client's own patience is not heeded")
def _ignores_client_deadlines(gateway: NvmeGateway) -> None:
    clients = gateway.clients
    original = clients.command_announced

    def command_announced(io: Any) -> None:
        io.command = io.command._replace(cdw2=0)
        original(io)

    clients.command_announced = command_announced  # type: ignore[method-assign]


# ---- endpoint list


@mutant("list: followed once, never again")
def _polls_endpoint_list_once(gateway: NvmeGateway) -> None:
    original, polls = gateway.discovery.watch, [0]

    def follow() -> None:
        polls[0] += 1
        if polls[0] == 1:
            original()

    gateway.driver._poll_endpoint_list = follow


@mutant("list: drains are not heard")
def _ignores_drains(gateway: NvmeGateway) -> None:
    break_rule(gateway, 3)


@mutant("list: a shelf's restart is not noticed")
def _ignores_restarts(gateway: NvmeGateway) -> None:
    original = gateway.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        original([entry._replace(since=0.0) for entry in entries], complete, remembered)

    gateway.driver.endpoints_listed = listed  # type: ignore[method-assign]


# ---- scheduler


@mutant("module: a key does not rest after what may still run")
def _disables_key_cool_down(gateway: NvmeGateway) -> None:
    gateway.driver.scheduler.key_ordering.cool_down = 0.0


@mutant("module: keys have no turns")
def _disables_key_ordering(gateway: NvmeGateway) -> None:
    break_rule(gateway, 5)


@mutant("module: no limit")
def _disables_rate_limits(gateway: NvmeGateway) -> None:
    break_rule(gateway, 7)


@mutant("module: each head takes the whole limit for its own")
def _uses_whole_rate_limit(gateway: NvmeGateway) -> None:
    original = gateway.driver.admit
    gateway.driver.admit = lambda *a, gateways, **n: original(*a, gateways=1, **n)  # type: ignore


@mutant("module: each head takes all that a cold shelf bears for its own")
def _uses_whole_slow_start_allowance(gateway: NvmeGateway) -> None:
    gateway.driver.scheduler.slow_start.gateways = 1
    gateway.driver.scheduler.leases.enabled = False


@mutant("module: no budget of further forwards")
def _disables_retry_budget(gateway: NvmeGateway) -> None:
    retries = gateway.driver.scheduler.retries
    retries.budget = None
    retries.max_attempts = MAX_ATTEMPTS
    original = retries.may_retry

    def may_retry(request: Any) -> bool:
        attempts = request.attempts
        request.attempts = 1 if attempts < MAX_ATTEMPTS_PER_REQUEST else attempts
        allowed = original(request)
        request.attempts = attempts
        return allowed

    retries.may_retry = may_retry  # type: ignore[method-assign]


@mutant("module: a waiting transaction is not looked at again")
def _disables_request_review(gateway: NvmeGateway) -> None:
    gateway.driver.scheduler._review = lambda request: None  # type: ignore[method-assign]


@mutant("module: an irreversible transaction may go again")
def _retries_non_idempotent(gateway: NvmeGateway) -> None:
    retries = gateway.driver.scheduler.retries
    original = retries.may_retry

    def may_retry(request: Any) -> bool:
        ran_at, request.ran_at = request.ran_at, None
        allowed = original(request)
        request.ran_at = ran_at
        return allowed

    retries.may_retry = may_retry  # type: ignore[method-assign]
    retries.may_run_on = lambda request, backend: True  # type: ignore[method-assign]


@mutant("module: what is over keeps its key's line")
def _loses_next_in_key_queue(gateway: NvmeGateway) -> None:
    ordering = gateway.driver.scheduler.key_ordering
    original = ordering.next_runnable
    should_break = every_nth_call(40)
    ordering.next_runnable = lambda key: None if should_break() else original(key)  # type: ignore[method-assign]


# ---- membership


@mutant("membership: old news is believed")
def _accepts_outdated_news(gateway: NvmeGateway) -> None:
    gateway.peers.news_table._covered_by_own_list = lambda news: False  # type: ignore[method-assign]


@mutant("membership: what peers stopped is not used again")
def _never_releases_backends(gateway: NvmeGateway) -> None:
    original = gateway.peers.news_table._release

    def release(backends: list[int]) -> list[int]:
        original(backends)
        return []

    gateway.peers.news_table._release = release  # type: ignore[method-assign]


@mutant("membership: a peer's word lets a head send")
def _lets_peers_enable_sending(gateway: NvmeGateway) -> None:
    gateway.discovery._is_usable = lambda backend: True  # type: ignore[method-assign]
