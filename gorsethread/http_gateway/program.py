"""Assembles the gateway in service and runs it to its end."""

from dataclasses import replace
from typing import Any

from gorsethread.errors import GorsethreadError
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.linktable import LinkTable
from gorsethread.gateway.messages import Messages
from gorsethread.http_gateway.backends import BackendLink
from gorsethread.http_gateway.clients import ClientSide
from gorsethread.http_gateway.config import Configuration, Unusable, read_configuration
from gorsethread.http_gateway.discovery import Discovery
from gorsethread.http_gateway.pool import ConnectionPool
from gorsethread.transport.base import Listener, Transport

CLIENTS_PART, BACKENDS_PART = 0.5, 0.4  # of the descriptors; the rest is for discovery and the program itself
SWEEP_EVERY = 0.25  # seconds
REPORT_EVERY = 10.0  # seconds: logs are counts, not a line for each bad client
STILL_COMING = 0.5  # seconds after SIGTERM that new connections may come
KILL_AFTER, LONGEST_COUNTED = 0.7, 3.0  # it is killed no sooner than its clients' longest wait and this later
SPARE = 0.35  # seconds before that by which it has ended
FIRST_LIST_WITHIN = 1.5  # seconds that a process whose agent is sent the list waits for it before it serves
LAST_ANSWERS = 0.4  # seconds that what is open at the end may still take
LONGEST_WAIT = 2.4  # seconds that a call of discovery may wait for news; its answer may come later


class CannotListen(GorsethreadError):
    """An address that the configuration names can't be listened on."""

    action = "See what else uses that address, or name another in the file GW_CONFIG names, and start anew."


class NoPlacement:
    """The platform's requests name their shard; a new object's later ones do."""

    def shard_of(self, volume: int, extent: int) -> int:
        raise AssertionError("nothing is placed here")

    def placed(self, volume: int, extent: int, shard: int) -> None:
        raise AssertionError("nothing is placed here")

    def released(self, volume: int, extent: int) -> None:
        raise AssertionError("nothing is placed here")


class Gateway:
    """path: of the configuration, read again at SIGHUP."""

    def __init__(self, transport: Transport, configuration: Configuration, path: str, log: Any) -> None:
        self.transport, self.configuration, self.path, self.log = transport, configuration, path, log
        links = LinkTable(lambda backend, address: BackendLink(self.pool, backend, address))
        wait = min(LONGEST_WAIT, 0.5 * configuration.facts.poll_within or LONGEST_WAIT)
        self.discovery = Discovery(transport, configuration.discovery, configuration.naming, links, wait, log)
        self.driver = Driver(
            transport, configuration.facts, configuration.seed, NoPlacement(), self.discovery.follow, log
        )
        self.discovery.driver = links.driver = self.driver
        self.pool = ConnectionPool(
            transport,
            self.driver.links,
            int(configuration.sockets * BACKENDS_PART),
            configuration.dial_within,
            configuration.idle,
            log,
        )
        self.discovery.pool = self.pool
        self.pool.may_begin = self.driver.scheduler.may_begin_attempt
        self.clients = ClientSide(
            transport, self.driver, configuration.naming, int(configuration.sockets * CLIENTS_PART), log
        )
        self.messages: Messages | None = None
        if configuration.peer_listen is not None:
            self.messages = Messages(
                transport,
                configuration.peer_listen,
                configuration.peers,
                configuration.facts.gateway_index,
                self.driver.peer_told,
            )
            self.driver.teller = self.messages.tell
        self._listener: Listener | None = None
        self._told_to_end = self.ended = False

    def start(self) -> None:
        """CannotListen where an address can't be had; it ends the program where that shows only later."""
        if self.messages is not None:
            try:
                self.messages.start()
            except OSError as error:
                raise CannotListen(str(error)) from error
        if self.configuration.pushed:
            # Guards against requests sent by an old list to backends that the agent knows as drained or gone.
            self.discovery.first_call_over = self._serve_late
            self.transport.at(self.transport.now() + FIRST_LIST_WITHIN, self._serve_late)
        self.discovery.start(self.configuration.known)
        if not self.configuration.pushed:
            self._serve()
        self._sweep()
        self._report()

    def _serve_late(self) -> None:
        if self._listener is None and not self._told_to_end:
            self._serve()

    def _serve(self) -> None:
        clients = self.clients
        try:
            self._listener = self.transport.listen(
                *self.configuration.listen, clients.on_stream, clients.admits
            )
        except OSError as error:
            raise CannotListen(str(error)) from error
        self.log.info(
            "gateway serves",
            address=f"{self.configuration.listen[0]}:{self.configuration.listen[1]}",
            backends=len(self.discovery.known),
        )

    def reload(self) -> None:
        """Reads the configuration again; of it, what a running gateway can follow is where discovery is."""
        try:
            configuration = read_configuration(self.transport.load(self.path), self.path)
        except Unusable as error:
            self.log.error(
                "the new configuration can't be used; the old one stands", reason=str(error), do=error.action
            )
            return
        # All else stays as this process was started with: requests in flight were taken under it.
        self.configuration = replace(self.configuration, discovery=configuration.discovery)
        self.log.info(
            "configuration read again", discovery=f"{configuration.discovery[0]}:{configuration.discovery[1]}"
        )
        if configuration.discovery != self.discovery.address:
            self.discovery.moved(configuration.discovery)

    async def end(self) -> None:
        """In order: serves on while it may, as clients go on using the connections they have and find no
        other gateway; then only what is open, each to its answer before the gateway is killed."""
        self._count("gateway ends")
        self._told_to_end = True
        if self._listener is not None:
            await self._serve_to_the_end(self._listener)
        self.ended = True
        self.discovery.stop()
        if self.messages is not None:
            self.messages.stop()
        for link in list(self.pool.links.values()):
            link.close()
        self._count("gateway ended")

    async def _serve_to_the_end(self, listener: Listener) -> None:
        """Serves on for most of the time there is, then answers what is open."""
        lasts = min(self.configuration.longest, LONGEST_COUNTED) + KILL_AFTER - SPARE
        self.clients.end_by = self.transport.now() + lasts
        self.driver.ends_by(self.clients.end_by)
        await self.transport.sleep(max(STILL_COMING, lasts - LAST_ANSWERS))
        self.clients.ending = True
        listener.close()
        while self.clients.holds_any():
            self.clients.close_idle()
            await self.transport.sleep(0.02)

    def _sweep(self) -> None:
        if not self.ended:
            self.clients.sweep()
            self.pool.sweep()
            self.transport.at(self.transport.now() + SWEEP_EVERY, self._sweep)

    def _report(self) -> None:
        if not self.ended:
            self._count("counts")
            self.transport.at(self.transport.now() + REPORT_EVERY, self._report)

    def _count(self, what: str) -> None:
        counts = {name.replace(" ", "_"): n for name, n in sorted(self.driver.counts.items())}
        messages = dict(self.messages.counts) if self.messages is not None else {}
        self.log.info(
            what,
            open=len(self.driver.open),
            clients=len(self.clients.connections),
            backend_connections=self.pool.held,
            opened=self.pool.opened,
            waiting=len(self.pool.waiting),
            wrong=self.clients.report(),
            spoilt=self.pool.report(),
            messages=messages,
            **counts,
        )
