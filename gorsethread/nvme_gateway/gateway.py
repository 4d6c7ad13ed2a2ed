"""Assembles an NVMe gateway from a site file, starts it and shuts it down."""

from dataclasses import replace
from typing import Any

from gorsethread.durable_log.records import NO_SEQUENCE
from gorsethread.gateway.backend_links import BackendLinks
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.interfaces import Extent
from gorsethread.nvme.subsystem import Subsystem
from gorsethread.nvme_gateway.backend_link import BackendLink
from gorsethread.nvme_gateway.client_side import ClientSide, TenantVolumes
from gorsethread.nvme_gateway.discovery import DiscoveryClient
from gorsethread.nvme_gateway.extent_placement import SitePlacement
from gorsethread.nvme_gateway.latency_accounting import AccountingSnapshots
from gorsethread.nvme_gateway.offline.offline_writes import OfflineWrites
from gorsethread.nvme_gateway.offline.operator_queries import as_json
from gorsethread.nvme_gateway.peers import PeerMessaging
from gorsethread.nvme_gateway.replay_receiver import ReplayReceiver
from gorsethread.nvme_gateway.replica_server import ReplicaServer
from gorsethread.nvme_gateway.replicated_log import ReplicatedLog
from gorsethread.nvme_gateway.scheduler_settings import settings_from_site
from gorsethread.nvme_transport.controller_server import QueueServer
from gorsethread.nvme_transport.host_connection import AssociationNames
from gorsethread.recovery.spacing import ConnectionSlots
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Transport

RETRY_DELAYS = (0.1, 0.3)  # seconds, in addition to the longest retry delay of the site file


