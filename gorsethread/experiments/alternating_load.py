"""Head and relay under one load in turn, a stretch each: one after the other, processes of one build differ
by a fifth on a shared machine, neighbouring stretches of processes that both stand hardly do."""

import asyncio
import json
import statistics
from pathlib import Path
from typing import Any

import psutil

from gorsethread.fakes.client import stamped_blocks
from gorsethread.nvme.command import Completion, Opcode, io_command
from gorsethread.nvme.subsystem import BLOCK
from gorsethread.nvme_transport.host_connection import Association, AssociationNames, connect_association
from gorsethread.site_config import site_pb2 as pb
from gorsethread.site_config.reading import split_address
from gorsethread.transport.base import Transport

STRETCH = 0.5  # seconds
EDGE = 0.1  # seconds at the begin of a stretch that don't count, as the other's last commands come in
SETTLING = 4  # stretches at the start that don't count
START_UP = 3.0  # seconds until all load processes have started


def whose(stretch: int) -> int:
    """0 1 1 0 0 1 1 0 ..: what drifts over time falls on both alike."""
    return (stretch + 1) // 2 % 2


class TurnLoad:
    """depth commands always out at one of two subjects, in turn."""

    def __init__(
        self, transport: Transport, sites: list[pb.Site], depth: int, start_at: float, stretches: int
    ) -> None:
        self.transport, self.sites, self.depth = transport, sites, depth
        self.start_at, self.stretches = start_at, stretches
        self.chance = transport.random_stream("turns")
        self.honoured = [0] * stretches
        self.failed = self.out = 0
        self.stretch = -1
        self.associations: list[Association] = []

    async def run(self) -> dict[str, Any]:
        for site in self.sites:
            names = AssociationNames(site.subsystem, site.tenant[0].host[0])
            self.associations.append(
                await connect_association(
                    self.transport, split_address(site.head[0].address), names, timeout=5.0, size=128
                )
            )
        for stretch in range(self.stretches):
            at = self.start_at + stretch * STRETCH
            await self.transport.sleep(max(0.0, at - self.transport.now()))
            self.stretch = stretch
            for _ in range(self.depth):
                self._send(stretch)
        await self.transport.sleep(STRETCH)
        self.stretch = self.stretches
        while self.out:
            await self.transport.sleep(0.01)
        return {"honoured": self.honoured, "failed": self.failed}

    def _send(self, stretch: int) -> None:
        site = self.sites[whose(stretch)]
        volume = site.volume[self.chance.randrange(len(site.volume))]
        block = self.chance.randrange(volume.blocks)
        write = self.chance.random() < 0.5
        command = io_command(Opcode.WRITE if write else Opcode.READ, volume.number, block)
        data = stamped_blocks(1, volume.number, block, 1) if write else b""

        def done(completion: Completion, _: bytes) -> None:
            self.out -= 1
            if self.stretch != stretch:
                return
            if not completion.succeeded:
                self.failed += 1
            elif self.transport.now() >= self.start_at + stretch * STRETCH + EDGE:
                self.honoured[stretch] += 1
            self._send(stretch)

        self.out += 1
        self.associations[whose(stretch)].io.queue.submit(command, done, data, 0 if write else BLOCK)


async def in_turn(
    transport: Transport, stands: list[Any], loads: int, depth: int, seconds: float, folder: Path
) -> dict[str, Any]:
    """stands: relay and head, both started (bench.Stand). Ratios of head to relay over neighbouring
    stretches."""
    stretches = SETTLING + max(4, round(2 * seconds / STRETCH))
    processes, start_at = stands[0].processes, transport.now() + START_UP
    outs = [folder / f"turns-{depth}-{n}.json" for n in range(loads)]
    for n, out in enumerate(outs):
        await processes.start(
            f"turns {n}",
            "bench-peer",
            "turns",
            "--site",
            stands[0].path,
            "--other",
            stands[1].path,
            "--number",
            str(n),
            "--depth",
            str(depth),
            "--start-at",
            str(start_at),
            "--stretches",
            str(stretches),
            "--out",
            str(out),
        )
    subjects = [psutil.Process(stand.processes.pid("subject")) for stand in stands]
    cpu: list[float] = []
    for stretch in range(stretches):
        await transport.sleep(max(0.0, start_at + stretch * STRETCH + EDGE - transport.now()))
        began = sum(subjects[whose(stretch)].cpu_times()[:2])
        await transport.sleep(max(0.0, start_at + (stretch + 1) * STRETCH - transport.now()))
        cpu.append(sum(subjects[whose(stretch)].cpu_times()[:2]) - began)
    for n in range(loads):
        await asyncio.wait_for(processes.running.pop(f"turns {n}").wait(), 60)
    got = [json.loads(out.read_text()) for out in outs]
    honoured = [sum(g["honoured"][n] for g in got) for n in range(stretches)]
    return {**ratios(honoured, cpu), "failed": sum(g["failed"] for g in got)}


def ratios(honoured: list[int], cpu: list[float]) -> dict[str, Any]:
    """Head over relay, of each two neighbouring stretches, the settled ones only."""
    pairs = [
        (n, n + 1) if whose(n) else (n + 1, n)
        for n in range(SETTLING, len(honoured) - 1)
        if whose(n) != whose(n + 1)
    ]
    rates = sorted(honoured[head] / honoured[relay] for head, relay in pairs if honoured[relay])
    costs = sorted(
        (cpu[head] / honoured[head]) / (cpu[relay] / honoured[relay])
        for head, relay in pairs
        if honoured[head] and honoured[relay] and cpu[relay]
    )
    return {"rate": _spread(rates), "cpu": _spread(costs), "pairs": len(rates)}


def _spread(values: list[float]) -> dict[str, float]:
    if len(values) < 2:
        return {}
    low, middle, high = statistics.quantiles(values, n=4)
    return {"lower_quartile": round(low, 3), "median": round(middle, 3), "upper_quartile": round(high, 3)}
