"""Assembles the parts of the HTTP gateway, starts them and shuts them down."""

from dataclasses import replace
from typing import Any

from gorsethread.errors import GorsethreadError
from gorsethread.gateway.backend_links import BackendLinks
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.peer_messages import PeerMessages
from gorsethread.http_gateway.addresses import UnusableConfigurationError
from gorsethread.http_gateway.backend_link import BackendLink
from gorsethread.http_gateway.client_side import ClientSide
from gorsethread.http_gateway.configuration import Configuration, read_configuration
from gorsethread.http_gateway.connection_pool import ConnectionPool
from gorsethread.http_gateway.discovery import Discovery
from gorsethread.http_gateway.endpoint_updates import EndpointUpdates
from gorsethread.http_gateway.memory_budget import MemoryBudget, divide_memory
from gorsethread.http_gateway.memory_monitor import MemoryMonitor
from gorsethread.http_gateway.recent_ids import RecentIds
from gorsethread.transport.base import Listener, Transport
from gorsethread.transport.loop_iterations import Iteration

# Fractions of the permitted sockets; the rest is for discovery and the program itself.
CLIENTS_FRACTION = 0.5
BACKENDS_FRACTION = 0.4
SWEEP_INTERVAL_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 10.0  # bad clients are logged as counts, not one line each
NEW_CONNECTIONS_SECONDS = 0.5  # after SIGTERM, for which new connections are accepted at least
# The platform kills a gateway no sooner than its clients' longest wait plus this time after SIGTERM.
KILL_AFTER_SECONDS = 0.7
MAX_COUNTED_WAIT_SECONDS = 3.0
KILL_MARGIN_SECONDS = 0.35  # before the kill, by which the gateway has ended
FIRST_LIST_SECONDS = 1.5  # longest wait for the agent's list before serving, where lists are pushed
LAST_ANSWERS_SECONDS = 0.4  # for open requests, after new ones are no longer accepted
LAST_ANSWERS_POLL_SECONDS = 0.02
# The platform allows a gateway to be held up for so long between reading its clock and writing.
HOLD_UP_SECONDS = 0.15
MAX_WATCH_WAIT_SECONDS = 2.4  # of a call for changes; its answer may arrive later


class ListenError(GorsethreadError):
    """The gateway can't listen on an address of the configuration."""

    action = "Find what else uses that address, or change it in the file that GW_CONFIG names; then restart."


class NoPlacement:
    """Places nothing: the platform's requests name their shard, except those for a new object.

    Later requests for that object name its shard.
    """

    def shard_of(self, volume: int, extent: int) -> int:
        """Never called."""
        raise NotImplementedError

    def placed(self, volume: int, extent: int, shard: int) -> None:
        """Never called."""
        raise NotImplementedError

    def released(self, volume: int, extent: int) -> None:
        """Never called."""
        raise NotImplementedError