class NvmeGateway:
    """One gateway of a site, with all its parts.

    Attributes:
        discovery: Watches the endpoint list.
        peers: Exchanges messages with the other gateways.
        driver: Carries out the scheduler's decisions.
        clients: Handles the clients' commands.
        server: Accepts the clients' connections.
        accounting: Saves latency snapshots; None if they are off.
        replicated_log: This gateway's durable log; None without a folder for it.
        replica_server: Stores the replicas of other gateways' logs; None without a folder for them.
        branch: The offline writes, if this is a branch's gateway.
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        number: int,
        seed: int,
        remember: str,
        log: Any,
        max_connections: int = 0,
        accounts: str = "",
        window: float = 10.0,
        records: str = "",
        peers_listen: str = "",
    ) -> None:
        """Assembles the gateway.

        Args:
            number: Its number in the site file.
            seed: Seed of its random draws.
            remember: File that keeps the last endpoint list, or "".
            max_connections: Clients' connections to accept; 0 for the site file's number.
            accounts: Folder for a latency snapshot of each window, or "" for no accounting.
            window: Seconds of a window.
            records: Folder for the durable log and the replicas of other gateways' logs, or "".
            peers_listen: Address on which other gateways' messages are received, if it differs from the one
                by which they know this gateway (behind a forwarder).
        """
        self.transport, self.site, self.number, self.log = transport, site, number, log
        placement = SitePlacement(site)
        self.branch: OfflineWrites | None = None
        host_name = f"nqn.2026-12.org.gorsethread:head:{number}"
        names = AssociationNames(site.subsystem, host_name, number.to_bytes(16, "little"))
        link_settings = site.links
        rank, gateways = sum(h.number < number for h in site.head), len(site.head)
        slots = ConnectionSlots(link_settings.opens, rank, gateways)
        links = BackendLinks(
            lambda backend, address: BackendLink(
                transport,
                backend,
                address,
                names,
                link_settings.connect_within,
                link_settings.queue_size,
                link_settings.digests,
                log,
                connect_delay=lambda: slots.reserve(transport.wall_time()),
                link_observer=self.branch,
            )
        )
        self.discovery = DiscoveryClient(transport, site.list.address, number, remember, links, log)
        self.peers = self.discovery.peers = PeerMessaging(
            transport, site, number, self.discovery, log, peers_listen
        )
        settings = replace(
            settings_from_site(site),
            gateway_index=self.peers.gateway_numbers.index(number),
            may_send_messages=self.peers.all_gateways_have_peers,
        )
        self.driver = Driver(transport, settings, seed, placement, self.discovery.watch, log)
        self.discovery.driver = links.driver = self.driver
        self.peers.driver = self.driver
        self.driver.peer_sender = self.peers.send_scheduler_message
        delays = tuple(sorted({*RETRY_DELAYS, max(RETRY_DELAYS[-1], site.rules.longest_return)}))
        admits = TenantVolumes(site, number).admits
        self.subsystem = Subsystem(
            site.subsystem, admits, f"head-{number}", "gorsethread", site.links.largest_bytes, delays
        )
        self.clients = ClientSide(transport, site, self.driver, placement, self.subsystem, log)
        self.server = QueueServer(
            transport, self.subsystem, self.clients, max_connections or site.links.connections, log
        )
        self.accounting: AccountingSnapshots | None = None
        if accounts:
            self.accounting = AccountingSnapshots(transport, site, number, self.driver, accounts, window, log)
        self.replicated_log: ReplicatedLog | None = None
        self.replica_server: ReplicaServer | None = None
        if records:
            self.replicated_log = ReplicatedLog(
                transport, site, number, records, placement, self.peers.alive_gateways, log
            )
            self.replica_server = ReplicaServer(transport, site, number, records, log, peers_listen)
            self.driver.placement_log = self.clients.placement_log = self.replicated_log
            if site.branch:
                self._set_up_branch(placement)
        self.port = 0

    def _set_up_branch(self, placement: SitePlacement) -> None:
        """Sets up offline writes at a branch's gateway, and the receiver of their replay at the main site."""
        assert self.replicated_log is not None and self.replica_server is not None
        if any(self.number in b.head for b in self.site.branch):

            def has_open_write(extent: Extent) -> bool:
                return any(request.written_extent == extent for request in self.driver.open_requests.values())

            replica_server = self.replica_server

            def replica_position(origin: int) -> tuple[int, int]:
                replica = replica_server.replica_of(origin)
                return replica.store.table.last if replica.up_to_date else NO_SEQUENCE

            branch = self.branch = self.clients.branch = OfflineWrites(
                self.transport,
                self.site,
                self.number,
                self.replicated_log,
                self.peers.alive_gateways,
                has_open_write,
                replica_position,
                self.log,
            )
            self.replica_server.answer_operator_query = lambda query: as_json(branch.answer(query))
            self.replica_server.on_records_stored = branch.records_stored
        else:
            receiver = ReplayReceiver(
                self.transport, self.site, self.replicated_log, self.driver, placement, self.log
            )
            self.replica_server.on_branch_message = receiver.message_received

    def start(self) -> None:
        """Starts all parts and listens for clients.

        Raises:
            OSError: An address cannot be bound.
            FolderInUseError: Another process has locked the folder of the durable log.
            UnusableSegmentError: The folder is another gateway's, or has another format version.
        """
        address = next(h.address for h in self.site.head if h.number == self.number)
        host, port = split_address(address)
        if self.replicated_log is not None and self.replica_server is not None:
            self.replicated_log.open()
            self.replica_server.start()
        self.discovery.start()
        self.peers.start()
        if self.replicated_log is not None:
            self.replicated_log.start()
        if self.branch is not None:
            self.branch.start()
        self._listener = self.transport.listen(host, port, self.server.on_stream)
        self.port = self._listener.port
        self.log.info("gateway serves", address=f"{host}:{self.port}")

    async def end(self) -> None:
        """Shuts down gracefully.

        Accepts no new connections or commands, waits until the open ones are answered, at the latest at their
        deadlines, and stops all parts.
        """
        self.clients.draining = True
        self.server.closing = True
        self._listener.close()
        self.log.info("gateway ends", open=len(self.driver.open_requests))
        while any(not request.answered for request in self.driver.open_requests.values()):
            await self.transport.sleep(0.02)
        for connection in list(self.server.connections):
            if connection.stream.unsent:
                await self.transport.sleep(0.1)
                break
        if self.accounting:
            self.accounting.end()
        self.discovery.stop()
        if self.branch is not None:
            self.branch.stop()
        if self.replicated_log is not None and self.replica_server is not None:
            self.replicated_log.stop()
            self.replica_server.stop()
        self.peers.stop()
        self.server.stop("the gateway is shutting down")
        for link in self.driver.links.values():
            link.close()
        self.log.info(
            "gateway ended",
            **{name.replace(" ", "_"): count for name, count in sorted(self.driver.counts.items())},
        )
