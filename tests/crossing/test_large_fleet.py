"""What one gateway needs at sixteen times the backends, over the same requests, while the list changes."""

import os
import random
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from gorsethread.transport.real import free_ports
from tests.crossing.rig import (
    HOST,
    Discovery,
    GatewayProcess,
    Peer,
    PeerEnded,
    ProcessTest,
    Server,
    response_bytes,
)
from tests.live import SETTINGS, request_bytes

USUAL, LARGE = 200, 3200
REQUESTS, RATE = 600, 50.0  # how many, and how many a second
VOLUMES = 25
NEW_PART = 0.5  # of the requests write new objects, which any backend may take
CHANGE_EVERY = 0.1  # seconds: one backend is gone, another holds its shard
# The operators' terms for a fleet of sixteen times the backends.
CPU_TIMES, CPU_MORE, CPU_PER_THOUSAND = 1.4, 0.02, 0.12
MEMORY_TIMES, MEMORY_MORE, MEMORY_PER_THOUSAND = 1.5, 8.0, 4.0
DESCRIPTORS_TIMES, DESCRIPTORS_MORE = 2.0, 40


class Needed(NamedTuple):
    """cpu: seconds; memory: megabytes at the peak."""

    served: int
    cpu: float
    memory: float
    descriptors: int


class AnyBackend(Server):
    """Answers every request on every connection; all backends of the list are at its address."""

    def __init__(self, test: ProcessTest) -> None:
        super().__init__(test, backlog=512)
        threading.Thread(target=self._accept_all, daemon=True).start()

    def _accept_all(self) -> None:
        self.socket.settimeout(None)
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._answer_all, args=(Peer(connection),), daemon=True).start()

    def _answer_all(self, peer: Peer) -> None:
        peer.socket.settimeout(None)
        try:
            while True:
                peer.message()
                peer.send(response_bytes(200, b"x" * 200))
        except (PeerEnded, OSError):
            peer.close()


@pytest.mark.processes
class LargeFleet(ProcessTest):
    def backend(self, number: int, shard: int, state: str = "ready") -> dict[str, Any]:
        return {**self.instance(number, self.server, state), "cell": shard}

    def needed(self, backends: int) -> Needed:
        self.server = AnyBackend(self)
        instances = [self.backend(n, n) for n in range(backends)]
        self.discovery = Discovery(self, instances)
        specifics = {**SETTINGS["specifics"], "shards": backends}
        configuration = self.config(self.discovery, instances, specifics=specifics)
        configuration["listen"] = f"{HOST}:{free_ports(1)[0]}"
        configuration["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.gateway = GatewayProcess(self, configuration)
        self.gateway.wait_for_log("endpoint list watch begins")
        before = self.cpu_seconds()
        served = self.play(backends)
        process = Path(f"/proc/{self.gateway.process.pid}")
        peak = next(line for line in (process / "status").read_text().splitlines() if "VmHWM" in line)
        return Needed(
            served,
            self.cpu_seconds() - before,
            int(peak.split()[1]) / 1024,
            len(list((process / "fd").iterdir())),
        )

    def cpu_seconds(self) -> float:
        stat = Path(f"/proc/{self.gateway.process.pid}/stat").read_text()
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    def play(self, backends: int) -> int:
        """The same requests whatever the number of backends; how many were served."""
        chance, client, served = random.Random(1), self.client(), 0
        changed, begun = 0, time.monotonic()
        for number in range(1, REQUESTS + 1):
            shard = -1 if chance.random() < NEW_PART else chance.randrange(backends)
            data = request_bytes(f"{number:x}", shard=shard, timeout_ms=2000, body=b"x" if shard < 0 else b"")
            volume = b"%016x" % chance.randrange(VOLUMES)
            client.send(data.replace(b"00000003b4d60021", volume))
            served += client.message().status == 200
            due = begun + number / RATE
            if due - begun > (changed + 1) * CHANGE_EVERY:
                gone = self.backend(changed, changed, "gone")
                self.discovery.publish(gone, self.backend(backends + changed, changed))
                changed += 1
            time.sleep(max(0.0, due - time.monotonic()))
        return served

    def test_sixteen_times_the_backends_cost_one_gateway_little_more(self) -> None:
        usual, large = self.needed(USUAL), self.needed(LARGE)
        thousands = (LARGE - USUAL) / 1000
        self.assertGreater(usual.served, 0.9 * REQUESTS, usual)
        self.assertGreaterEqual(large.served, 0.85 * usual.served, (usual, large))
        most_cpu = CPU_TIMES * usual.cpu + CPU_MORE + CPU_PER_THOUSAND * thousands
        # What else the machine does only adds to a process's time: the lesser of two plays is nearer to it.
        least_cpu = large.cpu if large.cpu <= most_cpu else min(large.cpu, self.needed(LARGE).cpu)
        self.assertLessEqual(least_cpu, most_cpu, (usual, large))
        memory = MEMORY_TIMES * usual.memory + MEMORY_MORE + MEMORY_PER_THOUSAND * thousands
        self.assertLessEqual(large.memory, memory, (usual, large))
        descriptors = DESCRIPTORS_TIMES * usual.descriptors + DESCRIPTORS_MORE
        self.assertLessEqual(large.descriptors, descriptors, (usual, large))
