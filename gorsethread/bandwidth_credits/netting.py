"""Chains of debts are netted: A owes B owes C owes A is nobody owing anybody. Pure.

A function of the merged accounts, so all gateways that have merged the same compute the same. A message that
comes late changes what is owed in all, and so falls into the next settlement: what was paid before is off the
balances already.
"""

from collections.abc import Mapping

from gorsethread.errors import GorsethreadError

Payments = dict[tuple[int, int], int]  # units by debtor and creditor


class UnbalancedError(GorsethreadError):
    """Balances that do not add up to 0 are no merged accounts'."""

    action = "This is a defect of the program: keep the gateways' records and report it; nothing was settled."


def payments(balances: Mapping[int, int]) -> Payments:
    """Payments that bring all balances to 0; nobody both pays and is paid.

    Args:
        balances: By partner, what it gave less what it received, as CreditAccounts.balances() has it.

    Returns:
        Fewer payments than there are partners with a balance.

    Raises:
        UnbalancedError: The balances do not add up to 0.
    """
    if sum(balances.values()):
        raise UnbalancedError(f"balances add up to {sum(balances.values())}")
    debtors = sorted([-units, partner] for partner, units in balances.items() if units < 0)
    creditors = sorted([units, partner] for partner, units in balances.items() if units > 0)
    found: Payments = {}
    while debtors and creditors:
        units = min(debtors[-1][0], creditors[-1][0])
        found[debtors[-1][1], creditors[-1][1]] = units
        for side in (debtors, creditors):
            side[-1][0] -= units
            if not side[-1][0]:
                side.pop()
    return found
