"""The simulated network and processes behave like real ones: windows, cuts, resets, kills, pauses, clocks."""

import errno
import logging
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from gorsethread.transport.base import Stream, StreamClosed, Unreachable
from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

ADDRESS = ("b", 1)


class TwoProcesses(unittest.TestCase):
    """Process a connects to process b; served holds the ends of the connections at b."""

    def start(
        self, conditions: NetworkConditions | None = None, offset: float = 0.0, drift: float = 0.0
    ) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.network = Network(self.loop, 1, conditions or NetworkConditions())
        disk = Disk()
        self.a = VirtualTransport(self.network, disk, "a", offset, drift)
        self.b = VirtualTransport(self.network, disk, "b")
        self.served: list[Stream] = []
        self.received = b""
        self.end_reason = ""
        self.listener = self.b.listen(*ADDRESS, self.serve)

    async def serve(self, stream: Stream) -> None:
        self.served.append(stream)
        await self.read_all(stream)

    async def read_all(self, stream: Stream) -> None:
        try:
            while True:
                self.received += await stream.read()
        except StreamClosed as error:
            self.end_reason = str(error)

    def simulate(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Runs the work to its end and then kills both processes."""
        self.loop.run_until_complete(work())
        for process in (self.a, self.b):
            process.kill()
        self.loop.run_until_complete(self.wait(0.1))

    async def wait(self, seconds: float) -> None:
        waiting = self.loop.create_future()
        self.loop.call_later(seconds, waiting.set_result, None)
        await waiting

    def test_bytes_sent_during_a_cut_in_one_direction_arrive_after_it_heals(self) -> None:
        self.start()

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            self.network.cut("a", "b")
            stream.write(b"held")
            await self.wait(3.0)
            self.assertEqual(b"", self.received)
            self.served[0].write(b"back")
            self.assertEqual(b"back", await stream.read())
            with self.assertRaises(Unreachable):
                await self.a.connect(*ADDRESS, 0.5)
            self.network.heal("a", "b")
            await self.wait(0.5)
            self.assertEqual(b"held", self.received)

        self.simulate(work)

    def test_a_reset_loses_bytes_in_flight_and_is_seen_by_both_ends(self) -> None:
        self.start()

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            stream.write(b"lost")
            await self.wait(0.0001)
            self.network.reset("a", "b")
            with self.assertRaises(StreamClosed):
                await stream.read()
            await self.wait(0.1)
            self.assertEqual((b"", "connection reset"), (self.received, self.end_reason))

        self.simulate(work)

    def test_the_end_of_a_killed_peer_is_seen_and_that_of_a_vanished_one_is_not(self) -> None:
        for method in ("kill", "vanish"):
            self.start()

            async def work(method: str = method) -> None:
                stream = await self.a.connect(*ADDRESS, 1.0)
                await self.wait(0.1)
                getattr(self.b, method)()
                errors: list[str] = []

                async def read() -> None:
                    try:
                        await stream.read()
                    except StreamClosed as error:
                        errors.append(str(error))

                self.a.spawn(read())
                stream.write(b"more")
                await self.wait(30.0)
                self.assertEqual(method == "kill", bool(errors))

            with self.subTest(method=method):
                self.simulate(work)

    def test_bytes_for_an_earlier_process_of_the_same_name_are_answered_by_a_reset(self) -> None:
        self.start()

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            self.b.vanish()
            successor = VirtualTransport(self.network, Disk(), "b")
            successor.listen(*ADDRESS, self.serve)
            stream.write(b"to the earlier process")
            with self.assertRaises(StreamClosed):
                await stream.read()

        self.simulate(work)

    def test_a_paused_process_gets_all_due_events_at_once_when_it_resumes(self) -> None:
        self.start()
        fired: list[float] = []

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            self.b.call_at(self.b.now() + 1.0, lambda: fired.append(self.b.now()))
            self.b.pause()
            stream.write(b"while it was paused")
            await self.wait(5.0)
            self.assertEqual(([], b""), (fired, self.received))
            now = self.loop.time()
            self.b.resume()
            await self.wait(0.001)
            self.assertEqual(([now], b"while it was paused"), (fired, self.received))

        self.simulate(work)

    def test_a_writer_is_limited_by_the_window_while_the_reader_is_paused(self) -> None:
        self.start(NetworkConditions(window=10_000))

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            self.b.pause()
            stream.write(bytes(50_000))
            await self.wait(1.0)
            self.assertEqual(40_000, stream.unsent)
            self.b.resume()
            await stream.drained()
            await self.wait(0.1)
            self.assertEqual(50_000, len(self.received))

        self.simulate(work)

    @given(st.lists(st.binary(min_size=1, max_size=300), max_size=20), st.integers(0, 1000))
    def test_bytes_arrive_complete_and_in_order(self, pieces: list[bytes], seed: int) -> None:
        self.start(NetworkConditions(window=700, segment=64, split=0.6))
        self.network.seed = seed

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            for piece in pieces:
                stream.write(piece)
                await self.wait(0.0005)
            await stream.drained()
            stream.close()
            await self.wait(1.0)
            self.assertEqual((b"".join(pieces), "closed by peer"), (self.received, self.end_reason))

        self.simulate(work)

    @given(st.floats(-1000, 1000), st.sampled_from([0.0, 1e-4, -1e-4, 0.3]), st.floats(0, 100))
    def test_a_timer_never_fires_early_by_the_clock_of_its_process(
        self, offset: float, drift: float, seconds: float
    ) -> None:
        self.start(offset=offset, drift=drift)
        lateness: list[float] = []

        async def work() -> None:
            due = self.a.now() + seconds
            self.a.call_at(due, lambda: lateness.append(self.a.now() - due))
            await self.wait(200.0)

        self.simulate(work)
        self.assertTrue(0.0 <= lateness[0] < 1e-6, lateness)


class TimerErrors(unittest.IsolatedAsyncioTestCase):
    async def test_an_exception_in_a_timer_ends_a_real_program(self) -> None:
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        self.addCleanup(logging.getLogger("asyncio").setLevel, logging.NOTSET)
        transport = RealTransport()
        transport.call_at(transport.now(), lambda: [][0])
        with self.assertRaises(IndexError):
            await transport.until_finished()


class RealAccepting(unittest.IsolatedAsyncioTestCase):
    async def test_accepting_continues_after_a_lack_of_file_descriptors(self) -> None:
        transport, served = RealTransport(), []

        async def serve(stream: Stream) -> None:
            served.append(stream)

        listener = transport.listen("127.0.0.1", 0, serve)
        self.addCleanup(listener.close)
        listening = listener._sockets[0]

        class OutOfDescriptors:
            def fileno(self) -> int:
                return listening.fileno()

            def accept(self) -> Any:
                raise OSError(errno.EMFILE, "Too many open files")

        listener._accept(OutOfDescriptors(), 1)  # type: ignore[arg-type]
        self.assertIsNone(transport.failed)
        listener._start_accepting(listening)
        stream = await transport.connect("127.0.0.1", listener.port, 1.0)
        while not served:
            await transport.sleep(0.01)
        for open_stream in (stream, *served):
            open_stream.close()
