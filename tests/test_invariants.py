"""Tests of the invariant checkers: each rule is violated in records, and only that rule is reported."""

import unittest
from typing import Any

from gorsethread.invariants.history_checker import HistoryChecker, Verdict
from gorsethread.invariants.online_checker import OnlineChecker
from gorsethread.site_config.reading import parse_site
from tests.rig import SITE

Record = dict[str, Any]


def sent(t: float, label: int, profile: int = 0, key: str = "", units: int = 1, attempt: int = 0) -> Record:
    return {
        "t": t,
        "who": "client",
        "e": "sent",
        "label": label,
        "attempt": attempt,
        "head": 0,
        "volume": 1,
        "profile": profile,
        "units": units,
        "key": key,
        "by": t + 1,
        "due": t,
    }


def answer(t: float, label: int, how: str = "honoured", attempt: int = 0) -> Record:
    return {
        "t": t,
        "who": "client",
        "e": "answer",
        "label": label,
        "attempt": attempt,
        "how": how,
        "status": 0,
        "wrong": 0,
    }


def arrived(t: float, label: int, shelf: int = 0, units: int = 1, attempt: int = 0) -> Record:
    return {
        "t": t,
        "who": f"shelf {shelf}",
        "e": "arrived",
        "shelf": shelf,
        "start": 1,
        "head": 0,
        "label": label,
        "attempt": attempt,
        "volume": 1,
        "units": units,
        "op": 1,
    }


def ended(t: float, label: int, how: str = "honoured", shelf: int = 0) -> Record:
    return {
        "t": t,
        "who": f"shelf {shelf}",
        "e": "ended",
        "shelf": shelf,
        "start": 1,
        "head": 0,
        "label": label,
        "attempt": 0,
        "how": how,
        "ran": how == "honoured",
    }


def ran(t: float, label: int) -> Record:
    return {"t": t, "who": "shelf 0", "e": "ran", "shelf": 0, "label": label, "attempt": 0}


def told(t: float, state: str) -> Record:
    return {"t": t, "who": "list", "e": "told", "head": 0, "shelf": 0, "state": state, "start": 1}


