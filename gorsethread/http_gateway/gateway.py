"""Assembles the gateway in service and runs it to its end."""

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
from gorsethread.transport.base import Listener, Transport

# Of the descriptors; the rest is for discovery and the program itself.
CLIENTS_PART = 0.5
BACKENDS_PART = 0.4
SWEEP_INTERVAL_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 10.0  # logs are counts, not a line for each bad client
NEW_CONNECTIONS_SECONDS = 0.5  # after SIGTERM, in which new connections may come
# After SIGTERM the platform kills a gateway no sooner than its clients' longest wait and this later.
KILL_AFTER_SECONDS = 0.7
LONGEST_WAIT_COUNTED_SECONDS = 3.0
SPARE_SECONDS = 0.35  # before that by which it has ended
FIRST_LIST_SECONDS = 1.5  # that a process whose agent is sent the list waits for it before it serves
LAST_ANSWERS_SECONDS = 0.4  # that what is open at the end may still take
LAST_ANSWERS_POLL_SECONDS = 0.02
WATCH_WAIT_MOST_SECONDS = 2.4  # that a call of discovery may wait for a change; its answer may come later


class ListenError(GorsethreadError):
    """An address that the configuration names can't be listened on."""

    action = "See what else uses that address, or name another in the file GW_CONFIG names, and start anew."


class NoPlacement:
    """The platform's requests name their shard; a new object's later ones do. Nothing is placed here."""

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
    """One gateway's parts, from its start to its end.

    Owns the listener, which the end closes, and the parts, which empty their own tables.

    Args:
        transport: the clock, the connections and the files.
        configuration: as read at the start.
        path: of the configuration, which is read again at SIGHUP.
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
        settings = configuration.scheduler_settings
        updates = EndpointUpdates(transport, configuration.request_names.zones, links)
        wait = min(WATCH_WAIT_MOST_SECONDS, 0.5 * settings.poll_within or WATCH_WAIT_MOST_SECONDS)
        self.discovery = Discovery(transport, configuration.discovery, updates, wait, log)
        self.driver = Driver(
            transport, settings, configuration.seed, NoPlacement(), self.discovery.follow, log
        )
        links.driver = self.driver
        updates.driver = self.driver
        self.pool = self._connection_pool()
        updates.pool = self.pool
        self.pool.may_begin = self.driver.scheduler.may_begin_attempt
        clients_most = int(configuration.sockets * CLIENTS_PART)
        self.clients = ClientSide(transport, self.driver, configuration.request_names, clients_most, log)
        self.messages = self._messages()

    def _connection_pool(self) -> ConnectionPool:
        return ConnectionPool(
            self.transport,
            self.driver.links,
            int(self.configuration.sockets * BACKENDS_PART),
            self.configuration.connect_timeout,
            self.configuration.idle_timeout,
            self.log,
        )

    def _messages(self) -> PeerMessages | None:
        """The way to other gateways, where the configuration has one."""
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

        Raises ListenError where an address can't be had; it ends the program where that shows only later.
        """
        if self.messages is not None:
            try:
                self.messages.start()
            except OSError as error:
                raise ListenError(str(error)) from error
        if self.configuration.pushed:
            # By an old list, requests could go to backends that the agent knows as draining or gone.
            self.discovery.first_call_over = self._serve_late
            self.transport.call_at(self.transport.now() + FIRST_LIST_SECONDS, self._serve_late)
        self.discovery.start(self.configuration.known)
        if not self.configuration.pushed:
            self._serve()
        self._sweep()
        self._report()

    def _serve_late(self) -> None:
        if self._listener is None and not self._ending:
            self._serve()

    def _serve(self) -> None:
        host, port = self.configuration.listen
        try:
            self._listener = self.transport.listen(host, port, self.clients.on_stream, self.clients.admits)
        except OSError as error:
            raise ListenError(str(error)) from error
        self.log.info("gateway serves", address=f"{host}:{port}", backends=len(self.discovery.updates.known))

    def reload(self) -> None:
        """Reads the configuration again; a running gateway takes over where discovery is.

        All else stays as this process was started with: requests in flight were taken under it.
        """
        try:
            configuration = read_configuration(self.transport.load(self.path), self.path)
        except UnusableConfigurationError as error:
            self.log.error(
                "the new configuration can't be used; the old one stands", reason=str(error), do=error.action
            )
            return
        address = configuration.discovery
        self.configuration = replace(self.configuration, discovery=address)
        self.log.info("configuration read again", discovery=f"{address[0]}:{address[1]}")
        if address != self.discovery.address:
            self.discovery.moved(address)

    # ---- end

    async def end(self) -> None:
        """Ends in order, before the platform kills the process.

        It serves on while it may, as clients go on using the connections they have and find no other
        gateway; then only what is open is answered.
        """
        self._log_counts("gateway ends")
        self._ending = True
        if self._listener is not None:
            await self._serve_until_end(self._listener)
        self.ended = True
        self.discovery.stop()
        if self.messages is not None:
            self.messages.stop()
        for link in list(self.pool.links.values()):
            link.close()
        self._log_counts("gateway ended")

    async def _serve_until_end(self, listener: Listener) -> None:
        """Serves on for most of the time there is, then answers what is open."""
        longest = min(self.configuration.longest_wait, LONGEST_WAIT_COUNTED_SECONDS)
        remaining = longest + KILL_AFTER_SECONDS - SPARE_SECONDS
        self.clients.end_by = self.transport.now() + remaining
        self.driver.shutting_down_by(self.clients.end_by)
        await self.transport.sleep(max(NEW_CONNECTIONS_SECONDS, remaining - LAST_ANSWERS_SECONDS))
        self.clients.ending = True
        listener.close()
        while self.clients.holds_any():
            self.clients.close_idle()
            await self.transport.sleep(LAST_ANSWERS_POLL_SECONDS)

    # ---- what recurs

    def _sweep(self) -> None:
        if not self.ended:
            self.clients.sweep()
            self.pool.sweep()
            self.transport.call_at(self.transport.now() + SWEEP_INTERVAL_SECONDS, self._sweep)

    def _report(self) -> None:
        if not self.ended:
            self._log_counts("counts")
            self.transport.call_at(self.transport.now() + REPORT_INTERVAL_SECONDS, self._report)

    def _log_counts(self, event: str) -> None:
        counts = {name.replace(" ", "_"): count for name, count in sorted(self.driver.counts.items())}
        messages = dict(self.messages.counts) if self.messages is not None else {}
        self.log.info(
            event,
            open=len(self.driver.open),
            clients=len(self.clients.connections),
            backend_connections=self.pool.held,
            opened=self.pool.opened,
            waiting=len(self.pool.waiting),
            invalid_requests=self.clients.report(),
            invalid_answers=self.pool.report(),
            messages=messages,
            **counts,
        )
