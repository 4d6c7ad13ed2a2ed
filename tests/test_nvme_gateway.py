"""Tests a gateway on loopback, mostly its handling of failures; checks what backends and clients observe."""

import asyncio
import gc
import tempfile
import unittest
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from gorsethread.fakes.client import stamped_blocks
from gorsethread.fakes.discovery import DrainOrder
from gorsethread.gateway.attempts import Attempt, AttemptResult, attempt_count
from gorsethread.nvme.command import Command, Completion, Opcode, Status, connect, connect_data, io_command
from gorsethread.nvme.pdu import Encoder, PduType, initialize
from gorsethread.nvme_gateway.backend_link import BackendCommand, BackendLink
from gorsethread.nvme_transport.controller_server import IoCommand
from gorsethread.scheduling.model import AttemptOutcome
from gorsethread.transport.base import StreamClosed
from tests.rig import SiteTestCase

NON_IDEMPOTENT_HINT = 16
ATTEMPT_COUNTS = {attempt_count(outcome) for outcome in AttemptOutcome}


class NormalOperation(SiteTestCase):
    async def test_reads_return_the_bytes_written(self) -> None:
        await self.start_all()
        client = await self.connect_client(digests=True)
        self.assertEqual([1, 2], await client.namespaces())
        for block, blocks in ((0, 1), (64, 2), (200, 32)):
            how, _, _ = await self.send(client, Opcode.WRITE, block=block, blocks=blocks)
            self.assertEqual("honoured", how)
            how, _, data = await self.send(client, Opcode.READ, block=block, blocks=blocks)
            self.assertEqual(("honoured", stamped_blocks(self.last_label - 1, 1, block, blocks)), (how, data))
        completion, _ = await client.io.call(io_command(Opcode.FLUSH, 1))
        self.assertTrue(completion.succeeded)
        self.assert_invariants_hold()

    async def test_an_extent_stays_on_the_shard_of_its_first_write(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        how, completion, _ = await self.send(client, Opcode.READ, volume=2)
        self.assertEqual(Status.UNWRITTEN_BLOCK, completion.status)
        pending = [self.send(client, Opcode.WRITE, volume=2, block=n, label=100 + n) for n in range(8)]
        answers = [await answer for answer in pending]
        self.assertLessEqual({how for how, _, _ in answers}, {"honoured", "pushed back"})
        self.assertEqual(1, len(set(self.backends_reached())), "one extent, one backend")
        shards = {completion.dw0 for how, completion, _ in answers if how == "honoured"}
        self.assertEqual(
            {self.backends_reached()[0] + 1}, shards, "the gateway tells the client the extent's shard"
        )
        self.assert_invariants_hold()

    async def test_an_invalid_command_fails_with_its_status_and_is_not_forwarded(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        cases = [
            (io_command(Opcode.READ, 9), 4096, Status.INVALID_NAMESPACE),
            (io_command(Opcode.READ, 1, 1024), 4096, Status.LBA_OUT_OF_RANGE),
            (io_command(Opcode.READ, 1, 63, 2), 8192, Status.INVALID_FIELD),
            (io_command(Opcode.READ, 1, 0, 2), 4096, Status.SGL_LENGTH_INVALID),
            (Command(0x55, nsid=1), 0, Status.INVALID_OPCODE),
        ]
        for command, read, status in cases:
            completion, _ = await client.io.call(command, read_bytes=read)
            self.assertEqual((status, True), (completion.status, completion.do_not_retry))
        self.assertEqual([], self.backends_reached())

    async def test_an_unknown_host_cannot_connect(self) -> None:
        await self.start_all()
        self.site.tenant[0].host[0] = "nqn.2026-12.org.gorsethread:host:stranger"
        with self.assertRaisesRegex(Exception, "0x184"):
            await self.connect_client()

    async def test_more_commands_than_any_queue_holds_are_each_answered_once(self) -> None:
        """The queues have 64 entries (client), 16 (link) and 20 (backend); the backend has two cores."""
        await self.start_all()
        client = await self.connect_client()
        pending = [self.send(client, Opcode.READ, block=n % 128) for n in range(64)]
        answers = [await answer for answer in pending]
        self.assertEqual(64, len(answers))
        self.assertIn("honoured", {how for how, _, _ in answers})
        self.assert_invariants_hold()

    async def test_requests_leave_no_reference_cycles(self) -> None:
        """Each request used to leave some forty objects in cycles; collecting them delayed the gateway."""
        await self.start_all()
        client = await self.connect_client()
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
        self.assertLess(found, 200, "under one object per request")

    async def test_shutdown_answers_open_commands_and_rejects_new_ones(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        held = self.hold_commands(0)
        first = self.send(client, Opcode.READ)
        await self.wait_until(lambda: held)
        ending = asyncio.get_running_loop().create_task(self.gateways[0].end())
        await asyncio.sleep(0)
        second = self.send(client, Opcode.READ, block=1)
        self.assertEqual("pushed back", (await second)[0])
        self.backends[0]._record_end(held[0], "honoured", False)
        held[0].answer(Completion(0), bytes(4096))
        self.assertEqual("honoured", (await first)[0])
        await ending
        self.assert_invariants_hold()


class Failures(SiteTestCase):
    async def test_a_non_idempotent_write_is_not_retried_after_its_backend_crashes(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        held = self.hold_commands(0)
        pending = self.send(client, Opcode.WRITE, hints=NON_IDEMPOTENT_HINT)
        await self.wait_until(lambda: held)
        self.backends[0].die()
        how, completion, _ = await pending
        self.assertEqual(("given up", True), (how, completion.do_not_retry))
        self.start_backend(0)
        # Once another request reaches that backend again, the write must not have been sent again.
        write = self.last_label
        for _ in range(50):
            if (await self.send(client, Opcode.READ))[0] == "honoured":
                break
        self.assertIn(self.last_label, [r["label"] for r in self.events if r["e"] == "ended"])
        self.assertEqual([0], self.backends_reached(write))
        self.assert_invariants_hold()

    async def test_a_read_is_retried_or_rejected_after_its_backend_crashes(self) -> None:
        """An idempotent request is retried when the backend is back, or rejected in time."""
        await self.start_all()
        client = await self.connect_client()
        held = self.hold_commands(0)
        pending = self.send(client, Opcode.READ)
        await self.wait_until(lambda: held)
        self.backends[0].die()
        self.start_backend(0)
        self.assertIn((await pending)[0], ("honoured", "pushed back"))
        self.assert_invariants_hold()

    async def test_a_client_that_disconnects_during_a_read_leaves_nothing_open(self) -> None:
        await self.start_all()
        client, other = await self.connect_client(), await self.connect_client()
        held = self.hold_commands(0)
        pending = self.send(client, Opcode.READ)
        await self.wait_until(lambda: held)
        client.close()
        with self.assertRaises(StreamClosed):
            await pending
        await self.wait_until(lambda: not self.gateways[0].driver.open_requests, timeout=2.0)
        self.backends[0].intercept = None
        self.assertEqual("honoured", (await self.send(other, Opcode.READ, block=64))[0])
        self.assertEqual(1, len(self.backends_reached(1)))
        self.assert_invariants_hold()

    async def test_an_aborted_command_is_answered_and_closed(self) -> None:
        await self.start_all()
        client = await self.connect_client()
        held = self.hold_commands(0)
        pending = self.send(client, Opcode.READ)
        await self.wait_until(lambda: held)
        client.abort(1)
        _, completion, _ = await pending
        self.assertEqual(Status.ABORT_REQUESTED, completion.status)
        await self.wait_until(lambda: not self.gateways[0].driver.open_requests)

    async def test_a_backend_that_accepts_connections_but_sends_nothing_is_unreachable(self) -> None:
        """Without an ICResp the connection is not established in time, so the attempt cannot have run."""
        # Much shorter than the attempt's own timeout, even if a busy machine delays timers.
        self.site.links.connect_within = 0.05
        self.start_discovery()
        silent: list[object] = []

        async def accept(stream: object) -> None:
            silent.append(stream)
            await asyncio.sleep(3600)

        self.start_backend(0)
        await self.wait_until(lambda: 0 in self.discovery.entries)
        self.backends[0]._listener.close()
        port = int(self.site.shelf[0].address.rpartition(":")[2])
        listener = self.transport.listen("127.0.0.1", port, accept)
        self.start_gateway()
        await self.wait_until(lambda: 0 in self.gateways[0].driver.scheduler.shards.serving)
        client = await self.connect_client()
        how, _, _ = await self.send(client, Opcode.WRITE, hints=NON_IDEMPOTENT_HINT)
        listener.close()
        self.assertIn(how, ("pushed back", "given up"))
        self.assertTrue(silent)
        ended = {k for k in self.gateways[0].driver.counts if k in ATTEMPT_COUNTS}
        self.assertEqual({attempt_count(AttemptOutcome.UNREACHABLE)}, ended)
        self.assert_invariants_hold()

    async def test_an_incomplete_pdu_on_a_new_connection_affects_no_other_client(self) -> None:
        """Other clients are served meanwhile, and the incomplete connection is closed by its timeout."""
        await self.start_all()
        client = await self.connect_client()
        host, _, port = self.site.head[0].address.rpartition(":")
        stream = await self.transport.connect(host, int(port), 1.0)
        stream.write(initialize(PduType.IC_REQ, False, False, 0)[:60])
        self.assertEqual("honoured", (await self.send(client, Opcode.READ))[0])
        connection = next(c for c in self.gateways[0].server.connections if c.controller is None)
        connection._not_connected()
        with self.assertRaises(StreamClosed):
            await stream.read()

    async def test_a_backend_that_answers_twice_is_disconnected(self) -> None:
        """The link reconnects, as its answers cannot be trusted, and each client still gets one answer."""
        await self.start_all()
        client = await self.connect_client()

        def answer_twice(io: IoCommand) -> bool:
            self.backends[0]._record_end(io, "honoured", False)
            io.answer(Completion(0), bytes(4096))
            io.connection.queue._open.add(io.command.cid)
            io.connection.queue.respond(Completion(io.command.cid))
            return True

        self.backends[0].intercept = answer_twice
        self.assertEqual("honoured", (await self.send(client, Opcode.READ))[0])
        await self.wait_until(lambda: self.gateways[0].driver.links[0].association is None)
        self.backends[0].intercept = None
        for _ in range(3):
            how, _, _ = await self.send(client, Opcode.READ, block=2)
            if how == "honoured":
                break
            await asyncio.sleep(0.3)
        self.assertEqual("honoured", how)
        self.assert_invariants_hold()

    async def test_an_answer_and_a_timeout_in_one_loop_iteration_answer_once(self) -> None:
        """The first of the two ends the attempt, and the other has no effect."""
        for first in ("answer", "timeout"):
            with self.subTest(first=first):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.start_all()
                client = await self.connect_client()
                held: list[IoCommand] = []
                self.backends[0].intercept = lambda io, held=held: not held.append(io)  # type: ignore[misc]
                pending = self.send(client, Opcode.WRITE, hints=NON_IDEMPOTENT_HINT)
                await self.wait_until(lambda held=held: held)
                driver = self.gateways[0].driver
                request = next(iter(driver.open_requests.values()))
                attempt = request.in_flight[0]
                actions = [
                    lambda attempt=attempt: self._answer(attempt),
                    lambda request=request, driver=driver: driver._time_is_up(request),
                ]
                for action in actions if first == "answer" else reversed(actions):
                    action()
                how, _, _ = await pending
                self.assertEqual("honoured" if first == "answer" else "given up", how)
                await self.wait_until(lambda driver=driver: not driver.open_requests)

    def _answer(self, attempt: Attempt) -> None:
        self.gateways[0].driver.links[attempt.backend]._end_attempt(
            attempt, AttemptOutcome.SUCCEEDED, AttemptResult()
        )

    async def test_a_gateway_serves_from_the_saved_list_when_discovery_is_down(self) -> None:
        """The gateway uses the list that it saved before it was restarted."""
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "list")
            await self.start_all()
            original = self.gateways[0]
            original.discovery.path = path
            original.discovery._save_list()
            self.assertTrue(Path(path).exists())
            original.discovery.stop()
            original.server.stop("killed")
            original._listener.close()
            self.discovery.stop()
            for watcher in list(self.discovery.watchers):
                watcher.stream.close()
            self.start_gateway(0, path)
            client = await self.connect_client()
            self.assertEqual("honoured", (await self.send(client, Opcode.READ))[0])
        self.assert_invariants_hold()

    async def test_an_unreadable_saved_list_is_ignored_and_kept(self) -> None:
        """Without a list the gateway still answers each request in time, by rejecting or failing it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "list"
            path.write_bytes(b"{half a li")
            self.start_gateway(0, str(path))
            client = await self.connect_client()
            self.assertIn((await self.send(client, Opcode.READ))[0], ("pushed back", "given up"))
            self.assertEqual(b"{half a li", path.read_bytes())

    async def test_a_drain_during_a_write_lets_the_write_finish(self) -> None:
        """The attempt in flight finishes; later requests for that shard are not sent to the backend."""
        await self.start_all()
        client = await self.connect_client()
        held = self.hold_commands(0)
        pending = self.send(client, Opcode.WRITE, blocks=32)
        # It must have been sent: the drain ends an attempt that still waits for a connection.
        await self.wait_until(lambda: self.gateways[0].driver.links[0].in_flight)
        self.discovery._order(DrainOrder(0, "draining"), _IgnoringStream())
        await self.wait_until(lambda: 0 not in self.gateways[0].driver.scheduler.shards.serving)
        late = self.send(client, Opcode.READ)
        await self.wait_until(lambda: held)
        self.backends[0]._record_end(held[0], "honoured", True)
        held[0].answer(Completion(0))
        self.assertEqual("honoured", (await pending)[0])
        self.assertIn((await late)[0], ("pushed back", "given up"))
        self.assertEqual(1, len(self.backends_reached()))
        self.assert_invariants_hold()

    async def test_a_link_is_removed_after_its_backend_leaves_and_its_last_attempt_ends(self) -> None:
        """A backend that left the list with an attempt in flight used to keep its link forever."""
        await self.start_all()
        client = await self.connect_client()
        held = self.hold_commands(0)
        pending = self.send(client, Opcode.READ)
        await self.wait_until(lambda: held)
        driver, discovery = self.gateways[0].driver, self.gateways[0].discovery
        discovery._line_received(
            b'{"kind":"changes","version":90,"shelves":[%s]}'
            % _entry_of_gone_backend(self.site.shelf[0].address)
        )
        self.assertIn(0, driver.links)
        self.backends[0]._record_end(held[0], "honoured", False)
        held[0].answer(Completion(0), bytes(4096))
        self.assertEqual("honoured", (await pending)[0])
        discovery._line_received(b'{"kind":"changes","version":91,"shelves":[]}')
        self.assertEqual([1], list(driver.links))

    async def test_write_data_may_arrive_byte_by_byte(self) -> None:
        await self.start_all()
        association = await self.connect_client()
        host, _, port = self.site.head[0].address.rpartition(":")
        stream = await self.transport.connect(host, int(port), 1.0)
        encoder = Encoder()
        stream.write(initialize(PduType.IC_REQ, False, False, 0))
        data = connect_data(
            bytes(16), association.controller, self.site.subsystem, self.site.tenant[0].host[0]
        )
        command = Command(**{**_fields(connect(1, 8)), "sgl_type": 1, "sgl_length": 1024})
        stream.write(encoder.capsule_cmd(command.pack(), data))
        write = io_command(Opcode.WRITE, 1, 0, 1, label=77)
        payload = stamped_blocks(77, 1, 0, 1)
        command = Command(**{**_fields(write), "cid": 5, "sgl_type": 0x5A, "sgl_length": len(payload)})
        stream.write(encoder.capsule_cmd(command.pack()))
        pdu = encoder.data(PduType.H2C_DATA, 5, 5, 0, payload, True)
        server = self.gateways[0].server
        await self.wait_until(lambda: any(5 in c.open_commands for c in server.connections))
        for at in range(len(pdu)):
            stream.write(pdu[at : at + 1])
            if at % 64 == 0:
                await stream.drained()
        await self.wait_until(lambda: any(r["e"] == "ran" and r["label"] == 77 for r in self.events))
        how, _, got = await self.send(await self.connect_client(), Opcode.READ)
        self.assertEqual(("honoured", payload), (how, got))


def _entry_of_gone_backend(address: str) -> bytes:
    return (
        b'{"number":0,"address":"%s","shard":0,"zone":0,"state":"gone","start":1,"age":0}' % address.encode()
    )


class _IgnoringStream:
    def write(self, data: bytes) -> None:
        pass


def _fields(command: Command) -> dict[str, int]:
    return command._asdict()


class CancelledAttempts(unittest.TestCase):
    def test_an_attempt_cancelled_while_connecting_is_not_sent(self) -> None:
        class SpawnsNothing:
            def spawn(self, work: Coroutine[Any, Any, None]) -> None:
                work.close()  # the connection is never established

        link = BackendLink(SpawnsNothing(), 1, ("shelf", 1), None, 1.0, 8, False, None)  # type: ignore[arg-type]
        outcomes: list[AttemptOutcome] = []
        attempt = Attempt(
            1,
            0,
            1,
            0.0,
            BackendCommand(io_command(Opcode.READ, 1)),
            lambda attempt, outcome, result: outcomes.append(outcome),
        )
        link.send(attempt)
        link.cancel(attempt)
        self.assertEqual(([AttemptOutcome.NOT_SENT], []), (outcomes, link.awaiting_connection))
