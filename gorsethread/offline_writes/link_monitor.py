"""Decides whether a branch's link to the main site is up, from requests sent and answers received.

Only round trips count: answers of remote backends and replies of remote gateways. An established connection
or a sent datagram proves nothing if the path is broken in one direction. A slow link still answers, so it
counts as connected and writes over it are forwarded as usual.
"""

from collections import deque
from enum import Enum

DISCONNECT_AFTER = 2.0  # seconds without any answer while requests were being sent
MIN_UNANSWERED = 3  # unanswered requests it also takes, so that an idle link does not count as disconnected
STABLE_FOR = (
    2.0  # seconds of answers without a gap longer than MAX_GAP, until the link counts as connected again
)
MAX_GAP = 1.0  # seconds
DISCONNECT_MEMORY = 60.0  # seconds for which a disconnect lengthens the required stability
MAX_STABLE_FOR = 32.0  # seconds; the required stability doubles with each remembered disconnect up to this


class LinkState(Enum):
    """The state of the link; `gorsethread branch show` prints the values."""

    CONNECTED = "joined"
    DISCONNECTED = "cut off"
    RECOVERING = "returning"  # answers arrive again, but not yet for the required time


class LinkMonitor:
    """Owns the state of the link; `since` is the time of the last change.

    Call `request_sent` and `answer_received` as these happen, and `tick` several times a second. Times are in
    seconds of the caller's clock. Remembered disconnects are dropped after DISCONNECT_MEMORY.
    """

    def __init__(self, now: float) -> None:
        self.state = LinkState.CONNECTED
        self.since = now
        self._disconnects: deque[float] = deque()  # the time of each
        self._last_answer = now
        self._unanswered: deque[float] = deque(maxlen=MIN_UNANSWERED)
        self._answers_since = now  # time of the first answer of the current series without a gap

    @property
    def queueing(self) -> bool:
        """Whether writes are queued rather than forwarded, as the link is not connected."""
        return self.state is not LinkState.CONNECTED

    def request_sent(self, now: float) -> None:
        """Records that a request was sent which the main site answers if the link is up."""
        self._unanswered.append(now)

    def answer_received(self, now: float) -> None:
        """Records an answer, or a message that the main site sent after it had received one from here."""
        if now - self._last_answer > MAX_GAP or self.state is LinkState.DISCONNECTED:
            self._answers_since = now
        self._last_answer = now
        self._unanswered.clear()
        if self.state is LinkState.DISCONNECTED:
            self._change_to(LinkState.RECOVERING, now)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Changes the state if it is due."""
        while self._disconnects and now - self._disconnects[0] > DISCONNECT_MEMORY:
            self._disconnects.popleft()
        silence = now - self._last_answer
        if self.state is LinkState.CONNECTED:
            enough_requests = len(self._unanswered) == MIN_UNANSWERED
            if silence >= DISCONNECT_AFTER and enough_requests:
                self._disconnects.append(now)
                self._change_to(LinkState.DISCONNECTED, now)
        elif self.state is LinkState.RECOVERING:
            if silence > MAX_GAP:
                self._change_to(LinkState.DISCONNECTED, now)
            elif now - self._answers_since >= self.required_stability:
                self._change_to(LinkState.CONNECTED, now)

    @property
    def required_stability(self) -> float:
        """Seconds of answers without a gap until the link counts as connected again."""
        earlier = max(0, len(self._disconnects) - 1)
        return float(min(MAX_STABLE_FOR, STABLE_FOR * 2**earlier))

    def _change_to(self, state: LinkState, now: float) -> None:
        self.state = state
        self.since = now
