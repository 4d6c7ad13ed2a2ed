"""Feeds the accounting of latency from the driver's events; nothing is done where there is none."""

from collections.abc import Callable

from gorsethread.gateway.attempts import Attempt, AttemptResult
from gorsethread.gateway.interfaces import Arrival, RequestAccounting
from gorsethread.scheduling.model import AttemptOutcome, HoldReason, RequestOutcome

WhyHeld = Callable[[int], tuple[HoldReason, int]]


class AccountingFeed:
    """Tells the accounting of each request's arrival only if it is not sent in the same batch.

    accounts is set where there is an accounting. Arrivals that it was not told of are emptied by each batch.
    """

    def __init__(self, why_held: WhyHeld) -> None:
        self.accounts: RequestAccounting | None = None
        self._why_held = why_held
        self._arrivals: dict[int, Arrival] = {}  # by request, in order

    def taken(self, request: int, arrival: Arrival) -> None:
        """A request was taken."""
        if self.accounts is not None:
            self._arrivals[request] = arrival

    def sent(self, attempt: Attempt, now: float) -> None:
        """An attempt is on its way."""
        if self.accounts is not None:
            arrival = self._arrivals.pop(attempt.request, None)
            self.accounts.sent(attempt.request, attempt.number, attempt.backend, now, arrival)

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, result: AttemptResult, succeeded: bool, now: float
    ) -> None:
        """An attempt has ended; succeeded: its request was answered by that."""
        if self.accounts is not None:
            answer = RequestOutcome.SUCCEEDED if succeeded else None
            self.accounts.ended(attempt.request, attempt.number, outcome, result.service_seconds, now, answer)

    def answered(self, request: int, outcome: RequestOutcome, now: float) -> None:
        """A request was answered by the gateway itself, or its client left."""
        if self.accounts is not None:
            arrival = self._arrivals.pop(request, None)
            if arrival is not None:
                self.accounts.begun(request, arrival)
            self.accounts.answered(request, outcome, now)

    def batch_ended(self, now: Callable[[], float]) -> None:
        """The scheduler has decided: it says why it holds what it left unsent."""
        if self.accounts is None:
            self._arrivals.clear()  # it was taken away within the batch
            return
        for request, arrival in self._arrivals.items():
            self.accounts.begun(request, arrival)
        self._arrivals.clear()
        if unsent := self.accounts.unsent():
            self._tell_reasons(self.accounts, unsent, now())

    def _tell_reasons(self, accounts: RequestAccounting, unsent: list[int], now: float) -> None:
        for request in unsent:
            reason, backend = self._why_held(request)
            if reason is not HoldReason.NOT_HELD:  # else the scheduler has not seen it yet
                accounts.held(request, reason, backend, now)
