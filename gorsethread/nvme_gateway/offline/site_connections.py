"""Streams to gateways of the main site, with heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gorsethread.durable_log.replica_placement import weight
from gorsethread.durable_log.replication_messages import MessageReader, ProtocolError, encode
from gorsethread.nvme_gateway.offline.branch_settings import BranchSettings
from gorsethread.nvme_gateway.replication_topology import CONNECT_TIMEOUT as CONNECT_TIMEOUT
from gorsethread.offline_writes import messages
from gorsethread.offline_writes.link_monitor import LinkMonitor
from gorsethread.offline_writes.primaries import PROBED_GATEWAYS
from gorsethread.transport.base import Stream, StreamClosed, Transport, Unreachable

HEARTBEAT_INTERVAL = 0.5  # seconds
MAX_SILENCE = 2.0  # seconds without any message, after which a stream is closed and reopened
RECONNECT_INTERVAL = 0.5  # seconds between two attempts to open a stream


@dataclass(frozen=True)
class ConnectionEvents:
    """Callbacks of the connections.

    Attributes:
        reply_received: Called with a gateway's reply to a query or a write; raises ProtocolError if invalid.
        connection_lost: Called with a gateway when the stream to it has ended.
        progress: Returns the progress messages, sent on each new stream, and with the heartbeats if they have
            changed.
    """

    reply_received: Callable[[int, messages.ReplayReply], None]
    connection_lost: Callable[[int], None]
    progress: Callable[[], list[messages.ReplayProgress]]


@dataclass
class SiteConnection:
    """A connection to one gateway of the main site; times in seconds of the transport's clock."""

    stream: Stream | None = None
    is_connecting: bool = False
    last_message_at: float = 0.0
    last_heartbeat_at: float = 0.0
    last_attempt_at: float = float("-inf")
    heartbeats: int = 0
    reported: list[messages.ReplayProgress] = field(default_factory=list)  # on this stream


class SiteConnections:
    """Owns the connections to gateways of the main site, at most one for each.

    Args:
        transport: Provides streams and the time.
        settings: Settings of this gateway.
        link: Notified of requests sent and answers received.
        alive_gateways: Returns the gateways that membership does not consider dead.
        events: Callbacks.
        logger: Logs why a connection failed or ended.
    """

    def __init__(
        self,
        transport: Transport,
        settings: BranchSettings,
        link: LinkMonitor,
        alive_gateways: Callable[[], list[int]],
        events: ConnectionEvents,
        logger: Any,
    ) -> None:
        self._transport = transport
        self._settings = settings
        self._link = link
        self._alive_gateways = alive_gateways
        self._events = events
        self._logger = logger
        self._connections: dict[int, SiteConnection] = {}

    def is_open(self, gateway: int) -> bool:
        """Returns whether messages can be sent to the gateway."""
        connection = self._connections.get(gateway)
        return connection is not None and connection.stream is not None

    def send(self, gateway: int, message: msgspec.Struct) -> None:
        """Sends a message if the connection is open; drops it otherwise."""
        connection = self._connections.get(gateway)
        if connection is not None and connection.stream is not None:
            connection.stream.write(encode(message))

    def announce_progress(self) -> None:
        """Sends the replay progress to all connected gateways."""
        for gateway in self._connections:
            self._send_progress(gateway)

    def maintain(self, now: float) -> None:
        """Maintains the open connections and those to the probed gateways; call it several times a second."""
        is_open = [gateway for gateway, known in self._connections.items() if known.stream is not None]
        for gateway in sorted({*self._gateways_to_probe(), *is_open}):
            self.keep_open(gateway, now)

    def keep_open(self, gateway: int, now: float) -> None:
        """Opens the connection, sends a heartbeat on it, or closes it after MAX_SILENCE, whatever is due."""
        connection = self._connections.setdefault(gateway, SiteConnection())
        if connection.stream is None:
            if not connection.is_connecting and now >= connection.last_attempt_at + RECONNECT_INTERVAL:
                connection.is_connecting = True
                connection.last_attempt_at = now
                self._link.request_sent(now)
                self._transport.spawn(self._connect(gateway, connection))
        elif now - connection.last_message_at > MAX_SILENCE:
            connection.stream.close()
        elif now - connection.last_heartbeat_at >= HEARTBEAT_INTERVAL:
            connection.last_heartbeat_at = now
            connection.heartbeats += 1
            self._link.request_sent(now)
            connection.stream.write(encode(messages.Heartbeat(connection.heartbeats)))
            # The main site tracks each applied write until it is reported completed, and only so many.
            if self._events.progress() != connection.reported:
                self._send_progress(gateway)

    def close(self) -> None:
        """Closes the open connections."""
        for connection in self._connections.values():
            if connection.stream is not None:
                connection.stream.close()

    def _gateways_to_probe(self) -> list[int]:
        """Returns the gateways to probe, alive ones first.

        Probing a dead gateway would look like a disconnected link. The choice also depends on this gateway's
        number, to spread the probes of many branches.
        """
        alive = set(self._alive_gateways())
        ranked = sorted(
            self._settings.main_site,
            key=lambda gateway: (gateway not in alive, weight(self._settings.gateway, gateway)),
        )
        return ranked[:PROBED_GATEWAYS]

    async def _connect(self, gateway: int, connection: SiteConnection) -> None:
        try:
            stream = await self._transport.connect(*self._settings.main_site[gateway], CONNECT_TIMEOUT)
        except Unreachable as error:
            connection.is_connecting = False
            self._logger.debug("main site is unreachable", gateway=gateway, reason=str(error))
            return
        connection.stream = stream
        connection.is_connecting = False
        connection.last_message_at = self._transport.now()
        try:
            await self._exchange_messages(gateway, connection, stream)
        except (StreamClosed, ProtocolError) as error:
            self._logger.debug("connection to the main site ended", gateway=gateway, reason=str(error))
        finally:
            connection.stream = None
            stream.close()
            self._events.connection_lost(gateway)

    async def _exchange_messages(self, gateway: int, connection: SiteConnection, stream: Stream) -> None:
        """Exchanges messages until the stream ends with StreamClosed or ProtocolError."""
        reader = MessageReader(messages.DECODER)
        stream.write(encode(messages.BranchHello(self._settings.fleet, self._settings.gateway)))
        self._send_progress(gateway)
        while True:
            for message in reader.feed(await stream.read()):
                connection.last_message_at = self._transport.now()
                self._link.answer_received(connection.last_message_at)
                if isinstance(message, messages.ReplayReply):
                    self._events.reply_received(gateway, message)

    def _send_progress(self, gateway: int) -> None:
        progress = self._events.progress()
        self._connections[gateway].reported = progress
        for message in progress:
            self.send(gateway, message)
