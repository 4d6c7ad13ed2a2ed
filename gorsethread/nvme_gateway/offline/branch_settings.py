"""What a branch's gateway takes from the site file."""

from dataclasses import dataclass

from gorsethread.head.peers import fleet_of
from gorsethread.offline_writes.primaries import primary_order
from gorsethread.offline_writes.queued_write import QueueLimits
from gorsethread.sitefile import site_pb2 as pb
from gorsethread.sitefile.reading import split_address

Address = tuple[str, int]


@dataclass(frozen=True)
class VolumeSettings:
    """One volume.

    Attributes:
        has_fixed_placement: Its extents lie by their number; only such volumes are served while disconnected.
        shards: Of its extents, in turn.
        extent_blocks: Blocks of one extent.
        primaries: The main site's gateways that apply its writes, the primary first.
    """

    has_fixed_placement: bool
    shards: tuple[int, ...]
    extent_blocks: int
    primaries: tuple[int, ...]

    def shard_of(self, extent: int) -> int:
        """Where an extent lies by its number."""
        return self.shards[extent % len(self.shards)]


@dataclass(frozen=True)
class RequestClassSettings:
    """One request class; `latency_objective` in seconds."""

    priority_weight: float
    may_be_queued: bool
    stops_on_conflict: bool
    idempotent: bool
    latency_objective: float


@dataclass(frozen=True)
class BranchSettings:
    """The branch and the main site, as one gateway of the branch sees them.

    Attributes:
        name: Of the branch.
        gateway: This one's number.
        standby: The branch's other gateway; None where there is none.
        fleet: Of the site.
        main_site: Where the main site's gateways take messages.
        volumes: By number.
        request_classes: By index in the site file.
        queue_limits: Of the write queue.
        longest_retry_after: Seconds.
    """

    name: str
    gateway: int
    standby: int | None
    fleet: int
    main_site: dict[int, Address]
    volumes: dict[int, VolumeSettings]
    request_classes: tuple[RequestClassSettings, ...]
    queue_limits: QueueLimits
    longest_retry_after: float

    @property
    def queued_priority_weights(self) -> tuple[float, ...]:
        """Of the request classes that may be queued."""
        return tuple(known.priority_weight for known in self.request_classes if known.may_be_queued)


def read_branch_settings(site: pb.Site, gateway: int) -> BranchSettings:
    """Reads the settings of one gateway, which stands in a branch of the site file."""
    branch = next(branch for branch in site.branch if gateway in branch.head)
    of_branches = {number for other in site.branch for number in other.head}
    main_site = {
        known.number: split_address(known.peers)
        for known in site.head
        if known.peers and known.number not in of_branches
    }
    return BranchSettings(
        name=branch.name,
        gateway=gateway,
        standby=next((number for number in branch.head if number != gateway), None),
        fleet=fleet_of(site),
        main_site=main_site,
        volumes={volume.number: _volume_settings(volume, main_site) for volume in site.volume},
        request_classes=tuple(_request_class_settings(known) for known in site.profile),
        queue_limits=QueueLimits(branch.queue_bytes, branch.queue_writes, branch.queue_age),
        longest_retry_after=site.rules.longest_return,
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


def _request_class_settings(known: pb.Profile) -> RequestClassSettings:
    return RequestClassSettings(
        priority_weight=known.value,
        may_be_queued=known.held_when_cut_off,
        stops_on_conflict=known.when_changed == pb.PARK,
        idempotent=known.effect == pb.REDOABLE,
        latency_objective=known.promised,
    )
