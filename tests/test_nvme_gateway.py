"""A real head on loopback, met with the hard cases. What counts is what shelves and clients saw."""

import asyncio
import gc
import tempfile
import unittest
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from gorsethread.fakes.client import stamped_blocks
from gorsethread.fakes.discovery import DrainOrder
from gorsethread.gateway.attempts import Attempt, AttemptResult
from gorsethread.gateway.driver import attempt_count
from gorsethread.nvme.command import Command, Completion, Opcode, Status, connect, connect_data, io_command
from gorsethread.nvme.pdu import Encoder, PduType, initialize
from gorsethread.nvme_gateway.backend_link import BackendLink
from gorsethread.nvme_gateway.backend_link import Order as Sent
from gorsethread.nvme_transport.controller_server import IoCommand
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import StreamClosed
from tests.rig import Rig

POST = 16
ENDINGS = {attempt_count(outcome) for outcome in AttemptOutcome}


class Ordinary(Rig):
    async def test_bytes_come_back_by_the_whole_path(self) -> None:
        await self.start_all()
        client = await self.client(digests=True)
        self.assertEqual([1, 2], await client.namespaces())
        for block, blocks in ((0, 1), (64, 2), (200, 32)):
            how, _, _ = await self.send(client, Opcode.WRITE, block=block, blocks=blocks)
            self.assertEqual("honoured", how)
            how, _, data = await self.send(client, Opcode.READ, block=block, blocks=blocks)
            self.assertEqual(("honoured", stamped_blocks(self.label - 1, 1, block, blocks)), (how, data))
        done, _ = await client.io.call(io_command(Opcode.FLUSH, 1))
        self.assertTrue(done.honoured)
        self.judged()

    async def test_a_new_extent_stays_where_it_was_first_written(self) -> None:
        await self.start_all()
        client = await self.client()
        how, done, _ = await self.send(client, Opcode.READ, volume=2)
        self.assertEqual(Status.UNWRITTEN_BLOCK, done.status)
        sent = [self.send(client, Opcode.WRITE, volume=2, block=n, label=100 + n) for n in range(8)]
        answers = [await s for s in sent]
        self.assertLessEqual({how for how, _, _ in answers}, {"honoured", "pushed back"})
        self.assertEqual(1, len(set(self.arrivals())), "one extent, one shelf")
        told = {done.dw0 for how, done, _ in answers if how == "honoured"}
        self.assertEqual({self.arrivals()[0] + 1}, told, "the head tells where the extent lies")
        self.judged()

    async def test_a_bad_command_gets_its_status_and_nothing_is_sent(self) -> None:
        await self.start_all()
        client = await self.client()
        cases = [
            (io_command(Opcode.READ, 9), 4096, Status.INVALID_NAMESPACE),
            (io_command(Opcode.READ, 1, 1024), 4096, Status.LBA_OUT_OF_RANGE),
            (io_command(Opcode.READ, 1, 63, 2), 8192, Status.INVALID_FIELD),
            (io_command(Opcode.READ, 1, 0, 2), 4096, Status.SGL_LENGTH_INVALID),
            (Command(0x55, nsid=1), 0, Status.INVALID_OPCODE),
        ]
        for command, read, status in cases:
            done, _ = await client.io.call(command, read=read)
            self.assertEqual((status, True), (done.status, done.final))
        self.assertEqual([], self.arrivals())

    async def test_a_host_nobody_knows_is_not_let_in(self) -> None:
        await self.start_all()
        self.site.tenant[0].host[0] = "nqn.2026-12.org.gorsethread:host:stranger"
        with self.assertRaisesRegex(Exception, "0x184"):
            await self.client()

    async def test_more_commands_than_slots_everywhere(self) -> None:
        """Queue of the client 64, of the link 16, of the shelf 20, two cores: each is answered once."""
        await self.start_all()
        client = await self.client()
        sent = [self.send(client, Opcode.READ, block=n % 128) for n in range(64)]
        answers = [await s for s in sent]
        self.assertEqual(64, len(answers))
        self.assertIn("honoured", {how for how, _, _ in answers})
        self.judged()

    async def test_transactions_leave_nothing_for_the_collector(self) -> None:
        """Each once left some forty objects in cycles; the collector then stopped the head noticeably."""
        await self.start_all()
        client = await self.client()
        for n in range(50):
            await self.send(client, Opcode.READ, block=n)
        gc.collect()
        gc.disable()
        try:
            for n in range(200):
                await self.send(client, Opcode.WRITE if n % 2 else Opcode.READ, block=n % 128)
            found = gc.collect()
        finally:
            gc.enable()
        self.assertLess(found, 200, "under one object a transaction")

    async def test_sigterm_answers_what_is_open_and_takes_nothing_new(self) -> None:
        await self.start_all()
        client = await self.client()
        held = self.hold(0)
        first = self.send(client, Opcode.READ)
        await self.until(lambda: held)
        ending = asyncio.get_running_loop().create_task(self.heads[0].end())
        await asyncio.sleep(0)
        second = self.send(client, Opcode.READ, block=1)
        self.assertEqual("pushed back", (await second)[0])
        self.shelves[0]._record_end(held[0], "honoured", False)
        held[0].answer(Completion(0), bytes(4096))
        self.assertEqual("honoured", (await first)[0])
        await ending
        self.judged()


