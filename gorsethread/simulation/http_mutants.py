"""Defects planted in heads on the operators' platform, to learn how many seeds it takes until the worlds show
each. Never part of a head that serves. Each changes one head that has not started."""

from collections.abc import Callable, Iterable
from typing import Any

import h11

from gorsethread.gateway.open_requests import EndpointEntry
from gorsethread.http1 import client_codec, server_codec
from gorsethread.http_gateway import backend_link
from gorsethread.http_gateway.endpoint_list import ListAnswer
from gorsethread.http_gateway.gateway import Gateway
from gorsethread.scheduling.model import AttemptOutcome, Backend
from gorsethread.simulation.mutant_registry import registered_in, replace_outcomes

Change = Callable[[Gateway], None]
HTTP_MUTANTS: dict[str, Change] = {}
mutant = registered_in(HTTP_MUTANTS)


def _on_links(head: Gateway, change: Callable[[backend_link.BackendLink], None]) -> None:
    """Changes each link as it is made."""
    links = head.discovery.updates.links
    honest = links._make_link

    def make(shelf: int, address: tuple[str, int]) -> Any:
        link = honest(shelf, address)
        change(link)
        return link

    links._make_link = make


def _on_clients(head: Gateway, change: Callable[[Any], None]) -> None:
    """Changes each client's connection as its first request comes."""
    honest, changed = head.clients.handle_request, set[int]()

    def handle_request(connection: Any, request: Any) -> None:
        if id(connection) not in changed:
            changed.add(id(connection))
            change(connection)
        honest(connection, request)

    head.clients.handle_request = handle_request  # type: ignore[method-assign]


# ---- towards shelves


@mutant("shelves: a connection that ended under a request counts as never reached")
def _broken_as_unreached(head: Gateway) -> None:
    replace_outcomes(head, {AttemptOutcome.CONNECTION_LOST: AttemptOutcome.UNREACHABLE})


@mutant("shelves: a spoilt answer counts as turned away")
def _spoilt_as_turned_away(head: Gateway) -> None:
    replace_outcomes(head, {AttemptOutcome.ERROR: AttemptOutcome.REJECTED})


@mutant("shelves: a time-out counts as never sent")
def _timed_out_as_unsent(head: Gateway) -> None:
    replace_outcomes(head, {AttemptOutcome.TIMED_OUT: AttemptOutcome.NOT_SENT})


