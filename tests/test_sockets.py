"""Heads' logs beside the bench's report: lives added up, noise passed over."""

import json
import unittest

from gorsethread.experiments.sockets import compare


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
        self.assertEqual((12, 14), rows["requests"])
        self.assertEqual((1, 2), rows["rejected"])
        self.assertEqual((4, 8), rows["attempts succeeded"])
        self.assertEqual((1, 4), rows["attempts connection lost"])

    def test_present_names_of_counts_are_read_as_the_former_ones(self) -> None:
        logs = [[line("counts", requests=9, rejected=2, attempts_succeeded=4, attempts_connection_lost=1)]]
        former = [[line("counts", taken=9, pushed_back=2, forwards_honoured=4, forwards_broken=1)]]
        report = {"windows": [{"client_tries": 7, "refused": 1, "outcomes": [4, 0, 0, 0, 0, 2, 0, 0, 0]}]}
        self.assertEqual(compare(former, report), compare(logs, report))
        self.assertEqual((9, 2, 4), tuple(told for _, told, _ in compare(logs, report)[:3]))

    def test_a_report_of_another_kind(self) -> None:
        with self.assertRaises(KeyError):
            compare([], {})
