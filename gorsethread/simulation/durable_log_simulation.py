"""Simulates sites whose gateways keep a durable log, under faults of their disks.

Clients name no shard here, so that only the gateways know where an extent is placed. A gateway that forgets
a placement shows as a read of acknowledged data that is answered as never written, or as writes of one extent
to two shards.
"""

from collections.abc import Callable, Mapping
from typing import Any

from gorsethread.durable_log.recovery import SEGMENT_SUFFIX
from gorsethread.fakes.client import LoadClient
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_gateway.log_folders import own_log_folder
from gorsethread.simulation.durable_log_checks import (
    RecordNumberChecker,
    ShardForgettingClient,
    zero_middle_half,
)
from gorsethread.simulation.script import Act, Script
from gorsethread.simulation.site_simulation import SiteSimulation
from gorsethread.site_config import site_pb2 as pb

SNAPSHOT_INTERVAL = 0.25  # seconds between the copies of disks that an `older` act can restore


def shards_by_extent(
    site: pb.Site,
    files: Mapping[tuple[int, int], bytes | bytearray],
) -> dict[tuple[int, int], set[int]]:
    """Returns, by volume and extent, the shards that hold bytes of the extent.

    Covers the volumes whose extents are placed by their first write.

    Args:
        files: The backends' data by shard and volume.
    """
    shards: dict[tuple[int, int], set[int]] = {}
    extent_sizes = {v.number: v.extent_blocks * BLOCK for v in site.volume if v.placement == pb.FIRST_WRITE}
    for (shard, volume), data in files.items():
        if (size := extent_sizes.get(volume)) is not None:
            for extent in range(-(-len(data) // size)):
                if any(data[extent * size : (extent + 1) * size]):
                    shards.setdefault((volume, extent), set()).add(shard)
    return shards


class DurableLogSimulation(SiteSimulation):
    """One run of a script on a site whose gateways keep a durable log.

    Attributes:
        denied: Number of reads of acknowledged data that were answered as never written.
    """

    client_class: type[LoadClient] = ShardForgettingClient

    def __init__(self, site: pb.Site, script: Script, change: Callable[[Any], None] | None = None) -> None:
        super().__init__(site, script, change)
        self.denied = 0
        # Copies of the gateways' disks with their times, as far back as the script's `older` acts go.
        self._snapshots: list[tuple[float, dict[str, bytes]]] = []
        self._max_lookback = max((a.amount for a in script.acts if a.kind == "older"), default=0.0)
        self._record_numbers = RecordNumberChecker()
        if self._max_lookback:
            self._snapshot_disks()

    def records_folder(self, number: int) -> str:
        return f"kept/{number}"

    def _start_client(self, tenant: str) -> None:
        super()._start_client(tenant)
        client = self.clients[tenant]
        assert isinstance(client, ShardForgettingClient)
        client.on_write_forgotten = self._on_write_forgotten

    def _on_write_forgotten(self, volume: int, extent: int) -> None:
        self.denied += 1
        self._add_defect(f"an owner is forgotten: volume {volume}, extent {extent}")

    # ---- disks

    def _snapshot_disks(self) -> None:
        now = self.loop.time()
        self._snapshots.append(
            (now, {path: bytes(data) for path, data in self.disk.files.items() if path.startswith("kept/")})
        )
        while self._snapshots and self._snapshots[0][0] < now - self._max_lookback - 2 * SNAPSHOT_INTERVAL:
            self._snapshots.pop(0)
        self.loop.call_later(SNAPSHOT_INTERVAL, self._snapshot_disks)

    def _folder_prefix(self, gateway: int) -> str:
        return f"{self.records_folder(gateway)}/"

    def _remove_files(self, gateway: int) -> dict[str, bytearray]:
        """Removes all files of a gateway's log folder and returns them."""
        folder = self._folder_prefix(gateway)
        return {
            path[len(folder) :]: self.disk.files.pop(path)
            for path in list(self.disk.files)
            if path.startswith(folder)
        }

    def _write_files(self, gateway: int, files: dict[str, bytearray]) -> None:
        folder = self._folder_prefix(gateway)
        self.disk.files.update({folder + path: bytearray(data) for path, data in files.items()})

    def _apply_variant_act(self, act: Act) -> None:
        gateway = int(act.target.split(" ")[1])
        if act.kind == "lag":
            self.disk.slow[act.target] = act.amount
            self.loop.call_later(act.seconds, self.disk.slow.pop, act.target, None)
            return
        self._stop_process(act, act.target, "kill")
        self._check_record_numbers()
        if act.kind == "wipe":
            self._remove_files(gateway)
        elif act.kind == "older":
            self._remove_files(gateway)
            snapshots = [files for at, files in self._snapshots if at <= self.loop.time() - act.amount]
            folder = self._folder_prefix(gateway)
            self._write_files(
                gateway,
                {
                    path[len(folder) :]: bytearray(data)
                    for path, data in (snapshots or [{}])[-1].items()
                    if path.startswith(folder)
                },
            )
        elif act.kind == "rot":
            own_folder = own_log_folder(self.records_folder(gateway), gateway) + "/"
            names = sorted(
                path
                for path in self.disk.files
                if path.startswith(own_folder) and path.endswith(SEGMENT_SUFFIX)
            )
            if names:
                self.disk.files[names[-1]][:] = zero_middle_half(bytes(self.disk.files[names[-1]]))
        elif act.kind == "swap":
            other = int(act.to.split(" ")[1])
            self._stop_process(act, act.to, "kill")
            own_files, other_files = self._remove_files(gateway), self._remove_files(other)
            self._write_files(gateway, other_files)
            self._write_files(other, own_files)

    def _check_record_numbers(self) -> None:
        """Checks on all disks that no gateway used a record number for two different facts."""
        for path, data in self.disk.files.items():
            if path.startswith("kept/") and path.endswith(SEGMENT_SUFFIX):
                for gateway, incarnation, position in self._record_numbers.reused_numbers(bytes(data)):
                    self._add_defect(
                        f"a number was given twice: head {gateway}, life {incarnation}, place {position}"
                    )

    # ---- checks at the end

    def _check_end_state(self) -> None:
        super()._check_end_state()
        self._check_record_numbers()
        self._check_extent_shards()
        for number, gateway in self.gateways.items():
            log = gateway.replicated_log
            if self.processes[f"head {number}"].alive and log is not None:
                if log.waiting or gateway.driver.awaiting_placement:
                    self._add_defect(f"left behind: head {number}: promises that nobody was told of")
                if (retry_after := log.retry_after()) > 0.0:
                    self._add_defect(
                        f"does not promise again: head {number}: {log.recovery.stage.value}, "
                        f"{retry_after:.1f} s, disk {log.store.disk.state(log.transport.now()).value}"
                    )

    def _check_extent_shards(self) -> None:
        """Checks that no extent has writes that ran at two shards."""
        files = {
            (shard, v.number): self.disk.files[path]
            for v in self.site.volume
            for shard in {s.shard for s in self.site.shelf}
            if (path := f"disk/shard-{shard}-volume-{v.number}") in self.disk.files
        }
        shards = shards_by_extent(self.site, files)
        for (volume, extent), found in sorted(shards.items()):
            if len(found) > 1:
                self._add_defect(
                    f"an extent is parted: volume {volume}, extent {extent}, shards {sorted(found)}"
                )
