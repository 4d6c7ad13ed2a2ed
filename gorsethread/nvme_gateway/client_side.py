"""Handles the commands of clients: classifies each one, admits it to the driver and answers it once."""

from typing import Any, NamedTuple

from gorsethread.gateway.driver import Driver
from gorsethread.gateway.interfaces import UNPLACED, Extent, Placement, PlacementLog
from gorsethread.gateway.open_requests import OpenRequest
from gorsethread.nvme.command import SGL_IN_CAPSULE, Completion, Opcode, Status
from gorsethread.nvme.subsystem import BLOCK, Namespace, Subsystem
from gorsethread.nvme_gateway.backend_link import BackendCommand
from gorsethread.nvme_gateway.scheduler_settings import RequestClassifier, request_units
from gorsethread.nvme_transport.controller_server import IoCommand
from gorsethread.site_config import site_pb2 as pb
from gorsethread.transport.base import Timer, Transport

MILLISECOND = 0.001


class TenantVolumes:
    """The volumes that each host may use through this gateway."""

    def __init__(self, site: pb.Site, gateway: int) -> None:
        self._tenants = {host: t.name for t in site.tenant for host in t.host}
        self._volumes: dict[str, list[Namespace]] = {t.name: [] for t in site.tenant}
        for v in site.volume:
            if gateway in v.head:
                self._volumes[v.tenant].append(Namespace(v.number, v.blocks, v.extent_blocks))

    def admits(self, host: str) -> list[Namespace] | None:
        """Returns the namespaces of a host NQN, or None if the host is unknown."""
        tenant = self._tenants.get(host)
        return None if tenant is None else self._volumes[tenant]


class PendingCommand:
    """A client's command, from the arrival of its capsule until it is answered.

    Attributes:
        request_class: Index of its request class in the site file.
        deadline: Time in seconds of the transport's clock by which it is answered.
        timer: Set while the data of a write is awaited.
        open_request: The driver's record; None before admission and after the answer.
        data: Data of a write, kept at a branch's gateway to record what the blocks contain.
    """

    __slots__ = ("side", "io", "deadline", "timer", "open_request", "request_class", "data")

    def __init__(self, side: "ClientSide", io: IoCommand, request_class: int, deadline: float) -> None:
        self.side, self.io, self.request_class, self.deadline = side, io, request_class, deadline
        self.timer: Timer | None = None
        self.open_request: OpenRequest | None = None
        self.data = b""

    def succeeded(self, shard: int, data: bytes) -> None:
        """Answers with success and tells the client the extent's shard."""
        self.open_request = None  # breaks a reference cycle; see Connection.answer
        if self.side.branch is not None:
            self.side.branch.blocks_observed(
                self.io.command.nsid, self.io.command.first_block, self.data or data
            )
        self.io.answer(Completion(0, dw0=shard + 1), data)

    def served(self, shard: int, data: bytes) -> None:
        """Answers a read from writes that are queued at this branch and not yet on a backend."""
        self.io.answer(Completion(0, dw0=shard + 1), data)

    def accepted(self) -> None:
        """Answers a write that a disconnected branch has queued and will apply later; names no shard."""
        self.io.answer(Completion(0))

    def rejected(self, retry_after: float) -> None:
        """Rejects the command; the client may retry after retry_after seconds.

        The time is sent rounded up to one of the controller's retry delays, and exactly in a vendor field.
        """
        self.open_request = None
        delays = self.side.subsystem.retry_delays
        retry = 0
        if retry_after > 0 and delays:
            retry = next((n for n, d in enumerate(delays, 1) if d >= retry_after), len(delays))
        self.side.log.debug(
            "command rejected", volume=self.io.command.nsid, retry_after=round(retry_after, 3)
        )
        self.io.answer(Completion(0, Status.COMMAND_INTERRUPTED, retry=retry, dw1=round(retry_after * 1000)))

    def failed(self) -> None:
        """Fails the command for good: the client must not retry it."""
        self.open_request = None
        self.side.log.debug("command failed", volume=self.io.command.nsid)
        self.io.answer(Completion(0, Status.INTERNAL_ERROR, do_not_retry=True))


class VolumeSettings(NamedTuple):
    """The settings of a volume that each of its commands needs.

    Attributes:
        tier: Name of its service tier.
        tier_number: Index of its service tier in the site file.
        extent_blocks: Blocks of an extent.
        gateways: Number of gateways through which the volume is reached.
    """

    number: int
    tier: str
    tier_number: int
    extent_blocks: int
    gateways: int


