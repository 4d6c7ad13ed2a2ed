"""Heads' logs beside the bench's report: lives added up, noise passed over."""

import json
import unittest

from gorsethread.lab.sockets import compare


def line(event: str, **counts: int) -> str:
    return "[1.00] " + json.dumps({"event": event, "open": 3, **counts})


class Sockets(unittest.TestCase):
    def test_the_last_counts_of_each_life_are_added_up(self) -> None:
        logs = [
            [
                line("counts"),
                line("gateway serves"),
                line("counts", taken=5),
                "Traceback",
                "[2.00] {broken",
                line("counts", taken=9, forwards_honoured=4),
                line("counts"),
                line("head serves"),  # as logs of before have it
                line("gateway ends", taken=1),
                line("gateway ended", taken=1, pushed_back=1),
            ],
            [line("counts", taken=2, forwards_broken=1)],
        ]
        window = {"client_tries": 7, "refused": 1, "outcomes": [4, 0, 0, 0, 0, 2, 0, 0, 0]}
        rows = {name: (told, seen) for name, told, seen in compare(logs, {"windows": [window, window]})}
        self.assertEqual((12, 14), rows["transactions"])
        self.assertEqual((1, 2), rows["pushed back"])
        self.assertEqual((4, 8), rows["forwards honoured"])
        self.assertEqual((1, 4), rows["forwards broken"])

    def test_a_report_of_another_kind(self) -> None:
        with self.assertRaises(KeyError):
            compare([], {})
