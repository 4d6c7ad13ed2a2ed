"""The virtual network does what TCP and processes do: windows, cuts, resets, kills, pauses, clocks."""

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


class Pair(unittest.TestCase):
    """Process a dials process b; what b's side of the connection is comes into served."""

    def begin(
        self, conditions: NetworkConditions | None = None, offset: float = 0.0, drift: float = 0.0
    ) -> None:
        self.loop = VirtualLoop()
        self.addCleanup(self.loop.close)
        self.network = Network(self.loop, 1, conditions or NetworkConditions())
        disk = Disk()
        self.a = VirtualTransport(self.network, disk, "a", offset, drift)
        self.b = VirtualTransport(self.network, disk, "b")
        self.served: list[Stream] = []
        self.got = b""
        self.ended = ""
        self.listener = self.b.listen(*ADDRESS, self.serve)

    async def serve(self, stream: Stream) -> None:
        self.served.append(stream)
        await self.reads(stream)

    async def reads(self, stream: Stream) -> None:
        try:
            while True:
                self.got += await stream.read()
        except StreamClosed as error:
            self.ended = str(error)

    def play(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.loop.run_until_complete(work())
        for process in (self.a, self.b):
            process.kill()
        self.loop.run_until_complete(self.wait(0.1))

    async def wait(self, seconds: float) -> None:
        waiting = self.loop.create_future()
        self.loop.call_later(seconds, waiting.set_result, None)
        await waiting

    def test_a_cut_one_way_holds_what_was_sent_until_it_heals(self) -> None:
        self.begin()

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            self.network.cut("a", "b")
            stream.write(b"held")
            await self.wait(3.0)
            self.assertEqual(b"", self.got)
            self.served[0].write(b"back")
            self.assertEqual(b"back", await stream.read())
            with self.assertRaises(Unreachable):
                await self.a.connect(*ADDRESS, 0.5)
            self.network.heal("a", "b")
            await self.wait(0.5)
            self.assertEqual(b"held", self.got)

        self.play(work)

    def test_a_reset_loses_what_is_on_the_way_and_both_ends_see_it(self) -> None:
        self.begin()

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            stream.write(b"lost")
            await self.wait(0.0001)
            self.network.reset("a", "b")
            with self.assertRaises(StreamClosed):
                await stream.read()
            await self.wait(0.1)
            self.assertEqual((b"", "connection reset"), (self.got, self.ended))

        self.play(work)

    def test_a_killed_peer_is_seen_a_vanished_one_is_not(self) -> None:
        for how in ("kill", "vanish"):
            self.begin()

            async def work(how: str = how) -> None:
                stream = await self.a.connect(*ADDRESS, 1.0)
                await self.wait(0.1)
                getattr(self.b, how)()
                seen: list[str] = []

                async def look() -> None:
                    try:
                        await stream.read()
                    except StreamClosed as error:
                        seen.append(str(error))

                self.a.spawn(look())
                stream.write(b"more")
                await self.wait(30.0)
                self.assertEqual(how == "kill", bool(seen))

            with self.subTest(how=how):
                self.play(work)

    def test_what_is_sent_to_an_earlier_life_is_reset(self) -> None:
        self.begin()

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            self.b.vanish()
            again = VirtualTransport(self.network, Disk(), "b")
            again.listen(*ADDRESS, self.serve)
            stream.write(b"to whom?")
            with self.assertRaises(StreamClosed):
                await stream.read()

        self.play(work)

    def test_a_paused_process_finds_all_due_at_once(self) -> None:
        self.begin()
        fired: list[float] = []

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            await self.wait(0.1)
            self.b.call_at(self.b.now() + 1.0, lambda: fired.append(self.b.now()))
            self.b.pause()
            stream.write(b"while it stood still")
            await self.wait(5.0)
            self.assertEqual(([], b""), (fired, self.got))
            now = self.loop.time()
            self.b.resume()
            await self.wait(0.001)
            self.assertEqual(([now], b"while it stood still"), (fired, self.got))

        self.play(work)

    def test_a_reader_that_stops_holds_the_writer_back(self) -> None:
        self.begin(NetworkConditions(window=10_000))

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
            self.assertEqual(50_000, len(self.got))

        self.play(work)

    @given(st.lists(st.binary(min_size=1, max_size=300), max_size=20), st.integers(0, 1000))
    def test_bytes_come_whole_and_in_order(self, pieces: list[bytes], seed: int) -> None:
        self.begin(NetworkConditions(window=700, segment=64, split=0.6))
        self.network.seed = seed

        async def work() -> None:
            stream = await self.a.connect(*ADDRESS, 1.0)
            for piece in pieces:
                stream.write(piece)
                await self.wait(0.0005)
            await stream.drained()
            stream.close()
            await self.wait(1.0)
            self.assertEqual((b"".join(pieces), "closed by peer"), (self.got, self.ended))

        self.play(work)

    @given(st.floats(-1000, 1000), st.sampled_from([0.0, 1e-4, -1e-4, 0.3]), st.floats(0, 100))
    def test_a_timer_never_comes_early_on_its_own_clock(
        self, offset: float, drift: float, seconds: float
    ) -> None:
        self.begin(offset=offset, drift=drift)
        came: list[float] = []

        async def work() -> None:
            due = self.a.now() + seconds
            self.a.call_at(due, lambda: came.append(self.a.now() - due))
            await self.wait(200.0)

        self.play(work)
        self.assertTrue(0.0 <= came[0] < 1e-6, came)


class Defects(unittest.IsolatedAsyncioTestCase):
    async def test_what_a_timer_raises_ends_a_real_program(self) -> None:
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        self.addCleanup(logging.getLogger("asyncio").setLevel, logging.NOTSET)
        transport = RealTransport()
        transport.call_at(transport.now(), lambda: [][0])
        with self.assertRaises(IndexError):
            await transport.until_finished()


class Accepting(unittest.IsolatedAsyncioTestCase):
    async def test_where_no_descriptor_is_left_it_goes_on_as_soon_as_there_is(self) -> None:
        transport, served = RealTransport(), []

        async def serve(stream: Stream) -> None:
            served.append(stream)

        listener = transport.listen("127.0.0.1", 0, serve)
        self.addCleanup(listener.close)
        listening = listener._sockets[0]

        class Full:
            def fileno(self) -> int:
                return listening.fileno()

            def accept(self) -> Any:
                raise OSError(errno.EMFILE, "Too many open files")

        listener._accept(Full(), 1)  # type: ignore[arg-type]
        self.assertIsNone(transport.failed)
        listener._start_accepting(listening)
        stream = await transport.connect("127.0.0.1", listener.port, 1.0)
        while not served:
            await transport.sleep(0.01)
        for each in (stream, *served):
            each.close()
