"""Datagrams of the real and the virtual transport: delivery, size limit and the effect of faults."""

import asyncio
import unittest
from collections.abc import Callable

from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

Received = list[tuple[bytes, tuple[str, int]]]


def append_to(received: Received) -> Callable[[bytes, tuple[str, int]], None]:
    return lambda data, source: received.append((data, source))


class RealDatagrams(unittest.IsolatedAsyncioTestCase):
    async def test_datagrams_arrive_complete_and_with_their_source_address(self) -> None:
        transport, received = RealTransport(), Received()
        sender = transport.datagrams("127.0.0.1", 0, append_to(received))
        echo = transport.datagrams("127.0.0.1", 0, lambda data, source: echo.send(source, data.upper()))
        self.addCleanup(sender.close)
        self.addCleanup(echo.close)
        with self.assertRaises(OSError):
            transport.datagrams("127.0.0.1", sender.port, append_to(received))
        with self.assertRaises(ValueError):
            sender.send(("127.0.0.1", echo.port), bytes(257))
        closed = transport.datagrams("127.0.0.1", 0, append_to(received))
        closed.close()
        for n in range(20):
            sender.send(("127.0.0.1", closed.port), b"x")  # its refusal must not disturb the sending port
            sender.send(("127.0.0.1", echo.port), b"m%d" % n)
        while len(received) < 20:
            await asyncio.sleep(0.005)
        self.assertEqual([(b"M%d" % n, ("127.0.0.1", echo.port)) for n in range(20)], received)


class VirtualDatagrams(unittest.TestCase):
    def simulate(
        self,
        conditions: NetworkConditions,
        fault: Callable[[Network, dict[str, VirtualTransport]], None],
        number: int = 200,
    ) -> Received:
        """Sends datagrams from process a to process b under a fault; returns those that arrive."""
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        network, received = Network(loop, 5, conditions), Received()
        processes = {name: VirtualTransport(network, Disk(), name) for name in ("a", "b")}
        sender = processes["a"].datagrams("a", 1, append_to([]))
        processes["b"].datagrams("b", 1, append_to(received))
        fault(network, processes)
        for n in range(number):
            loop.call_later(0.01 * n, sender.send, ("b", 1), b"%d" % n)
        end = loop.create_future()
        loop.call_later(0.01 * number + 1.0, end.set_result, None)
        loop.run_until_complete(end)
        return received

    def test_without_faults_all_datagrams_arrive_once_and_in_order(self) -> None:
        received = self.simulate(NetworkConditions(), lambda network, processes: None)
        self.assertEqual([(b"%d" % n, ("a", 1)) for n in range(200)], received)

    def test_datagrams_are_lost_duplicated_and_reordered_as_configured(self) -> None:
        unreliable = NetworkConditions(lost=0.3, doubled=0.2, late=0.2)
        numbers = [int(data) for data, _ in self.simulate(unreliable, lambda network, processes: None)]
        self.assertTrue(90 < len(set(numbers)) < 175, len(set(numbers)))
        self.assertGreater(len(numbers), len(set(numbers)))
        self.assertNotEqual(sorted(numbers), numbers)

    def test_a_cut_stops_one_direction_and_an_ended_process_receives_nothing(self) -> None:
        self.assertEqual(
            200, len(self.simulate(NetworkConditions(), lambda network, processes: network.cut("b", "a")))
        )
        self.assertEqual(
            0, len(self.simulate(NetworkConditions(), lambda network, processes: network.cut("a", "b")))
        )
        for method in ("kill", "vanish"):
            received = self.simulate(
                NetworkConditions(),
                lambda network, processes, method=method: network.loop.call_later(  # type: ignore
                    1.0, getattr(processes["b"], method)
                ),
            )
            self.assertTrue(95 < len(received) < 105, len(received))

    def test_a_paused_process_receives_a_bounded_number_when_it_resumes(self) -> None:
        def pause(network: Network, processes: dict[str, VirtualTransport]) -> None:
            processes["b"].pause()
            network.loop.call_later(6.5, processes["b"].resume)

        self.assertEqual(256, len(self.simulate(NetworkConditions(), pause, 600)))
