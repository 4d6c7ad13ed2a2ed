"""Defects planted in heads, to learn how many seeds it takes until the worlds show each. Never part of a head
that serves. Each changes one head that has not started."""

from collections.abc import Callable, Iterable
from typing import Any

from gorsethread.gateway.attempts import Attempt
from gorsethread.gateway.first_writes import PlacementCheck
from gorsethread.gateway.interfaces import Extent
from gorsethread.gateway.open_requests import EndpointEntry, OpenRequest
from gorsethread.nvme.command import Completion, Status
from gorsethread.nvme_gateway.backend_link import BackendLink
from gorsethread.nvme_gateway.gateway import Head
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.scheduling.retries import MAX_ATTEMPTS
from gorsethread.simulation.mutant_registry import every_nth_call, registered_in, replace_outcomes
from gorsethread.simulation.rule_mutants import break_rule

Change = Callable[[Head], None]
MOST_FORWARDS = 8  # forwards of one transaction; without an end such a world would hardly get on
MUTANTS: dict[str, Change] = {}
mutant = registered_in(MUTANTS)


def _on_links(head: Head, change: Callable[[BackendLink], None]) -> None:
    """Changes each link as it is made."""
    follower: Any = head.follower
    links = follower.links
    honest = links.update

    def update(shelf: int, shard: int, address: tuple[str, int], state: str) -> None:
        before = links.driver.links.get(shelf)
        honest(shelf, shard, address, state)
        after = links.driver.links.get(shelf)
        if after is not None and after is not before:
            change(after)

    links.update = update


def _override(link: BackendLink, name: str, method: Callable[..., Any]) -> None:
    """Links have slots: another class of the same layout takes the method."""
    link.__class__ = type(
        "PlantedLink", (type(link),), {"__slots__": (), name: lambda self, *arguments: method(*arguments)}
    )


# ---- the driver


@mutant("driver: a time-out at the cut-off is lost")
def _no_deadline(head: Head) -> None:
    head.driver._time_is_up = lambda request: None  # type: ignore[method-assign]


@mutant("driver: the cut-off comes a second late")
def _late_deadline(head: Head) -> None:
    honest = head.driver.admit
    head.driver.admit = lambda *a, deadline, **n: honest(*a, deadline=deadline + 1.0, **n)  # type: ignore


@mutant("driver: a client that left is not noticed")
def _deaf_to_leaving(head: Head) -> None:
    head.driver.client_left = lambda request: None  # type: ignore[method-assign]


@mutant("driver: one forward's end in fifty is not told")
def _loses_ends(head: Head) -> None:
    honest, now = head.driver.queue_event, every_nth_call(50)

    def queue_event(method: str, *facts: Any) -> None:
        if method != "attempt_ended" or not now():
            honest(method, *facts)

    head.driver.queue_event = queue_event  # type: ignore[method-assign]


@mutant("driver: a transaction given up stays open")
def _stays_open(head: Head) -> None:
    honest = head.driver.fail

    def fail(request: int) -> None:
        t = head.driver.open_requests.get(request)
        honest(request)
        if t is not None:
            head.driver.open_requests[request] = t

    head.driver.fail = fail  # type: ignore[method-assign]


@mutant("driver: what was honoured is not told as finished")
def _never_finished(head: Head) -> None:
    honest = head.driver.queue_event

    def queue_event(method: str, *facts: Any) -> None:
        if method == "attempt_ended":
            facts = (facts[0]._replace(request_finished=False),)
        honest(method, *facts)

    head.driver.queue_event = queue_event  # type: ignore[method-assign]


@mutant("driver: gives up by pushing back")
def _pushes_back_all(head: Head) -> None:
    head.driver.fail = lambda request: head.driver.reject(  # type: ignore[method-assign]
        request, 0.1
    )


@mutant("driver: a time-out is told as never sent")
def _timed_out_never_ran(head: Head) -> None:
    replace_outcomes(head, {AttemptOutcome.TIMED_OUT: AttemptOutcome.NOT_SENT})


@mutant("driver: one wake in five is lost")
def _loses_wakes(head: Head) -> None:
    honest, now = head.driver.set_timer, every_nth_call(5)
    head.driver.set_timer = lambda delay, name: (  # type: ignore[method-assign]
        None if now() else honest(delay, name)
    )


@mutant("driver: a push-back is not answered, one in five")
def _loses_push_backs(head: Head) -> None:
    honest, now = head.driver.reject, every_nth_call(5)

    def reject(request: int, retry_after: float) -> None:
        t = head.driver.open_requests.get(request)
        if t is not None and now():
            t.answered = True
            head.driver._close(t)
        else:
            honest(request, retry_after)

    head.driver.reject = reject  # type: ignore[method-assign]


