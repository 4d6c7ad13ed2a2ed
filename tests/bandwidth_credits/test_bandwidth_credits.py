"""Debts between partners, the pure cores: accounts that merge, credit in parts, netting, whom a fill is asked
of, one fill at a time."""

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


def merged(*all: CreditAccounts) -> list[CounterRow]:
    found = CreditAccounts()
    for a in all:
        found.merge(a)
    return list(found.rows())


class Merging(unittest.TestCase):
    @given(st.lists(ROWS), st.lists(ROWS), st.lists(ROWS))
    def test_in_any_order_and_doubled_it_is_the_same(
        self, a: list[CounterRow], b: list[CounterRow], c: list[CounterRow]
    ) -> None:
        x, y, z = CreditAccounts(a), CreditAccounts(b), CreditAccounts(c)
        self.assertEqual(merged(x, y, z), merged(z, y, x, y, x))
        self.assertEqual(merged(CreditAccounts(merged(x, y)), z), merged(x, CreditAccounts(merged(y, z))))

    @given(st.lists(ROWS))
    def test_the_sum_of_all_nets_is_0_and_settling_clears_them(self, rows: list[CounterRow]) -> None:
        a = CreditAccounts(rows)
        nets = a.balances()
        self.assertEqual(0, sum(nets.values()))
        pays = payments(nets)
        self.assertLess(len(pays), max(1, sum(n != 0 for n in nets.values())))
        self.assertFalse({d for d, _ in pays} & {c for _, c in pays}, "somebody pays and is paid")
        for (debtor, creditor), units in pays.items():
            a.add((creditor, debtor), CounterKind.PAID, 99, 1, units)
        self.assertEqual({0}, set(a.balances().values()) | {0})

    def test_merging_by_adding_would_double(self) -> None:
        """What a word that comes twice does to sums that are added: why rows are taken by the higher."""
        a = CreditAccounts()
        row = a.add((0, 1), CounterKind.GIVEN, 5, 1, 10)
        for _ in range(3):
            a.merge_row(row)
        self.assertEqual(10, a.totals(CounterKind.GIVEN)[0, 1])

    def test_only_what_both_sides_say_is_owed_and_the_rest_is_shown(self) -> None:
        a = CreditAccounts()
        a.add((0, 1), CounterKind.GIVEN, 5, 1, 10)
        self.assertEqual(({}, {(0, 1): 10}), (dict(a.owed()), a.disputed()))
        a.add((0, 1), CounterKind.RECEIVED, 7, 1, 7)
        self.assertEqual(
            ({(0, 1): 7}, {(0, 1): 3}, {0: 7, 1: -7}), (dict(a.owed()), a.disputed(), a.balances())
        )
        a.add((0, 1), CounterKind.RECEIVED, 7, 1, 8)  # one that says too much owes what the other says
        self.assertEqual((10, -5), (a.net_debt(0, 1), a.disputed()[0, 1]))

    def test_a_count_lost_on_one_side_comes_back_from_the_other(self) -> None:
        mine, theirs = CreditAccounts(), CreditAccounts()
        mine.add((0, 1), CounterKind.GIVEN, 5, 1, 10)
        theirs.merge(mine)
        mine = CreditAccounts()  # its disk is lost: a new life counts beside what others hold of the earlier
        mine.add((0, 1), CounterKind.GIVEN, 5, 2, 4)
        mine.merge(theirs)
        self.assertEqual(14, mine.totals(CounterKind.GIVEN)[0, 1])

    @given(st.lists(ROWS, max_size=60))
    def test_rows_go_in_datagrams_and_come_back(self, rows: list[CounterRow]) -> None:
        said = encode(rows)
        self.assertLessEqual(max(map(len, said), default=0), CHUNK_BYTES_MAX)
        self.assertEqual(rows, [r for piece in said for r in decode(piece)])

    def test_rows_keep_their_bytes(self) -> None:
        rows = [
            CounterRow(0, 1, CounterKind.GIVEN, 5, 1764749000000, 300),
            CounterRow(2, 3, CounterKind.PAID, 1, 2, 7),
        ]
        self.assertEqual([ROW_BYTES], [chunk.hex() for chunk in encode(rows)])
        self.assertEqual(rows, decode(bytes.fromhex(ROW_BYTES)))

    @given(st.binary(max_size=64))
    def test_what_is_no_rows_is_refused(self, data: bytes) -> None:
        try:
            found = CreditAccounts(decode(data))
        except CounterDecodeError:
            return
        self.assertEqual(0, sum(found.balances().values()))

    def test_a_row_of_no_partner_is_refused(self) -> None:
        a = CreditAccounts(
            [
                CounterRow(0, 0, 0, 1, 1, 5),
                CounterRow(0, PARTNERS_MAX, 0, 1, 1, 5),
                CounterRow(0, 1, 9, 1, 1, 5),
                CounterRow(0, 1, 0, 1, 1, -5),
            ]
        )
        self.assertEqual((0, 4), (len(a), a.refused))

    def test_balances_that_do_not_add_up_are_no_accounts(self) -> None:
        with self.assertRaises(UnbalancedError):
            payments({0: 5, 1: -4})

    def test_a_chain_that_closes_is_nobody_owing_anybody(self) -> None:
        a = CreditAccounts()
        for pair in ((0, 1), (1, 2), (2, 0)):
            a.add(pair, CounterKind.GIVEN, 1, 1, 10)
            a.add(pair, CounterKind.RECEIVED, 2, 1, 10)
        self.assertEqual({}, payments(a.balances()))


