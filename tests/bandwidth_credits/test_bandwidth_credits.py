"""Bandwidth credits: merging accounts, netting, the credit line in escrow, fill scheduling, the cache."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.bandwidth_credits.credit_accounts import (
    CHUNK_BYTES_MAX,
    PARTNERS_MAX,
    CounterDecodeError,
    CounterKind,
    CounterRow,
    CreditAccounts,
    decode,
    encode,
)
from gorsethread.bandwidth_credits.credit_escrow import CreditLine, even_split
from gorsethread.bandwidth_credits.fill_scheduling import CacheFill, holders_by_preference, select_fills
from gorsethread.bandwidth_credits.netting import UnbalancedError, payments
from gorsethread.bandwidth_credits.object_cache import HOLDERS_TRIED_MAX, FillDecision, ObjectCache

ROW_BYTES = "929600010005cf0000019ae33cbd40cd012c96020302010207"
ROWS = st.builds(
    CounterRow,
    st.integers(0, 4),
    st.integers(0, 4),
    st.sampled_from(list(CounterKind)),
    st.integers(0, 3),
    st.integers(1, 2),
    st.integers(0, 50),
)


def merged(*parts: CreditAccounts) -> list[CounterRow]:
    accounts = CreditAccounts()
    for part in parts:
        accounts.merge(part)
    return list(accounts.rows())


class Accounts(unittest.TestCase):
    @given(st.lists(ROWS), st.lists(ROWS), st.lists(ROWS))
    def test_merging_in_any_order_and_repeatedly_gives_the_same_rows(
        self, a: list[CounterRow], b: list[CounterRow], c: list[CounterRow]
    ) -> None:
        x, y, z = CreditAccounts(a), CreditAccounts(b), CreditAccounts(c)
        self.assertEqual(merged(x, y, z), merged(z, y, x, y, x))
        self.assertEqual(merged(CreditAccounts(merged(x, y)), z), merged(x, CreditAccounts(merged(y, z))))

    @given(st.lists(ROWS))
    def test_balances_add_up_to_0_and_payments_settle_them(self, rows: list[CounterRow]) -> None:
        accounts = CreditAccounts(rows)
        balances = accounts.balances()
        self.assertEqual(0, sum(balances.values()))
        found = payments(balances)
        self.assertLess(len(found), max(1, sum(units != 0 for units in balances.values())))
        both = {debtor for debtor, _ in found} & {creditor for _, creditor in found}
        self.assertFalse(both, "partners that both pay and are paid")
        for (debtor, creditor), units in found.items():
            accounts.add((creditor, debtor), CounterKind.PAID, 99, 1, units)
        self.assertEqual({0}, set(accounts.balances().values()) | {0})

    def test_a_row_that_arrives_repeatedly_is_counted_once(self) -> None:
        """If merging added values, repeated messages would be counted twice; so it takes the higher value."""
        accounts = CreditAccounts()
        row = accounts.add((0, 1), CounterKind.GIVEN, 5, 1, 10)
        for _ in range(3):
            accounts.merge_row(row)
        self.assertEqual(10, accounts.totals(CounterKind.GIVEN)[0, 1])

    def test_units_that_both_partners_report_are_owed_and_the_rest_is_disputed(self) -> None:
        accounts = CreditAccounts()
        accounts.add((0, 1), CounterKind.GIVEN, 5, 1, 10)
        self.assertEqual(({}, {(0, 1): 10}), (dict(accounts.owed()), accounts.disputed()))
        accounts.add((0, 1), CounterKind.RECEIVED, 7, 1, 7)
        self.assertEqual(
            ({(0, 1): 7}, {(0, 1): 3}, {0: 7, 1: -7}),
            (dict(accounts.owed()), accounts.disputed(), accounts.balances()),
        )
        # A taker that reports too much owes what the giver reports.
        accounts.add((0, 1), CounterKind.RECEIVED, 7, 1, 8)
        self.assertEqual((10, -5), (accounts.net_debt(0, 1), accounts.disputed()[0, 1]))

    def test_a_lost_count_is_restored_from_another_gateway(self) -> None:
        own, other = CreditAccounts(), CreditAccounts()
        own.add((0, 1), CounterKind.GIVEN, 5, 1, 10)
        other.merge(own)
        own = CreditAccounts()  # its disk is lost; the new incarnation has a counter of its own
        own.add((0, 1), CounterKind.GIVEN, 5, 2, 4)
        own.merge(other)
        self.assertEqual(14, own.totals(CounterKind.GIVEN)[0, 1])

    @given(st.lists(ROWS, max_size=60))
    def test_rows_are_encoded_in_datagrams_and_decoded_again(self, rows: list[CounterRow]) -> None:
        chunks = encode(rows)
        self.assertLessEqual(max(map(len, chunks), default=0), CHUNK_BYTES_MAX)
        self.assertEqual(rows, [row for chunk in chunks for row in decode(chunk)])

    def test_the_encoding_of_rows_is_stable(self) -> None:
        rows = [
            CounterRow(0, 1, CounterKind.GIVEN, 5, 1764749000000, 300),
            CounterRow(2, 3, CounterKind.PAID, 1, 2, 7),
        ]
        self.assertEqual([ROW_BYTES], [chunk.hex() for chunk in encode(rows)])
        self.assertEqual(rows, decode(bytes.fromhex(ROW_BYTES)))

    @given(st.binary(max_size=64))
    def test_bytes_that_are_not_rows_are_rejected(self, data: bytes) -> None:
        try:
            found = CreditAccounts(decode(data))
        except CounterDecodeError:
            return
        self.assertEqual(0, sum(found.balances().values()))

    def test_rows_with_invalid_partners_kind_or_units_are_refused(self) -> None:
        accounts = CreditAccounts(
            [
                CounterRow(0, 0, 0, 1, 1, 5),
                CounterRow(0, PARTNERS_MAX, 0, 1, 1, 5),
                CounterRow(0, 1, 9, 1, 1, 5),
                CounterRow(0, 1, 0, 1, 1, -5),
            ]
        )
        self.assertEqual((0, 4), (len(accounts), accounts.refused))

    def test_unbalanced_balances_raise_an_error(self) -> None:
        with self.assertRaises(UnbalancedError):
            payments({0: 5, 1: -4})

    def test_a_closed_chain_of_debts_needs_no_payments(self) -> None:
        accounts = CreditAccounts()
        for pair in ((0, 1), (1, 2), (2, 0)):
            accounts.add(pair, CounterKind.GIVEN, 1, 1, 10)
            accounts.add(pair, CounterKind.RECEIVED, 2, 1, 10)
        self.assertEqual({}, payments(accounts.balances()))


class CreditInEscrow(unittest.TestCase):
    """A model check of three gateways that share a credit line of 3.

    Each knows only what it has received; messages are delayed, lost and repeated.
    """

    def check(self, limit: int = 3, steps: int = 5, use_rights: bool = True) -> dict[str, Any]:
        initial_rights = even_split(limit, range(3))

        def line_of(known: Any) -> CreditLine:
            transferred, spent = known
            return CreditLine(dict(initial_rights), dict(transferred), dict(spent))

        def known(line: CreditLine) -> Any:
            return tuple(sorted(line.transferred.items())), tuple(sorted(line.spent.items()))

        def transitions(state: Any) -> list[tuple[str, Any]]:
            gateways, steps_left = state
            if not steps_left:
                return []
            found = []
            for n in range(3):
                own = line_of(gateways[n])
                if (
                    own.spend(n, 1)
                    if use_rights
                    else bool(
                        own.spent.__setitem__(n, own.spent.get(n, 0) + 1) or sum(own.spent.values()) <= limit
                    )
                ):
                    after = (*gateways[:n], known(own), *gateways[n + 1 :])
                    found.append(("spends", (after, steps_left - 1)))
                for m in range(3):
                    own = line_of(gateways[n])
                    if own.transfer(n, m, 1):
                        after = (*gateways[:n], known(own), *gateways[n + 1 :])
                        found.append(("transfers", (after, steps_left - 1)))
                    receiver = line_of(gateways[m])
                    receiver.merge(line_of(gateways[n]))
                    if known(receiver) != gateways[m]:
                        after = (*gateways[:m], known(receiver), *gateways[m + 1 :])
                        found.append(("receives", (after, steps_left - 1)))
            return found

        def within_limit(fields: Any) -> bool:
            return sum(dict(fields["gateways"][n][1]).get(n, 0) for n in range(3)) <= limit

        start = ((), ())
        result: dict[str, Any] = check_safety(
            Protocol(
                name="credit",
                candidate=False,
                fields=("gateways", "steps_left"),
                initial=((start,) * 3, steps),
                transitions=transitions,
                invariants={"the credit line is kept": within_limit},
            ),
            200_000,
        )
        return result

    def test_gateways_together_never_exceed_the_credit_line(self) -> None:
        result = self.check()
        holds = result["properties"]["the credit line is kept"]["holds"]
        self.assertTrue(result["exhaustive"] and holds, result)

    def test_gateways_that_check_only_the_known_sum_exceed_the_credit_line(self) -> None:
        result = self.check(use_rights=False)
        self.assertFalse(result["properties"]["the credit line is kept"]["holds"])

    def test_half_of_the_rights_can_be_transferred_and_payments_restore_them(self) -> None:
        line = CreditLine(even_split(10, [1, 2, 3]))
        self.assertEqual({1: 4, 2: 3, 3: 3}, line.initial_rights)
        self.assertFalse(line.spend(2, 4))
        self.assertTrue(line.transfer(1, 2, line.transferable(1, 5)))
        self.assertTrue(line.spend(2, 5))
        line.restore(2, 99)
        self.assertEqual((2, 5, 10), (line.rights(1), line.rights(2), line.limit))


class FillScheduling(unittest.TestCase):
    def test_the_holder_that_owes_most_is_preferred_then_the_nearest(self) -> None:
        accounts = CreditAccounts()
        for kind in (CounterKind.GIVEN, CounterKind.RECEIVED):
            accounts.add((0, 2), kind, 1, 1, 10)  # the taker, partner 0, gave 10 units to partner 2
        fill = CacheFill("x", 0, 1, (0, 1, 2, 3, 4), tried=(4,))
        self.assertEqual([2, 3, 1], holders_by_preference(fill, accounts, {}, {(0, 1): 9.0, (0, 3): 1.0}))

    def test_a_fill_with_another_holder_makes_way_for_one_without(self) -> None:
        waiting = [CacheFill("a", 0, 1, (2, 3)), CacheFill("b", 1, 1, (2,))]
        selected = select_fills(waiting, {2: 1, 3: 1}, CreditAccounts(), {}, {}, {})
        self.assertEqual({("a", 3), ("b", 2)}, {(fill.object_name, holder) for fill, holder in selected})

    def test_the_taker_that_received_least_for_its_weight_goes_first(self) -> None:
        waiting = [CacheFill(f"{taker}/{n}", taker, 1, (5,)) for taker in (0, 1) for n in range(4)]
        selected = select_fills(waiting, {5: 4}, CreditAccounts(), {0: 2}, {}, {})
        self.assertEqual([1, 1, 1], sorted(fill.taker for fill, _ in selected)[-3:])
        selected = select_fills(waiting, {5: 3}, CreditAccounts(), {}, {0: 2.0}, {})
        self.assertEqual(2, sum(fill.taker == 0 for fill, _ in selected))

    @given(st.integers(0, 2**32))
    @settings(max_examples=20, deadline=None)
    def test_debts_stay_smaller_than_if_the_nearest_holder_is_always_used(self, seed: int) -> None:
        """Four partners in a row request objects that two others hold, the same ones in both variants."""
        from random import Random

        distances = {(a, b): float(abs(a - b)) for a in range(4) for b in range(4)}
        largest = {}
        for by_debt in (True, False):
            random, accounts = Random(seed), CreditAccounts()
            worst = 0
            for n in range(400):
                taker = random.choice((0, 0, 1, 2, 3))
                holders = tuple(random.sample([p for p in range(4) if p != taker], 2))
                fill = CacheFill(str(n), taker, 1 + random.randrange(4), holders)
                ledger = accounts if by_debt else CreditAccounts()
                holder = holders_by_preference(fill, ledger, {}, distances)[0]
                for kind in (CounterKind.GIVEN, CounterKind.RECEIVED):
                    gateway = holder if kind is CounterKind.GIVEN else taker
                    accounts.add((holder, taker), kind, gateway, 1, fill.units)
                worst = max(
                    worst, *(abs(accounts.net_debt(p, q)) for p in range(4) for q in range(4) if p != q)
                )
            largest[by_debt] = worst
        self.assertLess(largest[True], largest[False])


class Cache(unittest.TestCase):
    def test_an_object_is_fetched_once_for_all_waiters_and_retried_at_another_holder(self) -> None:
        cache: ObjectCache[int] = ObjectCache(1000)
        fill = CacheFill("x", 0, 1, (1, 2))
        self.assertEqual(
            [FillDecision.FETCH, FillDecision.WAIT, FillDecision.WAIT],
            [cache.request_fill(fill, n) for n in range(3)],
        )
        retry = cache.fill_failed("x", 1)
        assert isinstance(retry, CacheFill)
        self.assertEqual((1,), retry.tried)
        self.assertEqual([0, 1, 2], list(cache.fill_succeeded("x", b"data")))
        self.assertEqual((b"data", None), (cache.get("x"), cache.get("y")))
        self.assertEqual({}, cache.pending)

    def test_waiters_are_returned_when_no_holder_is_left(self) -> None:
        cache: ObjectCache[int] = ObjectCache(1000)
        cache.request_fill(CacheFill("x", 0, 1, tuple(range(1, 9))), 7)
        for n in range(1, HOLDERS_TRIED_MAX):
            self.assertIsInstance(cache.fill_failed("x", n), CacheFill)
        self.assertEqual([7], cache.fill_failed("x", HOLDERS_TRIED_MAX))
        self.assertEqual(FillDecision.READ_DIRECTLY, cache.request_fill(CacheFill("y", 0, 1, ()), 7))

    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 200))))
    def test_the_cache_is_bounded_in_bytes(self, put: list[tuple[int, int]]) -> None:
        cache: ObjectCache[int] = ObjectCache(1000)
        for n, size in put:
            cache.fill_succeeded(str(n), bytes(size))
            self.assertLessEqual(cache.statistics().bytes, 1000)
        self.assertTrue(
            all(
                cache.get(str(n)) is None
                for n, size in put
                if size > 100 and not any(m == n and k <= 100 for m, k in put)
            )
        )
