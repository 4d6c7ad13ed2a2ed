"""The settings of a branch gateway, read from the site file."""

from dataclasses import dataclass

from gorsethread.nvme_gateway.peers import fleet_id
from gorsethread.offline_writes.primaries import primary_order
from gorsethread.offline_writes.queued_write import QueueLimits
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address

Address = tuple[str, int]


@dataclass(frozen=True)
class VolumeSettings:
    """The settings of one volume.

    Attributes:
        has_fixed_placement: Whether an extent's number determines its shard; only such volumes are served
            while disconnected.
        shards: Shards over which its extents are distributed in turn.
        extent_blocks: Blocks per extent.
        primaries: Gateways of the main site that apply its writes, the primary first.
    """

    has_fixed_placement: bool
    shards: tuple[int, ...]
    extent_blocks: int
    primaries: tuple[int, ...]

    def shard_of(self, extent: int) -> int:
        """Returns the shard of an extent of a volume with fixed placement."""
        return self.shards[extent % len(self.shards)]


@dataclass(frozen=True)
class RequestClassSettings:
    """The settings of one request class; `latency_objective` in seconds."""

    priority_weight: float
    may_be_queued: bool
    stops_on_conflict: bool
    idempotent: bool
    latency_objective: float


@dataclass(frozen=True)
class BranchSettings:
    """The settings of one gateway of a branch.

    Attributes:
        name: Name of the branch.
        gateway: Number of this gateway.
        standby: Number of the branch's other gateway; None if there is none.
        fleet: Fleet id of the site file.
        main_site: For each gateway of the main site, the address on which it receives messages.
        volumes: All volumes, by number.
        request_classes: All request classes, by index in the site file.
        queue_limits: Limits of the write queue.
        max_retry_after: Longest Retry-After for clients, in seconds.
    """

    name: str
    gateway: int
    standby: int | None
    fleet: int
    main_site: dict[int, Address]
    volumes: dict[int, VolumeSettings]
    request_classes: tuple[RequestClassSettings, ...]
    queue_limits: QueueLimits
    max_retry_after: float

    @property
    def queued_priority_weights(self) -> tuple[float, ...]:
        """The priority weights of the request classes that may be queued."""
        return tuple(each.priority_weight for each in self.request_classes if each.may_be_queued)


def read_branch_settings(site: pb.Site, gateway: int) -> BranchSettings:
    """Returns the settings of a gateway that belongs to a branch in the site file."""
    branch = next(branch for branch in site.branch if gateway in branch.head)
    branch_gateways = {number for each in site.branch for number in each.head}
    main_site = {
        gateway_settings.number: split_address(gateway_settings.peers)
        for gateway_settings in site.head
        if gateway_settings.peers and gateway_settings.number not in branch_gateways
    }
    return BranchSettings(
        name=branch.name,
        gateway=gateway,
        standby=next((number for number in branch.head if number != gateway), None),
        fleet=fleet_id(site),
        main_site=main_site,
        volumes={volume.number: _volume_settings(volume, main_site) for volume in site.volume},
        request_classes=tuple(_request_class_settings(each) for each in site.profile),
        queue_limits=QueueLimits(branch.queue_bytes, branch.queue_writes, branch.queue_age),
        max_retry_after=site.rules.longest_return,
    )


def _volume_settings(volume: pb.Volume, main_site: dict[int, Address]) -> VolumeSettings:
    return VolumeSettings(
        has_fixed_placement=volume.placement == pb.FIXED,
        shards=tuple(volume.shard),
        extent_blocks=int(volume.extent_blocks),
        primaries=tuple(
            primary_order(volume.number, [number for number in volume.head if number in main_site])
        ),
    )


def _request_class_settings(request_class: pb.Profile) -> RequestClassSettings:
    return RequestClassSettings(
        priority_weight=request_class.value,
        may_be_queued=request_class.held_when_cut_off,
        stops_on_conflict=request_class.when_changed == pb.PARK,
        idempotent=request_class.effect == pb.REDOABLE,
        latency_objective=request_class.promised,
    )