@mutant("driver: takes are counted twice, one in a hundred")
def _miscounts(head: Head) -> None:
    honest, now = head.driver.admit, every_nth_call(100)

    def take(*arguments: Any, **named: Any) -> OpenRequest:
        if now():
            head.driver.counts["requests"] += 1
        return honest(*arguments, **named)

    head.driver.admit = take  # type: ignore[method-assign]


@mutant("driver: first writes of an extent may part it")
def _parts_extents(head: Head) -> None:
    honest = head.driver.first_writes.begin

    def begin(extent: Extent, shard: int) -> PlacementCheck:
        check = honest(extent, shard)
        return PlacementCheck.BELONGS if check is PlacementCheck.ELSEWHERE else check

    head.driver.first_writes.begin = begin  # type: ignore[method-assign]


# ---- the links


@mutant("links: a broken connection is told as not reached")
def _broken_never_ran(head: Head) -> None:
    replace_outcomes(head, {AttemptOutcome.CONNECTION_LOST: AttemptOutcome.UNREACHABLE})


@mutant("links: a failure is told as turned away")
def _error_never_ran(head: Head) -> None:
    replace_outcomes(head, {AttemptOutcome.ERROR: AttemptOutcome.REJECTED})


@mutant("links: what is over is sent all the same once connected")
def _sends_what_is_over(head: Head) -> None:
    def change(link: BackendLink) -> None:
        honest = link._connect

        async def connect() -> None:
            over = [f for f in link.waiting if f.ended]
            await honest()
            for f in over:
                if link.association is not None:
                    link._submit(f)

        _override(link, "_connect", connect)

    _on_links(head, change)


@mutant("links: sends again what was out as the connection broke")
def _replays(head: Head) -> None:
    def change(link: BackendLink) -> None:
        honest = link._broke

        def broke(reason: str) -> None:
            out = list(link.out.values())
            honest(reason)
            for f in out:
                link.send(Attempt(f.request, -1, f.backend, f.sent_at, f.payload, lambda *_: None))

        _override(link, "_broke", broke)

    _on_links(head, change)


@mutant("links: an answer's data goes to the read before it, one in twenty")
def _mixes_answers(head: Head) -> None:
    kept, now = [b""], every_nth_call(20)

    def change(link: BackendLink) -> None:
        honest = link._done

        def done(f: Attempt, completion: Completion, data: bytes) -> None:
            mine = data
            if len(kept[0]) == len(data) and now():
                mine = kept[0]
            kept[0] = data
            honest(f, completion, mine)

        _override(link, "_done", done)

    _on_links(head, change)


@mutant("links: a failure is taken for a success")
def _failure_is_success(head: Head) -> None:
    def change(link: BackendLink) -> None:
        honest = link._done

        def done(f: Attempt, completion: Completion, data: bytes) -> None:
            if completion.status == Status.INTERNAL_ERROR:
                completion = completion._replace(status=Status.SUCCESS, final=False)
            honest(f, completion, data)

        _override(link, "_done", done)

    _on_links(head, change)


@mutant("links: one answer in a hundred is dropped")
def _drops_answers(head: Head) -> None:
    now = every_nth_call(100)

    def change(link: BackendLink) -> None:
        honest = link._done

        def done(f: Attempt, completion: Completion, data: bytes) -> None:
            if now():
                link.out.pop(f.cid, None)
            else:
                honest(f, completion, data)

        _override(link, "_done", done)

    _on_links(head, change)


@mutant("links: nothing is told of what was out as a link broke")
def _silent_break(head: Head) -> None:
    def change(link: BackendLink) -> None:
        def broke(reason: str) -> None:
            link.association = None
            link.out = {}

        _override(link, "_broke", broke)

    _on_links(head, change)


# ---- the codec and the client side


@mutant("codec: a completion is sent twice, one in a hundred")
def _answers_twice(head: Head) -> None:
    now = every_nth_call(100)
    honest = head.server.on_stream

    async def on_stream(stream: Any) -> None:
        write = stream.write

        def twice(data: bytes) -> None:
            write(data)
            if len(data) == 24 and data[0] == 5 and now():
                write(data)

        stream.write = twice
        await honest(stream)

    head.server.on_stream = on_stream  # type: ignore[method-assign]


@mutant("codec: a completion is lost, one in a hundred")
def _loses_completions(head: Head) -> None:
    now = every_nth_call(100)
    honest = head.server.on_stream

    async def on_stream(stream: Any) -> None:
        write = stream.write
        stream.write = lambda data: None if len(data) == 24 and data[0] == 5 and now() else write(data)
        await honest(stream)

    head.server.on_stream = on_stream  # type: ignore[method-assign]