class Credit(unittest.TestCase):
    """Explicit-state: three heads of one partner, a line of 3, each with its own knowledge, words late, lost
    and old ones coming again."""

    def check(self, line: int = 3, steps: int = 5, careful: bool = True) -> dict[str, Any]:
        parts = even_split(line, range(3))

        def line_of(known: Any) -> CreditLine:
            moved, spent = known
            return CreditLine(dict(parts), dict(moved), dict(spent))

        def known(x: CreditLine) -> Any:
            return tuple(sorted(x.transferred.items())), tuple(sorted(x.spent.items()))

        def transitions(state: Any) -> list[tuple[str, Any]]:
            heads, left = state
            if not left:
                return []
            found = []
            for n in range(3):
                mine = line_of(heads[n])
                if (
                    mine.spend(n, 1)
                    if careful
                    else bool(
                        mine.spent.__setitem__(n, mine.spent.get(n, 0) + 1)
                        or sum(mine.spent.values()) <= line
                    )
                ):
                    found.append(("spends", ((*heads[:n], known(mine), *heads[n + 1 :]), left - 1)))
                for m in range(3):
                    mine = line_of(heads[n])
                    if mine.transfer(n, m, 1):
                        found.append(("moves", ((*heads[:n], known(mine), *heads[n + 1 :]), left - 1)))
                    theirs = line_of(heads[m])
                    theirs.merge(line_of(heads[n]))
                    if known(theirs) != heads[m]:
                        found.append(("hears", ((*heads[:m], known(theirs), *heads[m + 1 :]), left - 1)))
            return found

        def kept(d: Any) -> bool:
            return sum(dict(d["heads"][n][1]).get(n, 0) for n in range(3)) <= line

        start = ((), ())
        result: dict[str, Any] = check_safety(
            Protocol(
                name="credit",
                candidate=False,
                fields=("heads", "left"),
                initial=((start,) * 3, steps),
                transitions=transitions,
                invariants={"the line holds": kept},
            ),
            200_000,
        )
        return result

    def test_no_partition_lets_all_together_pass_the_line(self) -> None:
        result = self.check()
        self.assertTrue(result["exhaustive"] and result["properties"]["the line holds"]["holds"], result)

    def test_heads_that_each_look_at_the_sum_they_know_pass_it(self) -> None:
        self.assertFalse(self.check(careful=False)["properties"]["the line holds"]["holds"])

    def test_rights_are_lent_by_half_and_come_back_as_debt_is_paid(self) -> None:
        line = CreditLine(even_split(10, [1, 2, 3]))
        self.assertEqual({1: 4, 2: 3, 3: 3}, line.initial_rights)
        self.assertFalse(line.spend(2, 4))
        self.assertTrue(line.transfer(1, 2, line.transferable(1, 5)))
        self.assertTrue(line.spend(2, 5))
        line.restore(2, 99)
        self.assertEqual((2, 5, 10), (line.rights(1), line.rights(2), line.limit))