class ClientSide:
    """Handles the I/O commands that the gateway's server receives.

    Attributes:
        draining: The gateway is shutting down, and rejects new commands.
        placement_log: Makes the extents' placements durable; None if they are not to survive a restart.
        branch: At a branch's gateway, its OfflineWrites (offline/offline_writes.py).
    """

    def __init__(
        self,
        transport: Transport,
        site: pb.Site,
        driver: Driver,
        placement: Placement,
        subsystem: Subsystem,
        log: Any,
    ) -> None:
        self.transport, self.driver, self.placement = transport, driver, placement
        self.subsystem, self.log = subsystem, log
        self._classifier = RequestClassifier(site)
        self._slack = site.rules.answer_slack
        self._unit_bytes = site.links.unit_bytes
        self._timeouts = [p.cut_off for p in site.profile]
        self._ordered = [p.in_order for p in site.profile]
        tiers = {p.name: n for n, p in enumerate(site.plan)}
        self._volumes = {
            v.number: VolumeSettings(v.number, v.plan, tiers[v.plan], v.extent_blocks, len(v.head))
            for v in site.volume
        }
        self._shards = {s.shard for s in site.shelf}
        self.draining = False
        self.placement_log: PlacementLog | None = None
        self.branch: Any = None

    def command_announced(self, io: IoCommand) -> None:
        """Classifies the command and sets its deadline; while draining, rejects it."""
        command = io.command
        if self.draining:
            # The command has not run, so the client may safely retry it at another gateway.
            io.answer(Completion(0, Status.COMMAND_INTERRUPTED))
            return
        tier = self._volumes[command.nsid].tier
        request_class = self._classifier.classify(tier, command.opcode, command.blocks * BLOCK, command.hints)
        max_timeout = self._timeouts[request_class]
        timeout = min(command.client_timeout, max_timeout) if command.client_timeout else max_timeout
        pending = PendingCommand(
            self, io, request_class, io.arrived + max(MILLISECOND, timeout - self._slack)
        )
        io.owner_state = pending
        if command.opcode == Opcode.WRITE and command.sgl_type != SGL_IN_CAPSULE:
            pending.timer = self.transport.call_at(pending.deadline, lambda: self._data_timed_out(pending))

    def _data_timed_out(self, pending: PendingCommand) -> None:
        """Fails a write whose data did not arrive before its deadline; no part of it has run."""
        if pending.open_request is None:
            pending.io.answer(Completion(0, Status.DATA_TRANSFER_ERROR))

    def command_received(self, io: IoCommand, data: bytes) -> None:
        """Admits a complete command to the driver, or answers it at once."""
        command, pending = io.command, io.owner_state
        if pending.timer:
            pending.timer.cancel()
        volume = self._volumes[command.nsid]
        extent = command.first_block // volume.extent_blocks
        if self.branch is not None:
            if self.branch.admit(io, pending, extent, data):
                return
            pending.data = data
        shard = self.placement.shard_of(volume.number, extent)
        if shard == UNPLACED and command.shard_hint in self._shards:
            # The client was told the extent's shard by a gateway that knew it.
            shard = command.shard_hint
            self.driver.first_writes.located(Extent(volume.number, extent), shard)
            if self.placement_log is not None:
                self.placement_log.placed((volume.number, extent), shard, lambda durable: None)
        if (
            shard == UNPLACED
            and self.placement_log is not None
            and (retry_after := self.placement_log.retry_after()) > 0.0
        ):
            # The extent's shard is not known yet or can't be made durable; the command has not run.
            pending.rejected(retry_after)
            return
        if command.opcode == Opcode.READ and not self.driver.first_writes.is_written(
            Extent(volume.number, extent)
        ):
            io.answer(Completion(0, Status.UNWRITTEN_BLOCK))
            return
        length = command.blocks * BLOCK
        # The backend does not get the client's description of its data, nor the shard hint.
        forwarded = command
        if command.sgl_address or command.cdw3 > 0xFF:
            forwarded = command._replace(sgl_address=0, cdw3=command.cdw3 & 0xFF)
        key = f"{volume.number}/{extent}" if self._ordered[pending.request_class] else None
        pending.open_request = self.driver.admit(
            pending,
            BackendCommand(forwarded, data, length if command.opcode == Opcode.READ else 0),
            request_class=pending.request_class,
            service_tier=volume.tier_number,
            key=key,
            deadline=pending.deadline,
            volume=volume.number,
            extent=Extent(volume.number, extent),
            is_write=command.opcode == Opcode.WRITE,
            units=float(request_units(length, self._unit_bytes)),
            shard=shard,
            gateways=volume.gateways,
            is_retry=command.is_retry,
            arrived=io.arrived,
            data_followed=pending.timer is not None,
        )

    def command_abandoned(self, io: IoCommand) -> None:
        """Cancels a command whose host has aborted it or disconnected."""
        pending = io.owner_state
        if pending is None:
            return
        if pending.timer:
            pending.timer.cancel()
        if pending.open_request is not None:
            self.driver.client_left(pending.open_request)
        elif self.branch is not None:
            self.branch.client_left(pending)
