"""Tests the site file: each fault is reported with line and field; settings derived from a valid file."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gorsethread.nvme.command import Opcode
from gorsethread.nvme_gateway.scheduler_settings import RequestClassifier, settings_from_site
from gorsethread.site_config.reading import SiteFileError, parse_site
from tests.rig import SITE


class InvalidSiteFiles(unittest.TestCase):
    def faults(self, *changes: tuple[str, str]) -> list[str]:
        text = SITE
        for old, new in changes:
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        with self.assertRaises(SiteFileError) as caught:
            parse_site(text, "s")
        return caught.exception.faults

    def test_each_fault_names_its_line_and_field(self) -> None:
        cases = {
            ('plan: "plain" blocks', 'plan: "gold" blocks'): "s:13: volume[0].plan: there is no plan 'gold'",
            (
                "promised: 0.3",
                "promised: -1",
            ): "s:7: profile[0].promised: -1 is out of range; it must be over 0 and at most 3600 (seconds)",
            (
                "shard: 0 shard: 1 head",
                "shard: 0 shard: 8 head",
            ): "s:14: volume[0].shard[1]: there is no shard 8",
            (
                "key_rest: 0.3",
                "key_rest: 300",
            ): "s:17: rules.key_rest: 300 is out of range; it must be 0 or more and at most 60 (seconds)",
            (
                "units: 40",
                "units: 4000",
            ): "s:18: rules.cold.units: 4000 units are more than a newly started backend can take (600)",
            (
                "largest_bytes: 131072",
                "largest_bytes: 100000",
            ): "s:19: links.largest_bytes: 100000 is not a power of two",
            (
                'number: 1 address: "127.0.0.1:4"',
                'number: 0 address: "127.0.0.1:4"',
            ): "s:6: shelf[1].number: 0 is used more than once",
            (
                'address: "127.0.0.1:2"',
                'address: "127.0.0.1"',
            ): "s:4: head[0].address: '127.0.0.1' is not host:port",
            (
                "effect: IRREVERSIBLE",
                "",
            ): "s:8: profile[1].effect: is missing (REDOABLE, LABELLED or IRREVERSIBLE)",
            (
                "match { operation: WRITE }",
                "match { operation: WRITE hints: 3 }",
            ): "s:7: profile: no profile matches all remaining WRITE; the last profile of each operation "
            "must match without conditions",
        }
        for change, expected in cases.items():
            with self.subTest(expected):
                self.assertEqual([expected], self.faults(change))

    def test_all_faults_are_reported_in_the_order_of_lines(self) -> None:
        found = self.faults(
            ("weight: 1", "weight: 0"), ("queue: 20", "queue: 0"), ('tenant: "t"', 'tenant: "u"')
        )
        self.assertEqual(["11", "13", "21"], [fault.split(":")[1] for fault in found])

    def test_syntax_errors_name_their_line(self) -> None:
        self.assertIn("s:2: ", self.faults(('name: "test"', "nome: 1"))[0])
        self.assertRegex(self.faults(("promised: 0.3", 'promised: "soon"'))[0], "^s:7: .*soon")

    @given(st.text(max_size=80))
    def test_any_text_parses_or_raises_a_site_file_error(self, text: str) -> None:
        try:
            parse_site(text)
        except SiteFileError as error:
            self.assertTrue(error.faults)


class DerivedSettings(unittest.TestCase):
    def test_a_command_gets_the_first_request_class_that_matches(self) -> None:
        site = parse_site(SITE)
        classifier = RequestClassifier(site)
        found = [
            classifier.classify("plain", opcode, 4096, hints)
            for opcode, hints in ((Opcode.READ, 0), (Opcode.WRITE, 16), (Opcode.WRITE, 0))
        ]
        self.assertEqual([0, 1, 2], found)
        self.assertEqual(
            (16.0, 1, None),
            (
                settings_from_site(site).largest_request_units,
                settings_from_site(site).gateways,
                settings_from_site(site).retry_budget,
            ),
        )
