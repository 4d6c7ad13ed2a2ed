"""Real streams share the event loop: no connection is read on and on while others wait."""

import asyncio
import time
import unittest
from typing import Any

from gorsethread.transport.base import Stream, StreamClosed
from gorsethread.transport.large_reads import READ_BYTES, SMALL_READ_BYTES, LargeReads
from gorsethread.transport.real import RealTransport

SENT_BYTES = 8 * READ_BYTES
CONNECTIONS = 3
SLOW_WORK_SECONDS = 0.02

# Bytes of a connection whose large read waits: what was read, and a piece that the stream reads on.
MOST_HELD_IN_WAITING = 2 * SMALL_READ_BYTES


class Sharing(unittest.IsolatedAsyncioTestCase):
    async def reads_by_iteration(self, pieces: list[bytes]) -> list[list[int]]:
        """Returns the sizes of the reads in each iteration of the loop, of one connection per piece."""
        transport, iterations = RealTransport(), list[list[int]]()
        loop = asyncio.get_running_loop()
        received = 0

        def next_iteration() -> None:
            iterations.append([])
            if received < sum(map(len, pieces)):
                loop.call_soon(next_iteration)

        async def serve(stream: Stream) -> None:
            nonlocal received
            while True:
                try:
                    size = len(await stream.read())
                except StreamClosed:
                    return
                received += size
                iterations[-1].append(size)

        listener = transport.listen("127.0.0.1", 0, serve)
        clients = [await transport.connect("127.0.0.1", listener.port, 1.0) for _ in pieces]
        for client, piece in zip(clients, pieces, strict=True):
            client.write(piece)
        next_iteration()
        while received < sum(map(len, pieces)):
            await transport.sleep(0.001)
        for client in clients:
            client.close()
        listener.close()
        await transport.sleep(0.01)
        await transport.end()
        return [sizes for sizes in iterations if sizes]

    async def test_one_connection_is_read_once_in_an_iteration(self) -> None:
        # Guards against a connection's task that works off all buffered bytes in one loop iteration.
        iterations = await self.reads_by_iteration([b"x" * SENT_BYTES])
        self.assertEqual({1}, {len(sizes) for sizes in iterations})
        self.assertLessEqual(max(size for sizes in iterations for size in sizes), READ_BYTES)

    async def test_large_reads_of_several_connections_go_on_one_in_an_iteration(self) -> None:
        iterations = await self.reads_by_iteration([b"x" * SENT_BYTES] * CONNECTIONS)
        large = [[size for size in sizes if size > SMALL_READ_BYTES] for sizes in iterations]
        self.assertEqual(1, max(len(sizes) for sizes in large))

    async def test_a_small_read_does_not_wait_for_large_ones(self) -> None:
        admitted = list[int]()
        reads = LargeReads()

        async def read_large(number: int) -> None:
            waiting = reads.request()
            if waiting is not None:
                await waiting
            admitted.append(number)

        tasks = [asyncio.ensure_future(read_large(number)) for number in range(4)]
        await asyncio.sleep(0.0)
        self.assertEqual([0], admitted)
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual([0, 2, 3], admitted, "in order, without the cancelled one")

    async def test_after_a_slow_large_read_others_have_the_loop_for_as_long(self) -> None:
        # Guards against usual requests that wait for one slow large read in each of their iterations.
        reads = LargeReads()
        self.assertIsNone(reads.request())
        waiting = reads.request()
        assert waiting is not None
        time.sleep(SLOW_WORK_SECONDS)  # works on the bytes of the first
        began = time.monotonic()
        await waiting
        self.assertGreater(time.monotonic() - began, 0.9 * SLOW_WORK_SECONDS)

    async def test_a_stream_with_bytes_that_read_has_not_returned_is_not_idle(self) -> None:
        # Guards against a connection that is reused or closed as idle over bytes that were received.
        transport, served = RealTransport(), list[Any]()

        async def serve(stream: Stream) -> None:
            served.append(stream)
            try:
                await stream.read()
            finally:
                stream.close()

        listener = transport.listen("127.0.0.1", 0, serve)
        client = await transport.connect("127.0.0.1", listener.port, 1.0)
        try:
            while not served:
                await transport.sleep(0.001)
            await transport.sleep(0.01)
            self.assertTrue(served[0].is_idle())
            transport._large_reads._admitted = True  # by another connection, in this iteration
            client.write(b"x" * READ_BYTES)
            await transport.sleep(0.05)
            self.assertEqual(1, len(transport._large_reads._waiting))
            self.assertFalse(served[0].is_idle())
            # Guards against hundreds of connections that each hold a large piece while they wait.
            assert served[0]._reading is not None
            held = len(served[0]._reading.result()) + served[0]._stream._read_buffer_size
            self.assertLessEqual(held, MOST_HELD_IN_WAITING)
            # Guards against closed connections that stay in memory until their turn.
            served[0].close()
            self.assertEqual([True], [waiting.done() for waiting in transport._large_reads._waiting])
        finally:
            client.close()
            listener.close()
            await transport.end()
