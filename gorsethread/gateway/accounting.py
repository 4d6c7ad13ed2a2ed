"""Passes the driver's events on to the latency accounts; does nothing where no accounts are kept."""

from collections.abc import Callable

from gorsethread.gateway.attempts import Attempt, AttemptResult
from gorsethread.gateway.interfaces import Arrival, RequestAccounting
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

WhyHeld = Callable[[int], tuple[HoldReason, int]]


class AccountingFeed:
    """Reports each request's events to the accounts.

    The arrival of a request that is sent in the batch it arrived in is reported together with its first
    attempt, that of any other at the end of the batch. accounts is None where no accounts are kept. The table
    of arrivals that are not reported yet is emptied by each batch.
    """

    def __init__(self, why_held: WhyHeld) -> None:
        self.accounts: RequestAccounting | None = None
        self._why_held = why_held
        self._arrivals: dict[int, Arrival] = {}  # by request id, in order of arrival

    def request_admitted(self, request: int, arrival: Arrival) -> None:
        """Records that the driver admitted a request."""
        if self.accounts is not None:
            self._arrivals[request] = arrival

    def attempt_sent(self, attempt: Attempt, now: float) -> None:
        """Reports that an attempt was sent."""
        if self.accounts is not None:
            arrival = self._arrivals.pop(attempt.request, None)
            self.accounts.sent(attempt.request, attempt.number, attempt.backend, now, arrival)

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult, succeeded: bool, now: float
    ) -> None:
        """Reports that an attempt ended; succeeded says whether its answer became the request's answer."""
        if self.accounts is not None:
            answer = RequestOutcome.SUCCEEDED if succeeded else None
            self.accounts.ended(attempt.request, attempt.number, outcome, result.service_seconds, now, answer)

    def request_ended(self, request: int, outcome: RequestOutcome, now: float) -> None:
        """Reports that the gateway itself answered a request, or that its client left."""
        if self.accounts is not None:
            arrival = self._arrivals.pop(request, None)
            if arrival is not None:
                self.accounts.begun(request, arrival)
            self.accounts.answered(request, outcome, now)

    def batch_ended(self, now: Callable[[], float]) -> None:
        """Reports the requests left unsent after a batch, and why the scheduler holds them."""
        if self.accounts is None:
            self._arrivals.clear()  # the accounts were removed within the batch
            return
        for request, arrival in self._arrivals.items():
            self.accounts.begun(request, arrival)
        self._arrivals.clear()
        if unsent := self.accounts.unsent():
            self._report_hold_reasons(self.accounts, unsent, now())

    def _report_hold_reasons(self, accounts: RequestAccounting, unsent: list[int], now: float) -> None:
        for request in unsent:
            reason, backend = self._why_held(request)
            if reason is not HoldReason.NOT_HELD:  # NOT_HELD: the scheduler has not seen the request yet
                accounts.held(request, reason, backend, now)