@mutant("shelves: a forward called off leaves its connection in use")
def _keeps_called_off(head: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        def cancel(attempt: Any) -> None:
            connection = link.pool.busy.pop(attempt.request, None)
            if connection is not None and connection.attempt is attempt:
                connection.attempt = None
                link.attempts_out -= 1
                connection.codec.awaiting_response = False
                link._keep_idle(connection)
            link.end(attempt, AttemptOutcome.CANCELLED)

        link.cancel = cancel  # type: ignore[method-assign]

    _on_links(head, change)


@mutant("shelves: a connection that brought more than its answer is used again")
def _uses_noisy(head: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        honest = link._answered

        def answered(connection: Any, answer: client_codec.Response) -> None:
            if answer.closes_connection and not connection.closed:
                # What a codec without the check would do: the bytes behind stand for the next answer.
                more = connection.codec._wire.trailing_data[0]
                connection.codec = _Stale(bytes(more))
                answer = answer._replace(closes_connection=False)
            honest(connection, answer)

        link._answered = answered  # type: ignore[method-assign]

    _on_links(head, change)


class _Stale(client_codec.ClientCodec):
    """Answers its next request with what came before."""

    def __init__(self, more: bytes) -> None:
        super().__init__()
        self._more = more

    def feed(self, data: bytes) -> client_codec.Response | None:
        data, self._more = self._more + data, b""
        return super().feed(data)


@mutant("shelves: what broke is sent once more by the link itself")
def _sends_again(head: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        honest, again = link.end, set[int]()

        def end(f: Any, how: AttemptOutcome, *told: Any) -> None:
            if how is AttemptOutcome.CONNECTION_LOST and f.request not in again and not f.ended:
                again.add(f.request)
                link.send(f)
            else:
                honest(f, how, *told)

        link.end = end  # type: ignore[method-assign, assignment]

    _on_links(head, change)


@mutant("shelves: what waits for a connection is sent though the shelf drains")
def _sends_to_drained(head: Gateway) -> None:
    head.pool.update_unready = lambda unready: None  # type: ignore[method-assign]
    head.pool.max_connections = 3


@mutant("shelves: connections are not counted as they end")
def _never_counts_down(head: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        honest = link.close_connection

        def close_connection(connection: Any) -> Any:
            before = link.pool.open_connections
            f = honest(connection)
            link.pool.open_connections = before
            return f

        link.close_connection = close_connection  # type: ignore[method-assign]

    _on_links(head, change)


@mutant("shelves: an answer of any length and form is believed")
def _believes_all(head: Gateway) -> None:
    class Trusting(client_codec.ClientCodec):
        def feed(self, data: bytes) -> client_codec.Response | None:
            head_, split, body = data.partition(b"\r\n\r\n")
            self.awaiting_response = False
            return client_codec.Response(200, [], body if split else head_, True)

    def change(link: backend_link.BackendLink) -> None:
        honest = link._submit

        def submit(connection: Any, attempt: Any) -> None:
            honest(connection, attempt)
            connection.codec.__class__ = Trusting

        link._submit = submit  # type: ignore[method-assign]

    _on_links(head, change)


# ---- towards clients


@mutant("clients: one that left is not noticed")
def _deaf_to_leaving(head: Gateway) -> None:
    head.driver.client_left = lambda request: None  # type: ignore[method-assign]


@mutant("clients: the cut-off counts from the head's start of work, half a second late")
def _late_deadline(head: Gateway) -> None:
    honest = head.driver.admit
    head.driver.admit = (  # type: ignore[method-assign]
        lambda *a, deadline, **n: honest(*a, deadline=deadline + 0.5, **n)
    )


@mutant("clients: what is given up is answered as pushed back")
def _gives_up_as_pushed(head: Gateway) -> None:
    head.driver.fail = lambda request: head.driver.reject(  # type: ignore[method-assign]
        request, 0.1
    )


@mutant("clients: some are answered twice")
def _answers_twice(head: Gateway) -> None:
    def change(connection: Any) -> None:
        honest = connection.__class__.answer
        if connection.__class__.__name__ == "Twice":
            return

        class Twice(connection.__class__):  # type: ignore[misc]
            __slots__ = ()

            def answer(self, status: int, headers: Any, body: bytes) -> None:
                honest(self, status, headers, body)
                if status == 503 and not self.ended:
                    self.stream.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

        connection.__class__ = Twice

    _on_clients(head, change)


@mutant("clients: one given up in four is never answered")
def _forgets_some(head: Gateway) -> None:
    honest, count = head.driver.reject, [0]

    def reject(request: int, retry_after: float) -> None:
        count[0] += 1
        t = head.driver.open_requests.get(request)
        if t is not None and count[0] % 4 == 0:
            t.answered = True
            head.driver.open_requests.pop(request)
        else:
            honest(request, retry_after)

    head.driver.reject = reject  # type: ignore[method-assign]


@mutant("clients: two ways to tell a length are not refused")
def _two_lengths(head: Gateway) -> None:
    class Trusting(server_codec.ServerCodec):
        def _begin(self, request: h11.Request) -> None:
            self._header_section = b""
            self._request = request

    def on(connection: Any) -> None:
        connection.codec.__class__ = Trusting

    honest = head.clients.on_stream

    async def on_stream(stream: Any) -> None:
        before = set(head.clients.connections)

        def soon() -> None:
            for connection in set(head.clients.connections) - before:
                on(connection)

        head.transport.call_soon(soon)
        await honest(stream)

    head.clients.on_stream = on_stream  # type: ignore[method-assign]


@mutant("clients: half a request is waited for without end")
def _waits_for_ever(head: Gateway) -> None:
    head.clients.sweep = lambda: None  # type: ignore[method-assign]


@mutant("clients: a connection just answered on is closed")
def _closes_early(head: Gateway) -> None:
    honest = head.clients.sweep

    def sweep() -> None:
        honest()
        head.clients.close_idle()

    head.clients.sweep = sweep  # type: ignore[method-assign]


# ---- discovery and signals


@mutant("discovery: drains are not heard")
def _deaf_to_drains(head: Gateway) -> None:
    honest = head.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        honest([e._replace(ready=True) for e in entries], complete, remembered)

    head.driver.endpoints_listed = listed  # type: ignore[method-assign]
    head.pool.update_unready = lambda unready: None  # type: ignore[method-assign]


@mutant("discovery: starts are not heard")
def _deaf_to_starts(head: Gateway) -> None:
    honest = head.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        honest([e._replace(since=0.0) for e in entries], complete, remembered)

    head.driver.endpoints_listed = listed  # type: ignore[method-assign]


@mutant("discovery: once refused it is never asked again")
def _asks_once(head: Gateway) -> None:
    head.driver.endpoint_poll_failed = lambda waited=0.0: None  # type: ignore[method-assign]


@mutant("discovery: one change in three is passed over")
def _skips_changes(head: Gateway) -> None:
    honest, count = head.discovery.updates.apply, [0]

    def pass_on(instances: ListAnswer, whole: bool, remembered: bool) -> None:
        count[0] += 1
        if whole or count[0] % 3:
            honest(instances, whole, remembered)  # type: ignore[arg-type]

    head.discovery.updates.apply = pass_on  # type: ignore[method-assign, assignment]


@mutant("signals: told to end, it ends at once")
def _ends_at_once(head: Gateway) -> None:
    async def end() -> None:
        if head._listener is not None:
            head._listener.close()
        for connection in list(head.clients.connections):
            connection.end()

    head.end = end  # type: ignore[method-assign]


@mutant("signals: told to end, what was open keeps its own deadline")
def _keeps_deadlines_at_the_end(head: Gateway) -> None:
    head.driver.shutting_down_by = lambda when: None  # type: ignore[method-assign]


@mutant("signals: told to end, it serves on for good")
def _never_ends(head: Gateway) -> None:
    async def end() -> None:
        await head.transport.sleep(1e6)

    head.end = end  # type: ignore[method-assign]


# ---- the lent part of a cold shelf


@mutant("lending: a home lends from its first moment, as if no earlier life had")
def _lends_at_once(head: Gateway) -> None:
    leases = head.driver.scheduler.leases
    honest = leases.grant

    def grant(shard: int, units: float, age: float) -> bool:
        started_at, leases.started_at = leases.started_at, -1e9
        granted = honest(shard, units, age)
        leases.started_at = started_at
        return granted

    leases.grant = grant  # type: ignore[method-assign]


@mutant("lending: what was lent counts for half of the span")
def _lending_forgotten(head: Gateway) -> None:
    head.driver.scheduler.leases.grants_kept_for *= 0.5


@mutant("lending: a doubled answer lends twice")
def _lends_twice(head: Gateway) -> None:
    leases = head.driver.scheduler.leases
    honest = leases.accept

    def accept(backend: Backend) -> None:
        number = backend.lease.request_number
        honest(backend)
        backend.lease.request_number = number

    leases.accept = accept  # type: ignore[method-assign]


@mutant("shelves: what waited for its connection is sent whenever that comes up")
def _sends_when_up(head: Gateway) -> None:
    head.pool.may_begin = lambda request, shelf, decided, now: True


@mutant("lending: every head is each shelf's home")
def _all_homes(head: Gateway) -> None:
    head.driver.scheduler.leases.holder = lambda shard: head.configuration.scheduler_settings.gateway_index  # type: ignore[method-assign]


@mutant("lending: each head takes all that a cold shelf bears")
def _takes_all(head: Gateway) -> None:
    head.driver.scheduler.leases.enabled = False
    head.driver.scheduler.slow_start.gateways = 1


@mutant("clients: the room of connections that were refused or ended is not given back")
def _room_kept(head: Gateway) -> None:
    honest = head.clients.admit_connection

    def admit_connection() -> bool:
        head.clients.max_connections -= 1
        return honest()

    head.clients.admit_connection = admit_connection  # type: ignore[method-assign]
