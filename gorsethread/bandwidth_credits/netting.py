"""Netting of debts: if A owes B, B owes C and C owes A the same, nobody owes anything. No I/O.

The result depends only on the merged accounts, so all gateways that have merged the same rows compute the
same. A late message changes the total that is owed and therefore takes effect in the next settlement, because
earlier payments are already subtracted from the balances.
"""

from collections.abc import Mapping

from gorsethread.errors import GorsethreadError

Payments = dict[tuple[int, int], int]  # units by debtor and creditor


class UnbalancedError(GorsethreadError):
    """Raised for balances that do not add up to 0, which merged accounts always do."""

    action = "This is a defect of the program: keep the gateways' records and report it; nothing was settled."


def payments(balances: Mapping[int, int]) -> Payments:
    """Computes payments that bring all balances to 0; no partner both pays and is paid.

    Args:
        balances: Units given minus received by partner, as CreditAccounts.balances() returns them.

    Returns:
        Units by debtor and creditor; there are fewer payments than partners with a balance.

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
