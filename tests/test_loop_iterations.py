"""Iterations of the real event loop: the longest is known, and a long one names the bytes it worked on."""

import time
import unittest

from gorsethread.transport.base import Stream
from gorsethread.transport.loop_iterations import Iteration
from gorsethread.transport.real import RealTransport, run

BLOCKED_SECONDS = 0.05
LIMIT_SECONDS = 0.04


class Iterations(unittest.TestCase):
    def test_work_that_holds_up_the_loop_is_reported_with_its_peer(self) -> None:
        # Guards against a hold-up of all clients that leaves no trace in the counts and the log.
        reported: list[Iteration] = []
        longest: list[Iteration] = []
        peers: list[str] = []

        async def serve(stream: Stream) -> None:
            data = await stream.read()
            peers.append(stream.peer)
            time.sleep(BLOCKED_SECONDS)
            stream.write(data)

        async def main(transport: RealTransport) -> None:
            transport.watch_iterations(LIMIT_SECONDS, reported.append)
            listener = transport.listen("127.0.0.1", 0, serve)
            client = await transport.connect("127.0.0.1", listener.port, 1.0)
            client.write(b"12345")
            await client.read()
            await transport.sleep(0.0)
            longest.append(transport.take_longest_iteration())
            await transport.sleep(0.01)
            longest.append(transport.take_longest_iteration())
            client.close()
            listener.close()

        run(main)
        slow = [iteration for iteration in reported if iteration.work == f"5 bytes from {peers[0]}"]
        self.assertEqual(1, len(slow), reported)
        self.assertGreaterEqual(slow[0].seconds, BLOCKED_SECONDS)
        self.assertGreaterEqual(slow[0].work_seconds, BLOCKED_SECONDS)
        self.assertGreaterEqual(longest[0].seconds, BLOCKED_SECONDS)
        self.assertLess(longest[1].seconds, longest[0].seconds, "the longest since the last call")

    def test_work_without_bytes_of_a_peer_is_reported_without_a_name(self) -> None:
        reported: list[Iteration] = []

        async def main(transport: RealTransport) -> None:
            transport.watch_iterations(LIMIT_SECONDS, reported.append)
            transport.call_at(transport.now() + 0.01, lambda: time.sleep(BLOCKED_SECONDS))
            await transport.sleep(0.1)

        run(main)
        self.assertIn("", [i.work for i in reported if i.seconds >= BLOCKED_SECONDS])
