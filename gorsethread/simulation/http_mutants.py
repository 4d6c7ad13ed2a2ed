"""Mutants of HTTP gateways: they show how many seeds the simulation needs to detect each defect.

Each function changes one gateway that has not been started. Never part of a gateway in production.
"""

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

Mutation = Callable[[Gateway], None]
HTTP_MUTANTS: dict[str, Mutation] = {}
mutant = registered_in(HTTP_MUTANTS)


def _on_links(gateway: Gateway, change: Callable[[backend_link.BackendLink], None]) -> None:
    """Calls change with each link right after it is created."""
    links = gateway.discovery.updates.links
    original = links._make_link

    def make_link(backend: int, address: tuple[str, int]) -> Any:
        link = original(backend, address)
        change(link)
        return link

    links._make_link = make_link


def _on_clients(gateway: Gateway, change: Callable[[Any], None]) -> None:
    """Calls change with each client connection when its first request arrives."""
    original, changed = gateway.clients.handle_request, set[int]()

    def handle_request(connection: Any, request: Any) -> None:
        if id(connection) not in changed:
            changed.add(id(connection))
            change(connection)
        original(connection, request)

    gateway.clients.handle_request = handle_request  # type: ignore[method-assign]


# ---- backend links


@mutant("shelves: a connection that ended under a request counts as never reached")
def _reports_lost_connections_as_unreachable(gateway: Gateway) -> None:
    replace_outcomes(gateway, {AttemptOutcome.CONNECTION_LOST: AttemptOutcome.UNREACHABLE})


@mutant("shelves: a spoilt answer counts as turned away")
def _reports_errors_as_rejections(gateway: Gateway) -> None:
    replace_outcomes(gateway, {AttemptOutcome.ERROR: AttemptOutcome.REJECTED})


@mutant("shelves: a time-out counts as never sent")
def _reports_timeouts_as_not_sent(gateway: Gateway) -> None:
    replace_outcomes(gateway, {AttemptOutcome.TIMED_OUT: AttemptOutcome.NOT_SENT})


@mutant("shelves: a forward called off leaves its connection in use")
def _reuses_connections_of_cancelled_attempts(gateway: Gateway) -> None:
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

    _on_links(gateway, change)