class InvariantTests(unittest.TestCase):
    def check(self, *records: Record, site: str = SITE) -> Verdict:
        return HistoryChecker(parse_site(site), records).check()

    def assert_violated(self, rule: int, *records: Record, site: str = SITE) -> None:
        verdict = self.check(*records, site=site)
        self.assertEqual(
            [rule], sorted({b.rule for b in verdict.violations}), [str(b) for b in verdict.violations]
        )
        self.assertEqual({rule}, self.rules_violated_online(records, site))

    def assert_kept(self, *records: Record, site: str = SITE) -> None:
        self.assertEqual([], [str(b) for b in self.check(*records, site=site).violations])
        self.assertEqual(set(), self.rules_violated_online(records, site))

    def rules_violated_online(self, records: tuple[Record, ...], site: str) -> set[int]:
        """Returns the rules that the online checker finds violated in the same records."""
        online = OnlineChecker(parse_site(site))
        for record in sorted(records, key=lambda r: r["t"]):
            online.add(record)
        online.finish(max((r["t"] for r in records), default=0.0))
        return {b.rule for _, b in online.violations}

    def test_each_request_gets_exactly_one_answer(self) -> None:
        self.assert_kept(sent(0, 1), arrived(0.1, 1), ended(0.2, 1), answer(0.3, 1))
        self.assert_violated(1, sent(0, 1), arrived(0.1, 1))
        self.assert_violated(1, sent(0, 1), answer(1.0, 1, "unanswered"))
        self.assert_violated(1, sent(0, 1), answer(0.1, 1), answer(0.2, 1, "pushed back"))
        self.assert_violated(1, sent(0, 1), answer(0.1, 1, "left"), arrived(1.0, 1))
        self.assert_violated(1, sent(0, 1), answer(0.1, 1, "unreachable"))
        killed = {"t": 0.05, "who": "day", "e": "head killed", "head": 0}
        self.assert_kept(sent(0, 1), killed, answer(0.1, 1, "unreachable"))

    def test_a_non_idempotent_request_runs_at_most_once(self) -> None:
        records = sent(0, 1, 1), answer(0.9, 1, "given up")
        self.assert_violated(2, *records, arrived(0.1, 1), arrived(0.2, 1, 1))
        self.assert_kept(*records, arrived(0.1, 1), ended(0.15, 1, "turned away"), arrived(0.2, 1, 1))
        self.assert_violated(2, sent(0, 1, 1), arrived(0.1, 1), answer(0.9, 1, "pushed back"))
        verdict = self.check(*records, arrived(0.1, 1), ran(0.2, 1), ran(0.3, 1))
        self.assertEqual(1, verdict.duplicated)

    def test_keyed_requests_are_resent_only_in_scope_and_window(self) -> None:
        site = SITE.replace(
            'name: "write" promised: 0.3 cut_off: 1 effect: REDOABLE',
            'name: "write" promised: 0.3 cut_off: 9 effect: LABELLED group: SHARD ' "remembered: 1",
        )
        records = sent(0, 1, 2), arrived(0.1, 1), answer(5, 1, "given up")
        self.assert_kept(*records, arrived(0.9, 1), site=site)
        self.assert_violated(2, *records, arrived(0.9, 1, 1), site=site)
        self.assert_violated(2, *records, arrived(2.0, 1), site=site)
        self.assert_violated(2, *records[:2], answer(0.5, 1, "pushed back"), site=site)

    def test_nothing_is_sent_to_a_backend_after_the_drain_grace(self) -> None:
        records = sent(0, 1), answer(1.2, 1)
        self.assert_kept(*records, told(0.1, "draining"), arrived(0.2, 1))
        self.assert_violated(3, *records, told(0.1, "draining"), arrived(0.9, 1))
        self.assert_kept(*records, told(0.1, "gone"), told(0.7, "ready"), arrived(0.9, 1))

    def test_a_cold_backend_is_not_overloaded(self) -> None:
        self.assert_violated(4, {"t": 2.0, "who": "shelf 0", "e": "fell", "shelf": 0, "start": 1_000_000})

    def test_requests_of_a_key_are_sent_in_order_and_one_at_a_time(self) -> None:
        two_requests = sent(0, 1, 1, "k"), sent(0.1, 2, 1, "k"), answer(0.8, 1, "given up"), answer(0.9, 2)
        self.assert_kept(*two_requests, arrived(0.2, 1), ended(0.3, 1), arrived(0.4, 2), ended(0.5, 2))
        self.assert_violated(
            5, *two_requests, arrived(0.2, 1), arrived(0.25, 2), ended(0.3, 1), ended(0.4, 2)
        )
        self.assert_violated(5, *two_requests, arrived(0.2, 2), ended(0.3, 2), arrived(0.4, 1), ended(0.5, 1))
        self.assert_violated(5, *two_requests, arrived(0.2, 1), arrived(0.75, 2), ended(0.8, 2))

    def test_retries_stay_within_the_budget(self) -> None:
        site = SITE.replace("key_rest: 0.3", "key_rest: 0.3 budget { free: 2 part: 0.5 span: 5 }")
        base = [s for n in range(2) for s in (sent(n / 10, n), answer(0.9, n), arrived(n / 10 + 0.01, n))]
        retries = [arrived(0.3 + n / 100, 1) for n in range(4)]
        self.assert_kept(*base, *retries[:3], site=site)
        self.assert_violated(6, *base, *retries, site=site)

    def test_volumes_stay_within_their_rate_limit(self) -> None:
        site = SITE.replace("weight: 1 usual", "weight: 1 limit: 10 limit_burst: 20 limit_slack: 2 usual")

        def requests(number: int) -> list[Record]:
            return [
                s
                for n in range(number)
                for s in (sent(0, n, units=5), arrived(0.1, n, units=5), answer(0.2, n))
            ]

        self.assert_kept(*requests(4), site=site)
        self.assert_violated(7, *requests(6), site=site)
