"""Latency attribution in a running gateway: its snapshots match what clients and backends saw."""

import asyncio
import tempfile
from pathlib import Path

from gorsethread.latency_attribution.snapshots import decode
from gorsethread.latency_attribution.stages import BACKEND, Stage
from gorsethread.latency_attribution.window import Window
from gorsethread.logs import log_for
from gorsethread.nvme.command import Opcode
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.scheduling.model import RequestOutcome
from tests.rig import SiteTestCase


class RunningGatewayTest(SiteTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def start_gateway(self, number: int = 0, remember: str = "") -> NvmeGateway:
        gateway = NvmeGateway(
            self.transport, self.site, number, 1, remember, log_for(), accounts=self.folder, window=0.4
        )
        gateway.start()
        self.gateways[number] = gateway
        return gateway

    def merged_snapshots(self) -> Window:
        merged = Window()
        for path in sorted(Path(self.folder).glob("*.acc")):
            merged.merge(decode(path.read_bytes(), "test"))
        return merged

    async def test_every_answer_is_counted(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        for n in range(20):
            answers = await asyncio.gather(
                *(self.send(client, Opcode.WRITE, 1, n * 16 + k) for k in range(4))
            )
            self.assertEqual({"honoured"}, {outcome for outcome, _, _ in answers})
        await self.gateways[0].end()
        merged = self.merged_snapshots()
        rows = merged.all_rows()
        self.assertEqual(80, sum(row.outcomes[RequestOutcome.SUCCEEDED] for row in rows))
        self.assertEqual(80, sum(row.requests for row in rows))
        self.assertEqual(0, merged.remainders)
        for row in rows:
            self.assertEqual(row.duration_us, sum(row.stages))
            self.assertGreater(
                row.stages[Stage.SERVICE], row.requests * 1500, "2 ms per unit, as the backend reported"
            )
            self.assertGreater(row.stages[Stage.OUTBOUND], 0)
        self.assertEqual(1, sum(span.last for span in merged.spans))

    async def test_a_silent_backend_is_blamed(self) -> None:
        await self.start_all()
        self.hold_commands(0)
        client = await self.connect_client()
        outcome, _, _ = await self.send(client, Opcode.WRITE)
        self.assertNotEqual("honoured", outcome)
        await self.gateways[0].end()
        lost = {
            (b.holder, b.backend): us
            for b, us in self.merged_snapshots().blame.items()
            if b.stage == Stage.FAILED_ATTEMPT
        }
        self.assertEqual([(BACKEND, 0)], list(lost))
        self.assertGreater(lost[BACKEND, 0], 800_000)

    async def test_requests_are_served_though_the_snapshot_folder_is_gone(self) -> None:
        await self.start_all()
        self.gateways[0].accounting.folder = f"{self.folder}/gone"  # type: ignore[union-attr]
        client = await self.connect_client()
        await asyncio.sleep(0.6)
        outcome, _, _ = await self.send(client, Opcode.WRITE)
        self.assertEqual("honoured", outcome)
        await self.gateways[0].end()

    async def test_the_oldest_snapshots_of_the_gateway_are_removed(self) -> None:
        old = Path(self.folder) / "head-0-000000000000001.acc"
        other = Path(self.folder) / "head-1-000000000000001.acc"
        for path in (old, other):
            path.write_bytes(b"old")
        await self.start_all()
        self.gateways[0].accounting.max_files = 2  # type: ignore[union-attr]
        await self.wait_until(lambda: not old.exists())
        self.assertTrue(other.exists(), "the snapshot of another gateway")
        await self.wait_until(lambda: len(list(Path(self.folder).glob("head-0-*.acc"))) == 2)
