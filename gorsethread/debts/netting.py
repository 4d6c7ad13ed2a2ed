"""Chains of debts are netted: A owes B owes C owes A is nobody owing anybody. A pure function of the merged
accounts, so all heads that have merged the same compute the same. A word that comes late changes what is
owed in all, and so falls into the next settlement: what was paid before is off the nets already.
"""

from collections.abc import Mapping

from gorsethread.errors import GorsethreadError

Pays = dict[tuple[int, int], int]  # debtor and creditor to units


class NotEven(GorsethreadError):
    """Balances that do not add up to 0 are no merged accounts'."""

    action = "This is a defect of the program: keep the heads' records and report it; nothing was settled."


def settled(nets: Mapping[int, int]) -> Pays:
    """nets: by partner, what it gave less what it got, as Accounts.nets() has it. Fewer payments than
    there are partners with a balance; nobody both pays and is paid."""
    if sum(nets.values()):
        raise NotEven(f"balances add up to {sum(nets.values())}")
    owe = sorted([-n, p] for p, n in nets.items() if n < 0)
    want = sorted([n, p] for p, n in nets.items() if n > 0)
    pays: Pays = {}
    while owe and want:
        units = min(owe[-1][0], want[-1][0])
        pays[owe[-1][1], want[-1][1]] = units
        for side in (owe, want):
            side[-1][0] -= units
            if not side[-1][0]:
                side.pop()
    return pays
