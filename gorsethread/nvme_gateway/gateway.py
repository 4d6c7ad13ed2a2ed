"""Assembles a head from a site file and runs it to its end."""

from dataclasses import replace
from typing import Any

from gorsethread.durable_log.records import NO_SEQUENCE
from gorsethread.gateway.backend_links import BackendLinks
from gorsethread.gateway.driver import Driver
from gorsethread.gateway.interfaces import Extent
from gorsethread.nvme.command import Opcode
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

RETRY_DELAYS = (0.1, 0.3)  # beside the site's longest return time


class NvmeGateway:
    """remember: file that keeps the last list; accounts: folder for a snapshot of each window (seconds);
    records: folder for what others rely on, and for copies of others'. peers_listen: where other heads'
    messages come in, if that is not the address by which they know this one (behind a forwarder)."""

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
        self.transport, self.site, self.number, self.log = transport, site, number, log
        placement = SitePlacement(site)
        self.branch: OfflineWrites | None = None
        host_name = f"nqn.2026-12.org.gorsethread:head:{number}"
        names, known = AssociationNames(site.subsystem, host_name, number.to_bytes(16, "little")), site.links
        rank, heads = sum(h.number < number for h in site.head), len(site.head)
        opens = ConnectionSlots(known.opens, rank, heads)
        links = BackendLinks(
            lambda shelf, address: BackendLink(
                transport,
                shelf,
                address,
                names,
                known.connect_within,
                known.queue_size,
                known.digests,
                log,
                opens=lambda: opens.reserve(transport.wall_time()),
                signs=self.branch,
            )
        )
        self.discovery = DiscoveryClient(transport, site.list.address, number, remember, links, log)
        self.peers = self.discovery.peers = PeerMessaging(
            transport, site, number, self.discovery, log, peers_listen
        )
        facts = replace(
            settings_from_site(site),
            gateway_index=self.peers.heads.index(number),
            may_send_messages=self.peers.all_may_tell,
        )
        self.driver = Driver(transport, facts, seed, placement, self.discovery.follow, log)
        self.discovery.driver = links.driver = self.driver
        self.peers.driver = self.driver
        self.driver.peer_sender = self.peers.tell
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
                transport, site, number, records, placement, self.peers.living, log
            )
            self.replica_server = ReplicaServer(transport, site, number, records, log, peers_listen)
            self.driver.placement_log = self.clients.placement_log = self.replicated_log
            if site.branch:
                self._branches(placement)
        self.port = 0

    def _branches(self, placement: SitePlacement) -> None:
        assert self.replicated_log is not None and self.replica_server is not None
        if any(self.number in b.head for b in self.site.branch):

            def writes_at(place: Extent) -> bool:
                return any(
                    t.extent == place and t.payload.command.opcode == Opcode.WRITE
                    for t in self.driver.open_requests.values()
                )

            holding = self.replica_server

            def copy(origin: int) -> tuple[int, int]:
                held = holding.replica_of(origin)
                return held.store.table.last if held.up_to_date else NO_SEQUENCE

            branch = self.branch = self.clients.branch = OfflineWrites(
                self.transport,
                self.site,
                self.number,
                self.replicated_log,
                self.peers.living,
                writes_at,
                copy,
                self.log,
            )
            self.replica_server.answer_operator_query = lambda asked: as_json(branch.answer(asked))
            self.replica_server.on_records_stored = branch.records_stored
        else:
            side = ReplayReceiver(
                self.transport, self.site, self.replicated_log, self.driver, placement, self.log
            )
            self.replica_server.on_branch_message = side.message_received

    def start(self) -> None:
        """OSError where its address can't be had, InUse or Unusable where its records can't be."""
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
        """In order: no new connections or commands, open ones answered by their cut-offs, then the end."""
        self.clients.draining = True
        self.server.closing = True
        self._listener.close()
        self.log.info("gateway ends", open=len(self.driver.open_requests))
        while any(not t.answered for t in self.driver.open_requests.values()):
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
        self.server.stop("the gateway ends")
        for link in self.driver.links.values():
            link.close()
        self.log.info(
            "gateway ended", **{k.replace(" ", "_"): v for k, v in sorted(self.driver.counts.items())}
        )
