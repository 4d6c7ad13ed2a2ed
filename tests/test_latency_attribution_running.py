"""The accounts in a running head: what its snapshots say is what clients and shelves saw."""

import asyncio
import tempfile
from pathlib import Path

from gorsethread.latency_attribution.snapshots import decode
from gorsethread.latency_attribution.stages import SHELF, Stage
from gorsethread.latency_attribution.window import Window
from gorsethread.logs import log_for
from gorsethread.nvme.command import Opcode
from gorsethread.nvme_gateway.gateway import NvmeGateway
from gorsethread.scheduling.model import RequestOutcome
from tests.rig import SiteTestCase


class Running(SiteTestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def start_gateway(self, number: int = 0, remember: str = "") -> NvmeGateway:
        head = NvmeGateway(
            self.transport, self.site, number, 1, remember, log_for(), accounts=self.folder, window=0.4
        )
        head.start()
        self.gateways[number] = head
        return head

    def kept(self) -> Window:
        whole = Window()
        for path in sorted(Path(self.folder).glob("*.acc")):
            whole.merge(decode(path.read_bytes(), "test"))
        return whole

    async def test_every_answer_is_accounted_for(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        for n in range(20):
            answers = await asyncio.gather(
                *(self.send(client, Opcode.WRITE, 1, n * 16 + k) for k in range(4))
            )
            self.assertEqual({"honoured"}, {how for how, _, _ in answers})
        await self.gateways[0].end()
        whole = self.kept()
        rows = whole.all_rows()
        self.assertEqual(80, sum(row.outcomes[RequestOutcome.SUCCEEDED] for row in rows))
        self.assertEqual(80, sum(row.lives for row in rows))
        self.assertEqual(0, whole.remainders)
        for row in rows:
            self.assertEqual(row.life_us, sum(row.stages))
            self.assertGreater(row.stages[Stage.WORK], row.lives * 1500, "2 ms a unit, as the shelf told")
            self.assertGreater(row.stages[Stage.WAY_THERE], 0)
        self.assertEqual(1, sum(span.last for span in whole.spans))

    async def test_a_silent_shelf_is_blamed(self) -> None:
        await self.start_all()
        self.hold_commands(0)
        client = await self.connect_client()
        how, _, _ = await self.send(client, Opcode.WRITE)
        self.assertNotEqual("honoured", how)
        await self.gateways[0].end()
        lost = {
            (b.holder, b.shelf): us for b, us in self.kept().blame.items() if b.stage == Stage.LOST_FORWARD
        }
        self.assertEqual([(SHELF, 0)], list(lost))
        self.assertGreater(lost[SHELF, 0], 800_000)

    async def test_a_folder_that_goes_away_stops_nothing(self) -> None:
        await self.start_all()
        self.gateways[0].accounting.folder = f"{self.folder}/gone"  # type: ignore[union-attr]
        client = await self.connect_client()
        await asyncio.sleep(0.6)
        how, _, _ = await self.send(client, Opcode.WRITE)
        self.assertEqual("honoured", how)
        await self.gateways[0].end()

    async def test_old_files_make_room(self) -> None:
        old = Path(self.folder) / "head-0-000000000000001.acc"
        other = Path(self.folder) / "head-1-000000000000001.acc"
        for path in (old, other):
            path.write_bytes(b"old")
        await self.start_all()
        self.gateways[0].accounting.max_files = 2  # type: ignore[union-attr]
        await self.wait_until(lambda: not old.exists())
        self.assertTrue(other.exists(), "another head's")
        await self.wait_until(lambda: len(list(Path(self.folder).glob("head-0-*.acc"))) == 2)
