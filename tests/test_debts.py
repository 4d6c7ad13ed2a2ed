"""Debts between partners, the pure cores: accounts that merge, credit in parts, netting, whom a fill is asked
of, one fill at a time."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from minicheck import Protocol, check_safety

from gorsethread.debts.accounts import (
    PARTNERS_MOST,
    PIECE_BYTES,
    Accounts,
    NoRows,
    Row,
    Said,
    pieces,
    read,
)
from gorsethread.debts.cache import TRIES_MOST, Cache
from gorsethread.debts.credit import Line, even
from gorsethread.debts.fills import Fill, chosen, order_of
from gorsethread.debts.netting import NotEven, settled

ROWS = st.builds(
    Row,
    st.integers(0, 4),
    st.integers(0, 4),
    st.sampled_from(list(Said)),
    st.integers(0, 3),
    st.integers(1, 2),
    st.integers(0, 50),
)


def merged(*all: Accounts) -> list[Row]:
    found = Accounts()
    for a in all:
        found.merge(a)
    return list(found.rows())


class Merging(unittest.TestCase):
    @given(st.lists(ROWS), st.lists(ROWS), st.lists(ROWS))
    def test_in_any_order_and_doubled_it_is_the_same(self, a: list[Row], b: list[Row], c: list[Row]) -> None:
        x, y, z = Accounts(a), Accounts(b), Accounts(c)
        self.assertEqual(merged(x, y, z), merged(z, y, x, y, x))
        self.assertEqual(merged(Accounts(merged(x, y)), z), merged(x, Accounts(merged(y, z))))

    @given(st.lists(ROWS))
    def test_the_sum_of_all_nets_is_0_and_settling_clears_them(self, rows: list[Row]) -> None:
        a = Accounts(rows)
        nets = a.nets()
        self.assertEqual(0, sum(nets.values()))
        pays = settled(nets)
        self.assertLess(len(pays), max(1, sum(n != 0 for n in nets.values())))
        self.assertFalse({d for d, _ in pays} & {c for _, c in pays}, "somebody pays and is paid")
        for (debtor, creditor), units in pays.items():
            a.counts((creditor, debtor), Said.PAID, 99, 1, units)
        self.assertEqual({0}, set(a.nets().values()) | {0})

    def test_merging_by_adding_would_double(self) -> None:
        """What a word that comes twice does to sums that are added: why rows are taken by the higher."""
        a = Accounts()
        row = a.counts((0, 1), Said.GAVE, 5, 1, 10)
        for _ in range(3):
            a.take(row)
        self.assertEqual(10, a.sums(Said.GAVE)[0, 1])

    def test_only_what_both_sides_say_is_owed_and_the_rest_is_shown(self) -> None:
        a = Accounts()
        a.counts((0, 1), Said.GAVE, 5, 1, 10)
        self.assertEqual(({}, {(0, 1): 10}), (dict(a.owed()), a.disputed()))
        a.counts((0, 1), Said.GOT, 7, 1, 7)
        self.assertEqual(({(0, 1): 7}, {(0, 1): 3}, {0: 7, 1: -7}), (dict(a.owed()), a.disputed(), a.nets()))
        a.counts((0, 1), Said.GOT, 7, 1, 8)  # one that says too much owes what the other says
        self.assertEqual((10, -5), (a.net(0, 1), a.disputed()[0, 1]))

    def test_a_count_lost_on_one_side_comes_back_from_the_other(self) -> None:
        mine, theirs = Accounts(), Accounts()
        mine.counts((0, 1), Said.GAVE, 5, 1, 10)
        theirs.merge(mine)
        mine = Accounts()  # its disk is lost: a new life counts beside what others hold of the earlier
        mine.counts((0, 1), Said.GAVE, 5, 2, 4)
        mine.merge(theirs)
        self.assertEqual(14, mine.sums(Said.GAVE)[0, 1])

    @given(st.lists(ROWS, max_size=60))
    def test_rows_go_in_datagrams_and_come_back(self, rows: list[Row]) -> None:
        said = pieces(rows)
        self.assertLessEqual(max(map(len, said), default=0), PIECE_BYTES)
        self.assertEqual(rows, [r for piece in said for r in read(piece)])

    @given(st.binary(max_size=64))
    def test_what_is_no_rows_is_refused(self, data: bytes) -> None:
        try:
            found = Accounts(read(data))
        except NoRows:
            return
        self.assertEqual(0, sum(found.nets().values()))

    def test_a_row_of_no_partner_is_refused(self) -> None:
        a = Accounts(
            [
                Row(0, 0, 0, 1, 1, 5),
                Row(0, PARTNERS_MOST, 0, 1, 1, 5),
                Row(0, 1, 9, 1, 1, 5),
                Row(0, 1, 0, 1, 1, -5),
            ]
        )
        self.assertEqual((0, 4), (len(a), a.refused))

    def test_balances_that_do_not_add_up_are_no_accounts(self) -> None:
        with self.assertRaises(NotEven):
            settled({0: 5, 1: -4})

    def test_a_chain_that_closes_is_nobody_owing_anybody(self) -> None:
        a = Accounts()
        for pair in ((0, 1), (1, 2), (2, 0)):
            a.counts(pair, Said.GAVE, 1, 1, 10)
            a.counts(pair, Said.GOT, 2, 1, 10)
        self.assertEqual({}, settled(a.nets()))


class Credit(unittest.TestCase):
    """Explicit-state: three heads of one partner, a line of 3, each with its own knowledge, words late, lost
    and old ones coming again."""

    def check(self, line: int = 3, steps: int = 5, careful: bool = True) -> dict[str, Any]:
        parts = even(line, range(3))

        def line_of(known: Any) -> Line:
            moved, spent = known
            return Line(dict(parts), dict(moved), dict(spent))

        def known(x: Line) -> Any:
            return tuple(sorted(x.moved.items())), tuple(sorted(x.spent.items()))

        def transitions(state: Any) -> list[tuple[str, Any]]:
            heads, left = state
            if not left:
                return []
            found = []
            for n in range(3):
                mine = line_of(heads[n])
                if (
                    mine.spends(n, 1)
                    if careful
                    else bool(
                        mine.spent.__setitem__(n, mine.spent.get(n, 0) + 1)
                        or sum(mine.spent.values()) <= line
                    )
                ):
                    found.append(("spends", ((*heads[:n], known(mine), *heads[n + 1 :]), left - 1)))
                for m in range(3):
                    mine = line_of(heads[n])
                    if mine.moves(n, m, 1):
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
        line = Line(even(10, [1, 2, 3]))
        self.assertEqual({1: 4, 2: 3, 3: 3}, line.parts)
        self.assertFalse(line.spends(2, 4))
        self.assertTrue(line.moves(1, 2, line.spare(1, 5)))
        self.assertTrue(line.spends(2, 5))
        line.regains(2, 99)
        self.assertEqual((2, 5, 10), (line.rights(1), line.rights(2), line.whole))


class Fills(unittest.TestCase):
    def test_the_holder_that_owes_most_is_asked_then_the_nearest(self) -> None:
        a = Accounts()
        for said in (Said.GAVE, Said.GOT):
            a.counts((0, 2), said, 1, 1, 10)  # the taker gave 2 so much
        fill = Fill("x", 0, 1, (0, 1, 2, 3, 4), tried=(4,))
        self.assertEqual([2, 3, 1], order_of(fill, a, {}, {(0, 1): 9.0, (0, 3): 1.0}))

    def test_one_that_can_go_elsewhere_makes_way_for_one_that_can_not(self) -> None:
        waiting = [Fill("a", 0, 1, (2, 3)), Fill("b", 1, 1, (2,))]
        went = chosen(waiting, {2: 1, 3: 1}, Accounts(), {}, {}, {})
        self.assertEqual({("a", 3), ("b", 2)}, {(f.object, h) for f, h in went})

    def test_who_got_least_for_its_weight_goes_first(self) -> None:
        waiting = [Fill(f"{t}/{n}", t, 1, (5,)) for t in (0, 1) for n in range(4)]
        went = chosen(waiting, {5: 4}, Accounts(), {0: 2}, {}, {})
        self.assertEqual([1, 1, 1], sorted(f.taker for f, _ in went)[-3:])
        went = chosen(waiting, {5: 3}, Accounts(), {}, {0: 2.0}, {})
        self.assertEqual(2, sum(f.taker == 0 for f, _ in went))

    @given(st.integers(0, 2**32))
    @settings(max_examples=20, deadline=None)
    def test_debts_stay_smaller_than_where_the_nearest_is_always_asked(self, seed: int) -> None:
        """Four partners in a row, what one wants at two others; the same wishes for both."""
        from random import Random

        near = {(a, b): float(abs(a - b)) for a in range(4) for b in range(4)}
        largest = {}
        for steered in (True, False):
            chance, a = Random(seed), Accounts()
            worst = 0
            for n in range(400):
                taker = chance.choice((0, 0, 1, 2, 3))
                holders = tuple(chance.sample([p for p in range(4) if p != taker], 2))
                fill = Fill(str(n), taker, 1 + chance.randrange(4), holders)
                holder = order_of(fill, a if steered else Accounts(), {}, near)[0]
                for said in (Said.GAVE, Said.GOT):
                    a.counts((holder, taker), said, holder if said is Said.GAVE else taker, 1, fill.units)
                worst = max(worst, *(abs(a.net(p, q)) for p in range(4) for q in range(4) if p != q))
            largest[steered] = worst
        self.assertLess(largest[True], largest[False])


class OneAtATime(unittest.TestCase):
    def test_however_many_wait_it_is_fetched_once_and_goes_on_elsewhere_where_it_fails(self) -> None:
        cache: Cache[int] = Cache(1000)
        fill = Fill("x", 0, 1, (1, 2))
        self.assertEqual([True, False, False], [cache.wants(fill, n) for n in range(3)])
        again = cache.failed("x", 1)
        assert isinstance(again, Fill)
        self.assertEqual((1,), again.tried)
        self.assertEqual([0, 1, 2], list(cache.filled("x", b"data")))
        self.assertEqual((b"data", None), (cache.get("x"), cache.get("y")))
        self.assertEqual({}, cache.filling)

    def test_who_waits_is_told_where_no_holder_is_left(self) -> None:
        cache: Cache[int] = Cache(1000)
        cache.wants(Fill("x", 0, 1, tuple(range(1, 9))), 7)
        for n in range(1, TRIES_MOST):
            self.assertIsInstance(cache.failed("x", n), Fill)
        self.assertEqual([7], cache.failed("x", TRIES_MOST))
        self.assertIsNone(cache.wants(Fill("y", 0, 1, ()), 7))

    @given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 200))))
    def test_it_is_bounded_in_bytes(self, put: list[tuple[int, int]]) -> None:
        cache: Cache[int] = Cache(1000)
        for n, size in put:
            cache.filled(str(n), bytes(size))
            self.assertLessEqual(cache.stats()["bytes"], 1000)
        self.assertTrue(
            all(
                cache.get(str(n)) is None
                for n, size in put
                if size > 100 and not any(m == n and k <= 100 for m, k in put)
            )
        )
