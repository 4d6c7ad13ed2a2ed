"""The client side of a head: each command checked, sorted into its profile, handed on, answered once."""

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
    """Which volumes a host sees through this head."""

    def __init__(self, site: pb.Site, head: int) -> None:
        self._tenants = {host: t.name for t in site.tenant for host in t.host}
        self._volumes: dict[str, list[Namespace]] = {t.name: [] for t in site.tenant}
        for v in site.volume:
            if head in v.head:
                self._volumes[v.tenant].append(Namespace(v.number, v.blocks, v.extent_blocks))

    def admits(self, host: str) -> list[Namespace] | None:
        tenant = self._tenants.get(host)
        return None if tenant is None else self._volumes[tenant]


class ClientCommand:
    """One command from its capsule to its answer."""

    __slots__ = ("side", "io", "deadline", "timer", "taken", "profile", "data")

    def __init__(self, side: "ClientSide", io: IoCommand, profile: int, deadline: float) -> None:
        self.side, self.io, self.profile, self.deadline = side, io, profile, deadline
        self.timer: Timer | None = None
        self.taken: OpenRequest | None = None
        self.data = b""  # of a write, where a branch remembers what its blocks held

    def succeeded(self, shard: int, data: bytes) -> None:
        self.taken = None  # see Connection.answer
        if self.side.branch is not None:
            self.side.branch.blocks_observed(
                self.io.command.nsid, self.io.command.first_block, self.data or data
            )
        self.io.answer(Completion(0, dw0=shard + 1), data)

    def served(self, shard: int, data: bytes) -> None:
        """From what is queued at a branch, which no shelf holds yet."""
        self.io.answer(Completion(0, dw0=shard + 1), data)

    def accepted(self) -> None:
        """By a branch that is cut off: it is kept, and will be in effect. No shelf is named."""
        self.io.answer(Completion(0))

    def rejected(self, return_after: float) -> None:
        """The return time rounded up to the controller's delays, and exactly in the free field."""
        self.taken = None
        delays = self.side.subsystem.retry_delays
        retry = 0
        if return_after > 0 and delays:
            retry = next((n for n, d in enumerate(delays, 1) if d >= return_after), len(delays))
        self.side.log.debug("pushed back", volume=self.io.command.nsid, return_after=round(return_after, 3))
        self.io.answer(Completion(0, Status.COMMAND_INTERRUPTED, retry=retry, dw1=round(return_after * 1000)))

    def failed(self) -> None:
        self.taken = None
        self.side.log.debug("given up", volume=self.io.command.nsid)
        self.io.answer(Completion(0, Status.INTERNAL_ERROR, do_not_retry=True))


class VolumeSettings(NamedTuple):
    """What each command asks of its volume."""

    number: int
    plan: str
    plan_number: int
    extent_blocks: int
    heads: int


class ClientSide:
    """The owner of I/O commands at a head's server."""

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
        self._sorter = RequestClassifier(site)
        self._slack = site.rules.answer_slack
        self._unit_bytes = site.links.unit_bytes
        self._deadlines = [p.cut_off for p in site.profile]
        self._in_order = [p.in_order for p in site.profile]
        plans = {p.name: n for n, p in enumerate(site.plan)}
        self._volumes = {
            v.number: VolumeSettings(v.number, v.plan, plans[v.plan], v.extent_blocks, len(v.head))
            for v in site.volume
        }
        self._shards = {s.shard for s in site.shelf}
        self.draining = False
        self.placement_log: PlacementLog | None = None  # where what is placed is to last
        self.branch: Any = None  # of a branch's head: gorsethread/nvme_gateway/offline/offline_writes.py

    def command_announced(self, io: IoCommand) -> None:
        command = io.command
        if self.draining:
            # Ending in order: what was not taken may safely come again, at another head.
            io.answer(Completion(0, Status.COMMAND_INTERRUPTED))
            return
        plan = self._volumes[command.nsid].plan
        profile = self._sorter.profile(plan, command.opcode, command.blocks * BLOCK, command.hints)
        most = self._deadlines[profile]
        patience = min(command.client_timeout, most) if command.client_timeout else most
        waiting = ClientCommand(self, io, profile, io.arrived + max(MILLISECOND, patience - self._slack))
        io.owner_state = waiting
        if command.opcode == Opcode.WRITE and command.sgl_type != SGL_IN_CAPSULE:
            waiting.timer = self.transport.call_at(waiting.deadline, lambda: self._never_came(waiting))

    def _never_came(self, waiting: ClientCommand) -> None:
        """The data of a write did not come in its time: it was not taken, and nothing of it ran."""
        if waiting.taken is None:
            waiting.io.answer(Completion(0, Status.DATA_TRANSFER_ERROR))

    def command_received(self, io: IoCommand, data: bytes) -> None:
        command, waiting = io.command, io.owner_state
        if waiting.timer:
            waiting.timer.cancel()
        volume = self._volumes[command.nsid]
        extent = command.first_block // volume.extent_blocks
        if self.branch is not None:
            if self.branch.admit(io, waiting, extent, data):
                return
            waiting.data = data
        shard = self.placement.shard_of(volume.number, extent)
        if shard == UNPLACED and command.shard_hint in self._shards:
            # The client was told where the extent lies, by a head that knew.
            shard = command.shard_hint
            self.placement.placed(volume.number, extent, shard)
            if self.placement_log is not None:
                self.placement_log.placed((volume.number, extent), shard, lambda kept: None)
        if (
            shard == UNPLACED
            and self.placement_log is not None
            and (after := self.placement_log.retry_after()) > 0.0
        ):
            # Where it belongs is not known now, or can't be kept: nothing of it has run.
            waiting.rejected(after)
            return
        if shard == UNPLACED and command.opcode == Opcode.READ:
            io.answer(Completion(0, Status.UNWRITTEN_BLOCK))
            return
        length = command.blocks * BLOCK
        # The client's own description of its data and the shard it named are not the shelf's business.
        onward = command
        if command.sgl_address or command.cdw3 > 0xFF:
            onward = command._replace(sgl_address=0, cdw3=command.cdw3 & 0xFF)
        key = f"{volume.number}/{extent}" if self._in_order[waiting.profile] else None
        waiting.taken = self.driver.admit(
            waiting,
            BackendCommand(onward, data, length if command.opcode == Opcode.READ else 0),
            request_class=waiting.profile,
            service_tier=volume.plan_number,
            key=key,
            deadline=waiting.deadline,
            volume=volume.number,
            extent=Extent(volume.number, extent),
            units=float(request_units(length, self._unit_bytes)),
            shard=shard,
            gateways=volume.heads,
            is_retry=command.is_retry,
            arrived=io.arrived,
            data_followed=waiting.timer is not None,
        )

    def command_abandoned(self, io: IoCommand) -> None:
        waiting = io.owner_state
        if waiting is None:
            return
        if waiting.timer:
            waiting.timer.cancel()
        if waiting.taken is not None:
            self.driver.client_left(waiting.taken)
        elif self.branch is not None:
            self.branch.client_left(waiting)
