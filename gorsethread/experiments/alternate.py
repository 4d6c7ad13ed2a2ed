"""A head that keeps accounts and keeps none in turn, under one load: processes of one build differ by a fifth
in speed on a shared machine, stretches of one process a few tenths of a second apart hardly do."""

import statistics
from typing import Any

from gorsethread.nvme_gateway.gateway import NvmeGateway

STRETCH = 0.2  # seconds
SETTLING = 4  # stretches at the start that don't count


class Alternating:
    """figures(): honoured a second with accounts over that without, of all stretches (whole), and the median
    and quartiles of neighbouring ones, which do not show what comes only in some, as the counting does."""

    def __init__(self, head: NvmeGateway) -> None:
        self.head, self.transport = head, head.transport
        assert head.accounting is not None
        self.book = head.accounting
        self.stretches: list[tuple[bool, float]] = []  # bounded by the length of the bench
        self._begin()

    def _begin(self) -> None:
        self.started, self.honoured = self.transport.now(), self.head.driver.counts["succeeded"]
        self.transport.call_at(self.started + STRETCH, self._turn)

    def _turn(self) -> None:
        honoured = self.head.driver.counts["succeeded"] - self.honoured
        on = self.head.driver.accounting.accounts is not None
        if honoured:
            self.stretches.append((on, honoured / (self.transport.now() - self.started)))
        # What is open at the turn is in neither; what waits to be counted is counted in the next with them.
        self.book.accounts = self.book.accounts.without_open_requests(self.transport.now())
        self.head.driver.accounting.accounts = None if on else self.book.accounts
        self._begin()

    def figures(self) -> dict[str, Any]:
        settled = self.stretches[SETTLING:]
        pairs = [(a, b) for a, b in zip(settled, settled[1:], strict=False) if a[0] != b[0]]
        # Of the last pairs one may hold the load's own end.
        ratios = sorted((a[1] / b[1] if a[0] else b[1] / a[1]) for a, b in pairs[:-2])
        if len(ratios) < 4:
            return {}
        quarter = len(ratios) // 4
        mean = {on: statistics.fmean(r for was, r in settled[:-2] if was is on) for on in (True, False)}
        return {
            "whole": round(mean[True] / mean[False], 3),
            "median": round(statistics.median(ratios), 3),
            "lower_quartile": round(ratios[quarter], 3),
            "upper_quartile": round(ratios[-1 - quarter], 3),
            "pairs": len(ratios),
        }
