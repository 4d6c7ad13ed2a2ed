"""Whether a branch's link to the main site is up. Pure: told what was seen, asked for the state.

A link is known by what gets through it both ways: answers of remote backends and replies of remote
gateways. A connection that stands, or a datagram that left, shows nothing of a path that is cut in one
direction. A slow link still answers, so it counts as connected and its writes are forwarded as usual.
"""

from collections import deque
from enum import Enum

DISCONNECT_AFTER = 2.0  # seconds without any answer while requests were sent all along
MIN_UNANSWERED = 3  # requests without an answer in that time, so that an idle link is not disconnected
STABLE_FOR = 2.0  # seconds of answers, no gap among them longer than MAX_GAP
MAX_GAP = 1.0  # seconds
DISCONNECT_MEMORY = 60.0  # seconds for which a disconnect is remembered
MAX_STABLE_FOR = 32.0  # seconds; the required time doubles with each remembered disconnect up to this


class LinkState(Enum):
    """The values are what `gorsethread branch show` prints."""

    CONNECTED = "joined"
    DISCONNECTED = "cut off"
    RECOVERING = "returning"  # answers come again, for not long enough yet


class LinkMonitor:
    """Owns the state of the link; `since` is when it began.

    Tell `request_sent` and `answer_received` as they happen, and call `tick` several times a second.
    Remembered disconnects are dropped after DISCONNECT_MEMORY.
    """

    def __init__(self, now: float) -> None:
        self.state = LinkState.CONNECTED
        self.since = now
        self._disconnects: deque[float] = deque()  # when each began
        self._last_answer = now
        self._unanswered: deque[float] = deque(maxlen=MIN_UNANSWERED)
        self._answers_since = now  # the first of the answers that came without a gap

    @property
    def queueing(self) -> bool:
        """Writes are queued and not forwarded: the link is not trusted with one."""
        return self.state is not LinkState.CONNECTED

    def request_sent(self, now: float) -> None:
        """Something went out that is answered where the link is up."""
        self._unanswered.append(now)

    def answer_received(self, now: float) -> None:
        """An answer came, or a message that was sent since this side was heard there."""
        if now - self._last_answer > MAX_GAP or self.state is LinkState.DISCONNECTED:
            self._answers_since = now
        self._last_answer = now
        self._unanswered.clear()
        if self.state is LinkState.DISCONNECTED:
            self._change_to(LinkState.RECOVERING, now)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Changes the state where its time has come."""
        while self._disconnects and now - self._disconnects[0] > DISCONNECT_MEMORY:
            self._disconnects.popleft()
        silence = now - self._last_answer
        if self.state is LinkState.CONNECTED:
            asked_enough = len(self._unanswered) == MIN_UNANSWERED
            if silence >= DISCONNECT_AFTER and asked_enough:
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
