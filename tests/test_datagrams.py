"""Single messages, real and virtual: what arrives, what may not be sent, and what faults do to them."""

import asyncio
import unittest
from collections.abc import Callable

from gorsethread.transport.real import RealTransport
from gorsethread.transport.virtual import Disk, Network, NetworkConditions, VirtualLoop, VirtualTransport

Got = list[tuple[bytes, tuple[str, int]]]


def into(got: Got) -> Callable[[bytes, tuple[str, int]], None]:
    return lambda data, source: got.append((data, source))


class Real(unittest.IsolatedAsyncioTestCase):
    async def test_messages_come_whole_and_say_where_from(self) -> None:
        transport, got = RealTransport(), Got()
        one = transport.datagrams("127.0.0.1", 0, into(got))
        other = transport.datagrams("127.0.0.1", 0, lambda data, source: other.send(source, data.upper()))
        self.addCleanup(one.close)
        self.addCleanup(other.close)
        with self.assertRaises(OSError):
            transport.datagrams("127.0.0.1", one.port, into(got))
        with self.assertRaises(ValueError):
            one.send(("127.0.0.1", other.port), bytes(257))
        nobody = transport.datagrams("127.0.0.1", 0, into(got))
        nobody.close()
        for n in range(20):
            one.send(("127.0.0.1", nobody.port), b"x")  # its refusal is no news of this port
            one.send(("127.0.0.1", other.port), b"m%d" % n)
        while len(got) < 20:
            await asyncio.sleep(0.005)
        self.assertEqual([(b"M%d" % n, ("127.0.0.1", other.port)) for n in range(20)], got)


class Virtual(unittest.TestCase):
    def play(
        self,
        conditions: NetworkConditions,
        fault: Callable[[Network, dict[str, VirtualTransport]], None],
        number: int = 200,
    ) -> Got:
        loop = VirtualLoop()
        self.addCleanup(loop.close)
        network, got = Network(loop, 5, conditions), Got()
        both = {name: VirtualTransport(network, Disk(), name) for name in ("a", "b")}
        sender = both["a"].datagrams("a", 1, into([]))
        both["b"].datagrams("b", 1, into(got))
        fault(network, both)
        for n in range(number):
            loop.call_later(0.01 * n, sender.send, ("b", 1), b"%d" % n)
        over = loop.create_future()
        loop.call_later(0.01 * number + 1.0, over.set_result, None)
        loop.run_until_complete(over)
        return got

    def test_where_nothing_is_wrong_all_come_once_in_order(self) -> None:
        got = self.play(NetworkConditions(), lambda network, both: None)
        self.assertEqual([(b"%d" % n, ("a", 1)) for n in range(200)], got)

    def test_loss_doubles_and_delays(self) -> None:
        bad = NetworkConditions(lost=0.3, doubled=0.2, late=0.2)
        got = [int(data) for data, _ in self.play(bad, lambda network, both: None)]
        self.assertTrue(90 < len(set(got)) < 175, len(set(got)))
        self.assertGreater(len(got), len(set(got)))
        self.assertNotEqual(sorted(got), got)

    def test_a_cut_one_way_and_a_machine_that_is_gone(self) -> None:
        self.assertEqual(
            200, len(self.play(NetworkConditions(), lambda network, both: network.cut("b", "a")))
        )
        self.assertEqual(0, len(self.play(NetworkConditions(), lambda network, both: network.cut("a", "b"))))
        for how in ("kill", "vanish"):
            got = self.play(
                NetworkConditions(),
                lambda network, both, how=how: network.loop.call_later(  # type: ignore
                    1.0, getattr(both["b"], how)
                ),
            )
            self.assertTrue(95 < len(got) < 105, len(got))

    def test_a_paused_process_finds_a_bounded_number(self) -> None:
        def stop(network: Network, both: dict[str, VirtualTransport]) -> None:
            both["b"].pause()
            network.loop.call_later(6.5, both["b"].resume)

        self.assertEqual(256, len(self.play(NetworkConditions(), stop, 600)))