@mutant("shelves: a connection that brought more than its answer is used again")
def _reuses_connections_with_extra_bytes(gateway: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        original = link._answered

        def answered(connection: Any, answer: client_codec.Response) -> None:
            trailing = connection.codec._wire.trailing_data[0]
            if answer.closes_connection and trailing and not connection.closed:
                # As a codec without the check would: the extra bytes are read as the next response.
                connection.codec = _LeftoverBytesCodec(bytes(trailing))
                answer = answer._replace(closes_connection=False)
            original(connection, answer)

        link._answered = answered  # type: ignore[method-assign]

    _on_links(gateway, change)


class _LeftoverBytesCodec(client_codec.ClientCodec):
    """Reads the bytes left over from earlier as the response to each request, instead of those received."""

    def __init__(self, leftover: bytes) -> None:
        super().__init__()
        self._leftover = leftover

    def feed(self, data: bytes) -> client_codec.Response | None:
        earlier, self._leftover = self._leftover, data
        return super().feed(earlier)


@mutant("shelves: what broke is sent once more by the link itself")
def _resends_after_connection_loss(gateway: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        original, resent = link.end, set[int]()

        def end(attempt: Any, outcome: AttemptOutcome, *details: Any) -> None:
            if (
                outcome is AttemptOutcome.CONNECTION_LOST
                and attempt.request not in resent
                and not attempt.ended
            ):
                resent.add(attempt.request)
                link.send(attempt)
            else:
                original(attempt, outcome, *details)

        link.end = end  # type: ignore[method-assign, assignment]

    _on_links(gateway, change)


@mutant("shelves: what waits for a connection is sent though the shelf drains")
def _sends_to_draining_backends(gateway: Gateway) -> None:
    gateway.pool.update_unready = lambda unready: None  # type: ignore[method-assign]
    gateway.pool.max_connections = 3


@mutant("shelves: connections are not counted as they end")
def _leaks_connection_count(gateway: Gateway) -> None:
    def change(link: backend_link.BackendLink) -> None:
        original = link.close_connection

        def close_connection(connection: Any) -> Any:
            before = link.pool.open_connections
            attempt = original(connection)
            link.pool.open_connections = before
            return attempt

        link.close_connection = close_connection  # type: ignore[method-assign]

    _on_links(gateway, change)


@mutant("shelves: an answer of any length and form is believed")
def _accepts_any_response(gateway: Gateway) -> None:
    class Trusting(client_codec.ClientCodec):
        def feed(self, data: bytes) -> client_codec.Response | None:
            header_section, split, body = data.partition(b"\r\n\r\n")
            self.awaiting_response = False
            return client_codec.Response(200, [], body if split else header_section, True)

    def change(link: backend_link.BackendLink) -> None:
        original = link._submit

        def submit(connection: Any, attempt: Any) -> None:
            original(connection, attempt)
            connection.codec.__class__ = Trusting

        link._submit = submit  # type: ignore[method-assign]

    _on_links(gateway, change)


# ---- client side


@mutant("clients: one that left is not noticed")
def _ignores_departed_clients(gateway: Gateway) -> None:
    gateway.driver.client_left = lambda request: None  # type: ignore[method-assign]


@mutant("clients: the cut-off counts from the head's start of work, half a second late")
def _delays_deadlines(gateway: Gateway) -> None:
    original = gateway.driver.admit
    gateway.driver.admit = (  # type: ignore[method-assign]
        lambda *a, deadline, **n: original(*a, deadline=deadline + 0.5, **n)
    )


@mutant("clients: what is given up is answered as pushed back")
def _rejects_instead_of_failing(gateway: Gateway) -> None:
    gateway.driver.fail = lambda request: gateway.driver.reject(request, 0.1)  # type: ignore[method-assign]


@mutant("clients: some are answered twice")
def _answers_twice(gateway: Gateway) -> None:
    def change(connection: Any) -> None:
        original = connection.__class__.answer
        if connection.__class__.__name__ == "Twice":
            return

        class Twice(connection.__class__):  # type: ignore[misc]
            __slots__ = ()

            def answer(self, status: int, headers: Any, body: bytes) -> None:
                original(self, status, headers, body)
                if status == 503 and not self.ended:
                    self.stream.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

        connection.__class__ = Twice

    _on_clients(gateway, change)


@mutant("clients: one given up in four is never answered")
def _loses_rejections(gateway: Gateway) -> None:
    original, count = gateway.driver.reject, [0]

    def reject(request: int, retry_after: float) -> None:
        count[0] += 1
        open_request = gateway.driver.open_requests.get(request)
        if open_request is not None and count[0] % 4 == 0:
            open_request.answered = True
            gateway.driver.open_requests.pop(request)
        else:
            original(request, retry_after)

    gateway.driver.reject = reject  # type: ignore[method-assign]


@mutant("clients: two ways to tell a length are not refused")
def _accepts_ambiguous_lengths(gateway: Gateway) -> None:
    class Trusting(server_codec.ServerCodec):
        def _begin(self, request: h11.Request) -> None:
            headers = list(request.headers)
            self._request = server_codec.Request(request.method, request.target, headers, b"")

    original = gateway.clients.on_stream

    async def on_stream(stream: Any) -> None:
        before = set(gateway.clients.connections)

        def mutate_new_connections() -> None:
            for connection in set(gateway.clients.connections) - before:
                connection.codec.__class__ = Trusting

        gateway.transport.call_soon(mutate_new_connections)
        await original(stream)

    gateway.clients.on_stream = on_stream  # type: ignore[method-assign]


@mutant("clients: half a request is waited for without end")
def _never_sweeps_connections(gateway: Gateway) -> None:
    gateway.clients.sweep = lambda: None  # type: ignore[method-assign]


@mutant("clients: a connection just answered on is closed")
def _closes_idle_connections_early(gateway: Gateway) -> None:
    original = gateway.clients.sweep

    def sweep() -> None:
        original()
        gateway.clients.close_idle()

    gateway.clients.sweep = sweep  # type: ignore[method-assign]


# ---- discovery and signals


@mutant("discovery: drains are not heard")
def _ignores_drains(gateway: Gateway) -> None:
    original = gateway.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        original([entry._replace(ready=True) for entry in entries], complete, remembered)

    gateway.driver.endpoints_listed = listed  # type: ignore[method-assign]
    gateway.pool.update_unready = lambda unready: None  # type: ignore[method-assign]


@mutant("discovery: starts are not heard")
def _ignores_restarts(gateway: Gateway) -> None:
    original = gateway.driver.endpoints_listed

    def listed(entries: Iterable[EndpointEntry], complete: bool, remembered: bool) -> None:
        original([entry._replace(since=0.0) for entry in entries], complete, remembered)

    gateway.driver.endpoints_listed = listed  # type: ignore[method-assign]


@mutant("discovery: once refused it is never asked again")
def _never_polls_again(gateway: Gateway) -> None:
    gateway.driver.endpoint_poll_failed = lambda waited=0.0: None  # type: ignore[method-assign]


@mutant("discovery: one change in three is passed over")
def _skips_updates(gateway: Gateway) -> None:
    original, count = gateway.discovery.updates.apply, [0]

    def apply(instances: ListAnswer, complete: bool, remembered: bool) -> None:
        count[0] += 1
        if complete or count[0] % 3:
            original(instances, complete, remembered)  # type: ignore[arg-type]

    gateway.discovery.updates.apply = apply  # type: ignore[method-assign, assignment]


@mutant("signals: told to end, it ends at once")
def _shuts_down_at_once(gateway: Gateway) -> None:
    async def shut_down() -> None:
        if gateway._listener is not None:
            gateway._listener.close()
        for connection in list(gateway.clients.connections):
            connection.end("answered")

    gateway.end = shut_down  # type: ignore[method-assign]


@mutant("signals: told to end, what was open keeps its own deadline")
def _keeps_deadlines_at_shutdown(gateway: Gateway) -> None:
    gateway.driver.shutting_down_by = lambda when: None  # type: ignore[method-assign]


@mutant("signals: told to end, it serves on for good")
def _never_shuts_down(gateway: Gateway) -> None:
    async def shut_down() -> None:
        await gateway.transport.sleep(1e6)

    gateway.end = shut_down  # type: ignore[method-assign]


# ---- slow-start leases


@mutant("lending: a home lends from its first moment, as if no earlier life had")
def _grants_leases_at_once(gateway: Gateway) -> None:
    leases = gateway.driver.scheduler.leases
    original = leases.grant

    def grant(shard: int, units: float, age: float) -> bool:
        started_at, leases.started_at = leases.started_at, -1e9
        granted = original(shard, units, age)
        leases.started_at = started_at
        return granted

    leases.grant = grant  # type: ignore[method-assign]


@mutant("lending: what was lent counts for half of the span")
def _forgets_grants_early(gateway: Gateway) -> None:
    gateway.driver.scheduler.leases.grants_kept_for *= 0.5


@mutant("lending: a doubled answer lends twice")
def _accepts_lease_responses_twice(gateway: Gateway) -> None:
    leases = gateway.driver.scheduler.leases
    original = leases.accept

    def accept(backend: Backend) -> None:
        number = backend.lease.request_number
        original(backend)
        backend.lease.request_number = number

    leases.accept = accept  # type: ignore[method-assign]


@mutant("shelves: what waited for its connection is sent whenever that comes up")
def _sends_late_when_connected(gateway: Gateway) -> None:
    gateway.pool.may_begin = lambda request, backend, decided, now: True


@mutant("lending: every head is each shelf's home")
def _treats_every_gateway_as_lease_holder(gateway: Gateway) -> None:
    leases = gateway.driver.scheduler.leases
    leases.holder = lambda shard: gateway.configuration.scheduler_settings.gateway_index  # type: ignore[method-assign]


@mutant("lending: each head takes all that a cold shelf bears")
def _uses_whole_slow_start_allowance(gateway: Gateway) -> None:
    gateway.driver.scheduler.leases.enabled = False
    gateway.driver.scheduler.slow_start.gateways = 1


@mutant("clients: the room of connections that were refused or ended is not given back")
def _leaks_connection_slots(gateway: Gateway) -> None:
    original = gateway.clients.admit_connection

    def admit_connection() -> bool:
        gateway.clients.max_connections -= 1
        return original()

    gateway.clients.admit_connection = admit_connection  # type: ignore[method-assign]