class Failing(Rig):
    async def test_a_shelf_dies_after_it_took_an_irreversible_write(self) -> None:
        await self.start_all()
        client = await self.client()
        took = self.hold(0)
        sent = self.send(client, Opcode.WRITE, hints=POST)
        await self.until(lambda: took)
        self.shelves[0].die()
        how, done, _ = await sent
        self.assertEqual(("given up", True), (how, done.final))
        self.start_shelf(0)
        # Another transaction of that shelf gets through again; the write must not have come with it.
        write = self.label
        for _ in range(50):
            if (await self.send(client, Opcode.READ))[0] == "honoured":
                break
        self.assertIn(self.label, [r["label"] for r in self.seen if r["e"] == "ended"])
        self.assertEqual([0], self.arrivals(write))
        self.judged()

    async def test_a_shelf_dies_with_a_read_out(self) -> None:
        """A redoable transaction is tried again when the shelf is back, or answered in time."""
        await self.start_all()
        client = await self.client()
        took = self.hold(0)
        sent = self.send(client, Opcode.READ)
        await self.until(lambda: took)
        self.shelves[0].die()
        self.start_shelf(0)
        self.assertIn((await sent)[0], ("honoured", "pushed back"))
        self.judged()

    async def test_a_client_closes_with_a_read_out(self) -> None:
        await self.start_all()
        client, other = await self.client(), await self.client()
        held = self.hold(0)
        sent = self.send(client, Opcode.READ)
        await self.until(lambda: held)
        client.close()
        with self.assertRaises(StreamClosed):
            await sent
        await self.until(lambda: not self.heads[0].driver.open_requests, within=2.0)
        self.shelves[0].takes = None
        self.assertEqual("honoured", (await self.send(other, Opcode.READ, block=64))[0])
        self.assertEqual(1, len(self.arrivals(1)))
        self.judged()

    async def test_an_abort_reaches_the_shelf_and_is_answered(self) -> None:
        await self.start_all()
        client = await self.client()
        held = self.hold(0)
        sent = self.send(client, Opcode.READ)
        await self.until(lambda: held)
        client.abort(1)
        _, done, _ = await sent
        self.assertEqual(Status.ABORT_REQUESTED, done.status)
        await self.until(lambda: not self.heads[0].driver.open_requests)

    async def test_a_shelf_that_accepts_and_never_speaks(self) -> None:
        """No ICResp: the connection is not established in time, so the forward never ran."""
        # Long before a forward's own time, also where a machine at work elsewhere makes timers late.
        self.site.links.connect_within = 0.05
        self.start_list()
        silent: list[object] = []

        async def accept(stream: object) -> None:
            silent.append(stream)
            await asyncio.sleep(3600)

        self.start_shelf(0)
        await self.until(lambda: 0 in self.list.entries)
        self.shelves[0]._listener.close()
        port = int(self.site.shelf[0].address.rpartition(":")[2])
        listener = self.transport.listen("127.0.0.1", port, accept)
        self.start_head()
        await self.until(lambda: 0 in self.heads[0].driver.scheduler.shards.serving)
        client = await self.client()
        how, _, _ = await self.send(client, Opcode.WRITE, hints=POST)
        listener.close()
        self.assertIn(how, ("pushed back", "given up"))
        self.assertTrue(silent)
        ended = {k for k in self.heads[0].driver.counts if k in ENDINGS}
        self.assertEqual({attempt_count(AttemptOutcome.UNREACHABLE)}, ended)
        self.judged()

    async def test_half_a_pdu_and_silence(self) -> None:
        """From a client: its other commands go on; from a fresh connection: it is ended."""
        await self.start_all()
        client = await self.client()
        host, _, port = self.site.head[0].address.rpartition(":")
        stream = await self.transport.connect(host, int(port), 1.0)
        stream.write(initialize(PduType.IC_REQ, False, False, 0)[:60])
        self.assertEqual("honoured", (await self.send(client, Opcode.READ))[0])
        connection = next(c for c in self.heads[0].server.connections if c.controller is None)
        connection._not_connected()
        with self.assertRaises(StreamClosed):
            await stream.read()

    async def test_a_shelf_answers_twice_or_what_was_never_sent(self) -> None:
        """The link can't be trusted any more: it is made anew, and clients still get one answer each."""
        await self.start_all()
        client = await self.client()

        def twice(io: IoCommand) -> bool:
            self.shelves[0]._record_end(io, "honoured", False)
            io.answer(Completion(0), bytes(4096))
            io.connection.queue._open.add(io.command.cid)
            io.connection.queue.respond(Completion(io.command.cid))
            return True

        self.shelves[0].takes = twice
        self.assertEqual("honoured", (await self.send(client, Opcode.READ))[0])
        await self.until(lambda: self.heads[0].driver.links[0].association is None)
        self.shelves[0].takes = None
        for _ in range(3):
            how, _, _ = await self.send(client, Opcode.READ, block=2)
            if how == "honoured":
                break
            await asyncio.sleep(0.3)
        self.assertEqual("honoured", how)
        self.judged()

    async def test_an_answer_and_its_time_out_in_one_turn(self) -> None:
        """Whichever is worked on first ends the forward; the other does nothing."""
        for first in ("answer", "time-out"):
            with self.subTest(first=first):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.start_all()
                client = await self.client()
                held: list[IoCommand] = []
                self.shelves[0].takes = lambda io, held=held: not held.append(io)  # type: ignore[misc]
                sent = self.send(client, Opcode.WRITE, hints=POST)
                await self.until(lambda held=held: held)
                driver = self.heads[0].driver
                t = next(iter(driver.open_requests.values()))
                f = t.in_flight[0]
                acts = [lambda f=f: self._answer(f), lambda t=t, d=driver: d._time_is_up(t)]
                for act in acts if first == "answer" else reversed(acts):
                    act()
                how, _, _ = await sent
                self.assertEqual("honoured" if first == "answer" else "given up", how)
                await self.until(lambda d=driver: not d.open_requests)

    def _answer(self, f: Attempt) -> None:
        self.heads[0].driver.links[f.backend]._end(f, AttemptOutcome.SUCCEEDED, AttemptResult())

    async def test_the_list_is_gone_at_start(self) -> None:
        """The head serves by the list it remembers; without one it pushes back in time."""
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "list")
            await self.start_all()
            first = self.heads[0]
            first.follower.path = path
            first.follower._save()
            self.assertTrue(Path(path).exists())
            first.follower.stop()
            first.server.stop("killed")
            first._listener.close()
            self.list.stop()
            for watcher in list(self.list.watchers):
                watcher.stream.close()
            self.start_head(0, path)
            client = await self.client()
            self.assertEqual("honoured", (await self.send(client, Opcode.READ))[0])
        self.judged()

    async def test_a_remembered_list_that_is_garbage_is_left_alone(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "list"
            path.write_bytes(b"{half a li")
            self.start_head(0, str(path))
            client = await self.client()
            self.assertIn((await self.send(client, Opcode.READ))[0], ("pushed back", "given up"))
            self.assertEqual(b"{half a li", path.read_bytes())

    async def test_a_drain_is_told_while_a_forward_is_being_written(self) -> None:
        """What is on its way ends in order; later ones for that shard are not sent there."""
        await self.start_all()
        client = await self.client()
        held = self.hold(0)
        sent = self.send(client, Opcode.WRITE, blocks=32)
        # On its connection, not only decided: an attempt that waits for one ends with the drain, unsent.
        await self.until(lambda: self.heads[0].driver.links[0].out)
        self.list._order(DrainOrder(0, "draining"), _Deaf())
        await self.until(lambda: 0 not in self.heads[0].driver.scheduler.shards.serving)
        late = self.send(client, Opcode.READ)
        await self.until(lambda: held)
        self.shelves[0]._record_end(held[0], "honoured", True)
        held[0].answer(Completion(0))
        self.assertEqual("honoured", (await sent)[0])
        self.assertIn((await late)[0], ("pushed back", "given up"))
        self.assertEqual(1, len(self.arrivals()))
        self.judged()

    async def test_a_link_goes_after_its_shelf_and_its_last_forward(self) -> None:
        """A shelf that left with a forward out once kept its link for ever."""
        await self.start_all()
        client = await self.client()
        held = self.hold(0)
        sent = self.send(client, Opcode.READ)
        await self.until(lambda: held)
        driver, follower = self.heads[0].driver, self.heads[0].follower
        follower._take(b'{"kind":"changes","version":90,"shelves":[%s]}' % _gone(self.site.shelf[0].address))
        self.assertIn(0, driver.links)
        self.shelves[0]._record_end(held[0], "honoured", False)
        held[0].answer(Completion(0), bytes(4096))
        self.assertEqual("honoured", (await sent)[0])
        follower._take(b'{"kind":"changes","version":91,"shelves":[]}')
        self.assertEqual([1], list(driver.links))

    async def test_r2t_data_comes_a_byte_at_a_time(self) -> None:
        await self.start_all()
        whole = await self.client()
        host, _, port = self.site.head[0].address.rpartition(":")
        stream = await self.transport.connect(host, int(port), 1.0)
        encoder = Encoder()
        stream.write(initialize(PduType.IC_REQ, False, False, 0))
        data = connect_data(bytes(16), whole.controller, self.site.subsystem, self.site.tenant[0].host[0])
        command = Command(**{**_fields(connect(1, 8)), "sgl_type": 1, "sgl_length": 1024})
        stream.write(encoder.capsule_cmd(command.pack(), data))
        write = io_command(Opcode.WRITE, 1, 0, 1, label=77)
        payload = stamped_blocks(77, 1, 0, 1)
        command = Command(**{**_fields(write), "cid": 5, "sgl_type": 0x5A, "sgl_length": len(payload)})
        stream.write(encoder.capsule_cmd(command.pack()))
        pdu = encoder.data(PduType.H2C_DATA, 5, 5, 0, payload, True)
        head = self.heads[0].server
        await self.until(lambda: any(5 in c.open for c in head.connections))
        for at in range(len(pdu)):
            stream.write(pdu[at : at + 1])
            if at % 64 == 0:
                await stream.drained()
        await self.until(lambda: any(r["e"] == "ran" and r["label"] == 77 for r in self.seen))
        how, _, got = await self.send(await self.client(), Opcode.READ)
        self.assertEqual(("honoured", payload), (how, got))


def _gone(address: str) -> bytes:
    return (
        b'{"number":0,"address":"%s","shard":0,"zone":0,"state":"gone","start":1,"age":0}' % address.encode()
    )


class _Deaf:
    def write(self, data: bytes) -> None:
        pass


def _fields(command: Command) -> dict[str, int]:
    return command._asdict()


class Waiting(unittest.TestCase):
    def test_what_is_called_off_before_its_connection_stands_is_not_sent(self) -> None:
        class Spawns:
            def spawn(self, work: Coroutine[Any, Any, None]) -> None:
                work.close()  # the connection is not up yet, and stays so

        link = BackendLink(Spawns(), 1, ("shelf", 1), None, 1.0, 8, False, None)  # type: ignore[arg-type]
        ends: list[AttemptOutcome] = []
        f = Attempt(1, 0, 1, 0.0, Sent(io_command(Opcode.READ, 1)), lambda f, how, told: ends.append(how))
        link.send(f)
        link.cancel(f)
        self.assertEqual(([AttemptOutcome.NOT_SENT], []), (ends, link.waiting))