class Fills(unittest.TestCase):
    def test_the_holder_that_owes_most_is_asked_then_the_nearest(self) -> None:
        a = CreditAccounts()
        for said in (CounterKind.GIVEN, CounterKind.RECEIVED):
            a.add((0, 2), said, 1, 1, 10)  # the taker gave 2 so much
        fill = CacheFill("x", 0, 1, (0, 1, 2, 3, 4), tried=(4,))
        self.assertEqual([2, 3, 1], holders_by_preference(fill, a, {}, {(0, 1): 9.0, (0, 3): 1.0}))

    def test_one_that_can_go_elsewhere_makes_way_for_one_that_can_not(self) -> None:
        waiting = [CacheFill("a", 0, 1, (2, 3)), CacheFill("b", 1, 1, (2,))]
        went = select_fills(waiting, {2: 1, 3: 1}, CreditAccounts(), {}, {}, {})
        self.assertEqual({("a", 3), ("b", 2)}, {(f.object_name, h) for f, h in went})

    def test_who_got_least_for_its_weight_goes_first(self) -> None:
        waiting = [CacheFill(f"{t}/{n}", t, 1, (5,)) for t in (0, 1) for n in range(4)]
        went = select_fills(waiting, {5: 4}, CreditAccounts(), {0: 2}, {}, {})
        self.assertEqual([1, 1, 1], sorted(f.taker for f, _ in went)[-3:])
        went = select_fills(waiting, {5: 3}, CreditAccounts(), {}, {0: 2.0}, {})
        self.assertEqual(2, sum(f.taker == 0 for f, _ in went))

    @given(st.integers(0, 2**32))
    @settings(max_examples=20, deadline=None)
    def test_debts_stay_smaller_than_where_the_nearest_is_always_asked(self, seed: int) -> None:
        """Four partners in a row, what one wants at two others; the same wishes for both."""
        from random import Random

        near = {(a, b): float(abs(a - b)) for a in range(4) for b in range(4)}
        largest = {}
        for steered in (True, False):
            chance, a = Random(seed), CreditAccounts()
            worst = 0
            for n in range(400):
                taker = chance.choice((0, 0, 1, 2, 3))
                holders = tuple(chance.sample([p for p in range(4) if p != taker], 2))
                fill = CacheFill(str(n), taker, 1 + chance.randrange(4), holders)
                holder = holders_by_preference(fill, a if steered else CreditAccounts(), {}, near)[0]
                for said in (CounterKind.GIVEN, CounterKind.RECEIVED):
                    a.add(
                        (holder, taker), said, holder if said is CounterKind.GIVEN else taker, 1, fill.units
                    )
                worst = max(worst, *(abs(a.net_debt(p, q)) for p in range(4) for q in range(4) if p != q))
            largest[steered] = worst
        self.assertLess(largest[True], largest[False])


class OneAtATime(unittest.TestCase):
    def test_however_many_wait_it_is_fetched_once_and_goes_on_elsewhere_where_it_fails(self) -> None:
        cache: ObjectCache[int] = ObjectCache(1000)
        fill = CacheFill("x", 0, 1, (1, 2))
        self.assertEqual(
            [FillDecision.FETCH, FillDecision.WAIT, FillDecision.WAIT],
            [cache.request_fill(fill, n) for n in range(3)],
        )
        again = cache.fill_failed("x", 1)
        assert isinstance(again, CacheFill)
        self.assertEqual((1,), again.tried)
        self.assertEqual([0, 1, 2], list(cache.fill_succeeded("x", b"data")))
        self.assertEqual((b"data", None), (cache.get("x"), cache.get("y")))
        self.assertEqual({}, cache.pending)

    def test_who_waits_is_told_where_no_holder_is_left(self) -> None:
        cache: ObjectCache[int] = ObjectCache(1000)
        cache.request_fill(CacheFill("x", 0, 1, tuple(range(1, 9))), 7)
        for n in range(1, HOLDERS_TRIED_MAX):
            self.assertIsInstance(cache.fill_failed("x", n), CacheFill)
        self.assertEqual([7], cache.fill_failed("x", HOLDERS_TRIED_MAX))
        self.assertEqual(FillDecision.READ_DIRECTLY, cache.request_fill(CacheFill("y", 0, 1, ()), 7))

    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 200))))
    def test_it_is_bounded_in_bytes(self, put: list[tuple[int, int]]) -> None:
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