@mutant("codec: a write's first block is off by one, one in twenty")
def _shifts_writes(head: Head) -> None:
    honest, now = head.driver.admit, every_nth_call(20)

    def take(client: Any, order: Any, **named: Any) -> OpenRequest:
        if order.data and now() and order.command.cdw10 % 64 > 1:
            order = order._replace(command=order.command._replace(cdw10=order.command.cdw10 - 1))
        return honest(client, order, **named)

    head.driver.admit = take  # type: ignore[method-assign,assignment]


@mutant("clients: a client's own patience is not heeded")
def _ignores_patience(head: Head) -> None:
    side = head.clients
    honest = side.announced

    def announced(io: Any) -> None:
        io.command = io.command._replace(cdw2=0)
        honest(io)

    side.announced = announced  # type: ignore[method-assign]


# ---- the list


@mutant("list: followed once, never again")
def _follows_once(head: Head) -> None:
    honest, asked = head.follower.follow, [0]

    def follow() -> None:
        asked[0] += 1
        if asked[0] == 1:
            honest()

    head.driver._poll_endpoint_list = follow


@mutant("list: drains are not heard")
def _deaf_to_drains(head: Head) -> None:
    break_rule(head, 3)


@mutant("list: a shelf's restart is not noticed")
def _deaf_to_restarts(head: Head) -> None:
    honest = head.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        honest([e._replace(since=0.0) for e in entries], complete, remembered)

    head.driver.endpoints_listed = listed  # type: ignore[method-assign]


# ---- the module


@mutant("module: a key does not rest after what may still run")
def _no_key_rest(head: Head) -> None:
    head.driver.scheduler.key_ordering.cool_down = 0.0


@mutant("module: keys have no turns")
def _no_turns(head: Head) -> None:
    break_rule(head, 5)


@mutant("module: no limit")
def _no_limit(head: Head) -> None:
    break_rule(head, 7)


@mutant("module: each head takes the whole limit for its own")
def _whole_limit(head: Head) -> None:
    honest = head.driver.admit
    head.driver.admit = lambda *a, gateways, **n: honest(*a, gateways=1, **n)  # type: ignore


@mutant("module: each head takes all that a cold shelf bears for its own")
def _whole_cold_part(head: Head) -> None:
    head.driver.scheduler.slow_start.gateways = 1
    head.driver.scheduler.leases.enabled = False


@mutant("module: no budget of further forwards")
def _no_budget(head: Head) -> None:
    retries = head.driver.scheduler.retries
    retries.budget = None
    retries.max_attempts = MAX_ATTEMPTS
    honest = retries.may_retry

    def may_retry(request: Any) -> bool:
        request.attempts, kept = 1 if request.attempts < MOST_FORWARDS else request.attempts, request.attempts
        may = honest(request)
        request.attempts = kept
        return may

    retries.may_retry = may_retry  # type: ignore[method-assign]


@mutant("module: a waiting transaction is not looked at again")
def _no_looks(head: Head) -> None:
    head.driver.scheduler._review = lambda request: None  # type: ignore[method-assign]


@mutant("module: an irreversible transaction may go again")
def _goes_again(head: Head) -> None:
    retries = head.driver.scheduler.retries
    honest = retries.may_retry

    def may_retry(request: Any) -> bool:
        ran, request.ran_at = request.ran_at, None
        may = honest(request)
        request.ran_at = ran
        return may

    retries.may_retry = may_retry  # type: ignore[method-assign]
    retries.may_run_on = lambda request, backend: True  # type: ignore[method-assign]


@mutant("module: what is over keeps its key's line")
def _line_stays(head: Head) -> None:
    ordering = head.driver.scheduler.key_ordering
    honest = ordering.next_runnable
    now = every_nth_call(40)
    ordering.next_runnable = lambda key: None if now() else honest(key)  # type: ignore[method-assign]


# ---- membership


@mutant("membership: old news is believed")
def _believes_old_news(head: Head) -> None:
    head.peers.core._covered_by_own_list = lambda news: False  # type: ignore[method-assign]


@mutant("membership: what peers stopped is not used again")
def _never_freed(head: Head) -> None:
    honest = head.peers.core._release

    def freed(backends: list[int]) -> list[int]:
        honest(backends)
        return []

    head.peers.core._release = freed  # type: ignore[method-assign]


@mutant("membership: a peer's word lets a head send")
def _peers_let_it_send(head: Head) -> None:
    head.follower._usable = lambda s: True  # type: ignore[method-assign]