class Gateway:
    """One gateway, from its start to its shutdown, which closes the listener.

    Args:
        transport: the clock, the connections and the files.
        configuration: as read at the start.
        path: the path of the configuration file, which is read again at SIGHUP.
        log: for structured events.
    """

    def __init__(self, transport: Transport, configuration: Configuration, path: str, log: Any) -> None:
        self.transport = transport
        self.configuration = configuration
        self.path = path
        self.log = log
        self.ended = False
        self._ending = False
        self._listener: Listener | None = None
        links = BackendLinks(lambda backend, address: BackendLink(self.pool, backend, address))
        memory_limits = divide_memory(configuration.memory)
        settings = replace(configuration.scheduler_settings, max_volumes=memory_limits.volumes)
        updates = EndpointUpdates(transport, configuration.request_names.zones, links)
        wait = min(MAX_WATCH_WAIT_SECONDS, 0.5 * settings.poll_within or MAX_WATCH_WAIT_SECONDS)
        self.discovery = Discovery(transport, configuration.discovery, updates, wait, log)
        self.driver = Driver(
            transport, settings, configuration.seed, NoPlacement(), self.discovery.follow, log
        )
        links.driver = self.driver
        updates.driver = self.driver
        self.budget = MemoryBudget(memory_limits.connection_bytes)
        self.memory = MemoryMonitor(transport, configuration.memory, log)
        self.pool = self._connection_pool()
        updates.pool = self.pool
        self.pool.may_begin = self.driver.scheduler.may_begin_attempt
        self.clients = ClientSide(
            transport,
            self.driver,
            configuration.request_names,
            min(int(configuration.sockets * CLIENTS_FRACTION), memory_limits.clients),
            self.budget,
            RecentIds(memory_limits.ids),
            log,
        )
        self.peer_messages = self._make_peer_messages()

    def _connection_pool(self) -> ConnectionPool:
        return ConnectionPool(
            self.transport,
            self.driver.links,
            int(self.configuration.sockets * BACKENDS_FRACTION),
            self.configuration.connect_timeout,
            self.configuration.idle_timeout,
            self.budget,
            self.log,
        )

    def _make_peer_messages(self) -> PeerMessages | None:
        """Returns the exchange of messages with other gateways, or None if it is not configured."""
        configuration = self.configuration
        if configuration.peer_listen is None:
            return None
        messages = PeerMessages(
            self.transport,
            configuration.peer_listen,
            configuration.peers,
            configuration.scheduler_settings.gateway_index,
            self.driver.peer_message_received,
        )
        self.driver.peer_sender = messages.send
        return messages

    # ---- start

    def start(self) -> None:
        """Starts all parts.

        Raises ListenError if an address can't be bound. If the gateway starts to listen only later, the error
        is raised in the event loop and ends the program.
        """
        if self.peer_messages is not None:
            try:
                self.peer_messages.start()
            except OSError as error:
                raise ListenError(str(error)) from error
        if self.configuration.pushed:
            # Waits for the agent's list: by an older one, requests could go to draining or gone backends.
            self.discovery.on_first_call_ended = self._serve_unless_started
            self.transport.call_at(self.transport.now() + FIRST_LIST_SECONDS, self._serve_unless_started)
        self.discovery.start(self.configuration.known_endpoints)
        if not self.configuration.pushed:
            self._serve()
        self._sweep()
        self._report()
        self.transport.watch_iterations(HOLD_UP_SECONDS, self._log_hold_up)

    def _serve_unless_started(self) -> None:
        if self._listener is None and not self._ending:
            self._serve()

    def _serve(self) -> None:
        host, port = self.configuration.listen
        try:
            self._listener = self.transport.listen(
                host, port, self.clients.on_stream, self.clients.admit_connection
            )
        except OSError as error:
            raise ListenError(str(error)) from error
        self.log.info("gateway serves", address=f"{host}:{port}", backends=len(self.discovery.updates.known))

    def reload(self) -> None:
        """Reads the configuration again and applies only a changed address of discovery.

        Everything else stays as at the start, because requests in flight were admitted under it.
        """
        try:
            configuration = read_configuration(self.transport.load(self.path), self.path)
        except UnusableConfigurationError as error:
            self.log.error(
                "new configuration is unusable; keeping the old one", reason=str(error), do=error.action
            )
            return
        address = configuration.discovery
        self.configuration = replace(self.configuration, discovery=address)
        self.log.info("configuration read again", discovery=f"{address[0]}:{address[1]}")
        if address != self.discovery.address:
            self.discovery.move_to(address)

    # ---- end

    async def end(self) -> None:
        """Shuts down in an orderly way, before the platform kills the process.

        The gateway continues to serve for as long as it can, because clients keep using their connections and
        find no other gateway; after that it only answers open requests.
        """
        self._log_counts("gateway ends")
        self._ending = True
        if self._listener is not None:
            await self._serve_until_end(self._listener)
        self.ended = True
        self.discovery.stop()
        if self.peer_messages is not None:
            self.peer_messages.stop()
        for link in list(self.pool.links.values()):
            link.close()
        self._log_counts("gateway ended")

    async def _serve_until_end(self, listener: Listener) -> None:
        """Serves for most of the remaining time, then closes the listener and answers open requests."""
        longest_wait = min(self.configuration.longest_wait, MAX_COUNTED_WAIT_SECONDS)
        remaining = longest_wait + KILL_AFTER_SECONDS - KILL_MARGIN_SECONDS
        self.clients.end_by = self.transport.now() + remaining
        self.driver.shutting_down_by(self.clients.end_by)
        await self.transport.sleep(max(NEW_CONNECTIONS_SECONDS, remaining - LAST_ANSWERS_SECONDS))
        self.clients.ending = True
        listener.close()
        while self.clients.has_connections():
            self.clients.close_idle()
            await self.transport.sleep(LAST_ANSWERS_POLL_SECONDS)

    # ---- periodic work

    def _sweep(self) -> None:
        if not self.ended:
            self.clients.sweep()
            self.pool.sweep()
            self.memory.sample()
            self.transport.call_at(self.transport.now() + SWEEP_INTERVAL_SECONDS, self._sweep)

    def _report(self) -> None:
        if not self.ended:
            self._log_counts("counts")
            self.transport.call_at(self.transport.now() + REPORT_INTERVAL_SECONDS, self._report)

    def _log_hold_up(self, iteration: Iteration) -> None:
        self.log.warning(
            "the event loop was held up",
            seconds=round(iteration.seconds, 3),
            longest_work=iteration.work,
            work_seconds=round(iteration.work_seconds, 3),
        )

    def _log_counts(self, event: str) -> None:
        counts = {name.replace(" ", "_"): count for name, count in sorted(self.driver.counts.items())}
        messages = dict(self.peer_messages.counts) if self.peer_messages is not None else {}
        self.log.info(
            event,
            open=len(self.driver.open_requests),
            clients=len(self.clients.connections),
            closed_clients=self.clients.closed_connections.take_report(),
            backend_connections=self.pool.open_connections,
            opened=self.pool.opened_total,
            waiting=len(self.pool.waiting),
            invalid_requests=self.clients.report(),
            invalid_answers=self.pool.report(),
            messages=messages,
            volumes=len(self.driver.scheduler.queueing.volumes),
            remembered_ids=len(self.clients.recent_ids),
            held_bytes=self.budget.held,
            most_held_bytes=self.budget.take_peak(),
            **self.memory.report(),
            longest_iteration_ms=round(self.transport.take_longest_iteration().seconds * 1000),
            **counts,
        )
